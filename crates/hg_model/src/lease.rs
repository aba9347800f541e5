//! Lease orders and lease states, exchanged between entries and upstreams over HTTP.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::{Resources, Term};

/// Header with a [`LeaseOrder`] as JSON, on every request to an upstream that changes a lease.
pub const LEASE_ORDER_HEADER: &str = "x-lease-order";
/// Header with a [`LeaseState`], on every response about a lease.
pub const LEASE_STATE_HEADER: &str = "x-lease-state";
/// Header with the upstream's boot number, on every response.
pub const BOOT_HEADER: &str = "x-boot";
/// Header with the SHA-256 of an answer, in hex.
pub const ANSWER_SHA256_HEADER: &str = "x-answer-sha256";

/// The fencing data and limits of a lease, sent with each request that changes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseOrder {
    /// The leader's term; an upstream refuses a lower one than it has seen for the lease.
    pub term: Term,
    /// The boot number of the upstream's process that the order is meant for; a process with
    /// another boot number refuses it.
    pub boot: Option<u64>,
    /// How many tasks run under the lease.
    pub tasks: u32,
    /// The resources that each task may use.
    pub per_task: Resources,
    /// How long a prepared lease is kept without a start, in milliseconds.
    pub prepared_ms: u64,
}

/// The state of a lease on its upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum LeaseState {
    /// The upstream does not know the lease.
    Unknown,
    /// Capacity is reserved for it; nothing runs.
    Prepared,
    /// Its tasks run.
    Running,
    /// It ended with an answer, which is kept until it is acknowledged or expires.
    Done,
    /// It ended with a failure.
    Failed,
    /// It was stopped after it had started.
    Stopped,
    /// It never started and never will.
    Fenced,
}
