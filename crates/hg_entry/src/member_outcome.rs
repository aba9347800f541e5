//! How one member of an attempt ended, and the attempt's result that follows from all members.

use bytes::Bytes;
use hg_link::AttemptMember;
use hg_model::{AttemptResult, Digest, LeaseState, UpstreamName};

use crate::LeaseReply;

/// How one member ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberOutcome {
    /// The member finished with an answer.
    Done {
        /// The content of the answer.
        content: Bytes,
        /// SHA-256 of the content.
        sha256: Digest,
    },
    /// The member reported a failure.
    Failed {
        /// The reason that the upstream gave.
        reason: String,
    },
    /// The member had started and was stopped on request.
    Stopped,
    /// The member never started and never will.
    NeverStarted,
    /// The member may have started, but its outcome cannot be learned any more.
    Lost,
}

impl MemberOutcome {
    /// The outcome that a reply about the member's lease gives; `None` while it has not ended.
    pub fn from_reply(reply: LeaseReply) -> Option<Self> {
        match reply.state {
            LeaseState::Unknown | LeaseState::Prepared | LeaseState::Running => None,
            LeaseState::Done => Some(Self::Done { content: reply.content, sha256: reply.sha256 }),
            LeaseState::Failed => {
                let reason = String::from_utf8_lossy(&reply.content).into_owned();
                Some(Self::Failed { reason })
            }
            LeaseState::Stopped => Some(Self::Stopped),
            LeaseState::Fenced => Some(Self::NeverStarted),
        }
    }

    /// Whether the other members of the gang must be stopped because of this outcome.
    pub const fn breaks_gang(&self) -> bool {
        !matches!(self, Self::Done { .. })
    }
}

/// The result of an attempt whose members ended as `outcomes` says, in the order of `members`.
///
/// If all members have answered, the first member's answer is the job's answer.
///
/// # Panics
///
/// If there is no member; an attempt has at least one.
pub fn attempt_result(members: &[AttemptMember], outcomes: &[MemberOutcome]) -> AttemptResult {
    let first = |matches: fn(&MemberOutcome) -> bool| -> Option<(UpstreamName, &MemberOutcome)> {
        let index = outcomes.iter().position(matches)?;
        Some((members[index].upstream.clone(), &outcomes[index]))
    };
    if outcomes.iter().all(|outcome| *outcome == MemberOutcome::NeverStarted) {
        return AttemptResult::NeverStarted { upstream: members[0].upstream.clone() };
    }
    if let Some((upstream, MemberOutcome::Failed { reason })) =
        first(|outcome| matches!(outcome, MemberOutcome::Failed { .. }))
    {
        return AttemptResult::Failed { upstream, reason: reason.clone() };
    }
    if let Some((upstream, _)) = first(|outcome| *outcome == MemberOutcome::Lost) {
        return AttemptResult::Lost { upstream };
    }
    if let Some((upstream, _)) = first(|outcome| *outcome == MemberOutcome::NeverStarted) {
        let reason = "a member of the gang did not start".to_owned();
        return AttemptResult::Failed { upstream, reason };
    }
    match &outcomes[0] {
        MemberOutcome::Done { content, sha256 }
            if outcomes.iter().all(|outcome| matches!(outcome, MemberOutcome::Done { .. })) =>
        {
            AttemptResult::Answered { length: content.len() as u64, sha256: *sha256 }
        }
        _ => AttemptResult::Stopped,
    }
}
