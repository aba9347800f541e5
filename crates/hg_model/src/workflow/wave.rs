//! Maintenance waves: hosts that are to be taken down for upkeep, a few at a time.

use std::collections::BTreeSet;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{HostName, PoolName, UpstreamName};

/// Names a wave.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WaveNumber(pub u64);

/// Most hosts of a wave.
const HOSTS_MAX: usize = 20_000;

/// A wave as operators ask for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// Its number.
    pub number: WaveNumber,
    /// The hosts that are to have their upkeep.
    pub hosts: BTreeSet<HostName>,
    /// Within how long all of them are to have begun it, in milliseconds.
    pub deadline_ms: u64,
    /// Most hosts that are down for it at the same time; at least one.
    pub down_max: u32,
}

/// A wave that cannot be carried out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum WaveFault {
    /// It names no host, or too many.
    #[display("name 1 to {HOSTS_MAX} hosts")]
    Size,
    /// No host may ever be down.
    #[display("at least one host must be allowed to be down")]
    NoneDown,
}

impl WaveSpec {
    /// Checks the parts.
    ///
    /// # Errors
    ///
    /// The first [`WaveFault`].
    pub fn check(&self) -> Result<(), WaveFault> {
        if self.hosts.is_empty() || self.hosts.len() > HOSTS_MAX {
            return Err(WaveFault::Size);
        }
        if self.down_max == 0 {
            return Err(WaveFault::NoneDown);
        }
        Ok(())
    }
}

/// How far a wave is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum WaveState {
    /// Some host has not had its upkeep yet.
    #[display("running")]
    Running,
    /// Every host that is still there has had its upkeep.
    #[display("completed")]
    Completed,
}

/// What a host is doing, as the platform that owns it tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It runs, or may run, an upstream.
    Up,
    /// It changes its pool.
    Moving,
    /// It is down for upkeep.
    Upkeep,
    /// It is not in use.
    Down,
}

/// One host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// The host.
    pub name: HostName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// What it is doing.
    pub state: HostState,
    /// The upstream on it, if there is one.
    pub upstream: Option<UpstreamName>,
}
