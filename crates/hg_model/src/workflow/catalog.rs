//! The catalog: the queues, pools and client accounts that operators maintain.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::QueueSpec;
use crate::{AccountName, PoolName, QueueName};

/// A pool of similar upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Its name.
    pub name: PoolName,
    /// Whether its upstreams refuse tasks that exceed their capacity.
    #[serde(rename = "guards_capacity")]
    pub enforces_capacity: bool,
    /// Whether its hosts are switched off, so that they cost nothing.
    pub standby: bool,
    /// Most connections that each upstream accepts.
    pub connections_max: u32,
}

/// A client account.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Its name.
    pub name: AccountName,
    /// The API keys that its callers present.
    pub keys: Vec<Arc<str>>,
    /// Number of accelerators that its urgent jobs can claim at any time.
    pub guaranteed_accelerators: u32,
}

/// Shows only the number of keys, so that keys stay out of logs.
impl fmt::Debug for ClientAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientAccount")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("guaranteed_accelerators", &self.guaranteed_accelerators)
            .finish()
    }
}

/// One version of the configuration that operators maintain.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Increases with each change, by any amount; the highest version is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<QueueSpec>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The client accounts.
    pub accounts: Vec<ClientAccount>,
    /// The operator's original document, returned unchanged when the catalog is read.
    pub document: Arc<str>,
}

/// Why a catalog cannot be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CatalogFault {
    /// A queue names a pool that is not in the catalog.
    #[display("queue {queue} names pool {pool}, which is not in the catalog")]
    UnknownPool {
        /// The queue.
        queue: QueueName,
        /// The missing pool.
        pool: PoolName,
    },
    /// Two queues have the same host and prefix, so that calls to them cannot be distinguished.
    #[display("queues {first} and {second} have the same host and prefix")]
    DuplicateRoute {
        /// One of them.
        first: QueueName,
        /// The other.
        second: QueueName,
    },
    /// The timeout of a queue is zero, so that its callers could not wait for an answer.
    #[display("queue {queue} has a timeout of 0 ms")]
    ZeroTimeout {
        /// The queue.
        queue: QueueName,
    },
    /// Two client accounts have the same API key.
    #[display("client accounts {first} and {second} share a key")]
    SharedKey {
        /// One of them.
        first: AccountName,
        /// The other.
        second: AccountName,
    },
}

/// The queue that a call is addressed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route<'a> {
    /// The queue.
    pub queue: &'a QueueSpec,
    /// The part of the path after the queue's prefix.
    pub rest: &'a str,
}

/// Queries.
impl Catalog {
    /// Checks that the queues, pools and accounts are consistent with each other.
    ///
    /// # Errors
    ///
    /// The first [`CatalogFault`] found.
    pub fn check(&self) -> Result<(), CatalogFault> {
        let pools: BTreeSet<&PoolName> = self.pools.iter().map(|pool| &pool.name).collect();
        let mut routes = BTreeMap::new();
        for queue in &self.queues {
            let name = || queue.name.clone();
            if queue.timeout_ms == 0 {
                return Err(CatalogFault::ZeroTimeout { queue: name() });
            }
            if !pools.contains(&queue.pool) {
                let pool = queue.pool.clone();
                return Err(CatalogFault::UnknownPool { queue: name(), pool });
            }
            if let Some(first) = routes.insert((&queue.host, &queue.prefix), &queue.name) {
                return Err(CatalogFault::DuplicateRoute { first: first.clone(), second: name() });
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), CatalogFault> {
        let mut owners: BTreeMap<&Arc<str>, &AccountName> = BTreeMap::new();
        for account in &self.accounts {
            for key in &account.keys {
                let first = owners.insert(key, &account.name);
                if let Some(first) = first.filter(|first| **first != account.name) {
                    let (first, second) = (first.clone(), account.name.clone());
                    return Err(CatalogFault::SharedKey { first, second });
                }
            }
        }
        Ok(())
    }

    /// The queue of a virtual host with the longest prefix of a path; `None` if no prefix matches.
    pub fn route<'a>(&'a self, host: &str, path: &'a str) -> Option<Route<'a>> {
        let matching = self.queues.iter().filter(|queue| *queue.host == *host);
        let matching = matching.filter(|queue| path.starts_with(&*queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some(Route { queue, rest: &path[queue.prefix.len()..] })
    }

    /// The account that an API key belongs to.
    pub fn account_of(&self, key: &str) -> Option<&ClientAccount> {
        self.accounts.iter().find(|account| account.keys.iter().any(|own| **own == *key))
    }

    /// The pool of that name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.name == *name)
    }
}

/// Shows only the length of the document, which repeats the other fields and contains keys.
impl fmt::Debug for Catalog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Catalog")
            .field("version", &self.version)
            .field("queues", &self.queues.len())
            .field("pools", &self.pools.len())
            .field("accounts", &self.accounts)
            .field("document_bytes", &self.document.len())
            .finish()
    }
}
