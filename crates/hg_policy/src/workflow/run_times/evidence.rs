//! The runs whose time will be learned from, and those that completed since the last replicated command.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{RunTimeChange, RunTimeKey, WorkflowLedger};
use hg_model::{RunNumber, StepId, TaskId, Time, UpstreamName};

use super::distribution::bucket_of;

/// The shortest time between two commands with completed runs.
const REPLICATE_EVERY: Duration = Duration::from_secs(2);
/// Most keys with completed runs between two commands; runs of further images count only for their queue.
const KEYS_MAX: usize = 64;
/// The time that the start order and the report of the end take, which is no part of the work.
const OVERHEAD: Duration = Duration::from_millis(50);
/// Runs with shorter estimates are not learned from: such overheads would dominate them. A limit on the run time itself
/// would leave out the shortest of the runs with equal estimates.
const ESTIMATE_MIN_MS: u64 = 250;

/// A run in progress.
#[derive(Debug, Clone)]
struct OpenEvidence {
    run: RunNumber,
    since: Time,
    estimate_ms: u64,
    is_gang: bool,
    key: RunTimeKey,
}

/// Evidence of run times that is not replicated yet. What a leader has when its term ends is lost.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    open: BTreeMap<TaskId, OpenEvidence>,
    completed: BTreeMap<RunTimeKey, BTreeMap<u8, u16>>,
    taken_at: Option<Time>,
}

impl Evidence {
    /// Records an open run. Ignored if its time will say nothing: it resumes saved progress, has no end or no
    /// sufficient estimate, or runs only on processor time that others leave.
    pub(super) fn record_open(
        &mut self,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        task: &TaskId,
    ) {
        let Some(open) = ledger.occupancy().get(upstream, task) else { return };
        if self.open.get(task).is_some_and(|known| known.run == open.run) {
            return;
        }
        let (job, spec) = (ledger.job(&task.step.job), ledger.step_spec(&task.step));
        let (Some(job), Some(spec)) = (job, spec) else { return };
        let index = usize::try_from(task.index).ok();
        let record = ledger.step_record(&task.step);
        let record = record.and_then(|record| record.tasks.get(index?));
        let is_resumed = record.is_none_or(|record| record.checkpoint.is_some());
        if is_resumed || spec.estimate_ms < ESTIMATE_MIN_MS || spec.long_running || spec.best_effort
        {
            self.open.remove(task);
            return;
        }
        let key = RunTimeKey { queue: job.terms.queue.clone(), image: spec.image.clone() };
        let (run, since, estimate_ms) = (open.run, open.since, spec.estimate_ms);
        let evidence = OpenEvidence { run, since, estimate_ms, is_gang: spec.gang, key };
        self.open.insert(task.clone(), evidence);
    }

    /// Records a completed run; of a gang, whose members have equal work, only the first member counts.
    pub(super) fn record_completed(
        &mut self,
        at: Time,
        task: &TaskId,
        run: RunNumber,
        host_factor: f64,
    ) {
        let Some(open) = self.open.remove(task).filter(|open| open.run == run) else { return };
        let took = at.since(open.since).saturating_sub(OVERHEAD);
        let ratio = took.as_millis() as f64 / open.estimate_ms as f64 / host_factor;
        let bucket = bucket_of(ratio);
        if open.key.image.is_some() {
            let of_queue = RunTimeKey { queue: open.key.queue.clone(), image: None };
            self.count(of_queue, bucket);
        }
        if open.is_gang {
            self.forget_step(&task.step);
        }
        if self.completed.len() < KEYS_MAX || self.completed.contains_key(&open.key) {
            self.count(open.key, bucket);
        }
    }

    pub(super) fn record_closed(&mut self, task: &TaskId) {
        self.open.remove(task);
    }

    /// Takes the completed runs if a command is due.
    pub(super) fn take_changes(&mut self, now: Time) -> Vec<RunTimeChange> {
        let is_due = self.taken_at.is_none_or(|at| now >= at.after(REPLICATE_EVERY) || now < at);
        if !is_due || self.completed.is_empty() {
            return Vec::new();
        }
        self.taken_at = Some(now);
        let completed = std::mem::take(&mut self.completed);
        completed.into_iter().map(|(key, runs)| RunTimeChange { key, runs }).collect()
    }

    fn count(&mut self, key: RunTimeKey, bucket: u8) {
        let runs = self.completed.entry(key).or_default().entry(bucket).or_default();
        *runs = runs.saturating_add(1);
    }

    fn forget_step(&mut self, step: &StepId) {
        let at = |index| TaskId { step: step.clone(), index };
        let members: Vec<TaskId> =
            self.open.range(at(0)..=at(u32::MAX)).map(|(task, _)| task.clone()).collect();
        for member in members {
            self.open.remove(&member);
        }
    }
}
