//! The leader's rounds over workflows.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hg_ledger::{Command, WorkflowCommand, WorkflowEffect};
use hg_model::{Term, Time};
use hg_policy::{HostMove, RunStop, WorkflowScheduler};
use hg_replica::Disk;
use slog::{debug, info};

use super::broken_gangs::BrokenGangs;
use super::duties::Duties;
use super::sessions::{Sessions, Work};
use super::telemetry;
use super::{OrderReport, OrderResult, StartRefusal};
use crate::Core;
use crate::core::Purpose;

/// How often decisions are taken although nothing changed: due times come and patience ends.
const DECIDE_EVERY: Duration = Duration::from_millis(100);
/// How often ended workflows are forgotten, and ends that nobody heard of.
const FORGET_EVERY: Duration = Duration::from_secs(2);
/// How long ended workflows are remembered at least.
const REMEMBER_MS: u64 = 30 * 60 * 1_000;

/// What a leader keeps about workflows besides the replicated state.
#[derive(Debug)]
pub(crate) struct WorkflowLead {
    pub(crate) sessions: Sessions,
    pub(crate) scheduler: WorkflowScheduler,
    pub(crate) duties: Duties,
    broken_gangs: BrokenGangs,
    /// Starts that are proposed and not applied yet.
    undecided: usize,
    /// Whether something changed since the last round.
    pub(super) changed: bool,
    decided_at: Time,
    forgot_at: Time,
}

impl WorkflowLead {
    pub(crate) fn new(now: Time, term: Term, sessions: Sessions) -> Self {
        Self {
            sessions,
            scheduler: WorkflowScheduler::new(),
            duties: Duties::new(now, term),
            broken_gangs: BrokenGangs::default(),
            undecided: 0,
            changed: true,
            decided_at: Time(0),
            forgot_at: now,
        }
    }
}

impl<D: Disk> Core<D> {
    pub(crate) fn start_workflow_lead(&self, now: Time, term: Term) -> WorkflowLead {
        let lease_max_ms = self.cfg.workflows.lease_max_ms;
        let sessions = Sessions::new(now, term, lease_max_ms, self.ledger.workflows());
        WorkflowLead::new(now, term, sessions)
    }

    /// How many upstreams get no new work now; 0 unless this replica leads.
    pub(crate) fn shunned_count(&self, now: Time) -> usize {
        self.workflows.as_ref().map_or(0, |lead| lead.sessions.fleet(now).excluded.len())
    }

    /// One round: what is due goes out, then new decisions are taken.
    pub(crate) fn lead_workflows(&mut self, now: Time) {
        let Some(lead) = self.workflows.as_mut() else { return };
        let mut work = Work::default();
        let ledger = self.ledger.workflows();
        let unheard = lead.broken_gangs.ended_unheard(ledger);
        lead.sessions.lose_ended(now, &unheard, &mut work);
        lead.sessions.advance(now, ledger, lead.scheduler.tickets(), &mut work);
        self.actions.duties.extend(lead.duties.advance(now, ledger));
        self.carry_out_work(now, work);
        self.decide_workflows(now);
        self.forget_workflows(now);
    }

    /// Takes in what came of an order.
    pub(crate) fn on_order_report(&mut self, now: Time, report: OrderReport) {
        self.log_order_report(&report);
        telemetry::note_result(&report.result);
        let Some(lead) = self.workflows.as_mut() else { return };
        if let OrderResult::Listed(listing) = &report.result {
            let ledger = self.ledger.workflows();
            for change in lead.scheduler.record_listing(now, ledger, &report.upstream, listing) {
                debug!(self.log, "workflow: paces run"; "event" => "run.pace",
                    "task" => %change.run.task, "upstream" => %change.run.upstream,
                    "percent" => change.percent);
                lead.sessions.pace_run(change);
            }
        }
        if matches!(report.result, OrderResult::NotStarted(StartRefusal::Ticket)) {
            lead.scheduler.record_ticket_refused(&report.upstream);
        }
        let mut work = Work::default();
        lead.sessions.on_report(now, report, &mut work);
        for task in std::mem::take(&mut work.unsure_paces) {
            lead.scheduler.record_pace_unknown(&task);
        }
        lead.changed = true;
        self.carry_out_work(now, work);
    }

    pub(crate) fn carry_out_work(&mut self, now: Time, work: Work) {
        telemetry::note_orders(&work.orders);
        self.actions.orders.extend(work.orders);
        for command in work.commands {
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }

    fn decide_workflows(&mut self, now: Time) {
        let Some(lead) = self.workflows.as_mut() else { return };
        let due = lead.changed || now >= lead.decided_at.after(DECIDE_EVERY);
        if !due || lead.undecided > 0 {
            return;
        }
        lead.changed = false;
        lead.decided_at = now;
        let ledger = self.ledger.workflows();
        let mut fleet = lead.sessions.fleet(now);
        let aside =
            ledger.upstreams().keys().filter(|name| lead.scheduler.is_quarantined(now, name));
        fleet.excluded.extend(aside.cloned());
        fleet.hosts = lead.duties.hosts.clone();
        fleet.moving = lead.duties.moving();
        let started = Instant::now();
        let decisions = lead.scheduler.decide(now, ledger, &fleet);
        telemetry::note_round(started.elapsed());
        telemetry::note_starts(decisions.starts.len());
        let jobs: BTreeSet<_> = decisions.starts.iter().map(|start| &start.task.step.job).collect();
        for job in jobs {
            telemetry::note_first_start(now, ledger, job);
        }
        for RunStop { run, reason } in &decisions.stops {
            info!(self.log, "workflow: stops run"; "event" => "run.stop", "task" => %run.task,
                "run" => run.run.0, "upstream" => %run.upstream, "reason" => %reason);
            telemetry::note_stop(*reason);
            lead.sessions.stop_run(run);
        }
        self.actions.duties.extend(lead.duties.ask(now, decisions.advice_request));
        for HostMove { host, pool } in &decisions.moves {
            info!(self.log, "workflow: moves host"; "event" => "host.move", "host" => %host,
                "pool" => %pool);
        }
        lead.duties.order_moves(decisions.moves);
        let upkeeps = lead.duties.order_upkeeps(decisions.upkeeps);
        if !decisions.starts.is_empty() {
            lead.undecided += 1;
            let command = WorkflowCommand::Start { starts: decisions.starts, at: now };
            self.propose(now, Command::Workflow(command), Purpose::WorkflowDecided);
        }
        for command in upkeeps {
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }

    /// The starts that were proposed have been applied, or never will be.
    pub(crate) fn settle_workflow_decision(&mut self) {
        if let Some(lead) = self.workflows.as_mut() {
            lead.undecided = lead.undecided.saturating_sub(1);
            lead.changed = true;
        }
    }

    fn forget_workflows(&mut self, now: Time) {
        let Some(lead) = self.workflows.as_mut() else { return };
        if now < lead.forgot_at.after(FORGET_EVERY) {
            return;
        }
        lead.forgot_at = now;
        let mut work = Work::default();
        lead.sessions.forget_unheard(now, self.ledger.workflows(), &mut work);
        self.carry_out_work(now, work);
        let before = Time(now.0.saturating_sub(REMEMBER_MS));
        if self.ledger.workflows().oldest_end().is_some_and(|at| at < before) {
            let command = Command::Workflow(WorkflowCommand::Forget { before });
            self.propose(now, command, Purpose::Kept);
        }
    }

    /// Follows a change of the record.
    pub(crate) fn follow_workflow(&mut self, now: Time, effect: &WorkflowEffect) {
        let Some(lead) = self.workflows.as_mut() else { return };
        let ledger = self.ledger.workflows();
        lead.changed = true;
        match effect {
            WorkflowEffect::Opened(run) => lead.sessions.open_run(run),
            WorkflowEffect::Closed(run) => {
                lead.sessions.close_run(run);
                lead.broken_gangs.note_closed(run);
                lead.scheduler.record_closed(run);
            }
            WorkflowEffect::Registered(name) => {
                if let Some(report) = ledger.upstreams().get(name) {
                    lead.sessions.open(now, report, ledger);
                }
            }
            WorkflowEffect::Deregistered(name) => lead.sessions.close(name),
            WorkflowEffect::Ended(job) => {
                telemetry::note_ended(ledger.state(job));
                info!(self.log, "workflow: ended"; "event" => "workflow.ended", "job" => %job,
                    "state" => ledger.state(job).map(|state| state.to_string()));
            }
            WorkflowEffect::Ending(_)
            | WorkflowEffect::Accepted(_)
            | WorkflowEffect::Catalog
            | WorkflowEffect::Wave(_) => {}
        }
    }

    /// Follows a command that was applied, beyond its effects.
    pub(crate) fn follow_workflow_command(&mut self, now: Time, command: &WorkflowCommand) {
        let Some(lead) = self.workflows.as_mut() else { return };
        if let WorkflowCommand::RunsLost { runs, .. } = command {
            telemetry::note_lost(runs.len());
        }
        if let WorkflowCommand::Upkeep { stage, .. } = command {
            telemetry::note_upkeep(*stage);
        }
        if let WorkflowCommand::Accept { terms, .. } = command {
            telemetry::note_accepted(terms.priority == 0);
        }
        if let WorkflowCommand::RunsEnded { upstream, incarnation, ends, .. } = command {
            for end in ends {
                telemetry::note_end(end.kind);
                lead.scheduler.record_end(now, upstream, &end.task.step.job, end.kind);
                lead.broken_gangs.note_end(end);
            }
            let upto = ends.last().map_or(0, |end| end.number);
            lead.sessions.note_ends(now, upstream, *incarnation, upto);
        }
    }
}
