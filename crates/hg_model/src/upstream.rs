//! What an upstream says about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, HostName, LeaseId, RackName, Resources, UpstreamName};

/// An upstream's announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Its name, unique in the pool.
    pub name: UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The host it runs on.
    pub host: HostName,
    /// The rack of the host.
    pub rack: RackName,
    /// The data centre of the rack.
    pub data_centre: DataCentreName,
    /// What its tasks may use together.
    pub capacity: Resources,
    /// Most tasks at once.
    pub slots: u32,
    /// Most connections that it takes.
    pub connections: u32,
    /// Drawn anew whenever the process starts; it refuses leases that were meant for another start.
    pub boot: u64,
}

/// An upstream's present state, sent again and again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamHeartbeat {
    /// The announcement.
    pub spec: UpstreamSpec,
    /// Whether it asks for no new work.
    #[serde(default)]
    pub leaving: bool,
    /// The leases that are prepared or running.
    #[serde(default)]
    pub leases: Vec<LeaseId>,
    /// The leases that have ended and whose end nobody has been told yet.
    #[serde(default)]
    pub ended: Vec<LeaseId>,
}
