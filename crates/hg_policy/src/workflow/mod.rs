//! Decisions about workflows: which task starts where, what is stopped to free capacity, what
//! waits.
//!
//! Each decision has a module of its own, without I/O and without a clock:
//!
//! * `ready_steps` lists the steps that may start and ranks them (load: more work than capacity).
//! * `queue_settings` says in which pool accepted jobs run (load: queues that are moved to another pool while jobs
//!   wait).
//! * `guarantee` determines which urgent work is covered (load: one account floods the pool with
//!   urgent work).
//! * `fair_share` orders the steps of client accounts, and `usage_tracker` what each account used lately
//!   (load: accounts of very unequal demand on a full pool).
//! * `placement` finds upstreams for a step (load: small tasks scattered over racks).
//! * `headroom` keeps upstreams free for urgent work to come (load: waves of urgent work on a full
//!   pool).
//! * `holds` keeps resources that are being cleared (load: many urgent steps at the same time).
//! * `reservation` lets upstreams drain for gangs (load: small tasks that take all capacity as it
//!   becomes free).
//! * `preemption` finds the cheapest work to stop for an urgent step (load: a full pool).
//! * `drain` moves work out of a data centre that operators drain (load: a data centre that has to be empty soon).
//! * `cold_starts` limits the pace at which work returns to it (load: a data centre full of cold upstreams).
//! * `evacuation` moves work off upstreams that are about to leave (load: a pool that is rolled).
//! * `speed_tracker` detects upstreams that are slow or stalled (load: workers that slow down).
//! * `host_speeds`, `speed_groups`, `pool_speeds`, `speed_placement` and `speed_policy` estimate how
//!   fast hosts are for good, and place work by that (load: hosts of several generations).
//! * `run_times` learns how long runs take relative to their estimates (load: estimates that are too low by a factor of
//!   2 to 9, and tasks that are long by nature).
//! * `crash_guard` and `isolation` decide which tasks are suspected of crashing their upstreams, where
//!   they start and which are given up (load: a task that crashes each upstream that starts it).
//! * `pace_controller` slows best-effort work (load: best-effort work that disturbs tasks that
//!   serve users).
//! * `ticket_cache` holds the tickets of the service that decides where steps may run, and chooses
//!   the next request to it (load: a service that decides slowly).
//! * `contention` keeps tasks apart that slow each other down on one host (load: tasks that compete for
//!   resources that no claim covers).
//! * `wave_scheduler` and `availability` take hosts down for upkeep (load: maintenance of a busy
//!   pool).
//! * `standby` borrows hosts and returns them (load: more work than a pool can hold, for a while).
//! * [`WorkflowBounds`] holds the time bounds of the deployment, from which timeouts follow.
//! * `admission_forecast` rejects jobs that could not start while they are of value, and tells their
//!   callers when to return (load: more work than a pool can serve for a while); `pool_forecast`,
//!   `capacity_profile`, `arrival_rates`, `forecast_error` and `retry_promises` are its parts.
//! * `waiting_steps` reports what has waited for long (load: work that does not start although there seems to be room).
//! * `admission` rejects jobs that can never run (load: jobs that no upstream can hold).
//! * [`WorkflowPolicies`] names the optional policies that a deployment uses.
//! * [`WorkflowScheduler`] combines them.

mod admission;
mod admission_forecast;
mod arrival_rates;
mod availability;
mod bounds;
mod capacity_map;
mod capacity_profile;
mod cold_starts;
mod contention;
mod crash_guard;
mod drain;
mod evacuation;
mod fair_share;
mod fleet_observations;
mod forecast_error;
mod guarantee;
mod headroom;
mod holds;
mod host_speeds;
mod isolation;
mod pace_controller;
mod placement;
mod policies;
mod pool_forecast;
mod pool_speeds;
mod preemption;
mod queue_settings;
mod ready_steps;
mod reservation;
mod retry_promises;
mod run_table;
mod run_times;
mod scheduler;
mod speed_groups;
mod speed_placement;
mod speed_policy;
mod speed_tracker;
mod standby;
mod ticket_cache;
mod usage_tracker;
mod waiting_steps;
mod wave_scheduler;

pub use admission::{Rejection, admit};
pub use admission_forecast::{Admittance, ForecastRejection, Submission};
pub use bounds::{BoundError, WorkflowBounds};
pub use contention::{ContentionAvoided, ContentionFinding, ContentionReport};
pub use fleet_observations::FleetObservations;
pub use pace_controller::PaceChange;
pub use policies::{UnknownPolicy, WorkflowPolicies, WorkflowPolicy};
pub use pool_speeds::SpeedClass;
pub use run_times::{RunTimeSummary, run_time_summaries};
pub use scheduler::{RunStop, StopReason, WorkflowDecisions, WorkflowScheduler};
pub use speed_policy::SpeedChange;
pub use standby::HostMove;
pub use ticket_cache::{AdviceRequest, TicketCache};
pub use usage_tracker::AccountShare;
pub use waiting_steps::WaitingStep;
pub use wave_scheduler::UpkeepOrder;
