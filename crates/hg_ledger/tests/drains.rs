//! Guards against runs that start in a data centre after its drain was committed, and against a drain that is lost or
//! started anew by a request that is repeated.

use hg_ledger::{
    DRAINS_MAX, QueueTerms, RunStart, WorkflowCommand, WorkflowEffect, WorkflowLedger,
};
use hg_model::{
    DataCentreName, Incarnation, JobId, PoolName, QueueName, RackName, ResourceVector, RunNumber,
    StepId, StepSpec, TaskId, Time, UpstreamName, UpstreamReport, WorkflowSpec,
};

const EACH: ResourceVector = ResourceVector::new(1, 1_000, 1_024);

fn data_centre(name: &str) -> DataCentreName {
    DataCentreName::new(name).expect("a valid name")
}

fn upstream(name: &str) -> UpstreamName {
    UpstreamName::new(name).expect("a valid name")
}

fn job() -> JobId {
    JobId::new("job").expect("a valid name")
}

/// A ledger with the upstreams `n` in the north and `s` in the south, and a step of two tasks.
fn ledger(gang: bool) -> WorkflowLedger {
    let mut ledger = WorkflowLedger::default();
    for (name, at) in [("n", "north"), ("s", "south")] {
        ledger.apply(WorkflowCommand::Register(UpstreamReport {
            name: upstream(name),
            incarnation: Incarnation(1),
            address: "127.0.0.1:9000".parse().expect("an address"),
            host: None,
            pool: PoolName::new("pool").expect("a valid name"),
            data_centre: data_centre(at),
            rack: RackName::new("r0").expect("a valid name"),
            labels: Vec::new(),
            capacity: ResourceVector::new(8, 32_000, 131_072),
            leaving: false,
        }));
    }
    let step = StepSpec { gang, ..StepSpec::new(2, EACH) };
    ledger.apply(WorkflowCommand::Accept {
        id: job(),
        spec: WorkflowSpec::new("work", vec![step]),
        terms: QueueTerms {
            queue: QueueName::new("queue").expect("a valid name"),
            pool: PoolName::new("pool").expect("a valid name"),
            priority: 1,
            attempts: 2,
            stretch_milli: 3_000,
            objective_ms: 1_000,
            advice: None,
        },
        account: None,
        at: Time(0),
    });
    ledger
}

fn start_drain(ledger: &mut WorkflowLedger, name: &str, at: u64) -> Vec<WorkflowEffect> {
    ledger.apply(WorkflowCommand::StartDrain { data_centre: data_centre(name), at: Time(at) })
}

fn end_drain(ledger: &mut WorkflowLedger, name: &str, at: u64) -> Vec<WorkflowEffect> {
    ledger.apply(WorkflowCommand::EndDrain { data_centre: data_centre(name), at: Time(at) })
}

/// Starts one task at each upstream; returns the upstreams at which a run was opened.
fn start_both(ledger: &mut WorkflowLedger) -> Vec<UpstreamName> {
    let start = |(index, name): (u32, &str)| RunStart {
        task: TaskId { step: StepId { job: job(), occurrence: 0, step: 0 }, index },
        run: RunNumber(1),
        upstream: upstream(name),
        incarnation: Incarnation(1),
    };
    let starts = vec![start((0, "n")), start((1, "s"))];
    let effects = ledger.apply(WorkflowCommand::Start { starts, at: Time(0) });
    let opened = effects.into_iter().filter_map(|effect| match effect {
        WorkflowEffect::RunOpened(run) => Some(run.upstream),
        _ => None,
    });
    opened.collect()
}

#[test]
fn start_that_was_decided_before_the_drain_opens_no_run_there() {
    let mut ledger = ledger(false);
    start_drain(&mut ledger, "south", 1);
    assert_eq!(start_both(&mut ledger), [upstream("n")]);
}

#[test]
fn gang_with_a_member_in_a_drained_data_centre_does_not_start_at_all() {
    let mut ledger = ledger(true);
    start_drain(&mut ledger, "south", 1);
    assert!(start_both(&mut ledger).is_empty());
    end_drain(&mut ledger, "south", 2);
    assert_eq!(start_both(&mut ledger).len(), 2);
}

#[test]
fn repeated_start_keeps_the_time_of_the_first() {
    let mut ledger = ledger(false);
    assert_eq!(start_drain(&mut ledger, "south", 5).len(), 1);
    assert!(start_drain(&mut ledger, "south", 9).is_empty());
    assert_eq!(ledger.drains().active()[&data_centre("south")], Time(5));
}

#[test]
fn end_without_a_drain_changes_nothing() {
    let mut ledger = ledger(false);
    let before = ledger.clone();
    assert!(end_drain(&mut ledger, "south", 5).is_empty());
    assert_eq!(ledger, before);
}

#[test]
fn two_data_centres_are_drained_independently() {
    let mut ledger = ledger(false);
    start_drain(&mut ledger, "south", 1);
    start_drain(&mut ledger, "north", 2);
    end_drain(&mut ledger, "south", 3);
    assert!(ledger.drains().is_drained(&data_centre("north")));
    assert!(ledger.drains().has_ended(&data_centre("south")));
    assert_eq!(start_both(&mut ledger), [upstream("s")]);
}

/// The replicated state must not grow with the names of data centres that are long gone.
#[test]
fn ended_drains_are_bounded() {
    let mut ledger = ledger(false);
    for number in 0..=DRAINS_MAX {
        let at = u64::try_from(number).expect("a small number");
        start_drain(&mut ledger, &format!("dc{number}"), at);
        end_drain(&mut ledger, &format!("dc{number}"), at);
    }
    assert!(!ledger.drains().has_ended(&data_centre("dc0")), "the oldest is forgotten");
    assert!(ledger.drains().has_ended(&data_centre("dc1")));
}
