//! Calls to the platform that owns the hosts, and to the service that decides where steps may run.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hg_model::{HostName, HostReport, PoolName, Term, UpstreamName, WaveNumber};
use hg_policy::AdviceRequest;

/// How long a call about hosts may take; the platform may be slow.
const HOST_CALL_LIMIT: Duration = Duration::from_millis(3_000);
/// How long advice may take beyond what is expected.
const ADVICE_SLACK: Duration = Duration::from_millis(2_000);

/// What is to happen with a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostOrderKind {
    /// It goes down for upkeep; everything that runs on it ends.
    Upkeep(WaveNumber),
    /// It changes its pool; everything that runs on it ends.
    Move(PoolName),
}

/// One order about a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOrder {
    /// The host.
    pub host: HostName,
    /// What is to happen.
    pub kind: HostOrderKind,
    /// The fencing token: the leader's term.
    pub fence: Term,
}

/// What came of an order about a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostOrderResult {
    /// It is carried out, or was already.
    Done,
    /// The host is doing something else just now.
    Busy,
    /// The host does not belong to that wave, or may not be in that pool.
    Refused,
    /// There is no such host.
    NoSuchHost,
    /// A higher fencing token is known for it.
    Fenced,
    /// Nobody knows whether it was, or will be, carried out.
    Unanswered(String),
}

/// What the service that decides where steps may run has answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// The upstreams that are allowed, with their tickets.
    pub allowed: Vec<(UpstreamName, Arc<str>)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// A finished call.
#[derive(Debug, Clone)]
pub enum DutyReport {
    /// An order about a host.
    Host(HostOrder, HostOrderResult),
    /// The list of hosts, or why it could not be read.
    Hosts(Result<Vec<HostReport>, String>),
    /// What the service that decides where steps may run has answered, or why it has not.
    Advice(AdviceRequest, Result<Advice, String>),
}

/// A call to be made.
#[derive(Debug, Clone)]
pub enum Duty {
    /// Give an order about a host.
    Host(HostOrder),
    /// Read the list of hosts.
    ListHosts,
    /// Ask where a step may run.
    Ask(AdviceRequest),
}

impl Duty {
    /// How long each request of the call may take.
    pub const fn limit(&self) -> Duration {
        match self {
            Self::Host(_) | Self::ListHosts => HOST_CALL_LIMIT,
            Self::Ask(ask) => {
                Duration::from_millis(ask.expected_duration_ms).saturating_add(ADVICE_SLACK)
            }
        }
    }
}

/// Speaks the platform's protocol.
///
/// An implementation makes each call once, gives up after [`Duty::limit`], and reports what came back. It
/// retries nothing.
pub trait PlatformDriver: fmt::Debug + Send + Sync {
    /// Makes a call and waits for what comes of it.
    fn carry_out(&self, duty: Duty) -> Pin<Box<dyn Future<Output = DutyReport> + Send + '_>>;
}
