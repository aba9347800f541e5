//! The settings of the HTTP server of a process.

use serde::Deserialize;

use crate::{Key, ValueKind};

/// Limits on what the clients of an HTTP server can make a process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerSettings {
    /// Most open connections; fewer if the limit of the system on open files requires it.
    pub connections: usize,
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Size limit of all requests that are being received and responses that are being sent, in bytes.
    pub buffered_bytes: usize,
    /// Size of each of the system's buffers of a connection, for unread and for unsent bytes.
    pub socket_buffer_bytes: u32,
    /// How long the head of a request may take, in milliseconds.
    pub head_ms: u64,
    /// How long a connection may be without a request, a body without a new byte, and a response without being read, in milliseconds.
    pub idle_ms: u64,
    /// How long a request may take to arrive, in milliseconds.
    pub request_ms: u64,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            connections: 2_048,
            head_bytes: 20 << 10,
            buffered_bytes: 64 << 20,
            socket_buffer_bytes: 16 << 10,
            head_ms: 5_000,
            idle_ms: 20_000,
            request_ms: 60_000,
        }
    }
}

const fn number(min: u64, max: u64, unit: &'static str) -> ValueKind {
    ValueKind::Number { min, max, unit }
}

const fn key(
    name: &'static str,
    kind: ValueKind,
    default: &'static str,
    description: &'static str,
) -> Key {
    Key::optional("server", name, kind, default, description)
}

pub(crate) const SERVER_KEYS: [Key; 7] = [
    key(
        "connections",
        number(16, 1_000_000, "connections"),
        "2048",
        "Most open connections of clients; fewer if half of the system's limit on open files is less.",
    ),
    key("head_bytes", number(1_024, 1 << 20, "bytes"), "20480", "Longest head of a request."),
    key(
        "buffered_bytes",
        number(1 << 20, 1 << 36, "bytes"),
        "67108864",
        "Size limit of all requests that are being received, whose bytes count twice, and responses that are being sent.",
    ),
    key(
        "socket_buffer_bytes",
        number(4_096, 1 << 24, "bytes"),
        "16384",
        "Size of each of the system's buffers of a connection, for unread and for unsent bytes.",
    ),
    key(
        "head_ms",
        number(100, 600_000, "ms"),
        "5000",
        "How long the head of a request may take, from its first byte.",
    ),
    key(
        "idle_ms",
        number(100, 3_600_000, "ms"),
        "20000",
        "How long a connection may be without a request, a body without a new byte, and a response without being read.",
    ),
    key(
        "request_ms",
        number(100, 3_600_000, "ms"),
        "60000",
        "How long a request may take to arrive, from its first byte.",
    ),
];
