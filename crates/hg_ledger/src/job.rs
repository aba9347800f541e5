//! An unfinished job as the ledger stores it, with its history.

use derive_more::Display;
use hg_model::{EntryName, JobSpec, JobState, Lifecycle, Time};
use serde::{Deserialize, Serialize};

use crate::NOTES_MAX;

/// A job without a final answer, with its history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What the caller asked for.
    pub spec: JobSpec,
    /// The entry that holds its body or monitors its leases.
    pub home: EntryName,
    /// When it was accepted.
    pub accepted_at: Time,
    /// Its current state.
    #[serde(rename = "life")]
    pub state: JobState,
    /// How many attempts were placed.
    pub attempts: u32,
    /// How many committed attempts failed or were lost.
    pub failures: u32,
    /// How many attempts were released before the commit, or committed but never started.
    pub refusals: u32,
    /// Whether any attempt may have started a task.
    #[serde(rename = "ran")]
    pub may_have_run: bool,
    /// Whether its cancellation was requested.
    pub cancelled: bool,
    /// What happened to it, oldest first, at most [`NOTES_MAX`].
    pub notes: Vec<JobNote>,
}

/// One entry of a job's history.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{at}: {event}")]
pub struct JobNote {
    /// When it happened.
    pub at: Time,
    /// What happened.
    pub event: JobEvent,
}

/// What happened to a job.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEvent {
    /// The ledger accepted it.
    #[display("accepted")]
    Accepted,
    /// An attempt was placed.
    #[display("attempt {attempt} placed on {upstreams}")]
    Placed {
        /// The attempt's number.
        attempt: u32,
        /// The upstreams, with a star where a guarantee is claimed.
        upstreams: String,
    },
    /// An attempt gave its leases back before the commit.
    #[display("attempt {_0} released before any start")]
    Released(u32),
    /// A stop was requested, with the cause.
    #[display("stop asked for: {_0}")]
    Stopping(String),
    /// An attempt ended.
    #[display("attempt {attempt} ended: {result}")]
    Ended {
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        result: String,
    },
    /// It got its final answer.
    #[display("final answer: {_0}")]
    Finished(String),
}

impl Job {
    /// A job that has just been accepted.
    pub fn new(spec: JobSpec, home: EntryName, at: Time) -> Self {
        let mut job = Self {
            spec,
            home,
            accepted_at: at,
            state: Lifecycle::new().into(),
            attempts: 0,
            failures: 0,
            refusals: 0,
            may_have_run: false,
            cancelled: false,
            notes: Vec::new(),
        };
        job.record_event(at, JobEvent::Accepted);
        job
    }

    /// Its start deadline: when it was accepted plus its `deadline_ms`.
    pub fn start_by(&self) -> Time {
        Time(self.accepted_at.0.saturating_add(self.spec.deadline_ms))
    }

    /// Appends an event to the history. With [`NOTES_MAX`] entries it first drops the second
    /// oldest, so that the acceptance stays.
    pub(crate) fn record_event(&mut self, at: Time, event: JobEvent) {
        if self.notes.len() >= NOTES_MAX {
            self.notes.remove(1);
        }
        self.notes.push(JobNote { at, event });
    }
}
