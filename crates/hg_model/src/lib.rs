//! The vocabulary of heathergrade: names, amounts, lists, jobs, leases and answers.
//!
//! This is the lowest layer. It does no I/O and knows no clock, so every other crate can use it.
//!
//! A short tour:
//!
//! * [`AccountName`], [`UpstreamName`], … are validated, shared, immutable strings.
//! * [`Resources`] and [`Shape`] say how much a job needs.
//! * [`Lists`] holds the two lists that operators edit: plans and client accounts.
//! * [`JobSpec`] is what a caller asks for; [`Answer`] is what the caller gets.
//! * [`Attempt`] and [`LeaseId`] tie a job to the upstreams that run it.
//! * [`Life`] is the typestate of a job's life; [`JobLife`] stores it.
//! * [`WorkflowSpec`] is a job made of steps; [`Catalog`] holds the queues where such jobs come in.

mod answer;
mod attempt;
mod digest;
mod job;
mod lease;
mod life;
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
pub use life::{Finished, JobLife, Life, Placed, Queued, Running, StopCause};
pub use lists::{Account, Guarantee, ListFault, ListVersion, Lists, Plan};
pub use name::{
    AccountName, DataCentreName, EntryName, HostName, ImageName, JobId, KindName, Label, NameError,
    OperationId, PlanName, PoolName, QueueName, RackName, UpstreamName,
};
pub use resources::{Resources, Shape};
pub use time::Time;
pub use upstream::{UpstreamBeat, UpstreamSpec};
pub use workflow::{
    AdviceTerms, Catalog, CatalogFault, Checkpoint, ClientAccount, ClockReading, EndKind,
    Footprint, HostReport, HostState, Incarnation, ListedRun, PoolSpec, QueueSpec, Route, RunEnd,
    RunListing, RunNumber, Schedule, StepId, StepSpec, TargetSpec, TaskId, TaskIdError,
    UpstreamReport, VitalSigns, WaveFault, WaveNumber, WaveSpec, WaveState, WorkflowFault,
    WorkflowSpec, WorkflowState,
};
