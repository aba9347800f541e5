//! Who takes part.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Display;
use hg_model::HostName;
use serde::{Deserialize, Serialize};

/// A replica: a host together with the life of its disk.
///
/// A host that comes back without its disk has a new incarnation, so it can never vote under the
/// name of the replica whose promises it forgot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{host}#{incarnation:x}")]
pub struct ReplicaId {
    /// The host.
    pub host: HostName,
    /// Drawn at random when the disk was first written.
    pub incarnation: u64,
}

/// How to reach a replica, and whether it counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where it listens for the other replicas.
    pub address: SocketAddr,
    /// Whether it votes and counts for a quorum.
    pub voter: bool,
}

/// The replicas that take part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Voters and those that are catching up.
    pub peers: BTreeMap<ReplicaId, Peer>,
}

impl Configuration {
    /// Whether `id` votes.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.peers.get(id).is_some_and(|peer| peer.voter)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaId> {
        self.peers.iter().filter(|(_, peer)| peer.voter).map(|(id, _)| id)
    }

    /// How many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Another incarnation of the same host, if one takes part.
    pub fn other_incarnation(&self, id: &ReplicaId) -> Option<&ReplicaId> {
        self.peers.keys().find(|other| other.host == id.host && *other != id)
    }

    /// Whether `next` differs by at most one voter, so that old and new quorums overlap.
    pub fn is_one_step_to(&self, next: &Self) -> bool {
        let lost = self.voters().filter(|id| !next.is_voter(id)).count();
        let gained = next.voters().filter(|id| !self.is_voter(id)).count();
        lost + gained <= 1 && next.voters().count() > 0
    }
}
