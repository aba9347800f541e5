//! A leader with 1,100 upstreams under the load of its worst hour: gangs, urgent gangs and wide batches that
//! together ask for more accelerators than there are.
//!
//! Guards against a leader whose work for each event grows with the fleet, so that it falls behind and loses its lease.

use std::time::Duration;

use hg_model::{ResourceVector, StepSpec, WorkflowSpec};
use hg_policy::WorkflowBounds;

use crate::workflow_world::{Faults, World};

const UPSTREAMS: u32 = 1_100;
/// How long jobs arrive, in steps of `ARRIVALS_MS`.
const ARRIVALS: u32 = 80;
const ARRIVALS_MS: u64 = 100;
/// How much a slow leader completes at least, in percent of what a fast one does.
const GOODPUT_MIN_PERCENT: usize = 90;

/// The jobs of one arrival step: two urgent gangs, and in some steps a large gang or a wide batch. In the mean they
/// ask for a tenth more accelerators than there are.
fn specs(step: u32) -> Vec<WorkflowSpec> {
    let accelerators = [1, 2, 4, 8, 8][step as usize % 5];
    let urgent = StepSpec::new(8, ResourceVector::new(accelerators, 3_700, 15_000)).with_gang();
    let urgent = StepSpec { estimate_ms: 2_500, ..urgent };
    let mut specs = vec![WorkflowSpec::new("urgent", vec![urgent]); 2];
    let mut patient = |step| specs.push(WorkflowSpec::new("patient", vec![step]));
    if step.is_multiple_of(3) {
        let gang = StepSpec::new(26, ResourceVector::new(accelerators, 13_000, 68_000));
        patient(StepSpec { estimate_ms: 8_500, ..gang.with_gang() });
    }
    if step % 5 < 2 {
        let batch = StepSpec::new(78, ResourceVector::new(1, 2_800, 8_200));
        patient(StepSpec { estimate_ms: 6_100, checkpointable: step.is_multiple_of(5), ..batch });
    }
    specs
}

/// Plays the load on a leader that is told that each of its steps took `step_time`. Returns the world at the end.
fn play(step_time: Duration) -> World {
    let faults = Faults { lost_orders: 2, ..Faults::default() };
    let mut world = World::with_fleet(1, faults, WorkflowBounds::default(), UPSTREAMS);
    world.set_run_ms(2_000..6_000);
    world.set_step_time(step_time);
    drop(world.take_steps());
    let mut number = 0;
    for step in 0..ARRIVALS {
        for spec in specs(step) {
            world.submit_spec(number, spec);
            number += 1;
        }
        world.run(ARRIVALS_MS);
    }
    let mut steps = world.take_steps();
    steps.sort_unstable();
    let total: Duration = steps.iter().sum();
    let at = |percent: usize| steps[(steps.len() - 1) * percent / 100];
    eprintln!(
        "{} steps for {ARRIVALS} x {ARRIVALS_MS} ms of load: {total:?} in all, p50 {:?}, p99 {:?}, longest {:?}, \
         {} runs, digest of orders {:x}",
        steps.len(),
        at(50),
        at(99),
        at(100),
        world.running(),
        world.orders_digest()
    );
    world.poll_states();
    world
}

/// A leader whose rounds take 50 ms decides less often, on more at once, and completes nearly as much.
#[test]
fn leader_of_a_large_fleet_completes_its_work_however_long_rounds_take() {
    let fast = play(Duration::ZERO).completed();
    let slow = play(Duration::from_millis(50)).completed();
    assert!(fast > 0);
    assert!(slow * 100 >= fast * GOODPUT_MIN_PERCENT, "{slow} jobs instead of {fast}");
}
