//! The leader's side of the protocol: replication, commit and membership changes.

use hg_model::{Term, Time};

use crate::replica::{Replica, Role};
use crate::{Body, Entry, Index, Message, Payload, Peer, ReplicaId, Write};

/// An unresponsive voter is not removed without replacement from a group of this size or smaller.
const VOTERS_MIN: usize = 3;
/// More voters would make each commit more expensive, to tolerate more failures than are promised.
const VOTERS_MAX: usize = 5;
/// A voter is unresponsive after this many minimum election timeouts without an acknowledgement.
const UNRESPONSIVE_ELECTION_TIMEOUTS: u32 = 4;

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
        let acked_at = leader.quorum_acked_at(&self.id, self.log.configuration(), now);
        let limit = acked_at.unwrap_or(leader.elected_at).after(self.timing.election);
        let transfer_timed_out =
            leader.transfer_started_at.is_some_and(|at| now >= at.after(self.timing.election));
        if now >= limit || transfer_timed_out {
            // No quorum acknowledges this leader (check quorum), or the leadership transfer timed
            // out: step down so that another leader can be elected.
            self.leader = None;
            self.role = Role::Follower;
            self.reset_election_timer(now);
            return;
        }
        if now < leader.next_heartbeat {
            return;
        }
        leader.next_heartbeat = now.after(self.timing.heartbeat);
        for id in self.other_peers() {
            self.send_append(now, &id, true);
        }
        self.advance_membership(now);
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
        if progress.next_index > progress.match_index.next()
            && now.since(progress.entries_sent_at) > resend_after
            && !progress.probing
        {
            // A message was lost: resend from the first entry not known to be replicated.
            progress.next_index = progress.match_index.next();
        }
        let prev = Index(progress.next_index.0 - 1);
        let Some(prev_term) = self.log.term_at(prev) else {
            self.send_snapshot(now, to, heartbeat);
            return;
        };
        let paused = progress.probing && !heartbeat;
        if paused || (progress.next_index > last && !heartbeat) {
            return;
        }
        let entries = if progress.probing {
            Vec::new()
        } else {
            self.log.batch(progress.next_index, self.timing.append_bytes)
        };
        if let Some(entry) = entries.last() {
            progress.next_index = entry.index.next();
            progress.entries_sent_at = now;
        }
        let commit = self.commit;
        self.send(to, Body::Append { prev, prev_term, entries, commit, sent_at: now });
    }

    /// Sends a snapshot to a follower that needs one; only heartbeats while one is unacknowledged.
    pub(crate) fn send_snapshot(&mut self, now: Time, to: &ReplicaId, heartbeat: bool) {
        let (index, term) = (self.log.snapshot().index, self.log.snapshot().term);
        let retry_after = self.timing.election;
        let Role::Leader(leader) = &mut self.role else { return };
        let progress = leader.progress_mut(to, index, now);
        let in_flight = progress.snapshot_sent_at.is_some_and(|at| now < at.after(retry_after));
        if !in_flight {
            progress.probing = true;
            progress.snapshot_sent_at = Some(now);
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
        progress.acked_sent_at = progress.acked_sent_at.max(Some(sent_at));
        let previous_next_index = progress.next_index;
        if matched {
            progress.probing = false;
            progress.snapshot_sent_at = None;
            progress.match_index = progress.match_index.max(index.min(last));
            progress.next_index = progress.next_index.max(progress.match_index.next());
        } else if index < progress.next_index {
            progress.probing = true;
            progress.next_index = index.next().max(progress.match_index.next());
        }
        let behind = progress.next_index <= last;
        // A rejection that does not move `next_index` back gets no reply, since the two replicas
        // would otherwise exchange messages without end.
        let must_probe = progress.next_index < previous_next_index;
        self.advance_commit();
        if behind || must_probe {
            self.send_append(now, from, must_probe);
        }
    }

    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let quorum = leader.quorum_match_index(&self.id, self.log.configuration(), self.log.last());
        // Only an entry of the leader's own term is committed by counting replicas; this also
        // commits all entries before it.
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
        self.step_down_if_removed();
    }

    /// Steps down as leader once a configuration in which this replica is no voter is committed.
    pub(crate) fn step_down_if_removed(&mut self) {
        let (config_index, configuration) = self.log.configuration_at(self.log.last());
        if self.is_leader() && config_index <= self.commit && !configuration.is_voter(&self.id) {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    /// Makes the next membership change, if any: removes an unresponsive voter or a joiner's earlier
    /// incarnation, makes a caught-up learner a voter, or adds a joiner as a learner.
    pub(crate) fn advance_membership(&mut self, now: Time) {
        let configuration = self.log.configuration();
        let Role::Leader(leader) = &self.role else { return };
        let caught_up = configuration.peers.iter().find(|(id, peer)| {
            let match_index = leader.progress.get(id).map(|p| p.match_index);
            !peer.voter && match_index.is_some_and(|m| m >= self.commit && m > Index(0))
        });
        // An unresponsive voter is removed before its replacement gets a vote, so that the group
        // never has to tolerate two additional failures at once.
        let unresponsive = caught_up.and_then(|_| self.unresponsive_voter(now));
        let caught_up = caught_up.filter(|_| configuration.voters().count() < VOTERS_MAX);
        let joiner = leader.joiners.iter().find(|(id, _)| !configuration.peers.contains_key(id));
        let mut next = configuration.clone();
        if let Some(removed) = unresponsive {
            next.peers.remove(&removed);
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
        } else if let Some(removed) = self.superfluous_voter(now) {
            next.peers.remove(&removed);
        } else {
            return;
        }
        // An earlier change that is not committed yet is no error; the next heartbeat tries again.
        if self.change(now, next).is_ok() {
            self.remove_admitted_joiners();
        }
    }

    /// An unresponsive voter whose removal leaves the group able to tolerate as many failures as
    /// before.
    ///
    /// With an even number of voters, removing one makes the quorum smaller. So a host that is
    /// permanently lost is removed once its replacement has a vote; a host that comes back asks to
    /// join again.
    fn superfluous_voter(&self, now: Time) -> Option<ReplicaId> {
        let count = self.log.configuration().voters().count();
        if !count.is_multiple_of(2) || count <= VOTERS_MIN {
            return None;
        }
        self.unresponsive_voter(now)
    }

    /// A voter that has not acknowledged a message for [`UNRESPONSIVE_ELECTION_TIMEOUTS`].
    fn unresponsive_voter(&self, now: Time) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else { return None };
        let configuration = self.log.configuration();
        let timeout = self.timing.election * UNRESPONSIVE_ELECTION_TIMEOUTS;
        let is_unresponsive = |id: &&ReplicaId| {
            let acked_at =
                leader.progress.get(id).and_then(|p| p.acked_sent_at).unwrap_or(leader.elected_at);
            **id != self.id && now >= acked_at.max(leader.elected_at).after(timeout)
        };
        configuration.voters().find(is_unresponsive).cloned()
    }

    pub(crate) fn remove_admitted_joiners(&mut self) {
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
