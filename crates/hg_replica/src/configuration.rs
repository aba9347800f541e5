//! The members of the group: replica ids, addresses and votes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Display;
use hg_model::HostName;
use serde::{Deserialize, Serialize};

/// Identifies a replica: a host and the incarnation of its log on disk.
///
/// A host that comes back without its disk gets a new incarnation, so it can never vote under the
/// id of the replica whose votes and acknowledged entries it lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}#{incarnation:x}")]
pub struct ReplicaId {
    /// The host.
    pub host: HostName,
    /// A random number drawn when the log was created on disk.
    pub incarnation: u64,
}

/// A member's address and whether it has a vote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The address at which it listens for the other replicas.
    pub address: SocketAddr,
    /// Whether it is a voter, which counts towards a quorum, or a learner, which does not.
    pub voter: bool,
}

/// The members of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Voters and learners; a learner receives the log and gets a vote once it has caught up.
    pub peers: BTreeMap<ReplicaId, Peer>,
}

impl Configuration {
    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.voter)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaId> {
        self.peers.iter().filter(|(_, peer)| peer.voter).map(|(id, _)| id)
    }

    /// The number of voters that make a quorum: a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Another incarnation of the same host, if one is a member.
    pub fn other_incarnation(&self, id: &ReplicaId) -> Option<&ReplicaId> {
        self.peers.keys().find(|other| other.host == id.host && *other != id)
    }

    /// Whether `next` adds or removes at most one voter, so that old and new quorums overlap, and
    /// keeps at least one.
    pub fn changes_one_voter_at_most(&self, next: &Self) -> bool {
        let removed = self.voters().filter(|id| !next.is_voter(id)).count();
        let added = next.voters().filter(|id| !self.is_voter(id)).count();
        removed + added <= 1 && next.voters().count() > 0
    }
}
