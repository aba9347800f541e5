//! What a leader knows of one life of one upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hg_ledger::{LostRun, SavedProgress, WorkflowCommand};
use hg_model::{Checkpoint, ClockReading, Incarnation, RunNumber, TaskId, Time, UpstreamName};

use super::OrderId;

/// Upstreams' clocks may run slow by this share, in percent.
const CLOCK_SLOW_PERCENT: u64 = 2;
/// How long an upstream gets no new work after it left an order unanswered or turned one away.
pub(super) const SUSPECT: Duration = Duration::from_millis(2_000);
/// After this a proposal is made again that was not applied; a quorum takes a few disk writes for one.
const PROPOSE_AGAIN: Duration = Duration::from_millis(1_000);
/// Pause before an order is sent again to an upstream that left one unanswered; doubled each time.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The pause does not grow beyond this: an upstream that is back should be heard within a second.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);
/// How long after a listing its ends may be acknowledged: less than a host takes to start again.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_millis(1_000);
/// Added to a lease's end before it counts as over, for the way and for rounding.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// How far a start order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartStage {
    /// No order was sent in this lead.
    Unsent,
    /// An order is on its way.
    Sent(OrderId),
    /// The upstream has it, or had it.
    Settled,
}

/// How far a stop order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopStage {
    /// It may go on.
    Unwanted,
    /// A stop is to be sent.
    Wanted,
    /// A stop is on its way.
    Sent(OrderId),
    /// The upstream has acknowledged it; the run must leave the lists.
    Settled,
}

/// One open run at the upstream.
#[derive(Debug, Clone)]
pub(super) struct RunSession {
    pub(super) run: RunNumber,
    pub(super) start: StartStage,
    pub(super) stop: StopStage,
    /// Whether a start order may still be carried out although nobody answered it.
    pub(super) in_doubt: bool,
    /// How many start orders had no answer.
    pub(super) unanswered: u32,
    /// When it was last proposed to give the run up.
    losing: Option<Time>,
    /// Orders with a higher id were sent after the last change of its start or stop.
    pub(super) settled_by: OrderId,
    pub(super) checkpoint: Option<Checkpoint>,
}

impl RunSession {
    /// A run that this lead has just decided.
    pub(super) const fn new(run: RunNumber) -> Self {
        Self {
            run,
            start: StartStage::Unsent,
            stop: StopStage::Unwanted,
            in_doubt: false,
            unanswered: 0,
            losing: None,
            settled_by: OrderId(0),
            checkpoint: None,
        }
    }

    /// A run of an earlier lead, or of an earlier life: it may or may not be there.
    pub(super) const fn inherited(run: RunNumber) -> Self {
        let mut session = Self::new(run);
        session.in_doubt = true;
        session
    }

    /// Whether it is proposed to give the run up.
    pub(super) fn is_losing(&self, now: Time) -> bool {
        is_under_way(self.losing, now)
    }

    /// It is proposed to give the run up.
    pub(super) const fn note_losing(&mut self, now: Time) {
        self.losing = Some(now);
    }

    /// The run, as it is given up.
    pub(super) fn lost(&self, task: &TaskId, upstream: &UpstreamName) -> LostRun {
        LostRun {
            task: task.clone(),
            run: self.run,
            upstream: upstream.clone(),
            checkpoint: self.checkpoint.clone(),
            is_unconfirmed: false,
        }
    }

    /// Whether the upstream was told of it, in this lead or perhaps in an earlier one.
    pub(super) fn may_be_there(&self) -> bool {
        self.in_doubt || self.start != StartStage::Unsent
    }
}

/// One life of one upstream.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
    /// When it last said anything.
    pub(super) heard: Time,
    /// Its clock, and when that was read.
    clock: Option<(ClockReading, Time)>,
    /// The latest reading of its clock to which any lease may last.
    lease_until: Option<ClockReading>,
    /// When all leases of earlier leads are over, by our clock.
    inherited_until: Time,
    /// Whether it is to be asked for its lists although nothing is known to run there.
    pub(super) unseen: bool,
    pub(super) renewal: Option<OrderId>,
    pub(super) renew_at: Time,
    /// Ends up to this number are in the log.
    pub(super) acknowledged: u64,
    /// Ends up to this number were acknowledged to it.
    pub(super) told: u64,
    /// What the renewal on its way acknowledges.
    pub(super) telling: u64,
    /// When it last listed its runs, which shows that this life of it goes on.
    pub(super) listed_at: Option<Time>,
    /// When ends were proposed that are not in the log yet.
    pub(super) noting: Option<Time>,
    /// How many orders in a row it left unanswered.
    silences: u32,
    /// No order is sent again before then.
    pub(super) retry_at: Time,
    /// It gets no new work before then.
    pub(super) suspect_until: Time,
    /// When it goes at the earliest, once it has said that it leaves.
    pub(super) leaves_at: Option<Time>,
    pub(super) runs: BTreeMap<TaskId, RunSession>,
    /// Paces to be told.
    pub(super) paces: BTreeMap<TaskId, (RunNumber, u32)>,
    /// Changes of pace on their way.
    pub(super) pacing: BTreeMap<OrderId, TaskId>,
    /// What was listed as running and is not open, such as a start that was carried out late.
    pub(super) strays: BTreeMap<TaskId, RunNumber>,
}

impl Session {
    /// A life that is followed from `now` on; leases of `lease_max_ms` may have been granted before.
    pub(super) fn new(
        now: Time,
        incarnation: Incarnation,
        address: SocketAddr,
        lease_max_ms: u64,
    ) -> Self {
        Self {
            incarnation,
            address,
            heard: now,
            clock: None,
            lease_until: None,
            inherited_until: now.after(stretched(lease_max_ms)).after(LEASE_MARGIN),
            unseen: false,
            renewal: None,
            renew_at: now,
            acknowledged: 0,
            told: 0,
            telling: 0,
            listed_at: None,
            noting: None,
            silences: 0,
            retry_at: Time(0),
            suspect_until: Time(0),
            leaves_at: None,
            runs: BTreeMap::new(),
            paces: BTreeMap::new(),
            pacing: BTreeMap::new(),
            strays: BTreeMap::new(),
        }
    }

    /// It said how much longer it stays; later words only put the end further off.
    pub(super) fn note_stay(&mut self, now: Time, min_remaining_ms: Option<u64>) {
        let leaves_at = min_remaining_ms.map(|ms| now.after(Duration::from_millis(ms)));
        self.leaves_at = self.leaves_at.max(leaves_at);
    }

    /// The last progress of a run that was seen to be saved.
    pub(super) fn saved(&self, task: &TaskId, run: RunNumber) -> Option<&Checkpoint> {
        self.runs.get(task).filter(|known| known.run == run)?.checkpoint.as_ref()
    }

    /// The command that notes the end of this life, with what it is known to have saved.
    pub(super) fn departure(&self, now: Time, name: &UpstreamName) -> WorkflowCommand {
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

    /// Whether its clock is known.
    pub(super) const fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Takes in a reading of its clock.
    ///
    /// Answers may overtake each other, so only a reading that puts the clock further ahead counts.
    pub(super) fn note_clock(&mut self, now: Time, reading: ClockReading) {
        self.heard = now;
        let expected = self.clock_at(now);
        if expected.is_none_or(|expected| reading >= expected) {
            self.clock = Some((reading, now));
        }
    }

    /// What its clock reads at least.
    fn clock_at(&self, now: Time) -> Option<ClockReading> {
        let (reading, at) = self.clock?;
        let elapsed = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        Some(ClockReading(reading.0 + elapsed * (100 - CLOCK_SLOW_PERCENT) / 100))
    }

    /// The reading up to which a lease of `ms` from now lasts; it counts as granted from here on.
    pub(super) fn grant(&mut self, now: Time, ms: u64) -> Option<ClockReading> {
        let until = ClockReading(self.clock_at(now)?.0 + ms);
        self.lease_until = self.lease_until.max(Some(until));
        Some(until)
    }

    /// Whether every lease that it may hold is surely over.
    pub(super) fn leases_are_over(&self, now: Time) -> bool {
        if now < self.inherited_until {
            return false;
        }
        let Some(until) = self.lease_until else { return true };
        let margin = u64::try_from(LEASE_MARGIN.as_millis()).unwrap_or(u64::MAX);
        self.clock_at(now).is_some_and(|clock| clock.0 > until.0.saturating_add(margin))
    }

    /// Whether ends are on their way into the log.
    pub(super) fn is_noting(&self, now: Time) -> bool {
        is_under_way(self.noting, now)
    }

    /// It left an order unanswered: perhaps its life is over.
    pub(super) fn note_silence(&mut self, now: Time) {
        let pause = RETRY_PAUSE * 2_u32.saturating_pow(self.silences);
        self.silences += 1;
        self.retry_at = now.after(pause.min(RETRY_PAUSE_MAX));
        self.suspect_until = now.after(SUSPECT);
        self.listed_at = None;
    }

    /// Whether it left the last order unanswered.
    pub(super) const fn is_silent(&self) -> bool {
        self.silences > 0
    }

    /// It answered an order.
    pub(super) const fn note_answer(&mut self) {
        self.silences = 0;
        self.retry_at = Time(0);
        self.suspect_until = Time(0);
    }

    /// The reading up to which a renewal extends the lease.
    ///
    /// An order without an answer may have been carried out all the same. So while it is silent no lease
    /// is extended, or those that it may hold would never be over.
    pub(super) fn renewal(&mut self, now: Time, ms: u64) -> Option<ClockReading> {
        if self.silences > 0 { None } else { self.grant(now, ms) }
    }

    /// Which ends may be acknowledged now; 0 for none.
    ///
    /// Each life counts its ends anew, so a number must not reach a later life under the same name:
    /// it would forget ends there that nobody has seen.
    pub(super) fn acknowledgement(&self, now: Time) -> u64 {
        let is_fresh = self.listed_at.is_some_and(|at| now < at.after(ACKNOWLEDGE_WITHIN));
        if self.acknowledged > self.told && is_fresh { self.acknowledged } else { 0 }
    }

    /// Whether a listing is needed to learn what became of runs.
    pub(super) fn needs_listing(&self) -> bool {
        self.runs.values().any(RunSession::may_be_there)
    }
}

/// Whether what was proposed then may still be applied; a proposal is lost if the lease had just ended.
fn is_under_way(proposed: Option<Time>, now: Time) -> bool {
    proposed.is_some_and(|at| now < at.after(PROPOSE_AGAIN))
}

fn stretched(ms: u64) -> Duration {
    Duration::from_millis(ms * 100 / (100 - CLOCK_SLOW_PERCENT) + 1)
}
