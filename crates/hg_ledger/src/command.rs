//! What goes through the log.

use derive_more::{Display, Error};
use hg_model::{
    Attempt, AttemptResult, EntryName, JobId, JobSpec, ListVersion, Lists, MarkId, NotRunReason,
    OperationId, StopCause, Time, UpstreamName,
};
use serde::{Deserialize, Serialize};

use crate::WorkflowCommand;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Replaces both lists if their version is still `expect`.
    PutLists {
        /// Makes a resent write idempotent.
        op: OperationId,
        /// The version that the operator saw.
        expect: ListVersion,
        /// The new lists.
        lists: Lists,
    },
    /// Takes a job in.
    Accept {
        /// The job.
        spec: JobSpec,
        /// The entry that holds its body.
        home: EntryName,
        /// When it was taken in.
        at: Time,
    },
    /// Another entry now holds the body, or watches over the leases.
    Rehome {
        /// The job.
        job: JobId,
        /// The new entry.
        home: EntryName,
    },
    /// Takes leases for all members.
    Place {
        /// The job.
        job: JobId,
        /// The decided attempt.
        attempt: Attempt,
        /// Whether members may start at once; only where there is one member.
        committed: bool,
        /// When it was decided.
        at: Time,
    },
    /// Every member is prepared; they may start.
    Commit {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Gives the leases of an attempt back that was not committed.
    Release {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// When.
        at: Time,
    },
    /// Asks the members of a running attempt to stop.
    Stop {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// Why.
        cause: StopCause,
        /// When.
        at: Time,
    },
    /// A committed attempt has ended.
    Ended {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// How.
        result: AttemptResult,
        /// When.
        at: Time,
    },
    /// Gives a waiting job its final answer.
    GiveUp {
        /// The job.
        job: JobId,
        /// Why.
        reason: NotRunReason,
        /// When.
        at: Time,
    },
    /// Cancels a job in whatever state it is.
    Cancel {
        /// The job.
        job: JobId,
        /// When.
        at: Time,
    },
    /// Assigns a guaranteed part to an upstream, or to none.
    Mark {
        /// The part.
        mark: MarkId,
        /// Where it now lies.
        upstream: Option<UpstreamName>,
    },
    /// Takes an upstream out of placement, or back in.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether it is to be drained.
        drained: bool,
    },
    /// Forgets jobs that ended before a point in time.
    Forget {
        /// The point.
        before: Time,
    },
    /// Changes the record of workflows.
    Workflow(WorkflowCommand),
}

/// Someone else's lists came first.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("the lists are at version {current} already; fetch them and write again")]
pub struct ListConflict {
    /// The version in force.
    pub current: ListVersion,
    /// The operation that wrote it.
    pub winner: Option<OperationId>,
}

/// What applying a command came to, for whoever proposed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The job was there already, unchanged.
    Known,
    /// The id belongs to a job with another description.
    Mismatch,
    /// It no longer applied: the job or attempt had moved on.
    Stale,
    /// The lists now have this version.
    Lists(ListVersion),
    /// The lists had moved on.
    Conflict(ListConflict),
}
