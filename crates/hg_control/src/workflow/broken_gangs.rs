//! Gangs of which all members but one are known to have ended because another member did.
//!
//! The one that nobody hears of must be the one that ended, so it need not be waited for until its lease is
//! over. This does not hold once any member ended for a reason of its own, or was given up.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::{RunRef, StepRecord, TaskState, WorkflowLedger};
use hg_model::{EndKind, RunEnd, RunNumber, StepId, TaskId};

#[derive(Debug, Default)]
struct Gang {
    run: RunNumber,
    /// The members that ended because another did.
    broken: BTreeSet<u32>,
    /// Whether the cause is known, or may be another than the silent member.
    is_explained: bool,
}

/// What is known of gangs that came apart in this lead.
#[derive(Debug, Default)]
pub(super) struct BrokenGangs {
    gangs: BTreeMap<StepId, Gang>,
}

impl BrokenGangs {
    /// An upstream listed an end.
    pub(super) fn note_end(&mut self, end: &RunEnd) {
        let gang = self.gang(&end.task.step, end.run);
        if end.kind == EndKind::Broken {
            gang.broken.insert(end.task.index);
        } else {
            gang.is_explained = true;
        }
    }

    /// A run is over, for whatever reason.
    pub(super) fn note_closed(&mut self, run: &RunRef) {
        let gang = self.gang(&run.task.step, run.run);
        if !gang.broken.contains(&run.task.index) {
            gang.is_explained = true;
        }
    }

    fn gang(&mut self, step: &StepId, run: RunNumber) -> &mut Gang {
        let gang = self.gangs.entry(step.clone()).or_default();
        if gang.run != run {
            *gang = Gang { run, ..Gang::default() };
        }
        gang
    }

    /// The members that must have ended, and forgets gangs that nothing is to be learned of any more.
    pub(super) fn ended_unheard(&mut self, ledger: &WorkflowLedger) -> Vec<RunRef> {
        self.gangs.retain(|step, gang| !gang.is_explained && is_open(ledger, step, gang.run));
        let silent = self.gangs.iter().filter_map(|(step, gang)| silent_member(ledger, step, gang));
        silent.collect()
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

/// The only member that did not end as broken.
fn silent_member(ledger: &WorkflowLedger, step: &StepId, gang: &Gang) -> Option<RunRef> {
    let tasks = &record(ledger, step)?.tasks;
    if gang.broken.is_empty() || gang.broken.len() + 1 != tasks.len() {
        return None;
    }
    let (index, task) = (0_u32..).zip(tasks).find(|(index, _)| !gang.broken.contains(index))?;
    let TaskState::Running { upstream } = &task.state else { return None };
    let id = TaskId { step: step.clone(), index };
    (task.run == gang.run).then(|| RunRef { upstream: upstream.clone(), task: id, run: gang.run })
}
