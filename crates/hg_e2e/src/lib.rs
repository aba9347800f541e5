//! Support for the end-to-end tests: a deployment of real processes on the loopback interface.
//!
//! * [`Deployment`] starts processes, sends them signals, and kills them by process id.
//! * [`Api`] is a client of the HTTP interface of entries.
//! * [`Crowd`] is a crowd of clients that do not behave; [`ProcessProbe`] reads what a process uses meanwhile.
//! * [`Findings`] collects what a test found.
//! * [`Witness`] reads the task starts that the fake upstreams recorded.

mod api;
mod crowd;
mod deployment;
mod findings;
mod process_probe;
mod witness;

pub use api::{Api, Reply, job};
pub use crowd::{Crowd, Misbehaviour, Target};
pub use deployment::{Deployment, sample_lists, wait_until};
pub use findings::Findings;
pub use process_probe::{PeakSampler, ProcessProbe};
pub use witness::Witness;
