//! Runs of tasks, as upstreams list them.

use serde::{Deserialize, Serialize};

use super::{Checkpoint, ClockReading, Incarnation, RunNumber, TaskId};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// It completed its work.
    Done,
    /// It failed, because of the task itself or of the upstream.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// One end in an upstream's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The number of the end within the upstream's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Its last saved progress.
    pub checkpoint: Option<Checkpoint>,
}

/// One run in progress in an upstream's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: RunNumber,
    /// Its last saved progress.
    pub checkpoint: Option<Checkpoint>,
    /// How much of its work is done, from 0 to 100.
    pub percent: u32,
    /// A rough measurement over the last half second: for a task that serves users the tail of
    /// response times in milliseconds, otherwise the processor time in use in thousandths of a
    /// core.
    pub gauge: Option<u64>,
}

/// An upstream's answer to a request to list its runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunListing {
    /// The incarnation that sent the listing.
    pub incarnation: Incarnation,
    /// The upstream's clock when it made the listing.
    pub clock: ClockReading,
    /// The runs in progress.
    pub running: Vec<ListedRun>,
    /// The ends that are not acknowledged yet, oldest first.
    pub ended: Vec<RunEnd>,
    /// Whether there may be more ends than these. A run that is in neither list may then have ended.
    pub has_more_ends: bool,
}
