//! Tasks that crash their upstreams, and upstreams that crash by themselves.

use std::collections::BTreeSet;

use hg_ledger::{ExposedRun, RunRef, RunStart, WorkflowCommand};
use hg_model::{EndKind, Incarnation, ResourceVector, StepSpec, Time, UpstreamName, WorkflowState};
use hg_policy::{WorkflowBounds, WorkflowScheduler};

use crate::harness::{Harness, run_of, upstream};

const SMALL: ResourceVector = ResourceVector::new(1, 2_000, 4_096);
/// Longer than a task that may be guilty waits until it is given up, in milliseconds.
const SETTLED_MS: u64 = 6_000;

fn step(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 2_000, ..StepSpec::new(tasks, SMALL) }
}

/// Crashes upstreams at the present time, with everything that they run. Their next incarnations are registered at once.
fn crash(harness: &mut Harness, names: &[UpstreamName]) {
    for name in names {
        let known = harness.ledger.upstreams()[name].clone();
        let runs = harness.ledger.occupancy().runs(name).map(|(task, open)| ExposedRun {
            task: task.clone(),
            run: open.run,
            since: open.since,
            is_confirmed: true,
        });
        let (name, incarnation, at) = (name.clone(), known.incarnation, harness.now);
        let runs: Vec<ExposedRun> = runs.collect();
        let silent_since = Some(at);
        let crashed =
            WorkflowCommand::UpstreamCrashed { name, incarnation, silent_since, runs, at };
        harness.apply(crashed);
        let (name, saved) = (known.name.clone(), Vec::new());
        harness.apply(WorkflowCommand::Deregister { name, incarnation, saved, at });
        let next = Incarnation(incarnation.0 + 1);
        let report = hg_model::UpstreamReport { incarnation: next, ..known };
        harness.apply(WorkflowCommand::Register(report));
    }
}

fn starts_of<'a>(starts: &'a [RunStart], job: &str) -> Vec<&'a RunStart> {
    starts.iter().filter(|start| start.task.step.job.as_str() == job).collect()
}

/// The upstream of the only start of a job.
fn upstream_of(starts: &[RunStart], job: &str) -> UpstreamName {
    let starts = starts_of(starts, job);
    assert_eq!(starts.len(), 1, "{job} starts once");
    starts[0].upstream.clone()
}

#[test]
fn suspects_of_a_crash_start_where_nothing_else_runs() {
    let mut harness = Harness::new(2, 8);
    harness.submit("innocent", 1, vec![step(3)]);
    harness.submit("deadly", 1, vec![step(1)]);
    let first = upstream_of(&harness.round(0).starts, "deadly");
    assert_eq!(harness.ledger.occupancy().runs(&first).count(), 4, "all share an upstream");
    harness.now = Time(harness.now.0 + 300);
    crash(&mut harness, &[first]);
    let starts = harness.round(100).starts;
    assert_eq!(starts.len(), 4, "nobody waits");
    let runs_beside = |harness: &Harness, start: &RunStart| {
        harness.ledger.occupancy().runs(&start.upstream).count() - 1
    };
    assert!(starts.iter().all(|start| runs_beside(&harness, start) == 0), "each is alone");
    harness.submit("later", 1, vec![step(60)]);
    harness.round(100);
    assert!(starts.iter().all(|start| runs_beside(&harness, start) == 0), "and stays alone");
}

#[test]
fn task_that_crashes_every_upstream_fails_its_workflow_after_the_second_crash_alone() {
    let mut harness = Harness::new(6, 8);
    harness.submit("deadly", 1, vec![step(1)]);
    for number in 1..=2 {
        let at = upstream_of(&harness.round(100).starts, "deadly");
        harness.now = Time(harness.now.0 + 300);
        crash(&mut harness, &[at]);
        assert_eq!(harness.ledger.crashes().tasks().len(), 1, "crash {number} is recorded");
    }
    assert!(
        harness.round(100).starts.is_empty(),
        "it does not start while the cause is determined"
    );
    let given_up = harness.round(SETTLED_MS).given_up;
    assert_eq!(given_up.len(), 1);
    let (task, at) = (given_up[0].clone(), harness.now);
    harness.apply(WorkflowCommand::GiveUp { task, at });
    assert_eq!(harness.state("deadly"), Some(WorkflowState::Failed));
    assert!(harness.ledger.crashes().is_empty(), "nothing is kept of a workflow that has ended");
}

#[test]
fn crashes_of_a_task_outlive_a_change_of_the_leader() {
    let mut harness = Harness::new(6, 8);
    harness.submit("deadly", 1, vec![step(1)]);
    for _ in 0..2 {
        let at = upstream_of(&harness.round(100).starts, "deadly");
        harness.now = Time(harness.now.0 + 300);
        crash(&mut harness, &[at]);
        harness.scheduler = WorkflowScheduler::new(WorkflowBounds::default());
    }
    assert_eq!(harness.round(SETTLED_MS).given_up.len(), 1);
}

/// Each crash is reported by the next heartbeat, by answers of the next incarnation, and again by the next leader.
#[test]
fn crash_that_is_reported_twice_counts_once() {
    let mut harness = Harness::new(1, 2);
    harness.submit("job", 1, vec![step(1)]);
    let start = harness.round(0).starts.remove(0);
    for _ in 0..3 {
        harness.apply(WorkflowCommand::UpstreamCrashed {
            name: start.upstream.clone(),
            incarnation: start.incarnation,
            silent_since: Some(harness.now),
            runs: vec![ExposedRun {
                task: start.task.clone(),
                run: start.run,
                since: harness.now,
                is_confirmed: true,
            }],
            at: harness.now,
        });
    }
    assert_eq!(harness.ledger.crashes().of(&start.task).len(), 1);
}

/// Runs of an upstream that fell silent, recorded as lost before it is known whether it crashed.
fn silence(harness: &mut Harness, start: &RunStart) {
    let run = ExposedRun {
        task: start.task.clone(),
        run: start.run,
        since: harness.now,
        is_confirmed: true,
    };
    harness.apply(WorkflowCommand::UpstreamSilenced {
        name: start.upstream.clone(),
        incarnation: start.incarnation,
        silent_since: Some(harness.now),
        runs: vec![run],
        at: harness.now,
    });
}

#[test]
fn crash_that_is_reported_after_the_leases_expired_counts() {
    let mut harness = Harness::new(1, 2);
    harness.submit("job", 1, vec![step(1)]);
    let start = harness.round(0).starts.remove(0);
    silence(&mut harness, &start);
    harness.apply(WorkflowCommand::UpstreamCrashed {
        name: start.upstream.clone(),
        incarnation: start.incarnation,
        silent_since: None,
        runs: Vec::new(),
        at: Time(harness.now.0 + 15_000),
    });
    assert_eq!(harness.ledger.crashes().of(&start.task).len(), 1);
}

#[test]
fn upstream_that_was_only_cut_off_and_crashes_later_accuses_nobody() {
    let mut harness = Harness::new(1, 2);
    harness.submit("job", 1, vec![step(1)]);
    let start = harness.round(0).starts.remove(0);
    silence(&mut harness, &start);
    let later = Time(harness.now.0 + 15_000);
    harness.apply(WorkflowCommand::UpstreamCrashed {
        name: start.upstream.clone(),
        incarnation: start.incarnation,
        silent_since: Some(later),
        runs: Vec::new(),
        at: later,
    });
    assert!(harness.ledger.crashes().of(&start.task).is_empty());
}

#[test]
fn bystanders_of_a_crash_start_at_once_beside_others() {
    let mut harness = Harness::new(1, 2);
    harness.submit("bystander", 1, vec![step(2)]);
    harness.round(0);
    harness.submit("deadly", 1, vec![step(1)]);
    let first = upstream_of(&harness.round(3_000).starts, "deadly");
    harness.now = Time(harness.now.0 + 300);
    crash(&mut harness, &[first]);
    let starts = harness.round(100).starts;
    let bystanders = starts_of(&starts, "bystander");
    assert_eq!(bystanders.len(), 2);
    assert_eq!(bystanders[0].upstream, bystanders[1].upstream, "they share an upstream");
    assert_ne!(bystanders[0].upstream, upstream_of(&starts, "deadly"));
}

/// A rack that loses its power takes upstreams with and without work; none of the work is to blame.
#[test]
fn loss_of_power_isolates_nobody_and_fails_nothing() {
    let mut harness = Harness::new(4, 8);
    for loss in 0..4 {
        let job = format!("job-{loss}");
        harness.submit(&job, 1, vec![step(20)]);
        let first = harness.round(2_000).starts;
        harness.round(2_000);
        let rack: Vec<UpstreamName> = (0..8).map(upstream).collect();
        assert!(first.iter().all(|start| rack.contains(&start.upstream)), "all in one rack");
        crash(&mut harness, &rack);
        let decisions = harness.round(100);
        assert_eq!(starts_of(&decisions.starts, &job).len(), 20, "all of the work starts again");
        let used: BTreeSet<&UpstreamName> =
            decisions.starts.iter().map(|start| &start.upstream).collect();
        assert_eq!(used.len(), 3, "eight tasks share an upstream");
        assert!(harness.round(SETTLED_MS).given_up.is_empty());
        for start in decisions.starts {
            harness.end(&run_of(&start), EndKind::Done);
        }
        assert!(harness.ledger.crashes().is_empty());
    }
}

/// A wave of tasks that each crash their upstream, on a pool that is busy with other work.
#[test]
fn wave_of_crashing_tasks_leaves_most_of_the_pool_to_other_work() {
    let mut harness = Harness::new(6, 8);
    for number in 0..28 {
        harness.submit(&format!("deadly-{number}"), 1, vec![step(1)]);
    }
    let mut crashes = 0;
    for round in 0..200 {
        harness.submit(&format!("work-{round}"), 1, vec![step(4)]);
        let decisions = harness.round(100);
        for task in decisions.given_up {
            harness.apply(WorkflowCommand::GiveUp { task, at: harness.now });
        }
        let is_deadly = |start: &&RunStart| start.task.step.job.as_str().starts_with("deadly");
        let doomed: BTreeSet<UpstreamName> =
            decisions.starts.iter().filter(is_deadly).map(|start| start.upstream.clone()).collect();
        crashes += doomed.len();
        harness.now = Time(harness.now.0 + 50);
        crash(&mut harness, &doomed.into_iter().collect::<Vec<_>>());
        let old: Vec<_> = harness
            .ledger
            .upstreams()
            .keys()
            .flat_map(|name| {
                let runs = harness.ledger.occupancy().runs(name);
                let old = runs.filter(|(_, open)| harness.now.0 >= open.since.0 + 1_000);
                old.map(|(task, open)| RunRef {
                    upstream: name.clone(),
                    task: task.clone(),
                    run: open.run,
                })
            })
            .collect();
        for run in old {
            harness.end(&run, EndKind::Done);
        }
    }
    let failed = (0..28)
        .filter(|number| harness.state(&format!("deadly-{number}")) == Some(WorkflowState::Failed));
    assert_eq!(failed.count(), 28, "every deadly task is given up");
    let failed_work = (0..200)
        .filter(|round| harness.state(&format!("work-{round}")) == Some(WorkflowState::Failed));
    assert_eq!(failed_work.count(), 0, "no other work fails");
    let done = (0..200)
        .filter(|round| harness.state(&format!("work-{round}")) == Some(WorkflowState::Completed));
    let done = done.count();
    assert!(done >= 180, "{done} of 200 other workflows are done, {crashes} upstreams crashed");
    assert!(crashes <= 28 * 5, "{crashes} upstreams crashed");
}
