//! Announcements and heartbeats of upstreams that run jobs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, HostName, LeaseId, RackName, Resources, UpstreamName};

/// An upstream's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Its name, unique in the pool.
    pub name: UpstreamName,
    /// The address it listens on.
    pub address: SocketAddr,
    /// The host it runs on.
    pub host: HostName,
    /// The rack of the host.
    pub rack: RackName,
    /// The data centre of the rack.
    pub data_centre: DataCentreName,
    /// The resources that its tasks may use together.
    pub capacity: Resources,
    /// Most tasks that run at the same time.
    pub slots: u32,
    /// Most connections that it accepts.
    pub connections: u32,
    /// A number drawn at each start of the process, which refuses leases meant for another start.
    pub boot: u64,
}

/// An upstream's current state, sent periodically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamHeartbeat {
    /// The upstream's description.
    pub spec: UpstreamSpec,
    /// Whether it is leaving and asks for no new work.
    #[serde(default)]
    pub leaving: bool,
    /// The leases that are prepared or running.
    #[serde(default)]
    pub leases: Vec<LeaseId>,
    /// The leases whose end is not acknowledged yet.
    #[serde(default)]
    pub ended: Vec<LeaseId>,
}
