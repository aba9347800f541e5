//! The round of decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use hg_ledger::{RunRef, RunStart, TaskState, WorkflowLedger};
use hg_model::{EndKind, Footprint, JobId, RunListing, StepId, TaskId, Time, UpstreamName};

use super::Fleet;
use super::evacuate::evacuations;
use super::guarantee::covered_jobs;
use super::placement::place;
use super::ready::{ReadyStep, ready_steps};
use super::reclaim::clear_for;
use super::room_map::{RoomMap, Seat};
use super::speed::SpeedBook;
use crate::{Health, HealthState};

/// How long room is held for an urgent step while work is being stopped for it; a stop takes well under
/// half a second, so by then something has gone wrong and another place is better.
const HOLD_LIMIT: Duration = Duration::from_millis(1_500);
/// How many different jobs must fail on an upstream in a row before it is put aside.
const ASIDE_AFTER: usize = 2;
/// How long it is put aside at first; doubled each time.
const ASIDE: Duration = Duration::from_secs(4);

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopReason {
    /// Its job is over, or its gang lost a member.
    #[display("no use any more")]
    Unwanted,
    /// It would end sooner on a faster upstream.
    #[display("slow upstream")]
    Straggler,
    /// Its upstream leaves before it could end.
    #[display("upstream leaves")]
    Evacuated,
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
}

/// Room that is being cleared for an urgent step.
#[derive(Debug)]
struct HeldRoom {
    placements: BTreeMap<u32, UpstreamName>,
    claim: Footprint,
    until: Time,
}

/// Decides which tasks start where and which runs stop.
#[derive(Debug, Default)]
pub struct WorkflowScheduler {
    held: BTreeMap<StepId, HeldRoom>,
    /// Runs whose stop was decided, and when.
    stopping: BTreeMap<RunRef, Time>,
    health: Health,
    speeds: SpeedBook,
}

/// Queries.
impl WorkflowScheduler {
    /// Whether an upstream is put aside because different jobs failed on it.
    pub fn is_aside(&self, now: Time, upstream: &UpstreamName) -> bool {
        matches!(self.health.state(now, upstream), HealthState::Aside(_))
    }
}

/// Commands.
impl WorkflowScheduler {
    /// Starts without memory, as a new leader does.
    pub fn new() -> Self {
        Self::default()
    }

    /// A run ended at an upstream.
    pub fn note_end(&mut self, now: Time, upstream: &UpstreamName, job: &JobId, kind: EndKind) {
        match kind {
            EndKind::Done => self.health.note_success(upstream),
            EndKind::Failed => {
                self.health.note_failure(now, upstream, job, ASIDE_AFTER, ASIDE);
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    /// A run is over, however it ended.
    pub fn note_closed(&mut self, run: &RunRef) {
        self.stopping.remove(run);
        self.speeds.forget(run);
    }

    /// An upstream listed what runs there.
    pub fn note_listing(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        listing: &RunListing,
    ) {
        for listed in &listing.running {
            let step = &listed.task.step;
            let at = usize::try_from(step.step).ok();
            let spec = ledger.job(&step.job).and_then(|job| job.spec.steps.get(at?));
            let estimate_ms = spec.map_or(0, |spec| spec.estimate_ms);
            self.speeds.note(now, upstream, listing.clock, listed, estimate_ms);
        }
    }

    /// Decides what starts and stops at `now`.
    pub fn decide(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &Fleet,
    ) -> WorkflowDecisions {
        let mut decisions = WorkflowDecisions::default();
        self.stop_remains(now, ledger, &mut decisions);
        self.stop_stragglers(now, ledger, &mut decisions);
        for run in evacuations(now, ledger, fleet, &self.speeds) {
            self.stop(now, run, StopReason::Evacuated, &mut decisions);
        }
        let mut room = RoomMap::new(ledger, fleet);
        room.drop_all(self.speeds.too_slow(now));
        room.mark_slower(self.speeds.slower(now));
        let covered = covered_jobs(ledger);
        let ready = ready_steps(now, ledger, &covered);
        self.drop_stale_holds(now, &ready, &room);
        for held in self.held.values() {
            for upstream in held.placements.values() {
                room.hold(upstream, &held.claim);
            }
        }
        for step in &ready {
            if self.held.contains_key(&step.id) {
                self.start_held(step, ledger, &mut room, &mut decisions);
            } else {
                self.serve(now, step, ledger, &covered, &mut room, &mut decisions);
            }
        }
        decisions
    }

    /// Stops what still runs of jobs that are over, and of gangs that lost a member.
    fn stop_remains(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        decisions: &mut WorkflowDecisions,
    ) {
        for upstream in ledger.occupancy().upstreams() {
            for (task, open) in ledger.occupancy().runs(upstream) {
                if !is_unwanted(ledger, task) {
                    continue;
                }
                let run = RunRef { upstream: upstream.clone(), task: task.clone(), run: open.run };
                self.stop(now, run, StopReason::Unwanted, decisions);
            }
        }
    }

    fn stop(
        &mut self,
        now: Time,
        run: RunRef,
        reason: StopReason,
        decisions: &mut WorkflowDecisions,
    ) {
        if !self.stopping.contains_key(&run) {
            self.stopping.insert(run.clone(), now);
            decisions.stops.push(RunStop { run, reason });
        }
    }

    /// Stops what would end sooner elsewhere; the members of a gang go together.
    fn stop_stragglers(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        decisions: &mut WorkflowDecisions,
    ) {
        for run in self.speeds.stragglers(now, ledger) {
            self.stop(now, run, StopReason::Straggler, decisions);
        }
    }

    fn drop_stale_holds(&mut self, now: Time, ready: &[ReadyStep<'_>], room: &RoomMap<'_>) {
        let waiting: BTreeSet<&StepId> = ready.iter().map(|step| &step.id).collect();
        self.held.retain(|step, held| {
            let usable = held.placements.values().all(|name| room.seats.contains_key(name));
            now < held.until && usable && waiting.contains(step)
        });
    }

    /// Starts a step in the room that was cleared for it, as far as that is free.
    fn start_held(
        &mut self,
        step: &ReadyStep<'_>,
        ledger: &WorkflowLedger,
        room: &mut RoomMap<'_>,
        decisions: &mut WorkflowDecisions,
    ) {
        let Some(held) = self.held.get_mut(&step.id) else { return };
        for upstream in held.placements.values() {
            room.unhold(upstream, &held.claim);
        }
        let mut fitting = BTreeMap::new();
        let mut trial = room.clone();
        for (task, upstream) in &held.placements {
            let free = trial.seats.get(upstream).map(Seat::open).unwrap_or_default();
            if step.waiting.contains(task) && held.claim.fits(&free) {
                trial.take(upstream, &held.claim);
                fitting.insert(*task, upstream.clone());
            }
        }
        let all = fitting.len() == held.placements.len();
        if step.spec.gang && !all {
            fitting.clear();
        }
        for task in fitting.keys() {
            held.placements.remove(task);
        }
        for upstream in held.placements.values() {
            room.hold(upstream, &held.claim);
        }
        if held.placements.is_empty() {
            self.held.remove(&step.id);
        }
        start(step, &fitting, ledger, room, decisions);
    }

    fn serve(
        &mut self,
        now: Time,
        step: &ReadyStep<'_>,
        ledger: &WorkflowLedger,
        covered: &BTreeSet<JobId>,
        room: &mut RoomMap<'_>,
        decisions: &mut WorkflowDecisions,
    ) {
        let placed = place(now, step, room);
        let all = placed.len() == step.waiting.len();
        if all || !step.is_urgent() {
            start(step, &placed, ledger, room, decisions);
            return;
        }
        let mut clearance = clear_for(now, step, room, ledger, &self.stopping, covered);
        if clearance.is_none() && step.is_covered() && self.give_up_holds(covered, room) {
            clearance = clear_for(now, step, room, ledger, &self.stopping, covered);
        }
        let Some(clearance) = clearance else {
            start(step, &placed, ledger, room, decisions);
            return;
        };
        let claim = step.spec.claim();
        for upstream in clearance.placements.values() {
            room.hold(upstream, &claim);
        }
        for run in clearance.stops {
            self.stop(now, run, StopReason::Reclaimed, decisions);
        }
        let until = now.after(HOLD_LIMIT);
        let held = HeldRoom { placements: clearance.placements, claim, until };
        self.held.insert(step.id.clone(), held);
    }
}

impl WorkflowScheduler {
    /// Gives up the room held for urgent steps that no guarantee covers. Returns whether there was any.
    fn give_up_holds(&mut self, covered: &BTreeSet<JobId>, room: &mut RoomMap<'_>) -> bool {
        let before = self.held.len();
        self.held.retain(|step, held| {
            let keeps = covered.contains(&step.job);
            if !keeps {
                for upstream in held.placements.values() {
                    room.unhold(upstream, &held.claim);
                }
            }
            keeps
        });
        self.held.len() < before
    }
}

fn start(
    step: &ReadyStep<'_>,
    placed: &BTreeMap<u32, UpstreamName>,
    ledger: &WorkflowLedger,
    room: &mut RoomMap<'_>,
    decisions: &mut WorkflowDecisions,
) {
    let claim = step.spec.claim();
    for (index, upstream) in placed {
        let Some(report) = ledger.upstreams().get(upstream) else { continue };
        room.take(upstream, &claim);
        decisions.starts.push(RunStart {
            task: TaskId { step: step.id.clone(), index: *index },
            run: step.next_run(*index),
            upstream: upstream.clone(),
            incarnation: report.incarnation,
        });
    }
}

/// Whether a run has no use any more: its job is over, or its gang lost a member.
fn is_unwanted(ledger: &WorkflowLedger, task: &TaskId) -> bool {
    let Some(job) = ledger.job(&task.step.job) else { return true };
    if !job.is_active() {
        return true;
    }
    let at = usize::try_from(task.step.step).unwrap_or(usize::MAX);
    let gang = job.spec.steps.get(at).is_some_and(|spec| spec.gang);
    let record = job.occurrence(task.step.occurrence).and_then(|o| o.steps.get(at));
    let is_running = |state: &TaskState| matches!(state, TaskState::Running { .. });
    gang && record.is_some_and(|r| r.tasks.iter().any(|task| !is_running(&task.state)))
}
