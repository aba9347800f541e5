//! Where a job goes that claims its account's guarantee.

use std::collections::BTreeMap;

use hg_model::{JobSpec, MarkId, UpstreamName};

use crate::placement::Spot;
use crate::{MarkState, Marks, Pool, RackId, Room, UpstreamRecord};

/// A way to claim a guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) spots: Vec<Spot>,
    /// Whether borrowers must stop first.
    pub(crate) needs_reclaim: bool,
}

/// One part that could take some of the tasks.
#[derive(Debug)]
struct Offer<'a> {
    mark: &'a MarkId,
    upstream: &'a UpstreamName,
    seat: &'a UpstreamRecord,
    unclaimed: Room,
}

/// Finds unclaimed parts that hold all of a job's tasks.
///
/// Parts whose room is free at once are preferred; otherwise borrowers will have to stop.
pub(crate) fn find_claim(pool: &Pool, marks: &Marks, spec: &JobSpec) -> Option<Claim> {
    let offers: Vec<Offer<'_>> =
        marks.of_account(&spec.account).filter_map(|(id, state)| offer(pool, id, state)).collect();
    let at_once = choose(&offers, spec, true);
    if let Some(spots) = at_once {
        return Some(Claim { spots, needs_reclaim: false });
    }
    let spots = choose(&offers, spec, false)?;
    Some(Claim { spots, needs_reclaim: true })
}

fn offer<'a>(pool: &'a Pool, mark: &'a MarkId, state: &'a MarkState) -> Option<Offer<'a>> {
    let upstream = state.upstream.as_ref()?;
    let seat = pool.upstream(upstream)?;
    seat.is_open().then(|| Offer { mark, upstream, seat, unclaimed: state.unclaimed() })
}

fn choose(offers: &[Offer<'_>], spec: &JobSpec, at_once: bool) -> Option<Vec<Spot>> {
    if !spec.shape.adjacent {
        return fill(&offers.iter().collect::<Vec<_>>(), spec, at_once);
    }
    let mut racks: BTreeMap<RackId, Vec<&Offer<'_>>> = BTreeMap::new();
    for offer in offers {
        if let Some(announced) = &offer.seat.spec {
            racks.entry(RackId::of(announced)).or_default().push(offer);
        }
    }
    racks.values().find_map(|offers| fill(offers, spec, at_once))
}

fn fill(offers: &[&Offer<'_>], spec: &JobSpec, at_once: bool) -> Option<Vec<Spot>> {
    let task = Room::of_task(&spec.shape);
    let mut free: BTreeMap<&UpstreamName, Room> = BTreeMap::new();
    let mut order = offers.to_vec();
    order.sort_by_key(|offer| (offer.unclaimed.resources, offer.mark));
    let mut spots = Vec::new();
    let mut left = spec.shape.tasks;
    for offer in order {
        let on_seat = free.entry(offer.upstream).or_insert_with(|| offer.seat.free());
        let room = if at_once { offer.unclaimed.min(on_seat) } else { offer.unclaimed };
        let tasks = room.count_of(&task, left);
        if tasks == 0 {
            continue;
        }
        *on_seat = on_seat.minus(&task.times(tasks));
        let (upstream, mark) = (offer.upstream.clone(), Some(offer.mark.clone()));
        spots.push(Spot { upstream, tasks, mark });
        left -= tasks;
        if left == 0 {
            return Some(spots);
        }
    }
    None
}
