//! Messages between replicas.

use hg_model::{Term, Time};
use serde::{Deserialize, Serialize};

use crate::{Entry, Index, ReplicaId, Snapshot};

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The recipient; a replica with another id, such as a later incarnation of the host, drops the
    /// message.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the recipient would vote for the sender in an election; changes no term or
    /// vote.
    PreVote {
        /// The candidate's last log index.
        last: Index,
        /// The term of the entry at `last`.
        last_term: Term,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote in the message's term (Raft's RequestVote).
    Vote {
        /// The candidate's last log index.
        last: Index,
        /// The term of the entry at `last`.
        last_term: Term,
        /// Whether the old leader transferred its leadership, so that its lease no longer counts.
        #[serde(rename = "handover")]
        leadership_transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries to append (Raft's AppendEntries); also serves as the leader's heartbeat.
    Append {
        /// The index before the first entry.
        prev: Index,
        /// The term of the entry at `prev`.
        prev_term: Term,
        /// Contiguous entries that follow `prev`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's clock at sending, echoed by the reply.
        sent_at: Time,
    },
    /// Answers [`Body::Append`] and [`Body::Install`].
    AppendReply {
        /// Whether the follower's log matched at `prev`.
        matched: bool,
        /// On a match, the last index at which the follower's log equals the leader's; otherwise
        /// the index to try as `prev` next.
        index: Index,
        /// The leader's clock at sending, echoed from the request.
        sent_at: Time,
    },
    /// A snapshot, for a follower that needs entries which the leader has compacted away.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's clock at sending, echoed by the reply.
        sent_at: Time,
    },
    /// Sent by a leader that transfers its leadership: start an election now.
    #[serde(rename = "Handover")]
    TimeoutNow,
}
