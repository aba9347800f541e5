//! Stateful fuzzing of the job scheduler and of the lifecycle of jobs against an oracle that
//! recomputes everything.
//!
//! CI runs fixed seeds. For a long run set `HG_FUZZ_SECONDS`; to replay a failure set
//! `HG_FUZZ_SEED` to the printed seed.

mod support;

use std::time::{Duration, Instant};

use arbtest::arbitrary::Unstructured;
use support::simulation::Simulation;

/// Seeds that CI runs.
const SEEDS: u64 = 120;
/// Bytes of random choices in each run.
const CHOICES: usize = 2_400;

/// Runs one simulation until its choices are used up, then ends all faults. Returns its number of
/// steps.
fn run(seed: u64) -> u64 {
    use rand::{Rng as _, SeedableRng as _};
    let mut choices = vec![0; CHOICES];
    rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut choices);
    let mut u = Unstructured::new(&choices);
    let mut simulation = Simulation::new();
    while !u.is_empty() {
        simulation.step(&mut u).expect("enough choices for a step");
    }
    simulation.recover();
    simulation.steps
}

#[test]
fn decisions_fixed_seeds() {
    if let Ok(seed) = std::env::var("HG_FUZZ_SEED") {
        run(seed.parse().expect("HG_FUZZ_SEED is a number"));
        return;
    }
    let started = Instant::now();
    let seconds = std::env::var("HG_FUZZ_SECONDS").ok().and_then(|s| s.parse().ok());
    let limit = seconds.map(Duration::from_secs);
    let mut steps = 0;
    for seed in 0.. {
        if limit.map_or(seed >= SEEDS, |limit| started.elapsed() >= limit) {
            break;
        }
        match std::panic::catch_unwind(|| run(seed)) {
            Ok(more) => steps += more,
            Err(panic) => {
                eprintln!("replay with HG_FUZZ_SEED={seed} after {steps} steps");
                std::panic::resume_unwind(panic);
            }
        }
    }
    println!("{steps} steps, {:.0} a second", steps as f64 / started.elapsed().as_secs_f64());
}

/// Seeds that once failed, each with its fault.
#[test]
fn decisions_seeds_that_failed() {
    for seed in [
        11,  // An adjacent block was split while the rack of its other parts was unknown.
        28,  // A quarantined upstream was never readmitted when no job could try it.
        58,  // An adjacent job waited forever behind guaranteed parts that could have moved.
        414, // A gang was accepted that no pool with these guarantees can hold.
        793, // A new leader counted a claim that had been dropped by a move into the moved part.
    ] {
        run(seed);
    }
}

/// The same with choices by `arbtest`, which also shrinks a failing run.
#[test]
fn decisions_arbtest() {
    arbtest::arbtest(|u| {
        let mut simulation = Simulation::new();
        while !u.is_empty() {
            simulation.step(u)?;
        }
        simulation.recover();
        Ok(())
    })
    .seed(0x5eed_0000_4000)
    .budget_ms(0);
}
