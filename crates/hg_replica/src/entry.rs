//! Log entries, snapshots and the durable election state.

use bytes::Bytes;
use derive_more::{Display, From, Into};
use hg_model::Term;
use serde::{Deserialize, Serialize};

use crate::{Configuration, ReplicaId};

/// A position in the log, from 1; zero stands before the first entry.
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
    /// The next position.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Marks the start of a leader's term.
    Noop,
    /// A command of the state machine above, encoded.
    Command(Bytes),
    /// A new configuration, in force as soon as it stands in a log.
    Configuration(Configuration),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Whether it changes the configuration.
    pub const fn is_change(&self) -> bool {
        matches!(self.payload, Payload::Configuration(_))
    }

    /// About how many bytes it takes in a message.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        match &self.payload {
            Payload::Command(bytes) => bytes.len() + OVERHEAD_BYTES,
            Payload::Noop | Payload::Configuration(_) => OVERHEAD_BYTES,
        }
    }
}

/// What must survive a restart besides the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The candidate voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// The state machine's state at one position, in place of the log up to there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last position it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The configuration in force there.
    pub configuration: Configuration,
    /// The state machine's state, encoded.
    pub data: Bytes,
}
