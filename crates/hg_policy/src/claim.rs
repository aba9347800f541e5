//! Placement of jobs inside the guaranteed parts of their accounts.

use std::collections::BTreeMap;

use hg_model::{JobSpec, MarkId, UpstreamName};

use crate::placement::Placement;
use crate::{Capacity, GuaranteeRegistry, GuaranteedPart, Pool, RackId, UpstreamRecord};

/// Placements of a job inside guaranteed parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) placements: Vec<Placement>,
    /// Whether borrowers must be stopped first.
    pub(crate) needs_reclaim: bool,
}

/// A guaranteed part on an open upstream.
#[derive(Debug)]
struct ClaimablePart<'a> {
    mark: &'a MarkId,
    upstream: &'a UpstreamName,
    record: &'a UpstreamRecord,
    unclaimed: Capacity,
}

/// Finds guaranteed parts with enough unclaimed capacity for all tasks of a job.
///
/// Parts whose capacity is free now are preferred; otherwise borrowers have to be stopped.
pub(crate) fn find_claim(pool: &Pool, marks: &GuaranteeRegistry, spec: &JobSpec) -> Option<Claim> {
    let parts: Vec<ClaimablePart<'_>> = marks
        .of_account(&spec.account)
        .filter_map(|(id, state)| claimable_part(pool, id, state))
        .collect();
    let at_once = choose(&parts, spec, true);
    if let Some(placements) = at_once {
        return Some(Claim { placements, needs_reclaim: false });
    }
    let placements = choose(&parts, spec, false)?;
    Some(Claim { placements, needs_reclaim: true })
}

fn claimable_part<'a>(
    pool: &'a Pool,
    mark: &'a MarkId,
    state: &'a GuaranteedPart,
) -> Option<ClaimablePart<'a>> {
    let upstream = state.upstream.as_ref()?;
    let record = pool.upstream(upstream)?;
    record.is_open().then(|| ClaimablePart { mark, upstream, record, unclaimed: state.unclaimed() })
}

fn choose(parts: &[ClaimablePart<'_>], spec: &JobSpec, at_once: bool) -> Option<Vec<Placement>> {
    if !spec.shape.adjacent {
        return fill(&parts.iter().collect::<Vec<_>>(), spec, at_once);
    }
    let mut racks: BTreeMap<RackId, Vec<&ClaimablePart<'_>>> = BTreeMap::new();
    for part in parts {
        if let Some(announced) = &part.record.spec {
            racks.entry(RackId::of(announced)).or_default().push(part);
        }
    }
    racks.values().find_map(|parts| fill(parts, spec, at_once))
}

fn fill(parts: &[&ClaimablePart<'_>], spec: &JobSpec, at_once: bool) -> Option<Vec<Placement>> {
    let task = Capacity::for_task(&spec.shape);
    let mut free: BTreeMap<&UpstreamName, Capacity> = BTreeMap::new();
    let mut order = parts.to_vec();
    order.sort_by_key(|part| (part.unclaimed.resources, part.mark));
    let mut placements = Vec::new();
    let mut left = spec.shape.tasks;
    for part in order {
        let free_here = free.entry(part.upstream).or_insert_with(|| part.record.free());
        let capacity = if at_once { part.unclaimed.min(free_here) } else { part.unclaimed };
        let tasks = capacity.count_of(&task, left);
        if tasks == 0 {
            continue;
        }
        *free_here = free_here.minus(&task.times(tasks));
        let (upstream, mark) = (part.upstream.clone(), Some(part.mark.clone()));
        placements.push(Placement { upstream, tasks, mark });
        left -= tasks;
        if left == 0 {
            return Some(placements);
        }
    }
    None
}
