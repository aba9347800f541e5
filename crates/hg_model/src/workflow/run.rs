//! Runs, as upstreams list them.

use serde::{Deserialize, Serialize};

use super::{Checkpoint, ClockReading, Incarnation, RunNumber, TaskId};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the upstream's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// One end in an upstream's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Counts the ends of one incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which start of it.
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
    /// Which start of it.
    pub run: RunNumber,
    /// Its last saved progress.
    pub checkpoint: Option<Checkpoint>,
    /// How much of its work is done, from 0 to 100.
    pub percent: u32,
    /// A rough figure of the last half second: the tail of response times in milliseconds for a task
    /// that serves users, else the processor time in use in thousandths of a core.
    pub gauge: Option<u64>,
}

/// What an upstream lists when it is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunListing {
    /// Which life of it speaks.
    pub incarnation: Incarnation,
    /// Its clock.
    pub clock: ClockReading,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What ended and was not acknowledged yet, oldest first.
    pub ended: Vec<RunEnd>,
}
