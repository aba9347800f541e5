//! Scheduled jobs that are far behind.
//!
//! Guards against rounds of decisions that grow with how far schedules are behind: once a round takes longer than the leader's
//! lease, no leader stays in office.

use hg_model::{EndKind, ResourceVector, Schedule, StepSpec, WorkflowState};

use crate::harness::{Harness, job, run_of};

/// The bound of the tasks of occurrences that have not begun.
const CONSIDERED_MAX: usize = 4_096;
const PERIOD_MS: u64 = 60;
/// A job of the harness that starts this long after it was due can end within its latency objective.
const ON_TIME_MS: u64 = 3_000;

fn step() -> StepSpec {
    StepSpec { estimate_ms: 1_000, ..StepSpec::new(1, ResourceVector::new(1, 1_000, 256)) }
}

/// A pool with room for 16 tasks, and jobs all of whose occurrences are overdue.
fn with_overdue_jobs(jobs: u32, occurrences: u32, steps: &[StepSpec]) -> Harness {
    let mut harness = Harness::new(1, 2);
    let first_due_ms = harness.now.0 - u64::from(occurrences) * PERIOD_MS;
    let schedule = Schedule { occurrences, first_due_ms, period_ms: PERIOD_MS };
    for number in 0..jobs {
        harness.submit_scheduled(&format!("j{number}"), 1, steps.to_vec(), schedule);
    }
    harness
}

#[test]
fn round_considers_a_bounded_number_of_overdue_occurrences() {
    let mut harness = with_overdue_jobs(80, 10_000, &[step()]);
    for _ in 0..10 {
        let decisions = harness.round(100);
        let begun: usize = harness.ledger.jobs().values().map(|job| job.occurrences.len()).sum();
        let considered = decisions.ready_steps;
        assert!(considered <= CONSIDERED_MAX + begun, "{considered} steps are considered");
        assert_eq!(decisions.starts.len(), 16, "the pool is full");
        for start in &decisions.starts {
            harness.end(&run_of(start), EndKind::Done);
        }
    }
}

/// Guards against occurrences that are never reached: those that wait behind others, and those that began and have further
/// steps while earlier ones wait.
#[test]
fn overdue_occurrences_of_all_jobs_are_done() {
    let steps = [step(), step().with_after(vec![0])];
    let mut harness = with_overdue_jobs(3, 3_000, &steps);
    let mut rounds = 0;
    while !harness.ledger.jobs().is_empty() {
        let decisions = harness.round(10);
        assert!(!decisions.starts.is_empty(), "round {rounds} starts nothing");
        for start in &decisions.starts {
            harness.end(&run_of(start), EndKind::Done);
        }
        rounds += 1;
    }
    for number in 0..3 {
        assert_eq!(harness.state(&format!("j{number}")), Some(WorkflowState::Completed));
    }
}

/// Guards against an occurrence that fails or is lost again and again and hides those after it.
#[test]
fn occurrence_whose_run_is_lost_runs_again_beside_later_ones() {
    let mut harness = with_overdue_jobs(1, 100, &[step()]);
    let first = harness.round(10).starts;
    assert_eq!(first.len(), 16);
    let (lost, done) = (run_of(&first[0]), &first[1..]);
    for start in done {
        harness.end(&run_of(start), EndKind::Done);
    }
    harness.end(&lost, EndKind::Lapsed);
    let second = harness.round(10).starts;
    assert!(second.iter().any(|start| start.task == lost.task), "the lost one runs again");
    assert_eq!(second.len(), 16, "later ones run beside it");
    let unfinished = &harness.ledger.jobs()[&job("j0")];
    assert_eq!(unfinished.not_begun(0..100).count(), 100 - 31);
}

/// Guards against new occurrences that wait behind all that are overdue, although only the new ones can still be on time.
#[test]
fn occurrence_that_can_be_on_time_starts_before_overdue_ones() {
    let mut harness = with_overdue_jobs(80, 10_000, &[step()]);
    for start in harness.round(0).starts {
        let late_ms = u64::from(10_000 - start.task.step.occurrence) * PERIOD_MS;
        assert!(late_ms <= ON_TIME_MS, "an occurrence starts that was due {late_ms} ms ago");
    }
}
