//! The replicated state of workflows: catalog, upstreams, workflows, open runs and maintenance
//! waves.

mod command;
mod contention;
mod crash;
mod effect;
mod ledger;
mod occupancy;
mod record;
mod run_end;
mod waves;

pub use command::{LostRun, RunStart, SavedProgress, WorkflowCommand};
pub use contention::{
    CONTENTION_CLASSES_MAX, CONTENTION_PAIRS_MAX, Contention, ContentionPair, DirectionEvidence,
    PairEvidence,
};
pub use crash::{Crashes, ExposedRun, TaskCrash, UpstreamCrash};
pub use effect::{RunRef, WorkflowEffect};
pub use ledger::WorkflowLedger;
pub use occupancy::{Occupancy, OpenRun};
pub use record::{
    EndedWorkflow, Occurrence, QueueTerms, StepRecord, TaskRecord, TaskState, UnconfirmedEnd,
    Workflow, WorkflowPhase,
};
pub use waves::{UpkeepStage, Wave, Waves};
