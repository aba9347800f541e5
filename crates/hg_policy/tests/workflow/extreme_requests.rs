//! Requests with extreme values. A panic while one is decided on would end each control host that leads, one after the other.

use hg_model::{RackName, ResourceVector, Schedule, StepSpec};

use crate::harness::Harness;

const WHOLE_UPSTREAM: ResourceVector = ResourceVector::new(8, 8_000, 16_384);

/// A step of the longest estimate that a request can state.
fn endless_step(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: u64::MAX, ..StepSpec::new(tasks, WHOLE_UPSTREAM) }
}

#[test]
fn longest_estimates_are_decided_on() {
    let mut harness = Harness::new(2, 2);
    let rack = RackName::new("r0").ok();
    let remote = StepSpec { data_rack: rack, ..endless_step(3) };
    let steps = vec![endless_step(2).with_gang(), endless_step(1).with_after(vec![0]), remote];
    harness.submit("patient", 1, steps.clone());
    harness.round(0);
    harness.submit("urgent", 0, steps);
    harness.submit("gang", 1, vec![endless_step(4).with_gang()]);
    for _ in 0..50 {
        harness.round(1_000);
    }
    assert!(harness.is_within_capacity());
}

#[test]
fn occurrences_that_are_all_due_at_once_are_started_in_order() {
    let mut harness = Harness::new(1, 1);
    let each = ResourceVector::new(1, 1_000, 1_024);
    let schedule = Schedule { occurrences: 10_000, first_due_ms: 0, period_ms: 0 };
    harness.submit_scheduled("periodic", 1, vec![StepSpec::new(10_000, each)], schedule);
    let starts = harness.round(0).starts;
    assert_eq!(starts.len(), 8, "the upstream is full");
    assert!(starts.iter().all(|start| start.task.step.occurrence == 0));
}
