//! What must hold of all runs, from what the upstreams saw.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{EndKind, RunNumber, TaskId, UpstreamName, WorkflowSpec};

/// Follows every start and end that an upstream carried out.
#[derive(Debug, Default)]
pub struct Oracle {
    running: BTreeMap<TaskId, (UpstreamName, RunNumber)>,
    /// Tasks whose work is done and whose end was acknowledged.
    noted: BTreeSet<TaskId>,
    /// Ends as done that nobody acknowledged yet, where the lease has not lapsed.
    unnoted: BTreeSet<(UpstreamName, TaskId)>,
    failures: BTreeMap<TaskId, u32>,
    specs: BTreeMap<String, WorkflowSpec>,
    /// How often a task may fail.
    attempts: u32,
    done: BTreeSet<TaskId>,
    /// Runs whose lease expired, and tasks whose work was done again.
    pub wasted: u32,
}

impl Oracle {
    pub fn new(attempts: u32) -> Self {
        Self { attempts, ..Self::default() }
    }

    pub fn submitted(&mut self, id: &str, spec: &WorkflowSpec) {
        self.specs.insert(id.to_owned(), spec.clone());
    }

    pub fn spec(&self, task: &TaskId) -> &WorkflowSpec {
        self.specs.get(task.step.job.as_str()).expect("nothing runs that nobody handed in")
    }

    pub fn is_gang(&self, task: &TaskId) -> bool {
        self.spec(task).steps[task.step.step as usize].gang
    }

    /// A worker began a run.
    pub fn started(
        &mut self,
        upstream: &UpstreamName,
        task: &TaskId,
        run: RunNumber,
        content: &str,
    ) {
        let spec = self.spec(task);
        assert_eq!(*spec.content, *content, "{task} was told something else");
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
        assert!(!self.noted.contains(task), "{task} started after its end was noted");
        let failures = self.failures.get(task).copied().unwrap_or(0);
        assert!(failures < self.attempts, "{task} started after {failures} failures");
        let other = self.running.insert(task.clone(), (upstream.clone(), run));
        assert_eq!(other, None, "{task} run {run} at {upstream} runs twice");
    }

    /// A run ended at an upstream that goes on.
    pub fn ended(&mut self, upstream: &UpstreamName, task: &TaskId, kind: EndKind) {
        self.running.remove(task);
        let redone = kind == EndKind::Done && self.done.contains(task);
        self.wasted += u32::from(kind == EndKind::Lapsed || redone);
        if kind == EndKind::Done {
            self.unnoted.insert((upstream.clone(), task.clone()));
            self.done.insert(task.clone());
        }
    }

    /// An end was acknowledged to the upstream.
    pub fn acknowledged(&mut self, upstream: &UpstreamName, task: &TaskId, kind: EndKind) {
        if kind == EndKind::Failed {
            *self.failures.entry(task.clone()).or_insert(0) += 1;
        }
        if kind == EndKind::Done && self.unnoted.remove(&(upstream.clone(), task.clone())) {
            let elsewhere = self.running.get(task);
            assert_eq!(elsewhere, None, "{task} runs although its end at {upstream} is noted");
            self.noted.insert(task.clone());
        }
    }

    /// An upstream's lease lapsed, or its life ended: unnoted ends there no longer count.
    pub fn lapsed(&mut self, upstream: &UpstreamName) {
        self.unnoted.retain(|(at, _)| at != upstream);
    }

    /// An upstream's life ended with everything on it.
    pub fn died(&mut self, upstream: &UpstreamName) {
        self.running.retain(|_, (at, _)| at != upstream);
        self.lapsed(upstream);
    }

    /// A workflow is shown as completed.
    pub fn shown_as_completed(&self, id: &str) {
        let spec = self.specs.get(id).expect("nothing is shown that nobody handed in");
        for (step, spec) in (0_u32..).zip(&spec.steps) {
            let done =
                self.done.iter().filter(|t| t.step.job.as_str() == id && t.step.step == step);
            // The members of a gang are done together; one end stands for all.
            let needed = if spec.gang { 1 } else { spec.tasks as usize };
            assert!(done.count() >= needed, "{id} is shown as completed, step {step} is not done");
        }
    }
}
