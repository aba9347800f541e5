//! How long runs took, relative to the estimates of their callers.
//!
//! Counts of completed runs by the ratio of run time to estimate, for each queue and, where steps name one, each
//! image. The leader's policy defines the scale of the ratios; this state only adds up.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{ImageName, QueueName, Time};
use serde::{Deserialize, Serialize};

/// What one completed run adds to its bucket. More than 1, so that halving keeps rare ratios for a while.
const RUN_WEIGHT: u16 = 16;
/// At this many runs all weights are halved, so that a changed workload shows after some hundred runs. Fewer would
/// leave the rarest hundredth of the runs without any evidence.
const RUNS_MAX: u32 = 512;
/// Most distributions kept; the one that was updated longest ago is dropped, of an image rather than of a whole queue,
/// since callers choose the images.
const DISTRIBUTIONS_MAX: usize = 64;
/// Most distinct buckets of a distribution; those above are ignored.
const BUCKETS_MAX: u8 = 128;

/// What a distribution is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunTimeKey {
    /// The queue.
    pub queue: QueueName,
    /// The image; `None` for all runs of the queue together.
    pub image: Option<ImageName>,
}

/// Completed runs by the ratio of run time to estimate, decayed by newer ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatioCounts {
    /// The weight of each bucket of the policy's scale; buckets without runs are absent.
    weights: BTreeMap<u8, u16>,
    updated_at: Time,
}

/// The runs that completed since the last command, for one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimeChange {
    /// What they are about.
    pub key: RunTimeKey,
    /// The number of runs in each bucket.
    pub runs: BTreeMap<u8, u16>,
}

/// The learned distributions; at most 64.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedRunTimes {
    distributions: BTreeMap<RunTimeKey, RatioCounts>,
    /// Increases with each change, so that what derives from this state can be cached.
    revision: u64,
}

/// Queries.
impl RatioCounts {
    /// The bucket numbers in ascending order with the number of runs in each, which may be a fraction.
    pub fn runs_by_bucket(&self) -> impl Iterator<Item = (u8, f64)> {
        self.weights.iter().map(|(bucket, w)| (*bucket, f64::from(*w) / f64::from(RUN_WEIGHT)))
    }

    fn total_weight(&self) -> u32 {
        self.weights.values().map(|weight| u32::from(*weight)).sum()
    }
}

/// Commands.
impl RatioCounts {
    fn add(&mut self, runs: &BTreeMap<u8, u16>, at: Time) {
        self.updated_at = at;
        for (bucket, count) in runs.iter().filter(|(bucket, _)| **bucket < BUCKETS_MAX) {
            let weight = self.weights.entry(*bucket).or_default();
            *weight = weight.saturating_add(count.saturating_mul(RUN_WEIGHT));
        }
        while self.total_weight() > RUNS_MAX * u32::from(RUN_WEIGHT) {
            self.weights.values_mut().for_each(|weight| *weight /= 2);
            self.weights.retain(|_, weight| *weight > 0);
        }
    }
}

/// Queries.
impl LearnedRunTimes {
    /// The distributions, by key.
    pub const fn distributions(&self) -> &BTreeMap<RunTimeKey, RatioCounts> {
        &self.distributions
    }

    /// The revision, which increases with each change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }
}

/// Commands.
impl LearnedRunTimes {
    /// Adds completed runs.
    pub(super) fn add(&mut self, changes: Vec<RunTimeChange>, at: Time) {
        self.revision += 1;
        for RunTimeChange { key, runs } in changes {
            self.distributions.entry(key).or_default().add(&runs, at);
        }
        while self.distributions.len() > DISTRIBUTIONS_MAX {
            let order =
                |key: &RunTimeKey, counts: &RatioCounts| (key.image.is_none(), counts.updated_at);
            let oldest = self.distributions.iter().min_by_key(|(key, counts)| order(key, counts));
            let Some(key) = oldest.map(|(key, _)| key.clone()) else { return };
            self.distributions.remove(&key);
        }
    }

    /// Drops the distributions of queues that no longer exist.
    pub(super) fn retain_queues(&mut self, queues: &BTreeSet<&QueueName>) {
        let count = self.distributions.len();
        self.distributions.retain(|key, _| queues.contains(&key.queue));
        self.revision += u64::from(self.distributions.len() < count);
    }
}
