//! Load: a pool with far more accepted work than it can serve. The tests guard against rejecting what never may be
//! rejected.

use hg_ledger::{QueueTerms, WorkflowCommand};
use hg_model::{AccountName, JobId, ResourceVector, Schedule, StepSpec, WorkflowSpec};
use hg_policy::{Admittance, Submission};

use crate::admission_world::{catalog, pool, queue_spec, scheduler, submit};
use crate::harness::{Harness, job, processor_time};

/// Longer than a new leader rejects nothing, in milliseconds.
const WARM_UP_MS: u64 = 6_000;

fn task() -> StepSpec {
    StepSpec { estimate_ms: 2_000, ..StepSpec::new(1, ResourceVector::new(1, 2_000, 1_024)) }
}

fn spec() -> WorkflowSpec {
    WorkflowSpec::new("work", vec![task()])
}

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}

/// Accepts `count` tasks whatever the forecast says.
fn fill(harness: &mut Harness, priority: u32, count: u32) {
    for number in 0..count {
        let terms = QueueTerms::of(&queue_spec(priority));
        let (id, at) = (job(&format!("fill-{priority}-{number}")), harness.now);
        let account = Some(account("bo"));
        harness.apply(WorkflowCommand::Accept { id, spec: spec(), terms, account, at });
    }
}

/// A pool with far more accepted work than it can serve, and a forecast of it.
fn overloaded(priority: u32) -> Harness {
    let mut harness = pool(true);
    harness.round(0);
    harness.round(WARM_UP_MS);
    fill(&mut harness, priority, 3_000);
    harness.round(300);
    harness.round(300);
    exhaust(&mut harness, priority);
    harness
}

/// Submits jobs until the forecast leaves no value to further ones.
fn exhaust(harness: &mut Harness, priority: u32) {
    assert!(!admits_all(harness, priority), "the pool is never full");
}

/// Whether far more jobs are accepted than the forecast has room for.
fn admits_all(harness: &mut Harness, priority: u32) -> bool {
    let id = |number| job(&format!("pad-{}-{priority}-{number}", harness.now.0));
    let ids: Vec<JobId> = (0..2_000).map(id).collect();
    let account = account("bo");
    let admitted = |id: &JobId| submit(harness, id, priority, &spec(), Some(&account)).is_ok();
    ids.iter().all(admitted)
}

#[test]
fn overload_rejected_with_retry_time() {
    let mut harness = overloaded(1);
    let rejection = submit(&mut harness, &job("new"), 1, &spec(), None).expect_err("overload");
    assert!(rejection.forecast_ms > rejection.latest_start_ms, "{rejection:?}");
    assert!(rejection.retry_after_ms >= 1_000 && rejection.retry_after_ms.is_multiple_of(1_000));
    assert_eq!(harness.state("new"), None, "a rejected job is not logged");
    // Urgent work preempts what runs there.
    submit(&mut harness, &job("urgent"), 0, &spec(), None)
        .expect("capacity of lower priority counts");
}

#[test]
fn promised_return_accepted() {
    let mut harness = overloaded(1);
    let ids = (0..500).map(|number| job(&format!("new-{number}")));
    let mut rejected =
        ids.filter_map(|id| Some((submit(&mut harness, &id, 1, &spec(), None).err()?, id)));
    let (rejection, id) = rejected.find(|(rejection, _)| rejection.is_promised).expect("a promise");
    drop(rejected);
    assert!(rejection.retry_after_ms < rejection.latest_start_ms, "{rejection:?}");
    harness.now.0 += 100;
    let early = submit(&mut harness, &id, 1, &spec(), None).expect_err("too early");
    assert_eq!(early.retry_after_ms, rejection.retry_after_ms - 100);
    harness.round(early.retry_after_ms);
    assert_eq!(submit(&mut harness, &id, 1, &spec(), None), Ok(Admittance::Promised));
}

#[test]
fn policy_off_accepts_all() {
    let mut harness = overloaded(1);
    harness.scheduler = scheduler(false);
    harness.round(WARM_UP_MS);
    harness.round(300);
    let admitted = submit(&mut harness, &job("new"), 1, &spec(), None);
    assert_eq!(admitted, Ok(Admittance::Unconditional));
}

#[test]
fn exempt_work_accepted() {
    let mut harness = overloaded(1);
    let schedule = Schedule { occurrences: 2, first_due_ms: 0, period_ms: 1_000 };
    let scheduled = spec().with_schedule(schedule);
    let long_running = WorkflowSpec::new("work", vec![StepSpec { long_running: true, ..task() }]);
    let unestimated = WorkflowSpec::new("work", vec![StepSpec { estimate_ms: 0, ..task() }]);
    for (name, spec) in [("s", scheduled), ("l", long_running), ("u", unestimated)] {
        let admitted = submit(&mut harness, &job(name), 1, &spec, None);
        assert_eq!(admitted, Ok(Admittance::Unconditional), "{name}");
    }
    let terms = QueueTerms { stretch_milli: 0, ..QueueTerms::of(&queue_spec(1)) };
    let (id, spec) = (job("o"), spec());
    let submission = Submission { id: &id, spec: &spec, terms: &terms, account: None };
    let (now, ledger) = (harness.now, &harness.ledger);
    let admitted = harness.scheduler.admit_by_forecast(now, ledger, &submission);
    assert_eq!(admitted, Ok(Admittance::Unconditional), "a queue without an objective");
}

#[test]
fn guaranteed_work_accepted() {
    let mut harness = overloaded(0);
    harness.apply(WorkflowCommand::PutCatalog(catalog(2, 2)));
    harness.round(300);
    exhaust(&mut harness, 0);
    let ada = account("ada");
    submit(&mut harness, &job("new"), 0, &spec(), Some(&account("bo"))).expect_err("overload");
    for name in ["covered-1", "covered-2"] {
        submit(&mut harness, &job(name), 0, &spec(), Some(&ada)).expect("covered");
    }
    submit(&mut harness, &job("beyond"), 0, &spec(), Some(&ada)).expect_err("beyond the guarantee");
}

#[test]
fn accepted_id_accepted_again() {
    let mut harness = pool(true);
    harness.round(0);
    harness.round(WARM_UP_MS);
    // Accepted, with its command not applied yet when the pool fills up and the answer is lost.
    let (id, spec, terms) = (job("twice"), spec(), QueueTerms::of(&queue_spec(1)));
    let submission = Submission { id: &id, spec: &spec, terms: &terms, account: None };
    harness.scheduler.admit_by_forecast(harness.now, &harness.ledger, &submission).expect("room");
    fill(&mut harness, 1, 3_000);
    harness.round(300);
    exhaust(&mut harness, 1);
    submit(&mut harness, &job("other"), 1, &spec, None).expect_err("overload");
    let again = harness.scheduler.admit_by_forecast(harness.now, &harness.ledger, &submission);
    assert_eq!(again, Ok(Admittance::Unconditional));
}

#[test]
fn new_leader_rejects_nothing_at_first() {
    let mut harness = overloaded(1);
    submit(&mut harness, &job("before"), 1, &spec(), None).expect_err("overload");
    harness.scheduler = scheduler(true);
    harness.round(300);
    assert!(admits_all(&mut harness, 1), "a new leader");
    harness.round(WARM_UP_MS);
    fill(&mut harness, 2, 3_000);
    harness.round(300);
    exhaust(&mut harness, 2);
    submit(&mut harness, &job("after"), 2, &spec(), None).expect_err("it knows the pool by now");
}

#[test]
fn old_forecast_rejects_nothing() {
    let mut harness = overloaded(1);
    harness.now.0 += 2_000;
    assert!(admits_all(&mut harness, 1), "the forecast is too old");
}

#[test]
fn removed_queue_and_account_survive() {
    let mut harness = overloaded(1);
    let ada = account("ada");
    for number in 0..50 {
        let id = job(&format!("new-{number}"));
        submit(&mut harness, &id, 1, &spec(), Some(&ada)).expect_err("overload");
    }
    let mut changed = catalog(2, 0);
    changed.queues.retain(|queue| queue.priority != 1);
    changed.accounts.retain(|account| account.name != ada);
    harness.apply(WorkflowCommand::PutCatalog(changed));
    harness.round(300);
    harness.round(300);
    let starts: Vec<u32> = harness.scheduler.forecast_starts().map(|(_, p, _)| p).collect();
    assert_eq!(
        starts,
        [0, 1, 2],
        "queued work of a removed queue is still ahead of later priorities"
    );
    submit(&mut harness, &job("urgent"), 0, &spec(), None).expect("urgent work has room");
}

/// Guards against decisions whose cost grows with the backlog.
#[test]
fn decision_cost_with_large_backlog() {
    let mut harness = overloaded(1);
    fill(&mut harness, 2, 7_000);
    harness.round(300);
    let begin = processor_time();
    let decisions = 1_000_u32;
    for number in 0..decisions {
        let _ = submit(&mut harness, &job(&format!("new-{number}")), 2, &spec(), None);
    }
    let each = (processor_time() - begin) / decisions;
    println!("{each:?} for a decision");
    assert!(each.as_micros() < 5_000, "{each:?} for a decision, without optimisation");
}
