//! A ledger, a scheduler and simulated upstreams in virtual time, with an oracle that recomputes
//! the expected state.

pub mod cases;
pub mod oracle;
pub mod simulation;
