//! Which steps have waited for long, and what they wait for.
//!
//! Handles work that does not start for a reason that operators cannot see: the first such steps are reported from
//! time to time, with the number of upstreams that could run them.

use std::time::Duration;

use hg_model::{PoolName, StepId, Time};

use super::capacity_map::{Candidate, CapacityMap};
use super::ready_steps::ReadyStep;

/// A step is reported once its occurrence has been due for this long.
const REPORT_AFTER: Duration = Duration::from_secs(5);
/// How often steps are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Most steps in one report, in the order in which they are served.
const REPORT_MAX: usize = 16;

/// A step that waits for upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// The pool whose upstreams run its tasks.
    pub pool: PoolName,
    /// Number of tasks that wait.
    pub tasks: usize,
    /// Since when its occurrence is due.
    pub due: Time,
    /// Number of upstreams that could hold a task, were they empty.
    pub able: usize,
    /// Number of those that have room for a task now.
    pub with_room: usize,
    /// Number of upstreams for which there is a valid ticket; `None` if the step needs none.
    pub tickets: Option<usize>,
}

/// When steps were last reported.
#[derive(Debug, Default)]
pub(crate) struct WaitingReports {
    reported_at: Option<Time>,
}

impl WaitingReports {
    /// The report of a round, if one is due.
    pub(crate) fn report(
        &mut self,
        now: Time,
        unplaced: &[&ReadyStep<'_>],
        capacity: &CapacityMap<'_>,
    ) -> Vec<WaitingStep> {
        if self.reported_at.is_some_and(|at| now < at.after(REPORT_INTERVAL)) {
            return Vec::new();
        }
        let waits_long = |step: &&&ReadyStep<'_>| now >= step.due.after(REPORT_AFTER);
        let long = unplaced.iter().filter(waits_long).take(REPORT_MAX);
        let report: Vec<WaitingStep> = long.map(|step| waiting_step(step, capacity)).collect();
        if !report.is_empty() {
            self.reported_at = Some(now);
        }
        report
    }
}

fn waiting_step(step: &ReadyStep<'_>, capacity: &CapacityMap<'_>) -> WaitingStep {
    let pool = step.pool;
    let claim = step.spec.claim();
    let able: Vec<&Candidate<'_>> =
        capacity.candidates().filter(|candidate| candidate.can_run(pool, step.spec)).collect();
    WaitingStep {
        step: step.id.clone(),
        pool: pool.clone(),
        tasks: step.waiting.len(),
        due: step.due,
        able: able.len(),
        with_room: able.iter().filter(|candidate| claim.fits(&candidate.available())).count(),
        tickets: step.allowed.as_ref().map(|allowed| allowed.len()),
    }
}
