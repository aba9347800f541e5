//! Fairness among client accounts on a pool that cannot serve all of them.

use std::sync::Arc;

use hg_ledger::WorkflowCommand;
use hg_model::{AccountName, Catalog, ClientAccount, EndKind, ResourceVector, StepSpec, Time};
use hg_policy::{WorkflowBounds, WorkflowPolicies, WorkflowScheduler};

use super::account_replay::{Demand, Replay, fair_shares};
use super::harness::{Harness, processor_time, run_of};

const fn demand(account: &'static str, parts: u64, guaranteed: u32) -> Demand {
    Demand { account, parts, guaranteed }
}

/// Ten accounts with demands of 12 to 1 in the order of their names, and guarantees of 2 and 1.
const UNEQUAL: [Demand; 10] = [
    demand("a0", 12, 2),
    demand("a1", 8, 2),
    demand("a2", 6, 1),
    demand("a3", 4, 1),
    demand("a4", 3, 1),
    demand("a5", 3, 1),
    demand("a6", 2, 1),
    demand("a7", 2, 1),
    demand("a8", 1, 1),
    demand("a9", 1, 1),
];
/// Demand of the replays, in percent of the capacity.
const OVERLOAD: u64 = 150;
const REPLAY_MS: u64 = 60_000;

fn one(accelerators: u32, estimate_ms: u64) -> Vec<StepSpec> {
    let each = ResourceVector::new(accelerators, 1_000 * accelerators, 1_024);
    vec![StepSpec { estimate_ms, ..StepSpec::new(1, each) }]
}

fn catalog(version: u64, accounts: &[(&str, u32)]) -> WorkflowCommand {
    let account = |(name, guaranteed): &(&str, u32)| ClientAccount {
        name: AccountName::new(*name).expect("a valid name"),
        keys: Vec::new(),
        guaranteed_accelerators: *guaranteed,
    };
    WorkflowCommand::PutCatalog(Catalog {
        version,
        queues: Vec::new(),
        pools: Vec::new(),
        accounts: accounts.iter().map(account).collect(),
        document: Arc::from("{}"),
    })
}

/// One upstream with 8 accelerators and a catalog.
fn harness(upstreams: u32, accounts: &[(&str, u32)]) -> Harness {
    let mut harness = Harness::new(1, upstreams);
    harness.scheduler =
        WorkflowScheduler::new(WorkflowBounds::default()).with_policies(fair_shares());
    harness.apply(catalog(1, accounts));
    harness
}

/// Runs rounds of 100 ms and records the use of accounts as the leader does.
fn rounds(harness: &mut Harness, count: u32) {
    for _ in 0..count {
        if let Some(usage) = harness.round(100).usage {
            harness.apply(WorkflowCommand::RecordUsage(usage));
        }
    }
}

/// A pool that `large` has filled for 5 s, with waiting work of `large` and then of `small`, which has the later
/// deadline. Returns the job that starts once there is room for one.
fn next_start(accounts: &[(&str, u32)], large_waits_ms: u64) -> String {
    let mut harness = harness(1, accounts);
    harness.submit_for("large", "running", 1, one(8, 60_000));
    let start = harness.round(100).starts.remove(0);
    rounds(&mut harness, 50);
    harness.submit_for("large", "of-large", 1, one(8, 10_000));
    rounds(&mut harness, u32::try_from(large_waits_ms / 100).expect("a small number"));
    harness.submit_for("small", "of-small", 1, one(8, 10_000));
    harness.end(&run_of(&start), EndKind::Done);
    let starts = harness.round(100).starts;
    starts[0].task.step.job.to_string()
}

/// Guards against small accounts that are starved by a large one, and against fairness that costs served work.
#[test]
fn decide_at_overload_serves_small_accounts_without_loss_in_total() {
    for seed in 0..2 {
        let play = |policies| {
            let mut replay = Replay::new(seed, policies, &UNEQUAL, OVERLOAD, 0);
            replay.run(REPLAY_MS);
            let shares = replay.outcomes.values().map(|o| format!("{:.2}", o.share_in_time()));
            let shares: Vec<String> = shares.collect();
            let total = replay.total();
            eprintln!(
                "seed {seed}: {shares:?} worst {:.3} total {:.3} served {}",
                replay.worst(),
                total.share_in_time(),
                total.served
            );
            replay
        };
        let (without, with) = (play(WorkflowPolicies::default()), play(fair_shares()));
        let small = |replay: &Replay| {
            let of = |name: &&&str| replay.outcomes[**name].share_in_time();
            ["a8", "a9"].iter().map(|name| of(&name)).sum::<f64>() / 2.0
        };
        assert!(small(&with) > small(&without) + 0.03, "{} {}", small(&with), small(&without));
        assert!(with.worst() >= without.worst() - 0.03, "{} {}", with.worst(), without.worst());
        let (with, without) = (with.total(), without.total());
        assert!(with.share_in_time() >= without.share_in_time() * 0.98);
        assert!(with.served * 100 >= without.served * 98, "{} {}", with.served, without.served);
    }
}

/// Guards against an account whose early flood puts the work of others behind its own.
#[test]
fn decide_serves_the_account_below_its_share_before_earlier_deadlines_of_a_flood() {
    assert_eq!(next_start(&[("large", 2), ("small", 1)], 1_000), "of-small");
}

/// Guards against a job that misses its objective only because its account has used much.
#[test]
fn decide_keeps_the_position_of_a_step_that_is_about_to_miss_its_objective() {
    // Its objective allows 21 s of waiting; after 20.6 s less than half a second is left.
    assert_eq!(next_start(&[("large", 2), ("small", 1)], 20_600), "of-large");
}

/// Guards against a changed order on deployments whose accounts have like guarantees.
#[test]
fn decide_keeps_deadline_order_where_guarantees_are_alike() {
    assert_eq!(next_start(&[("large", 3), ("small", 2)], 1_000), "of-large");
    assert_eq!(next_start(&[("large", 0), ("small", 0)], 1_000), "of-large");
}

/// Guards against any difference, in starts or in victims, where the condition on the configuration does not hold.
#[test]
fn decide_is_identical_where_guarantees_are_alike() {
    let alike: Vec<Demand> = UNEQUAL.iter().map(|d| Demand { guaranteed: 2, ..*d }).collect();
    let play = |policies| {
        let mut replay = Replay::new(1, policies, &alike, OVERLOAD, 30);
        replay.run(20_000);
        let ledger = &replay.harness.ledger;
        (format!("{:?}", ledger.jobs()), format!("{:?}", ledger.occupancy()))
    };
    assert!(play(WorkflowPolicies::default()) == play(fair_shares()));
}

/// Guards against accounts whose shares are close and that lose the order by deadline.
#[test]
fn decide_keeps_deadline_order_between_close_shares() {
    let mut harness = harness(2, &[("a", 1), ("b", 1), ("c", 2)]);
    harness.submit_for("a", "run-a", 1, one(8, 60_000));
    harness.submit_for("b", "run-b", 1, one(7, 60_000));
    let starts = harness.round(100).starts;
    rounds(&mut harness, 50);
    harness.submit_for("a", "first", 1, one(8, 10_000));
    harness.submit_for("b", "second", 1, one(8, 11_000));
    let of_a = starts.iter().find(|start| start.task.step.job.as_str() == "run-a");
    harness.end(&run_of(of_a.expect("it started")), EndKind::Done);
    assert_eq!(harness.round(100).starts[0].task.step.job.as_str(), "first");
}

/// Guards against guarantees that come after the order by share.
#[test]
fn decide_serves_guaranteed_work_first_however_large_the_share() {
    let mut harness = harness(1, &[("large", 8), ("small", 1)]);
    harness.submit_for("large", "running", 1, one(8, 60_000));
    let start = harness.round(100).starts.remove(0);
    rounds(&mut harness, 100);
    harness.submit_for("small", "uncovered", 0, one(8, 10_000));
    harness.submit_for("large", "covered", 0, one(8, 11_000));
    harness.end(&run_of(&start), EndKind::Done);
    assert_eq!(harness.round(100).starts[0].task.step.job.as_str(), "covered");
}

/// Guards against the job of a guaranteed account that starts late because of the order by share.
#[test]
fn decide_at_overload_starts_covered_work_as_before() {
    let play = |policies| {
        let accounts = [demand("flood", 40, 1), demand("covered", 1, 8)];
        let mut replay = Replay::new(3, policies, &accounts, OVERLOAD, 100);
        replay.run(20_000);
        replay.outcomes["covered"].share_in_time()
    };
    let (without, with) = (play(WorkflowPolicies::default()), play(fair_shares()));
    eprintln!("covered work in time: {without} without and {with} with the fair order");
    assert!(with >= without && without > 0.9, "{with} {without}");
}

/// Guards against an account that collects credit while it idles: 100 s of idling do not outweigh 30 s with the whole pool.
#[test]
fn decide_gives_no_credit_for_idling() {
    let mut harness = harness(1, &[("steady", 1), ("returning", 1), ("other", 2)]);
    for (account, use_rounds) in [("steady", 1_000), ("returning", 300)] {
        harness.submit_for(account, account, 1, one(8, 600_000));
        let start = harness.round(100).starts.remove(0);
        rounds(&mut harness, use_rounds);
        if account == "returning" {
            harness.submit_for("returning", "further", 1, one(8, 10_000));
            harness.submit_for("steady", "of-steady", 1, one(8, 11_000));
        }
        harness.end(&run_of(&start), EndKind::Done);
    }
    assert_eq!(harness.round(100).starts[0].task.step.job.as_str(), "of-steady");
}

/// Guards against decay by the difference of wall clocks.
#[test]
fn decide_with_a_clock_that_jumps_keeps_the_use() {
    let mut harness = harness(1, &[("large", 2), ("small", 1)]);
    harness.submit_for("large", "running", 1, one(7, 600_000));
    let start = harness.round(100).starts.remove(0);
    harness.submit_for("large", "rest", 1, one(1, 600_000));
    rounds(&mut harness, 100);
    let share = |harness: &Harness| harness.scheduler.account_shares()[0].share;
    let before = share(&harness);
    harness.end(&run_of(&start), EndKind::Done);
    for jump_ms in [3_600_000_i64, -3_600_000, 7_200_000, -7_200_000] {
        harness.now = Time(harness.now.0.checked_add_signed(jump_ms).expect("in range"));
        rounds(&mut harness, 1);
    }
    let after = share(&harness);
    // Two jumps forward count as a second each.
    assert!(after > before * 0.8 && after < before, "{before} {after}");
}

/// Guards against a new leader that starts with equal shares.
#[test]
fn decide_after_a_leader_change_continues_with_the_recorded_use() {
    let mut harness = harness(1, &[("large", 2), ("small", 1)]);
    harness.submit_for("large", "running", 1, one(8, 600_000));
    rounds(&mut harness, 100);
    let before = harness.scheduler.account_shares().to_vec();
    harness.scheduler =
        WorkflowScheduler::new(WorkflowBounds::default()).with_policies(fair_shares());
    harness.now = Time(harness.now.0 - 500_000);
    rounds(&mut harness, 1);
    let after = harness.scheduler.account_shares().to_vec();
    assert_eq!(after[0].account, before[0].account);
    let ratio = after[0].share / before[0].share;
    assert!(ratio > 0.75 && ratio < 1.25, "{before:?} {after:?}");
}

/// Guards against use that is kept for accounts that the configuration no longer has, and against old weights.
#[test]
fn decide_follows_weights_and_accounts_of_a_new_catalog() {
    let mut harness = harness(1, &[("large", 2), ("small", 1), ("gone", 1)]);
    harness.submit_for("large", "running", 1, one(4, 600_000));
    harness.submit_for("gone", "other", 1, one(4, 600_000));
    rounds(&mut harness, 50);
    let share = |harness: &Harness, name: &str| {
        let shares = harness.scheduler.account_shares().iter();
        let of = |share: &&hg_policy::AccountShare| {
            share.account.as_ref().is_some_and(|account| account.as_str() == name)
        };
        shares.clone().find(of).map(|share| share.share)
    };
    assert_eq!(harness.ledger.usage().accounts.len(), 2);
    let before = share(&harness, "large").expect("it has a share") / 3.0;
    harness.apply(catalog(2, &[("large", 20), ("small", 1)]));
    assert_eq!(harness.ledger.usage().accounts.len(), 1, "bounded by the catalog");
    rounds(&mut harness, 1);
    let after = share(&harness, "large").expect("it has a share") / 21.0;
    assert!((before / after - 10.0).abs() < 1.0, "ten times the weight: {before} {after}");
    assert_eq!(share(&harness, "gone"), None);
    rounds(&mut harness, 50);
    assert!(
        harness.ledger.usage().open.accelerator_ms > 0,
        "its runs count for the common account"
    );
    harness.apply(catalog(3, &[("large", 1), ("small", 1)]));
    rounds(&mut harness, 30);
    assert!(harness.ledger.usage().is_empty(), "the condition does not hold any more");
}

/// The job that is stopped for an urgent one, if `large` has used much and its run costs about `percent`, above 100, of that of
/// `small`.
fn victim(policies: WorkflowPolicies, percent: u32) -> String {
    let mut harness = harness(2, &[("large", 1), ("small", 8), ("urgent", 8)]);
    harness.scheduler = WorkflowScheduler::new(WorkflowBounds::default()).with_policies(policies);
    harness.submit_for("large", "past", 1, one(8, 60_000));
    let past = harness.round(100).starts.remove(0);
    rounds(&mut harness, 100);
    harness.end(&run_of(&past), EndKind::Done);
    harness.submit_for("large", "large", 1, one(8, 60_000));
    rounds(&mut harness, percent - 100);
    harness.submit_for("small", "small", 1, one(8, 60_000));
    rounds(&mut harness, 100);
    harness.submit_for("urgent", "urgent", 0, one(8, 1_000));
    let stops = harness.round(100).stops;
    stops[0].run.task.step.job.to_string()
}

/// Guards against victims of accounts within their share while work of others costs about as much.
#[test]
fn decide_preempts_accounts_beyond_their_share_at_comparable_cost() {
    assert_eq!(victim(WorkflowPolicies::default(), 150), "small");
    assert_eq!(victim(fair_shares(), 150), "large");
    assert_eq!(victim(fair_shares(), 400), "small", "four times the cost is not comparable");
}

/// Guards against a round whose cost grows with accounts times steps.
#[test]
fn decide_with_many_accounts_and_steps_costs_little_more() {
    const ACCOUNTS: u32 = 800;
    const STEPS: u32 = 10_000;
    let names: Vec<String> = (0..ACCOUNTS).map(|number| format!("account-{number}")).collect();
    let accounts: Vec<(&str, u32)> =
        names.iter().zip(0..).map(|(name, n)| (name.as_str(), 1 + n % 4)).collect();
    let mut harness = harness(2, &accounts);
    for number in 0..STEPS {
        let account = &names[(number % ACCOUNTS) as usize];
        harness.submit_for(account, &format!("j{number}"), 1, one(1, 60_000));
    }
    rounds(&mut harness, 10);
    let mut time = |policies| {
        harness.scheduler =
            WorkflowScheduler::new(WorkflowBounds::default()).with_policies(policies);
        let took = (0..5).map(|_| {
            let begin = processor_time();
            harness.round(100);
            processor_time() - begin
        });
        took.min().expect("five rounds")
    };
    let (without, with) = (time(WorkflowPolicies::default()), time(fair_shares()));
    eprintln!("a round takes {without:?} without and {with:?} with the fair order");
    // Twice the time, and as much again for the noise of a busy machine.
    assert!(with < without * 4, "{without:?} {with:?}");
}
