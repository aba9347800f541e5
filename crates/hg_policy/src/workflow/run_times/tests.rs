//! Planted distributions: what is derived from them matches what they are.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{QueueTerms, RunTimeChange, RunTimeKey, Workflow, WorkflowCommand, WorkflowLedger};
use hg_model::{JobId, PoolName, QueueName, ResourceVector, StepSpec, Time, WorkflowSpec};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::distribution::bucket_of;
use super::restart::{Companions, SlowRun};
use super::{Distribution, RunKind, RunTimes};

const STRETCH_MILLI: u32 = 1_500;

fn accurate(_: &mut ChaCha8Rng) -> f64 {
    1.0
}

fn all_too_long(_: &mut ChaCha8Rng) -> f64 {
    2.1
}

/// 2.1 at the median and 9 at the 90th percentile.
fn lognormal(rng: &mut ChaCha8Rng) -> f64 {
    let (u, v): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (2.1_f64.ln() + normal * (9.0_f64 / 2.1).ln() / 1.2816).exp()
}

fn long_tail(rng: &mut ChaCha8Rng) -> f64 {
    if rng.random_bool(0.03) { 7.0 } else { 1.0 }
}

type Draw = fn(&mut ChaCha8Rng) -> f64;

fn queue() -> QueueName {
    QueueName::new("queue").expect("a valid name")
}

/// A ledger that has learned some hundred runs of a planted distribution.
fn learned(draw: Draw, runs: usize) -> WorkflowLedger {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut ledger = WorkflowLedger::default();
    for at in 0..runs.div_ceil(20) {
        let mut counts = BTreeMap::new();
        for _ in 0..20.min(runs) {
            *counts.entry(bucket_of(draw(&mut rng))).or_default() += 1;
        }
        let key = RunTimeKey { queue: queue(), image: None };
        let changes = vec![RunTimeChange { key, runs: counts }];
        ledger.apply(WorkflowCommand::RunTimesLearned { changes, at: Time(at as u64) });
    }
    ledger
}

fn run_times(ledger: &WorkflowLedger) -> RunTimes {
    let mut run_times = RunTimes::enabled();
    run_times.refresh(ledger.run_times());
    run_times
}

fn ratios(ledger: &WorkflowLedger) -> Distribution {
    let counts = ledger.run_times().distributions().values().next();
    Distribution::new(counts.expect("one is learned"))
}

/// Accepts a job of one chain, each step with the given estimate in milliseconds and number of tasks.
fn accept(ledger: &mut WorkflowLedger, chain: &[(u64, u32)]) -> Workflow {
    let step = |(at, (estimate_ms, tasks)): (u32, &(u64, u32))| {
        let after = at.checked_sub(1).into_iter().collect();
        let step = StepSpec::new(*tasks, ResourceVector::new(1, 1, 1));
        StepSpec { estimate_ms: *estimate_ms, after, ..step }
    };
    let spec = WorkflowSpec::new("work", (0..).zip(chain).map(step).collect());
    let terms = QueueTerms {
        queue: queue(),
        pool: PoolName::new("pool").expect("a valid name"),
        priority: 0,
        attempts: 2,
        stretch_milli: STRETCH_MILLI,
        objective_ms: 250,
        advice: None,
    };
    let id = JobId::new("job").expect("a valid name");
    let (account, at) = (None, Time(0));
    ledger.apply(WorkflowCommand::Accept { id: id.clone(), spec, terms, account, at });
    ledger.job(&id).expect("accepted").clone()
}

/// The difference between two probabilities that 512 decayed runs and buckets of 9 % allow.
const TOLERANCE: f64 = 0.06;

/// Guards against chances that do not hold: of jobs that wait for some time and then start, the share that ends in time
/// and the share that ends while it is of value are those that were forecast.
#[test]
fn chances_match_the_shares_of_planted_lengths() {
    for chain in [vec![(1_000, 1)], vec![(400, 1), (600, 1)], vec![(1_000, 8)]] {
        let mut ledger = learned(lognormal, 2_000);
        let job = accept(&mut ledger, &chain);
        let run_times = run_times(&ledger);
        let mut rng = ChaCha8Rng::seed_from_u64(8);
        for waited in [0, 500, 1_000, 2_000, 4_000, 8_000, 16_000] {
            let chances = run_times.chances(Time(waited), Time(0), &job, None);
            let chances = chances.expect("the ratios contradict the estimates");
            let (mut in_time, mut of_value) = (0, 0);
            for _ in 0..4_000 {
                let ratio = (0..chain[0].1).map(|_| lognormal(&mut rng)).fold(0.0, f64::max);
                let real = 1_000.0 * ratio;
                let objective = real * 1.5 + 250.0;
                in_time += u32::from(waited as f64 + real <= objective);
                of_value += u32::from(waited as f64 + real <= 3.0 * objective);
            }
            let (in_time, of_value) = (f64::from(in_time) / 4_000.0, f64::from(of_value) / 4_000.0);
            let case = format!("{chain:?} after {waited} ms: {chances:?}, {in_time}, {of_value}");
            assert!((chances.in_time - in_time).abs() < TOLERANCE, "{case}");
            assert!((chances.of_value - of_value).abs() < TOLERANCE, "{case}");
        }
    }
}

/// Guards against remaining times that ignore how long a run has lasted already.
#[test]
fn remaining_time_is_conditional_on_the_elapsed_time() {
    let ledger = learned(lognormal, 2_000);
    let (run_times, queue) = (run_times(&ledger), queue());
    let estimate = Duration::from_secs(1);
    let kind = RunKind { queue: &queue, image: None, stretch_milli: STRETCH_MILLI, estimate };
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let lengths: Vec<f64> = (0..20_000).map(|_| lognormal(&mut rng)).collect();
    for elapsed in [0.0, 1.0, 3.0, 6.0] {
        let remaining = run_times.remaining(&kind, Duration::from_secs_f64(elapsed));
        let remaining = remaining.expect("the ratios contradict the estimates");
        let still: Vec<f64> = lengths.iter().copied().filter(|length| *length > elapsed).collect();
        for p in [0.25, 0.5, 0.75] {
            let by_then = elapsed + remaining.quantile(p).as_secs_f64();
            let ended = still.iter().filter(|length| **length <= by_then).count();
            let share = ended as f64 / still.len() as f64;
            assert!((share - p).abs() < 0.1, "{share} instead of {p} after {elapsed} s");
        }
    }
    let long_since = run_times.remaining(&kind, Duration::from_secs(1_000));
    let left = long_since.expect("known").quantile(0.5);
    assert_eq!(left, Duration::from_secs(500), "beyond all known runs, in proportion");
}

/// Guards against a condition that holds for good estimates or fails for wrong ones.
#[test]
fn learned_run_times_are_used_only_where_they_contradict_the_estimates() {
    let cases: [(Draw, usize, bool, bool); 5] = [
        (accurate, 400, false, false),
        (all_too_long, 400, true, true),
        (lognormal, 400, true, true),
        (long_tail, 400, false, true),
        (lognormal, 20, false, false),
    ];
    for (number, (draw, runs, is_outlook_learned, has_long_tasks)) in cases.into_iter().enumerate()
    {
        let mut ledger = learned(draw, runs);
        let job = accept(&mut ledger, &[(1_000, 1)]);
        let (run_times, queue) = (run_times(&ledger), queue());
        let chances = run_times.chances(Time(10), Time(0), &job, None);
        assert_eq!(chances.is_some(), is_outlook_learned, "case {number}");
        let estimate = Duration::from_secs(1);
        let kind = RunKind { queue: &queue, image: None, stretch_milli: STRETCH_MILLI, estimate };
        assert_eq!(run_times.of_long_tasks(&kind).is_some(), has_long_tasks, "case {number}");
        let without_stretch = RunKind { stretch_milli: 0, ..kind };
        assert!(run_times.of_long_tasks(&without_stretch).is_none(), "case {number}");
    }
}

/// Guards against restarts of tasks that are long by nature, and against none of tasks on slow upstreams.
#[test]
fn restart_is_judged_by_whether_the_upstream_or_the_task_is_slow() {
    let ratios = ratios(&learned(long_tail, 400));
    let chance = |ratio, companions| {
        let run = SlowRun { ratios: &ratios, ratio };
        let chance = run.chance_of_slow_upstream(companions);
        (chance, run.is_worth_restart(chance, 0.9, 1.0))
    };
    let (as_planted, is_restarted) = chance(7.0, Companions::Unknown);
    assert!(as_planted < 0.2 && !is_restarted, "{as_planted}");
    let (beside_slow_ones, is_restarted) = chance(7.0, Companions::Slow);
    assert!(beside_slow_ones > 0.7 && is_restarted, "{beside_slow_ones}");
    let (as_never_seen, is_restarted) = chance(4.0, Companions::Unknown);
    assert!(as_never_seen > 0.7 && is_restarted, "{as_never_seen}");
    let (beside_normal_ones, is_restarted) = chance(7.0, Companions::Normal);
    assert!(beside_normal_ones < 0.02 && !is_restarted, "{beside_normal_ones}");
}

/// Guards against a state that grows, and against one that never forgets.
#[test]
fn learned_state_is_bounded_and_follows_a_change() {
    let mut ledger = learned(all_too_long, 4_000);
    assert!((ratios(&ledger).quantile(0.5) - 2.1).abs() < 0.15);
    for at in 0..600 {
        let queue = QueueName::new(format!("q{at}")).expect("a valid name");
        let key = RunTimeKey { queue, image: None };
        let other = RunTimeChange { key, runs: BTreeMap::from([(bucket_of(1.0), 1)]) };
        let key = RunTimeKey { queue: self::queue(), image: None };
        let own = RunTimeChange { key, runs: BTreeMap::from([(bucket_of(1.0), 1)]) };
        let at = Time(10_000 + at);
        ledger.apply(WorkflowCommand::RunTimesLearned { changes: vec![other, own], at });
    }
    let known = ledger.run_times().distributions();
    assert_eq!(known.len(), 64);
    let own = &known[&RunTimeKey { queue: queue(), image: None }];
    let own = Distribution::new(own);
    assert!(own.runs() <= 512.0);
    assert!((own.quantile(0.5) - 1.0).abs() < 0.1, "newer runs outweigh older ones");
}
