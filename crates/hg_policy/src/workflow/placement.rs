//! Where a step's tasks go.
//!
//! Answers the load in which many small tasks scatter over the racks until large ones starve: a task
//! goes where it leaves the least room, and a step that wants one rack takes the fullest that fits.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_model::{Time, UpstreamName};

use super::ready::ReadyStep;
use super::reservation::Reservation;
use super::room_map::{RoomMap, Seat};

/// How long a step waits for its best rack before it takes a slower place, as a share of the task's
/// estimated run time in percent. A slower place costs two more run times.
const PATIENCE_PERCENT: u64 = 100;

/// A set of upstreams to try.
#[derive(Debug)]
pub(crate) struct Scope<'a> {
    pub(crate) names: Vec<&'a UpstreamName>,
    /// Whether the step runs at full speed in it.
    pub(crate) is_near: bool,
}

/// Finds upstreams for a step's waiting tasks in the free room.
///
/// The result names an upstream for each task that can start; for a gang all of them or none. A gang
/// is as slow as its slowest member, so it goes without slower upstreams where it can, but rather
/// there than far away.
pub(crate) fn place(
    now: Time,
    step: &ReadyStep<'_>,
    room: &RoomMap<'_>,
) -> BTreeMap<u32, UpstreamName> {
    let scopes = scopes(now, step, room);
    let mut best = BTreeMap::new();
    // Single tasks are as well off on slower upstreams and leave the others to gangs.
    let passes: &[bool] = if step.spec.gang { &[false, true] } else { &[true] };
    for is_near in [true, false] {
        for with_slower in passes.iter().copied() {
            for scope in scopes.iter().filter(|scope| scope.is_near == is_near) {
                let placed = fill(now, step, &scope.names, room, with_slower);
                if placed.len() == step.waiting.len() {
                    return placed;
                }
                if !step.spec.gang && placed.len() > best.len() {
                    best = placed;
                }
            }
        }
    }
    best
}

/// The sets of upstreams to try, best first.
pub(crate) fn scopes<'a>(now: Time, step: &ReadyStep<'_>, room: &RoomMap<'a>) -> Vec<Scope<'a>> {
    let mut racks = room.racks(&step.job.terms.pool, step.spec);
    if let Some(allowed) = &step.allowed {
        for seats in racks.values_mut() {
            seats.retain(|seat| allowed.contains(&seat.report.name));
        }
    }
    let names = |seats: &Vec<&Seat<'a>>| seats.iter().map(|s| &s.report.name).collect::<Vec<_>>();
    let near = |seats: &Vec<&Seat<'a>>| Scope { names: names(seats), is_near: true };
    let mut scopes = Vec::new();
    if let Some(rack) = &step.spec.data_rack {
        scopes.extend(racks.get(rack).map(near));
    } else if step.spec.rack_local {
        let mut by_room: Vec<_> = racks.values().collect();
        by_room.sort_by_key(|seats| {
            seats.iter().map(|s| u64::from(s.open().accelerators)).sum::<u64>()
        });
        scopes.extend(by_room.into_iter().map(near));
    }
    let wants_rack = step.spec.data_rack.is_some() || step.spec.rack_local;
    let could_fit = scopes.iter().any(|scope| could_hold(step, &scope.names, room));
    if !wants_rack || !could_fit || is_out_of_patience(now, step) {
        let all = racks.values().flat_map(names).collect();
        scopes.push(Scope { names: all, is_near: !wants_rack });
    }
    scopes
}

fn is_out_of_patience(now: Time, step: &ReadyStep<'_>) -> bool {
    let patience = Duration::from_millis(step.spec.estimate_ms * PATIENCE_PERCENT / 100);
    now >= step.due.after(patience)
}

/// Whether a scope could hold all of the step's tasks if nothing else ran there.
fn could_hold(step: &ReadyStep<'_>, scope: &[&UpstreamName], room: &RoomMap<'_>) -> bool {
    let claim = step.spec.claim();
    let each_max = step.spec.per_upstream_max.unwrap_or(u32::MAX);
    let holds = |name: &&UpstreamName| {
        let seat = room.seats.get(*name);
        seat.map_or(0, |s| {
            u64::from(s.report.capacity.count_of(&claim, step.spec.tasks.min(each_max)))
        })
    };
    scope.iter().map(holds).sum::<u64>() >= u64::from(step.spec.tasks)
}

/// Puts as many waiting tasks as possible into a scope, each where it leaves the least room.
pub(crate) fn fill(
    now: Time,
    step: &ReadyStep<'_>,
    scope: &[&UpstreamName],
    room: &RoomMap<'_>,
    with_slower: bool,
) -> BTreeMap<u32, UpstreamName> {
    let claim = step.spec.claim();
    let mut seats: Vec<Seat<'_>> =
        scope.iter().filter_map(|name| room.seats.get(*name)).cloned().collect();
    let mut counts = running_counts(step);
    let mut placed = BTreeMap::new();
    for task in &step.waiting {
        let fits = |seat: &&mut Seat<'_>| {
            (with_slower || !seat.slower)
                && may_use(now, step, seat)
                && claim.fits(&seat.open())
                && has_turn(step, &counts, &seat.report.name)
        };
        let avoided = failed_at(step, *task);
        let best = seats.iter_mut().filter(fits).min_by_key(|seat| {
            let left = seat.open().minus(&claim);
            (Some(&seat.report.name) == avoided, left.accelerators, left.millicores)
        });
        let Some(seat) = best else { break };
        seat.free = seat.free.minus(&claim);
        *counts.entry(seat.report.name.clone()).or_insert(0) += 1;
        placed.insert(*task, seat.report.name.clone());
    }
    placed
}

/// Whether what is kept free on an upstream for others lets a task of the step start there.
fn may_use(now: Time, step: &ReadyStep<'_>, seat: &Seat<'_>) -> bool {
    let beside = |reservation: Reservation| reservation.allows(now, &seat.open(), step);
    step.is_urgent() || (!seat.reserved && seat.reservation.is_none_or(beside))
}

/// How many of the step's tasks run on each upstream.
pub(crate) fn running_counts(step: &ReadyStep<'_>) -> BTreeMap<UpstreamName, u32> {
    let mut counts = BTreeMap::new();
    if let Some(record) = step.record {
        for task in &record.tasks {
            if let hg_ledger::TaskState::Running { upstream } = &task.state {
                *counts.entry(upstream.clone()).or_insert(0) += 1;
            }
        }
    }
    counts
}

/// Whether the limit on tasks of one step on one upstream allows another.
pub(crate) fn has_turn(
    step: &ReadyStep<'_>,
    counts: &BTreeMap<UpstreamName, u32>,
    upstream: &UpstreamName,
) -> bool {
    let count = counts.get(upstream).copied().unwrap_or(0);
    step.spec.per_upstream_max.is_none_or(|max| count < max)
}

fn failed_at<'a>(step: &'a ReadyStep<'_>, task: u32) -> Option<&'a UpstreamName> {
    let task = step.record?.tasks.get(usize::try_from(task).ok()?)?;
    task.failed_at.as_ref()
}
