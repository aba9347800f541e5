//! A small pool with a ledger and a scheduler, driven one round at a time.

use std::sync::Arc;
use std::time::Duration;

use hg_ledger::{QueueTerms, RunRef, RunStart, WorkflowCommand, WorkflowEffect, WorkflowLedger};
use hg_model::{
    AccountName, AdviceTiming, Catalog, ClientAccount, DataCentreName, EndKind, HostName,
    Incarnation, JobId, Label, PoolName, QueueName, RackName, ResourceVector, RunEnd, Schedule,
    StepSpec, Time, UpstreamName, UpstreamReport, WorkflowSpec, WorkflowState,
};
use hg_policy::{FleetObservations, WorkflowBounds, WorkflowDecisions, WorkflowScheduler};

/// The capacity of every upstream of the pool.
pub const UPSTREAM_CAPACITY: ResourceVector = ResourceVector::new(8, 32_000, 131_072);

/// A pool of upstreams with its ledger and its scheduler.
#[derive(Debug)]
pub struct Harness {
    /// The ledger of workflows.
    pub ledger: WorkflowLedger,
    /// The scheduler under test.
    pub scheduler: WorkflowScheduler,
    /// The observations that the scheduler gets.
    pub fleet: FleetObservations,
    /// The current time.
    pub now: Time,
    /// The advice timing of workflows that are submitted from now on.
    pub advice: Option<AdviceTiming>,
    last_end: u64,
}

pub fn upstream(number: u32) -> UpstreamName {
    UpstreamName::new(format!("u{number}")).expect("a valid name")
}

/// The host of the upstream with the same number.
pub fn host(number: u32) -> HostName {
    HostName::new(format!("m{number}")).expect("a valid name")
}

pub fn job(name: &str) -> JobId {
    JobId::new(name).expect("a valid name")
}

impl Harness {
    /// Creates a pool of `racks` racks with `per_rack` upstreams each.
    pub fn new(racks: u32, per_rack: u32) -> Self {
        Self::with_bounds(racks, per_rack, WorkflowBounds::default())
    }

    /// The same with other time bounds.
    pub fn with_bounds(racks: u32, per_rack: u32, bounds: WorkflowBounds) -> Self {
        let mut harness = Self {
            ledger: WorkflowLedger::default(),
            scheduler: WorkflowScheduler::new(bounds),
            fleet: FleetObservations::default(),
            now: Time(1_000_000),
            advice: None,
            last_end: 0,
        };
        for number in 0..racks * per_rack {
            harness.apply(WorkflowCommand::Register(report(number, number / per_rack)));
        }
        harness
    }

    pub fn apply(&mut self, command: WorkflowCommand) -> Vec<WorkflowEffect> {
        let effects = self.ledger.apply(command);
        for effect in &effects {
            if let WorkflowEffect::RunClosed(run) = effect {
                self.scheduler.record_run_closed(run);
            }
        }
        effects
    }

    /// Registers a further upstream in the first rack.
    pub fn register(&mut self, number: u32) {
        self.apply(WorkflowCommand::Register(report(number, 0)));
    }

    /// Registers a further upstream on the host of another one.
    pub fn register_on(&mut self, number: u32, host_number: u32) {
        let report = UpstreamReport { host: Some(host(host_number)), ..report(number, 0) };
        self.apply(WorkflowCommand::Register(report));
    }

    pub fn submit(&mut self, name: &str, priority: u32, steps: Vec<StepSpec>) {
        self.submit_for("lindqvist", name, priority, steps);
    }

    /// Puts a catalog in which accounts are guaranteed accelerators.
    pub fn guarantee(&mut self, accounts: &[(&str, u32)]) {
        let account = |(name, guaranteed): &(&str, u32)| ClientAccount {
            name: AccountName::new(*name).expect("a valid name"),
            keys: Vec::new(),
            guaranteed_accelerators: *guaranteed,
        };
        self.apply(WorkflowCommand::PutCatalog(Catalog {
            version: 1,
            queues: Vec::new(),
            pools: Vec::new(),
            accounts: accounts.iter().map(account).collect(),
            document: Arc::from("{}"),
        }));
    }

    pub fn submit_scheduled(
        &mut self,
        name: &str,
        priority: u32,
        steps: Vec<StepSpec>,
        schedule: Schedule,
    ) {
        let spec = WorkflowSpec::new("work", steps).with_schedule(schedule);
        self.submit_spec("lindqvist", name, priority, spec);
    }

    pub fn submit_for(&mut self, account: &str, name: &str, priority: u32, steps: Vec<StepSpec>) {
        self.submit_spec(account, name, priority, WorkflowSpec::new("work", steps));
    }

    fn submit_spec(&mut self, account: &str, name: &str, priority: u32, spec: WorkflowSpec) {
        let terms = QueueTerms {
            queue: QueueName::new("queue").expect("a valid name"),
            pool: PoolName::new("pool").expect("a valid name"),
            priority,
            attempts: 2,
            stretch_milli: 3_000,
            objective_ms: 1_000,
            advice: self.advice,
        };
        let account = AccountName::new(account).ok();
        let at = self.now;
        self.apply(WorkflowCommand::Accept { id: job(name), spec, terms, account, at });
    }

    /// Advances the time and runs one decision round; starts take effect at once.
    pub fn round(&mut self, after_ms: u64) -> WorkflowDecisions {
        self.now = Time(self.now.0 + after_ms);
        let decisions = self.scheduler.decide(self.now, &self.ledger, &self.fleet);
        let (starts, at) = (decisions.starts.clone(), self.now);
        self.apply(WorkflowCommand::Start { starts, at });
        decisions
    }

    pub fn end(&mut self, run: &RunRef, kind: EndKind) {
        self.last_end += 1;
        let end = RunEnd {
            number: self.last_end,
            task: run.task.clone(),
            run: run.run,
            kind,
            checkpoint: None,
        };
        let (upstream, at) = (run.upstream.clone(), self.now);
        let incarnation = self.ledger.upstreams()[&upstream].incarnation;
        self.scheduler.record_end(at, &upstream, &run.task.step.job, kind);
        let command = WorkflowCommand::RunsEnded { upstream, incarnation, ends: vec![end], at };
        self.apply(command);
    }

    /// Moves an upstream to another data centre.
    pub fn set_data_centre(&mut self, number: u32, data_centre: &DataCentreName) {
        let known = self.ledger.upstreams()[&upstream(number)].clone();
        let data_centre = data_centre.clone();
        self.apply(WorkflowCommand::Register(UpstreamReport { data_centre, ..known }));
    }

    /// Changes the capacity that an upstream reports.
    pub fn set_capacity(&mut self, number: u32, capacity: ResourceVector) {
        let known = self.ledger.upstreams()[&upstream(number)].clone();
        self.apply(WorkflowCommand::Register(UpstreamReport { capacity, ..known }));
    }

    pub fn state(&self, name: &str) -> Option<WorkflowState> {
        self.ledger.state(&job(name))
    }

    /// Whether every upstream's runs fit its capacity.
    pub fn is_within_capacity(&self) -> bool {
        let occupancy = self.ledger.occupancy();
        self.ledger.upstreams().values().all(|u| occupancy.used(&u.name).fits(&u.capacity))
    }
}

pub fn run_of(start: &RunStart) -> RunRef {
    RunRef { upstream: start.upstream.clone(), task: start.task.clone(), run: start.run }
}

fn report(number: u32, rack: u32) -> UpstreamReport {
    let rack = format!("r{rack}");
    UpstreamReport {
        name: upstream(number),
        incarnation: Incarnation(1),
        address: format!("127.0.0.1:{}", 9_000 + number).parse().expect("a valid address"),
        host: Some(host(number)),
        pool: PoolName::new("pool").expect("a valid name"),
        data_centre: DataCentreName::new("north").expect("a valid name"),
        rack: RackName::new(&rack).expect("a valid name"),
        labels: vec![
            Label::new("a").expect("a valid name"),
            Label::new(&rack).expect("a valid name"),
        ],
        capacity: UPSTREAM_CAPACITY,
        leaving: false,
    }
}

/// The processor time of this thread: unlike elapsed time it does not grow while other processes use the processors.
pub fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::try_from(time).expect("not negative")
}
