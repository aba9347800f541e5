//! Stateful fuzzing of the agreement against a simple oracle.
//!
//! CI runs fixed seeds. For a long run give `HG_FUZZ_SECONDS`; to replay a failure give `HG_FUZZ_SEED` the
//! number that it printed.

mod close_leaders;
mod support;

use std::time::{Duration, Instant};

use arbtest::arbitrary::Unstructured;
use support::world::{Done, World};

/// Seeds that CI runs, for each group size.
const SEEDS: u64 = 150;
/// The same for stories, each of which is as long as many steps.
const EPISODE_SEEDS: u64 = 40;
/// Bytes of choices in each run.
const CHOICES: usize = 12_000;

/// Runs one world to the end of its choices, then heals it.
fn run(replicas: usize, seed: u64) -> Done {
    run_world(World::new(replicas), seed)
}

/// The same with a network that delivers most messages in order.
fn run_prompt(replicas: usize, seed: u64) -> Done {
    run_world(World::new(replicas).with_prompt_network(), seed)
}

/// Stories in which leaders follow each other closely.
fn run_episodes(replicas: usize, seed: u64) -> Done {
    let mut world = World::new(replicas).with_prompt_network();
    if seed.is_multiple_of(2) {
        world = world.with_small_messages();
    }
    let choices = choices(seed);
    let mut u = Unstructured::new(&choices);
    while !u.is_empty() {
        world.episode(&mut u).expect("the choices are enough for a step");
    }
    world.heal();
    world.done()
}

fn run_world(mut world: World, seed: u64) -> Done {
    let choices = choices(seed);
    let mut u = Unstructured::new(&choices);
    while !u.is_empty() {
        world.step(&mut u).expect("the choices are enough for a step");
    }
    world.heal();
    world.done()
}

/// A stream of bytes that follows from the seed alone.
fn choices(seed: u64) -> Vec<u8> {
    use rand::{Rng as _, SeedableRng as _};
    let mut bytes = vec![0; CHOICES];
    rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

fn run_seeds(replicas: usize, run: fn(usize, u64) -> Done) {
    run_some(replicas, SEEDS, run);
}

fn run_some(replicas: usize, seeds: u64, run: fn(usize, u64) -> Done) {
    if let Ok(seed) = std::env::var("HG_FUZZ_SEED") {
        run(replicas, seed.parse().expect("HG_FUZZ_SEED is a number"));
        return;
    }
    let started = Instant::now();
    let seconds = std::env::var("HG_FUZZ_SECONDS").ok().and_then(|s| s.parse().ok());
    let limit = seconds.map(Duration::from_secs);
    let mut all = Done::default();
    for seed in 0.. {
        let done = limit.map_or(seed >= seeds, |limit| started.elapsed() >= limit);
        if done {
            break;
        }
        let result = std::panic::catch_unwind(|| run(replicas, seed));
        match result {
            Ok(more) => {
                all.steps += more.steps;
                all.leaders += more.leaders;
                all.acknowledged += more.acknowledged;
            }
            Err(panic) => {
                eprintln!(
                    "{replicas} replicas: replay with HG_FUZZ_SEED={seed} after {} steps",
                    all.steps
                );
                std::panic::resume_unwind(panic);
            }
        }
    }
    let rate = all.steps as f64 / started.elapsed().as_secs_f64();
    println!("{replicas} replicas: {all:?}, {rate:.0} steps a second");
    assert!(all.leaders > 0 && all.acknowledged > 0, "the runs did nothing");
}

#[test]
fn agreement_three_replicas() {
    run_seeds(3, run);
}

#[test]
fn agreement_five_replicas() {
    run_seeds(5, run);
}

#[test]
fn agreement_three_replicas_prompt() {
    run_seeds(3, run_prompt);
}

#[test]
fn agreement_five_replicas_prompt() {
    run_seeds(5, run_prompt);
}

#[test]
fn agreement_three_replicas_episodes() {
    run_some(3, EPISODE_SEEDS, run_episodes);
}

#[test]
fn agreement_five_replicas_episodes() {
    run_some(5, EPISODE_SEEDS, run_episodes);
}

/// Two replicas whose generators had equal seeds split every vote.
#[test]
fn agreement_equal_seeds_elect() {
    run(3, 363);
}

/// A new leader that had to send a snapshot first kept silent until it was voted out.
#[test]
fn agreement_leader_with_snapshot_stays() {
    run(3, 243);
}

/// A replica that was let in by an entry that was never committed asked no more.
#[test]
fn agreement_joiner_left_out_asks_again() {
    run(5, 904);
}

/// The same with arbtest's own choices, which also shrinks what it finds.
#[test]
fn agreement_arbtest() {
    arbtest::arbtest(|u| {
        let mut world = World::new(3);
        while !u.is_empty() {
            world.step(u)?;
        }
        world.heal();
        Ok(())
    })
    .seed(0x5eed_0000_4000)
    .budget_ms(0);
}
