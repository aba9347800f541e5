//! The life cycle of a job, as types.
//!
//! Each state offers only the steps that may follow it, so a start before the commit or a second
//! final answer does not compile.

use derive_more::From;
use serde::{Deserialize, Serialize};

use crate::{Answer, Attempt, MarkId, Time};

/// A job in state `S`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lifecycle<S> {
    state: S,
}

/// Waits for a placement.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queued {}

/// Has leases; no member may start yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    attempt: Attempt,
}

/// Committed: its members may start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    attempt: Attempt,
    stop: Option<StopCause>,
}

/// Has its one final answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    answer: Answer,
    at: Time,
    last: Option<Attempt>,
}

/// Why a running job is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopCause {
    /// The caller or an operator cancelled it.
    Cancelled,
    /// A guarantee needs its place; it runs again later.
    Reclaimed,
}

impl<S> Lifecycle<S> {
    /// The data of the present state.
    pub const fn state(&self) -> &S {
        &self.state
    }
}

impl Lifecycle<Queued> {
    /// A job that has just been accepted.
    pub const fn new() -> Self {
        Self { state: Queued {} }
    }

    /// Takes leases.
    pub fn place(self, attempt: Attempt) -> Lifecycle<Placed> {
        Lifecycle { state: Placed { attempt } }
    }

    /// Ends without having run.
    pub fn finish(self, answer: Answer, at: Time) -> Lifecycle<Finished> {
        Lifecycle { state: Finished { answer, at, last: None } }
    }
}

impl Default for Lifecycle<Queued> {
    fn default() -> Self {
        Self::new()
    }
}

impl Lifecycle<Placed> {
    /// Every member is prepared; from here on they may start.
    pub fn commit(self) -> Lifecycle<Running> {
        Lifecycle { state: Running { attempt: self.state.attempt, stop: None } }
    }

    /// Gives the leases back; nothing has started.
    pub fn release(self) -> Lifecycle<Queued> {
        Lifecycle::new()
    }
}

impl Lifecycle<Running> {
    /// Asks the members to stop; the first cause stays.
    #[must_use]
    pub fn stop(mut self, cause: StopCause) -> Self {
        self.state.stop.get_or_insert(cause);
        self
    }

    /// Gives the leases back so that it can run again.
    pub fn requeue(self) -> Lifecycle<Queued> {
        Lifecycle::new()
    }

    /// Ends with its final answer.
    pub fn finish(self, answer: Answer, at: Time) -> Lifecycle<Finished> {
        Lifecycle { state: Finished { answer, at, last: Some(self.state.attempt) } }
    }
}

impl Placed {
    /// The attempt that holds the leases.
    pub const fn attempt(&self) -> &Attempt {
        &self.attempt
    }
}

impl Running {
    /// The attempt that holds the leases.
    pub const fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// Why it is being stopped, if it is.
    pub const fn stop(&self) -> Option<StopCause> {
        self.stop
    }
}

impl Finished {
    /// The final answer.
    pub const fn answer(&self) -> &Answer {
        &self.answer
    }

    /// When it ended.
    pub const fn at(&self) -> Time {
        self.at
    }

    /// The attempt that produced the answer, if any ran.
    pub const fn last(&self) -> Option<&Attempt> {
        self.last.as_ref()
    }
}

/// The life of a job that has no final answer yet, for storage.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// See [`Queued`].
    Queued(Lifecycle<Queued>),
    /// See [`Placed`].
    Placed(Lifecycle<Placed>),
    /// See [`Running`].
    Running(Lifecycle<Running>),
}

impl JobState {
    /// The attempt that holds leases now.
    pub const fn attempt(&self) -> Option<&Attempt> {
        match self {
            Self::Placed(life) => Some(life.state().attempt()),
            Self::Running(life) => Some(life.state().attempt()),
            Self::Queued(_) => None,
        }
    }

    /// Turns claims of a guaranteed part into ordinary work, because the part has moved away.
    pub fn clear_mark(&mut self, mark: &MarkId) {
        let attempt = match self {
            Self::Placed(life) => &mut life.state.attempt,
            Self::Running(life) => &mut life.state.attempt,
            Self::Queued(_) => return,
        };
        for member in &mut attempt.members {
            if member.mark.as_ref() == Some(mark) {
                member.mark = None;
            }
        }
    }

    /// Whether it waits for a placement.
    pub const fn is_queued(&self) -> bool {
        matches!(self, Self::Queued(_))
    }

    /// A word for the state.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Queued(_) => "queued",
            Self::Placed(_) => "placed",
            Self::Running(_) => "running",
        }
    }
}
