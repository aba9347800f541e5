//! Support for the end-to-end tests: a deployment of real processes on the loopback interface.
//!
//! * [`Deployment`] starts processes, sends them signals, and kills them by process id.
//! * [`Api`] is a client of the HTTP interface of entries.
//! * [`Witness`] reads the task starts that the fake upstreams recorded.

mod api;
mod deployment;
mod witness;

pub use api::{Api, Reply, job};
pub use deployment::{Deployment, sample_lists, wait_until};
pub use witness::Witness;
