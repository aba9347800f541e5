//! Room that is left to drain for gangs that find none.
//!
//! Answers the load in which small tasks take every accelerator that becomes free, so that gangs that need
//! whole upstreams never begin: the first gangs in the order get the upstreams that drain soonest. Others may
//! start there only if they end before the gang can begin, or leave it its room (EASY backfill, Lifka 1995).

use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{PoolName, ResourceVector, Time, UpstreamName};

use super::placement::{Scope, scopes};
use super::ready::ReadyStep;
use super::room_map::{RoomMap, Seat};
use super::speed::SpeedBook;

/// How many gangs have room reserved at the same time: those behind them wait for the next turn.
pub(crate) const RESERVATIONS_MAX: usize = 4;

/// Nothing is reserved while less of a pool is in use, in percent: then small tasks keep nobody out, and
/// waiting beside idle upstreams helps nobody.
const USED_LEAST_PERCENT: u64 = 60;

/// What an upstream keeps for a gang.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reservation {
    /// What the gang's members there need together.
    pub(crate) claim: ResourceVector,
    /// When the gang can begin.
    pub(crate) begins: Time,
}

impl Reservation {
    /// Whether a task may start beside it.
    pub(crate) fn allows(&self, now: Time, open: &ResourceVector, step: &ReadyStep<'_>) -> bool {
        let ends = now.after(Duration::from_millis(step.spec.estimate_ms));
        let leaves_room = self.claim.fits(&open.minus(&step.spec.claim()));
        leaves_room || (step.spec.estimate_ms > 0 && ends <= self.begins)
    }
}

/// Reserves the upstreams that can hold a gang soonest. Returns whether there are enough.
pub(crate) fn reserve(
    now: Time,
    step: &ReadyStep<'_>,
    ledger: &WorkflowLedger,
    speeds: &SpeedBook,
    room: &mut RoomMap<'_>,
) -> bool {
    if !is_busy(&step.job.terms.pool, room) {
        return false;
    }
    let plans = scopes(now, step, room).into_iter();
    let plans = plans.filter_map(|scope| plan(now, step, &scope, ledger, speeds, room));
    let Some((begins, upstreams)) = plans.min_by_key(|(begins, _)| *begins) else { return false };
    let claim = step.spec.claim();
    for upstream in upstreams {
        let Some(seat) = room.seats.get_mut(&upstream) else { continue };
        let known = seat.reservation.map_or_else(ResourceVector::default, |known| known.claim);
        seat.reservation = Some(Reservation { claim: known.plus(&claim), begins });
    }
    true
}

/// Whether so much of a pool is in use that small tasks may keep gangs out.
fn is_busy(pool: &PoolName, room: &RoomMap<'_>) -> bool {
    let seats = room.seats.values().filter(|seat| seat.report.pool == *pool);
    let (free, all) = seats.fold((0, 0), |(free, all), seat| {
        (free + seat.free.weight(), all + seat.report.capacity.weight())
    });
    (all - free.min(all)) * 100 >= all * USED_LEAST_PERCENT
}

/// The upstreams of a scope that have room for a member soonest, one entry for each member.
fn plan(
    now: Time,
    step: &ReadyStep<'_>,
    scope: &Scope<'_>,
    ledger: &WorkflowLedger,
    speeds: &SpeedBook,
    room: &RoomMap<'_>,
) -> Option<(Time, Vec<UpstreamName>)> {
    let mut slots: Vec<(Time, &UpstreamName)> = Vec::new();
    for name in &scope.names {
        let Some(seat) = room.seats.get(*name) else { continue };
        let times = free_times(now, step, seat, ledger, speeds);
        slots.extend(times.into_iter().map(|at| (at, *name)));
    }
    slots.sort();
    slots.truncate(step.waiting.len());
    if slots.len() < step.waiting.len() {
        return None;
    }
    let begins = slots.last().map_or(now, |(at, _)| *at);
    Some((begins, slots.into_iter().map(|(_, name)| name.clone()).collect()))
}

/// When an upstream can hold the first, second, ... member, as its present work ends.
fn free_times(
    now: Time,
    step: &ReadyStep<'_>,
    seat: &Seat<'_>,
    ledger: &WorkflowLedger,
    speeds: &SpeedBook,
) -> Vec<Time> {
    let claim = step.spec.claim();
    let taken = seat.reservation.map_or_else(ResourceVector::default, |known| known.claim);
    let members_max = step.spec.per_upstream_max.unwrap_or(u32::MAX).min(step.spec.tasks);
    let mut ends: Vec<(Time, ResourceVector)> = ledger
        .occupancy()
        .runs(&seat.report.name)
        .filter_map(|(task, open)| {
            let spec = ledger.step_spec(&task.step)?;
            let left = speeds.time_left(now, task, open, spec.estimate_ms);
            (!spec.long_running).then(|| (now.after(left), open.claim))
        })
        .collect();
    ends.sort_by_key(|(at, _)| *at);
    let mut free = seat.open();
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
