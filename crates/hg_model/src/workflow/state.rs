//! The state of a workflow.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The state of a workflow as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkflowState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started, and the workflow has not ended.
    #[display("running")]
    Running,
    /// All its tasks are done.
    #[display("completed")]
    Completed,
    /// A task or a gang failed too often.
    #[display("failed")]
    Failed,
    /// Its caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl WorkflowState {
    /// Whether it is a final state.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
