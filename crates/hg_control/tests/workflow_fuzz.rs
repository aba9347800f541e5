//! Simulates a leader of workflows under lost, late and repeated orders, disconnects, crashes and leader
//! changes, with random faults from a seed.

mod crashing_tasks;
mod early_cancels;
mod foreign_reports;
mod large_fleet;
mod workflow_world;

use std::time::Duration;

use hg_model::{ClockReading, ResourceVector, StepSpec, WorkflowSpec};
use hg_policy::{WorkflowBounds, WorkflowPolicies, WorkflowPolicy};
use workflow_world::{Faults, World};

/// Number of seeds for each mix of faults; `HG_SEEDS` sets another number.
const SEEDS: u64 = 60;
/// Number of seeds for each scale of the time bounds.
const SCALED_SEEDS: u64 = 20;
/// Number of seeds for each optional policy.
const POLICY_SEEDS: u64 = 10;
/// Number of steps of 10 ms after which a new leader has applied the log.
const ELECTION_STEPS_MAX: u32 = 1_000;
/// Number of workflows submitted while faults are injected.
const JOBS: u32 = 30;
/// Number of workflows submitted afterwards.
const LATE_JOBS: u32 = 10;
/// After this many of the longest leases without faults, leases that were not renewed have expired and the work
/// lost with them has been done again.
const LAST_LEASES: u64 = 2;
/// How long all workflows may take to end once there are no more faults, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// Runs every seed with the given faults; `HG_SEED` selects a single one.
fn run_seeds(faults: Faults) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let all = 0..number("HG_SEEDS").unwrap_or(SEEDS);
    let mut failing = Vec::new();
    for seed in number("HG_SEED").map_or(all, |seed| seed..seed + 1) {
        if std::panic::catch_unwind(|| run_seed(seed, faults)).is_err() {
            eprintln!("seed {seed}, {faults:?}");
            failing.push(seed);
        }
    }
    assert!(failing.is_empty(), "failing seeds: {failing:?}");
}

fn run_seed(seed: u64, faults: Faults) {
    play(World::new(seed, faults));
}

/// Plays a world with faults and then without, and checks that all workflows end.
fn play(mut world: World) {
    for number in 0..JOBS {
        world.submit(number);
        world.run(500);
        world.poll_states();
    }
    settle(world);
}

/// Lets a world run on without faults, and checks that all workflows end.
fn settle(mut world: World) {
    world.run(5_000);
    world.stop_faults();
    let last_leases_ms = LAST_LEASES * world.lease_max_ms();
    world.run(last_leases_ms);
    world.end_last_leases();
    let wasted = world.wasted();
    for number in JOBS..JOBS + LATE_JOBS {
        world.submit(number);
    }
    let mut waited = 0;
    while !world.unfinished().is_empty() && waited < SETTLE_MS {
        world.run(1_000);
        world.poll_states();
        waited += 1_000;
    }
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "not ended after {SETTLE_MS} ms: {unfinished:?}");
    world.run(last_leases_ms);
    assert_eq!(world.running(), 0, "no run is left of workflows that have ended");
    assert_eq!(world.wasted(), wasted, "no work is lost without faults");
}

/// Guards against use of accounts that the leader does not record, that is lost with a leader, or that disturbs the
/// workflows.
#[test]
fn workflows_end_with_fair_shares_whose_use_outlives_leaders() {
    for seed in 0..POLICY_SEEDS {
        let faults = Faults { leader_changes: 20, crashes: 20, ..Faults::default() };
        let policies = [WorkflowPolicy::FairShares].into_iter().collect();
        let mut world = World::with_policies(seed, faults, policies);
        for number in 0..JOBS {
            world.submit(number);
            world.run(500);
            world.poll_states();
        }
        let usage = world.ledger().workflows().usage().clone();
        assert!(usage.open.millicore_ms > 0, "seed {seed}: {usage:?}");
        world.change_leader();
        for _ in 0..ELECTION_STEPS_MAX {
            if world.ledger().workflows().usage().is_empty() {
                world.run(10);
            }
        }
        assert_eq!(*world.ledger().workflows().usage(), usage, "seed {seed}");
        settle(world);
    }
}

#[test]
fn workflows_end_without_faults() {
    run_seeds(Faults::default());
}

#[test]
fn workflows_end_despite_failures_and_cancels() {
    run_seeds(Faults { failing_runs: 100, cancels: 300, ..Faults::default() });
}

#[test]
fn workflows_end_despite_late_and_lost_orders() {
    run_seeds(Faults { lost_orders: 40, late_orders: 60, lost_answers: 40, ..Faults::default() });
}

#[test]
fn workflows_end_despite_disconnects_and_crashes() {
    run_seeds(Faults { disconnects: 250, crashes: 150, lost_orders: 10, ..Faults::default() });
}

#[test]
fn workflows_end_despite_orders_that_cannot_be_sent() {
    run_seeds(Faults { unsent_orders: 150, lost_answers: 20, crashes: 50, ..Faults::default() });
}

/// A start that cannot be sent has no effect, so nothing has to be waited for: the gang restarts elsewhere before
/// the members that did start have waited for the last one in vain.
#[test]
fn gang_with_a_member_whose_upstream_accepts_no_connections_restarts_elsewhere() {
    let mut world = World::new(1, Faults::default());
    world.refuse_connections(0);
    let whole = ResourceVector::new(8, 2_000, 4_096);
    let gang = StepSpec { estimate_ms: 1_500, ..StepSpec::new(3, whole) }.with_gang();
    world.submit_spec(0, WorkflowSpec::new("work", vec![gang.clone()]));
    world.submit_spec(1, WorkflowSpec::new("work", vec![gang]));
    let gang_wait_ms = 3_000;
    world.run(gang_wait_ms);
    let busy: Vec<u32> = world.busy().collect();
    assert!(busy.len() >= 3 && !busy.contains(&0), "runs are on {busy:?}");
}

#[test]
fn workflows_end_despite_leader_changes() {
    run_seeds(Faults {
        leader_changes: 150,
        late_orders: 30,
        lost_answers: 30,
        ..Faults::default()
    });
}

#[test]
fn workflows_end_despite_all_faults() {
    run_seeds(Faults {
        lost_orders: 30,
        late_orders: 50,
        lost_answers: 30,
        failing_runs: 50,
        disconnects: 200,
        crashes: 100,
        leader_changes: 100,
        cancels: 100,
        lease_gaps: 100,
        permanent_losses: 30,
        unsent_orders: 30,
        ..Faults::default()
    });
}

/// The drain of a data centre must hold against every start that was decided before, whatever becomes of its orders.
#[test]
fn workflows_end_despite_drains() {
    run_seeds(Faults { drains: 250, ..Faults::default() });
}

#[test]
fn workflows_end_despite_drains_and_faults() {
    run_seeds(Faults {
        drains: 250,
        lost_orders: 30,
        late_orders: 50,
        lost_answers: 30,
        unsent_orders: 50,
        disconnects: 100,
        crashes: 50,
        leader_changes: 100,
        lease_gaps: 100,
        cancels: 100,
        failing_runs: 50,
        ..Faults::default()
    });
}

/// Both data centres work again after a drain, and while it is in force one of them is empty within its bound.
#[test]
fn drained_data_centre_is_empty_within_the_bound() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, Faults::default());
        // Most runs would outlast the bound.
        world.set_run_ms(2_000..60_000);
        for number in 0..JOBS {
            world.submit(number);
        }
        world.run(1_000);
        assert!(world.running_in_second_rack() > 0, "seed {seed}");
        world.want_drain(true);
        world.run(100);
        assert!(world.is_drain_acknowledged(), "seed {seed}: not acknowledged within 100 ms");
        world.run(5_000);
        assert_eq!(world.running_in_second_rack(), 0, "seed {seed}");
        world.want_drain(false);
        world.run(1_000);
        assert!(world.running_in_second_rack() > 0, "seed {seed}: work returns");
    }
}

/// A start that has left before the drain is committed may reach its upstream later; the operators must not be told before that
/// nothing starts there any more.
#[test]
fn drain_is_acknowledged_when_no_start_is_in_flight() {
    let mut world = World::new(1, Faults { lost_orders: 1_000, ..Faults::default() });
    let each = ResourceVector::new(8, 2_000, 4_096);
    world.submit_spec(0, WorkflowSpec::new("work", vec![StepSpec::new(6, each)]));
    world.run(100);
    world.want_drain(true);
    world.run(200);
    assert!(!world.is_drain_acknowledged(), "starts are in flight");
    world.run(400);
    assert!(world.is_drain_acknowledged(), "they have timed out");
}

#[test]
fn workflows_end_despite_permanently_lost_upstreams() {
    run_seeds(Faults { permanent_losses: 200, ..Faults::default() });
}

#[test]
fn workflows_end_despite_gaps_in_the_leader_lease() {
    run_seeds(Faults { lease_gaps: 500, failing_runs: 30, ..Faults::default() });
}

#[test]
fn workflows_end_with_bounds_at_half_and_at_twice_the_defaults() {
    let faults = Faults {
        lost_orders: 30,
        late_orders: 30,
        failing_runs: 50,
        disconnects: 100,
        crashes: 50,
        leader_changes: 50,
        ..Faults::default()
    };
    for percent in [50, 200] {
        for seed in 0..SCALED_SEEDS {
            eprintln!("bounds at {percent} %, seed {seed}");
            play(World::with_bounds(seed, faults, scaled_bounds(percent)));
        }
    }
}

/// The default bounds at a share.
fn scaled_bounds(percent: u32) -> WorkflowBounds {
    let of = |span: Duration| span * percent / 100;
    let bounds = WorkflowBounds::default();
    WorkflowBounds {
        reclaim: of(bounds.reclaim),
        stop: of(bounds.stop),
        restore: of(bounds.restore),
        gang_wait: of(bounds.gang_wait),
        lease_max: of(bounds.lease_max),
        heartbeat: of(bounds.heartbeat),
        upkeep: of(bounds.upkeep),
        host_lease: of(bounds.host_lease),
        pace: of(bounds.pace),
        status: of(bounds.status),
    }
}

#[test]
fn gang_restarts_before_the_lease_of_a_permanently_lost_member_expires() {
    let mut world = World::new(1, Faults::default());
    let whole = ResourceVector::new(8, 2_000, 4_096);
    let gang = StepSpec { estimate_ms: 1_500, ..StepSpec::new(3, whole) }.with_gang();
    world.submit_spec(0, WorkflowSpec::new("work", vec![gang]));
    world.run(200);
    assert_eq!(world.running(), 3);
    let victim = world.busy().next().expect("some upstream has a run");
    world.lose_upstream(victim);
    world.run(1_000);
    assert_eq!(world.running(), 3, "the gang has restarted on the other upstreams");
}

/// Guards against an upstream that was cut off for so long that it was deregistered, and is not used when it is back.
#[test]
fn upstream_that_was_cut_off_for_more_than_a_minute_is_used_again() {
    let mut world = World::with_fleet(1, Faults::default(), WorkflowBounds::default(), 1);
    world.submit(0);
    world.run(100);
    world.set_disconnected(0, true);
    world.run(63_000);
    assert!(world.registered().is_empty(), "it was silent for over 60 s");
    world.set_disconnected(0, false);
    world.run(3_000);
    assert_eq!(world.registered(), ["u0"]);
    settle(world);
}

#[test]
fn heartbeat_with_the_largest_clock_reading_ends_no_leader() {
    let mut world = World::new(1, Faults::default());
    world.send_heartbeat_with_clock(0, ClockReading(u64::MAX));
    for number in 0..JOBS {
        world.submit(number);
        world.run(500);
    }
    for _ in 0..60 {
        world.run(1_000);
        world.poll_states();
    }
    assert!(world.unfinished().is_empty(), "the other upstreams do all of the work");
}

/// Guards against runs that count as lost because the listing that shows their ends lists only the first of many.
#[test]
fn ended_runs_that_a_listing_leaves_out_are_not_started_again() {
    let mut world = World::with_fleet(1, Faults::default(), WorkflowBounds::default(), 1);
    world.set_run_ms(3_000..4_000);
    let small =
        StepSpec { estimate_ms: 3_500, ..StepSpec::new(700, ResourceVector::new(0, 40, 64)) };
    world.submit_spec(0, WorkflowSpec::new("work", vec![small]));
    world.run(2_000);
    assert_eq!(world.running(), 700);
    world.set_disconnected(0, true);
    world.run(5_500);
    assert_eq!(world.running(), 0, "all runs have ended while their upstream is cut off");
    world.set_disconnected(0, false);
    world.run(3_000);
    world.poll_states();
    assert_eq!(world.wasted(), 0, "no run is done again");
    assert!(world.unfinished().is_empty());
}

/// Guards against the same with listings that hold a single end, beside lost orders and changes of the leader.
#[test]
fn workflows_end_with_listings_of_one_end_despite_faults() {
    for seed in 0..SCALED_SEEDS {
        let faults = Faults {
            lost_orders: 30,
            late_orders: 30,
            lost_answers: 30,
            failing_runs: 50,
            disconnects: 200,
            crashes: 50,
            leader_changes: 100,
            ..Faults::default()
        };
        let mut world = World::new(seed, faults);
        world.set_listed_ends_max(1);
        play(world);
    }
}

/// Guards against sums that overflow, which would end each control host that leads, one after the other.
#[test]
fn heartbeat_with_the_largest_capacity_ends_no_leader() {
    let mut world = World::new(1, Faults::default());
    for number in 0..6 {
        world.set_capacity(number, ResourceVector::new(u32::MAX, u32::MAX, u32::MAX));
    }
    for number in 0..JOBS {
        world.submit(number);
        world.run(500);
    }
    settle(world);
}

/// Guards against learned run times that break what the world checks.
#[test]
fn workflows_end_with_learned_run_times_despite_faults() {
    for seed in 0..5 {
        let faults = Faults {
            lost_orders: 30,
            failing_runs: 50,
            disconnects: 200,
            crashes: 100,
            leader_changes: 100,
            cancels: 100,
            ..Faults::default()
        };
        let mut world = World::new(seed, faults);
        world.use_policies(WorkflowPolicies::from_iter([WorkflowPolicy::RunTimes]));
        world.run(4_000);
        play(world);
    }
}

/// Guards against run times that are not replicated, or lost with a leader.
#[test]
fn run_times_are_learned_and_outlive_leaders() {
    for seed in 0..5 {
        let mut world = World::new(seed, Faults::default());
        world.use_policies(WorkflowPolicies::from_iter([WorkflowPolicy::RunTimes]));
        world.run(4_000);
        for number in 1_000..1_010 {
            world.submit(number);
            world.run(500);
        }
        world.run(10_000);
        assert!(world.learned_run_times() > 0, "seed {seed}");
        world.change_leader();
        world.run(4_000);
        assert!(world.learned_run_times() > 0, "seed {seed}: by another leader");
        play(world);
    }
}
