//! Exit codes.

use std::process::ExitCode;

use derive_more::{Display, Error};

/// The exit codes, which are part of the program's interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded; for a job, it was answered.
    Success = 0,
    /// The command failed for a reason other than those below.
    Failure = 1,
    /// The input is invalid; nothing was changed.
    BadInput = 2,
    /// The job ran and failed.
    JobFailed = 3,
    /// The job was not run.
    JobNotRun = 4,
    /// The job's outcome is unknown: it may or may not have run.
    JobUnknown = 5,
    /// The job has no final answer yet.
    JobPending = 6,
    /// The write was rejected, as a concurrent write came first.
    Conflict = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// An error caused by invalid input.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub(crate) struct BadInput {
    /// What is wrong, where, and the allowed values.
    pub(crate) message: String,
}

/// The exit code for an error.
pub(crate) fn of_error(error: &eyre::Report) -> Exit {
    if error.downcast_ref::<BadInput>().is_some() { Exit::BadInput } else { Exit::Failure }
}
