//! The choice of upstreams to reserve for a job that has waited long.

use std::cmp::Reverse;

use hg_model::{JobSpec, UpstreamName};

use crate::{Capacity, Pool, RackId, UpstreamRecord};

/// Chooses upstreams that can hold the whole job once the work there has ended.
///
/// Of the racks that could hold an adjacent job, the one where most of its tasks fit now is chosen.
pub(crate) fn choose_upstreams(pool: &Pool, spec: &JobSpec) -> Option<Vec<UpstreamName>> {
    if spec.shape.adjacent {
        let racks = pool.racks().filter_map(|(id, _)| {
            let upstreams: Vec<(&UpstreamName, &UpstreamRecord)> = pool.rack(id).collect();
            let chosen = emptiest_sufficient(upstreams, spec)?;
            Some((free_task_count(pool, id, spec), chosen))
        });
        return racks.max_by_key(|(free, _)| *free).map(|(_, chosen)| chosen);
    }
    emptiest_sufficient(pool.upstreams().collect(), spec)
}

fn free_task_count(pool: &Pool, id: &RackId, spec: &JobSpec) -> u32 {
    let task = Capacity::for_task(&spec.shape);
    let upstreams = pool.rack(id).filter(|(_, record)| record.is_open());
    upstreams.map(|(_, record)| record.free().count_of(&task, spec.shape.tasks)).sum()
}

/// The capacity that a job can use on an upstream once the work there has ended.
///
/// A job that cannot be stopped must not use guaranteed capacity; one that can may borrow it.
pub(crate) fn eventual_capacity(record: &UpstreamRecord, spec: &JobSpec) -> Capacity {
    if spec.is_stoppable() {
        record.capacity()
    } else {
        record.capacity().minus(&record.guaranteed)
    }
}

/// Chooses the emptiest upstreams, as many as the job needs; `None` if it does not fit.
fn emptiest_sufficient(
    mut upstreams: Vec<(&UpstreamName, &UpstreamRecord)>,
    spec: &JobSpec,
) -> Option<Vec<UpstreamName>> {
    let task = Capacity::for_task(&spec.shape);
    upstreams.retain(|(_, record)| record.is_open() && record.reserved_for.is_none());
    upstreams.sort_by_key(|(name, record)| (Reverse(record.free().resources), *name));
    let mut left = spec.shape.tasks;
    let mut chosen = Vec::new();
    for (name, record) in upstreams {
        let eventual = eventual_capacity(record, spec);
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
