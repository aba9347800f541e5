//! The control process: keeps the replicated log and makes the scheduling decisions.
//!
//! * [`Core`] ties the replica, the ledger and the scheduler together. Except for its
//!   [`Disk`](hg_replica::Disk) it does no I/O: events go in, [`Actions`] come out.
//! * [`FileDisk`] keeps the log in one file.
//! * [`UpstreamDriver`] carries orders about workflows to upstreams, whatever protocol they speak.
//! * [`LeaderClient`] sends requests to the leader from any process; [`watch_leader`] monitors it.
//! * [`ControlProcess`] is a running process; [`run()`] starts one and stops it on a signal.

mod call_limits;
mod clock;
mod core;
mod core_loop;
mod entry_registry;
mod file_disk;
mod founding;
mod http;
mod input_queue;
mod leader_client;
mod leader_tasks;
mod leader_watch;
mod links;
mod metric;
mod order_lanes;
mod requests;
mod run;
mod snapshot;
mod start_gate;
mod views;
mod workflow;

pub use call_limits::{
    CONTROL_DRAIN_LIMIT, DRAIN_REQUEST_LIMIT, DrainPlan, HEARTBEAT_LIMIT, NO_LEADER_RETRY_AFTER,
    OPERATOR_LIMIT, caller_limit,
};
pub use clock::Clock;
pub use core::{Actions, Core, CoreConfig, Event, Ticket};
pub use core_loop::CoreHandle;
pub use file_disk::FileDisk;
pub use founding::{Founder, FoundingError, found_group};
pub use leader_client::{LeaderClient, NoReply};
pub use leader_watch::watch_leader;
pub use links::{Drivers, JoiningReplica, request_membership};
pub use metric::{METRICS, Metric, MetricKind, metrics_page};
pub use run::{ControlParts, ControlProcess, run, run_found};
pub use snapshot::{decode_ledger, encode_ledger};
pub use workflow::{
    Advice, HostListing, HostOrder, HostOrderKind, HostOrderResult, Order, OrderId, OrderKind,
    OrderReport, OrderResult, PlatformCall, PlatformCallReport, PlatformDriver, StartRefusal,
    UpstreamDriver,
};
