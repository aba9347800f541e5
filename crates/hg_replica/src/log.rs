//! The log in memory: a snapshot and the entries after it.

use hg_model::Term;

use crate::{Configuration, Entry, Index, Payload, Snapshot};

/// The tail of the log after a snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Where configurations stand among `entries`, so that nobody has to scan for them.
    changes: Vec<Index>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let changes = entries.iter().filter(|e| e.is_change()).map(|e| e.index).collect();
        Self { snapshot, entries, changes }
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

    /// The term at a position; `None` if it was compacted away or lies ahead.
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

    /// Entries from `first` on, up to about `bytes`, at least one.
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

    /// Entries after `from` up to and with `to`.
    pub(crate) fn between(&self, from: Index, to: Index) -> &[Entry] {
        let first = self.offset(from.next()).unwrap_or(0).min(self.entries.len());
        let end = self.offset(to).map_or(0, |o| o + 1).min(self.entries.len());
        self.entries.get(first..end).unwrap_or(&[])
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().next(), "entries follow without gaps");
        if entry.is_change() {
            self.changes.push(entry.index);
        }
        self.entries.push(entry);
    }

    /// Cuts off everything from `index` on.
    pub(crate) fn truncate_from(&mut self, index: Index) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
            self.changes.retain(|at| *at < index);
        }
    }

    /// The newest configuration, committed or not.
    pub(crate) fn configuration(&self) -> &Configuration {
        self.configuration_at(self.last()).1
    }

    /// The newest configuration at or before a position, and where it stands.
    pub(crate) fn configuration_at(&self, index: Index) -> (Index, &Configuration) {
        let at = self.changes.iter().rev().find(|at| **at <= index);
        match at.and_then(|at| self.get(*at)) {
            Some(Entry { index, payload: Payload::Configuration(configuration), .. }) => {
                (*index, configuration)
            }
            _ => (self.snapshot.index, &self.snapshot.configuration),
        }
    }

    /// Puts a snapshot in place of the entries up to its position.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let keep = self.term_at(snapshot.index) == Some(snapshot.term);
        if keep {
            let covered = self.offset(snapshot.index).map_or(0, |o| o + 1);
            self.entries.drain(..covered.min(self.entries.len()));
        } else {
            self.entries.clear();
            self.changes.clear();
        }
        self.changes.retain(|at| *at > snapshot.index);
        self.snapshot = snapshot;
    }
}
