//! Which runs are preempted for an urgent step.
//!
//! Handles an urgent job that arrives when the pool is full and still has to start within its time
//! limit. Victims are chosen by the work that their stop throws away: little for tasks that can
//! save their progress, otherwise everything done since the start. A gang is one victim, since no
//! member can continue without the others. Work within an account's guarantee may also preempt
//! urgent work that no guarantee covers, once it has waited so long that it would otherwise start
//! too late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{RunRef, WorkflowLedger};
use hg_model::{JobId, ResourceVector, StepId, TaskId, Time, UpstreamName};

use super::WorkflowBounds;
use super::capacity_map::CapacityMap;
use super::placement::{Scope, is_below_upstream_limit, running_counts, scopes};
use super::ready_steps::ReadyStep;

/// The cost of running outside the best rack, in run times of the step.
const REMOTE_COST: u64 = 2;

/// Runs that can only be stopped together, and the cost of stopping them.
#[derive(Debug)]
struct Victim {
    runs: Vec<(RunRef, ResourceVector)>,
    cost: u64,
}

/// A placement that becomes possible once the stops have taken effect.
#[derive(Debug)]
pub(crate) struct PreemptionPlan {
    /// The upstream of each waiting task.
    pub(crate) placements: BTreeMap<u32, UpstreamName>,
    /// The runs to stop.
    pub(crate) stops: Vec<RunRef>,
}

/// What preemption depends on beside the step and the capacity.
#[derive(Debug)]
pub(crate) struct PreemptionContext<'a> {
    pub(crate) now: Time,
    pub(crate) ledger: &'a WorkflowLedger,
    /// Runs for which a stop was decided, with the time of that decision.
    pub(crate) stopping: &'a BTreeMap<RunRef, Time>,
    /// The urgent workflows that a guarantee covers.
    pub(crate) covered: &'a BTreeSet<JobId>,
    pub(crate) bounds: &'a WorkflowBounds,
}

/// Finds the cheapest set of runs to stop so that all waiting tasks of an urgent step fit.
pub(crate) fn plan_preemption(
    cx: &PreemptionContext<'_>,
    step: &ReadyStep<'_>,
    capacity: &CapacityMap<'_>,
) -> Option<PreemptionPlan> {
    let victims = cx.victims(step);
    let plans = scopes(cx.now, step, capacity)
        .into_iter()
        .filter_map(|scope| plan_in_scope(step, &scope, capacity, &victims));
    let (_, plan) = plans.min_by_key(|(cost, _)| *cost)?;
    Some(plan)
}

impl PreemptionContext<'_> {
    /// All victims that a step could preempt, including runs that are stopping already.
    fn victims(&self, step: &ReadyStep<'_>) -> Vec<Victim> {
        let mut gangs: BTreeMap<StepId, Victim> = BTreeMap::new();
        let mut victims = Vec::new();
        for upstream in self.ledger.occupancy().upstreams() {
            for (task, open) in self.ledger.occupancy().runs(upstream) {
                let at = RunRef { upstream: upstream.clone(), task: task.clone(), run: open.run };
                if let Some(since) = self.stopping.get(&at) {
                    if self.now < since.after(self.bounds.stop_done()) {
                        victims.push(Victim { runs: vec![(at, open.claim)], cost: 0 });
                    }
                    continue;
                }
                let Some(cost) = self.cost(task, open.since).filter(|_| self.may_stop(step, task))
                else {
                    continue;
                };
                let run = (at, open.claim);
                if self.ledger.step_spec(&task.step).is_some_and(|spec| spec.gang) {
                    let victim = gangs.entry(task.step.clone());
                    let victim = victim.or_insert_with(|| Victim { runs: Vec::new(), cost: 0 });
                    victim.runs.push(run);
                    victim.cost += cost;
                } else {
                    victims.push(Victim { runs: vec![run], cost });
                }
            }
        }
        victims.extend(gangs.into_values());
        victims
    }

    /// Whether a step may preempt a run: the run's job is active, and either has a lower priority, or
    /// is urgent but not covered while the step is covered by a guarantee and has waited for so long
    /// that it would otherwise start too late.
    fn may_stop(&self, step: &ReadyStep<'_>, task: &TaskId) -> bool {
        let Some(job) = self.ledger.job(&task.step.job).filter(|job| job.is_active()) else {
            return false;
        };
        let is_uncovered = job.terms.priority == 0 && !self.covered.contains(&task.step.job);
        let may_preempt_uncovered =
            step.is_covered() && self.now >= step.due.after(self.bounds.guarantee_preempts_after());
        job.terms.priority > step.job.terms.priority || (may_preempt_uncovered && is_uncovered)
    }

    /// The work that stopping a run throws away, in thousandths of a core times milliseconds; `None` if
    /// the run may not be stopped because it is long-running. Even if all progress is saved, the task has
    /// to be restored.
    fn cost(&self, task: &TaskId, since: Time) -> Option<u64> {
        let spec = self.ledger.step_spec(&task.step)?;
        if spec.long_running {
            return None;
        }
        let progress = if spec.checkpointable { Duration::ZERO } else { self.now.since(since) };
        let lost = progress.saturating_add(self.bounds.restore);
        let lost_ms = u64::try_from(lost.as_millis()).unwrap_or(u64::MAX);
        Some(lost_ms.saturating_mul(spec.per_task.weight()))
    }
}

/// Places all waiting tasks within a scope and chooses victims where the free capacity does not
/// suffice. Returns the cost with the plan.
fn plan_in_scope(
    step: &ReadyStep<'_>,
    scope: &Scope<'_>,
    capacity: &CapacityMap<'_>,
    victims: &[Victim],
) -> Option<(u64, PreemptionPlan)> {
    let claim = step.spec.claim();
    let mut capacity = capacity.clone();
    let mut counts = running_counts(step);
    let mut chosen: BTreeSet<usize> = BTreeSet::new();
    let mut placements = BTreeMap::new();
    let mut total_cost = 0;
    // A slower member costs all other members a share of their time; remote members cost far more.
    let work = step.spec.estimate_ms.saturating_mul(step.spec.per_task.weight());
    let slower_cost = if step.spec.gang { work } else { 0 };
    if !scope.is_local {
        total_cost += work.saturating_mul(u64::from(step.spec.tasks) * REMOTE_COST);
    }
    let by_upstream = victims_by_upstream(victims);
    for task in &step.waiting {
        let names = scope.names.iter().filter(|name| is_below_upstream_limit(step, &counts, name));
        let options = names.filter_map(|name| {
            let (cost, evict) =
                cheapest_eviction(name, &claim, &capacity, victims, &by_upstream, &chosen)?;
            let candidate = capacity.candidates.get(*name)?;
            let cost = cost + if candidate.slower { slower_cost } else { 0 };
            Some((cost, candidate.available().accelerators, *name, evict))
        });
        let (cost, _, name, evict) =
            options.min_by_key(|(cost, left, name, _)| (*cost, *left, *name))?;
        for victim in evict {
            chosen.insert(victim);
            for (run, freed) in &victims[victim].runs {
                capacity.release(&run.upstream, freed);
            }
        }
        total_cost += cost;
        capacity.allocate(name, &claim);
        *counts.entry(name.clone()).or_insert(0) += 1;
        placements.insert(*task, name.clone());
    }
    let stops = chosen.iter().flat_map(|victim| &victims[*victim].runs).map(|(run, _)| run.clone());
    Some((total_cost, PreemptionPlan { placements, stops: stops.collect() }))
}

fn victims_by_upstream(victims: &[Victim]) -> BTreeMap<&UpstreamName, Vec<usize>> {
    let mut map: BTreeMap<&UpstreamName, Vec<usize>> = BTreeMap::new();
    for (number, victim) in victims.iter().enumerate() {
        let upstreams: BTreeSet<&UpstreamName> =
            victim.runs.iter().map(|(run, _)| &run.upstream).collect();
        for upstream in upstreams {
            map.entry(upstream).or_default().push(number);
        }
    }
    for numbers in map.values_mut() {
        numbers.sort_by_key(|number| victims[*number].cost);
    }
    map
}

/// Chooses victims on one upstream in order of their cost until one more task fits there. Returns
/// their total cost and their indices.
fn cheapest_eviction(
    name: &UpstreamName,
    claim: &ResourceVector,
    capacity: &CapacityMap<'_>,
    victims: &[Victim],
    by_upstream: &BTreeMap<&UpstreamName, Vec<usize>>,
    chosen: &BTreeSet<usize>,
) -> Option<(u64, Vec<usize>)> {
    let candidate = capacity.candidates.get(name)?;
    let mut free = candidate.free;
    let mut evict = Vec::new();
    let mut cost = 0;
    if claim.fits(&free.minus(&candidate.held)) {
        return Some((0, evict));
    }
    for number in by_upstream.get(name).into_iter().flatten() {
        if chosen.contains(number) {
            continue;
        }
        let victim = &victims[*number];
        for (_, freed) in victim.runs.iter().filter(|(run, _)| run.upstream == *name) {
            free = free.plus(freed);
        }
        cost += victim.cost;
        evict.push(*number);
        if claim.fits(&free.minus(&candidate.held)) {
            return Some((cost, evict));
        }
    }
    None
}
