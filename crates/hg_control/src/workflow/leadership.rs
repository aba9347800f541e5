//! The leader's periodic rounds over workflows.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hg_ledger::{Command, WorkflowCommand, WorkflowEffect};
use hg_model::{EndKind, Term, Time};
use hg_policy::{
    AccountShare, HostMove, RunStop, WaitingStep, WorkflowBounds, WorkflowPolicies,
    WorkflowScheduler,
};
use hg_replica::Disk;
use slog::{Logger, debug, info, warn};

use super::account_shares;
use super::broken_gangs::BrokenGangs;
use super::drains::DrainWatch;
use super::platform_calls::PlatformCalls;
use super::run_loss::RunLoss;
use super::sessions::{Sessions, Work};
use super::telemetry;
use super::{OrderReport, OrderResult, StartRefusal};
use crate::Core;
use crate::core::Purpose;

/// How often the scheduler decides although nothing changed, since due times and timeouts are reached.
const DECIDE_EVERY: Duration = Duration::from_millis(100);
/// The time from the beginning of one round to the next, as a multiple of the time that the first took.
const ROUND_PAUSE_FACTOR: u32 = 4;
/// Upper bound of that time.
const ROUND_PAUSE_MAX: Duration = Duration::from_millis(400);
/// How often ended workflows and unconfirmed ends are cleaned up.
const CLEAN_UP_EVERY: Duration = Duration::from_secs(2);

/// The leader's state about workflows that is not replicated; it lasts for one leadership term.
#[derive(Debug)]
pub(crate) struct WorkflowLeadership {
    pub(crate) sessions: Sessions,
    pub(crate) scheduler: WorkflowScheduler,
    pub(crate) platform_calls: PlatformCalls,
    pub(super) drains: DrainWatch,
    broken_gangs: BrokenGangs,
    /// Number of proposed commands with decisions that are not applied yet.
    pending_decisions: usize,
    /// Whether something changed since the last round.
    pub(super) changed: bool,
    decided_at: Time,
    /// No round of decisions begins before, so that rounds leave time for everything else.
    next_round_at: Time,
    cleaned_up_at: Time,
}

impl WorkflowLeadership {
    pub(crate) fn new(
        now: Time,
        term: Term,
        sessions: Sessions,
        bounds: WorkflowBounds,
        policies: WorkflowPolicies,
    ) -> Self {
        let first_host_order_at = now.after(bounds.first_host_order_after());
        Self {
            sessions,
            scheduler: WorkflowScheduler::new(bounds).with_policies(policies),
            platform_calls: PlatformCalls::new(first_host_order_at, term),
            drains: DrainWatch::new(now),
            broken_gangs: BrokenGangs::default(),
            pending_decisions: 0,
            changed: true,
            decided_at: Time(0),
            next_round_at: Time(0),
            cleaned_up_at: now,
        }
    }
}

impl WorkflowLeadership {
    /// Takes no further decisions until a proposed one is applied.
    pub(super) const fn await_decision(&mut self) {
        self.pending_decisions += 1;
    }
}

impl<D: Disk> Core<D> {
    pub(crate) fn start_workflow_leadership(&self, now: Time, term: Term) -> WorkflowLeadership {
        let bounds = self.cfg.workflows;
        let sessions = Sessions::new(now, term, bounds, self.ledger.workflows());
        WorkflowLeadership::new(now, term, sessions, bounds, self.cfg.policies.clone())
    }

    /// How many upstreams get no new work now; 0 unless this replica leads.
    pub(crate) fn excluded_count(&self, now: Time) -> usize {
        self.workflow_leadership.as_ref().map_or(0, |leadership| {
            leadership.sessions.fleet(now, self.ledger.workflows()).excluded.len()
        })
    }

    /// The shares of the client accounts as of the last round; empty unless this replica leads and there is a
    /// fair order.
    pub(crate) fn account_shares(&self) -> &[AccountShare] {
        self.workflow_leadership.as_ref().map_or(&[], |l| l.scheduler.account_shares())
    }

    /// One round: sends due orders and calls, then takes new decisions and cleans up.
    pub(crate) fn advance_workflows(&mut self, now: Time) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        let mut work = Work::default();
        let ledger = self.ledger.workflows();
        let presumed_ended = leadership.broken_gangs.presumed_ended(ledger);
        leadership.sessions.give_up_ended(now, ledger, &presumed_ended, &mut work);
        leadership.sessions.advance(now, ledger, leadership.scheduler.tickets(), &mut work);
        self.actions.platform_calls.extend(leadership.platform_calls.advance(now, ledger));
        self.carry_out_work(now, work);
        self.send_drain_replies(now);
        self.decide_workflows(now);
        self.replicate_run_times(now);
        self.clean_up_workflows(now);
    }

    /// Applies the result of an order.
    pub(crate) fn on_order_report(&mut self, now: Time, report: OrderReport) {
        self.log_order_report(&report);
        telemetry::record_result(&report.result);
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        if let OrderResult::Listed(listing) = &report.result {
            let ledger = self.ledger.workflows();
            for change in
                leadership.scheduler.record_listing(now, ledger, &report.upstream, listing)
            {
                debug!(self.log, "workflow: changing pace of run"; "event" => "run.pace",
                    "task" => %change.run.task, "upstream" => %change.run.upstream,
                    "percent" => change.percent);
                leadership.sessions.pace_run(change);
            }
        }
        if matches!(report.result, OrderResult::NotStarted(StartRefusal::Ticket)) {
            leadership.scheduler.record_ticket_refused(&report.upstream);
        }
        let mut work = Work::default();
        leadership.sessions.on_report(now, report, &mut work);
        for task in std::mem::take(&mut work.unconfirmed_paces) {
            leadership.scheduler.record_pace_unknown(&task);
        }
        leadership.changed = true;
        self.carry_out_work(now, work);
    }

    pub(crate) fn carry_out_work(&mut self, now: Time, work: Work) {
        telemetry::record_orders(&work.orders);
        self.actions.orders.extend(work.orders);
        for RunLoss { run, cause } in &work.losses {
            info!(self.log, "workflow: run given up"; "event" => "run.given_up",
                "task" => %run.task, "run" => run.run.0, "upstream" => %run.upstream,
                "cause" => %cause);
        }
        for departure in work.departures {
            self.on_departure(now, &departure);
        }
        for command in work.commands {
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }

    /// Records how long the step that began at `now` took. If it held a round of decisions, the next round waits
    /// for a multiple of that: what happens meanwhile is decided on together, and rounds that grow with the fleet
    /// cannot take the time that leases, acknowledgements and reports need.
    pub fn record_step_time(&mut self, now: Time, took: Duration) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        if leadership.decided_at == now {
            leadership.next_round_at = now.after((took * ROUND_PAUSE_FACTOR).min(ROUND_PAUSE_MAX));
        }
    }

    fn decide_workflows(&mut self, now: Time) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        let due = leadership.changed || now >= leadership.decided_at.after(DECIDE_EVERY);
        if !due || leadership.pending_decisions > 0 || now < leadership.next_round_at {
            return;
        }
        leadership.changed = false;
        leadership.decided_at = now;
        let ledger = self.ledger.workflows();
        let mut fleet = leadership.sessions.fleet(now, ledger);
        let quarantined =
            ledger.upstreams().keys().filter(|name| leadership.scheduler.is_quarantined(now, name));
        fleet.excluded.extend(quarantined.cloned());
        fleet.drained = leadership.drains.bounds(now, ledger, self.cfg.drain);
        fleet.cold = leadership.sessions.cold(now, ledger);
        fleet.hosts = leadership.platform_calls.hosts.clone();
        fleet.moving = leadership.platform_calls.moving();
        fleet.is_advice_busy = leadership.platform_calls.is_advice_busy(now);
        let started = Instant::now();
        let decisions = leadership.scheduler.decide(now, ledger, &fleet);
        let took = started.elapsed();
        telemetry::record_round(took);
        if took >= self.cfg.timing.lease / 2 {
            warn!(self.log, "workflow: slow round of decisions"; "event" => "round.slow",
                "took_ms" => millis(took), "ready_steps" => decisions.ready_steps,
                "jobs" => ledger.jobs().len(),
                "starts" => decisions.starts.len());
        }
        telemetry::record_starts(decisions.starts.len());
        telemetry::record_forecast(&leadership.scheduler);
        let jobs: BTreeSet<_> = decisions.starts.iter().map(|start| &start.task.step.job).collect();
        for job in jobs {
            telemetry::record_first_start(now, ledger, job);
        }
        let host_speeds = leadership.record_host_speeds(now, ledger, &decisions, &self.log);
        for RunStop { run, reason, preempted_for } in &decisions.stops {
            info!(self.log, "workflow: stopping run"; "event" => "run.stop", "task" => %run.task,
                "run" => run.run.0, "upstream" => %run.upstream, "reason" => %reason,
                "for_step" => preempted_for.as_ref().map(ToString::to_string));
            telemetry::record_stop(*reason);
            leadership.sessions.stop_run(run);
        }
        account_shares::log_beyond(&self.log, &decisions.beyond_share);
        log_waiting(&self.log, now, &decisions.waiting);
        if let Some(request) = decisions.advice_request {
            leadership.scheduler.record_advice_request(now, &request);
            let call = leadership.platform_calls.request_advice(now, request);
            self.actions.platform_calls.push(call);
        }
        for HostMove { host, pool } in &decisions.moves {
            info!(self.log, "workflow: moving host"; "event" => "host.move", "host" => %host,
                "pool" => %pool);
        }
        leadership.platform_calls.order_moves(now, decisions.moves, ledger);
        let upkeeps = PlatformCalls::order_upkeeps(decisions.upkeeps);
        for task in decisions.given_up {
            self.give_up_task(now, task);
        }
        self.report_drains(now);
        self.report_contention(now, decisions.contention);
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        if !decisions.starts.is_empty() {
            leadership.await_decision();
            let command = WorkflowCommand::Start { starts: decisions.starts, at: now };
            self.propose(now, Command::Workflow(command), Purpose::WorkflowDecided);
        }
        for command in upkeeps.into_iter().chain(host_speeds) {
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
        if let Some(usage) = decisions.usage {
            let command = Command::Workflow(WorkflowCommand::RecordUsage(usage));
            self.propose(now, command, Purpose::Kept);
        }
    }

    /// Handles a proposed decision that was applied, or that never will be.
    pub(crate) fn on_decision_settled(&mut self) {
        if let Some(leadership) = self.workflow_leadership.as_mut() {
            leadership.pending_decisions = leadership.pending_decisions.saturating_sub(1);
            leadership.changed = true;
        }
    }

    fn clean_up_workflows(&mut self, now: Time) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        if now < leadership.cleaned_up_at.after(CLEAN_UP_EVERY) {
            return;
        }
        leadership.cleaned_up_at = now;
        let mut work = Work::default();
        leadership.sessions.forget_unconfirmed_ends(now, self.ledger.workflows(), &mut work);
        self.carry_out_work(now, work);
        let retained = self.cfg.workflows.retain_ended().as_millis();
        let before = Time(now.0.saturating_sub(u64::try_from(retained).unwrap_or(u64::MAX)));
        if self.ledger.workflows().oldest_end_time().is_some_and(|at| at < before) {
            let command = Command::Workflow(WorkflowCommand::Forget { before });
            self.propose(now, command, Purpose::Kept);
        }
    }

    /// Updates the leader's state after a change of the replicated state.
    pub(crate) fn apply_workflow_effect(&mut self, now: Time, effect: &WorkflowEffect) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        let ledger = self.ledger.workflows();
        leadership.changed = true;
        match effect {
            WorkflowEffect::RunOpened(run) => {
                leadership.sessions.open_run(run);
                leadership.scheduler.record_run_opened(ledger, run);
            }
            WorkflowEffect::RunClosed(run) => {
                leadership.sessions.close_run(run);
                leadership.broken_gangs.record_run_closed(run);
                leadership.scheduler.record_run_closed(run);
            }
            WorkflowEffect::Registered(name) => {
                if let Some(report) = ledger.upstreams().get(name) {
                    leadership.sessions.record_registered(now, report, ledger);
                }
            }
            WorkflowEffect::Deregistered(name) => leadership.sessions.close(name),
            WorkflowEffect::Ended(job) => {
                telemetry::record_ended(ledger.state(job));
                info!(self.log, "workflow: ended"; "event" => "workflow.ended", "job" => %job,
                    "state" => ledger.state(job).map(|state| state.to_string()));
            }
            WorkflowEffect::Ending(_)
            | WorkflowEffect::Accepted(_)
            | WorkflowEffect::Catalog
            | WorkflowEffect::Wave(_) => {}
            WorkflowEffect::Drain(data_centre) => self.on_drain_changed(data_centre),
        }
    }

    /// Updates metrics and the leader's state after a command was applied, in addition to its effects.
    pub(crate) fn apply_workflow_command(&mut self, now: Time, command: &WorkflowCommand) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        let ledger = self.ledger.workflows();
        if let WorkflowCommand::RunsLost { runs, .. } = command {
            telemetry::record_lost(runs.len());
        }
        if let WorkflowCommand::Upkeep { stage, .. } = command {
            telemetry::record_upkeep(*stage);
        }
        if let WorkflowCommand::Accept { terms, .. } = command {
            telemetry::record_accepted(terms.priority == 0);
        }
        if let WorkflowCommand::RunsEnded { upstream, incarnation, ends, at } = command {
            for end in ends {
                telemetry::record_end(end.kind);
                if end.kind == EndKind::Done {
                    leadership.scheduler.record_completed(*at, ledger, upstream, end);
                }
                leadership.scheduler.record_end(now, upstream, &end.task.step.job, end.kind);
                leadership.broken_gangs.record_end(end);
            }
            let upto = ends.last().map_or(0, |end| end.number);
            leadership.sessions.record_ends(now, upstream, *incarnation, upto);
        }
    }
}

/// Writes one line for each step that has waited for long.
fn log_waiting(log: &Logger, now: Time, waiting: &[WaitingStep]) {
    for WaitingStep { step, pool, tasks, due, able, with_room, tickets } in waiting {
        info!(log, "workflow: step waits"; "event" => "step.waiting", "step" => %step,
            "pool" => %pool, "tasks" => tasks, "due_for_ms" => millis(now.since(*due)),
            "able" => able, "with_room" => with_room, "tickets" => tickets);
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
