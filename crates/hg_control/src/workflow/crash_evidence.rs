//! What is known of an incarnation that ended without notice.
//!
//! An upstream that leaves says so first, and one whose host goes down for upkeep or to another pool was ordered to. Every
//! other end is a crash, whatever its cause: a task, the host, a loss of power.

use hg_ledger::{Command, ExposedRun, UpkeepStage, WorkflowCommand, WorkflowLedger};
use hg_model::{HostName, Incarnation, TaskId, Time, UpstreamName, UpstreamReport};
use hg_replica::Disk;
use slog::warn;

use super::session::{Session, StartStage};
use super::telemetry;
use crate::Core;
use crate::core::Purpose;

/// The end of an incarnation that had not announced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CrashEvidence {
    pub(crate) upstream: UpstreamName,
    pub(crate) incarnation: Incarnation,
    /// Since when it gave no sign of life; `None` if there was none in this term.
    pub(crate) silent_since: Option<Time>,
    /// The runs that it may have had.
    pub(crate) runs: Vec<ExposedRun>,
}

impl Session {
    /// The runs that the upstream may have, as far as its orders and listings tell.
    pub(super) fn exposed_runs(
        &self,
        name: &UpstreamName,
        ledger: &WorkflowLedger,
    ) -> Vec<ExposedRun> {
        let exposed = self.runs.iter().filter(|(_, run)| run.may_exist());
        let exposed = exposed.filter_map(|(task, run)| {
            let open = ledger.occupancy().get(name, task).filter(|open| open.run == run.run)?;
            // A run of an earlier incarnation ended with that one.
            let is_own = open.incarnation == self.incarnation && !run.is_elsewhere;
            let is_confirmed = run.start == StartStage::Confirmed && !run.outcome_unknown;
            let (task, run, since) = (task.clone(), run.run, open.since);
            is_own.then_some(ExposedRun { task, run, since, is_confirmed })
        });
        exposed.collect()
    }

    /// The command that records runs which are about to be recorded as lost although the upstream has not reported their
    /// end: it may have crashed. `None` if it has none of them.
    pub(super) fn silenced(
        &self,
        now: Time,
        name: &UpstreamName,
        ledger: &WorkflowLedger,
        is_lost: impl Fn(&TaskId) -> bool,
    ) -> Option<WorkflowCommand> {
        let mut runs = self.exposed_runs(name, ledger);
        runs.retain(|run| is_lost(&run.task));
        let (name, incarnation) = (name.clone(), self.incarnation);
        let (has_runs, silent_since, at) = (!runs.is_empty(), self.silent_since(), now);
        let command =
            WorkflowCommand::UpstreamSilenced { name, incarnation, silent_since, runs, at };
        has_runs.then_some(command)
    }
}

impl<D: Disk> Core<D> {
    /// Handles the end of a registered incarnation, of which another one on its address or under its name is the
    /// proof.
    pub(super) fn on_incarnation_ended(&mut self, now: Time, known: &UpstreamReport) {
        let Some(crash) = self.crash_evidence(known) else { return };
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        if leadership.sessions.record_crash(now, &crash.upstream, crash.incarnation) {
            self.log_crash(now, &crash);
            let CrashEvidence { upstream: name, incarnation, silent_since, runs } = crash;
            let command =
                WorkflowCommand::UpstreamCrashed { name, incarnation, silent_since, runs, at: now };
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }

    /// Handles an upstream that is not registered: runs that its earlier incarnation had when it fell silent ended with
    /// that.
    pub(super) fn on_return(&mut self, now: Time, name: &UpstreamName, incarnation: Incarnation) {
        let silenced = self.ledger.workflows().crashes().silenced_incarnation(name);
        let Some(earlier) = silenced.filter(|earlier| *earlier < incarnation) else { return };
        let command = WorkflowCommand::UpstreamCrashed {
            name: name.clone(),
            incarnation: earlier,
            silent_since: None,
            runs: Vec::new(),
            at: now,
        };
        self.propose(now, Command::Workflow(command), Purpose::Kept);
    }

    /// Fails the workflow of a task that crashes its upstreams.
    pub(super) fn give_up_task(&mut self, now: Time, task: TaskId) {
        let crashes = self.ledger.workflows().crashes().of(&task);
        let upstreams: Vec<_> = crashes.iter().map(|c| c.upstream.to_string()).collect();
        warn!(self.log, "workflow: giving up task, it crashes its upstreams";
            "event" => "task.given_up", "task" => %task, "upstreams" => upstreams.join(" "));
        telemetry::record_given_up();
        if let Some(leadership) = self.workflow_leadership.as_mut() {
            leadership.await_decision();
        }
        let command = Command::Workflow(WorkflowCommand::GiveUp { task, at: now });
        self.propose(now, command, Purpose::WorkflowDecided);
    }

    /// What is known of the end of a registered incarnation; `None` if its end was planned.
    fn crash_evidence(&self, known: &UpstreamReport) -> Option<CrashEvidence> {
        let leadership = self.workflow_leadership.as_ref()?;
        let ledger = self.ledger.workflows();
        let is_planned = known.leaving
            || known.host.as_ref().is_some_and(|host| {
                leadership.platform_calls.moving().contains_key(host) || is_in_upkeep(ledger, host)
            });
        if is_planned {
            return None;
        }
        let session = leadership.sessions.get(&known.name, known.incarnation)?;
        Some(CrashEvidence {
            upstream: known.name.clone(),
            incarnation: known.incarnation,
            silent_since: session.silent_since(),
            runs: session.exposed_runs(&known.name, ledger),
        })
    }

    /// Logs and counts the crash of an upstream.
    fn log_crash(&self, now: Time, crash: &CrashEvidence) {
        telemetry::record_crash();
        let silent_since = crash.silent_since.unwrap_or(now);
        let runs = crash.runs.iter().map(|run| {
            let doubt = if run.is_confirmed { "" } else { "?" };
            let age = silent_since.since(run.since).as_millis();
            format!("{}:{}{doubt}@{age}ms", run.task, run.run)
        });
        warn!(self.log, "workflow: upstream crashed"; "event" => "upstream.crashed",
            "upstream" => %crash.upstream, "incarnation" => crash.incarnation.0,
            "silent_ms" => crash.silent_since.map(|since| now.since(since).as_millis()),
            "runs" => runs.collect::<Vec<_>>().join(" "));
    }
}

/// Whether a running wave has ordered the upkeep of a host.
fn is_in_upkeep(ledger: &WorkflowLedger, host: &HostName) -> bool {
    let is_ordered = |stage: &UpkeepStage| *stage != UpkeepStage::Waiting;
    ledger.waves().running().any(|wave| wave.hosts.get(host).is_some_and(is_ordered))
}
