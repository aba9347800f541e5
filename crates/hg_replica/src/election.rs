//! Elections: pre-vote, vote, leadership transfer.

use std::collections::BTreeSet;
use std::time::Duration;

use hg_model::{Term, Time};
use rand::RngExt as _;

use crate::leader_state::LeaderState;
use crate::replica::{Replica, Role};
use crate::{Body, HardState, Index, Message, Payload, ReplicaId, Write};

impl Replica {
    /// Draws a new election timeout, between `timing.election` and twice that.
    pub(crate) fn reset_election_timer(&mut self, now: Time) {
        let min = u64::try_from(self.timing.election.as_millis()).unwrap_or(u64::MAX);
        let wait = self.rng.random_range(min..=min.saturating_mul(2));
        self.election_deadline = now.after(Duration::from_millis(wait));
    }

    /// Whether a leader, possibly this replica, may still hold its lease.
    pub(crate) fn leader_may_hold_lease(&self, now: Time) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                leader.has_lease(&self.id, self.log.configuration(), &self.timing, now)
            }
            _ => now < self.last_leader_contact.after(self.timing.election),
        }
    }

    /// Whether a message with a higher term may raise this replica's term.
    ///
    /// A vote request must not depose a leader that may still hold its lease, unless that leader
    /// transferred its leadership.
    pub(crate) fn may_raise_term(&self, now: Time, message: &Message) -> bool {
        match message.body {
            Body::Vote { leadership_transfer, .. } => {
                leadership_transfer || !self.leader_may_hold_lease(now)
            }
            _ => true,
        }
    }

    pub(crate) fn become_follower(&mut self, now: Time, term: Term) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.out.writes.push(Write::Hard(self.hard.clone()));
            self.leader = None;
        }
        self.role = Role::Follower;
        self.reset_election_timer(now);
    }

    pub(crate) fn start_pre_vote(&mut self, now: Time) {
        self.leader = None;
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.id.clone()]) };
        let body = Body::PreVote { last: self.log.last(), last_term: self.log.last_term() };
        self.send_to_voters(&body);
        self.count_pre_votes(now);
    }

    pub(crate) fn start_election(&mut self, now: Time, leadership_transfer: bool) {
        self.hard = HardState { term: Term(self.hard.term.0 + 1), vote: Some(self.id.clone()) };
        self.out.writes.push(Write::Hard(self.hard.clone()));
        self.leader = None;
        self.role = Role::Candidate { granted: BTreeSet::from([self.id.clone()]) };
        self.reset_election_timer(now);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        self.send_to_voters(&Body::Vote { last, last_term, leadership_transfer });
        self.count_votes(now);
    }

    pub(crate) fn is_up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Time,
        from: &ReplicaId,
        term: Term,
        last: Index,
        last_term: Term,
    ) {
        let granted = term >= self.hard.term
            && !self.leader_may_hold_lease(now)
            && self.is_up_to_date(last, last_term);
        self.send(from, Body::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: Term,
        granted: bool,
    ) {
        if term > self.hard.term || !granted {
            return;
        }
        if let Role::PreCandidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_pre_votes(now);
        }
    }

    pub(crate) fn count_pre_votes(&mut self, now: Time) {
        let Role::PreCandidate { granted } = &self.role else { return };
        if self.has_quorum(granted) {
            self.start_election(now, false);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Time,
        from: &ReplicaId,
        term: Term,
        last: Index,
        last_term: Term,
        leadership_transfer: bool,
    ) {
        let vote_available = self.hard.vote.as_ref().is_none_or(|vote| vote == from);
        let lease_permits = leadership_transfer || !self.leader_may_hold_lease(now);
        let granted = term == self.hard.term
            && vote_available
            && lease_permits
            && self.is_up_to_date(last, last_term);
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from.clone());
            self.out.writes.push(Write::Hard(self.hard.clone()));
            self.reset_election_timer(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, now: Time, from: ReplicaId, term: Term, granted: bool) {
        if term != self.hard.term || !granted {
            return;
        }
        if let Role::Candidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_votes(now);
        }
    }

    pub(crate) fn count_votes(&mut self, now: Time) {
        let Role::Candidate { granted } = &self.role else { return };
        if self.has_quorum(granted) {
            self.become_leader(now);
        }
    }

    pub(crate) fn has_quorum(&self, granted: &BTreeSet<ReplicaId>) -> bool {
        let configuration = self.log.configuration();
        configuration.voters().filter(|id| granted.contains(id)).count() >= configuration.quorum()
    }

    pub(crate) fn become_leader(&mut self, now: Time) {
        let noop_index = self.log.last().next();
        self.role = Role::Leader(LeaderState::new(noop_index, now));
        self.leader = Some(self.id.clone());
        self.append(Payload::Noop);
        self.tick_leader(now);
        self.advance_commit();
    }

    pub(crate) fn on_timeout_now(&mut self, now: Time, from: &ReplicaId, term: Term) {
        let from_leader = self.leader.as_ref() == Some(from) && term == self.hard.term;
        if from_leader && self.is_voter() {
            self.start_election(now, true);
        }
    }
}
