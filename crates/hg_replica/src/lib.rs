//! Agreement on a log between a few control hosts, in the manner of Raft.
//!
//! The crate does no I/O of its own and reads no clock. The driver passes messages and ticks
//! together with the current time to a [`Replica`] and takes an [`Output`] with writes, messages
//! and committed entries from it. The driver must make the writes durable *before* it sends the
//! messages or applies the committed entries of the same output.
//!
//! * [`Replica`] implements the protocol: pre-vote, election, replication, leader lease,
//!   membership.
//! * [`Message`] is a message between replicas.
//! * [`Storage`] keeps the log on a [`Disk`] and restores it; it cuts off a torn tail and reports
//!   corruption.
//! * [`Configuration`] lists the voters and learners. A host that lost its disk comes back with a
//!   new [`ReplicaId`].

mod configuration;
mod election;
mod entry;
mod follower;
mod leader;
mod leader_state;
mod log;
mod message;
mod output;
mod replica;
mod storage;
mod timing;
mod wal;

pub use configuration::{Configuration, Peer, ReplicaId};
pub use entry::{Entry, HardState, Index, Payload, Snapshot};
pub use message::{Body, Message};
pub use output::{Output, Write};
pub use replica::{ChangeError, NotLeader, Replica, Status};
pub use storage::{Disk, Restored, Storage, StorageError};
pub use timing::Timing;
pub use wal::{Damage, Record};
