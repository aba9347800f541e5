//! Support for the process tests: a deployment of real processes on loopback.
//!
//! * [`Deployment`] starts processes, sends them signals, and ends them by id.
//! * [`Api`] asks entries over HTTP.
//! * [`Witness`] reads what the stand-in upstreams wrote down of their starts.

mod api;
mod deployment;
mod witness;

pub use api::{Api, Reply, job};
pub use deployment::{Deployment, sample_lists, until};
pub use witness::Witness;
