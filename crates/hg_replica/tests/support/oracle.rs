//! The invariants of the agreement, checked after every step.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{Term, Time};
use hg_replica::{Entry, Index, Payload, ReplicaId};

/// Records applied and acknowledged commands, leaders and lost disks, and checks the invariants.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The entry at each index, as recorded by the first replica that applied it.
    applied: BTreeMap<Index, Entry>,
    /// Commands that were acknowledged to their proposer, with their indexes.
    acknowledged: BTreeMap<Vec<u8>, Index>,
    /// The leader of each term.
    leaders: BTreeMap<Term, ReplicaId>,
    /// Ids of replicas whose disk was lost; no replica may use them afterwards.
    lost_ids: BTreeSet<ReplicaId>,
}

impl Oracle {
    /// Records that a replica applied an entry; it must equal the entry that others applied at its
    /// index.
    pub fn record_applied(&mut self, by: &ReplicaId, entry: &Entry) {
        let first = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "{by} applied a different entry at index {}", entry.index);
    }

    /// Records that a command was acknowledged to its proposer.
    pub fn record_acknowledged(&mut self, command: &[u8], index: Index) {
        self.acknowledged.insert(command.to_vec(), index);
    }

    /// Checks that a replica which can propose at `now` is the only leader of its term, that no
    /// others can propose at the same time, and that its disk was not lost.
    pub fn check_sole_leader(
        &mut self,
        now: Time,
        leader: &ReplicaId,
        term: Term,
        others: &[ReplicaId],
    ) {
        let first = self.leaders.entry(term).or_insert_with(|| leader.clone());
        assert_eq!(first, leader, "two leaders in term {term}");
        assert!(others.is_empty(), "at {now}, {leader} and {others:?} can all propose");
        assert!(!self.lost_ids.contains(leader), "{leader} can propose although its disk was lost");
    }

    /// Records that a replica's disk was lost.
    pub fn record_disk_lost(&mut self, id: &ReplicaId) {
        self.lost_ids.insert(id.clone());
    }

    /// Checks that the sender of a message has not lost its disk.
    pub fn check_sender(&self, from: &ReplicaId) {
        assert!(!self.lost_ids.contains(from), "{from} sent a message although its disk was lost");
    }

    /// Checks that a replica's state machine holds exactly the commands applied up to index `last`.
    pub fn check_state(&self, by: &ReplicaId, last: Index, commands: &[Vec<u8>]) {
        let expected: Vec<&[u8]> = self
            .applied
            .range(..=last)
            .filter_map(|(_, entry)| match &entry.payload {
                Payload::Command(bytes) => Some(bytes.as_ref()),
                _ => None,
            })
            .collect();
        assert_eq!(
            commands.len(),
            expected.len(),
            "{by} has a different number of commands at index {last}"
        );
        let equal = commands.iter().zip(&expected).all(|(a, b)| a.as_slice() == *b);
        assert!(equal, "{by} has different commands at index {last}");
    }

    /// The number of terms with a leader, and the number of acknowledged commands.
    pub fn counts(&self) -> (usize, usize) {
        (self.leaders.len(), self.acknowledged.len())
    }

    /// Checks that each acknowledged command was applied at the index with which it was
    /// acknowledged.
    pub fn check_acknowledged(&self) {
        for (command, index) in &self.acknowledged {
            let entry = self.applied.get(index).expect("an acknowledged index was applied");
            let is_same =
                matches!(&entry.payload, Payload::Command(b) if b.as_ref() == command.as_slice());
            assert!(is_same, "the command acknowledged at {index} was changed");
        }
    }
}
