//! What must hold of the agreement, checked after every step.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{Term, Time};
use hg_replica::{Entry, Index, Payload, ReplicaId};

/// Remembers what was promised and compares.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The one order: what was applied at each position, by whoever was first.
    applied: BTreeMap<Index, Entry>,
    /// Commands whose proposer was told that they are in.
    acknowledged: BTreeMap<Vec<u8>, Index>,
    /// Who has led in each term.
    leaders: BTreeMap<Term, ReplicaId>,
    /// Identities whose disk is gone; nobody may act under them any more.
    dead: BTreeSet<ReplicaId>,
}

impl Oracle {
    /// A replica applied an entry.
    pub fn applied(&mut self, by: &ReplicaId, entry: &Entry) {
        let first = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "{by} applied something else at {}", entry.index);
    }

    /// A command was acknowledged to its proposer.
    pub fn acknowledged(&mut self, command: &[u8], index: Index) {
        self.acknowledged.insert(command.to_vec(), index);
    }

    /// A replica may decide at this instant.
    pub fn decides(&mut self, now: Time, who: &ReplicaId, term: Term, others: &[ReplicaId]) {
        let first = self.leaders.entry(term).or_insert_with(|| who.clone());
        assert_eq!(first, who, "two leaders in term {term}");
        assert!(others.is_empty(), "at {now} {who} and {others:?} may both decide");
        assert!(!self.dead.contains(who), "{who} decides although its disk is gone");
    }

    /// An identity is gone with its disk.
    pub fn disk_lost(&mut self, id: &ReplicaId) {
        self.dead.insert(id.clone());
    }

    /// A replica sent something.
    pub fn sent(&self, from: &ReplicaId) {
        assert!(!self.dead.contains(from), "{from} speaks although its disk is gone");
    }

    /// The state machine of a replica as a whole: what it applied up to a position.
    pub fn state(&self, by: &ReplicaId, last: Index, commands: &[Vec<u8>]) {
        let expected: Vec<&[u8]> = self
            .applied
            .range(..=last)
            .filter_map(|(_, entry)| match &entry.payload {
                Payload::Command(bytes) => Some(bytes.as_ref()),
                _ => None,
            })
            .collect();
        assert_eq!(commands.len(), expected.len(), "{by} has another state at {last}");
        let same = commands.iter().zip(&expected).all(|(a, b)| a.as_slice() == *b);
        assert!(same, "{by} has another state at {last}");
    }

    /// How many terms had a leader, and how many commands were acknowledged.
    pub fn counts(&self) -> (usize, usize) {
        (self.leaders.len(), self.acknowledged.len())
    }

    /// Every acknowledged command is in the order, where it was said to be.
    pub fn nothing_lost(&self) {
        for (command, index) in &self.acknowledged {
            let entry = self.applied.get(index).expect("an acknowledged position was applied");
            let is_it =
                matches!(&entry.payload, Payload::Command(b) if b.as_ref() == command.as_slice());
            assert!(is_it, "the command acknowledged at {index} was changed");
        }
    }
}
