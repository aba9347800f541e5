//! The control process: the replicated log and the decisions.
//!
//! * [`Core`] ties the replica, the ledger and the scheduler together. It does no I/O but for its
//!   [`Disk`](hg_replica::Disk): events go in, [`Actions`] come out.
//! * [`FileDisk`] keeps the log in one file.
//! * [`UpstreamDriver`] carries orders about workflows to upstreams, whatever protocol they speak.
//! * [`LeaderWay`] asks the leader from any process, [`watch_leader`] monitors it.
//! * [`ControlProcess`] is a running process; [`run`] wires the core to links, signals and the metrics page.

mod clock;
mod core;
mod door_limits;
mod drive;
mod entries;
mod file_disk;
mod found;
mod http;
mod leader_watch;
mod leader_way;
mod leading;
mod links;
mod metric;
mod requests;
mod run;
mod views;
mod workflow;

pub use clock::Clock;
pub use core::{Actions, Core, CoreConfig, Event, Ticket, WorkflowConfig};
pub use door_limits::{
    CONTROL_DRAIN_LIMIT, DrainPlan, HEARTBEAT_LIMIT, NO_LEADER_RETRY_AFTER, OPERATOR_LIMIT,
    caller_limit,
};
pub use drive::Driver;
pub use file_disk::FileDisk;
pub use found::{FoundError, Founder, found};
pub use leader_watch::watch_leader;
pub use leader_way::{LeaderWay, NoReply};
pub use links::{Asking, Drivers, ask_for_place};
pub use metric::{METRICS, Metric, MetricKind, metrics_page};
pub use run::{ControlParts, ControlProcess, run, run_found};
pub use workflow::{
    Advice, Duty, DutyReport, HostOrder, HostOrderKind, HostOrderResult, Order, OrderId, OrderKind,
    OrderReport, OrderResult, PlatformDriver, StartRefusal, UpstreamDriver,
};
