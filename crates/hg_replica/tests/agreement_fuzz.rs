//! Stateful fuzzing of the agreement protocol, checked by an oracle.
//!
//! CI runs fixed seeds. `HG_FUZZ_SECONDS` sets the duration of a longer run. To replay a failure,
//! set `HG_FUZZ_SEED` to the seed that it printed.

mod full_disks;
mod leader_changes;
mod support;

use std::time::{Duration, Instant};

use arbtest::arbitrary::Unstructured;
use support::world::{RunTotals, World};

/// The number of seeds that CI runs for each group size.
const SEEDS: u64 = 150;
/// The number of seeds for runs of scenarios, each of which takes as long as many single steps.
const SCENARIO_SEEDS: u64 = 40;
/// The number of random bytes that determine the fuzzer's choices in a run.
const CHOICE_BYTES: usize = 12_000;

/// Runs a world until its choices are used up, then heals it.
fn run(replicas: usize, seed: u64) -> RunTotals {
    run_world(World::new(replicas), seed)
}

/// Like [`run`], with a network that delivers most messages in order.
fn run_mostly_ordered(replicas: usize, seed: u64) -> RunTotals {
    run_world(World::new(replicas).with_mostly_ordered_network(), seed)
}

/// Like [`run_mostly_ordered`], with whole scenarios of leader changes instead of single steps;
/// with an even seed, each message carries at most one entry.
fn run_scenarios(replicas: usize, seed: u64) -> RunTotals {
    let mut world = World::new(replicas).with_mostly_ordered_network();
    if seed.is_multiple_of(2) {
        world = world.with_small_messages();
    }
    let choices = choices(seed);
    let mut u = Unstructured::new(&choices);
    while !u.is_empty() {
        world.run_scenario(&mut u).expect("the choices are enough for a step");
    }
    world.heal();
    world.totals()
}

fn run_world(mut world: World, seed: u64) -> RunTotals {
    let choices = choices(seed);
    let mut u = Unstructured::new(&choices);
    while !u.is_empty() {
        world.step(&mut u).expect("the choices are enough for a step");
    }
    world.heal();
    world.totals()
}

/// Random bytes that depend only on the seed.
fn choices(seed: u64) -> Vec<u8> {
    use rand::{Rng as _, SeedableRng as _};
    let mut bytes = vec![0; CHOICE_BYTES];
    rand_chacha::ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

fn run_seeds(replicas: usize, run: fn(usize, u64) -> RunTotals) {
    run_some(replicas, SEEDS, run);
}

fn run_some(replicas: usize, seeds: u64, run: fn(usize, u64) -> RunTotals) {
    if let Ok(seed) = std::env::var("HG_FUZZ_SEED") {
        run(replicas, seed.parse().expect("HG_FUZZ_SEED is a number"));
        return;
    }
    let started = Instant::now();
    let seconds = std::env::var("HG_FUZZ_SECONDS").ok().and_then(|s| s.parse().ok());
    let limit = seconds.map(Duration::from_secs);
    let mut totals = RunTotals::default();
    for seed in 0.. {
        let done = limit.map_or(seed >= seeds, |limit| started.elapsed() >= limit);
        if done {
            break;
        }
        let result = std::panic::catch_unwind(|| run(replicas, seed));
        match result {
            Ok(more) => {
                totals.steps += more.steps;
                totals.leaders += more.leaders;
                totals.acknowledged += more.acknowledged;
            }
            Err(panic) => {
                eprintln!(
                    "{replicas} replicas: replay with HG_FUZZ_SEED={seed} after {} steps",
                    totals.steps
                );
                std::panic::resume_unwind(panic);
            }
        }
    }
    let rate = totals.steps as f64 / started.elapsed().as_secs_f64();
    println!("{replicas} replicas: {totals:?}, {rate:.0} steps a second");
    assert!(
        totals.leaders > 0 && totals.acknowledged > 0,
        "no leader was elected or no command was acknowledged"
    );
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
fn agreement_three_replicas_mostly_ordered() {
    run_seeds(3, run_mostly_ordered);
}

#[test]
fn agreement_five_replicas_mostly_ordered() {
    run_seeds(5, run_mostly_ordered);
}

#[test]
fn agreement_three_replicas_scenarios() {
    run_some(3, SCENARIO_SEEDS, run_scenarios);
}

#[test]
fn agreement_five_replicas_scenarios() {
    run_some(5, SCENARIO_SEEDS, run_scenarios);
}

/// Guards against replicas with equal random seeds that split every vote because their election
/// timeouts are equal.
#[test]
fn agreement_equal_seeds_elect() {
    run(3, 363);
}

/// Guards against a new leader that sends no heartbeats while it sends a snapshot, and so is
/// replaced by the next election.
#[test]
fn agreement_leader_sending_snapshot_keeps_leading() {
    run(3, 243);
}

/// Guards against a replica that no longer asks to join because an entry that was never committed
/// made it a member.
#[test]
fn agreement_joiner_with_uncommitted_membership_asks_again() {
    run(5, 904);
}

/// Like [`run`], with choices made by arbtest, which also shrinks the failures it finds.
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
