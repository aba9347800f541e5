//! What a leader does as time passes and as its commands take effect.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{Command, Effect, Job, Outcome};
use hg_link::{AttemptMember, AttemptOrder, AttemptPhase, Directive};
use hg_model::{Answer, EntryName, JobId, JobState, NotRunReason, Time};
use hg_policy::Abort;
use hg_replica::Disk;
use slog::{info, warn};

use crate::Core;
use crate::core::{Leading, Purpose};

/// How long a new leader waits for entries to name their upstreams before it places jobs.
const SETTLE_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a new leader waits at least, so that entries can find it.
const SETTLE_LEAST: Duration = Duration::from_millis(600);
/// How often orders that had no visible result are sent again.
const REPEAT: Duration = Duration::from_secs(2);
/// How often old jobs are forgotten.
const FORGET: Duration = Duration::from_secs(10);
/// Most commands proposed by housekeeping at once.
const KEPT_MAX: usize = 256;

impl<D: Disk> Core<D> {
    /// Lets a leader do its work; notices the begin and the end of its lead.
    pub(crate) fn lead(&mut self, now: Time) {
        if !self.replica.can_propose(now) {
            if !self.replica.is_leader() && self.leading.is_some() {
                self.stop_leading();
            }
            return;
        }
        if self.leading.is_none() {
            self.start_leading(now);
        }
        self.lead_workflows(now);
        self.expire_entries(now);
        if !self.begin_placing(now) {
            return;
        }
        self.keep_house(now);
        self.decide(now);
    }

    fn start_leading(&mut self, now: Time) {
        info!(self.log, "control: leads"; "event" => "lead.begin", "term" => self.replica.term().0,
            "applied" => self.replica.applied().0);
        self.entries.clear();
        let silent: Vec<_> =
            self.scheduler.pool().upstreams().map(|(name, _)| name.clone()).collect();
        self.scheduler.rebuild(now, &self.ledger);
        for name in silent {
            self.scheduler.mark_unreachable(now, &name);
        }
        self.workflows = Some(self.start_workflow_lead(now, self.replica.term()));
        self.leading = Some(Leading {
            since: now,
            settled: false,
            undecided: 0,
            repeated_at: now,
            forgot_at: now,
            parked: BTreeMap::new(),
            shortages: 0,
        });
    }

    fn stop_leading(&mut self) {
        info!(self.log, "control: no longer leads"; "event" => "lead.end",
            "term" => self.replica.term().0);
        self.leading = None;
        self.workflows = None;
        self.drop_pending();
    }

    /// Whether the upstreams are known well enough to place jobs.
    fn begin_placing(&mut self, now: Time) -> bool {
        let all_reported = self.entries.all_reported();
        let Some(leading) = &mut self.leading else { return false };
        if leading.settled {
            return true;
        }
        let least = if all_reported { SETTLE_LEAST } else { SETTLE_LIMIT };
        if now < leading.since.after(least) {
            return false;
        }
        leading.settled = true;
        info!(self.log, "control: places jobs"; "event" => "lead.settled",
            "upstreams" => self.scheduler.pool().len());
        self.repeat_orders(now);
        true
    }

    fn decide(&mut self, now: Time) {
        if self.leading.as_ref().is_none_or(|leading| leading.undecided > 0) {
            return;
        }
        let decisions = self.scheduler.decide(now, self.replica.term());
        for command in decisions.commands {
            self.propose(now, command, Purpose::Decided);
        }
        for Abort { job, attempt, upstream } in decisions.aborts {
            let Some(home) = self.ledger.job(&job).map(|job| job.home.clone()) else { continue };
            warn!(self.log, "control: upstream lost"; "event" => "attempt.abort", "job" => %job,
                "attempt" => attempt, "upstream" => %upstream, "entry" => %home);
            self.actions.directives.push((home, Directive::Abort { job, attempt, upstream }));
        }
        self.log_shortages();
    }

    fn log_shortages(&mut self) {
        let shortages = self.scheduler.shortages();
        let Some(leading) = &mut self.leading else { return };
        if shortages.len() == leading.shortages {
            return;
        }
        leading.shortages = shortages.len();
        for shortage in shortages {
            warn!(self.log, "control: guarantee short"; "event" => "guarantee.short",
                "account" => %shortage.account, "shape" => %shortage.shape,
                "parts" => shortage.parts);
        }
        if shortages.is_empty() {
            info!(self.log, "control: all guarantees fit"; "event" => "guarantee.whole");
        }
    }

    /// Entries that fell silent: their upstreams are unheard, their jobs need a new home.
    fn expire_entries(&mut self, now: Time) {
        let silence = Duration::from_millis(self.cfg.limits.entry_silence_ms);
        for (entry, upstreams) in self.entries.expire(now, silence) {
            warn!(self.log, "control: entry silent"; "event" => "entry.silent", "entry" => %entry,
                "upstreams" => upstreams.len());
            for upstream in upstreams {
                self.scheduler.mark_unreachable(now, &upstream);
            }
        }
    }

    fn keep_house(&mut self, now: Time) {
        let Some(leading) = &mut self.leading else { return };
        if now >= leading.forgot_at.after(FORGET) {
            leading.forgot_at = now;
            self.forget_old(now);
        }
        let Some(leading) = &mut self.leading else { return };
        if now >= leading.repeated_at.after(REPEAT) {
            leading.repeated_at = now;
            self.rehome_jobs(now);
            self.repeat_orders(now);
        }
    }

    fn forget_old(&mut self, now: Time) {
        let kept = self.cfg.limits.remember_s.saturating_mul(1_000);
        let before = Time(now.0.saturating_sub(kept));
        if self.ledger.oldest_end().is_some_and(|at| at < before) {
            self.propose(now, Command::Forget { before }, Purpose::Kept);
        }
    }

    /// Whether an entry has been silent for so long, in this lead, that its bodies are lost.
    pub(crate) fn is_entry_lost(&self, now: Time, entry: &EntryName) -> bool {
        let silence = Duration::from_millis(self.cfg.limits.entry_silence_ms);
        let led_long = self.leading.as_ref().is_some_and(|l| now >= l.since.after(silence));
        led_long && !self.entries.is_alive(entry)
    }

    /// Finds new homes for what lost entries were carrying.
    fn rehome_jobs(&mut self, now: Time) {
        let mut commands = Vec::new();
        let mut to_park = Vec::new();
        for job in self.ledger.jobs() {
            if !self.is_entry_lost(now, &job.home) {
                continue;
            }
            if job.state.is_queued() {
                to_park.push(job.spec.id.clone());
            } else if let Some(command) = self.rescue(now, job) {
                commands.push(command);
            }
            if commands.len() >= KEPT_MAX {
                break;
            }
        }
        self.park(now, to_park, &mut commands);
        for command in commands {
            self.propose(now, command, Purpose::Kept);
        }
    }

    fn rescue(&self, now: Time, job: &Job) -> Option<Command> {
        let id = job.spec.id.clone();
        match &job.state {
            // Not committed, so nothing was or will be started.
            JobState::Placed(life) => {
                let attempt = life.state().attempt().number;
                Some(Command::Release { job: id, attempt, at: now })
            }
            JobState::Running(_) => {
                let home = self.entries.any(now.0)?.clone();
                Some(Command::Rehome { job: id, home })
            }
            JobState::Queued(_) => None,
        }
    }

    /// Waiting jobs without a body wait for their callers, for a while.
    fn park(&mut self, now: Time, ids: Vec<JobId>, commands: &mut Vec<Command>) {
        let grace = Duration::from_millis(self.cfg.limits.body_grace_ms);
        let Some(leading) = &mut self.leading else { return };
        for job in ids {
            let since = *leading.parked.entry(job.clone()).or_insert(now);
            self.scheduler.park(now, &job);
            if now >= since.after(grace) {
                commands.push(Command::GiveUp { job, reason: NotRunReason::BodyLost, at: now });
            }
        }
        let ledger = &self.ledger;
        leading.parked.retain(|id, _| ledger.job(id).is_some_and(|job| job.state.is_queued()));
    }

    /// Orders may be lost on the way; entries pass over those that they have already.
    fn repeat_orders(&mut self, now: Time) {
        let mut directives = Vec::new();
        for job in self.ledger.jobs() {
            let Some(attempt) = job.state.attempt() else { continue };
            if now < attempt.placed_at.after(REPEAT) {
                continue;
            }
            let phase = match &job.state {
                JobState::Placed(_) => AttemptPhase::Prepare,
                _ => AttemptPhase::Start,
            };
            if let Some(order) = self.order(job, phase) {
                directives.push((job.home.clone(), Directive::Run(order)));
            }
            if let Some(stop) = stop_of(job) {
                directives.push((job.home.clone(), stop));
            }
        }
        self.actions.directives.append(&mut directives);
    }

    /// The order to carry a job's present attempt out.
    pub(crate) fn order(&self, job: &Job, phase: AttemptPhase) -> Option<AttemptOrder> {
        let attempt = job.state.attempt()?;
        let id = &job.spec.id;
        let members = attempt.members.iter().enumerate().map(|(index, member)| {
            let seat = self.scheduler.pool().upstream(&member.upstream);
            let spec = seat.and_then(|seat| seat.spec.as_ref());
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

    /// Tells entries what an effect means for them.
    pub(crate) fn direct(&mut self, effect: &Effect) {
        let directive = match effect {
            Effect::LeasesTaken { job, attempt } if attempt.members.len() > 1 => {
                self.order_for(job, AttemptPhase::Prepare)
            }
            Effect::Committed { job } => {
                // A gang's entry asked for the commit and hears of it by the reply.
                let single = |job: &Job| job.state.attempt().is_some_and(|a| a.members.len() == 1);
                let start = self.ledger.job(job).is_some_and(single);
                start.then(|| self.order_for(job, AttemptPhase::Start)).flatten()
            }
            Effect::Rehomed(job) => {
                let running = |job: &Job| matches!(job.state, JobState::Running(_));
                let adopt = self.ledger.job(job).is_some_and(running);
                adopt.then(|| self.order_for(job, AttemptPhase::Adopt)).flatten()
            }
            Effect::Stopping { job, .. } => {
                self.ledger.job(job).and_then(|j| Some((j.home.clone(), stop_of(j)?)))
            }
            // Any other answer follows from the home's own report.
            Effect::Finished { job, home, answer: answer @ Answer::NotRun(_) } => {
                final_word(home, job, answer)
            }
            _ => None,
        };
        self.actions.directives.extend(directive);
    }

    fn order_for(&self, id: &JobId, phase: AttemptPhase) -> Option<(EntryName, Directive)> {
        let job = self.ledger.job(id)?;
        Some((job.home.clone(), Directive::Run(self.order(job, phase)?)))
    }

    /// One line for each decision that took effect, or did not.
    pub(crate) fn log_command(&self, command: &Command, outcome: &Outcome) {
        if self.leading.is_none() {
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
                info!(self.log, "control: applied"; "event" => "command.applied",
                    "command" => ?other, "lists" => lists, "outcome" => ?outcome);
            }
        }
    }
}

/// The stop that a running job still waits for.
fn stop_of(job: &Job) -> Option<Directive> {
    let JobState::Running(life) = &job.state else { return None };
    let running = life.state();
    let cause = running.stop()?;
    Some(Directive::Stop { job: job.spec.id.clone(), attempt: running.attempt().number, cause })
}

/// Tells a job's home of an answer that does not follow from its own report.
fn final_word(home: &EntryName, id: &JobId, answer: &Answer) -> Option<(EntryName, Directive)> {
    Some((home.clone(), Directive::Final { job: id.clone(), answer: answer.clone() }))
}
