//! A step-by-step simulation of the leader, the upstreams and the network between them.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hg_control::{Core, CoreConfig, Event, Order, OrderKind, OrderReport, OrderResult, Ticket};
use hg_ledger::Ledger;
use hg_link::{
    CallerAction, CallerRequest, Reply, Request, WorkflowReply, WorkflowRequest, encode,
};
use hg_model::{
    AccountName, Catalog, ClientAccount, ClockReading, DataCentreName, EndKind, HeartbeatReadings,
    HostName, Incarnation, JobId, Label, PoolName, PoolSpec, QueueName, QueueSpec, RackName,
    ResourceVector, RunNumber, StepId, StepSpec, TaskId, Term, Time, UpstreamName, UpstreamReport,
    WorkflowSpec, WorkflowState,
};
use hg_policy::{PolicyConfig, WorkflowBounds, WorkflowPolicies};
use hg_replica::{Body, Configuration, Index, Message, Peer, ReplicaId, Snapshot, Storage, Timing};
use hg_settings::{ControlLimits, LogFormat, LogLevel, LogSettings, new_log};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slog::{Discard, Logger, o};

use super::memory_disk::MemoryDisk;
use super::oracle::Oracle;
use super::stand_in::{LISTED_ENDS_MAX, StandIn};

/// The reason for which a workflow is rejected that was cancelled before.
const CANCELLED_BEFORE: &str = "this id was cancelled before";
/// One step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Upper bound of the network delay of an order or its answer, in milliseconds.
const NETWORK_DELAY_MAX_MS: u64 = 20;
/// Longer than the leader's lease, shorter than the time after which a leader steps down, in milliseconds.
const LEASE_GAP_MS: u64 = 580;
const ATTEMPTS: u32 = 3;
const UPSTREAMS: u32 = 6;
const PER_RACK: u32 = 3;
const UPSTREAMS_MIN: usize = 4;
/// The port of the first upstream.
const FIRST_PORT: u16 = 9_000;
const HOST: ResourceVector = ResourceVector::new(8, 32_000, 131_072);

/// The probability of each fault, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Orders that get no answer and are never carried out.
    pub lost_orders: u32,
    /// Orders that get no answer and are carried out seconds later.
    pub late_orders: u32,
    /// Answers that are lost after the order was carried out.
    pub lost_answers: u32,
    /// Orders that cannot be sent.
    pub unsent_orders: u32,
    /// Runs that fail.
    pub failing_runs: u32,
    /// Chance each second that one upstream is disconnected, or connected again.
    pub disconnects: u32,
    /// Chance each second that one upstream crashes; it restarts under the same name.
    pub crashes: u32,
    /// Chance each second that one upstream is lost for good; at least `UPSTREAMS_MIN` remain.
    pub permanent_losses: u32,
    /// Chance each second of a new leader.
    pub leader_changes: u32,
    /// Chance each second that a workflow is cancelled.
    pub cancels: u32,
    /// Chance each second of a gap in the leader's lease.
    pub lease_gaps: u32,
    /// Workflows with a task that crashes each upstream that starts it.
    pub deadly_jobs: u32,
    /// Chance each second that one upstream crashes without a cause in its runs, and is down for a while.
    pub outages: u32,
    /// Chance each second that all upstreams of a rack lose power at the same time.
    pub power_losses: u32,
    /// Chance each second that the capacity of one upstream shrinks, or is restored.
    pub capacity_changes: u32,
    /// Heartbeats that arrive a second time, seconds later.
    pub late_heartbeats: u32,
    /// Chance each second that the operators start to drain the data centre of the second rack, or end that.
    pub drains: u32,
}

/// How long after its start a deadly task crashes its upstream, in milliseconds.
const DEADLY_AFTER_MS: Range<u64> = 0..400;
/// How long a late heartbeat is on its way, in milliseconds.
const HEARTBEAT_DELAY_MS: Range<u64> = 1_600..6_000;
/// How long the operators wait before they repeat a request about a drain, in milliseconds.
const DRAIN_RETRY_MS: u64 = 500;
/// How long an upstream is down after a crash, in milliseconds.
const DOWN_MS: Range<u64> = 1_000..4_000;
/// How long the leader may start work in capacity that an upstream no longer has, beyond a heartbeat, in
/// milliseconds.
const SHRINK_GRACE_MS: u64 = 3_000;

#[derive(Debug)]
enum InFlight {
    /// An order, with the incarnation to whose connection it belongs: it is lost when that ends.
    Order(Order, Answer, Incarnation),
    Report(OrderReport),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Wanted,
    Lost,
}

/// The simulated deployment.
pub struct World {
    core: Core<MemoryDisk>,
    bounds: WorkflowBounds,
    /// The optional policies of leaders that start from now on.
    policies: WorkflowPolicies,
    disk: MemoryDisk,
    now: u64,
    rng: ChaCha8Rng,
    faults: Faults,
    upstreams: BTreeMap<UpstreamName, StandIn>,
    /// The name of the latest upstream at each address.
    names: BTreeMap<SocketAddr, UpstreamName>,
    in_flight: BTreeMap<(u64, u64), InFlight>,
    next_in_flight: u64,
    incarnations: u64,
    ticket: u64,
    pending_tickets: BTreeMap<Ticket, JobId>,
    /// Those of them that cancel.
    cancel_tickets: BTreeSet<Ticket>,
    /// Workflows whose submission was rejected since they were cancelled before.
    withdrawn: BTreeSet<JobId>,
    /// The last reply to a cancellation.
    cancel_reply: Option<WorkflowReply>,
    oracle: Oracle,
    states: BTreeMap<JobId, Option<WorkflowState>>,
    specs: BTreeMap<JobId, WorkflowSpec>,
    /// Messages of the other replica that arrive in the next step.
    peer_messages: Vec<Message>,
    /// The other replica sends nothing before then.
    peer_silent_until: u64,
    /// Upstreams that send heartbeats but accept no connections.
    unreachable: BTreeSet<UpstreamName>,
    /// Upstreams that have crashed, with the time at which their next incarnation starts.
    down: BTreeMap<UpstreamName, u64>,
    /// Crashes that tasks are about to cause, by time.
    doomed: Vec<(u64, UpstreamName, TaskId, RunNumber)>,
    /// Heartbeats that are still on their way, by the time of their arrival.
    late_heartbeats: BTreeMap<u64, Vec<(UpstreamReport, ClockReading)>>,
    /// Whether upstreams refuse starts that exceed their capacity.
    enforces_capacity: bool,
    /// Most ends in one listing of an upstream.
    listed_ends_max: usize,
    /// How long runs take, in milliseconds.
    run_ms: Range<u64>,
    /// How long the leader is told that each of its steps took.
    step_time: Duration,
    /// How long the core took for each step.
    steps: Vec<Duration>,
    /// Whether the operators want the data centre of the second rack drained, and whether that is acknowledged.
    wanted_drain: (bool, bool),
    /// Pending requests of the operators, with what they ask for.
    drain_tickets: BTreeMap<Ticket, bool>,
    /// A digest of all orders so far.
    orders_digest: DefaultHasher,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World").field("now", &self.now).finish_non_exhaustive()
    }
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self::with_bounds(seed, faults, WorkflowBounds::default())
    }

    /// The same in a deployment with other time bounds.
    pub fn with_bounds(seed: u64, faults: Faults, bounds: WorkflowBounds) -> Self {
        Self::with_fleet(seed, faults, bounds, UPSTREAMS)
    }

    /// The same with another number of upstreams.
    pub fn with_fleet(seed: u64, faults: Faults, bounds: WorkflowBounds, upstreams: u32) -> Self {
        Self::with_all(seed, faults, bounds, upstreams, WorkflowPolicies::default())
    }

    /// The same with optional policies.
    #[allow(dead_code, reason = "not every test that plays a world uses policies")]
    pub fn with_policies(seed: u64, faults: Faults, policies: WorkflowPolicies) -> Self {
        Self::with_all(seed, faults, WorkflowBounds::default(), UPSTREAMS, policies)
    }

    fn with_all(
        seed: u64,
        faults: Faults,
        bounds: WorkflowBounds,
        upstreams: u32,
        policies: WorkflowPolicies,
    ) -> Self {
        let disk = MemoryDisk::default();
        let now = 1_000_000;
        let storage = Storage::create(disk.clone(), replica(), founding()).expect("memory");
        let mut world = Self {
            core: core(storage, bounds, policies.clone(), now, seed),
            bounds,
            policies,
            disk,
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            upstreams: BTreeMap::new(),
            names: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_in_flight: 0,
            incarnations: 0,
            ticket: 0,
            pending_tickets: BTreeMap::new(),
            cancel_tickets: BTreeSet::new(),
            withdrawn: BTreeSet::new(),
            cancel_reply: None,
            oracle: Oracle::new(ATTEMPTS),
            states: BTreeMap::new(),
            specs: BTreeMap::new(),
            peer_messages: Vec::new(),
            peer_silent_until: 0,
            unreachable: BTreeSet::new(),
            down: BTreeMap::new(),
            doomed: Vec::new(),
            late_heartbeats: BTreeMap::new(),
            enforces_capacity: true,
            listed_ends_max: LISTED_ENDS_MAX,
            run_ms: 200..3_000,
            step_time: Duration::ZERO,
            steps: Vec::new(),
            wanted_drain: (false, true),
            drain_tickets: BTreeMap::new(),
            orders_digest: DefaultHasher::new(),
        };
        for number in 0..upstreams {
            world.start_upstream(&name(number), address(number));
        }
        world.run(4_000);
        world.request(None, WorkflowRequest::PutCatalog(world.catalog()));
        world.run(500);
        world
    }

    /// Starts a leader with optional policies, which later ones use as well.
    pub fn use_policies(&mut self, policies: WorkflowPolicies) {
        self.policies = policies;
        self.change_leader();
    }

    /// How many distributions of run times are in the leader's replicated state.
    pub fn learned_run_times(&self) -> usize {
        self.core.ledger().workflows().run_times().distributions().len()
    }

    /// Advances the simulation by `ms`.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.inject_faults();
            self.crash_doomed_upstreams();
            self.restart_upstreams();
            self.repeat_drain_request();
            self.advance_upstreams();
            self.send_heartbeats();
            let peer_messages = std::mem::take(&mut self.peer_messages).into_iter();
            let mut events: Vec<Event> = peer_messages
                .map(|message| Event::Message { from: peer_address(), message })
                .collect();
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                match entry.remove() {
                    InFlight::Order(order, answer, incarnation) => {
                        self.deliver(&order, answer, incarnation)
                    }
                    InFlight::Report(report) => events.push(Event::Report(report)),
                }
            }
            self.step(events);
        }
    }

    /// The longest lease that an upstream grants, in milliseconds.
    pub fn lease_max_ms(&self) -> u64 {
        u64::try_from(self.bounds.lease_max.as_millis()).expect("a bound")
    }

    /// Makes an upstream accept no connections, although it still sends heartbeats.
    pub fn refuse_connections(&mut self, number: u32) {
        self.unreachable.insert(name(number));
    }

    /// Limits the ends in one listing of an upstream.
    #[allow(dead_code, reason = "not every test that plays a world limits its listings")]
    pub fn set_listed_ends_max(&mut self, listed_ends_max: usize) {
        self.listed_ends_max = listed_ends_max;
        for upstream in self.upstreams.values_mut() {
            upstream.listed_ends_max = listed_ends_max;
        }
    }

    /// Cuts an upstream off, or connects it again.
    #[allow(dead_code, reason = "not every test that plays a world cuts upstreams off by itself")]
    pub fn set_disconnected(&mut self, number: u32, disconnected: bool) {
        if let Some(upstream) = self.upstreams.get_mut(&name(number)) {
            upstream.disconnected = disconnected;
        }
    }

    /// Sets how long runs take that start from now on, in milliseconds.
    pub fn set_run_ms(&mut self, run_ms: Range<u64>) {
        self.run_ms = run_ms;
    }

    /// Sets how long the leader is told that each of its steps took.
    pub fn set_step_time(&mut self, step_time: Duration) {
        self.step_time = step_time;
    }

    /// Number of workflows that have completed, by the last poll.
    pub fn completed(&self) -> usize {
        let completed = Some(WorkflowState::Completed);
        self.states.values().filter(|state| **state == completed).count()
    }

    /// A digest of all orders so far, to compare two versions of the leader.
    pub fn orders_digest(&self) -> u64 {
        self.orders_digest.finish()
    }

    /// Returns how long the core took for each step since the last call.
    pub fn take_steps(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.steps)
    }

    /// Injects no more faults from now on, except runs that fail.
    pub fn stop_faults(&mut self) {
        self.want_drain(false);
        self.faults = Faults { failing_runs: self.faults.failing_runs, ..Faults::default() };
        for number in 0..UPSTREAMS {
            self.set_capacity(number, HOST);
        }
        for upstream in self.upstreams.values_mut() {
            upstream.disconnected = false;
        }
    }

    /// The numbers of the upstreams that have runs.
    pub fn busy(&self) -> impl Iterator<Item = u32> {
        let busy = self.upstreams.values().filter(|upstream| !upstream.all_runs().is_empty());
        busy.filter_map(|upstream| upstream.name.as_str()[1..].parse().ok())
    }

    /// Number of runs in progress.
    pub fn running(&self) -> usize {
        self.upstreams.values().map(|upstream| upstream.all_runs().len()).sum()
    }

    /// Number of runs in progress in the data centre of the second rack.
    pub fn running_in_second_rack(&self) -> usize {
        let there = (PER_RACK..2 * PER_RACK).filter_map(|number| self.upstreams.get(&name(number)));
        there.map(|upstream| upstream.all_runs().len()).sum()
    }

    /// Records that the last leases granted before the end of the faults have expired.
    pub fn end_last_leases(&mut self) {
        self.oracle.end_faults();
    }

    /// Number of runs that lost their lease or repeated work that was done.
    pub const fn wasted(&self) -> u32 {
        self.oracle.wasted
    }

    /// How many upstreams crashed under each task.
    pub const fn crashes(&self) -> &BTreeMap<TaskId, u32> {
        self.oracle.crashes()
    }

    /// The state of a workflow by the last poll.
    pub fn state(&self, number: u32) -> Option<WorkflowState> {
        self.states.get(&JobId::new(format!("job-{number}")).expect("a good name")).copied()?
    }

    /// Makes the upstreams start whatever they are asked to, whether they have the capacity or not.
    pub fn stop_enforcing_capacity(&mut self) {
        self.enforces_capacity = false;
        self.request(None, WorkflowRequest::PutCatalog(self.catalog()));
        for upstream in self.upstreams.values_mut() {
            upstream.enforces_capacity = false;
        }
    }

    /// Sends a heartbeat of an upstream with another clock reading.
    pub fn send_heartbeat_with_clock(&mut self, number: u32, clock: ClockReading) {
        let report = report(&self.upstreams[&name(number)]);
        self.send_heartbeat(report, clock);
    }

    /// What an upstream reports of itself.
    pub fn report_of(&self, number: u32) -> UpstreamReport {
        report(&self.upstreams[&name(number)])
    }

    /// Sends a heartbeat that no upstream sends, which makes the leader act before anything else happens.
    pub fn send_foreign_heartbeat(&mut self, report: UpstreamReport) {
        trace(self.now, &format!("foreign heartbeat: {report:?}"));
        self.send_heartbeat(report, ClockReading(1_000));
    }

    /// Sends a leave request with the name of an upstream that names no incarnation.
    pub fn send_foreign_leave(&mut self, number: u32) {
        trace(self.now, &format!("foreign leave request of u{number}"));
        let leave = WorkflowRequest::Leave { name: name(number), incarnation: None };
        self.request(None, leave);
    }

    /// Makes the operators add a pool to the catalog.
    pub fn add_pool(&mut self, name: &str) {
        let mut catalog = self.catalog();
        catalog.version += 10;
        let pool = PoolSpec {
            name: PoolName::new(name).expect("a good name"),
            ..catalog.pools[0].clone()
        };
        catalog.pools.push(pool);
        self.request(None, WorkflowRequest::PutCatalog(catalog));
    }

    /// Crashes an upstream and starts another one at its address at once, which reports itself.
    pub fn replace_upstream(&mut self, number: u32, successor: &str, incarnation: Incarnation) {
        self.crash(&name(number));
        self.down.clear();
        let successor = UpstreamName::new(successor).expect("a good name");
        self.start_upstream(&successor, address(number));
        let stand_in = self.upstreams.get_mut(&successor).expect("just started");
        stand_in.incarnation = incarnation;
        let (report, clock) = (report(stand_in), stand_in.clock(self.now));
        self.send_heartbeat(report, clock);
    }

    /// The upstreams that are registered, whether they run or not.
    pub fn registered(&self) -> Vec<&str> {
        let upstreams = self.core.ledger().workflows().upstreams();
        upstreams.keys().map(|name| name.as_str()).collect()
    }

    /// Changes the capacity of an upstream; its next heartbeat reports it.
    pub fn set_capacity(&mut self, number: u32, capacity: ResourceVector) {
        let until = self.now + SHRINK_GRACE_MS + self.heartbeat_ms();
        let Some(upstream) = self.upstreams.get_mut(&name(number)) else { return };
        if !upstream.capacity.fits(&capacity) {
            self.oracle.shrunk(&upstream.name, until);
        }
        upstream.capacity = capacity;
        trace(self.now, &format!("u{number} has {capacity}"));
    }

    /// The leader's replicated state.
    #[allow(dead_code, reason = "not every test that plays a world looks at its state")]
    pub const fn ledger(&self) -> &Ledger {
        self.core.ledger()
    }

    /// Starts a new leader, which knows only what is in the log.
    pub fn change_leader(&mut self) {
        let storage = Storage::open(self.disk.clone()).expect("memory").expect("founded");
        let seed = self.rng.random_range(0..u64::MAX);
        self.core = core(storage, self.bounds, self.policies.clone(), self.now, seed);
        trace(self.now, "another leader");
        self.pending_tickets.clear();
        self.cancel_tickets.clear();
        self.drain_tickets.clear();
        self.in_flight.retain(|_, item| matches!(item, InFlight::Order(..)));
    }

    /// Ends an upstream's incarnation with its runs and its connections; the next one starts under the same name
    /// after some seconds.
    fn crash(&mut self, victim: &UpstreamName) {
        if !self.upstreams.contains_key(victim) {
            return;
        }
        trace(self.now, &format!("{victim} crashes"));
        self.break_gangs_of(victim);
        self.oracle.crashed(victim);
        self.upstreams.remove(victim);
        let back_at = self.now + self.rng.random_range(DOWN_MS);
        self.down.insert(victim.clone(), back_at);
        self.cut_connections(victim);
    }

    /// Ends the orders in flight to an upstream: their senders notice that the connection is gone.
    fn cut_connections(&mut self, victim: &UpstreamName) {
        let is_cut = |item: &InFlight| match item {
            InFlight::Order(order, Answer::Wanted, _) => order.upstream == *victim,
            _ => false,
        };
        let cut: Vec<_> = self.in_flight.extract_if(.., |_, item| is_cut(item)).collect();
        for (_, item) in cut {
            let InFlight::Order(order, ..) = item else { continue };
            let result = OrderResult::Unanswered("connection reset".to_owned());
            let report = OrderReport { id: order.id, upstream: order.upstream, result };
            self.schedule(self.now, InFlight::Report(report));
        }
    }

    fn crash_doomed_upstreams(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.doomed.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, victim, task, run) in due {
            let runs = self.upstreams.get(&victim).map(StandIn::all_runs);
            if runs.is_some_and(|runs| runs.contains(&(task, run))) {
                self.crash(&victim);
            }
        }
    }

    fn restart_upstreams(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.down.extract_if(.., |_, back_at| *back_at <= now).collect();
        for (upstream, _) in due {
            trace(now, &format!("{upstream} is back"));
            self.restart_upstream(&upstream);
        }
    }

    fn catalog(&self) -> Catalog {
        catalog(self.enforces_capacity)
    }

    fn heartbeat_ms(&self) -> u64 {
        u64::try_from(self.bounds.heartbeat.as_millis()).expect("a bound")
    }

    /// Submits a random workflow.
    pub fn submit(&mut self, number: u32) {
        let spec = self.draw_spec(number);
        self.submit_spec(number, spec);
    }

    /// Removes an upstream for good, with all its runs.
    pub fn lose_upstream(&mut self, number: u32) {
        let victim = name(number);
        self.break_gangs_of(&victim);
        self.oracle.incarnation_ended(&victim);
        self.upstreams.remove(&victim);
    }

    /// Submits a workflow.
    pub fn submit_spec(&mut self, number: u32, spec: WorkflowSpec) {
        let id = JobId::new(format!("job-{number}")).expect("a good name");
        self.oracle.record_submitted(id.as_str(), &spec);
        self.states.insert(id.clone(), None);
        self.specs.insert(id.clone(), spec.clone());
        self.call(&id, CallerAction::Submit(spec));
    }

    /// Requests the state of every workflow, and checks what the leader reports.
    pub fn poll_states(&mut self) {
        // The operator sends the catalog until it is acknowledged; the request is idempotent.
        self.request(None, WorkflowRequest::PutCatalog(self.catalog()));
        let ids: Vec<JobId> = self.states.keys().cloned().collect();
        for id in ids {
            match self.states.get(&id) {
                // Not acknowledged yet, so the caller retries.
                Some(None) => self.call(&id, CallerAction::Submit(self.specs[&id].clone())),
                _ => self.call(&id, CallerAction::State),
            }
        }
        self.run(STEP_MS);
    }

    /// Workflows that are not in a final state.
    pub fn unfinished(&self) -> Vec<&JobId> {
        let is_open = |state: &Option<WorkflowState>| !state.is_some_and(WorkflowState::is_final);
        self.states.iter().filter(|(_, state)| is_open(state)).map(|(id, _)| id).collect()
    }

    fn draw_spec(&mut self, number: u32) -> WorkflowSpec {
        let accelerators = [1, 2, 8][self.rng.random_range(0..3)];
        let each = ResourceVector::new(accelerators, 2_000, 4_096);
        let mut step =
            StepSpec { estimate_ms: 1_500, ..StepSpec::new(self.rng.random_range(1..5), each) };
        step.gang = self.rng.random_range(0..2) == 0;
        step.rack_local = self.rng.random_range(0..3) == 0;
        step.checkpointable = self.rng.random_range(0..2) == 0;
        let mut steps = vec![step];
        if self.rng.random_range(0..3) == 0 {
            let last = StepSpec::new(2, ResourceVector::new(1, 1_000, 1_024)).with_after(vec![0]);
            steps.push(StepSpec { estimate_ms: 500, ..last });
        }
        let content = if !self.chance(self.faults.deadly_jobs) {
            format!("work-{number}")
        } else if self.rng.random_range(0..2) == 0 {
            "deadly".to_owned()
        } else {
            format!("deadly-{}", self.rng.random_range(0..steps[0].tasks))
        };
        WorkflowSpec { content: Arc::from(content), steps, schedule: None }
    }

    fn call(&mut self, id: &JobId, action: CallerAction) {
        let is_urgent = match self.specs.get(id).map(|spec| spec.content.as_ref()) {
            Some("urgent") => true,
            Some("patient") => false,
            _ => id.as_str().ends_with(['0', '3', '6']),
        };
        let prefix = if is_urgent { "/urgent/" } else { "/patient/" };
        let path = Arc::from(format!("{prefix}{id}"));
        let call = CallerRequest { host: Arc::from("host"), path, key: None, action };
        if matches!(call.action, CallerAction::Cancel) {
            self.cancel_tickets.insert(Ticket(self.ticket + 1));
        }
        self.request(Some(id.clone()), WorkflowRequest::Call(call));
    }

    /// Cancels a workflow, whether it was submitted or not. Returns the reply; `None` if none came within 100 ms.
    pub fn cancel(&mut self, id: &str) -> Option<WorkflowReply> {
        self.cancel_reply = None;
        self.call(&JobId::new(id).expect("a good name"), CallerAction::Cancel);
        self.run(100);
        self.cancel_reply.take()
    }

    fn request(&mut self, about: Option<JobId>, req: WorkflowRequest) {
        self.ticket += 1;
        let ticket = Ticket(self.ticket);
        if let Some(id) = about {
            self.pending_tickets.insert(ticket, id);
        }
        self.step(vec![Event::Request { ticket, req: Request::Workflow(req) }]);
    }

    /// Makes the operators start or end the drain of the data centre of the second rack; they ask until that is
    /// acknowledged.
    pub fn want_drain(&mut self, is_wanted: bool) {
        if self.wanted_drain.0 == is_wanted {
            return;
        }
        trace(self.now, &format!("drain wanted: {is_wanted}"));
        self.wanted_drain = (is_wanted, false);
        if !is_wanted {
            // The end may take effect before it is acknowledged.
            self.oracle.drain_may_end();
        }
        self.request_drain();
    }

    /// Whether the last wish of the operators about the drain is acknowledged.
    pub const fn is_drain_acknowledged(&self) -> bool {
        self.wanted_drain.1
    }

    fn repeat_drain_request(&mut self) {
        if !self.wanted_drain.1 && self.now.is_multiple_of(DRAIN_RETRY_MS) {
            self.request_drain();
        }
    }

    fn request_drain(&mut self) {
        self.ticket += 1;
        let (ticket, is_start) = (Ticket(self.ticket), self.wanted_drain.0);
        self.drain_tickets.insert(ticket, is_start);
        let req = if is_start { WorkflowRequest::StartDrain } else { WorkflowRequest::EndDrain };
        let req = Request::Workflow(req(data_centre(PER_RACK)));
        self.step(vec![Event::Request { ticket, req }]);
    }

    fn on_drain_reply(&mut self, is_start: bool, reply: &Reply) {
        if *reply != Reply::Workflow(WorkflowReply::Stored) || self.wanted_drain.0 != is_start {
            return;
        }
        self.wanted_drain.1 = true;
        if is_start {
            trace(self.now, "drain acknowledged");
            let there = (PER_RACK..2 * PER_RACK).map(name);
            self.oracle.drain_acknowledged(there.collect());
        }
    }

    fn step(&mut self, events: Vec<Event>) {
        let started = Instant::now();
        let actions = self.core.handle(Time(self.now), events).expect("memory");
        self.steps.push(started.elapsed());
        self.core.record_step_time(Time(self.now), self.step_time);
        for (ticket, reply) in actions.replies {
            if let Some(is_start) = self.drain_tickets.remove(&ticket) {
                self.on_drain_reply(is_start, &reply);
                continue;
            }
            let Some(id) = self.pending_tickets.remove(&ticket) else { continue };
            let Reply::Workflow(reply) = reply else { continue };
            if self.cancel_tickets.remove(&ticket) {
                self.cancel_reply = Some(reply.clone());
                if reply == WorkflowReply::Unknown {
                    self.oracle.cancelled_before_submission(id.as_str());
                }
            }
            match reply {
                WorkflowReply::Accepted => {
                    self.states.insert(id, Some(WorkflowState::Queued));
                }
                WorkflowReply::State(state) => {
                    match state {
                        WorkflowState::Completed => self.oracle.reported_completed(id.as_str()),
                        WorkflowState::Failed => self.oracle.reported_failed(id.as_str()),
                        _ => {}
                    }
                    self.states.insert(id, Some(state));
                }
                WorkflowReply::Unknown => {
                    let known = self.states.get(&id).copied().flatten();
                    let is_withdrawn = self.withdrawn.contains(&id);
                    assert!(
                        known.is_none() || is_withdrawn,
                        "{id} was {known:?} but is unknown now"
                    );
                }
                // An earlier cancellation, whose reply may be lost, came before the submission.
                WorkflowReply::Rejected { reason, .. } if reason == CANCELLED_BEFORE => {
                    let known = self.states.insert(id.clone(), Some(WorkflowState::Cancelled));
                    let is_first = self.withdrawn.insert(id.clone());
                    let known = known.flatten().filter(|_| is_first);
                    assert_eq!(known, None, "{id} was accepted but is rejected now");
                }
                _ => {}
            }
        }
        for (_, message) in actions.messages {
            if self.now >= self.peer_silent_until {
                self.peer_messages.extend(answer_of_peer(message));
            }
        }
        for order in actions.orders {
            self.send(order);
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.rng.random_range(0..1_000) < thousandths
    }

    fn schedule(&mut self, at: u64, item: InFlight) {
        self.next_in_flight += 1;
        self.in_flight.insert((at, self.next_in_flight), item);
    }

    fn send(&mut self, order: Order) {
        if let OrderKind::Start { task, run, .. } = &order.kind {
            self.oracle.start_ordered(&order.upstream, task, *run);
        }
        (self.now, order.upstream.as_str(), format!("{:?}", order.kind))
            .hash(&mut self.orders_digest);
        let limit = u64::try_from(order.limit.as_millis()).expect("a short limit");
        let (id, upstream) = (order.id, order.upstream.clone());
        let there = self.names.get(&order.address).and_then(|name| self.upstreams.get(name));
        let incarnation = there.map_or(Incarnation(0), |u| u.incarnation);
        let network_delay = self.rng.random_range(0..NETWORK_DELAY_MAX_MS);
        let unanswered = OrderResult::Unanswered("no answer".to_owned());
        let none = OrderReport { id, upstream, result: unanswered };
        if self.chance(self.faults.unsent_orders) || self.unreachable.contains(&order.upstream) {
            let result = OrderResult::Unsent("connection refused".to_owned());
            self.schedule(
                self.now + network_delay,
                InFlight::Report(OrderReport { result, ..none }),
            );
        } else if self.chance(self.faults.late_orders) {
            let delay = self.rng.random_range(2_000..12_000);
            self.schedule(self.now + limit, InFlight::Report(none));
            self.schedule(self.now + delay, InFlight::Order(order, Answer::Lost, incarnation));
        } else if self.chance(self.faults.lost_orders) {
            self.schedule(self.now + limit, InFlight::Report(none));
        } else if self.chance(self.faults.lost_answers) {
            self.schedule(self.now + limit, InFlight::Report(none));
            self.schedule(
                self.now + network_delay,
                InFlight::Order(order, Answer::Lost, incarnation),
            );
        } else {
            self.schedule(
                self.now + network_delay,
                InFlight::Order(order, Answer::Wanted, incarnation),
            );
        }
    }

    fn deliver(&mut self, order: &Order, answer: Answer, incarnation: Incarnation) {
        let (id, upstream) = (order.id, order.upstream.clone());
        let kind =
            if self.chance(self.faults.failing_runs) { EndKind::Failed } else { EndKind::Done };
        let work = (self.rng.random_range(self.run_ms.clone()), kind);
        let now = self.now;
        let there = self.names.get(&order.address).and_then(|name| self.upstreams.get_mut(name));
        let stand_in = there.filter(|u| !u.disconnected && u.incarnation == incarnation);
        let Some(stand_in) = stand_in else {
            if answer == Answer::Wanted {
                let result = OrderResult::Unanswered("disconnected".to_owned());
                let limit = u64::try_from(order.limit.as_millis()).expect("a short limit");
                self.schedule(now + limit, InFlight::Report(OrderReport { id, upstream, result }));
            }
            return;
        };
        let result = stand_in.handle_order(now, order, work, &mut self.oracle);
        trace(now, &format!("{upstream} {:?} -> {result:?}", order.kind));
        if let (OrderKind::Start { task, run, .. }, OrderResult::Started(_)) =
            (&order.kind, &result)
            && self.oracle.is_deadly(task)
        {
            let crash_at = now + self.rng.random_range(DEADLY_AFTER_MS);
            self.doomed.push((crash_at, upstream.clone(), task.clone(), *run));
        }
        if answer == Answer::Wanted {
            let delay = self.rng.random_range(0..NETWORK_DELAY_MAX_MS);
            self.schedule(now + delay, InFlight::Report(OrderReport { id, upstream, result }));
        }
    }

    /// Starts the work of gangs whose members have all started.
    fn start_complete_gangs(&mut self) {
        let mut waiting: BTreeMap<(StepId, RunNumber), Vec<TaskId>> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            for (task, run) in upstream.waiting() {
                waiting.entry((task.step.clone(), run)).or_default().push(task.clone());
            }
        }
        for ((step, _), members) in waiting {
            let spec = &self.oracle.spec(&members[0]).steps[step.step as usize];
            if members.len() < spec.tasks as usize {
                continue;
            }
            let work_ms = self.rng.random_range(self.run_ms.clone());
            let kind =
                if self.chance(self.faults.failing_runs) { EndKind::Failed } else { EndKind::Done };
            for upstream in self.upstreams.values_mut() {
                for member in &members {
                    upstream.begin_work(self.now, member, work_ms, kind);
                }
            }
        }
    }

    fn advance_upstreams(&mut self) {
        self.start_complete_gangs();
        let mut gangs: BTreeMap<(StepId, RunNumber), EndKind> = BTreeMap::new();
        for upstream in self.upstreams.values_mut() {
            for (task, run, kind) in upstream.due(self.now, &mut self.oracle) {
                if self.oracle.is_gang(&task) {
                    let first = gangs.entry((task.step.clone(), run)).or_insert(kind);
                    if kind == EndKind::Done {
                        *first = kind;
                    }
                }
                if !gangs.contains_key(&(task.step.clone(), run)) {
                    upstream.end(&task, kind, &mut self.oracle);
                }
            }
        }
        for ((step, run), kind) in gangs {
            let mut kind = kind;
            for upstream in self.upstreams.values_mut() {
                for member in upstream.members(&step, run) {
                    upstream.end(&member, kind, &mut self.oracle);
                    if kind != EndKind::Done {
                        kind = EndKind::Broken;
                    }
                }
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for (report, clock) in self.late_heartbeats.remove(&self.now).unwrap_or_default() {
            trace(self.now, &format!("late heartbeat of {}: {}", report.name, report.capacity));
            self.send_heartbeat(report, clock);
        }
        if !self.now.is_multiple_of(self.heartbeat_ms()) {
            return;
        }
        let connected = self.upstreams.values().filter(|upstream| !upstream.disconnected);
        let heartbeats: Vec<_> = connected.map(|u| (report(u), u.clock(self.now))).collect();
        for (report, clock) in heartbeats {
            if self.chance(self.faults.late_heartbeats) {
                let delay = self.rng.random_range(HEARTBEAT_DELAY_MS) / STEP_MS * STEP_MS;
                let late = self.late_heartbeats.entry(self.now + delay).or_default();
                late.push((report.clone(), clock));
            }
            self.send_heartbeat(report, clock);
        }
    }

    fn send_heartbeat(&mut self, report: UpstreamReport, clock: ClockReading) {
        let readings = HeartbeatReadings { clock: Some(clock), min_remaining_ms: None };
        self.request(None, WorkflowRequest::Heartbeat { report, readings });
    }

    fn start_upstream(&mut self, name: &UpstreamName, address: SocketAddr) {
        self.incarnations += 1;
        let mut stand_in =
            StandIn::new(name.clone(), address, self.incarnations, HOST, self.bounds, self.now);
        self.names.insert(address, name.clone());
        stand_in.enforces_capacity = self.enforces_capacity;
        stand_in.listed_ends_max = self.listed_ends_max;
        self.upstreams.insert(name.clone(), stand_in);
    }

    fn restart_upstream(&mut self, name: &UpstreamName) {
        let address = self.names.iter().find(|(_, known)| *known == name).map(|(at, _)| *at);
        self.start_upstream(name, address.expect("it was started before"));
    }

    /// Ends the remaining members of gangs that lose a member on `victim`.
    fn break_gangs_of(&mut self, victim: &UpstreamName) {
        let lost: Vec<(TaskId, RunNumber)> =
            self.upstreams.get(victim).into_iter().flat_map(StandIn::all_runs).collect();
        for (task, run) in lost {
            if !self.oracle.is_gang(&task) {
                continue;
            }
            for (_, upstream) in self.upstreams.iter_mut().filter(|(name, _)| *name != victim) {
                for member in upstream.members(&task.step, run) {
                    upstream.end(&member, EndKind::Broken, &mut self.oracle);
                }
            }
        }
    }

    /// Injects the faults of this step, once a second.
    fn inject_faults(&mut self) {
        if !self.now.is_multiple_of(1_000) {
            return;
        }
        let victim = name(self.rng.random_range(0..UPSTREAMS));
        if self.chance(self.faults.disconnects)
            && let Some(upstream) = self.upstreams.get_mut(&victim)
        {
            upstream.disconnected = !upstream.disconnected;
            trace(self.now, &format!("{victim} disconnected: {}", upstream.disconnected));
        }
        if self.chance(self.faults.crashes) && self.upstreams.contains_key(&victim) {
            trace(self.now, &format!("{victim} crashes"));
            self.break_gangs_of(&victim);
            self.oracle.incarnation_ended(&victim);
            self.restart_upstream(&victim);
        }
        if self.chance(self.faults.permanent_losses) && self.upstreams.len() > UPSTREAMS_MIN {
            trace(self.now, &format!("{victim} is lost for good"));
            self.break_gangs_of(&victim);
            self.oracle.incarnation_ended(&victim);
            self.upstreams.remove(&victim);
        }
        if self.chance(self.faults.cancels) {
            let count = self.states.len().max(1);
            let id = self.states.keys().nth(self.rng.random_range(0..count)).cloned();
            if let Some(id) = id {
                self.call(&id, CallerAction::Cancel);
            }
        }
        if self.chance(self.faults.lease_gaps) {
            trace(self.now, "gap in the lease");
            self.peer_silent_until = self.now + LEASE_GAP_MS;
        }
        if self.chance(self.faults.outages) {
            self.crash(&victim);
        }
        if self.chance(self.faults.power_losses) {
            let rack = self.rng.random_range(0..UPSTREAMS / PER_RACK);
            for number in rack * PER_RACK..(rack + 1) * PER_RACK {
                self.crash(&name(number));
            }
        }
        if self.chance(self.faults.capacity_changes) {
            let number = self.rng.random_range(0..UPSTREAMS);
            let share = [1, 2, 4][self.rng.random_range(0..3)];
            let capacity = ResourceVector::new(
                HOST.accelerators / share,
                HOST.millicores / share,
                HOST.memory_mib / share,
            );
            self.set_capacity(number, capacity);
        }
        if self.chance(self.faults.drains) {
            self.want_drain(!self.wanted_drain.0);
        }
        if self.chance(self.faults.leader_changes) {
            self.change_leader();
        }
    }
}

fn core(
    storage: Storage<MemoryDisk>,
    bounds: WorkflowBounds,
    policies: WorkflowPolicies,
    now: u64,
    seed: u64,
) -> Core<MemoryDisk> {
    let cfg = CoreConfig {
        timing: Timing::default(),
        limits: ControlLimits::default(),
        policy: PolicyConfig::default(),
        workflows: bounds,
        policies,
        drain: Some(Duration::from_secs(5)),
        data_centres: BTreeSet::new(),
    };
    Core::new(storage, cfg, logger(), Time(now), seed)
}

fn trace(now: u64, text: &str) {
    if std::env::var_os("HG_LOG").is_some() {
        eprintln!("{now} {text}");
    }
}

/// Logs the leader's decisions if `HG_LOG` is set.
fn logger() -> Logger {
    if std::env::var_os("HG_LOG").is_none() {
        return Logger::root(Discard, o!());
    }
    let settings = LogSettings { format: LogFormat::Text, level: LogLevel::Debug };
    new_log(settings, "c1")
}

fn replica() -> ReplicaId {
    ReplicaId { host: HostName::new("c1").expect("a good name"), incarnation: 1 }
}

fn peer() -> ReplicaId {
    ReplicaId { host: HostName::new("c2").expect("a good name"), incarnation: 1 }
}

fn peer_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_001))
}

/// The other replica grants every vote, acknowledges every entry and stores nothing.
fn answer_of_peer(message: Message) -> Option<Message> {
    let body = match message.body {
        Body::PreVote { .. } => Body::PreVoteReply { granted: true },
        Body::Vote { .. } => Body::VoteReply { granted: true },
        Body::Append { prev, entries, sent_at, .. } => {
            let index = entries.last().map_or(prev, |entry| entry.index);
            Body::AppendReply { matched: true, index, sent_at }
        }
        _ => return None,
    };
    Some(Message { from: peer(), to: message.from, term: message.term, body })
}

fn founding() -> Snapshot {
    let voter = |address: SocketAddr| Peer { address, voter: true };
    let own = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let peers = BTreeMap::from([(replica(), voter(own)), (peer(), voter(peer_address()))]);
    Snapshot {
        index: Index(1),
        term: Term(1),
        configuration: Configuration { peers },
        data: encode(&Ledger::new()).into(),
    }
}

fn name(number: u32) -> UpstreamName {
    UpstreamName::new(format!("u{number}")).expect("a good name")
}

/// The data centre of an upstream: each rack is in one of its own.
fn data_centre(number: u32) -> DataCentreName {
    DataCentreName::new(format!("dc{}", number / PER_RACK)).expect("a good name")
}

/// The address of an upstream, which stays when the upstream gets another name.
fn address(number: u32) -> SocketAddr {
    let port = u16::try_from(u32::from(FIRST_PORT) + number).expect("few upstreams");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn report(upstream: &StandIn) -> UpstreamReport {
    let number = u32::from(upstream.address.port() - FIRST_PORT);
    let rack = format!("r{}", number / PER_RACK);
    UpstreamReport {
        name: upstream.name.clone(),
        incarnation: upstream.incarnation,
        address: upstream.address,
        host: None,
        pool: PoolName::new("pool").expect("a good name"),
        data_centre: data_centre(number),
        rack: RackName::new(&rack).expect("a good name"),
        labels: vec![
            Label::new("a").expect("a good name"),
            Label::new(&rack).expect("a good name"),
        ],
        capacity: upstream.capacity,
        leaving: false,
    }
}

/// Version 1 of the catalog has a pool that enforces its capacity, version 2 one that does not.
fn catalog(enforces_capacity: bool) -> Catalog {
    let queue = |prefix: &str, priority: u32| QueueSpec {
        name: QueueName::new(format!("q{priority}")).expect("a good name"),
        host: Arc::from("host"),
        prefix: Arc::from(prefix),
        pool: PoolName::new("pool").expect("a good name"),
        timeout_ms: 3_000,
        objective_ms: 1_000,
        stretch_milli: 3_000,
        priority,
        attempts: ATTEMPTS,
        allow_anonymous: true,
        advice: None,
    };
    let pool = PoolSpec {
        name: PoolName::new("pool").expect("a good name"),
        enforces_capacity,
        standby: false,
        connections_max: 64,
    };
    // Guarantees that differ enough for a fair order.
    let account = |name: &str, guaranteed_accelerators: u32| ClientAccount {
        name: AccountName::new(name).expect("a good name"),
        keys: Vec::new(),
        guaranteed_accelerators,
    };
    Catalog {
        version: if enforces_capacity { 1 } else { 2 },
        queues: vec![queue("/urgent/", 0), queue("/patient/", 1)],
        pools: vec![pool],
        accounts: vec![account("large", 2), account("small", 1)],
        document: Arc::from("{}"),
    }
}
