//! The ledger and how commands change it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hg_model::{
    Answer, Attempt, AttemptResult, EntryName, JobId, JobSpec, JobState, ListVersion, Lists,
    MarkId, NotRunReason, OperationId, StopCause, Time, UpstreamName,
};
use serde::{Deserialize, Serialize};

use crate::{
    Command, ENDED_MAX, Effect, EndedJob, FAILURES_MAX, Job, JobEvent, ListConflict, NOTED_MAX,
    OPERATIONS_MAX, Outcome, REFUSALS_MAX, WorkflowLedger,
};

/// The result of applying one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// For whoever proposed it.
    pub outcome: Outcome,
    /// What changed, in order.
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

/// The lists, the jobs and the operators' wishes.
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

    /// A job that has no final answer yet.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// A job that has its final answer and is still remembered.
    pub fn ended_job(&self, id: &JobId) -> Option<&EndedJob> {
        self.ended.get(id)
    }

    /// The jobs that have no final answer yet, by id.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The ended jobs that are remembered, by id.
    pub fn ended_jobs(&self) -> impl Iterator<Item = (&JobId, &EndedJob)> {
        self.ended.iter()
    }

    /// How many jobs have no final answer yet, and how many ended ones are remembered.
    pub fn job_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.ended.len())
    }

    /// Where the guaranteed parts lie.
    pub const fn marks(&self) -> &BTreeMap<MarkId, UpstreamName> {
        &self.marks
    }

    /// The upstreams that operators drained.
    pub const fn drained(&self) -> &BTreeSet<UpstreamName> {
        &self.drained
    }

    /// The record of workflows.
    pub const fn workflows(&self) -> &WorkflowLedger {
        &self.workflows
    }

    /// The job that ended first of those remembered.
    pub fn oldest_end(&self) -> Option<Time> {
        self.ended.get(self.ended_order.front()?).map(|job| job.at)
    }
}

/// Commands.
impl Ledger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command of the log.
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
        self.remember(op);
        Applied::with(Outcome::Lists(self.version), vec![Effect::Lists])
    }

    fn remember(&mut self, op: OperationId) {
        if self.operation_order.len() >= OPERATIONS_MAX
            && let Some(oldest) = self.operation_order.pop_front()
        {
            self.operations.remove(&oldest);
        }
        self.operations.insert(op.clone(), self.version);
        self.operation_order.push_back(op);
    }

    /// Forgets the marks whose guarantee does not stand unchanged in the next lists.
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
            self.leave_mark(&mark);
        }
    }

    /// What claimed a part that has moved is ordinary work from now on.
    ///
    /// Otherwise a new leader could count it into the part's new claims, and the others out.
    fn leave_mark(&mut self, mark: &MarkId) {
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
        Applied::with(Outcome::Done, vec![Effect::Rehomed(id.clone())])
    }

    fn place(&mut self, id: &JobId, attempt: Attempt, committed: bool, at: Time) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        let JobState::Queued(life) = &job.state else { return Applied::stale() };
        if attempt.number != job.attempts + 1 || (committed && attempt.members.len() != 1) {
            return Applied::stale();
        }
        let placed = life.clone().place(attempt.clone());
        job.attempts += 1;
        job.note(at, placed_note(&attempt));
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
            JobState::Placed(life) if life.state().attempt().number == number && !job.cancelled => {
                job.state = life.clone().commit().into();
                Applied::with(Outcome::Done, vec![Effect::Committed { job: id.clone() }])
            }
            // A resent commit gets the first one's answer.
            JobState::Running(life)
                if life.state().attempt().number == number && life.state().stop().is_none() =>
            {
                Applied::with(Outcome::Known, Vec::new())
            }
            _ => Applied::stale(),
        }
    }

    fn release(&mut self, id: &JobId, number: u32, at: Time) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        let JobState::Placed(life) = &job.state else { return Applied::stale() };
        let attempt = life.state().attempt().clone();
        if attempt.number != number {
            return Applied::stale();
        }
        job.state = life.clone().release().into();
        job.refusals += 1;
        job.note(at, JobEvent::Released(number));
        let freed = Effect::LeasesReleased { job: id.clone(), attempt, result: None };
        self.after_unstarted(id, at, freed)
    }

    /// Queues a job again that did not start, or gives it up.
    fn after_unstarted(&mut self, id: &JobId, at: Time, freed: Effect) -> Applied {
        let mut effects = vec![freed];
        let job = self.jobs.get(id).expect("the caller has just changed it");
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
        let JobState::Running(life) = &job.state else { return Applied::stale() };
        let running = life.state();
        if running.attempt().number != number || running.stop().is_some() {
            return Applied::stale();
        }
        job.state = life.clone().stop(cause).into();
        job.note(at, JobEvent::Stopping(stop_word(cause).to_owned()));
        Applied::with(Outcome::Done, vec![Effect::Stopping { job: id.clone(), cause }])
    }

    fn ended(&mut self, id: &JobId, number: u32, result: AttemptResult, at: Time) -> Applied {
        let Some(job) = self.jobs.get_mut(id) else { return Applied::stale() };
        let JobState::Running(life) = &job.state else { return Applied::stale() };
        let life = life.clone();
        let attempt = life.state().attempt().clone();
        if attempt.number != number {
            return Applied::stale();
        }
        let next = after_run(job, life.state().stop(), &result);
        job.note(at, JobEvent::Ended { attempt: number, result: result.to_string() });
        match &result {
            AttemptResult::NeverStarted { .. } => job.refusals += 1,
            AttemptResult::Failed { .. } | AttemptResult::Lost { .. } => job.failures += 1,
            AttemptResult::Answered { .. } | AttemptResult::Stopped => {}
        }
        job.ran |= !matches!(result, AttemptResult::NeverStarted { .. });
        let freed = Effect::LeasesReleased { job: id.clone(), attempt, result: Some(result) };
        match next {
            Next::Answer(answer) => {
                let mut effects = vec![freed];
                effects.extend(self.finish(id, answer, at));
                Applied::with(Outcome::Done, effects)
            }
            Next::Again => {
                job.state = life.requeue().into();
                self.after_unstarted(id, at, freed)
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
            // The commit will be refused, and the release ends it.
            _ => Applied::with(Outcome::Done, Vec::new()),
        }
    }

    fn mark(&mut self, mark: MarkId, upstream: Option<UpstreamName>) -> Applied {
        if self.marks.get(&mark) != upstream.as_ref() {
            self.leave_mark(&mark);
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
        Applied::with(Outcome::Done, vec![Effect::Drained(upstream)])
    }

    fn forget(&mut self, before: Time) -> Applied {
        while self.oldest_end().is_some_and(|at| at < before) {
            self.forget_oldest();
        }
        Applied::with(Outcome::Done, Vec::new())
    }

    fn forget_oldest(&mut self) {
        if let Some(id) = self.ended_order.pop_front() {
            self.ended.remove(&id);
        }
    }

    /// Drops the history of the newest job that has become old.
    fn forget_notes(&mut self) {
        let old = self.ended_order.len().checked_sub(NOTED_MAX + 1);
        let old = old.and_then(|index| self.ended_order.get(index));
        if let Some(job) = old.and_then(|id| self.ended.get_mut(id)) {
            job.notes = Vec::new();
        }
    }

    /// Gives a job its final answer.
    fn finish(&mut self, id: &JobId, answer: Answer, at: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(mut job) = self.jobs.remove(id) else { return effects };
        let finished = match &job.state {
            JobState::Queued(life) => {
                effects.push(Effect::Dequeued(id.clone()));
                life.clone().finish(answer.clone(), at)
            }
            JobState::Running(life) => life.clone().finish(answer.clone(), at),
            JobState::Placed(_) => {
                self.jobs.insert(id.clone(), job);
                return effects;
            }
        };
        job.note(at, JobEvent::Finished(answer.to_string()));
        let home = job.home.clone();
        self.ended.insert(id.clone(), EndedJob::new(job, &finished));
        self.ended_order.push_back(id.clone());
        self.forget_notes();
        if self.ended.len() > ENDED_MAX {
            self.forget_oldest();
        }
        effects.push(Effect::Finished { job: id.clone(), home, answer });
        effects
    }
}

/// What follows the end of a committed attempt.
enum Next {
    Answer(Answer),
    Again,
}

fn after_run(job: &Job, stop: Option<StopCause>, result: &AttemptResult) -> Next {
    let cancelled = stop == Some(StopCause::Cancelled) || job.cancelled;
    let may_repeat = job.spec.idempotent && !cancelled && job.failures + 1 < FAILURES_MAX;
    match result {
        AttemptResult::Answered { length, sha256 } => {
            Next::Answer(Answer::Answered { length: *length, sha256: *sha256 })
        }
        AttemptResult::NeverStarted { .. } => Next::Again,
        AttemptResult::Stopped if job.spec.is_stoppable() && !cancelled => Next::Again,
        AttemptResult::Stopped => {
            Next::Answer(Answer::Failed { reason: "stopped after it had started".to_owned() })
        }
        AttemptResult::Failed { .. } | AttemptResult::Lost { .. } if may_repeat => Next::Again,
        AttemptResult::Failed { reason, .. } => {
            Next::Answer(Answer::Failed { reason: reason.clone() })
        }
        AttemptResult::Lost { upstream } => {
            Next::Answer(Answer::Unknown { reason: format!("upstream {upstream} was lost") })
        }
    }
}

/// A job that ran before, in part, cannot be said not to have run.
fn not_run_or_failed(job: &Job, reason: NotRunReason) -> Answer {
    if job.ran {
        return Answer::Failed { reason: format!("an earlier attempt ran; then: {reason}") };
    }
    Answer::NotRun(reason)
}

fn placed_note(attempt: &Attempt) -> JobEvent {
    let names: Vec<String> = attempt
        .members
        .iter()
        .map(|m| format!("{}{}", m.upstream, if m.mark.is_some() { "*" } else { "" }))
        .collect();
    JobEvent::Placed { attempt: attempt.number, upstreams: names.join(" ") }
}

const fn stop_word(cause: StopCause) -> &'static str {
    match cause {
        StopCause::Cancelled => "cancelled",
        StopCause::Reclaimed => "a guarantee reclaims its place",
    }
}
