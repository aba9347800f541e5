//! Upstreams that are left to drain for gangs that could not be placed.
//!
//! Handles small tasks that take every accelerator as it becomes free, so that gangs that need
//! whole upstreams never start: the first gangs in the order get the upstreams that drain soonest.
//! Other tasks may start there only if they end before the gang can start, or leave enough capacity
//! for it (EASY backfill, Lifka 1995).

use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{PoolName, ResourceVector, Time, UpstreamName};

use super::capacity_map::{Candidate, CapacityMap};
use super::placement::{Scope, scopes};
use super::ready_steps::ReadyStep;
use super::speed_tracker::SpeedTracker;

/// How many gangs have a reservation at the same time; the gangs behind them wait for a later
/// round.
pub(crate) const RESERVATIONS_MAX: usize = 4;

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

/// Reserves the upstreams that can hold a gang soonest. Returns whether there are enough of them.
pub(crate) fn reserve(
    now: Time,
    step: &ReadyStep<'_>,
    ledger: &WorkflowLedger,
    speeds: &SpeedTracker,
    capacity: &mut CapacityMap<'_>,
) -> bool {
    if !is_busy(&step.job.terms.pool, capacity) {
        return false;
    }
    let plans = scopes(now, step, capacity).into_iter();
    let plans = plans.filter_map(|scope| earliest_fit(now, step, &scope, ledger, speeds, capacity));
    let Some((starts_at, upstreams)) = plans.min_by_key(|(starts_at, _)| *starts_at) else {
        return false;
    };
    let claim = step.spec.claim();
    for upstream in upstreams {
        let Some(candidate) = capacity.candidates.get_mut(&upstream) else { continue };
        let earlier =
            candidate.reservation.map_or_else(ResourceVector::default, |earlier| earlier.claim);
        candidate.reservation = Some(Reservation { claim: earlier.plus(&claim), starts_at });
    }
    true
}

/// Whether enough of a pool is in use that small tasks may keep gangs out.
fn is_busy(pool: &PoolName, capacity: &CapacityMap<'_>) -> bool {
    let candidates =
        capacity.candidates.values().filter(|candidate| candidate.report.pool == *pool);
    let (free, all) = candidates.fold((0, 0), |(free, all), candidate| {
        (free + candidate.free.weight(), all + candidate.report.capacity.weight())
    });
    (all - free.min(all)) * 100 >= all * USED_MIN_PERCENT
}

/// When a gang could start within a scope, and the upstreams that can hold its members soonest, one
/// entry for each member.
fn earliest_fit(
    now: Time,
    step: &ReadyStep<'_>,
    scope: &Scope<'_>,
    ledger: &WorkflowLedger,
    speeds: &SpeedTracker,
    capacity: &CapacityMap<'_>,
) -> Option<(Time, Vec<UpstreamName>)> {
    let mut slots: Vec<(Time, &UpstreamName)> = Vec::new();
    for name in &scope.names {
        let Some(candidate) = capacity.candidates.get(*name) else { continue };
        let times = member_start_times(now, step, candidate, ledger, speeds);
        slots.extend(times.into_iter().map(|at| (at, *name)));
    }
    slots.sort();
    slots.truncate(step.waiting.len());
    if slots.len() < step.waiting.len() {
        return None;
    }
    let starts_at = slots.last().map_or(now, |(at, _)| *at);
    Some((starts_at, slots.into_iter().map(|(_, name)| name.clone()).collect()))
}

/// The times at which an upstream can hold the first, second, ... member, as its present runs end.
fn member_start_times(
    now: Time,
    step: &ReadyStep<'_>,
    candidate: &Candidate<'_>,
    ledger: &WorkflowLedger,
    speeds: &SpeedTracker,
) -> Vec<Time> {
    let claim = step.spec.claim();
    let taken = candidate.reservation.map_or_else(ResourceVector::default, |earlier| earlier.claim);
    let members_max = step.spec.per_upstream_max.unwrap_or(u32::MAX).min(step.spec.tasks);
    let mut ends: Vec<(Time, ResourceVector)> = ledger
        .occupancy()
        .runs(&candidate.report.name)
        .filter_map(|(task, open)| {
            let spec = ledger.step_spec(&task.step)?;
            let left = speeds.time_left(now, task, open, spec.estimate_ms);
            (!spec.long_running).then(|| (now.after(left), open.claim))
        })
        .collect();
    ends.sort_by_key(|(at, _)| *at);
    let mut free = candidate.available();
    let mut times = Vec::new();
    for (at, freed) in std::iter::once((now, ResourceVector::default())).chain(ends) {
        free = free.plus(&freed);
        let fits = free.minus(&taken).count_of(&claim, members_max);
        while times.len() < usize::try_from(fits).unwrap_or(usize::MAX) {
            times.push(at);
        }
    }
    times
}
