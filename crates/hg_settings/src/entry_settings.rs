//! The settings of an entry process.

use std::net::SocketAddr;
use std::path::PathBuf;

use hg_model::{DataCentreName, EntryName};
use serde::Deserialize;

use crate::log::LOG_KEYS;
use crate::{Key, Kind, LogSettings, Settings};

/// What `heathergrade-entry` runs with.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of this entry process.
    pub name: EntryName,
    /// The data centre of this host.
    pub data_centre: DataCentreName,
    /// Where callers, operators and upstreams connect (TCP).
    pub http: SocketAddr,
    /// The link addresses of the control hosts (UDP).
    pub controls: Vec<SocketAddr>,
    /// The folder with the authority and this host's key.
    pub keys: PathBuf,
    /// Bounds on what is taken in and kept.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Times of the exchange with upstreams.
    #[serde(default)]
    pub upstreams: UpstreamSettings,
    /// How to log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Bounds on what an entry takes in and keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest answer, in bytes.
    pub answer_bytes: usize,
    /// All bodies and answers together, in bytes.
    pub held_bytes: usize,
    /// Most requests in progress.
    pub requests: usize,
    /// Most upstreams that announce themselves here.
    pub upstreams: usize,
    /// Longest time a request may wait for an answer, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for the control leader, in milliseconds.
    pub control_ms: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            answer_bytes: 16 << 20,
            held_bytes: 256 << 20,
            requests: 4_096,
            upstreams: 4_096,
            wait_ms: 60_000,
            control_ms: 5_000,
        }
    }
}

/// Times and bounds of the exchange with upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// How long an upstream may be silent before it counts as lost, in milliseconds.
    pub silence_ms: u64,
    /// How often differences go to the control leader, in milliseconds.
    pub report_ms: u64,
    /// How long every member of a gang has to prepare, in milliseconds.
    pub prepare_ms: u64,
    /// How long a start or a question waits for the end of a task, in milliseconds.
    pub poll_ms: u64,
    /// How long an upstream that cannot be reached is asked again, in milliseconds.
    pub unreachable_ms: u64,
    /// Share of requests to upstreams that may be retries, in hundredths.
    pub retry_percent: u64,
    /// Most connections to one upstream.
    pub connections: usize,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            silence_ms: 5_000,
            report_ms: 250,
            prepare_ms: 2_000,
            poll_ms: 10_000,
            unreachable_ms: 20_000,
            retry_percent: 20,
            connections: 16,
        }
    }
}

const fn number(min: u64, max: u64, unit: &'static str) -> Kind {
    Kind::Number { min, max, unit }
}

const GIB: u64 = 1 << 30;

const KEYS: [Key; 19] = [
    Key::required("", "name", Kind::Name, "The name of this entry process, unique among all."),
    Key::required("", "data_centre", Kind::Name, "The data centre of this host."),
    Key::required("", "http", Kind::Address, "TCP address for callers, operators and upstreams."),
    Key::required("", "controls", Kind::Addresses, "Link addresses of the control hosts."),
    Key::required(
        "",
        "keys",
        Kind::Path,
        "Folder with `authority.pem`, `host.pem` and `host.key`.",
    ),
    Key::optional(
        "limits",
        "body_bytes",
        number(1, GIB, "bytes"),
        "4194304",
        "Largest request body.",
    ),
    Key::optional("limits", "answer_bytes", number(1, GIB, "bytes"), "16777216", "Largest answer."),
    Key::optional(
        "limits",
        "held_bytes",
        number(1, 64 * GIB, "bytes"),
        "268435456",
        "All bodies and answers held at once.",
    ),
    Key::optional(
        "limits",
        "requests",
        number(1, 1_000_000, "requests"),
        "4096",
        "Most requests in progress.",
    ),
    Key::optional(
        "limits",
        "upstreams",
        number(1, 100_000, "upstreams"),
        "4096",
        "Most upstreams that announce themselves here.",
    ),
    Key::optional(
        "limits",
        "wait_ms",
        number(1, 3_600_000, "ms"),
        "60000",
        "Longest time a request waits for an answer.",
    ),
    Key::optional(
        "limits",
        "control_ms",
        number(100, 60_000, "ms"),
        "5000",
        "Longest wait for the control leader.",
    ),
    Key::optional(
        "upstreams",
        "silence_ms",
        number(500, 600_000, "ms"),
        "5000",
        "How long an upstream may be silent before it counts as lost.",
    ),
    Key::optional(
        "upstreams",
        "report_ms",
        number(50, 60_000, "ms"),
        "250",
        "How often differences go to the control leader.",
    ),
    Key::optional(
        "upstreams",
        "prepare_ms",
        number(50, 60_000, "ms"),
        "2000",
        "How long every member of a gang has to prepare.",
    ),
    Key::optional(
        "upstreams",
        "poll_ms",
        number(50, 60_000, "ms"),
        "10000",
        "How long one question waits for the end of a task.",
    ),
    Key::optional(
        "upstreams",
        "unreachable_ms",
        number(0, 600_000, "ms"),
        "20000",
        "How long an unreachable upstream is asked again.",
    ),
    Key::optional(
        "upstreams",
        "retry_percent",
        number(0, 100, "percent"),
        "20",
        "Share of requests to upstreams that may be retries.",
    ),
    Key::optional(
        "upstreams",
        "connections",
        number(1, 1_000, "connections"),
        "16",
        "Most connections to one upstream.",
    ),
];

impl Settings for EntrySettings {
    const PROGRAM: &'static str = "heathergrade-entry";

    fn keys() -> Vec<Key> {
        KEYS.into_iter().chain(LOG_KEYS).collect()
    }
}
