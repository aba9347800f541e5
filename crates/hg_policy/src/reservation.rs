//! Room held for a job that has waited long.

use std::cmp::Reverse;

use hg_model::{JobSpec, UpstreamName};

use crate::{Pool, RackId, Room, UpstreamRecord};

/// Chooses upstreams whose room, once the work there has ended, holds the whole job.
///
/// Of the racks that could hold an adjacent job, the one with the most room free now is chosen.
pub(crate) fn choose_seats(pool: &Pool, spec: &JobSpec) -> Option<Vec<UpstreamName>> {
    if spec.shape.adjacent {
        let racks = pool.racks().filter_map(|(id, _)| {
            let seats: Vec<(&UpstreamName, &UpstreamRecord)> = pool.rack(id).collect();
            let chosen = enough(seats, spec)?;
            Some((free_now(pool, id, spec), chosen))
        });
        return racks.max_by_key(|(free, _)| *free).map(|(_, chosen)| chosen);
    }
    enough(pool.upstreams().collect(), spec)
}

fn free_now(pool: &Pool, id: &RackId, spec: &JobSpec) -> u32 {
    let task = Room::of_task(&spec.shape);
    let seats = pool.rack(id).filter(|(_, seat)| seat.is_open());
    seats.map(|(_, seat)| seat.free().count_of(&task, spec.shape.tasks)).sum()
}

/// The room that a job can have on a seat once the work there has ended.
///
/// A job that cannot be stopped stays out of what is marked; one that can may borrow it.
pub(crate) fn eventual_room(seat: &UpstreamRecord, spec: &JobSpec) -> Room {
    if spec.is_stoppable() { seat.capacity() } else { seat.capacity().minus(&seat.guaranteed) }
}

/// Takes the emptiest seats until the job fits.
fn enough(
    mut seats: Vec<(&UpstreamName, &UpstreamRecord)>,
    spec: &JobSpec,
) -> Option<Vec<UpstreamName>> {
    let task = Room::of_task(&spec.shape);
    seats.retain(|(_, seat)| seat.is_open() && seat.held_for.is_none());
    seats.sort_by_key(|(name, seat)| (Reverse(seat.free().resources), *name));
    let mut left = spec.shape.tasks;
    let mut chosen = Vec::new();
    for (name, seat) in seats {
        let eventual = eventual_room(seat, spec);
        let tasks = eventual.count_of(&task, left);
        if tasks == 0 {
            continue;
        }
        chosen.push(name.clone());
        left -= tasks;
        if left == 0 {
            return Some(chosen);
        }
    }
    None
}
