//! Bin packing of guaranteed blocks onto upstreams.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hg_model::{AccountName, ListFault, Lists, MarkId, Resources, Shape, UpstreamName};

use crate::{Capacity, Pool, RackId, UpstreamRecord};

/// Parts of one block that need upstreams.
#[derive(Debug, Clone)]
pub(crate) struct BlockRequest {
    pub(crate) parts: Vec<MarkId>,
    pub(crate) shape: Shape,
    pub(crate) rack: RackChoice,
}

/// Which rack a block may be placed in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RackChoice {
    /// Any rack, or several racks if the block is not adjacent.
    Any,
    /// Only the rack where the rest of an adjacent block is placed.
    Only(RackId),
    /// No rack: the rest of an adjacent block is on an upstream whose rack is not known yet.
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

/// The upstream chosen for each part.
pub(crate) type Assignment = Vec<(MarkId, UpstreamName)>;

/// The capacity left for guaranteed parts, by rack and upstream.
#[derive(Debug, Default)]
pub(crate) struct PackingState {
    racks: BTreeMap<RackId, BTreeMap<UpstreamName, Capacity>>,
}

impl PackingState {
    /// Starts with all open upstreams, each with the capacity that `capacity` returns for it.
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

    /// Chooses upstreams for one block and subtracts its capacity; changes nothing if it does not
    /// fit.
    pub(crate) fn pack(&mut self, request: &BlockRequest) -> Option<Assignment> {
        let targets = if request.shape.adjacent {
            self.choose_in_one_rack(request)?
        } else {
            self.choose_anywhere(request)?
        };
        let part = Capacity::for_part(&request.shape);
        for (rack, upstream) in &targets {
            let capacity =
                self.racks.get_mut(rack).and_then(|upstreams| upstreams.get_mut(upstream));
            if let Some(capacity) = capacity {
                *capacity = capacity.minus(&part);
            }
        }
        let upstreams = targets.into_iter().map(|(_, upstream)| upstream);
        Some(request.parts.iter().cloned().zip(upstreams).collect())
    }

    /// Whether a job fits into the remaining capacity once each upstream has got back what
    /// `non_preemptible` returns for it.
    pub(crate) fn fits(
        &self,
        shape: &Shape,
        non_preemptible: impl Fn(&UpstreamName) -> Capacity,
    ) -> bool {
        let task = Capacity::for_task(shape);
        let count = |upstreams: &BTreeMap<UpstreamName, Capacity>| -> u32 {
            let total = |(name, capacity): (&UpstreamName, &Capacity)| {
                capacity.plus(&non_preemptible(name))
            };
            upstreams.iter().map(|entry| total(entry).count_of(&task, shape.tasks)).sum()
        };
        if shape.adjacent {
            return self.racks.values().any(|upstreams| count(upstreams) >= shape.tasks);
        }
        self.racks.values().map(count).sum::<u32>() >= shape.tasks
    }

    /// Chooses the rack with the least capacity for such parts that still holds all of them (best
    /// fit).
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
        let mut targets = Vec::new();
        fill(id, upstreams, &part, wanted, &mut targets);
        Some(targets)
    }

    /// Chooses the upstreams with the least remaining capacity, in any racks.
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
        let mut targets = Vec::new();
        for (capacity, id, name) in upstreams {
            let more = count_of(capacity, &part, wanted - targets.len());
            targets.extend(std::iter::repeat_n((id.clone(), name.clone()), more));
            if targets.len() == wanted {
                return Some(targets);
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
    targets: &mut Vec<(RackId, UpstreamName)>,
) {
    let mut order: Vec<(&UpstreamName, &Capacity)> = upstreams.iter().collect();
    order.sort_by_key(|(name, capacity)| (capacity.resources, *name));
    for (name, capacity) in order {
        let more = count_of(capacity, part, wanted - targets.len());
        targets.extend(std::iter::repeat_n((id.clone(), name.clone()), more));
    }
}

fn count_of(capacity: &Capacity, part: &Capacity, limit: usize) -> usize {
    capacity.count_of(part, u32::try_from(limit).unwrap_or(u32::MAX)) as usize
}

/// Sorts blocks into packing order: those bound to a rack first, then adjacent ones, then those
/// with larger parts, then those with more parts.
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

/// All guaranteed blocks of the lists, in packing order.
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

/// Checks that the open upstreams can hold all guarantees of the lists together.
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

/// Whether a job that cannot be stopped would fit beside all guarantees if the pool were empty.
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
