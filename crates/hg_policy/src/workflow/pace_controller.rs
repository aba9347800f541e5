//! How fast best-effort runs may work beside long-running tasks that serve users.
//!
//! Handles best-effort work, which uses only the capacity that others leave, when it disturbs those
//! others: it is slowed at once when the latency of a serving task on the same upstream nears its
//! objective, and sped up step by step when the latency is well below.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{RunRef, WorkflowLedger};
use hg_model::{ListedRun, RunListing, RunNumber, StepSpec, TaskId, Time, UpstreamName};

/// Best-effort runs are slowed when a serving task's tail latency reaches this share of its
/// objective, in percent.
const SLOW_DOWN_FROM_PERCENT: u64 = 85;
/// Best-effort runs are sped up while the tail latency is below this share of the objective, in
/// percent.
const SPEED_UP_BELOW_PERCENT: u64 = 60;
/// The initial pace of best-effort runs beside a serving task, and the pace below which they are
/// paused, in percent.
const PACE_INITIAL_PERCENT: u32 = 50;
const PACE_MIN_PERCENT: u32 = 10;
/// How much the pace rises at a time, in percentage points.
const PACE_STEP_PERCENT: u32 = 10;

/// A run whose pace is to change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceChange {
    /// The run.
    pub run: RunRef,
    /// The new pace as a share of full speed, from 0 to 100.
    pub percent: u32,
}

#[derive(Debug, Clone, Copy)]
struct Pace {
    run: RunNumber,
    percent: u32,
    changed: Time,
}

/// The paces that were ordered for best-effort runs.
#[derive(Debug)]
pub(crate) struct PaceController {
    paces: BTreeMap<TaskId, Pace>,
    /// How long a change takes to show in the measured latency.
    settle_time: Duration,
}

impl PaceController {
    pub(crate) const fn new(settle_time: Duration) -> Self {
        Self { paces: BTreeMap::new(), settle_time }
    }

    /// Returns the changes of pace that follow from an upstream's listing of its runs.
    pub(crate) fn record_listing(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        listing: &RunListing,
    ) -> Vec<PaceChange> {
        let tail_percent = listing
            .running
            .iter()
            .filter_map(|run| tail_percent(ledger.step_spec(&run.task.step)?, run))
            .max();
        let mut changes = Vec::new();
        for run in &listing.running {
            if !ledger.step_spec(&run.task.step).is_some_and(|spec| spec.best_effort) {
                continue;
            }
            let Some(percent) = self.next_pace(now, run, tail_percent) else { continue };
            self.paces.insert(run.task.clone(), Pace { run: run.run, percent, changed: now });
            let run = RunRef { upstream: upstream.clone(), task: run.task.clone(), run: run.run };
            changes.push(PaceChange { run, percent });
        }
        changes
    }

    /// Drops the pace of a run that is over, or whose last change has an unknown outcome.
    pub(crate) fn forget(&mut self, task: &TaskId) {
        self.paces.remove(task);
    }

    /// The pace to order for a best-effort run, if it differs from the last one. `tail_percent` is
    /// the highest of the serving tasks on the same upstream.
    fn next_pace(&self, now: Time, run: &ListedRun, tail_percent: Option<u64>) -> Option<u32> {
        let known = self.paces.get(&run.task).filter(|pace| pace.run == run.run);
        let Some(tail_percent) = tail_percent else {
            // Without a serving task it may run at full pace; an earlier leader may have slowed it.
            return known.is_none_or(|pace| pace.percent < 100).then_some(100);
        };
        let Some(known) = known else { return Some(PACE_INITIAL_PERCENT) };
        if now < known.changed.after(self.settle_time) {
            return None;
        }
        let next = if tail_percent >= SLOW_DOWN_FROM_PERCENT {
            let half = known.percent / 2;
            if half < PACE_MIN_PERCENT { 0 } else { half }
        } else if tail_percent < SPEED_UP_BELOW_PERCENT {
            (known.percent + PACE_STEP_PERCENT).min(100)
        } else {
            known.percent
        };
        (next != known.percent).then_some(next)
    }
}

/// A serving task's tail latency as a share of its objective, in percent.
fn tail_percent(spec: &StepSpec, run: &ListedRun) -> Option<u64> {
    let target = spec.target?;
    Some(run.gauge.unwrap_or(0).saturating_mul(100) / target.tail_latency_ms.max(1))
}
