//! A leader with stand-in upstreams, orders that get lost or come late, and an oracle.

mod memory_disk;
mod oracle;
mod stand_in;
mod world;

pub use world::{Faults, World};
