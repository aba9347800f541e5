//! Disks that are full for some seconds, one after another and never two at once.
//!
//! Guards against a group that commits nothing any more although all disks have room again and all processes run.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::support::world::World;

/// Number of seeds for each size of the group; `HG_SEEDS` sets another number.
const SEEDS: u64 = 8;
const TICK: Duration = Duration::from_millis(10);
/// How often a process that has ended is started again, in ticks.
const RESTART_TICKS: u32 = 30;
/// How long a disk is full, and how long all disks have room in between, in ticks.
const FULL_TICKS: std::ops::Range<u32> = 20..600;
const ROOM_TICKS: std::ops::Range<u32> = 1..300;
/// Within this time a change is acknowledged when nothing is disturbed.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);

/// Runs a world in which the leader gets a command every few ticks, and processes that end are started again.
fn play(world: &mut World, rng: &mut ChaCha8Rng, ticks: u32) {
    for tick in 0..ticks {
        world.pass_time(TICK);
        if rng.random_ratio(1, 5)
            && let Some(leader) = world.leader_host()
        {
            world.propose(leader);
        }
        world.deliver_all();
        world.check();
        if tick % RESTART_TICKS == 0 {
            (0..world.len()).for_each(|n| world.start(n));
        }
    }
}

fn run(replicas: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(replicas);
    play(&mut world, &mut rng, 300);
    for turn in 0..2 * replicas {
        // Each disk twice, and often the leader's.
        let leader = world.leader_host().filter(|_| rng.random_ratio(1, 3));
        let full = leader.unwrap_or(turn % replicas);
        world.set_disk_full(full, true);
        let ticks = rng.random_range(FULL_TICKS);
        play(&mut world, &mut rng, ticks);
        world.set_disk_full(full, false);
        let ticks = rng.random_range(ROOM_TICKS);
        play(&mut world, &mut rng, ticks);
    }
    assert!(world.disk_failures > 0, "seed {seed}: no process has noticed that its disk is full");
    (0..world.len()).for_each(|n| world.start(n));
    assert!(
        world.commits_within(ACKNOWLEDGED_WITHIN),
        "seed {seed}, {replicas} replicas: nothing is committed after the last disk has room"
    );
}

#[test]
fn group_commits_after_disks_were_full_in_turn() {
    let seeds = std::env::var("HG_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        run(3, seed);
        run(5, seed);
    }
}

/// A log that a full disk has torn is repaired without room for a copy of it.
#[test]
fn open_torn_log_on_a_full_disk() {
    let mut world = World::new(3);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    play(&mut world, &mut rng, 300);
    let leader = world.leader_host().expect("a leader");
    world.set_disk_full(leader, true);
    world.propose(leader);
    assert!(!world.is_running(leader), "its disk is full");
    world.start(leader);
    assert!(world.is_running(leader), "it reads its log, and follows until it has to write");
}
