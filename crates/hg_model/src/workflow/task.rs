//! Ids of steps and tasks, numbers of their runs, incarnations of upstreams, and saved progress.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error, From, Into};
use serde::{Deserialize, Serialize};

use crate::JobId;

/// The id of one step of one occurrence of a workflow.
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

/// The id of one task of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{step}.{index}")]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// The task's position in the step, from 0.
    pub index: u32,
}

/// A text that is not a task id.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is not a task id (job.occurrence.step.index)")]
pub struct TaskIdError {
    /// The invalid text.
    #[error(not(source))]
    pub text: String,
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, TaskIdError> {
        let error = || TaskIdError { text: text.to_owned() };
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let index = number().ok_or_else(error)?;
        let step = number().ok_or_else(error)?;
        let occurrence = number().ok_or_else(error)?;
        let job = parts.next().and_then(|job| JobId::new(job).ok()).ok_or_else(error)?;
        Ok(Self { step: StepId { job, occurrence, step }, index })
    }
}

/// The number of a run of a task, from 1; each start of the task is a new run, and all members of a
/// gang share one number.
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
    /// The number of the next run.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The incarnation number of an upstream's process; a later process of the same name has a higher
/// one.
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

/// Saved progress of a task, in a format that only the upstreams know; a start that carries it
/// resumes from there.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Checkpoint(Arc<str>);

impl Checkpoint {
    /// Creates a checkpoint; `None` for the empty text, which means no progress.
    pub fn new(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self(Arc::from(text)))
    }

    /// The text to pass to an upstream.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Checkpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Checkpoint({})", self.0)
    }
}
