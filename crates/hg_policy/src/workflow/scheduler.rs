//! The scheduler of workflows: one decision round over the ledger and the observed fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use hg_ledger::{AccountUsage, HostSpeed, RunRef, RunStart, RunTimeChange, WorkflowLedger};
use hg_model::{
    EndKind, HostName, JobId, PoolName, RunEnd, RunListing, StepId, TaskId, Time, UpstreamName,
};

use super::admission_forecast::AdmissionForecast;
use super::capacity_map::CapacityMap;
use super::cold_starts::ColdStarts;
use super::contention::{ContentionReport, ContentionTracker, avoided_by};
use super::crash_guard::CrashGuard;
use super::drain::{DrainContext, DrainMoves};
use super::evacuation::evacuations;
use super::fair_share::{Shares, order_fairly};
use super::guarantee::covered_jobs;
use super::headroom::Headroom;
use super::holds::Holds;
use super::isolation::{Isolation, Suspects, apart_until, take_suspects};
use super::pace_controller::PaceController;
use super::placement::place;
use super::pool_forecast::ForecastInputs;
use super::preemption::{PreemptionContext, PreemptionPlan, plan_preemption};
use super::queue_settings::QueueSettings;
use super::ready_steps::{ReadyStep, ready_steps};
use super::reservation::{DrainTimes, reserve};
use super::run_table::RunTable;
use super::run_times::RunTimes;
use super::speed_placement::{TierOrder, TierRanks, preemption_gain};
use super::speed_policy::{SpeedChange, SpeedPolicy};
use super::speed_tracker::{ExpectedRun, SpeedTracker};
use super::standby::StandbyHosts;
use super::usage_tracker::UsageTracker;
use super::waiting_steps::{WaitingReports, WaitingStep};
use super::wave_scheduler::WaveScheduler;
use super::{
    AccountShare, Admittance, AdviceRequest, FleetObservations, ForecastRejection, HostMove,
    PaceChange, SpeedClass, Submission, TicketCache, UpkeepOrder, WorkflowBounds, WorkflowPolicies,
    WorkflowPolicy,
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
    /// The data centre is drained.
    #[display("data centre drained")]
    Drained,
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
    /// The use of resources by account, whenever it is to be recorded.
    pub usage: Option<AccountUsage>,
    /// Accounts that are beyond twice their fair share, to be logged.
    pub beyond_share: Vec<AccountShare>,
    /// What changed about contention between tasks.
    pub contention: ContentionReport,
    /// Steps that have waited for long, from time to time.
    pub waiting: Vec<WaitingStep>,
    /// The number of steps that could start, as far as the round has considered them.
    pub ready_steps: usize,
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
    host_speeds: SpeedPolicy,
    waves: WaveScheduler,
    paces: PaceController,
    tickets: TicketCache,
    standby: StandbyHosts,
    headroom: Headroom,
    drain_moves: DrainMoves,
    cold_starts: ColdStarts,
    usage: UsageTracker,
    contention: ContentionTracker,
    admission: AdmissionForecast,
    waiting_reports: WaitingReports,
}

/// Inputs and results of one decision round.
struct Round<'a> {
    now: Time,
    ledger: &'a WorkflowLedger,
    queues: QueueSettings<'a>,
    covered: BTreeSet<JobId>,
    runs: RunTable<'a>,
    drains: DrainTimes<'a>,
    capacity: CapacityMap<'a>,
    guard: CrashGuard<'a>,
    /// The shares of the accounts, where there is a fair order.
    shares: Option<Shares<'a>>,
    decisions: WorkflowDecisions,
}

/// Queries.
impl WorkflowScheduler {
    /// Whether an upstream is quarantined because different jobs failed on it.
    pub fn is_quarantined(&self, now: Time, upstream: &UpstreamName) -> bool {
        matches!(self.health.state(now, upstream), HealthState::Quarantined(_))
    }

    /// The shares of the accounts as of the last round; empty where there is no fair order.
    pub fn account_shares(&self) -> &[AccountShare] {
        self.usage.last_shares()
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

    fn uses_host_speeds(&self) -> bool {
        self.policies.uses(WorkflowPolicy::HostSpeeds)
    }

    /// The class of an upstream's host by its lasting speed; `None` unless host speeds are in use.
    pub fn speed_class(
        &self,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
    ) -> Option<SpeedClass> {
        let report = ledger.upstreams().get(upstream).filter(|_| self.uses_host_speeds())?;
        Some(self.host_speeds.class_of(report))
    }

    /// The number of hosts of each class of lasting speed; empty unless host speeds are in use.
    pub fn hosts_by_speed(&self) -> BTreeMap<SpeedClass, usize> {
        if self.uses_host_speeds() { self.host_speeds.class_counts() } else { BTreeMap::new() }
    }

    /// The order of the tiers of lasting speed for a step; `None` where speeds are not in effect.
    fn tier_order(&self, now: Time, step: &ReadyStep<'_>) -> Option<TierOrder> {
        let speeds = self.host_speeds.in_effect().get(step.pool)?;
        Some(TierOrder::new(now, step, speeds, self.host_speeds.estimates()))
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
            host_speeds: SpeedPolicy::default(),
            waves: WaveScheduler::new(bounds.upkeep_reserve()),
            paces: PaceController::new(bounds.pace_settled()),
            tickets: TicketCache::default(),
            standby: StandbyHosts::default(),
            headroom: Headroom::default(),
            drain_moves: DrainMoves::default(),
            cold_starts: ColdStarts::default(),
            usage: UsageTracker::default(),
            contention: ContentionTracker::default(),
            admission: AdmissionForecast::default(),
            waiting_reports: WaitingReports::default(),
        }
    }

    /// Sets the optional policies that it uses.
    #[must_use]
    pub fn with_policies(mut self, policies: WorkflowPolicies) -> Self {
        if policies.uses(WorkflowPolicy::RunTimes) {
            self.speeds.run_times = RunTimes::enabled();
        }
        self.policies = policies;
        self
    }

    /// Records the end of a run on an upstream. Only completed and failed runs count for the
    /// upstream's health.
    pub fn record_end(&mut self, now: Time, upstream: &UpstreamName, job: &JobId, kind: EndKind) {
        match kind {
            EndKind::Done => {
                self.health.record_success(upstream);
                self.cold_starts.record_progress(upstream);
            }
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

    /// Records that the start of a run is committed.
    pub fn record_run_opened(&mut self, ledger: &WorkflowLedger, run: &RunRef) {
        self.speeds.run_times.record_open(ledger, &run.upstream, &run.task);
    }

    /// Records that a run completed at `at`, before it is recorded as closed: its run time is learned from.
    /// Where the lasting speeds of hosts are in effect, its time counts as on a host of normal speed.
    pub fn record_completed(
        &mut self,
        at: Time,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        end: &RunEnd,
    ) {
        let report = ledger.upstreams().get(upstream);
        let host_factor = report.map_or(1.0, |report| self.host_speeds.factor_of(report));
        self.speeds.run_times.record_completed(at, &end.task, end.run, host_factor);
    }

    /// The completed runs that are to be added to the replicated run times; empty unless that is due.
    pub fn take_run_time_changes(&mut self, now: Time) -> Vec<RunTimeChange> {
        self.speeds.run_times.take_changes(now)
    }

    /// Records that a run is over, whatever its outcome.
    pub fn record_run_closed(&mut self, run: &RunRef) {
        self.stopping.remove(run);
        self.speeds.record_run_closed(run);
        self.host_speeds.record_run_closed(run);
        self.speeds.run_times.record_closed(&run.task);
        self.paces.forget(&run.task);
        self.contention.record_run_closed(run);
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
        if listing.running.iter().any(|listed| listed.percent > 0) {
            self.cold_starts.record_progress(upstream);
        }
        if self.uses_host_speeds() {
            self.host_speeds.record_listing(now, ledger, upstream, listing);
        }
        let report = ledger.upstreams().get(upstream);
        let host_factor = report.map_or(1.0, |report| self.host_speeds.factor_of(report));
        self.speeds.run_times.refresh(ledger.run_times());
        for listed in &listing.running {
            self.speeds.run_times.record_open(ledger, upstream, &listed.task);
            let step = &listed.task.step;
            let (job, spec) = (ledger.job(&step.job), ledger.step_spec(step));
            let expected = ExpectedRun {
                queue: job.map(|job| &job.terms.queue),
                stretch_milli: job.map_or(0, |job| job.terms.stretch_milli),
                image: spec.and_then(|spec| spec.image.as_ref()),
                estimate_ms: spec.map_or(0, |spec| spec.estimate_ms),
                is_gang: spec.is_some_and(|spec| spec.gang),
                host_factor,
            };
            let (speeds, running) = (&mut self.speeds, &listing.running);
            speeds.record_listed(now, upstream, listing.clock, listed, running, expected);
        }
        if self.policies.uses(WorkflowPolicy::Contention) {
            self.contention.record_listing(now, ledger, upstream, listing);
        }
        self.paces.record_listing(now, ledger, upstream, listing)
    }

    /// The hosts whose class of lasting speed has changed since the last call.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        self.host_speeds.take_class_changes()
    }

    /// The changed estimates of the lasting speeds of hosts that are to be written to the log.
    pub fn take_host_speeds(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
    ) -> Vec<(HostName, HostSpeed)> {
        if !self.uses_host_speeds() {
            return Vec::new();
        }
        self.host_speeds.take_changes(now, ledger)
    }

    /// Records that the outcome of a change of pace is unknown, so that the pace is decided again.
    pub fn record_pace_unknown(&mut self, task: &TaskId) {
        self.paces.forget(task);
    }

    /// Records that a request is being made to the service that decides where steps may run.
    pub fn record_advice_request(&mut self, now: Time, request: &AdviceRequest) {
        self.tickets.record_request(now, request);
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
        self.speeds.run_times.refresh(ledger.run_times());
        let covered = covered_jobs(ledger);
        let mut capacity = CapacityMap::new(ledger, fleet);
        capacity.exclude(self.speeds.too_slow(now));
        capacity.mark_slower(self.speeds.slower(now));
        self.cold_starts.limit(&fleet.cold, ledger, &mut capacity);
        if self.uses_host_speeds() {
            self.host_speeds.refresh(now, ledger);
            capacity.mark_speeds(self.host_speeds.in_effect());
        }
        let decisions = WorkflowDecisions::default();
        let (runs, drains) = (RunTable::new(ledger), DrainTimes::new(now, ledger));
        let guard = CrashGuard::new(now, ledger, &fleet.silent);
        let (queues, shares) = (QueueSettings::new(ledger), None);
        let mut round = Round {
            now,
            ledger,
            queues,
            covered,
            runs,
            drains,
            capacity,
            guard,
            shares,
            decisions,
        };
        self.decide_stops(&mut round, fleet);
        round.runs.record_stops(self.stopping.iter());
        let mut ready = self.ready(&round);
        self.order_by_shares(&mut ready, &mut round);
        round.decisions.ready_steps = ready.len();
        let suspects = take_suspects(&round.guard, ledger, &mut ready);
        self.holds.drop_expired(now, &ready, &round.capacity);
        self.holds.apply_to(&mut round.capacity);
        start_suspects(suspects, &mut ready, &mut round);
        let in_effect = self.host_speeds.in_effect();
        let Round { runs, queues, capacity, .. } = &mut round;
        self.headroom.reserve(now, runs, queues, capacity, in_effect);
        self.drain(&mut round, fleet);
        self.judge_contention(&ready, &mut round);
        let mut unplaced = Vec::new();
        for step in &ready {
            let all_placed = if self.holds.contains(&step.id) {
                self.start_in_hold(step, &mut round)
            } else {
                self.place_or_preempt(step, &mut round)
            };
            if !all_placed {
                self.reserve_for_gang(step, &mut round);
                round.capacity.record_unplaced(step);
                unplaced.push(step);
            }
        }
        round.decisions.waiting = self.waiting_reports.report(now, &unplaced, &round.capacity);
        self.request_tickets(&ready, &unplaced, fleet.is_advice_busy, &mut round);
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
        let Round { now, ledger, queues, covered, .. } = round;
        let mut ready = ready_steps(*now, ledger, queues, covered, &self.speeds.run_times);
        for step in ready.iter_mut().filter(|step| step.advice.is_some()) {
            step.allowed = Some(self.tickets.allowed(round.now, &step.id, &round.capacity));
        }
        ready
    }

    /// Brings the steps into the fair order among accounts, if that policy is in use and in effect.
    fn order_by_shares<'a>(&mut self, ready: &mut [ReadyStep<'a>], round: &mut Round<'a>) {
        if !self.policies.uses(WorkflowPolicy::FairShares) {
            return;
        }
        round.shares = self.usage.observe(round.now, round.ledger, &round.runs, ready);
        if let Some(shares) = &round.shares {
            order_fairly(round.now, shares, ready);
        }
        round.decisions.usage = self.usage.take_record(round.ledger);
        round.decisions.beyond_share = self.usage.take_reports();
    }

    /// Judges what was learned about contention, and lets placement know.
    fn judge_contention(&mut self, ready: &[ReadyStep<'_>], round: &mut Round<'_>) {
        if self.policies.uses(WorkflowPolicy::Contention) {
            round.decisions.contention = self.contention.judge(round.now, round.ledger);
            let mixes = self.contention.host_mixes(&round.runs, ready, &round.capacity);
            round.capacity.set_mixes(mixes);
        }
    }

    /// Chooses the next request to the service that decides where steps may run, unless that is busy.
    fn request_tickets(
        &mut self,
        ready: &[ReadyStep<'_>],
        unplaced: &[&ReadyStep<'_>],
        is_busy: bool,
        round: &mut Round<'_>,
    ) {
        let open: BTreeSet<&StepId> = ready.iter().map(|step| &step.id).collect();
        self.tickets.retain_steps(|step| open.contains(step));
        if !is_busy {
            let request = self.tickets.next_request(round.now, unplaced, &round.capacity);
            round.decisions.advice_request = request;
        }
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
        // `drain` decides what leaves a drained data centre, and when.
        for run in waves.stops.into_iter().filter(|run| !ledger.is_drained(&run.upstream)) {
            self.stop(run, StopReason::Upkeep, round);
        }
        round.decisions.upkeeps = waves.upkeeps;
    }

    /// Stops runs in drained data centres.
    fn drain(&mut self, round: &mut Round<'_>, fleet: &FleetObservations) {
        let Round { now, ledger, queues, runs, capacity, .. } = round;
        let (speeds, stopping) = (&self.speeds, &self.stopping);
        let lead_time = self.bounds.stop_lead_time();
        let (now, ledger) = (*now, *ledger);
        let cx = DrainContext { now, ledger, queues, fleet, runs, speeds, stopping, lead_time };
        for run in self.drain_moves.stops(&cx, capacity) {
            self.stop(run, StopReason::Drained, round);
        }
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
        let tiers = self.tier_order(round.now, step);
        let passes = |timely_only| match &tiers {
            Some(tiers) => tiers.passes(step.spec.gang, timely_only),
            None => vec![TierRanks::default()],
        };
        if let Some(tiers) = tiers.as_ref().filter(|tiers| tiers.divides(step)) {
            let placed = place(round.now, step, &round.capacity, &passes(true));
            if placed.len() == step.waiting.len() {
                start(step, &placed, round);
                return true;
            }
            let anywhere = place(round.now, step, &round.capacity, &passes(false));
            if anywhere.len() == step.waiting.len() {
                let within = Some(preemption_gain(step));
                let Some(plan) = self.plan_preemption(step, round, Some(tiers), within) else {
                    start(step, &anywhere, round);
                    return true;
                };
                self.preempt(step, plan, round);
                return false;
            }
        }
        let placed = place(round.now, step, &round.capacity, &passes(false));
        let all_placed = placed.len() == step.waiting.len();
        if all_placed || !step.is_urgent() {
            let avoided = avoided_by(round.now, step, &placed, &round.capacity, &passes(false));
            round.decisions.contention.avoided.extend(avoided);
            start(step, &placed, round);
            return all_placed;
        }
        let mut plan = self.plan_preemption(step, round, tiers.as_ref(), None);
        if plan.is_none() && step.is_covered() {
            let Round { covered, capacity, .. } = round;
            if self.holds.release_where(|step| !covered.contains(&step.job), capacity) {
                plan = self.plan_preemption(step, round, tiers.as_ref(), None);
            }
        }
        let Some(plan) = plan else {
            start(step, &placed, round);
            return false;
        };
        self.preempt(step, plan, round);
        false
    }

    /// Stops the victims of a plan and holds their resources for the step.
    fn preempt(&mut self, step: &ReadyStep<'_>, plan: PreemptionPlan, round: &mut Round<'_>) {
        for row in plan.stops {
            let run = round.runs.rows()[row].run_ref();
            self.stop_for(run, StopReason::Preempted, Some(step.id.clone()), round);
            round.runs.record_stop(round.now, row);
        }
        let until = round.now.after(self.bounds.hold_timeout());
        self.holds.add(until, step, plan.placements, &mut round.capacity);
    }

    /// Reserves draining upstreams for a gang that could not be placed.
    fn reserve_for_gang(&self, step: &ReadyStep<'_>, round: &mut Round<'_>) {
        if step.spec.gang && !step.is_urgent() && !step.is_overdue() {
            reserve(step, &mut round.drains, &self.speeds, &mut round.capacity);
        }
    }

    fn plan_preemption(
        &self,
        step: &ReadyStep<'_>,
        round: &Round<'_>,
        tiers: Option<&TierOrder>,
        timely_within: Option<u64>,
    ) -> Option<PreemptionPlan> {
        let Round { now, runs, covered, capacity, .. } = round;
        let (now, bounds) = (*now, &self.bounds);
        let shares = round.shares.as_ref();
        let cx = PreemptionContext { now, runs, covered, bounds, tiers, timely_within, shares };
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
        round.capacity.record_start(upstream, step);
        round.decisions.starts.push(RunStart {
            task: TaskId { step: step.id.clone(), index: *index },
            run: step.next_run(*index),
            upstream: upstream.clone(),
            incarnation: report.incarnation,
        });
    }
}
