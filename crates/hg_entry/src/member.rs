//! How one member of an attempt ended, and what that makes of the whole.

use bytes::Bytes;
use hg_link::AttemptMember;
use hg_model::{AttemptResult, Digest, LeaseState, UpstreamName};

use crate::LeaseReply;

/// How one member ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEnd {
    /// It answered.
    Done {
        /// The answer.
        content: Bytes,
        /// Its SHA-256.
        sha256: Digest,
    },
    /// It reported a failure.
    Failed {
        /// What it said.
        reason: String,
    },
    /// It stopped on request after it had started.
    Stopped,
    /// It never started and never will.
    NeverStarted,
    /// It may have started and cannot be asked any more.
    Lost,
}

impl MemberEnd {
    /// What a reply about a lease says of its end; `None` while it has not ended.
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

    /// Whether the other members must be stopped because of it.
    pub const fn breaks_gang(&self) -> bool {
        !matches!(self, Self::Done { .. })
    }
}

/// What the ends of all members make of the attempt. The first member's answer is the job's.
///
/// # Panics
///
/// If there is no member; an attempt has at least one.
pub fn combine(members: &[AttemptMember], ends: &[MemberEnd]) -> AttemptResult {
    let first = |is: fn(&MemberEnd) -> bool| -> Option<(UpstreamName, &MemberEnd)> {
        let index = ends.iter().position(is)?;
        Some((members[index].upstream.clone(), &ends[index]))
    };
    if ends.iter().all(|end| *end == MemberEnd::NeverStarted) {
        return AttemptResult::NeverStarted { upstream: members[0].upstream.clone() };
    }
    if let Some((upstream, MemberEnd::Failed { reason })) =
        first(|end| matches!(end, MemberEnd::Failed { .. }))
    {
        return AttemptResult::Failed { upstream, reason: reason.clone() };
    }
    if let Some((upstream, _)) = first(|end| *end == MemberEnd::Lost) {
        return AttemptResult::Lost { upstream };
    }
    if let Some((upstream, _)) = first(|end| *end == MemberEnd::NeverStarted) {
        let reason = "a member of the gang did not start".to_owned();
        return AttemptResult::Failed { upstream, reason };
    }
    match &ends[0] {
        MemberEnd::Done { content, sha256 }
            if ends.iter().all(|end| matches!(end, MemberEnd::Done { .. })) =>
        {
            AttemptResult::Answered { length: content.len() as u64, sha256: *sha256 }
        }
        _ => AttemptResult::Stopped,
    }
}
