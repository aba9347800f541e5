//! Applies the results of orders to an upstream's session.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::WorkflowCommand;
use hg_model::{ListedRun, RunEnd, RunListing, TaskId, Time, UpstreamName};

use super::departure::DepartureCause;
use super::dispatch::LISTING_WAIT;
use super::run_loss::{RunLoss, RunLossCause};
use super::session::{RunSession, SUSPECT_FOR, Session, StartStage, StopStage};
use super::sessions::Work;
use super::{OrderId, OrderResult, StartRefusal};

/// Pause between listings, unless ends are still to be acknowledged.
const LISTING_PAUSE: Duration = Duration::from_millis(100);
/// Number of start orders that could not be sent after which the start is given up.
const UNSENT_STARTS_MAX: u32 = 3;
/// Number of unanswered start orders after which the run is stopped, to be recorded as lost.
const UNANSWERED_STARTS_MAX: u32 = 2;

/// Applies the result of a renewal.
pub(super) fn on_renewal(
    now: Time,
    id: OrderId,
    name: &UpstreamName,
    session: &mut Session,
    result: OrderResult,
    work: &mut Work,
) {
    match result {
        OrderResult::Listed(listing) if listing.incarnation == session.incarnation => {
            on_listing(now, id, name, session, listing, work);
        }
        // A later incarnation under the same name: its heartbeat registers it. Until then runs of the earlier
        // one must not be recorded as lost, since the later one may still carry out a delayed start.
        OrderResult::Listed(_) => {
            session.suspect_until = now.after(SUSPECT_FOR);
            session.renew_at = now.after(LISTING_WAIT);
        }
        OrderResult::OtherIncarnation => {
            session.renew_at = now.after(SUSPECT_FOR);
            work.departures.push(session.departure(name, DepartureCause::OtherAnswered));
        }
        _ => {
            session.runs.values_mut().for_each(record_unsent);
            session.record_unanswered(now);
            session.renew_at = session.retry_at;
        }
    }
}

fn on_listing(
    now: Time,
    id: OrderId,
    name: &UpstreamName,
    session: &mut Session,
    listing: RunListing,
    work: &mut Work,
) {
    session.record_clock(now, listing.clock);
    session.needs_initial_listing = false;
    session.record_answer();
    session.acknowledged_upto = session.acknowledged_upto.max(session.acknowledging_upto);
    session.record_listed(now);
    let listed_ends = listing.ended.len();
    let fresh: Vec<RunEnd> =
        listing.ended.into_iter().filter(|end| end.number > session.recorded_upto).collect();
    let running: BTreeMap<&TaskId, _> =
        listing.running.iter().map(|run| (&run.task, run)).collect();
    let ended: BTreeSet<_> = fresh.iter().map(|end| (&end.task, end.run)).collect();
    let is_orphan = |run: &&ListedRun| session.runs.get(&run.task).is_none_or(|r| r.run != run.run);
    session.orphans =
        listing.running.iter().filter(is_orphan).map(|run| (run.task.clone(), run.run)).collect();
    let unlisted = RunLossCause::Unlisted { active: listing.running.len(), ended: listed_ends };
    let mut lost = Vec::new();
    for (task, run) in &mut session.runs {
        let listed = running.get(task).filter(|listed| listed.run == run.run);
        if let Some(listed) = listed {
            run.start = StartStage::Confirmed;
            run.outcome_unknown = false;
            run.checkpoint = listed.checkpoint.clone().or(run.checkpoint.take());
        } else if !listing.has_more_ends
            && !ended.contains(&(task, run.run))
            && !run.is_loss_pending(now)
            && on_unlisted(now, id, run)
        {
            let is_stopped = run.stop == StopStage::Acknowledged;
            let cause = if is_stopped { RunLossCause::Stopped } else { unlisted };
            lost.push(RunLoss { run: run.lost(task, name), cause });
        }
    }
    work.record_losses(now, lost);
    let pause = if session.recorded_upto > session.acknowledged_upto {
        Duration::ZERO
    } else {
        LISTING_PAUSE
    };
    session.renew_at = now.after(pause);
    let Some(upto) = fresh.last().map(|end| end.number) else { return };
    session.ends_proposed_at = Some(now);
    let (upstream, incarnation) = (name.clone(), session.incarnation);
    debug_assert!(
        upto > session.recorded_upto,
        "only ends that are not in the log yet are proposed"
    );
    work.commands.push(WorkflowCommand::RunsEnded { upstream, incarnation, ends: fresh, at: now });
}

/// Handles a run that the upstream does not list. Returns whether it is lost: it certainly does not run there
/// and never will.
fn on_unlisted(now: Time, listing: OrderId, run: &mut RunSession) -> bool {
    let is_after = listing >= run.first_later_order;
    let stopped = run.stop == StopStage::Acknowledged && is_after;
    let disappeared = run.start == StartStage::Confirmed && is_after;
    let of_earlier_term =
        run.outcome_unknown && run.unanswered_starts == 0 && run.start == StartStage::Unsent;
    if of_earlier_term && run.stop == StopStage::NotRequested {
        // Orders of earlier terms have no effect now that the upstream knows this term's fencing token.
        run.outcome_unknown = false;
    }
    if disappeared && run.outcome_unknown && run.stop == StopStage::NotRequested {
        run.stop = StopStage::Requested;
    }
    let is_gone = stopped || (disappeared && !run.outcome_unknown);
    if is_gone {
        run.record_loss_proposal(now);
    }
    is_gone
}

/// Applies the result of a change of pace. Returns whether the change may not have been applied.
pub(super) fn on_pace_report(now: Time, session: &mut Session, result: &OrderResult) -> bool {
    match result {
        OrderResult::Paced(clock) => {
            session.record_answer_clock(now, *clock);
            session.record_answer();
        }
        OrderResult::Unanswered(_) => session.record_unanswered(now),
        _ => {}
    }
    !matches!(result, OrderResult::Paced(_))
}

/// The result of a start or stop order.
pub(super) struct RunReport {
    /// The order.
    pub(super) id: OrderId,
    /// The task.
    pub(super) task: TaskId,
    /// Its result.
    pub(super) result: OrderResult,
    /// Orders with this id or a higher one are sent after this result was applied.
    pub(super) first_later_order: OrderId,
}

/// Applies the result of a start or stop order.
pub(super) fn on_run_report(
    now: Time,
    name: &UpstreamName,
    session: &mut Session,
    report: RunReport,
    work: &mut Work,
) {
    let RunReport { id, task, result, first_later_order } = report;
    let clock = match &result {
        OrderResult::Started(clock) | OrderResult::Stopped(clock) => Some(*clock),
        _ => None,
    };
    let is_own = clock.is_none_or(|clock| session.record_answer_clock(now, clock));
    if clock.is_some() {
        session.record_answer();
    }
    let Some(run) = session.runs.get_mut(&task) else { return };
    match result {
        OrderResult::Started(_) => {
            run.is_elsewhere |= !is_own;
            run.start = StartStage::Confirmed;
            run.first_later_order = first_later_order;
            session.renew_at = session.renew_at.min(now);
        }
        OrderResult::Stopped(_) => {
            run.stop = StopStage::Acknowledged;
            run.first_later_order = first_later_order;
            session.renew_at = session.renew_at.min(now);
        }
        OrderResult::NotStarted(refusal) => {
            if on_refusal(now, refusal, run, first_later_order) {
                let (run, cause) = (run.lost(&task, name), RunLossCause::Refused);
                work.record_losses(now, vec![RunLoss { run, cause }]);
            }
            let is_leader_fault = matches!(
                refusal,
                StartRefusal::Outdated | StartRefusal::Late | StartRefusal::Ticket
            );
            if !is_leader_fault {
                session.suspect_until = now.after(SUSPECT_FOR);
            }
        }
        OrderResult::OtherIncarnation => {
            reset_for_retry(run, id);
            work.departures.push(session.departure(name, DepartureCause::OtherAnswered));
        }
        OrderResult::Fenced
        | OrderResult::Listed(_)
        | OrderResult::Paced(_)
        | OrderResult::Withdrawn => {
            reset_for_retry(run, id);
        }
        OrderResult::Unsent(_) => {
            on_unsent(run, id);
            session.record_unanswered(now);
        }
        OrderResult::Unanswered(_) => {
            on_unanswered(run, id);
            session.record_unanswered(now);
        }
    }
}

/// Resets a run whose order had no effect, so that the order is sent again.
fn reset_for_retry(run: &mut RunSession, id: OrderId) {
    if run.start == StartStage::Sent(id) {
        run.start = StartStage::Unsent;
    }
    if run.stop == StopStage::Sent(id) {
        run.stop = StopStage::Requested;
    }
}

/// Handles an order that did not reach its upstream.
fn on_unsent(run: &mut RunSession, id: OrderId) {
    reset_for_retry(run, id);
    record_unsent(run);
}

/// Records that the upstream cannot be reached or does not answer. After some tries a start is given up, so that the task can start
/// elsewhere; the other members of a gang need not wait for it.
fn record_unsent(run: &mut RunSession) {
    if run.may_exist() {
        return;
    }
    run.unsent_starts += 1;
    if run.unsent_starts >= UNSENT_STARTS_MAX && run.stop == StopStage::NotRequested {
        run.stop = StopStage::Requested;
    }
}

/// Handles an order of unknown outcome: it may have been carried out, or may still be.
fn on_unanswered(run: &mut RunSession, id: OrderId) {
    if run.start == StartStage::Sent(id) {
        run.outcome_unknown = true;
        run.unanswered_starts += 1;
        let give_up =
            run.unanswered_starts >= UNANSWERED_STARTS_MAX && run.stop == StopStage::NotRequested;
        if give_up {
            run.stop = StopStage::Requested;
        }
    }
    reset_for_retry(run, id);
}

/// Handles a refused start. Returns whether the run is lost: the upstream certainly will never start it.
fn on_refusal(
    now: Time,
    refusal: StartRefusal,
    run: &mut RunSession,
    first_later_order: OrderId,
) -> bool {
    match refusal {
        // The upstream already knew this run or a later one: the next listing shows which.
        StartRefusal::Outdated => {
            run.start = StartStage::Confirmed;
            run.first_later_order = first_later_order;
            return false;
        }
        StartRefusal::Late | StartRefusal::Fenced => {
            run.start = StartStage::Unsent;
            return false;
        }
        StartRefusal::NoRoom
        | StartRefusal::Ticket
        | StartRefusal::Unhealthy
        | StartRefusal::Malformed => {}
    }
    if run.outcome_unknown {
        // An earlier start of the same run may still be carried out; only a stop rules that out.
        run.start = StartStage::Unsent;
        if run.stop == StopStage::NotRequested {
            run.stop = StopStage::Requested;
        }
        return false;
    }
    run.record_loss_proposal(now);
    true
}
