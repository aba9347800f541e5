//! A pool of hosts with planted speeds, played in steps of simulated time.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use hg_ledger::{HostSpeed, QueueTerms, RunRef, WorkflowCommand, WorkflowEffect, WorkflowLedger};
use hg_model::{
    Catalog, ClockReading, DataCentreName, EndKind, HostName, Incarnation, JobId, ListedRun,
    PoolName, QueueName, QueueSpec, RackName, ResourceVector, RunEnd, RunListing, StepSpec, Time,
    UpstreamName, UpstreamReport, WorkflowSpec, WorkflowState,
};
use hg_policy::{
    FleetObservations, SpeedClass, WorkflowBounds, WorkflowPolicies, WorkflowPolicy,
    WorkflowScheduler,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const CAPACITY: ResourceVector = ResourceVector::new(8, 32_000, 131_072);
/// Time between two rounds, and between two listings of an upstream, in milliseconds.
const STEP_MS: u64 = 50;
const LISTING_MS: u64 = 250;
const PER_RACK: u32 = 25;
/// Noise of the speed of a single run, and of the length of a task (standard deviations of the logarithm).
const RUN_NOISE: f64 = 0.08;

/// The settings of a world.
#[derive(Debug, Clone)]
pub struct Setup {
    pub hosts: u32,
    /// The relative run times that the hosts have in turn.
    pub factors: Vec<f64>,
    pub with_policy: bool,
    /// The spread of the lengths of the siblings of a wide step.
    pub spread: f64,
    /// Whether the members of a gang proceed at the rate of the slowest.
    pub lockstep: bool,
    pub seed: u64,
}

/// The share of the jobs of a queue that ended in time.
#[derive(Debug, Default, Clone, Copy)]
pub struct Share {
    pub in_time: u32,
    pub all: u32,
}

impl Share {
    pub fn value(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.all.max(1))
    }
}

#[derive(Debug)]
struct Run {
    run: RunRef,
    /// Duration of the run at its host's speed, in milliseconds.
    takes_ms: f64,
    started: Time,
}

#[derive(Debug)]
pub struct World {
    pub setup: Setup,
    pub ledger: WorkflowLedger,
    pub scheduler: WorkflowScheduler,
    pub now: Time,
    /// A digest of all decisions.
    pub digest: u64,
    /// When the policy was in effect for the first time.
    pub in_effect_at: Option<Time>,
    pub shares: BTreeMap<String, Share>,
    /// How long the last round took.
    pub round_took: Duration,
    started_at: Time,
    rng: ChaCha8Rng,
    runs: BTreeMap<hg_model::TaskId, Run>,
    jobs: BTreeMap<JobId, (String, Time, f64)>,
    jobs_count: u32,
    ends: u64,
}

fn upstream(number: u32) -> UpstreamName {
    UpstreamName::new(format!("u{number}")).expect("a valid name")
}

fn queue(name: &str, priority: u32, stretch_milli: u32) -> QueueSpec {
    QueueSpec {
        name: QueueName::new(name).expect("a valid name"),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        pool: PoolName::new("pool").expect("a valid name"),
        timeout_ms: 3_000,
        objective_ms: 250,
        stretch_milli,
        priority,
        attempts: 3,
        allow_anonymous: true,
        advice: None,
    }
}

fn scheduler(with_policy: bool) -> WorkflowScheduler {
    let policies = with_policy.then_some(WorkflowPolicy::HostSpeeds);
    let policies: WorkflowPolicies = policies.into_iter().collect();
    WorkflowScheduler::new(WorkflowBounds::default()).with_policies(policies)
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let now = Time(1_000_000);
        let mut world = Self {
            ledger: WorkflowLedger::default(),
            scheduler: scheduler(setup.with_policy),
            now,
            digest: 0,
            in_effect_at: None,
            shares: BTreeMap::new(),
            round_took: Duration::ZERO,
            started_at: now,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            runs: BTreeMap::new(),
            jobs: BTreeMap::new(),
            jobs_count: 0,
            ends: 0,
            setup,
        };
        for number in 0..world.setup.hosts {
            world.apply(WorkflowCommand::Register(UpstreamReport {
                name: upstream(number),
                incarnation: Incarnation(1),
                address: "127.0.0.1:9000".parse().expect("a valid address"),
                host: HostName::new(format!("m{number}")).ok(),
                pool: PoolName::new("pool").expect("a valid name"),
                data_centre: DataCentreName::new("north").expect("a valid name"),
                rack: RackName::new(format!("r{}", number / PER_RACK)).expect("a valid name"),
                labels: Vec::new(),
                capacity: CAPACITY,
                leaving: false,
            }));
        }
        let queues = vec![queue("urgent", 0, 1_500), queue("wide", 1, 3_000), queue("fill", 2, 0)];
        world.apply(WorkflowCommand::PutCatalog(Catalog {
            version: 1,
            queues,
            pools: Vec::new(),
            accounts: Vec::new(),
            document: "{}".into(),
        }));
        world
    }

    pub fn factor(&self, number: u32) -> f64 {
        let factors = &self.setup.factors;
        factors[number as usize * 7_919 % factors.len()]
    }

    fn factor_of(&self, name: &UpstreamName) -> f64 {
        self.factor(name.as_str()[1..].parse().expect("a number"))
    }

    fn apply(&mut self, command: WorkflowCommand) {
        for effect in self.ledger.apply(command) {
            if let WorkflowEffect::RunClosed(run) = &effect {
                self.scheduler.record_run_closed(run);
                self.runs.remove(&run.task);
            }
        }
    }

    /// A standard normal deviate.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0
    }

    pub fn submit(&mut self, name: &str, step: StepSpec) {
        let catalog = self.ledger.catalog().expect("a catalog");
        let queue = catalog.queues.iter().find(|q| q.name.as_str() == name).expect("a queue");
        let (terms, at) = (QueueTerms::of(queue), self.now);
        self.jobs_count += 1;
        let id = JobId::new(format!("{name}{}", self.jobs_count)).expect("a valid name");
        let spread = if step.gang { 0.1 } else { self.setup.spread };
        // Callers know the length of their work better than its estimate tells.
        let length = step.estimate_ms as f64 * (self.normal() * spread).exp();
        let stretch = f64::from(terms.stretch_milli) / 1_000.0;
        let objective = length * stretch + 250.0;
        self.jobs.insert(id.clone(), (name.to_owned(), at, objective));
        let spec = WorkflowSpec::new(&length.to_string(), vec![step]);
        self.apply(WorkflowCommand::Accept { id, spec, terms, account: None, at });
    }

    /// One step of time: ends, listings, a round.
    pub fn step(&mut self) {
        self.now = Time(self.now.0 + STEP_MS);
        self.end_runs();
        if self.now.0.is_multiple_of(LISTING_MS) {
            self.list();
        }
        let (now, fleet) = (self.now, FleetObservations::default());
        let began = Instant::now();
        let decisions = self.scheduler.decide(now, &self.ledger, &fleet);
        self.round_took = began.elapsed();
        let mut hasher = DefaultHasher::new();
        format!("{:?}{:?}", decisions.starts, decisions.stops).hash(&mut hasher);
        self.digest = self.digest.rotate_left(5) ^ hasher.finish();
        let changes = self.scheduler.take_speed_changes();
        if self.in_effect_at.is_none() && changes.iter().any(|change| change.in_effect) {
            self.in_effect_at = Some(now);
        }
        let changed = self.scheduler.take_host_speeds(now, &self.ledger);
        if !changed.is_empty() {
            self.apply(WorkflowCommand::HostSpeeds { changed, at: now });
        }
        for stop in &decisions.stops {
            self.end(&stop.run.clone(), EndKind::Stopped);
        }
        self.start(decisions.starts);
    }

    fn start(&mut self, starts: Vec<hg_ledger::RunStart>) {
        let at = self.now;
        self.apply(WorkflowCommand::Start { starts: starts.clone(), at });
        let mut slowest: BTreeMap<hg_model::StepId, f64> = BTreeMap::new();
        for start in &starts {
            let factor = slowest.entry(start.task.step.clone()).or_default();
            *factor = factor.max(self.factor_of(&start.upstream));
        }
        for start in starts {
            let job = self.ledger.job(&start.task.step.job).expect("a job");
            let length: f64 = job.spec.content.parse().expect("a length");
            let is_gang = job.spec.steps[0].gang;
            let in_lockstep = is_gang && self.setup.lockstep;
            let factor = if in_lockstep {
                slowest[&start.task.step]
            } else {
                self.factor_of(&start.upstream)
            };
            let length_noise = if is_gang { 0.0 } else { self.normal() * self.setup.spread };
            let noise = if in_lockstep { 0.0 } else { self.normal() * RUN_NOISE };
            let takes_ms = length * factor * (noise + length_noise).exp();
            let run = RunRef { task: start.task.clone(), run: start.run, upstream: start.upstream };
            self.runs.insert(start.task, Run { run, takes_ms, started: at });
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let is_over = |run: &Run| now.since(run.started).as_millis() as f64 >= run.takes_ms;
        let over: Vec<RunRef> =
            self.runs.values().filter(|run| is_over(run)).map(|run| run.run.clone()).collect();
        for run in over {
            let members = self.runs.iter().filter(|(task, _)| task.step == run.task.step);
            let spec = self.ledger.step_spec(&run.task.step);
            let is_gang = spec.is_some_and(|spec| spec.gang);
            // A gang is done when its slowest member is.
            if !is_gang || members.map(|(_, run)| run).all(is_over) {
                self.end(&run, EndKind::Done);
            }
        }
    }

    fn end(&mut self, run: &RunRef, kind: EndKind) {
        if !self.runs.contains_key(&run.task) {
            return;
        }
        self.ends += 1;
        let number = self.ends;
        let end = RunEnd { number, task: run.task.clone(), run: run.run, kind, checkpoint: None };
        let (upstream, at) = (run.upstream.clone(), self.now);
        let incarnation = Incarnation(1);
        self.apply(WorkflowCommand::RunsEnded { upstream, incarnation, ends: vec![end], at });
        let job = &run.task.step.job;
        if self.ledger.state(job) == Some(WorkflowState::Completed)
            && let Some((queue, at, objective)) = self.jobs.remove(job)
        {
            let share = self.shares.entry(queue).or_default();
            share.all += 1;
            share.in_time += u32::from(self.now.since(at).as_millis() as f64 <= objective);
        }
    }

    fn list(&mut self) {
        let mut listings: BTreeMap<UpstreamName, Vec<ListedRun>> = BTreeMap::new();
        for run in self.runs.values() {
            let done = self.now.since(run.started).as_millis() as f64 / run.takes_ms;
            listings.entry(run.run.upstream.clone()).or_default().push(ListedRun {
                task: run.run.task.clone(),
                run: run.run.run,
                checkpoint: None,
                percent: (done * 100.0).min(100.0) as u32,
                gauge: None,
            });
        }
        let clock = ClockReading(self.now.0);
        for (name, running) in listings {
            let (incarnation, ended) = (Incarnation(1), Vec::new());
            let listing = RunListing { incarnation, clock, running, ended, has_more_ends: false };
            self.scheduler.record_listing(self.now, &self.ledger, &name, &listing);
        }
    }

    /// A load of urgent gangs and tasks, patient wide steps and fillers, `load` times the capacity
    /// of a pool of normal hosts by estimates.
    pub fn offer(&mut self, load: f64) {
        // The mean work that one job brings, in accelerator milliseconds.
        const PER_JOB: f64 = 48_000.0;
        let capacity_ms = f64::from(self.setup.hosts * CAPACITY.accelerators) * STEP_MS as f64;
        let mut jobs = capacity_ms * load / PER_JOB;
        while jobs > 0.0 {
            if jobs < 1.0 && self.rng.random::<f64>() > jobs {
                return;
            }
            jobs -= 1.0;
            let estimate_ms = self.rng.random_range(2_000..4_000);
            let whole = ResourceVector::new(8, 16_000, 32_768);
            let single = ResourceVector::new(1, 2_000, 4_096);
            match self.rng.next_u32() % 10 {
                0 | 1 => {
                    let step = StepSpec { estimate_ms, ..StepSpec::new(3, whole) };
                    self.submit("urgent", step.with_gang());
                }
                2..=4 => {
                    self.submit("urgent", StepSpec { estimate_ms, ..StepSpec::new(4, single) })
                }
                5..=8 => {
                    let tasks = self.rng.random_range(8..32);
                    self.submit("wide", StepSpec { estimate_ms, ..StepSpec::new(tasks, single) });
                }
                _ => {
                    let step = StepSpec { best_effort: true, ..StepSpec::new(6, single) };
                    self.submit("fill", StepSpec { estimate_ms, checkpointable: true, ..step });
                }
            }
        }
    }

    /// Plays some time under a load.
    pub fn play(&mut self, ms: u64, load: f64) {
        for _ in 0..ms / STEP_MS {
            self.offer(load);
            self.step();
        }
    }

    /// Milliseconds since the beginning.
    pub fn elapsed(&self, at: Time) -> u128 {
        at.since(self.started_at).as_millis()
    }

    /// The shares of hosts whose class is right and wrong.
    pub fn classified(&self) -> (f64, f64) {
        let (mut right, mut wrong) = (0, 0);
        for number in 0..self.setup.hosts {
            let class = self.scheduler.speed_class(&self.ledger, &upstream(number));
            let factor = self.factor(number);
            let expected = if factor < 0.86 {
                SpeedClass::Fast
            } else if factor > 1.16 {
                SpeedClass::Slow
            } else {
                SpeedClass::Normal
            };
            match class {
                Some(class) if class == expected => right += 1,
                Some(SpeedClass::Unknown) | None => {}
                Some(_) => wrong += 1,
            }
        }
        let all = f64::from(self.setup.hosts);
        (f64::from(right) / all, f64::from(wrong) / all)
    }

    /// Writes the planted speeds of all hosts to the ledger.
    pub fn plant_estimates(&mut self) {
        let at = self.now;
        let speed = |factor: f64| HostSpeed {
            log_centi: (factor.ln() * 100.0) as i16,
            deviation_centi: 8,
            at,
        };
        let host = |number| HostName::new(format!("m{number}")).expect("a valid name");
        let hosts = 0..self.setup.hosts;
        let changed = hosts.map(|number| (host(number), speed(self.factor(number)))).collect();
        self.apply(WorkflowCommand::HostSpeeds { changed, at });
    }

    /// The relative run times of the hosts that run jobs of a queue.
    pub fn factors_of(&self, queue: &str) -> Vec<f64> {
        let of_queue = |run: &&Run| run.run.task.step.job.as_str().starts_with(queue);
        let runs = self.runs.values().filter(of_queue);
        runs.map(|run| self.factor_of(&run.run.upstream)).collect()
    }

    /// Ends the runs on hosts of a speed.
    pub fn end_runs_on(&mut self, factor: f64) {
        let runs: Vec<RunRef> = self.runs.values().map(|run| run.run.clone()).collect();
        for run in runs {
            if self.factor_of(&run.upstream) == factor {
                self.end(&run, EndKind::Done);
            }
        }
    }

    /// Replaces the leader: the memory beside the ledger is lost.
    pub fn change_leader(&mut self) {
        self.scheduler = scheduler(self.setup.with_policy);
        self.in_effect_at = None;
        self.started_at = self.now;
    }
}
