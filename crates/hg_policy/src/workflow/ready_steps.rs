//! Which steps may start, and in which order they are served.
//!
//! Handles more waiting work than the pool can hold: work that can still meet its latency objective
//! is served before work that can only be late, and that before work that is too late to be of
//! value.

use std::cmp::{Ordering, Reverse};
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use hg_ledger::{Occurrence, StepRecord, TaskState, Workflow, WorkflowLedger};
use hg_model::{
    AdviceTiming, JobId, PoolName, RunNumber, Schedule, StepId, StepSpec, Time, UpstreamName,
};

use super::queue_settings::QueueSettings;
use super::run_times::{Chances, RunTimes};

/// A job that takes longer than this multiple of its latency objective has no value any more.
pub(crate) const LATE_FACTOR: u64 = 3;

/// A job has an outlook if its chance of it is at least this.
const CHANCE_MIN: f64 = 0.05;
/// From this chance on, the deadline alone orders work of the same outlook. Earliest deadlines first brings each job
/// close to this chance where there is more work than capacity, so it must be high.
const CHANCE_GOOD: f64 = 0.75;
/// The steps of doubt between a certain outlook and none.
const DOUBT_STEPS: f64 = 10.0;

/// Once a workflow has this many tasks that may start, its later occurrences wait for the earlier ones. As many as a single
/// occurrence may have.
const WAITING_MAX: usize = 10_000;
/// Most tasks that a round considers of occurrences that have not begun, over all scheduled workflows; those with overdue
/// occurrences share it. A round has to end well within the leader's lease, however far the schedules are behind.
const NOT_BEGUN_MAX: usize = 4_096;

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
    /// How doubtful the outlook is, by learned run times; 0 if it is likely, or derives from the estimate. Doubtful
    /// work is served later, since waiting costs it less and its run is more often in vain.
    doubt: u8,
    /// The class of its account's share; 0 for all steps where there is no fair order.
    pub(crate) share_class: u32,
    deadline: Time,
}

impl Rank {
    /// What decides before the account's share does: priority, coverage and outlook.
    pub(crate) const fn group(&self) -> (u32, bool, Outlook) {
        (self.priority, self.is_uncovered, self.outlook)
    }

    pub(crate) const fn outlook(&self) -> Outlook {
        self.outlook
    }

    /// The end of its job's latency objective.
    pub(crate) const fn deadline(&self) -> Time {
        self.deadline
    }
}

/// A step with tasks that may start now.
#[derive(Debug, Clone)]
pub(crate) struct ReadyStep<'a> {
    pub(crate) id: StepId,
    pub(crate) job: &'a Workflow,
    pub(crate) spec: &'a StepSpec,
    /// The pool whose upstreams run its tasks.
    pub(crate) pool: &'a PoolName,
    /// Set if an external service decides which upstreams may run it.
    pub(crate) advice: Option<AdviceTiming>,
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
    queues: &QueueSettings<'a>,
    covered: &BTreeSet<JobId>,
    run_times: &RunTimes,
) -> Vec<ReadyStep<'a>> {
    let mut ready = Vec::new();
    let active = || ledger.jobs().iter().filter(|(_, job)| job.is_active());
    let is_behind = |job: &Workflow| job.spec.schedule.is_some() && overdue_count(now, job) > 0;
    let behind = active().filter(|(_, job)| is_behind(job)).count();
    let not_begun_max = (NOT_BEGUN_MAX / behind.max(1)).max(1);
    for (id, job) in active() {
        let cx = RankContext { now, is_covered: covered.contains(id), run_times };
        collect_ready(&cx, queues, (id, job), not_begun_max, &mut ready);
    }
    ready.sort_by(ReadyStep::order);
    ready
}

/// What the rank of a step depends on beside its job.
struct RankContext<'a> {
    now: Time,
    /// Whether a guarantee covers the job.
    is_covered: bool,
    run_times: &'a RunTimes,
}

/// When an occurrence is due.
fn due(job: &Workflow, number: u32) -> Time {
    job.spec.schedule.map_or(job.accepted_at, |schedule| Time(schedule.due_ms(number)))
}

/// How many occurrences are due at `now`, whether they have begun or not.
fn due_count(now: Time, job: &Workflow) -> u32 {
    let Some(Schedule { first_due_ms, period_ms, .. }) = job.spec.schedule else { return 1 };
    let Some(since_first) = now.0.checked_sub(first_due_ms) else { return 0 };
    let count = since_first.checked_div(period_ms).map_or(u64::MAX, |passed| passed + 1);
    u32::try_from(count).unwrap_or(u32::MAX).min(job.spec.occurrences())
}

/// The number of occurrences that are due and have not begun.
fn overdue_count(now: Time, job: &Workflow) -> usize {
    let due = usize::try_from(due_count(now, job)).unwrap_or(usize::MAX);
    due.saturating_sub(job.begun_count())
}

/// Adds the steps of a workflow that may start: those of all occurrences that have begun, and those of the occurrences
/// that come next, until these have `not_begun_max` tasks.
fn collect_ready<'a>(
    cx: &RankContext<'_>,
    queues: &QueueSettings<'a>,
    (id, job): (&JobId, &'a Workflow),
    not_begun_max: usize,
    ready: &mut Vec<ReadyStep<'a>>,
) {
    let mut waiting_count = 0;
    for number in job.occurrences.keys() {
        if waiting_count >= WAITING_MAX {
            return;
        }
        waiting_count += collect_occurrence(cx, queues, (id, job), *number, ready);
    }
    let not_begun_max = not_begun_max.min(WAITING_MAX.saturating_sub(waiting_count));
    let mut not_begun_count = 0;
    for range in ranges_in_order(cx, job, not_begun_max) {
        for number in job.not_begun(range) {
            if not_begun_count >= not_begun_max {
                return;
            }
            not_begun_count += collect_occurrence(cx, queues, (id, job), number, ready);
        }
    }
}

/// The occurrences that are due, in ranges of the same outlook, best first. The outlook gets worse with the time since an
/// occurrence was due, so each range is in the order of [`Rank`]. A single range if all may be considered.
fn ranges_in_order(cx: &RankContext<'_>, job: &Workflow, not_begun_max: usize) -> [Range<u32>; 3] {
    let due_count = due_count(cx.now, job);
    let tasks: u32 = job.spec.steps.iter().map(|step| step.tasks).sum();
    let overdue_count = overdue_count(cx.now, job);
    let all = overdue_count.saturating_mul(usize::try_from(tasks).unwrap_or(usize::MAX));
    if overdue_count <= 1 || all <= not_begun_max {
        return [0..due_count, 0..0, 0..0];
    }
    let first_with = |worst: Outlook| {
        let (mut low, mut high) = (0, due_count);
        while low < high {
            let middle = low + (high - low) / 2;
            let outlook = rank(cx, job, None, due(job, middle)).outlook;
            if outlook <= worst { high = middle } else { low = middle + 1 }
        }
        low
    };
    let (on_time, late) = (first_with(Outlook::OnTime), first_with(Outlook::Late));
    [on_time..due_count, late..on_time, 0..late]
}

/// Adds the steps of an occurrence that may start. Returns the number of their tasks.
fn collect_occurrence<'a>(
    cx: &RankContext<'_>,
    queues: &QueueSettings<'a>,
    (id, job): (&JobId, &'a Workflow),
    number: u32,
    ready: &mut Vec<ReadyStep<'a>>,
) -> usize {
    let (pool, advice) = (queues.pool(job), queues.advice(job));
    let (due, occurrence) = (due(job, number), job.occurrence(number));
    let mut known_rank = None;
    let mut waiting_count = 0;
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
        let rank = *known_rank.get_or_insert_with(|| rank(cx, job, occurrence, due));
        let id = StepId { job: id.clone(), occurrence: number, step };
        let allowed = None;
        ready.push(ReadyStep { id, job, spec, pool, advice, record, waiting, rank, due, allowed });
    }
    waiting_count
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

fn rank(cx: &RankContext<'_>, job: &Workflow, occurrence: Option<&Occurrence>, due: Time) -> Rank {
    let priority = job.terms.priority;
    let is_uncovered = priority == 0 && !cx.is_covered;
    let (outlook, doubt, deadline) = match cx.run_times.chances(cx.now, due, job, occurrence) {
        Some(chances) => {
            let objective = Duration::try_from_secs_f64(chances.objective_ms / 1_000.0);
            let deadline = due.after(objective.unwrap_or(Duration::MAX));
            let (outlook, doubt) = learned_outlook(&chances);
            (outlook, doubt, deadline)
        }
        None => {
            let (outlook, deadline) = estimated_outlook(cx.now, job, due);
            (outlook, 0, deadline)
        }
    };
    Rank { priority, is_uncovered, outlook, doubt, share_class: 0, deadline }
}

/// The outlook and the deadline by the caller's estimates.
fn estimated_outlook(now: Time, job: &Workflow, due: Time) -> (Outlook, Time) {
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
    (outlook, after(objective_ms))
}

/// The outlook by the learned run times, with the doubt about it.
fn learned_outlook(chances: &Chances) -> (Outlook, u8) {
    if chances.in_time >= CHANCE_MIN {
        (Outlook::OnTime, doubt(chances.in_time))
    } else if chances.of_value >= CHANCE_MIN {
        (Outlook::Late, doubt(chances.of_value))
    } else {
        (Outlook::Overdue, 0)
    }
}

/// The doubt that goes with a chance; 0 if the chance is good.
fn doubt(chance: f64) -> u8 {
    // At most 10, since chances are not negative.
    ((CHANCE_GOOD - chance).max(0.0) * DOUBT_STEPS).ceil() as u8
}
