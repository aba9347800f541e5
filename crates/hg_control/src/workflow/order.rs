//! Orders to upstreams, and what comes of them.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hg_model::{
    Checkpoint, ClockReading, Incarnation, RunListing, RunNumber, TaskId, Term, UpstreamName,
};

/// Names an order within one lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// What an upstream is to do.
#[derive(Clone)]
pub enum OrderKind {
    /// Start a run, unless it is there already.
    Start {
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: RunNumber,
        /// What the task is told.
        content: Arc<str>,
        /// The reading of the upstream's clock up to which the start is valid and its work leased.
        lease_until: ClockReading,
        /// Where to resume.
        checkpoint: Option<Checkpoint>,
        /// Allows the step there, where another service decides that.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run, and never start it from now on.
    Stop {
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: RunNumber,
    },
    /// Let a run work at a share of its full pace.
    Pace {
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: RunNumber,
        /// The share, from 0 to 100.
        percent: u32,
    },
    /// Extend the lease on everything that runs there, and list it.
    Renew {
        /// The reading of the upstream's clock up to which the lease is to last; `None` leaves it.
        lease_until: Option<ClockReading>,
        /// Ends up to this number are in the log and may be forgotten.
        acknowledged: u64,
        /// How long the upstream may wait for an end before it answers.
        wait: Duration,
    },
}

/// The content of a job stays out of logs.
impl fmt::Debug for OrderKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start { task, run, lease_until, .. } => {
                write!(f, "Start({task} run {run} until {})", lease_until.0)
            }
            Self::Stop { task, run } => write!(f, "Stop({task} run {run})"),
            Self::Pace { task, run, percent } => write!(f, "Pace({task} run {run} at {percent} %)"),
            Self::Renew { acknowledged, wait, .. } => {
                write!(f, "Renew(acknowledged {acknowledged}, wait {wait:?})")
            }
        }
    }
}

/// One order.
#[derive(Debug, Clone)]
pub struct Order {
    /// Its id.
    pub id: OrderId,
    /// Who is to carry it out.
    pub upstream: UpstreamName,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// The fencing token: the leader's term.
    pub fence: Term,
    /// What is to be done.
    pub kind: OrderKind,
    /// How long an answer may take; after that it counts as unanswered.
    pub limit: Duration,
}

/// Why an upstream did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It knows a higher fencing token.
    Fenced,
    /// It knows this run, or a later one, as stopped or ended.
    Outdated,
    /// The start was no longer valid when it arrived.
    Late,
    /// Its capacity does not suffice.
    NoRoom,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// It is not healthy.
    Unhealthy,
    /// It could not read the order.
    Malformed,
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The run is there.
    Started(ClockReading),
    /// The run was not started by this order.
    NotStarted(StartRefusal),
    /// The run will not start any more; if it was there, it ends soon.
    Stopped(ClockReading),
    /// The run works at the new pace.
    Paced(ClockReading),
    /// The lease is extended; this is there.
    Listed(RunListing),
    /// It knows a higher fencing token and did nothing.
    Fenced,
    /// Another process answers at that address.
    OtherIncarnation,
    /// Nobody knows whether it was, or will be, carried out.
    Unanswered(String),
}

/// A finished order.
#[derive(Debug, Clone)]
pub struct OrderReport {
    /// Which one.
    pub id: OrderId,
    /// Who it went to.
    pub upstream: UpstreamName,
    /// What came of it.
    pub result: OrderResult,
}

/// Speaks an upstream's protocol.
///
/// An implementation sends each order once, within its limit, and reports what came back. It retries
/// nothing: whether an order may be sent again is decided where its meaning is known.
pub trait UpstreamDriver: fmt::Debug + Send + Sync {
    /// Sends an order and waits for what comes of it.
    fn carry_out(&self, order: Order) -> Pin<Box<dyn Future<Output = OrderResult> + Send + '_>>;
}
