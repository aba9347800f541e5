//! Requests to the control leader about workflows, upstreams and maintenance waves.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use hg_model::{
    Catalog, DataCentreName, HeartbeatReadings, Incarnation, UpstreamName, UpstreamReport,
    WaveNumber, WaveSpec, WaveState, WorkflowSpec, WorkflowState,
};
use serde::{Deserialize, Serialize};

/// The operation that a caller requests on the workflow that the path names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAction {
    /// Submit the workflow.
    Submit(WorkflowSpec),
    /// Return the workflow's state or, for a path without an id, the number of workflows that wait
    /// in the queue.
    State,
    /// Cancel the workflow.
    Cancel,
}

/// A caller's HTTP request, not yet matched to a queue.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The virtual host that the caller addressed.
    pub host: Arc<str>,
    /// The whole path, with the id if there is one.
    pub path: Arc<str>,
    /// The API key that the caller presented.
    pub key: Option<Arc<str>>,
    /// The requested operation.
    #[serde(rename = "ask")]
    pub action: CallerAction,
}

/// Omits the API key, so that it does not get into logs.
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

/// A request about workflows. All requests are idempotent, so they can be retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkflowRequest {
    /// Checks whether there is a leader and whether a catalog is in force.
    Ping,
    /// A caller's request.
    Call(CallerRequest),
    /// Puts a catalog in force.
    PutCatalog(Catalog),
    /// Asks for the catalog in force.
    GetCatalog,
    /// Starts a maintenance wave.
    StartWave(WaveSpec),
    /// Asks for the state of a maintenance wave.
    WaveState(WaveNumber),
    /// An upstream's heartbeat.
    Heartbeat {
        /// The upstream's description of itself.
        report: UpstreamReport,
        /// The readings that change with each heartbeat.
        #[serde(rename = "signs")]
        readings: HeartbeatReadings,
    },
    /// An upstream shuts down.
    Leave {
        /// The upstream.
        name: UpstreamName,
        /// The upstream's incarnation, if it gave one.
        incarnation: Option<Incarnation>,
    },
    /// Drains a data centre.
    StartDrain(DataCentreName),
    /// Ends the drain of a data centre.
    EndDrain(DataCentreName),
    /// Asks for the drains in force.
    Drains,
    /// The heartbeat of an upstream that is cold.
    ColdHeartbeat {
        /// The upstream's description of itself.
        report: UpstreamReport,
        /// The readings that change with each heartbeat.
        readings: HeartbeatReadings,
        /// How much longer the upstream is cold, in milliseconds.
        cold_left_ms: u64,
    },
}

/// A drain in force, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainView {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// How long ago the drain was started, in milliseconds.
    pub age_ms: u64,
    /// The number of runs that are still open there.
    pub runs_left: u64,
}

/// The reply to a [`WorkflowRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkflowReply {
    /// There is a leader.
    Ready {
        /// The version of the catalog in force, if there is one.
        catalog: Option<u64>,
        /// The link addresses of the control hosts.
        controls: Vec<SocketAddr>,
    },
    /// No catalog is in force yet.
    NoCatalog,
    /// No queue matches the virtual host and path.
    NoQueue,
    /// The key belongs to no client account.
    NoKey,
    /// The id in the path is malformed, or the workflow is invalid.
    Invalid(String),
    /// The workflow is stored and will run.
    Accepted,
    /// The workflow was not stored and will not run.
    Rejected {
        /// The reason.
        reason: String,
        /// After how many milliseconds a retry may succeed.
        retry_after_ms: u64,
    },
    /// The workflow's state.
    State(WorkflowState),
    /// The workflow, wave or data centre is unknown, or no longer stored.
    Unknown,
    /// The number of workflows of the queue that have not begun.
    Waiting(u64),
    /// The state of the maintenance wave.
    Wave(WaveState),
    /// The catalog, or one with a higher version, is in force; or the wave is stored; or the drain is in force, or has ended.
    Stored,
    /// The catalog in force, as the text that the operator uploaded.
    Catalog(Arc<str>),
    /// The heartbeat or the shutdown was recorded.
    Noted,
    /// The drains in force, by data centre.
    Drains(Vec<DrainView>),
}
