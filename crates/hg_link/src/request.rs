//! Requests to the control leader, and its replies.

use std::net::SocketAddr;

use hg_ledger::ListConflict;
use hg_model::{
    AttemptResult, EntryName, HostName, JobId, JobSpec, ListFault, ListVersion, Lists, OperationId,
    UpstreamHeartbeat, UpstreamName,
};
use hg_replica::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{ClusterView, JobView, RefusedView, UpstreamView, WorkflowReply, WorkflowRequest};

/// An entry's heartbeat: what changed among its upstreams since its last one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// The entry.
    pub entry: EntryName,
    /// Whether `changed` lists all upstreams from which the entry receives heartbeats.
    pub full: bool,
    /// The heartbeats of upstreams that are new or changed.
    pub changed: Vec<UpstreamHeartbeat>,
    /// Upstreams that have become unresponsive.
    pub lost: Vec<UpstreamName>,
}

/// A request to the control leader. All requests are idempotent, so they can be retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Names the entry that has connected; the first request on every link.
    Hello(EntryName),
    /// An entry's heartbeat, with a report about its upstreams.
    Beats(EntryHeartbeat),
    /// Submits a job; returns the job if it was submitted before.
    Submit {
        /// The job.
        spec: JobSpec,
        /// The entry that now holds the job's body.
        home: EntryName,
    },
    /// Asks for a job's state.
    Job(JobId),
    /// Asks for the decisions about a job, as lines of text.
    Why(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Asks whether an attempt may start, after every member was prepared.
    Commit {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Reports that not every member was prepared and that all leases were released.
    Release {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// The upstream of the member that was not prepared.
        upstream: UpstreamName,
    },
    /// Reports that a committed attempt has ended.
    Ended {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// The attempt's result.
        result: AttemptResult,
    },
    /// Asks for the lists in force.
    GetLists,
    /// Asks whether these lists would be accepted; changes nothing.
    CheckLists(Lists),
    /// Replaces the lists in force.
    PutLists {
        /// Identifies the write, so that a retry of it is idempotent.
        op: OperationId,
        /// The version that the operator edited; the write fails if another one is in force.
        expect: ListVersion,
        /// The new lists.
        lists: Lists,
    },
    /// Asks for all upstreams.
    Upstreams,
    /// Drains or resumes an upstream.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
        /// `true` to drain the upstream, `false` to resume it.
        drained: bool,
    },
    /// Asks for the state of the control group.
    Status,
    /// A replica with an empty log asks to join the group.
    Join {
        /// The replica.
        id: ReplicaId,
        /// The address at which the replica listens for links.
        address: SocketAddr,
    },
    /// A request about workflows.
    Workflow(WorkflowRequest),
}

/// The reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request was carried out.
    Done,
    /// The replica does not lead: send the request to another replica.
    NotLeader {
        /// The leader's host, if known.
        leader: Option<HostName>,
        /// The leader's link address, if known.
        address: Option<SocketAddr>,
    },
    /// The leader is overloaded: too many requests wait.
    Busy,
    /// The outcome is unknown: the replica's leadership ended while the request was being logged, so
    /// it may or may not take effect.
    Unsure,
    /// The entry's heartbeat was processed.
    Beats {
        /// The version of the lists in force.
        lists: ListVersion,
        /// Whether the next heartbeat is to list all upstreams.
        need_full: bool,
    },
    /// The job's state.
    Job(Box<JobView>),
    /// The job is unknown, or ended so long ago that it is no longer stored.
    NoJob,
    /// The id belongs to a job with another specification or body.
    Mismatch,
    /// The job was not admitted.
    Refused(RefusedView),
    /// The decisions about the job, as lines of text.
    Why(Vec<String>),
    /// The attempt is committed: its members may start.
    Go,
    /// The attempt is abandoned: release its leases.
    Abandon,
    /// The lists in force.
    Lists {
        /// The version of the lists.
        version: ListVersion,
        /// The lists.
        lists: Lists,
    },
    /// The lists were accepted under this version.
    Accepted(ListVersion),
    /// The lists have these mistakes.
    Faults(Vec<ListFault>),
    /// The lists were not replaced, as a concurrent write came first.
    Conflict(ListConflict),
    /// All upstreams.
    Upstreams(Vec<UpstreamView>),
    /// The upstream is unknown.
    NoUpstream,
    /// The state of the control group.
    Status(Box<ClusterView>),
    /// The reply to a request about workflows.
    Workflow(WorkflowReply),
}
