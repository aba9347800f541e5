//! Upstreams that are kept free for urgent work to come.
//!
//! Handles urgent work that arrives in waves on a full pool: if runs have to be preempted first,
//! urgent work starts late and the preempted work is lost. The difference between the last peak of
//! urgent work and its present usage is kept free, in whole upstreams, so that urgent gangs can
//! start at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hg_model::{PoolName, Time, UpstreamName};

use super::capacity_map::CapacityMap;
use super::pool_speeds::PoolSpeeds;
use super::queue_settings::QueueSettings;
use super::run_table::RunTable;

/// Older peaks do not count: waves of callers follow within seconds of each other.
const PEAK_RETENTION: Duration = Duration::from_secs(10);
/// Length of a sample; the highest usage within each sample counts.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// At most this share of a pool is kept free, in percent: the rest stays available to other work in
/// any case.
const SHARE_MAX_PERCENT: u64 = 15;

/// The recent usage by urgent work of each pool, in thousandths of a core.
#[derive(Debug, Default)]
pub(crate) struct Headroom {
    samples: VecDeque<(Time, BTreeMap<PoolName, u64>)>,
}

impl Headroom {
    /// Marks the upstreams that only urgent work may use in this round.
    pub(crate) fn reserve<'a>(
        &mut self,
        now: Time,
        runs: &RunTable<'a>,
        queues: &QueueSettings<'a>,
        capacity: &mut CapacityMap<'_>,
        in_effect: &BTreeMap<PoolName, PoolSpeeds>,
    ) {
        let used = urgent_usage(runs, queues);
        self.record_usage(now, &used);
        for (pool, peak) in self.peaks() {
            let wanted = peak.saturating_sub(used.get(&pool).copied().unwrap_or(0));
            mark_urgent_only(&pool, wanted, capacity, in_effect.get(&pool));
        }
    }

    fn record_usage(&mut self, now: Time, used: &BTreeMap<PoolName, u64>) {
        while self.samples.front().is_some_and(|(at, _)| now >= at.after(PEAK_RETENTION)) {
            self.samples.pop_front();
        }
        if self.samples.back().is_none_or(|(at, _)| now >= at.after(SAMPLE_INTERVAL)) {
            self.samples.push_back((now, BTreeMap::new()));
        }
        let Some((_, sample)) = self.samples.back_mut() else { return };
        for (pool, weight) in used {
            let highest = sample.entry(pool.clone()).or_default();
            *highest = (*highest).max(*weight);
        }
    }

    fn peaks(&self) -> BTreeMap<PoolName, u64> {
        let mut peaks = BTreeMap::new();
        for (pool, weight) in self.samples.iter().flat_map(|(_, sample)| sample) {
            let peak = peaks.entry(pool.clone()).or_default();
            *peak = (*weight).max(*peak);
        }
        peaks
    }
}

fn urgent_usage<'a>(runs: &RunTable<'a>, queues: &QueueSettings<'a>) -> BTreeMap<PoolName, u64> {
    let mut used: BTreeMap<&PoolName, u64> = BTreeMap::new();
    for row in runs.rows() {
        let Some((job, _)) = row.work.filter(|(job, _)| job.terms.priority == 0) else { continue };
        *used.entry(queues.pool(job)).or_default() += row.open.claim.weight();
    }
    used.into_iter().map(|(pool, weight)| (pool.clone(), weight)).collect()
}

/// Marks the upstreams of a pool with the most available capacity until `wanted` is reached or the
/// next one would exceed `SHARE_MAX_PERCENT` of the pool. Where the speeds of hosts are in effect, hosts
/// on which urgent work would be late are left out, and the fastest of equal ones come first.
fn mark_urgent_only(
    pool: &PoolName,
    wanted: u64,
    capacity: &mut CapacityMap<'_>,
    speeds: Option<&PoolSpeeds>,
) {
    let mut total = 0;
    let mut candidates: Vec<(Reverse<u64>, usize, UpstreamName)> = Vec::new();
    for candidate in capacity.candidates().filter(|candidate| candidate.report.pool == *pool) {
        total += candidate.report.capacity.weight();
        let name = candidate.report.name.clone();
        if speeds.is_none_or(|speeds| !speeds.is_too_slow(candidate.tier)) {
            candidates.push((Reverse(candidate.available().weight()), candidate.tier, name));
        }
    }
    candidates.sort();
    let limit = total * SHARE_MAX_PERCENT / 100;
    let mut kept = 0;
    for (Reverse(available), _, name) in candidates {
        if kept >= wanted || kept + available > limit {
            return;
        }
        kept += available;
        if let Some(candidate) = capacity.get_mut(&name) {
            candidate.urgent_only = true;
        }
    }
}
