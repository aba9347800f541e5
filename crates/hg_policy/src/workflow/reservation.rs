//! Upstreams that are left to drain for gangs that could not be placed.
//!
//! Handles small tasks that take every accelerator as it becomes free, so that gangs that need
//! whole upstreams never start: the first gangs in the order get the upstreams that drain soonest.
//! Other tasks may start there only if they end before the gang can start, or leave enough capacity
//! for it (EASY backfill, Lifka 1995).

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{PoolName, ResourceVector, Time, UpstreamName};

use super::capacity_map::{Candidate, CapacityMap, Position, release};
use super::placement::{Scope, scopes};
use super::ready_steps::ReadyStep;
use super::speed_tracker::SpeedTracker;

/// Gangs get reservations while less than this share of their pool is reserved, in percent; the gangs
/// behind them wait for a later round.
const RESERVED_MAX_PERCENT: u64 = 25;

/// Nothing is reserved while a smaller share of a pool is in use, in percent: small tasks keep no
/// gang out then, and leaving idle upstreams unused would be of no benefit.
const USED_MIN_PERCENT: u64 = 60;

/// Resources that an upstream keeps for gangs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reservation {
    /// The total that the gangs' members on this upstream need.
    pub(crate) claim: ResourceVector,
    /// When the gang that was added last can start.
    pub(crate) starts_at: Time,
}

impl Reservation {
    /// Whether a task may start on the upstream as well: it leaves the reserved resources free, or
    /// is estimated to end before the gang can start.
    pub(crate) fn allows(
        &self,
        now: Time,
        available: &ResourceVector,
        step: &ReadyStep<'_>,
    ) -> bool {
        let ends = now.after(Duration::from_millis(step.spec.estimate_ms));
        let leaves_claim_free = self.claim.fits(&available.minus(&step.spec.claim()));
        leaves_claim_free || (step.spec.estimate_ms > 0 && ends <= self.starts_at)
    }
}

/// When the runs of each upstream end, as far as a round has needed to know.
#[derive(Debug)]
pub(crate) struct DrainTimes<'a> {
    now: Time,
    ledger: &'a WorkflowLedger,
    upstreams: BTreeMap<Position, Vec<(Time, ResourceVector)>>,
}

impl<'a> DrainTimes<'a> {
    pub(crate) const fn new(now: Time, ledger: &'a WorkflowLedger) -> Self {
        Self { now, ledger, upstreams: BTreeMap::new() }
    }

    /// The ends of the present runs of an upstream, the earliest first, and what each frees.
    fn ends(
        &mut self,
        position: Position,
        upstream: &UpstreamName,
        speeds: &SpeedTracker,
    ) -> &[(Time, ResourceVector)] {
        let (now, ledger) = (self.now, self.ledger);
        self.upstreams.entry(position).or_insert_with(|| {
            let runs = ledger.occupancy().runs(upstream).filter_map(|(task, open)| {
                let spec = ledger.step_spec(&task.step)?;
                let left = speeds.time_left(now, task, open, spec.estimate_ms);
                (!spec.long_running).then(|| (now.after(left), open.claim))
            });
            let mut ends: Vec<(Time, ResourceVector)> = runs.collect();
            ends.sort_by_key(|(at, _)| *at);
            ends
        })
    }
}

/// Reserves the upstreams that can hold a gang soonest, if there are enough of them and the pool has not
/// reserved its share yet.
pub(crate) fn reserve(
    step: &ReadyStep<'_>,
    drains: &mut DrainTimes<'_>,
    speeds: &SpeedTracker,
    capacity: &mut CapacityMap<'_>,
) {
    if !may_reserve(step.pool, capacity) {
        return;
    }
    let scopes = scopes(drains.now, step, capacity).into_iter();
    let plans = scopes.filter_map(|scope| earliest_fit(step, &scope, drains, speeds, capacity));
    let Some((starts_at, members)) = plans.min_by_key(|(starts_at, _)| *starts_at) else {
        return;
    };
    let claim = step.spec.claim();
    for position in members {
        let candidate = capacity.at_mut(position);
        let earlier =
            candidate.reservation.map_or_else(ResourceVector::default, |earlier| earlier.claim);
        candidate.reservation = Some(Reservation { claim: earlier.plus(&claim), starts_at });
    }
}

/// Whether enough of a pool is in use that small tasks may keep gangs out, and little enough is reserved.
fn may_reserve(pool: &PoolName, capacity: &CapacityMap<'_>) -> bool {
    let (mut all, mut free, mut reserved) = (0, 0, 0);
    for candidate in capacity.candidates().filter(|candidate| candidate.report.pool == *pool) {
        all += candidate.report.capacity.weight();
        free += candidate.free.weight();
        reserved += candidate.reservation.map_or(0, |reservation| reservation.claim.weight());
    }
    let used = all - free.min(all);
    used * 100 >= all * USED_MIN_PERCENT && reserved * 100 < all * RESERVED_MAX_PERCENT
}

/// When a gang could start within a scope, and the upstreams that can hold its members soonest, one
/// entry for each member.
fn earliest_fit(
    step: &ReadyStep<'_>,
    scope: &Scope,
    drains: &mut DrainTimes<'_>,
    speeds: &SpeedTracker,
    capacity: &CapacityMap<'_>,
) -> Option<(Time, Vec<Position>)> {
    let mut slots: Vec<(Time, &UpstreamName, Position)> = Vec::new();
    let now = drains.now;
    for position in &scope.members {
        let candidate = capacity.at(*position);
        let name = &candidate.report.name;
        let ends = drains.ends(*position, name, speeds);
        let times = member_start_times(now, step, candidate, ends);
        slots.extend(times.into_iter().map(|at| (at, name, *position)));
    }
    let last = step.waiting.len().checked_sub(1)?;
    if slots.len() <= last {
        return None;
    }
    // Only the earliest slots are needed, and only their last time matters.
    let (earliest, last, _) = slots.select_nth_unstable(last);
    let starts_at = last.0;
    Some((starts_at, earliest.iter().chain([&*last]).map(|(.., position)| *position).collect()))
}

/// The times at which an upstream can hold the first, second, ... member, as its present runs end.
fn member_start_times(
    now: Time,
    step: &ReadyStep<'_>,
    candidate: &Candidate<'_>,
    ends: &[(Time, ResourceVector)],
) -> Vec<Time> {
    let claim = step.spec.claim();
    let taken = candidate.reservation.map_or_else(ResourceVector::default, |earlier| earlier.claim);
    let members_max = step.spec.per_upstream_max.unwrap_or(u32::MAX).min(step.spec.tasks);
    let mut free = candidate.available();
    let mut excess = candidate.excess;
    let mut times = Vec::new();
    for (at, freed) in std::iter::once((now, ResourceVector::default())).chain(ends.iter().copied())
    {
        free = free.plus(&release(&mut excess, &freed));
        let fits = free.minus(&taken).count_of(&claim, members_max);
        while times.len() < usize::try_from(fits).unwrap_or(usize::MAX) {
            times.push(at);
        }
    }
    times
}
