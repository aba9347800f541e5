//! The lifecycle of a job as a typestate.
//!
//! Each state offers only the transitions that are allowed from it, so a start before the commit or
//! a second final answer does not compile.

use derive_more::From;
use serde::{Deserialize, Serialize};

use crate::{Answer, Attempt, MarkId, Time};

/// A job in state `S`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lifecycle<S> {
    state: S,
}

/// State: the job waits for a placement and holds no leases.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queued {}

/// State: the job's attempt holds leases, but no member may start yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    attempt: Attempt,
}

/// State: the attempt is committed; its members may start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    attempt: Attempt,
    stop: Option<StopCause>,
}

/// State: the job has its one final answer.
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
    /// Guaranteed capacity that it borrowed is reclaimed; it runs again later.
    Reclaimed,
}

impl<S> Lifecycle<S> {
    /// The data of the current state.
    pub const fn state(&self) -> &S {
        &self.state
    }
}

impl Lifecycle<Queued> {
    /// A job that has just been accepted.
    pub const fn new() -> Self {
        Self { state: Queued {} }
    }

    /// Assigns an attempt, whose members then hold leases.
    pub fn place(self, attempt: Attempt) -> Lifecycle<Placed> {
        Lifecycle { state: Placed { attempt } }
    }

    /// Ends the job without a running attempt.
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
    /// Commits the attempt: every member is prepared, and they may start from now on.
    pub fn commit(self) -> Lifecycle<Running> {
        Lifecycle { state: Running { attempt: self.state.attempt, stop: None } }
    }

    /// Releases the leases before any member has started.
    pub fn release(self) -> Lifecycle<Queued> {
        Lifecycle::new()
    }
}

impl Lifecycle<Running> {
    /// Requests a stop of the members; if one was requested before, its cause is kept.
    #[must_use]
    pub fn stop(mut self, cause: StopCause) -> Self {
        self.state.stop.get_or_insert(cause);
        self
    }

    /// Releases the leases so that the job can run again.
    pub fn requeue(self) -> Lifecycle<Queued> {
        Lifecycle::new()
    }

    /// Ends the job with its final answer.
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

    /// The attempt that was running when the job ended; `None` if none was.
    pub const fn last(&self) -> Option<&Attempt> {
        self.last.as_ref()
    }
}

/// The state of a job that has no final answer yet, in a form that can be stored.
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
    /// The attempt that holds leases; `None` for a queued job.
    pub const fn attempt(&self) -> Option<&Attempt> {
        match self {
            Self::Placed(lifecycle) => Some(lifecycle.state().attempt()),
            Self::Running(lifecycle) => Some(lifecycle.state().attempt()),
            Self::Queued(_) => None,
        }
    }

    /// Turns claims of a guaranteed part into borrowed capacity, because the part moved to another
    /// upstream.
    pub fn clear_mark(&mut self, mark: &MarkId) {
        let attempt = match self {
            Self::Placed(lifecycle) => &mut lifecycle.state.attempt,
            Self::Running(lifecycle) => &mut lifecycle.state.attempt,
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

    /// The name of the state, as shown to operators.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Queued(_) => "queued",
            Self::Placed(_) => "placed",
            Self::Running(_) => "running",
        }
    }
}
