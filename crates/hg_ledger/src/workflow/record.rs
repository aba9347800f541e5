//! What the ledger keeps of one workflow.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{
    AccountName, AdviceTiming, Checkpoint, PoolName, QueueName, QueueSpec, RunNumber, StepSpec,
    Time, UpstreamName, WorkflowSpec, WorkflowState,
};
use serde::{Deserialize, Serialize};

/// How a queue treated its workflows when one was taken in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// The queue.
    pub queue: QueueName,
    /// The pool whose upstreams run the tasks.
    pub pool: PoolName,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// The latency objective as a multiple of the longest chain of work, in thousandths.
    pub stretch_milli: u32,
    /// What is added to it, in milliseconds.
    pub objective_ms: u64,
    /// Set if another service decides which upstreams may run a step.
    pub advice: Option<AdviceTiming>,
}

impl QueueTerms {
    /// The terms of a queue.
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
}

/// Whether a workflow still wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It does.
    Active,
    /// It was cancelled or has failed; what still runs of it is being stopped.
    Ending(WorkflowState),
}

/// Where a task is in its life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Nothing of it runs.
    Waiting,
    /// A run of it may be in progress.
    Running {
        /// Where.
        upstream: UpstreamName,
    },
    /// Its work is done.
    Done,
}

/// One task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Where it is in its life.
    pub state: TaskState,
    /// Its last start; 0 before the first.
    pub run: RunNumber,
    /// How many of its runs ended as failed.
    pub failures: u32,
    /// Its last saved progress.
    pub checkpoint: Option<Checkpoint>,
    /// Where its last run failed.
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

    /// Whether nothing of it runs and it is not done.
    pub const fn is_waiting(&self) -> bool {
        matches!(self.state, TaskState::Waiting)
    }

    /// Whether its work is done.
    pub const fn is_done(&self) -> bool {
        matches!(self.state, TaskState::Done)
    }
}

/// A gang's member that must have ended, on an upstream that has not said how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedEnd {
    /// The member.
    pub index: u32,
    /// The run.
    pub run: RunNumber,
    /// Where it ran.
    pub upstream: UpstreamName,
}

/// One step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Its tasks.
    pub tasks: Vec<TaskRecord>,
    /// How many of them are done.
    pub done: u32,
    /// How many runs of the gang ended as failed.
    pub gang_failures: u32,
    /// The last run of the gang that was counted as failed.
    pub gang_failed_run: RunNumber,
    /// An end that may yet turn out to be a failure.
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

    /// How often the worst task, or the gang, has failed.
    pub fn failures(&self) -> u32 {
        let worst = self.tasks.iter().map(|task| task.failures).max().unwrap_or(0);
        worst.max(self.gang_failures)
    }

    /// Whether it may run again although one end is unheard, which may have been a failure.
    pub fn may_run_again(&self, attempts: u32) -> bool {
        self.unconfirmed.is_none() || self.failures() + 1 < attempts
    }

    /// The highest run of any task.
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

    /// Whether the steps that `step` follows are done.
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        step.after.iter().all(|after| {
            let at = usize::try_from(*after).ok();
            at.and_then(|at| self.steps.get(at)).is_some_and(StepRecord::is_done)
        })
    }
}

/// A workflow that has not reached its final state, or of which something still runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workflow {
    /// What to do.
    pub spec: WorkflowSpec,
    /// How its queue treats it.
    pub terms: QueueTerms,
    /// Who pays.
    pub account: Option<AccountName>,
    /// When it was taken in.
    pub accepted_at: Time,
    /// Whether it still wants to run.
    pub phase: Phase,
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
    /// What its caller is shown.
    pub const fn state(&self) -> WorkflowState {
        match self.phase {
            Phase::Ending(state) => state,
            Phase::Active if self.started => WorkflowState::Running,
            Phase::Active => WorkflowState::Queued,
        }
    }

    /// Whether it still wants to run.
    pub const fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// An occurrence that is not done, with whatever it has come to.
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.get(&number)
    }

    /// Whether every occurrence is done.
    pub fn is_done(&self) -> bool {
        u32::try_from(self.finished.len()).is_ok_and(|done| done >= self.spec.occurrences())
    }
}

/// A workflow in its final state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedWorkflow {
    /// The state.
    pub state: WorkflowState,
    /// Since when.
    pub at: Time,
}
