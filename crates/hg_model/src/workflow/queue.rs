//! A queue: where jobs of one kind come in, and how they are treated.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{PoolName, QueueName};

/// How a service that decides which upstreams may run a step answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdviceTiming {
    /// How long a call takes, in milliseconds.
    pub decide_ms: u64,
    /// How much longer for each upstream named, in milliseconds.
    pub each_ms: u64,
    /// How long a ticket is valid, in milliseconds.
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
    /// What the path of a call begins with.
    pub prefix: Arc<str>,
    /// The pool whose upstreams run its tasks.
    pub pool: PoolName,
    /// How long a caller waits for an answer to one call, in milliseconds.
    pub timeout_ms: u64,
    /// What is added to the stretched run time to make the latency objective, in milliseconds.
    pub objective_ms: u64,
    /// The latency objective as a multiple of the longest chain of work, in thousandths.
    pub stretch_milli: u32,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail before its job fails.
    pub attempts: u32,
    /// Whether calls need no key.
    #[serde(rename = "open")]
    pub allow_anonymous: bool,
    /// Set if another service decides which upstreams may run a step.
    pub advice: Option<AdviceTiming>,
}
