//! How fast work returns to upstreams that are cold.
//!
//! Handles a data centre whose drain has ended: its upstreams are cold and slow at first, so that work sent to all of them at
//! once would be late as a whole. Each takes one start until it is warm or a run there has made progress.

use std::collections::BTreeSet;

use hg_ledger::WorkflowLedger;
use hg_model::UpstreamName;

use super::capacity_map::CapacityMap;

/// The cold upstreams on which a run has made progress.
#[derive(Debug, Default)]
pub(crate) struct ColdStarts {
    progressed: BTreeSet<UpstreamName>,
}

impl ColdStarts {
    /// Records that a run has made progress on an upstream, or has ended there as done.
    pub(crate) fn record_progress(&mut self, upstream: &UpstreamName) {
        if !self.progressed.contains(upstream) {
            self.progressed.insert(upstream.clone());
        }
    }

    /// Marks the cold upstreams of a round; those whose first run has made no progress yet get no other one.
    pub(crate) fn limit(
        &mut self,
        cold: &BTreeSet<UpstreamName>,
        ledger: &WorkflowLedger,
        capacity: &mut CapacityMap<'_>,
    ) {
        self.progressed.retain(|name| cold.contains(name));
        let unproven = cold.iter().filter(|name| !self.progressed.contains(*name));
        for name in unproven {
            if ledger.occupancy().runs(name).next().is_some() {
                capacity.exclude(std::iter::once(name));
            } else if let Some(candidate) = capacity.get_mut(name) {
                candidate.is_cold = true;
            }
        }
    }
}
