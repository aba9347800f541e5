//! What the leader logs, counts and replicates about contention between tasks.

use hg_ledger::{Command, WorkflowCommand};
use hg_model::Time;
use hg_policy::ContentionReport;
use hg_replica::Disk;
use slog::info;

use super::telemetry;
use crate::Core;
use crate::core::Purpose;

impl<D: Disk> Core<D> {
    /// Logs and counts what a round changed about contention, and replicates changed evidence.
    pub(super) fn report_contention(&mut self, now: Time, report: ContentionReport) {
        for finding in &report.findings {
            let (message, event) = if finding.is_found {
                ("workflow: tasks slow each other down", "contention.found")
            } else {
                ("workflow: tasks no longer slow each other down", "contention.released")
            };
            info!(self.log, "{}", message; "event" => event,
                "aggressor" => %finding.pair.aggressor, "victim" => %finding.pair.victim,
                "factor" => format!("{:.2}", finding.factor),
                "score" => format!("{:.1}", finding.score),
                "score_required" => format!("{:.1}", finding.score_required),
                "comparisons" => format!("{:.0}", finding.comparisons));
        }
        for avoided in &report.avoided {
            info!(self.log, "workflow: contention avoided"; "event" => "contention.avoided",
                "task" => %avoided.task, "upstream" => %avoided.upstream,
                "instead_of" => %avoided.instead_of, "aggressor" => %avoided.pair.aggressor,
                "victim" => %avoided.pair.victim, "factor" => format!("{:.2}", avoided.factor));
        }
        telemetry::record_contention_avoided(report.avoided.len());
        if !report.dropped.is_empty() || !report.changed.is_empty() {
            let ContentionReport { dropped, changed, .. } = report;
            let command = WorkflowCommand::RecordContention { dropped, changed };
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }
}
