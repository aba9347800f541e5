//! The shared data types of heathergrade: names, amounts, lists, jobs, leases, answers and
//! workflows.
//!
//! This is the lowest layer. It does no I/O and reads no clock, so every other crate can use it.
//!
//! The main types:
//!
//! * [`AccountName`], [`UpstreamName`], … are validated, shared, immutable strings.
//! * [`Resources`] and [`Shape`] describe the resources that a job needs.
//! * [`Lists`] holds the two lists that operators edit: plans and client accounts.
//! * [`JobSpec`] is what a caller asks for; [`Answer`] is the final answer to it.
//! * [`Attempt`] and [`LeaseId`] assign a job to the upstreams that run it.
//! * [`Lifecycle`] is the typestate of a job; [`JobState`] stores it.
//! * [`WorkflowSpec`] is a job made of steps; [`Catalog`] holds the queues that accept such jobs.

mod answer;
mod attempt;
mod digest;
mod job;
mod lease;
mod lifecycle;
mod lists;
mod name;
mod resources;
mod time;
mod upstream;
mod workflow;

pub use answer::{Answer, AnswerKind, AttemptResult, NotRunReason};
pub use attempt::{Attempt, LeaseId, MarkId, Member, Term};
pub use digest::{Digest, DigestError};
pub use job::{JobClass, JobSpec, SpecError};
pub use lease::{
    ANSWER_SHA256_HEADER, BOOT_HEADER, LEASE_ORDER_HEADER, LEASE_STATE_HEADER, LeaseOrder,
    LeaseState,
};
pub use lifecycle::{Finished, JobState, Lifecycle, Placed, Queued, Running, StopCause};
pub use lists::{Account, Guarantee, ListFault, ListVersion, Lists, Plan};
pub use name::{
    AccountName, DataCentreName, EntryName, HostName, ImageName, JobId, KindName, Label, NameError,
    OperationId, PlanName, PoolName, QueueName, RackName, UpstreamName,
};
pub use resources::{Resources, Shape};
pub use time::Time;
pub use upstream::{UpstreamHeartbeat, UpstreamSpec};
pub use workflow::{
    AdviceTiming, Catalog, CatalogFault, Checkpoint, ClientAccount, ClockReading, EndKind,
    HeartbeatReadings, HostReport, HostState, Incarnation, LatencyTarget, ListedRun, PoolSpec,
    QueueSpec, ResourceVector, Route, RunEnd, RunListing, RunNumber, STEPS_MAX, Schedule, StepId,
    StepSpec, TaskClass, TaskId, TaskIdError, UpstreamReport, WaveFault, WaveNumber, WaveSpec,
    WaveState, WorkflowFault, WorkflowSpec, WorkflowState,
};
