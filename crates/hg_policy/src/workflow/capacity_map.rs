//! Free capacity by upstream, as one decision round sees it.

use std::collections::BTreeMap;
use std::ops::Range;

use hg_ledger::WorkflowLedger;
use hg_model::{PoolName, RackName, ResourceVector, StepSpec, UpstreamName, UpstreamReport};

use super::FleetObservations;
use super::contention::{HostMixes, StepMixes};
use super::pool_speeds::PoolSpeeds;
use super::ready_steps::ReadyStep;
use super::reservation::Reservation;

/// An upstream that may get new work in a round.
#[derive(Debug, Clone)]
pub(crate) struct Candidate<'a> {
    pub(crate) report: &'a UpstreamReport,
    /// The capacity that no open run uses.
    pub(crate) free: ResourceVector,
    /// What the open runs use beyond the capacity, after that has shrunk.
    pub(crate) excess: ResourceVector,
    /// What is held for steps whose resources are still being cleared; it may exceed what is free
    /// now.
    pub(crate) held: ResourceVector,
    /// Whether it is slower than the median by `SLOWER_FACTOR`, so that gangs avoid it where
    /// possible.
    pub(crate) slower: bool,
    /// Whether it is cold and may take one start only.
    pub(crate) is_cold: bool,
    /// The tier of its host's lasting speed, where speeds are in effect; otherwise 0.
    pub(crate) tier: usize,
    /// Whether only urgent work may start here.
    pub(crate) urgent_only: bool,
    /// Set while capacity is left to drain here for a gang.
    pub(crate) reservation: Option<Reservation>,
    /// Whether it gets no new work in this round after all.
    is_excluded: bool,
}

/// Returns what becomes free when a run ends that claims `freed`; `excess` is what runs use beyond the capacity, which is
/// made up for first.
pub(crate) const fn release(excess: &mut ResourceVector, freed: &ResourceVector) -> ResourceVector {
    let free = freed.minus(excess);
    *excess = excess.minus(freed);
    free
}

impl Candidate<'_> {
    /// What may be allocated: free and not held.
    pub(crate) const fn available(&self) -> ResourceVector {
        self.free.minus(&self.held)
    }

    /// Whether tasks of a step may run here at all, regardless of the present load.
    pub(crate) fn can_run(&self, pool: &PoolName, step: &StepSpec) -> bool {
        self.report.pool == *pool
            && step.required_label.as_ref().is_none_or(|label| self.report.has_label(label))
            && step.claim().fits(&self.report.capacity)
    }
}

/// The position of a candidate in its [`CapacityMap`].
pub(crate) type Position = usize;

/// The upstreams that may get new work, with their free capacity.
///
/// They are ordered by rack and name, so that a rack is a range of positions.
#[derive(Debug, Clone)]
pub(crate) struct CapacityMap<'a> {
    candidates: Vec<Candidate<'a>>,
    positions: BTreeMap<&'a UpstreamName, Position>,
    racks: Vec<(&'a RackName, Range<Position>)>,
    /// Set once contention was found.
    mixes: Option<HostMixes>,
}

/// Queries.
impl<'a> CapacityMap<'a> {
    pub(crate) fn new(ledger: &'a WorkflowLedger, fleet: &FleetObservations) -> Self {
        let usable = |report: &&UpstreamReport| fleet.is_usable(report);
        let candidate = |report: &'a UpstreamReport| {
            let used = ledger.occupancy().used(&report.name);
            let (free, excess) = (report.capacity.minus(&used), used.minus(&report.capacity));
            let held = ResourceVector::default();
            let (slower, urgent_only, reservation) = (false, false, None);
            let (is_cold, tier, is_excluded) = (false, 0, false);
            Candidate {
                report,
                free,
                excess,
                held,
                slower,
                is_cold,
                tier,
                urgent_only,
                reservation,
                is_excluded,
            }
        };
        let mut candidates: Vec<Candidate<'a>> =
            ledger.upstreams().values().filter(usable).map(candidate).collect();
        // Stable, so that the names within a rack stay in order.
        candidates.sort_by_key(|candidate| &candidate.report.rack);
        let names = candidates.iter().enumerate();
        let positions = names.map(|(position, c)| (&c.report.name, position)).collect();
        let racks = rack_ranges(&candidates);
        Self { candidates, positions, racks, mixes: None }
    }

    /// The number of positions.
    pub(crate) const fn len(&self) -> usize {
        self.candidates.len()
    }

    /// The position of an upstream.
    pub(crate) fn position(&self, name: &UpstreamName) -> Option<Position> {
        self.positions.get(name).copied()
    }

    /// The classes of tasks on each upstream, where placement of a step depends on them.
    pub(crate) fn mixes_for<'b>(&'b self, step: &'b ReadyStep<'b>) -> Option<StepMixes<'b>> {
        self.mixes.as_ref()?.for_step(step)
    }

    /// The candidate at a position that this map has named.
    pub(crate) fn at(&self, position: Position) -> &Candidate<'a> {
        &self.candidates[position]
    }

    /// The upstream with this name, if it may get new work.
    pub(crate) fn get(&self, name: &UpstreamName) -> Option<&Candidate<'a>> {
        let candidate = self.candidates.get(*self.positions.get(name)?)?;
        (!candidate.is_excluded).then_some(candidate)
    }

    /// All upstreams that may get new work, by rack and name.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = &Candidate<'a>> {
        self.candidates.iter().filter(|candidate| !candidate.is_excluded)
    }

    /// Whether any upstream that may get new work is cold.
    pub(crate) fn has_cold(&self) -> bool {
        self.candidates().any(|candidate| candidate.is_cold)
    }

    /// The upstreams that can run a step, by rack and name.
    pub(crate) fn able(&self, pool: &PoolName, step: &StepSpec) -> Vec<Position> {
        self.able_within(0..self.candidates.len(), pool, step)
    }

    /// The same of one rack.
    pub(crate) fn able_in_rack(
        &self,
        rack: &RackName,
        pool: &PoolName,
        step: &StepSpec,
    ) -> Vec<Position> {
        let at = self.racks.binary_search_by(|(name, _)| (*name).cmp(rack));
        at.map_or_else(|_| Vec::new(), |at| self.able_within(self.racks[at].1.clone(), pool, step))
    }

    /// The same by rack; racks without such upstreams are left out.
    pub(crate) fn able_by_rack(&self, pool: &PoolName, step: &StepSpec) -> Vec<Vec<Position>> {
        let racks = self.racks.iter().map(|(_, range)| self.able_within(range.clone(), pool, step));
        racks.filter(|able| !able.is_empty()).collect()
    }

    fn able_within(
        &self,
        range: Range<Position>,
        pool: &PoolName,
        step: &StepSpec,
    ) -> Vec<Position> {
        let is_able = |position: &Position| {
            let candidate = &self.candidates[*position];
            !candidate.is_excluded && candidate.can_run(pool, step)
        };
        range.filter(is_able).collect()
    }
}

/// Commands.
impl<'a> CapacityMap<'a> {
    /// The upstream with this name, if it may get new work.
    pub(crate) fn get_mut(&mut self, name: &UpstreamName) -> Option<&mut Candidate<'a>> {
        let position = *self.positions.get(name)?;
        self.candidates.get_mut(position).filter(|candidate| !candidate.is_excluded)
    }

    /// The candidate at a position that this map has named.
    pub(crate) fn at_mut(&mut self, position: Position) -> &mut Candidate<'a> {
        &mut self.candidates[position]
    }

    /// Removes upstreams from this round.
    pub(crate) fn exclude<'b>(&mut self, names: impl Iterator<Item = &'b UpstreamName>) {
        for name in names {
            if let Some(candidate) = self.get_mut(name) {
                candidate.is_excluded = true;
            }
        }
    }

    pub(crate) fn mark_slower<'b>(&mut self, names: impl Iterator<Item = &'b UpstreamName>) {
        for name in names {
            if let Some(candidate) = self.get_mut(name) {
                candidate.slower = true;
            }
        }
    }

    /// Records the tiers of the hosts of the pools in which their speeds are in effect.
    pub(crate) fn mark_speeds(&mut self, in_effect: &BTreeMap<PoolName, PoolSpeeds>) {
        if in_effect.is_empty() {
            return;
        }
        for candidate in &mut self.candidates {
            if let Some(speeds) = in_effect.get(&candidate.report.pool) {
                candidate.tier = speeds.tier_of(&candidate.report.name);
            }
        }
    }

    pub(crate) fn allocate(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(candidate) = self.get_mut(upstream) {
            candidate.free = candidate.free.minus(claim);
            candidate.is_excluded |= candidate.is_cold;
        }
    }

    /// Sets the classes of tasks on each upstream.
    pub(crate) fn set_mixes(&mut self, mixes: Option<HostMixes>) {
        self.mixes = mixes;
    }

    /// Records a task that is about to start.
    pub(crate) fn record_start(&mut self, upstream: &UpstreamName, step: &ReadyStep<'_>) {
        if let Some(position) = self.position(upstream)
            && let Some(mixes) = &mut self.mixes
        {
            mixes.add(position, step.spec, &step.job.terms.queue);
        }
    }

    /// Records that some tasks of a step could not be placed.
    pub(crate) fn record_unplaced(&mut self, step: &ReadyStep<'_>) {
        if let Some(mixes) = &mut self.mixes {
            mixes.record_unplaced(step.pool);
        }
    }

    pub(crate) fn hold(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(candidate) = self.get_mut(upstream) {
            candidate.held = candidate.held.plus(claim);
        }
    }

    pub(crate) fn unhold(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(candidate) = self.get_mut(upstream) {
            candidate.held = candidate.held.minus(claim);
        }
    }
}

/// The range of positions of each rack, ordered by its name.
fn rack_ranges<'a>(candidates: &[Candidate<'a>]) -> Vec<(&'a RackName, Range<Position>)> {
    let mut racks: Vec<(&RackName, Range<Position>)> = Vec::new();
    for (position, candidate) in candidates.iter().enumerate() {
        match racks.last_mut() {
            Some((name, range)) if *name == &candidate.report.rack => range.end = position + 1,
            _ => racks.push((&candidate.report.rack, position..position + 1)),
        }
    }
    racks
}
