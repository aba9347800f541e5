//! The decisions: which job starts where, what is reclaimed, what waits and why.
//!
//! Everything is pure. Facts go in (what the ledger did, what upstreams say), `now` is an argument,
//! and [`Decisions`] come out. The same code runs in the leader, in a fuzzer and in a replay.
//!
//! * [`Scheduler`] is the one seam: [`Scheduler::apply_effect`] takes facts, [`Scheduler::decide`]
//!   decides.
//! * [`Pool`] keeps the upstreams with their free room, indexed so that a decision needs no scan.
//! * [`Marks`] keeps, for each guaranteed part, the upstream where it can be claimed. That set is the
//!   proof that every guarantee fits by stopping only work that may be stopped.
//! * [`Health`] puts upstreams aside that fail many different jobs.
//! * [`WorkflowScheduler`] decides about jobs made of steps, from the ledger and
//!   [`FleetObservations`].
//! * [`check_fit`] refuses lists whose guarantees do not fit the pool together.

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
pub use health::{Health, HealthState};
pub use packing::check_fit;
pub use policy_config::PolicyConfig;
pub use pool::{CapacityView, Pool, RackId, UpstreamRecord};
pub use scheduler::{Abort, Decisions, Refusal, Scheduler, Shortage};
pub use wait::WaitReason;
pub use workflow::{
    AdviceRequest, FleetObservations, HostMove, PaceChange, Rejection, RunStop, StopReason,
    TicketCache, UpkeepOrder, WorkflowDecisions, WorkflowScheduler, admit,
};
