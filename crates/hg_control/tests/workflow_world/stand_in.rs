//! A stand-in upstream that behaves as the platform specifies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hg_control::{Order, OrderKind, OrderResult, StartRefusal};
use hg_model::{
    Checkpoint, ClockReading, EndKind, Incarnation, ListedRun, ResourceVector, RunEnd, RunListing,
    RunNumber, StepId, TaskId, Term, UpstreamName,
};

use hg_policy::WorkflowBounds;

use super::oracle::Oracle;

/// Most ends in one listing, unless a test sets another number.
pub const LISTED_ENDS_MAX: usize = 500;
/// How long a stop takes, in percent of its bound.
const STOP_PERCENT: u64 = 75;

#[derive(Debug)]
struct Run {
    run: RunNumber,
    claim: ResourceVector,
    /// Set once the run works; the members of a gang work once all of them have started.
    ends_at: Option<u64>,
    since: u64,
    /// When the work began and how long it takes unless it is stopped.
    work: Option<(u64, u64)>,
    kind: EndKind,
}

impl Run {
    /// How much of the work is done, in percent.
    fn percent(&self, now: u64) -> u32 {
        let Some((began, work_ms)) = self.work else { return 0 };
        u32::try_from((now - began).min(work_ms) * 100 / work_ms).expect("at most 100")
    }
}

/// One incarnation of one upstream.
#[derive(Debug)]
pub struct StandIn {
    pub name: UpstreamName,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub capacity: ResourceVector,
    /// Whether no message reaches it or comes back.
    pub disconnected: bool,
    /// Whether it refuses starts that exceed its capacity.
    pub enforces_capacity: bool,
    /// Most ends in one listing.
    pub listed_ends_max: usize,
    /// The time bounds that it keeps.
    bounds: WorkflowBounds,
    started_at: u64,
    fence: Term,
    lease_until: u64,
    running: BTreeMap<TaskId, Run>,
    ended: Vec<RunEnd>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended; it is not started again.
    closed_runs: BTreeMap<TaskId, RunNumber>,
}

impl StandIn {
    pub fn new(
        name: UpstreamName,
        address: SocketAddr,
        incarnation: u64,
        capacity: ResourceVector,
        bounds: WorkflowBounds,
        now: u64,
    ) -> Self {
        Self {
            name,
            address,
            incarnation: Incarnation(incarnation),
            capacity,
            disconnected: false,
            enforces_capacity: true,
            listed_ends_max: LISTED_ENDS_MAX,
            bounds,
            started_at: now,
            fence: Term(0),
            lease_until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed_runs: BTreeMap::new(),
        }
    }

    /// Its clock, which runs 2 % slow.
    pub fn clock(&self, now: u64) -> ClockReading {
        ClockReading((now - self.started_at) * 98 / 100)
    }

    fn used(&self) -> ResourceVector {
        self.running.values().fold(ResourceVector::default(), |sum, run| sum.plus(&run.claim))
    }

    /// Ends the run of a task, if there is one.
    pub fn end(&mut self, task: &TaskId, kind: EndKind, oracle: &mut Oracle) {
        let Some(run) = self.running.remove(task) else { return };
        self.close_run(task, run.run);
        self.last_end += 1;
        let checkpoint = Checkpoint::new(&format!("{task}-{}", self.last_end));
        self.ended.push(RunEnd {
            number: self.last_end,
            task: task.clone(),
            run: run.run,
            kind,
            checkpoint,
        });
        oracle.ended(&self.name, task, kind);
    }

    fn close_run(&mut self, task: &TaskId, run: RunNumber) {
        let closed = self.closed_runs.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
    }

    /// The runs that are due to end now, with how they end.
    pub fn due(&mut self, now: u64, oracle: &mut Oracle) -> Vec<(TaskId, RunNumber, EndKind)> {
        // Ends that were not acknowledged before the lease expired no longer count, whether anything runs or
        // not.
        let lease_expired = self.clock(now).0 >= self.lease_until;
        if lease_expired {
            oracle.lease_expired(&self.name);
        }
        let gang_wait_ms = millis(self.bounds.gang_wait);
        let end_of = |run: &Run| match run.ends_at {
            _ if lease_expired => Some(EndKind::Lapsed),
            Some(at) if now >= at => Some(run.kind),
            None if now >= run.since + gang_wait_ms => Some(EndKind::Alone),
            _ => None,
        };
        let due = self.running.iter().filter_map(|(task, run)| Some((task, run.run, end_of(run)?)));
        due.map(|(task, run, kind)| (task.clone(), run, kind)).collect()
    }

    /// The members of gangs that wait for other members, with their runs.
    pub fn waiting(&self) -> impl Iterator<Item = (&TaskId, RunNumber)> {
        let waits = self.running.iter().filter(|(_, run)| run.ends_at.is_none());
        waits.map(|(task, run)| (task, run.run))
    }

    /// Starts the work of a gang member once all members have started.
    pub fn begin_work(&mut self, now: u64, task: &TaskId, work_ms: u64, kind: EndKind) {
        if let Some(run) = self.running.get_mut(task) {
            run.ends_at = Some(now + work_ms);
            run.work = Some((now, work_ms));
            run.kind = kind;
        }
    }

    /// All runs of this upstream.
    pub fn all_runs(&self) -> Vec<(TaskId, RunNumber)> {
        self.running.iter().map(|(task, run)| (task.clone(), run.run)).collect()
    }

    /// Its running tasks of one gang.
    pub fn members(&self, step: &StepId, run: RunNumber) -> Vec<TaskId> {
        let of_gang = |(task, known): &(&TaskId, &Run)| task.step == *step && known.run == run;
        self.running.iter().filter(of_gang).map(|(task, _)| task.clone()).collect()
    }

    /// Carries out an order.
    pub fn handle_order(
        &mut self,
        now: u64,
        order: &Order,
        work: (u64, EndKind),
        oracle: &mut Oracle,
    ) -> OrderResult {
        if order.upstream != self.name {
            return OrderResult::OtherIncarnation;
        }
        let clock = self.clock(now);
        if order.fence < self.fence {
            return match order.kind {
                OrderKind::Start { .. } => OrderResult::NotStarted(StartRefusal::Fenced),
                _ => OrderResult::Fenced,
            };
        }
        self.fence = order.fence;
        match &order.kind {
            OrderKind::Start { task, run, content, lease_until, .. } => {
                self.start(now, task, *run, content, *lease_until, work, oracle)
            }
            OrderKind::Stop { task, run } => {
                self.close_run(task, *run);
                let stopped_at = now + millis(self.bounds.stop) * STOP_PERCENT / 100;
                let known = self.running.get_mut(task).filter(|known| known.run == *run);
                if let Some(known) = known
                    && known.ends_at.is_none_or(|at| at > stopped_at)
                {
                    known.ends_at = Some(stopped_at);
                    known.kind = EndKind::Stopped;
                }
                OrderResult::Stopped(clock)
            }
            OrderKind::Pace { .. } => OrderResult::Paced(clock),
            OrderKind::Renew { lease_until, acknowledged, .. } => {
                self.extend(clock, lease_until.map_or(0, |until| until.0));
                self.forget(*acknowledged, oracle);
                OrderResult::Listed(self.listing(now, clock))
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "a start has this many parts")]
    fn start(
        &mut self,
        now: u64,
        task: &TaskId,
        run: RunNumber,
        content: &str,
        lease_until: ClockReading,
        (work_ms, kind): (u64, EndKind),
        oracle: &mut Oracle,
    ) -> OrderResult {
        let clock = self.clock(now);
        if self.running.get(task).is_some_and(|known| known.run == run) {
            return OrderResult::Started(clock);
        }
        if self.closed_runs.get(task).is_some_and(|closed| *closed >= run) {
            return OrderResult::NotStarted(StartRefusal::Outdated);
        }
        if lease_until <= clock {
            return OrderResult::NotStarted(StartRefusal::Late);
        }
        self.extend(clock, lease_until.0);
        let claim = oracle.spec(task).steps[task.step.step as usize].claim();
        let fits = self.used().plus(&claim).fits(&self.capacity);
        if self.enforces_capacity && !fits {
            return OrderResult::NotStarted(StartRefusal::NoRoom);
        }
        oracle.started(&self.name, task, run, content);
        if !fits {
            oracle.exceeded_capacity(now, &self.name, task);
        }
        // The members of a gang begin to work together.
        let work = (!oracle.is_gang(task)).then_some((now, work_ms));
        let ends_at = work.map(|(began, work_ms)| began + work_ms);
        let run = Run { run, claim, ends_at, since: now, work, kind };
        self.running.insert(task.clone(), run);
        OrderResult::Started(clock)
    }

    fn extend(&mut self, clock: ClockReading, until: u64) {
        self.lease_until = self.lease_until.max(until.min(clock.0 + millis(self.bounds.lease_max)));
    }

    fn forget(&mut self, acknowledged: u64, oracle: &mut Oracle) {
        for end in self.ended.iter().filter(|end| end.number <= acknowledged) {
            oracle.acknowledged(&self.name, &end.task, end.kind);
        }
        self.ended.retain(|end| end.number > acknowledged);
    }

    fn listing(&self, now: u64, clock: ClockReading) -> RunListing {
        let running = self.running.iter().map(|(task, run)| ListedRun {
            task: task.clone(),
            run: run.run,
            checkpoint: None,
            percent: run.percent(now),
            gauge: None,
        });
        RunListing {
            incarnation: self.incarnation,
            clock,
            running: running.collect(),
            ended: self.ended.iter().take(self.listed_ends_max).cloned().collect(),
            has_more_ends: self.ended.len() > self.listed_ends_max,
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).expect("a bound")
}
