//! The recent use of resources by each client account.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{AccountName, Catalog};
use serde::{Deserialize, Serialize};

/// An amount of resources multiplied by the time for which it was used, with decay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceTime {
    /// Accelerators times milliseconds.
    pub accelerator_ms: u64,
    /// Thousandths of a processor core times milliseconds.
    pub millicore_ms: u64,
    /// MiB of memory times milliseconds.
    pub memory_mib_ms: u64,
}

/// The decayed use of resources by account.
///
/// It holds amounts and no point in time, so that the clocks of different leaders cannot add to its decay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// The use by the accounts of the catalog; accounts without any are left out.
    pub accounts: BTreeMap<AccountName, ResourceTime>,
    /// The use by all other jobs together.
    pub open: ResourceTime,
}

/// Queries.
impl AccountUsage {
    /// Whether no use is recorded.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty() && self.open == ResourceTime::default()
    }
}

/// Commands.
impl AccountUsage {
    /// Drops the accounts that are not in the catalog, which bounds the size.
    pub(super) fn retain_accounts(&mut self, catalog: Option<&Catalog>) {
        let names = catalog.into_iter().flat_map(|catalog| &catalog.accounts);
        let names: BTreeSet<&AccountName> = names.map(|a| &a.name).collect();
        self.accounts.retain(|name, _| names.contains(name));
    }
}
