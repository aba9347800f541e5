//! What becomes of a job.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Digest, UpstreamName};

/// Why a job was not run.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The account stands in no list.
    #[display("the client account is unknown")]
    UnknownAccount,
    /// No upstream or rack of the pool could ever hold it.
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
    /// The entry that held its body went away before it started.
    #[display("the entry holding its body was lost before it started")]
    BodyLost,
    /// No upstream accepted it in the allowed number of tries.
    #[display("no upstream accepted it")]
    NoUpstreamAccepted,
}

/// The final answer to a job, without the body of the answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It ran and its whole answer can be fetched.
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
        /// What the upstream said.
        reason: String,
    },
    /// It provably did not run.
    #[display("not run: {_0}")]
    NotRun(NotRunReason),
    /// It may have run; it will not be sent again.
    #[display("unknown: {reason}")]
    Unknown {
        /// What was lost.
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

/// How one attempt to run a job ended, as the entry that carried it saw.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The whole answer is at hand.
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
        /// What it said.
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
    /// A member that may have started cannot be asked any more.
    #[display("lost on {upstream}")]
    Lost {
        /// The upstream that is lost.
        upstream: UpstreamName,
    },
}
