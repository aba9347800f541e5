//! What the leader reports about the lasting speeds of hosts: log lines, metrics, and the command
//! that keeps the estimates for later leaders.

use hg_ledger::{WorkflowCommand, WorkflowLedger};
use hg_model::Time;
use hg_policy::WorkflowDecisions;
use slog::{Logger, info};

use super::WorkflowLeadership;
use super::telemetry;

impl WorkflowLeadership {
    /// Reports what a round of decisions has shown and used. Returns the command with the changed
    /// estimates, if there are any; if it is lost, the next evidence about a host brings it again.
    pub(super) fn record_host_speeds(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        decisions: &WorkflowDecisions,
        log: &Logger,
    ) -> Option<WorkflowCommand> {
        for start in &decisions.starts {
            let Some(class) = self.scheduler.speed_class(ledger, &start.upstream) else { break };
            let job = ledger.job(&start.task.step.job);
            let is_urgent = job.is_some_and(|job| job.terms.priority == 0);
            telemetry::record_placement_by_speed(class, is_urgent);
        }
        let changes = self.scheduler.take_speed_changes();
        if !changes.is_empty() {
            for (class, count) in self.scheduler.hosts_by_speed() {
                telemetry::record_hosts_by_speed(class, count);
            }
        }
        for change in changes {
            info!(log, "workflow: class of host changed"; "event" => "host.speed",
                "host" => %change.host, "pool" => %change.pool, "class" => %change.class,
                "factor" => change.factor, "deviation" => change.deviation,
                "in_effect" => change.in_effect);
        }
        let changed = self.scheduler.take_host_speeds(now, ledger);
        (!changed.is_empty()).then_some(WorkflowCommand::HostSpeeds { changed, at: now })
    }
}
