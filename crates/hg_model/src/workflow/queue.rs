//! A queue: the path under which callers submit workflows of one kind, and how these are scheduled.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{PoolName, QueueName};

/// Timing of the external service that decides which upstreams may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdviceTiming {
    /// The fixed duration of a call, in milliseconds.
    pub decide_ms: u64,
    /// The additional duration for each upstream named in the call, in milliseconds.
    pub each_ms: u64,
    /// How long a ticket that it issues is valid, in milliseconds.
    pub valid_ms: u64,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSpec {
    /// Its name.
    pub name: QueueName,
    /// The virtual host under which callers reach it.
    pub host: Arc<str>,
    /// The prefix of the paths of its calls.
    pub prefix: Arc<str>,
    /// The pool whose upstreams run its tasks.
    pub pool: PoolName,
    /// How long a caller waits for an answer to one call, in milliseconds.
    pub timeout_ms: u64,
    /// Constant part of the latency objective, added to the multiple given by `stretch_milli`, in
    /// milliseconds.
    pub objective_ms: u64,
    /// The latency objective as a multiple of the longest chain of work, in thousandths.
    pub stretch_milli: u32,
    /// Its priority; 0 is the highest, and larger values come later.
    pub priority: u32,
    /// Number of failures of a task at which its workflow fails.
    pub attempts: u32,
    /// Whether calls are accepted without an API key.
    #[serde(rename = "open")]
    pub allow_anonymous: bool,
    /// Set if an external service decides which upstreams may run a step.
    pub advice: Option<AdviceTiming>,
}
