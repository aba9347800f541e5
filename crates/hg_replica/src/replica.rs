//! The replica: one step at a time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use hg_model::{Term, Time};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::leader::Leader;
use crate::log::Log;
use crate::{
    Body, Configuration, Entry, HardState, Index, Message, Output, Payload, Peer, ReplicaId,
    Restored, Snapshot, Timing, Write,
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
enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Leader),
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    timing: Timing,
    hard: HardState,
    log: Log,
    commit: Index,
    applied: Index,
    role: Role,
    leader: Option<ReplicaId>,
    leader_heard: Time,
    election_at: Time,
    rng: ChaCha8Rng,
    out: Output,
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
    pub fn may_decide(&self, now: Time) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        self.applied >= leader.noop
            && leader.has_lease(&self.id, self.log.configuration(), &self.timing, now)
    }

    /// Whether it should ask for a place in the group.
    ///
    /// What it believes of its place may stand in entries that were never committed, so a replica that
    /// hears no leader asks too; whoever leads passes over those that it knows.
    pub fn needs_place(&self) -> bool {
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

    fn is_voter(&self) -> bool {
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
        if !self.may_decide(now) {
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
        if !self.may_decide(now) {
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
struct Heard {
    from: ReplicaId,
    term: Term,
    sent_at: Time,
}

/// Elections.
impl Replica {
    fn put_off_election(&mut self, now: Time) {
        let min = u64::try_from(self.timing.election.as_millis()).unwrap_or(u64::MAX);
        let wait = self.rng.random_range(min..=min.saturating_mul(2));
        self.election_at = now.after(Duration::from_millis(wait));
    }

    /// Whether a leader was heard so lately that it may still hold its lease.
    fn hears_leader(&self, now: Time) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                leader.has_lease(&self.id, self.log.configuration(), &self.timing, now)
            }
            _ => now < self.leader_heard.after(self.timing.election),
        }
    }

    /// A vote request must not disturb a leader that still holds its lease.
    fn may_raise_term(&self, now: Time, message: &Message) -> bool {
        match message.body {
            Body::Vote { handover, .. } => handover || !self.hears_leader(now),
            _ => true,
        }
    }

    fn become_follower(&mut self, now: Time, term: Term) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.out.writes.push(Write::Hard(self.hard.clone()));
            self.leader = None;
        }
        self.role = Role::Follower;
        self.put_off_election(now);
    }

    fn start_pre_vote(&mut self, now: Time) {
        self.leader = None;
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.id.clone()]) };
        let body = Body::PreVote { last: self.log.last(), last_term: self.log.last_term() };
        self.send_to_voters(&body);
        self.count_pre_votes(now);
    }

    fn start_election(&mut self, now: Time, handover: bool) {
        self.hard = HardState { term: Term(self.hard.term.0 + 1), vote: Some(self.id.clone()) };
        self.out.writes.push(Write::Hard(self.hard.clone()));
        self.leader = None;
        self.role = Role::Candidate { granted: BTreeSet::from([self.id.clone()]) };
        self.put_off_election(now);
        let (last, last_term) = (self.log.last(), self.log.last_term());
        self.send_to_voters(&Body::Vote { last, last_term, handover });
        self.count_votes(now);
    }

    fn is_up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    fn on_pre_vote(
        &mut self,
        now: Time,
        from: &ReplicaId,
        term: Term,
        last: Index,
        last_term: Term,
    ) {
        let granted = term >= self.hard.term
            && !self.hears_leader(now)
            && self.is_up_to_date(last, last_term);
        self.send(from, Body::PreVoteReply { granted });
    }

    fn on_pre_vote_reply(&mut self, now: Time, from: ReplicaId, term: Term, granted: bool) {
        if term > self.hard.term || !granted {
            return;
        }
        if let Role::PreCandidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Time) {
        let Role::PreCandidate { granted } = &self.role else { return };
        if self.has_quorum(granted) {
            self.start_election(now, false);
        }
    }

    fn on_vote(
        &mut self,
        now: Time,
        from: &ReplicaId,
        term: Term,
        last: Index,
        last_term: Term,
        handover: bool,
    ) {
        let free = self.hard.vote.as_ref().is_none_or(|vote| vote == from);
        let undisturbed = handover || !self.hears_leader(now);
        let granted =
            term == self.hard.term && free && undisturbed && self.is_up_to_date(last, last_term);
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from.clone());
            self.out.writes.push(Write::Hard(self.hard.clone()));
            self.put_off_election(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    fn on_vote_reply(&mut self, now: Time, from: ReplicaId, term: Term, granted: bool) {
        if term != self.hard.term || !granted {
            return;
        }
        if let Role::Candidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Time) {
        let Role::Candidate { granted } = &self.role else { return };
        if self.has_quorum(granted) {
            self.become_leader(now);
        }
    }

    fn has_quorum(&self, granted: &BTreeSet<ReplicaId>) -> bool {
        let configuration = self.log.configuration();
        configuration.voters().filter(|id| granted.contains(id)).count() >= configuration.quorum()
    }

    fn become_leader(&mut self, now: Time) {
        let noop = self.log.last().next();
        self.role = Role::Leader(Leader::new(noop, now));
        self.leader = Some(self.id.clone());
        self.append(Payload::Noop);
        self.tick_leader(now);
        self.advance_commit();
    }

    fn on_handover(&mut self, now: Time, from: &ReplicaId, term: Term) {
        let from_leader = self.leader.as_ref() == Some(from) && term == self.hard.term;
        if from_leader && self.is_voter() {
            self.start_election(now, true);
        }
    }
}

/// Following.
impl Replica {
    fn follow(&mut self, now: Time, heard: &Heard) -> bool {
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

    fn on_append(
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
    fn append_missing(&mut self, entries: Vec<Entry>) {
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

    fn on_install(&mut self, now: Time, heard: &Heard, snapshot: Snapshot) {
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

/// Leading.
impl Replica {
    fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry { index: self.log.last().next(), term: self.hard.term, payload };
        let index = entry.index;
        self.log.push(entry.clone());
        match self.out.writes.last_mut() {
            Some(Write::Append(entries)) => entries.push(entry),
            _ => self.out.writes.push(Write::Append(vec![entry])),
        }
        index
    }

    fn tick_leader(&mut self, now: Time) {
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

    fn other_peers(&self) -> Vec<ReplicaId> {
        let peers = &self.log.configuration().peers;
        peers.keys().filter(|id| **id != self.id).cloned().collect()
    }

    fn send_append(&mut self, now: Time, to: &ReplicaId, heartbeat: bool) {
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
    fn send_snapshot(&mut self, now: Time, to: &ReplicaId, heartbeat: bool) {
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

    fn on_append_reply(
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

    fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let quorum = leader.quorum_matched(&self.id, self.log.configuration(), self.log.last());
        // Only an entry of our own term may be counted; it commits those before it.
        if self.log.term_at(quorum) == Some(self.hard.term) {
            self.commit_to(quorum);
        }
    }

    fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        self.commit = index.min(self.log.last());
        self.out.committed.extend_from_slice(self.log.between(self.applied, self.commit));
        self.applied = self.commit;
        self.leave_if_removed();
    }

    /// A leader that was voted out stops once that is committed.
    fn leave_if_removed(&mut self) {
        let (stands_at, configuration) = self.log.configuration_at(self.log.last());
        if self.is_leader() && stands_at <= self.commit && !configuration.is_voter(&self.id) {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    /// Takes the next step towards letting joiners in and giving votes to those that caught up.
    fn settle_membership(&mut self, now: Time) {
        let configuration = self.log.configuration();
        let Role::Leader(leader) = &self.role else { return };
        let caught_up = configuration.peers.iter().find(|(id, peer)| {
            let matched = leader.progress.get(id).map(|p| p.matched);
            !peer.voter && matched.is_some_and(|m| m >= self.commit && m > Index(0))
        });
        let joiner = leader.joiners.iter().find(|(id, _)| !configuration.peers.contains_key(id));
        let mut next = configuration.clone();
        if let Some((id, _)) = caught_up {
            if let Some(peer) = next.peers.get_mut(id) {
                peer.voter = true;
            }
        } else if let Some((id, address)) = joiner {
            if let Some(old) = configuration.other_incarnation(id) {
                next.peers.remove(old);
            } else {
                next.peers.insert(id.clone(), Peer { address: *address, voter: false });
            }
        } else {
            return;
        }
        // A change under way is no fault; the next heartbeat tries again.
        if self.change(now, next).is_ok() {
            self.forget_settled_joiners();
        }
    }

    fn forget_settled_joiners(&mut self) {
        let peers = &self.log.configuration().peers;
        if let Role::Leader(leader) = &mut self.role {
            leader.joiners.retain(|id, _| !peers.contains_key(id));
        }
    }

    fn send(&mut self, to: &ReplicaId, body: Body) {
        let message = Message { from: self.id.clone(), to: to.clone(), term: self.hard.term, body };
        self.out.messages.push(message);
    }

    fn send_to_voters(&mut self, body: &Body) {
        let voters: Vec<ReplicaId> = self.log.configuration().voters().cloned().collect();
        for id in voters {
            if id != self.id {
                self.send(&id, body.clone());
            }
        }
    }
}
