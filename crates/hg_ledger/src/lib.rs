//! The replicated record: the lists, the jobs with their leases, and the operators' wishes.
//!
//! Each control replica holds one [`Ledger`] and feeds it the same [`Command`]s in the same order.
//! Applying is deterministic: no clock, no random numbers, no I/O. What a command changed comes back
//! as [`Effect`]s, so that a leader can follow along without scanning.

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
pub use limits::{ENDED_MAX, FAILURES_MAX, NOTED_MAX, NOTES_MAX, OPERATIONS_MAX, REFUSALS_MAX};
pub use workflow::{
    EndedWorkflow, LostRun, Occupancy, Occurrence, OpenRun, Phase, QueueTerms, RunRef, RunStart,
    SavedProgress, StepRecord, TaskRecord, TaskState, UnconfirmedEnd, UpkeepStage, Wave, Waves,
    Workflow, WorkflowCommand, WorkflowEffect, WorkflowLedger,
};
