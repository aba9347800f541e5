//! Log entries, snapshots and the durable election state.

use bytes::Bytes;
use derive_more::{Display, From, Into};
use hg_model::Term;
use serde::{Deserialize, Serialize};

use crate::{Configuration, ReplicaId};

/// A position in the log. The first entry has index 1; 0 is the position before it.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct Index(pub u64);

impl Index {
    /// The next index.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command; each leader appends one at the start of its term.
    Noop,
    /// An encoded command for the replicated state machine.
    Command(Bytes),
    /// A new configuration. Each replica uses it as soon as its log holds the entry, committed or
    /// not.
    Configuration(Configuration),
}

/// A log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's position in the log.
    pub index: Index,
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

impl Entry {
    /// Whether it changes the configuration.
    pub const fn is_configuration_change(&self) -> bool {
        matches!(self.payload, Payload::Configuration(_))
    }

    /// The approximate size of the entry in a message, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        match &self.payload {
            Payload::Command(bytes) => bytes.len() + OVERHEAD_BYTES,
            Payload::Noop | Payload::Configuration(_) => OVERHEAD_BYTES,
        }
    }
}

/// The durable election state: Raft's current term and vote.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The candidate that this replica voted for in `term`, if any.
    pub vote: Option<ReplicaId>,
}

/// The state machine's state at one index; replaces the log entries up to that index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index that the snapshot covers.
    pub index: Index,
    /// The term of the entry at `index`.
    pub term: Term,
    /// The configuration in force at `index`.
    pub configuration: Configuration,
    /// The encoded state of the state machine.
    pub data: Bytes,
}
