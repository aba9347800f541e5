//! The core of a control process: ties the replica, the ledger and the schedulers together.
//!
//! It does no I/O except through its [`Disk`]: [`Event`]s go in, [`Actions`] come out.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hg_ledger::{Applied, Command, Effect, Ledger, Outcome};
use hg_link::{Directive, Reply, Request, decode, encode};
use hg_model::{DataCentreName, EntryName, JobId, Time};
use hg_policy::{PolicyConfig, Scheduler, WorkflowBounds, WorkflowPolicies};
use hg_replica::{
    Disk, Entry, Index, Message, Payload, Replica, ReplicaId, Snapshot, Status, Storage,
    StorageError, Timing,
};
use hg_settings::ControlLimits;
use slog::{Logger, crit, debug, info, warn};

use crate::entry_registry::EntryRegistry;
use crate::snapshot::{decode_ledger, encode_ledger};
use crate::workflow::{
    Order, OrderReport, PlatformCall, PlatformCallReport, WorkflowLeadership, WorkflowReplyKind,
};

/// Identifies a request whose reply is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An input of the core.
#[derive(Debug)]
pub enum Event {
    /// A message from another replica.
    Message {
        /// The address at which the sender listens for links.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A request from an entry or an operator.
    Request {
        /// Identifies the request in [`Actions::replies`].
        ticket: Ticket,
        /// The request.
        req: Request,
    },
    /// The result of an order to an upstream.
    Report(OrderReport),
    /// The result of a call to the platform.
    PlatformCallReport(PlatformCallReport),
    /// This process shuts down and is to transfer its leadership, if it has it.
    TransferLeadership,
}

/// What the caller of [`Core::handle`] is to send.
#[derive(Debug, Default)]
pub struct Actions {
    /// Messages to other replicas, by address.
    pub messages: Vec<(SocketAddr, Message)>,
    /// Directives to entries; to be sent only while the leader's lease is valid.
    pub directives: Vec<(EntryName, Directive)>,
    /// Orders to upstreams; to be sent only while the leader's lease is valid.
    pub orders: Vec<Order>,
    /// Calls to the platform; to be made only while the leader's lease is valid.
    pub platform_calls: Vec<PlatformCall>,
    /// Replies to requests.
    pub replies: Vec<(Ticket, Reply)>,
}

/// The configuration of a core.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// Timing of the consensus protocol.
    pub timing: Timing,
    /// Limits on what is kept in memory and in the log.
    pub limits: ControlLimits,
    /// The policy's settings.
    pub policy: PolicyConfig,
    /// The time bounds for workflows.
    pub workflows: WorkflowBounds,
    /// The optional policies for workflows.
    pub policies: WorkflowPolicies,
    /// Within this time of its acknowledgement the drain of a data centre has moved the work there; `None` if
    /// data centres cannot be drained.
    pub drain: Option<Duration>,
    /// The data centres that the settings name; those of registered upstreams are known as well.
    pub data_centres: BTreeSet<DataCentreName>,
}

/// Why a command was proposed, and who is to be notified of its outcome.
#[derive(Debug)]
pub(crate) enum Purpose {
    /// A client requested it and waits for the reply.
    Asked { ticket: Ticket, reply: ReplyKind },
    /// The scheduler of jobs decided it.
    Decided,
    /// The scheduler of workflows decided it.
    WorkflowDecided,
    /// Maintenance; its outcome notifies no one.
    Kept,
}

/// How the outcome of a command is turned into a reply.
#[derive(Debug, Clone)]
pub(crate) enum ReplyKind {
    /// The state of the job after the command.
    Job(JobId),
    /// Whether the members of an attempt may start.
    Commit,
    /// The new version of the lists, or the conflict.
    Lists,
    /// A plain acknowledgement.
    Done,
    /// The reply to a request about workflows.
    Workflow(WorkflowReplyKind),
}

/// A control process without its network I/O and its clock.
pub struct Core<D> {
    pub(crate) cfg: CoreConfig,
    pub(crate) log: Logger,
    pub(crate) replica: Replica,
    storage: Storage<D>,
    pub(crate) ledger: Ledger,
    pub(crate) scheduler: Scheduler,
    pub(crate) entries: EntryRegistry,
    /// Set while this replica leads.
    pub(crate) leadership: Option<Leadership>,
    /// The leader's state for workflows; set while this replica leads.
    pub(crate) workflow_leadership: Option<WorkflowLeadership>,
    /// Proposals that are not applied yet, by their log position.
    pending: BTreeMap<Index, (Command, Purpose)>,
    pub(crate) actions: Actions,
    /// Whether commands were proposed since the last replication.
    proposed: bool,
    /// Addresses of replicas from their messages; a joining replica has no configuration yet.
    sender_addresses: BTreeMap<ReplicaId, SocketAddr>,
}

/// The maximum number of replicas whose address is remembered from their messages.
const SENDER_ADDRESSES_MAX: usize = 64;

/// The leader's state for jobs that is not replicated.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// When this replica became leader.
    pub(crate) since: Time,
    /// Whether it has started to place jobs.
    pub(crate) settled: bool,
    /// The number of the scheduler's decisions that are proposed and not applied yet.
    pub(crate) unapplied_decisions: usize,
    /// When attempt orders were last resent.
    pub(crate) orders_resent_at: Time,
    /// When old ended jobs were last forgotten.
    pub(crate) jobs_forgotten_at: Time,
    /// Queued jobs whose body is unavailable, since their entry was lost, and since when.
    pub(crate) parked: BTreeMap<JobId, Time>,
    /// The number of shortages last logged.
    pub(crate) logged_shortages: usize,
}

impl<D> fmt::Debug for Core<D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core").field("replica", &self.replica.id()).finish_non_exhaustive()
    }
}

/// Queries.
impl<D: Disk> Core<D> {
    /// The replica's current status.
    pub fn status(&self) -> Status {
        self.replica.status()
    }

    /// The replicated state, up to the last applied log entry.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The scheduler; up to date only while this replica leads.
    pub const fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Whether this replica leads, has applied everything committed before its term and holds a valid
    /// lease at `now`, so that decisions may be sent.
    pub fn can_propose(&self, now: Time) -> bool {
        self.replica.can_propose(now)
    }

    /// Whether this replica should request membership in the group.
    pub fn needs_membership(&self) -> bool {
        self.replica.needs_membership()
    }

    /// The identity of this replica.
    pub const fn id(&self) -> &ReplicaId {
        self.replica.id()
    }
}

/// Commands.
impl<D: Disk> Core<D> {
    /// Creates a core from the restored state of its storage.
    ///
    /// `seed` seeds the replica's random timeouts.
    pub fn new(storage: Storage<D>, cfg: CoreConfig, log: Logger, now: Time, seed: u64) -> Self {
        let replica = Replica::new(storage.state(), cfg.timing, now, seed);
        Self {
            scheduler: Scheduler::new(cfg.policy.clone()),
            cfg,
            log,
            replica,
            storage,
            ledger: Ledger::new(),
            entries: EntryRegistry::default(),
            leadership: None,
            workflow_leadership: None,
            pending: BTreeMap::new(),
            actions: Actions::default(),
            proposed: false,
            sender_addresses: BTreeMap::new(),
        }
    }

    fn record_sender_address(&mut self, id: &ReplicaId, address: SocketAddr) {
        if self.sender_addresses.len() < SENDER_ADDRESSES_MAX
            || self.sender_addresses.contains_key(id)
        {
            self.sender_addresses.insert(id.clone(), address);
        }
    }

    fn address_of(&self, id: &ReplicaId) -> Option<SocketAddr> {
        self.replica.address_of(id).or_else(|| self.sender_addresses.get(id).copied())
    }

    /// Handles a batch of events and whatever is due at `now`. Returns what is to be sent.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the disk fails; the process must then exit without sending anything.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Result<Actions, StorageError> {
        for event in events {
            match event {
                Event::Message { from, message } => {
                    self.record_sender_address(&message.from, from);
                    self.replica.step(now, message);
                }
                Event::Request { ticket, req } => self.on_request(now, ticket, req),
                Event::Report(report) => self.on_order_report(now, report),
                Event::PlatformCallReport(report) => self.on_platform_call_report(now, report),
                Event::TransferLeadership => self.replica.transfer_leadership(now),
            }
        }
        self.replica.tick(now);
        self.run_until_idle(now)?;
        self.compact_if_due()?;
        Ok(std::mem::take(&mut self.actions))
    }

    /// Processes the replica's output and runs the leader's tasks until neither produces anything.
    ///
    /// The leader's tasks run only on a ledger that holds everything that the replica counts as
    /// applied.
    fn run_until_idle(&mut self, now: Time) -> Result<(), StorageError> {
        loop {
            while self.process_output(now)? {}
            self.run_leader(now);
            if std::mem::take(&mut self.proposed) {
                self.replica.replicate(now);
            }
            if !self.process_output(now)? {
                return Ok(());
            }
        }
    }

    /// Writes, sends and applies what the replica has put out. Returns whether there was anything.
    fn process_output(&mut self, now: Time) -> Result<bool, StorageError> {
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
        if let Some(snapshot) = out.installed_snapshot {
            self.install_snapshot(&snapshot);
        }
        for entry in out.committed {
            self.apply(now, entry);
        }
        Ok(true)
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot) {
        match decode_ledger(&snapshot.data) {
            Ok(ledger) => self.ledger = ledger,
            Err(cause) => {
                crit!(self.log, "control: snapshot cannot be decoded";
                    "event" => "snapshot.unreadable", "index" => snapshot.index.0, "cause" => %cause);
                panic!("a snapshot with a valid checksum cannot be decoded: {cause}");
            }
        }
    }

    fn compact_if_due(&mut self) -> Result<(), StorageError> {
        if self.replica.log_entries() < self.cfg.limits.snapshot_entries {
            return Ok(());
        }
        self.replica.compact(self.replica.applied(), encode_ledger(&self.ledger));
        let out = self.replica.take_output();
        self.storage.write(&out.writes)
    }

    /// Proposes a command; a requester is referred to the leader if this replica can't propose.
    pub(crate) fn propose(&mut self, now: Time, command: Command, purpose: Purpose) {
        if self.pending.len() >= self.cfg.limits.requests {
            self.fail_proposal(&purpose, Reply::Busy);
            return;
        }
        let encoded = encode(&command);
        match self.replica.propose(now, encoded) {
            Ok(index) => {
                if matches!(purpose, Purpose::Decided)
                    && let Some(leadership) = &mut self.leadership
                {
                    leadership.unapplied_decisions += 1;
                }
                self.pending.insert(index, (command, purpose));
                self.proposed = true;
            }
            Err(_) => {
                debug!(self.log, "control: command not proposed, the leader's lease has expired";
                    "event" => "propose.refused", "purpose" => ?purpose);
                let reply = self.not_leader();
                self.fail_proposal(&purpose, reply);
            }
        }
    }

    /// Finishes a proposal that was not applied: replies to its requester, if any.
    fn fail_proposal(&mut self, purpose: &Purpose, reply: Reply) {
        match purpose {
            Purpose::Asked { ticket, .. } => self.actions.replies.push((*ticket, reply)),
            Purpose::WorkflowDecided => self.on_decision_settled(),
            Purpose::Decided | Purpose::Kept => {}
        }
    }

    /// The reply of a replica that can't serve a request itself: names the leader, if it is known.
    pub(crate) fn not_leader(&self) -> Reply {
        let leader = self.replica.leader();
        Reply::NotLeader {
            leader: leader.map(|id| id.host.clone()),
            address: leader.and_then(|id| self.address_of(id)),
        }
    }

    /// Answers all pending requests when this replica stops leading.
    ///
    /// Their commands are in this replica's log and may still be committed, so the outcome is unknown.
    pub(crate) fn fail_pending(&mut self) {
        for (_, (_, purpose)) in std::mem::take(&mut self.pending) {
            self.fail_proposal(&purpose, Reply::Unsure);
        }
    }

    fn apply(&mut self, now: Time, entry: Entry) {
        let proposal = self.pending.remove(&entry.index);
        let Payload::Command(bytes) = entry.payload else {
            self.log_membership(&entry);
            if let Some((_, purpose)) = proposal {
                let reply = self.not_leader();
                self.fail_proposal(&purpose, reply);
            }
            return;
        };
        let command: Command = match decode(&bytes) {
            Ok(command) => command,
            Err(cause) => {
                // All replicas decode the same bytes, so all of them skip the entry.
                warn!(self.log, "control: log entry cannot be decoded";
                    "event" => "entry.unreadable", "index" => entry.index.0, "cause" => %cause);
                return;
            }
        };
        let applied = self.ledger.apply(command.clone());
        self.log_command(&command, &applied.outcome);
        if self.leadership.is_some() {
            self.update_schedulers(now, &command, &applied);
        }
        match proposal {
            // The command at this position may be another leader's.
            Some((proposed, purpose)) if proposed == command => {
                self.complete_proposal(purpose, &applied.outcome);
            }
            Some((_, purpose)) => {
                let reply = self.not_leader();
                self.fail_proposal(&purpose, reply);
            }
            None => {}
        }
    }

    /// Logs one line for each configuration change of the group.
    fn log_membership(&self, entry: &Entry) {
        let Payload::Configuration(group) = &entry.payload else { return };
        let replicas = |votes: bool| {
            let peers = group.peers.iter().filter(move |(_, peer)| peer.voter == votes);
            peers.map(|(id, _)| id.to_string()).collect::<Vec<_>>().join(" ")
        };
        info!(self.log, "control: group changed"; "event" => "group.changed",
            "index" => entry.index.0, "voters" => replicas(true), "learners" => replicas(false));
    }

    /// Updates the leader's schedulers, whose state derives from the ledger, after an applied command.
    fn update_schedulers(&mut self, now: Time, command: &Command, applied: &Applied) {
        if let Command::Workflow(command) = command {
            self.apply_workflow_command(now, command);
        }
        for effect in &applied.effects {
            if let Effect::Workflow(effect) = effect {
                self.apply_workflow_effect(now, effect);
                continue;
            }
            self.scheduler.apply_effect(now, &self.ledger, effect);
            self.queue_directives(effect);
        }
        self.scheduler.revert_assumed(now, &self.ledger, command, &applied.outcome);
    }

    /// Finishes a proposal that was applied: replies to its requester, if any.
    fn complete_proposal(&mut self, purpose: Purpose, outcome: &Outcome) {
        match purpose {
            Purpose::Asked {
                ticket,
                reply: ReplyKind::Workflow(WorkflowReplyKind::DrainStarted(data_centre)),
            } => self.acknowledge_drain(ticket, data_centre),
            Purpose::Asked { ticket, reply } => {
                let reply = self.reply_for(reply, outcome);
                self.actions.replies.push((ticket, reply));
            }
            Purpose::Decided => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.unapplied_decisions =
                        leadership.unapplied_decisions.saturating_sub(1);
                }
            }
            Purpose::WorkflowDecided => self.on_decision_settled(),
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
