//! Where the tasks of a step are placed.
//!
//! Handles many small tasks that would scatter over the racks until large ones starve: a task is
//! placed where it leaves the least capacity free (best fit), and a step that is to stay within one
//! rack gets the rack with the least free capacity that can hold it.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_model::{ResourceVector, Time, UpstreamName};

use super::capacity_map::{Candidate, CapacityMap, Position};
use super::contention::StepMixes;
use super::ready_steps::ReadyStep;
use super::reservation::Reservation;
use super::speed_placement::TierRanks;

/// How long a step waits for its preferred rack before it accepts a slower placement, in percent of
/// the task's estimated run time. A slower placement costs two more run times.
const LOCALITY_WAIT_PERCENT: u64 = 100;

/// A set of upstreams that is tried for a step.
#[derive(Debug)]
pub(crate) struct Scope {
    /// Their positions in the capacity map, in ascending order.
    pub(crate) members: Vec<Position>,
    /// Whether the step runs at full speed within this scope.
    pub(crate) is_local: bool,
}

/// Finds upstreams with enough free capacity for a step's waiting tasks.
///
/// The result names an upstream for each task that can start; for a gang it names all of them or
/// none. A gang is as slow as its slowest member, so slower upstreams are avoided where possible,
/// but a slower upstream is preferred to a remote rack. `tiers` holds the passes over hosts of
/// different lasting speeds, a single one over all hosts where speeds are not in effect.
pub(crate) fn place(
    now: Time,
    step: &ReadyStep<'_>,
    capacity: &CapacityMap<'_>,
    tiers: &[TierRanks],
) -> BTreeMap<u32, UpstreamName> {
    place_by(least_slowed, now, step, capacity, tiers)
}

/// The same without regard to contention.
pub(crate) fn place_packed(
    now: Time,
    step: &ReadyStep<'_>,
    capacity: &CapacityMap<'_>,
    tiers: &[TierRanks],
) -> BTreeMap<u32, UpstreamName> {
    place_by(packed, now, step, capacity, tiers)
}

fn place_by(
    fit: impl Fn(
        Time,
        &ReadyStep<'_>,
        &[Position],
        &CapacityMap<'_>,
        Pass<'_>,
    ) -> BTreeMap<u32, UpstreamName>,
    now: Time,
    step: &ReadyStep<'_>,
    capacity: &CapacityMap<'_>,
    tiers: &[TierRanks],
) -> BTreeMap<u32, UpstreamName> {
    let scopes = scopes(now, step, capacity);
    let mut best = BTreeMap::new();
    // Single tasks are as well off on slower upstreams and leave the faster ones to gangs.
    let slower: &[bool] = if step.spec.gang { &[false, true] } else { &[true] };
    // Gangs are as slow as their slowest member, and urgent tasks have no time to lose.
    let avoids_cold = (step.spec.gang || step.is_urgent()) && capacity.has_cold();
    let cold: &[bool] = if avoids_cold { &[false, true] } else { &[true] };
    let rounds = cold.iter().flat_map(|with_cold| [(*with_cold, true), (*with_cold, false)]);
    for (with_cold, is_local) in rounds {
        let passes = tiers.iter().flat_map(|tiers| {
            slower.iter().map(move |with_slower| Pass {
                with_slower: *with_slower,
                with_cold,
                tiers,
            })
        });
        for pass in passes {
            for scope in scopes.iter().filter(|scope| scope.is_local == is_local) {
                let placed = fit(now, step, &scope.members, capacity, pass);
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

/// The scopes to try for a step, best first.
pub(crate) fn scopes(now: Time, step: &ReadyStep<'_>, capacity: &CapacityMap<'_>) -> Vec<Scope> {
    let (pool, spec) = (step.pool, step.spec);
    let mut scopes = Vec::new();
    if let Some(rack) = &spec.data_rack {
        let members = allowed(step, capacity, capacity.able_in_rack(rack, pool, spec));
        scopes.push(Scope { members, is_local: true });
    } else if spec.rack_local {
        let racks = capacity.able_by_rack(pool, spec).into_iter();
        let mut racks: Vec<_> = racks.map(|members| allowed(step, capacity, members)).collect();
        racks.sort_by_key(|members| {
            let available = members.iter().map(|position| capacity.at(*position).available());
            available.map(|available| u64::from(available.accelerators)).sum::<u64>()
        });
        scopes.extend(racks.into_iter().map(|members| Scope { members, is_local: true }));
    }
    let wants_rack = spec.data_rack.is_some() || spec.rack_local;
    let could_fit_local = scopes.iter().any(|scope| could_hold(step, &scope.members, capacity));
    if !wants_rack || !could_fit_local || is_locality_wait_over(now, step) {
        let members = allowed(step, capacity, capacity.able(pool, spec));
        scopes.push(Scope { members, is_local: !wants_rack });
    }
    scopes
}

/// Those of some upstreams on which a step is allowed.
fn allowed(
    step: &ReadyStep<'_>,
    capacity: &CapacityMap<'_>,
    mut members: Vec<Position>,
) -> Vec<Position> {
    if let Some(allowed) = &step.allowed {
        members.retain(|position| allowed.contains(&capacity.at(*position).report.name));
    }
    members
}

/// A share of a time that a request stated, which may be as long as can be encoded.
pub(crate) const fn percent_of(ms: u64, percent: u64) -> u64 {
    ms.saturating_mul(percent) / 100
}

fn is_locality_wait_over(now: Time, step: &ReadyStep<'_>) -> bool {
    let wait = Duration::from_millis(percent_of(step.spec.estimate_ms, LOCALITY_WAIT_PERCENT));
    now >= step.due.after(wait)
}

/// Whether a scope could hold all tasks of the step if nothing else ran there.
fn could_hold(step: &ReadyStep<'_>, scope: &[Position], capacity: &CapacityMap<'_>) -> bool {
    let claim = step.spec.claim();
    let per_upstream_max = step.spec.per_upstream_max.unwrap_or(u32::MAX);
    let count_max = step.spec.tasks.min(per_upstream_max);
    let counts = scope.iter().map(|position| {
        u64::from(capacity.at(*position).report.capacity.count_of(&claim, count_max))
    });
    counts.sum::<u64>() >= u64::from(step.spec.tasks)
}

/// Which upstreams of a scope are tried.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pass<'a> {
    /// Whether upstreams that are slower than others at present are used.
    with_slower: bool,
    /// Whether upstreams that are cold are used.
    with_cold: bool,
    /// The tiers of lasting speed that are used, and their order.
    tiers: &'a TierRanks,
}

/// An upstream while tasks of a step are assigned to it.
struct Slot<'a, 'b> {
    candidate: &'b Candidate<'a>,
    /// The rank of its tier of lasting speed.
    rank: usize,
    available: ResourceVector,
    /// The expected slow-down there; it is compared before best fit, or only among equal choices.
    slow_down: u32,
    is_slow_down_first: bool,
}

impl Slot<'_, '_> {
    /// Whether one more task of the step may start there.
    fn can_take(&self, fill: &Fill<'_, '_>) -> bool {
        fill.claim.fits(&self.available)
            && may_use(fill.now, fill.step, self.candidate, &self.available)
            && is_below_upstream_limit(fill.step, &fill.counts, &self.candidate.report.name)
    }

    /// Orders upstreams by the rank of their tier and then by what is left there; the fullest comes
    /// first.
    const fn fill_order(&self) -> (usize, u32, u32, u32, u32) {
        let (first, last) =
            if self.is_slow_down_first { (self.slow_down, 0) } else { (0, self.slow_down) };
        (self.rank, first, self.available.accelerators, self.available.millicores, last)
    }
}

/// The assignment of a step's waiting tasks to upstreams.
struct Fill<'a, 'b> {
    now: Time,
    step: &'b ReadyStep<'a>,
    claim: ResourceVector,
    /// The number of running tasks of the step, by upstream, those that were just placed included.
    counts: BTreeMap<UpstreamName, u32>,
    placed: BTreeMap<u32, UpstreamName>,
}

impl Fill<'_, '_> {
    fn place(&mut self, task: u32, slot: &mut Slot<'_, '_>) {
        let name = &slot.candidate.report.name;
        slot.available = slot.available.minus(&self.claim);
        if slot.candidate.is_cold {
            slot.available = ResourceVector::default();
        }
        *self.counts.entry(name.clone()).or_insert(0) += 1;
        self.placed.insert(task, name.clone());
    }

    /// Fills one upstream after the other: the fullest one stays the fullest while it is filled.
    fn fill_in_order(&mut self, mut slots: Vec<Slot<'_, '_>>) {
        slots.sort_by_key(Slot::fill_order);
        let mut tasks = self.step.waiting.iter().copied().peekable();
        for slot in &mut slots {
            while let Some(task) = tasks.peek().copied() {
                if !slot.can_take(self) {
                    break;
                }
                self.place(task, slot);
                tasks.next();
            }
        }
    }

    /// Places one task on each upstream in turn, for tasks that slow each other down.
    fn fill_in_turn(&mut self, mut slots: Vec<Slot<'_, '_>>) {
        let mut tasks = self.step.waiting.iter().copied().peekable();
        slots.sort_by_key(Slot::fill_order);
        while tasks.peek().is_some() {
            slots.retain(|slot| slot.can_take(self));
            if slots.is_empty() {
                return;
            }
            for (slot, task) in slots.iter_mut().zip(&mut tasks) {
                self.place(task, slot);
            }
        }
    }

    /// Finds an upstream for each task by itself, since tasks that failed somewhere avoid that upstream.
    fn fill_each(&mut self, mut slots: Vec<Slot<'_, '_>>) {
        for task in &self.step.waiting {
            let avoided = failed_at(self.step, *task);
            let usable = slots.iter_mut().filter(|slot| slot.can_take(self));
            let best = usable.min_by_key(|slot| {
                (Some(&slot.candidate.report.name) == avoided, slot.fill_order())
            });
            let Some(slot) = best else { return };
            self.place(*task, slot);
        }
    }
}

fn packed(
    now: Time,
    step: &ReadyStep<'_>,
    scope: &[Position],
    capacity: &CapacityMap<'_>,
    pass: Pass<'_>,
) -> BTreeMap<u32, UpstreamName> {
    best_fit(now, step, scope, capacity, pass, None)
}

/// Places as many waiting tasks as best fit does. Where contention was found and there is room, each goes
/// to the upstream with the least expected slow-down, otherwise that decides among equal choices.
fn least_slowed(
    now: Time,
    step: &ReadyStep<'_>,
    scope: &[Position],
    capacity: &CapacityMap<'_>,
    pass: Pass<'_>,
) -> BTreeMap<u32, UpstreamName> {
    let packed = packed(now, step, scope, capacity, pass);
    let Some(mixes) = capacity.mixes_for(step).filter(|_| !packed.is_empty()) else {
        return packed;
    };
    let spread = best_fit(now, step, scope, capacity, pass, Some(&mixes));
    if spread.len() < packed.len() { packed } else { spread }
}

/// Places as many waiting tasks as possible within a scope, each on the upstream where it leaves
/// the least capacity free. An upstream on which the task failed before is the last choice. With
/// `mixes`, the expected slow-down is taken into account.
fn best_fit(
    now: Time,
    step: &ReadyStep<'_>,
    scope: &[Position],
    capacity: &CapacityMap<'_>,
    pass: Pass<'_>,
    mixes: Option<&StepMixes<'_>>,
) -> BTreeMap<u32, UpstreamName> {
    let is_slow_down_first = mixes.is_some_and(|mixes| mixes.may_leave_best_fit(capacity));
    let claim = step.spec.claim();
    let placed = BTreeMap::new();
    let mut fill = Fill { now, step, claim, counts: running_counts(step), placed };
    let slots = scope.iter().map(|position| (*position, capacity.at(*position)));
    let slots = slots.filter(|(_, candidate)| pass.with_slower || !candidate.slower);
    let slots = slots.filter(|(_, candidate)| pass.with_cold || !candidate.is_cold);
    let slots = slots.filter_map(|(position, candidate)| {
        let rank = pass.tiers.rank(candidate.tier)?;
        let available = candidate.available();
        let slow_down = mixes.map_or(0, |mixes| mixes.slow_down_steps(position));
        Some(Slot { candidate, rank, available, slow_down, is_slow_down_first })
    });
    let slots: Vec<Slot<'_, '_>> = slots.filter(|slot| slot.can_take(&fill)).collect();
    if step.waiting.iter().any(|task| failed_at(step, *task).is_some()) {
        fill.fill_each(slots);
    } else if is_slow_down_first && mixes.is_some_and(|mixes| mixes.is_slow_beside_itself()) {
        fill.fill_in_turn(slots);
    } else {
        fill.fill_in_order(slots);
    }
    fill.placed
}

/// Whether the capacity that an upstream keeps for other steps still allows a task of this step to
/// start there.
fn may_use(
    now: Time,
    step: &ReadyStep<'_>,
    candidate: &Candidate<'_>,
    available: &ResourceVector,
) -> bool {
    let allows = |reservation: Reservation| reservation.allows(now, available, step);
    step.is_urgent() || (!candidate.urgent_only && candidate.reservation.is_none_or(allows))
}

/// The number of running tasks of the step, by upstream.
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

/// Whether the step's `per_upstream_max` allows one more task on this upstream.
pub(crate) fn is_below_upstream_limit(
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
