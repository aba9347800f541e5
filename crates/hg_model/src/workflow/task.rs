//! Names of tasks and of their starts.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error, From, Into};
use serde::{Deserialize, Serialize};

use crate::JobId;

/// One step of one occurrence of a workflow.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// The workflow.
    pub job: JobId,
    /// Which occurrence, from 0; 0 for a workflow without a schedule.
    pub occurrence: u32,
    /// The step's position in the workflow, from 0.
    pub step: u32,
}

/// One task of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{step}.{index}")]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// The task's position in the step, from 0.
    pub index: u32,
}

/// A text that names no task.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is not a task id (job.occurrence.step.index)")]
pub struct TaskIdError {
    /// The text.
    #[error(not(source))]
    pub text: String,
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, TaskIdError> {
        let fault = || TaskIdError { text: text.to_owned() };
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let index = number().ok_or_else(fault)?;
        let step = number().ok_or_else(fault)?;
        let occurrence = number().ok_or_else(fault)?;
        let job = parts.next().and_then(|job| JobId::new(job).ok()).ok_or_else(fault)?;
        Ok(Self { step: StepId { job, occurrence, step }, index })
    }
}

/// Counts the starts of a task, from 1; all members of a gang share one number.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// The next start.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Tells one life of an upstream's process from the next; later lives have higher ones.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Saved progress of a task, opaque to us; a start that carries it resumes from there.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Checkpoint(Arc<str>);

impl Checkpoint {
    /// Keeps a checkpoint; `None` for the empty text, which stands for no progress.
    pub fn new(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self(Arc::from(text)))
    }

    /// The text to hand back to an upstream.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Checkpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Checkpoint({})", self.0)
    }
}
