//! The output of a step: writes, messages and entries for the driver to process.

use crate::{Entry, HardState, Message, Snapshot};

/// A change of the log on disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The election state.
    Hard(HardState),
    /// Appends entries; entries on disk from the first one's index on are removed before.
    Append(Vec<Entry>),
    /// Replaces the log up to the snapshot's index by the snapshot.
    Snapshot(Snapshot),
}

/// The result of one or more steps. The driver processes the fields in the order of their
/// declaration.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// First: writes to make durable.
    pub writes: Vec<Write>,
    /// Then: messages to send. The protocol recovers from lost messages.
    pub messages: Vec<Message>,
    /// Then: a snapshot to replace the state machine's state with.
    pub installed_snapshot: Option<Snapshot>,
    /// Then: committed entries to apply, in order.
    pub committed: Vec<Entry>,
}

impl Output {
    /// Whether there is nothing to do.
    pub const fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.installed_snapshot.is_none()
            && self.committed.is_empty()
    }
}
