//! Directives that the control leader sends to an entry.

use std::net::SocketAddr;

use hg_model::{Answer, JobId, LeaseId, Resources, StopCause, Term, UpstreamName};
use serde::{Deserialize, Serialize};

/// How far an attempt has progressed according to the ledger; tells the entry where to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptPhase {
    /// Leases are allocated: prepare every member, then request the commit.
    Prepare,
    /// The attempt is committed: start every member.
    Start,
    /// The attempt is committed and its entry was lost: start nothing, but watch the members until
    /// they end.
    Adopt,
}

/// One member of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptMember {
    /// The upstream on which the member runs.
    pub upstream: UpstreamName,
    /// The upstream's address; `None` while it is not known to be alive.
    pub address: Option<SocketAddr>,
    /// The incarnation (boot id) of the upstream's process for which the lease is valid; `None` while
    /// it is not known.
    pub boot: Option<u64>,
    /// The lease under which the member runs.
    pub lease: LeaseId,
    /// How many tasks the member runs.
    pub tasks: u32,
}

/// An attempt to run a job, which the entry carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptOrder {
    /// The job.
    pub job: JobId,
    /// The attempt's number.
    pub attempt: u32,
    /// The term of the leader that sends the order.
    pub term: Term,
    /// How far the attempt has progressed.
    pub phase: AttemptPhase,
    /// The resources that each task may use.
    pub per_task: Resources,
    /// The members of the attempt. The answer of the first one becomes the job's answer.
    pub members: Vec<AttemptMember>,
}

/// A message from the control leader to an entry. Each directive can arrive more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Directive {
    /// Carry out an attempt.
    Run(AttemptOrder),
    /// Stop every member of a running attempt, then report the result.
    Stop {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// The reason for the stop.
        cause: StopCause,
    },
    /// A member is lost: stop the other members at once, then report the result.
    Abort {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// The lost upstream.
        upstream: UpstreamName,
    },
    /// The job has ended with this final answer.
    Final {
        /// The job.
        job: JobId,
        /// The answer.
        answer: Answer,
    },
    /// An upstream holds a lease that is not in force: end that lease.
    Fence {
        /// The lease.
        lease: LeaseId,
        /// The upstream's address.
        address: SocketAddr,
        /// The term of the leader that sends the directive.
        term: Term,
    },
}
