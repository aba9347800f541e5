//! A leader with 1,100 upstreams under the load of its worst hour: gangs, urgent gangs and wide batches that
//! together ask for more accelerators than there are.
//!
//! Guards against a leader whose work for each event grows with the fleet, so that it falls behind and loses its lease.

mod workflow_world;

use std::time::Duration;

use hg_model::{ResourceVector, StepSpec, WorkflowSpec};
use hg_policy::WorkflowBounds;
use workflow_world::{Faults, World};

const UPSTREAMS: u32 = 1_100;
/// How long jobs arrive, in steps of `ARRIVALS_MS`.
const ARRIVALS: u32 = 200;
const ARRIVALS_MS: u64 = 100;

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
        patient(StepSpec { estimate_ms: 6_100, checkpointable: step % 5 == 0, ..batch });
    }
    specs
}

#[test]
fn leader_of_a_large_fleet_keeps_up_with_overload() {
    let faults = Faults { lost_orders: 2, ..Faults::default() };
    let mut world = World::with_fleet(1, faults, WorkflowBounds::default(), UPSTREAMS);
    world.set_run_ms(2_000..9_000);
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
        "{} steps in {ARRIVALS} x {ARRIVALS_MS} ms: {total:?} in all, p50 {:?}, p99 {:?}, longest {:?}; {} runs, digest {:x}",
        steps.len(),
        at(50),
        at(99),
        at(100),
        world.running(),
        world.orders_digest()
    );
}
