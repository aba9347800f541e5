//! The memory that a decision round takes.
//!
//! Guards against a request that takes so much memory while it is decided on that each control host that leads is ended by its
//! limit, one after the other. In a file of its own, since other tests would count too.

use hg_ledger::{QueueTerms, WorkflowCommand, WorkflowLedger};
use hg_model::{
    DataCentreName, Incarnation, JobId, PoolName, QueueName, RackName, ResourceVector, Schedule,
    StepSpec, Time, UpstreamName, UpstreamReport, WorkflowSpec,
};
use hg_policy::{FleetObservations, WorkflowBounds, WorkflowScheduler};
use peak_alloc::PeakAlloc;

#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;

/// What one workflow may add to the memory of a round, in MB: an eighth of the smallest limit of a control host.
const ROUND_MAX_MB: f32 = 32.0;

#[test]
fn decide_with_every_occurrence_of_the_largest_schedule_due_stays_small() {
    let mut ledger = WorkflowLedger::default();
    let pool = PoolName::new("pool").expect("a valid name");
    ledger.apply(WorkflowCommand::Register(UpstreamReport {
        name: UpstreamName::new("u0").expect("a valid name"),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9000".parse().expect("a valid address"),
        host: None,
        pool: pool.clone(),
        data_centre: DataCentreName::new("north").expect("a valid name"),
        rack: RackName::new("r0").expect("a valid name"),
        labels: Vec::new(),
        capacity: ResourceVector::new(8, 32_000, 131_072),
        leaving: false,
    }));
    let terms = QueueTerms {
        queue: QueueName::new("queue").expect("a valid name"),
        pool,
        priority: 1,
        attempts: 3,
        stretch_milli: 3_000,
        objective_ms: 1_000,
        advice: None,
    };
    let each = ResourceVector::new(1, 1_000, 1_024);
    for (id, steps) in
        [("wide", vec![StepSpec::new(10_000, each)]), ("deep", vec![StepSpec::new(1, each); 64])]
    {
        let schedule = Schedule { occurrences: 10_000, first_due_ms: 0, period_ms: 0 };
        let spec = WorkflowSpec::new("work", steps).with_schedule(schedule);
        spec.check().expect("as large as is accepted");
        let (id, terms) = (JobId::new(id).expect("a valid name"), terms.clone());
        ledger.apply(WorkflowCommand::Accept { id, spec, terms, account: None, at: Time(1_000) });
    }
    let mut scheduler = WorkflowScheduler::new(WorkflowBounds::default());
    MEMORY.reset_peak_usage();
    let before = MEMORY.current_usage_as_mb();
    let decisions = scheduler.decide(Time(2_000), &ledger, &FleetObservations::default());
    let taken = MEMORY.peak_usage_as_mb() - before;
    assert_eq!(decisions.starts.len(), 8, "the upstream is full");
    assert!(taken < ROUND_MAX_MB, "the round took {taken} MB");
}
