//! All sessions of a lead: orders that are due, and what comes of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{LostRun, OpenRun, RunRef, WorkflowCommand, WorkflowLedger};
use hg_model::{
    Checkpoint, ClockReading, Incarnation, RunEnd, RunListing, TaskId, Term, Time, UpstreamName,
    UpstreamReport,
};
use hg_policy::Fleet;

use super::session::{RunSession, SUSPECT, Session, StartStage, StopStage};
use super::{Order, OrderId, OrderKind, OrderReport, OrderResult, StartRefusal};

/// How long the answer to a start or stop may take; upstreams answer within a few milliseconds.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// How long a start stays valid, so that one that is carried out late does nothing.
const START_VALID_MS: u64 = 3_000;
/// How long an upstream may hold back a listing in which nothing is new.
const LISTING_WAIT: Duration = Duration::from_millis(1_900);
/// How long a listing may take beyond that.
const LISTING_SLACK: Duration = Duration::from_millis(700);
/// Pause before a listing is asked for again that failed, or that held nothing new.
const LISTING_PAUSE: Duration = Duration::from_millis(100);
/// How long acknowledgements for an idle upstream wait for more of them.
const ACKNOWLEDGE_PAUSE: Duration = Duration::from_millis(50);
/// An upstream that said nothing for this long gets no new work: two heartbeats and a little.
const SILENCE: Duration = Duration::from_millis(3_300);
/// An upstream that said nothing for this long and runs nothing is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// How many start orders may stay unanswered before the run is given up.
const STARTS_MAX: u32 = 2;

/// What a lead asks for.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// To be sent.
    pub(crate) orders: Vec<Order>,
    /// To be logged.
    pub(crate) commands: Vec<WorkflowCommand>,
}

/// The sessions of one lead.
#[derive(Debug)]
pub(crate) struct Sessions {
    term: Term,
    lease_max_ms: u64,
    sessions: BTreeMap<UpstreamName, Session>,
    /// Lives that are over; late words from them change nothing.
    departed: BTreeMap<UpstreamName, Incarnation>,
    /// Clocks that were read before their upstream's registration was in the log.
    early_clocks: BTreeMap<UpstreamName, (Incarnation, ClockReading, Time)>,
    next: u64,
}

/// Queries.
impl Sessions {
    /// What decisions need to know of the upstreams.
    pub(crate) fn fleet(&self, now: Time) -> Fleet {
        let is_shunned = |session: &Session| {
            now < session.suspect_until
                || now >= session.heard.after(SILENCE)
                || !session.has_clock()
        };
        let shunned = self.sessions.iter().filter(|(_, s)| is_shunned(s));
        Fleet { shunned: shunned.map(|(name, _)| name.clone()).collect(), ..Fleet::default() }
    }

    /// Whether a life of an upstream is known to be over.
    pub(crate) fn has_departed(&self, name: &UpstreamName, incarnation: Incarnation) -> bool {
        self.departed.get(name).is_some_and(|gone| *gone >= incarnation)
    }
}

/// Commands.
impl Sessions {
    /// Starts from what the log holds; earlier leads may have given orders that nobody knows of.
    pub(crate) fn new(now: Time, term: Term, lease_max_ms: u64, ledger: &WorkflowLedger) -> Self {
        let mut sessions = Self {
            term,
            lease_max_ms,
            sessions: BTreeMap::new(),
            departed: BTreeMap::new(),
            early_clocks: BTreeMap::new(),
            next: 1,
        };
        for report in ledger.upstreams().values() {
            sessions.open(now, report, ledger);
            if let Some(session) = sessions.sessions.get_mut(&report.name) {
                session.unseen = true;
            }
        }
        sessions
    }

    /// An upstream was registered, or what it says of itself has changed.
    pub(crate) fn open(&mut self, now: Time, report: &UpstreamReport, ledger: &WorkflowLedger) {
        let known = self.sessions.get_mut(&report.name);
        if let Some(session) = known.filter(|s| s.incarnation == report.incarnation) {
            session.address = report.address;
            return;
        }
        let mut session = Session::new(now, report.incarnation, report.address, self.lease_max_ms);
        if let Some((life, clock, at)) = self.early_clocks.remove(&report.name)
            && life == report.incarnation
        {
            session.note_clock(at, clock);
        }
        for (task, open) in ledger.occupancy().runs(&report.name) {
            session.runs.insert(task.clone(), inherited(open, report.incarnation));
        }
        self.sessions.insert(report.name.clone(), session);
    }

    /// An upstream is gone.
    pub(crate) fn close(&mut self, name: &UpstreamName) {
        if let Some(session) = self.sessions.remove(name) {
            self.departed.insert(name.clone(), session.incarnation);
        }
    }

    /// A run stands in the log and may be ordered.
    pub(crate) fn open_run(&mut self, run: &RunRef) {
        if let Some(session) = self.sessions.get_mut(&run.upstream) {
            session.runs.insert(run.task.clone(), RunSession::new(run.run));
        }
    }

    /// A run is over.
    pub(crate) fn close_run(&mut self, run: &RunRef) {
        if let Some(session) = self.sessions.get_mut(&run.upstream)
            && session.runs.get(&run.task).is_some_and(|known| known.run == run.run)
        {
            session.runs.remove(&run.task);
        }
    }

    /// A run is to be stopped.
    pub(crate) fn stop_run(&mut self, run: &RunRef) {
        let session = self.sessions.get_mut(&run.upstream);
        let known = session.and_then(|session| session.runs.get_mut(&run.task));
        if let Some(known) = known.filter(|known| known.run == run.run)
            && known.stop == StopStage::Unwanted
        {
            known.stop = StopStage::Wanted;
        }
    }

    /// Ends up to a number are in the log.
    pub(crate) fn note_ends(
        &mut self,
        now: Time,
        name: &UpstreamName,
        life: Incarnation,
        upto: u64,
    ) {
        if let Some(session) = self.sessions.get_mut(name).filter(|s| s.incarnation == life) {
            session.noting = None;
            session.acknowledged = session.acknowledged.max(upto);
            let idle = session.runs.is_empty();
            session.renew_at = if idle { now.after(ACKNOWLEDGE_PAUSE) } else { now };
        }
    }

    /// An upstream sent a heartbeat.
    pub(crate) fn note_heartbeat(
        &mut self,
        now: Time,
        name: &UpstreamName,
        incarnation: Incarnation,
        clock: Option<ClockReading>,
    ) {
        let known = self.sessions.get_mut(name);
        if let Some(session) = known.filter(|s| s.incarnation == incarnation) {
            session.heard = now;
            if let Some(clock) = clock {
                session.note_clock(now, clock);
            }
        } else if let Some(clock) = clock {
            self.early_clocks.insert(name.clone(), (incarnation, clock, now));
        }
    }

    /// Turns what is due into orders and commands.
    pub(crate) fn advance(&mut self, now: Time, ledger: &WorkflowLedger, work: &mut Work) {
        let mut lost = Vec::new();
        for (name, session) in &mut self.sessions {
            let mut at = Dispatch { term: self.term, next: &mut self.next, name, now, work };
            at.runs(session, ledger, &mut lost);
            at.renewal(session, self.lease_max_ms);
            if now >= session.heard.after(FORGET_AFTER) && session.runs.is_empty() {
                session.heard = now;
                let (name, incarnation) = (name.clone(), session.incarnation);
                work.commands.push(WorkflowCommand::Deregister { name, incarnation, at: now });
            }
        }
        if !lost.is_empty() {
            work.commands.push(WorkflowCommand::Lose { runs: lost, at: now });
        }
    }

    /// Takes in what came of an order.
    pub(crate) fn on_report(&mut self, now: Time, report: OrderReport, work: &mut Work) {
        let OrderReport { id, upstream, result } = report;
        let settled_by = OrderId(self.next);
        let Some(session) = self.sessions.get_mut(&upstream) else { return };
        if session.renewal == Some(id) {
            session.renewal = None;
            on_renewal(now, id, &upstream, session, result, work);
            return;
        }
        let is_of =
            |run: &RunSession| run.start == StartStage::Sent(id) || run.stop == StopStage::Sent(id);
        let Some(task) = session.runs.iter().find(|(_, run)| is_of(run)).map(|(t, _)| t.clone())
        else {
            // The run is over, or this answers an order of an earlier life.
            return;
        };
        on_run_report(now, id, &task, &upstream, session, result, settled_by, work);
    }
}

fn inherited(open: &OpenRun, incarnation: Incarnation) -> RunSession {
    let mut run = RunSession::inherited(open.run);
    if open.incarnation != incarnation {
        // It ran in an earlier life. A start that is still on its way must find the run stopped.
        run.stop = StopStage::Wanted;
    }
    run
}

/// Sends what is due to one upstream.
struct Dispatch<'a> {
    term: Term,
    next: &'a mut u64,
    name: &'a UpstreamName,
    now: Time,
    work: &'a mut Work,
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

    fn runs(&mut self, session: &mut Session, ledger: &WorkflowLedger, lost: &mut Vec<LostRun>) {
        let over = session.leases_are_over(self.now);
        let tasks: Vec<TaskId> = session.runs.keys().cloned().collect();
        for task in tasks {
            let run = session.runs.get(&task).cloned();
            let Some(run) = run.filter(|run| !run.is_losing(self.now)) else {
                continue;
            };
            let never_sent = !run.may_be_there() && run.stop == StopStage::Wanted;
            let lapsed = over && run.may_be_there();
            if never_sent || lapsed {
                lost.push(self.give_up(session, &task, &run));
            } else if self.now < session.retry_at {
                // It left an order unanswered just now.
            } else if run.stop == StopStage::Wanted {
                let kind = OrderKind::Stop { task: task.clone(), run: run.run };
                let id = self.order(session, kind, ANSWER_LIMIT);
                update(session, &task, |run| run.stop = StopStage::Sent(id));
            } else if run.start == StartStage::Unsent && run.stop == StopStage::Unwanted {
                self.start(session, ledger, &task, &run);
            }
        }
    }

    fn give_up(&self, session: &mut Session, task: &TaskId, run: &RunSession) -> LostRun {
        update(session, task, |run| run.note_losing(self.now));
        LostRun {
            task: task.clone(),
            run: run.run,
            upstream: self.name.clone(),
            checkpoint: run.checkpoint.clone(),
        }
    }

    fn start(
        &mut self,
        session: &mut Session,
        ledger: &WorkflowLedger,
        task: &TaskId,
        run: &RunSession,
    ) {
        let first_look = run.in_doubt && run.unanswered == 0;
        if first_look {
            // An earlier lead may have started it; the next listing tells.
            return;
        }
        let Some((content, checkpoint)) = start_content(ledger, task) else { return };
        let Some(lease_until) = session.grant(self.now, START_VALID_MS) else { return };
        let (task, run) = (task.clone(), run.run);
        let kind = OrderKind::Start { task: task.clone(), run, content, lease_until, checkpoint };
        let id = self.order(session, kind, ANSWER_LIMIT);
        update(session, &task, |run| run.start = StartStage::Sent(id));
    }

    fn renewal(&mut self, session: &mut Session, lease_max_ms: u64) {
        let is_due = session.needs_listing()
            || session.acknowledged > session.told
            || session.unseen
            || (!session.runs.is_empty() && !session.has_clock());
        let blocked =
            session.renewal.is_some() || session.is_noting(self.now) || self.now < session.renew_at;
        if !is_due || blocked {
            return;
        }
        let wait =
            if session.unseen || session.runs.is_empty() { Duration::ZERO } else { LISTING_WAIT };
        let lease_until = session.renewal(self.now, lease_max_ms);
        let acknowledged = session.acknowledgement(self.now);
        session.telling = acknowledged;
        let kind = OrderKind::Renew { lease_until, acknowledged, wait };
        session.renewal = Some(self.order(session, kind, wait + LISTING_SLACK));
    }
}

fn update(session: &mut Session, task: &TaskId, change: impl FnOnce(&mut RunSession)) {
    if let Some(run) = session.runs.get_mut(task) {
        change(run);
    }
}

/// What a start hands to the upstream.
fn start_content(
    ledger: &WorkflowLedger,
    task: &TaskId,
) -> Option<(std::sync::Arc<str>, Option<Checkpoint>)> {
    let job = ledger.job(&task.step.job)?;
    let occurrence = job.occurrence(task.step.occurrence)?;
    let step = occurrence.steps.get(usize::try_from(task.step.step).ok()?)?;
    let record = step.tasks.get(usize::try_from(task.index).ok()?)?;
    Some((std::sync::Arc::clone(&job.spec.content), record.checkpoint.clone()))
}

fn on_renewal(
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
            let (name, incarnation) = (name.clone(), session.incarnation);
            session.renew_at = now.after(SUSPECT);
            work.commands.push(WorkflowCommand::Deregister { name, incarnation, at: now });
        }
        _ => {
            session.note_silence(now);
            session.renew_at = now;
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
        work.commands.push(WorkflowCommand::Lose { runs: lost, at: now });
    }
    let pause = if session.acknowledged > session.told { Duration::ZERO } else { LISTING_PAUSE };
    session.renew_at = now.after(pause);
    let Some(upto) = fresh.last().map(|end| end.number) else { return };
    session.noting = Some(now);
    let (upstream, incarnation) = (name.clone(), session.incarnation);
    debug_assert!(upto > session.acknowledged, "only fresh ends are taken in");
    work.commands.push(WorkflowCommand::Ends { upstream, incarnation, ends: fresh, at: now });
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
    Some(LostRun {
        task: task.clone(),
        run: run.run,
        upstream: name.clone(),
        checkpoint: run.checkpoint.clone(),
    })
}

#[expect(clippy::too_many_arguments, reason = "one report with all that it may change")]
fn on_run_report(
    now: Time,
    id: OrderId,
    task: &TaskId,
    name: &UpstreamName,
    session: &mut Session,
    result: OrderResult,
    settled_by: OrderId,
    work: &mut Work,
) {
    let clock = match &result {
        OrderResult::Started(clock) | OrderResult::Stopped(clock) => Some(*clock),
        _ => None,
    };
    if let Some(clock) = clock {
        session.note_clock(now, clock);
        session.note_answer();
    }
    let Some(run) = session.runs.get_mut(task) else { return };
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
            if let Some(lost) = on_refusal(now, refusal, name, task, run, settled_by) {
                work.commands.push(WorkflowCommand::Lose { runs: vec![lost], at: now });
            }
            if !matches!(refusal, StartRefusal::Outdated | StartRefusal::Late) {
                session.suspect_until = now.after(SUSPECT);
            }
        }
        OrderResult::OtherIncarnation => {
            let (name, incarnation) = (name.clone(), session.incarnation);
            work.commands.push(WorkflowCommand::Deregister { name, incarnation, at: now });
            retry(run, id);
        }
        OrderResult::Fenced | OrderResult::Listed(_) => retry(run, id),
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
    Some(LostRun {
        task: task.clone(),
        run: run.run,
        upstream: name.clone(),
        checkpoint: run.checkpoint.clone(),
    })
}
