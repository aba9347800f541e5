//! What comes of orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{LostRun, WorkflowCommand};
use hg_model::{ListedRun, RunEnd, RunListing, TaskId, Time, UpstreamName};

use super::dispatch::LISTING_WAIT;
use super::session::{RunSession, SUSPECT, Session, StartStage, StopStage};
use super::sessions::Work;
use super::{OrderId, OrderResult, StartRefusal};

/// Pause before a listing is asked for again that failed, or that held nothing new.
const LISTING_PAUSE: Duration = Duration::from_millis(100);
/// How many start orders may stay unanswered before the run is given up.
const STARTS_MAX: u32 = 2;

/// Takes in the answer to a renewal.
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
        // A later life under the same name: its heartbeat registers it. Until then runs of the earlier
        // one must not be given up, since a late start may still be carried out by the later one.
        OrderResult::Listed(_) => {
            session.suspect_until = now.after(SUSPECT);
            session.renew_at = now.after(LISTING_WAIT);
        }
        OrderResult::OtherIncarnation => {
            session.renew_at = now.after(SUSPECT);
            work.commands.push(session.departure(now, name));
        }
        _ => {
            session.note_silence(now);
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
    session.note_clock(now, listing.clock);
    session.unseen = false;
    session.note_answer();
    session.told = session.told.max(session.telling);
    session.listed_at = Some(now);
    let fresh: Vec<RunEnd> =
        listing.ended.into_iter().filter(|end| end.number > session.acknowledged).collect();
    let running: BTreeMap<&TaskId, _> =
        listing.running.iter().map(|run| (&run.task, run)).collect();
    let ended: BTreeSet<_> = fresh.iter().map(|end| (&end.task, end.run)).collect();
    let is_stray = |run: &&ListedRun| session.runs.get(&run.task).is_none_or(|r| r.run != run.run);
    session.strays =
        listing.running.iter().filter(is_stray).map(|run| (run.task.clone(), run.run)).collect();
    let mut lost = Vec::new();
    for (task, run) in &mut session.runs {
        let listed = running.get(task).filter(|listed| listed.run == run.run);
        if let Some(listed) = listed {
            run.start = StartStage::Settled;
            run.in_doubt = false;
            run.checkpoint = listed.checkpoint.clone().or(run.checkpoint.take());
        } else if !ended.contains(&(task, run.run)) && !run.is_losing(now) {
            lost.extend(on_unlisted(now, id, name, task, run));
        }
    }
    if !lost.is_empty() {
        work.commands.push(WorkflowCommand::RunsLost { runs: lost, at: now });
    }
    let pause = if session.acknowledged > session.told { Duration::ZERO } else { LISTING_PAUSE };
    session.renew_at = now.after(pause);
    let Some(upto) = fresh.last().map(|end| end.number) else { return };
    session.noting = Some(now);
    let (upstream, incarnation) = (name.clone(), session.incarnation);
    debug_assert!(upto > session.acknowledged, "only fresh ends are taken in");
    work.commands.push(WorkflowCommand::RunsEnded { upstream, incarnation, ends: fresh, at: now });
}

/// A run that the upstream does not list. Returns it if it surely never will be there.
fn on_unlisted(
    now: Time,
    listing: OrderId,
    name: &UpstreamName,
    task: &TaskId,
    run: &mut RunSession,
) -> Option<LostRun> {
    let is_after = listing >= run.settled_by;
    let stopped = run.stop == StopStage::Settled && is_after;
    let vanished = run.start == StartStage::Settled && is_after;
    let of_earlier_lead = run.in_doubt && run.unanswered == 0 && run.start == StartStage::Unsent;
    if of_earlier_lead && run.stop == StopStage::Unwanted {
        // Orders of earlier leads are void now that the upstream knows our fencing token.
        run.in_doubt = false;
    }
    if vanished && run.in_doubt && run.stop == StopStage::Unwanted {
        run.stop = StopStage::Wanted;
    }
    let surely_gone = stopped || (vanished && !run.in_doubt);
    if !surely_gone {
        return None;
    }
    run.note_losing(now);
    Some(run.lost(task, name))
}

/// Takes in the answer to a change of pace. Returns whether it may not have arrived.
pub(super) fn on_pace_report(now: Time, session: &mut Session, result: &OrderResult) -> bool {
    match result {
        OrderResult::Paced(clock) => {
            session.note_clock(now, *clock);
            session.note_answer();
        }
        OrderResult::Unanswered(_) => session.note_silence(now),
        _ => {}
    }
    !matches!(result, OrderResult::Paced(_))
}

/// What came of a start or stop.
pub(super) struct RunReport {
    /// The order.
    pub(super) id: OrderId,
    /// The task.
    pub(super) task: TaskId,
    /// What came of it.
    pub(super) result: OrderResult,
    /// Orders from this id on are sent after it is taken in.
    pub(super) settled_by: OrderId,
}

/// Takes in the answer to a start or stop.
pub(super) fn on_run_report(
    now: Time,
    name: &UpstreamName,
    session: &mut Session,
    report: RunReport,
    work: &mut Work,
) {
    let RunReport { id, task, result, settled_by } = report;
    let clock = match &result {
        OrderResult::Started(clock) | OrderResult::Stopped(clock) => Some(*clock),
        _ => None,
    };
    if let Some(clock) = clock {
        session.note_clock(now, clock);
        session.note_answer();
    }
    let Some(run) = session.runs.get_mut(&task) else { return };
    match result {
        OrderResult::Started(_) => {
            run.start = StartStage::Settled;
            run.settled_by = settled_by;
            session.renew_at = session.renew_at.min(now);
        }
        OrderResult::Stopped(_) => {
            run.stop = StopStage::Settled;
            run.settled_by = settled_by;
            session.renew_at = session.renew_at.min(now);
        }
        OrderResult::NotStarted(refusal) => {
            if let Some(lost) = on_refusal(now, refusal, name, &task, run, settled_by) {
                work.commands.push(WorkflowCommand::RunsLost { runs: vec![lost], at: now });
            }
            let is_fault_of_ours = matches!(
                refusal,
                StartRefusal::Outdated | StartRefusal::Late | StartRefusal::Ticket
            );
            if !is_fault_of_ours {
                session.suspect_until = now.after(SUSPECT);
            }
        }
        OrderResult::OtherIncarnation => {
            retry(run, id);
            work.commands.push(session.departure(now, name));
        }
        OrderResult::Fenced | OrderResult::Listed(_) | OrderResult::Paced(_) => retry(run, id),
        OrderResult::Unanswered(_) => {
            on_unanswered(run, id);
            session.note_silence(now);
        }
    }
}

/// The order changed nothing; it is sent again.
fn retry(run: &mut RunSession, id: OrderId) {
    if run.start == StartStage::Sent(id) {
        run.start = StartStage::Unsent;
    }
    if run.stop == StopStage::Sent(id) {
        run.stop = StopStage::Wanted;
    }
}

/// Nobody knows whether the order is carried out, or will be.
fn on_unanswered(run: &mut RunSession, id: OrderId) {
    if run.start == StartStage::Sent(id) {
        run.in_doubt = true;
        run.unanswered += 1;
        let give_up = run.unanswered >= STARTS_MAX && run.stop == StopStage::Unwanted;
        if give_up {
            run.stop = StopStage::Wanted;
        }
    }
    retry(run, id);
}

/// The upstream did not start the run. Returns it if it surely never will.
fn on_refusal(
    now: Time,
    refusal: StartRefusal,
    name: &UpstreamName,
    task: &TaskId,
    run: &mut RunSession,
    settled_by: OrderId,
) -> Option<LostRun> {
    match refusal {
        // It was there already, or a later one: the lists tell.
        StartRefusal::Outdated => {
            run.start = StartStage::Settled;
            run.settled_by = settled_by;
            return None;
        }
        StartRefusal::Late | StartRefusal::Fenced => {
            run.start = StartStage::Unsent;
            return None;
        }
        StartRefusal::NoRoom
        | StartRefusal::Ticket
        | StartRefusal::Unhealthy
        | StartRefusal::Malformed => {}
    }
    if run.in_doubt {
        // An earlier order for the same run may still be carried out; only a stop rules that out.
        run.start = StartStage::Unsent;
        if run.stop == StopStage::Unwanted {
            run.stop = StopStage::Wanted;
        }
        return None;
    }
    run.note_losing(now);
    Some(run.lost(task, name))
}
