//! What an entry asks of control.

use std::net::SocketAddr;

use hg_ledger::ListConflict;
use hg_model::{
    AttemptResult, EntryName, HostName, JobId, JobSpec, ListFault, ListVersion, Lists, OperationId,
    UpstreamHeartbeat, UpstreamName,
};
use hg_replica::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{ClusterView, JobView, RefusedView, UpstreamView, WorkflowReply, WorkflowRequest};

/// What changed among an entry's upstreams since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// The entry.
    pub entry: EntryName,
    /// Whether `changed` names all upstreams that it hears.
    pub full: bool,
    /// Upstreams that are new or changed.
    pub changed: Vec<UpstreamHeartbeat>,
    /// Upstreams that fell silent.
    pub lost: Vec<UpstreamName>,
}

/// A request to the control leader. Each can be sent again without harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// The entry at the other end; the first request on every link.
    Hello(EntryName),
    /// A report about upstreams, and a sign of life.
    Beats(EntryHeartbeat),
    /// Takes a job in, or finds it.
    Submit {
        /// The job.
        spec: JobSpec,
        /// The entry that now holds its body.
        home: EntryName,
    },
    /// Looks a job up.
    Job(JobId),
    /// What was decided about a job, in lines.
    Why(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Every member is prepared: may they start?
    Commit {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Not every member was prepared; all leases were given back.
    Release {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// The member that did not prepare.
        upstream: UpstreamName,
    },
    /// A committed attempt has ended.
    Ended {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// How.
        result: AttemptResult,
    },
    /// The lists in force.
    GetLists,
    /// Would these lists be accepted?
    CheckLists(Lists),
    /// Replaces the lists.
    PutLists {
        /// Makes a resent write idempotent.
        op: OperationId,
        /// The version that the operator saw.
        expect: ListVersion,
        /// The new lists.
        lists: Lists,
    },
    /// All upstreams.
    Upstreams,
    /// Drains or resumes an upstream.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether it is to be drained.
        drained: bool,
    },
    /// The control group.
    Status,
    /// A replica without history asks for a place.
    Join {
        /// The replica.
        id: ReplicaId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// A request about workflows.
    Workflow(WorkflowRequest),
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It was done.
    Done,
    /// Ask another replica.
    NotLeader {
        /// The host that leads, if known.
        leader: Option<HostName>,
        /// Its link address.
        address: Option<SocketAddr>,
    },
    /// Too many requests wait.
    Busy,
    /// The lead ended while the request was being logged; it may or may not take effect.
    Unsure,
    /// The report was taken in.
    Beats {
        /// The version of the lists in force.
        lists: ListVersion,
        /// Whether the leader wants a full report.
        need_full: bool,
    },
    /// A job.
    Job(Box<JobView>),
    /// No such job is remembered.
    NoJob,
    /// The id belongs to a job with another description or body.
    Mismatch,
    /// The job was turned away.
    Refused(RefusedView),
    /// Lines about a job.
    Why(Vec<String>),
    /// The members may start.
    Go,
    /// The attempt is off; give the leases back.
    Abandon,
    /// The lists in force.
    Lists {
        /// Their version.
        version: ListVersion,
        /// The lists.
        lists: Lists,
    },
    /// The lists were accepted under this version.
    Accepted(ListVersion),
    /// The lists have mistakes.
    Faults(Vec<ListFault>),
    /// Someone else's lists came first.
    Conflict(ListConflict),
    /// All upstreams.
    Upstreams(Vec<UpstreamView>),
    /// No such upstream is known.
    NoUpstream,
    /// The control group.
    Status(Box<ClusterView>),
    /// The answer to a request about workflows.
    Workflow(WorkflowReply),
}
