//! Which tasks start where, and which runs are stopped.

use std::time::Duration;

use crate::harness::{Harness, job, run_of, upstream};
use hg_ledger::{RunRef, SavedProgress, WorkflowCommand};
use hg_model::{
    Checkpoint, ClockReading, EndKind, Incarnation, ListedRun, ResourceVector, RunListing,
    StepSpec, Time, UpstreamReport, WorkflowState,
};
use hg_policy::{WorkflowBounds, WorkflowDecisions};

const WHOLE_UPSTREAM: ResourceVector = ResourceVector::new(8, 8_000, 16_384);
const ONE_ACCELERATOR: ResourceVector = ResourceVector::new(1, 2_800, 8_200);

fn stopped_runs(decisions: WorkflowDecisions) -> Vec<RunRef> {
    decisions.stops.into_iter().map(|stop| stop.run).collect()
}

fn batch_step(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 6_000, ..StepSpec::new(tasks, ONE_ACCELERATOR) }
}

fn gang_step(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 2_500, ..StepSpec::new(tasks, WHOLE_UPSTREAM) }.with_gang()
}

#[test]
fn urgent_gang_starts_only_when_stopped_work_has_ended() {
    let mut harness = Harness::new(1, 2);
    harness.submit("sweep", 2, vec![batch_step(16)]);
    let running: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    assert_eq!(running.len(), 16, "the pool is full");
    harness.submit("quote", 0, vec![gang_step(2)]);
    let first = harness.round(10);
    assert_eq!(first.stops.len(), 16, "all of it has to be stopped");
    assert!(first.starts.is_empty());
    for run in &running[..15] {
        harness.end(run, EndKind::Stopped);
        assert!(harness.round(10).starts.is_empty(), "one upstream is still in use");
    }
    harness.end(&running[15], EndKind::Stopped);
    let starts = harness.round(10).starts;
    assert_eq!(starts.len(), 2, "both members at once");
    assert!(starts.iter().all(|start| start.task.step.job.as_str() == "quote"));
    assert!(harness.is_within_capacity());
}

#[test]
fn urgent_steps_do_not_overcommit_held_resources() {
    let mut harness = Harness::new(1, 2);
    harness.submit("sweep", 2, vec![batch_step(16)]);
    harness.round(0);
    harness.submit("quote", 0, vec![gang_step(1)]);
    harness.round(10);
    harness.submit("quote-2", 0, vec![gang_step(1)]);
    for _ in 0..20 {
        harness.round(10);
        assert!(harness.is_within_capacity());
    }
}

#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut harness = Harness::new(1, 2);
    harness.submit("sweep", 1, vec![batch_step(1)]);
    let sweep = run_of(&harness.round(0).starts[0]);
    harness.submit("gang", 1, vec![gang_step(2)]);
    assert!(harness.round(10).starts.is_empty());
    harness.end(&sweep, EndKind::Done);
    assert_eq!(harness.round(10).starts.len(), 2);
}

#[test]
fn gang_with_a_lost_member_stops_the_others() {
    let mut harness = Harness::new(1, 3);
    harness.submit("gang", 1, vec![gang_step(3)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    harness.end(&runs[0], EndKind::Failed);
    let stops = stopped_runs(harness.round(10));
    assert_eq!(stops, runs[1..].to_vec());
    harness.end(&runs[1], EndKind::Broken);
    assert!(harness.round(10).starts.is_empty(), "one member still runs");
    harness.end(&runs[2], EndKind::Broken);
    let restarted = harness.round(10).starts;
    assert_eq!(restarted.len(), 3);
    assert!(restarted.iter().all(|start| start.run.0 == 2), "all members share the next number");
}

#[test]
fn gang_is_completed_when_one_member_is() {
    let mut harness = Harness::new(1, 3);
    harness.submit("gang", 1, vec![gang_step(3)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    harness.end(&runs[1], EndKind::Done);
    assert_eq!(harness.state("gang"), Some(WorkflowState::Completed));
    harness.end(&runs[0], EndKind::Done);
    assert!(harness.round(10).starts.is_empty());
}

#[test]
fn job_fails_after_its_attempts() {
    let mut harness = Harness::new(1, 3);
    harness.submit("hopeless", 1, vec![batch_step(1)]);
    let first = run_of(&harness.round(0).starts[0]);
    harness.end(&first, EndKind::Failed);
    assert_eq!(harness.state("hopeless"), Some(WorkflowState::Running));
    let second = run_of(&harness.round(10).starts[0]);
    assert_ne!(first.upstream, second.upstream, "another upstream is tried");
    harness.end(&second, EndKind::Failed);
    assert_eq!(harness.state("hopeless"), Some(WorkflowState::Failed));
    assert!(harness.round(10).starts.is_empty());
}

#[test]
fn step_waits_for_its_predecessors() {
    let mut harness = Harness::new(1, 2);
    harness.submit("chain", 1, vec![batch_step(2), batch_step(1).with_after(vec![0])]);
    let first: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    assert_eq!(first.len(), 2);
    harness.end(&first[0], EndKind::Done);
    assert!(harness.round(10).starts.is_empty());
    harness.end(&first[1], EndKind::Done);
    let last = harness.round(10).starts;
    assert_eq!(last.len(), 1);
    harness.end(&run_of(&last[0]), EndKind::Done);
    assert_eq!(harness.state("chain"), Some(WorkflowState::Completed));
}

/// Reports the progress of every given run to the scheduler.
fn report_progress(harness: &mut Harness, runs: &[RunRef], percent: impl Fn(&RunRef) -> u32) {
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
            clock: ClockReading(harness.now.0),
            running: vec![listed],
            ended: Vec::new(),
            has_more_ends: false,
        };
        harness.scheduler.record_listing(harness.now, &harness.ledger, &run.upstream, &listing);
    }
}

#[test]
fn gang_on_an_upstream_that_slows_down_restarts_elsewhere() {
    let mut harness = Harness::new(1, 4);
    harness.submit("gang", 1, vec![gang_step(3)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    let slow = runs[2].upstream.clone();
    report_progress(&mut harness, &runs, |_| 1);
    harness.round(400);
    report_progress(&mut harness, &runs, |run| if run.upstream == slow { 3 } else { 17 });
    assert!(harness.round(0).stops.is_empty(), "too little progress to compare rates");
    harness.round(800);
    report_progress(&mut harness, &runs, |run| if run.upstream == slow { 14 } else { 70 });
    let stops = stopped_runs(harness.round(0));
    assert_eq!(stops, vec![runs[2].clone()]);
    for run in &runs {
        harness.end(run, EndKind::Stopped);
    }
    let restarted = harness.round(10).starts;
    assert_eq!(restarted.len(), 3);
    assert!(restarted.iter().all(|start| start.upstream != slow));
}

#[test]
fn gang_with_a_stalled_member_restarts() {
    let mut harness = Harness::new(1, 4);
    harness.submit("gang", 1, vec![gang_step(3)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    report_progress(&mut harness, &runs, |_| 5);
    harness.round(100);
    report_progress(&mut harness, &runs, |_| 9);
    harness.round(1_600);
    let stalled = runs[0].upstream.clone();
    report_progress(&mut harness, &runs, |run| if run.upstream == stalled { 9 } else { 60 });
    assert_eq!(stopped_runs(harness.round(0)), vec![runs[0].clone()]);
}

#[test]
fn resumed_gang_that_waits_for_a_member_is_not_stalled() {
    let mut harness = Harness::new(1, 4);
    harness.submit("gang", 1, vec![gang_step(3)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    for _ in 0..5 {
        report_progress(&mut harness, &runs, |_| 40);
        assert!(harness.round(500).stops.is_empty());
    }
}

#[test]
fn long_task_without_visible_progress_is_not_stalled() {
    let mut harness = Harness::new(1, 2);
    let hours = StepSpec { estimate_ms: 4 * 3_600_000, ..StepSpec::new(1, ONE_ACCELERATOR) };
    harness.submit("long", 1, vec![hours]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    report_progress(&mut harness, &runs, |_| 5);
    harness.round(120_000);
    report_progress(&mut harness, &runs, |_| 5);
    assert!(harness.round(0).stops.is_empty());
}

#[test]
fn gang_avoids_slower_upstreams_where_possible() {
    let mut harness = Harness::new(1, 4);
    harness.submit("first", 1, vec![gang_step(4)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    let slower = runs[1].upstream.clone();
    report_progress(&mut harness, &runs, |_| 1);
    harness.round(1_000);
    report_progress(&mut harness, &runs, |run| if run.upstream == slower { 31 } else { 41 });
    for run in &runs {
        harness.end(run, EndKind::Done);
    }
    harness.submit("second", 1, vec![gang_step(3)]);
    let starts = harness.round(10).starts;
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.upstream != slower));
}

/// Upstream `u0` announces that it leaves in `ms` milliseconds.
fn announce_leaving_in(harness: &mut Harness, ms: u64) {
    let at = Time(harness.now.0 + ms);
    harness.fleet.leaving.insert(upstream(0), at);
}

#[test]
fn work_that_cannot_end_before_its_upstream_leaves_is_stopped_at_once() {
    let mut harness = Harness::new(1, 1);
    harness.submit("sweep", 2, vec![batch_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    announce_leaving_in(&mut harness, 4_000);
    assert_eq!(stopped_runs(harness.round(10)), vec![run]);
}

#[test]
fn checkpointable_work_is_stopped_at_the_last_moment() {
    let mut harness = Harness::new(1, 1);
    harness.submit("sweep", 2, vec![StepSpec { checkpointable: true, ..batch_step(1) }]);
    let run = run_of(&harness.round(0).starts[0]);
    announce_leaving_in(&mut harness, 4_000);
    assert!(harness.round(10).stops.is_empty(), "the run can still make progress");
    assert_eq!(stopped_runs(harness.round(3_000)), vec![run]);
}

#[test]
fn work_that_ends_before_its_upstream_leaves_continues() {
    let mut harness = Harness::new(1, 1);
    harness.submit("sweep", 2, vec![batch_step(1)]);
    let runs = vec![run_of(&harness.round(0).starts[0])];
    report_progress(&mut harness, &runs, |_| 1);
    harness.round(1_000);
    report_progress(&mut harness, &runs, |_| 81);
    announce_leaving_in(&mut harness, 500);
    assert!(harness.round(10).stops.is_empty());
}

#[test]
fn saved_progress_of_a_lost_upstream_is_kept() {
    let mut harness = Harness::new(1, 2);
    harness.submit("sweep", 2, vec![StepSpec { checkpointable: true, ..batch_step(1) }]);
    let run = run_of(&harness.round(0).starts[0]);
    let checkpoint = Checkpoint::new("half").expect("not empty");
    let saved = SavedProgress { task: run.task.clone(), run: run.run, checkpoint };
    let (name, incarnation, at) = (run.upstream.clone(), Incarnation(1), harness.now);
    let deregister =
        WorkflowCommand::Deregister { name, incarnation, saved: vec![saved.clone()], at };
    harness.apply(deregister);
    let job = harness.ledger.job(&run.task.step.job).expect("the job is still active");
    let task = &job.occurrence(0).expect("the occurrence has started").steps[0].tasks[0];
    assert_eq!(task.checkpoint.as_ref(), Some(&saved.checkpoint));
}

/// A pool full of one account's urgent work, half of which its guarantee covers.
fn flooded_pool() -> (Harness, Vec<RunRef>) {
    flooded_pool_with(WorkflowBounds::default())
}

fn flooded_pool_with(bounds: WorkflowBounds) -> (Harness, Vec<RunRef>) {
    let mut harness = Harness::with_bounds(1, 4, bounds);
    harness.guarantee(&[("flood", 16), ("other", 16)]);
    for number in 0..4 {
        harness.submit_for("flood", &format!("flood-{number}"), 0, vec![gang_step(1)]);
        harness.round(1);
    }
    let running = harness.ledger.occupancy().upstreams().cloned().collect::<Vec<_>>();
    assert_eq!(running.len(), 4, "the pool is full");
    let runs = running.iter().flat_map(|upstream| {
        harness.ledger.occupancy().runs(upstream).map(|(task, open)| RunRef {
            upstream: upstream.clone(),
            task: task.clone(),
            run: open.run,
        })
    });
    let runs = runs.collect();
    (harness, runs)
}

#[test]
fn guaranteed_work_preempts_urgent_work_beyond_a_guarantee() {
    let (mut harness, runs) = flooded_pool();
    harness.submit_for("other", "claim", 0, vec![gang_step(2)]);
    assert!(harness.round(1_000).stops.is_empty(), "some of the flooding work may end by itself");
    let stops = stopped_runs(harness.round(300));
    let of_flood = |stop: &RunRef| ["flood-2", "flood-3"].contains(&stop.task.step.job.as_str());
    assert_eq!(stops.len(), 2);
    assert!(stops.iter().all(of_flood), "covered work is not stopped: {stops:?}");
    for stop in &stops {
        harness.end(stop, EndKind::Stopped);
    }
    let starts = harness.round(10).starts;
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| start.task.step.job.as_str() == "claim"));
    assert_eq!(runs.len(), 4);
}

/// The starts and stops of guaranteed work that arrives in a pool full of long-running tasks of a lower priority.
fn claim_beside_long_running(max_unavailable: u32, guaranteed: u32) -> Vec<RunRef> {
    let mut harness = Harness::new(1, 4);
    harness.guarantee(&[("other", guaranteed)]);
    let long_running =
        StepSpec { long_running: true, max_unavailable, gang: false, ..gang_step(4) };
    harness.submit_for("idle", "lasting", 2, vec![long_running]);
    assert_eq!(harness.round(1).starts.len(), 4, "the pool is full");
    harness.submit_for("other", "claim", 0, vec![gang_step(2)]);
    stopped_runs(harness.round(100))
}

/// Guards against guaranteed accelerators that cannot be claimed while others' long-running tasks use them (review/3).
#[test]
fn guaranteed_work_preempts_long_running_tasks() {
    assert_eq!(claim_beside_long_running(0, 16).len(), 2);
}

/// Guards against stops of long-running tasks for work that no guarantee covers, or of a step that limits how many of its tasks
/// may be unavailable.
#[test]
fn long_running_tasks_are_preempted_for_nothing_else() {
    assert_eq!(claim_beside_long_running(0, 0), []);
    assert_eq!(claim_beside_long_running(1, 16), []);
}

/// Guards against long-running tasks that are stopped although other work could be.
#[test]
fn long_running_tasks_are_preempted_last() {
    let mut harness = Harness::new(1, 4);
    harness.guarantee(&[("other", 16)]);
    let long_running = StepSpec { long_running: true, gang: false, ..gang_step(2) };
    harness.submit_for("idle", "lasting", 2, vec![long_running]);
    harness.submit_for("idle", "batch", 1, vec![StepSpec { gang: false, ..gang_step(2) }]);
    assert_eq!(harness.round(1).starts.len(), 4, "the pool is full");
    harness.submit_for("other", "claim", 0, vec![gang_step(2)]);
    let stops = stopped_runs(harness.round(60_000));
    assert_eq!(stops.len(), 2);
    assert!(stops.iter().all(|stop| stop.task.step.job.as_str() == "batch"), "{stops:?}");
}

/// A deployment may promise guaranteed capacity sooner or later than the default: the latest moment to preempt
/// follows its bounds, with time for two stops.
#[test]
fn guaranteed_work_starts_in_time_with_bounds_at_half_and_at_twice_the_defaults() {
    for percent in [50, 100, 200] {
        let bounds = WorkflowBounds::default();
        let (reclaim, stop) = (bounds.reclaim * percent / 100, bounds.stop * percent / 100);
        let bounds = WorkflowBounds { reclaim, stop, ..bounds };
        let (mut harness, _) = flooded_pool_with(bounds);
        harness.submit_for("other", "claim", 0, vec![gang_step(2)]);
        let accepted = harness.now;
        let mut stops = Vec::new();
        while stops.is_empty() {
            stops = stopped_runs(harness.round(50));
            let latest = accepted.after(reclaim.saturating_sub(2 * stop));
            assert!(harness.now < latest, "at {percent} % nothing was stopped until {latest:?}");
        }
        let stopped_after = harness.now.since(accepted);
        assert!(
            stopped_after >= Duration::from_millis(u64::from(percent) * 2),
            "{percent} %: early"
        );
        for stop in &stops {
            harness.end(stop, EndKind::Stopped);
        }
        assert_eq!(harness.round(10).starts.len(), 2, "{percent} %");
    }
}

#[test]
fn urgent_work_beyond_a_guarantee_preempts_no_urgent_work() {
    let (mut harness, _) = flooded_pool();
    harness.submit_for("flood", "flood-4", 0, vec![gang_step(1)]);
    assert!(harness.round(10).stops.is_empty());
}

#[test]
fn guaranteed_work_gets_resources_held_for_urgent_work_beyond_a_guarantee() {
    let mut harness = Harness::new(1, 2);
    harness.guarantee(&[("flood", 8), ("other", 16)]);
    harness.submit("sweep", 2, vec![batch_step(16)]);
    harness.round(0);
    harness.submit_for("flood", "flood", 0, vec![gang_step(2)]);
    assert_eq!(harness.round(10).stops.len(), 16);
    harness.submit_for("other", "claim", 0, vec![gang_step(2)]);
    let runs: Vec<RunRef> = harness
        .ledger
        .upstreams()
        .keys()
        .flat_map(|at| harness.ledger.occupancy().runs(at).map(move |run| (at, run)))
        .map(|(at, (task, open))| RunRef {
            upstream: at.clone(),
            task: task.clone(),
            run: open.run,
        })
        .collect();
    harness.round(10);
    for run in &runs {
        harness.end(run, EndKind::Stopped);
    }
    let starts = harness.round(10).starts;
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| start.task.step.job.as_str() == "claim"), "{starts:?}");
}

#[test]
fn urgent_step_waits_for_pending_stops_rather_than_preempting_more() {
    let mut harness = Harness::new(1, 2);
    harness.submit("cancelled", 2, vec![batch_step(8)]);
    harness.submit("sweep", 2, vec![batch_step(8)]);
    harness.round(0);
    let (id, at) = (job("cancelled"), harness.now);
    harness.apply(WorkflowCommand::Cancel { id, at });
    assert_eq!(harness.round(10).stops.len(), 8);
    harness.submit("quote", 0, vec![gang_step(1)]);
    assert!(harness.round(10).stops.is_empty(), "the cancelled job's runs free enough capacity");
}

#[test]
fn small_pool_keeps_no_headroom() {
    let mut harness = Harness::new(1, 2);
    harness.submit("quote", 0, vec![gang_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    harness.end(&run, EndKind::Done);
    harness.submit("sweep", 2, vec![batch_step(16)]);
    assert_eq!(harness.round(100).starts.len(), 16);
}

#[test]
fn capacity_of_the_last_urgent_peak_is_kept_free_for_a_while() {
    let mut harness = Harness::new(1, 10);
    harness.submit("quote", 0, vec![gang_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    harness.round(100);
    harness.end(&run, EndKind::Done);
    harness.submit("sweep", 2, vec![batch_step(80)]);
    assert_eq!(harness.round(100).starts.len(), 72, "one upstream is kept free");
    harness.submit("quote-2", 0, vec![gang_step(1)]);
    let round = harness.round(100);
    assert_eq!(
        (round.starts.len(), round.stops.len()),
        (1, 0),
        "starts at once, and nothing is stopped"
    );
    let quote = run_of(&round.starts[0]);
    harness.end(&quote, EndKind::Done);
    let later: usize = (0..24).map(|_| harness.round(500).starts.len()).sum();
    assert_eq!(later, 8, "the last urgent peak is too old to count");
}

#[test]
fn gang_with_a_member_that_never_makes_progress_restarts() {
    let mut harness = Harness::new(1, 4);
    harness.submit("gang", 1, vec![gang_step(3)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    let stalled = runs[0].upstream.clone();
    let percent = |run: &RunRef, moved| if run.upstream == stalled { 0 } else { moved };
    report_progress(&mut harness, &runs, |_| 0);
    harness.round(300);
    report_progress(&mut harness, &runs, |run| percent(run, 5));
    harness.round(600);
    report_progress(&mut harness, &runs, |run| percent(run, 30));
    assert!(harness.round(0).stops.is_empty(), "the task may still be loading");
    harness.round(100);
    report_progress(&mut harness, &runs, |run| percent(run, 36));
    assert_eq!(stopped_runs(harness.round(0)), vec![runs[0].clone()]);
}

#[test]
fn gang_that_waits_for_a_member_is_not_stalled() {
    let mut harness = Harness::new(1, 4);
    harness.submit("gang", 1, vec![gang_step(3)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    for _ in 0..6 {
        report_progress(&mut harness, &runs, |_| 0);
        assert!(harness.round(500).stops.is_empty());
    }
}

#[test]
fn single_task_that_never_makes_progress_restarts_elsewhere() {
    let mut harness = Harness::new(1, 2);
    harness.submit("sweep", 2, vec![batch_step(1)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    report_progress(&mut harness, &runs, |_| 0);
    harness.round(2_000);
    report_progress(&mut harness, &runs, |_| 0);
    assert!(harness.round(0).stops.is_empty(), "the task may still be loading");
    harness.round(200);
    report_progress(&mut harness, &runs, |_| 0);
    assert_eq!(stopped_runs(harness.round(0)), runs);
    harness.end(&runs[0], EndKind::Stopped);
    let restarted = harness.round(10).starts;
    assert_ne!(restarted[0].upstream, runs[0].upstream);
}

/// Runs a single task to its end, at the rate of a total run time of `ms`.
fn complete_single_task(harness: &mut Harness, name: &str, ms: u64) {
    harness.submit(name, 2, vec![batch_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    for percent in [1, 51, 99] {
        report_progress(harness, std::slice::from_ref(&run), |_| percent);
        harness.round(ms / 2);
    }
    harness.end(&run, EndKind::Done);
}

#[test]
fn single_task_far_slower_than_typical_in_its_queue_restarts() {
    let mut harness = Harness::new(1, 2);
    for number in 0..8 {
        complete_single_task(&mut harness, &format!("sweep-{number}"), 6_000);
    }
    harness.submit("slow", 2, vec![batch_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    report_progress(&mut harness, std::slice::from_ref(&run), |_| 1);
    harness.round(4_000);
    report_progress(&mut harness, std::slice::from_ref(&run), |_| 14);
    assert_eq!(stopped_runs(harness.round(0)), vec![run]);
}

#[test]
fn single_task_of_a_queue_with_bad_estimates_is_not_restarted() {
    let mut harness = Harness::new(1, 2);
    for number in 0..8 {
        complete_single_task(
            &mut harness,
            &format!("sweep-{number}"),
            if number % 2 == 0 { 2_000 } else { 24_000 },
        );
    }
    harness.submit("slow", 2, vec![batch_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    report_progress(&mut harness, std::slice::from_ref(&run), |_| 1);
    harness.round(4_000);
    report_progress(&mut harness, std::slice::from_ref(&run), |_| 14);
    assert!(harness.round(0).stops.is_empty());
}

/// The true run times of the tasks of a wide step, in milliseconds: they differ by a factor of four although their
/// estimates are equal. By chance the longest are on the first upstream, and the shortest on the others.
fn uneven_run_ms(run: &RunRef) -> u64 {
    match (run.task.index, run.task.index % 8) {
        (6 | 7, _) => 8_800,
        (_, 6 | 7) => 2_200,
        _ => 4_500,
    }
}

/// Starts a step of 32 uneven tasks on four upstreams and reports their progress for 4 s. The upstreams in `slow`
/// work at a sixth of the speed. Returns the runs that are stopped meanwhile.
fn stops_of_uneven_tasks(slow: &[&str]) -> Vec<RunRef> {
    let mut harness = Harness::new(1, 4);
    harness.submit("sweep", 2, vec![batch_step(32)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    assert_eq!(runs.len(), 32);
    let mut stops = Vec::new();
    for elapsed_ms in (0_u64..4_000).step_by(500) {
        report_progress(&mut harness, &runs, |run| {
            let factor = if slow.contains(&run.upstream.as_str()) { 6 } else { 1 };
            let percent = 1 + elapsed_ms * 99 / (uneven_run_ms(run) * factor);
            u32::try_from(percent.min(99)).expect("a percentage")
        });
        stops.extend(stopped_runs(harness.round(500)));
    }
    stops
}

/// The longest tasks of a wide step run at a quarter of the rate of the shortest. That says nothing about their
/// upstreams: taking them for slow ones restarted gangs beside them.
#[test]
fn uneven_tasks_of_a_wide_step_make_no_upstream_slow() {
    let stops = stops_of_uneven_tasks(&[]);
    assert!(stops.is_empty(), "{stops:?}");
}

#[test]
fn upstream_that_is_slow_for_all_tasks_of_a_wide_step_is_detected() {
    let stops = stops_of_uneven_tasks(&["u1"]);
    assert!(!stops.is_empty());
    assert!(stops.iter().all(|run| run.upstream == upstream(1)), "{stops:?}");
}

/// Gangs that wait for whole upstreams starve if small tasks take each accelerator as it becomes free. How many of
/// them get upstreams reserved follows from the size of the pool.
#[test]
fn reservations_of_gangs_grow_with_the_pool() {
    let mut harness = Harness::new(4, 8);
    harness.submit("first", 2, vec![batch_step(256)]);
    let first: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    assert_eq!(first.len(), 256, "the pool is full");
    for number in 0..12 {
        harness.submit(&format!("gang-{number}"), 1, vec![gang_step(1)]);
    }
    harness.submit("second", 2, vec![batch_step(256)]);
    harness.round(10);
    // One accelerator becomes free on each upstream.
    for run in first.iter().step_by(8) {
        harness.end(run, EndKind::Done);
    }
    let starts = harness.round(10).starts;
    let of_second = starts.iter().filter(|start| start.task.step.job.as_str() == "second").count();
    // A gang takes 72 of the 96 units of an upstream's weight, so a quarter of the pool holds eleven of the twelve.
    assert_eq!(of_second, 32 - 11, "small tasks leave a quarter of the pool to gangs");
}

#[test]
fn gang_gets_the_upstreams_that_drain_soonest() {
    let mut harness = Harness::new(1, 4);
    harness.submit("first", 2, vec![batch_step(32)]);
    let first: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    harness.submit("gang", 1, vec![gang_step(1)]);
    harness.submit("second", 2, vec![batch_step(16)]);
    assert!(harness.round(4_000).starts.is_empty());
    let (on_reserved, other): (Vec<_>, Vec<_>) =
        first.into_iter().partition(|run| run.upstream == upstream(0));
    for run in on_reserved.iter().take(7) {
        harness.end(run, EndKind::Done);
        assert!(
            harness.round(10).starts.is_empty(),
            "no other task may start on the reserved upstream"
        );
    }
    harness.end(&other[0], EndKind::Done);
    assert_eq!(harness.round(10).starts.len(), 1, "other upstreams are not reserved");
    harness.end(&on_reserved[7], EndKind::Done);
    let starts = harness.round(10).starts;
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task.step.job.as_str(), "gang");
}

#[test]
fn nothing_is_reserved_while_most_of_the_pool_is_idle() {
    let mut harness = Harness::new(1, 3);
    harness.submit("first", 2, vec![batch_step(1)]);
    harness.round(0);
    harness.submit("gang", 1, vec![gang_step(3)]);
    harness.submit("second", 2, vec![batch_step(20)]);
    assert_eq!(harness.round(10).starts.len(), 20);
}

#[test]
fn short_task_backfills_while_a_gang_waits() {
    let mut harness = Harness::new(1, 1);
    harness.submit("first", 2, vec![batch_step(7)]);
    harness.round(0);
    harness.submit("gang", 1, vec![gang_step(1)]);
    harness.submit("short", 2, vec![StepSpec { estimate_ms: 4_000, ..batch_step(1) }]);
    harness.submit("long", 2, vec![StepSpec { estimate_ms: 9_000, ..batch_step(1) }]);
    let starts = harness.round(10).starts;
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task.step.job.as_str(), "short");
}

#[test]
fn stalled_short_urgent_task_restarts_in_time() {
    let mut harness = Harness::new(1, 2);
    harness.submit("quote", 0, vec![gang_step(1)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    report_progress(&mut harness, &runs, |_| 0);
    harness.round(600);
    report_progress(&mut harness, &runs, |_| 0);
    assert!(harness.round(0).stops.is_empty(), "the task may still be loading");
    harness.round(700);
    report_progress(&mut harness, &runs, |_| 0);
    assert_eq!(stopped_runs(harness.round(0)), runs, "after 1.3 s of its 4.75 s");
}

#[test]
fn late_heartbeat_does_not_bring_a_leaving_upstream_back() {
    let mut harness = Harness::new(1, 1);
    let ready = harness.ledger.upstreams()[&upstream(0)].clone();
    harness.apply(WorkflowCommand::Register(UpstreamReport { leaving: true, ..ready.clone() }));
    harness.apply(WorkflowCommand::Register(ready.clone()));
    harness.submit("sweep", 2, vec![batch_step(1)]);
    assert!(harness.round(10).starts.is_empty());
    let next_incarnation = UpstreamReport { incarnation: Incarnation(2), ..ready };
    harness.apply(WorkflowCommand::Register(next_incarnation));
    assert_eq!(harness.round(10).starts.len(), 1);
}
