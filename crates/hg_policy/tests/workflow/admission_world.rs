//! Replays of a burst on a small pool: callers with their retries, run times that differ from their estimates, and
//! the value that is served.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::{QueueTerms, RunRef, WorkflowCommand};
use hg_model::{
    AccountName, Catalog, ClientAccount, EndKind, JobId, PoolName, PoolSpec, QueueName, QueueSpec,
    ResourceVector, StepSpec, WorkflowSpec,
};
use hg_policy::{
    Admittance, ForecastRejection, Submission, WorkflowBounds, WorkflowPolicy, WorkflowScheduler,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Harness, UPSTREAM_CAPACITY, job, run_of};

/// Interval of the decision rounds, in milliseconds.
const STEP_MS: u64 = 50;
/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 300;
/// How many times a caller tries in all.
const ATTEMPTS: u32 = 5;
/// The value of work that is late by less than three times its objective; work in time counts 1.
const LATE_VALUE: f64 = 0.5;
pub const RACKS: u32 = 2;
pub const PER_RACK: u32 = 4;
/// The accelerators of the pool.
pub const POOL: u64 = 64;
/// The burst, in milliseconds from the begin of the replay; arrivals end some seconds after it.
pub const BURST_MS: std::ops::Range<u64> = 6_000..18_000;
const ARRIVALS_END_MS: u64 = 26_000;
const END_MS: u64 = 45_000;

/// The stretch in thousandths and the constant of the objective in milliseconds, by priority.
const QUEUES: [(u32, u64); 3] = [(1_500, 250), (1_500, 500), (2_000, 500)];

/// What a caller wants to run.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: JobId,
    pub at_ms: u64,
    pub priority: u32,
    pub spec: WorkflowSpec,
    /// The real run time, in milliseconds.
    pub run_ms: u64,
    account: AccountName,
}

impl Arrival {
    /// Accelerators times milliseconds.
    pub fn work(&self) -> u64 {
        let step = &self.spec.steps[0];
        u64::from(step.tasks) * u64::from(step.per_task.accelerators) * self.run_ms
    }

    fn objective_ms(&self) -> u64 {
        let (stretch, constant) = QUEUES[usize::try_from(self.priority).expect("small")];
        self.run_ms * u64::from(stretch) / 1_000 + constant
    }

    /// The value of its work if it ends so long after its first attempt.
    fn value(&self, took_ms: u64) -> f64 {
        let share = if took_ms <= self.objective_ms() {
            1.0
        } else if took_ms <= 3 * self.objective_ms() {
            LATE_VALUE
        } else {
            0.0
        };
        share * self.work() as f64
    }

    /// The same with an estimate that is right.
    pub fn exact(mut self) -> Self {
        self.spec.steps[0].estimate_ms = self.run_ms;
        self
    }
}

/// The priorities of a mixed load.
pub const MIXED: [u32; 10] = [0, 0, 0, 1, 1, 1, 1, 1, 2, 2];

/// Arrivals at `load` times the capacity during the burst and at half of it otherwise. Estimates are off by up to
/// `error`, and by `bias` on top of it.
pub fn arrivals(seed: u64, load: f64, error: f64, bias: f64, mix: &[u32]) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut credit = 0.0;
    for at_ms in (0..ARRIVALS_END_MS).step_by(10) {
        let load = if BURST_MS.contains(&at_ms) { load } else { 0.5 };
        credit += load * POOL as f64 * 10.0;
        while credit > 0.0 {
            let priority = mix[rng.random_range(0..mix.len())];
            let run_ms = rng.random_range(800..3_000);
            let is_gang = rng.random_range(0..10) < 2;
            let tasks = if is_gang { rng.random_range(4..12) } else { 1 };
            let off = error.powf(rng.random_range(-1.0..1.0)) * bias;
            let each = ResourceVector::new(1, 2_000, 1_024);
            let step = StepSpec {
                estimate_ms: (run_ms as f64 * off) as u64,
                gang: is_gang,
                ..StepSpec::new(tasks, each)
            };
            let account = AccountName::new(["ada", "bo"][rng.random_range(0..2)]).expect("valid");
            let arrival = Arrival {
                id: job(&format!("j{}", arrivals.len())),
                at_ms,
                priority,
                spec: WorkflowSpec::new("work", vec![step]),
                run_ms,
                account,
            };
            credit -= arrival.work() as f64;
            arrivals.push(arrival);
        }
    }
    arrivals
}

pub fn queue_spec(priority: u32) -> QueueSpec {
    let (stretch_milli, objective_ms) = QUEUES[usize::try_from(priority).expect("small")];
    QueueSpec {
        name: QueueName::new(format!("q{priority}")).expect("valid"),
        host: "h".into(),
        prefix: format!("/q{priority}/").into(),
        pool: PoolName::new("pool").expect("valid"),
        timeout_ms: 3_000,
        objective_ms,
        stretch_milli,
        priority,
        attempts: 3,
        allow_anonymous: true,
        advice: None,
    }
}

/// A catalog with a queue for each priority and two accounts.
pub fn catalog(version: u64, guaranteed: u32) -> Catalog {
    let account = |name: &str, guaranteed_accelerators| ClientAccount {
        name: AccountName::new(name).expect("valid"),
        keys: Vec::new(),
        guaranteed_accelerators,
    };
    Catalog {
        version,
        queues: (0..3).map(queue_spec).collect(),
        pools: vec![PoolSpec {
            name: PoolName::new("pool").expect("valid"),
            enforces_capacity: true,
            standby: false,
            connections_max: 64,
        }],
        accounts: vec![account("ada", guaranteed), account("bo", 0)],
        document: "{}".into(),
    }
}

/// A scheduler that admits by forecast, or not.
pub fn scheduler(by_forecast: bool) -> WorkflowScheduler {
    let policies = by_forecast.then_some(WorkflowPolicy::AdmissionForecast).into_iter().collect();
    WorkflowScheduler::new(WorkflowBounds::default()).with_policies(policies)
}

/// A pool whose leader admits by forecast, or not.
pub fn pool(by_forecast: bool) -> Harness {
    let mut harness = Harness::new(RACKS, PER_RACK);
    assert_eq!(u64::from(RACKS * PER_RACK * UPSTREAM_CAPACITY.accelerators), POOL);
    harness.scheduler = scheduler(by_forecast);
    harness.apply(WorkflowCommand::PutCatalog(catalog(1, 0)));
    harness
}

/// Submits a job, and logs it unless it is rejected.
pub fn submit(
    harness: &mut Harness,
    id: &JobId,
    priority: u32,
    spec: &WorkflowSpec,
    account: Option<&AccountName>,
) -> Result<Admittance, ForecastRejection> {
    let terms = QueueTerms::of(&queue_spec(priority));
    let submission = Submission { id, spec, terms: &terms, account };
    let (at, ledger) = (harness.now, &harness.ledger);
    let admitted = harness.scheduler.admit_by_forecast(at, ledger, &submission)?;
    let (id, spec, account) = (id.clone(), spec.clone(), account.cloned());
    harness.apply(WorkflowCommand::Accept { id, spec, terms, account, at });
    Ok(admitted)
}

/// What a replay showed.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The value that was served, in accelerators times milliseconds.
    pub value: f64,
    /// The jobs that were of value.
    pub served: BTreeSet<JobId>,
    /// How many calls were rejected.
    pub rejections: usize,
    /// The work of callers that were told to return in each second, whether they do or not.
    pub returns: BTreeMap<u64, u64>,
    /// Callers that returned at the promised time, those accepted, and those that were served with value.
    pub promised: usize,
    pub promised_accepted: usize,
    pub promised_served: usize,
}

struct Caller<'a> {
    arrival: &'a Arrival,
    attempts: u32,
    is_promised: bool,
}

/// A replay in progress.
pub struct Replay<'a> {
    pub harness: Harness,
    begin: u64,
    callers: BTreeMap<(u64, usize), Caller<'a>>,
    running: BTreeMap<RunRef, (u64, EndKind)>,
    arrivals: BTreeMap<JobId, &'a Arrival>,
    promised: BTreeSet<JobId>,
    pub outcome: Outcome,
}

impl<'a> Replay<'a> {
    pub fn new(arrivals: &'a [Arrival], by_forecast: bool) -> Self {
        let harness = pool(by_forecast);
        let callers = arrivals.iter().enumerate().map(|(number, arrival)| {
            ((arrival.at_ms, number), Caller { arrival, attempts: 0, is_promised: false })
        });
        Self {
            begin: harness.now.0,
            harness,
            callers: callers.collect(),
            running: BTreeMap::new(),
            arrivals: arrivals.iter().map(|arrival| (arrival.id.clone(), arrival)).collect(),
            promised: BTreeSet::new(),
            outcome: Outcome::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.harness.now.0 - self.begin
    }

    /// Runs to the end of the replay.
    pub fn finish(mut self) -> Outcome {
        while self.now_ms() < END_MS {
            self.step();
        }
        self.outcome
    }

    pub fn step(&mut self) {
        self.end_runs();
        self.call();
        let decisions = self.harness.round(STEP_MS);
        let now = self.now_ms();
        for start in &decisions.starts {
            let run_ms = self.arrivals[&start.task.step.job].run_ms;
            self.running.insert(run_of(start), (now + run_ms, EndKind::Done));
        }
        for stop in decisions.stops {
            if let Some(end) = self.running.get_mut(&stop.run).filter(|end| end.0 > now + STOP_MS) {
                *end = (now + STOP_MS, EndKind::Stopped);
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.now_ms();
        let ended: Vec<(RunRef, EndKind)> = self
            .running
            .iter()
            .filter(|(_, (at, _))| *at <= now)
            .map(|(run, (_, kind))| (run.clone(), *kind))
            .collect();
        for (run, kind) in ended {
            self.running.remove(&run);
            self.harness.end(&run, kind);
            let id = &run.task.step.job;
            let state = self.harness.ledger.state(id);
            if state != Some(hg_model::WorkflowState::Completed) {
                continue;
            }
            let arrival = self.arrivals[id];
            let value = arrival.value(now - arrival.at_ms);
            if value > 0.0 && self.outcome.served.insert(id.clone()) {
                self.outcome.value += value;
                self.outcome.promised_served += usize::from(self.promised.contains(id));
            }
        }
    }

    fn call(&mut self) {
        let now = self.now_ms();
        while let Some(entry) = self.callers.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, number), mut caller) = entry.remove_entry();
            let arrival = caller.arrival;
            caller.attempts += 1;
            self.outcome.promised += usize::from(caller.is_promised);
            let account = Some(&arrival.account);
            let (priority, spec) = (arrival.priority, &arrival.spec);
            match submit(&mut self.harness, &arrival.id, priority, spec, account) {
                Ok(_) if caller.is_promised => {
                    self.outcome.promised_accepted += 1;
                    self.promised.insert(arrival.id.clone());
                }
                Ok(_) => {}
                Err(rejection) => {
                    self.outcome.rejections += 1;
                    let return_ms = now + rejection.retry_after_ms;
                    *self.outcome.returns.entry(return_ms / 1_000).or_default() += arrival.work();
                    caller.is_promised = rejection.is_promised;
                    if caller.is_promised && caller.attempts < ATTEMPTS {
                        self.callers.insert((return_ms, number), caller);
                    }
                }
            }
        }
    }
}

/// The value of a replay in which the jobs that the last one served without value are not submitted, with
/// estimates that are right: what a clairvoyant admission would achieve with the same scheduler. The best of
/// several rounds counts.
pub fn clairvoyant_value(arrivals: &[Arrival]) -> f64 {
    let mut admitted: Vec<Arrival> = arrivals.iter().cloned().map(Arrival::exact).collect();
    let mut best: f64 = 0.0;
    for _ in 0..3 {
        let outcome = Replay::new(&admitted, false).finish();
        best = best.max(outcome.value);
        admitted.retain(|arrival| outcome.served.contains(&arrival.id));
    }
    best
}
