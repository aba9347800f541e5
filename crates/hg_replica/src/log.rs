//! The in-memory log: a snapshot and the entries after it.

use hg_model::Term;

use crate::{Configuration, Entry, Index, Payload, Snapshot};

/// The latest snapshot and the log entries after it.
#[derive(Debug, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Ascending indexes of the configuration entries in `entries`, so that a lookup need not scan
    /// them all.
    config_indexes: Vec<Index>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let config_indexes =
            entries.iter().filter(|e| e.is_configuration_change()).map(|e| e.index).collect();
        Self { snapshot, entries, config_indexes }
    }

    pub(crate) const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn last(&self) -> Index {
        self.entries.last().map_or(self.snapshot.index, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    pub(crate) const fn len(&self) -> usize {
        self.entries.len()
    }

    /// The term of the entry at `index`; `None` if the entry was compacted away or does not exist
    /// yet.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let distance = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        usize::try_from(distance).ok()
    }

    /// Entries from `first` on whose total size is at most `bytes`; at least one if there is any.
    pub(crate) fn batch(&self, first: Index, bytes: usize) -> Vec<Entry> {
        let Some(offset) = self.offset(first) else { return Vec::new() };
        let mut size = 0;
        self.entries
            .iter()
            .skip(offset)
            .take_while(|e| {
                let fits = size == 0 || size + e.size() <= bytes;
                size += e.size();
                fits
            })
            .cloned()
            .collect()
    }

    /// Entries after `from`, up to and including `to`.
    pub(crate) fn between(&self, from: Index, to: Index) -> &[Entry] {
        let first = self.offset(from.next()).unwrap_or(0).min(self.entries.len());
        let end = self.offset(to).map_or(0, |o| o + 1).min(self.entries.len());
        self.entries.get(first..end).unwrap_or(&[])
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().next(), "entries are contiguous");
        if entry.is_configuration_change() {
            self.config_indexes.push(entry.index);
        }
        self.entries.push(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: Index) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
            self.config_indexes.retain(|at| *at < index);
        }
    }

    /// The newest configuration, committed or not.
    pub(crate) fn configuration(&self) -> &Configuration {
        self.configuration_at(self.last()).1
    }

    /// The newest configuration at or before `index`, with the index of the entry or snapshot that
    /// holds it.
    pub(crate) fn configuration_at(&self, index: Index) -> (Index, &Configuration) {
        let at = self.config_indexes.iter().rev().find(|at| **at <= index);
        match at.and_then(|at| self.get(*at)) {
            Some(Entry { index, payload: Payload::Configuration(configuration), .. }) => {
                (*index, configuration)
            }
            _ => (self.snapshot.index, &self.snapshot.configuration),
        }
    }

    /// Replaces the entries that a snapshot covers by the snapshot.
    ///
    /// If the log has no entry with the snapshot's index and term, all entries are removed.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let keep = self.term_at(snapshot.index) == Some(snapshot.term);
        if keep {
            let covered = self.offset(snapshot.index).map_or(0, |o| o + 1);
            self.entries.drain(..covered.min(self.entries.len()));
        } else {
            self.entries.clear();
            self.config_indexes.clear();
        }
        self.config_indexes.retain(|at| *at > snapshot.index);
        self.snapshot = snapshot;
    }
}
