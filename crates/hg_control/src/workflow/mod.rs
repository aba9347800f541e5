//! The leader's handling of workflows: requests, scheduling decisions, and orders to upstreams.
//!
//! * [`Order`] and [`OrderResult`] cross the [`UpstreamDriver`], which implements the upstreams'
//!   protocol.
//! * [`PlatformCall`] and [`PlatformCallReport`] cross the [`PlatformDriver`], which connects to the platform that
//!   owns the hosts.
//! * `Session` tracks one incarnation of one upstream: its clock, its leases, its orders.
//! * `drains` handles the drain of a data centre.
//! * `Sessions` holds all of them; `dispatch` creates the orders that are due, `reports` applies their
//!   results.

mod account_shares;
mod broken_gangs;
mod cancellation;
mod contention;
mod crash_evidence;
mod departure;
mod dispatch;
mod drains;
mod forecast;
mod host_speeds;
mod leadership;
mod log_lines;
mod order;
mod order_attempts;
mod platform_call;
mod platform_calls;
mod platform_reports;
mod reports;
mod request;
mod run_loss;
mod run_times;
mod session;
mod sessions;
mod telemetry;

pub use order::{
    Order, OrderId, OrderKind, OrderReport, OrderResult, StartRefusal, UpstreamDriver,
};
pub use platform_call::{
    Advice, HostListing, HostOrder, HostOrderKind, HostOrderResult, PlatformCall,
    PlatformCallReport, PlatformDriver,
};

pub(crate) use account_shares::ShareGauges;
pub(crate) use leadership::WorkflowLeadership;
pub(crate) use request::WorkflowReplyKind;
pub(crate) use telemetry::set_gauges;
