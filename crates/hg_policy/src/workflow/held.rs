//! Room that is being cleared for urgent steps.
//!
//! Answers the load in which many urgent steps wait for stops at the same time: what is cleared for one must
//! not be given to another, and must not be kept for long if it does not come.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_model::{ResourceVector, StepId, Time, UpstreamName};

use super::ready::ReadyStep;
use super::room_map::{RoomMap, Seat};

/// How long room is held for an urgent step while work is being stopped for it; a stop takes well under
/// half a second, so by then something has gone wrong and another place is better.
const HOLD_LIMIT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct HeldRoom {
    placements: BTreeMap<u32, UpstreamName>,
    claim: ResourceVector,
    until: Time,
}

/// The room held, by step.
#[derive(Debug, Default)]
pub(crate) struct HeldRooms {
    steps: BTreeMap<StepId, HeldRoom>,
}

/// Queries.
impl HeldRooms {
    pub(crate) fn has(&self, step: &StepId) -> bool {
        self.steps.contains_key(step)
    }

    /// Marks all room held in the map of a round.
    pub(crate) fn hold_all(&self, room: &mut RoomMap<'_>) {
        for held in self.steps.values() {
            for upstream in held.placements.values() {
                room.hold(upstream, &held.claim);
            }
        }
    }
}

/// Commands.
impl HeldRooms {
    /// Holds room for a step from now on.
    pub(crate) fn hold(
        &mut self,
        now: Time,
        step: &ReadyStep<'_>,
        placements: BTreeMap<u32, UpstreamName>,
        room: &mut RoomMap<'_>,
    ) {
        let claim = step.spec.claim();
        for upstream in placements.values() {
            room.hold(upstream, &claim);
        }
        let held = HeldRoom { placements, claim, until: now.after(HOLD_LIMIT) };
        self.steps.insert(step.id.clone(), held);
    }

    /// Drops what was held for too long, for nobody, or at upstreams that take no work any more.
    pub(crate) fn drop_stale(&mut self, now: Time, ready: &[ReadyStep<'_>], room: &RoomMap<'_>) {
        let waiting: BTreeSet<&StepId> = ready.iter().map(|step| &step.id).collect();
        self.steps.retain(|step, held| {
            let usable = held.placements.values().all(|name| room.seats.contains_key(name));
            now < held.until && usable && waiting.contains(step)
        });
    }

    /// Gives room up. Returns whether there was any.
    pub(crate) fn give_up(
        &mut self,
        goes: impl Fn(&StepId) -> bool,
        room: &mut RoomMap<'_>,
    ) -> bool {
        let gone: Vec<StepId> = self.steps.keys().filter(|step| goes(step)).cloned().collect();
        for step in &gone {
            let Some(held) = self.steps.remove(step) else { continue };
            for upstream in held.placements.values() {
                room.unhold(upstream, &held.claim);
            }
        }
        !gone.is_empty()
    }

    /// Takes the tasks out whose room is free by now; of a gang all of them or none.
    pub(crate) fn take_free(
        &mut self,
        step: &ReadyStep<'_>,
        room: &mut RoomMap<'_>,
    ) -> BTreeMap<u32, UpstreamName> {
        let Some(held) = self.steps.get_mut(&step.id) else { return BTreeMap::new() };
        for upstream in held.placements.values() {
            room.unhold(upstream, &held.claim);
        }
        let mut fitting = BTreeMap::new();
        let mut trial = room.clone();
        for (task, upstream) in &held.placements {
            let free = trial.seats.get(upstream).map(Seat::open).unwrap_or_default();
            if step.waiting.contains(task) && held.claim.fits(&free) {
                trial.take(upstream, &held.claim);
                fitting.insert(*task, upstream.clone());
            }
        }
        if step.spec.gang && fitting.len() < held.placements.len() {
            fitting.clear();
        }
        for task in fitting.keys() {
            held.placements.remove(task);
        }
        for upstream in held.placements.values() {
            room.hold(upstream, &held.claim);
        }
        if held.placements.is_empty() {
            self.steps.remove(&step.id);
        }
        fitting
    }
}
