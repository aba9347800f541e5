//! Free room by upstream, as one round of decisions sees it.

use std::collections::BTreeMap;

use hg_ledger::WorkflowLedger;
use hg_model::{PoolName, RackName, ResourceVector, StepSpec, UpstreamName, UpstreamReport};

use super::FleetObservations;
use super::reservation::Reservation;

/// One upstream in a round.
#[derive(Debug, Clone)]
pub(crate) struct Seat<'a> {
    pub(crate) report: &'a UpstreamReport,
    /// What no open run takes.
    pub(crate) free: ResourceVector,
    /// What is held for steps whose room is being cleared; it may be more than what is free yet.
    pub(crate) held: ResourceVector,
    /// Whether it is slower than usual.
    pub(crate) slower: bool,
    /// Whether only urgent work may start here.
    pub(crate) reserved: bool,
    /// Set if room is left to drain here for a gang.
    pub(crate) reservation: Option<Reservation>,
}

impl Seat<'_> {
    /// What may be given out.
    pub(crate) const fn open(&self) -> ResourceVector {
        self.free.minus(&self.held)
    }

    /// Whether a step's tasks may run here at all, room aside.
    pub(crate) fn suits(&self, pool: &PoolName, step: &StepSpec) -> bool {
        self.report.pool == *pool
            && step.required_label.as_ref().is_none_or(|label| self.report.has_label(label))
            && step.claim().fits(&self.report.capacity)
    }
}

/// The upstreams that may get new work, with their free room.
#[derive(Debug, Clone)]
pub(crate) struct RoomMap<'a> {
    pub(crate) seats: BTreeMap<&'a UpstreamName, Seat<'a>>,
}

impl<'a> RoomMap<'a> {
    pub(crate) fn new(ledger: &'a WorkflowLedger, fleet: &FleetObservations) -> Self {
        let usable = |report: &&UpstreamReport| fleet.is_usable(report);
        let seat = |report: &'a UpstreamReport| {
            let free = report.capacity.minus(&ledger.occupancy().used(&report.name));
            let held = ResourceVector::default();
            let (slower, reserved, reservation) = (false, false, None);
            (&report.name, Seat { report, free, held, slower, reserved, reservation })
        };
        Self { seats: ledger.upstreams().values().filter(usable).map(seat).collect() }
    }

    /// Takes upstreams out of this round.
    pub(crate) fn drop_all<'b>(&mut self, names: impl Iterator<Item = &'b UpstreamName>) {
        for name in names {
            self.seats.remove(name);
        }
    }

    pub(crate) fn mark_slower<'b>(&mut self, names: impl Iterator<Item = &'b UpstreamName>) {
        for name in names {
            if let Some(seat) = self.seats.get_mut(name) {
                seat.slower = true;
            }
        }
    }

    pub(crate) fn take(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(seat) = self.seats.get_mut(upstream) {
            seat.free = seat.free.minus(claim);
        }
    }

    pub(crate) fn give(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(seat) = self.seats.get_mut(upstream) {
            seat.free = seat.free.plus(claim);
        }
    }

    pub(crate) fn hold(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(seat) = self.seats.get_mut(upstream) {
            seat.held = seat.held.plus(claim);
        }
    }

    pub(crate) fn unhold(&mut self, upstream: &UpstreamName, claim: &ResourceVector) {
        if let Some(seat) = self.seats.get_mut(upstream) {
            seat.held = seat.held.minus(claim);
        }
    }

    /// The seats that suit a step, by rack.
    pub(crate) fn racks(
        &self,
        pool: &PoolName,
        step: &StepSpec,
    ) -> BTreeMap<&'a RackName, Vec<&Seat<'a>>> {
        let mut racks: BTreeMap<&RackName, Vec<&Seat<'a>>> = BTreeMap::new();
        for seat in self.seats.values().filter(|seat| seat.suits(pool, step)) {
            racks.entry(&seat.report.rack).or_default().push(seat);
        }
        racks
    }
}
