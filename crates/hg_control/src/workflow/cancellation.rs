//! Handles cancellations by callers, and submissions that arrive after theirs.

use std::time::Duration;

use hg_ledger::WorkflowCommand;
use hg_link::WorkflowReply;
use hg_model::{AccountName, JobId, QueueName, Time};
use hg_replica::Disk;
use slog::info;

use super::request::WorkflowReplyKind;
use crate::{Core, Ticket};

/// The reply to the submission of a workflow that its caller has cancelled before. The id is accepted again after `kept`.
pub(super) fn cancelled_before(kept: Duration) -> WorkflowReply {
    let reason = "this id was cancelled before".to_owned();
    WorkflowReply::Rejected { reason, retry_after_ms: millis(kept) }
}

impl<D: Disk> Core<D> {
    /// Whether a caller may cancel a workflow: its account submitted it, or it is in a queue that is open to everyone, which
    /// `open_queue` names if the caller addressed one.
    fn may_cancel(
        &self,
        id: &JobId,
        account: Option<&AccountName>,
        open_queue: Option<&QueueName>,
    ) -> bool {
        self.ledger.workflows().job(id).is_none_or(|job| {
            let is_open = job.account.is_none() || open_queue == Some(&job.terms.queue);
            is_open || job.account.as_ref() == account
        })
    }

    pub(super) fn on_cancel_workflow(
        &mut self,
        now: Time,
        ticket: Ticket,
        id: JobId,
        account: Option<AccountName>,
        open_queue: Option<&QueueName>,
    ) -> Option<WorkflowReply> {
        if !self.may_cancel(&id, account.as_ref(), open_queue) {
            info!(self.log, "workflow: cancellation by another account"; "event" => "workflow.foreign_cancel",
                "job" => %id, "account" => account.as_ref().map(ToString::to_string));
            return Some(WorkflowReply::Unknown);
        }
        match self.ledger.workflows().state(&id) {
            None => self.on_cancel_unknown(now, ticket, id, account),
            Some(state) if state.is_final() => Some(WorkflowReply::State(state)),
            Some(_) => {
                let reply = WorkflowReplyKind::Cancelled(id.clone());
                self.propose_workflow(now, ticket, WorkflowCommand::Cancel { id, at: now }, reply)
            }
        }
    }

    /// Handles the cancellation of a workflow that is unknown. Its submission may be held up on its way, so the id is recorded
    /// before the reply that there is no such workflow.
    fn on_cancel_unknown(
        &mut self,
        now: Time,
        ticket: Ticket,
        id: JobId,
        account: Option<AccountName>,
    ) -> Option<WorkflowReply> {
        let tombstones = self.ledger.workflows().tombstones();
        if tombstones.cancelled_at(account.as_ref(), &id).is_some() {
            return Some(WorkflowReply::Unknown);
        }
        let kept_until = tombstones
            .next_evicted(account.as_ref())
            .map(|oldest| oldest.after(self.cfg.workflows.tombstone_kept_min()));
        if let Some(kept_until) = kept_until.filter(|until| now < *until) {
            let retry_after_ms = millis(kept_until.since(now));
            info!(self.log, "workflow: too many cancelled ids"; "event" => "workflow.uncancelled",
                "job" => %id, "account" => account.as_ref().map(ToString::to_string),
                "retry_after_ms" => retry_after_ms);
            let reason = "too many ids were cancelled that no job has".to_owned();
            return Some(WorkflowReply::Rejected { reason, retry_after_ms });
        }
        let reply = WorkflowReplyKind::CancelledUnknown(id.clone());
        let command = WorkflowCommand::CancelUnknown { id, account, at: now };
        self.propose_workflow(now, ticket, command, reply)
    }

    /// The reply to a submission whose id the account has cancelled before; `None` if it has not.
    pub(super) fn reject_cancelled(
        &self,
        now: Time,
        id: &JobId,
        account: Option<&AccountName>,
    ) -> Option<WorkflowReply> {
        let at = self.ledger.workflows().tombstones().cancelled_at(account, id)?;
        let age = now.since(at);
        info!(self.log, "workflow: rejected, cancelled before"; "event" => "workflow.withdrawn",
            "job" => %id, "cancelled_ms_ago" => millis(age));
        Some(cancelled_before(self.cfg.workflows.retain_ended().saturating_sub(age)))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
