//! Log lines about workflows: one for each command that took effect and each order that failed.

use hg_ledger::WorkflowCommand;
use hg_model::{StepSpec, WorkflowSpec};
use hg_replica::Disk;
use slog::{debug, info, warn};

use super::{OrderReport, OrderResult};
use crate::Core;

impl<D: Disk> Core<D> {
    pub(super) fn log_order_report(&self, report: &OrderReport) {
        use OrderResult::{Fenced, NotStarted, OtherIncarnation, Unanswered, Unsent, Withdrawn};
        if let Fenced | Unsent(_) | NotStarted(_) | OtherIncarnation | Unanswered(_) | Withdrawn =
            &report.result
        {
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
                    "steps" => spec.steps.len(), "chain_ms" => spec.estimated_chain_ms(),
                    "objective_ms" => terms.latency_objective_ms(spec),
                    "stretch_milli" => terms.stretch_milli, "objective_base_ms" => terms.objective_ms,
                    "after" => dependencies(spec));
            }
            WorkflowCommand::Cancel { id, .. } => {
                info!(self.log, "workflow: cancelled"; "event" => "workflow.cancelled", "job" => %id);
            }
            WorkflowCommand::CancelUnknown { id, account, .. } => {
                info!(self.log, "workflow: cancelled before it was submitted";
                    "event" => "workflow.cancelled_unknown", "job" => %id,
                    "account" => account.as_ref().map(ToString::to_string),
                    "tombstones" => self.ledger.workflows().tombstones().count());
            }
            WorkflowCommand::Start { starts, .. } => {
                for start in starts {
                    info!(self.log, "workflow: run placed"; "event" => "run.placed",
                        "task" => %start.task, "run" => start.run.0, "upstream" => %start.upstream);
                }
            }
            WorkflowCommand::RunsEnded { upstream, ends, .. } => {
                for end in ends {
                    info!(self.log, "workflow: run ended"; "event" => "run.ended",
                        "task" => %end.task, "run" => end.run.0, "upstream" => %upstream,
                        "kind" => ?end.kind);
                }
            }
            WorkflowCommand::RunsLost { runs, .. } => {
                for run in runs {
                    warn!(self.log, "workflow: run lost"; "event" => "run.lost", "task" => %run.task,
                        "run" => run.run.0, "upstream" => %run.upstream);
                }
            }
            WorkflowCommand::ForgetUnconfirmedEnd { step } => {
                info!(self.log, "workflow: unconfirmed end forgotten"; "event" => "end.unheard",
                    "step" => %step);
            }
            WorkflowCommand::Register(report) => {
                info!(self.log, "workflow: upstream registered"; "event" => "upstream.registered",
                    "upstream" => %report.name, "incarnation" => report.incarnation.0,
                    "rack" => %report.rack, "leaving" => report.leaving,
                    "accelerators" => report.capacity.accelerators,
                    "millicores" => report.capacity.millicores,
                    "memory_mib" => report.capacity.memory_mib);
            }
            WorkflowCommand::Deregister { name, incarnation, .. } => {
                info!(self.log, "workflow: upstream gone"; "event" => "upstream.gone",
                    "upstream" => %name, "incarnation" => incarnation.0);
            }
            WorkflowCommand::StartWave { spec, .. } => {
                info!(self.log, "workflow: wave started"; "event" => "wave.started",
                    "wave" => %spec.number, "hosts" => spec.hosts.len(),
                    "deadline_ms" => spec.deadline_ms, "down_max" => spec.down_max);
            }
            WorkflowCommand::Upkeep { wave, host, stage } => {
                info!(self.log, "workflow: upkeep"; "event" => "host.upkeep", "wave" => %wave,
                    "host" => %host, "stage" => ?stage);
            }
            WorkflowCommand::UpstreamSilenced { name, incarnation, runs, .. } => {
                warn!(self.log, "workflow: leases expired on a silent upstream";
                    "event" => "upstream.silenced", "upstream" => %name,
                    "incarnation" => incarnation.0, "runs" => runs.len());
            }
            WorkflowCommand::HostSpeeds { changed, .. } => {
                debug!(self.log, "workflow: speeds of hosts recorded"; "event" => "host.speeds",
                    "hosts" => changed.len());
            }
            // The effect is logged, if there is one.
            WorkflowCommand::StartDrain { .. } | WorkflowCommand::EndDrain { .. } => {}
            WorkflowCommand::RunTimesLearned { changes, .. } => self.log_run_times(changes),
            WorkflowCommand::Forget { .. } | WorkflowCommand::RecordUsage(_) => {}
            WorkflowCommand::UpstreamCrashed { .. }
            | WorkflowCommand::GiveUp { .. }
            | WorkflowCommand::RecordContention { .. } => {}
        }
    }
}

/// The numbers of the steps that each step follows: separated by commas, and by semicolons between steps.
fn dependencies(spec: &WorkflowSpec) -> String {
    let of_step =
        |step: &StepSpec| step.after.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    spec.steps.iter().map(of_step).collect::<Vec<_>>().join(";")
}
