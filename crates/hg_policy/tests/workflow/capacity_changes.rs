//! Upstreams whose capacity shrinks and grows while they run work.

use hg_model::{EndKind, ResourceVector, StepSpec};

use crate::harness::{Harness, UPSTREAM_CAPACITY, run_of, upstream};

const HALF: ResourceVector = ResourceVector::new(4, 16_000, 65_536);

fn step(tasks: u32, accelerators: u32) -> StepSpec {
    let each = ResourceVector::new(accelerators, 2_000, 4_096);
    StepSpec { estimate_ms: 6_000, ..StepSpec::new(tasks, each) }
}

/// Half of what runs has to end before anything fits again, so all of it has to be stopped.
#[test]
fn urgent_task_on_an_upstream_that_shrank_stops_what_exceeds_its_capacity_too() {
    let mut harness = Harness::new(1, 1);
    harness.submit("sweep", 2, vec![step(8, 1)]);
    harness.round(0);
    harness.set_capacity(0, HALF);
    harness.submit("quote", 0, vec![step(1, 4)]);
    let stops = harness.round(10).stops;
    assert_eq!(stops.len(), 8);
    for stop in &stops {
        harness.end(&stop.run, EndKind::Stopped);
    }
    let starts = harness.round(10).starts;
    assert!(starts.iter().any(|start| start.task.step.job.as_str() == "quote"));
    assert!(harness.is_within_capacity());
}

#[test]
fn nothing_starts_on_an_upstream_that_shrank_below_its_runs() {
    let mut harness = Harness::new(1, 2);
    harness.submit("first", 1, vec![step(12, 1)]);
    let running = harness.round(0).starts;
    harness.set_capacity(0, HALF);
    harness.set_capacity(1, HALF);
    harness.submit("second", 1, vec![step(8, 1)]);
    assert!(harness.round(10).starts.is_empty(), "eight and four of four are in use");
    for start in running.iter().filter(|start| start.upstream == upstream(0)).take(6) {
        harness.end(&run_of(start), EndKind::Done);
    }
    assert_eq!(harness.round(10).starts.len(), 2, "two of four are in use on the first");
    assert!(harness.is_within_capacity());
}

#[test]
fn work_that_waited_starts_when_the_capacity_grows_again() {
    let mut harness = Harness::new(1, 1);
    harness.set_capacity(0, HALF);
    harness.submit("wide", 1, vec![step(1, 8)]);
    assert!(harness.round(0).starts.is_empty());
    harness.set_capacity(0, UPSTREAM_CAPACITY);
    assert_eq!(harness.round(10).starts.len(), 1);
}
