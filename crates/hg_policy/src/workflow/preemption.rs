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

use hg_model::{JobId, ResourceVector, StepId, Time, UpstreamName};

use super::WorkflowBounds;
use super::capacity_map::{Candidate, CapacityMap, Position, release};
use super::fair_share::Shares;
use super::placement::{Scope, is_below_upstream_limit, running_counts, scopes};
use super::ready_steps::ReadyStep;
use super::run_table::{RunRow, RunTable};
use super::speed_placement::TierOrder;

/// The cost of running outside the best rack, in run times of the step.
const REMOTE_COST: u64 = 2;

/// What stopping a long-running task costs beside its restore, in milliseconds of its work: more than other work, which is
/// preempted first.
const LONG_RUNNING_COST_MS: u64 = 24 * 60 * 60 * 1_000;

/// Costs up to this factor apart are comparable: the work of an account beyond its fair share is stopped before
/// other work that costs as little as this part of it.
const COMPARABLE_COST: u64 = 2;

/// Runs that can only be stopped together, and the cost of stopping them.
#[derive(Debug)]
struct Victim {
    /// The rows of the runs in the run table.
    rows: Vec<usize>,
    cost: u64,
}

/// A placement that becomes possible once the stops have taken effect.
#[derive(Debug)]
pub(crate) struct PreemptionPlan {
    /// The upstream of each waiting task.
    pub(crate) placements: BTreeMap<u32, UpstreamName>,
    /// The rows of the runs to stop in the run table.
    pub(crate) stops: Vec<usize>,
}

/// What preemption depends on beside the step and the capacity.
#[derive(Debug)]
pub(crate) struct PreemptionContext<'a, 'b> {
    pub(crate) now: Time,
    pub(crate) runs: &'b RunTable<'a>,
    /// The urgent workflows that a guarantee covers.
    pub(crate) covered: &'b BTreeSet<JobId>,
    pub(crate) bounds: &'b WorkflowBounds,
    /// The order of the tiers of lasting speed for the step, where speeds are in effect.
    pub(crate) tiers: Option<&'b TierOrder>,
    /// The most that the plan may cost on upstreams on which the step need not be late; `None` if
    /// all upstreams are considered, at any cost.
    pub(crate) timely_within: Option<u64>,
    /// The shares of the accounts, where there is a fair order.
    pub(crate) shares: Option<&'b Shares<'a>>,
}

/// Finds the cheapest set of runs to stop so that all waiting tasks of an urgent step fit.
pub(crate) fn plan_preemption(
    cx: &PreemptionContext<'_, '_>,
    step: &ReadyStep<'_>,
    capacity: &CapacityMap<'_>,
) -> Option<PreemptionPlan> {
    let victims = Victims::new(cx, step);
    let plans = scopes(cx.now, step, capacity)
        .into_iter()
        .map(|mut scope| {
            scope.members.retain(|position| cx.may_use(capacity.at(*position)));
            scope
        })
        .filter_map(|scope| ScopePlan::new(cx, step, &scope, capacity, &victims).complete());
    let (cost, plan) = plans.min_by_key(|(cost, _)| *cost)?;
    cx.timely_within.is_none_or(|most| cost <= most).then_some(plan)
}

impl PreemptionContext<'_, '_> {
    /// Whether the step is expected to be late on an upstream because of its host's lasting speed.
    fn is_late_on(&self, candidate: &Candidate<'_>) -> bool {
        self.tiers.is_some_and(|tiers| tiers.is_late_on(candidate.tier))
    }

    fn may_use(&self, candidate: &Candidate<'_>) -> bool {
        self.timely_within.is_none() || !self.is_late_on(candidate)
    }

    /// Whether a step may preempt a run: the run's job is active, and either has a lower priority, or
    /// is urgent but not covered while the step is covered by a guarantee and has waited for so long
    /// that it would otherwise start too late.
    fn may_stop(&self, step: &ReadyStep<'_>, row: &RunRow<'_>) -> bool {
        let Some((job, _)) = row.work.filter(|(job, _)| job.is_active()) else { return false };
        if job.terms.priority > step.job.terms.priority {
            return true;
        }
        let may_preempt_uncovered =
            step.is_covered() && self.now >= step.due.after(self.bounds.guarantee_preempts_after());
        may_preempt_uncovered
            && job.terms.priority == 0
            && !self.covered.contains(&row.task.step.job)
    }

    /// The work that stopping a run for a step throws away, in thousandths of a core times milliseconds; `None` if
    /// the run may not be stopped. Even if all progress is saved, the task has to be restored. Work of an
    /// account beyond its fair share counts as less.
    ///
    /// A long-running task of a step without a limit on unavailable tasks gives way to work that a guarantee
    /// covers: what an account is guaranteed is lent to others for as long as the account leaves it idle.
    fn cost(&self, step: &ReadyStep<'_>, row: &RunRow<'_>) -> Option<u64> {
        let (job, spec) = row.work?;
        if spec.long_running && (spec.max_unavailable > 0 || !step.is_covered()) {
            return None;
        }
        let elapsed = self.now.since(row.open.since);
        let keeps_progress = spec.checkpointable || spec.long_running;
        let progress = if keeps_progress { Duration::ZERO } else { elapsed };
        let lost = progress.saturating_add(self.bounds.restore);
        let lost_ms = u64::try_from(lost.as_millis()).unwrap_or(u64::MAX);
        let lost_ms =
            lost_ms.saturating_add(if spec.long_running { LONG_RUNNING_COST_MS } else { 0 });
        let cost = lost_ms.saturating_mul(spec.per_task.weight());
        let is_beyond = |shares: &Shares<'_>| shares.is_beyond(job.account.as_ref());
        Some(if self.shares.is_some_and(is_beyond) { cost / COMPARABLE_COST } else { cost })
    }
}

/// All victims that a step could preempt, including runs that are stopping already.
struct Victims {
    victims: Vec<Victim>,
    /// The victim to which each row of the run table belongs.
    of_row: Vec<Option<usize>>,
}

impl Victims {
    fn new(cx: &PreemptionContext<'_, '_>, step: &ReadyStep<'_>) -> Self {
        let mut victims = Vec::new();
        let mut gangs: BTreeMap<&StepId, Victim> = BTreeMap::new();
        for (number, row) in cx.runs.rows().iter().enumerate() {
            if let Some(since) = row.stopping_since {
                if cx.now < since.after(cx.bounds.stop_done()) {
                    victims.push(Victim { rows: vec![number], cost: 0 });
                }
                continue;
            }
            let Some(cost) = cx.cost(step, row).filter(|_| cx.may_stop(step, row)) else {
                continue;
            };
            if row.is_gang() {
                let victim = gangs.entry(&row.task.step);
                let victim = victim.or_insert_with(|| Victim { rows: Vec::new(), cost: 0 });
                victim.rows.push(number);
                victim.cost = victim.cost.saturating_add(cost);
            } else {
                victims.push(Victim { rows: vec![number], cost });
            }
        }
        victims.extend(gangs.into_values());
        let mut of_row = vec![None; cx.runs.rows().len()];
        for (number, victim) in victims.iter().enumerate() {
            for row in &victim.rows {
                of_row[*row] = Some(number);
            }
        }
        Self { victims, of_row }
    }

    /// The victims with runs on an upstream, the cheapest first.
    fn on(&self, upstream: &UpstreamName, runs: &RunTable<'_>) -> Vec<usize> {
        let mut numbers: Vec<usize> =
            runs.rows_of(upstream).filter_map(|row| self.of_row[row]).collect();
        numbers.sort_unstable();
        numbers.dedup();
        numbers.sort_by_key(|number| self.victims[*number].cost);
        numbers
    }
}

/// How one more task could be placed on an upstream.
struct Eviction {
    /// The victims to stop there, and what that costs.
    victims: Vec<usize>,
    cost: u64,
    /// The accelerators that are available there before.
    available: u32,
}

/// An upstream of a scope while a plan is made.
struct Member<'a, 'b> {
    candidate: &'b Candidate<'a>,
    /// What running here costs because the host is slow, for the present or for good.
    slower_cost: u64,
    /// What is free, given the tasks placed and the victims chosen so far.
    free: ResourceVector,
    /// What the remaining runs use beyond the capacity.
    excess: ResourceVector,
    /// The victims with runs here, the cheapest first.
    victims: Vec<usize>,
    /// The cheapest way to place the next task here, if there is any.
    option: Option<Eviction>,
}

/// Places all waiting tasks within a scope and chooses victims where the free capacity does not
/// suffice.
struct ScopePlan<'a, 'b> {
    step: &'b ReadyStep<'b>,
    runs: &'b RunTable<'a>,
    victims: &'b Victims,
    members: Vec<Member<'a, 'b>>,
    /// The member for each position of the scope.
    positions: BTreeMap<&'b UpstreamName, usize>,
    claim: ResourceVector,
    chosen: BTreeSet<usize>,
    /// The cost that does not depend on the choice of upstreams.
    base_cost: u64,
}

impl<'a, 'b> ScopePlan<'a, 'b> {
    fn new(
        cx: &PreemptionContext<'a, 'b>,
        step: &'b ReadyStep<'b>,
        scope: &Scope,
        capacity: &'b CapacityMap<'a>,
        victims: &'b Victims,
    ) -> Self {
        let runs = cx.runs;
        let work = step.spec.estimate_ms.saturating_mul(step.spec.per_task.weight());
        let member = |position: &Position| {
            let candidate = capacity.at(*position);
            let victims = victims.on(&candidate.report.name, runs);
            let Candidate { free, excess, .. } = *candidate;
            // The other members of a gang wait for one on a slower upstream.
            let is_slower = (step.spec.gang && candidate.slower) || cx.is_late_on(candidate);
            let slower_cost = if is_slower { work } else { 0 };
            Member { candidate, slower_cost, free, excess, victims, option: None }
        };
        // Nothing that would have to be stopped runs on a cold upstream.
        let warm = scope.members.iter().filter(|position| !capacity.at(**position).is_cold);
        let members: Vec<Member<'a, 'b>> = warm.map(member).collect();
        let names = members.iter().enumerate();
        let positions = names.map(|(number, m)| (&m.candidate.report.name, number)).collect();
        // Remote members cost far more than slower ones.
        let remote_cost = work.saturating_mul(u64::from(step.spec.tasks) * REMOTE_COST);
        Self {
            step,
            runs,
            victims,
            members,
            positions,
            claim: step.spec.claim(),
            chosen: BTreeSet::new(),
            base_cost: if scope.is_local { 0 } else { remote_cost },
        }
    }

    /// Places all waiting tasks. Returns the cost with the plan; `None` if they do not fit.
    fn complete(mut self) -> Option<(u64, PreemptionPlan)> {
        let mut counts = running_counts(self.step);
        let mut placements = BTreeMap::new();
        let mut total_cost = self.base_cost;
        for number in 0..self.members.len() {
            self.update_option(number);
        }
        for task in &self.step.waiting {
            let number = self.cheapest_member(&counts)?;
            let option = self.members[number].option.take()?;
            total_cost = total_cost.saturating_add(option.cost);
            let mut changed = BTreeSet::from([number]);
            for victim in option.victims {
                self.choose(victim, &mut changed);
            }
            let member = &mut self.members[number];
            member.free = member.free.minus(&self.claim);
            let name = &member.candidate.report.name;
            *counts.entry(name.clone()).or_insert(0) += 1;
            placements.insert(*task, name.clone());
            for number in changed {
                self.update_option(number);
            }
        }
        let stops = self.chosen.iter().flat_map(|victim| &self.victims.victims[*victim].rows);
        Some((total_cost, PreemptionPlan { placements, stops: stops.copied().collect() }))
    }

    /// The member on which one more task costs least; among equal ones the fullest.
    fn cheapest_member(&self, counts: &BTreeMap<UpstreamName, u32>) -> Option<usize> {
        let members = self.members.iter().enumerate().filter_map(|(number, member)| {
            let name = &member.candidate.report.name;
            let option = member.option.as_ref()?;
            is_below_upstream_limit(self.step, counts, name)
                .then_some(((option.cost, option.available, name), number))
        });
        members.min_by_key(|(key, _)| *key).map(|(_, number)| number)
    }

    /// Chooses a victim, which frees its resources on all its upstreams.
    fn choose(&mut self, victim: usize, changed: &mut BTreeSet<usize>) {
        self.chosen.insert(victim);
        for row in &self.victims.victims[victim].rows {
            let row = &self.runs.rows()[*row];
            if let Some(number) = self.positions.get(row.upstream).copied() {
                let member = &mut self.members[number];
                member.free = member.free.plus(&release(&mut member.excess, &row.open.claim));
                changed.insert(number);
            }
        }
    }

    fn update_option(&mut self, number: usize) {
        let option = self.cheapest_eviction(&self.members[number]);
        self.members[number].option = option;
    }

    /// Chooses victims on one upstream in order of their cost until one more task fits there.
    fn cheapest_eviction(&self, member: &Member<'_, '_>) -> Option<Eviction> {
        let held = &member.candidate.held;
        let available = member.free.minus(held).accelerators;
        let mut cost = member.slower_cost;
        let (mut free, mut excess) = (member.free, member.excess);
        let mut victims = Vec::new();
        if self.claim.fits(&free.minus(held)) {
            return Some(Eviction { victims, cost, available });
        }
        for number in member.victims.iter().filter(|number| !self.chosen.contains(number)) {
            let victim = &self.victims.victims[*number];
            let rows = victim.rows.iter().map(|row| &self.runs.rows()[*row]);
            for row in rows.filter(|row| row.upstream == &member.candidate.report.name) {
                free = free.plus(&release(&mut excess, &row.open.claim));
            }
            cost = cost.saturating_add(victim.cost);
            victims.push(*number);
            if self.claim.fits(&free.minus(held)) {
                return Some(Eviction { victims, cost, available });
            }
        }
        None
    }
}
