//! The open runs of all upstreams with their jobs and steps, looked up once for each decision round.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use hg_ledger::{OpenRun, RunRef, TaskState, Workflow, WorkflowLedger};
use hg_model::{JobId, StepId, StepSpec, TaskId, Time, UpstreamName};

/// An open run.
#[derive(Debug)]
pub(crate) struct RunRow<'a> {
    pub(crate) upstream: &'a UpstreamName,
    pub(crate) task: &'a TaskId,
    pub(crate) open: &'a OpenRun,
    /// Its job, with the spec of its step.
    pub(crate) work: Option<(&'a Workflow, &'a StepSpec)>,
    /// When its stop was decided.
    pub(crate) stopping_since: Option<Time>,
}

impl RunRow<'_> {
    pub(crate) fn run_ref(&self) -> RunRef {
        let (upstream, task) = (self.upstream.clone(), self.task.clone());
        RunRef { upstream, task, run: self.open.run }
    }

    /// Whether its step is a gang.
    pub(crate) fn is_gang(&self) -> bool {
        self.work.is_some_and(|(_, spec)| spec.gang)
    }
}

/// All open runs, by upstream and task.
#[derive(Debug)]
pub(crate) struct RunTable<'a> {
    rows: Vec<RunRow<'a>>,
    upstreams: BTreeMap<&'a UpstreamName, Range<usize>>,
}

impl<'a> RunTable<'a> {
    pub(crate) fn new(ledger: &'a WorkflowLedger) -> Self {
        let mut rows = Vec::new();
        let mut upstreams = BTreeMap::new();
        for upstream in ledger.occupancy().upstreams() {
            let begin = rows.len();
            for (task, open) in ledger.occupancy().runs(upstream) {
                let work = ledger.job(&task.step.job).and_then(|job| {
                    let step = usize::try_from(task.step.step).ok()?;
                    Some((job, job.spec.steps.get(step)?))
                });
                rows.push(RunRow { upstream, task, open, work, stopping_since: None });
            }
            upstreams.insert(upstream, begin..rows.len());
        }
        Self { rows, upstreams }
    }

    /// All rows, by upstream and task.
    pub(crate) fn rows(&self) -> &[RunRow<'a>] {
        &self.rows
    }

    /// The numbers of the rows of one upstream.
    pub(crate) fn rows_of(&self, upstream: &UpstreamName) -> Range<usize> {
        self.upstreams.get(upstream).cloned().unwrap_or_default()
    }

    /// The open runs of jobs that are over, and of gangs that lost a member.
    pub(crate) fn unneeded(&self, ledger: &WorkflowLedger) -> Vec<RunRef> {
        let broken = broken_gangs(ledger);
        let is_unneeded = |row: &&RunRow<'_>| {
            let StepId { job, occurrence, step } = &row.task.step;
            row.work.is_none_or(|(job, _)| !job.is_active())
                || (row.is_gang() && broken.contains(&(job, *occurrence, *step)))
        };
        self.rows.iter().filter(is_unneeded).map(RunRow::run_ref).collect()
    }

    /// Records when the stops of runs were decided.
    pub(crate) fn record_stops<'b>(
        &mut self,
        stopping: impl Iterator<Item = (&'b RunRef, &'b Time)>,
    ) {
        for (run, since) in stopping {
            let rows = self.rows_of(&run.upstream);
            let row = self.rows[rows].iter_mut().find(|row| *row.task == run.task);
            if let Some(row) = row.filter(|row| row.open.run == run.run) {
                row.stopping_since = Some(*since);
            }
        }
    }

    /// Records that the stop of the run in a row is decided now, unless it was decided before.
    pub(crate) fn record_stop(&mut self, now: Time, row: usize) {
        self.rows[row].stopping_since.get_or_insert(now);
    }
}

/// The gangs of active jobs of which some member does not run, by job, occurrence and step. Those that have not
/// started are among them, unless their job has no open run.
fn broken_gangs(ledger: &WorkflowLedger) -> BTreeSet<(&JobId, u32, u32)> {
    let is_running = |state: &TaskState| matches!(state, TaskState::Running { .. });
    let mut broken = BTreeSet::new();
    for (id, job) in ledger.jobs().iter().filter(|(_, job)| job.is_active() && job.open_runs > 0) {
        for (occurrence, begun) in &job.occurrences {
            for (step, (spec, record)) in (0_u32..).zip(job.spec.steps.iter().zip(&begun.steps)) {
                if spec.gang && record.tasks.iter().any(|task| !is_running(&task.state)) {
                    broken.insert((id, *occurrence, step));
                }
            }
        }
    }
    broken
}
