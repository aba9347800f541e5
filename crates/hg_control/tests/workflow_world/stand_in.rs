//! One stand-in upstream, as the platform's pages describe it.

use std::collections::BTreeMap;

use hg_control::{Order, OrderKind, OrderResult, StartRefusal};
use hg_model::{
    Checkpoint, ClockReading, EndKind, Incarnation, ListedRun, ResourceVector, RunEnd, RunListing,
    RunNumber, StepId, TaskId, Term, UpstreamName,
};

use super::oracle::Oracle;

/// Longest lease, in milliseconds.
const LEASE_MAX_MS: u64 = 10_000;
/// How long the members of a gang wait for each other.
const GANG_MS: u64 = 3_000;
/// How long a stop takes.
const STOP_MS: u64 = 300;

#[derive(Debug)]
struct Run {
    run: RunNumber,
    claim: ResourceVector,
    /// Set once it is at work; the members of a gang are at work when all of them are there.
    ends_at: Option<u64>,
    since: u64,
    kind: EndKind,
}

/// One life of one upstream.
#[derive(Debug)]
pub struct StandIn {
    pub name: UpstreamName,
    pub incarnation: Incarnation,
    pub capacity: ResourceVector,
    /// Whether anything gets through to it and back.
    pub cut: bool,
    born_at: u64,
    fence: Term,
    lease_until: u64,
    running: BTreeMap<TaskId, Run>,
    ended: Vec<RunEnd>,
    last_end: u64,
    barred: BTreeMap<TaskId, RunNumber>,
}

impl StandIn {
    pub fn new(name: UpstreamName, incarnation: u64, capacity: ResourceVector, now: u64) -> Self {
        Self {
            name,
            incarnation: Incarnation(incarnation),
            capacity,
            cut: false,
            born_at: now,
            fence: Term(0),
            lease_until: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            barred: BTreeMap::new(),
        }
    }

    /// Its clock, 2 % slow.
    pub fn clock(&self, now: u64) -> ClockReading {
        ClockReading((now - self.born_at) * 98 / 100)
    }

    fn used(&self) -> ResourceVector {
        self.running.values().fold(ResourceVector::default(), |sum, run| sum.plus(&run.claim))
    }

    /// Ends a run, if it is there.
    pub fn end(&mut self, task: &TaskId, kind: EndKind, oracle: &mut Oracle) {
        let Some(run) = self.running.remove(task) else { return };
        self.bar(task, run.run);
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

    fn bar(&mut self, task: &TaskId, run: RunNumber) {
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
    }

    /// The runs whose time has come, with how they end.
    pub fn due(&mut self, now: u64, oracle: &mut Oracle) -> Vec<(TaskId, RunNumber, EndKind)> {
        // Ends that nobody noted in time do not count any more, whether anything runs or not.
        let lapsed = self.clock(now).0 >= self.lease_until;
        if lapsed {
            oracle.lapsed(&self.name);
        }
        let end_of = |run: &Run| match run.ends_at {
            _ if lapsed => Some(EndKind::Lapsed),
            Some(at) if now >= at => Some(run.kind),
            None if now >= run.since + GANG_MS => Some(EndKind::Alone),
            _ => None,
        };
        let due = self.running.iter().filter_map(|(task, run)| Some((task, run.run, end_of(run)?)));
        due.map(|(task, run, kind)| (task.clone(), run, kind)).collect()
    }

    /// The members of gangs that wait for the others, with their runs.
    pub fn waiting(&self) -> impl Iterator<Item = (&TaskId, RunNumber)> {
        let waits = self.running.iter().filter(|(_, run)| run.ends_at.is_none());
        waits.map(|(task, run)| (task, run.run))
    }

    /// All members of a gang are there.
    pub fn begin_work(&mut self, task: &TaskId, ends_at: u64, kind: EndKind) {
        if let Some(run) = self.running.get_mut(task) {
            run.ends_at = Some(ends_at);
            run.kind = kind;
        }
    }

    /// Everything that runs here.
    pub fn all_runs(&self) -> Vec<(TaskId, RunNumber)> {
        self.running.iter().map(|(task, run)| (task.clone(), run.run)).collect()
    }

    /// Its running tasks of one gang.
    pub fn members(&self, step: &StepId, run: RunNumber) -> Vec<TaskId> {
        let of_gang = |(task, known): &(&TaskId, &Run)| task.step == *step && known.run == run;
        self.running.iter().filter(of_gang).map(|(task, _)| task.clone()).collect()
    }

    /// Carries an order out.
    pub fn obey(
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
                self.bar(task, *run);
                let known = self.running.get_mut(task).filter(|known| known.run == *run);
                if let Some(known) = known
                    && known.ends_at.is_none_or(|at| at > now + STOP_MS)
                {
                    known.ends_at = Some(now + STOP_MS);
                    known.kind = EndKind::Stopped;
                }
                OrderResult::Stopped(clock)
            }
            OrderKind::Pace { .. } => OrderResult::Paced(clock),
            OrderKind::Renew { lease_until, acknowledged, .. } => {
                self.extend(clock, lease_until.map_or(0, |until| until.0));
                self.forget(*acknowledged, oracle);
                OrderResult::Listed(self.listing(clock))
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "a start has as many parts")]
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
        if self.barred.get(task).is_some_and(|barred| *barred >= run) {
            return OrderResult::NotStarted(StartRefusal::Outdated);
        }
        if lease_until <= clock {
            return OrderResult::NotStarted(StartRefusal::Late);
        }
        self.extend(clock, lease_until.0);
        let claim = oracle.spec(task).steps[task.step.step as usize].claim();
        if !self.used().plus(&claim).fits(&self.capacity) {
            return OrderResult::NotStarted(StartRefusal::NoRoom);
        }
        oracle.started(&self.name, task, run, content);
        let ends_at = (!oracle.is_gang(task)).then_some(now + work_ms);
        self.running.insert(task.clone(), Run { run, claim, ends_at, since: now, kind });
        OrderResult::Started(clock)
    }

    fn extend(&mut self, clock: ClockReading, until: u64) {
        self.lease_until = self.lease_until.max(until.min(clock.0 + LEASE_MAX_MS));
    }

    fn forget(&mut self, acknowledged: u64, oracle: &mut Oracle) {
        for end in self.ended.iter().filter(|end| end.number <= acknowledged) {
            oracle.acknowledged(&self.name, &end.task, end.kind);
        }
        self.ended.retain(|end| end.number > acknowledged);
    }

    fn listing(&self, clock: ClockReading) -> RunListing {
        let running = self.running.iter().map(|(task, run)| ListedRun {
            task: task.clone(),
            run: run.run,
            checkpoint: None,
            percent: 0,
            gauge: None,
        });
        RunListing {
            incarnation: self.incarnation,
            clock,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
