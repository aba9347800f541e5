//! What replicas tell each other.

use hg_model::{Term, Time};
use serde::{Deserialize, Serialize};

use crate::{Entry, Index, ReplicaId, Snapshot};

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The addressee; any other incarnation drops it.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me in the next term?
    PreVote {
        /// The candidate's last position.
        last: Index,
        /// That entry's term.
        last_term: Term,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Vote for me in this term.
    Vote {
        /// The candidate's last position.
        last: Index,
        /// That entry's term.
        last_term: Term,
        /// Whether the old leader has handed over, so that its lease no longer counts.
        handover: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries to append; also the leader's heartbeat.
    Append {
        /// The position before the first entry.
        prev: Index,
        /// That entry's term.
        prev_term: Term,
        /// The entries, without gaps.
        entries: Vec<Entry>,
        /// How far the leader knows the log to be committed.
        commit: Index,
        /// The leader's clock at sending, echoed by the reply.
        sent_at: Time,
    },
    /// Answers [`Body::Append`] and [`Body::Install`].
    AppendReply {
        /// Whether the log matched at `prev`.
        matched: bool,
        /// On a match the last position known to be equal, else where to try next.
        index: Index,
        /// The echo of the leader's clock.
        sent_at: Time,
    },
    /// A snapshot, for a follower that is too far behind.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's clock at sending, echoed by the reply.
        sent_at: Time,
    },
    /// The leader hands over: start an election now.
    Handover,
}
