//! The round of decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use hg_ledger::{RunRef, RunStart, TaskState, WorkflowLedger};
use hg_model::{EndKind, JobId, RunListing, StepId, TaskId, Time, UpstreamName};

use super::evacuate::evacuations;
use super::guarantee::covered_jobs;
use super::headroom::Headroom;
use super::held::HeldRooms;
use super::pace::PaceBook;
use super::placement::place;
use super::ready::{ReadyStep, ready_steps};
use super::reclaim::{Clearance, clear_for};
use super::reservation::{RESERVATIONS_MAX, reserve};
use super::room_map::RoomMap;
use super::speed::{Expected, SpeedBook};
use super::standby::StandbyBook;
use super::waves::WaveBook;
use super::{AdviceRequest, FleetObservations, HostMove, PaceChange, TicketCache, UpkeepOrder};
use crate::{Health, HealthState};

/// How many different jobs must fail on an upstream in a row before it is put aside.
const ASIDE_AFTER: usize = 2;
/// How long it is put aside at first; doubled each time.
const ASIDE: Duration = Duration::from_secs(4);

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopReason {
    /// Its job is over, or its gang lost a member.
    #[display("no use any more")]
    NoLongerNeeded,
    /// It would end sooner on a faster upstream.
    #[display("slow upstream")]
    Straggler,
    /// Its upstream leaves before it could end.
    #[display("upstream leaves")]
    Evacuated,
    /// Its host is to go down for upkeep.
    #[display("upkeep of its host")]
    Upkeep,
    /// An urgent step needs its room.
    #[display("room for an urgent step")]
    Reclaimed,
}

/// A run to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStop {
    /// The run.
    pub run: RunRef,
    /// Why.
    pub reason: StopReason,
}

/// What is to be done.
#[derive(Debug, Default)]
pub struct WorkflowDecisions {
    /// Tasks to start, to be logged before they are ordered.
    pub starts: Vec<RunStart>,
    /// Runs to stop.
    pub stops: Vec<RunStop>,
    /// Hosts that may go down for upkeep.
    pub upkeeps: Vec<UpkeepOrder>,
    /// Hosts that are to change their pool.
    pub moves: Vec<HostMove>,
    /// What to ask the service that decides where steps may run.
    pub advice_request: Option<AdviceRequest>,
}

/// Decides which tasks start where and which runs stop.
#[derive(Debug, Default)]
pub struct WorkflowScheduler {
    held: HeldRooms,
    /// Runs whose stop was decided, and when.
    stopping: BTreeMap<RunRef, Time>,
    health: Health,
    speeds: SpeedBook,
    waves: WaveBook,
    paces: PaceBook,
    tickets: TicketCache,
    standby: StandbyBook,
    headroom: Headroom,
}

/// What one round works on.
struct Round<'a> {
    now: Time,
    ledger: &'a WorkflowLedger,
    covered: BTreeSet<JobId>,
    room: RoomMap<'a>,
    decisions: WorkflowDecisions,
}

/// Queries.
impl WorkflowScheduler {
    /// Whether an upstream is put aside because different jobs failed on it.
    pub fn is_quarantined(&self, now: Time, upstream: &UpstreamName) -> bool {
        matches!(self.health.state(now, upstream), HealthState::Quarantined(_))
    }

    /// The tickets with which steps may start.
    pub const fn tickets(&self) -> &TicketCache {
        &self.tickets
    }
}

/// Commands.
impl WorkflowScheduler {
    /// Starts without memory, as a new leader does.
    pub fn new() -> Self {
        Self::default()
    }

    /// A run ended at an upstream.
    pub fn record_end(&mut self, now: Time, upstream: &UpstreamName, job: &JobId, kind: EndKind) {
        match kind {
            EndKind::Done => self.health.record_success(upstream),
            EndKind::Failed => {
                self.health.record_failure(now, upstream, job, ASIDE_AFTER, ASIDE);
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    /// A run is over, however it ended.
    pub fn record_closed(&mut self, run: &RunRef) {
        self.stopping.remove(run);
        self.speeds.forget(run);
        self.paces.forget(&run.task);
    }

    /// An upstream listed what runs there. Returns which fillers are to work at another pace.
    pub fn record_listing(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        listing: &RunListing,
    ) -> Vec<PaceChange> {
        for listed in &listing.running {
            let step = &listed.task.step;
            let (job, spec) = (ledger.job(&step.job), ledger.step_spec(step));
            let expected = Expected {
                queue: job.map(|job| &job.terms.queue),
                estimate_ms: spec.map_or(0, |spec| spec.estimate_ms),
            };
            self.speeds.note(now, upstream, listing.clock, listed, expected);
        }
        self.paces.note(now, ledger, upstream, listing)
    }

    /// Nobody knows whether a change of pace arrived: it is decided anew.
    pub fn record_pace_unknown(&mut self, task: &TaskId) {
        self.paces.forget(task);
    }

    /// The service that decides where steps may run has answered: these upstreams, up to `until`.
    pub fn record_advice(
        &mut self,
        ledger: &WorkflowLedger,
        ask: &AdviceRequest,
        allowed: &[(UpstreamName, Arc<str>)],
        until: Time,
    ) {
        let lives = ledger.upstreams().values().map(|u| (u.name.clone(), u.incarnation));
        self.tickets.note(ask, &lives.collect(), allowed, until);
    }

    /// An upstream turned a ticket away.
    pub fn record_ticket_refused(&mut self, upstream: &UpstreamName) {
        self.tickets.drop_tickets(upstream);
    }

    /// Decides what starts and stops at `now`.
    pub fn decide(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
    ) -> WorkflowDecisions {
        let covered = covered_jobs(ledger);
        let mut room = RoomMap::new(ledger, fleet);
        room.drop_all(self.speeds.too_slow(now));
        room.mark_slower(self.speeds.slower(now));
        let decisions = WorkflowDecisions::default();
        let mut round = Round { now, ledger, covered, room, decisions };
        self.stop_what_must_go(&mut round, fleet);
        let ready = self.ready(&round);
        self.held.drop_stale(now, &ready, &round.room);
        self.held.hold_all(&mut round.room);
        self.headroom.reserve(now, ledger, &mut round.room);
        let mut unplaced = Vec::new();
        let mut reservations = 0;
        for step in &ready {
            let all = if self.held.has(&step.id) {
                self.start_held(step, &mut round)
            } else {
                self.serve(step, &mut round)
            };
            if !all {
                self.reserve(step, &mut reservations, &mut round);
                unplaced.push(step);
            }
        }
        self.ask_for_tickets(&ready, &unplaced, &mut round);
        let busy = round.decisions.starts.iter().map(|start| start.upstream.clone()).collect();
        round.decisions.moves = self.standby.round(now, ledger, fleet, &unplaced, &busy);
        round.decisions
    }

    /// The steps whose turn has come, with the upstreams that they are allowed on.
    fn ready<'a>(&self, round: &Round<'a>) -> Vec<ReadyStep<'a>> {
        let mut ready = ready_steps(round.now, round.ledger, &round.covered);
        for step in ready.iter_mut().filter(|step| step.job.terms.advice.is_some()) {
            step.allowed = Some(self.tickets.allowed(round.now, &step.id, &round.room));
        }
        ready
    }

    fn ask_for_tickets(
        &mut self,
        ready: &[ReadyStep<'_>],
        unplaced: &[&ReadyStep<'_>],
        round: &mut Round<'_>,
    ) {
        let open: BTreeSet<&StepId> = ready.iter().map(|step| &step.id).collect();
        self.tickets.keep(|step| open.contains(step));
        let mut asks = unplaced.iter().filter_map(|step| self.tickets.ask(step, &round.room));
        round.decisions.advice_request = asks.next();
    }

    /// Stops what has no use any more, what is better off elsewhere, and what has to leave its host.
    fn stop_what_must_go(&mut self, round: &mut Round<'_>, fleet: &FleetObservations) {
        let (now, ledger) = (round.now, round.ledger);
        for run in remains(ledger) {
            self.stop(run, StopReason::NoLongerNeeded, round);
        }
        for run in self.speeds.stragglers(now, ledger) {
            self.stop(run, StopReason::Straggler, round);
        }
        for run in evacuations(now, ledger, fleet, &self.speeds) {
            self.stop(run, StopReason::Evacuated, round);
        }
        let waves = self.waves.round(now, ledger, fleet, &self.speeds, &self.stopping);
        round.room.drop_all(waves.clearing.iter());
        for run in waves.stops {
            self.stop(run, StopReason::Upkeep, round);
        }
        round.decisions.upkeeps = waves.upkeeps;
    }

    fn stop(&mut self, run: RunRef, reason: StopReason, round: &mut Round<'_>) {
        if !self.stopping.contains_key(&run) {
            self.stopping.insert(run.clone(), round.now);
            round.decisions.stops.push(RunStop { run, reason });
        }
    }

    /// Starts a step in the room that was cleared for it. Returns whether all of it has started.
    fn start_held(&mut self, step: &ReadyStep<'_>, round: &mut Round<'_>) -> bool {
        let fitting = self.held.take_free(step, &mut round.room);
        let all = fitting.len() == step.waiting.len();
        start(step, &fitting, round);
        all
    }

    /// Starts what fits; for an urgent step that does not fit, room is cleared. Returns whether all fits.
    fn serve(&mut self, step: &ReadyStep<'_>, round: &mut Round<'_>) -> bool {
        let placed = place(round.now, step, &round.room);
        let all = placed.len() == step.waiting.len();
        if all || !step.is_urgent() {
            start(step, &placed, round);
            return all;
        }
        let mut clearance = self.clear(step, round);
        if clearance.is_none() && step.is_covered() {
            let Round { covered, room, .. } = round;
            if self.held.give_up(|step| !covered.contains(&step.job), room) {
                clearance = self.clear(step, round);
            }
        }
        let Some(clearance) = clearance else {
            start(step, &placed, round);
            return false;
        };
        for run in clearance.stops {
            self.stop(run, StopReason::Reclaimed, round);
        }
        self.held.hold(round.now, step, clearance.placements, &mut round.room);
        false
    }

    /// Lets room drain for a gang that found none, if it is among the first of these.
    fn reserve(&self, step: &ReadyStep<'_>, reservations: &mut usize, round: &mut Round<'_>) {
        let wants = step.spec.gang && !step.is_urgent() && !step.is_overdue();
        if wants && *reservations < RESERVATIONS_MAX {
            let made = reserve(round.now, step, round.ledger, &self.speeds, &mut round.room);
            *reservations += usize::from(made);
        }
    }

    fn clear(&self, step: &ReadyStep<'_>, round: &Round<'_>) -> Option<Clearance> {
        let Round { now, ledger, covered, room, .. } = round;
        clear_for(*now, step, room, ledger, &self.stopping, covered)
    }
}

fn start(step: &ReadyStep<'_>, placed: &BTreeMap<u32, UpstreamName>, round: &mut Round<'_>) {
    let claim = step.spec.claim();
    for (index, upstream) in placed {
        let Some(report) = round.ledger.upstreams().get(upstream) else { continue };
        round.room.take(upstream, &claim);
        round.decisions.starts.push(RunStart {
            task: TaskId { step: step.id.clone(), index: *index },
            run: step.next_run(*index),
            upstream: upstream.clone(),
            incarnation: report.incarnation,
        });
    }
}

/// What still runs of jobs that are over, and of gangs that lost a member.
fn remains(ledger: &WorkflowLedger) -> Vec<RunRef> {
    let mut remains = Vec::new();
    for upstream in ledger.occupancy().upstreams() {
        let unwanted = ledger.occupancy().runs(upstream).filter(|(t, _)| is_unwanted(ledger, t));
        remains.extend(unwanted.map(|(task, open)| RunRef {
            upstream: upstream.clone(),
            task: task.clone(),
            run: open.run,
        }));
    }
    remains
}

/// Whether a run has no use any more: its job is over, or its gang lost a member.
fn is_unwanted(ledger: &WorkflowLedger, task: &TaskId) -> bool {
    let Some(job) = ledger.job(&task.step.job) else { return true };
    if !job.is_active() {
        return true;
    }
    let gang = ledger.step_spec(&task.step).is_some_and(|spec| spec.gang);
    let record = ledger.step_record(&task.step);
    let is_running = |state: &TaskState| matches!(state, TaskState::Running { .. });
    gang && record.is_some_and(|r| r.tasks.iter().any(|task| !is_running(&task.state)))
}
