//! The settings of a control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hg_model::{DataCentreName, HostName};
use hg_policy::PolicyConfig;
use serde::Deserialize;

use crate::log::LOG_KEYS;
use crate::{Key, Kind, LogSettings, Settings, SettingsError, SettingsFault};

/// What `heathergrade-control` runs with.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The name of this host.
    pub host: HostName,
    /// The data centre of this host.
    pub data_centre: DataCentreName,
    /// Where the links of entries and other replicas arrive (UDP).
    pub listen: SocketAddr,
    /// Where metrics and health are served (TCP).
    pub http: SocketAddr,
    /// The link addresses of all control hosts, this one included.
    pub peers: Vec<SocketAddr>,
    /// The folder that holds the log.
    pub data: PathBuf,
    /// The folder with the authority and this host's key.
    pub keys: PathBuf,
    /// Time bounds of the agreement.
    #[serde(default)]
    pub agreement: AgreementSettings,
    /// Bounds on what is kept.
    #[serde(default)]
    pub limits: ControlLimits,
    /// Bounds and times of the policy.
    #[serde(default)]
    pub policy: PolicyConfig,
    /// How to log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Time bounds of the agreement, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgreementSettings {
    /// How often the leader sends heartbeats.
    pub heartbeat_ms: u64,
    /// How long a follower waits for a leader, at least; at most twice as long.
    pub election_ms: u64,
    /// How long a leader may decide after a quorum heard it.
    pub lease_ms: u64,
}

impl Default for AgreementSettings {
    fn default() -> Self {
        Self { heartbeat_ms: 100, election_ms: 700, lease_ms: 500 }
    }
}

/// Bounds on what a control process keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlLimits {
    /// Log entries after which a snapshot takes their place.
    pub snapshot_entries: usize,
    /// How long ended jobs are remembered, in seconds.
    pub remember_s: u64,
    /// Most requests that wait for an answer.
    pub requests: usize,
    /// How long without word an entry counts as alive, in milliseconds.
    pub entry_silence_ms: u64,
    /// How long a job whose body was lost waits for the caller to send it again, in milliseconds.
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
    /// Checks what no single key can show.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] naming the keys that do not go together.
    pub fn check(&self, file: &Path) -> Result<(), SettingsError> {
        let AgreementSettings { heartbeat_ms, election_ms, lease_ms } = self.agreement;
        let mut faults = Vec::new();
        let mut fault = |key: &str, problem: &str| {
            faults.push(SettingsFault::whole_file(file, key, problem));
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

const fn number(min: u64, max: u64, unit: &'static str) -> Kind {
    Kind::Number { min, max, unit }
}

const KEYS: [Key; 25] = [
    Key::required("", "host", Kind::Name, "The name of this host, unique among all hosts."),
    Key::required("", "data_centre", Kind::Name, "The data centre of this host."),
    Key::required(
        "",
        "listen",
        Kind::Address,
        "UDP address for the links of entries and replicas.",
    ),
    Key::required(
        "",
        "http",
        Kind::Address,
        "TCP address for `/metrics`, `/healthz` and `/readyz`.",
    ),
    Key::required(
        "",
        "peers",
        Kind::Addresses,
        "Link addresses of all control hosts, this one included.",
    ),
    Key::required(
        "",
        "data",
        Kind::Path,
        "Folder for the log; needs a disk that keeps what is synced.",
    ),
    Key::required(
        "",
        "keys",
        Kind::Path,
        "Folder with `authority.pem`, `host.pem` and `host.key`.",
    ),
    Key::optional(
        "agreement",
        "heartbeat_ms",
        number(10, 10_000, "ms"),
        "100",
        "How often the leader sends heartbeats.",
    ),
    Key::optional(
        "agreement",
        "election_ms",
        number(100, 60_000, "ms"),
        "700",
        "How long a follower waits for a leader, at least. Must exceed `lease_ms`.",
    ),
    Key::optional(
        "agreement",
        "lease_ms",
        number(50, 50_000, "ms"),
        "500",
        "How long a leader may decide after a quorum heard it.",
    ),
    Key::optional(
        "limits",
        "snapshot_entries",
        number(64, 1_000_000, "entries"),
        "4096",
        "Log entries after which a snapshot takes their place.",
    ),
    Key::optional(
        "limits",
        "remember_s",
        number(60, 31_536_000, "s"),
        "259200",
        "How long ended jobs and their ids are remembered.",
    ),
    Key::optional(
        "limits",
        "requests",
        number(1, 1_000_000, "requests"),
        "10000",
        "Most requests that wait for an answer.",
    ),
    Key::optional(
        "limits",
        "entry_silence_ms",
        number(500, 600_000, "ms"),
        "3000",
        "How long without word an entry counts as alive.",
    ),
    Key::optional(
        "limits",
        "body_grace_ms",
        number(0, 600_000, "ms"),
        "5000",
        "How long a job whose body was lost waits for its caller.",
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
        "Most placements tried in vain in one round.",
    ),
    Key::optional(
        "policy",
        "reserve_after_ms",
        number(0, 86_400_000, "ms"),
        "5000",
        "How long a job waits before room is held for it.",
    ),
    Key::optional(
        "policy",
        "reservations_max",
        number(0, 1_000, "jobs"),
        "8",
        "Most jobs that room is held for at once.",
    ),
    Key::optional(
        "policy",
        "ageing_ms",
        number(1_000, 86_400_000, "ms"),
        "600000",
        "How long until age outweighs a whole share of the pool.",
    ),
    Key::optional(
        "policy",
        "aside_after",
        number(1, 1_000, "jobs"),
        "3",
        "How many different jobs fail before an upstream is put aside.",
    ),
    Key::optional(
        "policy",
        "aside_ms",
        number(100, 86_400_000, "ms"),
        "60000",
        "How long an upstream is put aside at first.",
    ),
    Key::optional(
        "policy",
        "unseen_ms",
        number(500, 86_400_000, "ms"),
        "10000",
        "How long an upstream with leases may stay unseen.",
    ),
    Key::optional(
        "policy",
        "repeat_ms",
        number(100, 600_000, "ms"),
        "2000",
        "How long before a stop is asked for again.",
    ),
];

impl Settings for ControlSettings {
    const PROGRAM: &'static str = "heathergrade-control";

    fn keys() -> Vec<Key> {
        KEYS.into_iter().chain(LOG_KEYS).collect()
    }
}
