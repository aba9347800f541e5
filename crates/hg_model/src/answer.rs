//! Final answers to jobs, and results of single attempts.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Digest, UpstreamName};

/// Why a job was not run.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The account is not in the list of client accounts.
    #[display("the client account is unknown")]
    UnknownAccount,
    /// No upstream or rack of the pool can ever hold it.
    #[display("no upstream or rack can hold {_0}")]
    FitsNowhere(String),
    /// It is larger than its plan allows.
    #[display("the plan allows {_0}")]
    OverLimit(String),
    /// Too many jobs wait already.
    #[display("too many jobs wait")]
    Overload,
    /// It could not start before its deadline.
    #[display("it could not start before its deadline")]
    Deadline,
    /// The caller or an operator cancelled it before it started.
    #[display("it was cancelled before it started")]
    Cancelled,
    /// The entry that held its body was lost before it started.
    #[display("the entry holding its body was lost before it started")]
    BodyLost,
    /// No upstream accepted it in the allowed number of attempts.
    #[display("no upstream accepted it")]
    NoUpstreamAccepted,
}

/// The final answer to a job, without its body.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It ran, and its complete answer can be fetched.
    #[display("answered: {length} bytes")]
    Answered {
        /// Length of the answer in bytes.
        length: u64,
        /// SHA-256 of the answer.
        sha256: Digest,
    },
    /// It ran and reported a failure, or was stopped.
    #[display("failed: {reason}")]
    Failed {
        /// The reason that the upstream reported, or why it was stopped.
        reason: String,
    },
    /// It provably did not run.
    #[display("not run: {_0}")]
    NotRun(NotRunReason),
    /// It may have run, so its outcome is unknown; it is not retried.
    #[display("unknown: {reason}")]
    Unknown {
        /// What was lost, such as an upstream.
        reason: String,
    },
}

/// The four kinds of answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerKind {
    /// See [`Answer::Answered`].
    #[display("answered")]
    Answered,
    /// See [`Answer::Failed`].
    #[display("failed")]
    Failed,
    /// See [`Answer::NotRun`].
    #[display("not run")]
    NotRun,
    /// See [`Answer::Unknown`].
    #[display("unknown")]
    Unknown,
}

impl Answer {
    /// Which of the four kinds it is.
    pub const fn kind(&self) -> AnswerKind {
        match self {
            Self::Answered { .. } => AnswerKind::Answered,
            Self::Failed { .. } => AnswerKind::Failed,
            Self::NotRun(_) => AnswerKind::NotRun,
            Self::Unknown { .. } => AnswerKind::Unknown,
        }
    }
}

/// How one attempt to run a job ended, as observed by the entry that carried it out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The entry has the complete answer.
    #[display("answered")]
    Answered {
        /// Length of the answer in bytes.
        length: u64,
        /// SHA-256 of the answer.
        sha256: Digest,
    },
    /// A member ran and reported a failure.
    #[display("failed on {upstream}: {reason}")]
    Failed {
        /// The upstream that reported it.
        upstream: UpstreamName,
        /// The reason that it reported.
        reason: String,
    },
    /// No start was sent, or every member confirmed that it never started.
    #[display("never started: {upstream} refused")]
    NeverStarted {
        /// The upstream that refused or could not be reached.
        upstream: UpstreamName,
    },
    /// Every member confirmed that it stopped on request.
    #[display("stopped")]
    Stopped,
    /// A member that may have started cannot be queried any more, so its outcome is unknown.
    #[display("lost on {upstream}")]
    Lost {
        /// The upstream that was lost.
        upstream: UpstreamName,
    },
}
