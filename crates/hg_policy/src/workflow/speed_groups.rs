//! Groups of hosts of one speed, found among the estimates of a pool.
//!
//! The hosts of a pool usually are of few models, so their relative run times form few groups. A
//! group is known far more precisely than any of its hosts, and tells what to expect of a host after
//! one or two runs. The number of groups is chosen by the Bayesian information criterion (Schwarz,
//! *Estimating the dimension of a model*, Ann. Statist. 1978), with the uncertainty of each host's
//! estimate taken into account, so that noise alone makes no groups.

use std::f64::consts::TAU;

/// Most groups that are distinguished.
const GROUPS_MAX: usize = 3;
/// Spread of the hosts within one group (standard deviation of the logarithm).
const WITHIN_GROUP: f64 = 0.06;
/// Groups are fitted to at most this many hosts, evenly chosen: the cost stays bounded, and the
/// centers are precise enough.
const SAMPLE_MAX: usize = 1_024;
/// Fewer hosts with evidence make no groups.
const HOSTS_MIN: usize = 12;
/// Iterations of expectation and maximization; the centers move by less than 0.01 after about 20.
const ITERATIONS: usize = 25;
/// The smallest share of a group.
const SHARE_MIN: f64 = 0.04;
/// Groups whose centers are closer than this are one (difference of logarithms).
const SEPARATION_MIN: f64 = 0.15;
/// The spread that is assumed while no groups are known (standard deviation of the logarithm): of
/// the pool in which speeds were observed.
const PRIOR_DEVIATION: f64 = 0.4;
/// A pool with a single group may have others that no evidence has shown yet, so single hosts are
/// assumed to differ from it by this much.
const SINGLE_GROUP_DEVIATION: f64 = 0.2;
/// Starting points of the centers, as quantiles of the estimates, in percent.
const STARTS: [&[usize]; 5] = [&[50], &[25, 75], &[50, 95], &[16, 50, 84], &[5, 50, 95]];

/// A normal distribution of the logarithm of a relative run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LogSpeed {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

/// One group of hosts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Group {
    /// The logarithm of its relative run time.
    pub(crate) center: f64,
    /// The standard error of the center.
    pub(crate) error: f64,
    /// Its share of the pool's hosts.
    pub(crate) share: f64,
}

/// The groups of a pool, the fastest first; empty while too few hosts are known.
#[derive(Debug, Clone, Default)]
pub(crate) struct SpeedGroups {
    pub(crate) groups: Vec<Group>,
}

/// How probable each group is for one host.
pub(crate) type Membership = [f64; GROUPS_MAX];

impl SpeedGroups {
    /// Finds the groups among the estimates of the hosts of a pool.
    pub(crate) fn fit(estimates: &[LogSpeed]) -> Self {
        if estimates.len() < HOSTS_MIN {
            return Self::default();
        }
        let stride = estimates.len().div_ceil(SAMPLE_MAX);
        let sample: Vec<LogSpeed> = estimates.iter().step_by(stride).copied().collect();
        let mut sorted: Vec<f64> = sample.iter().map(|estimate| estimate.mean).collect();
        sorted.sort_by(f64::total_cmp);
        let fits = STARTS.iter().filter_map(|quantiles| {
            let starts = quantiles.iter().map(|percent| sorted[(sorted.len() - 1) * percent / 100]);
            fit_from(&sample, starts.collect())
        });
        let best = fits.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map_or_else(Self::default, |(_, groups)| Self { groups })
    }

    /// How probable each group is for a host with this evidence; `None` stands for no evidence.
    pub(crate) fn membership(&self, evidence: Option<LogSpeed>) -> Membership {
        let mut membership = [0.0; GROUPS_MAX];
        for (weight, group) in membership.iter_mut().zip(&self.groups) {
            *weight = group.share * evidence.map_or(1.0, |e| likelihood(e, group.center));
        }
        let total: f64 = membership.iter().sum();
        if total <= f64::MIN_POSITIVE {
            // Farther from all groups than can be expressed: the nearest one counts.
            let distance = |g: &Group| evidence.map_or(0.0, |e| (e.mean - g.center).abs());
            let nearest = (0..self.groups.len())
                .min_by(|a, b| distance(&self.groups[*a]).total_cmp(&distance(&self.groups[*b])));
            membership = [0.0; GROUPS_MAX];
            if let Some(nearest) = nearest {
                membership[nearest] = 1.0;
            }
            return membership;
        }
        membership.map(|weight| weight / total)
    }

    /// What is expected of a host with this evidence.
    pub(crate) fn expect(&self, evidence: Option<LogSpeed>) -> LogSpeed {
        if self.groups.is_empty() {
            return combine(0.0, PRIOR_DEVIATION.powi(2), evidence);
        }
        if let [group] = self.groups[..] {
            return combine(group.center, SINGLE_GROUP_DEVIATION.powi(2), evidence);
        }
        let membership = self.membership(evidence);
        let each: Vec<(f64, LogSpeed)> = membership
            .into_iter()
            .zip(&self.groups)
            .map(|(p, group)| (p, combine(group.center, WITHIN_GROUP.powi(2), evidence)))
            .collect();
        let mean: f64 = each.iter().map(|(p, speed)| p * speed.mean).sum();
        let second: f64 =
            each.iter().map(|(p, speed)| p * (speed.variance + speed.mean.powi(2))).sum();
        LogSpeed { mean, variance: (second - mean.powi(2)).max(0.0) }
    }

    /// The group that holds the median host.
    pub(crate) fn median(&self) -> Option<Group> {
        let mut below = 0.0;
        let of_median = |group: &&Group| {
            below += group.share;
            below >= 0.5
        };
        self.groups.iter().find(of_median).or(self.groups.last()).copied()
    }
}

/// The combination of a prior distribution with evidence.
fn combine(center: f64, variance: f64, evidence: Option<LogSpeed>) -> LogSpeed {
    let Some(evidence) = evidence else { return LogSpeed { mean: center, variance } };
    let (prior, seen) = (1.0 / variance, 1.0 / evidence.variance);
    let mean = (center * prior + evidence.mean * seen) / (prior + seen);
    LogSpeed { mean, variance: 1.0 / (prior + seen) }
}

fn likelihood(evidence: LogSpeed, center: f64) -> f64 {
    let variance = evidence.variance + WITHIN_GROUP.powi(2);
    (-(evidence.mean - center).powi(2) / (2.0 * variance)).exp() / (TAU * variance).sqrt()
}

/// Fits groups by expectation and maximization. Returns them with the information criterion, where
/// less is better; `None` if they are not apart or one of them is too small.
fn fit_from(sample: &[LogSpeed], starts: Vec<f64>) -> Option<(f64, Vec<Group>)> {
    let share = 1.0 / starts.len() as f64;
    let group = |center| Group { center, error: 0.0, share };
    let mut fit = SpeedGroups { groups: starts.into_iter().map(group).collect() };
    for _ in 0..ITERATIONS {
        let mut sums = vec![(0.0, 0.0, 0.0); fit.groups.len()];
        for estimate in sample {
            let precision = 1.0 / (estimate.variance + WITHIN_GROUP.powi(2));
            for (sum, p) in sums.iter_mut().zip(fit.membership(Some(*estimate))) {
                sum.0 += p;
                sum.1 += p * precision;
                sum.2 += p * precision * estimate.mean;
            }
        }
        for (group, (count, precision, weighted)) in fit.groups.iter_mut().zip(sums) {
            if precision <= f64::MIN_POSITIVE {
                return None;
            }
            group.center = weighted / precision;
            group.error = precision.powf(-0.5);
            group.share = count / sample.len() as f64;
        }
    }
    let mut groups = fit.groups;
    groups.sort_by(|a, b| a.center.total_cmp(&b.center));
    let are_apart = groups.windows(2).all(|pair| pair[1].center - pair[0].center >= SEPARATION_MIN);
    if !are_apart || groups.iter().any(|group| group.share < SHARE_MIN) {
        return None;
    }
    let log_likelihood: f64 = sample
        .iter()
        .map(|estimate| {
            let each = groups.iter().map(|g| g.share * likelihood(*estimate, g.center));
            each.sum::<f64>().max(f64::MIN_POSITIVE).ln()
        })
        .sum();
    let parameters = (2 * groups.len() - 1) as f64;
    Some((parameters * (sample.len() as f64).ln() - 2.0 * log_likelihood, groups))
}
