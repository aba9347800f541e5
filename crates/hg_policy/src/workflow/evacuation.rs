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

/// The runs that have to be stopped now; stops are ordered `lead_time` before an upstream leaves.
pub(crate) fn evacuations(
    now: Time,
    ledger: &WorkflowLedger,
    fleet: &FleetObservations,
    speeds: &SpeedTracker,
    lead_time: Duration,
) -> Vec<RunRef> {
    let mut runs = Vec::new();
    for (upstream, leaves_at) in &fleet.leaving {
        let departure = Departure { upstream, leaves_at: *leaves_at, lead_time };
        collect_evacuations(now, ledger, speeds, &departure, &mut runs);
    }
    runs
}

/// An upstream that leaves.
struct Departure<'a> {
    upstream: &'a UpstreamName,
    leaves_at: Time,
    /// How long before that its runs are stopped at the latest.
    lead_time: Duration,
}

fn collect_evacuations(
    now: Time,
    ledger: &WorkflowLedger,
    speeds: &SpeedTracker,
    departure: &Departure<'_>,
    runs: &mut Vec<RunRef>,
) {
    let Departure { upstream, leaves_at, lead_time } = *departure;
    for (task, open) in ledger.occupancy().runs(upstream) {
        let Some(spec) = ledger.step_spec(&task.step) else { continue };
        let left = speeds.time_left(now, task, open, spec.estimate_ms);
        if !spec.long_running && now.after(left) <= leaves_at {
            continue;
        }
        let may_continue = spec.checkpointable || spec.long_running;
        if !may_continue || now.after(lead_time) >= leaves_at {
            let (upstream, task) = (upstream.clone(), task.clone());
            runs.push(RunRef { upstream, task, run: open.run });
        }
    }
}
