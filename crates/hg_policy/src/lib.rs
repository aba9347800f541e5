//! Scheduling decisions: which job starts where, which tasks are stopped to reclaim guarantees,
//! which jobs wait and why.
//!
//! All code here is free of side effects. Inputs are facts (effects on the ledger, reports of
//! upstreams) and `now` as an argument; outputs are [`Decisions`]. The same code runs in the
//! leader, in a fuzzer and in a replay.
//!
//! * [`Scheduler`] is the entry point for jobs: [`Scheduler::apply_effect`] records facts,
//!   [`Scheduler::decide`] makes decisions.
//! * [`Pool`] holds the upstreams, indexed by free capacity so that a decision needs no full scan.
//! * [`GuaranteeRegistry`] holds, for each guaranteed part, the upstream where it can be claimed.
//!   Its content proves that every guarantee can be met by stopping only work that may be stopped.
//! * [`UpstreamHealth`] quarantines upstreams on which many different jobs fail.
//! * [`WorkflowScheduler`] decides about workflows, which are jobs made of steps, from the ledger
//!   and [`FleetObservations`].
//! * [`check_fit`] rejects lists whose guarantees do not fit the pool together.

mod accounting;
mod allocation;
mod capacity;
mod claim;
mod decide;
mod guarantee_registry;
mod health;
mod mark_assignment;
mod packing;
mod placement;
mod policy_config;
mod pool;
mod queue;
mod reservation;
mod round;
mod scheduler;
mod wait;
mod workflow;

pub use allocation::{Allocation, AllocationKind, AllocationMember};
pub use capacity::Capacity;
pub use guarantee_registry::{GuaranteeRegistry, GuaranteedPart};
pub use health::{HealthState, UpstreamHealth};
pub use packing::check_fit;
pub use policy_config::PolicyConfig;
pub use pool::{CapacityView, Pool, RackId, UpstreamRecord};
pub use scheduler::{Abort, Decisions, Refusal, Scheduler, Shortage};
pub use wait::WaitReason;
pub use workflow::{
    AccountShare, Admittance, AdviceRequest, BoundError, ContentionAvoided, ContentionFinding,
    ContentionReport, FleetObservations, ForecastRejection, HostMove, PaceChange, Rejection,
    RunStop, RunTimeSummary, SpeedChange, SpeedClass, StopReason, Submission, TicketCache,
    UnknownPolicy, UpkeepOrder, WaitingStep, WorkflowBounds, WorkflowDecisions, WorkflowPolicies,
    WorkflowPolicy, WorkflowScheduler, admit, run_time_summaries,
};
