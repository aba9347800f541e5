//! Queues whose settings operators change while accepted jobs wait in them.

use std::sync::Arc;

use crate::harness::{Harness, run_of, upstream};
use hg_ledger::WorkflowCommand;
use hg_model::{
    AdviceTiming, Catalog, EndKind, PoolName, PoolSpec, QueueName, QueueSpec, ResourceVector,
    StepSpec, UpstreamReport,
};

const WHOLE_UPSTREAM: ResourceVector = ResourceVector::new(8, 8_000, 16_384);
const ADVICE: AdviceTiming = AdviceTiming { decide_ms: 100, each_ms: 10, valid_ms: 3_000 };

fn step(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 2_000, ..StepSpec::new(tasks, WHOLE_UPSTREAM) }
}

fn pool(name: &str) -> PoolName {
    PoolName::new(name).expect("a valid name")
}

/// Puts a catalog in which the harness' queue has these settings.
fn put_queue(harness: &mut Harness, version: u64, pool_name: &str, advice: Option<AdviceTiming>) {
    let queue = QueueSpec {
        name: QueueName::new("queue").expect("a valid name"),
        host: Arc::from("host"),
        prefix: Arc::from("/queue/"),
        pool: pool(pool_name),
        timeout_ms: 3_000,
        objective_ms: 1_000,
        stretch_milli: 3_000,
        priority: 1,
        attempts: 2,
        allow_anonymous: true,
        advice,
    };
    let spec = |name| PoolSpec {
        name: pool(name),
        enforces_capacity: true,
        standby: false,
        connections_max: 64,
    };
    harness.apply(WorkflowCommand::PutCatalog(Catalog {
        version,
        queues: vec![queue],
        pools: vec![spec("pool"), spec("pool-2")],
        accounts: Vec::new(),
        document: Arc::from("{}"),
    }));
}

/// Two upstreams: the first in the harness' pool, the second in another one.
fn with_two_pools() -> Harness {
    let mut harness = Harness::new(1, 2);
    let known = harness.ledger.upstreams()[&upstream(1)].clone();
    harness.apply(WorkflowCommand::Register(UpstreamReport { pool: pool("pool-2"), ..known }));
    harness
}

/// Guards against accepted jobs that wait forever for the pool that their queue had when they were accepted.
#[test]
fn accepted_job_starts_in_the_pool_that_its_queue_has_moved_to() {
    let mut harness = with_two_pools();
    put_queue(&mut harness, 1, "pool", None);
    harness.submit("first", 1, vec![step(1)]);
    let first = run_of(&harness.round(0).starts[0]);
    assert_eq!(first.upstream, upstream(0));
    harness.submit("second", 1, vec![step(1), step(1).with_after(vec![0])]);
    assert!(harness.round(10).starts.is_empty(), "the pool is full");
    put_queue(&mut harness, 2, "pool-2", None);
    let second = run_of(&harness.round(10).starts[0]);
    assert_eq!(second.upstream, upstream(1));
    harness.end(&first, EndKind::Failed);
    harness.end(&second, EndKind::Done);
    let next: Vec<_> = harness.round(10).starts.iter().map(run_of).collect();
    assert_eq!(next.len(), 1, "one of the two tasks that are left fits");
    assert_eq!(next[0].upstream, upstream(1), "a later run moves as well, as do later steps");
}

/// Guards against the same for scheduled jobs, whose occurrences are due long after the job was accepted.
#[test]
fn occurrence_of_an_accepted_job_starts_in_the_pool_that_its_queue_has_moved_to() {
    let mut harness = with_two_pools();
    put_queue(&mut harness, 1, "pool", None);
    let due = harness.now.0 + 5_000;
    let schedule = hg_model::Schedule { occurrences: 2, first_due_ms: due, period_ms: 5_000 };
    harness.submit_scheduled("sweep", 1, vec![step(1)], schedule);
    put_queue(&mut harness, 2, "pool-2", None);
    assert_eq!(harness.round(5_000).starts[0].upstream, upstream(1));
}

/// Guards against accepted jobs whose starts are refused forever, since their queue needs tickets by now.
#[test]
fn accepted_job_needs_a_ticket_once_its_queue_does() {
    let mut harness = Harness::new(1, 1);
    put_queue(&mut harness, 1, "pool", None);
    harness.submit("first", 1, vec![step(2)]);
    let first = run_of(&harness.round(0).starts[0]);
    put_queue(&mut harness, 2, "pool", Some(ADVICE));
    harness.end(&first, EndKind::Done);
    let round = harness.round(10);
    assert!(round.starts.is_empty(), "there is no ticket yet");
    assert_eq!(round.advice_request.expect("a request").upstreams, [upstream(0)]);
    put_queue(&mut harness, 3, "pool", None);
    assert_eq!(harness.round(10).starts.len(), 1, "no ticket is needed any more");
}

/// A queue that was removed has no settings, so its accepted jobs keep those that they were accepted with.
#[test]
fn accepted_job_of_a_removed_queue_runs_where_it_was_accepted_for() {
    let mut harness = with_two_pools();
    put_queue(&mut harness, 1, "pool", None);
    harness.submit("first", 1, vec![step(1)]);
    harness.apply(WorkflowCommand::PutCatalog(Catalog {
        version: 2,
        queues: Vec::new(),
        pools: Vec::new(),
        accounts: Vec::new(),
        document: Arc::from("{}"),
    }));
    assert_eq!(harness.round(0).starts[0].upstream, upstream(0));
}
