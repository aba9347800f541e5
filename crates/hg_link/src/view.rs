//! Views of the control leader's state for callers and operators.

use std::net::SocketAddr;

use hg_model::{
    AccountName, Answer, EntryName, HostName, JobId, KindName, LeaseId, ListVersion, NotRunReason,
    Term, UpstreamSpec,
};
use serde::{Deserialize, Serialize};

/// A job, as shown to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's id.
    pub id: JobId,
    /// The client account that submitted the job.
    pub account: AccountName,
    /// The kind of work.
    pub kind: KindName,
    /// `queued`, `placed`, `running` or `finished`.
    pub state: String,
    /// The entry that holds the job's body or manages its leases; `None` once the job has finished.
    pub home: Option<EntryName>,
    /// The number of attempts that were placed.
    pub attempts: u32,
    /// What the job waits for, as text.
    pub waits: Option<String>,
    /// The final answer; `None` until the job has finished.
    pub answer: Option<Answer>,
    /// The upstream from which the whole answer can be fetched, if there is one.
    pub source: Option<AnswerSource>,
}

/// The upstream and lease from which an answer can be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerSource {
    /// The upstream's address; `None` while it is not known to be alive.
    pub address: Option<SocketAddr>,
    /// The lease under which the job ran.
    pub lease: LeaseId,
}

/// Why a job was not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedView {
    /// The reason.
    pub reason: NotRunReason,
    /// After how many milliseconds a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

/// An upstream, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The specification that the upstream announced.
    pub spec: UpstreamSpec,
    /// `open`, `leaving`, `drained`, `aside` (quarantined) or `lost`.
    pub state: String,
    /// The number of accelerators in use.
    pub used_accelerators: u32,
    /// The number of accelerators reserved for guarantees.
    pub guaranteed_accelerators: u32,
    /// The jobs that have tasks on the upstream.
    pub jobs: Vec<JobId>,
}

/// A replica of the control group, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// The replica's host.
    pub host: HostName,
    /// The incarnation of the replica's data on disk.
    pub incarnation: u64,
    /// The replica's link address.
    pub address: SocketAddr,
    /// Whether the replica is a voter; otherwise it is a learner.
    pub voter: bool,
}

/// The control group, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// The host of the leader, which is the replica that answers.
    pub leader: HostName,
    /// The leader's term.
    pub term: Term,
    /// The index of the last log entry.
    pub last: u64,
    /// The index of the last committed log entry.
    pub commit: u64,
    /// The number of log entries since the last snapshot.
    pub log_entries: u64,
    /// The replicas of the group.
    pub replicas: Vec<ReplicaView>,
    /// The version of the lists in force.
    pub lists: ListVersion,
    /// The entry processes whose heartbeats arrive.
    pub entries: Vec<EntryName>,
    /// The number of known upstreams.
    pub upstreams: u64,
    /// The number of waiting jobs.
    pub waiting: u64,
    /// The number of jobs that hold leases.
    pub running: u64,
    /// The number of ended jobs that are still stored.
    pub finished: u64,
    /// The guarantees that the pool has no capacity for at present, as text.
    pub shortages: Vec<String>,
}
