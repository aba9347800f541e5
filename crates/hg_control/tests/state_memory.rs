//! Guards against replicated state that outgrows the memory of a control host: of its 64 MB, a quarter is for 4,000
//! upstreams and 12,400 runs.

#[allow(dead_code, reason = "other tests use the rest of the world")]
mod workflow_world;

use hg_control::encode_ledger;
use hg_model::{ResourceVector, StepSpec, WorkflowSpec};
use hg_policy::WorkflowBounds;
use peak_alloc::PeakAlloc;
use workflow_world::{Faults, World};

#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;

const UPSTREAMS: u32 = 300;
const JOBS: u32 = 120;
/// 4 of the 16 MB.
const UPSTREAM_MAX_BYTES: usize = 1_000;
/// 8 of the 16 MB.
const RUN_MAX_BYTES: usize = 640;
/// 4 of the 16 MB, if three times as many tasks wait as run.
const TASK_MAX_BYTES: usize = 100;

/// The live memory that a copy takes.
fn bytes_of<T: Clone>(value: &T) -> usize {
    let before = MEMORY.current_usage();
    let copy = value.clone();
    let bytes = MEMORY.current_usage() - before;
    drop(copy);
    bytes
}

#[test]
fn replicated_state_fits_into_a_quarter_of_the_memory() {
    let mut world = World::with_fleet(1, Faults::default(), WorkflowBounds::default(), UPSTREAMS);
    world.set_run_ms(20_000..60_000);
    for number in 0..JOBS {
        let batch = StepSpec::new(60, ResourceVector::new(1, 2_800, 8_200));
        let batch = StepSpec { estimate_ms: 30_000, ..batch };
        world.submit_spec(number, WorkflowSpec::new("patient", vec![batch]));
        world.run(50);
    }
    let ledger = world.ledger();
    let state = ledger.workflows();
    let runs = state.upstreams().keys().map(|name| state.occupancy().runs(name).count());
    let runs: usize = runs.sum();
    let tasks: u32 = state.jobs().values().flat_map(|job| &job.spec.steps).map(|s| s.tasks).sum();
    let tasks = usize::try_from(tasks).expect("a count");
    assert!(runs > 1_000 && tasks > 5_000, "{runs} runs of {tasks} tasks");
    let each = [
        ("upstream", bytes_of(state.upstreams()) / state.upstreams().len(), UPSTREAM_MAX_BYTES),
        ("run", bytes_of(state.occupancy()) / runs, RUN_MAX_BYTES),
        ("task", bytes_of(state.jobs()) / tasks, TASK_MAX_BYTES),
    ];
    for (what, bytes, max) in each {
        eprintln!("{bytes} bytes for each {what}");
        assert!(bytes <= max, "{bytes} bytes for each {what}, {max} allowed");
    }
    let (snapshot, live) = (encode_ledger(ledger).len(), bytes_of(ledger));
    eprintln!("{live} bytes in all, {snapshot} in a snapshot");
    assert!(snapshot <= live, "a snapshot of {snapshot} bytes for {live} bytes of state");
}
