//! Workflows: jobs made of steps, each with tasks that upstreams run one by one or as a gang.
//!
//! * [`WorkflowSpec`] and [`StepSpec`] are a caller's description of a workflow.
//! * [`TaskId`], [`RunNumber`] and [`Checkpoint`] are the id of a task, the number of one run of
//!   it, and its saved progress.
//! * [`WaveSpec`] requests the upkeep (maintenance) of hosts, a few at a time.
//! * [`Catalog`] holds the queues, pools and client accounts that operators maintain.
//! * [`UpstreamReport`] is an upstream's announcement; [`RunEnd`] reports how a run ended there.

mod catalog;
mod queue;
mod report;
mod resource_vector;
mod run;
mod state;
mod step;
mod task;
mod task_class;
mod wave;

pub use catalog::{Catalog, CatalogFault, ClientAccount, PoolSpec, Route};
pub use queue::{AdviceTiming, QueueSpec};
pub use report::{ClockReading, HeartbeatReadings, UpstreamReport};
pub use resource_vector::ResourceVector;
pub use run::{EndKind, ListedRun, RunEnd, RunListing};
pub use state::WorkflowState;
pub use step::{LatencyTarget, STEPS_MAX, Schedule, StepSpec, WorkflowFault, WorkflowSpec};
pub use task::{Checkpoint, Incarnation, RunNumber, StepId, TaskId, TaskIdError};
pub use task_class::TaskClass;
pub use wave::{HostReport, HostState, WaveFault, WaveNumber, WaveSpec, WaveState};
