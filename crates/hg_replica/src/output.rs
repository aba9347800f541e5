//! What a step asks of the driver.

use crate::{Entry, HardState, Message, Snapshot};

/// Something to make durable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The election state.
    Hard(HardState),
    /// Entries; the first one's position cuts off what stood there before.
    Append(Vec<Entry>),
    /// A snapshot in place of the log up to its position.
    Snapshot(Snapshot),
}

/// The result of one or more steps, to be carried out in this order.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// First: make these durable.
    pub writes: Vec<Write>,
    /// Then: send these. A lost message is repaired later.
    pub messages: Vec<Message>,
    /// Then: replace the state machine by this.
    pub installed: Option<Snapshot>,
    /// Then: apply these, in order.
    pub committed: Vec<Entry>,
}

impl Output {
    /// Whether there is nothing to do.
    pub const fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.installed.is_none()
            && self.committed.is_empty()
    }
}
