//! Where a job goes that claims no guarantee.
//!
//! A small job goes where it breaks least: the fullest upstream that has room, in the rack with the
//! fewest whole upstreams. A gang fills broken upstreams first; an adjacent one the tightest rack.

use hg_model::{JobId, JobSpec, MarkId, UpstreamName};

use crate::{Pool, RackId, Room, SeatView, UpstreamRecord, WaitReason};

/// Most equally full upstreams compared for a small job.
const COMPARED_MAX: usize = 8;
/// Most racks tried for an adjacent job.
const RACKS_MAX: usize = 64;

/// Some of a job's tasks on one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Spot {
    pub(crate) upstream: UpstreamName,
    pub(crate) tasks: u32,
    pub(crate) mark: Option<MarkId>,
}

impl Spot {
    fn new(upstream: &UpstreamName, tasks: u32) -> Self {
        Self { upstream: upstream.clone(), tasks, mark: None }
    }
}

/// What a search looks for.
#[derive(Debug, Clone, Copy)]
struct Search<'a> {
    pool: &'a Pool,
    job: &'a JobId,
    view: SeatView,
    task: Room,
    tasks: u32,
}

/// Finds room outside guarantees, or says why there is none.
pub(crate) fn find_room(
    pool: &Pool,
    spec: &JobSpec,
    held: &[UpstreamName],
) -> Result<Vec<Spot>, WaitReason> {
    let search = |view| Search {
        pool,
        job: &spec.id,
        view,
        task: Room::of_task(&spec.shape),
        tasks: spec.shape.tasks,
    };
    let run = |view| {
        let search = search(view);
        if spec.shape.adjacent { search.in_one_rack(held) } else { search.anywhere(held) }
    };
    // Room that no guarantee needs comes first; what sits there is never reclaimed.
    if let Some(spots) = run(SeatView::FirmFree) {
        return Ok(spots);
    }
    match run(SeatView::Free) {
        Some(spots) if spec.is_stoppable() => Ok(spots),
        Some(_) => Err(WaitReason::GuaranteedRoom),
        None if spec.shape.adjacent => Err(WaitReason::NoAdjacentRoom),
        None => Err(WaitReason::NoRoom),
    }
}

impl Search<'_> {
    /// How many tasks an upstream can take, at most `limit`.
    fn count(&self, seat: &UpstreamRecord, limit: u32) -> u32 {
        let ours = seat.held_for.as_ref().is_none_or(|job| job == self.job);
        if !ours || !seat.is_open() {
            return 0;
        }
        self.view.room(seat).count_of(&self.task, limit)
    }

    fn anywhere(&self, held: &[UpstreamName]) -> Option<Vec<Spot>> {
        if self.tasks == 1 && held.is_empty() {
            return self.least_breaking().map(|name| vec![Spot::new(name, 1)]);
        }
        let held = held.iter().filter_map(|name| Some((name, self.pool.upstream(name)?)));
        self.fill(held.chain(self.pool.candidates(self.view, self.task)))
    }

    fn least_breaking(&self) -> Option<&UpstreamName> {
        let mut candidates = self.pool.candidates(self.view, self.task);
        let (first, seat) = candidates.next()?;
        let accelerators = self.view.room(seat).resources.accelerators;
        let equally_full = candidates
            .take(COMPARED_MAX)
            .take_while(|(_, s)| self.view.room(s).resources.accelerators == accelerators);
        let whole = |seat: &UpstreamRecord| {
            let rack = seat.spec.as_ref().map(RackId::of);
            rack.map_or(0, |id| self.pool.whole_in_rack(&id))
        };
        std::iter::once((first, seat))
            .chain(equally_full)
            .min_by_key(|(_, seat)| whole(seat))
            .map(|(name, _)| name)
    }

    fn in_one_rack(&self, held: &[UpstreamName]) -> Option<Vec<Spot>> {
        let own_rack =
            held.first().and_then(|name| self.pool.upstream(name)?.spec.as_ref()).map(RackId::of);
        if let Some(spots) = own_rack.and_then(|id| self.fill_rack(&id)) {
            return Some(spots);
        }
        let accelerators = self.task.resources.accelerators;
        let racks = self.pool.rack_candidates(self.tasks, accelerators);
        racks.take(RACKS_MAX).find_map(|id| self.fill_rack(id))
    }

    fn fill_rack(&self, id: &RackId) -> Option<Vec<Spot>> {
        let mut seats: Vec<(&UpstreamName, &UpstreamRecord)> = self.pool.rack(id).collect();
        seats.sort_by_key(|(_, seat)| self.view.room(seat).resources);
        self.fill(seats.into_iter())
    }

    /// Takes seats in the given order until all tasks sit.
    fn fill<'a>(
        &self,
        seats: impl Iterator<Item = (&'a UpstreamName, &'a UpstreamRecord)>,
    ) -> Option<Vec<Spot>> {
        let mut spots: Vec<Spot> = Vec::new();
        let mut left = self.tasks;
        for (name, seat) in seats {
            let tasks = self.count(seat, left);
            if tasks == 0 || spots.iter().any(|spot| spot.upstream == *name) {
                continue;
            }
            spots.push(Spot::new(name, tasks));
            left -= tasks;
            if left == 0 {
                return Some(spots);
            }
        }
        None
    }
}
