//! Founding a new control group.
//!
//! A group is founded once, by an operator, on empty disks. A host that comes back without its disk
//! must never be founded again: it would vote under its old name.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use hg_ledger::Ledger;
use hg_link::{LinkEndpoint, Reply, Request, encode};
use hg_model::{HostName, Term};
use hg_replica::{Configuration, Disk, Index, Peer, ReplicaId, Snapshot, Storage, StorageError};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How long each other host may take to say that a group exists.
const ASK_LIMIT: Duration = Duration::from_secs(1);
/// The incarnation of every founder.
const FOUNDING_INCARNATION: u64 = 1;

/// One host of the group to be founded, written as `host=address`.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{host}={address}")]
pub struct Founder {
    /// The host.
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

/// A group that cannot be founded.
#[derive(Debug, Display, Error)]
pub enum FoundError {
    /// This host is not among the founders.
    #[display("host {host} is not among the founders")]
    Stranger {
        /// This host.
        host: HostName,
    },
    /// The data folder holds a log already.
    #[display("the data folder holds a log already")]
    NotEmpty,
    /// Another host has a running group.
    #[display("{peer} already belongs to a group; start without --found to join it")]
    Exists {
        /// The host that said so.
        peer: SocketAddr,
    },
    /// The disk failed.
    #[display("{source}")]
    Storage {
        /// Why.
        source: StorageError,
    },
}

/// Writes the founding state to an empty disk.
///
/// # Errors
///
/// [`FoundError`] if the disk is not empty or another host already belongs to a group.
pub async fn found<D: Disk>(
    mut disk: D,
    host: &HostName,
    founders: &[Founder],
    endpoint: &LinkEndpoint,
) -> Result<(), FoundError> {
    if !founders.iter().any(|founder| founder.host == *host) {
        return Err(FoundError::Stranger { host: host.clone() });
    }
    let read = disk.read().map_err(|source| StorageError::Disk { step: "read", source });
    if read.map_err(|source| FoundError::Storage { source })?.is_some() {
        return Err(FoundError::NotEmpty);
    }
    let mut asked = JoinSet::new();
    for founder in founders.iter().filter(|founder| founder.host != *host) {
        asked.spawn(belongs_to_group(endpoint.clone(), founder.address));
    }
    while let Some(answer) = asked.join_next().await {
        if let Ok(Some(peer)) = answer {
            return Err(FoundError::Exists { peer });
        }
    }
    let created = create_founder(disk, host, founders);
    created.map(drop).map_err(|source| FoundError::Storage { source })
}

/// Writes the founding state; every founder writes the same one.
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
        data: encode(&Ledger::new()).into(),
    }
}

/// Whether a peer says that it has a group; returns it if so.
async fn belongs_to_group(endpoint: LinkEndpoint, peer: SocketAddr) -> Option<SocketAddr> {
    let asked = async {
        let link = endpoint.connect(peer).await?;
        link.request::<_, Reply>(&Request::Status, ASK_LIMIT).await
    };
    let reply = timeout(ASK_LIMIT, asked).await;
    let has_group = matches!(reply, Ok(Ok(Reply::Status(_) | Reply::NotLeader { .. })));
    has_group.then_some(peer)
}
