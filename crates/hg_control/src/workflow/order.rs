//! Orders to upstreams and their results.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hg_model::{
    Checkpoint, ClockReading, Incarnation, RunListing, RunNumber, TaskId, Term, UpstreamName,
};

/// Identifies an order within one leadership term; ids ascend in the order of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// What an order tells an upstream to do.
#[derive(Clone)]
pub enum OrderKind {
    /// Start a run, unless the upstream runs it already.
    Start {
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: RunNumber,
        /// The content of the workflow, which the task receives.
        content: Arc<str>,
        /// The reading of the upstream's clock up to which the start is valid and its work leased.
        lease_until: ClockReading,
        /// The checkpoint from which to resume.
        checkpoint: Option<Checkpoint>,
        /// Proof that the step may run there, where another service decides that.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run, and refuse any later start of it.
    Stop {
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: RunNumber,
    },
    /// Set the share of its full pace at which a run works.
    Pace {
        /// The task.
        task: TaskId,
        /// Which start of it.
        run: RunNumber,
        /// The share in percent, from 0 to 100.
        percent: u32,
    },
    /// Extend the lease on all runs of the upstream, and list them.
    Renew {
        /// The reading of the upstream's clock up to which the lease is to last; `None` does not extend it.
        lease_until: Option<ClockReading>,
        /// Acknowledges ends up to this number: they are in the log, and the upstream may discard them.
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

/// An order to an upstream.
#[derive(Debug, Clone)]
pub struct Order {
    /// Its id.
    pub id: OrderId,
    /// The upstream that is to carry it out.
    pub upstream: UpstreamName,
    /// The incarnation of the upstream that is to carry it out.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// The fencing token: the leader's term.
    pub fence: Term,
    /// What is to be done.
    pub kind: OrderKind,
    /// How long an answer may take; after that the order counts as unanswered.
    pub limit: Duration,
}

/// Why an upstream did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// The upstream knows a higher fencing token.
    Fenced,
    /// The upstream has recorded this run, or a later one of the task, as stopped or ended.
    Outdated,
    /// The start was no longer valid when it arrived.
    Late,
    /// The upstream lacks the capacity.
    NoRoom,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The upstream is not healthy.
    Unhealthy,
    /// The upstream could not parse the order.
    Malformed,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The upstream runs it.
    Started(ClockReading),
    /// The run was not started by this order.
    NotStarted(StartRefusal),
    /// The run will not start any more; if it was running, it ends soon.
    Stopped(ClockReading),
    /// The run works at the new pace.
    Paced(ClockReading),
    /// The lease is extended; holds the listing.
    Listed(RunListing),
    /// The upstream knows a higher fencing token and did nothing.
    Fenced,
    /// The order was not sent, so it has no effect: the upstream cannot be reached, or other orders were in the
    /// way. Holds the cause.
    Unsent(String),
    /// The start was not sent, so it has no effect: its upstream's data centre is drained.
    Withdrawn,
    /// Another process answers at that address.
    OtherIncarnation,
    /// The outcome is unknown: the order may have been carried out, or may still be. Holds the cause.
    Unanswered(String),
}

/// A finished order with its result.
#[derive(Debug, Clone)]
pub struct OrderReport {
    /// The order.
    pub id: OrderId,
    /// The upstream to which it was sent.
    pub upstream: UpstreamName,
    /// Its result.
    pub result: OrderResult,
}

/// Implements the upstreams' protocol.
///
/// An implementation sends each order once, within its limit, and reports the result. It retries
/// nothing: the caller decides whether an order may be sent again, since it knows what the order means.
pub trait UpstreamDriver: fmt::Debug + Send + Sync {
    /// Sends an order and waits for its result.
    fn carry_out(&self, order: Order) -> Pin<Box<dyn Future<Output = OrderResult> + Send + '_>>;
}
