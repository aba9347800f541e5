//! A job as the ledger keeps it.

use derive_more::Display;
use hg_model::{EntryName, JobSpec, JobState, Lifecycle, Time};
use serde::{Deserialize, Serialize};

use crate::NOTES_MAX;

/// A job with its history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What the caller asked for.
    pub spec: JobSpec,
    /// The entry that holds its body or watches over its leases.
    pub home: EntryName,
    /// When it was accepted.
    pub accepted_at: Time,
    /// Its present state.
    #[serde(rename = "life")]
    pub state: JobState,
    /// How many attempts were placed.
    pub attempts: u32,
    /// How many committed attempts failed or were lost.
    pub failures: u32,
    /// How many attempts no upstream accepted.
    pub refusals: u32,
    /// Whether any attempt may have started a task.
    pub ran: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// What happened to it, oldest first, at most [`NOTES_MAX`].
    pub notes: Vec<JobNote>,
}

/// One line of a job's history.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{at}: {event}")]
pub struct JobNote {
    /// When.
    pub at: Time,
    /// What.
    pub event: JobEvent,
}

/// What happened to a job.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEvent {
    /// It was taken in.
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
    /// A stop was asked for.
    #[display("stop asked for: {_0}")]
    Stopping(String),
    /// An attempt ended.
    #[display("attempt {attempt} ended: {result}")]
    Ended {
        /// The attempt's number.
        attempt: u32,
        /// How.
        result: String,
    },
    /// The final answer.
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
            ran: false,
            cancelled: false,
            notes: Vec::new(),
        };
        job.note(at, JobEvent::Accepted);
        job
    }

    /// When it must have started.
    pub fn start_by(&self) -> Time {
        Time(self.accepted_at.0.saturating_add(self.spec.deadline_ms))
    }

    /// Adds to the history; the oldest note but the first makes room.
    pub(crate) fn note(&mut self, at: Time, event: JobEvent) {
        if self.notes.len() >= NOTES_MAX {
            self.notes.remove(1);
        }
        self.notes.push(JobNote { at, event });
    }
}
