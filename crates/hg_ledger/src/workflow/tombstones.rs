//! Tombstones of workflows that were cancelled before their submission arrived.

use std::collections::BTreeMap;

use hg_model::{AccountName, JobId, Time};
use serde::{Deserialize, Serialize};

/// Most tombstones of one client account.
pub const TOMBSTONES_PER_ACCOUNT_MAX: usize = 1_024;
/// Most tombstones of all client accounts.
pub const TOMBSTONES_MAX: usize = 16_384;

/// The ids that a client account cancelled while no workflow had them.
///
/// A submission can be held up on its way, and arrive after its caller has left and cancelled. A tombstone keeps it from being
/// accepted. It holds for submissions of this account only, so it affects no workflow of another one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstones {
    /// When each id was cancelled. `None` stands for callers without an account.
    by_account: BTreeMap<Option<AccountName>, BTreeMap<JobId, Time>>,
}

/// Queries.
impl Tombstones {
    /// When an account cancelled an id that no workflow had; `None` if it did not, or if that was forgotten.
    pub fn cancelled_at(&self, account: Option<&AccountName>, id: &JobId) -> Option<Time> {
        self.by_account.get(&account.cloned())?.get(id).copied()
    }

    /// The time of an account's oldest tombstone if the next one replaces it; `None` if there is room.
    pub fn next_evicted(&self, account: Option<&AccountName>) -> Option<Time> {
        let ids = self.by_account.get(&account.cloned())?;
        if ids.len() < TOMBSTONES_PER_ACCOUNT_MAX {
            return None;
        }
        ids.values().min().copied()
    }

    /// When the oldest of all was recorded.
    pub fn oldest(&self) -> Option<Time> {
        self.by_account.values().flat_map(BTreeMap::values).min().copied()
    }

    /// The number of tombstones.
    pub fn count(&self) -> usize {
        self.by_account.values().map(BTreeMap::len).sum()
    }
}

/// Commands.
impl Tombstones {
    /// Records that an account cancelled an id that no workflow has. Beyond the bound of the account its oldest tombstone is
    /// evicted; beyond the bound of all, the oldest one of the account that has most.
    pub(crate) fn record(&mut self, account: Option<AccountName>, id: JobId, at: Time) {
        let ids = self.by_account.entry(account).or_default();
        ids.entry(id).or_insert(at);
        if ids.len() > TOMBSTONES_PER_ACCOUNT_MAX {
            evict_oldest(ids);
        }
        if self.count() > TOMBSTONES_MAX
            && let Some(largest) = self.by_account.values_mut().max_by_key(|ids| ids.len())
        {
            evict_oldest(largest);
        }
    }

    /// Removes those that were recorded before a point in time.
    pub(crate) fn forget(&mut self, before: Time) {
        for ids in self.by_account.values_mut() {
            ids.retain(|_, at| *at >= before);
        }
        self.by_account.retain(|_, ids| !ids.is_empty());
    }
}

fn evict_oldest(ids: &mut BTreeMap<JobId, Time>) {
    let oldest = ids.iter().min_by_key(|(_, at)| **at).map(|(id, _)| id.clone());
    if let Some(oldest) = oldest {
        ids.remove(&oldest);
    }
}
