//! The drain of a data centre: what starts, what is stopped and when, and how work returns.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::harness::{Harness, run_of, upstream};
use crate::upkeep_advice_pace::report_progress;
use hg_ledger::{RunRef, RunStart, WorkflowCommand};
use hg_model::{DataCentreName, EndKind, ResourceVector, StepSpec, UpstreamName};
use hg_policy::{RunStop, StopReason, admit};

const WHOLE_UPSTREAM: ResourceVector = ResourceVector::new(8, 8_000, 16_384);
const BOUND_MS: u64 = 5_000;

fn south() -> DataCentreName {
    DataCentreName::new("south").expect("a valid name")
}

/// A pool of one rack, whose last `south` upstreams are in the south and all others in the north.
fn pool(all: u32, in_south: u32) -> Harness {
    let mut harness = Harness::new(1, all);
    for number in all - in_south..all {
        harness.set_data_centre(number, &south());
    }
    harness
}

fn start_drain(harness: &mut Harness) {
    harness.apply(WorkflowCommand::StartDrain { data_centre: south(), at: harness.now });
    harness.fleet.drained.insert(south(), harness.now.after(Duration::from_millis(BOUND_MS)));
}

fn end_drain(harness: &mut Harness) {
    harness.apply(WorkflowCommand::EndDrain { data_centre: south(), at: harness.now });
    harness.fleet.drained.clear();
}

fn is_south(harness: &Harness, name: &UpstreamName) -> bool {
    harness.ledger.upstreams()[name].data_centre == south()
}

fn step(tasks: u32, estimate_ms: u64) -> StepSpec {
    StepSpec { estimate_ms, ..StepSpec::new(tasks, WHOLE_UPSTREAM) }
}

/// The upstreams of some starts.
fn targets(starts: &[RunStart]) -> BTreeSet<UpstreamName> {
    starts.iter().map(|start| start.upstream.clone()).collect()
}

/// Asserts that all stops are for the drain and hit runs there; returns how many there are.
fn drained(harness: &Harness, stops: &[RunStop]) -> usize {
    for stop in stops {
        assert_eq!(stop.reason, StopReason::Drained);
        assert!(is_south(harness, &stop.run.upstream), "{stop:?}");
    }
    stops.len()
}

/// Excluding candidates must hold for every way to start: placement, gangs, preemption and holds.
#[test]
fn nothing_starts_in_a_drained_data_centre() {
    let mut harness = pool(4, 2);
    start_drain(&mut harness);
    harness.submit("sweep", 2, vec![step(4, 60_000)]);
    harness.submit("gang", 1, vec![step(3, 60_000).with_gang()]);
    let first = harness.round(10).starts;
    assert_eq!(targets(&first), BTreeSet::from([upstream(0), upstream(1)]));
    harness.submit("urgent", 0, vec![step(1, 1_000)]);
    let stops = harness.round(10).stops;
    assert_eq!(stops.len(), 1);
    assert!(!is_south(&harness, &stops[0].run.upstream));
    harness.end(&stops[0].run, EndKind::Stopped);
    let urgent = harness.round(10).starts;
    assert_eq!(targets(&urgent), BTreeSet::from([stops[0].run.upstream.clone()]));
    end_drain(&mut harness);
    let rest = targets(&harness.round(10).starts);
    assert_eq!(rest, BTreeSet::from([upstream(2), upstream(3)]));
}

/// Resources that an urgent step was promised before the drain must not be used in it.
#[test]
fn hold_in_a_drained_data_centre_is_dropped() {
    let mut harness = pool(1, 1);
    harness.submit("sweep", 2, vec![step(1, 60_000)]);
    harness.round(10);
    harness.submit("urgent", 0, vec![step(1, 1_000)]);
    let stops = harness.round(10).stops;
    assert_eq!(stops.len(), 1, "the urgent step waits for this stop");
    start_drain(&mut harness);
    harness.end(&stops[0].run, EndKind::Stopped);
    assert!(harness.round(10).starts.is_empty());
}

#[test]
fn run_that_ends_in_time_is_left_alone_and_another_one_restarts_at_once() {
    let mut harness = pool(3, 2);
    harness.submit("short", 1, vec![step(2, 3_000)]);
    harness.submit("long", 1, vec![step(1, 60_000)]);
    let starts = harness.round(10).starts;
    assert_eq!(starts.len(), 3);
    start_drain(&mut harness);
    let stops = harness.round(10).stops;
    let expected = starts.iter().filter(|start| {
        start.task.step.job.as_str() == "long" && is_south(&harness, &start.upstream)
    });
    assert_eq!(drained(&harness, &stops), expected.count());
    let left = starts.iter().filter(|start| is_south(&harness, &start.upstream)).count();
    assert!(left > stops.len(), "a short run is there");
    assert!(harness.round(2_000).stops.is_empty(), "it still ends in time");
}

#[test]
fn run_that_can_neither_end_in_time_nor_save_its_progress_is_stopped_at_once() {
    let mut harness = pool(1, 1);
    harness.submit("long", 1, vec![step(1, 60_000)]);
    let run = run_of(&harness.round(10).starts[0]);
    start_drain(&mut harness);
    let stops = harness.round(10).stops;
    assert_eq!(drained(&harness, &stops), 1);
    assert!(harness.round(10).stops.is_empty(), "it is stopped once");
    harness.end(&run, EndKind::Stopped);
    assert!(harness.round(10).starts.is_empty());
    harness.register(1);
    assert_eq!(targets(&harness.round(10).starts), BTreeSet::from([upstream(1)]));
}

#[test]
fn run_that_saves_its_progress_continues_until_the_last_moment() {
    let mut harness = pool(1, 1);
    let saved = StepSpec { checkpointable: true, ..step(1, 60_000) };
    harness.submit("long", 1, vec![saved]);
    harness.round(10);
    start_drain(&mut harness);
    assert!(harness.round(10).stops.is_empty());
    assert!(harness.round(3_900).stops.is_empty());
    let stops = harness.round(100).stops;
    assert_eq!(drained(&harness, &stops), 1);
}

/// A run that takes longer than its estimate would otherwise count as one that is about to end, for as long as it runs.
#[test]
fn run_that_exceeds_its_estimate_is_stopped_at_the_last_moment() {
    let mut harness = pool(1, 1);
    harness.submit("short", 1, vec![step(1, 1_000)]);
    harness.round(10);
    start_drain(&mut harness);
    assert!(harness.round(2_000).stops.is_empty());
    let stops = harness.round(2_100).stops;
    assert_eq!(drained(&harness, &stops), 1);
}

#[test]
fn gang_with_one_member_there_moves_whole_and_once() {
    let mut harness = pool(3, 1);
    harness.submit("filler", 1, vec![step(1, 600)]);
    let filler = run_of(&harness.round(10).starts[0]);
    harness.submit("gang", 1, vec![step(2, 60_000).with_gang()]);
    let members: Vec<RunRef> = harness.round(10).starts.iter().map(run_of).collect();
    let there = members.iter().filter(|run| is_south(&harness, &run.upstream)).count();
    assert_eq!(there, 1);
    start_drain(&mut harness);
    let stops = harness.round(10).stops;
    assert_eq!(drained(&harness, &stops), 1, "the other member ends with this one");
    for run in &members {
        let is_stopped = stops.iter().any(|stop| stop.run == *run);
        harness.end(run, if is_stopped { EndKind::Stopped } else { EndKind::Broken });
    }
    harness.end(&filler, EndKind::Done);
    let again = harness.round(10).starts;
    assert_eq!(targets(&again), BTreeSet::from([upstream(0), upstream(1)]));
    assert!(harness.round(10).stops.is_empty());
}

/// One member that is nearly done must not keep a gang whose other member is not.
#[test]
fn gang_is_judged_by_its_last_member() {
    let mut harness = pool(2, 1);
    harness.submit("gang", 1, vec![step(2, 20_000).with_gang()]);
    let members: Vec<RunRef> = harness.round(10).starts.iter().map(run_of).collect();
    let (there, other): (Vec<_>, Vec<_>) =
        members.iter().cloned().partition(|run| is_south(&harness, &run.upstream));
    for percent in [0, 15, 30, 45, 60, 75, 90] {
        report_progress(&mut harness, &there, percent, None);
        report_progress(&mut harness, &other, percent / 5, None);
        harness.now.0 += 1_000;
    }
    start_drain(&mut harness);
    let stops = harness.round(10).stops;
    let for_drain = stops.iter().filter(|stop| stop.reason == StopReason::Drained).count();
    assert_eq!(for_drain, 1, "{stops:?}");
}

#[test]
fn long_running_tasks_move_as_their_step_allows() {
    let mut harness = pool(6, 3);
    let serving = StepSpec { long_running: true, max_unavailable: 1, ..step(3, 0) };
    // Other work makes the service start in the south.
    harness.submit("filler", 0, vec![step(3, 600)]);
    let fillers: Vec<RunRef> = harness.round(10).starts.iter().map(run_of).collect();
    harness.submit("service", 1, vec![serving]);
    let runs: Vec<RunRef> = harness.round(10).starts.iter().map(run_of).collect();
    assert!(runs.iter().all(|run| is_south(&harness, &run.upstream)));
    report_progress(&mut harness, &runs, 100, None);
    start_drain(&mut harness);
    assert!(harness.round(10).stops.is_empty(), "there is no room elsewhere");
    for filler in &fillers {
        harness.end(filler, EndKind::Done);
    }
    let mut moved = 0;
    while moved < 3 {
        let stops = harness.round(10).stops;
        assert_eq!(drained(&harness, &stops), 1, "one at a time");
        assert!(harness.round(10).stops.is_empty(), "the first one has to be back");
        harness.end(&stops[0].run, EndKind::Stopped);
        let again: Vec<RunRef> = harness.round(10).starts.iter().map(run_of).collect();
        assert_eq!(again.len(), 1);
        assert!(!is_south(&harness, &again[0].upstream));
        assert!(harness.round(10).stops.is_empty(), "it is not in service yet");
        report_progress(&mut harness, &again, 100, None);
        moved += 1;
    }
    assert!(harness.round(10).stops.is_empty());
}

/// Its members cannot move one by one, since none works without the others.
#[test]
fn long_running_gang_moves_whole_once_there_is_room_for_all_of_it() {
    let mut harness = pool(4, 2);
    harness.submit("filler", 0, vec![step(2, 600)]);
    let fillers: Vec<RunRef> = harness.round(10).starts.iter().map(run_of).collect();
    harness.submit("service", 1, vec![StepSpec { long_running: true, ..step(2, 0) }.with_gang()]);
    let runs: Vec<RunRef> = harness.round(10).starts.iter().map(run_of).collect();
    assert!(runs.iter().all(|run| is_south(&harness, &run.upstream)));
    report_progress(&mut harness, &runs, 100, None);
    start_drain(&mut harness);
    harness.end(&fillers[0], EndKind::Done);
    assert!(harness.round(10).stops.is_empty(), "there is room for one member only");
    harness.end(&fillers[1], EndKind::Done);
    let stops = harness.round(10).stops;
    assert_eq!(drained(&harness, &stops), 2);
    for stop in &stops {
        harness.end(&stop.run, EndKind::Stopped);
    }
    let again = targets(&harness.round(10).starts);
    assert_eq!(again, BTreeSet::from([upstream(0), upstream(1)]));
}

/// A task that serves users would otherwise be stopped for room that other work takes before it can start again.
#[test]
fn room_for_a_long_running_task_is_kept_while_it_stops() {
    let mut harness = pool(2, 1);
    harness.submit("filler", 0, vec![step(1, 600)]);
    let filler = run_of(&harness.round(10).starts[0]);
    harness.submit("service", 1, vec![StepSpec { long_running: true, ..step(1, 0) }]);
    let run = run_of(&harness.round(10).starts[0]);
    assert!(is_south(&harness, &run.upstream));
    report_progress(&mut harness, std::slice::from_ref(&run), 100, None);
    harness.end(&filler, EndKind::Done);
    start_drain(&mut harness);
    assert_eq!(harness.round(10).stops.len(), 1);
    harness.submit("sweep", 2, vec![step(1, 60_000)]);
    assert!(harness.round(10).starts.is_empty());
    harness.end(&run, EndKind::Stopped);
    let starts = harness.round(10).starts;
    assert_eq!(starts[0].task.step.job.as_str(), "service");
}

#[test]
fn admission_accepts_what_fits_without_the_drain() {
    let mut harness = pool(2, 1);
    start_drain(&mut harness);
    harness.submit("gang", 1, vec![step(2, 1_000).with_gang()]);
    let job = harness.ledger.job(&crate::harness::job("gang")).expect("accepted").clone();
    let queue = hg_model::QueueSpec {
        name: job.terms.queue,
        host: "host".into(),
        prefix: "/".into(),
        pool: job.terms.pool,
        timeout_ms: 1_000,
        objective_ms: 1_000,
        stretch_milli: 3_000,
        priority: 1,
        attempts: 2,
        allow_anonymous: true,
        advice: None,
    };
    assert_eq!(admit(&harness.ledger, &queue, &job.spec), Ok(()));
    assert!(harness.round(10).starts.is_empty(), "it waits for the end of the drain");
}

fn set_cold(harness: &mut Harness, numbers: std::ops::Range<u32>) {
    harness.fleet.cold = numbers.map(upstream).collect();
}

fn quarter(tasks: u32) -> StepSpec {
    let each = ResourceVector::new(2, 2_000, 4_096);
    StepSpec { estimate_ms: 2_000, ..StepSpec::new(tasks, each) }
}

/// All work would otherwise return at once to upstreams that are slow at first.
#[test]
fn cold_upstream_takes_one_start_until_its_run_has_made_progress() {
    let mut harness = pool(2, 2);
    set_cold(&mut harness, 0..2);
    harness.submit("sweep", 2, vec![quarter(8)]);
    let first: Vec<RunRef> = harness.round(10).starts.iter().map(run_of).collect();
    assert_eq!(first.len(), 2, "one on each");
    assert!(harness.round(10).starts.is_empty());
    report_progress(&mut harness, &first[..1], 5, None);
    let more = harness.round(10).starts;
    assert_eq!(more.len(), 3);
    assert_eq!(targets(&more), BTreeSet::from([first[0].upstream.clone()]));
    set_cold(&mut harness, 0..0);
    assert_eq!(harness.round(10).starts.len(), 3, "the other one is warm");
}

#[test]
fn urgent_tasks_and_gangs_prefer_warm_upstreams() {
    let mut harness = pool(3, 1);
    set_cold(&mut harness, 0..1);
    harness.submit("urgent", 0, vec![quarter(1)]);
    assert!(!targets(&harness.round(10).starts).contains(&upstream(0)));
    harness.submit("gang", 1, vec![quarter(6).with_gang()]);
    let gang = harness.round(10).starts;
    assert_eq!(gang.len(), 6);
    assert!(!targets(&gang).contains(&upstream(0)));
    harness.submit("last", 0, vec![quarter(2)]);
    assert!(targets(&harness.round(10).starts).contains(&upstream(0)), "only it has room left");
}
