//! Announcements and heartbeats of upstreams that run tasks of workflows.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Incarnation, ResourceVector};
use crate::{DataCentreName, HostName, Label, PoolName, RackName, UpstreamName};

/// An upstream's announcement; its heartbeats repeat it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamReport {
    /// Its name; later incarnations may have the same one.
    pub name: UpstreamName,
    /// The incarnation that sent the report.
    pub incarnation: Incarnation,
    /// The address at which it accepts orders.
    pub address: SocketAddr,
    /// The physical host that it runs on, if it reports one; pools and upkeep are managed by host.
    pub host: Option<HostName>,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// All its labels.
    pub labels: Vec<Label>,
    /// The resources that its tasks may use together.
    pub capacity: ResourceVector,
    /// Whether it is about to leave and accepts no new work.
    pub leaving: bool,
}

impl UpstreamReport {
    /// Marks the report as leaving if the same incarnation has reported before that it is leaving.
    /// It never accepts work again, whatever a delayed heartbeat says.
    #[must_use]
    pub fn inherit_leaving(mut self, earlier: Option<&Self>) -> Self {
        let was_leaving =
            |earlier: &Self| earlier.incarnation == self.incarnation && earlier.leaving;
        self.leaving |= earlier.is_some_and(was_leaving);
        self
    }

    /// Whether it has a label.
    pub fn has_label(&self, label: &Label) -> bool {
        self.labels.contains(label)
    }
}

/// Readings that each heartbeat updates; they are not written to the replicated log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReadings {
    /// The upstream's clock when it sent the heartbeat.
    pub clock: Option<ClockReading>,
    /// How much longer a leaving upstream stays at least, in milliseconds.
    #[serde(rename = "stays_ms")]
    pub min_remaining_ms: Option<u64>,
}

/// A reading of an upstream's own monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClockReading(pub u64);

impl ClockReading {
    /// The reading `span` later; saturates at the largest value.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(span_ms))
    }
}
