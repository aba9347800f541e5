//! What a leader has observed of the upstreams, beyond what they registered.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{
    DataCentreName, HostName, HostReport, PoolName, Time, UpstreamName, UpstreamReport,
};

/// Observations that decisions depend on.
#[derive(Debug, Clone, Default)]
pub struct FleetObservations {
    /// Upstreams that get no new work now: unresponsive, suspect or quarantined.
    pub excluded: BTreeSet<UpstreamName>,
    /// Upstreams that have announced that they leave, with the earliest time at which they do.
    pub leaving: BTreeMap<UpstreamName, Time>,
    /// Upstreams that leave orders unanswered, with the time since when they give no sign of life.
    pub silent: BTreeMap<UpstreamName, Time>,
    /// The hosts in the platform's list, as far as it was read.
    pub hosts: BTreeMap<HostName, HostReport>,
    /// Hosts that are about to change their pool, and the pool that they join.
    pub moving: BTreeMap<HostName, PoolName>,
    /// Drained data centres, with the time at which the bound of the drain ends.
    pub drained: BTreeMap<DataCentreName, Time>,
    /// Cold upstreams in data centres whose drain has ended.
    pub cold: BTreeSet<UpstreamName>,
    /// Whether the service that decides where steps may run takes no request now.
    pub is_advice_busy: bool,
}

impl FleetObservations {
    /// Whether an upstream may get new work.
    pub fn is_usable(&self, upstream: &UpstreamReport) -> bool {
        let name = &upstream.name;
        let target = upstream.host.as_ref().and_then(|host| self.moving.get(host));
        // An upstream in the new pool came with the move, whose answer may be lost.
        let moves = target.is_some_and(|pool| *pool != upstream.pool);
        !upstream.leaving
            && !self.drained.contains_key(&upstream.data_centre)
            && !moves
            && !self.excluded.contains(name)
            && !self.leaving.contains_key(name)
    }
}
