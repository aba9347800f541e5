//! The leader's part in workflows: requests, decisions, and orders to upstreams.
//!
//! * [`Order`] and [`OrderResult`] cross the [`UpstreamDriver`], which speaks an upstream's protocol.
//! * `Session` follows one life of one upstream: its clock, its leases, what it was ordered.
//! * `Sessions` holds all of them and turns what is due into orders and log entries.

mod lead;
mod order;
mod request;
mod session;
mod sessions;

pub use order::{
    Order, OrderId, OrderKind, OrderReport, OrderResult, StartRefusal, UpstreamDriver,
};

pub(crate) use lead::WorkflowLead;
pub(crate) use request::WorkflowReplyKind;
