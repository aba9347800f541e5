//! The replicated state: the lists, the jobs with their leases, the workflows, and the upstreams
//! that operators drained.
//!
//! Each control replica holds one [`Ledger`] and applies the same [`Command`]s to it in the same
//! order. Applying is deterministic: no clock, no random numbers, no I/O. It returns what a command
//! changed as [`Effect`]s, so that a leader can update its indices without scanning the ledger.

mod command;
mod effect;
mod ended_job;
mod job;
mod ledger;
mod limits;
mod workflow;

pub use command::{Command, ListConflict, Outcome};
pub use effect::Effect;
pub use ended_job::{EndedJob, EndedSource};
pub use job::{Job, JobEvent, JobNote};
pub use ledger::{Applied, Ledger};
pub use limits::{
    ENDED_MAX, ENDED_WITH_NOTES_MAX, FAILURES_MAX, NOTES_MAX, OPERATIONS_MAX, REFUSALS_MAX,
};
pub use workflow::{
    AccountUsage, CONTENTION_CLASSES_MAX, CONTENTION_PAIRS_MAX, Contention, ContentionPair,
    Crashes, DRAINS_MAX, DirectionEvidence, Drains, EndedWorkflow, ExposedRun, HostSpeed,
    HostSpeeds, LearnedRunTimes, LostRun, Occupancy, Occurrence, OpenRun, PairEvidence, QueueTerms,
    RatioCounts, ResourceTime, RunRef, RunStart, RunTimeChange, RunTimeKey, SavedProgress,
    StepRecord, TOMBSTONES_MAX, TOMBSTONES_PER_ACCOUNT_MAX, TaskCrash, TaskRecord, TaskState,
    Tombstones, UnconfirmedEnd, UpkeepStage, UpkeepTargets, UpstreamCrash, Wave, Waves, Workflow,
    WorkflowCommand, WorkflowEffect, WorkflowLedger, WorkflowPhase,
};
