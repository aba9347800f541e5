//! Crashes of upstreams, and the tasks that ran there.
//!
//! Only what was observed is kept here; which task is to blame is decided from it by the policy. It outlives changes of the
//! leader and snapshots, so that a task cannot crash a further upstream for each of them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hg_model::{Incarnation, JobId, RunNumber, StepId, TaskId, Time, UpstreamName};
use serde::{Deserialize, Serialize};

/// A run that worked for this long before its upstream crashed did not cause the crash.
const INNOCENT_AFTER: Duration = Duration::from_secs(30);
/// A run is not suspected if another one on its upstream was started this much later.
const STARTED_LATER: Duration = Duration::from_secs(2);
/// How long a crash is kept to compare others with it.
const RETAIN_FOR: Duration = Duration::from_secs(600);
/// How long runs are kept whose leases expired on a silent upstream: its next incarnation may start later than that.
const RETAIN_SILENCED_FOR: Duration = Duration::from_secs(600);
/// Most crashes of upstreams that are kept.
const UPSTREAMS_MAX: usize = 2_000;
/// Most crashes that are kept for one task.
const PER_TASK_MAX: usize = 16;

/// A run that an upstream may have had when its incarnation ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposedRun {
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: RunNumber,
    /// When its start was decided.
    pub since: Time,
    /// Whether the upstream has confirmed that it started the run.
    pub is_confirmed: bool,
}

/// The crash of an upstream on which a task ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrash {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its incarnation that ended.
    pub incarnation: Incarnation,
    /// The number of the task's run there.
    pub run: RunNumber,
    /// Since when the upstream gave no sign of life; `None` if the leader had not been in contact with it.
    pub silent_since: Option<Time>,
    /// When the crash was recorded.
    pub at: Time,
    /// When the start of the task's run there was decided.
    pub started_at: Time,
    /// Whether the upstream had confirmed the start.
    pub is_confirmed: bool,
    /// Whether no task of another workflow ran there.
    pub is_alone: bool,
    /// Whether a task that was started there later is more likely the cause.
    pub is_bystander: bool,
}

/// The crash of one incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its incarnation that ended.
    pub incarnation: Incarnation,
    /// Since when it gave no sign of life; `None` if the leader had not been in contact with it.
    pub silent_since: Option<Time>,
    /// When the crash was recorded.
    pub at: Time,
    /// The runs that it may have had, but for those of tasks that were done later: these did not cause the crash.
    pub suspects: Vec<ExposedRun>,
    /// Whether a task that was given up was there.
    pub is_explained: bool,
}

/// Runs whose leases expired on a silent upstream: whether it crashed or was only cut off is not known yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Silenced {
    incarnation: Incarnation,
    /// Since when the upstream gave no sign of life, as far as is known.
    since: Time,
    /// When the last of its runs was given up.
    at: Time,
    runs: Vec<ExposedRun>,
}

/// The crashes that tasks and upstreams have gone through.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    tasks: BTreeMap<TaskId, Vec<TaskCrash>>,
    upstreams: VecDeque<UpstreamCrash>,
    silenced: BTreeMap<UpstreamName, Silenced>,
}

/// Queries.
impl Crashes {
    /// Whether no task that is not done has gone through a crash, or may have.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.silenced.is_empty()
    }

    /// The upstreams that fell silent with runs of unknown fate: the time since when each is, and its runs.
    pub fn silenced(&self) -> impl Iterator<Item = (&UpstreamName, Time, &[ExposedRun])> {
        self.silenced.iter().map(|(name, silenced)| (name, silenced.since, &silenced.runs[..]))
    }

    /// The tasks that have gone through crashes and are not done, with these, the earliest first.
    pub const fn tasks(&self) -> &BTreeMap<TaskId, Vec<TaskCrash>> {
        &self.tasks
    }

    /// The crashes of a task; empty if there are none or it is done.
    pub fn of(&self, task: &TaskId) -> &[TaskCrash] {
        self.tasks.get(task).map_or(&[], Vec::as_slice)
    }

    /// The last crashes of upstreams, the earliest first.
    pub const fn upstreams(&self) -> &VecDeque<UpstreamCrash> {
        &self.upstreams
    }

    /// The incarnation of an upstream that fell silent with runs of unknown fate.
    pub fn silenced_incarnation(&self, upstream: &UpstreamName) -> Option<Incarnation> {
        self.silenced.get(upstream).map(|silenced| silenced.incarnation)
    }

    /// The crash of an incarnation, unless it was too long ago.
    pub fn find(
        &self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
    ) -> Option<&UpstreamCrash> {
        let is_same = |crash: &&UpstreamCrash| {
            crash.upstream == *upstream && crash.incarnation == incarnation
        };
        self.upstreams.iter().find(is_same)
    }
}

/// Commands.
impl Crashes {
    /// Records the crash of an incarnation with the runs that it may have had. Each crash counts once, however often it is
    /// reported.
    pub(super) fn record(
        &mut self,
        upstream: UpstreamName,
        incarnation: Incarnation,
        silent_since: Option<Time>,
        runs: Vec<ExposedRun>,
        at: Time,
    ) {
        if self.find(&upstream, incarnation).is_some() {
            return;
        }
        let mut suspects = Vec::new();
        let is_alone = runs.iter().all(|run| run.task.step.job == runs[0].task.step.job);
        let last_start = runs.iter().map(|run| run.since).max().unwrap_or_default();
        for run in runs {
            let worked = silent_since.map_or(Duration::ZERO, |until| until.since(run.since));
            if run.is_confirmed && worked >= INNOCENT_AFTER {
                self.clear_task(&run.task);
                continue;
            }
            let crashes = self.tasks.entry(run.task.clone()).or_default();
            crashes.push(TaskCrash {
                upstream: upstream.clone(),
                incarnation,
                run: run.run,
                silent_since,
                at,
                started_at: run.since,
                is_confirmed: run.is_confirmed,
                is_alone,
                is_bystander: last_start.since(run.since) > STARTED_LATER,
            });
            suspects.push(run);
            let excess = crashes.len().saturating_sub(PER_TASK_MAX);
            crashes.drain(..excess);
        }
        let is_explained = false;
        let crash =
            UpstreamCrash { upstream, incarnation, silent_since, at, suspects, is_explained };
        self.upstreams.push_back(crash);
        while self.upstreams.len() > UPSTREAMS_MAX
            || self.upstreams.front().is_some_and(|first| at.since(first.at) > RETAIN_FOR)
        {
            self.upstreams.pop_front();
        }
    }

    /// Returns the runs that an incarnation had when it fell silent, unless it gave a sign of life later.
    pub(super) fn take_silenced(
        &mut self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
        silent_since: Option<Time>,
    ) -> Vec<ExposedRun> {
        let Some(silenced) = self.silenced.remove(upstream) else { return Vec::new() };
        let is_same = silenced.incarnation == incarnation;
        let is_last = silent_since.is_none_or(|since| since <= silenced.at);
        if is_same && is_last { silenced.runs } else { Vec::new() }
    }

    /// Records runs whose leases have expired on a silent upstream. They count as crashed if a later incarnation shows up.
    pub(super) fn record_silenced(
        &mut self,
        upstream: UpstreamName,
        incarnation: Incarnation,
        since: Option<Time>,
        runs: Vec<ExposedRun>,
        at: Time,
    ) {
        self.silenced.retain(|_, silenced| at.since(silenced.at) <= RETAIN_SILENCED_FOR);
        let silenced = self.silenced.entry(upstream);
        let since = since.unwrap_or(at);
        let new = || Silenced { incarnation, since, at, runs: Vec::new() };
        let silenced = silenced.or_insert_with(new);
        if silenced.incarnation < incarnation || silenced.at < since {
            *silenced = new();
        }
        silenced.at = at;
        silenced.runs.extend(runs);
        let excess = silenced.runs.len().saturating_sub(PER_TASK_MAX);
        silenced.runs.drain(..excess);
    }

    /// Records that an incarnation was only cut off, or that it left as announced.
    pub(super) fn forget_silenced(&mut self, upstream: &UpstreamName, incarnation: Incarnation) {
        if self.silenced_incarnation(upstream) == Some(incarnation) {
            self.silenced.remove(upstream);
        }
    }

    /// Clears a task: it is done, or has worked for long enough.
    pub(super) fn clear_task(&mut self, task: &TaskId) {
        if self.tasks.remove(task).is_some() {
            for crash in &mut self.upstreams {
                crash.suspects.retain(|run| run.task != *task);
            }
        }
    }

    /// Records that a run ended on its upstream without crashing it.
    pub(super) fn record_end(&mut self, task: &TaskId, worked: Duration) {
        if worked >= INNOCENT_AFTER {
            self.clear_task(task);
        }
    }

    /// Clears all tasks of a step that is done.
    pub(super) fn clear_step(&mut self, step: &StepId) {
        let tasks: Vec<TaskId> =
            self.tasks.keys().filter(|task| task.step == *step).cloned().collect();
        for task in &tasks {
            self.clear_task(task);
        }
    }

    /// Records that a task is given up, which explains the crashes that it was in.
    pub(super) fn record_given_up(&mut self, task: &TaskId) {
        for crash in &mut self.upstreams {
            crash.is_explained |= crash.suspects.iter().any(|run| run.task == *task);
        }
    }

    /// Drops the crashes of a workflow in its final state.
    pub(super) fn forget_job(&mut self, job: &JobId) {
        self.tasks.retain(|task, _| task.step.job != *job);
    }
}
