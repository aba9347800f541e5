//! Checks invariants of all runs against what the upstreams carried out.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{EndKind, RunNumber, StepId, TaskId, UpstreamName, WorkflowSpec};

/// After this many upstreams have crashed under a task, it may start only [`LATE_STARTS_MAX`] times more.
const CRASHES_LIMIT: u32 = 3;
const LATE_STARTS_MAX: u32 = 2;

/// Tracks every start and end that an upstream carried out.
#[derive(Debug, Default)]
pub struct Oracle {
    running: BTreeMap<TaskId, (UpstreamName, RunNumber)>,
    /// Tasks whose work is done and whose end was acknowledged to the upstream.
    acknowledged: BTreeSet<TaskId>,
    /// Ends as done that were not acknowledged yet, at upstreams whose lease has not expired.
    unacknowledged: BTreeSet<(UpstreamName, TaskId)>,
    failures: BTreeMap<TaskId, u32>,
    specs: BTreeMap<String, WorkflowSpec>,
    /// How often a task may fail.
    attempts_max: u32,
    done: BTreeSet<TaskId>,
    /// How many runs of each task ended as failed, whether that was acknowledged or not; for a gang, of any member.
    failed_ends: BTreeMap<(StepId, u32), u32>,
    /// Tasks whose end as done was not acknowledged before their upstream crashed or its lease expired, so that they have
    /// to run again.
    lost_ends: BTreeSet<TaskId>,
    /// Those of them that were lost while there were faults.
    may_run_again: BTreeSet<TaskId>,
    /// How many upstreams crashed while a task ran there.
    crashes: BTreeMap<TaskId, u32>,
    /// Starts of a task after `CRASHES_LIMIT` upstreams had crashed under it.
    late_starts: BTreeMap<TaskId, u32>,
    /// Until when a smaller capacity of an upstream may be unknown to the leader.
    shrunk_until: BTreeMap<UpstreamName, u64>,
    /// Upstreams to which no start may be ordered: the drain of their data centre is acknowledged.
    drained: BTreeSet<UpstreamName>,
    /// Workflows whose cancellation was acknowledged before they were accepted.
    cancelled_before_submission: BTreeSet<String>,
    /// Number of runs whose lease expired, and of tasks whose work was done again.
    pub wasted: u32,
}

impl Oracle {
    pub fn new(attempts_max: u32) -> Self {
        Self { attempts_max, ..Self::default() }
    }

    pub fn record_submitted(&mut self, id: &str, spec: &WorkflowSpec) {
        self.specs.insert(id.to_owned(), spec.clone());
    }

    pub fn spec(&self, task: &TaskId) -> &WorkflowSpec {
        self.specs.get(task.step.job.as_str()).expect("every run belongs to a submitted workflow")
    }

    pub fn is_gang(&self, task: &TaskId) -> bool {
        self.spec(task).steps[task.step.step as usize].gang
    }

    /// Records that a workflow was cancelled before it was accepted: none of its tasks may start.
    pub fn cancelled_before_submission(&mut self, id: &str) {
        self.cancelled_before_submission.insert(id.to_owned());
    }

    /// Records that the drain of a data centre with these upstreams was acknowledged.
    pub fn drain_acknowledged(&mut self, upstreams: BTreeSet<UpstreamName>) {
        self.drained = upstreams;
    }

    /// Records that the end of the drain was requested.
    pub fn drain_may_end(&mut self) {
        self.drained.clear();
    }

    /// Checks a start that the leader orders.
    pub fn start_ordered(&self, upstream: &UpstreamName, task: &TaskId, run: RunNumber) {
        let is_cancelled = self.cancelled_before_submission.contains(task.step.job.as_str());
        assert!(
            !is_cancelled,
            "{task} run {run} is started, and was cancelled before it was submitted"
        );
        let is_drained = self.drained.contains(upstream);
        assert!(!is_drained, "{task} run {run} is started at {upstream}, which is drained");
    }

    /// Records that an upstream started a run.
    pub fn started(
        &mut self,
        upstream: &UpstreamName,
        task: &TaskId,
        run: RunNumber,
        content: &str,
    ) {
        let spec = self.spec(task);
        assert_eq!(*spec.content, *content, "{task} was started with the wrong content");
        let step = &spec.steps[task.step.step as usize];
        for after in step.after.clone() {
            let earlier = &self.spec(task).steps[after as usize];
            for index in 0..earlier.tasks {
                let mut earlier = task.clone();
                earlier.step.step = after;
                earlier.index = index;
                assert!(self.done.contains(&earlier), "{task} started before {earlier} was done");
            }
        }
        assert!(!self.acknowledged.contains(task), "{task} started after its end was acknowledged");
        let failures = self.failures.get(task).copied().unwrap_or(0);
        assert!(failures < self.attempts_max, "{task} started after {failures} failures");
        if self.crashes_under(task) >= CRASHES_LIMIT && !self.is_innocent(task) {
            let late = self.late_starts.entry(task.clone()).or_insert(0);
            *late += 1;
            assert!(
                *late <= LATE_STARTS_MAX,
                "{task} started {late} times after it had crashed {CRASHES_LIMIT} upstreams"
            );
        }
        let other = self.running.insert(task.clone(), (upstream.clone(), run));
        assert_eq!(other, None, "{task} run {run} at {upstream} runs twice");
    }

    /// Records that a run ended at an upstream that is still running.
    pub fn ended(&mut self, upstream: &UpstreamName, task: &TaskId, kind: EndKind) {
        self.running.remove(task);
        let redone =
            kind == EndKind::Done && self.done.contains(task) && !self.may_run_again.contains(task);
        self.wasted += u32::from(kind == EndKind::Lapsed || redone);
        if kind == EndKind::Failed {
            let member = if self.is_gang(task) { 0 } else { task.index };
            *self.failed_ends.entry((task.step.clone(), member)).or_insert(0) += 1;
        }
        if kind == EndKind::Done {
            self.unacknowledged.insert((upstream.clone(), task.clone()));
            self.done.insert(task.clone());
        }
    }

    /// Records that an end was acknowledged to the upstream.
    pub fn acknowledged(&mut self, upstream: &UpstreamName, task: &TaskId, kind: EndKind) {
        if kind == EndKind::Failed {
            *self.failures.entry(task.clone()).or_insert(0) += 1;
        }
        if kind == EndKind::Done && self.unacknowledged.remove(&(upstream.clone(), task.clone())) {
            let elsewhere = self.running.get(task);
            assert_eq!(
                elsewhere, None,
                "{task} runs although its end at {upstream} was acknowledged"
            );
            self.acknowledged.insert(task.clone());
        }
    }

    /// Records that an upstream's lease expired or its incarnation ended: unacknowledged ends there no
    /// longer count.
    pub fn lease_expired(&mut self, upstream: &UpstreamName) {
        let (lost, rest) = std::mem::take(&mut self.unacknowledged)
            .into_iter()
            .partition::<BTreeSet<_>, _>(|(at, _)| at == upstream);
        self.unacknowledged = rest;
        self.lost_ends.extend(lost.into_iter().map(|(_, task)| task));
    }

    /// Records that what was lost so far was lost to faults.
    pub fn end_faults(&mut self) {
        self.may_run_again.append(&mut self.lost_ends);
    }

    /// The task of a workflow that crashes each upstream that starts it: its content is `deadly-INDEX`, or `deadly`
    /// if all of its tasks do.
    pub fn is_deadly(&self, task: &TaskId) -> bool {
        let content = &*self.spec(task).content;
        content == "deadly"
            || content.strip_prefix("deadly-").is_some_and(|index| index == task.index.to_string())
    }

    fn is_innocent(&self, task: &TaskId) -> bool {
        !self.is_deadly(task)
    }

    /// How many upstreams crashed while the task ran there.
    pub fn crashes_under(&self, task: &TaskId) -> u32 {
        self.crashes.get(task).copied().unwrap_or(0)
    }

    /// The tasks under which upstreams crashed, with how many.
    pub const fn crashes(&self) -> &BTreeMap<TaskId, u32> {
        &self.crashes
    }

    /// Records that an upstream crashed, with all its runs.
    pub fn crashed(&mut self, upstream: &UpstreamName) {
        let victims = self.running.iter().filter(|(_, (at, _))| at == upstream);
        for task in victims.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
            *self.crashes.entry(task).or_insert(0) += 1;
        }
        let unacknowledged = self.unacknowledged.iter().filter(|(at, _)| at == upstream);
        self.may_run_again.extend(unacknowledged.map(|(_, task)| task.clone()));
        self.incarnation_ended(upstream);
    }

    /// Records that an upstream's capacity has shrunk, which the leader need not know before `until`.
    pub fn shrunk(&mut self, upstream: &UpstreamName, until: u64) {
        self.shrunk_until.insert(upstream.clone(), until);
    }

    /// Checks a start that exceeds the capacity of its upstream.
    pub fn exceeded_capacity(&self, now: u64, upstream: &UpstreamName, task: &TaskId) {
        let until = self.shrunk_until.get(upstream).copied().unwrap_or(0);
        assert!(now <= until, "{task} started at {upstream} although it exceeds its capacity");
    }

    /// Checks a workflow that the leader reports as failed: a task must have failed too often, or have crashed two
    /// upstreams.
    pub fn reported_failed(&self, id: &str) {
        let is_of = |step: &StepId| step.job.as_str() == id;
        let failed = self.failed_ends.iter().any(|((s, _), n)| is_of(s) && *n >= self.attempts_max);
        let deadly =
            self.crashes.iter().any(|(t, n)| is_of(&t.step) && *n >= 2 && self.is_deadly(t));
        assert!(failed || deadly, "{id} is reported as failed, but none of its tasks is the cause");
    }

    /// Records that an upstream's incarnation ended with all its runs.
    pub fn incarnation_ended(&mut self, upstream: &UpstreamName) {
        self.running.retain(|_, (at, _)| at != upstream);
        self.lease_expired(upstream);
    }

    /// Checks a workflow that the leader reports as completed.
    pub fn reported_completed(&self, id: &str) {
        let spec = self.specs.get(id).expect("every reported workflow was submitted");
        for (step, spec) in (0_u32..).zip(&spec.steps) {
            let done =
                self.done.iter().filter(|t| t.step.job.as_str() == id && t.step.step == step);
            // The members of a gang are done together, so one end is enough.
            let needed = if spec.gang { 1 } else { spec.tasks as usize };
            assert!(
                done.count() >= needed,
                "{id} is reported as completed, but step {step} is not done"
            );
        }
    }
}
