//! Free capacity by upstream, as one decision round sees it.

use std::collections::BTreeMap;

use hg_ledger::WorkflowLedger;
use hg_model::{PoolName, RackName, ResourceVector, StepSpec, UpstreamName, UpstreamReport};

use super::FleetObservations;
use super::reservation::Reservation;

/// An upstream that may get new work in a round.
#[derive(Debug, Clone)]
pub(crate) struct Candidate<'a> {
    pub(crate) report: &'a UpstreamReport,
    /// The capacity that no open run uses.
    pub(crate) free: ResourceVector,
    /// What is held for steps whose resources are still being cleared; it may exceed what is free
    /// now.
    pub(crate) held: ResourceVector,
    /// Whether it is slower than the median by `SLOWER_FACTOR`, so that gangs avoid it where
    /// possible.
    pub(crate) slower: bool,
    /// Whether only urgent work may start here.
    pub(crate) urgent_only: bool,
    /// Set while capacity is left to drain here for a gang.
    pub(crate) reservation: Option<Reservation>,
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

/// The upstreams that may get new work, with their free capacity.
#[derive(Debug, Clone)]
pub(crate) struct CapacityMap<'a> {
    pub(crate) candidates: BTreeMap<&'a UpstreamName, Candidate<'a>>,
}

impl<'a> CapacityMap<'a> {
    pub(crate) fn new(ledger: &'a WorkflowLedger, fleet: &FleetObservations) -> Self {
        let usable = |report: &&UpstreamReport| fleet.is_usable(report);
        let candidate = |report: &'a UpstreamReport| {
            let free = report.capacity.minus(&ledger.occupancy().used(&report.name));
            let held = ResourceVector::default();
            let (slower, urgent_only, reservation) = (false, false, None);
            (&report.name, Candidate { report, free, held, slower, urgent_only, reservation })
        };
        Self { candidates: ledger.upstreams().values().filter(usable).map(candidate).collect() }
    }

    /// Removes upstreams from this round.
    pub(crate) fn exclude<'b>(&mut self, names: impl Iterator<Item = &'b UpstreamName>) {
        for name in names {
            self.candidates.remove(name);
        }
    }

    pub(crate) fn mark_slower<'b>(&mut self, names: impl Iterator<Item = &'b UpstreamName>) {
        for name in names {
            if let Some(candidate) = self.candidates.get_mut(name) {
                candidate.slower = true;
            }
        }
    }

    pub(crate) fn allocate(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(candidate) = self.candidates.get_mut(upstream) {
            candidate.free = candidate.free.minus(claim);
        }
    }

    pub(crate) fn release(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(candidate) = self.candidates.get_mut(upstream) {
            candidate.free = candidate.free.plus(claim);
        }
    }

    pub(crate) fn hold(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(candidate) = self.candidates.get_mut(upstream) {
            candidate.held = candidate.held.plus(claim);
        }
    }

    pub(crate) fn unhold(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(candidate) = self.candidates.get_mut(upstream) {
            candidate.held = candidate.held.minus(claim);
        }
    }

    /// The upstreams that can run a step, by rack.
    pub(crate) fn racks(
        &self,
        pool: &PoolName,
        step: &StepSpec,
    ) -> BTreeMap<&'a RackName, Vec<&Candidate<'a>>> {
        let mut racks: BTreeMap<&RackName, Vec<&Candidate<'a>>> = BTreeMap::new();
        for candidate in self.candidates.values().filter(|candidate| candidate.can_run(pool, step))
        {
            racks.entry(&candidate.report.rack).or_default().push(candidate);
        }
        racks
    }
}
