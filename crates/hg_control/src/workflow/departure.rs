//! Upstreams that the leader deregisters, and why.

use derive_more::Display;
use hg_ledger::{Command, WorkflowCommand};
use hg_model::{HostName, Incarnation, Time, UpstreamName};
use hg_replica::Disk;
use slog::info;

use crate::Core;
use crate::core::Purpose;

/// Why an upstream is deregistered.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum DepartureCause {
    /// It asked to leave.
    #[display("left")]
    Left,
    /// An order to it was answered under another name.
    #[display("another upstream answered")]
    OtherAnswered,
    /// A later upstream has listed its runs at the same address.
    #[display("{_0} answered at its address")]
    Replaced(UpstreamName),
    /// Its host was taken down, for upkeep or to move to another pool.
    #[display("host {_0} is down")]
    HostDown(HostName),
    /// It was silent for long and runs nothing.
    #[display("silent")]
    Silent,
}

/// An incarnation that is to be deregistered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Departure {
    /// The upstream.
    pub(crate) upstream: UpstreamName,
    /// Its incarnation.
    pub(crate) incarnation: Incarnation,
    /// Why.
    pub(crate) cause: DepartureCause,
}

impl<D: Disk> Core<D> {
    /// Proposes to deregister an upstream, and records its crash if that is how it ended.
    pub(super) fn on_departure(&mut self, now: Time, departure: &Departure) {
        let Departure { upstream, incarnation, cause } = departure;
        if matches!(cause, DepartureCause::OtherAnswered | DepartureCause::Replaced(_)) {
            let known = self.ledger.workflows().upstreams().get(upstream);
            if let Some(known) = known.filter(|k| k.incarnation == *incarnation).cloned() {
                self.on_incarnation_ended(now, &known);
            }
        }
        if let Some(command) = self.deregistration(now, departure) {
            self.propose(now, Command::Workflow(command), Purpose::Kept);
        }
    }

    /// The command that records a departure, which is logged; `None` if this replica does not lead.
    pub(super) fn deregistration(
        &self,
        now: Time,
        departure: &Departure,
    ) -> Option<WorkflowCommand> {
        let leadership = self.workflow_leadership.as_ref()?;
        let Departure { upstream, incarnation, cause } = departure;
        info!(self.log, "workflow: deregistering upstream"; "event" => "upstream.departing",
            "upstream" => %upstream, "incarnation" => incarnation.0, "cause" => %cause);
        Some(leadership.sessions.deregistration(now, upstream, *incarnation))
    }
}
