//! Upstreams that crash, because of a task or not.
//!
//! Guards against a task that crashes each upstream that starts it and is started again without end, and against
//! workflows that fail although only their upstreams were to blame.

use hg_model::{ResourceVector, StepSpec, WorkflowSpec, WorkflowState};
use hg_policy::WorkflowBounds;

use crate::workflow_world::{Faults, World};
use crate::{SEEDS, run_seeds};

const SMALL: ResourceVector = ResourceVector::new(1, 2_000, 4_096);

fn step(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 1_500, ..StepSpec::new(tasks, SMALL) }
}

/// The largest number of upstreams that crashed under any task of a workflow.
fn crashes_under(world: &World, number: u32) -> u32 {
    let id = format!("job-{number}");
    let of_job = world.crashes().iter().filter(|(task, _)| task.step.job.as_str() == id);
    of_job.map(|(_, count)| *count).max().unwrap_or(0)
}

/// Plays a deadly workflow beside a workflow without fault.
fn play_deadly(mut world: World, content: &str, step: StepSpec) -> World {
    world.submit_spec(0, WorkflowSpec::new("work", vec![self::step(8)]));
    world.run(500);
    world.submit_spec(1, WorkflowSpec::new(content, vec![step]));
    for _ in 0..60 {
        world.run(1_000);
        world.poll_states();
    }
    world
}

fn assert_given_up(world: &World) {
    assert_eq!(world.state(1), Some(WorkflowState::Failed));
    assert_eq!(world.state(0), Some(WorkflowState::Completed), "the other workflow is done");
    let crashes = crashes_under(world, 1);
    assert!((2..=5).contains(&crashes), "{crashes} upstreams crashed");
}

#[test]
fn task_that_crashes_its_upstreams_is_given_up() {
    let world = World::new(1, Faults::default());
    assert_given_up(&play_deadly(world, "deadly", step(1)));
}

#[test]
fn step_whose_tasks_all_crash_their_upstreams_is_given_up() {
    let world = World::new(2, Faults::default());
    assert_given_up(&play_deadly(world, "deadly", step(5)));
}

#[test]
fn gang_with_a_member_that_crashes_its_upstream_is_given_up() {
    let whole = ResourceVector::new(8, 2_000, 4_096);
    let gang = StepSpec { estimate_ms: 1_500, ..StepSpec::new(3, whole) }.with_gang();
    let world = World::new(3, Faults::default());
    assert_given_up(&play_deadly(world, "deadly-1", gang));
}

#[test]
fn long_running_task_that_crashes_its_upstreams_is_given_up() {
    let world = World::new(4, Faults::default());
    let long_running = StepSpec { long_running: true, ..step(1) };
    assert_given_up(&play_deadly(world, "deadly", long_running));
}

#[test]
fn crashing_tasks_stay_within_bounds_despite_leader_changes() {
    run_seeds(Faults { deadly_jobs: 150, leader_changes: 150, ..Faults::default() });
}

#[test]
fn crashing_tasks_stay_within_bounds_despite_lost_and_late_orders() {
    run_seeds(Faults {
        deadly_jobs: 100,
        lost_orders: 30,
        late_orders: 50,
        lost_answers: 40,
        ..Faults::default()
    });
}

#[test]
fn crashing_tasks_stay_within_bounds_despite_all_faults() {
    run_seeds(Faults {
        deadly_jobs: 100,
        outages: 50,
        power_losses: 20,
        capacity_changes: 100,
        lost_orders: 20,
        late_orders: 30,
        lost_answers: 20,
        failing_runs: 30,
        disconnects: 100,
        leader_changes: 100,
        cancels: 50,
        lease_gaps: 50,
        ..Faults::default()
    });
}

/// Upstreams that crash by themselves or lose their power fail no workflow.
#[test]
fn no_workflow_fails_because_its_upstreams_were_unlucky() {
    run_seeds(Faults { outages: 400, power_losses: 100, leader_changes: 50, ..Faults::default() });
}

/// Plays changes of capacity on upstreams that start whatever they are asked to.
fn play_capacity_changes(faults: Faults) {
    for seed in 0..SEEDS {
        let mut world = World::with_bounds(seed, faults, WorkflowBounds::default());
        world.stop_enforcing_capacity();
        eprintln!("seed {seed}");
        crate::play(world);
    }
}

#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk() {
    play_capacity_changes(Faults {
        capacity_changes: 500,
        leader_changes: 50,
        ..Faults::default()
    });
}

#[test]
fn late_heartbeat_restores_no_capacity_that_has_shrunk() {
    play_capacity_changes(Faults {
        capacity_changes: 700,
        late_heartbeats: 300,
        ..Faults::default()
    });
}

#[test]
fn start_that_was_delayed_does_not_exceed_a_capacity_that_has_shrunk() {
    play_capacity_changes(Faults {
        capacity_changes: 700,
        unsent_orders: 300,
        disconnects: 200,
        leader_changes: 200,
        lost_orders: 50,
        ..Faults::default()
    });
}
