//! Sends the orders that are due to one upstream.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{Checkpoint, ResourceVector, StepSpec, TaskId, Term, Time, UpstreamName};
use hg_policy::{TicketCache, WorkflowBounds};

use super::run_loss::{RunLoss, RunLossCause};
use super::session::{RunSession, Session, StartStage, StopStage};
use super::sessions::{Work, enforces_capacity};
use super::{Order, OrderId, OrderKind};

/// Timeout of starts, stops and changes of pace; upstreams answer within a few milliseconds.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an upstream may delay a listing in which nothing has changed (long polling).
pub(super) const LISTING_WAIT: Duration = Duration::from_millis(1_900);
/// The same where best-effort tasks run beside tasks that serve users, whose measurements cover half a
/// second.
const INTERFERENCE_WAIT: Duration = Duration::from_millis(300);
/// The same where urgent tasks run: a stalled one has to be detected while it can still end in time.
const URGENT_WAIT: Duration = Duration::from_millis(600);
/// Added to the wait to give the timeout of a listing.
const LISTING_SLACK: Duration = Duration::from_millis(700);

/// Creates the orders that are due to one upstream.
pub(super) struct Dispatch<'a> {
    pub(super) term: Term,
    /// The id of the next order.
    pub(super) next: &'a mut u64,
    pub(super) name: &'a UpstreamName,
    pub(super) now: Time,
    pub(super) work: &'a mut Work,
    pub(super) tickets: &'a TicketCache,
    pub(super) bounds: &'a WorkflowBounds,
}

/// Whether a run fits on its upstream.
enum StartRoom {
    /// It does, or the upstream refuses it otherwise.
    Free,
    /// The upstream has not reported its capacity lately.
    Unknown,
    /// The capacity has shrunk since the run was placed.
    Exceeded,
}

impl Dispatch<'_> {
    fn order(&mut self, session: &Session, kind: OrderKind, limit: Duration) -> OrderId {
        let id = OrderId(*self.next);
        *self.next += 1;
        self.work.orders.push(Order {
            id,
            upstream: self.name.clone(),
            incarnation: session.incarnation,
            address: session.address,
            fence: self.term,
            kind,
            limit,
        });
        id
    }

    /// Sends due starts and stops. Adds runs to `lost` that were stopped before any start was sent, or whose
    /// leases have all expired.
    pub(super) fn send_runs(
        &mut self,
        session: &mut Session,
        ledger: &WorkflowLedger,
        lost: &mut Vec<RunLoss>,
    ) {
        let over = session.leases_are_over(self.now);
        let due = session.runs.iter().filter(|(_, run)| {
            let awaits_order = run.stop == StopStage::Requested || run.start == StartStage::Unsent;
            (awaits_order || (over && run.may_exist())) && !run.is_loss_pending(self.now)
        });
        let due: Vec<(TaskId, RunSession)> =
            due.map(|(task, run)| (task.clone(), run.clone())).collect();
        let is_drained = ledger.is_drained(self.name);
        let mut silenced = BTreeSet::new();
        for (task, run) in due {
            let never_sent = !run.may_exist() && run.stop != StopStage::NotRequested;
            let expired = over && run.may_exist();
            if expired {
                silenced.insert(task.clone());
            }
            if never_sent || expired {
                let cause = if expired { RunLossCause::LeaseExpired } else { RunLossCause::Unsent };
                lost.push(self.give_up(session, &task, &run, cause));
            } else if self.now < session.retry_at {
                // The backoff after an unanswered order has not elapsed.
            } else if run.stop == StopStage::Requested {
                let kind = OrderKind::Stop { task: task.clone(), run: run.run };
                let id = self.order(session, kind, ANSWER_TIMEOUT);
                update(session, &task, |run| run.stop = StopStage::Sent(id));
            } else if run.start == StartStage::Unsent && run.stop == StopStage::NotRequested {
                if is_drained {
                    self.withdraw(session, &task, &run, lost);
                    continue;
                }
                match self.start_room(session, ledger, &task) {
                    StartRoom::Free => self.start(session, ledger, &task, &run),
                    StartRoom::Unknown => {}
                    StartRoom::Exceeded if run.may_exist() => {
                        update(session, &task, |run| run.stop = StopStage::Requested);
                    }
                    StartRoom::Exceeded => {
                        lost.push(self.give_up(session, &task, &run, RunLossCause::Unsent));
                    }
                }
            }
        }
        let command = session.silenced(self.now, self.name, ledger, |task| silenced.contains(task));
        self.work.commands.extend(command);
    }

    /// Stops runs that the upstream listed but that are not open.
    pub(super) fn stop_orphans(&mut self, session: &mut Session) {
        for (task, run) in std::mem::take(&mut session.orphans) {
            // The answer is not evaluated: the next listing shows whether the run is gone.
            self.order(session, OrderKind::Stop { task, run }, ANSWER_TIMEOUT);
        }
    }

    /// Sends pending changes of pace.
    pub(super) fn send_paces(&mut self, session: &mut Session) {
        for (task, (run, percent)) in std::mem::take(&mut session.pending_paces) {
            if session.runs.get(&task).is_some_and(|known| known.run == run) {
                let kind = OrderKind::Pace { task: task.clone(), run, percent };
                let id = self.order(session, kind, ANSWER_TIMEOUT);
                session.paces_in_flight.insert(id, task);
            }
        }
    }

    /// Whether a run that was placed before, or by an earlier leader, still fits where it is to start.
    fn start_room(&self, session: &Session, ledger: &WorkflowLedger, task: &TaskId) -> StartRoom {
        let Some(report) = ledger.upstreams().get(self.name) else { return StartRoom::Unknown };
        if enforces_capacity(ledger, self.name) {
            return StartRoom::Free;
        }
        if !session.is_capacity_current(self.now, report.capacity, self.bounds.unresponsive_after())
        {
            return StartRoom::Unknown;
        }
        let open = || ledger.occupancy().runs(self.name);
        let may_exist = |task: &TaskId| session.runs.get(task).is_some_and(RunSession::may_exist);
        let counted = open().filter(|(other, _)| *other == task || may_exist(other));
        let used = counted.fold(ResourceVector::default(), |used, (_, run)| used.plus(&run.claim));
        if used.fits(&report.capacity) { StartRoom::Free } else { StartRoom::Exceeded }
    }

    /// Closes a run whose start was not sent before its data centre was drained. If an earlier order for it may have been
    /// received, it is stopped instead; what an earlier leader has ordered shows in the next listing.
    fn withdraw(
        &self,
        session: &mut Session,
        task: &TaskId,
        run: &RunSession,
        lost: &mut Vec<RunLoss>,
    ) {
        if !run.may_exist() {
            lost.push(self.give_up(session, task, run, RunLossCause::Unsent));
        } else if run.unanswered_starts > 0 {
            update(session, task, |run| run.stop = StopStage::Requested);
        }
    }

    fn give_up(
        &self,
        session: &mut Session,
        task: &TaskId,
        run: &RunSession,
        cause: RunLossCause,
    ) -> RunLoss {
        update(session, task, |run| run.record_loss_proposal(self.now));
        RunLoss { run: run.lost(task, self.name), cause }
    }

    fn start(
        &mut self,
        session: &mut Session,
        ledger: &WorkflowLedger,
        task: &TaskId,
        run: &RunSession,
    ) {
        let awaits_listing = run.outcome_unknown && run.unanswered_starts == 0;
        if awaits_listing || !session.is_incarnation_confirmed() {
            // An earlier leader may have started it, or the upstream may have restarted; the next listing shows that.
            return;
        }
        let Some((content, checkpoint)) = start_content(ledger, task) else { return };
        let valid = self.bounds.start_valid();
        let Some(lease_until) = session.grant_lease(self.now, valid) else { return };
        let (task, run) = (task.clone(), run.run);
        let ticket = self.tickets.ticket(self.now, &task.step, self.name);
        let kind =
            OrderKind::Start { task: task.clone(), run, content, lease_until, checkpoint, ticket };
        let id = self.order(session, kind, ANSWER_TIMEOUT);
        update(session, &task, |run| run.start = StartStage::Sent(id));
    }

    /// Sends a renewal if one is due: it extends the lease, acknowledges ends and requests a listing.
    pub(super) fn send_renewal(&mut self, session: &mut Session, ledger: &WorkflowLedger) {
        let is_due = session.needs_listing()
            || session.recorded_upto > session.acknowledged_upto
            || session.needs_initial_listing
            || (!session.runs.is_empty() && !session.has_clock());
        let blocked = session.pending_renewal.is_some()
            || session.has_pending_ends(self.now)
            || self.now < session.renew_at;
        if !is_due || blocked {
            return;
        }
        let is_urgent = session.needs_initial_listing || !session.is_incarnation_confirmed();
        let wait = if is_urgent || session.runs.is_empty() {
            Duration::ZERO
        } else if has_interference(session, ledger) {
            INTERFERENCE_WAIT
        } else if has_urgent(session, ledger) {
            URGENT_WAIT
        } else {
            LISTING_WAIT
        };
        let lease_until = session.renewal_lease(self.now, self.bounds.lease_max);
        let acknowledged = session.ends_to_acknowledge(self.now);
        session.acknowledging_upto = acknowledged;
        let kind = OrderKind::Renew { lease_until, acknowledged, wait };
        session.pending_renewal = Some(self.order(session, kind, wait + LISTING_SLACK));
    }
}

fn update(session: &mut Session, task: &TaskId, change: impl FnOnce(&mut RunSession)) {
    if let Some(run) = session.runs.get_mut(task) {
        change(run);
    }
}

/// The content and the checkpoint that a start passes to the upstream.
fn start_content(ledger: &WorkflowLedger, task: &TaskId) -> Option<(Arc<str>, Option<Checkpoint>)> {
    let job = ledger.job(&task.step.job)?;
    let step = ledger.step_record(&task.step)?;
    let record = step.tasks.get(usize::try_from(task.index).ok()?)?;
    Some((Arc::clone(&job.spec.content), record.checkpoint.clone()))
}

/// Whether best-effort tasks run there beside tasks that serve users.
fn has_interference(session: &Session, ledger: &WorkflowLedger) -> bool {
    let specs: Vec<&StepSpec> =
        session.runs.keys().filter_map(|task| ledger.step_spec(&task.step)).collect();
    specs.iter().any(|spec| spec.best_effort) && specs.iter().any(|spec| spec.target.is_some())
}

/// Whether urgent tasks run there.
fn has_urgent(session: &Session, ledger: &WorkflowLedger) -> bool {
    let jobs = session.runs.keys().filter_map(|task| ledger.job(&task.step.job));
    jobs.into_iter().any(|job| job.terms.priority == 0)
}
