//! How many tasks of a long-running step may be unavailable at the same time.
//!
//! Handles maintenance beside tasks that serve users: a task is stopped only while enough other
//! tasks of its step are in service.

use hg_ledger::{RunRef, TaskState, WorkflowLedger};
use hg_model::TaskId;

use super::speed_tracker::SpeedTracker;

/// Steps that state no limit lose one task at a time.
const MAX_UNAVAILABLE_DEFAULT: u32 = 1;

/// Whether a task of a long-running step may be stopped now; `is_stopping` tells which runs are
/// being stopped already.
pub(crate) fn may_disrupt(
    ledger: &WorkflowLedger,
    speeds: &SpeedTracker,
    is_stopping: impl Fn(&RunRef) -> bool,
    task: &TaskId,
) -> bool {
    let Some(spec) = ledger.step_spec(&task.step) else { return true };
    let Some(record) = ledger.step_record(&task.step) else { return true };
    let others = (0_u32..).zip(&record.tasks).filter(|(index, _)| *index != task.index);
    let unavailable = others.filter(|(index, known)| {
        let id = TaskId { step: task.step.clone(), index: *index };
        let TaskState::Running { upstream } = &known.state else { return true };
        let run = RunRef { upstream: upstream.clone(), task: id.clone(), run: known.run };
        is_stopping(&run) || !speeds.is_serving(&id, known.run)
    });
    let limit =
        if spec.max_unavailable == 0 { MAX_UNAVAILABLE_DEFAULT } else { spec.max_unavailable };
    u32::try_from(unavailable.count()).is_ok_and(|unavailable| unavailable < limit)
}
