//! The settings of the job scheduler.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits and periods of the job scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicyConfig {
    /// Most jobs that may wait; more are refused at admission.
    pub queue_max: usize,
    /// Most jobs of one account that may wait.
    pub account_queue_max: usize,
    /// Most failed placements in one round.
    pub tries_max: usize,
    /// How long a job waits before upstreams are reserved for it, in milliseconds.
    pub reserve_after_ms: u64,
    /// Most jobs that have reservations at once.
    pub reservations_max: usize,
    /// The waiting time that counts as much as a share of the whole pool, in milliseconds.
    pub ageing_ms: u64,
    /// How many different jobs must fail on an upstream before it is quarantined.
    #[serde(rename = "aside_after")]
    pub quarantine_after: usize,
    /// How long an upstream is quarantined at first, in milliseconds.
    #[serde(rename = "aside_ms")]
    pub quarantine_ms: u64,
    /// How long an upstream that holds leases may be unreachable before it counts as lost, in
    /// milliseconds.
    pub unseen_ms: u64,
    /// After how long an abort is requested again, in milliseconds.
    pub repeat_ms: u64,
}

impl Default for PolicyConfig {
    fn default() -> Self {
        Self {
            queue_max: 20_000,
            account_queue_max: 5_000,
            tries_max: 64,
            reserve_after_ms: 5_000,
            reservations_max: 8,
            ageing_ms: 600_000,
            quarantine_after: 3,
            quarantine_ms: 60_000,
            unseen_ms: 10_000,
            repeat_ms: 2_000,
        }
    }
}

impl PolicyConfig {
    /// Returns how long an upstream that holds leases may be unreachable before it counts as lost.
    pub const fn lost_after(&self) -> Duration {
        Duration::from_millis(self.unseen_ms)
    }

    /// Returns after how long an abort is requested again.
    pub const fn abort_retry_interval(&self) -> Duration {
        Duration::from_millis(self.repeat_ms)
    }
}
