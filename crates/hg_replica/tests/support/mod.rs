//! A simulation of replicas in virtual time, with fault injection for network and disks, and an
//! oracle.

pub mod disk;
pub mod oracle;
pub mod scenario;
pub mod world;
