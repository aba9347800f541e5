//! Handles requests about workflows from callers, operators and upstreams.

use std::sync::Arc;

use hg_ledger::{Command, QueueTerms, WorkflowCommand};
use hg_link::{CallerAction, CallerRequest, Reply, WorkflowReply, WorkflowRequest};
use hg_model::{
    AccountName, Catalog, DataCentreName, HeartbeatReadings, Incarnation, JobId, QueueSpec, Time,
    UpstreamName, UpstreamReport, WaveNumber, WaveSpec, WorkflowSpec, WorkflowState,
};
use hg_policy::{Submission, admit};
use hg_replica::Disk;
use slog::{debug, info};

use super::cancellation::cancelled_before;
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
        if let Some(rejected) = self.reject_cancelled(now, &id, account.as_ref()) {
            return Some(rejected);
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
                None => cancelled_before(self.cfg.workflows.retain_ended()),
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
