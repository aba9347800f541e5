//! A leader under lost, late and doubled orders, cuts, crashes and changes of the lead.

mod workflow_world;

use hg_model::{ResourceVector, StepSpec, WorkflowSpec};
use workflow_world::{Faults, World};

/// Seeds of each mix; `HG_SEEDS` plays more.
const SEEDS: u64 = 60;
/// Workflows handed in while things go wrong.
const JOBS: u32 = 30;
/// Workflows handed in afterwards.
const LATE_JOBS: u32 = 10;
/// Leases that were not renewed while things went wrong are over after this, and what was lost with
/// them has been done again, in milliseconds.
const LAST_LEASE_MS: u64 = 20_000;
/// How long all of them may take to end once nothing goes wrong any more, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// `HG_SEED` plays one seed alone.
fn play(faults: Faults) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let all = 0..number("HG_SEEDS").unwrap_or(SEEDS);
    for seed in number("HG_SEED").map_or(all, |seed| seed..seed + 1) {
        let result = std::panic::catch_unwind(|| play_one(seed, faults));
        if let Err(cause) = result {
            eprintln!("seed {seed}, {faults:?}");
            std::panic::resume_unwind(cause);
        }
    }
}

fn play_one(seed: u64, faults: Faults) {
    let mut world = World::new(seed, faults);
    for number in 0..JOBS {
        world.submit(number);
        world.run(500);
        world.look();
    }
    world.run(5_000);
    world.calm();
    world.run(LAST_LEASE_MS);
    let wasted = world.wasted();
    for number in JOBS..JOBS + LATE_JOBS {
        world.submit(number);
    }
    let mut waited = 0;
    while !world.unfinished().is_empty() && waited < SETTLE_MS {
        world.run(1_000);
        world.look();
        waited += 1_000;
    }
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "not ended after {SETTLE_MS} ms: {unfinished:?}");
    world.run(LAST_LEASE_MS);
    assert_eq!(world.running(), 0, "nothing runs of workflows that have ended");
    assert_eq!(world.wasted(), wasted, "no work is lost when nothing goes wrong");
}

#[test]
fn runs_calm() {
    play(Faults::default());
}

#[test]
fn runs_with_failures_and_cancels() {
    play(Faults { failing: 100, cancels: 300, ..Faults::default() });
}

#[test]
fn runs_with_late_and_lost_orders() {
    play(Faults { lost: 40, late: 60, unheard: 40, ..Faults::default() });
}

#[test]
fn runs_with_cuts_and_crashes() {
    play(Faults { cuts: 250, crashes: 150, lost: 10, ..Faults::default() });
}

#[test]
fn runs_with_changing_leaders() {
    play(Faults { leaders: 150, late: 30, unheard: 30, ..Faults::default() });
}

#[test]
fn runs_with_everything() {
    play(Faults {
        lost: 30,
        late: 50,
        unheard: 30,
        failing: 50,
        cuts: 200,
        crashes: 100,
        leaders: 100,
        cancels: 100,
        gaps: 100,
        deaths: 30,
    });
}

#[test]
fn runs_with_upstreams_lost_for_good() {
    play(Faults { deaths: 200, ..Faults::default() });
}

#[test]
fn runs_with_gaps_in_the_lease() {
    play(Faults { gaps: 500, failing: 30, ..Faults::default() });
}

#[test]
fn gang_that_lost_a_member_for_good_does_not_wait_for_its_lease() {
    let mut world = World::new(1, Faults::default());
    let whole = ResourceVector::new(8, 2_000, 4_096);
    let gang = StepSpec { estimate_ms: 1_500, ..StepSpec::new(3, whole) }.with_gang();
    world.submit_spec(0, WorkflowSpec::new("work", vec![gang]));
    world.run(200);
    assert_eq!(world.running(), 3);
    let victim = world.busy().next().expect("it runs somewhere");
    world.lose_upstream(victim);
    world.run(1_000);
    assert_eq!(world.running(), 3, "it has started again on the others");
}
