//! Placement of jobs outside guarantees.
//!
//! Placement avoids fragmentation. A single task goes to the fullest upstream with enough capacity,
//! in the rack with the fewest idle upstreams. A gang fills partly used upstreams first; an
//! adjacent one fills the rack with the least free capacity that holds it.

use hg_model::{JobId, JobSpec, MarkId, UpstreamName};

use crate::{Capacity, CapacityView, Pool, RackId, UpstreamRecord, WaitReason};

/// Most equally full upstreams that are compared with the first one for a single task.
const COMPARED_MAX: usize = 8;
/// Most racks tried for an adjacent job.
const RACKS_MAX: usize = 64;

/// Tasks of a job placed on one upstream, inside a guaranteed part if `mark` is given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Placement {
    pub(crate) upstream: UpstreamName,
    pub(crate) tasks: u32,
    pub(crate) mark: Option<MarkId>,
}

impl Placement {
    fn new(upstream: &UpstreamName, tasks: u32) -> Self {
        Self { upstream: upstream.clone(), tasks, mark: None }
    }
}

/// A search for upstreams with capacity for a job.
#[derive(Debug, Clone, Copy)]
struct Search<'a> {
    pool: &'a Pool,
    job: &'a JobId,
    view: CapacityView,
    task: Capacity,
    tasks: u32,
}

/// Finds upstreams for all tasks of a job without claiming guaranteed parts.
///
/// `reserved` are the upstreams reserved for the job, which are used first.
///
/// # Errors
///
/// Why the job must wait.
pub(crate) fn find_placement(
    pool: &Pool,
    spec: &JobSpec,
    reserved: &[UpstreamName],
) -> Result<Vec<Placement>, WaitReason> {
    let search = |view| Search {
        pool,
        job: &spec.id,
        view,
        task: Capacity::for_task(&spec.shape),
        tasks: spec.shape.tasks,
    };
    let run = |view| {
        let search = search(view);
        if spec.shape.adjacent { search.in_one_rack(reserved) } else { search.anywhere(reserved) }
    };
    // Capacity that no guarantee needs comes first, as tasks there are never stopped to reclaim
    // one.
    if let Some(placements) = run(CapacityView::NonPreemptible) {
        return Ok(placements);
    }
    match run(CapacityView::Preemptible) {
        Some(placements) if spec.is_stoppable() => Ok(placements),
        Some(_) => Err(WaitReason::GuaranteedCapacity),
        None if spec.shape.adjacent => Err(WaitReason::NoAdjacentCapacity),
        None => Err(WaitReason::NoCapacity),
    }
}

impl Search<'_> {
    /// How many tasks fit on an upstream, at most `limit`.
    fn count(&self, record: &UpstreamRecord, limit: u32) -> u32 {
        let ours = record.reserved_for.as_ref().is_none_or(|job| job == self.job);
        if !ours || !record.is_open() {
            return 0;
        }
        self.view.available(record).count_of(&self.task, limit)
    }

    fn anywhere(&self, reserved: &[UpstreamName]) -> Option<Vec<Placement>> {
        if self.tasks == 1 && reserved.is_empty() {
            return self.least_fragmenting().map(|name| vec![Placement::new(name, 1)]);
        }
        let reserved = reserved.iter().filter_map(|name| Some((name, self.pool.upstream(name)?)));
        self.fill(reserved.chain(self.pool.candidates(self.view, self.task)))
    }

    fn least_fragmenting(&self) -> Option<&UpstreamName> {
        let mut candidates = self.pool.candidates(self.view, self.task);
        let (first, record) = candidates.next()?;
        let accelerators = self.view.available(record).resources.accelerators;
        let equally_full = candidates
            .take(COMPARED_MAX)
            .take_while(|(_, s)| self.view.available(s).resources.accelerators == accelerators);
        let idle = |record: &UpstreamRecord| {
            let rack = record.spec.as_ref().map(RackId::of);
            rack.map_or(0, |id| self.pool.idle_in_rack(&id))
        };
        std::iter::once((first, record))
            .chain(equally_full)
            .min_by_key(|(_, record)| idle(record))
            .map(|(name, _)| name)
    }

    fn in_one_rack(&self, reserved: &[UpstreamName]) -> Option<Vec<Placement>> {
        let own_rack = reserved
            .first()
            .and_then(|name| self.pool.upstream(name)?.spec.as_ref())
            .map(RackId::of);
        if let Some(placements) = own_rack.and_then(|id| self.fill_rack(&id)) {
            return Some(placements);
        }
        let accelerators = self.task.resources.accelerators;
        let racks = self.pool.rack_candidates(self.tasks, accelerators);
        racks.take(RACKS_MAX).find_map(|id| self.fill_rack(id))
    }

    fn fill_rack(&self, id: &RackId) -> Option<Vec<Placement>> {
        let mut upstreams: Vec<(&UpstreamName, &UpstreamRecord)> = self.pool.rack(id).collect();
        upstreams.sort_by_key(|(_, record)| self.view.available(record).resources);
        self.fill(upstreams.into_iter())
    }

    /// Places tasks on the upstreams in the given order; `None` if not all of them fit.
    fn fill<'a>(
        &self,
        upstreams: impl Iterator<Item = (&'a UpstreamName, &'a UpstreamRecord)>,
    ) -> Option<Vec<Placement>> {
        let mut placements: Vec<Placement> = Vec::new();
        let mut left = self.tasks;
        for (name, record) in upstreams {
            let tasks = self.count(record, left);
            if tasks == 0 || placements.iter().any(|placement| placement.upstream == *name) {
                continue;
            }
            placements.push(Placement::new(name, tasks));
            left -= tasks;
            if left == 0 {
                return Some(placements);
            }
        }
        None
    }
}
