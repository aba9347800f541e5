//! A world of replicas in virtual time, with a network and disks that misbehave, and an oracle.

pub mod disk;
pub mod episode;
pub mod oracle;
pub mod world;
