//! The lasting relative run times of hosts, as the leaders have estimated them.
//!
//! Only evidence is kept here; which hosts count as slow is decided from it by the policy. It outlives
//! changes of the leader, restarts of upstreams and maintenance, since it is kept by physical host.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_model::{HostName, Time, UpstreamName, UpstreamReport};
use serde::{Deserialize, Serialize};

/// Most hosts that are kept; the target is 20,000.
const HOSTS_MAX: usize = 32_768;
/// A host without a registered upstream is dropped when its estimate has not changed for this long.
const RETAIN_FOR: Duration = Duration::from_secs(24 * 3_600);

/// What runs have shown about the relative run time of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSpeed {
    /// The natural logarithm of its relative run time, in hundredths; larger is slower.
    pub log_centi: i16,
    /// The standard deviation of that, in hundredths.
    pub deviation_centi: u16,
    /// When it was last written to the log.
    pub at: Time,
}

/// The known hosts with their estimates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSpeeds {
    hosts: BTreeMap<HostName, HostSpeed>,
}

/// Queries.
impl HostSpeeds {
    /// The estimates by host.
    pub const fn hosts(&self) -> &BTreeMap<HostName, HostSpeed> {
        &self.hosts
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The name under which an upstream's host is kept: its host, or else its own name; `None` if
    /// that is no valid name of a host.
    pub fn host_of(report: &UpstreamReport) -> Option<HostName> {
        report.host.clone().or_else(|| HostName::new(report.name.as_str()).ok())
    }
}

/// Commands.
impl HostSpeeds {
    /// Records changed estimates and drops hosts that have been gone for long.
    pub(super) fn record(
        &mut self,
        changed: Vec<(HostName, HostSpeed)>,
        at: Time,
        upstreams: &BTreeMap<UpstreamName, UpstreamReport>,
    ) {
        for (host, speed) in changed {
            if self.hosts.len() < HOSTS_MAX || self.hosts.contains_key(&host) {
                self.hosts.insert(host, speed);
            }
        }
        let is_old = |speed: &HostSpeed| at.since(speed.at) >= RETAIN_FOR;
        if self.hosts.values().any(is_old) {
            let known: BTreeSet<HostName> = upstreams.values().filter_map(Self::host_of).collect();
            self.hosts.retain(|host, speed| !is_old(speed) || known.contains(host));
        }
    }
}
