//! The upstreams that were on a host when its upkeep was ordered.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{HostName, Incarnation, UpstreamName, WaveNumber};
use serde::{Deserialize, Serialize};

/// The incarnations that each pending upkeep ends once it is carried out.
///
/// They are recorded with the order, before any attempt is sent, and kept until the upkeep has begun: an upstream that
/// registers later may have joined after an attempt whose answer was lost, also under another leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpkeepTargets {
    by_wave: BTreeMap<WaveNumber, BTreeMap<HostName, BTreeSet<(UpstreamName, Incarnation)>>>,
}

/// Queries.
impl UpkeepTargets {
    /// The incarnations that the pending upkeep of a host ends; `None` if none is pending, or if it was ordered by a version
    /// that did not record them.
    pub fn of(
        &self,
        wave: WaveNumber,
        host: &HostName,
    ) -> Option<&BTreeSet<(UpstreamName, Incarnation)>> {
        self.by_wave.get(&wave)?.get(host)
    }
}

/// Commands.
impl UpkeepTargets {
    /// Records the upstreams on a host whose upkeep is ordered.
    pub(crate) fn record(
        &mut self,
        wave: WaveNumber,
        host: HostName,
        upstreams: BTreeSet<(UpstreamName, Incarnation)>,
    ) {
        self.by_wave.entry(wave).or_default().insert(host, upstreams);
    }

    /// Drops what is known of an upkeep that is not pending any more.
    pub(crate) fn remove(&mut self, wave: WaveNumber, host: &HostName) {
        let Some(hosts) = self.by_wave.get_mut(&wave) else { return };
        hosts.remove(host);
        if hosts.is_empty() {
            self.by_wave.remove(&wave);
        }
    }
}
