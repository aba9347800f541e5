//! The time bounds of the agreement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time bounds that all replicas share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// How often a leader sends heartbeats.
    pub heartbeat: Duration,
    /// A follower waits at least this long for a leader; at most twice as long.
    pub election: Duration,
    /// How long a leader may decide after a quorum heard it; shorter than `election`.
    pub lease: Duration,
    /// Most bytes of entries in one message.
    pub append_bytes: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(700),
            lease: Duration::from_millis(500),
            append_bytes: 256 * 1024,
        }
    }
}
