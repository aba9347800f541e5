//! Packing guaranteed blocks onto upstreams.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hg_model::{AccountName, ListFault, Lists, MarkId, Resources, Shape, UpstreamName};

use crate::{Capacity, Pool, RackId, UpstreamRecord};

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
pub(crate) struct PackingState {
    racks: BTreeMap<RackId, BTreeMap<UpstreamName, Capacity>>,
}

impl PackingState {
    /// The open upstreams, each with the room that `room` gives.
    pub(crate) fn new(
        pool: &Pool,
        capacity: impl Fn(&UpstreamName, &UpstreamRecord) -> Capacity,
    ) -> Self {
        let mut packing = Self::default();
        for (name, record) in pool.upstreams().filter(|(_, record)| record.is_open()) {
            let Some(spec) = &record.spec else { continue };
            let rack = packing.racks.entry(RackId::of(spec)).or_default();
            rack.insert(name.clone(), capacity(name, record));
        }
        packing
    }

    /// Packs one block; takes its room on success.
    pub(crate) fn pack(&mut self, request: &BlockRequest) -> Option<Assignment> {
        let placements = if request.shape.adjacent {
            self.choose_in_one_rack(request)?
        } else {
            self.choose_anywhere(request)?
        };
        let part = Capacity::for_part(&request.shape);
        for (rack, upstream) in &placements {
            let capacity =
                self.racks.get_mut(rack).and_then(|upstreams| upstreams.get_mut(upstream));
            if let Some(capacity) = capacity {
                *capacity = capacity.minus(&part);
            }
        }
        let upstreams = placements.into_iter().map(|(_, upstream)| upstream);
        Some(request.parts.iter().cloned().zip(upstreams).collect())
    }

    /// Whether a job fits into what is left, once the work that `firm` gives for each seat has ended.
    pub(crate) fn fits(
        &self,
        shape: &Shape,
        non_preemptible: impl Fn(&UpstreamName) -> Capacity,
    ) -> bool {
        let task = Capacity::for_task(shape);
        let count = |upstreams: &BTreeMap<UpstreamName, Capacity>| -> u32 {
            let capacity = |(name, capacity): (&UpstreamName, &Capacity)| {
                capacity.plus(&non_preemptible(name))
            };
            upstreams.iter().map(|record| capacity(record).count_of(&task, shape.tasks)).sum()
        };
        if shape.adjacent {
            return self.racks.values().any(|upstreams| count(upstreams) >= shape.tasks);
        }
        self.racks.values().map(count).sum::<u32>() >= shape.tasks
    }

    /// The rack that the block fills best.
    fn choose_in_one_rack(&self, request: &BlockRequest) -> Option<Vec<(RackId, UpstreamName)>> {
        let part = Capacity::for_part(&request.shape);
        let wanted = request.parts.len();
        let count = |upstreams: &BTreeMap<UpstreamName, Capacity>| -> usize {
            upstreams.values().map(|capacity| count_of(capacity, &part, wanted)).sum()
        };
        let fitting = self
            .racks
            .iter()
            .filter(|(id, upstreams)| request.rack.allows(id) && count(upstreams) >= wanted);
        let (id, upstreams) = fitting.min_by_key(|(_, upstreams)| count(upstreams))?;
        let mut placements = Vec::new();
        fill(id, upstreams, &part, wanted, &mut placements);
        Some(placements)
    }

    /// The fullest upstreams anywhere.
    fn choose_anywhere(&self, request: &BlockRequest) -> Option<Vec<(RackId, UpstreamName)>> {
        let part = Capacity::for_part(&request.shape);
        let wanted = request.parts.len();
        let mut upstreams: Vec<(&Capacity, &RackId, &UpstreamName)> = self
            .racks
            .iter()
            .flat_map(|(id, upstreams)| {
                upstreams.iter().map(move |(name, capacity)| (capacity, id, name))
            })
            .filter(|(capacity, ..)| part.fits(capacity))
            .collect();
        upstreams.sort_by_key(|(capacity, id, name)| (capacity.resources, *id, *name));
        let mut placements = Vec::new();
        for (capacity, id, name) in upstreams {
            let more = count_of(capacity, &part, wanted - placements.len());
            placements.extend(std::iter::repeat_n((id.clone(), name.clone()), more));
            if placements.len() == wanted {
                return Some(placements);
            }
        }
        None
    }
}

fn fill(
    id: &RackId,
    upstreams: &BTreeMap<UpstreamName, Capacity>,
    part: &Capacity,
    wanted: usize,
    placements: &mut Vec<(RackId, UpstreamName)>,
) {
    let mut order: Vec<(&UpstreamName, &Capacity)> = upstreams.iter().collect();
    order.sort_by_key(|(name, capacity)| (capacity.resources, *name));
    for (name, capacity) in order {
        let more = count_of(capacity, part, wanted - placements.len());
        placements.extend(std::iter::repeat_n((id.clone(), name.clone()), more));
    }
}

fn count_of(capacity: &Capacity, part: &Capacity, limit: usize) -> usize {
    capacity.count_of(part, u32::try_from(limit).unwrap_or(u32::MAX)) as usize
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
    let mut packing = PackingState::new(pool, |_, record| record.capacity());
    for request in all_blocks(lists) {
        if packing.pack(&request).is_none() {
            return Err(fit_fault(&request, pool));
        }
    }
    Ok(())
}

/// Whether a job that cannot be stopped could ever run beside all guarantees, were the pool empty.
pub(crate) fn fits_beside_guarantees(lists: &Lists, pool: &Pool, shape: &Shape) -> bool {
    let mut packing = PackingState::new(pool, |_, record| record.capacity());
    for request in all_blocks(lists) {
        packing.pack(&request);
    }
    packing.fits(shape, |_| Capacity::default())
}

fn fit_fault(request: &BlockRequest, pool: &Pool) -> ListFault {
    let Some(part) = request.parts.first() else { return ListFault::new("guarantee", "is empty") };
    let place = format!("account {:?} guarantee {}", part.account.as_str(), part.block + 1);
    let open = pool.upstreams().filter(|(_, record)| record.is_open()).count();
    let problem = format!(
        "{} does not fit the pool of {open} open upstreams together with the guarantees before it",
        request.shape
    );
    ListFault::new(place, problem)
}
