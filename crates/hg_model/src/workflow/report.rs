//! What an upstream that runs tasks of workflows says of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Incarnation, ResourceVector};
use crate::{DataCentreName, HostName, Label, PoolName, RackName, UpstreamName};

/// An upstream's announcement; its heartbeats repeat it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamReport {
    /// Its name; a later life may bear the same one.
    pub name: UpstreamName,
    /// Which life of it speaks.
    pub incarnation: Incarnation,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The physical host that this is a life of, if it says so; pools and upkeep go by hosts.
    pub host: Option<HostName>,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// All its labels.
    pub labels: Vec<Label>,
    /// What its tasks may use together.
    pub capacity: ResourceVector,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
}

impl UpstreamReport {
    /// The same report, given what the same life has said before: one that leaves never takes work again,
    /// whatever a heartbeat says that was held up on its way.
    #[must_use]
    pub fn inherit_leaving(mut self, earlier: Option<&Self>) -> Self {
        let has_left = |earlier: &Self| earlier.incarnation == self.incarnation && earlier.leaving;
        self.leaving |= earlier.is_some_and(has_left);
        self
    }

    /// Whether it bears a label.
    pub fn has_label(&self, label: &Label) -> bool {
        self.labels.contains(label)
    }
}

/// What each heartbeat says anew; none of it is worth a place in the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReadings {
    /// Its clock when it spoke.
    pub clock: Option<ClockReading>,
    /// How much longer it stays at least once it is leaving, in milliseconds.
    #[serde(rename = "stays_ms")]
    pub min_remaining_ms: Option<u64>,
}

/// A reading of an upstream's own steady clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClockReading(pub u64);
