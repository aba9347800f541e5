//! The settings of an entry process.

use std::net::SocketAddr;
use std::path::PathBuf;

use hg_model::{DataCentreName, EntryName};
use serde::Deserialize;

use crate::log::LOG_KEYS;
use crate::server_settings::SERVER_KEYS;
use crate::{Key, LogSettings, ServerSettings, Settings, ValueKind};

/// The settings of `heathergrade-entry`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of this entry process.
    pub name: EntryName,
    /// The data centre of this host.
    pub data_centre: DataCentreName,
    /// The TCP address to which callers, operators and upstreams connect.
    pub http: SocketAddr,
    /// The link addresses (UDP) of the control hosts.
    pub controls: Vec<SocketAddr>,
    /// The folder with the authority's certificate and this host's certificate and key.
    pub keys: PathBuf,
    /// Limits on requests, bodies, answers and upstreams.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Timeouts and limits of the communication with upstreams.
    #[serde(default)]
    pub upstreams: UpstreamSettings,
    /// Limits of the HTTP server.
    #[serde(default)]
    pub server: ServerSettings,
    /// The log format and level.
    #[serde(default)]
    pub log: LogSettings,
}

/// Limits on what an entry accepts and holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryLimits {
    /// Size limit of a request body, in bytes.
    pub body_bytes: usize,
    /// Size limit of an answer, in bytes.
    pub answer_bytes: usize,
    /// Size limit of all bodies and answers held at once, in bytes.
    pub held_bytes: usize,
    /// Most requests in flight.
    pub requests: usize,
    /// Most upstreams that register with this entry.
    pub upstreams: usize,
    /// Longest time a request may wait for an answer, in milliseconds.
    pub wait_ms: u64,
    /// Longest time to wait for the control leader's reply, in milliseconds.
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

/// Timeouts and limits of the communication with upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// How long an upstream may send no heartbeat before it counts as lost, in milliseconds.
    pub silence_ms: u64,
    /// Interval of the reports about changed upstreams to the control leader, in milliseconds.
    pub report_ms: u64,
    /// Deadline for all members of a gang to prepare, in milliseconds.
    pub prepare_ms: u64,
    /// How long a request that starts or polls a lease waits for the lease's end, in milliseconds.
    pub poll_ms: u64,
    /// How long requests to an unreachable upstream are retried, in milliseconds.
    pub unreachable_ms: u64,
    /// Share of requests to upstreams that may be retries, in percent.
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

const fn number(min: u64, max: u64, unit: &'static str) -> ValueKind {
    ValueKind::Number { min, max, unit }
}

const GIB: u64 = 1 << 30;

const KEYS: [Key; 19] = [
    Key::required("", "name", ValueKind::Name, "The name of this entry process, unique among all."),
    Key::required("", "data_centre", ValueKind::Name, "The data centre of this host."),
    Key::required(
        "",
        "http",
        ValueKind::Address,
        "TCP address for callers, operators and upstreams.",
    ),
    Key::required("", "controls", ValueKind::Addresses, "Link addresses of the control hosts."),
    Key::required(
        "",
        "keys",
        ValueKind::Path,
        "Folder with `authority.pem`, `host.pem` and `host.key`.",
    ),
    Key::optional(
        "limits",
        "body_bytes",
        number(1, GIB, "bytes"),
        "4194304",
        "Size limit of a request body.",
    ),
    Key::optional(
        "limits",
        "answer_bytes",
        number(1, GIB, "bytes"),
        "16777216",
        "Size limit of an answer.",
    ),
    Key::optional(
        "limits",
        "held_bytes",
        number(1, 64 * GIB, "bytes"),
        "268435456",
        "Size limit of all bodies and answers held at once.",
    ),
    Key::optional(
        "limits",
        "requests",
        number(1, 1_000_000, "requests"),
        "4096",
        "Most requests in flight.",
    ),
    Key::optional(
        "limits",
        "upstreams",
        number(1, 100_000, "upstreams"),
        "4096",
        "Most upstreams that register with this entry.",
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
        "Longest time to wait for the control leader's reply.",
    ),
    Key::optional(
        "upstreams",
        "silence_ms",
        number(500, 600_000, "ms"),
        "5000",
        "How long an upstream may send no heartbeat before it counts as lost.",
    ),
    Key::optional(
        "upstreams",
        "report_ms",
        number(50, 60_000, "ms"),
        "250",
        "Interval of the reports about changed upstreams to the control leader.",
    ),
    Key::optional(
        "upstreams",
        "prepare_ms",
        number(50, 60_000, "ms"),
        "2000",
        "Deadline for all members of a gang to prepare.",
    ),
    Key::optional(
        "upstreams",
        "poll_ms",
        number(50, 60_000, "ms"),
        "10000",
        "How long one request that starts or polls a task waits for its end.",
    ),
    Key::optional(
        "upstreams",
        "unreachable_ms",
        number(0, 600_000, "ms"),
        "20000",
        "How long requests to an unreachable upstream are retried.",
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
        KEYS.into_iter().chain(SERVER_KEYS).chain(LOG_KEYS).collect()
    }
}
