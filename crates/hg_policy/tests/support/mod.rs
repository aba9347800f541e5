//! A ledger, a scheduler and stand-in upstreams in virtual time, with an oracle that recomputes.

pub mod cases;
pub mod oracle;
pub mod world;
