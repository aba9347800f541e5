//! Resources that are held for urgent steps while the runs that use them are being stopped.
//!
//! Handles many urgent steps that wait for stops at the same time: resources cleared for one step
//! must not be given to another, and must not be kept for long if they do not become free.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{ResourceVector, StepId, Time, UpstreamName};

use super::capacity_map::{Candidate, CapacityMap};
use super::ready_steps::ReadyStep;

#[derive(Debug)]
struct Hold {
    placements: BTreeMap<u32, UpstreamName>,
    claim: ResourceVector,
    until: Time,
}

/// The held resources, by step.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    steps: BTreeMap<StepId, Hold>,
}

/// Queries.
impl Holds {
    pub(crate) fn contains(&self, step: &StepId) -> bool {
        self.steps.contains_key(step)
    }

    /// Subtracts all held resources from the capacity that a round may allocate.
    pub(crate) fn apply_to(&self, capacity: &mut CapacityMap<'_>) {
        for hold in self.steps.values() {
            for upstream in hold.placements.values() {
                capacity.hold(upstream, &hold.claim);
            }
        }
    }
}

/// Commands.
impl Holds {
    /// Holds resources for a step until `until`: after that something has gone wrong with the stops, and
    /// another placement is better.
    pub(crate) fn add(
        &mut self,
        until: Time,
        step: &ReadyStep<'_>,
        placements: BTreeMap<u32, UpstreamName>,
        capacity: &mut CapacityMap<'_>,
    ) {
        let claim = step.spec.claim();
        for upstream in placements.values() {
            capacity.hold(upstream, &claim);
        }
        let hold = Hold { placements, claim, until };
        self.steps.insert(step.id.clone(), hold);
    }

    /// Drops holds that have timed out, whose step no longer waits, or whose upstreams accept no
    /// more work.
    pub(crate) fn drop_expired(
        &mut self,
        now: Time,
        ready: &[ReadyStep<'_>],
        capacity: &CapacityMap<'_>,
    ) {
        let waiting: BTreeSet<&StepId> = ready.iter().map(|step| &step.id).collect();
        self.steps.retain(|step, hold| {
            let is_usable = |name| capacity.get(name).is_some_and(|candidate| !candidate.is_cold);
            let usable = hold.placements.values().all(is_usable);
            now < hold.until && usable && waiting.contains(step)
        });
    }

    /// Releases the holds of the steps that match. Returns whether there were any.
    pub(crate) fn release_where(
        &mut self,
        is_released: impl Fn(&StepId) -> bool,
        capacity: &mut CapacityMap<'_>,
    ) -> bool {
        let released: Vec<StepId> =
            self.steps.keys().filter(|step| is_released(step)).cloned().collect();
        for step in &released {
            let Some(hold) = self.steps.remove(step) else { continue };
            for upstream in hold.placements.values() {
                capacity.unhold(upstream, &hold.claim);
            }
        }
        !released.is_empty()
    }

    /// Removes and returns the tasks whose held resources are free by now; for a gang all of them
    /// or none.
    pub(crate) fn take_available(
        &mut self,
        step: &ReadyStep<'_>,
        capacity: &mut CapacityMap<'_>,
    ) -> BTreeMap<u32, UpstreamName> {
        let Some(hold) = self.steps.get_mut(&step.id) else { return BTreeMap::new() };
        for upstream in hold.placements.values() {
            capacity.unhold(upstream, &hold.claim);
        }
        let mut fitting = BTreeMap::new();
        let mut taken: BTreeMap<&UpstreamName, ResourceVector> = BTreeMap::new();
        for (task, upstream) in &hold.placements {
            let taken = taken.entry(upstream).or_default();
            let available = capacity.get(upstream).map(Candidate::available).unwrap_or_default();
            if step.waiting.contains(task) && hold.claim.fits(&available.minus(taken)) {
                *taken = taken.plus(&hold.claim);
                fitting.insert(*task, upstream.clone());
            }
        }
        if step.spec.gang && fitting.len() < hold.placements.len() {
            fitting.clear();
        }
        for task in fitting.keys() {
            hold.placements.remove(task);
        }
        for upstream in hold.placements.values() {
            capacity.hold(upstream, &hold.claim);
        }
        if hold.placements.is_empty() {
            self.steps.remove(&step.id);
        }
        fitting
    }
}
