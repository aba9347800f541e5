//! Which steps may start, and in which order they are served.
//!
//! Handles more waiting work than the pool can hold: work that can still meet its latency objective
//! is served before work that can only be late, and that before work that is too late to be of
//! value.

use std::cmp::{Ordering, Reverse};
use std::collections::BTreeSet;
use std::time::Duration;

use hg_ledger::{Occurrence, StepRecord, TaskState, Workflow, WorkflowLedger};
use hg_model::{JobId, RunNumber, StepId, StepSpec, Time, UpstreamName};

/// A job that takes longer than this multiple of its latency objective has no value any more.
pub(crate) const LATE_FACTOR: u64 = 3;

/// Once a workflow has this many tasks that may start, its later occurrences wait for the earlier ones. As many as a single
/// occurrence may have.
const WAITING_MAX: usize = 10_000;

/// Whether a job can still end within its latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// Within its latency objective.
    OnTime,
    /// After its latency objective, but soon enough to be of value.
    Late,
    /// Too late to be of value.
    Overdue,
}

/// The position of a step in the order; smaller ranks are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    priority: u32,
    /// Urgent work beyond its account's guarantee is served after urgent work within a guarantee.
    is_uncovered: bool,
    outlook: Outlook,
    deadline: Time,
}

/// A step with tasks that may start now.
#[derive(Debug, Clone)]
pub(crate) struct ReadyStep<'a> {
    pub(crate) id: StepId,
    pub(crate) job: &'a Workflow,
    pub(crate) spec: &'a StepSpec,
    /// The state of its tasks; `None` if its occurrence has not started.
    pub(crate) record: Option<&'a StepRecord>,
    /// The indices of the tasks that may start; all of them if the step is a gang.
    pub(crate) waiting: Vec<u32>,
    pub(crate) rank: Rank,
    /// When its occurrence was due: the scheduled time, or else the time at which the job was
    /// accepted.
    pub(crate) due: Time,
    /// The upstreams on which it may run, if another service decides that.
    pub(crate) allowed: Option<BTreeSet<UpstreamName>>,
}

impl ReadyStep<'_> {
    pub(crate) const fn is_urgent(&self) -> bool {
        self.job.terms.priority == 0
    }

    /// The order in which steps are served.
    pub(crate) fn order(&self, other: &Self) -> Ordering {
        let key = |step: &Self| (step.rank, Reverse(step.spec.tasks));
        key(self).cmp(&key(other)).then_with(|| self.id.cmp(&other.id))
    }

    /// Whether its job is too late to be of value.
    pub(crate) fn is_overdue(&self) -> bool {
        self.rank.outlook == Outlook::Overdue
    }

    /// Whether it is urgent and covered by its account's guarantee.
    pub(crate) const fn is_covered(&self) -> bool {
        self.is_urgent() && !self.rank.is_uncovered
    }

    /// The number of a task's next run; all members of a gang share one.
    pub(crate) fn next_run(&self, task: u32) -> RunNumber {
        let Some(record) = self.record else { return RunNumber(1) };
        if self.spec.gang {
            return record.last_run().next();
        }
        let task = usize::try_from(task).ok().and_then(|at| record.tasks.get(at));
        task.map_or(RunNumber(1), |task| task.run.next())
    }
}

/// All steps with tasks that may start at `now`, in the order in which they are served.
pub(crate) fn ready_steps<'a>(
    now: Time,
    ledger: &'a WorkflowLedger,
    covered: &BTreeSet<JobId>,
) -> Vec<ReadyStep<'a>> {
    let mut ready = Vec::new();
    for (id, job) in ledger.jobs() {
        if job.is_active() {
            collect_ready(now, id, job, covered.contains(id), &mut ready);
        }
    }
    ready.sort_by(ReadyStep::order);
    ready
}

fn collect_ready<'a>(
    now: Time,
    id: &JobId,
    job: &'a Workflow,
    is_covered: bool,
    ready: &mut Vec<ReadyStep<'a>>,
) {
    let mut waiting_count = 0;
    for number in 0..job.spec.occurrences() {
        if waiting_count >= WAITING_MAX {
            return;
        }
        let due = match job.spec.schedule {
            Some(schedule) => Time(schedule.due_ms(number)),
            None => job.accepted_at,
        };
        if job.spec.schedule.is_some() && due > now {
            return;
        }
        if job.finished.contains(&number) {
            continue;
        }
        let occurrence = job.occurrence(number);
        let rank = rank(now, job, due, is_covered);
        for (step, spec) in (0_u32..).zip(&job.spec.steps) {
            let waiting = waiting_tasks(spec, step, occurrence);
            if waiting.is_empty() {
                continue;
            }
            let record = occurrence.and_then(|o| o.steps.get(usize::try_from(step).ok()?));
            if record.is_some_and(|record| !record.can_run_again(job.terms.attempts)) {
                continue;
            }
            waiting_count += waiting.len();
            let id = StepId { job: id.clone(), occurrence: number, step };
            ready.push(ReadyStep { id, job, spec, record, waiting, rank, due, allowed: None });
        }
    }
}

fn waiting_tasks(spec: &StepSpec, step: u32, occurrence: Option<&Occurrence>) -> Vec<u32> {
    let Some(occurrence) = occurrence else {
        return if spec.after.is_empty() { (0..spec.tasks).collect() } else { Vec::new() };
    };
    if !occurrence.is_ready(spec) {
        return Vec::new();
    }
    let record = usize::try_from(step).ok().and_then(|at| occurrence.steps.get(at));
    let Some(record) = record else { return Vec::new() };
    let is_running = |state: &TaskState| matches!(state, TaskState::Running { .. });
    if spec.gang && record.tasks.iter().any(|task| is_running(&task.state)) {
        return Vec::new();
    }
    let tasks = (0_u32..).zip(&record.tasks);
    tasks.filter(|(_, task)| task.is_waiting()).map(|(index, _)| index).collect()
}

fn rank(now: Time, job: &Workflow, due: Time, is_covered: bool) -> Rank {
    let chain_ms = job.spec.estimated_chain_ms();
    let objective_ms = job.terms.latency_objective_ms(&job.spec);
    let after = |ms: u64| due.after(Duration::from_millis(ms));
    let end = now.after(Duration::from_millis(chain_ms));
    let outlook = if end <= after(objective_ms) {
        Outlook::OnTime
    } else if end <= after(objective_ms.saturating_mul(LATE_FACTOR)) {
        Outlook::Late
    } else {
        Outlook::Overdue
    };
    let priority = job.terms.priority;
    let is_uncovered = priority == 0 && !is_covered;
    Rank { priority, is_uncovered, outlook, deadline: after(objective_ms) }
}
