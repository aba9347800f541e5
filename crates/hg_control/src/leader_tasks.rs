//! The leader's periodic tasks for jobs, and what follows from commands that took effect.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{Command, Effect, Job, Outcome};
use hg_link::{AttemptMember, AttemptOrder, AttemptPhase, Directive};
use hg_model::{Answer, EntryName, JobId, JobState, NotRunReason, Time};
use hg_policy::Abort;
use hg_replica::Disk;
use slog::{info, warn};

use crate::Core;
use crate::core::{Leadership, Purpose};

/// How long a new leader waits at most for the other entries to report their upstreams, once one has, before it
/// places jobs.
const SETTLE_MAX: Duration = Duration::from_millis(1_500);
/// How long a new leader waits at least before it places jobs, so that entries can find it.
const SETTLE_MIN: Duration = Duration::from_millis(600);
/// How often orders without a visible result are resent.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// How often old ended jobs are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);
/// The maximum number of recovery commands that one pass over the jobs proposes.
const RECOVERY_BATCH_MAX: usize = 256;

impl<D: Disk> Core<D> {
    /// Detects the start and the end of this replica's leadership, and runs the leader's tasks.
    pub(crate) fn run_leader(&mut self, now: Time) {
        if !self.replica.can_propose(now) {
            if !self.replica.is_leader() && self.leadership.is_some() {
                self.end_leadership();
            }
            return;
        }
        if self.leadership.is_none() {
            self.begin_leadership(now);
        }
        self.advance_workflows(now);
        self.expire_entries(now);
        if !self.settle(now) {
            return;
        }
        self.run_maintenance(now);
        self.decide(now);
    }

    fn begin_leadership(&mut self, now: Time) {
        info!(self.log, "control: became leader"; "event" => "lead.begin",
            "term" => self.replica.term().0, "applied" => self.replica.applied().0);
        self.entries.clear();
        let known: Vec<_> =
            self.scheduler.pool().upstreams().map(|(name, _)| name.clone()).collect();
        self.scheduler.rebuild(now, &self.ledger);
        for name in known {
            self.scheduler.mark_unreachable(now, &name);
        }
        self.workflow_leadership = Some(self.start_workflow_leadership(now, self.replica.term()));
        self.leadership = Some(Leadership {
            since: now,
            settled: false,
            unapplied_decisions: 0,
            orders_resent_at: now,
            jobs_forgotten_at: now,
            parked: BTreeMap::new(),
            logged_shortages: 0,
        });
    }

    fn end_leadership(&mut self) {
        info!(self.log, "control: no longer leader"; "event" => "lead.end",
            "term" => self.replica.term().0);
        self.refer_drain_requests();
        self.leadership = None;
        self.workflow_leadership = None;
        self.fail_pending();
    }

    /// Starts placing jobs once all known entries have reported their upstreams, or some time after the
    /// first one has. Returns whether jobs may be placed.
    fn settle(&mut self, now: Time) -> bool {
        let (first_report, all_reported) =
            (self.entries.first_full_report(), self.entries.all_reported());
        let Some(leadership) = &mut self.leadership else { return false };
        if leadership.settled {
            return true;
        }
        // Without a report the pool is unknown, not empty.
        let Some(first_report) = first_report else { return false };
        let others_waited_for = all_reported || now >= first_report.after(SETTLE_MAX);
        if !others_waited_for || now < leadership.since.after(SETTLE_MIN) {
            return false;
        }
        leadership.settled = true;
        info!(self.log, "control: starts placing jobs"; "event" => "lead.settled",
            "upstreams" => self.scheduler.pool().len());
        self.resend_orders(now);
        true
    }

    /// Whether every entry that the previous leader may have known has reported its upstreams, or counts as
    /// unresponsive. Until then a shape that fits nowhere may fit upstreams that are not known yet.
    pub(crate) fn is_pool_known(&self, now: Time) -> bool {
        let timeout = Duration::from_millis(self.cfg.limits.entry_silence_ms);
        let led_long_enough =
            self.leadership.as_ref().is_some_and(|l| l.settled && now >= l.since.after(timeout));
        led_long_enough && self.entries.all_reported()
    }

    fn decide(&mut self, now: Time) {
        if self.leadership.as_ref().is_none_or(|leadership| leadership.unapplied_decisions > 0) {
            return;
        }
        let decisions = self.scheduler.decide(now, self.replica.term());
        for command in decisions.commands {
            self.propose(now, command, Purpose::Decided);
        }
        for Abort { job, attempt, upstream } in decisions.aborts {
            let Some(home) = self.ledger.job(&job).map(|job| job.home.clone()) else { continue };
            warn!(self.log, "control: attempt aborted, upstream lost";
                "event" => "attempt.abort", "job" => %job, "attempt" => attempt,
                "upstream" => %upstream, "entry" => %home);
            self.actions.directives.push((home, Directive::Abort { job, attempt, upstream }));
        }
        self.log_shortages();
    }

    fn log_shortages(&mut self) {
        let shortages = self.scheduler.shortages();
        let Some(leadership) = &mut self.leadership else { return };
        if shortages.len() == leadership.logged_shortages {
            return;
        }
        leadership.logged_shortages = shortages.len();
        for shortage in shortages {
            warn!(self.log, "control: guarantee exceeds the pool's capacity";
                "event" => "guarantee.short", "account" => %shortage.account,
                "shape" => %shortage.shape, "parts" => shortage.parts);
        }
        if shortages.is_empty() {
            info!(self.log, "control: all guarantees fit the pool"; "event" => "guarantee.whole");
        }
    }

    /// Removes unresponsive entries and marks their upstreams unreachable; their jobs need a new home.
    fn expire_entries(&mut self, now: Time) {
        let timeout = Duration::from_millis(self.cfg.limits.entry_silence_ms);
        for (entry, upstreams) in self.entries.expire(now, timeout) {
            warn!(self.log, "control: entry unresponsive"; "event" => "entry.silent",
                "entry" => %entry, "upstreams" => upstreams.len());
            for upstream in upstreams {
                self.scheduler.mark_unreachable(now, &upstream);
            }
        }
    }

    /// Forgets old jobs, and recovers jobs and resends orders, each at its interval.
    fn run_maintenance(&mut self, now: Time) {
        let Some(leadership) = &mut self.leadership else { return };
        if now >= leadership.jobs_forgotten_at.after(FORGET_INTERVAL) {
            leadership.jobs_forgotten_at = now;
            self.forget_ended_jobs(now);
        }
        let Some(leadership) = &mut self.leadership else { return };
        if now >= leadership.orders_resent_at.after(RESEND_INTERVAL) {
            leadership.orders_resent_at = now;
            self.recover_jobs(now);
            self.resend_orders(now);
        }
    }

    fn forget_ended_jobs(&mut self, now: Time) {
        let retention_ms = self.cfg.limits.remember_s.saturating_mul(1_000);
        let before = Time(now.0.saturating_sub(retention_ms));
        if self.ledger.oldest_end_time().is_some_and(|at| at < before) {
            self.propose(now, Command::Forget { before }, Purpose::Kept);
        }
    }

    /// Whether an entry has been unresponsive for so long, in this leadership term, that the bodies it
    /// holds count as lost.
    pub(crate) fn is_entry_lost(&self, now: Time, entry: &EntryName) -> bool {
        let timeout = Duration::from_millis(self.cfg.limits.entry_silence_ms);
        let led_long_enough =
            self.leadership.as_ref().is_some_and(|l| now >= l.since.after(timeout));
        led_long_enough && !self.entries.is_responsive(entry)
    }

    /// Recovers the jobs of lost entries: moves running ones to another entry, releases placed ones, and
    /// parks queued ones, whose body is lost.
    fn recover_jobs(&mut self, now: Time) {
        let mut commands = Vec::new();
        let mut to_park = Vec::new();
        for job in self.ledger.jobs() {
            if !self.is_entry_lost(now, &job.home) {
                continue;
            }
            if job.state.is_queued() {
                to_park.push(job.spec.id.clone());
            } else if let Some(command) = self.recovery_command(now, job) {
                commands.push(command);
            }
            if commands.len() >= RECOVERY_BATCH_MAX {
                break;
            }
        }
        self.park(now, to_park, &mut commands);
        for command in commands {
            self.propose(now, command, Purpose::Kept);
        }
    }

    /// The command that recovers a placed or running job whose entry is lost.
    fn recovery_command(&self, now: Time, job: &Job) -> Option<Command> {
        let id = job.spec.id.clone();
        match &job.state {
            // Not committed, so nothing was or will be started.
            JobState::Placed(lifecycle) => {
                let attempt = lifecycle.state().attempt().number;
                Some(Command::Release { job: id, attempt, at: now })
            }
            JobState::Running(_) => {
                let home = self.entries.pick(now.0)?.clone();
                Some(Command::Rehome { job: id, home })
            }
            JobState::Queued(_) => None,
        }
    }

    /// Parks queued jobs whose body is lost, so that their callers may resubmit them, and gives up those
    /// that were parked for the grace period.
    fn park(&mut self, now: Time, ids: Vec<JobId>, commands: &mut Vec<Command>) {
        let grace = Duration::from_millis(self.cfg.limits.body_grace_ms);
        let Some(leadership) = &mut self.leadership else { return };
        for job in ids {
            let since = *leadership.parked.entry(job.clone()).or_insert(now);
            self.scheduler.park(now, &job);
            if now >= since.after(grace) {
                commands.push(Command::GiveUp { job, reason: NotRunReason::BodyLost, at: now });
            }
        }
        let ledger = &self.ledger;
        leadership.parked.retain(|id, _| ledger.job(id).is_some_and(|job| job.state.is_queued()));
    }

    /// Resends orders, since any may be lost in transit; entries ignore those they have already.
    fn resend_orders(&mut self, now: Time) {
        let mut directives = Vec::new();
        for job in self.ledger.jobs() {
            let Some(attempt) = job.state.attempt() else { continue };
            if now < attempt.placed_at.after(RESEND_INTERVAL) {
                continue;
            }
            let phase = match &job.state {
                JobState::Placed(_) => AttemptPhase::Prepare,
                _ => AttemptPhase::Start,
            };
            if let Some(order) = self.attempt_order(job, phase) {
                directives.push((job.home.clone(), Directive::Run(order)));
            }
            if let Some(stop) = pending_stop(job) {
                directives.push((job.home.clone(), stop));
            }
        }
        self.actions.directives.append(&mut directives);
    }

    /// The order to carry out a job's current attempt; `None` if it has no attempt.
    pub(crate) fn attempt_order(&self, job: &Job, phase: AttemptPhase) -> Option<AttemptOrder> {
        let attempt = job.state.attempt()?;
        let id = &job.spec.id;
        let members = attempt.members.iter().enumerate().map(|(index, member)| {
            let record = self.scheduler.pool().upstream(&member.upstream);
            let spec = record.and_then(|record| record.spec.as_ref());
            AttemptMember {
                upstream: member.upstream.clone(),
                address: spec.map(|spec| spec.address),
                boot: spec.map(|spec| spec.boot),
                lease: attempt.lease(id, index),
                tasks: member.tasks,
            }
        });
        Some(AttemptOrder {
            job: id.clone(),
            attempt: attempt.number,
            term: self.replica.term(),
            phase,
            per_task: job.spec.shape.per_task,
            members: members.collect(),
        })
    }

    /// Queues the directives to entries that follow from an effect.
    pub(crate) fn queue_directives(&mut self, effect: &Effect) {
        let directive = match effect {
            Effect::LeasesTaken { job, attempt } if attempt.members.len() > 1 => {
                self.run_directive(job, AttemptPhase::Prepare)
            }
            Effect::Committed { job } => {
                // A gang's entry requested the commit and learns of it from the reply.
                let single = |job: &Job| job.state.attempt().is_some_and(|a| a.members.len() == 1);
                let start = self.ledger.job(job).is_some_and(single);
                start.then(|| self.run_directive(job, AttemptPhase::Start)).flatten()
            }
            Effect::HomeChanged(job) => {
                let running = |job: &Job| matches!(job.state, JobState::Running(_));
                let adopt = self.ledger.job(job).is_some_and(running);
                adopt.then(|| self.run_directive(job, AttemptPhase::Adopt)).flatten()
            }
            Effect::Stopping { job, .. } => {
                self.ledger.job(job).and_then(|j| Some((j.home.clone(), pending_stop(j)?)))
            }
            // The home knows any other answer from its own report.
            Effect::Finished { job, home, answer: answer @ Answer::NotRun(_) } => {
                final_directive(home, job, answer)
            }
            _ => None,
        };
        self.actions.directives.extend(directive);
    }

    fn run_directive(&self, id: &JobId, phase: AttemptPhase) -> Option<(EntryName, Directive)> {
        let job = self.ledger.job(id)?;
        Some((job.home.clone(), Directive::Run(self.attempt_order(job, phase)?)))
    }

    /// Logs one line for each applied command, with its outcome; only the leader logs.
    pub(crate) fn log_command(&self, command: &Command, outcome: &Outcome) {
        if self.leadership.is_none() {
            return;
        }
        let lists = self.ledger.version().0;
        match command {
            Command::Place { job, attempt, .. } => {
                let account = self.ledger.job(job).map(|j| j.spec.account.to_string());
                let upstreams: Vec<String> =
                    attempt.members.iter().map(|m| format!("{}x{}", m.upstream, m.tasks)).collect();
                let claimed = attempt.members.iter().any(|m| m.mark.is_some());
                info!(self.log, "control: job placed"; "event" => "job.placed", "job" => %job,
                    "account" => account, "attempt" => attempt.number,
                    "upstreams" => upstreams.join(" "), "lists" => lists,
                    "reason" => if claimed { "claims its guarantee" } else { "room outside guarantees" },
                    "outcome" => ?outcome);
            }
            Command::Accept { spec, home, .. } => {
                info!(self.log, "control: job accepted"; "event" => "job.accepted",
                    "job" => %spec.id, "account" => %spec.account, "kind" => %spec.kind,
                    "shape" => %spec.shape, "entry" => %home, "lists" => lists,
                    "outcome" => ?outcome);
            }
            Command::PutLists { op, expect, .. } => {
                info!(self.log, "control: lists put"; "event" => "lists.put", "op" => %op,
                    "expect" => expect.0, "lists" => lists, "outcome" => ?outcome);
            }
            Command::Workflow(command) => self.log_workflow_command(command),
            other => {
                info!(self.log, "control: command applied"; "event" => "command.applied",
                    "command" => ?other, "lists" => lists, "outcome" => ?outcome);
            }
        }
    }
}

/// The stop directive for a running job whose stop was decided.
fn pending_stop(job: &Job) -> Option<Directive> {
    let JobState::Running(lifecycle) = &job.state else { return None };
    let running = lifecycle.state();
    let cause = running.stop()?;
    Some(Directive::Stop { job: job.spec.id.clone(), attempt: running.attempt().number, cause })
}

/// The directive that gives a job's home an answer which it doesn't know from its own report.
fn final_directive(
    home: &EntryName,
    id: &JobId,
    answer: &Answer,
) -> Option<(EntryName, Directive)> {
    Some((home.clone(), Directive::Final { job: id.clone(), answer: answer.clone() }))
}
