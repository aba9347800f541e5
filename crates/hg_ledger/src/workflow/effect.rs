//! What a command changed in the state of workflows, so that a leader can update its indices.

use hg_model::{DataCentreName, JobId, RunNumber, TaskId, UpstreamName, WaveNumber};

/// One run at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunRef {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: RunNumber,
}

/// One change to the state of workflows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkflowEffect {
    /// A run was recorded as open; its start may be ordered now.
    RunOpened(RunRef),
    /// A run is over, and its resources are released.
    RunClosed(RunRef),
    /// A workflow was cancelled or has failed; its open runs are to be stopped.
    Ending(JobId),
    /// A workflow reached its final state and has no open runs.
    Ended(JobId),
    /// A workflow was accepted.
    Accepted(JobId),
    /// An upstream was registered, or its registration was updated.
    Registered(UpstreamName),
    /// An upstream was removed.
    Deregistered(UpstreamName),
    /// Another catalog is in force.
    Catalog,
    /// A maintenance wave was started, or the stage of one of its hosts was reported.
    Wave(WaveNumber),
    /// The drain of a data centre was started or ended.
    Drain(DataCentreName),
}
