//! Which tasks slow each other down on one host.
//!
//! Handles tasks that compete for resources that no claim covers, such as memory bandwidth: the
//! leader compares the speed of a run beside a class of tasks with the speed of the same run
//! without it, and placement avoids the pairs for which chance explains the difference no more.
//!
//! * `contrasts` compares one run with itself under different neighbours.
//! * `slow_downs` estimates the slow-down of each pair of classes and tests it.
//! * `host_mixes` tells placement what a newcomer is expected to suffer and to cause on a host.

mod contrasts;
mod host_mixes;
mod slow_downs;

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{ContentionPair, PairEvidence, RunRef, WorkflowLedger};
use hg_model::{RunListing, TaskId, Time, UpstreamName};

pub(crate) use host_mixes::{HostMixes, StepMixes};

use super::capacity_map::CapacityMap;
use super::placement::place_packed;
use super::ready_steps::ReadyStep;
use super::run_table::RunTable;
use super::speed_placement::TierRanks;
use contrasts::RunObserver;
use slow_downs::SlowDowns;

/// How often the evidence is judged.
const JUDGE_EVERY: Duration = Duration::from_millis(500);
/// How often changed evidence is replicated at most.
const REPLICATE_EVERY: Duration = Duration::from_secs(2);

/// A slow-down that was found, or that is no longer supported by the evidence.
#[derive(Debug, Clone, PartialEq)]
pub struct ContentionFinding {
    /// The pair.
    pub pair: ContentionPair,
    /// The estimated factor by which a task of the victim's class takes longer.
    pub factor: f64,
    /// The estimate as a multiple of its standard error, and the multiple that is required.
    pub score: f64,
    /// The required score, which grows with the number of pairs that are tested.
    pub score_required: f64,
    /// The number of comparisons, after decay.
    pub comparisons: f64,
    /// Whether placement avoids the pair from now on.
    pub is_found: bool,
}

/// A start for which placement avoided contention.
#[derive(Debug, Clone, PartialEq)]
pub struct ContentionAvoided {
    /// The task.
    pub task: TaskId,
    /// Where it starts.
    pub upstream: UpstreamName,
    /// Where it would have started otherwise.
    pub instead_of: UpstreamName,
    /// The pair with the largest slow-down there.
    pub pair: ContentionPair,
    /// The factor of that slow-down.
    pub factor: f64,
}

/// What a round changed about contention.
#[derive(Debug, Default)]
pub struct ContentionReport {
    /// Slow-downs that were found, or are no longer supported.
    pub findings: Vec<ContentionFinding>,
    /// Starts for which contention was avoided.
    pub avoided: Vec<ContentionAvoided>,
    /// Pairs without evidence from now on, to be replicated.
    pub dropped: Vec<ContentionPair>,
    /// Pairs with changed evidence, to be replicated.
    pub changed: Vec<(ContentionPair, PairEvidence)>,
}

/// The starts of a step for which its placement avoided contention, given where its tasks are placed.
pub(crate) fn avoided_by(
    now: Time,
    step: &ReadyStep<'_>,
    placed: &BTreeMap<u32, UpstreamName>,
    capacity: &CapacityMap<'_>,
    tiers: &[TierRanks],
) -> Vec<ContentionAvoided> {
    let Some(mixes) = capacity.mixes_for(step).filter(|_| !placed.is_empty()) else {
        return Vec::new();
    };
    let packed = place_packed(now, step, capacity, tiers);
    let avoided = placed.iter().filter_map(|(index, upstream)| {
        let instead_of = packed.get(index).filter(|packed| *packed != upstream)?;
        let (there, here) = (capacity.position(instead_of)?, capacity.position(upstream)?);
        let is_gain = mixes.slow_down_steps(here) < mixes.slow_down_steps(there);
        let (pair, factor) = mixes.worst_pair(there).filter(|_| is_gain)?;
        let task = TaskId { step: step.id.clone(), index: *index };
        let (upstream, instead_of) = (upstream.clone(), instead_of.clone());
        Some(ContentionAvoided { task, upstream, instead_of, pair, factor })
    });
    avoided.collect()
}

/// The learned contention, and the observations from which it is learned.
#[derive(Debug, Default)]
pub(crate) struct ContentionTracker {
    observer: RunObserver,
    slow_downs: SlowDowns,
    /// Whether the replicated evidence was taken over.
    is_restored: bool,
    judged_at: Time,
    replicated_at: Time,
}

/// Queries.
impl ContentionTracker {
    /// What placement needs to know in this round; `None` while nothing was found, so that
    /// placement is as without this policy.
    pub(crate) fn host_mixes(
        &self,
        runs: &RunTable<'_>,
        ready: &[ReadyStep<'_>],
        capacity: &CapacityMap<'_>,
    ) -> Option<HostMixes> {
        let found = self.slow_downs.found();
        (!found.is_empty()).then(|| HostMixes::new(&found, runs, ready, capacity))
    }
}

/// Commands.
impl ContentionTracker {
    /// Records the runs that an upstream listed.
    pub(crate) fn record_listing(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        listing: &RunListing,
    ) {
        self.restore(now, ledger);
        for contrast in self.observer.record_listing(ledger, upstream, listing) {
            self.slow_downs.record(contrast);
        }
    }

    /// Records that a run is over.
    pub(crate) fn record_run_closed(&mut self, run: &RunRef) {
        if let Some(contrast) = self.observer.record_run_closed(run) {
            self.slow_downs.record(contrast);
        }
    }

    /// Judges the evidence and returns what changed, where that is due.
    pub(crate) fn judge(&mut self, now: Time, ledger: &WorkflowLedger) -> ContentionReport {
        self.restore(now, ledger);
        let mut report = ContentionReport::default();
        if now >= self.judged_at.after(JUDGE_EVERY) {
            self.judged_at = now;
            report.findings = self.slow_downs.judge(now);
        }
        if now >= self.replicated_at.after(REPLICATE_EVERY) {
            self.replicated_at = now;
            (report.dropped, report.changed) = self.slow_downs.changes(ledger.contention());
        }
        report
    }

    /// Takes over what an earlier leader learned.
    fn restore(&mut self, now: Time, ledger: &WorkflowLedger) {
        if !self.is_restored {
            self.is_restored = true;
            self.slow_downs = SlowDowns::restore(now, ledger.contention());
        }
    }
}
