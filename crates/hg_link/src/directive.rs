//! What the control leader tells an entry.

use std::net::SocketAddr;

use hg_model::{Answer, JobId, LeaseId, Resources, StopCause, Term, UpstreamName};
use serde::{Deserialize, Serialize};

/// How far an attempt has come, as the ledger knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptPhase {
    /// Leases were taken; prepare every member, then ask for the commit.
    Prepare,
    /// It was committed; start every member.
    Start,
    /// It was committed and its entry was lost; do not start anything, but see it to its end.
    Adopt,
}

/// One member of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptMember {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its address; `None` while it is not known to be alive.
    pub address: Option<SocketAddr>,
    /// The start of the upstream's process that the lease is for; `None` while it is not known.
    pub boot: Option<u64>,
    /// The lease.
    pub lease: LeaseId,
    /// How many tasks it runs.
    pub tasks: u32,
}

/// An attempt to be carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptOrder {
    /// The job.
    pub job: JobId,
    /// The attempt's number.
    pub attempt: u32,
    /// The term of the leader that sends this.
    pub term: Term,
    /// How far it has come.
    pub phase: AttemptPhase,
    /// What each task may use.
    pub per_task: Resources,
    /// The members; the first one's answer is the job's.
    pub members: Vec<AttemptMember>,
}

/// A word from the control leader to an entry. Each can arrive more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Directive {
    /// Carry an attempt out.
    Run(AttemptOrder),
    /// Stop every member of a running attempt and report.
    Stop {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// Why.
        cause: StopCause,
    },
    /// A member is lost: stop the others at once and report.
    Abort {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// The lost upstream.
        upstream: UpstreamName,
    },
    /// The job has its final answer.
    Final {
        /// The job.
        job: JobId,
        /// The answer.
        answer: Answer,
    },
    /// An upstream holds a lease that is not in force: end it.
    Fence {
        /// The lease.
        lease: LeaseId,
        /// The upstream's address.
        address: SocketAddr,
        /// The term of the leader that sends this.
        term: Term,
    },
}
