//! Rejects submitted workflows by the scheduler's forecast, before anything is logged about them.

use hg_link::WorkflowReply;
use hg_model::Time;
use hg_policy::{Admittance, Submission};
use hg_replica::Disk;
use slog::info;

use super::telemetry;
use crate::Core;

impl<D: Disk> Core<D> {
    /// The reply to a submission that could not start while it is of value; `None` if it is to be accepted.
    pub(super) fn reject_by_forecast(
        &mut self,
        now: Time,
        submission: &Submission<'_>,
    ) -> Option<WorkflowReply> {
        let leadership = self.workflow_leadership.as_mut()?;
        let ledger = self.ledger.workflows();
        let Submission { id, terms, account, .. } = submission;
        match leadership.scheduler.admit_by_forecast(now, ledger, submission) {
            Ok(Admittance::Unconditional | Admittance::InTime(_) | Admittance::Late(_)) => None,
            Ok(Admittance::Promised) => {
                info!(self.log, "workflow: returned as promised"; "event" => "workflow.returned",
                    "job" => %id, "queue" => %terms.queue, "priority" => terms.priority);
                None
            }
            Err(rejection) => {
                telemetry::record_forecast_rejection(&rejection);
                info!(self.log, "workflow: rejected"; "event" => "workflow.rejected", "job" => %id,
                    "queue" => %terms.queue, "pool" => %terms.pool, "priority" => terms.priority,
                    "account" => account.map(ToString::to_string), "reason" => %rejection,
                    "forecast_ms" => rejection.forecast_ms,
                    "latest_start_ms" => rejection.latest_start_ms,
                    "retry_after_ms" => rejection.retry_after_ms,
                    "promised" => rejection.is_promised);
                let reason = rejection.to_string();
                let retry_after_ms = rejection.retry_after_ms;
                Some(WorkflowReply::Rejected { reason, retry_after_ms })
            }
        }
    }
}
