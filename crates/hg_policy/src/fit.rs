//! Packing guaranteed blocks onto upstreams.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hg_model::{AccountName, ListFault, Lists, MarkId, Resources, Shape, UpstreamName};

use crate::{Pool, RackId, Room, UpstreamRecord};

/// A block whose parts look for upstreams.
#[derive(Debug, Clone)]
pub(crate) struct BlockRequest {
    pub(crate) parts: Vec<MarkId>,
    pub(crate) shape: Shape,
    pub(crate) rack: RackChoice,
}

/// Which rack a block may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RackChoice {
    /// Any rack; or any racks, if the block is not adjacent.
    Any,
    /// Only the one where the rest of an adjacent block already lies.
    Only(RackId),
    /// The rest of an adjacent block lies on an upstream whose rack is not known yet.
    Unknown,
}

impl RackChoice {
    fn allows(&self, id: &RackId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(rack) => rack == id,
            Self::Unknown => false,
        }
    }
}

/// Where each part of a block may lie.
pub(crate) type Assignment = Vec<(MarkId, UpstreamName)>;

/// Room that can be set apart, by rack and upstream.
#[derive(Debug, Default)]
pub(crate) struct Scratch {
    racks: BTreeMap<RackId, BTreeMap<UpstreamName, Room>>,
}

impl Scratch {
    /// The open upstreams, each with the room that `room` gives.
    pub(crate) fn new(pool: &Pool, room: impl Fn(&UpstreamName, &UpstreamRecord) -> Room) -> Self {
        let mut scratch = Self::default();
        for (name, seat) in pool.upstreams().filter(|(_, seat)| seat.is_open()) {
            let Some(spec) = &seat.spec else { continue };
            let rack = scratch.racks.entry(RackId::of(spec)).or_default();
            rack.insert(name.clone(), room(name, seat));
        }
        scratch
    }

    /// Packs one block; takes its room on success.
    pub(crate) fn pack(&mut self, request: &BlockRequest) -> Option<Assignment> {
        let spots = if request.shape.adjacent {
            self.adjacent_spots(request)?
        } else {
            self.any_spots(request)?
        };
        let part = Room::of_part(&request.shape);
        for (rack, upstream) in &spots {
            let room = self.racks.get_mut(rack).and_then(|seats| seats.get_mut(upstream));
            if let Some(room) = room {
                *room = room.minus(&part);
            }
        }
        let upstreams = spots.into_iter().map(|(_, upstream)| upstream);
        Some(request.parts.iter().cloned().zip(upstreams).collect())
    }

    /// Whether a job fits into what is left, once the work that `firm` gives for each seat has ended.
    pub(crate) fn fits(&self, shape: &Shape, firm: impl Fn(&UpstreamName) -> Room) -> bool {
        let task = Room::of_task(shape);
        let count = |seats: &BTreeMap<UpstreamName, Room>| -> u32 {
            let room = |(name, room): (&UpstreamName, &Room)| room.plus(&firm(name));
            seats.iter().map(|seat| room(seat).count_of(&task, shape.tasks)).sum()
        };
        if shape.adjacent {
            return self.racks.values().any(|seats| count(seats) >= shape.tasks);
        }
        self.racks.values().map(count).sum::<u32>() >= shape.tasks
    }

    /// The rack that the block fills best.
    fn adjacent_spots(&self, request: &BlockRequest) -> Option<Vec<(RackId, UpstreamName)>> {
        let part = Room::of_part(&request.shape);
        let wanted = request.parts.len();
        let count = |seats: &BTreeMap<UpstreamName, Room>| -> usize {
            seats.values().map(|room| count_of(room, &part, wanted)).sum()
        };
        let fitting = self
            .racks
            .iter()
            .filter(|(id, seats)| request.rack.allows(id) && count(seats) >= wanted);
        let (id, seats) = fitting.min_by_key(|(_, seats)| count(seats))?;
        let mut spots = Vec::new();
        fill(id, seats, &part, wanted, &mut spots);
        Some(spots)
    }

    /// The fullest upstreams anywhere.
    fn any_spots(&self, request: &BlockRequest) -> Option<Vec<(RackId, UpstreamName)>> {
        let part = Room::of_part(&request.shape);
        let wanted = request.parts.len();
        let mut seats: Vec<(&Room, &RackId, &UpstreamName)> = self
            .racks
            .iter()
            .flat_map(|(id, seats)| seats.iter().map(move |(name, room)| (room, id, name)))
            .filter(|(room, ..)| part.fits(room))
            .collect();
        seats.sort_by_key(|(room, id, name)| (room.resources, *id, *name));
        let mut spots = Vec::new();
        for (room, id, name) in seats {
            let more = count_of(room, &part, wanted - spots.len());
            spots.extend(std::iter::repeat_n((id.clone(), name.clone()), more));
            if spots.len() == wanted {
                return Some(spots);
            }
        }
        None
    }
}

fn fill(
    id: &RackId,
    seats: &BTreeMap<UpstreamName, Room>,
    part: &Room,
    wanted: usize,
    spots: &mut Vec<(RackId, UpstreamName)>,
) {
    let mut order: Vec<(&UpstreamName, &Room)> = seats.iter().collect();
    order.sort_by_key(|(name, room)| (room.resources, *name));
    for (name, room) in order {
        let more = count_of(room, part, wanted - spots.len());
        spots.extend(std::iter::repeat_n((id.clone(), name.clone()), more));
    }
}

fn count_of(room: &Room, part: &Room, limit: usize) -> usize {
    room.count_of(part, u32::try_from(limit).unwrap_or(u32::MAX)) as usize
}

/// The order in which blocks are packed: adjacent ones first, large ones first.
pub(crate) fn sort_for_packing(requests: &mut [BlockRequest]) {
    requests.sort_by_key(|request| {
        let shape = &request.shape;
        let size: Resources = shape.per_task;
        (
            Reverse(request.rack != RackChoice::Any),
            Reverse(shape.adjacent),
            Reverse(size),
            Reverse(shape.tasks),
        )
    });
}

/// All blocks that the lists call for.
pub(crate) fn all_blocks(lists: &Lists) -> Vec<BlockRequest> {
    let mut requests = Vec::new();
    for account in &lists.accounts {
        let Some(plan) = lists.plan_of(&account.name) else { continue };
        for (block, guarantee) in plan.guarantees.iter().enumerate() {
            requests.push(block_request(&account.name, block, guarantee.0));
        }
    }
    sort_for_packing(&mut requests);
    requests
}

fn block_request(account: &AccountName, block: usize, shape: Shape) -> BlockRequest {
    let block = u16::try_from(block).unwrap_or(u16::MAX);
    let part = |part| MarkId {
        account: account.clone(),
        block,
        part: u16::try_from(part).unwrap_or(u16::MAX),
    };
    BlockRequest { parts: (0..shape.tasks).map(part).collect(), shape, rack: RackChoice::Any }
}

/// Checks that all guarantees of the lists fit the open pool together.
///
/// # Errors
///
/// A [`ListFault`] that names the account and the guarantee that does not fit.
pub fn check_fit(lists: &Lists, pool: &Pool) -> Result<(), ListFault> {
    let mut scratch = Scratch::new(pool, |_, seat| seat.capacity());
    for request in all_blocks(lists) {
        if scratch.pack(&request).is_none() {
            return Err(misfit(&request, pool));
        }
    }
    Ok(())
}

/// Whether a job that cannot be stopped could ever run beside all guarantees, were the pool empty.
pub(crate) fn fits_beside(lists: &Lists, pool: &Pool, shape: &Shape) -> bool {
    let mut scratch = Scratch::new(pool, |_, seat| seat.capacity());
    for request in all_blocks(lists) {
        scratch.pack(&request);
    }
    scratch.fits(shape, |_| Room::default())
}

fn misfit(request: &BlockRequest, pool: &Pool) -> ListFault {
    let Some(part) = request.parts.first() else { return ListFault::new("guarantee", "is empty") };
    let place = format!("account {:?} guarantee {}", part.account.as_str(), part.block + 1);
    let open = pool.upstreams().filter(|(_, seat)| seat.is_open()).count();
    let problem = format!(
        "{} does not fit the pool of {open} open upstreams together with the guarantees before it",
        request.shape
    );
    ListFault::new(place, problem)
}
