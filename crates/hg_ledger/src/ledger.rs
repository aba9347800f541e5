//! The replicated state machine: the ledger's state and how each command changes it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hg_model::{
    Answer, Attempt, AttemptResult, EntryName, JobId, JobSpec, JobState, ListVersion, Lists,
    MarkId, NotRunReason, OperationId, StopCause, Time, UpstreamName,
};
use serde::{Deserialize, Serialize};

use crate::{
    AccountUsage, Command, Contention, Crashes, Drains, ENDED_MAX, ENDED_WITH_NOTES_MAX, Effect,
    EndedJob, FAILURES_MAX, HostSpeeds, Job, JobEvent, LearnedRunTimes, ListConflict,
    OPERATIONS_MAX, Outcome, REFUSALS_MAX, Tombstones, UpkeepTargets, WorkflowLedger,
};

/// The result of applying one command of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The reply to the proposer of the command.
    pub outcome: Outcome,
    /// What changed, in the order in which it changed.
    pub effects: Vec<Effect>,
}

impl Applied {
    const fn with(outcome: Outcome, effects: Vec<Effect>) -> Self {
        Self { outcome, effects }
    }

    const fn stale() -> Self {
        Self::with(Outcome::Stale, Vec::new())
    }
}

/// The lists, the jobs with their leases, the placed guaranteed parts, the drained upstreams and
/// the workflows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    lists: Lists,
    version: ListVersion,
    writer: Option<OperationId>,
    operations: BTreeMap<OperationId, ListVersion>,
    operation_order: VecDeque<OperationId>,
    jobs: BTreeMap<JobId, Job>,
    ended: BTreeMap<JobId, EndedJob>,
    ended_order: VecDeque<JobId>,
    marks: BTreeMap<MarkId, UpstreamName>,
    drained: BTreeSet<UpstreamName>,
    workflows: WorkflowLedger,
}

/// Queries.
impl Ledger {
    /// The lists in force.
    pub const fn lists(&self) -> &Lists {
        &self.lists
    }

    /// The version of the lists.
    pub const fn version(&self) -> ListVersion {
        self.version
    }

    /// A job that has no final answer yet; `None` if it is unknown or has ended.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// A job that has its final answer and has not been evicted yet.
    pub fn ended_job(&self, id: &JobId) -> Option<&EndedJob> {
        self.ended.get(id)
    }

    /// The jobs that have no final answer yet, by id.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The ended jobs that have not been evicted yet, by id.
    pub fn ended_jobs(&self) -> impl Iterator<Item = (&JobId, &EndedJob)> {
        self.ended.iter()
    }

    /// The number of jobs without a final answer, and the number of retained ended jobs.
    pub fn job_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.ended.len())
    }

    /// The upstream of each placed guaranteed part.
    pub const fn marks(&self) -> &BTreeMap<MarkId, UpstreamName> {
        &self.marks
    }

    /// The upstreams that operators took out of placement.
    pub const fn drained(&self) -> &BTreeSet<UpstreamName> {
        &self.drained
    }

    /// The replicated state of workflows.
    pub const fn workflows(&self) -> &WorkflowLedger {
        &self.workflows
    }

    /// When the oldest retained ended job ended; `None` if none is retained.
    pub fn oldest_end_time(&self) -> Option<Time> {
        self.ended.get(self.ended_order.front()?).map(|job| job.at)
    }
}

/// Commands.
impl Ledger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores the crashes of upstreams, which a snapshot keeps apart.
    pub fn restore_crashes(&mut self, crashes: Crashes) {
        self.workflows.restore_crashes(crashes);
    }

    /// Restores the drains of data centres, which a snapshot keeps apart.
    pub fn restore_drains(&mut self, drains: Drains) {
        self.workflows.restore_drains(drains);
    }

    /// Restores the speeds of hosts, which a snapshot keeps apart.
    pub fn restore_host_speeds(&mut self, host_speeds: HostSpeeds) {
        self.workflows.restore_host_speeds(host_speeds);
    }

    /// Restores the learned run times, which a snapshot keeps apart.
    pub fn restore_run_times(&mut self, run_times: LearnedRunTimes) {
        self.workflows.restore_run_times(run_times);
    }

    /// Restores the use of resources by account that a snapshot keeps apart.
    pub fn restore_usage(&mut self, usage: AccountUsage) {
        self.workflows.restore_usage(usage);
    }

    /// Restores the learned contention, which a snapshot keeps apart.
    pub fn restore_contention(&mut self, contention: Contention) {
        self.workflows.restore_contention(contention);
    }

    /// Restores the targets of pending upkeeps, which a snapshot keeps apart.
    pub fn restore_upkeep_targets(&mut self, upkeep_targets: UpkeepTargets) {
        self.workflows.restore_upkeep_targets(upkeep_targets);
    }

    /// Restores the tombstones of cancelled workflows, which a snapshot keeps apart.
    pub fn restore_tombstones(&mut self, tombstones: Tombstones) {
        self.workflows.restore_tombstones(tombstones);
    }

    /// Applies one command of the log. A command that no longer applies changes nothing.
    pub fn apply(&mut self, command: Command) -> Applied {
        match command {
            Command::PutLists { op, expect, lists } => self.put_lists(op, expect, lists),
            Command::Accept { spec, home, at } => self.accept(spec, home, at),
            Command::Rehome { job, home } => self.rehome(&job, home),
            Command::Place { job, attempt, committed, at } => {
                self.place(&job, attempt, committed, at)
            }
            Command::Commit { job, attempt } => self.commit(&job, attempt),
            Command::Release { job, attempt, at } => self.release(&job, attempt, at),
            Command::Stop { job, attempt, cause, at } => self.stop(&job, attempt, cause, at),
            Command::Ended { job, attempt, result, at } => self.ended(&job, attempt, result, at),
            Command::GiveUp { job, reason, at } => self.give_up(&job, reason, at),
            Command::Cancel { job, at } => self.cancel(&job, at),
            Command::Mark { mark, upstream } => self.mark(mark, upstream),
            Command::Drain { upstream, drained } => self.drain(upstream, drained),
            Command::Forget { before } => self.forget(before),
            Command::Workflow(command) => {
                let effects = self.workflows.apply(command);
                let effects = effects.into_iter().map(Effect::Workflow).collect();
                Applied::with(Outcome::Done, effects)
            }
        }
    }

    fn put_lists(&mut self, op: OperationId, expect: ListVersion, lists: Lists) -> Applied {
        if let Some(version) = self.operations.get(&op) {
            return Applied::with(Outcome::Lists(*version), Vec::new());
        }
        if expect != self.version {
            let conflict = ListConflict { current: self.version, winner: self.writer.clone() };
            return Applied::with(Outcome::Conflict(conflict), Vec::new());
        }
        self.version.0 += 1;
        self.drop_changed_marks(&lists);
        self.lists = lists;
        self.writer = Some(op.clone());
        self.remember_operation(op);
        Applied::with(Outcome::Lists(self.version), vec![Effect::Lists])
    }

    /// Remembers the version that an operation wrote, so that a resent write gets the same reply.
    /// Evicts the oldest operation if there are [`OPERATIONS_MAX`].
    fn remember_operation(&mut self, op: OperationId) {
        if self.operation_order.len() >= OPERATIONS_MAX
            && let Some(oldest) = self.operation_order.pop_front()
        {
            self.operations.remove(&oldest);
        }
        self.operations.insert(op.clone(), self.version);
        self.operation_order.push_back(op);
    }

    /// Removes the marks whose guarantee is changed or missing in the next lists.
    fn drop_changed_marks(&mut self, next: &Lists) {
        let lists = &self.lists;
        let guarantee = |lists: &Lists, mark: &MarkId| {
            let plan = lists.plan_of(&mark.account)?;
            plan.guarantees.get(usize::from(mark.block)).copied()
        };
        let changed: Vec<MarkId> = self
            .marks
            .keys()
            .filter(|mark| guarantee(lists, mark) != guarantee(next, mark))
            .cloned()
            .collect();
        for mark in changed {
            self.marks.remove(&mark);
            self.clear_mark_claims(&mark);
        }
    }

    /// Turns the claims of a part that has moved into borrowed, unguaranteed capacity.
    ///
    /// Otherwise a new leader could count them as claims of the part at its new upstream, and
    /// exclude the claims that really belong there.
    fn clear_mark_claims(&mut self, mark: &MarkId) {
        for job in self.jobs.values_mut() {
            job.state.clear_mark(mark);
        }
    }

    fn accept(&mut self, spec: JobSpec, home: EntryName, at: Time) -> Applied {
        if let Some(job) = self.jobs.get(&spec.id) {
            let outcome = if job.spec == spec { Outcome::Known } else { Outcome::Mismatch };
            return Applied::with(outcome, Vec::new());
        }
        if let Some(job) = self.ended.get(&spec.id) {
            let outcome = if job.matches_spec(&spec) { Outcome::Known } else { Outcome::Mismatch };
            return Applied::with(outcome, Vec::new());
        }
        let id = spec.id.clone();
        self.jobs.insert(id.clone(), Job::new(spec, home, at));
        Applied::with(Outcome::Done, vec![Effect::Queued(id)])
    }

    fn rehome(&mut self, id: &JobId, home: EntryName) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        if job.home == home {
            return Applied::stale();
        }
        job.home = home;
        Applied::with(Outcome::Done, vec![Effect::HomeChanged(id.clone())])
    }

    fn place(&mut self, id: &JobId, attempt: Attempt, committed: bool, at: Time) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        let JobState::Queued(lifecycle) = &job.state else { return Applied::stale() };
        if attempt.number != job.attempts + 1 || (committed && attempt.members.len() != 1) {
            return Applied::stale();
        }
        let placed = lifecycle.clone().place(attempt.clone());
        job.attempts += 1;
        job.record_event(at, placed_event(&attempt));
        let mut effects =
            vec![Effect::Dequeued(id.clone()), Effect::LeasesTaken { job: id.clone(), attempt }];
        if committed {
            job.state = placed.commit().into();
            effects.push(Effect::Committed { job: id.clone() });
        } else {
            job.state = placed.into();
        }
        Applied::with(Outcome::Done, effects)
    }

    fn commit(&mut self, id: &JobId, number: u32) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        match &job.state {
            JobState::Placed(lifecycle)
                if lifecycle.state().attempt().number == number && !job.cancelled =>
            {
                job.state = lifecycle.clone().commit().into();
                Applied::with(Outcome::Done, vec![Effect::Committed { job: id.clone() }])
            }
            // A resent commit is acknowledged again.
            JobState::Running(lifecycle)
                if lifecycle.state().attempt().number == number
                    && lifecycle.state().stop().is_none() =>
            {
                Applied::with(Outcome::Known, Vec::new())
            }
            _ => Applied::stale(),
        }
    }

    fn release(&mut self, id: &JobId, number: u32, at: Time) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        let JobState::Placed(lifecycle) = &job.state else { return Applied::stale() };
        let attempt = lifecycle.state().attempt().clone();
        if attempt.number != number {
            return Applied::stale();
        }
        job.state = lifecycle.clone().release().into();
        job.refusals += 1;
        job.record_event(at, JobEvent::Released(number));
        let released = Effect::LeasesReleased { job: id.clone(), attempt, result: None };
        self.requeue_or_finish(id, at, released)
    }

    /// Reports a job as queued again after its attempt is over, or ends it if it was cancelled or
    /// was refused [`REFUSALS_MAX`] times.
    fn requeue_or_finish(&mut self, id: &JobId, at: Time, released: Effect) -> Applied {
        let mut effects = vec![released];
        let job = self.jobs.get(id).expect("the caller has just changed this job");
        let reason = if job.cancelled {
            Some(NotRunReason::Cancelled)
        } else if job.refusals >= REFUSALS_MAX {
            Some(NotRunReason::NoUpstreamAccepted)
        } else {
            None
        };
        match reason {
            Some(reason) => effects.extend(self.finish(id, not_run_or_failed(job, reason), at)),
            None => effects.push(Effect::Queued(id.clone())),
        }
        Applied::with(Outcome::Done, effects)
    }

    fn stop(&mut self, id: &JobId, number: u32, cause: StopCause, at: Time) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        let JobState::Running(lifecycle) = &job.state else { return Applied::stale() };
        let running = lifecycle.state();
        if running.attempt().number != number || running.stop().is_some() {
            return Applied::stale();
        }
        job.state = lifecycle.clone().stop(cause).into();
        job.record_event(at, JobEvent::Stopping(stop_cause_text(cause).to_owned()));
        Applied::with(Outcome::Done, vec![Effect::Stopping { job: id.clone(), cause }])
    }

    fn ended(&mut self, id: &JobId, number: u32, result: AttemptResult, at: Time) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        let JobState::Running(lifecycle) = &job.state else { return Applied::stale() };
        let lifecycle = lifecycle.clone();
        let attempt = lifecycle.state().attempt().clone();
        if attempt.number != number {
            return Applied::stale();
        }
        let next = next_step(job, lifecycle.state().stop(), &result);
        job.record_event(at, JobEvent::Ended { attempt: number, result: result.to_string() });
        match &result {
            AttemptResult::NeverStarted { .. } => job.refusals += 1,
            AttemptResult::Failed { .. } | AttemptResult::Lost { .. } => job.failures += 1,
            AttemptResult::Answered { .. } | AttemptResult::Stopped => {}
        }
        job.may_have_run |= !matches!(result, AttemptResult::NeverStarted { .. });
        let released = Effect::LeasesReleased { job: id.clone(), attempt, result: Some(result) };
        match next {
            NextStep::Finish(answer) => {
                let mut effects = vec![released];
                effects.extend(self.finish(id, answer, at));
                Applied::with(Outcome::Done, effects)
            }
            NextStep::Requeue => {
                job.state = lifecycle.requeue().into();
                self.requeue_or_finish(id, at, released)
            }
        }
    }

    fn give_up(&mut self, id: &JobId, reason: NotRunReason, at: Time) -> Applied {
        match self.jobs.get(id) {
            Some(job) if job.state.is_queued() => {
                let effects = self.finish(id, not_run_or_failed(job, reason), at);
                Applied::with(Outcome::Done, effects)
            }
            _ => Applied::stale(),
        }
    }

    fn cancel(&mut self, id: &JobId, at: Time) -> Applied {
        if self.ended.contains_key(id) {
            return Applied::with(Outcome::Known, Vec::new());
        }
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        if job.cancelled {
            return Applied::with(Outcome::Known, Vec::new());
        }
        job.cancelled = true;
        let attempt = job.state.attempt().map(|a| a.number);
        match (&job.state, attempt) {
            (JobState::Queued(_), _) => {
                let answer = not_run_or_failed(job, NotRunReason::Cancelled);
                let effects = self.finish(id, answer, at);
                Applied::with(Outcome::Done, effects)
            }
            (JobState::Running(_), Some(number)) => self.stop(id, number, StopCause::Cancelled, at),
            // A placed job is not committed any more, and the release of its attempt ends it.
            _ => Applied::with(Outcome::Done, Vec::new()),
        }
    }

    fn mark(&mut self, mark: MarkId, upstream: Option<UpstreamName>) -> Applied {
        if self.marks.get(&mark) != upstream.as_ref() {
            self.clear_mark_claims(&mark);
        }
        match upstream {
            Some(upstream) => self.marks.insert(mark.clone(), upstream),
            None => self.marks.remove(&mark),
        };
        Applied::with(Outcome::Done, vec![Effect::MarkAssigned(mark)])
    }

    fn drain(&mut self, upstream: UpstreamName, drained: bool) -> Applied {
        let changed = if drained {
            self.drained.insert(upstream.clone())
        } else {
            self.drained.remove(&upstream)
        };
        if !changed {
            return Applied::with(Outcome::Known, Vec::new());
        }
        Applied::with(Outcome::Done, vec![Effect::DrainChanged(upstream)])
    }

    fn forget(&mut self, before: Time) -> Applied {
        while self.oldest_end_time().is_some_and(|at| at < before) {
            self.forget_oldest();
        }
        Applied::with(Outcome::Done, Vec::new())
    }

    fn forget_oldest(&mut self) {
        if let Some(id) = self.ended_order.pop_front() {
            self.ended.remove(&id);
        }
    }

    /// Drops the history of the ended job that has just fallen out of the newest
    /// [`ENDED_WITH_NOTES_MAX`].
    fn drop_old_notes(&mut self) {
        let index = self.ended_order.len().checked_sub(ENDED_WITH_NOTES_MAX + 1);
        let id = index.and_then(|index| self.ended_order.get(index));
        if let Some(job) = id.and_then(|id| self.ended.get_mut(id)) {
            job.notes = Vec::new();
        }
    }

    /// Gives a job its final answer and moves it to the ended jobs; evicts the oldest of these if
    /// there are more than [`ENDED_MAX`]. A placed job is left unchanged.
    fn finish(&mut self, id: &JobId, answer: Answer, at: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(mut job) = self.jobs.remove(id) else { return effects };
        let finished = match &job.state {
            JobState::Queued(lifecycle) => {
                effects.push(Effect::Dequeued(id.clone()));
                lifecycle.clone().finish(answer.clone(), at)
            }
            JobState::Running(lifecycle) => lifecycle.clone().finish(answer.clone(), at),
            JobState::Placed(_) => {
                self.jobs.insert(id.clone(), job);
                return effects;
            }
        };
        job.record_event(at, JobEvent::Finished(answer.to_string()));
        let home = job.home.clone();
        self.ended.insert(id.clone(), EndedJob::new(job, &finished));
        self.ended_order.push_back(id.clone());
        self.drop_old_notes();
        if self.ended.len() > ENDED_MAX {
            self.forget_oldest();
        }
        effects.push(Effect::Finished { job: id.clone(), home, answer });
        effects
    }
}

/// What follows the end of a committed attempt.
enum NextStep {
    Finish(Answer),
    Requeue,
}

/// Decides whether a job whose committed attempt has ended gets its final answer or another
/// attempt.
fn next_step(job: &Job, stop: Option<StopCause>, result: &AttemptResult) -> NextStep {
    let cancelled = stop == Some(StopCause::Cancelled) || job.cancelled;
    let may_retry = job.spec.idempotent && !cancelled && job.failures + 1 < FAILURES_MAX;
    match result {
        AttemptResult::Answered { length, sha256 } => {
            NextStep::Finish(Answer::Answered { length: *length, sha256: *sha256 })
        }
        AttemptResult::NeverStarted { .. } => NextStep::Requeue,
        AttemptResult::Stopped if job.spec.is_stoppable() && !cancelled => NextStep::Requeue,
        AttemptResult::Stopped => {
            NextStep::Finish(Answer::Failed { reason: "stopped after it had started".to_owned() })
        }
        AttemptResult::Failed { .. } | AttemptResult::Lost { .. } if may_retry => NextStep::Requeue,
        AttemptResult::Failed { reason, .. } => {
            NextStep::Finish(Answer::Failed { reason: reason.clone() })
        }
        AttemptResult::Lost { upstream } => {
            NextStep::Finish(Answer::Unknown { reason: format!("upstream {upstream} was lost") })
        }
    }
}

/// The final answer to a job that is given up. A job of which an earlier attempt may have started
/// is reported as failed, since it cannot be reported as not run.
fn not_run_or_failed(job: &Job, reason: NotRunReason) -> Answer {
    if job.may_have_run {
        return Answer::Failed { reason: format!("an earlier attempt ran; then: {reason}") };
    }
    Answer::NotRun(reason)
}

fn placed_event(attempt: &Attempt) -> JobEvent {
    let names: Vec<String> = attempt
        .members
        .iter()
        .map(|m| format!("{}{}", m.upstream, if m.mark.is_some() { "*" } else { "" }))
        .collect();
    JobEvent::Placed { attempt: attempt.number, upstreams: names.join(" ") }
}

const fn stop_cause_text(cause: StopCause) -> &'static str {
    match cause {
        StopCause::Cancelled => "cancelled",
        StopCause::Reclaimed => "a guarantee reclaims its place",
    }
}
