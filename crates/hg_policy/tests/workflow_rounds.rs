//! Rounds of decisions about workflows, each replaying one load pattern.

mod workflow_support;

use hg_ledger::RunRef;
use hg_model::{
    ClockReading, EndKind, Footprint, Incarnation, ListedRun, RunListing, StepSpec, WorkflowState,
};
use hg_policy::WorkflowDecisions;
use workflow_support::{Bench, run_of};

const WHOLE: Footprint = Footprint::new(8, 8_000, 16_384);
const SINGLE: Footprint = Footprint::new(1, 2_800, 8_200);

fn stopped(decisions: WorkflowDecisions) -> Vec<RunRef> {
    decisions.stops.into_iter().map(|stop| stop.run).collect()
}

fn patient(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 6_000, ..StepSpec::new(tasks, SINGLE) }
}

fn urgent_gang(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 2_500, ..StepSpec::new(tasks, WHOLE) }.with_gang()
}

#[test]
fn urgent_starts_only_when_stopped_work_has_ended() {
    let mut bench = Bench::new(1, 2);
    bench.submit("sweep", 2, vec![patient(16)]);
    let running: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    assert_eq!(running.len(), 16, "the pool is full");
    bench.submit("quote", 0, vec![urgent_gang(2)]);
    let first = bench.round(10);
    assert_eq!(first.stops.len(), 16, "all of it has to go");
    assert!(first.starts.is_empty());
    for run in &running[..15] {
        bench.end(run, EndKind::Stopped);
        assert!(bench.round(10).starts.is_empty(), "one upstream is still in use");
    }
    bench.end(&running[15], EndKind::Stopped);
    let starts = bench.round(10).starts;
    assert_eq!(starts.len(), 2, "both members at once");
    assert!(starts.iter().all(|start| start.task.step.job.as_str() == "quote"));
    assert!(bench.fits());
}

#[test]
fn urgent_does_not_overbook_beside_held_room() {
    let mut bench = Bench::new(1, 2);
    bench.submit("sweep", 2, vec![patient(16)]);
    bench.round(0);
    bench.submit("quote", 0, vec![urgent_gang(1)]);
    bench.round(10);
    bench.submit("quote-2", 0, vec![urgent_gang(1)]);
    for _ in 0..20 {
        bench.round(10);
        assert!(bench.fits());
    }
}

#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut bench = Bench::new(1, 2);
    bench.submit("sweep", 1, vec![patient(1)]);
    let sweep = run_of(&bench.round(0).starts[0]);
    bench.submit("gang", 1, vec![urgent_gang(2)]);
    assert!(bench.round(10).starts.is_empty());
    bench.end(&sweep, EndKind::Done);
    assert_eq!(bench.round(10).starts.len(), 2);
}

#[test]
fn gang_with_a_lost_member_stops_the_others() {
    let mut bench = Bench::new(1, 3);
    bench.submit("gang", 1, vec![urgent_gang(3)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    bench.end(&runs[0], EndKind::Failed);
    let stops = stopped(bench.round(10));
    assert_eq!(stops, runs[1..].to_vec());
    bench.end(&runs[1], EndKind::Broken);
    assert!(bench.round(10).starts.is_empty(), "one member still runs");
    bench.end(&runs[2], EndKind::Broken);
    let again = bench.round(10).starts;
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|start| start.run.0 == 2), "all members share the next number");
}

#[test]
fn gang_is_done_when_one_member_is() {
    let mut bench = Bench::new(1, 3);
    bench.submit("gang", 1, vec![urgent_gang(3)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    bench.end(&runs[1], EndKind::Done);
    assert_eq!(bench.state("gang"), Some(WorkflowState::Completed));
    bench.end(&runs[0], EndKind::Done);
    assert!(bench.round(10).starts.is_empty());
}

#[test]
fn job_fails_after_its_attempts() {
    let mut bench = Bench::new(1, 3);
    bench.submit("hopeless", 1, vec![patient(1)]);
    let first = run_of(&bench.round(0).starts[0]);
    bench.end(&first, EndKind::Failed);
    assert_eq!(bench.state("hopeless"), Some(WorkflowState::Running));
    let second = run_of(&bench.round(10).starts[0]);
    assert_ne!(first.upstream, second.upstream, "another upstream is tried");
    bench.end(&second, EndKind::Failed);
    assert_eq!(bench.state("hopeless"), Some(WorkflowState::Failed));
    assert!(bench.round(10).starts.is_empty());
}

#[test]
fn step_waits_for_those_before_it() {
    let mut bench = Bench::new(1, 2);
    bench.submit("chain", 1, vec![patient(2), patient(1).with_after(vec![0])]);
    let first: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    assert_eq!(first.len(), 2);
    bench.end(&first[0], EndKind::Done);
    assert!(bench.round(10).starts.is_empty());
    bench.end(&first[1], EndKind::Done);
    let last = bench.round(10).starts;
    assert_eq!(last.len(), 1);
    bench.end(&run_of(&last[0]), EndKind::Done);
    assert_eq!(bench.state("chain"), Some(WorkflowState::Completed));
}

/// Shows the scheduler how far every run of a step is.
fn list(bench: &mut Bench, runs: &[RunRef], percent: impl Fn(&RunRef) -> u32) {
    for run in runs {
        let listed = ListedRun {
            task: run.task.clone(),
            run: run.run,
            checkpoint: None,
            percent: percent(run),
            gauge: None,
        };
        let listing = RunListing {
            incarnation: Incarnation(1),
            clock: ClockReading(bench.now.0),
            running: vec![listed],
            ended: Vec::new(),
        };
        bench.scheduler.note_listing(bench.now, &bench.ledger, &run.upstream, &listing);
    }
}

#[test]
fn gang_on_an_upstream_that_slows_down_starts_again_elsewhere() {
    let mut bench = Bench::new(1, 4);
    bench.submit("gang", 1, vec![urgent_gang(3)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    let slow = runs[2].upstream.clone();
    list(&mut bench, &runs, |_| 1);
    bench.round(400);
    list(&mut bench, &runs, |run| if run.upstream == slow { 3 } else { 17 });
    assert!(bench.round(0).stops.is_empty(), "too little was seen to tell");
    bench.round(800);
    list(&mut bench, &runs, |run| if run.upstream == slow { 14 } else { 70 });
    let stops = stopped(bench.round(0));
    assert_eq!(stops, vec![runs[2].clone()]);
    for run in &runs {
        bench.end(run, EndKind::Stopped);
    }
    let again = bench.round(10).starts;
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|start| start.upstream != slow));
}

#[test]
fn gang_with_a_member_that_stands_still_starts_again() {
    let mut bench = Bench::new(1, 4);
    bench.submit("gang", 1, vec![urgent_gang(3)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    list(&mut bench, &runs, |_| 5);
    bench.round(100);
    list(&mut bench, &runs, |_| 9);
    bench.round(1_600);
    let stuck = runs[0].upstream.clone();
    list(&mut bench, &runs, |run| if run.upstream == stuck { 9 } else { 60 });
    assert_eq!(stopped(bench.round(0)), vec![runs[0].clone()]);
}

#[test]
fn resumed_gang_that_waits_for_a_member_is_not_taken_for_one_that_stands_still() {
    let mut bench = Bench::new(1, 4);
    bench.submit("gang", 1, vec![urgent_gang(3)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    for _ in 0..5 {
        list(&mut bench, &runs, |_| 40);
        assert!(bench.round(500).stops.is_empty());
    }
}

#[test]
fn long_task_is_not_taken_for_one_that_stands_still() {
    let mut bench = Bench::new(1, 2);
    let hours = StepSpec { estimate_ms: 4 * 3_600_000, ..StepSpec::new(1, SINGLE) };
    bench.submit("long", 1, vec![hours]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    list(&mut bench, &runs, |_| 5);
    bench.round(120_000);
    list(&mut bench, &runs, |_| 5);
    assert!(bench.round(0).stops.is_empty());
}

#[test]
fn gang_goes_without_slower_upstreams_where_it_can() {
    let mut bench = Bench::new(1, 4);
    bench.submit("first", 1, vec![urgent_gang(4)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    let slower = runs[1].upstream.clone();
    list(&mut bench, &runs, |_| 1);
    bench.round(1_000);
    list(&mut bench, &runs, |run| if run.upstream == slower { 31 } else { 41 });
    for run in &runs {
        bench.end(run, EndKind::Done);
    }
    bench.submit("second", 1, vec![urgent_gang(3)]);
    let starts = bench.round(10).starts;
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.upstream != slower));
}
