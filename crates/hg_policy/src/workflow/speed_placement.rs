//! The order in which a step tries the tiers of a pool in which the speeds of hosts are in effect.
//!
//! Handles urgent work beside patient work on hosts of different speeds: a step goes to the slowest
//! hosts that meet its objective, so that faster ones remain for work that needs them, and never to
//! none: if no host meets it, the step starts where it ends first.

use hg_model::{Time, WorkflowSpec};

use super::host_speeds::HostSpeedEstimates;
use super::pool_speeds::{PoolSpeeds, SpeedClass, SpeedTier};
use super::ready_steps::ReadyStep;

/// A tier meets an objective with at least this probability.
const MEETS: f64 = 0.9;
/// Work is expected to be late on a tier below this probability.
const LATE: f64 = 0.5;
/// The spread of run times of equal work on hosts of one speed (standard deviation of the logarithm).
/// How inaccurate estimates are does not count: callers measure the objective by the actual work.
const RUN_SPREAD: f64 = 0.12;
/// What starting a run takes, in milliseconds.
const START_MS: f64 = 250.0;
/// Preempting for an urgent step is worth at most this many times its own work, if it could start on
/// hosts on which it is expected to be late.
const GAIN_FACTOR: u64 = 2;
/// A logistic function with this slope approximates the normal distribution to 0.01.
const LOGISTIC_SLOPE: f64 = 1.702;

/// How well a tier serves a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// It meets the objective.
    Meets,
    /// It may meet it.
    Open,
    /// The step is expected to be late there.
    Late,
}

/// The tiers of a pool in the order in which a step tries them.
#[derive(Debug, Clone)]
pub(crate) struct TierOrder {
    /// The number of each tier, with its prospect, best first.
    order: Vec<(usize, Prospect)>,
}

/// Which tiers a pass of placement uses; all of them if there is no order.
#[derive(Debug, Clone, Default)]
pub(crate) struct TierRanks {
    /// The rank of each tier; `None` if it is not used.
    ranks: Option<Vec<Option<usize>>>,
}

impl TierRanks {
    /// The rank of a tier; `None` if it is not used.
    pub(crate) fn rank(&self, tier: usize) -> Option<usize> {
        self.ranks.as_ref().map_or(Some(0), |ranks| ranks.get(tier).copied().flatten())
    }
}

impl TierOrder {
    /// The order for a step.
    pub(crate) fn new(
        now: Time,
        step: &ReadyStep<'_>,
        speeds: &PoolSpeeds,
        estimates: &HostSpeedEstimates,
    ) -> Self {
        let is_gang = step.spec.gang && step.spec.tasks > 1;
        let usual = estimates.usual_ratio(&step.job.terms.queue, is_gang);
        let usual = usual.map_or(1.0, |usual| (usual + speeds.median).exp());
        let slack = slack(now, step, usual).map(|slack| slack + speeds.median);
        let members = if is_gang { step.spec.tasks } else { 1 };
        let mut order: Vec<(usize, f64, f64)> = Vec::new();
        for (number, tier) in speeds.tiers.iter().enumerate() {
            order.push((number, chance(tier, slack, members), rank_mean(tier)));
        }
        order.sort_by(|a, b| tier_key(a).cmp(&tier_key(b)).then_with(|| within(a, b)));
        let order = order.into_iter().map(|(number, chance, _)| (number, prospect(chance)));
        Self { order: order.collect() }
    }

    /// Whether the step is expected to be late on a tier.
    pub(crate) fn is_late_on(&self, tier: usize) -> bool {
        self.order.contains(&(tier, Prospect::Late))
    }

    /// Whether an urgent step is expected to be late on some tiers and not on others.
    pub(crate) fn divides(&self, step: &ReadyStep<'_>) -> bool {
        let late = self.order.iter().filter(|(_, prospect)| *prospect == Prospect::Late).count();
        step.is_urgent() && late > 0 && late < self.order.len()
    }

    /// The passes of placement, the best first. A gang is as slow as its slowest member, so it tries
    /// each tier by itself before it mixes them. `timely_only` leaves out tiers on which the step is
    /// expected to be late.
    pub(crate) fn passes(&self, is_gang: bool, timely_only: bool) -> Vec<TierRanks> {
        let used: Vec<(usize, Prospect)> = self
            .order
            .iter()
            .filter(|(_, prospect)| !timely_only || *prospect != Prospect::Late)
            .copied()
            .collect();
        if !is_gang {
            return vec![self.ranks(&used)];
        }
        let mut passes = Vec::new();
        for (at, (_, prospect)) in used.iter().enumerate() {
            passes.push(self.ranks(&used[at..=at]));
            let ends_prospect = used.get(at + 1).is_none_or(|(_, next)| next != prospect);
            if at > 0 && (ends_prospect || *prospect != Prospect::Meets) {
                passes.push(self.ranks(&used[..=at]));
            }
        }
        passes
    }

    fn ranks(&self, used: &[(usize, Prospect)]) -> TierRanks {
        let mut ranks = vec![None; self.order.len()];
        for (rank, (tier, _)) in used.iter().enumerate() {
            ranks[*tier] = Some(rank);
        }
        TierRanks { ranks: Some(ranks) }
    }
}

/// The most that preemption may cost for a step that could start on hosts on which it is certain to
/// be late, in thousandths of a core times milliseconds.
pub(crate) fn preemption_gain(step: &ReadyStep<'_>) -> u64 {
    let tasks = u64::try_from(step.waiting.len()).unwrap_or(u64::MAX);
    let work = step.spec.estimate_ms.saturating_mul(step.spec.per_task.weight());
    work.saturating_mul(tasks).saturating_mul(GAIN_FACTOR)
}

const fn tier_key(entry: &(usize, f64, f64)) -> Prospect {
    prospect(entry.1)
}

const fn prospect(chance: f64) -> Prospect {
    if chance >= MEETS {
        Prospect::Meets
    } else if chance > LATE {
        Prospect::Open
    } else {
        Prospect::Late
    }
}

/// The order of two tiers of one prospect: those that meet the objective by their speed, the slowest
/// first; the others the fastest first.
fn within(a: &(usize, f64, f64), b: &(usize, f64, f64)) -> std::cmp::Ordering {
    if tier_key(a) == Prospect::Meets { b.2.total_cmp(&a.2) } else { a.2.total_cmp(&b.2) }
}

/// By what tiers are ordered: hosts that are not known count as slower than all others where even a
/// slow one is good enough, so that they become known.
fn rank_mean(tier: &SpeedTier) -> f64 {
    let slowest = tier.groups.iter().map(|(_, center)| *center).fold(f64::MIN, f64::max);
    if tier.class == SpeedClass::Unknown { slowest + 0.01 } else { tier.mean() }
}

/// The logarithm of the factor by which a step may take longer than on the median host, if all that
/// follows takes longer by the same; `None` if it may take as long as it does. `usual` is the ratio of
/// actual work to estimates, by which the objective grows too.
fn slack(now: Time, step: &ReadyStep<'_>, usual: f64) -> Option<f64> {
    let (job, spec) = (step.job, step.spec);
    let is_patient = spec.best_effort || spec.long_running || spec.estimate_ms == 0;
    if is_patient || job.terms.stretch_milli == 0 {
        return None;
    }
    let stretch = f64::from(job.terms.stretch_milli) / 1_000.0;
    let work = job.spec.estimated_chain_ms() as f64 * usual;
    let objective = work * stretch + job.terms.objective_ms as f64;
    let left = objective - now.since(step.due).as_millis() as f64 - START_MS;
    let chain = spec.estimate_ms.saturating_add(chain_after(&job.spec, step.id.step));
    Some((left / (chain as f64 * usual)).max(f64::MIN_POSITIVE).ln())
}

/// The longest chain of estimates that follows a step, in milliseconds.
fn chain_after(workflow: &WorkflowSpec, step: u32) -> u64 {
    let mut chains: Vec<Option<u64>> = vec![None; workflow.steps.len()];
    let mut longest = 0;
    for (number, later) in (0_u32..).zip(&workflow.steps) {
        if number == step {
            chains[number as usize] = Some(0);
            continue;
        }
        let before = later.after.iter().filter_map(|after| *chains.get(*after as usize)?).max();
        let chain = before.map(|before| before.saturating_add(later.estimate_ms));
        longest = longest.max(chain.unwrap_or(0));
        chains[number as usize] = chain;
    }
    longest
}

/// The probability that a step with as much slack is in time on a tier. A gang takes as long as its
/// slowest member, and its members on hosts that are not known must all be fast enough.
fn chance(tier: &SpeedTier, slack: Option<f64>, members: u32) -> f64 {
    let Some(slack) = slack else { return 1.0 };
    // The largest of several normal deviates lies about this many standard deviations out.
    let slowest = 0.75 * (2.0 * f64::from(members).ln()).sqrt();
    let by_group = tier.groups.iter().map(|(probability, center)| {
        let distance = (slack - center) / RUN_SPREAD - slowest;
        probability / (1.0 + (-LOGISTIC_SLOPE * distance).exp())
    });
    let single: f64 = by_group.sum();
    if tier.class == SpeedClass::Unknown && members > 1 {
        return single.powi(i32::try_from(members).unwrap_or(i32::MAX));
    }
    single
}
