//! What doors ask of control about workflows.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use hg_model::{
    Catalog, HeartbeatReadings, Incarnation, UpstreamName, UpstreamReport, WaveNumber, WaveSpec,
    WaveState, WorkflowSpec, WorkflowState,
};
use serde::{Deserialize, Serialize};

/// What a caller wants of the workflow that its path names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAction {
    /// Take it in.
    Submit(WorkflowSpec),
    /// Tell how far it is; for a path without an id, how many wait in the queue.
    State,
    /// Cancel it.
    Cancel,
}

/// A caller's call, not yet matched to a queue.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The virtual host.
    pub host: Arc<str>,
    /// The whole path.
    pub path: Arc<str>,
    /// The key that was presented.
    pub key: Option<Arc<str>>,
    /// What is wanted.
    #[serde(rename = "ask")]
    pub action: CallerAction,
}

/// Keys stay out of logs.
impl fmt::Debug for CallerRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerCall")
            .field("host", &self.host)
            .field("path", &self.path)
            .field("has_key", &self.key.is_some())
            .field("ask", &self.action)
            .finish()
    }
}

/// A request about workflows. Each can be sent again without harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkflowRequest {
    /// Is there a leader, and has it a catalog?
    Ping,
    /// A caller's call.
    Call(CallerRequest),
    /// Put a catalog in force.
    PutCatalog(Catalog),
    /// Read the catalog in force.
    GetCatalog,
    /// Take a maintenance wave in.
    StartWave(WaveSpec),
    /// Tell how far a wave is.
    WaveState(WaveNumber),
    /// An upstream's heartbeat.
    Heartbeat {
        /// What it says of itself.
        report: UpstreamReport,
        /// What is new each time.
        #[serde(rename = "signs")]
        readings: HeartbeatReadings,
    },
    /// An upstream ends.
    Leave {
        /// The upstream.
        name: UpstreamName,
        /// Which life of it, if it said so.
        incarnation: Option<Incarnation>,
    },
}

/// The answer to a [`WorkflowRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkflowReply {
    /// A leader is there.
    Ready {
        /// The version of the catalog in force, if there is one.
        catalog: Option<u64>,
        /// Where the control hosts listen for links.
        controls: Vec<SocketAddr>,
    },
    /// No catalog is in force yet.
    NoCatalog,
    /// No queue has that host and path.
    NoQueue,
    /// The key belongs to no client account.
    NoKey,
    /// The path names no possible id, or the workflow has a mistake.
    Invalid(String),
    /// The workflow is stored and will run.
    Accepted,
    /// The workflow was not stored and will not run.
    Rejected {
        /// Why.
        reason: String,
        /// When it may help to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// How far the workflow is.
    State(WorkflowState),
    /// No such workflow is remembered.
    Unknown,
    /// How many workflows of the queue have not begun.
    Waiting(u64),
    /// How far the wave is.
    Wave(WaveState),
    /// The catalog, or a higher version, is in force; or the wave is taken in.
    Stored,
    /// The operator's own text of the catalog in force.
    Catalog(Arc<str>),
    /// The heartbeat or leave was taken in.
    Noted,
}
