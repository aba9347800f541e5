//! The queues, pools and client accounts in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::QueueSpec;
use crate::{AccountName, PoolName, QueueName};

/// A pool of like upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Its name.
    pub name: PoolName,
    /// Whether its upstreams turn away what does not fit.
    #[serde(rename = "guards_capacity")]
    pub enforces_capacity: bool,
    /// Whether its hosts are switched off and cost nothing.
    pub standby: bool,
    /// Most connections that each upstream takes.
    pub connections_max: u32,
}

/// A client account.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Its name.
    pub name: AccountName,
    /// The keys that its callers present.
    pub keys: Vec<Arc<str>>,
    /// Accelerators that its urgent jobs can always claim.
    pub guaranteed_accelerators: u32,
}

/// Keys stay out of logs.
impl fmt::Debug for ClientAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientAccount")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("guaranteed_accelerators", &self.guaranteed_accelerators)
            .finish()
    }
}

/// One version of what operators maintain.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Rises with each change, in uneven steps; the highest is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<QueueSpec>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The client accounts.
    pub accounts: Vec<ClientAccount>,
    /// The operator's own text, handed back unchanged when it is read.
    pub document: Arc<str>,
}

/// Why a catalog cannot be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CatalogFault {
    /// A queue names a pool that is not there.
    #[display("queue {queue} names pool {pool}, which is not in the catalog")]
    UnknownPool {
        /// The queue.
        queue: QueueName,
        /// What it names.
        pool: PoolName,
    },
    /// Two queues cannot be told apart.
    #[display("queues {first} and {second} have the same host and prefix")]
    SamePlace {
        /// One of them.
        first: QueueName,
        /// The other.
        second: QueueName,
    },
    /// Callers of a queue could never wait for an answer.
    #[display("queue {queue} has a timeout of 0 ms")]
    NoTimeout {
        /// The queue.
        queue: QueueName,
    },
    /// A key would belong to two client accounts.
    #[display("client accounts {first} and {second} share a key")]
    SharedKey {
        /// One of them.
        first: AccountName,
        /// The other.
        second: AccountName,
    },
}

/// Where a call leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route<'a> {
    /// The queue.
    pub queue: &'a QueueSpec,
    /// What follows the queue's prefix in the path.
    pub rest: &'a str,
}

/// Queries.
impl Catalog {
    /// Checks the parts against each other.
    ///
    /// # Errors
    ///
    /// The first [`CatalogFault`].
    pub fn check(&self) -> Result<(), CatalogFault> {
        let pools: BTreeSet<&PoolName> = self.pools.iter().map(|pool| &pool.name).collect();
        let mut places = BTreeMap::new();
        for queue in &self.queues {
            let name = || queue.name.clone();
            if queue.timeout_ms == 0 {
                return Err(CatalogFault::NoTimeout { queue: name() });
            }
            if !pools.contains(&queue.pool) {
                let pool = queue.pool.clone();
                return Err(CatalogFault::UnknownPool { queue: name(), pool });
            }
            if let Some(first) = places.insert((&queue.host, &queue.prefix), &queue.name) {
                return Err(CatalogFault::SamePlace { first: first.clone(), second: name() });
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

    /// The queue with the longest prefix that a path begins with.
    pub fn route<'a>(&'a self, host: &str, path: &'a str) -> Option<Route<'a>> {
        let matching = self.queues.iter().filter(|queue| *queue.host == *host);
        let matching = matching.filter(|queue| path.starts_with(&*queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some(Route { queue, rest: &path[queue.prefix.len()..] })
    }

    /// The account that a key belongs to.
    pub fn account_of(&self, key: &str) -> Option<&ClientAccount> {
        self.accounts.iter().find(|account| account.keys.iter().any(|own| **own == *key))
    }

    /// A pool.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.name == *name)
    }
}

/// The document repeats the rest and has keys in it.
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
