//! The replicated state of workflows: catalog, upstreams, workflows, open runs and maintenance
//! waves.

mod account_usage;
mod command;
mod contention;
mod crash;
mod drains;
mod effect;
mod host_speeds;
mod ledger;
mod occupancy;
mod record;
mod run_end;
mod run_times;
mod tombstones;
mod upkeep_targets;
mod waves;

pub use account_usage::{AccountUsage, ResourceTime};
pub use command::{LostRun, RunStart, SavedProgress, WorkflowCommand};
pub use contention::{
    CONTENTION_CLASSES_MAX, CONTENTION_PAIRS_MAX, Contention, ContentionPair, DirectionEvidence,
    PairEvidence,
};
pub use crash::{Crashes, ExposedRun, TaskCrash, UpstreamCrash};
pub use drains::{DRAINS_MAX, Drains};
pub use effect::{RunRef, WorkflowEffect};
pub use host_speeds::{HostSpeed, HostSpeeds};
pub use ledger::WorkflowLedger;
pub use occupancy::{Occupancy, OpenRun};
pub use record::{
    EndedWorkflow, Occurrence, QueueTerms, StepRecord, TaskRecord, TaskState, UnconfirmedEnd,
    Workflow, WorkflowPhase,
};
pub use run_times::{LearnedRunTimes, RatioCounts, RunTimeChange, RunTimeKey};
pub use tombstones::{TOMBSTONES_MAX, TOMBSTONES_PER_ACCOUNT_MAX, Tombstones};
pub use upkeep_targets::UpkeepTargets;
pub use waves::{UpkeepStage, Wave, Waves};
