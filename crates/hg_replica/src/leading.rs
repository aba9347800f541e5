//! Leading: replication, commit, and who takes part.

use hg_model::{Term, Time};

use crate::replica::{Replica, Role};
use crate::{Body, Entry, Index, Message, Payload, Peer, ReplicaId, Write};

/// A group of so few voters is not made smaller.
const VOTERS_LEAST: usize = 3;
/// More voters make each commit dearer and bear losses that are not promised.
const VOTERS_MAX: usize = 5;
/// A voter counts as gone after this many election times without an answer.
const SILENT_ELECTIONS: u32 = 4;

impl Replica {
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry { index: self.log.last().next(), term: self.hard.term, payload };
        let index = entry.index;
        self.log.push(entry.clone());
        match self.out.writes.last_mut() {
            Some(Write::Append(entries)) => entries.push(entry),
            _ => self.out.writes.push(Write::Append(vec![entry])),
        }
        index
    }

    pub(crate) fn tick_leader(&mut self, now: Time) {
        let Role::Leader(leader) = &mut self.role else { return };
        let heard = leader.quorum_heard(&self.id, self.log.configuration(), now);
        let limit = heard.unwrap_or(leader.since).after(self.timing.election);
        let heir_silent =
            leader.handed_over.is_some_and(|at| now >= at.after(self.timing.election));
        if now >= limit || heir_silent {
            // Nobody hears us, or the heir did not: stop, so that another can be elected.
            self.leader = None;
            self.role = Role::Follower;
            self.put_off_election(now);
            return;
        }
        if now < leader.next_heartbeat {
            return;
        }
        leader.next_heartbeat = now.after(self.timing.heartbeat);
        for id in self.other_peers() {
            self.send_append(now, &id, true);
        }
        self.settle_membership(now);
    }

    pub(crate) fn other_peers(&self) -> Vec<ReplicaId> {
        let peers = &self.log.configuration().peers;
        peers.keys().filter(|id| **id != self.id).cloned().collect()
    }

    pub(crate) fn send_append(&mut self, now: Time, to: &ReplicaId, heartbeat: bool) {
        let resend_after = self.timing.heartbeat * 3;
        let last = self.log.last();
        let Role::Leader(leader) = &mut self.role else { return };
        let progress = leader.progress_mut(to, last, now);
        if progress.next > progress.matched.next()
            && now.since(progress.sent_at) > resend_after
            && !progress.probing
        {
            // Something on the way was lost; go back to what is known.
            progress.next = progress.matched.next();
        }
        let prev = Index(progress.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev) else {
            self.send_snapshot(now, to, heartbeat);
            return;
        };
        let hold_back = progress.probing && !heartbeat;
        if hold_back || (progress.next > last && !heartbeat) {
            return;
        }
        let entries = if progress.probing {
            Vec::new()
        } else {
            self.log.batch(progress.next, self.timing.append_bytes)
        };
        if let Some(entry) = entries.last() {
            progress.next = entry.index.next();
            progress.sent_at = now;
        }
        let commit = self.commit;
        self.send(to, Body::Append { prev, prev_term, entries, commit, sent_at: now });
    }

    /// Sends a snapshot to a follower that needs one; while it waits for that, just heartbeats.
    pub(crate) fn send_snapshot(&mut self, now: Time, to: &ReplicaId, heartbeat: bool) {
        let (index, term) = (self.log.snapshot().index, self.log.snapshot().term);
        let retry_after = self.timing.election;
        let Role::Leader(leader) = &mut self.role else { return };
        let progress = leader.progress_mut(to, index, now);
        let waits = progress.snapshot_at.is_some_and(|at| now < at.after(retry_after));
        if !waits {
            progress.probing = true;
            progress.snapshot_at = Some(now);
            let snapshot = self.log.snapshot().clone();
            self.send(to, Body::Install { snapshot, sent_at: now });
        } else if heartbeat {
            let (entries, commit) = (Vec::new(), self.commit);
            let body = Body::Append { prev: index, prev_term: term, entries, commit, sent_at: now };
            self.send(to, body);
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        now: Time,
        from: &ReplicaId,
        term: Term,
        matched: bool,
        index: Index,
        sent_at: Time,
    ) {
        if term != self.hard.term {
            return;
        }
        let last = self.log.last();
        let Role::Leader(leader) = &mut self.role else { return };
        let progress = leader.progress_mut(from, last, now);
        progress.heard = progress.heard.max(Some(sent_at));
        let next_before = progress.next;
        if matched {
            progress.probing = false;
            progress.snapshot_at = None;
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched.next());
        } else if index < progress.next {
            progress.probing = true;
            progress.next = index.next().max(progress.matched.next());
        }
        let behind = progress.next <= last;
        // A refusal that says nothing new is not answered, or both would talk without end.
        let ask_again = progress.next < next_before;
        self.advance_commit();
        if behind || ask_again {
            self.send_append(now, from, ask_again);
        }
    }

    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let quorum = leader.quorum_matched(&self.id, self.log.configuration(), self.log.last());
        // Only an entry of our own term may be counted; it commits those before it.
        if self.log.term_at(quorum) == Some(self.hard.term) {
            self.commit_to(quorum);
        }
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        self.commit = index.min(self.log.last());
        self.out.committed.extend_from_slice(self.log.between(self.applied, self.commit));
        self.applied = self.commit;
        self.leave_if_removed();
    }

    /// A leader that was voted out stops once that is committed.
    pub(crate) fn leave_if_removed(&mut self) {
        let (stands_at, configuration) = self.log.configuration_at(self.log.last());
        if self.is_leader() && stands_at <= self.commit && !configuration.is_voter(&self.id) {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    /// Takes the next step towards letting joiners in and giving votes to those that caught up.
    pub(crate) fn settle_membership(&mut self, now: Time) {
        let configuration = self.log.configuration();
        let Role::Leader(leader) = &self.role else { return };
        let caught_up = configuration.peers.iter().find(|(id, peer)| {
            let matched = leader.progress.get(id).map(|p| p.matched);
            !peer.voter && matched.is_some_and(|m| m >= self.commit && m > Index(0))
        });
        // A silent voter gives way first, so that the group never has to bear two more losses at once.
        let replaced = caught_up.and_then(|_| self.silent_voter(now));
        let caught_up = caught_up.filter(|_| configuration.voters().count() < VOTERS_MAX);
        let joiner = leader.joiners.iter().find(|(id, _)| !configuration.peers.contains_key(id));
        let mut next = configuration.clone();
        if let Some(gone) = replaced {
            next.peers.remove(&gone);
        } else if let Some((id, _)) = caught_up {
            if let Some(peer) = next.peers.get_mut(id) {
                peer.voter = true;
            }
        } else if let Some((id, address)) = joiner {
            if let Some(old) = configuration.other_incarnation(id) {
                next.peers.remove(old);
            } else {
                next.peers.insert(id.clone(), Peer { address: *address, voter: false });
            }
        } else if let Some(gone) = self.superfluous_voter(now) {
            next.peers.remove(&gone);
        } else {
            return;
        }
        // A change under way is no fault; the next heartbeat tries again.
        if self.change(now, next).is_ok() {
            self.forget_settled_joiners();
        }
    }

    /// A silent voter whose removal lets the group bear as many losses as before.
    ///
    /// With an even number of voters, one fewer makes a smaller quorum. So a host that is gone for good
    /// gives way once its successor votes; one that comes back asks for a place again.
    fn superfluous_voter(&self, now: Time) -> Option<ReplicaId> {
        let count = self.log.configuration().voters().count();
        if !count.is_multiple_of(2) || count <= VOTERS_LEAST {
            return None;
        }
        self.silent_voter(now)
    }

    /// A voter that has not answered for long.
    fn silent_voter(&self, now: Time) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else { return None };
        let configuration = self.log.configuration();
        let silence = self.timing.election * SILENT_ELECTIONS;
        let is_silent = |id: &&ReplicaId| {
            let heard = leader.progress.get(id).and_then(|p| p.heard).unwrap_or(leader.since);
            **id != self.id && now >= heard.max(leader.since).after(silence)
        };
        configuration.voters().find(is_silent).cloned()
    }

    pub(crate) fn forget_settled_joiners(&mut self) {
        let peers = &self.log.configuration().peers;
        if let Role::Leader(leader) = &mut self.role {
            leader.joiners.retain(|id, _| !peers.contains_key(id));
        }
    }

    pub(crate) fn send(&mut self, to: &ReplicaId, body: Body) {
        let message = Message { from: self.id.clone(), to: to.clone(), term: self.hard.term, body };
        self.out.messages.push(message);
    }

    pub(crate) fn send_to_voters(&mut self, body: &Body) {
        let voters: Vec<ReplicaId> = self.log.configuration().voters().cloned().collect();
        for id in voters {
            if id != self.id {
                self.send(&id, body.clone());
            }
        }
    }
}
