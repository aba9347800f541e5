//! What starts where, and what stops.

use crate::bench::{Bench, job, run_of, upstream};
use hg_ledger::{RunRef, SavedProgress, WorkflowCommand};
use hg_model::{
    Checkpoint, ClockReading, EndKind, Incarnation, ListedRun, ResourceVector, RunListing,
    StepSpec, Time, UpstreamReport, WorkflowState,
};
use hg_policy::WorkflowDecisions;

const WHOLE: ResourceVector = ResourceVector::new(8, 8_000, 16_384);
const SINGLE: ResourceVector = ResourceVector::new(1, 2_800, 8_200);

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
        bench.scheduler.record_listing(bench.now, &bench.ledger, &run.upstream, &listing);
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

/// `u0` says that it stays for `ms`.
fn leaves_in(bench: &mut Bench, ms: u64) {
    let at = Time(bench.now.0 + ms);
    bench.fleet.leaving.insert(upstream(0), at);
}

#[test]
fn work_that_cannot_end_before_its_upstream_leaves_goes_at_once() {
    let mut bench = Bench::new(1, 1);
    bench.submit("sweep", 2, vec![patient(1)]);
    let run = run_of(&bench.round(0).starts[0]);
    leaves_in(&mut bench, 4_000);
    assert_eq!(stopped(bench.round(10)), vec![run]);
}

#[test]
fn work_that_saves_its_progress_goes_at_the_last_moment() {
    let mut bench = Bench::new(1, 1);
    bench.submit("sweep", 2, vec![StepSpec { checkpointable: true, ..patient(1) }]);
    let run = run_of(&bench.round(0).starts[0]);
    leaves_in(&mut bench, 4_000);
    assert!(bench.round(10).stops.is_empty(), "it works on meanwhile");
    assert_eq!(stopped(bench.round(3_000)), vec![run]);
}

#[test]
fn work_that_ends_before_its_upstream_leaves_stays() {
    let mut bench = Bench::new(1, 1);
    bench.submit("sweep", 2, vec![patient(1)]);
    let runs = vec![run_of(&bench.round(0).starts[0])];
    list(&mut bench, &runs, |_| 1);
    bench.round(1_000);
    list(&mut bench, &runs, |_| 81);
    leaves_in(&mut bench, 500);
    assert!(bench.round(10).stops.is_empty());
}

#[test]
fn saved_progress_of_a_lost_upstream_is_kept() {
    let mut bench = Bench::new(1, 2);
    bench.submit("sweep", 2, vec![StepSpec { checkpointable: true, ..patient(1) }]);
    let run = run_of(&bench.round(0).starts[0]);
    let checkpoint = Checkpoint::new("half").expect("not empty");
    let saved = SavedProgress { task: run.task.clone(), run: run.run, checkpoint };
    let (name, incarnation, at) = (run.upstream.clone(), Incarnation(1), bench.now);
    let gone = WorkflowCommand::Deregister { name, incarnation, saved: vec![saved.clone()], at };
    bench.apply(gone);
    let job = bench.ledger.job(&run.task.step.job).expect("it goes on");
    let task = &job.occurrence(0).expect("it has begun").steps[0].tasks[0];
    assert_eq!(task.checkpoint.as_ref(), Some(&saved.checkpoint));
}

/// The pool is full of one account's urgent work, of which its guarantee covers half.
fn flooded() -> (Bench, Vec<RunRef>) {
    let mut bench = Bench::new(1, 4);
    bench.guarantee(&[("flood", 16), ("other", 16)]);
    for number in 0..4 {
        bench.submit_for("flood", &format!("flood-{number}"), 0, vec![urgent_gang(1)]);
        bench.round(1);
    }
    let running = bench.ledger.occupancy().upstreams().cloned().collect::<Vec<_>>();
    assert_eq!(running.len(), 4, "the pool is full");
    let runs = running.iter().flat_map(|upstream| {
        bench.ledger.occupancy().runs(upstream).map(|(task, open)| RunRef {
            upstream: upstream.clone(),
            task: task.clone(),
            run: open.run,
        })
    });
    let runs = runs.collect();
    (bench, runs)
}

#[test]
fn guaranteed_work_takes_room_from_urgent_work_beyond_a_guarantee() {
    let (mut bench, runs) = flooded();
    bench.submit_for("other", "claim", 0, vec![urgent_gang(2)]);
    assert!(bench.round(1_000).stops.is_empty(), "some of the flood may end by itself");
    let stops = stopped(bench.round(300));
    let of_flood = |stop: &RunRef| ["flood-2", "flood-3"].contains(&stop.task.step.job.as_str());
    assert_eq!(stops.len(), 2);
    assert!(stops.iter().all(of_flood), "what is covered goes on: {stops:?}");
    for stop in &stops {
        bench.end(stop, EndKind::Stopped);
    }
    let starts = bench.round(10).starts;
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| start.task.step.job.as_str() == "claim"));
    assert_eq!(runs.len(), 4);
}

#[test]
fn urgent_work_beyond_a_guarantee_stops_no_urgent_work() {
    let (mut bench, _) = flooded();
    bench.submit_for("flood", "flood-4", 0, vec![urgent_gang(1)]);
    assert!(bench.round(10).stops.is_empty());
}

#[test]
fn guaranteed_work_takes_room_that_is_held_for_urgent_work_beyond_a_guarantee() {
    let mut bench = Bench::new(1, 2);
    bench.guarantee(&[("flood", 8), ("other", 16)]);
    bench.submit("sweep", 2, vec![patient(16)]);
    bench.round(0);
    bench.submit_for("flood", "flood", 0, vec![urgent_gang(2)]);
    assert_eq!(bench.round(10).stops.len(), 16);
    bench.submit_for("other", "claim", 0, vec![urgent_gang(2)]);
    let runs: Vec<RunRef> = bench
        .ledger
        .upstreams()
        .keys()
        .flat_map(|at| bench.ledger.occupancy().runs(at).map(move |run| (at, run)))
        .map(|(at, (task, open))| RunRef {
            upstream: at.clone(),
            task: task.clone(),
            run: open.run,
        })
        .collect();
    bench.round(10);
    for run in &runs {
        bench.end(run, EndKind::Stopped);
    }
    let starts = bench.round(10).starts;
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| start.task.step.job.as_str() == "claim"), "{starts:?}");
}

#[test]
fn urgent_waits_for_room_that_is_being_cleared_rather_than_stopping_more() {
    let mut bench = Bench::new(1, 2);
    bench.submit("cancelled", 2, vec![patient(8)]);
    bench.submit("sweep", 2, vec![patient(8)]);
    bench.round(0);
    let (id, at) = (job("cancelled"), bench.now);
    bench.apply(WorkflowCommand::Cancel { id, at });
    assert_eq!(bench.round(10).stops.len(), 8);
    bench.submit("quote", 0, vec![urgent_gang(1)]);
    assert!(bench.round(10).stops.is_empty(), "the cancelled job makes room");
}

#[test]
fn small_pool_keeps_no_room_free() {
    let mut bench = Bench::new(1, 2);
    bench.submit("quote", 0, vec![urgent_gang(1)]);
    let run = run_of(&bench.round(0).starts[0]);
    bench.end(&run, EndKind::Done);
    bench.submit("sweep", 2, vec![patient(16)]);
    assert_eq!(bench.round(100).starts.len(), 16);
}

#[test]
fn room_of_the_last_urgent_peak_is_kept_free_for_a_while() {
    let mut bench = Bench::new(1, 10);
    bench.submit("quote", 0, vec![urgent_gang(1)]);
    let run = run_of(&bench.round(0).starts[0]);
    bench.round(100);
    bench.end(&run, EndKind::Done);
    bench.submit("sweep", 2, vec![patient(80)]);
    assert_eq!(bench.round(100).starts.len(), 72, "one upstream is kept free");
    bench.submit("quote-2", 0, vec![urgent_gang(1)]);
    let round = bench.round(100);
    assert_eq!((round.starts.len(), round.stops.len()), (1, 0), "at once, and nothing is stopped");
    let quote = run_of(&round.starts[0]);
    bench.end(&quote, EndKind::Done);
    let later: usize = (0..24).map(|_| bench.round(500).starts.len()).sum();
    assert_eq!(later, 8, "nothing urgent has come for long");
}

#[test]
fn gang_with_a_member_that_never_moves_starts_again() {
    let mut bench = Bench::new(1, 4);
    bench.submit("gang", 1, vec![urgent_gang(3)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    let stuck = runs[0].upstream.clone();
    let percent = |run: &RunRef, moved| if run.upstream == stuck { 0 } else { moved };
    list(&mut bench, &runs, |_| 0);
    bench.round(300);
    list(&mut bench, &runs, |run| percent(run, 5));
    bench.round(600);
    list(&mut bench, &runs, |run| percent(run, 30));
    assert!(bench.round(0).stops.is_empty(), "it may still load");
    bench.round(100);
    list(&mut bench, &runs, |run| percent(run, 36));
    assert_eq!(stopped(bench.round(0)), vec![runs[0].clone()]);
}

#[test]
fn gang_that_waits_for_a_member_is_not_taken_for_one_that_never_moves() {
    let mut bench = Bench::new(1, 4);
    bench.submit("gang", 1, vec![urgent_gang(3)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    for _ in 0..6 {
        list(&mut bench, &runs, |_| 0);
        assert!(bench.round(500).stops.is_empty());
    }
}

#[test]
fn single_task_that_never_moves_starts_again_elsewhere() {
    let mut bench = Bench::new(1, 2);
    bench.submit("sweep", 2, vec![patient(1)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    list(&mut bench, &runs, |_| 0);
    bench.round(2_000);
    list(&mut bench, &runs, |_| 0);
    assert!(bench.round(0).stops.is_empty(), "it may still load");
    bench.round(200);
    list(&mut bench, &runs, |_| 0);
    assert_eq!(stopped(bench.round(0)), runs);
    bench.end(&runs[0], EndKind::Stopped);
    let again = bench.round(10).starts;
    assert_ne!(again[0].upstream, runs[0].upstream);
}

/// Runs one task alone to its end, at the pace of a run time of `ms`.
fn run_alone(bench: &mut Bench, name: &str, ms: u64) {
    bench.submit(name, 2, vec![patient(1)]);
    let run = run_of(&bench.round(0).starts[0]);
    for percent in [1, 51, 99] {
        list(bench, std::slice::from_ref(&run), |_| percent);
        bench.round(ms / 2);
    }
    bench.end(&run, EndKind::Done);
}

#[test]
fn single_task_far_beyond_what_is_usual_in_its_queue_starts_again() {
    let mut bench = Bench::new(1, 2);
    for number in 0..8 {
        run_alone(&mut bench, &format!("sweep-{number}"), 6_000);
    }
    bench.submit("slow", 2, vec![patient(1)]);
    let run = run_of(&bench.round(0).starts[0]);
    list(&mut bench, std::slice::from_ref(&run), |_| 1);
    bench.round(4_000);
    list(&mut bench, std::slice::from_ref(&run), |_| 14);
    assert_eq!(stopped(bench.round(0)), vec![run]);
}

#[test]
fn single_task_of_a_queue_with_bad_estimates_is_left_alone() {
    let mut bench = Bench::new(1, 2);
    for number in 0..8 {
        run_alone(
            &mut bench,
            &format!("sweep-{number}"),
            if number % 2 == 0 { 2_000 } else { 24_000 },
        );
    }
    bench.submit("slow", 2, vec![patient(1)]);
    let run = run_of(&bench.round(0).starts[0]);
    list(&mut bench, std::slice::from_ref(&run), |_| 1);
    bench.round(4_000);
    list(&mut bench, std::slice::from_ref(&run), |_| 14);
    assert!(bench.round(0).stops.is_empty());
}

#[test]
fn gang_gets_the_upstreams_that_drain_soonest() {
    let mut bench = Bench::new(1, 4);
    bench.submit("first", 2, vec![patient(32)]);
    let first: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    bench.submit("gang", 1, vec![urgent_gang(1)]);
    bench.submit("second", 2, vec![patient(16)]);
    assert!(bench.round(4_000).starts.is_empty());
    let (keeps, other): (Vec<_>, Vec<_>) =
        first.into_iter().partition(|run| run.upstream == upstream(0));
    for run in keeps.iter().take(7) {
        bench.end(run, EndKind::Done);
        assert!(bench.round(10).starts.is_empty(), "nobody else may start beside it");
    }
    bench.end(&other[0], EndKind::Done);
    assert_eq!(bench.round(10).starts.len(), 1, "other upstreams are not kept");
    bench.end(&keeps[7], EndKind::Done);
    let starts = bench.round(10).starts;
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task.step.job.as_str(), "gang");
}

#[test]
fn nothing_is_reserved_while_most_of_the_pool_is_idle() {
    let mut bench = Bench::new(1, 3);
    bench.submit("first", 2, vec![patient(1)]);
    bench.round(0);
    bench.submit("gang", 1, vec![urgent_gang(3)]);
    bench.submit("second", 2, vec![patient(20)]);
    assert_eq!(bench.round(10).starts.len(), 20);
}

#[test]
fn short_task_starts_where_a_gang_has_to_wait_longer() {
    let mut bench = Bench::new(1, 1);
    bench.submit("first", 2, vec![patient(7)]);
    bench.round(0);
    bench.submit("gang", 1, vec![urgent_gang(1)]);
    bench.submit("short", 2, vec![StepSpec { estimate_ms: 4_000, ..patient(1) }]);
    bench.submit("long", 2, vec![StepSpec { estimate_ms: 9_000, ..patient(1) }]);
    let starts = bench.round(10).starts;
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task.step.job.as_str(), "short");
}

#[test]
fn short_urgent_task_that_stands_still_starts_again_in_time() {
    let mut bench = Bench::new(1, 2);
    bench.submit("quote", 0, vec![urgent_gang(1)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    list(&mut bench, &runs, |_| 0);
    bench.round(600);
    list(&mut bench, &runs, |_| 0);
    assert!(bench.round(0).stops.is_empty(), "it may still load");
    bench.round(700);
    list(&mut bench, &runs, |_| 0);
    assert_eq!(stopped(bench.round(0)), runs, "1.3 s of the 4.75 s that it has");
}

#[test]
fn late_heartbeat_does_not_bring_a_leaving_upstream_back() {
    let mut bench = Bench::new(1, 1);
    let ready = bench.ledger.upstreams()[&upstream(0)].clone();
    bench.apply(WorkflowCommand::Register(UpstreamReport { leaving: true, ..ready.clone() }));
    bench.apply(WorkflowCommand::Register(ready.clone()));
    bench.submit("sweep", 2, vec![patient(1)]);
    assert!(bench.round(10).starts.is_empty());
    let next_life = UpstreamReport { incarnation: Incarnation(2), ..ready };
    bench.apply(WorkflowCommand::Register(next_life));
    assert_eq!(bench.round(10).starts.len(), 1);
}
