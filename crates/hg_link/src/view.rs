//! What control shows of its state.

use std::net::SocketAddr;

use hg_model::{
    AccountName, Answer, EntryName, HostName, JobId, KindName, LeaseId, ListVersion, NotRunReason,
    Term, UpstreamSpec,
};
use serde::{Deserialize, Serialize};

/// A job, as shown to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Its id.
    pub id: JobId,
    /// Who pays.
    pub account: AccountName,
    /// The kind of work.
    pub kind: KindName,
    /// `queued`, `placed`, `running` or `finished`.
    pub state: String,
    /// The entry that holds its body or watches over its leases; `None` once it has finished.
    pub home: Option<EntryName>,
    /// How many attempts were placed.
    pub attempts: u32,
    /// What it waits for, in words.
    pub waits: Option<String>,
    /// The final answer.
    pub answer: Option<Answer>,
    /// Where the whole answer can be fetched.
    pub source: Option<AnswerSource>,
}

/// Where an answer can be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerSource {
    /// The upstream's address; `None` while it is not known to be alive.
    pub address: Option<SocketAddr>,
    /// The lease under which it ran.
    pub lease: LeaseId,
}

/// A job that was turned away.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedView {
    /// Why.
    pub reason: NotRunReason,
    /// When it may help to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// An upstream, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// What it announced.
    pub spec: UpstreamSpec,
    /// `open`, `leaving`, `drained`, `aside` or `lost`.
    pub state: String,
    /// Accelerators in use.
    pub used_accelerators: u32,
    /// Accelerators set apart for guarantees.
    pub guaranteed_accelerators: u32,
    /// Jobs with tasks on it.
    pub jobs: Vec<JobId>,
}

/// A replica, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Its host.
    pub host: HostName,
    /// The life of its disk.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it votes.
    pub voter: bool,
}

/// The control group, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// The replica that answers, which leads.
    pub leader: HostName,
    /// Its term.
    pub term: Term,
    /// The end of the log.
    pub last: u64,
    /// How far it is committed.
    pub commit: u64,
    /// Entries since the last snapshot.
    pub log_entries: u64,
    /// The replicas.
    pub replicas: Vec<ReplicaView>,
    /// The version of the lists.
    pub lists: ListVersion,
    /// Entries that were heard of late.
    pub entries: Vec<EntryName>,
    /// Upstreams that are known.
    pub upstreams: u64,
    /// Jobs that wait.
    pub waiting: u64,
    /// Jobs that hold leases.
    pub running: u64,
    /// Ended jobs that are remembered.
    pub finished: u64,
    /// Guarantees that the pool cannot hold at present, in words.
    pub shortages: Vec<String>,
}
