//! The upstreams and their free room, indexed.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use derive_more::Display;
use hg_model::{
    DataCentreName, JobId, RackName, Resources, Time, UpstreamHeartbeat, UpstreamName, UpstreamSpec,
};

use crate::Room;

/// Accelerators per task by which racks are indexed; others use the next lower one.
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

/// One upstream with what is used on it.
#[derive(Debug, Clone)]
pub struct UpstreamRecord {
    /// What it announced; `None` while only its leases are known.
    pub spec: Option<UpstreamSpec>,
    /// When it was last known to be alive or first missed.
    pub seen: Time,
    /// Whether it is known to be alive.
    pub alive: bool,
    /// Whether it asks for no new work.
    pub leaving: bool,
    /// Whether an operator drained it.
    pub drained: bool,
    /// Whether it is put aside or on probation.
    pub quarantined: bool,
    /// Whether it has just refused a start; for a moment it gets no new work.
    pub suspect: bool,
    /// The job that its free room is held for.
    pub held_for: Option<JobId>,
    /// Used by all tasks on it.
    pub used: Room,
    /// Set apart for guaranteed parts.
    pub guaranteed: Room,
    /// Used outside guarantees by tasks that cannot be stopped.
    pub firm: Room,
    /// Promised to claims that wait for borrowers to stop.
    pub pledged: Room,
    /// Jobs with tasks on it.
    pub jobs: BTreeSet<JobId>,
}

impl UpstreamRecord {
    fn unseen(now: Time) -> Self {
        Self {
            spec: None,
            seen: now,
            alive: false,
            leaving: false,
            drained: false,
            quarantined: false,
            suspect: false,
            held_for: None,
            used: Room::default(),
            guaranteed: Room::default(),
            firm: Room::default(),
            pledged: Room::default(),
            jobs: BTreeSet::new(),
        }
    }

    /// All that it has.
    pub fn capacity(&self) -> Room {
        self.spec.as_ref().map_or_else(Room::default, |s| Room::new(s.capacity, s.slots))
    }

    /// Whether new work may be placed on it, apart from holds.
    pub const fn is_open(&self) -> bool {
        self.alive
            && !self.leaving
            && !self.drained
            && !self.quarantined
            && !self.suspect
            && self.spec.is_some()
    }

    /// From when on it counts as lost if it stays silent; `None` while it is heard.
    pub fn lost_since(&self, unseen: Duration) -> Option<Time> {
        (!self.alive).then(|| self.seen.after(unseen))
    }

    /// Room for a task that may be stopped.
    pub fn free(&self) -> Room {
        self.capacity().minus(&self.used).minus(&self.pledged)
    }

    /// Room that no guarantee needs.
    pub fn unguaranteed(&self) -> Room {
        self.capacity().minus(&self.guaranteed).minus(&self.firm)
    }

    /// Room for a task that cannot be stopped.
    pub fn firm_free(&self) -> Room {
        self.free().min(&self.unguaranteed())
    }
}

/// What of a seat a search looks at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatView {
    /// Room for tasks that may be stopped.
    Free,
    /// Room for tasks that cannot be stopped.
    FirmFree,
}

impl SeatView {
    /// The room of a seat under this view.
    pub fn room(self, seat: &UpstreamRecord) -> Room {
        match self {
            Self::Free => seat.free(),
            Self::FirmFree => seat.firm_free(),
        }
    }
}

/// Orders seats by free accelerators, then processors.
type SeatKey = (u32, u32, UpstreamName);

#[derive(Debug, Default)]
struct Rack {
    seats: BTreeSet<UpstreamName>,
    fits: [u32; RACK_CLASSES.len()],
    whole: u32,
}

/// All upstreams.
#[derive(Debug, Default)]
pub struct Pool {
    seats: BTreeMap<UpstreamName, UpstreamRecord>,
    racks: BTreeMap<RackId, Rack>,
    free: BTreeSet<SeatKey>,
    firm_free: BTreeSet<SeatKey>,
    rack_fits: [BTreeSet<(u32, RackId)>; RACK_CLASSES.len()],
    capacities: BTreeMap<(u32, u32, u64, u32), u32>,
    silent: BTreeSet<UpstreamName>,
    closed_guaranteed: BTreeSet<UpstreamName>,
    total: Room,
}

/// Queries.
impl Pool {
    /// An upstream by name.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&UpstreamRecord> {
        self.seats.get(name)
    }

    /// All upstreams by name.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamRecord)> {
        self.seats.iter()
    }

    /// How many upstreams are known.
    pub fn len(&self) -> usize {
        self.seats.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    /// All racks with their upstreams.
    pub fn racks(&self) -> impl Iterator<Item = (&RackId, &BTreeSet<UpstreamName>)> {
        self.racks.iter().map(|(id, rack)| (id, &rack.seats))
    }

    /// The upstreams of a rack.
    pub fn rack(&self, id: &RackId) -> impl Iterator<Item = (&UpstreamName, &UpstreamRecord)> {
        let names = self.racks.get(id).into_iter().flat_map(|rack| &rack.seats);
        names.filter_map(|name| self.seats.get_key_value(name))
    }

    /// How many upstreams of a rack are wholly free.
    pub fn whole_in_rack(&self, id: &RackId) -> u32 {
        self.racks.get(id).map_or(0, |rack| rack.whole)
    }

    /// What all open upstreams have together.
    pub const fn total(&self) -> &Room {
        &self.total
    }

    /// The distinct capacities of open upstreams and how many there are of each.
    pub fn capacities(&self) -> impl Iterator<Item = (Room, u32)> {
        self.capacities.iter().map(|((accelerators, processors, memory, slots), count)| {
            let resources = Resources::new(*accelerators, *processors, *memory);
            (Room::new(resources, *slots), *count)
        })
    }

    /// Upstreams with at least `room` under a view, the fullest first.
    pub fn candidates(&self, view: SeatView, room: Room) -> Candidates<'_> {
        let Resources { accelerators, processors, .. } = room.resources;
        let from = Bound::Included((accelerators, processors, lowest_name()));
        Candidates { pool: self, view, room, from }
    }

    /// Racks that may hold `tasks` tasks of `accelerators` each, the fullest first.
    pub fn rack_candidates(&self, tasks: u32, accelerators: u32) -> impl Iterator<Item = &RackId> {
        let class = RACK_CLASSES.iter().rposition(|c| *c <= accelerators);
        let least = if class.is_some() { tasks } else { 0 };
        let index = &self.rack_fits[class.unwrap_or(0)];
        let lowest = RackId {
            data_centre: DataCentreName::new("-").expect("a dash is an allowed name"),
            rack: RackName::new("-").expect("a dash is an allowed name"),
        };
        index.range((least, lowest)..).map(|(_, id)| id)
    }

    /// Upstreams that are known but not heard.
    pub fn silent(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamRecord)> {
        self.silent.iter().filter_map(|name| self.seats.get_key_value(name))
    }

    /// Upstreams that take no new work although guaranteed parts lie on them.
    pub fn closed_guaranteed(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamRecord)> {
        self.closed_guaranteed.iter().filter_map(|name| self.seats.get_key_value(name))
    }

    const fn index(&self, view: SeatView) -> &BTreeSet<SeatKey> {
        match view {
            SeatView::Free => &self.free,
            SeatView::FirmFree => &self.firm_free,
        }
    }
}

/// Walks the seats with enough room, the fullest first.
#[derive(Debug)]
pub struct Candidates<'a> {
    pool: &'a Pool,
    view: SeatView,
    room: Room,
    from: Bound<SeatKey>,
}

impl<'a> Iterator for Candidates<'a> {
    type Item = (&'a UpstreamName, &'a UpstreamRecord);

    fn next(&mut self) -> Option<Self::Item> {
        let processors = self.room.resources.processors;
        loop {
            let key =
                self.pool.index(self.view).range((self.from.clone(), Bound::Unbounded)).next()?;
            if key.1 < processors {
                // The next class of free accelerators starts with too few processors; skip those.
                self.from = Bound::Included((key.0, processors, lowest_name()));
                continue;
            }
            self.from = Bound::Excluded(key.clone());
            let (name, seat) = self.pool.seats.get_key_value(&key.2)?;
            if self.room.fits(&self.view.room(seat)) {
                return Some((name, seat));
            }
        }
    }
}

fn lowest_name() -> UpstreamName {
    UpstreamName::new("-").expect("a dash is an allowed name")
}

/// Commands.
impl Pool {
    /// Takes in what an upstream says about itself. Returns whether anything changed.
    pub fn record_heartbeat(&mut self, now: Time, beat: &UpstreamHeartbeat) -> bool {
        let name = &beat.spec.name;
        let same = self.seats.get(name).is_some_and(|seat| {
            seat.alive && seat.leaving == beat.leaving && seat.spec.as_ref() == Some(&beat.spec)
        });
        if same {
            self.update_unindexed(name, |seat| seat.seen = now);
            return false;
        }
        self.update(now, name, |seat| {
            seat.spec = Some(beat.spec.clone());
            seat.leaving = beat.leaving;
            seat.alive = true;
            seat.seen = now;
        });
        true
    }

    /// Notes that an upstream is no longer heard; forgets it if nothing is on it.
    pub fn mark_unreachable(&mut self, now: Time, name: &UpstreamName) {
        if !self.seats.contains_key(name) {
            return;
        }
        self.update(now, name, |seat| {
            seat.alive = false;
            seat.seen = now;
        });
        self.forget_if_gone(name);
    }

    /// Changes a seat and everything that is indexed by it.
    pub fn update(
        &mut self,
        now: Time,
        name: &UpstreamName,
        change: impl FnOnce(&mut UpstreamRecord),
    ) {
        let is_new = !self.seats.contains_key(name);
        let seat = self.seats.entry(name.clone()).or_insert_with(|| UpstreamRecord::unseen(now));
        let before = seat.clone_for_index();
        change(seat);
        let after = seat.clone_for_index();
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

    /// Forgets an upstream that is gone once nothing is left on it.
    pub fn forget_if_gone(&mut self, name: &UpstreamName) {
        let gone = self.seats.get(name).is_some_and(|seat| {
            !seat.alive
                && seat.jobs.is_empty()
                && seat.guaranteed.is_zero()
                && seat.pledged.is_zero()
        });
        if !gone {
            return;
        }
        self.silent.remove(name);
        let rack = self.seats.remove(name).and_then(|seat| seat.spec.map(|s| RackId::of(&s)));
        let Some(id) = rack else { return };
        let empty = self.racks.get_mut(&id).is_some_and(|rack| {
            rack.seats.remove(name);
            rack.seats.is_empty()
        });
        if empty {
            self.drop_rack(&id);
        }
    }

    fn update_unindexed(&mut self, name: &UpstreamName, change: impl FnOnce(&mut UpstreamRecord)) {
        if let Some(seat) = self.seats.get_mut(name) {
            change(seat);
        }
    }

    fn unindex(&mut self, name: &UpstreamName, view: &Indexed) {
        if let Some((accelerators, processors)) = view.free {
            self.free.remove(&(accelerators, processors, name.clone()));
        }
        if let Some((accelerators, processors)) = view.firm_free {
            self.firm_free.remove(&(accelerators, processors, name.clone()));
        }
        self.silent.remove(name);
        self.closed_guaranteed.remove(name);
        if let Some(capacity) = view.capacity {
            self.total = self.total.minus(&capacity);
            let key = capacity_key(&capacity);
            if let Some(count) = self.capacities.get_mut(&key) {
                *count -= 1;
                if *count == 0 {
                    self.capacities.remove(&key);
                }
            }
        }
        if let Some(rack) = view.rack.as_ref().and_then(|id| self.racks.get_mut(id)) {
            rack.seats.remove(name);
        }
    }

    fn reindex(&mut self, name: &UpstreamName, view: &Indexed) {
        if let Some((accelerators, processors)) = view.free {
            self.free.insert((accelerators, processors, name.clone()));
        }
        if let Some((accelerators, processors)) = view.firm_free {
            self.firm_free.insert((accelerators, processors, name.clone()));
        }
        if view.silent {
            self.silent.insert(name.clone());
        }
        if view.closed_guaranteed {
            self.closed_guaranteed.insert(name.clone());
        }
        if let Some(capacity) = view.capacity {
            self.total = self.total.plus(&capacity);
            *self.capacities.entry(capacity_key(&capacity)).or_default() += 1;
        }
        if let Some(id) = &view.rack {
            self.racks.entry(id.clone()).or_default().seats.insert(name.clone());
        }
    }

    /// Counts anew what a rack can hold.
    fn recount(&mut self, id: &RackId) {
        let Some(rack) = self.racks.get(id) else { return };
        let open = rack.seats.iter().filter_map(|n| self.seats.get(n)).filter(|s| s.is_open());
        let mut fits = [0; RACK_CLASSES.len()];
        let mut whole = 0;
        for seat in open {
            let free = seat.free();
            for (sum, class) in fits.iter_mut().zip(RACK_CLASSES) {
                *sum += (free.resources.accelerators / class).min(free.slots);
            }
            whole += u32::from(seat.used.is_zero());
        }
        if rack.seats.is_empty() {
            self.drop_rack(id);
            return;
        }
        let Some(rack) = self.racks.get_mut(id) else { return };
        let before = std::mem::replace(&mut rack.fits, fits);
        rack.whole = whole;
        for (index, (old, new)) in self.rack_fits.iter_mut().zip(before.into_iter().zip(fits)) {
            index.remove(&(old, id.clone()));
            index.insert((new, id.clone()));
        }
    }

    fn drop_rack(&mut self, id: &RackId) {
        let Some(rack) = self.racks.remove(id) else { return };
        for (index, fits) in self.rack_fits.iter_mut().zip(rack.fits) {
            index.remove(&(fits, id.clone()));
        }
    }
}

/// What of a seat the indices depend on.
#[derive(Debug, PartialEq, Eq)]
struct Indexed {
    free: Option<(u32, u32)>,
    firm_free: Option<(u32, u32)>,
    slots: u32,
    whole: bool,
    silent: bool,
    closed_guaranteed: bool,
    capacity: Option<Room>,
    rack: Option<RackId>,
}

impl UpstreamRecord {
    fn clone_for_index(&self) -> Indexed {
        let open = self.is_open();
        let listed = open && self.held_for.is_none();
        let key = |room: Room| (room.resources.accelerators, room.resources.processors);
        Indexed {
            free: listed.then(|| key(self.free())),
            firm_free: listed.then(|| key(self.firm_free())),
            slots: self.free().slots,
            whole: self.used.is_zero(),
            silent: !self.alive,
            // A moment's suspicion moves no guarantee.
            closed_guaranteed: !open && !self.suspect && !self.guaranteed.is_zero(),
            capacity: open.then(|| self.capacity()),
            rack: self.spec.as_ref().map(RackId::of),
        }
    }
}

const fn capacity_key(room: &Room) -> (u32, u32, u64, u32) {
    let resources = &room.resources;
    (resources.accelerators, resources.processors, resources.memory_mib, room.slots)
}
