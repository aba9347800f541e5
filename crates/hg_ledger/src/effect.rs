//! What a command changed.

use hg_model::{Answer, Attempt, AttemptResult, EntryName, JobId, MarkId, StopCause, UpstreamName};

use crate::WorkflowEffect;

/// One change to the ledger, for those that keep indices over it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A job now waits for a placement.
    Queued(JobId),
    /// A job no longer waits.
    Dequeued(JobId),
    /// An attempt took its leases.
    LeasesTaken {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt may start.
    Committed {
        /// The job.
        job: JobId,
    },
    /// A running attempt is to stop.
    Stopping {
        /// The job.
        job: JobId,
        /// Why.
        cause: StopCause,
    },
    /// An attempt gave its leases back.
    LeasesReleased {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended; `None` if it was released before the commit.
        result: Option<AttemptResult>,
    },
    /// A job has its final answer.
    Finished {
        /// The job.
        job: JobId,
        /// The entry that held its body or watched over its leases.
        home: EntryName,
        /// The answer.
        answer: Answer,
    },
    /// A job's body or leases have a new home.
    Rehomed(JobId),
    /// The lists were replaced.
    Lists,
    /// A guaranteed part was moved.
    MarkAssigned(MarkId),
    /// An operator drained or resumed an upstream.
    Drained(UpstreamName),
    /// The record of workflows changed.
    Workflow(WorkflowEffect),
}
