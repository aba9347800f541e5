//! A simulated leader with stand-in upstreams, lost and delayed orders, and an oracle that checks invariants.

mod memory_disk;
mod oracle;
mod stand_in;
mod world;

pub use world::{Faults, World};
