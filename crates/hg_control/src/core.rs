//! The core: replica, ledger and scheduler in one place.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use hg_ledger::{Applied, Command, Effect, Ledger, Outcome};
use hg_link::{Directive, Reply, Request, decode, encode};
use hg_model::{EntryName, JobId, Time};
use hg_policy::{PolicyConfig, Scheduler};
use hg_replica::{
    Disk, Entry, Index, Message, Payload, Replica, ReplicaId, Snapshot, Status, Storage,
    StorageError, Timing,
};
use hg_settings::ControlLimits;
use slog::{Logger, crit, debug, info, warn};

use crate::entries::Entries;
use crate::workflow::{Duty, DutyReport, Order, OrderReport, WorkflowLead, WorkflowReplyKind};

/// Names a request that waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// Another replica spoke.
    Message {
        /// Where it listens.
        from: SocketAddr,
        /// What it said.
        message: Message,
    },
    /// An entry or an operator asks.
    Request {
        /// For the reply.
        ticket: Ticket,
        /// What is asked.
        req: Request,
    },
    /// An order to an upstream has come to something.
    Report(OrderReport),
    /// A call to the platform has come to something.
    DutyReport(DutyReport),
    /// This process is to leave the lead, because it shuts down.
    HandOver,
}

/// What is to be sent.
#[derive(Debug, Default)]
pub struct Actions {
    /// To other replicas.
    pub messages: Vec<(SocketAddr, Message)>,
    /// To entries; only valid while the lease holds.
    pub directives: Vec<(EntryName, Directive)>,
    /// To upstreams; only valid while the lease holds.
    pub orders: Vec<Order>,
    /// To the platform; only valid while the lease holds.
    pub duties: Vec<Duty>,
    /// To whoever asked.
    pub replies: Vec<(Ticket, Reply)>,
}

/// What a core is set up with.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// Time bounds of the agreement.
    pub timing: Timing,
    /// Bounds on what is kept.
    pub limits: ControlLimits,
    /// The policy's settings.
    pub policy: PolicyConfig,
    /// What holds for workflows.
    pub workflows: WorkflowConfig,
}

/// What holds for workflows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkflowConfig {
    /// Longest lease that an upstream grants, in milliseconds of its own clock.
    pub lease_max_ms: u64,
}

impl Default for WorkflowConfig {
    fn default() -> Self {
        // Outlasts an election with a slow disk several times, so that no work is lost by one.
        Self { lease_max_ms: 10_000 }
    }
}

/// What a proposal is for.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// Somebody waits for what becomes of it.
    Asked { ticket: Ticket, reply: ReplyKind },
    /// The scheduler decided it.
    Decided,
    /// The scheduler of workflows decided it.
    WorkflowDecided,
    /// Housekeeping.
    Kept,
}

/// How an outcome becomes a reply.
#[derive(Debug, Clone)]
pub(crate) enum ReplyKind {
    /// The job as it then is.
    Job(JobId),
    /// Whether members may start.
    Commit,
    /// The version or the conflict.
    Lists,
    /// Just that it was done.
    Done,
    /// What a request about workflows came to.
    Workflow(WorkflowReplyKind),
}

/// A control process without its I/O.
pub struct Core<D> {
    pub(crate) cfg: CoreConfig,
    pub(crate) log: Logger,
    pub(crate) replica: Replica,
    storage: Storage<D>,
    pub(crate) ledger: Ledger,
    pub(crate) scheduler: Scheduler,
    pub(crate) entries: Entries,
    pub(crate) leading: Option<Leading>,
    /// Set while this replica leads.
    pub(crate) workflows: Option<WorkflowLead>,
    pending: BTreeMap<Index, (Command, Purpose)>,
    pub(crate) actions: Actions,
    proposed: bool,
    /// Where replicas were heard from; a joiner knows no configuration yet.
    heard_from: BTreeMap<ReplicaId, SocketAddr>,
}

/// Most replicas whose address is remembered from their messages.
const HEARD_FROM_MAX: usize = 64;

/// What a leader keeps besides the replicated state.
#[derive(Debug)]
pub(crate) struct Leading {
    /// When it began to lead.
    pub(crate) since: Time,
    /// Whether it has begun to place jobs.
    pub(crate) settled: bool,
    /// Decisions that are not applied yet.
    pub(crate) undecided: usize,
    /// When orders were last sent again.
    pub(crate) repeated_at: Time,
    /// When old jobs were last forgotten.
    pub(crate) forgot_at: Time,
    /// Waiting jobs whose body is not at hand, and since when.
    pub(crate) parked: BTreeMap<JobId, Time>,
    /// The shortages last logged.
    pub(crate) shortages: usize,
}

impl<D> fmt::Debug for Core<D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core").field("replica", &self.replica.id()).finish_non_exhaustive()
    }
}

/// Queries.
impl<D: Disk> Core<D> {
    /// The replica's present view.
    pub fn status(&self) -> Status {
        self.replica.status()
    }

    /// The replicated state, as far as it was applied.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The scheduler; up to date only while this replica leads.
    pub const fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Whether decisions may be sent at `now`.
    pub fn can_propose(&self, now: Time) -> bool {
        self.replica.can_propose(now)
    }

    /// Whether this replica should ask for a place in the group.
    pub fn needs_membership(&self) -> bool {
        self.replica.needs_membership()
    }

    /// Its identity.
    pub const fn id(&self) -> &ReplicaId {
        self.replica.id()
    }
}

/// Commands.
impl<D: Disk> Core<D> {
    /// Starts from what the storage held.
    pub fn new(storage: Storage<D>, cfg: CoreConfig, log: Logger, now: Time, seed: u64) -> Self {
        let replica = Replica::new(storage.restored(), cfg.timing, now, seed);
        Self {
            scheduler: Scheduler::new(cfg.policy.clone()),
            cfg,
            log,
            replica,
            storage,
            ledger: Ledger::new(),
            entries: Entries::default(),
            leading: None,
            workflows: None,
            pending: BTreeMap::new(),
            actions: Actions::default(),
            proposed: false,
            heard_from: BTreeMap::new(),
        }
    }

    fn note_address(&mut self, id: &ReplicaId, address: SocketAddr) {
        if self.heard_from.len() < HEARD_FROM_MAX || self.heard_from.contains_key(id) {
            self.heard_from.insert(id.clone(), address);
        }
    }

    fn address_of(&self, id: &ReplicaId) -> Option<SocketAddr> {
        self.replica.address_of(id).or_else(|| self.heard_from.get(id).copied())
    }

    /// Takes in a batch of events and lets time pass.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the disk fails; the process must then end without sending anything.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Result<Actions, StorageError> {
        for event in events {
            match event {
                Event::Message { from, message } => {
                    self.note_address(&message.from, from);
                    self.replica.step(now, message);
                }
                Event::Request { ticket, req } => self.on_request(now, ticket, req),
                Event::Report(report) => self.on_order_report(now, report),
                Event::DutyReport(report) => self.on_duty_report(now, report),
                Event::HandOver => self.replica.hand_over(now),
            }
        }
        self.replica.tick(now);
        self.pump(now)?;
        self.compact_if_due()?;
        Ok(std::mem::take(&mut self.actions))
    }

    /// Carries out what the replica asks for and lets a leader work, until nothing is left.
    ///
    /// A leader works only on a ledger that holds everything that the replica counts as applied.
    fn pump(&mut self, now: Time) -> Result<(), StorageError> {
        loop {
            while self.carry_out(now)? {}
            self.lead(now);
            if std::mem::take(&mut self.proposed) {
                self.replica.replicate(now);
            }
            if !self.carry_out(now)? {
                return Ok(());
            }
        }
    }

    /// Carries out what the replica asks for at present. Returns whether it asked for anything.
    fn carry_out(&mut self, now: Time) -> Result<bool, StorageError> {
        let out = self.replica.take_output();
        if out.is_empty() {
            return Ok(false);
        }
        self.storage.write(&out.writes)?;
        for message in out.messages {
            if let Some(address) = self.address_of(&message.to) {
                self.actions.messages.push((address, message));
            }
        }
        if let Some(snapshot) = out.installed {
            self.install(&snapshot);
        }
        for entry in out.committed {
            self.apply(now, entry);
        }
        Ok(true)
    }

    fn install(&mut self, snapshot: &Snapshot) {
        match decode(&snapshot.data) {
            Ok(ledger) => self.ledger = ledger,
            Err(cause) => {
                crit!(self.log, "control: snapshot cannot be read"; "event" => "snapshot.unreadable",
                    "index" => snapshot.index.0, "cause" => %cause);
                panic!("a snapshot with a good checksum cannot be read: {cause}");
            }
        }
    }

    fn compact_if_due(&mut self) -> Result<(), StorageError> {
        if self.replica.log_entries() < self.cfg.limits.snapshot_entries {
            return Ok(());
        }
        self.replica.compact(self.replica.applied(), encode(&self.ledger));
        let out = self.replica.take_output();
        self.storage.write(&out.writes)
    }

    /// Proposes a command; whoever asked is told to look elsewhere if this is not the leader.
    pub(crate) fn propose(&mut self, now: Time, command: Command, purpose: Purpose) {
        if self.pending.len() >= self.cfg.limits.requests {
            self.turn_away(&purpose, Reply::Busy);
            return;
        }
        let encoded = encode(&command);
        match self.replica.propose(now, encoded) {
            Ok(index) => {
                if matches!(purpose, Purpose::Decided)
                    && let Some(leading) = &mut self.leading
                {
                    leading.undecided += 1;
                }
                self.pending.insert(index, (command, purpose));
                self.proposed = true;
            }
            Err(_) => {
                debug!(self.log, "control: not proposed, the lease is over";
                    "event" => "propose.refused", "purpose" => ?purpose);
                let reply = self.not_leader();
                self.turn_away(&purpose, reply);
            }
        }
    }

    fn turn_away(&mut self, purpose: &Purpose, reply: Reply) {
        match purpose {
            Purpose::Asked { ticket, .. } => self.actions.replies.push((*ticket, reply)),
            Purpose::WorkflowDecided => self.settle_workflow_decision(),
            Purpose::Decided | Purpose::Kept => {}
        }
    }

    pub(crate) fn not_leader(&self) -> Reply {
        let leader = self.replica.leader();
        Reply::NotLeader {
            leader: leader.map(|id| id.host.clone()),
            address: leader.and_then(|id| self.address_of(id)),
        }
    }

    /// Tells everyone who waits that this replica no longer leads.
    ///
    /// What they asked for is in the log here and may be committed yet.
    pub(crate) fn drop_pending(&mut self) {
        for (_, (_, purpose)) in std::mem::take(&mut self.pending) {
            self.turn_away(&purpose, Reply::Unsure);
        }
    }

    fn apply(&mut self, now: Time, entry: Entry) {
        let mine = self.pending.remove(&entry.index);
        let Payload::Command(bytes) = entry.payload else {
            self.log_members(&entry);
            if let Some((_, purpose)) = mine {
                let reply = self.not_leader();
                self.turn_away(&purpose, reply);
            }
            return;
        };
        let command: Command = match decode(&bytes) {
            Ok(command) => command,
            Err(cause) => {
                // All replicas read the same bytes, so all pass over it alike.
                warn!(self.log, "control: entry cannot be read"; "event" => "entry.unreadable",
                    "index" => entry.index.0, "cause" => %cause);
                return;
            }
        };
        let applied = self.ledger.apply(command.clone());
        self.log_command(&command, &applied.outcome);
        if self.leading.is_some() {
            self.follow(now, &command, &applied);
        }
        match mine {
            // What stands at this position may be another leader's.
            Some((proposed, purpose)) if proposed == command => {
                self.settle(purpose, &applied.outcome);
            }
            Some((_, purpose)) => {
                let reply = self.not_leader();
                self.turn_away(&purpose, reply);
            }
            None => {}
        }
    }

    /// One line for each change of the group.
    fn log_members(&self, entry: &Entry) {
        let Payload::Configuration(group) = &entry.payload else { return };
        let of = |votes: bool| {
            let members = group.peers.iter().filter(move |(_, peer)| peer.voter == votes);
            members.map(|(id, _)| id.to_string()).collect::<Vec<_>>().join(" ")
        };
        info!(self.log, "control: group changed"; "event" => "group.changed",
            "index" => entry.index.0, "voters" => of(true), "learners" => of(false));
    }

    /// Keeps what a leader derives from the ledger up to date.
    fn follow(&mut self, now: Time, command: &Command, applied: &Applied) {
        if let Command::Workflow(command) = command {
            self.follow_workflow_command(now, command);
        }
        for effect in &applied.effects {
            if let Effect::Workflow(effect) = effect {
                self.follow_workflow(now, effect);
                continue;
            }
            self.scheduler.apply_effect(now, &self.ledger, effect);
            self.direct(effect);
        }
        self.scheduler.revert_assumed(now, &self.ledger, command, &applied.outcome);
    }

    fn settle(&mut self, purpose: Purpose, outcome: &Outcome) {
        match purpose {
            Purpose::Asked { ticket, reply } => {
                let reply = self.reply_for(reply, outcome);
                self.actions.replies.push((ticket, reply));
            }
            Purpose::Decided => {
                if let Some(leading) = &mut self.leading {
                    leading.undecided = leading.undecided.saturating_sub(1);
                }
            }
            Purpose::WorkflowDecided => self.settle_workflow_decision(),
            Purpose::Kept => {}
        }
    }

    fn reply_for(&self, kind: ReplyKind, outcome: &Outcome) -> Reply {
        match (kind, outcome) {
            (_, Outcome::Mismatch) => Reply::Mismatch,
            (ReplyKind::Job(id), _) => self.job_reply(&id),
            (ReplyKind::Commit, Outcome::Done | Outcome::Known) => Reply::Go,
            (ReplyKind::Commit, _) => Reply::Abandon,
            (ReplyKind::Lists, Outcome::Lists(version)) => Reply::Accepted(*version),
            (ReplyKind::Lists, Outcome::Conflict(conflict)) => Reply::Conflict(conflict.clone()),
            (ReplyKind::Lists | ReplyKind::Done, _) => Reply::Done,
            (ReplyKind::Workflow(kind), _) => Reply::Workflow(self.workflow_reply(&kind)),
        }
    }
}
