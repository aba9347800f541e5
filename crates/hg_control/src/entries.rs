//! The entries that a leader hears, and the upstreams that they hear.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_model::{EntryName, Time, UpstreamName};

/// What a leader knows of one entry.
#[derive(Debug)]
struct EntryState {
    heard: Time,
    reported_fully: bool,
    upstreams: BTreeSet<UpstreamName>,
}

/// All entries that were heard of late.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    entries: BTreeMap<EntryName, EntryState>,
    holders: BTreeMap<UpstreamName, EntryName>,
}

impl Entries {
    pub(crate) fn names(&self) -> impl Iterator<Item = &EntryName> {
        self.entries.keys()
    }

    pub(crate) fn is_alive(&self, name: &EntryName) -> bool {
        self.entries.contains_key(name)
    }

    /// Any live entry, the same one for the same key while the set stays the same.
    pub(crate) fn any(&self, key: u64) -> Option<&EntryName> {
        let count = u64::try_from(self.entries.len()).ok()?;
        let nth = usize::try_from(key.checked_rem(count)?).ok()?;
        self.entries.keys().nth(nth)
    }

    /// Whether every known entry has named all its upstreams.
    pub(crate) fn all_reported(&self) -> bool {
        !self.entries.is_empty() && self.entries.values().all(|e| e.reported_fully)
    }

    /// Notes a sign of life. Returns whether a full report is still missing.
    pub(crate) fn heard(&mut self, now: Time, name: &EntryName, full: bool) -> bool {
        let entry = self.entries.entry(name.clone()).or_insert_with(|| EntryState {
            heard: now,
            reported_fully: false,
            upstreams: BTreeSet::new(),
        });
        entry.heard = now;
        entry.reported_fully |= full;
        !entry.reported_fully
    }

    /// An upstream announced itself at an entry, perhaps coming from another one.
    pub(crate) fn take_upstream(&mut self, entry: &EntryName, upstream: &UpstreamName) {
        let before = self.holders.insert(upstream.clone(), entry.clone());
        if let Some(before) = before.filter(|before| before != entry)
            && let Some(state) = self.entries.get_mut(&before)
        {
            state.upstreams.remove(upstream);
        }
        if let Some(state) = self.entries.get_mut(entry) {
            state.upstreams.insert(upstream.clone());
        }
    }

    /// An entry no longer hears an upstream. Returns whether no other one does.
    pub(crate) fn drop_upstream(&mut self, entry: &EntryName, upstream: &UpstreamName) -> bool {
        if self.holders.get(upstream) != Some(entry) {
            return false;
        }
        self.holders.remove(upstream);
        if let Some(state) = self.entries.get_mut(entry) {
            state.upstreams.remove(upstream);
        }
        true
    }

    /// Upstreams that an entry named before but not in its full report.
    pub(crate) fn missing(
        &self,
        entry: &EntryName,
        named: &BTreeSet<&UpstreamName>,
    ) -> Vec<UpstreamName> {
        let known = self.entries.get(entry).map(|state| &state.upstreams);
        known.into_iter().flatten().filter(|name| !named.contains(name)).cloned().collect()
    }

    /// Forgets entries that were silent for too long. Returns them with the upstreams they heard.
    pub(crate) fn expire(
        &mut self,
        now: Time,
        silence: Duration,
    ) -> Vec<(EntryName, BTreeSet<UpstreamName>)> {
        let silent: Vec<EntryName> = self
            .entries
            .iter()
            .filter(|(_, state)| now >= state.heard.after(silence))
            .map(|(name, _)| name.clone())
            .collect();
        let mut gone = Vec::new();
        for name in silent {
            let Some(state) = self.entries.remove(&name) else { continue };
            self.holders.retain(|_, holder| *holder != name);
            gone.push((name, state.upstreams));
        }
        gone
    }

    /// Starts anew, as a new leader does.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.holders.clear();
    }
}
