//! The commands of the replicated log, and the replies to them.

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
    /// Accepts a job.
    Accept {
        /// The job.
        spec: JobSpec,
        /// The entry that holds its body.
        home: EntryName,
        /// When it was accepted.
        at: Time,
    },
    /// Another entry now holds the body or monitors the leases.
    Rehome {
        /// The job.
        job: JobId,
        /// The new entry.
        home: EntryName,
    },
    /// Places an attempt: grants the leases of all its members.
    Place {
        /// The job.
        job: JobId,
        /// The decided attempt.
        attempt: Attempt,
        /// Whether the attempt is committed at once; only allowed with a single member.
        committed: bool,
        /// When it was decided.
        at: Time,
    },
    /// Commits an attempt: every member is prepared, and they may start.
    Commit {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Releases the leases of an attempt that was not committed.
    Release {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// When it was decided or observed.
        at: Time,
    },
    /// Asks the members of a running attempt to stop.
    Stop {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// Why it is stopped.
        cause: StopCause,
        /// When it was decided or observed.
        at: Time,
    },
    /// A committed attempt has ended.
    Ended {
        /// The job.
        job: JobId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
        /// When it was decided or observed.
        at: Time,
    },
    /// Ends a queued job without another attempt.
    GiveUp {
        /// The job.
        job: JobId,
        /// Why it is given up.
        reason: NotRunReason,
        /// When it was decided or observed.
        at: Time,
    },
    /// Cancels a job in whatever state it is.
    Cancel {
        /// The job.
        job: JobId,
        /// When it was decided or observed.
        at: Time,
    },
    /// Assigns a guaranteed part to an upstream, or to none.
    Mark {
        /// The part.
        mark: MarkId,
        /// Its upstream from now on; `None` if it is unplaced.
        upstream: Option<UpstreamName>,
    },
    /// Excludes an upstream from placement, or includes it again.
    Drain {
        /// The upstream.
        upstream: UpstreamName,
        /// Whether it is to be drained.
        drained: bool,
    },
    /// Removes the ended jobs that ended before a point in time.
    Forget {
        /// The point in time.
        before: Time,
    },
    /// Changes the state of workflows.
    Workflow(WorkflowCommand),
}

/// A write of the lists that was based on an older version than the one in force.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("the lists are at version {current} already; fetch them and write again")]
pub struct ListConflict {
    /// The version in force.
    pub current: ListVersion,
    /// The operation that wrote it.
    pub winner: Option<OperationId>,
}

/// The result of a command, as reported to its proposer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The command took effect.
    Done,
    /// The command had taken effect before; nothing changed.
    Known,
    /// The id belongs to a job with another description.
    Mismatch,
    /// The command no longer applied: the job is unknown, or it or its attempt is in another state.
    Stale,
    /// The lists now have this version.
    Lists(ListVersion),
    /// Another write changed the lists first.
    Conflict(ListConflict),
}
