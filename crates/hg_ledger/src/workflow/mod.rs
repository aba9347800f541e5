//! The replicated record of workflows: catalog, upstreams, jobs, and which task runs where.

mod command;
mod effect;
mod endings;
mod ledger;
mod occupancy;
mod record;
mod waves;

pub use command::{LostRun, RunStart, SavedProgress, WorkflowCommand};
pub use effect::{RunRef, WorkflowEffect};
pub use ledger::WorkflowLedger;
pub use occupancy::{Occupancy, OpenRun};
pub use record::{
    EndedWorkflow, Occurrence, Phase, QueueTerms, StepRecord, TaskRecord, TaskState,
    UnconfirmedEnd, Workflow,
};
pub use waves::{UpkeepStage, Wave, Waves};
