//! The entries that send heartbeats to the leader, and the upstreams that each of them reports.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_model::{EntryName, Time, UpstreamName};

/// The leader's record of one entry.
#[derive(Debug)]
struct EntryRecord {
    last_heartbeat: Time,
    /// Whether the entry has sent a full report since it was added.
    reported_fully: bool,
    upstreams: BTreeSet<UpstreamName>,
}

/// All entries with a recent heartbeat.
#[derive(Debug, Default)]
pub(crate) struct EntryRegistry {
    entries: BTreeMap<EntryName, EntryRecord>,
    /// The entry at which each upstream is registered.
    assignments: BTreeMap<UpstreamName, EntryName>,
    /// When the first full report arrived.
    first_full_report: Option<Time>,
}

impl EntryRegistry {
    pub(crate) fn names(&self) -> impl Iterator<Item = &EntryName> {
        self.entries.keys()
    }

    /// Whether an entry has sent a heartbeat recently.
    pub(crate) fn is_responsive(&self, name: &EntryName) -> bool {
        self.entries.contains_key(name)
    }

    /// Picks a responsive entry by `key`: the same one for the same key while the set of entries is
    /// unchanged.
    pub(crate) fn pick(&self, key: u64) -> Option<&EntryName> {
        let count = u64::try_from(self.entries.len()).ok()?;
        let nth = usize::try_from(key.checked_rem(count)?).ok()?;
        self.entries.keys().nth(nth)
    }

    /// Whether there are entries and each of them has reported all its upstreams.
    pub(crate) fn all_reported(&self) -> bool {
        !self.entries.is_empty() && self.entries.values().all(|e| e.reported_fully)
    }

    /// When the first entry reported all its upstreams.
    pub(crate) const fn first_full_report(&self) -> Option<Time> {
        self.first_full_report
    }

    /// Records a heartbeat. Returns whether the entry still has to send a full report.
    pub(crate) fn record_heartbeat(&mut self, now: Time, name: &EntryName, full: bool) -> bool {
        let entry = self.entries.entry(name.clone()).or_insert_with(|| EntryRecord {
            last_heartbeat: now,
            reported_fully: false,
            upstreams: BTreeSet::new(),
        });
        entry.last_heartbeat = now;
        entry.reported_fully |= full;
        if full {
            self.first_full_report.get_or_insert(now);
        }
        !entry.reported_fully
    }

    /// Assigns an upstream to the entry at which it announced itself, and removes it from its previous
    /// entry, if any.
    pub(crate) fn assign_upstream(&mut self, entry: &EntryName, upstream: &UpstreamName) {
        let previous = self.assignments.insert(upstream.clone(), entry.clone());
        if let Some(previous) = previous.filter(|previous| previous != entry)
            && let Some(record) = self.entries.get_mut(&previous)
        {
            record.upstreams.remove(upstream);
        }
        if let Some(record) = self.entries.get_mut(entry) {
            record.upstreams.insert(upstream.clone());
        }
    }

    /// Removes an upstream from an entry that no longer receives its heartbeats. Returns whether it was assigned to
    /// that entry, so that no entry receives its heartbeats any more.
    pub(crate) fn unassign_upstream(&mut self, entry: &EntryName, upstream: &UpstreamName) -> bool {
        if self.assignments.get(upstream) != Some(entry) {
            return false;
        }
        self.assignments.remove(upstream);
        if let Some(record) = self.entries.get_mut(entry) {
            record.upstreams.remove(upstream);
        }
        true
    }

    /// Upstreams that are assigned to an entry but missing from its full report.
    pub(crate) fn unreported(
        &self,
        entry: &EntryName,
        reported: &BTreeSet<&UpstreamName>,
    ) -> Vec<UpstreamName> {
        let assigned = self.entries.get(entry).map(|record| &record.upstreams);
        assigned.into_iter().flatten().filter(|name| !reported.contains(name)).cloned().collect()
    }

    /// Removes entries without a heartbeat for `timeout`. Returns them with their upstreams.
    pub(crate) fn expire(
        &mut self,
        now: Time,
        timeout: Duration,
    ) -> Vec<(EntryName, BTreeSet<UpstreamName>)> {
        let expired: Vec<EntryName> = self
            .entries
            .iter()
            .filter(|(_, record)| now >= record.last_heartbeat.after(timeout))
            .map(|(name, _)| name.clone())
            .collect();
        let mut removed = Vec::new();
        for name in expired {
            let Some(record) = self.entries.remove(&name) else { continue };
            self.assignments.retain(|_, entry| *entry != name);
            removed.push((name, record.upstreams));
        }
        removed
    }

    /// Removes all entries; a new leader starts without any.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
