//! The leader's rounds over workflows.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hg_ledger::{Command, WorkflowCommand, WorkflowEffect};
use hg_model::{HostName, Term, Time};
use hg_policy::{HostMove, RunStop, WorkflowScheduler};
use hg_replica::Disk;
use slog::{debug, info, warn};

use super::broken_gangs::BrokenGangs;
use super::duties::{Duties, hosts_taken_down};
use super::sessions::{Sessions, Work};
use super::telemetry;
use super::{DutyReport, HostOrderResult, OrderReport, OrderResult, StartRefusal};
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
    changed: bool,
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
        self.workflows.as_ref().map_or(0, |lead| lead.sessions.fleet(now).shunned.len())
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
            for change in lead.scheduler.note_listing(now, ledger, &report.upstream, listing) {
                debug!(self.log, "workflow: paces run"; "event" => "run.pace",
                    "task" => %change.run.task, "upstream" => %change.run.upstream,
                    "percent" => change.percent);
                lead.sessions.pace_run(change);
            }
        }
        if matches!(report.result, OrderResult::NotStarted(StartRefusal::Ticket)) {
            lead.scheduler.note_ticket_refused(&report.upstream);
        }
        let mut work = Work::default();
        lead.sessions.on_report(now, report, &mut work);
        for task in std::mem::take(&mut work.unsure_paces) {
            lead.scheduler.note_pace_unsure(&task);
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
        let aside = ledger.upstreams().keys().filter(|name| lead.scheduler.is_aside(now, name));
        fleet.shunned.extend(aside.cloned());
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
        self.actions.duties.extend(lead.duties.ask(now, decisions.ask));
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

    /// Takes in what came of a call to the platform.
    pub(crate) fn on_duty_report(&mut self, now: Time, report: DutyReport) {
        let Some(lead) = self.workflows.as_mut() else { return };
        let ledger = self.ledger.workflows();
        lead.changed = true;
        let mut commands = Vec::new();
        let mut down = BTreeSet::new();
        match report {
            DutyReport::Host(order, result) => {
                info!(self.log, "workflow: host ordered"; "event" => "host.ordered",
                    "host" => %order.host, "kind" => ?order.kind, "result" => ?result);
                commands.extend(lead.duties.note_order(&order, &result));
                if result == HostOrderResult::Done {
                    down.insert(order.host);
                }
            }
            DutyReport::Hosts(listed) => {
                if let Err(cause) = &listed {
                    warn!(self.log, "workflow: hosts not listed"; "event" => "hosts.unlisted",
                        "cause" => cause);
                }
                commands = lead.duties.note_hosts(now, listed, ledger);
                down = hosts_taken_down(&commands);
            }
            DutyReport::Advice(ask, answer) => {
                telemetry::note_advice(answer.is_ok());
                let asked_at = lead.duties.note_asked(now, answer.is_ok()).unwrap_or(now);
                match answer {
                    Ok(advice) => {
                        info!(self.log, "workflow: advised"; "event" => "advice.given",
                            "step" => %ask.step, "asked" => ask.upstreams.len(),
                            "allowed" => advice.allowed.len(), "valid_ms" => advice.valid_ms);
                        let until = asked_at.after(Duration::from_millis(advice.valid_ms));
                        lead.scheduler.note_advice(ledger, &ask, &advice.allowed, until);
                    }
                    Err(cause) => {
                        warn!(self.log, "workflow: not advised"; "event" => "advice.failed",
                            "step" => %ask.step, "cause" => cause);
                    }
                }
            }
        }
        self.note_hosts_down(now, &down);
        for command in commands {
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }

    /// The upstreams on hosts that went down are gone; their successors are other lives.
    fn note_hosts_down(&mut self, now: Time, down: &BTreeSet<HostName>) {
        let Some(lead) = self.workflows.as_ref() else { return };
        let upstreams = self.ledger.workflows().upstreams().values();
        let gone = upstreams.filter(|u| u.host.as_ref().is_some_and(|host| down.contains(host)));
        let departures: Vec<WorkflowCommand> =
            gone.map(|u| lead.sessions.departure(now, &u.name, u.incarnation)).collect();
        for command in departures {
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
                lead.scheduler.note_closed(run);
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
        if let WorkflowCommand::Lose { runs, .. } = command {
            telemetry::note_lost(runs.len());
        }
        if let WorkflowCommand::Upkeep { stage, .. } = command {
            telemetry::note_upkeep(*stage);
        }
        if let WorkflowCommand::Accept { terms, .. } = command {
            telemetry::note_accepted(terms.priority == 0);
        }
        if let WorkflowCommand::Ends { upstream, incarnation, ends, .. } = command {
            for end in ends {
                telemetry::note_end(end.kind);
                lead.scheduler.note_end(now, upstream, &end.task.step.job, end.kind);
                lead.broken_gangs.note_end(end);
            }
            let upto = ends.last().map_or(0, |end| end.number);
            lead.sessions.note_ends(now, upstream, *incarnation, upto);
        }
    }

    fn log_order_report(&self, report: &OrderReport) {
        use OrderResult::{Fenced, NotStarted, OtherIncarnation, Unanswered};
        if let Fenced | NotStarted(_) | OtherIncarnation | Unanswered(_) = &report.result {
            warn!(self.log, "workflow: order not carried out"; "event" => "order.failed",
                "order" => report.id.0, "upstream" => %report.upstream,
                "result" => ?report.result);
        }
    }

    /// One line for each command about workflows that took effect.
    pub(crate) fn log_workflow_command(&self, command: &WorkflowCommand) {
        match command {
            WorkflowCommand::PutCatalog(catalog) => {
                info!(self.log, "workflow: catalog"; "event" => "catalog.put",
                    "version" => catalog.version, "queues" => catalog.queues.len(),
                    "in_force" => self.ledger.workflows().catalog().map(|c| c.version));
            }
            WorkflowCommand::Accept { id, terms, account, spec, .. } => {
                info!(self.log, "workflow: accepted"; "event" => "workflow.accepted", "job" => %id,
                    "queue" => %terms.queue, "priority" => terms.priority,
                    "account" => account.as_ref().map(ToString::to_string),
                    "steps" => spec.steps.len(), "chain_ms" => spec.estimated_chain_ms());
            }
            WorkflowCommand::Cancel { id, .. } => {
                info!(self.log, "workflow: cancelled"; "event" => "workflow.cancelled", "job" => %id);
            }
            WorkflowCommand::Start { starts, .. } => {
                for start in starts {
                    info!(self.log, "workflow: run placed"; "event" => "run.placed",
                        "task" => %start.task, "run" => start.run.0, "upstream" => %start.upstream);
                }
            }
            WorkflowCommand::Ends { upstream, ends, .. } => {
                for end in ends {
                    info!(self.log, "workflow: run ended"; "event" => "run.ended",
                        "task" => %end.task, "run" => end.run.0, "upstream" => %upstream,
                        "kind" => ?end.kind);
                }
            }
            WorkflowCommand::Lose { runs, .. } => {
                for run in runs {
                    warn!(self.log, "workflow: run lost"; "event" => "run.lost", "task" => %run.task,
                        "run" => run.run.0, "upstream" => %run.upstream);
                }
            }
            WorkflowCommand::ForgetUnheard { step } => {
                info!(self.log, "workflow: end never heard of"; "event" => "end.unheard",
                    "step" => %step);
            }
            WorkflowCommand::Register(report) => {
                info!(self.log, "workflow: upstream registered"; "event" => "upstream.registered",
                    "upstream" => %report.name, "incarnation" => report.incarnation.0,
                    "rack" => %report.rack, "leaving" => report.leaving);
            }
            WorkflowCommand::Deregister { name, incarnation, .. } => {
                info!(self.log, "workflow: upstream gone"; "event" => "upstream.gone",
                    "upstream" => %name, "incarnation" => incarnation.0);
            }
            WorkflowCommand::StartWave { spec, .. } => {
                info!(self.log, "workflow: wave taken in"; "event" => "wave.started",
                    "wave" => %spec.number, "hosts" => spec.hosts.len(),
                    "deadline_ms" => spec.deadline_ms, "down_max" => spec.down_max);
            }
            WorkflowCommand::Upkeep { wave, host, stage } => {
                info!(self.log, "workflow: upkeep"; "event" => "host.upkeep", "wave" => %wave,
                    "host" => %host, "stage" => ?stage);
            }
            WorkflowCommand::Forget { .. } => {}
        }
    }
}
