//! The leader, the upstreams and what lies between them, step by step.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hg_control::{
    Core, CoreConfig, Event, Order, OrderReport, OrderResult, Ticket, WorkflowConfig,
};
use hg_ledger::Ledger;
use hg_link::{
    CallerAction, CallerRequest, Reply, Request, WorkflowReply, WorkflowRequest, encode,
};
use hg_model::{
    Catalog, DataCentreName, EndKind, HeartbeatReadings, HostName, Incarnation, JobId, Label,
    PoolName, PoolSpec, QueueName, QueueSpec, RackName, ResourceVector, RunNumber, StepId,
    StepSpec, TaskId, Term, Time, UpstreamName, UpstreamReport, WorkflowSpec, WorkflowState,
};
use hg_policy::PolicyConfig;
use hg_replica::{Body, Configuration, Index, Message, Peer, ReplicaId, Snapshot, Storage, Timing};
use hg_settings::{ControlLimits, LogFormat, LogLevel, LogSettings, new_log};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use slog::{Discard, Logger, o};

use super::memory_disk::MemoryDisk;
use super::oracle::Oracle;
use super::stand_in::StandIn;

/// One step of the world, in milliseconds.
const STEP_MS: u64 = 10;
/// How long an order or its answer is on its way at most.
const WAY_MS: u64 = 20;
/// Longer than a lease, shorter than the time after which a leader gives up.
const GAP_MS: u64 = 580;
const HEARTBEAT_MS: u64 = 1_500;
const ATTEMPTS: u32 = 3;
const UPSTREAMS: u32 = 6;
const PER_RACK: u32 = 3;
const UPSTREAMS_LEAST: usize = 4;
const HOST: ResourceVector = ResourceVector::new(8, 32_000, 131_072);

/// How often things go wrong, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Orders that get no answer and are never carried out.
    pub lost: u32,
    /// Orders that get no answer and are carried out seconds later.
    pub late: u32,
    /// Answers that get lost.
    pub unheard: u32,
    /// Runs that fail.
    pub failing: u32,
    /// Chance of a cut of one upstream, each second.
    pub cuts: u32,
    /// Chance of a crash of one upstream, each second; it comes back under its name.
    pub crashes: u32,
    /// Chance of the loss of one upstream for good, each second; some are left.
    pub deaths: u32,
    /// Chance of a new leader, each second.
    pub leaders: u32,
    /// Chance of a cancelled job, each second.
    pub cancels: u32,
    /// Chance of a gap in the leader's lease, each second.
    pub gaps: u32,
}

#[derive(Debug)]
enum Flight {
    /// An order, with the life whose connection it travels on: it does not outlive that.
    Order(Order, Answer, Incarnation),
    Report(OrderReport),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Wanted,
    Lost,
}

/// Everything.
pub struct World {
    core: Core<MemoryDisk>,
    disk: MemoryDisk,
    now: u64,
    rng: ChaCha8Rng,
    faults: Faults,
    upstreams: BTreeMap<UpstreamName, StandIn>,
    flights: BTreeMap<(u64, u64), Flight>,
    next_flight: u64,
    lives: u64,
    ticket: u64,
    asked: BTreeMap<Ticket, JobId>,
    oracle: Oracle,
    states: BTreeMap<JobId, Option<WorkflowState>>,
    specs: BTreeMap<JobId, WorkflowSpec>,
    /// What the other replica says next.
    said: Vec<Message>,
    /// The other replica says nothing before then.
    silent_until: u64,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World").field("now", &self.now).finish_non_exhaustive()
    }
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let disk = MemoryDisk::default();
        let now = 1_000_000;
        let storage = Storage::create(disk.clone(), replica(), founding()).expect("memory");
        let mut world = Self {
            core: core(storage, now, seed),
            disk,
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            upstreams: BTreeMap::new(),
            flights: BTreeMap::new(),
            next_flight: 0,
            lives: 0,
            ticket: 0,
            asked: BTreeMap::new(),
            oracle: Oracle::new(ATTEMPTS),
            states: BTreeMap::new(),
            specs: BTreeMap::new(),
            said: Vec::new(),
            silent_until: 0,
        };
        for number in 0..UPSTREAMS {
            world.bear(&name(number));
        }
        world.run(4_000);
        world.ask(None, WorkflowRequest::PutCatalog(catalog()));
        world.run(500);
        world
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.strike();
            self.upstreams_tick();
            self.heartbeats();
            let said = std::mem::take(&mut self.said).into_iter();
            let mut events: Vec<Event> =
                said.map(|message| Event::Message { from: peer_address(), message }).collect();
            while let Some(entry) = self.flights.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                match entry.remove() {
                    Flight::Order(order, answer, life) => self.arrive(&order, answer, life),
                    Flight::Report(report) => events.push(Event::Report(report)),
                }
            }
            self.step(events);
        }
    }

    /// No more faults from here on.
    pub fn calm(&mut self) {
        self.faults = Faults { failing: self.faults.failing, ..Faults::default() };
        for upstream in self.upstreams.values_mut() {
            upstream.cut = false;
        }
    }

    /// The upstreams on which something runs, by number.
    pub fn busy(&self) -> impl Iterator<Item = u32> {
        let busy = self.upstreams.values().filter(|upstream| !upstream.all_runs().is_empty());
        busy.filter_map(|upstream| upstream.name.as_str()[1..].parse().ok())
    }

    /// How many runs are in progress.
    pub fn running(&self) -> usize {
        self.upstreams.values().map(|upstream| upstream.all_runs().len()).sum()
    }

    /// How many runs lost their lease or did work again that was done.
    pub const fn wasted(&self) -> u32 {
        self.oracle.wasted
    }

    /// Hands in a workflow drawn by lot.
    pub fn submit(&mut self, number: u32) {
        let spec = self.draw_spec(number);
        self.submit_spec(number, spec);
    }

    /// One upstream is gone for good, with everything that runs on it.
    pub fn lose_upstream(&mut self, number: u32) {
        let victim = name(number);
        self.break_gangs_of(&victim);
        self.oracle.died(&victim);
        self.upstreams.remove(&victim);
    }

    /// Hands in a workflow.
    pub fn submit_spec(&mut self, number: u32, spec: WorkflowSpec) {
        let id = JobId::new(format!("job-{number}")).expect("a good name");
        self.oracle.submitted(id.as_str(), &spec);
        self.states.insert(id.clone(), None);
        self.specs.insert(id.clone(), spec.clone());
        self.call(&id, CallerAction::Submit(spec));
    }

    /// Asks after every workflow, and checks what is shown.
    pub fn look(&mut self) {
        // The operator sends it until it is acknowledged; again does no harm.
        self.ask(None, WorkflowRequest::PutCatalog(catalog()));
        let ids: Vec<JobId> = self.states.keys().cloned().collect();
        for id in ids {
            match self.states.get(&id) {
                // Nobody answered yet, so the caller sends it again.
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
        WorkflowSpec { content: Arc::from(format!("work-{number}")), steps, schedule: None }
    }

    fn call(&mut self, id: &JobId, action: CallerAction) {
        let prefix = if id.as_str().ends_with(['0', '3', '6']) { "/urgent/" } else { "/patient/" };
        let path = Arc::from(format!("{prefix}{id}"));
        let call = CallerRequest { host: Arc::from("host"), path, key: None, action };
        self.ask(Some(id.clone()), WorkflowRequest::Call(call));
    }

    fn ask(&mut self, about: Option<JobId>, req: WorkflowRequest) {
        self.ticket += 1;
        let ticket = Ticket(self.ticket);
        if let Some(id) = about {
            self.asked.insert(ticket, id);
        }
        self.step(vec![Event::Request { ticket, req: Request::Workflow(req) }]);
    }

    fn step(&mut self, events: Vec<Event>) {
        let actions = self.core.handle(Time(self.now), events).expect("memory");
        for (ticket, reply) in actions.replies {
            let Some(id) = self.asked.remove(&ticket) else { continue };
            let Reply::Workflow(reply) = reply else { continue };
            match reply {
                WorkflowReply::Accepted => {
                    self.states.insert(id, Some(WorkflowState::Queued));
                }
                WorkflowReply::State(state) => {
                    if state == WorkflowState::Completed {
                        self.oracle.shown_as_completed(id.as_str());
                    }
                    self.states.insert(id, Some(state));
                }
                WorkflowReply::Unknown => {
                    let known = self.states.get(&id).copied().flatten();
                    assert_eq!(known, None, "{id} was accepted and is forgotten");
                }
                _ => {}
            }
        }
        for (_, message) in actions.messages {
            if self.now >= self.silent_until {
                self.said.extend(answer_of_peer(message));
            }
        }
        for order in actions.orders {
            self.send(order);
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.rng.random_range(0..1_000) < thousandths
    }

    fn fly(&mut self, at: u64, flight: Flight) {
        self.next_flight += 1;
        self.flights.insert((at, self.next_flight), flight);
    }

    fn send(&mut self, order: Order) {
        let limit = u64::try_from(order.limit.as_millis()).expect("a short limit");
        let (id, upstream) = (order.id, order.upstream.clone());
        let life = self.upstreams.get(&order.upstream).map_or(Incarnation(0), |u| u.incarnation);
        let way = self.rng.random_range(0..WAY_MS);
        let unanswered = OrderResult::Unanswered("no answer".to_owned());
        let none = OrderReport { id, upstream, result: unanswered };
        if self.chance(self.faults.late) {
            let delay = self.rng.random_range(2_000..12_000);
            self.fly(self.now + limit, Flight::Report(none));
            self.fly(self.now + delay, Flight::Order(order, Answer::Lost, life));
        } else if self.chance(self.faults.lost) {
            self.fly(self.now + limit, Flight::Report(none));
        } else if self.chance(self.faults.unheard) {
            self.fly(self.now + limit, Flight::Report(none));
            self.fly(self.now + way, Flight::Order(order, Answer::Lost, life));
        } else {
            self.fly(self.now + way, Flight::Order(order, Answer::Wanted, life));
        }
    }

    fn arrive(&mut self, order: &Order, answer: Answer, life: Incarnation) {
        let (id, upstream) = (order.id, order.upstream.clone());
        let kind = if self.chance(self.faults.failing) { EndKind::Failed } else { EndKind::Done };
        let work = (self.rng.random_range(200..3_000), kind);
        let now = self.now;
        let stand_in =
            self.upstreams.get_mut(&upstream).filter(|u| !u.cut && u.incarnation == life);
        let Some(stand_in) = stand_in else {
            if answer == Answer::Wanted {
                let result = OrderResult::Unanswered("cut off".to_owned());
                let limit = u64::try_from(order.limit.as_millis()).expect("a short limit");
                self.fly(now + limit, Flight::Report(OrderReport { id, upstream, result }));
            }
            return;
        };
        let result = stand_in.obey(now, order, work, &mut self.oracle);
        note(now, &format!("{upstream} {:?} -> {result:?}", order.kind));
        if answer == Answer::Wanted {
            let way = self.rng.random_range(0..WAY_MS);
            self.fly(now + way, Flight::Report(OrderReport { id, upstream, result }));
        }
    }

    /// Lets gangs work whose members are all there.
    fn gangs(&mut self) {
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
            let ends_at = self.now + self.rng.random_range(200..3_000);
            let kind =
                if self.chance(self.faults.failing) { EndKind::Failed } else { EndKind::Done };
            for upstream in self.upstreams.values_mut() {
                for member in &members {
                    upstream.begin_work(member, ends_at, kind);
                }
            }
        }
    }

    fn upstreams_tick(&mut self) {
        self.gangs();
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

    fn heartbeats(&mut self) {
        if !self.now.is_multiple_of(HEARTBEAT_MS) {
            return;
        }
        let heard = self.upstreams.values().filter(|upstream| !upstream.cut);
        let beats: Vec<_> = heard.map(|u| (report(u), u.clock(self.now))).collect();
        for (report, clock) in beats {
            let readings = HeartbeatReadings { clock: Some(clock), min_remaining_ms: None };
            self.ask(None, WorkflowRequest::Heartbeat { report, readings });
        }
    }

    fn bear(&mut self, name: &UpstreamName) {
        self.lives += 1;
        let stand_in = StandIn::new(name.clone(), self.lives, HOST, self.now);
        self.upstreams.insert(name.clone(), stand_in);
    }

    /// Ends the members elsewhere of gangs that lose one here.
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

    /// Lets the faults of this step happen.
    fn strike(&mut self) {
        if !self.now.is_multiple_of(1_000) {
            return;
        }
        let victim = name(self.rng.random_range(0..UPSTREAMS));
        if self.chance(self.faults.cuts)
            && let Some(upstream) = self.upstreams.get_mut(&victim)
        {
            upstream.cut = !upstream.cut;
            note(self.now, &format!("{victim} cut: {}", upstream.cut));
        }
        if self.chance(self.faults.crashes) && self.upstreams.contains_key(&victim) {
            note(self.now, &format!("{victim} crashes"));
            self.break_gangs_of(&victim);
            self.oracle.died(&victim);
            self.bear(&victim);
        }
        if self.chance(self.faults.deaths) && self.upstreams.len() > UPSTREAMS_LEAST {
            note(self.now, &format!("{victim} is gone"));
            self.break_gangs_of(&victim);
            self.oracle.died(&victim);
            self.upstreams.remove(&victim);
        }
        if self.chance(self.faults.cancels) {
            let count = self.states.len().max(1);
            let id = self.states.keys().nth(self.rng.random_range(0..count)).cloned();
            if let Some(id) = id {
                self.call(&id, CallerAction::Cancel);
            }
        }
        if self.chance(self.faults.gaps) {
            note(self.now, "gap in the lease");
            self.silent_until = self.now + GAP_MS;
        }
        if self.chance(self.faults.leaders) {
            let storage = Storage::open(self.disk.clone()).expect("memory").expect("founded");
            let seed = self.rng.random_range(0..u64::MAX);
            self.core = core(storage, self.now, seed);
            note(self.now, "another lead");
            self.asked.clear();
            self.flights.retain(|_, flight| matches!(flight, Flight::Order(..)));
        }
    }
}

fn core(storage: Storage<MemoryDisk>, now: u64, seed: u64) -> Core<MemoryDisk> {
    let cfg = CoreConfig {
        timing: Timing::default(),
        limits: ControlLimits::default(),
        policy: PolicyConfig::default(),
        workflows: WorkflowConfig::default(),
    };
    Core::new(storage, cfg, logger(), Time(now), seed)
}

fn note(now: u64, text: &str) {
    if std::env::var_os("HG_LOG").is_some() {
        eprintln!("{now} {text}");
    }
}

/// Shows the leader's decisions if `HG_LOG` is set.
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

/// The other replica agrees to everything and keeps nothing.
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

fn report(upstream: &StandIn) -> UpstreamReport {
    let number: u32 = upstream.name.as_str()[1..].parse().expect("named by number");
    let rack = format!("r{}", number / PER_RACK);
    UpstreamReport {
        name: upstream.name.clone(),
        incarnation: upstream.incarnation,
        address: format!("127.0.0.1:{}", 9_000 + number).parse().expect("an address"),
        host: None,
        pool: PoolName::new("pool").expect("a good name"),
        data_centre: DataCentreName::new("north").expect("a good name"),
        rack: RackName::new(&rack).expect("a good name"),
        labels: vec![
            Label::new("a").expect("a good name"),
            Label::new(&rack).expect("a good name"),
        ],
        capacity: upstream.capacity,
        leaving: false,
    }
}

fn catalog() -> Catalog {
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
        enforces_capacity: true,
        standby: false,
        connections_max: 64,
    };
    Catalog {
        version: 1,
        queues: vec![queue("/urgent/", 0), queue("/patient/", 1)],
        pools: vec![pool],
        accounts: Vec::new(),
        document: Arc::from("{}"),
    }
}
