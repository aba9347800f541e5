//! The leader's state for one incarnation of one upstream: its clock, its leases, and how far the orders of
//! each run have come.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hg_ledger::{LostRun, SavedProgress, WorkflowCommand};
use hg_model::{
    Checkpoint, ClockReading, Incarnation, ResourceVector, RunNumber, TaskId, Time, UpstreamName,
};

use super::OrderId;
use super::departure::{Departure, DepartureCause};
use super::dispatch::LISTING_WAIT;

/// How much slower than the leader's clock an upstream's clock may run, in percent.
const CLOCK_SLOW_PERCENT: u64 = 2;
/// How long an upstream gets no new work after it left an order unanswered or refused one.
pub(super) const SUSPECT_FOR: Duration = Duration::from_millis(2_000);
/// A proposal that was not applied after this long is made again; committing one takes a quorum a few disk
/// writes.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff before another order is sent to an upstream that left one unanswered; doubled each time.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the backoff: an upstream that is reachable again should be contacted within a second.
const RETRY_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// An answer whose clock reading is older than this comes from a later incarnation, whose clock has started anew. Orders
/// other than listings time out sooner.
const ANSWER_DELAY_MAX: Duration = Duration::from_millis(700);
/// A heartbeat whose clock reading is older than this is late; upstreams send another one after a second without an
/// answer.
const HEARTBEAT_DELAY_MAX: Duration = Duration::from_millis(1_000);
/// How long after a listing its ends may be acknowledged: less than a host takes to restart.
const LISTING_VALID_FOR: Duration = Duration::from_millis(1_000);
/// The longest time between two visits of a session: what expires, such as leases and proposals, is noticed with
/// this delay.
const VISIT_INTERVAL: Duration = Duration::from_millis(100);
/// Added to a lease's end before the lease counts as expired, for the network delay and for rounding.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Progress of a run's start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartStage {
    /// An order is still to be sent in this term, or sent again.
    Unsent,
    /// An order is in flight.
    Sent(OrderId),
    /// The upstream runs it, or ran it.
    Confirmed,
}

/// Progress of a run's stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopStage {
    /// The run may continue.
    NotRequested,
    /// A stop is to be sent.
    Requested,
    /// A stop is in flight.
    Sent(OrderId),
    /// The upstream has acknowledged the stop; the run will disappear from its listings.
    Acknowledged,
}

/// An open run that is placed on the upstream.
#[derive(Debug, Clone)]
pub(super) struct RunSession {
    pub(super) run: RunNumber,
    pub(super) start: StartStage,
    pub(super) stop: StopStage,
    /// Whether a start order of unknown outcome may still be carried out.
    pub(super) outcome_unknown: bool,
    /// Number of start orders that were not answered.
    pub(super) unanswered_starts: u32,
    /// Number of start orders that could not be sent.
    pub(super) unsent_starts: u32,
    /// When it was last proposed to record the run as lost.
    loss_proposed_at: Option<Time>,
    /// Whether a later incarnation than the session's answered its start.
    pub(super) is_elsewhere: bool,
    /// Orders with this id or a higher one were sent after the last change of `start` or `stop`.
    pub(super) first_later_order: OrderId,
    pub(super) checkpoint: Option<Checkpoint>,
}

impl RunSession {
    /// A run that was just decided in this term.
    pub(super) const fn new(run: RunNumber) -> Self {
        Self {
            run,
            start: StartStage::Unsent,
            stop: StopStage::NotRequested,
            outcome_unknown: false,
            unanswered_starts: 0,
            unsent_starts: 0,
            loss_proposed_at: None,
            is_elsewhere: false,
            first_later_order: OrderId(0),
            checkpoint: None,
        }
    }

    /// A run of an earlier term or of an earlier incarnation: the upstream may or may not have it.
    pub(super) const fn recovered(run: RunNumber) -> Self {
        let mut session = Self::new(run);
        session.outcome_unknown = true;
        session
    }

    /// Whether a proposal to record the run as lost is pending.
    pub(super) fn is_loss_pending(&self, now: Time) -> bool {
        is_proposal_pending(self.loss_proposed_at, now)
    }

    /// Records that the run was proposed as lost.
    pub(super) const fn record_loss_proposal(&mut self, now: Time) {
        self.loss_proposed_at = Some(now);
    }

    /// The record of the run as lost, with its last known checkpoint.
    pub(super) fn lost(&self, task: &TaskId, upstream: &UpstreamName) -> LostRun {
        LostRun {
            task: task.clone(),
            run: self.run,
            upstream: upstream.clone(),
            checkpoint: self.checkpoint.clone(),
            is_unconfirmed: false,
        }
    }

    /// Whether a start may have reached the upstream, in this term or in an earlier one.
    pub(super) fn may_exist(&self) -> bool {
        self.outcome_unknown || self.start != StartStage::Unsent
    }
}

/// One incarnation of one upstream.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
    /// When the upstream last sent a heartbeat or an answer.
    pub(super) last_contact: Time,
    /// Whether it has sent any in this term.
    pub(super) was_in_contact: bool,
    /// The last reading of its clock, and when it was read.
    clock: Option<(ClockReading, Time)>,
    /// The latest reading of its clock at which any lease of this term may end.
    lease_until: Option<ClockReading>,
    /// When all leases of earlier terms have expired, by the leader's clock.
    earlier_leases_until: Time,
    /// Whether a listing is needed although no run is known there; set for upstreams that were registered in
    /// an earlier term.
    pub(super) needs_initial_listing: bool,
    /// Whether another upstream is registered at its address: that one has ended once this one lists its runs.
    pub(super) is_address_contested: bool,
    pub(super) pending_renewal: Option<OrderId>,
    pub(super) renew_at: Time,
    /// Ends up to this number are in the replicated log.
    pub(super) recorded_upto: u64,
    /// Ends up to this number were acknowledged to the upstream.
    pub(super) acknowledged_upto: u64,
    /// Ends up to this number are acknowledged by the renewal in flight.
    pub(super) acknowledging_upto: u64,
    /// The clock reading of its last heartbeat.
    heartbeat_clock: Option<ClockReading>,
    /// When its last heartbeat of this term arrived.
    heartbeat_at: Option<Time>,
    /// The capacity that the latest heartbeat of this term reported.
    reported_capacity: Option<ResourceVector>,
    /// When it last listed its runs, which shows that this incarnation is still running.
    pub(super) listed_at: Option<Time>,
    /// When ends were proposed that are not in the log yet.
    pub(super) ends_proposed_at: Option<Time>,
    /// Number of orders in a row that it left unanswered.
    unanswered_in_a_row: u32,
    /// When it left the first of them unanswered.
    unanswered_since: Option<Time>,
    /// Whether it has listed its runs since it last left an order unanswered, which shows that this incarnation is still
    /// running.
    is_incarnation_confirmed: bool,
    /// Whether it is being deregistered for its silence alone. It may only be cut off, and return.
    pub(super) is_only_silent: bool,
    /// Since when it was silent when a later incarnation answered in its place.
    ended_at: Option<Time>,
    /// When it was last recorded that this incarnation has crashed.
    crash_recorded_at: Option<Time>,
    /// No start or stop is sent before then.
    pub(super) retry_at: Time,
    /// It gets no new work before then.
    pub(super) suspect_until: Time,
    /// The earliest time at which it will leave, once it has announced that.
    pub(super) leaves_at: Option<Time>,
    pub(super) runs: BTreeMap<TaskId, RunSession>,
    /// Changes of pace to be sent.
    pub(super) pending_paces: BTreeMap<TaskId, (RunNumber, u32)>,
    /// Changes of pace in flight.
    pub(super) paces_in_flight: BTreeMap<OrderId, TaskId>,
    /// Runs that were listed as running but are not open, such as those of delayed starts.
    pub(super) orphans: BTreeMap<TaskId, RunNumber>,
    /// When orders may be due next, unless something happens before. Most sessions are not visited in most
    /// steps of the leader.
    due_at: Time,
}

impl Session {
    /// An incarnation that is tracked from `now` on; leases of up to `lease_max` may have been granted
    /// before.
    pub(super) fn new(
        now: Time,
        incarnation: Incarnation,
        address: SocketAddr,
        lease_max: Duration,
    ) -> Self {
        Self {
            incarnation,
            address,
            last_contact: now,
            was_in_contact: false,
            clock: None,
            lease_until: None,
            earlier_leases_until: now.after(on_slow_clock(lease_max)).after(LEASE_MARGIN),
            needs_initial_listing: false,
            is_address_contested: false,
            pending_renewal: None,
            renew_at: now,
            recorded_upto: 0,
            acknowledged_upto: 0,
            acknowledging_upto: 0,
            heartbeat_clock: None,
            heartbeat_at: None,
            reported_capacity: None,
            listed_at: None,
            ends_proposed_at: None,
            unanswered_in_a_row: 0,
            unanswered_since: None,
            is_incarnation_confirmed: true,
            is_only_silent: false,
            ended_at: None,
            crash_recorded_at: None,
            retry_at: Time(0),
            suspect_until: Time(0),
            leaves_at: None,
            runs: BTreeMap::new(),
            pending_paces: BTreeMap::new(),
            paces_in_flight: BTreeMap::new(),
            orphans: BTreeMap::new(),
            due_at: Time(0),
        }
    }

    /// Records that something happened to the session, so that orders may be due.
    pub(super) const fn touch(&mut self) {
        self.due_at = Time(0);
    }

    /// Whether orders may be due.
    pub(super) fn is_due(&self, now: Time) -> bool {
        now >= self.due_at
    }

    /// Records that all orders that are due at `now` were sent.
    pub(super) fn record_visit(&mut self, now: Time) {
        let next = now.after(VISIT_INTERVAL);
        let reached_later = [self.renew_at, self.retry_at].into_iter().filter(|at| *at > now);
        self.due_at = reached_later.fold(next, Time::min);
    }

    /// Records how much longer the upstream stays at least; later reports can only postpone its end.
    pub(super) fn record_stay(&mut self, now: Time, min_remaining_ms: Option<u64>) {
        let leaves_at = min_remaining_ms.map(|ms| now.after(Duration::from_millis(ms)));
        self.leaves_at = self.leaves_at.max(leaves_at);
    }

    /// Records a sign of life.
    pub(super) const fn record_contact(&mut self, now: Time) {
        self.last_contact = now;
        self.was_in_contact = true;
    }

    /// Since when this incarnation may have ended, if it has: the first order that it left unanswered, or else its
    /// last sign of life. `None` if there was none in this term.
    pub(super) fn silent_since(&self) -> Option<Time> {
        // An order that timed out says nothing about the time before: it was sent soon after the last answer.
        let is_cut = |at: &Time| at.since(self.last_contact) <= LISTING_WAIT;
        let cut_at = self.unanswered_since.filter(is_cut);
        let silent_since = || cut_at.unwrap_or(self.last_contact);
        self.ended_at.or_else(|| self.was_in_contact.then(silent_since))
    }

    /// Records that this incarnation has crashed. Returns whether that is new, or may have been lost.
    pub(super) fn record_crash(&mut self, now: Time) -> bool {
        let is_new = !is_proposal_pending(self.crash_recorded_at, now);
        if is_new {
            self.crash_recorded_at = Some(now);
        }
        is_new
    }

    /// The last known checkpoint of a run.
    pub(super) fn saved_checkpoint(&self, task: &TaskId, run: RunNumber) -> Option<&Checkpoint> {
        self.runs.get(task).filter(|known| known.run == run)?.checkpoint.as_ref()
    }

    /// The deregistration of this incarnation.
    pub(super) fn departure(&self, name: &UpstreamName, cause: DepartureCause) -> Departure {
        Departure { upstream: name.clone(), incarnation: self.incarnation, cause }
    }

    /// The command that records the end of this incarnation, with the known checkpoints of its runs.
    pub(super) fn deregistration(&self, now: Time, name: &UpstreamName) -> WorkflowCommand {
        let saved = self.runs.iter().filter_map(|(task, run)| {
            let checkpoint = run.checkpoint.clone()?;
            Some(SavedProgress { task: task.clone(), run: run.run, checkpoint })
        });
        WorkflowCommand::Deregister {
            name: name.clone(),
            incarnation: self.incarnation,
            saved: saved.collect(),
            at: now,
        }
    }

    /// Whether any reading of its clock is known.
    pub(super) const fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Records a reading of its clock.
    ///
    /// Answers may arrive out of order, so only a reading that is ahead of the expected one is kept.
    pub(super) fn record_clock(&mut self, now: Time, reading: ClockReading) {
        self.record_contact(now);
        let expected = self.clock_at(now);
        if expected.is_none_or(|expected| reading >= expected) {
            self.clock = Some((reading, now));
        }
    }

    /// Records the clock reading in the answer to an order, unless a later incarnation answered in place of this one.
    /// Returns whether this one did.
    pub(super) fn record_answer_clock(&mut self, now: Time, reading: ClockReading) -> bool {
        // Without a clock it is not known which incarnation answers, until that lists its runs or sends a heartbeat.
        let Some(expected) = self.clock_at(now) else { return true };
        if reading.after(ANSWER_DELAY_MAX) < expected {
            self.ended_at = self.ended_at.or_else(|| self.silent_since());
            return false;
        }
        self.record_clock(now, reading);
        true
    }

    /// Records a heartbeat. Returns whether it is the latest: one that was on its way for long says what held then.
    pub(super) fn record_heartbeat(&mut self, now: Time, reading: Option<ClockReading>) -> bool {
        let Some(reading) = reading else {
            self.record_contact(now);
            self.heartbeat_at = Some(now);
            return true;
        };
        let is_late = |expected: ClockReading| reading.after(HEARTBEAT_DELAY_MAX) < expected;
        if self.heartbeat_clock > Some(reading) || self.clock_at(now).is_some_and(is_late) {
            return false;
        }
        self.heartbeat_clock = Some(reading);
        self.heartbeat_at = Some(now);
        self.record_clock(now, reading);
        true
    }

    /// Records the capacity that the latest heartbeat reported.
    pub(super) const fn record_capacity(&mut self, capacity: ResourceVector) {
        self.reported_capacity = Some(capacity);
    }

    /// Whether a heartbeat arrived within a time, and the capacity that the last one reported is the registered one. A change
    /// is reported before it is in the log.
    pub(super) fn is_capacity_current(
        &self,
        now: Time,
        registered: ResourceVector,
        within: Duration,
    ) -> bool {
        let is_registered = self.reported_capacity.is_none_or(|reported| reported == registered);
        is_registered && self.heartbeat_at.is_some_and(|at| now < at.after(within))
    }

    /// A lower bound of what its clock reads now.
    fn clock_at(&self, now: Time) -> Option<ClockReading> {
        let (reading, at) = self.clock?;
        let elapsed_ms = millis(now.since(at)).saturating_mul(100 - CLOCK_SLOW_PERCENT) / 100;
        Some(reading.after(Duration::from_millis(elapsed_ms)))
    }

    /// Grants a lease of `span` from now and returns the clock reading at which it ends; `None` if the clock is
    /// unknown. The lease counts as granted from this call on.
    pub(super) fn grant_lease(&mut self, now: Time, span: Duration) -> Option<ClockReading> {
        let until = self.clock_at(now)?.after(span);
        self.lease_until = self.lease_until.max(Some(until));
        Some(until)
    }

    /// Whether every lease that the upstream may hold has certainly expired.
    pub(super) fn leases_are_over(&self, now: Time) -> bool {
        if now < self.earlier_leases_until {
            return false;
        }
        let Some(until) = self.lease_until else { return true };
        let margin = millis(LEASE_MARGIN);
        self.clock_at(now).is_some_and(|clock| clock.0 > until.0.saturating_add(margin))
    }

    /// Whether proposed ends are not in the log yet.
    pub(super) fn has_pending_ends(&self, now: Time) -> bool {
        is_proposal_pending(self.ends_proposed_at, now)
    }

    /// Records that it left an order unanswered: this incarnation may have ended.
    pub(super) fn record_unanswered(&mut self, now: Time) {
        let pause = RETRY_BACKOFF * 2_u32.saturating_pow(self.unanswered_in_a_row);
        self.unanswered_in_a_row += 1;
        self.unanswered_since.get_or_insert(now);
        self.is_incarnation_confirmed = false;
        self.retry_at = now.after(pause.min(RETRY_BACKOFF_MAX));
        self.suspect_until = now.after(SUSPECT_FOR);
        self.listed_at = None;
    }

    /// Whether it left the last order unanswered.
    pub(super) const fn is_unresponsive(&self) -> bool {
        self.unanswered_in_a_row > 0
    }

    /// Records that it listed its runs.
    pub(super) fn record_listed(&mut self, now: Time) {
        self.listed_at = Some(now);
        self.is_incarnation_confirmed = true;
    }

    /// Handles a new leader's lack of knowledge: an upstream that was registered in an earlier term may have restarted.
    pub(super) const fn await_initial_listing(&mut self) {
        self.needs_initial_listing = true;
        self.is_incarnation_confirmed = false;
    }

    /// Asks for the runs at once, since another upstream is registered at the same address: only one of them can answer there.
    pub(super) const fn await_address_check(&mut self) {
        self.is_address_contested = true;
        self.await_initial_listing();
    }

    /// Whether it has listed its runs since another upstream was found at its address.
    pub(super) const fn has_confirmed_address(&self) -> bool {
        self.is_address_contested && self.is_incarnation_confirmed
    }

    /// Whether a start would reach this incarnation, as far as is known. A later one under the same name must not get the
    /// orders of this one: what crashed this one could crash it too.
    pub(super) const fn is_incarnation_confirmed(&self) -> bool {
        self.is_incarnation_confirmed
    }

    /// Records that it answered an order.
    pub(super) const fn record_answer(&mut self) {
        self.unanswered_in_a_row = 0;
        self.unanswered_since = None;
        self.retry_at = Time(0);
        self.suspect_until = Time(0);
    }

    /// The clock reading up to which a renewal extends the lease; `None` leaves the lease as it is.
    ///
    /// An unanswered order may have been carried out all the same. So no lease is extended while the upstream
    /// is unresponsive; otherwise the leases that it may hold would never expire.
    pub(super) fn renewal_lease(&mut self, now: Time, span: Duration) -> Option<ClockReading> {
        if self.unanswered_in_a_row > 0 { None } else { self.grant_lease(now, span) }
    }

    /// The highest number of an end that may be acknowledged now; 0 for none.
    ///
    /// Each incarnation numbers its ends from the start, so a number must not reach a later incarnation under
    /// the same name: it would discard ends there that no leader has seen.
    pub(super) fn ends_to_acknowledge(&self, now: Time) -> u64 {
        let is_fresh = self.listed_at.is_some_and(|at| now < at.after(LISTING_VALID_FOR));
        if self.recorded_upto > self.acknowledged_upto && is_fresh { self.recorded_upto } else { 0 }
    }

    /// Whether a listing is needed to learn the state of runs.
    pub(super) fn needs_listing(&self) -> bool {
        self.runs.values().any(RunSession::may_exist)
            || (!self.is_incarnation_confirmed && !self.runs.is_empty())
    }
}

/// Whether a proposal made at `proposed` may still be applied; it is lost if the leader's lease had just
/// ended.
fn is_proposal_pending(proposed: Option<Time>, now: Time) -> bool {
    proposed.is_some_and(|at| now < at.after(PROPOSAL_TIMEOUT))
}

/// The longest time that `span` on an upstream's clock can take by the leader's clock.
fn on_slow_clock(span: Duration) -> Duration {
    Duration::from_millis(millis(span) * 100 / (100 - CLOCK_SLOW_PERCENT) + 1)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
