//! The follower's side of the protocol: appending a leader's entries and installing its snapshots.

use hg_model::{Term, Time};

use crate::replica::{MessageOrigin, Replica, Role};
use crate::{Body, Entry, Index, Snapshot, Write};

impl Replica {
    /// Accepts the sender as leader unless its term is stale; returns whether it was accepted.
    ///
    /// A sender with a stale term gets a rejection that carries the current term.
    pub(crate) fn accept_leader(&mut self, now: Time, origin: &MessageOrigin) -> bool {
        if origin.term < self.hard.term {
            let body = Body::AppendReply {
                matched: false,
                index: self.log.last(),
                sent_at: origin.sent_at,
            };
            self.send(&origin.from, body);
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.become_follower(now, origin.term);
        }
        self.leader = Some(origin.from.clone());
        self.last_leader_contact = now;
        self.reset_election_timer(now);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        now: Time,
        origin: &MessageOrigin,
        prev: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        if !self.accept_leader(now, origin) {
            return;
        }
        // Entries covered by a snapshot are committed, so they match the log of any later leader.
        let covered = prev < self.log.snapshot().index;
        if !covered && self.log.term_at(prev) != Some(prev_term) {
            let index = self.log.last().min(Index(prev.0.saturating_sub(1)));
            let body = Body::AppendReply { matched: false, index, sent_at: origin.sent_at };
            self.send(&origin.from, body);
            return;
        }
        let matched = entries.last().map_or(prev, |e| e.index).max(self.log.snapshot().index);
        self.append_missing(entries);
        self.commit_to(commit.min(matched));
        let body = Body::AppendReply { matched: true, index: matched, sent_at: origin.sent_at };
        self.send(&origin.from, body);
    }

    /// Appends the entries that are missing from the log, after removing conflicting ones.
    pub(crate) fn append_missing(&mut self, entries: Vec<Entry>) {
        let snapshot_index = self.log.snapshot().index;
        let missing: Vec<Entry> = entries
            .into_iter()
            .skip_while(|e| e.index <= snapshot_index || self.log.term_at(e.index) == Some(e.term))
            .collect();
        let Some(first) = missing.first() else { return };
        self.log.truncate_from(first.index);
        for entry in &missing {
            self.log.push(entry.clone());
        }
        self.out.writes.push(Write::Append(missing));
    }

    pub(crate) fn on_install(&mut self, now: Time, origin: &MessageOrigin, snapshot: Snapshot) {
        if !self.accept_leader(now, origin) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit {
            self.log.compact(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.out.committed.clear();
            self.out.writes.push(Write::Snapshot(snapshot.clone()));
            self.out.installed_snapshot = Some(snapshot);
        }
        let body = Body::AppendReply { matched: true, index, sent_at: origin.sent_at };
        self.send(&origin.from, body);
    }
}
