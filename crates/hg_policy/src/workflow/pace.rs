//! How fast fillers may work beside tasks that serve users.
//!
//! Answers the load in which work that only uses what others leave disturbs those others: fillers are slowed
//! at once when a serving task beside them nears its objective, and sped up bit by bit when it is well below.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{RunRef, WorkflowLedger};
use hg_model::{ListedRun, RunListing, RunNumber, StepSpec, TaskId, Time, UpstreamName};

/// Fillers are slowed when a serving task's tail reaches this share of its objective, in percent.
const SLOW_FROM_PERCENT: u64 = 85;
/// Fillers are sped up while the tail is below this share of the objective, in percent.
const SPEED_BELOW_PERCENT: u64 = 60;
/// The pace at which fillers begin beside a serving task, and below which they stand still, in percent.
const FIRST_PACE: u32 = 50;
const LEAST_PACE: u32 = 10;
/// How much faster they get at once, in percentage points.
const PACE_STEP: u32 = 10;
/// A change shows in the figures after this: they cover the last half second.
const SETTLE: Duration = Duration::from_millis(600);

/// A run that is to work at another pace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceChange {
    /// The run.
    pub run: RunRef,
    /// Its share of full pace, from 0 to 100.
    pub percent: u32,
}

#[derive(Debug, Clone, Copy)]
struct Pace {
    run: RunNumber,
    percent: u32,
    changed: Time,
}

/// The paces that fillers were told.
#[derive(Debug, Default)]
pub(crate) struct PaceBook {
    paces: BTreeMap<TaskId, Pace>,
}

impl PaceBook {
    /// An upstream listed its runs: what is to change there.
    pub(crate) fn note(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        listing: &RunListing,
    ) -> Vec<PaceChange> {
        let strain = listing
            .running
            .iter()
            .filter_map(|run| strain(ledger.step_spec(&run.task.step)?, run))
            .max();
        let mut changes = Vec::new();
        for run in &listing.running {
            if !ledger.step_spec(&run.task.step).is_some_and(|spec| spec.best_effort) {
                continue;
            }
            let Some(percent) = self.next_pace(now, run, strain) else { continue };
            self.paces.insert(run.task.clone(), Pace { run: run.run, percent, changed: now });
            let run = RunRef { upstream: upstream.clone(), task: run.task.clone(), run: run.run };
            changes.push(PaceChange { run, percent });
        }
        changes
    }

    /// A run is over, or nobody knows whether its last change arrived.
    pub(crate) fn forget(&mut self, task: &TaskId) {
        self.paces.remove(task);
    }

    /// The pace that a filler is to be told, if it is another one than before.
    fn next_pace(&self, now: Time, run: &ListedRun, strain: Option<u64>) -> Option<u32> {
        let known = self.paces.get(&run.task).filter(|pace| pace.run == run.run);
        let Some(strain) = strain else {
            // Alone it may work at full pace; an earlier lead may have slowed it.
            return known.is_none_or(|pace| pace.percent < 100).then_some(100);
        };
        let Some(known) = known else { return Some(FIRST_PACE) };
        if now < known.changed.after(SETTLE) {
            return None;
        }
        let next = if strain >= SLOW_FROM_PERCENT {
            let half = known.percent / 2;
            if half < LEAST_PACE { 0 } else { half }
        } else if strain < SPEED_BELOW_PERCENT {
            (known.percent + PACE_STEP).min(100)
        } else {
            known.percent
        };
        (next != known.percent).then_some(next)
    }
}

/// A serving task's tail as a share of its objective, in percent.
fn strain(spec: &StepSpec, run: &ListedRun) -> Option<u64> {
    let target = spec.target?;
    Some(run.gauge.unwrap_or(0).saturating_mul(100) / target.tail_ms.max(1))
}
