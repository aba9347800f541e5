//! A caller's description of a workflow and its steps.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::ResourceVector;
use crate::{ImageName, Label, RackName};

/// Most steps of a workflow.
pub const STEPS_MAX: usize = 64;
/// Most tasks of a workflow's steps together, for each occurrence.
const TASKS_MAX: u64 = 10_000;
/// Most bytes of the content that is passed to the tasks.
const CONTENT_MAX_BYTES: usize = 4_000;
/// Most occurrences of a scheduled workflow.
const OCCURRENCES_MAX: u32 = 10_000;

/// A latency objective for tasks that serve users of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyTarget {
    /// The tail of response times must stay below this, in milliseconds.
    #[serde(rename = "tail_ms")]
    pub tail_latency_ms: u64,
}

/// A step: equal tasks that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// How many tasks; at least one.
    pub tasks: u32,
    /// The resources that each task uses.
    #[serde(rename = "each")]
    pub per_task: ResourceVector,
    /// The caller's rough estimate of a task's run time, in milliseconds; 0 if it gave none.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether a task's progress can be saved and resumed elsewhere.
    pub checkpointable: bool,
    /// Whether the tasks work only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slower when they run in several racks.
    pub rack_local: bool,
    /// A label that the upstreams must have.
    pub required_label: Option<Label>,
    /// The rack that stores the tasks' data; they are slower in other racks.
    pub data_rack: Option<RackName>,
    /// Most tasks of one occurrence of the step on one upstream.
    pub per_upstream_max: Option<u32>,
    /// Whether copies of a task may run at the same time (speculative execution).
    pub speculative: bool,
    /// Whether the tasks run until the workflow is cancelled, and are restarted however they end.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    pub image: Option<ImageName>,
    /// The latency objective of tasks that serve users of their own.
    pub target: Option<LatencyTarget>,
    /// Whether the tasks only use processor time that other tasks leave unused.
    #[serde(rename = "filler")]
    pub best_effort: bool,
    /// Most tasks of a long-running step that the scheduler's own orders may make unavailable at
    /// the same time.
    #[serde(rename = "away_max")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// A step of equal tasks without further conditions.
    pub fn new(tasks: u32, per_task: ResourceVector) -> Self {
        Self { tasks, per_task, ..Self::default() }
    }

    /// The same step as a gang: its tasks work only together.
    #[must_use]
    pub fn with_gang(mut self) -> Self {
        self.gang = true;
        self
    }

    /// The same step, started only after the given earlier steps.
    #[must_use]
    pub fn with_after(mut self, after: Vec<u32>) -> Self {
        self.after = after;
        self
    }

    /// The part of an upstream's capacity that a task claims while it runs.
    pub const fn claim(&self) -> ResourceVector {
        // Best-effort tasks use processor time that no other task uses, so none is reserved for
        // them.
        let millicores = if self.best_effort { 0 } else { self.per_task.millicores };
        ResourceVector { millicores, ..self.per_task }
    }
}

/// When the steps of a periodic workflow run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// How many times.
    pub occurrences: u32,
    /// When the first is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time between two due times, in milliseconds.
    pub period_ms: u64,
}

impl Schedule {
    /// When an occurrence is due, in milliseconds since 1970.
    pub const fn due_ms(&self, occurrence: u32) -> u64 {
        self.first_due_ms.saturating_add(self.period_ms.saturating_mul(occurrence as u64))
    }
}

/// A workflow as its caller describes it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkflowSpec {
    /// The input of the tasks, passed to upstreams unchanged.
    pub content: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` if they run once, due at once.
    pub schedule: Option<Schedule>,
}

/// A workflow that cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum WorkflowFault {
    /// It has no steps, too many, or too many tasks.
    #[display("give 1 to {STEPS_MAX} steps with at most {TASKS_MAX} tasks together")]
    Size,
    /// A step has no tasks.
    #[display("step {step} has no tasks")]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// A step depends on one that does not precede it.
    #[display("step {step} is to follow step {after}, which is not an earlier one")]
    Order {
        /// The step.
        step: usize,
        /// The step that it depends on.
        after: u32,
    },
    /// Its content is too long.
    #[display("the content has more than {CONTENT_MAX_BYTES} bytes")]
    Content,
    /// It has too many occurrences.
    #[display("at most {OCCURRENCES_MAX} occurrences are allowed")]
    Occurrences,
}

impl WorkflowSpec {
    /// A workflow that runs once, due at once.
    pub fn new(content: &str, steps: Vec<StepSpec>) -> Self {
        Self { content: Arc::from(content), steps, schedule: None }
    }

    /// The same workflow, run as scheduled.
    #[must_use]
    pub fn with_schedule(mut self, schedule: Schedule) -> Self {
        self.schedule = Some(schedule);
        self
    }

    /// Checks the limits, and that steps depend only on earlier ones.
    ///
    /// # Errors
    ///
    /// The first [`WorkflowFault`] found.
    pub fn check(&self) -> Result<(), WorkflowFault> {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX || tasks > TASKS_MAX {
            return Err(WorkflowFault::Size);
        }
        if self.content.len() > CONTENT_MAX_BYTES {
            return Err(WorkflowFault::Content);
        }
        if self.occurrences() > OCCURRENCES_MAX {
            return Err(WorkflowFault::Occurrences);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(WorkflowFault::NoTasks { step: number });
            }
            let is_earlier = |after: u32| usize::try_from(after).is_ok_and(|a| a < number);
            if let Some(after) = step.after.iter().find(|after| !is_earlier(**after)) {
                return Err(WorkflowFault::Order { step: number, after: *after });
            }
        }
        Ok(())
    }

    /// How many times the steps run; at least once.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// The sum of the estimates along the longest chain of dependent steps, in milliseconds.
    pub fn estimated_chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let earlier =
                step.after.iter().filter_map(|after| ends.get(usize::try_from(*after).ok()?));
            let begin = earlier.copied().max().unwrap_or(0);
            ends.push(begin.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// Shows only the length of the content, which belongs to the caller and stays out of logs.
impl fmt::Debug for WorkflowSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkflowSpec")
            .field("content_bytes", &self.content.len())
            .field("steps", &self.steps)
            .field("schedule", &self.schedule)
            .finish()
    }
}
