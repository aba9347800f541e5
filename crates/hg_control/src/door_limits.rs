//! How long calls from outside may wait for the control leader, and how a process drains.

use std::time::Duration;

/// How long a heartbeat waits: after a second an upstream calls another host.
pub const HEARTBEAT_LIMIT: Duration = Duration::from_millis(800);
/// How long an operator's call waits: after a second the operator calls another host.
pub const OPERATOR_LIMIT: Duration = Duration::from_millis(900);
/// How long a caller waits if it does not say.
const CALLER_DEFAULT_MS: u64 = 3_000;
/// Left of a caller's time for the way back.
const CALLER_MARGIN_MS: u64 = 250;
/// No caller waits longer than this for a leader: an election takes 0.7 to 1.4 s, and if there is none by then it is
/// not known when there will be, so the caller is told to come back.
const CALLER_MAX_MS: u64 = 1_400;
/// How long callers still arrive after the health check says no: two checks, a second apart, and a bit.
const LAST_CALLERS: Duration = Duration::from_millis(2_500);
/// How soon a caller may come back while there is no leader: about the time of an election.
pub const NO_LEADER_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// How long requests in progress may take once a control process is to end: longer than any call waits.
pub const CONTROL_DRAIN_LIMIT: Duration = Duration::from_millis(1_500);
/// Left of the time to end for closing down after the last request.
const CLOSING: Duration = Duration::from_millis(1_000);

/// How long a caller's call may wait for the leader, given how long the caller says that it waits.
pub fn caller_limit(told_ms: Option<u64>) -> Duration {
    let ms = told_ms.unwrap_or(CALLER_DEFAULT_MS);
    let limit_ms = ms.saturating_sub(CALLER_MARGIN_MS).min(CALLER_MAX_MS);
    Duration::from_millis(limit_ms.max(CALLER_MARGIN_MS))
}

/// How a process that serves callers ends: it says that it is not ready, takes late callers in for a
/// while, then finishes what it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    /// How long callers are still taken in.
    pub last_callers: Duration,
    /// How long requests in progress may take after that.
    pub rest: Duration,
}

impl DrainPlan {
    /// A plan that ends within `grace`.
    pub fn new(grace: Duration) -> Self {
        let last_callers = LAST_CALLERS.min(grace / 2);
        Self { last_callers, rest: grace.saturating_sub(last_callers + CLOSING) }
    }
}
