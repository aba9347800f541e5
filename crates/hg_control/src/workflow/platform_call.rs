//! Calls to the platform that owns the hosts, and to the service that decides where steps may run.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hg_model::{HostName, HostReport, PoolName, Term, UpstreamName, WaveNumber};
use hg_policy::AdviceRequest;

/// Timeout of a call about hosts; the platform may be slow.
const HOST_CALL_LIMIT: Duration = Duration::from_millis(3_000);
/// Added to the expected duration of an advice request to give its timeout.
const ADVICE_SLACK: Duration = Duration::from_millis(2_000);

/// What an order about a host demands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostOrderKind {
    /// Take the host down for upkeep in a wave; everything that runs on it ends.
    Upkeep(WaveNumber),
    /// Move the host to another pool; everything that runs on it ends.
    Move(PoolName),
}

/// One order about a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOrder {
    /// The host.
    pub host: HostName,
    /// What is demanded.
    pub kind: HostOrderKind,
    /// The fencing token: the leader's term.
    pub fence: Term,
}

/// The result of an order about a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostOrderResult {
    /// The order is carried out, or an earlier attempt of it was.
    Done,
    /// The host is busy, or the platform takes no more orders now. This attempt was not carried out; the host may be busy with
    /// an earlier attempt.
    Busy,
    /// The host does not belong to that wave, or may not be in that pool.
    Refused,
    /// There is no such host.
    NoSuchHost,
    /// The platform knows a higher fencing token for the host.
    Fenced,
    /// The outcome is unknown: the order may have been carried out, or may still be. Holds the cause.
    Unanswered(String),
}

/// The answer of the service that decides where steps may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// The upstreams that are allowed, with their tickets.
    pub allowed: Vec<(UpstreamName, Arc<str>)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// The list of hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostListing {
    /// The hosts whose entries can be read.
    pub hosts: Vec<HostReport>,
    /// Why other entries cannot be read. As long as there are any, a host that is not listed may be among them.
    pub unreadable: Vec<String>,
}

/// A finished call with its result.
#[derive(Debug, Clone)]
pub enum PlatformCallReport {
    /// An order about a host.
    Host(HostOrder, HostOrderResult),
    /// The list of hosts, or why it could not be read.
    Hosts(Result<HostListing, String>),
    /// An advice request, with the answer or the reason why there is none.
    Advice(AdviceRequest, Result<Advice, String>),
}

/// A call to the platform.
#[derive(Debug, Clone)]
pub enum PlatformCall {
    /// Give an order about a host.
    Host(HostOrder),
    /// Read the list of hosts.
    ListHosts,
    /// Request advice about where a step may run.
    RequestAdvice(AdviceRequest),
}

impl PlatformCall {
    /// Timeout of each request of the call.
    pub const fn limit(&self) -> Duration {
        match self {
            Self::Host(_) | Self::ListHosts => HOST_CALL_LIMIT,
            Self::RequestAdvice(request) => {
                Duration::from_millis(request.expected_duration_ms).saturating_add(ADVICE_SLACK)
            }
        }
    }
}

/// Implements the platform's protocol.
///
/// An implementation makes each call once, gives up after [`PlatformCall::limit`], and reports what came back. It
/// retries nothing.
pub trait PlatformDriver: fmt::Debug + Send + Sync {
    /// Makes a call and waits for its result.
    fn carry_out(
        &self,
        call: PlatformCall,
    ) -> Pin<Box<dyn Future<Output = PlatformCallReport> + Send + '_>>;
}
