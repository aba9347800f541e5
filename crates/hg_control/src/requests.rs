//! Handling of requests from entries and operators.

use std::collections::BTreeSet;

use hg_ledger::Command;
use hg_link::{AttemptPhase, Directive, EntryHeartbeat, RefusedView, Reply, Request};
use hg_model::{
    AttemptResult, EntryName, JobId, JobSpec, JobState, ListFault, ListVersion, Lists,
    NotRunReason, OperationId, Time, UpstreamHeartbeat, UpstreamName,
};
use hg_replica::Disk;
use slog::info;

use crate::core::{Purpose, ReplyKind};
use crate::{Core, Ticket};

impl<D: Disk> Core<D> {
    /// Replies to a request at once, or proposes the command that it requires.
    pub(crate) fn on_request(&mut self, now: Time, ticket: Ticket, req: Request) {
        if let Some(reply) = self.handle_request(now, ticket, req) {
            self.actions.replies.push((ticket, reply));
        }
    }

    /// Returns the reply, or `None` if it follows once a proposed command is applied.
    fn handle_request(&mut self, now: Time, ticket: Ticket, req: Request) -> Option<Reply> {
        if let Request::Join { id, address } = req {
            self.replica.on_membership_request(id, address);
            return Some(if self.replica.is_leader() { Reply::Done } else { self.not_leader() });
        }
        if !self.replica.can_propose(now) || self.leadership.is_none() {
            return Some(self.not_leader());
        }
        match req {
            Request::Hello(_) | Request::Join { .. } => Some(Reply::Done),
            Request::Beats(heartbeat) => Some(self.on_entry_heartbeat(now, &heartbeat)),
            Request::Submit { spec, home } => self.on_submit(now, ticket, spec, home),
            Request::Job(id) => Some(self.job_reply(&id)),
            Request::Why(id) => Some(self.why_reply(&id)),
            Request::Cancel(id) => self.on_cancel(now, ticket, id),
            Request::Commit { job, attempt } => {
                let command = Command::Commit { job, attempt };
                self.propose_requested(now, ticket, command, ReplyKind::Commit)
            }
            Request::Release { job, attempt, upstream } => {
                self.on_release(now, ticket, job, attempt, &upstream)
            }
            Request::Ended { job, attempt, result } => {
                self.on_ended(now, ticket, job, attempt, result)
            }
            Request::GetLists => {
                let (version, lists) = (self.ledger.version(), self.ledger.lists().clone());
                Some(Reply::Lists { version, lists })
            }
            Request::CheckLists(lists) => Some(match self.scheduler.check_lists(&lists) {
                Ok(()) => Reply::Done,
                Err(faults) => self.faults_reply(now, &lists, faults),
            }),
            Request::PutLists { op, expect, lists } => {
                self.on_put_lists(now, ticket, op, expect, lists)
            }
            Request::Upstreams => Some(Reply::Upstreams(self.upstream_views())),
            Request::Drain { upstream, drained } => self.on_drain(now, ticket, upstream, drained),
            Request::Status => Some(Reply::Status(Box::new(self.cluster_view()))),
            Request::Workflow(req) => self.answer_workflow(now, ticket, req),
        }
    }

    /// Proposes the command of a request; the reply follows once it is applied.
    fn propose_requested(
        &mut self,
        now: Time,
        ticket: Ticket,
        command: Command,
        reply: ReplyKind,
    ) -> Option<Reply> {
        self.propose(now, command, Purpose::Asked { ticket, reply });
        None
    }

    fn is_settled(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.settled)
    }

    fn on_submit(
        &mut self,
        now: Time,
        ticket: Ticket,
        spec: JobSpec,
        home: EntryName,
    ) -> Option<Reply> {
        let id = spec.id.clone();
        if let Some(job) = self.ledger.job(&id) {
            if job.spec != spec {
                return Some(Reply::Mismatch);
            }
            let needs_body = job.state.is_queued() && self.is_entry_lost(now, &job.home);
            if needs_body && job.home != home {
                self.unpark(&id);
                let command = Command::Rehome { job: id.clone(), home };
                return self.propose_requested(now, ticket, command, ReplyKind::Job(id));
            }
            return Some(self.job_reply(&id));
        }
        if let Some(ended) = self.ledger.ended_job(&id) {
            let is_same = ended.matches_spec(&spec);
            return Some(if is_same { self.job_reply(&id) } else { Reply::Mismatch });
        }
        if let Some(refusal) = self.scheduler.check_admission(&spec) {
            let retry_after_ms =
                refusal.retry_after.and_then(|span| span.as_millis().try_into().ok());
            // Until all upstreams are known it can't be decided what fits.
            if !self.is_pool_known(now) && matches!(refusal.reason, NotRunReason::FitsNowhere(_)) {
                return Some(Reply::Busy);
            }
            info!(self.log, "control: job refused"; "event" => "job.refused", "job" => %id,
                "account" => %spec.account, "lists" => self.ledger.version().0,
                "reason" => %refusal.reason);
            return Some(Reply::Refused(RefusedView { reason: refusal.reason, retry_after_ms }));
        }
        self.propose_requested(
            now,
            ticket,
            Command::Accept { spec, home, at: now },
            ReplyKind::Job(id),
        )
    }

    fn unpark(&mut self, id: &JobId) {
        if let Some(leadership) = &mut self.leadership {
            leadership.parked.remove(id);
        }
        self.scheduler.unpark(&self.ledger, id);
    }

    fn on_cancel(&mut self, now: Time, ticket: Ticket, id: JobId) -> Option<Reply> {
        if self.ledger.job(&id).is_none() {
            return Some(self.job_reply(&id));
        }
        self.propose_requested(
            now,
            ticket,
            Command::Cancel { job: id.clone(), at: now },
            ReplyKind::Job(id),
        )
    }

    fn on_release(
        &mut self,
        now: Time,
        ticket: Ticket,
        job: JobId,
        attempt: u32,
        upstream: &UpstreamName,
    ) -> Option<Reply> {
        info!(self.log, "control: attempt released, member not prepared";
            "event" => "gang.unprepared", "job" => %job, "attempt" => attempt,
            "upstream" => %upstream);
        self.scheduler.mark_suspect(now, upstream);
        self.propose_requested(
            now,
            ticket,
            Command::Release { job, attempt, at: now },
            ReplyKind::Done,
        )
    }

    fn on_ended(
        &mut self,
        now: Time,
        ticket: Ticket,
        job: JobId,
        attempt: u32,
        result: AttemptResult,
    ) -> Option<Reply> {
        let id = job.clone();
        let command = Command::Ended { job, attempt, result, at: now };
        self.propose_requested(now, ticket, command, ReplyKind::Job(id))
    }

    fn on_put_lists(
        &mut self,
        now: Time,
        ticket: Ticket,
        op: OperationId,
        expect: ListVersion,
        lists: Lists,
    ) -> Option<Reply> {
        // The ledger answers a resent write, or one with an outdated version, whatever the pool is now.
        let is_current = expect == self.ledger.version();
        if is_current && !self.is_settled() {
            return Some(Reply::Busy);
        }
        if is_current && let Err(faults) = self.scheduler.check_lists(&lists) {
            return Some(self.faults_reply(now, &lists, faults));
        }
        self.propose_requested(
            now,
            ticket,
            Command::PutLists { op, expect, lists },
            ReplyKind::Lists,
        )
    }

    /// The reply for lists with faults. Guarantees that exceed the pool may fit once it is known.
    fn faults_reply(&self, now: Time, lists: &Lists, faults: Vec<ListFault>) -> Reply {
        let depends_on_pool = lists.faults().is_empty();
        if depends_on_pool && !self.is_pool_known(now) {
            return Reply::Busy;
        }
        Reply::Faults(faults)
    }

    fn on_drain(
        &mut self,
        now: Time,
        ticket: Ticket,
        upstream: UpstreamName,
        drained: bool,
    ) -> Option<Reply> {
        let known = self.scheduler.pool().upstream(&upstream).is_some()
            || self.ledger.drained().contains(&upstream);
        if !known {
            return Some(Reply::NoUpstream);
        }
        self.propose_requested(now, ticket, Command::Drain { upstream, drained }, ReplyKind::Done)
    }

    fn on_entry_heartbeat(&mut self, now: Time, heartbeat: &EntryHeartbeat) -> Reply {
        let need_full = self.entries.record_heartbeat(now, &heartbeat.entry, heartbeat.full);
        if heartbeat.full {
            let reported: BTreeSet<&UpstreamName> =
                heartbeat.changed.iter().map(|upstream| &upstream.spec.name).collect();
            for name in self.entries.unreported(&heartbeat.entry, &reported) {
                self.lose_upstream(now, &heartbeat.entry, &name);
            }
        }
        for upstream in &heartbeat.changed {
            self.on_upstream_heartbeat(now, &heartbeat.entry, upstream);
        }
        for name in &heartbeat.lost {
            self.lose_upstream(now, &heartbeat.entry, name);
        }
        Reply::Beats { lists: self.ledger.version(), need_full }
    }

    /// Marks an upstream unreachable that its entry no longer reports.
    fn lose_upstream(&mut self, now: Time, entry: &EntryName, name: &UpstreamName) {
        if self.entries.unassign_upstream(entry, name) {
            info!(self.log, "control: upstream unresponsive"; "event" => "upstream.silent",
                "upstream" => %name, "entry" => %entry);
            self.scheduler.mark_unreachable(now, name);
        }
    }

    fn on_upstream_heartbeat(
        &mut self,
        now: Time,
        entry: &EntryName,
        heartbeat: &UpstreamHeartbeat,
    ) {
        let name = &heartbeat.spec.name;
        let boot_before = self
            .scheduler
            .pool()
            .upstream(name)
            .and_then(|record| record.spec.as_ref())
            .map(|spec| spec.boot);
        self.entries.assign_upstream(entry, name);
        if self.scheduler.record_heartbeat(now, heartbeat) {
            info!(self.log, "control: upstream reachable"; "event" => "upstream.heard",
                "upstream" => %name, "entry" => %entry, "leaving" => heartbeat.leaving,
                "boot" => heartbeat.spec.boot);
        }
        if boot_before.is_some_and(|boot| boot != heartbeat.spec.boot) {
            self.abort_attempts_on(name);
        }
        self.fence_stale_leases(entry, heartbeat);
        self.fetch_ended_answers(heartbeat);
    }

    /// Aborts all attempts on a restarted upstream, which no longer has the leases of its earlier
    /// incarnation.
    fn abort_attempts_on(&mut self, name: &UpstreamName) {
        let Some(record) = self.scheduler.pool().upstream(name) else { return };
        let jobs = record.jobs.iter().filter_map(|id| self.ledger.job(id));
        let aborts: Vec<(EntryName, Directive)> = jobs
            .filter_map(|job| {
                let attempt = job.state.attempt()?.number;
                let (job_id, upstream) = (job.spec.id.clone(), name.clone());
                let abort = Directive::Abort { job: job_id, attempt, upstream };
                Some((job.home.clone(), abort))
            })
            .collect();
        self.actions.directives.extend(aborts);
    }

    /// Ends leases that an upstream holds although their attempt is not the job's current one.
    fn fence_stale_leases(&mut self, entry: &EntryName, heartbeat: &UpstreamHeartbeat) {
        for lease in &heartbeat.leases {
            let current = self.ledger.job(&lease.job).and_then(|job| job.state.attempt());
            if current.is_some_and(|attempt| attempt.number == lease.attempt) {
                continue;
            }
            let (address, term) = (heartbeat.spec.address, self.replica.term());
            let directive = Directive::Fence { lease: lease.clone(), address, term };
            self.actions.directives.push((entry.clone(), directive));
        }
    }

    /// Orders the jobs' homes to fetch the answers of ended leases.
    fn fetch_ended_answers(&mut self, heartbeat: &UpstreamHeartbeat) {
        for lease in &heartbeat.ended {
            let Some(job) = self.ledger.job(&lease.job) else { continue };
            let JobState::Running(lifecycle) = &job.state else { continue };
            if lifecycle.state().attempt().number != lease.attempt {
                continue;
            }
            if let Some(order) = self.attempt_order(job, AttemptPhase::Adopt) {
                let home = job.home.clone();
                self.actions.directives.push((home, Directive::Run(order)));
            }
        }
    }
}
