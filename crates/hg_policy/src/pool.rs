//! The upstreams and indices over their free capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use derive_more::Display;
use hg_model::{
    DataCentreName, JobId, RackName, Resources, Time, UpstreamHeartbeat, UpstreamName, UpstreamSpec,
};

use crate::Capacity;

/// Numbers of accelerators per task by which racks are indexed. A search for another number uses
/// the next lower one.
const RACK_CLASSES: [u32; 4] = [1, 2, 4, 8];

/// A rack, unique in the pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{data_centre}/{rack}")]
pub struct RackId {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The rack in it.
    pub rack: RackName,
}

impl RackId {
    /// The rack of an upstream.
    pub fn of(spec: &UpstreamSpec) -> Self {
        Self { data_centre: spec.data_centre.clone(), rack: spec.rack.clone() }
    }
}

/// One upstream, its state and what is used on it.
#[derive(Debug, Clone)]
pub struct UpstreamRecord {
    /// What it announced; `None` while it has sent no heartbeat and only its leases are known.
    pub spec: Option<UpstreamSpec>,
    /// When its reachability was last observed: its last heartbeat, or when it was found
    /// unreachable.
    pub observed_at: Time,
    /// Whether it is reachable.
    pub reachable: bool,
    /// Whether it has announced that it is leaving and accepts no new work.
    pub leaving: bool,
    /// Whether an operator drained it.
    pub drained: bool,
    /// Whether it is quarantined or on probation.
    pub quarantined: bool,
    /// Whether it has just refused a start or was unreachable; it gets no new work for a short
    /// time.
    pub suspect: bool,
    /// The job that its free capacity is reserved for.
    pub reserved_for: Option<JobId>,
    /// Capacity used by all tasks on it.
    pub used: Capacity,
    /// Capacity set apart for guaranteed parts.
    pub guaranteed: Capacity,
    /// Capacity used outside guarantees by tasks that cannot be stopped.
    pub non_preemptible: Capacity,
    /// Capacity reserved for claims that wait for borrowers to stop.
    pub reserved_for_claims: Capacity,
    /// Jobs with tasks on it.
    pub jobs: BTreeSet<JobId>,
}

impl UpstreamRecord {
    fn empty(now: Time) -> Self {
        Self {
            spec: None,
            observed_at: now,
            reachable: false,
            leaving: false,
            drained: false,
            quarantined: false,
            suspect: false,
            reserved_for: None,
            used: Capacity::default(),
            guaranteed: Capacity::default(),
            non_preemptible: Capacity::default(),
            reserved_for_claims: Capacity::default(),
            jobs: BTreeSet::new(),
        }
    }

    /// Its total capacity; zero while it has announced nothing.
    pub fn capacity(&self) -> Capacity {
        self.spec.as_ref().map_or_else(Capacity::default, |s| Capacity::new(s.capacity, s.slots))
    }

    /// Whether new work may be placed on it, regardless of reservations.
    pub const fn is_open(&self) -> bool {
        self.reachable
            && !self.leaving
            && !self.drained
            && !self.quarantined
            && !self.suspect
            && self.spec.is_some()
    }

    /// When it counts as lost if it stays unreachable, which is `lost_after` after it was found
    /// unreachable; `None` while it is reachable.
    pub fn lost_at(&self, lost_after: Duration) -> Option<Time> {
        (!self.reachable).then(|| self.observed_at.after(lost_after))
    }

    /// Capacity available to tasks that may be stopped.
    pub fn free(&self) -> Capacity {
        self.capacity().minus(&self.used).minus(&self.reserved_for_claims)
    }

    /// Capacity neither set apart for guarantees nor used outside them by tasks that cannot be
    /// stopped.
    pub fn unguaranteed(&self) -> Capacity {
        self.capacity().minus(&self.guaranteed).minus(&self.non_preemptible)
    }

    /// Capacity available to tasks that cannot be stopped.
    pub fn non_preemptible_free(&self) -> Capacity {
        self.free().min(&self.unguaranteed())
    }
}

/// The kind of free capacity that a search considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityView {
    /// Capacity available to tasks that may be stopped.
    Preemptible,
    /// Capacity available to tasks that cannot be stopped.
    NonPreemptible,
}

impl CapacityView {
    /// The capacity of this kind on an upstream.
    pub fn available(self, record: &UpstreamRecord) -> Capacity {
        match self {
            Self::Preemptible => record.free(),
            Self::NonPreemptible => record.non_preemptible_free(),
        }
    }
}

/// Orders upstreams by free accelerators, then free processors, then name.
type FreeKey = (u32, u32, UpstreamName);

#[derive(Debug, Default)]
struct Rack {
    upstreams: BTreeSet<UpstreamName>,
    task_counts: [u32; RACK_CLASSES.len()],
    idle: u32,
}

/// All upstreams.
#[derive(Debug, Default)]
pub struct Pool {
    upstreams: BTreeMap<UpstreamName, UpstreamRecord>,
    racks: BTreeMap<RackId, Rack>,
    free: BTreeSet<FreeKey>,
    non_preemptible_free: BTreeSet<FreeKey>,
    racks_by_task_count: [BTreeSet<(u32, RackId)>; RACK_CLASSES.len()],
    capacities: BTreeMap<(u32, u32, u64, u32), u32>,
    unreachable: BTreeSet<UpstreamName>,
    closed_with_guarantees: BTreeSet<UpstreamName>,
    total: Capacity,
}

/// Queries.
impl Pool {
    /// An upstream by name.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&UpstreamRecord> {
        self.upstreams.get(name)
    }

    /// All upstreams by name.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamRecord)> {
        self.upstreams.iter()
    }

    /// How many upstreams are known.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// All racks with their upstreams.
    pub fn racks(&self) -> impl Iterator<Item = (&RackId, &BTreeSet<UpstreamName>)> {
        self.racks.iter().map(|(id, rack)| (id, &rack.upstreams))
    }

    /// The upstreams of a rack.
    pub fn rack(&self, id: &RackId) -> impl Iterator<Item = (&UpstreamName, &UpstreamRecord)> {
        let names = self.racks.get(id).into_iter().flat_map(|rack| &rack.upstreams);
        names.filter_map(|name| self.upstreams.get_key_value(name))
    }

    /// How many open upstreams of a rack run no task.
    pub fn idle_in_rack(&self, id: &RackId) -> u32 {
        self.racks.get(id).map_or(0, |rack| rack.idle)
    }

    /// The total capacity of all open upstreams.
    pub const fn total(&self) -> &Capacity {
        &self.total
    }

    /// The distinct capacities of open upstreams and how many there are of each.
    pub fn capacities(&self) -> impl Iterator<Item = (Capacity, u32)> {
        self.capacities.iter().map(|((accelerators, processors, memory, slots), count)| {
            let resources = Resources::new(*accelerators, *processors, *memory);
            (Capacity::new(resources, *slots), *count)
        })
    }

    /// Open, unreserved upstreams with at least `needed` free under a view, those with the least
    /// free first.
    pub fn candidates(&self, view: CapacityView, needed: Capacity) -> Candidates<'_> {
        let Resources { accelerators, processors, .. } = needed.resources;
        let from = Bound::Included((accelerators, processors, lowest_name()));
        Candidates { pool: self, view, needed, from }
    }

    /// Racks that may hold `tasks` tasks of `accelerators` accelerators each, those with the least
    /// free first.
    pub fn rack_candidates(&self, tasks: u32, accelerators: u32) -> impl Iterator<Item = &RackId> {
        let class = RACK_CLASSES.iter().rposition(|c| *c <= accelerators);
        let least = if class.is_some() { tasks } else { 0 };
        let index = &self.racks_by_task_count[class.unwrap_or(0)];
        let lowest = RackId {
            data_centre: DataCentreName::new("-").expect("a dash is an allowed name"),
            rack: RackName::new("-").expect("a dash is an allowed name"),
        };
        index.range((least, lowest)..).map(|(_, id)| id)
    }

    /// Known upstreams that are unreachable.
    pub fn unreachable(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamRecord)> {
        self.unreachable.iter().filter_map(|name| self.upstreams.get_key_value(name))
    }

    /// Upstreams with guaranteed parts that accept no new work; those that are only suspect are not
    /// among them.
    pub fn closed_with_guarantees(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamRecord)> {
        self.closed_with_guarantees.iter().filter_map(|name| self.upstreams.get_key_value(name))
    }

    const fn index(&self, view: CapacityView) -> &BTreeSet<FreeKey> {
        match view {
            CapacityView::Preemptible => &self.free,
            CapacityView::NonPreemptible => &self.non_preemptible_free,
        }
    }
}

/// Iterates over the upstreams with enough free capacity, those with the least free first.
#[derive(Debug)]
pub struct Candidates<'a> {
    pool: &'a Pool,
    view: CapacityView,
    needed: Capacity,
    from: Bound<FreeKey>,
}

impl<'a> Iterator for Candidates<'a> {
    type Item = (&'a UpstreamName, &'a UpstreamRecord);

    fn next(&mut self) -> Option<Self::Item> {
        let processors = self.needed.resources.processors;
        loop {
            let key =
                self.pool.index(self.view).range((self.from.clone(), Bound::Unbounded)).next()?;
            if key.1 < processors {
                // The first entries with this number of free accelerators have too few processors;
                // skip them.
                self.from = Bound::Included((key.0, processors, lowest_name()));
                continue;
            }
            self.from = Bound::Excluded(key.clone());
            let (name, record) = self.pool.upstreams.get_key_value(&key.2)?;
            if self.needed.fits(&self.view.available(record)) {
                return Some((name, record));
            }
        }
    }
}

fn lowest_name() -> UpstreamName {
    UpstreamName::new("-").expect("a dash is an allowed name")
}

/// Commands.
impl Pool {
    /// Records a heartbeat. Returns whether it changed anything but the time of contact.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: &UpstreamHeartbeat) -> bool {
        let name = &heartbeat.spec.name;
        let same = self.upstreams.get(name).is_some_and(|record| {
            record.reachable
                && record.leaving == heartbeat.leaving
                && record.spec.as_ref() == Some(&heartbeat.spec)
        });
        if same {
            self.update_unindexed(name, |record| record.observed_at = now);
            return false;
        }
        self.update(now, name, |record| {
            record.spec = Some(heartbeat.spec.clone());
            record.leaving = heartbeat.leaving;
            record.reachable = true;
            record.observed_at = now;
        });
        true
    }

    /// Records that an upstream is unreachable; removes it if nothing is on it.
    pub fn mark_unreachable(&mut self, now: Time, name: &UpstreamName) {
        if !self.upstreams.contains_key(name) {
            return;
        }
        self.update(now, name, |record| {
            record.reachable = false;
            record.observed_at = now;
        });
        self.remove_if_unused(name);
    }

    /// Changes the record of an upstream, added if it is new, and updates all indices.
    pub fn update(
        &mut self,
        now: Time,
        name: &UpstreamName,
        change: impl FnOnce(&mut UpstreamRecord),
    ) {
        let is_new = !self.upstreams.contains_key(name);
        let record =
            self.upstreams.entry(name.clone()).or_insert_with(|| UpstreamRecord::empty(now));
        let before = record.index_keys();
        change(record);
        let after = record.index_keys();
        if before == after && !is_new {
            return;
        }
        self.unindex(name, &before);
        self.reindex(name, &after);
        let racks: BTreeSet<RackId> = [before.rack, after.rack].into_iter().flatten().collect();
        for rack in racks {
            self.recount(&rack);
        }
    }

    /// Removes an upstream if it is unreachable and has no jobs, guaranteed parts or pending
    /// claims.
    pub fn remove_if_unused(&mut self, name: &UpstreamName) {
        let gone = self.upstreams.get(name).is_some_and(|record| {
            !record.reachable
                && record.jobs.is_empty()
                && record.guaranteed.is_zero()
                && record.reserved_for_claims.is_zero()
        });
        if !gone {
            return;
        }
        self.unreachable.remove(name);
        let rack =
            self.upstreams.remove(name).and_then(|record| record.spec.map(|s| RackId::of(&s)));
        let Some(id) = rack else { return };
        let empty = self.racks.get_mut(&id).is_some_and(|rack| {
            rack.upstreams.remove(name);
            rack.upstreams.is_empty()
        });
        if empty {
            self.drop_rack(&id);
        }
    }

    fn update_unindexed(&mut self, name: &UpstreamName, change: impl FnOnce(&mut UpstreamRecord)) {
        if let Some(record) = self.upstreams.get_mut(name) {
            change(record);
        }
    }

    fn unindex(&mut self, name: &UpstreamName, keys: &IndexKeys) {
        if let Some((accelerators, processors)) = keys.free {
            self.free.remove(&(accelerators, processors, name.clone()));
        }
        if let Some((accelerators, processors)) = keys.non_preemptible_free {
            self.non_preemptible_free.remove(&(accelerators, processors, name.clone()));
        }
        self.unreachable.remove(name);
        self.closed_with_guarantees.remove(name);
        if let Some(capacity) = keys.capacity {
            self.total = self.total.minus(&capacity);
            let key = capacity_key(&capacity);
            if let Some(count) = self.capacities.get_mut(&key) {
                *count -= 1;
                if *count == 0 {
                    self.capacities.remove(&key);
                }
            }
        }
        if let Some(rack) = keys.rack.as_ref().and_then(|id| self.racks.get_mut(id)) {
            rack.upstreams.remove(name);
        }
    }

    fn reindex(&mut self, name: &UpstreamName, keys: &IndexKeys) {
        if let Some((accelerators, processors)) = keys.free {
            self.free.insert((accelerators, processors, name.clone()));
        }
        if let Some((accelerators, processors)) = keys.non_preemptible_free {
            self.non_preemptible_free.insert((accelerators, processors, name.clone()));
        }
        if keys.unreachable {
            self.unreachable.insert(name.clone());
        }
        if keys.closed_with_guarantees {
            self.closed_with_guarantees.insert(name.clone());
        }
        if let Some(capacity) = keys.capacity {
            self.total = self.total.plus(&capacity);
            *self.capacities.entry(capacity_key(&capacity)).or_default() += 1;
        }
        if let Some(id) = &keys.rack {
            self.racks.entry(id.clone()).or_default().upstreams.insert(name.clone());
        }
    }

    /// Recomputes how many tasks of each class a rack can hold, and how many of its upstreams are
    /// idle.
    fn recount(&mut self, id: &RackId) {
        let Some(rack) = self.racks.get(id) else { return };
        let open = rack
            .upstreams
            .iter()
            .filter_map(|n| self.upstreams.get(n))
            .filter(|record| record.is_open());
        let mut task_counts = [0; RACK_CLASSES.len()];
        let mut idle = 0;
        for record in open {
            let free = record.free();
            for (sum, class) in task_counts.iter_mut().zip(RACK_CLASSES) {
                *sum += (free.resources.accelerators / class).min(free.slots);
            }
            idle += u32::from(record.used.is_zero());
        }
        if rack.upstreams.is_empty() {
            self.drop_rack(id);
            return;
        }
        let Some(rack) = self.racks.get_mut(id) else { return };
        let before = std::mem::replace(&mut rack.task_counts, task_counts);
        rack.idle = idle;
        for (index, (old, new)) in
            self.racks_by_task_count.iter_mut().zip(before.into_iter().zip(task_counts))
        {
            index.remove(&(old, id.clone()));
            index.insert((new, id.clone()));
        }
    }

    fn drop_rack(&mut self, id: &RackId) {
        let Some(rack) = self.racks.remove(id) else { return };
        for (index, count) in self.racks_by_task_count.iter_mut().zip(rack.task_counts) {
            index.remove(&(count, id.clone()));
        }
    }
}

/// The values of a record that the indices depend on.
#[derive(Debug, PartialEq, Eq)]
struct IndexKeys {
    free: Option<(u32, u32)>,
    non_preemptible_free: Option<(u32, u32)>,
    slots: u32,
    idle: bool,
    unreachable: bool,
    closed_with_guarantees: bool,
    capacity: Option<Capacity>,
    rack: Option<RackId>,
}

impl UpstreamRecord {
    fn index_keys(&self) -> IndexKeys {
        let open = self.is_open();
        let listed = open && self.reserved_for.is_none();
        let key =
            |capacity: Capacity| (capacity.resources.accelerators, capacity.resources.processors);
        IndexKeys {
            free: listed.then(|| key(self.free())),
            non_preemptible_free: listed.then(|| key(self.non_preemptible_free())),
            slots: self.free().slots,
            idle: self.used.is_zero(),
            unreachable: !self.reachable,
            // Being suspect is short, so it must not move guaranteed parts.
            closed_with_guarantees: !open && !self.suspect && !self.guaranteed.is_zero(),
            capacity: open.then(|| self.capacity()),
            rack: self.spec.as_ref().map(RackId::of),
        }
    }
}

const fn capacity_key(capacity: &Capacity) -> (u32, u32, u64, u32) {
    let resources = &capacity.resources;
    (resources.accelerators, resources.processors, resources.memory_mib, capacity.slots)
}
