//! Which work is moved off upstreams that are about to leave.
//!
//! Answers the load in which upstreams are taken away while they work: what cannot end in the time that is
//! left goes elsewhere. What saves its progress goes at the last moment, since it works on until then; what
//! does not goes at once, since all that it does here is lost.

use std::time::Duration;

use hg_ledger::{RunRef, WorkflowLedger};
use hg_model::{Time, UpstreamName};

use super::FleetObservations;
use super::speed::SpeedBook;

/// How long before an upstream goes its work is stopped: a stop takes under half a second, and its end has
/// to be listed and stored.
const STOP_AHEAD: Duration = Duration::from_millis(1_000);

/// The runs that have to go now.
pub(crate) fn evacuations(
    now: Time,
    ledger: &WorkflowLedger,
    fleet: &FleetObservations,
    speeds: &SpeedBook,
) -> Vec<RunRef> {
    let mut runs = Vec::new();
    for (upstream, leaves_at) in &fleet.leaving {
        collect(now, ledger, speeds, upstream, *leaves_at, &mut runs);
    }
    runs
}

fn collect(
    now: Time,
    ledger: &WorkflowLedger,
    speeds: &SpeedBook,
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
        let works_on = spec.checkpointable || spec.long_running;
        if !works_on || now.after(STOP_AHEAD) >= leaves_at {
            let (upstream, task) = (upstream.clone(), task.clone());
            runs.push(RunRef { upstream, task, run: open.run });
        }
    }
}
