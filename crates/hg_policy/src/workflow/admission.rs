//! Which workflows are rejected at once.
//!
//! Handles jobs that can never run: no upstream of the pool could hold one of their tasks, even if
//! it were empty. An immediate rejection lets the caller do something else.

use derive_more::Display;
use hg_ledger::WorkflowLedger;
use hg_model::{QueueSpec, ResourceVector, StepSpec, WorkflowSpec};

/// Why a workflow was rejected before any part of it ran.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Rejection {
    /// No upstream of the pool could ever hold a task of this step.
    #[display("no upstream of the pool can hold a task of step {step}")]
    FitsNowhere {
        /// The step.
        step: usize,
    },
    /// A gang is larger than the whole pool.
    #[display("the pool cannot hold all members of step {step} at once")]
    GangTooLarge {
        /// The step.
        step: usize,
    },
}

/// Checks whether a workflow could ever run in the queue's pool.
///
/// # Errors
///
/// [`Rejection`] with the first step that could not.
pub fn admit(
    ledger: &WorkflowLedger,
    queue: &QueueSpec,
    spec: &WorkflowSpec,
) -> Result<(), Rejection> {
    let pool: Vec<_> = ledger.upstreams().values().filter(|u| u.pool == queue.pool).collect();
    if pool.is_empty() {
        // No upstream of the pool is known yet, so nothing can be ruled out.
        return Ok(());
    }
    for (number, step) in spec.steps.iter().enumerate() {
        let fits = |step: &StepSpec, capacity: &ResourceVector| step.claim().fits(capacity);
        let holding = pool.iter().filter(|u| {
            step.required_label.as_ref().is_none_or(|l| u.has_label(l)) && fits(step, &u.capacity)
        });
        let per_upstream_max = step.per_upstream_max.unwrap_or(u32::MAX).min(step.tasks);
        let tasks_held: u64 =
            holding.map(|u| u64::from(u.capacity.count_of(&step.claim(), per_upstream_max))).sum();
        if tasks_held == 0 {
            return Err(Rejection::FitsNowhere { step: number });
        }
        if step.gang && tasks_held < u64::from(step.tasks) {
            return Err(Rejection::GangTooLarge { step: number });
        }
    }
    Ok(())
}
