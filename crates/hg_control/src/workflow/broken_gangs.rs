//! Detects gangs of which all members but one have reported that they ended because another member did.
//!
//! The member that did not report must be the one that ended first, so there is no need to wait until its
//! lease expires. This inference does not hold once any member ended for a reason of its own, or was recorded
//! as lost.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::{RunRef, StepRecord, TaskState, WorkflowLedger};
use hg_model::{EndKind, RunEnd, RunNumber, StepId, TaskId};

#[derive(Debug, Default)]
struct Gang {
    run: RunNumber,
    /// The members that reported that they ended because another did.
    broken: BTreeSet<u32>,
    /// Whether nothing can be inferred: the cause is known, or need not be the member that did not report.
    is_inconclusive: bool,
}

/// The gangs of which members ended in this leadership term.
#[derive(Debug, Default)]
pub(super) struct BrokenGangs {
    gangs: BTreeMap<StepId, Gang>,
}

impl BrokenGangs {
    /// Records an end that an upstream listed.
    pub(super) fn record_end(&mut self, end: &RunEnd) {
        let gang = self.gang(&end.task.step, end.run);
        if end.kind == EndKind::Broken {
            gang.broken.insert(end.task.index);
        } else {
            gang.is_inconclusive = true;
        }
    }

    /// Records that a run has ended, for whatever reason.
    pub(super) fn record_run_closed(&mut self, run: &RunRef) {
        let gang = self.gang(&run.task.step, run.run);
        if !gang.broken.contains(&run.task.index) {
            gang.is_inconclusive = true;
        }
    }

    fn gang(&mut self, step: &StepId, run: RunNumber) -> &mut Gang {
        let gang = self.gangs.entry(step.clone()).or_default();
        if gang.run != run {
            *gang = Gang { run, ..Gang::default() };
        }
        gang
    }

    /// Returns the members that must have ended; drops gangs from which nothing more can be inferred.
    pub(super) fn presumed_ended(&mut self, ledger: &WorkflowLedger) -> Vec<RunRef> {
        self.gangs.retain(|step, gang| !gang.is_inconclusive && is_open(ledger, step, gang.run));
        let unreported =
            self.gangs.iter().filter_map(|(step, gang)| unreported_member(ledger, step, gang));
        unreported.collect()
    }
}

fn record<'a>(ledger: &'a WorkflowLedger, step: &StepId) -> Option<&'a StepRecord> {
    let is_gang = ledger.step_spec(step)?.gang;
    ledger.step_record(step).filter(|_| is_gang)
}

fn is_open(ledger: &WorkflowLedger, step: &StepId, run: RunNumber) -> bool {
    let is_running = |state: &TaskState| matches!(state, TaskState::Running { .. });
    record(ledger, step)
        .is_some_and(|r| r.tasks.iter().any(|task| task.run == run && is_running(&task.state)))
}

/// The only member that did not end as broken, if it still counts as running.
fn unreported_member(ledger: &WorkflowLedger, step: &StepId, gang: &Gang) -> Option<RunRef> {
    let tasks = &record(ledger, step)?.tasks;
    if gang.broken.is_empty() || gang.broken.len() + 1 != tasks.len() {
        return None;
    }
    let (index, task) = (0_u32..).zip(tasks).find(|(index, _)| !gang.broken.contains(index))?;
    let TaskState::Running { upstream } = &task.state else { return None };
    let id = TaskId { step: step.clone(), index };
    (task.run == gang.run).then(|| RunRef { upstream: upstream.clone(), task: id, run: gang.run })
}
