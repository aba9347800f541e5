//! Timeouts and message size of the agreement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Timeouts and the message size; all replicas of a group use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// The interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// The minimum election timeout; each timeout is drawn at random between this and twice this.
    pub election: Duration,
    /// The leader lease, counted from the sending of the latest messages that a quorum has
    /// acknowledged; must be shorter than `election`.
    pub lease: Duration,
    /// The maximum size of the entries in one message, in bytes; a larger entry is sent alone.
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
