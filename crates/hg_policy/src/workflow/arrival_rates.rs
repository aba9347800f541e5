//! How much work arrives in time at each priority of a pool, and how long it has done so.
//!
//! Work that is late is served after work in time that arrives later, so its forecast depends on arrivals to come.
//! These are expected to go on for as long as they have lasted.

use std::collections::{BTreeMap, VecDeque};

use hg_model::{PoolName, Time};

use super::capacity_profile::Amount;

/// Length of a sample, in milliseconds.
const SAMPLE_MS: u64 = 1_000;
/// The rate is the mean over this many complete samples.
const RATE_SAMPLES: u64 = 2;
/// Arrivals are expected for at most this many samples.
const SAMPLES_MAX: u64 = 10;

/// Work that is expected to arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExpectedArrivals {
    /// What it occupies at any time.
    pub(crate) occupied: Amount,
    /// How long it goes on arriving, in milliseconds.
    pub(crate) for_ms: u64,
}

/// Accepted work by pool, priority and second, in resources times milliseconds.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRates {
    samples: BTreeMap<(PoolName, u32), VecDeque<(u64, Amount)>>,
}

/// Queries.
impl ArrivalRates {
    /// The work that is expected to arrive in a pool, by priority.
    pub(crate) fn expected(&self, now: Time, pool: &PoolName) -> BTreeMap<u32, ExpectedArrivals> {
        let of_pool = self.samples.iter().filter(|((name, _), _)| name == pool);
        of_pool.map(|((_, priority), samples)| (*priority, expected(now, samples))).collect()
    }
}

fn expected(now: Time, samples: &VecDeque<(u64, Amount)>) -> ExpectedArrivals {
    let current = now.0 / SAMPLE_MS;
    let at = |second: u64| {
        let found = samples.iter().find(|(sample, _)| *sample == second);
        found.map_or_else(Amount::default, |(_, work)| *work)
    };
    let recent = (1..=RATE_SAMPLES).map(|back| at(current.saturating_sub(back)));
    let sum = recent.fold(Amount::default(), Amount::plus);
    let occupied = sum.divided(RATE_SAMPLES * SAMPLE_MS);
    let half = occupied.times(SAMPLE_MS).divided(2);
    let is_similar = |back: &u64| half.fits(at(current.saturating_sub(*back)));
    let lasted = (1..=SAMPLES_MAX).take_while(is_similar).count();
    ExpectedArrivals { occupied, for_ms: u64::try_from(lasted).unwrap_or(0) * SAMPLE_MS }
}

/// Commands.
impl ArrivalRates {
    /// Records accepted work.
    pub(crate) fn record(&mut self, now: Time, pool: &PoolName, priority: u32, work: Amount) {
        let second = now.0 / SAMPLE_MS;
        let samples = self.samples.entry((pool.clone(), priority)).or_default();
        match samples.back_mut().filter(|(last, _)| *last == second) {
            Some((_, sum)) => *sum = sum.plus(work),
            None => samples.push_back((second, work)),
        }
    }

    /// Drops samples that do not count any more.
    pub(crate) fn drop_old(&mut self, now: Time) {
        let first = (now.0 / SAMPLE_MS).saturating_sub(SAMPLES_MAX);
        self.samples.retain(|_, samples| {
            samples.retain(|(second, _)| *second >= first);
            !samples.is_empty()
        });
    }
}
