//! How far a workflow is.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What a caller is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkflowState {
    /// Nothing of it has started.
    #[display("queued")]
    Queued,
    /// Some of it has started.
    #[display("running")]
    Running,
    /// All of it is done.
    #[display("completed")]
    Completed,
    /// A task failed too often.
    #[display("failed")]
    Failed,
    /// Its caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl WorkflowState {
    /// Whether it will not change any more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
