//! A fake upstream for tests and the demo. It is never shipped.
//!
//! It implements the upstream protocol of docs/API.md: it announces itself, holds and runs leases, and
//! appends a line to a witness file for each lease that it starts. A job's body may set how its tasks
//! behave; see [`Behaviour`].

mod behaviour;
mod heartbeat;
mod http;
mod leases;
mod run;

pub use behaviour::Behaviour;
pub use leases::{LeaseView, Leases};
pub use run::{Options, run};
