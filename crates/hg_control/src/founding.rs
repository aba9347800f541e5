//! Founding a new control group.
//!
//! An operator founds a group once, on empty disks. A host that lost its disk must never be founded
//! again: it would vote under its old identity without its old log.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use hg_ledger::Ledger;
use hg_link::{LinkEndpoint, Reply, Request};
use hg_model::{HostName, Term};
use hg_replica::{Configuration, Disk, Index, Peer, ReplicaId, Snapshot, Storage, StorageError};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::encode_ledger;

/// How long each of the other hosts may take to reply that a group exists.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// The incarnation of every founder.
const FOUNDING_INCARNATION: u64 = 1;

/// One host of the group to be founded, written as `host=address`.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{host}={address}")]
pub struct Founder {
    /// Its name.
    pub host: HostName,
    /// Its link address.
    pub address: SocketAddr,
}

impl FromStr for Founder {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (host, address) = text.split_once('=').ok_or("give host=address")?;
        let host = HostName::new(host).map_err(|e| e.to_string())?;
        let address = address.parse().map_err(|e| format!("{address}: {e}"))?;
        Ok(Self { host, address })
    }
}

/// Why a group cannot be founded.
#[derive(Debug, Display, Error)]
pub enum FoundingError {
    /// This host is not among the founders.
    #[display("host {host} is not among the founders")]
    NotAFounder {
        /// This host.
        host: HostName,
    },
    /// The data folder holds a log already.
    #[display("the data folder holds a log already")]
    NotEmpty,
    /// Another host already belongs to a group.
    #[display("{peer} already belongs to a group; start without --found to join it")]
    GroupExists {
        /// The link address of that host.
        peer: SocketAddr,
    },
    /// The disk failed.
    #[display("{source}")]
    Storage {
        /// The cause.
        source: StorageError,
    },
}

/// Writes the founding state to an empty disk.
///
/// # Errors
///
/// [`FoundingError`] if this host is not among the founders, the disk is not empty or fails, or another
/// founder already belongs to a group.
pub async fn found_group<D: Disk>(
    mut disk: D,
    host: &HostName,
    founders: &[Founder],
    endpoint: &LinkEndpoint,
) -> Result<(), FoundingError> {
    if !founders.iter().any(|founder| founder.host == *host) {
        return Err(FoundingError::NotAFounder { host: host.clone() });
    }
    let read = disk.read().map_err(|source| StorageError::Disk { step: "read", source });
    if read.map_err(|source| FoundingError::Storage { source })?.is_some() {
        return Err(FoundingError::NotEmpty);
    }
    let mut queries = JoinSet::new();
    for founder in founders.iter().filter(|founder| founder.host != *host) {
        queries.spawn(belongs_to_group(endpoint.clone(), founder.address));
    }
    while let Some(answer) = queries.join_next().await {
        if let Ok(Some(peer)) = answer {
            return Err(FoundingError::GroupExists { peer });
        }
    }
    let created = create_founder(disk, host, founders);
    created.map(drop).map_err(|source| FoundingError::Storage { source })
}

/// Writes the founding state, which is the same on every founder.
pub(crate) fn create_founder<D: Disk>(
    disk: D,
    host: &HostName,
    founders: &[Founder],
) -> Result<Storage<D>, StorageError> {
    let id = ReplicaId { host: host.clone(), incarnation: FOUNDING_INCARNATION };
    Storage::create(disk, id, founding_snapshot(founders))
}

fn founding_snapshot(founders: &[Founder]) -> Snapshot {
    let peer = |founder: &Founder| {
        let id = ReplicaId { host: founder.host.clone(), incarnation: FOUNDING_INCARNATION };
        (id, Peer { address: founder.address, voter: true })
    };
    Snapshot {
        index: Index(1),
        term: Term(1),
        configuration: Configuration { peers: founders.iter().map(peer).collect() },
        data: encode_ledger(&Ledger::new()).into(),
    }
}

/// Returns the peer's address if it replies that it belongs to a group.
async fn belongs_to_group(endpoint: LinkEndpoint, peer: SocketAddr) -> Option<SocketAddr> {
    let query = async {
        let link = endpoint.connect(peer).await?;
        link.request::<_, Reply>(&Request::Status, QUERY_TIMEOUT).await
    };
    let reply = timeout(QUERY_TIMEOUT, query).await;
    let has_group = matches!(reply, Ok(Ok(Reply::Status(_) | Reply::NotLeader { .. })));
    has_group.then_some(peer)
}
