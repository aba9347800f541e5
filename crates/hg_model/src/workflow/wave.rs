//! Maintenance waves: sets of hosts to be taken down for upkeep (maintenance), a few at a time.

use std::collections::BTreeSet;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{HostName, PoolName, UpstreamName};

/// The number that identifies a wave.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WaveNumber(pub u64);

/// Most hosts of a wave.
const HOSTS_MAX: usize = 20_000;

/// A wave as operators request it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// Its number.
    pub number: WaveNumber,
    /// The hosts that need upkeep.
    pub hosts: BTreeSet<HostName>,
    /// Time within which the upkeep of all hosts is to have begun, in milliseconds.
    pub deadline_ms: u64,
    /// Most hosts that may be down for upkeep at the same time; at least one.
    pub down_max: u32,
}

/// A wave that cannot be carried out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum WaveFault {
    /// It names no host, or too many.
    #[display("name 1 to {HOSTS_MAX} hosts")]
    Size,
    /// No host may be down, so that the wave could not progress.
    #[display("at least one host must be allowed to be down")]
    ZeroDownMax,
}

impl WaveSpec {
    /// Checks the number of hosts and `down_max`.
    ///
    /// # Errors
    ///
    /// The first [`WaveFault`] found.
    pub fn check(&self) -> Result<(), WaveFault> {
        if self.hosts.is_empty() || self.hosts.len() > HOSTS_MAX {
            return Err(WaveFault::Size);
        }
        if self.down_max == 0 {
            return Err(WaveFault::ZeroDownMax);
        }
        Ok(())
    }
}

/// The state of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum WaveState {
    /// The upkeep of some host is not over yet.
    #[display("running")]
    Running,
    /// The upkeep of every host that still exists is over.
    #[display("completed")]
    Completed,
}

/// The state of a host, as reported by the platform that owns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It runs, or may run, an upstream.
    Up,
    /// It is being moved to another pool.
    Moving,
    /// It is down for upkeep.
    Upkeep,
    /// It is not in use.
    Down,
}

/// One host in the platform's listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// The host.
    pub name: HostName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Its state.
    pub state: HostState,
    /// The upstream on it, if there is one.
    pub upstream: Option<UpstreamName>,
}
