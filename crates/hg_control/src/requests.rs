//! Requests of entries and operators.

use std::collections::BTreeSet;

use hg_ledger::Command;
use hg_link::{AttemptPhase, Directive, EntryHeartbeat, RefusedView, Reply, Request};
use hg_model::{
    AttemptResult, EntryName, JobId, JobSpec, JobState, ListVersion, Lists, NotRunReason,
    OperationId, Time, UpstreamHeartbeat, UpstreamName,
};
use hg_replica::Disk;
use slog::info;

use crate::core::{Purpose, ReplyKind};
use crate::{Core, Ticket};

impl<D: Disk> Core<D> {
    /// Answers a request now, or proposes what it asks for.
    pub(crate) fn on_request(&mut self, now: Time, ticket: Ticket, req: Request) {
        if let Some(reply) = self.answer(now, ticket, req) {
            self.actions.replies.push((ticket, reply));
        }
    }

    fn answer(&mut self, now: Time, ticket: Ticket, req: Request) -> Option<Reply> {
        if let Request::Join { id, address } = req {
            self.replica.join(id, address);
            return Some(if self.replica.is_leader() { Reply::Done } else { self.not_leader() });
        }
        if !self.replica.can_propose(now) || self.leading.is_none() {
            return Some(self.not_leader());
        }
        match req {
            Request::Hello(_) | Request::Join { .. } => Some(Reply::Done),
            Request::Beats(beats) => Some(self.on_beats(now, &beats)),
            Request::Submit { spec, home } => self.on_submit(now, ticket, spec, home),
            Request::Job(id) => Some(self.job_reply(&id)),
            Request::Why(id) => Some(self.why_reply(&id)),
            Request::Cancel(id) => self.on_cancel(now, ticket, id),
            Request::Commit { job, attempt } => {
                let command = Command::Commit { job, attempt };
                self.ask(now, ticket, command, ReplyKind::Commit)
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
                Err(faults) => Reply::Faults(faults),
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

    fn ask(
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
        self.leading.as_ref().is_some_and(|leading| leading.settled)
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
                return self.ask(now, ticket, command, ReplyKind::Job(id));
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
            // Before all upstreams are known nothing can be said about what fits.
            if !self.is_settled() && matches!(refusal.reason, NotRunReason::FitsNowhere(_)) {
                return Some(Reply::Busy);
            }
            info!(self.log, "control: job refused"; "event" => "job.refused", "job" => %id,
                "account" => %spec.account, "lists" => self.ledger.version().0,
                "reason" => %refusal.reason);
            return Some(Reply::Refused(RefusedView { reason: refusal.reason, retry_after_ms }));
        }
        self.ask(now, ticket, Command::Accept { spec, home, at: now }, ReplyKind::Job(id))
    }

    fn unpark(&mut self, id: &JobId) {
        if let Some(leading) = &mut self.leading {
            leading.parked.remove(id);
        }
        self.scheduler.unpark(&self.ledger, id);
    }

    fn on_cancel(&mut self, now: Time, ticket: Ticket, id: JobId) -> Option<Reply> {
        if self.ledger.job(&id).is_none() {
            return Some(self.job_reply(&id));
        }
        self.ask(now, ticket, Command::Cancel { job: id.clone(), at: now }, ReplyKind::Job(id))
    }

    fn on_release(
        &mut self,
        now: Time,
        ticket: Ticket,
        job: JobId,
        attempt: u32,
        upstream: &UpstreamName,
    ) -> Option<Reply> {
        info!(self.log, "control: member not prepared"; "event" => "gang.unprepared", "job" => %job,
            "attempt" => attempt, "upstream" => %upstream);
        self.scheduler.mark_suspect(now, upstream);
        self.ask(now, ticket, Command::Release { job, attempt, at: now }, ReplyKind::Done)
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
        self.ask(now, ticket, command, ReplyKind::Job(id))
    }

    fn on_put_lists(
        &mut self,
        now: Time,
        ticket: Ticket,
        op: OperationId,
        expect: ListVersion,
        lists: Lists,
    ) -> Option<Reply> {
        // A resent write or a lost race gets its answer from the ledger, whatever the pool is now.
        let is_current = expect == self.ledger.version();
        if is_current && !self.is_settled() {
            return Some(Reply::Busy);
        }
        if is_current && let Err(faults) = self.scheduler.check_lists(&lists) {
            return Some(Reply::Faults(faults));
        }
        self.ask(now, ticket, Command::PutLists { op, expect, lists }, ReplyKind::Lists)
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
        self.ask(now, ticket, Command::Drain { upstream, drained }, ReplyKind::Done)
    }

    fn on_beats(&mut self, now: Time, beats: &EntryHeartbeat) -> Reply {
        let need_full = self.entries.heard(now, &beats.entry, beats.full);
        if beats.full {
            let named: BTreeSet<&UpstreamName> =
                beats.changed.iter().map(|b| &b.spec.name).collect();
            for name in self.entries.missing(&beats.entry, &named) {
                self.lose_upstream(now, &beats.entry, &name);
            }
        }
        for beat in &beats.changed {
            self.on_upstream(now, &beats.entry, beat);
        }
        for name in &beats.lost {
            self.lose_upstream(now, &beats.entry, name);
        }
        Reply::Beats { lists: self.ledger.version(), need_full }
    }

    fn lose_upstream(&mut self, now: Time, entry: &EntryName, name: &UpstreamName) {
        if self.entries.drop_upstream(entry, name) {
            info!(self.log, "control: upstream silent"; "event" => "upstream.silent",
                "upstream" => %name, "entry" => %entry);
            self.scheduler.mark_unreachable(now, name);
        }
    }

    fn on_upstream(&mut self, now: Time, entry: &EntryName, beat: &UpstreamHeartbeat) {
        let name = &beat.spec.name;
        let boot_before =
            self.scheduler.pool().upstream(name).and_then(|s| s.spec.as_ref()).map(|s| s.boot);
        self.entries.take_upstream(entry, name);
        if self.scheduler.record_heartbeat(now, beat) {
            info!(self.log, "control: upstream heard"; "event" => "upstream.heard",
                "upstream" => %name, "entry" => %entry, "leaving" => beat.leaving,
                "boot" => beat.spec.boot);
        }
        if boot_before.is_some_and(|boot| boot != beat.spec.boot) {
            self.abort_restarted(name);
        }
        self.fence_strangers(entry, beat);
        self.collect_ended(beat);
    }

    /// A restarted upstream has forgotten the leases of its earlier life.
    fn abort_restarted(&mut self, name: &UpstreamName) {
        let Some(seat) = self.scheduler.pool().upstream(name) else { return };
        let jobs = seat.jobs.iter().filter_map(|id| self.ledger.job(id));
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

    /// Ends leases that an upstream holds although they are not in force.
    fn fence_strangers(&mut self, entry: &EntryName, beat: &UpstreamHeartbeat) {
        for lease in &beat.leases {
            let current = self.ledger.job(&lease.job).and_then(|job| job.state.attempt());
            if current.is_some_and(|attempt| attempt.number == lease.attempt) {
                continue;
            }
            let (address, term) = (beat.spec.address, self.replica.term());
            let directive = Directive::Fence { lease: lease.clone(), address, term };
            self.actions.directives.push((entry.clone(), directive));
        }
    }

    /// Has the answers of ended leases fetched by the jobs' homes.
    fn collect_ended(&mut self, beat: &UpstreamHeartbeat) {
        for lease in &beat.ended {
            let Some(job) = self.ledger.job(&lease.job) else { continue };
            let JobState::Running(life) = &job.state else { continue };
            if life.state().attempt().number != lease.attempt {
                continue;
            }
            if let Some(order) = self.order(job, AttemptPhase::Adopt) {
                let home = job.home.clone();
                self.actions.directives.push((home, Directive::Run(order)));
            }
        }
    }
}
