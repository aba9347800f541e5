//! How many tasks of a lasting step may be taken away at the same time.
//!
//! Answers the load of maintenance beside tasks that serve users: a task is taken away only while enough others
//! of its step are at work.

use hg_ledger::{RunRef, TaskState, WorkflowLedger};
use hg_model::TaskId;

use super::speed::SpeedBook;

/// Tasks of a step that states no limit go one at a time.
const UNSTATED_MAX: u32 = 1;

/// Whether a task of a lasting step may be stopped now; `is_stopping` tells which runs are being stopped.
pub(crate) fn may_take_away(
    ledger: &WorkflowLedger,
    speeds: &SpeedBook,
    is_stopping: impl Fn(&RunRef) -> bool,
    task: &TaskId,
) -> bool {
    let Some(spec) = ledger.step_spec(&task.step) else { return true };
    let Some(record) = ledger.step_record(&task.step) else { return true };
    let others = (0_u32..).zip(&record.tasks).filter(|(index, _)| *index != task.index);
    let away = others.filter(|(index, known)| {
        let id = TaskId { step: task.step.clone(), index: *index };
        let TaskState::Running { upstream } = &known.state else { return true };
        let run = RunRef { upstream: upstream.clone(), task: id.clone(), run: known.run };
        is_stopping(&run) || !speeds.is_at_work(&id, known.run)
    });
    let limit = if spec.max_unavailable == 0 { UNSTATED_MAX } else { spec.max_unavailable };
    u32::try_from(away.count()).is_ok_and(|away| away < limit)
}
