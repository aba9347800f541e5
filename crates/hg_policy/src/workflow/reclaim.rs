//! Which work is stopped to make room for an urgent step.
//!
//! Answers the load in which the pool is full when an urgent job comes: it must begin within its bound.
//! Work is chosen by what its stop throws away: little for tasks whose progress can be saved, else all
//! that was done since the start. A gang counts as a whole, since none of it goes on without the rest.
//! What an account is guaranteed may also take room from urgent work that no guarantee covers, once it has
//! waited for so long that it would miss its bound otherwise.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{RunRef, WorkflowLedger};
use hg_model::{JobId, ResourceVector, StepId, TaskId, Time, UpstreamName};

use super::placement::{Scope, has_turn, running_counts, scopes};
use super::ready::ReadyStep;
use super::room_map::RoomMap;

/// What a stop costs even if all progress is saved, in milliseconds of the task: it has to be loaded again.
const RESUME_COST_MS: u64 = 600;

/// Room of a run that is being stopped counts as nearly free for this long: a stop takes half a second at most.
const STOP_LIMIT: Duration = Duration::from_millis(800);

/// How long guaranteed work waits before it takes room from urgent work: it has to begin within 2.9 s, and
/// clearing takes up to half a second, twice if the first try fails.
const CLAIM_AFTER: Duration = Duration::from_millis(1_200);

/// What running far from the best rack costs, in run times of the step.
const FAR_COST: u64 = 2;

/// Work that stops as one.
#[derive(Debug)]
struct Unit {
    runs: Vec<(RunRef, ResourceVector)>,
    cost: u64,
}

/// Room that will be free once the stops have ended.
#[derive(Debug)]
pub(crate) struct Clearance {
    /// Where each waiting task is to go.
    pub(crate) placements: BTreeMap<u32, UpstreamName>,
    /// What has to be stopped.
    pub(crate) stops: Vec<RunRef>,
}

/// Finds the cheapest work to stop so that all waiting tasks of an urgent step fit.
pub(crate) fn clear_for(
    now: Time,
    step: &ReadyStep<'_>,
    room: &RoomMap<'_>,
    ledger: &WorkflowLedger,
    stopping: &BTreeMap<RunRef, Time>,
    covered: &BTreeSet<JobId>,
) -> Option<Clearance> {
    let units = units(now, step, ledger, stopping, covered);
    let plans =
        scopes(now, step, room).into_iter().filter_map(|scope| plan(step, &scope, room, &units));
    let (_, clearance) = plans.min_by_key(|(cost, _)| *cost)?;
    Some(clearance)
}

/// Everything that may be stopped for a step.
fn units(
    now: Time,
    step: &ReadyStep<'_>,
    ledger: &WorkflowLedger,
    stopping: &BTreeMap<RunRef, Time>,
    covered: &BTreeSet<JobId>,
) -> Vec<Unit> {
    let mut gangs: BTreeMap<StepId, Unit> = BTreeMap::new();
    let mut units = Vec::new();
    for upstream in ledger.occupancy().upstreams() {
        for (task, open) in ledger.occupancy().runs(upstream) {
            let at = RunRef { upstream: upstream.clone(), task: task.clone(), run: open.run };
            if let Some(since) = stopping.get(&at) {
                if now < since.after(STOP_LIMIT) {
                    units.push(Unit { runs: vec![(at, open.claim)], cost: 0 });
                }
                continue;
            }
            let yields = yields_to(now, step, ledger, task, covered);
            let Some(cost) = stop_cost(now, ledger, task, open.since).filter(|_| yields) else {
                continue;
            };
            let run = (at, open.claim);
            if ledger.step_spec(&task.step).is_some_and(|spec| spec.gang) {
                let unit = gangs.entry(task.step.clone());
                let unit = unit.or_insert_with(|| Unit { runs: Vec::new(), cost: 0 });
                unit.runs.push(run);
                unit.cost += cost;
            } else {
                units.push(Unit { runs: vec![run], cost });
            }
        }
    }
    units.extend(gangs.into_values());
    units
}

/// Whether a run may be stopped for a step.
fn yields_to(
    now: Time,
    step: &ReadyStep<'_>,
    ledger: &WorkflowLedger,
    task: &TaskId,
    covered: &BTreeSet<JobId>,
) -> bool {
    let Some(job) = ledger.job(&task.step.job).filter(|job| job.is_active()) else { return false };
    let is_uncovered = job.terms.priority == 0 && !covered.contains(&task.step.job);
    let may_claim = step.is_covered() && now >= step.due.after(CLAIM_AFTER);
    job.terms.priority > step.job.terms.priority || (may_claim && is_uncovered)
}

/// What stopping a run throws away, in thousandths of a core times milliseconds; `None` if it must go on.
fn stop_cost(now: Time, ledger: &WorkflowLedger, task: &TaskId, since: Time) -> Option<u64> {
    let spec = ledger.step_spec(&task.step)?;
    if spec.long_running {
        return None;
    }
    let elapsed = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
    let lost = if spec.checkpointable { RESUME_COST_MS } else { elapsed + RESUME_COST_MS };
    Some(lost.saturating_mul(spec.per_task.weight()))
}

/// Places all waiting tasks in a scope, stopping units where free room does not do.
fn plan(
    step: &ReadyStep<'_>,
    scope: &Scope<'_>,
    room: &RoomMap<'_>,
    units: &[Unit],
) -> Option<(u64, Clearance)> {
    let claim = step.spec.claim();
    let mut room = room.clone();
    let mut counts = running_counts(step);
    let mut chosen: BTreeSet<usize> = BTreeSet::new();
    let mut placements = BTreeMap::new();
    let mut total = 0;
    // A slower member costs all others a share of their time; far members cost far more.
    let work = step.spec.estimate_ms.saturating_mul(step.spec.per_task.weight());
    let slower_cost = if step.spec.gang { work } else { 0 };
    if !scope.is_near {
        total += work.saturating_mul(u64::from(step.spec.tasks) * FAR_COST);
    }
    let by_upstream = units_by_upstream(units);
    for task in &step.waiting {
        let open = scope.names.iter().filter(|name| has_turn(step, &counts, name));
        let options = open.filter_map(|name| {
            let (cost, evict) = eviction(name, &claim, &room, units, &by_upstream, &chosen)?;
            let seat = room.seats.get(*name)?;
            let cost = cost + if seat.slower { slower_cost } else { 0 };
            Some((cost, seat.open().accelerators, *name, evict))
        });
        let (cost, _, name, evict) =
            options.min_by_key(|(cost, left, name, _)| (*cost, *left, *name))?;
        for unit in evict {
            chosen.insert(unit);
            for (run, freed) in &units[unit].runs {
                room.give(&run.upstream, freed);
            }
        }
        total += cost;
        room.take(name, &claim);
        *counts.entry(name.clone()).or_insert(0) += 1;
        placements.insert(*task, name.clone());
    }
    let stops = chosen.iter().flat_map(|unit| &units[*unit].runs).map(|(run, _)| run.clone());
    Some((total, Clearance { placements, stops: stops.collect() }))
}

fn units_by_upstream(units: &[Unit]) -> BTreeMap<&UpstreamName, Vec<usize>> {
    let mut map: BTreeMap<&UpstreamName, Vec<usize>> = BTreeMap::new();
    for (number, unit) in units.iter().enumerate() {
        let upstreams: BTreeSet<&UpstreamName> =
            unit.runs.iter().map(|(run, _)| &run.upstream).collect();
        for upstream in upstreams {
            map.entry(upstream).or_default().push(number);
        }
    }
    for numbers in map.values_mut() {
        numbers.sort_by_key(|number| units[*number].cost);
    }
    map
}

/// The cheapest units to stop on one upstream so that one more task fits there, with their cost.
fn eviction(
    name: &UpstreamName,
    claim: &ResourceVector,
    room: &RoomMap<'_>,
    units: &[Unit],
    by_upstream: &BTreeMap<&UpstreamName, Vec<usize>>,
    chosen: &BTreeSet<usize>,
) -> Option<(u64, Vec<usize>)> {
    let seat = room.seats.get(name)?;
    let mut free = seat.free;
    let mut evict = Vec::new();
    let mut cost = 0;
    if claim.fits(&free.minus(&seat.held)) {
        return Some((0, evict));
    }
    for number in by_upstream.get(name).into_iter().flatten() {
        if chosen.contains(number) {
            continue;
        }
        let unit = &units[*number];
        for (_, freed) in unit.runs.iter().filter(|(run, _)| run.upstream == *name) {
            free = free.plus(freed);
        }
        cost += unit.cost;
        evict.push(*number);
        if claim.fits(&free.minus(&seat.held)) {
            return Some((cost, evict));
        }
    }
    None
}
