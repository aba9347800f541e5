//! The leader's part in workflows: requests, decisions, and orders to upstreams.
//!
//! * [`Order`] and [`OrderResult`] cross the [`UpstreamDriver`], which speaks an upstream's protocol.
//! * [`Duty`] and [`DutyReport`] cross the [`PlatformDriver`], which speaks to whoever owns the hosts.
//! * `Session` follows one life of one upstream: its clock, its leases, what it was ordered.
//! * `Sessions` holds all of them; `dispatch` turns what is due into orders, `reports` takes in what
//!   comes of them.

mod broken_gangs;
mod dispatch;
mod duties;
mod duty;
mod lead;
mod lead_duties;
mod lead_log;
mod order;
mod reports;
mod request;
mod session;
mod sessions;
mod telemetry;

pub use duty::{
    Advice, Duty, DutyReport, HostOrder, HostOrderKind, HostOrderResult, PlatformDriver,
};
pub use order::{
    Order, OrderId, OrderKind, OrderReport, OrderResult, StartRefusal, UpstreamDriver,
};

pub(crate) use lead::WorkflowLead;
pub(crate) use request::WorkflowReplyKind;
pub(crate) use telemetry::set_gauges;
