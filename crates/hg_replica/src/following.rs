//! Following: taking in a leader's entries and snapshots.

use hg_model::{Term, Time};

use crate::replica::{Heard, Replica, Role};
use crate::{Body, Entry, Index, Snapshot, Write};

impl Replica {
    pub(crate) fn follow(&mut self, now: Time, heard: &Heard) -> bool {
        if heard.term < self.hard.term {
            let body = Body::AppendReply {
                matched: false,
                index: self.log.last(),
                sent_at: heard.sent_at,
            };
            self.send(&heard.from, body);
            return false;
        }
        if !matches!(self.role, Role::Follower) {
            self.become_follower(now, heard.term);
        }
        self.leader = Some(heard.from.clone());
        self.leader_heard = now;
        self.put_off_election(now);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        now: Time,
        heard: &Heard,
        prev: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        if !self.follow(now, heard) {
            return;
        }
        // What a snapshot covers is committed, so it matches whatever the leader says of it.
        let covered = prev < self.log.snapshot().index;
        if !covered && self.log.term_at(prev) != Some(prev_term) {
            let index = self.log.last().min(Index(prev.0.saturating_sub(1)));
            let body = Body::AppendReply { matched: false, index, sent_at: heard.sent_at };
            self.send(&heard.from, body);
            return;
        }
        let matched = entries.last().map_or(prev, |e| e.index).max(self.log.snapshot().index);
        self.append_missing(entries);
        self.commit_to(commit.min(matched));
        let body = Body::AppendReply { matched: true, index: matched, sent_at: heard.sent_at };
        self.send(&heard.from, body);
    }

    /// Appends the entries that are not there yet, cutting off those that differ.
    pub(crate) fn append_missing(&mut self, entries: Vec<Entry>) {
        let floor = self.log.snapshot().index;
        let fresh: Vec<Entry> = entries
            .into_iter()
            .skip_while(|e| e.index <= floor || self.log.term_at(e.index) == Some(e.term))
            .collect();
        let Some(first) = fresh.first() else { return };
        self.log.truncate_from(first.index);
        for entry in &fresh {
            self.log.push(entry.clone());
        }
        self.out.writes.push(Write::Append(fresh));
    }

    pub(crate) fn on_install(&mut self, now: Time, heard: &Heard, snapshot: Snapshot) {
        if !self.follow(now, heard) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit {
            self.log.compact(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.out.committed.clear();
            self.out.writes.push(Write::Snapshot(snapshot.clone()));
            self.out.installed = Some(snapshot);
        }
        let body = Body::AppendReply { matched: true, index, sent_at: heard.sent_at };
        self.send(&heard.from, body);
    }
}
