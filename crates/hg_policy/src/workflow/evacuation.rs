//! Which runs are moved off upstreams that are about to leave.
//!
//! Handles upstreams that are withdrawn while they work: runs that cannot end in the remaining time
//! move elsewhere. Runs that save their progress, and long-running ones, are stopped at the last
//! moment, since they are useful until then; others are stopped at once, since everything that they
//! still do here is lost.

use std::time::Duration;

use hg_ledger::{RunRef, WorkflowLedger};
use hg_model::{Time, UpstreamName};

use super::FleetObservations;
use super::speed_tracker::SpeedTracker;

/// How long before an upstream leaves its runs are stopped: a stop takes under half a second, and
/// the end of the run has to be listed and stored.
const STOP_LEAD_TIME: Duration = Duration::from_millis(1_000);

/// The runs that have to be stopped now.
pub(crate) fn evacuations(
    now: Time,
    ledger: &WorkflowLedger,
    fleet: &FleetObservations,
    speeds: &SpeedTracker,
) -> Vec<RunRef> {
    let mut runs = Vec::new();
    for (upstream, leaves_at) in &fleet.leaving {
        collect_evacuations(now, ledger, speeds, upstream, *leaves_at, &mut runs);
    }
    runs
}

fn collect_evacuations(
    now: Time,
    ledger: &WorkflowLedger,
    speeds: &SpeedTracker,
    upstream: &UpstreamName,
    leaves_at: Time,
    runs: &mut Vec<RunRef>,
) {
    for (task, open) in ledger.occupancy().runs(upstream) {
        let Some(spec) = ledger.step_spec(&task.step) else { continue };
        let left = speeds.time_left(now, task, open, spec.estimate_ms);
        if !spec.long_running && now.after(left) <= leaves_at {
            continue;
        }
        let may_continue = spec.checkpointable || spec.long_running;
        if !may_continue || now.after(STOP_LEAD_TIME) >= leaves_at {
            let (upstream, task) = (upstream.clone(), task.clone());
            runs.push(RunRef { upstream, task, run: open.run });
        }
    }
}
