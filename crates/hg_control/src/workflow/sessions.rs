//! The sessions of a leadership term: sends due orders to all upstreams and applies their results.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hg_ledger::{LostRun, OpenRun, RunRef, WorkflowCommand, WorkflowLedger};
use hg_model::{
    ClockReading, HeartbeatReadings, Incarnation, StepId, TaskId, Term, Time, UpstreamName,
    UpstreamReport,
};
use hg_policy::{FleetObservations, PaceChange, TicketCache, WorkflowBounds};

use super::departure::{Departure, DepartureCause};
use super::dispatch::Dispatch;
use super::reports::{RunReport, on_pace_report, on_renewal, on_run_report};
use super::run_loss::{RunLoss, RunLossCause};
use super::session::{RunSession, SUSPECT_FOR, Session, StartStage, StopStage};
use super::{Order, OrderId, OrderReport};

/// How long the acknowledgement of ends to an upstream without runs is delayed, so that more ends share it.
const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(50);
/// An upstream that sent nothing for this long and runs nothing is deregistered.
const DEREGISTER_AFTER: Duration = Duration::from_secs(60);

/// What one round of the leader produces.
#[derive(Debug, Default)]
pub(crate) struct Work {
    /// Orders to be sent to upstreams.
    pub(crate) orders: Vec<Order>,
    /// Commands to be proposed to the replicated log.
    pub(crate) commands: Vec<WorkflowCommand>,
    /// Upstreams to be deregistered.
    pub(crate) departures: Vec<Departure>,
    /// Tasks whose change of pace may not have been applied.
    pub(crate) unconfirmed_paces: Vec<TaskId>,
    /// The runs that the commands record as lost.
    pub(crate) losses: Vec<RunLoss>,
}

impl Work {
    /// Adds the command that records runs as lost, if there are any.
    pub(super) fn record_losses(&mut self, now: Time, losses: Vec<RunLoss>) {
        if losses.is_empty() {
            return;
        }
        let runs = losses.iter().map(|loss| loss.run.clone()).collect();
        self.commands.push(WorkflowCommand::RunsLost { runs, at: now });
        self.losses.extend(losses);
    }
}

/// The sessions of one leadership term.
#[derive(Debug)]
pub(crate) struct Sessions {
    term: Term,
    bounds: WorkflowBounds,
    sessions: BTreeMap<UpstreamName, Session>,
    /// Incarnations that have ended; late messages from them are ignored.
    departed: BTreeMap<UpstreamName, Incarnation>,
    /// Incarnations that were deregistered for their silence alone, and may return.
    silent: BTreeMap<UpstreamName, Incarnation>,
    /// Clock readings that arrived before their upstream's registration was in the log.
    early_clocks: BTreeMap<UpstreamName, (Incarnation, ClockReading, Time)>,
    /// Until when upstreams are cold, by their last heartbeats.
    cold_until: BTreeMap<UpstreamName, (Incarnation, Time)>,
    next_order: u64,
}

/// Queries.
impl Sessions {
    /// The observations of the upstreams on which scheduling decisions depend.
    pub(crate) fn fleet(&self, now: Time, ledger: &WorkflowLedger) -> FleetObservations {
        let silence_max = self.bounds.unresponsive_after();
        let is_capacity_current = |name: &UpstreamName, session: &Session| {
            let registered = ledger.upstreams().get(name).map(|report| report.capacity);
            registered.is_some_and(|c| session.is_capacity_current(now, c, silence_max))
        };
        let is_excluded = |name: &UpstreamName, session: &Session| {
            now < session.suspect_until
                || now >= session.last_contact.after(silence_max)
                || !session.has_clock()
                || (!enforces_capacity(ledger, name) && !is_capacity_current(name, session))
        };
        let excluded = self.sessions.iter().filter(|(name, s)| is_excluded(name, s));
        let leaving = self.sessions.iter().filter_map(|(n, s)| Some((n.clone(), s.leaves_at?)));
        let unresponsive = self.sessions.iter().filter(|(_, s)| s.is_unresponsive());
        let silent = unresponsive.filter_map(|(name, s)| Some((name.clone(), s.silent_since()?)));
        FleetObservations {
            silent: silent.collect(),
            excluded: excluded.map(|(name, _)| name.clone()).collect(),
            leaving: leaving.collect(),
            ..FleetObservations::default()
        }
    }

    /// The upstreams to which starts are in flight.
    pub(super) fn starting(&self) -> BTreeSet<UpstreamName> {
        let is_starting = |run: &RunSession| matches!(run.start, StartStage::Sent(_));
        let starting = self.sessions.iter().filter(|(_, s)| s.runs.values().any(is_starting));
        starting.map(|(name, _)| name.clone()).collect()
    }

    /// The upstreams that are cold in data centres whose drain has ended.
    pub(super) fn cold(&self, now: Time, ledger: &WorkflowLedger) -> BTreeSet<UpstreamName> {
        let is_returning = |name: &UpstreamName, incarnation: Incarnation| {
            ledger.upstreams().get(name).is_some_and(|report| {
                report.incarnation == incarnation && ledger.drains().has_ended(&report.data_centre)
            })
        };
        let cold = self.cold_until.iter().filter(|(name, (incarnation, until))| {
            now < *until && is_returning(name, *incarnation)
        });
        cold.map(|(name, _)| name.clone()).collect()
    }

    /// The session of an incarnation.
    pub(super) fn get(&self, name: &UpstreamName, incarnation: Incarnation) -> Option<&Session> {
        self.sessions.get(name).filter(|session| session.incarnation == incarnation)
    }

    /// The command that records the end of an upstream's incarnation, with the known checkpoints of its runs.
    pub(crate) fn deregistration(
        &self,
        now: Time,
        name: &UpstreamName,
        incarnation: Incarnation,
    ) -> WorkflowCommand {
        match self.get(name, incarnation) {
            Some(session) => session.deregistration(now, name),
            None => {
                let (name, saved) = (name.clone(), Vec::new());
                WorkflowCommand::Deregister { name, incarnation, saved, at: now }
            }
        }
    }

    /// Whether an incarnation of an upstream is known to have ended.
    pub(crate) fn has_departed(&self, name: &UpstreamName, incarnation: Incarnation) -> bool {
        self.departed.get(name).is_some_and(|gone| *gone >= incarnation)
    }
}

/// Commands.
impl Sessions {
    /// Starts from the replicated state; earlier leaders may have sent orders of which it holds no trace.
    pub(crate) fn new(
        now: Time,
        term: Term,
        bounds: WorkflowBounds,
        ledger: &WorkflowLedger,
    ) -> Self {
        let mut sessions = Self {
            term,
            bounds,
            sessions: BTreeMap::new(),
            departed: BTreeMap::new(),
            silent: BTreeMap::new(),
            early_clocks: BTreeMap::new(),
            cold_until: BTreeMap::new(),
            next_order: 1,
        };
        let mut at_address: BTreeMap<SocketAddr, u32> = BTreeMap::new();
        for report in ledger.upstreams().values() {
            *at_address.entry(report.address).or_default() += 1;
        }
        for report in ledger.upstreams().values() {
            sessions.open(now, report, ledger, at_address[&report.address] > 1);
            if let Some(session) = sessions.touched(&report.name) {
                session.await_initial_listing();
            }
        }
        sessions
    }

    /// Handles the registration of an upstream, or a change of its registered properties.
    pub(crate) fn record_registered(
        &mut self,
        now: Time,
        report: &UpstreamReport,
        ledger: &WorkflowLedger,
    ) {
        let others = ledger.upstreams().values().filter(|other| other.name != report.name);
        let is_contested = others.map(|other| other.address).any(|at| at == report.address);
        self.open(now, report, ledger, is_contested);
    }

    /// Opens the session of a registered incarnation, or updates it. `is_contested` says whether another upstream is
    /// registered at the same address.
    fn open(
        &mut self,
        now: Time,
        report: &UpstreamReport,
        ledger: &WorkflowLedger,
        is_contested: bool,
    ) {
        let known = self.touched(&report.name);
        if let Some(session) = known.filter(|s| s.incarnation == report.incarnation) {
            session.address = report.address;
            return;
        }
        let mut session =
            Session::new(now, report.incarnation, report.address, self.bounds.lease_max);
        if is_contested {
            session.await_address_check();
        }
        if self.silent.remove(&report.name) == Some(report.incarnation) {
            // Ends from before may still wait there for their acknowledgement.
            session.await_initial_listing();
        }
        let earlier = self.sessions.get(&report.name);
        if let Some((incarnation, clock, at)) = self.early_clocks.remove(&report.name)
            && incarnation == report.incarnation
        {
            session.record_heartbeat(at, Some(clock));
        }
        for (task, open) in ledger.occupancy().runs(&report.name) {
            let mut run = recover_run(open, report.incarnation);
            run.checkpoint =
                earlier.and_then(|earlier| earlier.saved_checkpoint(task, open.run)).cloned();
            session.runs.insert(task.clone(), run);
        }
        self.sessions.insert(report.name.clone(), session);
    }

    /// The session of an upstream, to be changed.
    fn touched(&mut self, name: &UpstreamName) -> Option<&mut Session> {
        let session = self.sessions.get_mut(name)?;
        session.touch();
        Some(session)
    }

    /// Asks an upstream for its runs, since its incarnation may have ended; it gets no start before it has listed them.
    pub(super) fn check_incarnation(&mut self, name: &UpstreamName) {
        if let Some(session) = self.touched(name) {
            session.await_initial_listing();
        }
    }

    /// Records that an incarnation has crashed. Returns whether that is new, or may have been lost.
    pub(super) fn record_crash(
        &mut self,
        now: Time,
        name: &UpstreamName,
        incarnation: Incarnation,
    ) -> bool {
        let session = self.sessions.get_mut(name).filter(|s| s.incarnation == incarnation);
        session.is_some_and(|session| session.record_crash(now))
    }

    /// Handles the deregistration of an upstream.
    pub(crate) fn close(&mut self, name: &UpstreamName) {
        if let Some(session) = self.sessions.remove(name) {
            let ended = if session.is_only_silent { &mut self.silent } else { &mut self.departed };
            ended.insert(name.clone(), session.incarnation);
            self.cold_until.remove(name);
        }
    }

    /// Adds a run whose start is in the log, so that it may be sent.
    pub(crate) fn open_run(&mut self, run: &RunRef) {
        if let Some(session) = self.touched(&run.upstream) {
            session.runs.insert(run.task.clone(), RunSession::new(run.run));
        }
    }

    /// Removes a run that has ended.
    pub(crate) fn close_run(&mut self, run: &RunRef) {
        if let Some(session) = self.touched(&run.upstream)
            && session.runs.get(&run.task).is_some_and(|known| known.run == run.run)
        {
            session.runs.remove(&run.task);
        }
    }

    /// Requests the stop of a run.
    pub(crate) fn stop_run(&mut self, run: &RunRef) {
        let session = self.touched(&run.upstream);
        let known = session.and_then(|session| session.runs.get_mut(&run.task));
        if let Some(known) = known.filter(|known| known.run == run.run)
            && known.stop == StopStage::NotRequested
        {
            known.stop = StopStage::Requested;
        }
    }

    /// Records how much longer an upstream is cold, by its latest heartbeat; `None` if it is warm.
    pub(super) fn record_cold(
        &mut self,
        now: Time,
        report: &UpstreamReport,
        cold_left_ms: Option<u64>,
    ) {
        match cold_left_ms {
            Some(left_ms) => {
                let until = now.after(Duration::from_millis(left_ms));
                self.cold_until.insert(report.name.clone(), (report.incarnation, until));
            }
            None => {
                self.cold_until.remove(&report.name);
            }
        }
    }

    /// Records that a drain was started or ended, which changes what may be sent to the upstreams.
    pub(super) fn touch_all(&mut self) {
        self.sessions.values_mut().for_each(Session::touch);
    }

    /// Requests a change of a run's pace.
    pub(crate) fn pace_run(&mut self, change: PaceChange) {
        let PaceChange { run: RunRef { upstream, task, run }, percent } = change;
        if let Some(session) = self.touched(&upstream) {
            session.pending_paces.insert(task, (run, percent));
        }
    }

    /// Records that the upstream's ends up to a number are in the log.
    pub(crate) fn record_ends(
        &mut self,
        now: Time,
        name: &UpstreamName,
        incarnation: Incarnation,
        upto: u64,
    ) {
        if let Some(session) = self.touched(name).filter(|s| s.incarnation == incarnation) {
            session.ends_proposed_at = None;
            session.recorded_upto = session.recorded_upto.max(upto);
            let idle = session.runs.is_empty();
            session.renew_at = if idle { now.after(ACKNOWLEDGE_DELAY) } else { now };
        }
    }

    /// Records an upstream's heartbeat. Returns whether it is the latest of its incarnation.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Time,
        report: &UpstreamReport,
        readings: HeartbeatReadings,
    ) -> bool {
        let (name, incarnation) = (&report.name, report.incarnation);
        let known = self.sessions.get_mut(name);
        if let Some(session) = known.filter(|s| s.incarnation == incarnation) {
            if !session.has_clock() {
                session.touch();
            }
            let is_latest = session.record_heartbeat(now, readings.clock);
            if is_latest {
                session.record_stay(now, readings.min_remaining_ms);
                session.record_capacity(report.capacity);
            }
            return is_latest;
        }
        if let Some(clock) = readings.clock {
            self.early_clocks.insert(name.clone(), (incarnation, clock, now));
        }
        true
    }

    /// Records runs as lost that must have ended on upstreams that are unresponsive.
    ///
    /// A start of unknown outcome may still be carried out, so such runs are kept.
    pub(crate) fn give_up_ended(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        ended: &[RunRef],
        work: &mut Work,
    ) {
        let mut lost = Vec::new();
        for RunRef { upstream, task, run } in ended {
            let unresponsive = self.touched(upstream).filter(|session| session.is_unresponsive());
            let Some(session) = unresponsive else { continue };
            let known = session.runs.get_mut(task).filter(|known| known.run == *run);
            let Some(known) = known else { continue };
            let is_certain = known.start == StartStage::Confirmed && !known.outcome_unknown;
            if is_certain && !known.is_loss_pending(now) {
                known.record_loss_proposal(now);
                let run = LostRun { is_unconfirmed: true, ..known.lost(task, upstream) };
                lost.push(RunLoss { run, cause: RunLossCause::GangEnded });
                session.suspect_until = now.after(SUSPECT_FOR);
                work.commands.extend(session.silenced(now, upstream, ledger, |t| t == task));
            }
        }
        work.record_losses(now, lost);
    }

    /// Proposes to forget unconfirmed ends once all leases of their upstream have expired.
    pub(crate) fn forget_unconfirmed_ends(
        &self,
        now: Time,
        ledger: &WorkflowLedger,
        work: &mut Work,
    ) {
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

    /// Produces the orders and commands that are due now.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        tickets: &TicketCache,
        work: &mut Work,
    ) {
        let mut lost = Vec::new();
        for (name, session) in self.sessions.iter_mut().filter(|(_, session)| session.is_due(now)) {
            let (term, next) = (self.term, &mut self.next_order);
            let bounds = &self.bounds;
            let mut dispatch = Dispatch { term, next, name, now, work, tickets, bounds };
            dispatch.stop_orphans(session);
            dispatch.send_runs(session, ledger, &mut lost);
            dispatch.send_paces(session);
            dispatch.send_renewal(session, ledger);
            if now >= session.last_contact.after(DEREGISTER_AFTER) && session.runs.is_empty() {
                session.last_contact = now;
                session.is_only_silent = true;
                work.departures.push(session.departure(name, DepartureCause::Silent));
            }
            session.record_visit(now);
        }
        work.record_losses(now, lost);
    }

    /// The earlier upstreams that are registered at the address where an upstream has just listed its runs.
    fn replaced_by(&self, successor: &UpstreamName) -> Vec<Departure> {
        let Some(Session { address, incarnation, .. }) = self.sessions.get(successor) else {
            return Vec::new();
        };
        let is_replaced =
            |other: &Session| other.address == *address && other.incarnation < *incarnation;
        let replaced = self.sessions.iter().filter(|(_, other)| is_replaced(other));
        let cause = || DepartureCause::Replaced(successor.clone());
        replaced.map(|(name, other)| other.departure(name, cause())).collect()
    }

    /// Applies the result of an order.
    pub(crate) fn on_report(&mut self, now: Time, report: OrderReport, work: &mut Work) {
        let OrderReport { id, upstream, result } = report;
        let first_later_order = OrderId(self.next_order);
        let Some(session) = self.touched(&upstream) else { return };
        if let Some(task) = session.paces_in_flight.remove(&id) {
            work.unconfirmed_paces.extend(on_pace_report(now, session, &result).then_some(task));
            return;
        }
        if session.pending_renewal == Some(id) {
            session.pending_renewal = None;
            on_renewal(now, id, &upstream, session, result, work);
            if session.has_confirmed_address() {
                session.is_address_contested = false;
                work.departures.extend(self.replaced_by(&upstream));
            }
            return;
        }
        let is_of =
            |run: &RunSession| run.start == StartStage::Sent(id) || run.stop == StopStage::Sent(id);
        let Some(task) = session.runs.iter().find(|(_, run)| is_of(run)).map(|(t, _)| t.clone())
        else {
            // The run has ended, or the answer is to an order of an earlier incarnation.
            return;
        };
        let report = RunReport { id, task, result, first_later_order };
        on_run_report(now, &upstream, session, report, work);
    }
}

/// Whether an upstream refuses what exceeds its capacity. Otherwise its last heartbeat, which tells its capacity, must not be
/// old.
pub(super) fn enforces_capacity(ledger: &WorkflowLedger, upstream: &UpstreamName) -> bool {
    let pool = ledger.upstreams().get(upstream).map(|report| &report.pool);
    let pool = pool.and_then(|pool| ledger.catalog()?.pool(pool));
    pool.is_none_or(|pool| pool.enforces_capacity)
}

fn recover_run(open: &OpenRun, incarnation: Incarnation) -> RunSession {
    let mut run = RunSession::recovered(open.run);
    if open.incarnation != incarnation {
        // It ran on an earlier incarnation. A start that is still in flight must find the run stopped.
        run.stop = StopStage::Requested;
    }
    run
}
