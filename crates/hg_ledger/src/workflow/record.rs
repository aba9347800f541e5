//! The state of one workflow, its steps and its tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use hg_model::{
    AccountName, AdviceTiming, Checkpoint, PoolName, QueueName, QueueSpec, RunNumber, StepSpec,
    Time, UpstreamName, WorkflowSpec, WorkflowState,
};
use serde::{Deserialize, Serialize};

/// The settings of a queue at the time when it accepted a workflow.
///
/// Where the tasks run follows the catalog in force instead, as long as that has the queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// The queue.
    pub queue: QueueName,
    /// The pool whose upstreams run the tasks.
    pub pool: PoolName,
    /// Its priority; 0 is the highest, and larger values come later.
    pub priority: u32,
    /// Number of failures of a task at which its workflow fails.
    pub attempts: u32,
    /// The latency objective as a multiple of the longest chain of work, in thousandths.
    pub stretch_milli: u32,
    /// Constant part of the latency objective, added to that multiple, in milliseconds.
    pub objective_ms: u64,
    /// Set if an external service decides which upstreams may run a step.
    pub advice: Option<AdviceTiming>,
}

impl QueueTerms {
    /// The current settings of a queue.
    pub fn of(queue: &QueueSpec) -> Self {
        Self {
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            priority: queue.priority,
            attempts: queue.attempts,
            stretch_milli: queue.stretch_milli,
            objective_ms: queue.objective_ms,
            advice: queue.advice,
        }
    }

    /// The latency objective of a workflow of this queue, in milliseconds.
    pub fn latency_objective_ms(&self, spec: &WorkflowSpec) -> u64 {
        let stretched = spec.estimated_chain_ms().saturating_mul(u64::from(self.stretch_milli));
        (stretched / 1_000).saturating_add(self.objective_ms)
    }
}

/// Whether a workflow may still start tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkflowPhase {
    /// It may.
    Active,
    /// It was cancelled or has failed, which becomes its final state; its open runs are being
    /// stopped.
    Ending(WorkflowState),
}

/// The state of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// No run of it is in progress.
    Waiting,
    /// A run of it may be in progress.
    Running {
        /// The upstream of the run.
        upstream: UpstreamName,
    },
    /// Its work is done.
    Done,
}

/// One task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Its current state.
    pub state: TaskState,
    /// The number of its last run; 0 before the first.
    pub run: RunNumber,
    /// How many of its runs ended as failed.
    pub failures: u32,
    /// Its last saved progress.
    pub checkpoint: Option<Checkpoint>,
    /// The upstream of its last failed run.
    pub failed_at: Option<UpstreamName>,
}

impl TaskRecord {
    const fn new() -> Self {
        Self {
            state: TaskState::Waiting,
            run: RunNumber(0),
            failures: 0,
            checkpoint: None,
            failed_at: None,
        }
    }

    /// Whether it is not done and no run of it is in progress.
    pub const fn is_waiting(&self) -> bool {
        matches!(self.state, TaskState::Waiting)
    }

    /// Whether its work is done.
    pub const fn is_done(&self) -> bool {
        matches!(self.state, TaskState::Done)
    }
}

/// A run of a gang's member that must have ended, but whose upstream has not reported how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedEnd {
    /// The member.
    pub index: u32,
    /// The run.
    pub run: RunNumber,
    /// The upstream that ran it.
    pub upstream: UpstreamName,
}

/// One step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Its tasks.
    pub tasks: Vec<TaskRecord>,
    /// How many of them are done.
    pub done: u32,
    /// How many runs of the gang ended as failed, where it is one.
    pub gang_failures: u32,
    /// The last run of the gang that was counted as failed.
    pub gang_failed_run: RunNumber,
    /// An unconfirmed end, which a later report may show to be a failure.
    #[serde(rename = "unheard")]
    pub unconfirmed: Option<UnconfirmedEnd>,
}

impl StepRecord {
    fn new(spec: &StepSpec) -> Self {
        let count = usize::try_from(spec.tasks).unwrap_or(usize::MAX);
        Self {
            tasks: vec![TaskRecord::new(); count],
            done: 0,
            gang_failures: 0,
            gang_failed_run: RunNumber(0),
            unconfirmed: None,
        }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        usize::try_from(self.done).is_ok_and(|done| done >= self.tasks.len())
    }

    /// The number of failures of the task that failed most often, or of the gang if that is higher.
    pub fn failures(&self) -> u32 {
        let worst = self.tasks.iter().map(|task| task.failures).max().unwrap_or(0);
        worst.max(self.gang_failures)
    }

    /// Whether it may run again: always without an unconfirmed end, otherwise only if one more
    /// failure would stay below `attempts`, since that end may have been a failure.
    pub fn can_run_again(&self, attempts: u32) -> bool {
        self.unconfirmed.is_none() || self.failures() + 1 < attempts
    }

    /// The highest run number of its tasks.
    pub fn last_run(&self) -> RunNumber {
        self.tasks.iter().map(|task| task.run).max().unwrap_or_default()
    }
}

/// One occurrence of a workflow's steps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// The steps.
    pub steps: Vec<StepRecord>,
}

impl Occurrence {
    pub(crate) fn new(spec: &WorkflowSpec) -> Self {
        Self { steps: spec.steps.iter().map(StepRecord::new).collect() }
    }

    /// Whether every step is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepRecord::is_done)
    }

    /// Whether all steps that `step` depends on are done.
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        step.after.iter().all(|after| {
            let at = usize::try_from(*after).ok();
            at.and_then(|at| self.steps.get(at)).is_some_and(StepRecord::is_done)
        })
    }
}

/// A workflow that has not reached its final state, or that still has open runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workflow {
    /// What the caller asked for.
    pub spec: WorkflowSpec,
    /// The settings of its queue when it was accepted.
    pub terms: QueueTerms,
    /// The client account that pays; `None` on a queue that is open to everyone.
    pub account: Option<AccountName>,
    /// When it was accepted.
    pub accepted_at: Time,
    /// Whether it may still start tasks.
    pub phase: WorkflowPhase,
    /// Whether any task was ever started.
    pub started: bool,
    /// The occurrences that have begun and are not done.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// The occurrences that are done.
    pub finished: BTreeSet<u32>,
    /// How many runs may be in progress.
    pub open_runs: u32,
}

impl Workflow {
    /// Its state as callers see it.
    pub const fn state(&self) -> WorkflowState {
        match self.phase {
            WorkflowPhase::Ending(state) => state,
            WorkflowPhase::Active if self.started => WorkflowState::Running,
            WorkflowPhase::Active => WorkflowState::Queued,
        }
    }

    /// Whether it was neither cancelled nor has failed, so that it may still start tasks.
    pub const fn is_active(&self) -> bool {
        matches!(self.phase, WorkflowPhase::Active)
    }

    /// The progress of an occurrence; `None` if it has not begun, or is done.
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.get(&number)
    }

    /// How many occurrences have begun; those that are done count.
    pub fn begun_count(&self) -> usize {
        self.occurrences.len() + self.finished.len()
    }

    /// The occurrences in a range that have not begun, the earliest first.
    pub fn not_begun(&self, range: Range<u32>) -> impl Iterator<Item = u32> {
        let mut open = self.occurrences.range(range.clone()).map(|(number, _)| *number).peekable();
        let mut done = self.finished.range(range.clone()).copied().peekable();
        range.filter(move |number| {
            open.next_if_eq(number).is_none() && done.next_if_eq(number).is_none()
        })
    }

    /// Whether every occurrence is done.
    pub fn is_done(&self) -> bool {
        u32::try_from(self.finished.len()).is_ok_and(|done| done >= self.spec.occurrences())
    }
}

/// A workflow in its final state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedWorkflow {
    /// The final state.
    pub state: WorkflowState,
    /// When it reached the state.
    pub at: Time,
}
