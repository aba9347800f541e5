//! Stateful fuzzing of the decisions and of a job's life against an oracle that recomputes everything.
//!
//! CI runs fixed seeds. For a long run give `HG_FUZZ_SECONDS`; to replay a failure give `HG_FUZZ_SEED` the
//! number that it printed.

mod support;

use std::time::{Duration, Instant};

use arbtest::arbitrary::Unstructured;
use support::world::World;

/// Seeds that CI runs.
const SEEDS: u64 = 120;
/// Bytes of choices in each run.
const CHOICES: usize = 2_400;

/// Runs one world to the end of its choices, then heals it. Returns its steps.
fn run(seed: u64) -> u64 {
    use rand::{Rng as _, SeedableRng as _};
    let mut choices = vec![0; CHOICES];
    rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut choices);
    let mut u = Unstructured::new(&choices);
    let mut world = World::new();
    while !u.is_empty() {
        world.step(&mut u).expect("the choices are enough for a step");
    }
    world.heal();
    world.steps
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

/// Runs that once failed, each for the reason that it names.
#[test]
fn decisions_seeds_that_failed() {
    for seed in [
        11,  // An adjacent block was split while the rack of its rest was unknown.
        28,  // An upstream put aside stayed so for ever when no job could try it.
        58,  // A rack-wide job waited for ever behind parts that could have moved.
        414, // A gang was taken in that no pool with these guarantees can hold.
        793, // A new leader counted a claim that had been left behind into a moved part.
    ] {
        run(seed);
    }
}

/// The same with arbtest's own choices, which also shrinks what it finds.
#[test]
fn decisions_arbtest() {
    arbtest::arbtest(|u| {
        let mut world = World::new();
        while !u.is_empty() {
            world.step(u)?;
        }
        world.heal();
        Ok(())
    })
    .seed(0x5eed_0000_4000)
    .budget_ms(0);
}
