//! A caller's description of a job.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{AccountName, Digest, JobId, KindName, Shape};

/// Most tasks in one job.
pub const TASKS_MAX: u32 = 128;
/// Longest deadline, in milliseconds: 30 days.
pub const DEADLINE_MAX_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// How soon a job should start.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum JobClass {
    /// A user waits for the answer; such jobs are ordered by earliest deadline.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Long work that may be delayed.
    Patient,
}

/// A job as the caller described it, without its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The id that the caller chose; a request with the same id is the same job.
    pub id: JobId,
    /// The client account that pays.
    pub account: AccountName,
    /// The kind of work.
    pub kind: KindName,
    /// How soon it should start.
    #[serde(default)]
    pub class: JobClass,
    /// The resources that it needs.
    pub shape: Shape,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether its progress can be saved and resumed on another upstream.
    #[serde(default)]
    pub checkpointable: bool,
    /// The caller's estimate of the run time, in milliseconds; zero if unknown.
    #[serde(default)]
    pub expected_ms: u64,
    /// How long after acceptance it may start, in milliseconds.
    pub deadline_ms: u64,
    /// SHA-256 of the body; ties a resent request to the first one.
    pub body_sha256: Digest,
}

impl JobSpec {
    /// Whether a running task of this job may be stopped and run again.
    ///
    /// Being checkpointable is not enough: that saves work, but the job must also be idempotent, so
    /// that a second run does no harm.
    pub const fn is_stoppable(&self) -> bool {
        self.idempotent
    }

    /// Checks that the number of tasks, their resources and the deadline are in bounds.
    ///
    /// # Errors
    ///
    /// [`SpecError`] with the first field that is out of bounds and what is allowed.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.shape.tasks == 0 || self.shape.tasks > TASKS_MAX {
            return Err(SpecError::new("shape.tasks", format!("1 to {TASKS_MAX} is allowed")));
        }
        if self.shape.per_task.is_zero() {
            return Err(SpecError::new("shape.per_task", "at least one resource must be named"));
        }
        if self.deadline_ms == 0 || self.deadline_ms > DEADLINE_MAX_MS {
            return Err(SpecError::new(
                "deadline_ms",
                format!("1 to {DEADLINE_MAX_MS} is allowed"),
            ));
        }
        Ok(())
    }
}

/// A field of a job that is out of bounds.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field}: {allowed}")]
pub struct SpecError {
    /// The field's path in the request.
    pub field: &'static str,
    /// What is allowed.
    pub allowed: String,
}

impl SpecError {
    fn new(field: &'static str, allowed: impl Into<String>) -> Self {
        Self { field, allowed: allowed.into() }
    }
}
