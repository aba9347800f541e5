//! Where the tasks of a step are placed.
//!
//! Handles many small tasks that would scatter over the racks until large ones starve: a task is
//! placed where it leaves the least capacity free (best fit), and a step that is to stay within one
//! rack gets the rack with the least free capacity that can hold it.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_model::{Time, UpstreamName};

use super::capacity_map::{Candidate, CapacityMap};
use super::ready_steps::ReadyStep;
use super::reservation::Reservation;

/// How long a step waits for its preferred rack before it accepts a slower placement, in percent of
/// the task's estimated run time. A slower placement costs two more run times.
const LOCALITY_WAIT_PERCENT: u64 = 100;

/// A set of upstreams that is tried for a step.
#[derive(Debug)]
pub(crate) struct Scope<'a> {
    pub(crate) names: Vec<&'a UpstreamName>,
    /// Whether the step runs at full speed within this scope.
    pub(crate) is_local: bool,
}

/// Finds upstreams with enough free capacity for a step's waiting tasks.
///
/// The result names an upstream for each task that can start; for a gang it names all of them or
/// none. A gang is as slow as its slowest member, so slower upstreams are avoided where possible,
/// but a slower upstream is preferred to a remote rack.
pub(crate) fn place(
    now: Time,
    step: &ReadyStep<'_>,
    capacity: &CapacityMap<'_>,
) -> BTreeMap<u32, UpstreamName> {
    let scopes = scopes(now, step, capacity);
    let mut best = BTreeMap::new();
    // Single tasks are as well off on slower upstreams and leave the faster ones to gangs.
    let passes: &[bool] = if step.spec.gang { &[false, true] } else { &[true] };
    for is_local in [true, false] {
        for with_slower in passes.iter().copied() {
            for scope in scopes.iter().filter(|scope| scope.is_local == is_local) {
                let placed = best_fit(now, step, &scope.names, capacity, with_slower);
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
pub(crate) fn scopes<'a>(
    now: Time,
    step: &ReadyStep<'_>,
    capacity: &CapacityMap<'a>,
) -> Vec<Scope<'a>> {
    let mut racks = capacity.racks(&step.job.terms.pool, step.spec);
    if let Some(allowed) = &step.allowed {
        for candidates in racks.values_mut() {
            candidates.retain(|candidate| allowed.contains(&candidate.report.name));
        }
    }
    let names = |candidates: &Vec<&Candidate<'a>>| {
        candidates.iter().map(|candidate| &candidate.report.name).collect::<Vec<_>>()
    };
    let local =
        |candidates: &Vec<&Candidate<'a>>| Scope { names: names(candidates), is_local: true };
    let mut scopes = Vec::new();
    if let Some(rack) = &step.spec.data_rack {
        scopes.extend(racks.get(rack).map(local));
    } else if step.spec.rack_local {
        let mut by_capacity: Vec<_> = racks.values().collect();
        by_capacity.sort_by_key(|candidates| {
            candidates
                .iter()
                .map(|candidate| u64::from(candidate.available().accelerators))
                .sum::<u64>()
        });
        scopes.extend(by_capacity.into_iter().map(local));
    }
    let wants_rack = step.spec.data_rack.is_some() || step.spec.rack_local;
    let could_fit_local = scopes.iter().any(|scope| could_hold(step, &scope.names, capacity));
    if !wants_rack || !could_fit_local || is_locality_wait_over(now, step) {
        let all = racks.values().flat_map(names).collect();
        scopes.push(Scope { names: all, is_local: !wants_rack });
    }
    scopes
}

fn is_locality_wait_over(now: Time, step: &ReadyStep<'_>) -> bool {
    let wait = Duration::from_millis(step.spec.estimate_ms * LOCALITY_WAIT_PERCENT / 100);
    now >= step.due.after(wait)
}

/// Whether a scope could hold all tasks of the step if nothing else ran there.
fn could_hold(step: &ReadyStep<'_>, scope: &[&UpstreamName], capacity: &CapacityMap<'_>) -> bool {
    let claim = step.spec.claim();
    let per_upstream_max = step.spec.per_upstream_max.unwrap_or(u32::MAX);
    let holds = |name: &&UpstreamName| {
        let candidate = capacity.candidates.get(*name);
        candidate.map_or(0, |candidate| {
            u64::from(
                candidate.report.capacity.count_of(&claim, step.spec.tasks.min(per_upstream_max)),
            )
        })
    };
    scope.iter().map(holds).sum::<u64>() >= u64::from(step.spec.tasks)
}

/// Places as many waiting tasks as possible within a scope, each on the upstream where it leaves
/// the least capacity free. An upstream on which the task failed before is the last choice.
pub(crate) fn best_fit(
    now: Time,
    step: &ReadyStep<'_>,
    scope: &[&UpstreamName],
    capacity: &CapacityMap<'_>,
    with_slower: bool,
) -> BTreeMap<u32, UpstreamName> {
    let claim = step.spec.claim();
    let mut candidates: Vec<Candidate<'_>> =
        scope.iter().filter_map(|name| capacity.candidates.get(*name)).cloned().collect();
    let mut counts = running_counts(step);
    let mut placed = BTreeMap::new();
    for task in &step.waiting {
        let fits = |candidate: &&mut Candidate<'_>| {
            (with_slower || !candidate.slower)
                && may_use(now, step, candidate)
                && claim.fits(&candidate.available())
                && is_below_upstream_limit(step, &counts, &candidate.report.name)
        };
        let avoided = failed_at(step, *task);
        let best = candidates.iter_mut().filter(fits).min_by_key(|candidate| {
            let left = candidate.available().minus(&claim);
            (Some(&candidate.report.name) == avoided, left.accelerators, left.millicores)
        });
        let Some(candidate) = best else { break };
        candidate.free = candidate.free.minus(&claim);
        *counts.entry(candidate.report.name.clone()).or_insert(0) += 1;
        placed.insert(*task, candidate.report.name.clone());
    }
    placed
}

/// Whether the capacity that an upstream keeps for other steps still allows a task of this step to
/// start there.
fn may_use(now: Time, step: &ReadyStep<'_>, candidate: &Candidate<'_>) -> bool {
    let allows = |reservation: Reservation| reservation.allows(now, &candidate.available(), step);
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
