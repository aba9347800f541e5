//! Exit codes.

use std::process::ExitCode;

use derive_more::{Display, Error};

/// How the program ends; the codes are part of its interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It was done, or the job was answered.
    Good = 0,
    /// Something failed on the way.
    Trouble = 1,
    /// The input has mistakes; nothing was changed.
    BadInput = 2,
    /// The job ran and failed.
    JobFailed = 3,
    /// The job was not run.
    JobNotRun = 4,
    /// It is unknown whether the job ran.
    JobUnknown = 5,
    /// The job has no final answer yet.
    JobPending = 6,
    /// Someone else's write came first.
    Conflict = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// An input that has mistakes.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub(crate) struct BadInput {
    /// What is wrong, where, and what is allowed.
    pub(crate) message: String,
}

/// The exit code that an error calls for.
pub(crate) fn of_error(error: &eyre::Report) -> Exit {
    if error.downcast_ref::<BadInput>().is_some() { Exit::BadInput } else { Exit::Trouble }
}
