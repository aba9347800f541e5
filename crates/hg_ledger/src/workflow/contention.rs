//! Learned contention: how much tasks of one class slow those of another on the same host.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use hg_model::{TaskClass, Time};
use serde::{Deserialize, Serialize};

/// Most classes about which evidence is kept.
pub const CONTENTION_CLASSES_MAX: usize = 64;
/// Most pairs of classes about which evidence is kept.
pub const CONTENTION_PAIRS_MAX: usize = 512;

/// Two classes of tasks that run on one host, in the direction in which one slows the other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{aggressor} slows {victim}")]
pub struct ContentionPair {
    /// The class whose presence is examined.
    pub aggressor: TaskClass,
    /// The class whose tasks may be slowed.
    pub victim: TaskClass,
}

/// Evidence from comparisons in one direction of time, quantised.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectionEvidence {
    /// The number of comparisons after decay, in hundredths.
    pub count_centi: u32,
    /// The sum of their weights after decay; the weight of a comparison is the inverse of its
    /// variance.
    pub weight: u32,
    /// The weighted mean of the logarithm of the slow-down, in millionths.
    pub mean_micro: i32,
    /// The weighted sum of squared deviations from the mean, in hundredths.
    pub scatter_centi: u32,
}

/// The evidence about a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairEvidence {
    /// From runs beside which the first task of the aggressor's class began.
    pub arrivals: DirectionEvidence,
    /// From runs beside which the last such task ended.
    pub departures: DirectionEvidence,
    /// Whether the slow-down counts as found, so that placement avoids it.
    pub is_found: bool,
    /// The time to which the evidence is decayed.
    pub at: Time,
}

/// The evidence about pairs of classes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contention {
    pairs: BTreeMap<ContentionPair, PairEvidence>,
}

/// Queries.
impl Contention {
    /// The evidence, by pair.
    pub const fn pairs(&self) -> &BTreeMap<ContentionPair, PairEvidence> {
        &self.pairs
    }

    /// How many pairs placement avoids.
    pub fn found_count(&self) -> usize {
        self.pairs.values().filter(|evidence| evidence.is_found).count()
    }

    /// Whether evidence about a further pair may be kept.
    fn has_room_for(&self, pair: &ContentionPair) -> bool {
        let known = self.pairs.keys().flat_map(|pair| [&pair.aggressor, &pair.victim]);
        let mut classes: BTreeSet<&TaskClass> = known.collect();
        classes.extend([&pair.aggressor, &pair.victim]);
        self.pairs.len() < CONTENTION_PAIRS_MAX && classes.len() <= CONTENTION_CLASSES_MAX
    }
}

/// Commands.
impl Contention {
    /// Removes the evidence about some pairs, then replaces that about others. Evidence beyond the
    /// bounds is ignored.
    pub(super) fn record(
        &mut self,
        dropped: &[ContentionPair],
        changed: Vec<(ContentionPair, PairEvidence)>,
    ) {
        for pair in dropped {
            self.pairs.remove(pair);
        }
        for (pair, evidence) in changed {
            if self.pairs.contains_key(&pair) || self.has_room_for(&pair) {
                self.pairs.insert(pair, evidence);
            }
        }
    }
}
