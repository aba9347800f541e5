//! Crashes of upstreams, and the runs that they had.

use hg_model::{RunNumber, TaskId, Time};
use serde::{Deserialize, Serialize};

/// A run that an upstream may have had when its incarnation ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposedRun {
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: RunNumber,
    /// When its start was decided.
    pub since: Time,
    /// Whether the upstream has confirmed that it started the run.
    pub is_confirmed: bool,
}
