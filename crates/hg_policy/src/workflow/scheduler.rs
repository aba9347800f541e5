//! The scheduler of workflows: one decision round over the ledger and the observed fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use hg_ledger::{RunRef, RunStart, WorkflowLedger};
use hg_model::{EndKind, JobId, PoolName, RunListing, StepId, TaskId, Time, UpstreamName};

use super::admission_forecast::AdmissionForecast;
use super::capacity_map::CapacityMap;
use super::crash_guard::CrashGuard;
use super::evacuation::evacuations;
use super::guarantee::covered_jobs;
use super::headroom::Headroom;
use super::holds::Holds;
use super::isolation::{Isolation, Suspects, apart_until, take_suspects};
use super::pace_controller::PaceController;
use super::placement::place;
use super::pool_forecast::ForecastInputs;
use super::preemption::{PreemptionContext, PreemptionPlan, plan_preemption};
use super::ready_steps::{ReadyStep, ready_steps};
use super::reservation::{DrainTimes, reserve};
use super::run_table::RunTable;
use super::speed_tracker::{ExpectedRun, SpeedTracker};
use super::standby::StandbyHosts;
use super::wave_scheduler::WaveScheduler;
use super::{
    Admittance, AdviceRequest, FleetObservations, ForecastRejection, HostMove, PaceChange,
    Submission, TicketCache, UpkeepOrder, WorkflowBounds, WorkflowPolicies, WorkflowPolicy,
};
use crate::{HealthState, UpstreamHealth};

/// How many different jobs must fail on an upstream in a row before it is quarantined.
const QUARANTINE_AFTER_JOBS: usize = 2;
/// Length of an upstream's first quarantine; each further one is twice as long.
const QUARANTINE_FIRST: Duration = Duration::from_secs(4);

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopReason {
    /// The job is over, or its gang lost a member.
    #[display("no use any more")]
    NoLongerNeeded,
    /// The run would end sooner if it restarted on a faster upstream.
    #[display("slow upstream")]
    Straggler,
    /// The upstream leaves before the run could end.
    #[display("upstream leaves")]
    Evacuated,
    /// The host is about to go down for upkeep.
    #[display("upkeep of its host")]
    Upkeep,
    /// An urgent step needs the resources.
    #[display("room for an urgent step")]
    Preempted,
}

/// A run to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStop {
    /// The run.
    pub run: RunRef,
    /// Why it is stopped.
    pub reason: StopReason,
    /// The step that needs its resources, if it is preempted.
    pub preempted_for: Option<StepId>,
}

/// The result of one decision round.
#[derive(Debug, Default)]
pub struct WorkflowDecisions {
    /// Tasks to start. They are logged before the orders are sent.
    pub starts: Vec<RunStart>,
    /// Runs to stop.
    pub stops: Vec<RunStop>,
    /// Tasks that crash their upstreams; their workflows are to fail.
    pub given_up: Vec<TaskId>,
    /// Hosts that may go down for upkeep.
    pub upkeeps: Vec<UpkeepOrder>,
    /// Hosts that are to change their pool.
    pub moves: Vec<HostMove>,
    /// The next request to the service that decides where steps may run.
    pub advice_request: Option<AdviceRequest>,
}

/// Decides which tasks start where and which runs are stopped.
///
/// Its memory beside the ledger belongs to one leadership term: a new leader starts without it.
#[derive(Debug)]
pub struct WorkflowScheduler {
    bounds: WorkflowBounds,
    policies: WorkflowPolicies,
    holds: Holds,
    /// Runs for which a stop was decided, with the time of that decision.
    stopping: BTreeMap<RunRef, Time>,
    health: UpstreamHealth,
    speeds: SpeedTracker,
    waves: WaveScheduler,
    paces: PaceController,
    tickets: TicketCache,
    standby: StandbyHosts,
    headroom: Headroom,
    admission: AdmissionForecast,
}

/// Inputs and results of one decision round.
struct Round<'a> {
    now: Time,
    ledger: &'a WorkflowLedger,
    covered: BTreeSet<JobId>,
    runs: RunTable<'a>,
    drains: DrainTimes<'a>,
    capacity: CapacityMap<'a>,
    guard: CrashGuard<'a>,
    decisions: WorkflowDecisions,
}

/// Queries.
impl WorkflowScheduler {
    /// Whether an upstream is quarantined because different jobs failed on it.
    pub fn is_quarantined(&self, now: Time, upstream: &UpstreamName) -> bool {
        matches!(self.health.state(now, upstream), HealthState::Quarantined(_))
    }

    /// When a new small task of each pool and priority would start, in milliseconds; nothing unless jobs are
    /// admitted by forecast.
    pub fn forecast_starts(&self) -> impl Iterator<Item = (&PoolName, u32, u64)> {
        self.admission.starts()
    }

    /// The tickets that allow steps to start.
    pub const fn tickets(&self) -> &TicketCache {
        &self.tickets
    }
}

/// Commands.
impl WorkflowScheduler {
    /// Creates a scheduler without observations, as a new leader does.
    pub fn new(bounds: WorkflowBounds) -> Self {
        Self {
            bounds,
            policies: WorkflowPolicies::default(),
            holds: Holds::default(),
            stopping: BTreeMap::new(),
            health: UpstreamHealth::default(),
            speeds: SpeedTracker::new(bounds.restore),
            waves: WaveScheduler::new(bounds.upkeep_reserve()),
            paces: PaceController::new(bounds.pace_settled()),
            tickets: TicketCache::default(),
            standby: StandbyHosts::default(),
            headroom: Headroom::default(),
            admission: AdmissionForecast::default(),
        }
    }

    /// Sets the optional policies that it uses.
    #[must_use]
    pub fn with_policies(mut self, policies: WorkflowPolicies) -> Self {
        self.policies = policies;
        self
    }

    /// Records the end of a run on an upstream. Only completed and failed runs count for the
    /// upstream's health.
    pub fn record_end(&mut self, now: Time, upstream: &UpstreamName, job: &JobId, kind: EndKind) {
        match kind {
            EndKind::Done => self.health.record_success(upstream),
            EndKind::Failed => {
                self.health.record_failure(
                    now,
                    upstream,
                    job,
                    QUARANTINE_AFTER_JOBS,
                    QUARANTINE_FIRST,
                );
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    /// Records that a run is over, whatever its outcome.
    pub fn record_run_closed(&mut self, run: &RunRef) {
        self.stopping.remove(run);
        self.speeds.record_run_closed(run);
        self.paces.forget(&run.task);
    }

    /// Records the runs that an upstream listed. Returns the best-effort runs whose pace has to
    /// change.
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
            let expected = ExpectedRun {
                queue: job.map(|job| &job.terms.queue),
                estimate_ms: spec.map_or(0, |spec| spec.estimate_ms),
                is_gang: spec.is_some_and(|spec| spec.gang),
            };
            self.speeds.record_listed(now, upstream, listing.clock, listed, expected);
        }
        self.paces.record_listing(now, ledger, upstream, listing)
    }

    /// Records that the outcome of a change of pace is unknown, so that the pace is decided again.
    pub fn record_pace_unknown(&mut self, task: &TaskId) {
        self.paces.forget(task);
    }

    /// Records the answer of the service that decides where steps may run: the allowed upstreams
    /// with their tickets, valid up to `until`.
    pub fn record_advice(
        &mut self,
        ledger: &WorkflowLedger,
        request: &AdviceRequest,
        allowed: &[(UpstreamName, Arc<str>)],
        until: Time,
    ) {
        let incarnations = ledger.upstreams().values().map(|u| (u.name.clone(), u.incarnation));
        self.tickets.record_answer(request, &incarnations.collect(), allowed, until);
    }

    /// Records that an upstream refused a ticket.
    pub fn record_ticket_refused(&mut self, upstream: &UpstreamName) {
        self.tickets.invalidate(upstream);
    }

    /// Decides by forecast whether a workflow is accepted; accepts everything unless that policy is in use.
    ///
    /// # Errors
    ///
    /// [`ForecastRejection`] if it could not start while it is of value.
    pub fn admit_by_forecast(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        submission: &Submission<'_>,
    ) -> Result<Admittance, ForecastRejection> {
        if !self.policies.uses(WorkflowPolicy::AdmissionForecast) {
            return Ok(Admittance::Unconditional);
        }
        self.admission.judge(now, ledger, submission)
    }

    /// Decides what starts and what is stopped at `now`.
    pub fn decide(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
    ) -> WorkflowDecisions {
        let covered = covered_jobs(ledger);
        let mut capacity = CapacityMap::new(ledger, fleet);
        capacity.exclude(self.speeds.too_slow(now));
        capacity.mark_slower(self.speeds.slower(now));
        let decisions = WorkflowDecisions::default();
        let (runs, drains) = (RunTable::new(ledger), DrainTimes::new(now, ledger));
        let guard = CrashGuard::new(now, ledger, &fleet.silent);
        let mut round = Round { now, ledger, covered, runs, drains, capacity, guard, decisions };
        self.decide_stops(&mut round, fleet);
        round.runs.record_stops(self.stopping.iter());
        let mut ready = self.ready(&round);
        let suspects = take_suspects(&round.guard, ledger, &mut ready);
        self.holds.drop_expired(now, &ready, &round.capacity);
        self.holds.apply_to(&mut round.capacity);
        start_suspects(suspects, &mut ready, &mut round);
        self.headroom.reserve(now, &round.runs, &mut round.capacity);
        let mut unplaced = Vec::new();
        for step in &ready {
            let all_placed = if self.holds.contains(&step.id) {
                self.start_in_hold(step, &mut round)
            } else {
                self.place_or_preempt(step, &mut round)
            };
            if !all_placed {
                self.reserve_for_gang(step, &mut round);
                unplaced.push(step);
            }
        }
        self.request_tickets(&ready, &unplaced, &mut round);
        let starting = round.decisions.starts.iter().map(|start| start.upstream.clone()).collect();
        self.forecast(&ready, &round);
        round.decisions.moves = self.standby.round(now, ledger, fleet, &unplaced, &starting);
        round.decisions
    }

    /// Makes the forecast for new jobs from a round's results, if it is due.
    fn forecast(&mut self, ready: &[ReadyStep<'_>], round: &Round<'_>) {
        if !self.policies.uses(WorkflowPolicy::AdmissionForecast) {
            return;
        }
        for start in &round.decisions.starts {
            self.admission.record_start(round.now, &start.task.step.job);
        }
        if self.admission.is_due(round.now) {
            let Round { now, ledger, covered, runs, capacity, .. } = round;
            let (speeds, stop_done) = (&self.speeds, self.bounds.stop_done());
            let (now, ledger) = (*now, *ledger);
            let inputs =
                ForecastInputs { now, ledger, runs, ready, covered, capacity, speeds, stop_done };
            self.admission.refresh(&inputs);
        }
    }

    /// The steps that may start now, each with the upstreams that it is allowed on.
    fn ready<'a>(&self, round: &Round<'a>) -> Vec<ReadyStep<'a>> {
        let mut ready = ready_steps(round.now, round.ledger, &round.covered);
        for step in ready.iter_mut().filter(|step| step.job.terms.advice.is_some()) {
            step.allowed = Some(self.tickets.allowed(round.now, &step.id, &round.capacity));
        }
        ready
    }

    fn request_tickets(
        &mut self,
        ready: &[ReadyStep<'_>],
        unplaced: &[&ReadyStep<'_>],
        round: &mut Round<'_>,
    ) {
        let open: BTreeSet<&StepId> = ready.iter().map(|step| &step.id).collect();
        self.tickets.retain_steps(|step| open.contains(step));
        let mut requests =
            unplaced.iter().filter_map(|step| self.tickets.next_request(step, &round.capacity));
        round.decisions.advice_request = requests.next();
    }

    /// Stops runs that are no longer needed, that would end sooner elsewhere, or that have to leave
    /// their host.
    fn decide_stops(&mut self, round: &mut Round<'_>, fleet: &FleetObservations) {
        let (now, ledger) = (round.now, round.ledger);
        for run in round.runs.unneeded(ledger) {
            self.stop(run, StopReason::NoLongerNeeded, round);
        }
        // A suspect of a crash shows only to its end whether it is the cause.
        for run in self.speeds.stragglers(now, ledger) {
            if !round.guard.isolated().contains(&run.upstream) {
                self.stop(run, StopReason::Straggler, round);
            }
        }
        for run in evacuations(now, ledger, fleet, &self.speeds, self.bounds.stop_lead_time()) {
            self.stop(run, StopReason::Evacuated, round);
        }
        let waves = self.waves.round(now, ledger, fleet, &self.speeds, &self.stopping);
        round.capacity.exclude(waves.draining.iter());
        for run in waves.stops {
            self.stop(run, StopReason::Upkeep, round);
        }
        round.decisions.upkeeps = waves.upkeeps;
    }

    fn stop(&mut self, run: RunRef, reason: StopReason, round: &mut Round<'_>) {
        self.stop_for(run, reason, None, round);
    }

    fn stop_for(
        &mut self,
        run: RunRef,
        reason: StopReason,
        preempted_for: Option<StepId>,
        round: &mut Round<'_>,
    ) {
        if !self.stopping.contains_key(&run) {
            self.stopping.insert(run.clone(), round.now);
            round.decisions.stops.push(RunStop { run, reason, preempted_for });
        }
    }

    /// Starts the tasks of a step whose held resources are free by now. Returns whether all of the
    /// step has started.
    fn start_in_hold(&mut self, step: &ReadyStep<'_>, round: &mut Round<'_>) -> bool {
        let fitting = self.holds.take_available(step, &mut round.capacity);
        let all_placed = fitting.len() == step.waiting.len();
        start(step, &fitting, round);
        all_placed
    }

    /// Starts the tasks that fit. If an urgent step does not fit as a whole, lower-ranked work is
    /// preempted for it instead. Returns whether all tasks were placed.
    fn place_or_preempt(&mut self, step: &ReadyStep<'_>, round: &mut Round<'_>) -> bool {
        let placed = place(round.now, step, &round.capacity);
        let all_placed = placed.len() == step.waiting.len();
        if all_placed || !step.is_urgent() {
            start(step, &placed, round);
            return all_placed;
        }
        let mut plan = self.plan_preemption(step, round);
        if plan.is_none() && step.is_covered() {
            let Round { covered, capacity, .. } = round;
            if self.holds.release_where(|step| !covered.contains(&step.job), capacity) {
                plan = self.plan_preemption(step, round);
            }
        }
        let Some(plan) = plan else {
            start(step, &placed, round);
            return false;
        };
        for row in plan.stops {
            let run = round.runs.rows()[row].run_ref();
            self.stop_for(run, StopReason::Preempted, Some(step.id.clone()), round);
            round.runs.record_stop(round.now, row);
        }
        let until = round.now.after(self.bounds.hold_timeout());
        self.holds.add(until, step, plan.placements, &mut round.capacity);
        false
    }

    /// Reserves draining upstreams for a gang that could not be placed.
    fn reserve_for_gang(&self, step: &ReadyStep<'_>, round: &mut Round<'_>) {
        if step.spec.gang && !step.is_urgent() && !step.is_overdue() {
            reserve(step, &mut round.drains, &self.speeds, &mut round.capacity);
        }
    }

    fn plan_preemption(&self, step: &ReadyStep<'_>, round: &Round<'_>) -> Option<PreemptionPlan> {
        let Round { now, runs, covered, capacity, .. } = round;
        let cx = PreemptionContext { now: *now, runs, covered, bounds: &self.bounds };
        plan_preemption(&cx, step, capacity)
    }
}

/// Starts the suspects of crashes apart from everything else, and keeps other work off their upstreams.
fn start_suspects<'a>(
    suspects: Suspects<'a>,
    ready: &mut Vec<ReadyStep<'a>>,
    round: &mut Round<'a>,
) {
    if round.guard.is_idle() {
        return;
    }
    let guard = std::mem::take(&mut round.guard);
    let mut isolation = Isolation::new(round.now, round.ledger, &guard, &round.capacity);
    round.capacity.exclude(guard.isolated().iter().copied());
    for (mut step, wait_until) in suspects.steps {
        let placed = isolation.place(&step, wait_until, &mut round.capacity);
        start(&step, &placed, round);
        step.waiting.retain(|index| !placed.contains_key(index));
        if !step.waiting.is_empty() && round.now >= wait_until {
            let placed = isolation.place_apart(&step, &round.capacity);
            start(&step, &placed, round);
            step.waiting.retain(|index| !placed.contains_key(index));
        }
        if !step.waiting.is_empty() && round.now >= apart_until(wait_until) {
            add_waiting(step, ready);
        }
    }
    ready.sort_by(ReadyStep::order);
    ready.retain(|step| {
        let is_doubtful = suspects.doubtful.contains(&step.id);
        let placed = is_doubtful.then(|| isolation.place_doubtful(step, &round.capacity)).flatten();
        if let Some(placed) = &placed {
            start(step, placed, round);
        }
        placed.is_none()
    });
    round.decisions.given_up = suspects.guilty;
}

/// Adds the waiting tasks of a step to those that start like any other.
fn add_waiting<'a>(step: ReadyStep<'a>, ready: &mut Vec<ReadyStep<'a>>) {
    match ready.iter_mut().find(|other| other.id == step.id) {
        Some(other) => {
            other.waiting.extend(step.waiting);
            other.waiting.sort_unstable();
        }
        None => ready.push(step),
    }
}

fn start(step: &ReadyStep<'_>, placed: &BTreeMap<u32, UpstreamName>, round: &mut Round<'_>) {
    let claim = step.spec.claim();
    for (index, upstream) in placed {
        let Some(report) = round.ledger.upstreams().get(upstream) else { continue };
        round.capacity.allocate(upstream, &claim);
        round.decisions.starts.push(RunStart {
            task: TaskId { step: step.id.clone(), index: *index },
            run: step.next_run(*index),
            upstream: upstream.clone(),
            incarnation: report.incarnation,
        });
    }
}
