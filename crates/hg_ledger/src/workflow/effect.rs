//! What a workflow command changed, for a leader that follows along.

use hg_model::{JobId, RunNumber, TaskId, UpstreamName, WaveNumber};

/// One run at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunRef {
    /// Where.
    pub upstream: UpstreamName,
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: RunNumber,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkflowEffect {
    /// A run stands in the record and may be ordered.
    Opened(RunRef),
    /// A run is over.
    Closed(RunRef),
    /// A workflow was cancelled or has failed; what runs of it is to be stopped.
    Ending(JobId),
    /// A workflow reached its final state and nothing of it runs.
    Ended(JobId),
    /// A workflow was taken in.
    Accepted(JobId),
    /// An upstream was registered or changed.
    Registered(UpstreamName),
    /// An upstream is gone.
    Deregistered(UpstreamName),
    /// Another catalog is in force.
    Catalog,
    /// A maintenance wave was taken in, or one of its hosts is further.
    Wave(WaveNumber),
}
