//! Whether the speeds of hosts matter in a pool, and the tiers into which its hosts fall.
//!
//! Speeds are in effect in a pool only if one of its queues has a latency objective that its slow
//! hosts exceed by themselves: at least a tenth of its hosts are slower than the median by more than
//! the smallest stretch among its queues. Elsewhere a slow host only makes work later, not late.

use std::collections::BTreeMap;

use derive_more::Display;
use hg_model::{Catalog, PoolName, UpstreamName};

use super::speed_groups::{LogSpeed, SpeedGroups};

/// The share of a pool's hosts that must be too slow, in percent, before speeds take effect, and the
/// share below which they cease to be in effect.
const TOO_SLOW_ON_PERCENT: usize = 10;
const TOO_SLOW_OFF_PERCENT: usize = 5;
/// Speeds take effect only once this share of a pool's hosts has shown something, in percent: before,
/// the median is not known.
const KNOWN_MIN_PERCENT: usize = 20;
/// A host counts as one of a group for the condition with this probability, and for placement with
/// this one.
const CERTAIN: f64 = 0.95;
const PROBABLE: f64 = 0.85;
/// By how many standard errors a group must be too slow.
const ERRORS: f64 = 1.65;
/// Once in effect, speeds remain so while a group is slower than this share of the limit (of the
/// logarithm), so that they do not switch on and off.
const REMAIN_SHARE: f64 = 0.8;
/// A host is fast or slow if it differs from the median by more than this (difference of logarithms:
/// a factor of 1.16).
const CLASS_DIFFERENCE: f64 = 0.15;

/// A class of hosts by their lasting speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum SpeedClass {
    /// Faster than the median of its pool.
    #[display("fast")]
    Fast,
    /// About as fast as the median.
    #[display("normal")]
    Normal,
    /// Slower than the median.
    #[display("slow")]
    Slow,
    /// Not known yet.
    #[display("unknown")]
    Unknown,
}

impl SpeedClass {
    /// All classes.
    pub const ALL: [Self; 4] = [Self::Fast, Self::Normal, Self::Slow, Self::Unknown];
}

/// A tier: the hosts of one group, or those that are not known.
#[derive(Debug, Clone)]
pub(crate) struct SpeedTier {
    pub(crate) class: SpeedClass,
    /// The groups of which its hosts may be, with their probabilities.
    pub(crate) groups: Vec<(f64, f64)>,
}

impl SpeedTier {
    /// The mean of the logarithm of its relative run time.
    pub(crate) fn mean(&self) -> f64 {
        self.groups.iter().map(|(probability, center)| probability * center).sum()
    }
}

/// The tiers of a pool in which speeds are in effect.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolSpeeds {
    /// The tiers, the fastest first; the last one holds the hosts that are not known.
    pub(crate) tiers: Vec<SpeedTier>,
    /// The tier of each upstream; those that are missing are not known.
    pub(crate) upstreams: BTreeMap<UpstreamName, usize>,
    /// The logarithm of the median host's relative run time.
    pub(crate) median: f64,
    /// The logarithm of the smallest stretch among the pool's queues.
    pub(crate) limit: f64,
}

impl PoolSpeeds {
    /// The tier of an upstream.
    pub(crate) fn tier_of(&self, upstream: &UpstreamName) -> usize {
        self.upstreams.get(upstream).copied().unwrap_or(self.tiers.len().saturating_sub(1))
    }

    /// The run time of an upstream relative to the median host; 1 if it is not known.
    pub(crate) fn factor_of(&self, upstream: &UpstreamName) -> f64 {
        let tier = &self.tiers[self.tier_of(upstream)];
        if tier.class == SpeedClass::Unknown { 1.0 } else { (tier.mean() - self.median).exp() }
    }

    /// Whether urgent work with the smallest stretch is late on a tier even if it starts at once.
    pub(crate) fn is_too_slow(&self, tier: usize) -> bool {
        self.tiers.get(tier).is_some_and(|tier| tier.mean() - self.median > self.limit)
    }
}

/// The logarithm of the smallest stretch among the queues of a pool; `None` if none has one.
pub(crate) fn smallest_stretch(catalog: Option<&Catalog>, pool: &PoolName) -> Option<f64> {
    let queues = catalog?.queues.iter().filter(|queue| queue.pool == *pool);
    let stretches = queues.map(|queue| queue.stretch_milli).filter(|stretch| *stretch > 0);
    stretches.min().map(|stretch| (f64::from(stretch) / 1_000.0).ln().max(0.0))
}

/// Whether speeds are in effect in a pool of which these estimates of hosts are known.
pub(crate) fn are_in_effect(
    groups: &SpeedGroups,
    estimates: &[Option<LogSpeed>],
    limit: f64,
    before: bool,
) -> bool {
    let Some(median) = groups.median() else { return false };
    let known = estimates.iter().flatten().count();
    if !before && known * 100 < estimates.len() * KNOWN_MIN_PERCENT {
        return false;
    }
    let is_slow: Vec<bool> = groups
        .groups
        .iter()
        .map(|group| {
            let difference = group.center - median.center;
            let error = (group.error.powi(2) + median.error.powi(2)).sqrt();
            let certain = difference - ERRORS * error > limit;
            certain || (before && difference > limit * REMAIN_SHARE)
        })
        .collect();
    let is_host_slow = |estimate: &&LogSpeed| {
        let membership = groups.membership(Some(**estimate));
        let slow = membership.iter().zip(&is_slow).filter(|(_, is_slow)| **is_slow);
        slow.map(|(p, _)| p).sum::<f64>() >= CERTAIN
    };
    let slow = estimates.iter().flatten().filter(is_host_slow).count();
    let wanted = if before { TOO_SLOW_OFF_PERCENT } else { TOO_SLOW_ON_PERCENT };
    slow > 0 && slow * 100 >= estimates.len() * wanted
}

/// The number of the group to which a host belongs; `None` if that is not known.
pub(crate) fn group_of(groups: &SpeedGroups, estimate: Option<LogSpeed>) -> Option<usize> {
    let membership = groups.membership(Some(estimate?));
    let mut certain = (0..groups.groups.len()).filter(|number| membership[*number] >= PROBABLE);
    certain.next_back()
}

/// The class of a group within its pool.
pub(crate) fn class_of(groups: &SpeedGroups, group: Option<usize>) -> SpeedClass {
    let center = group.and_then(|number| groups.groups.get(number)).map(|group| group.center);
    let (Some(center), Some(median)) = (center, groups.median()) else {
        return SpeedClass::Unknown;
    };
    let difference = center - median.center;
    if difference < -CLASS_DIFFERENCE {
        SpeedClass::Fast
    } else if difference > CLASS_DIFFERENCE {
        SpeedClass::Slow
    } else {
        SpeedClass::Normal
    }
}

/// The tiers of a pool with these groups.
pub(crate) fn tiers(groups: &SpeedGroups) -> Vec<SpeedTier> {
    let known = (0..groups.groups.len()).map(|number| SpeedTier {
        class: class_of(groups, Some(number)),
        groups: vec![(1.0, groups.groups[number].center)],
    });
    let shares = groups.groups.iter().map(|group| (group.share, group.center)).collect();
    known.chain([SpeedTier { class: SpeedClass::Unknown, groups: shares }]).collect()
}
