//! The settings of a control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hg_model::{DataCentreName, HostName};
use hg_policy::PolicyConfig;
use serde::Deserialize;

use crate::log::LOG_KEYS;
use crate::server_settings::SERVER_KEYS;
use crate::{Key, LogSettings, ServerSettings, Settings, SettingsError, SettingsFault, ValueKind};

/// The settings of `heathergrade-control`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The name of this host.
    pub host: HostName,
    /// The data centre of this host.
    pub data_centre: DataCentreName,
    /// The UDP address that accepts links from entries and other replicas.
    pub listen: SocketAddr,
    /// The TCP address that serves metrics and health checks.
    pub http: SocketAddr,
    /// The link addresses of all control hosts, this one included.
    pub peers: Vec<SocketAddr>,
    /// The folder that holds the log.
    pub data: PathBuf,
    /// The folder with the authority's certificate and this host's certificate and key.
    pub keys: PathBuf,
    /// Timeouts of the consensus protocol.
    #[serde(default)]
    pub agreement: AgreementSettings,
    /// Limits on the log, stored jobs, requests and waiting times.
    #[serde(default)]
    pub limits: ControlLimits,
    /// Limits and timeouts of the scheduling policy.
    #[serde(default)]
    pub policy: PolicyConfig,
    /// Limits of the HTTP server.
    #[serde(default)]
    pub server: ServerSettings,
    /// The log format and level.
    #[serde(default)]
    pub log: LogSettings,
}

/// Timeouts of the consensus protocol, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgreementSettings {
    /// Interval of the leader's heartbeats.
    pub heartbeat_ms: u64,
    /// Shortest election timeout of a follower; the longest is twice as long.
    pub election_ms: u64,
    /// Leader lease: how long a leader may decide after a quorum last acknowledged it.
    pub lease_ms: u64,
}

impl Default for AgreementSettings {
    fn default() -> Self {
        Self { heartbeat_ms: 100, election_ms: 700, lease_ms: 500 }
    }
}

/// Limits on what a control process keeps, and how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlLimits {
    /// Number of log entries after which a snapshot replaces them.
    pub snapshot_entries: usize,
    /// How long ended jobs are stored, in seconds.
    pub remember_s: u64,
    /// Most requests that wait for a reply.
    pub requests: usize,
    /// How long an entry may send no heartbeat before it counts as unresponsive, in milliseconds.
    pub entry_silence_ms: u64,
    /// How long a job whose body was lost waits until the caller submits it again, in milliseconds.
    pub body_grace_ms: u64,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self {
            snapshot_entries: 16_384,
            remember_s: 3 * 24 * 3_600,
            requests: 10_000,
            entry_silence_ms: 3_000,
            body_grace_ms: 5_000,
        }
    }
}

impl ControlSettings {
    /// Checks constraints between several keys.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the keys whose values contradict each other.
    pub fn check(&self, file: &Path) -> Result<(), SettingsError> {
        let AgreementSettings { heartbeat_ms, election_ms, lease_ms } = self.agreement;
        let mut faults = Vec::new();
        let mut fault = |key: &str, problem: &str| {
            faults.push(SettingsFault::between_keys(file, key, problem));
        };
        if lease_ms >= election_ms {
            fault("agreement.lease_ms", "must be less than agreement.election_ms");
        }
        if heartbeat_ms.saturating_mul(2) > lease_ms {
            fault("agreement.heartbeat_ms", "must be at most half of agreement.lease_ms");
        }
        if !self.peers.contains(&self.listen) {
            fault("peers", "must contain the address of listen");
        }
        if faults.is_empty() { Ok(()) } else { Err(SettingsError::Faulty { faults }) }
    }
}

const fn number(min: u64, max: u64, unit: &'static str) -> ValueKind {
    ValueKind::Number { min, max, unit }
}

const KEYS: [Key; 25] = [
    Key::required("", "host", ValueKind::Name, "The name of this host, unique among all hosts."),
    Key::required("", "data_centre", ValueKind::Name, "The data centre of this host."),
    Key::required(
        "",
        "listen",
        ValueKind::Address,
        "UDP address that accepts links from entries and replicas.",
    ),
    Key::required(
        "",
        "http",
        ValueKind::Address,
        "TCP address for `/metrics`, `/healthz` and `/readyz`.",
    ),
    Key::required(
        "",
        "peers",
        ValueKind::Addresses,
        "Link addresses of all control hosts, this one included.",
    ),
    Key::required(
        "",
        "data",
        ValueKind::Path,
        "Folder for the log; its disk must not lose synced data.",
    ),
    Key::required(
        "",
        "keys",
        ValueKind::Path,
        "Folder with `authority.pem`, `host.pem` and `host.key`.",
    ),
    Key::optional(
        "agreement",
        "heartbeat_ms",
        number(10, 10_000, "ms"),
        "100",
        "Interval of the leader's heartbeats.",
    ),
    Key::optional(
        "agreement",
        "election_ms",
        number(100, 60_000, "ms"),
        "700",
        "Shortest election timeout of a follower; the longest is twice as long. Must exceed `lease_ms`.",
    ),
    Key::optional(
        "agreement",
        "lease_ms",
        number(50, 50_000, "ms"),
        "500",
        "Leader lease: how long a leader may decide after a quorum last acknowledged it.",
    ),
    Key::optional(
        "limits",
        "snapshot_entries",
        number(64, 1_000_000, "entries"),
        "4096",
        "Number of log entries after which a snapshot replaces them.",
    ),
    Key::optional(
        "limits",
        "remember_s",
        number(60, 31_536_000, "s"),
        "259200",
        "How long ended jobs and their ids are stored.",
    ),
    Key::optional(
        "limits",
        "requests",
        number(1, 1_000_000, "requests"),
        "10000",
        "Most requests that wait for a reply.",
    ),
    Key::optional(
        "limits",
        "entry_silence_ms",
        number(500, 600_000, "ms"),
        "3000",
        "How long an entry may send no heartbeat before it counts as unresponsive.",
    ),
    Key::optional(
        "limits",
        "body_grace_ms",
        number(0, 600_000, "ms"),
        "5000",
        "How long a job whose body was lost waits until its caller submits it again.",
    ),
    Key::optional(
        "policy",
        "queue_max",
        number(1, 1_000_000, "jobs"),
        "20000",
        "Most jobs that wait.",
    ),
    Key::optional(
        "policy",
        "account_queue_max",
        number(1, 1_000_000, "jobs"),
        "5000",
        "Most jobs of one account that wait.",
    ),
    Key::optional(
        "policy",
        "tries_max",
        number(1, 10_000, "tries"),
        "64",
        "Most failed placements in one scheduling round.",
    ),
    Key::optional(
        "policy",
        "reserve_after_ms",
        number(0, 86_400_000, "ms"),
        "5000",
        "How long a job waits before upstreams are reserved for it.",
    ),
    Key::optional(
        "policy",
        "reservations_max",
        number(0, 1_000, "jobs"),
        "8",
        "Most jobs that have reservations at once.",
    ),
    Key::optional(
        "policy",
        "ageing_ms",
        number(1_000, 86_400_000, "ms"),
        "600000",
        "Waiting time that counts as much as a share of the whole pool.",
    ),
    Key::optional(
        "policy",
        "aside_after",
        number(1, 1_000, "jobs"),
        "3",
        "How many different jobs must fail on an upstream before it is quarantined.",
    ),
    Key::optional(
        "policy",
        "aside_ms",
        number(100, 86_400_000, "ms"),
        "60000",
        "How long an upstream is quarantined at first.",
    ),
    Key::optional(
        "policy",
        "unseen_ms",
        number(500, 86_400_000, "ms"),
        "10000",
        "How long an upstream that holds leases may be unreachable before it counts as lost.",
    ),
    Key::optional(
        "policy",
        "repeat_ms",
        number(100, 600_000, "ms"),
        "2000",
        "Interval at which the abort of an attempt is requested again.",
    ),
];

impl Settings for ControlSettings {
    const PROGRAM: &'static str = "heathergrade-control";

    fn keys() -> Vec<Key> {
        KEYS.into_iter().chain(SERVER_KEYS).chain(LOG_KEYS).collect()
    }
}
