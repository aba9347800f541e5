//! All sessions of a lead: orders that are due, and what comes of them.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{LostRun, OpenRun, RunRef, WorkflowCommand, WorkflowLedger};
use hg_model::{
    ClockReading, HeartbeatReadings, Incarnation, StepId, TaskId, Term, Time, UpstreamName,
    UpstreamReport,
};
use hg_policy::{FleetObservations, PaceChange, TicketCache};

use super::dispatch::Dispatch;
use super::reports::{RunReport, on_pace_report, on_renewal, on_run_report};
use super::session::{RunSession, SUSPECT, Session, StartStage, StopStage};
use super::{Order, OrderId, OrderReport};

/// How long acknowledgements for an idle upstream wait for more of them.
const ACKNOWLEDGE_PAUSE: Duration = Duration::from_millis(50);
/// An upstream that said nothing for this long gets no new work: two heartbeats and a little.
const SILENCE: Duration = Duration::from_millis(3_300);
/// An upstream that said nothing for this long and runs nothing is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What a lead asks for.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// To be sent.
    pub(crate) orders: Vec<Order>,
    /// To be logged.
    pub(crate) commands: Vec<WorkflowCommand>,
    /// Tasks whose change of pace may not have arrived.
    pub(crate) unsure_paces: Vec<TaskId>,
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
    pub(crate) fn fleet(&self, now: Time) -> FleetObservations {
        let is_shunned = |session: &Session| {
            now < session.suspect_until
                || now >= session.heard.after(SILENCE)
                || !session.has_clock()
        };
        let shunned = self.sessions.iter().filter(|(_, s)| is_shunned(s));
        let leaving = self.sessions.iter().filter_map(|(n, s)| Some((n.clone(), s.leaves_at?)));
        FleetObservations {
            excluded: shunned.map(|(name, _)| name.clone()).collect(),
            leaving: leaving.collect(),
            ..FleetObservations::default()
        }
    }

    /// The command that notes the end of an upstream's life, with what it is known to have saved.
    pub(crate) fn departure(
        &self,
        now: Time,
        name: &UpstreamName,
        incarnation: Incarnation,
    ) -> WorkflowCommand {
        let session = self.sessions.get(name).filter(|s| s.incarnation == incarnation);
        match session {
            Some(session) => session.departure(now, name),
            None => {
                let (name, saved) = (name.clone(), Vec::new());
                WorkflowCommand::Deregister { name, incarnation, saved, at: now }
            }
        }
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
        let earlier = self.sessions.get(&report.name);
        if let Some((life, clock, at)) = self.early_clocks.remove(&report.name)
            && life == report.incarnation
        {
            session.note_clock(at, clock);
        }
        for (task, open) in ledger.occupancy().runs(&report.name) {
            let mut run = inherited(open, report.incarnation);
            run.checkpoint = earlier.and_then(|earlier| earlier.saved(task, open.run)).cloned();
            session.runs.insert(task.clone(), run);
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

    /// A run is to work at another pace.
    pub(crate) fn pace_run(&mut self, change: PaceChange) {
        let PaceChange { run: RunRef { upstream, task, run }, percent } = change;
        if let Some(session) = self.sessions.get_mut(&upstream) {
            session.paces.insert(task, (run, percent));
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
        readings: HeartbeatReadings,
    ) {
        let known = self.sessions.get_mut(name);
        if let Some(session) = known.filter(|s| s.incarnation == incarnation) {
            session.heard = now;
            if let Some(clock) = readings.clock {
                session.note_clock(now, clock);
            }
            session.note_stay(now, readings.min_remaining_ms);
        } else if let Some(clock) = readings.clock {
            self.early_clocks.insert(name.clone(), (incarnation, clock, now));
        }
    }

    /// Gives up runs that have ended on upstreams that are silent about it.
    ///
    /// A start that nobody answered might still be carried out, so such runs are kept.
    pub(crate) fn lose_ended(&mut self, now: Time, ended: &[RunRef], work: &mut Work) {
        let mut lost = Vec::new();
        for RunRef { upstream, task, run } in ended {
            let silent = self.sessions.get_mut(upstream).filter(|session| session.is_silent());
            let Some(session) = silent else { continue };
            let known = session.runs.get_mut(task).filter(|known| known.run == *run);
            let Some(known) = known else { continue };
            let is_certain = known.start == StartStage::Settled && !known.in_doubt;
            if is_certain && !known.is_losing(now) {
                known.note_losing(now);
                lost.push(LostRun { is_unconfirmed: true, ..known.lost(task, upstream) });
                session.suspect_until = now.after(SUSPECT);
            }
        }
        if !lost.is_empty() {
            work.commands.push(WorkflowCommand::RunsLost { runs: lost, at: now });
        }
    }

    /// Ends that nobody heard of do not count any more once all leases of their upstream are over.
    pub(crate) fn forget_unheard(&self, now: Time, ledger: &WorkflowLedger, work: &mut Work) {
        for (id, job) in ledger.jobs() {
            for (occurrence, begun) in &job.occurrences {
                for (step, record) in (0_u32..).zip(&begun.steps) {
                    let at = record.unconfirmed.as_ref().map(|end| &end.upstream);
                    let session = at.and_then(|at| self.sessions.get(at));
                    if at.is_some() && session.is_none_or(|s| s.leases_are_over(now)) {
                        let (job, occurrence) = (id.clone(), *occurrence);
                        let step = StepId { job, occurrence, step };
                        work.commands.push(WorkflowCommand::ForgetUnconfirmedEnd { step });
                    }
                }
            }
        }
    }

    /// Turns what is due into orders and commands.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        tickets: &TicketCache,
        work: &mut Work,
    ) {
        let mut lost = Vec::new();
        for (name, session) in &mut self.sessions {
            let (term, next) = (self.term, &mut self.next);
            let mut at = Dispatch { term, next, name, now, work, tickets };
            at.strays(session);
            at.runs(session, ledger, &mut lost);
            at.pace(session);
            at.renewal(session, ledger, self.lease_max_ms);
            if now >= session.heard.after(FORGET_AFTER) && session.runs.is_empty() {
                session.heard = now;
                work.commands.push(session.departure(now, name));
            }
        }
        if !lost.is_empty() {
            work.commands.push(WorkflowCommand::RunsLost { runs: lost, at: now });
        }
    }

    /// Takes in what came of an order.
    pub(crate) fn on_report(&mut self, now: Time, report: OrderReport, work: &mut Work) {
        let OrderReport { id, upstream, result } = report;
        let settled_by = OrderId(self.next);
        let Some(session) = self.sessions.get_mut(&upstream) else { return };
        if let Some(task) = session.pacing.remove(&id) {
            work.unsure_paces.extend(on_pace_report(now, session, &result).then_some(task));
            return;
        }
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
        let report = RunReport { id, task, result, settled_by };
        on_run_report(now, &upstream, session, report, work);
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
