//! Handles requests about workflows from callers, operators and upstreams.

use std::sync::Arc;
use std::time::Duration;

use hg_ledger::{Command, QueueTerms, WorkflowCommand};
use hg_link::{CallerAction, CallerRequest, Reply, WorkflowReply, WorkflowRequest};
use hg_model::{
    AccountName, Catalog, DataCentreName, HeartbeatReadings, Incarnation, JobId, QueueName,
    QueueSpec, Time, UpstreamName, UpstreamReport, WaveNumber, WaveSpec, WorkflowSpec,
    WorkflowState,
};
use hg_policy::{Submission, admit};
use hg_replica::Disk;
use slog::{debug, info};

use super::departure::{Departure, DepartureCause};
use super::telemetry;
use crate::core::{Purpose, ReplyKind};
use crate::{Core, Ticket};

/// When a caller may submit its workflow again after a rejection for lack of capacity, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The reply to a request about workflows once its command is applied.
#[derive(Debug, Clone)]
pub(crate) enum WorkflowReplyKind {
    /// The workflow is accepted, unless it was cancelled before.
    Accepted(JobId),
    /// The state of the workflow after its cancellation.
    Cancelled(JobId),
    /// The same, of a workflow that was unknown when the caller asked for that.
    CancelledUnknown(JobId),
    /// The catalog or a higher version of it is in force, or the wave is stored.
    Stored,
    /// An upstream's heartbeat or leave request was recorded.
    Noted,
    /// The drain of the data centre is in force.
    DrainStarted(DataCentreName),
}

/// The reply to the submission of a workflow that its caller has cancelled before. Its id is not accepted for `retained`.
fn rejected_as_cancelled(retained: Duration) -> WorkflowReply {
    let reason = "this id was cancelled before".to_owned();
    WorkflowReply::Rejected { reason, retry_after_ms: millis(retained) }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl<D: Disk> Core<D> {
    /// Answers at once, or proposes a command and answers when that is applied.
    pub(crate) fn answer_workflow(
        &mut self,
        now: Time,
        ticket: Ticket,
        req: WorkflowRequest,
    ) -> Option<Reply> {
        let reply = match req {
            WorkflowRequest::Ping => Some(self.ready_reply()),
            WorkflowRequest::Call(call) => self.on_call(now, ticket, call),
            WorkflowRequest::PutCatalog(catalog) => self.on_put_catalog(now, ticket, catalog),
            WorkflowRequest::GetCatalog => Some(self.catalog_reply()),
            WorkflowRequest::StartWave(spec) => self.on_start_wave(now, ticket, spec),
            WorkflowRequest::WaveState(number) => Some(self.wave_reply(number)),
            WorkflowRequest::Heartbeat { report, readings } => {
                self.on_heartbeat(now, ticket, report, readings, None)
            }
            WorkflowRequest::ColdHeartbeat { report, readings, cold_left_ms } => {
                self.on_heartbeat(now, ticket, report, readings, Some(cold_left_ms))
            }
            WorkflowRequest::StartDrain(data_centre) => {
                self.on_start_drain(now, ticket, data_centre)
            }
            WorkflowRequest::EndDrain(data_centre) => self.on_end_drain(now, ticket, data_centre),
            WorkflowRequest::Drains => Some(self.drains_reply(now)),
            WorkflowRequest::Leave { name, incarnation } => {
                self.on_leave(now, ticket, name, incarnation)
            }
        };
        reply.map(Reply::Workflow)
    }

    fn ready_reply(&self) -> WorkflowReply {
        let catalog = self.ledger.workflows().catalog().map(|catalog| catalog.version);
        let peers = self.status().configuration.peers;
        let controls = peers.values().map(|peer| peer.address).collect();
        WorkflowReply::Ready { catalog, controls }
    }

    fn catalog_reply(&self) -> WorkflowReply {
        match self.ledger.workflows().catalog() {
            Some(catalog) => WorkflowReply::Catalog(Arc::clone(&catalog.document)),
            None => WorkflowReply::NoCatalog,
        }
    }

    pub(super) fn propose_workflow(
        &mut self,
        now: Time,
        ticket: Ticket,
        command: WorkflowCommand,
        reply: WorkflowReplyKind,
    ) -> Option<WorkflowReply> {
        let reply = ReplyKind::Workflow(reply);
        self.propose(now, Command::Workflow(command), Purpose::Asked { ticket, reply });
        None
    }

    fn on_put_catalog(
        &mut self,
        now: Time,
        ticket: Ticket,
        catalog: Catalog,
    ) -> Option<WorkflowReply> {
        if let Err(fault) = catalog.check() {
            info!(self.log, "workflow: catalog refused"; "event" => "catalog.refused",
                "version" => catalog.version, "fault" => %fault);
            return Some(WorkflowReply::Invalid(fault.to_string()));
        }
        let current = self.ledger.workflows().catalog();
        if current.is_some_and(|current| current.version >= catalog.version) {
            return Some(WorkflowReply::Stored);
        }
        self.propose_workflow(
            now,
            ticket,
            WorkflowCommand::PutCatalog(catalog),
            WorkflowReplyKind::Stored,
        )
    }

    fn on_start_wave(
        &mut self,
        now: Time,
        ticket: Ticket,
        spec: WaveSpec,
    ) -> Option<WorkflowReply> {
        if let Err(fault) = spec.check() {
            info!(self.log, "workflow: wave refused"; "event" => "wave.refused",
                "wave" => %spec.number, "fault" => %fault);
            return Some(WorkflowReply::Invalid(fault.to_string()));
        }
        if self.ledger.workflows().waves().get(spec.number).is_some() {
            // A retry by the operator after a lost answer.
            return Some(WorkflowReply::Stored);
        }
        let command = WorkflowCommand::StartWave { spec, at: now };
        self.propose_workflow(now, ticket, command, WorkflowReplyKind::Stored)
    }

    fn wave_reply(&self, number: WaveNumber) -> WorkflowReply {
        let wave = self.ledger.workflows().waves().get(number);
        wave.map_or(WorkflowReply::Unknown, |wave| WorkflowReply::Wave(wave.state()))
    }

    fn on_call(&mut self, now: Time, ticket: Ticket, call: CallerRequest) -> Option<WorkflowReply> {
        let Some(catalog) = self.ledger.workflows().catalog() else {
            return Some(WorkflowReply::NoCatalog);
        };
        let Some(route) = catalog.route(&call.host, &call.path) else {
            return Some(WorkflowReply::NoQueue);
        };
        let account = call.key.as_deref().and_then(|key| catalog.account_of(key));
        if account.is_none() && !route.queue.allow_anonymous {
            return Some(WorkflowReply::NoKey);
        }
        let account = account.map(|account| account.name.clone());
        let is_whole_queue = route.rest.is_empty();
        if is_whole_queue && matches!(call.action, CallerAction::State) {
            let waiting = self.ledger.workflows().queued_count(&route.queue.name);
            return Some(WorkflowReply::Waiting(u64::try_from(waiting).unwrap_or(u64::MAX)));
        }
        let id = match JobId::new(route.rest) {
            Ok(id) => id,
            Err(fault) => return Some(WorkflowReply::Invalid(fault.to_string())),
        };
        match call.action {
            CallerAction::Submit(spec) => {
                let queue = route.queue.clone();
                self.on_submit_workflow(now, ticket, id, spec, &queue, account)
            }
            CallerAction::State => Some(self.state_reply(&id)),
            CallerAction::Cancel => {
                let queue = route.queue.allow_anonymous.then(|| route.queue.name.clone());
                self.on_cancel_workflow(now, ticket, id, account, queue.as_ref())
            }
        }
    }

    fn state_reply(&self, id: &JobId) -> WorkflowReply {
        self.ledger.workflows().state(id).map_or(WorkflowReply::Unknown, WorkflowReply::State)
    }

    fn on_submit_workflow(
        &mut self,
        now: Time,
        ticket: Ticket,
        id: JobId,
        spec: WorkflowSpec,
        queue: &QueueSpec,
        account: Option<AccountName>,
    ) -> Option<WorkflowReply> {
        if self.ledger.workflows().state(&id).is_some() {
            // A retry by the caller after a lost answer.
            return Some(WorkflowReply::Accepted);
        }
        let tombstones = self.ledger.workflows().tombstones();
        if let Some(at) = tombstones.cancelled_at(account.as_ref(), &id) {
            info!(self.log, "workflow: rejected, cancelled before"; "event" => "workflow.withdrawn",
                "job" => %id, "queue" => %queue.name, "cancelled_ms_ago" => millis(now.since(at)));
            return Some(rejected_as_cancelled(self.cfg.workflows.retain_ended()));
        }
        if let Err(fault) = spec.check() {
            return Some(WorkflowReply::Invalid(fault.to_string()));
        }
        if let Err(rejection) = admit(self.ledger.workflows(), queue, &spec) {
            telemetry::record_rejected(&rejection);
            info!(self.log, "workflow: rejected"; "event" => "workflow.rejected", "job" => %id,
                "queue" => %queue.name, "reason" => %rejection,
                "upstreams" => self.ledger.workflows().upstreams().len());
            let reason = rejection.to_string();
            return Some(WorkflowReply::Rejected { reason, retry_after_ms: RETRY_AFTER_MS });
        }
        let terms = QueueTerms::of(queue);
        let submission =
            Submission { id: &id, spec: &spec, terms: &terms, account: account.as_ref() };
        if let Some(rejected) = self.reject_by_forecast(now, &submission) {
            return Some(rejected);
        }
        let reply = WorkflowReplyKind::Accepted(id.clone());
        let command = WorkflowCommand::Accept { id, spec, terms, account, at: now };
        self.propose_workflow(now, ticket, command, reply)
    }

    /// Whether a caller may cancel a workflow: its account submitted it, or it is in a queue that is open to everyone, which
    /// `open_queue` names if the caller addressed one.
    fn may_cancel(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
        open_queue: Option<&QueueName>,
    ) -> bool {
        self.ledger.workflows().job(id).is_none_or(|job| {
            let is_open = job.account.is_none() || open_queue == Some(&job.terms.queue);
            is_open || job.account.as_ref() == account
        })
    }

    fn on_cancel_workflow(
        &mut self,
        now: Time,
        ticket: Ticket,
        id: JobId,
        account: Option<AccountName>,
        open_queue: Option<&QueueName>,
    ) -> Option<WorkflowReply> {
        if !self.may_cancel(&id, account.as_ref(), open_queue) {
            info!(self.log, "workflow: cancellation by another account"; "event" => "workflow.foreign_cancel",
                "job" => %id, "account" => account.as_ref().map(ToString::to_string));
            return Some(WorkflowReply::Unknown);
        }
        match self.ledger.workflows().state(&id) {
            None => self.on_cancel_unknown(now, ticket, id, account),
            Some(state) if state.is_final() => Some(WorkflowReply::State(state)),
            Some(_) => {
                let reply = WorkflowReplyKind::Cancelled(id.clone());
                self.propose_workflow(now, ticket, WorkflowCommand::Cancel { id, at: now }, reply)
            }
        }
    }

    /// Handles the cancellation of a workflow that is unknown. Its submission may be held up on its way, so the id is recorded
    /// before the caller is told that there is no such workflow.
    fn on_cancel_unknown(
        &mut self,
        now: Time,
        ticket: Ticket,
        id: JobId,
        account: Option<AccountName>,
    ) -> Option<WorkflowReply> {
        let tombstones = self.ledger.workflows().tombstones();
        if tombstones.cancelled_at(account.as_ref(), &id).is_some() {
            return Some(WorkflowReply::Unknown);
        }
        let kept_until = tombstones
            .next_evicted(account.as_ref())
            .map(|oldest| oldest.after(self.cfg.workflows.tombstone_kept_min()));
        if let Some(kept_until) = kept_until.filter(|until| now < *until) {
            let retry_after_ms = millis(kept_until.since(now));
            info!(self.log, "workflow: too many cancelled ids"; "event" => "workflow.uncancelled",
                "job" => %id, "account" => account.as_ref().map(ToString::to_string),
                "retry_after_ms" => retry_after_ms);
            let reason = "too many ids were cancelled that no job has".to_owned();
            return Some(WorkflowReply::Rejected { reason, retry_after_ms });
        }
        let reply = WorkflowReplyKind::CancelledUnknown(id.clone());
        let command = WorkflowCommand::CancelUnknown { id, account, at: now };
        self.propose_workflow(now, ticket, command, reply)
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        ticket: Ticket,
        report: UpstreamReport,
        readings: HeartbeatReadings,
        cold_left_ms: Option<u64>,
    ) -> Option<WorkflowReply> {
        let (name, incarnation) = (report.name.clone(), report.incarnation);
        let may_register = self.has_known_pool(&report);
        let leadership = self.workflow_leadership.as_mut()?;
        if leadership.sessions.has_departed(&name, incarnation) {
            return Some(WorkflowReply::Noted);
        }
        if !may_register {
            telemetry::record_foreign_heartbeat();
            debug!(self.log, "workflow: heartbeat of an unknown pool"; "event" => "heartbeat.foreign",
                "upstream" => %name, "pool" => %report.pool, "address" => %report.address);
            return Some(WorkflowReply::Noted);
        }
        let is_latest = leadership.sessions.record_heartbeat(now, &report, readings);
        if is_latest {
            leadership.sessions.record_cold(now, &report, cold_left_ms);
        }
        let workflows = self.ledger.workflows();
        let known = workflows.upstreams().get(&name);
        let report = match known.filter(|known| !is_latest && known.incarnation == incarnation) {
            // What a late heartbeat says does not hold any more, except that the upstream leaves.
            Some(known) => UpstreamReport { leaving: report.leaving, ..known.clone() },
            None => report,
        };
        let report = report.inherit_leaving(known);
        if known.is_some_and(|known| *known == report || known.incarnation > incarnation) {
            return Some(WorkflowReply::Noted);
        }
        let is_unknown = known.is_none();
        let earlier = known.filter(|known| known.incarnation < incarnation).cloned();
        let others = workflows.upstreams().values();
        let mut same_address = others.filter(|u| u.address == report.address && u.name != name);
        if let Some(later) = same_address.find(|other| other.incarnation > incarnation) {
            // A delayed heartbeat of an incarnation that has ended, unless the later one is not at this address.
            leadership.sessions.check_incarnation(&later.name);
            return Some(WorkflowReply::Noted);
        }
        if let Some(ended) = earlier {
            self.on_incarnation_ended(now, &ended);
        }
        if is_unknown {
            self.on_return(now, &name, incarnation);
        }
        self.propose_workflow(
            now,
            ticket,
            WorkflowCommand::Register(report),
            WorkflowReplyKind::Noted,
        )
    }

    /// Whether the pool of a heartbeat is in the catalog in force, or was when the same incarnation was registered. Every
    /// pool counts as known before the first catalog.
    fn has_known_pool(&self, report: &UpstreamReport) -> bool {
        let workflows = self.ledger.workflows();
        let is_same = |known: &UpstreamReport| {
            known.incarnation == report.incarnation
                && known.pool == report.pool
                && known.address == report.address
        };
        workflows.catalog().is_none_or(|catalog| catalog.pool(&report.pool).is_some())
            || workflows.upstreams().get(&report.name).is_some_and(is_same)
    }

    fn on_leave(
        &mut self,
        now: Time,
        ticket: Ticket,
        name: UpstreamName,
        incarnation: Option<Incarnation>,
    ) -> Option<WorkflowReply> {
        let known = self.ledger.workflows().upstreams().get(&name);
        let Some(known) = known.filter(|k| incarnation.is_none_or(|i| i == k.incarnation)) else {
            return Some(WorkflowReply::Noted);
        };
        let is_announced = known.leaving || incarnation.is_some();
        let (incarnation, cause) = (known.incarnation, DepartureCause::Left);
        if !is_announced {
            // It may come from an earlier incarnation under the same name, so the present one is asked.
            info!(self.log, "workflow: leave request names no incarnation, and the upstream does not drain";
                "event" => "leave.doubtful", "upstream" => %name, "incarnation" => incarnation.0);
            self.workflow_leadership.as_mut()?.sessions.check_incarnation(&name);
            return Some(WorkflowReply::Noted);
        }
        let departure = Departure { upstream: name, incarnation, cause };
        let command = self.deregistration(now, &departure)?;
        self.propose_workflow(now, ticket, command, WorkflowReplyKind::Noted)
    }

    pub(crate) fn workflow_reply(&self, kind: &WorkflowReplyKind) -> WorkflowReply {
        match kind {
            WorkflowReplyKind::Accepted(id) => match self.ledger.workflows().state(id) {
                Some(_) => WorkflowReply::Accepted,
                None => rejected_as_cancelled(self.cfg.workflows.retain_ended()),
            },
            WorkflowReplyKind::CancelledUnknown(id) => self.state_reply(id),
            WorkflowReplyKind::Cancelled(id) => {
                let state = self.ledger.workflows().state(id);
                WorkflowReply::State(state.unwrap_or(WorkflowState::Cancelled))
            }
            WorkflowReplyKind::Stored | WorkflowReplyKind::DrainStarted(_) => WorkflowReply::Stored,
            WorkflowReplyKind::Noted => WorkflowReply::Noted,
        }
    }
}
