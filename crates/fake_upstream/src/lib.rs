//! A stand-in for an upstream, for tests and the demo. It is never shipped.
//!
//! It speaks the upstream protocol of docs/API.md: it announces itself, obeys leases, and keeps a
//! witness file with one line for each task that it starts. A job's body may say how it behaves; see
//! [`Behaviour`].

mod beat;
mod behaviour;
mod http;
mod leases;
mod run;

pub use behaviour::Behaviour;
pub use leases::{Leases, View};
pub use run::{Options, run};
