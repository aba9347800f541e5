//! The replica: its state, queries, commands and the dispatch of messages.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use hg_model::{Term, Time};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::leader_state::LeaderState;
use crate::log::Log;
use crate::{
    Body, Configuration, HardState, Index, Message, Output, Payload, ReplicaId, Restored, Snapshot,
    Timing, Write,
};

/// A proposal to a replica that is not a leader with a valid lease.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("not the leader")]
pub struct NotLeader {
    /// The current leader, if known.
    #[error(not(source))]
    pub leader: Option<ReplicaId>,
}

/// A rejected membership change.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChangeError {
    /// The replica is not a leader with a valid lease.
    #[display("not the leader")]
    NotLeader,
    /// An earlier membership change is not committed yet.
    #[display("an earlier change is under way")]
    InProgress,
    /// The change adds or removes more than one voter, or leaves none.
    #[display("only one voter may change at a time")]
    MultipleVoters,
}

/// A replica's state, for status pages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The replica's id.
    pub id: ReplicaId,
    /// The current term.
    pub term: Term,
    /// The leader of the current term, if known.
    pub leader: Option<ReplicaId>,
    /// The index of the last log entry.
    pub last: Index,
    /// The commit index.
    pub commit: Index,
    /// The number of log entries after the latest snapshot.
    pub log_entries: usize,
    /// The newest configuration in the log, committed or not.
    pub configuration: Configuration,
}

#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(LeaderState),
}

/// A replica of the log.
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
    pub(crate) last_leader_contact: Time,
    pub(crate) election_deadline: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) out: Output,
}

/// Queries.
impl Replica {
    /// The replica's id.
    pub const fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// The current term.
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether the replica is the leader of its term, with or without a valid lease.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether the replica may make decisions at `now`.
    ///
    /// It must be the leader, have applied all entries committed in earlier terms, and hold the
    /// lease, so that no other replica can lead.
    pub fn can_propose(&self, now: Time) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        self.applied >= leader.noop_index
            && leader.has_lease(&self.id, self.log.configuration(), &self.timing, now)
    }

    /// Whether the replica should ask the leader to become a member of the group.
    ///
    /// Its configuration may come from entries that were never committed, so a replica that knows
    /// of no leader asks too, even if it sees itself as a voter. The leader ignores requests of
    /// members.
    pub fn needs_membership(&self) -> bool {
        !self.is_voter() || self.leader.is_none()
    }

    /// The leader of the current term, if known.
    pub const fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// The address of a member or of a replica that asked to join; `None` if unknown.
    pub fn address_of(&self, id: &ReplicaId) -> Option<SocketAddr> {
        if let Some(peer) = self.log.configuration().peers.get(id) {
            return Some(peer.address);
        }
        match &self.role {
            Role::Leader(leader) => leader.joiners.get(id).copied(),
            _ => None,
        }
    }

    /// The number of log entries after the latest snapshot.
    pub const fn log_entries(&self) -> usize {
        self.log.len()
    }

    /// The index of the last entry passed to the state machine.
    pub const fn applied(&self) -> Index {
        self.applied
    }

    /// The replica's state, for status pages.
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
    /// Starts a replica from the state restored from its disk.
    ///
    /// `seed` and the replica's id determine its random election timeouts.
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
            // The replica may have acknowledged a leader's lease just before it stopped, so it
            // waits as if it had received a message of the leader now.
            last_leader_contact: now,
            election_deadline: now,
            rng,
            out: Output::default(),
        };
        if applied > Index(0) {
            replica.out.installed_snapshot = Some(replica.log.snapshot().clone());
        }
        replica.reset_election_timer(now);
        replica
    }

    /// Takes the output accumulated since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Handles timeouts that are due at `now`.
    pub fn tick(&mut self, now: Time) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.reset_election_timer(now);
            if self.is_voter() {
                self.start_pre_vote(now);
            }
        }
    }

    /// Appends a command to the log and returns its index.
    ///
    /// # Errors
    ///
    /// [`NotLeader`] if [`can_propose`](Self::can_propose) is false.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Result<Index, NotLeader> {
        if !self.can_propose(now) {
            return Err(NotLeader { leader: self.leader.clone() });
        }
        Ok(self.append(Payload::Command(command.into())))
    }

    /// Sends proposed entries to the followers. Call once after a batch of proposals.
    pub fn replicate(&mut self, now: Time) {
        for id in self.other_peers() {
            self.send_append(now, &id, false);
        }
        self.advance_commit();
    }

    /// Handles the request of a new replica to become a member.
    ///
    /// The leader removes the host's earlier incarnation, adds the new one as a learner, and makes
    /// it a voter once it has caught up. Each of these is a separate membership change.
    pub fn on_membership_request(&mut self, id: ReplicaId, address: SocketAddr) {
        const JOINERS_MAX: usize = 16;
        let known = self.log.configuration().peers.contains_key(&id);
        if let Role::Leader(leader) = &mut self.role
            && !known
            && leader.joiners.len() < JOINERS_MAX
        {
            leader.joiners.insert(id, address);
        }
    }

    /// Appends a new configuration and returns its index.
    ///
    /// # Errors
    ///
    /// [`ChangeError`] if this replica may not make decisions, an earlier change is not committed
    /// yet, or the new configuration adds or removes more than one voter or has none.
    pub fn change(&mut self, now: Time, next: Configuration) -> Result<Index, ChangeError> {
        if !self.can_propose(now) {
            return Err(ChangeError::NotLeader);
        }
        let (config_index, current) = self.log.configuration_at(self.log.last());
        if config_index > self.commit {
            return Err(ChangeError::InProgress);
        }
        if !current.changes_one_voter_at_most(&next) {
            return Err(ChangeError::MultipleVoters);
        }
        let index = self.append(Payload::Configuration(next));
        self.replicate(now);
        Ok(index)
    }

    /// Starts a leadership transfer: gives up the lease and asks the most up-to-date voter to start
    /// an election.
    pub fn transfer_leadership(&mut self, now: Time) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.transfer_started_at.get_or_insert(now);
        let configuration = self.log.configuration();
        let successor = leader
            .progress
            .iter()
            .filter(|(id, _)| configuration.is_voter(id))
            .max_by_key(|(_, p)| (p.match_index, p.acked_sent_at))
            .map(|(id, _)| id.clone());
        if let Some(successor) = successor {
            self.send_append(now, &successor, true);
            self.send(&successor, Body::TimeoutNow);
        }
    }

    /// Replaces the log up to `index` by a snapshot; `data` is the encoded state of the state
    /// machine at `index`.
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

    /// Handles a message from another replica.
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
            Body::Vote { last, last_term, leadership_transfer } => {
                self.on_vote(now, &from, term, last, last_term, leadership_transfer);
            }
            Body::VoteReply { granted } => self.on_vote_reply(now, from, term, granted),
            Body::Append { prev, prev_term, entries, commit, sent_at } => {
                let origin = MessageOrigin { from, term, sent_at };
                self.on_append(now, &origin, prev, prev_term, entries, commit);
            }
            Body::AppendReply { matched, index, sent_at } => {
                self.on_append_reply(now, &from, term, matched, index, sent_at);
            }
            Body::Install { snapshot, sent_at } => {
                self.on_install(now, &MessageOrigin { from, term, sent_at }, snapshot);
            }
            Body::TimeoutNow => self.on_timeout_now(now, &from, term),
        }
    }
}

/// A random number generator that depends on the replica's id as well as on the seed.
///
/// Otherwise two replicas with equal seeds would have equal election timeouts and could split every
/// vote.
fn rng_for(id: &ReplicaId, seed: u64) -> ChaCha8Rng {
    let host = id.host.as_str().bytes().map(u64::from);
    let mix =
        |seed: u64, part: u64| (seed.rotate_left(7) ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = host.chain([id.incarnation]).fold(seed, mix);
    ChaCha8Rng::seed_from_u64(mixed)
}

/// The sender of a leader's message, its term, and the leader's clock at sending.
pub(crate) struct MessageOrigin {
    pub(crate) from: ReplicaId,
    pub(crate) term: Term,
    pub(crate) sent_at: Time,
}
