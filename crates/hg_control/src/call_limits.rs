//! Time limits of HTTP calls that wait for the control leader, and of draining a process.

use std::time::Duration;

/// How long an upstream's heartbeat waits for the leader: after 1 s the upstream calls another host.
pub const HEARTBEAT_LIMIT: Duration = Duration::from_millis(800);
/// How long an operator's call waits for the leader: after 1 s the operator calls another host.
pub const OPERATOR_LIMIT: Duration = Duration::from_millis(900);
/// How long an operator's request to drain a data centre waits for the leader's reply, which follows once no start to it is in
/// flight any more.
pub const DRAIN_REQUEST_LIMIT: Duration = Duration::from_millis(2_000);
/// A caller's deadline in milliseconds if its request has none.
const CALLER_DEFAULT_MS: u64 = 3_000;
/// The part of a caller's deadline that is reserved for returning the response, in milliseconds.
const CALLER_MARGIN_MS: u64 = 250;
/// The longest time that a caller's call waits for a leader, in milliseconds: an election takes 0.7 to 1.4 s. If
/// there is no leader by then, it is unknown when there will be one, so the caller is told to retry.
const CALLER_MAX_MS: u64 = 1_400;
/// How long new calls still arrive after the health check fails: two checks, 1 s apart, and a margin.
const LATE_CALLS: Duration = Duration::from_millis(2_500);
/// When a caller may retry while there is no leader: about the duration of an election.
pub const NO_LEADER_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// How long in-flight requests may take once a control process shuts down: longer than any call waits.
pub const CONTROL_DRAIN_LIMIT: Duration = Duration::from_millis(1_500);
/// The part of the grace period that is reserved for the shutdown after the last request.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(1_000);

/// How long a caller's call may wait for the leader, given the deadline of its request in milliseconds.
pub fn caller_limit(deadline_ms: Option<u64>) -> Duration {
    let ms = deadline_ms.unwrap_or(CALLER_DEFAULT_MS);
    let limit_ms = ms.saturating_sub(CALLER_MARGIN_MS).min(CALLER_MAX_MS);
    Duration::from_millis(limit_ms.max(CALLER_MARGIN_MS))
}

/// The phases in which a process that serves callers shuts down: it reports that it is not ready, still
/// accepts late calls for a while, then finishes the in-flight ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    /// How long new calls are still accepted.
    pub late_calls: Duration,
    /// How long in-flight requests may take after that.
    pub in_flight: Duration,
}

impl DrainPlan {
    /// A plan that ends within the grace period `grace`.
    pub fn new(grace: Duration) -> Self {
        let late_calls = LATE_CALLS.min(grace / 2);
        Self { late_calls, in_flight: grace.saturating_sub(late_calls + SHUTDOWN_RESERVE) }
    }
}
