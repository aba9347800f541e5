//! The replica: one step at a time.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use hg_model::{Term, Time};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::leader::Leader;
use crate::log::Log;
use crate::{
    Body, Configuration, HardState, Index, Message, Output, Payload, ReplicaId, Restored, Snapshot,
    Timing, Write,
};

/// Proposed to a replica that may not decide.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("not the leader")]
pub struct NotLeader {
    /// Who leads, if known.
    #[error(not(source))]
    pub leader: Option<ReplicaId>,
}

/// A change of the configuration that cannot be made now.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChangeError {
    /// Only the leader changes the configuration.
    #[display("not the leader")]
    NotLeader,
    /// An earlier change is not committed yet.
    #[display("an earlier change is under way")]
    Busy,
    /// More than one voter would change.
    #[display("only one voter may change at a time")]
    TooMuch,
}

/// A replica's present view, for status pages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its own id.
    pub id: ReplicaId,
    /// Its term.
    pub term: Term,
    /// Whom it takes for the leader.
    pub leader: Option<ReplicaId>,
    /// The end of its log.
    pub last: Index,
    /// How far the log is committed.
    pub commit: Index,
    /// Entries kept since the last snapshot.
    pub log_entries: usize,
    /// Who takes part.
    pub configuration: Configuration,
}

#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Leader),
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) timing: Timing,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) leader_heard: Time,
    pub(crate) election_at: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) out: Output,
}

/// Queries.
impl Replica {
    /// Its own id.
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Its term.
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether it leads, with or without a valid lease.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it leads, knows everything committed before, and nobody else can lead at `now`.
    pub fn can_propose(&self, now: Time) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        self.applied >= leader.noop
            && leader.has_lease(&self.id, self.log.configuration(), &self.timing, now)
    }

    /// Whether it should ask for a place in the group.
    ///
    /// What it believes of its place may stand in entries that were never committed, so a replica that
    /// hears no leader asks too; whoever leads passes over those that it knows.
    pub fn needs_membership(&self) -> bool {
        !self.is_voter() || self.leader.is_none()
    }

    /// Whom it takes for the leader.
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Where a peer listens.
    pub fn address_of(&self, id: &ReplicaId) -> Option<SocketAddr> {
        if let Some(peer) = self.log.configuration().peers.get(id) {
            return Some(peer.address);
        }
        match &self.role {
            Role::Leader(leader) => leader.joiners.get(id).copied(),
            _ => None,
        }
    }

    /// How many entries stand in the log since the last snapshot.
    pub const fn log_entries(&self) -> usize {
        self.log.len()
    }

    /// The last position handed to the state machine.
    pub const fn applied(&self) -> Index {
        self.applied
    }

    /// Its present view.
    pub fn status(&self) -> Status {
        Status {
            id: self.id.clone(),
            term: self.hard.term,
            leader: self.leader.clone(),
            last: self.log.last(),
            commit: self.commit,
            log_entries: self.log.len(),
            configuration: self.log.configuration().clone(),
        }
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.configuration().is_voter(&self.id)
    }
}

/// Commands.
impl Replica {
    /// Starts from what the disk held.
    pub fn new(restored: Restored, timing: Timing, now: Time, seed: u64) -> Self {
        let Restored { id, hard, snapshot, entries } = restored;
        let applied = snapshot.index;
        let rng = rng_for(&id, seed);
        let mut replica = Self {
            id,
            timing,
            hard,
            log: Log::new(snapshot, entries),
            commit: applied,
            applied,
            role: Role::Follower,
            leader: None,
            // It may have heard a leader just before it went down, so it keeps still as if it had.
            leader_heard: now,
            election_at: now,
            rng,
            out: Output::default(),
        };
        if applied > Index(0) {
            replica.out.installed = Some(replica.log.snapshot().clone());
        }
        replica.put_off_election(now);
        replica
    }

    /// Takes what has been asked for since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.put_off_election(now);
            if self.is_voter() {
                self.start_pre_vote(now);
            }
        }
    }

    /// Appends a command, if this replica may decide.
    ///
    /// # Errors
    ///
    /// [`NotLeader`] if it does not lead or its lease has run out.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Result<Index, NotLeader> {
        if !self.can_propose(now) {
            return Err(NotLeader { leader: self.leader.clone() });
        }
        Ok(self.append(Payload::Command(command.into())))
    }

    /// Sends what was proposed to the followers; call once after a batch of proposals.
    pub fn replicate(&mut self, now: Time) {
        for id in self.other_peers() {
            self.send_append(now, &id, false);
        }
        self.advance_commit();
    }

    /// Asks for a place: a replica without history wants to take part.
    ///
    /// The leader drops the host's earlier incarnation, lets the new one catch up without a vote, and
    /// gives it a vote once it has. Each step is a change of its own.
    pub fn join(&mut self, id: ReplicaId, address: SocketAddr) {
        const JOINERS_MAX: usize = 16;
        let known = self.log.configuration().peers.contains_key(&id);
        if let Role::Leader(leader) = &mut self.role
            && !known
            && leader.joiners.len() < JOINERS_MAX
        {
            leader.joiners.insert(id, address);
        }
    }

    /// Replaces the configuration by one that differs by one voter at most.
    ///
    /// # Errors
    ///
    /// [`ChangeError`] if this is not the leader, a change is under way, or the step is too large.
    pub fn change(&mut self, now: Time, next: Configuration) -> Result<Index, ChangeError> {
        if !self.can_propose(now) {
            return Err(ChangeError::NotLeader);
        }
        let (stands_at, current) = self.log.configuration_at(self.log.last());
        if stands_at > self.commit {
            return Err(ChangeError::Busy);
        }
        if !current.is_one_step_to(&next) {
            return Err(ChangeError::TooMuch);
        }
        let index = self.append(Payload::Configuration(next));
        self.replicate(now);
        Ok(index)
    }

    /// Stops deciding and asks the follower that is furthest to take over.
    pub fn hand_over(&mut self, now: Time) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.handed_over.get_or_insert(now);
        let configuration = self.log.configuration();
        let heir = leader
            .progress
            .iter()
            .filter(|(id, _)| configuration.is_voter(id))
            .max_by_key(|(_, p)| (p.matched, p.heard))
            .map(|(id, _)| id.clone());
        if let Some(heir) = heir {
            self.send_append(now, &heir, true);
            self.send(&heir, Body::Handover);
        }
    }

    /// Puts the state machine's state at `index` in place of the log up to there.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else { return };
        if index > self.applied || index <= self.log.snapshot().index {
            return;
        }
        let configuration = self.log.configuration_at(index).1.clone();
        let snapshot = Snapshot { index, term, configuration, data: data.into() };
        self.log.compact(snapshot.clone());
        self.out.writes.push(Write::Snapshot(snapshot));
    }

    /// Takes in a message.
    pub fn step(&mut self, now: Time, message: Message) {
        if message.to != self.id {
            return;
        }
        if message.term > self.hard.term && !self.may_raise_term(now, &message) {
            return;
        }
        if message.term > self.hard.term && !matches!(message.body, Body::PreVote { .. }) {
            self.become_follower(now, message.term);
        }
        let Message { from, term, body, .. } = message;
        match body {
            Body::PreVote { last, last_term } => {
                self.on_pre_vote(now, &from, term, last, last_term)
            }
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(now, from, term, granted),
            Body::Vote { last, last_term, handover } => {
                self.on_vote(now, &from, term, last, last_term, handover);
            }
            Body::VoteReply { granted } => self.on_vote_reply(now, from, term, granted),
            Body::Append { prev, prev_term, entries, commit, sent_at } => {
                let heard = Heard { from, term, sent_at };
                self.on_append(now, &heard, prev, prev_term, entries, commit);
            }
            Body::AppendReply { matched, index, sent_at } => {
                self.on_append_reply(now, &from, term, matched, index, sent_at);
            }
            Body::Install { snapshot, sent_at } => {
                self.on_install(now, &Heard { from, term, sent_at }, snapshot);
            }
            Body::Handover => self.on_handover(now, &from, term),
        }
    }
}

/// A generator of the replica's own, so that two with equal seeds do not split every vote for ever.
fn rng_for(id: &ReplicaId, seed: u64) -> ChaCha8Rng {
    let host = id.host.as_str().bytes().map(u64::from);
    let mix =
        |seed: u64, part: u64| (seed.rotate_left(7) ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = host.chain([id.incarnation]).fold(seed, mix);
    ChaCha8Rng::seed_from_u64(mixed)
}

/// Who a leader's message came from, and when it was sent.
pub(crate) struct Heard {
    pub(crate) from: ReplicaId,
    pub(crate) term: Term,
    pub(crate) sent_at: Time,
}
