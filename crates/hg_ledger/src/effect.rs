//! What a command changed in the ledger.

use hg_model::{Answer, Attempt, AttemptResult, EntryName, JobId, MarkId, StopCause, UpstreamName};

use crate::WorkflowEffect;

/// One change to the ledger, for code that maintains indices over it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A job now waits for a placement.
    Queued(JobId),
    /// A job no longer waits.
    Dequeued(JobId),
    /// An attempt was placed and holds its leases.
    LeasesTaken {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt was committed: its members may start.
    Committed {
        /// The job.
        job: JobId,
    },
    /// A running attempt is to stop.
    Stopping {
        /// The job.
        job: JobId,
        /// Why it is stopped.
        cause: StopCause,
    },
    /// An attempt released its leases.
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
        /// The entry that held its body or monitored its leases.
        home: EntryName,
        /// The answer.
        answer: Answer,
    },
    /// Another entry now holds a job's body or monitors its leases.
    HomeChanged(JobId),
    /// The lists were replaced.
    Lists,
    /// A guaranteed part was assigned to another upstream, or to none.
    MarkAssigned(MarkId),
    /// An operator drained or resumed an upstream.
    DrainChanged(UpstreamName),
    /// The state of workflows changed.
    Workflow(WorkflowEffect),
}
