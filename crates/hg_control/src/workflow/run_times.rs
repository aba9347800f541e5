//! Replicates what the leader learned about run times, and reports it.

use hg_ledger::{Command, LearnedRunTimes, RunTimeChange, WorkflowCommand};
use hg_model::Time;
use hg_policy::{RunTimeSummary, run_time_summaries};
use hg_replica::Disk;
use slog::info;

use crate::Core;
use crate::core::Purpose;

impl<D: Disk> Core<D> {
    /// Proposes the runs that completed since the last time, if that is due.
    pub(super) fn replicate_run_times(&mut self, now: Time) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        let changes = leadership.scheduler.take_run_time_changes(now);
        if !changes.is_empty() {
            let command = WorkflowCommand::RunTimesLearned { changes, at: now };
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }

    /// One line for each queue of which runs were learned from.
    pub(super) fn log_run_times(&self, changes: &[RunTimeChange]) {
        for summary in run_time_summaries(self.ledger.workflows().run_times()) {
            let of_queue = |change: &&RunTimeChange| {
                change.key.image.is_none() && change.key.queue == summary.queue
            };
            let Some(change) = changes.iter().find(of_queue) else { continue };
            let added: u32 = change.runs.values().map(|count| u32::from(*count)).sum();
            info!(self.log, "workflow: run times learned"; "event" => "runtimes.learned",
                "queue" => %summary.queue, "added" => added, "runs" => summary.runs as u64,
                "median" => format!("{:.2}", summary.median),
                "upper_decile" => format!("{:.2}", summary.upper_decile));
        }
    }
}

/// Sets the gauges of the learned ratios of run time to estimate.
pub(super) fn set_run_time_gauges(learned: &LearnedRunTimes) {
    for RunTimeSummary { queue, median, upper_decile, .. } in run_time_summaries(learned) {
        for (quantile, ratio) in [("0.5", median), ("0.9", upper_decile)] {
            let labels = [("queue", queue.to_string()), ("quantile", quantile.to_owned())];
            metrics::gauge!("heathergrade_estimate_ratio", &labels).set(ratio);
        }
    }
}
