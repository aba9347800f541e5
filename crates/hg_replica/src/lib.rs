//! Agreement on a log between a few control hosts.
//!
//! Everything here is a pure step: a message or a tick goes in with `now`, and an [`Output`] with
//! writes and messages comes out. The driver owes one thing: it makes the writes durable *before* it
//! sends the messages or applies the committed entries of the same output.
//!
//! * [`Replica`] is the state machine: pre-vote, election, replication, leader lease, membership.
//! * [`Message`] is what replicas tell each other.
//! * [`Storage`] keeps the log on a [`Disk`] and reads it back, telling a torn tail from damage.
//! * [`Configuration`] says who votes. A host that lost its disk comes back as a new [`ReplicaId`].

mod configuration;
mod election;
mod entry;
mod following;
mod leader;
mod leading;
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
