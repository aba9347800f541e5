//! The drain of a data centre: requests of operators, their acknowledgement, and what the leader reports of it.
//!
//! A drain is in force once it is committed. It is acknowledged only when every start order that had left before has an
//! answer, or can no longer get one, so that no start leaves for the data centre after the acknowledgement.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{DRAINS_MAX, WorkflowCommand, WorkflowLedger};
use hg_link::{DrainView, Reply, WorkflowReply};
use hg_model::{DataCentreName, Time, UpstreamName};
use hg_replica::Disk;
use slog::{info, warn};

use super::WorkflowReplyKind;
use super::dispatch::ANSWER_TIMEOUT;
use crate::{Core, Ticket};

#[cfg(test)]
mod tests;

/// After this time no start order that was put out before is still on its way to a connection: it waits for one and for
/// its answer no longer than `ANSWER_TIMEOUT` each.
const STARTS_SETTLED_AFTER: Duration = ANSWER_TIMEOUT.saturating_mul(2);
/// The bound if the settings no longer give one while a drain is in force.
const BOUND_DEFAULT: Duration = Duration::from_secs(5);

/// An operator's request whose drain is committed.
#[derive(Debug)]
struct PendingReply {
    ticket: Ticket,
    data_centre: DataCentreName,
    /// When the leader first found it; `None` until then.
    since: Option<Time>,
}

/// What the leader has observed of a drain.
#[derive(Debug)]
struct ObservedDrain {
    /// When this leader learned of it.
    since: Time,
    /// Whether it was logged that nothing runs there any more.
    is_done: bool,
}

/// The leader's state about drains that is not replicated.
#[derive(Debug)]
pub(super) struct DrainWatch {
    /// When this leader's term began.
    led_since: Time,
    pending_replies: Vec<PendingReply>,
    drains: BTreeMap<DataCentreName, ObservedDrain>,
    /// The shortage that was logged last, in accelerators.
    logged_shortage: u64,
}

impl DrainWatch {
    pub(super) fn new(now: Time) -> Self {
        Self {
            led_since: now,
            pending_replies: Vec::new(),
            drains: BTreeMap::new(),
            logged_shortage: 0,
        }
    }

    /// The drained data centres, with the time at which the bound ends. A start time that is ahead of this leader's clock
    /// does not extend the bound.
    pub(super) fn bounds(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        bound: Option<Duration>,
    ) -> BTreeMap<DataCentreName, Time> {
        let active = ledger.drains().active();
        self.drains.retain(|name, _| active.contains_key(name));
        let ends = active.iter().map(|(name, started_at)| {
            let fresh = || ObservedDrain { since: now, is_done: false };
            let known = self.drains.entry(name.clone()).or_insert_with(fresh);
            let since = known.since.min(*started_at);
            (name.clone(), since.after(bound.unwrap_or(BOUND_DEFAULT)))
        });
        ends.collect()
    }

    /// Removes and returns the requests that can be acknowledged: no start to their data centre is in flight.
    fn take_settled(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        starting: &BTreeSet<UpstreamName>,
    ) -> Vec<Ticket> {
        let busy: BTreeSet<&DataCentreName> = starting
            .iter()
            .filter_map(|name| Some(&ledger.upstreams().get(name)?.data_centre))
            .collect();
        // An earlier leader's orders may be on their way, of which this one knows nothing.
        let is_new_leader = now < self.led_since.after(STARTS_SETTLED_AFTER);
        let settled = self.pending_replies.extract_if(.., |pending| {
            let since = *pending.since.get_or_insert(now);
            let is_settled = !is_new_leader && !busy.contains(&pending.data_centre);
            is_settled || now >= since.after(STARTS_SETTLED_AFTER)
        });
        settled.map(|pending| pending.ticket).collect()
    }
}

/// How many runs are open in each drained data centre.
pub(super) fn runs_left(ledger: &WorkflowLedger) -> BTreeMap<DataCentreName, u64> {
    let active = ledger.drains().active();
    let mut left: BTreeMap<DataCentreName, u64> =
        active.keys().map(|name| (name.clone(), 0)).collect();
    if active.is_empty() {
        return left;
    }
    for upstream in ledger.occupancy().upstreams() {
        let Some(report) = ledger.upstreams().get(upstream) else { continue };
        if let Some(count) = left.get_mut(&report.data_centre) {
            let runs = ledger.occupancy().runs(upstream).count();
            *count += u64::try_from(runs).unwrap_or(u64::MAX);
        }
    }
    left
}

/// The guaranteed accelerators that the upstreams outside drained data centres lack; 0 without a drain.
pub(super) fn shortage(ledger: &WorkflowLedger) -> u64 {
    let Some(catalog) = ledger.catalog().filter(|_| !ledger.drains().active().is_empty()) else {
        return 0;
    };
    let accounts = catalog.accounts.iter();
    let guaranteed: u64 = accounts.map(|a| u64::from(a.guaranteed_accelerators)).sum();
    let remaining = ledger.upstreams().values().filter(|report| {
        let is_standby = catalog.pool(&report.pool).is_some_and(|pool| pool.standby);
        !is_standby && !report.leaving && !ledger.drains().is_drained(&report.data_centre)
    });
    let remaining: u64 = remaining.map(|report| u64::from(report.capacity.accelerators)).sum();
    guaranteed.saturating_sub(remaining)
}

/// Requests.
impl<D: Disk> Core<D> {
    /// Whether a data centre is named by the settings, by a registered upstream or by a drain.
    fn knows_data_centre(&self, name: &DataCentreName) -> bool {
        let ledger = self.ledger.workflows();
        self.cfg.data_centres.contains(name)
            || ledger.drains().is_drained(name)
            || ledger.upstreams().values().any(|report| report.data_centre == *name)
    }

    pub(super) fn on_start_drain(
        &mut self,
        now: Time,
        ticket: Ticket,
        data_centre: DataCentreName,
    ) -> Option<WorkflowReply> {
        if self.cfg.drain.is_none() || !self.knows_data_centre(&data_centre) {
            return Some(WorkflowReply::Unknown);
        }
        let drains = self.ledger.workflows().drains();
        if drains.is_drained(&data_centre) {
            // A retry by the operator after a lost answer.
            self.acknowledge_drain(ticket, data_centre);
            return None;
        }
        if drains.active().len() >= DRAINS_MAX {
            return Some(WorkflowReply::Invalid(format!(
                "no more than {DRAINS_MAX} data centres can be drained at the same time"
            )));
        }
        let reply = WorkflowReplyKind::DrainStarted(data_centre.clone());
        let command = WorkflowCommand::StartDrain { data_centre, at: now };
        self.propose_workflow(now, ticket, command, reply)
    }

    pub(super) fn on_end_drain(
        &mut self,
        now: Time,
        ticket: Ticket,
        data_centre: DataCentreName,
    ) -> Option<WorkflowReply> {
        if self.cfg.drain.is_none() || !self.knows_data_centre(&data_centre) {
            return Some(WorkflowReply::Unknown);
        }
        // Proposed even if no drain is in force: the start may be in the log and not applied yet.
        let command = WorkflowCommand::EndDrain { data_centre, at: now };
        self.propose_workflow(now, ticket, command, WorkflowReplyKind::Stored)
    }

    pub(super) fn drains_reply(&self, now: Time) -> WorkflowReply {
        let ledger = self.ledger.workflows();
        let left = runs_left(ledger);
        let views = ledger.drains().active().iter().map(|(name, started_at)| DrainView {
            data_centre: name.clone(),
            age_ms: u64::try_from(now.since(*started_at).as_millis()).unwrap_or(u64::MAX),
            runs_left: left.get(name).copied().unwrap_or(0),
        });
        WorkflowReply::Drains(views.collect())
    }
}

/// The leader's tasks.
impl<D: Disk> Core<D> {
    /// Acknowledges a drain that is committed as soon as no start to the data centre is in flight.
    pub(crate) fn acknowledge_drain(&mut self, ticket: Ticket, data_centre: DataCentreName) {
        let pending = PendingReply { ticket, data_centre, since: None };
        match self.workflow_leadership.as_mut() {
            Some(leadership) => leadership.drains.pending_replies.push(pending),
            None => self.actions.replies.push((ticket, self.not_leader())),
        }
    }

    /// Handles the start or the end of a drain.
    pub(super) fn on_drain_changed(&mut self, data_centre: &DataCentreName) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        leadership.drains.drains.remove(data_centre);
        leadership.sessions.touch_all();
        let drains = self.ledger.workflows().drains();
        if drains.is_drained(data_centre) {
            info!(self.log, "workflow: drain started"; "event" => "drain.started",
                "data_centre" => %data_centre, "drained" => drains.active().len());
        } else {
            info!(self.log, "workflow: drain ended"; "event" => "drain.ended",
                "data_centre" => %data_centre, "drained" => drains.active().len());
        }
    }

    pub(super) fn send_drain_replies(&mut self, now: Time) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        if leadership.drains.pending_replies.is_empty() {
            return;
        }
        let starting = leadership.sessions.starting();
        let settled = leadership.drains.take_settled(now, self.ledger.workflows(), &starting);
        let stored = |ticket| (ticket, Reply::Workflow(WorkflowReply::Stored));
        self.actions.replies.extend(settled.into_iter().map(stored));
    }

    /// Refers operators whose drain is not acknowledged yet to the next leader, since this one no longer leads.
    pub(crate) fn refer_drain_requests(&mut self) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        for pending in std::mem::take(&mut leadership.drains.pending_replies) {
            self.actions.replies.push((pending.ticket, self.not_leader()));
        }
    }

    /// Logs what drains have achieved and what they leave short.
    pub(super) fn report_drains(&mut self, now: Time) {
        let Some(leadership) = self.workflow_leadership.as_mut() else { return };
        let ledger = self.ledger.workflows();
        let bound = self.cfg.drain.unwrap_or(BOUND_DEFAULT);
        for (name, left) in runs_left(ledger) {
            let started_at = ledger.drains().active().get(&name).copied().unwrap_or(now);
            let Some(known) = leadership.drains.drains.get_mut(&name) else { continue };
            // An earlier leader has logged the end of a drain that this one finds done after its bound.
            let is_known_done = known.since == now && now >= started_at.after(bound);
            if left == 0 && !known.is_done && !is_known_done {
                info!(self.log, "workflow: data centre is drained"; "event" => "drain.done",
                    "data_centre" => %name, "ms" => now.since(started_at).as_millis());
            }
            known.is_done = left == 0;
        }
        let missing = shortage(ledger);
        if missing > 0 && missing != leadership.drains.logged_shortage {
            warn!(self.log, "workflow: guarantees exceed what is not drained";
                "event" => "drain.shortage", "accelerators" => missing,
                "drained" => ledger.drains().active().len());
        }
        leadership.drains.logged_shortage = missing;
    }
}
