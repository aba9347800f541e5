//! Assigns upstreams to guaranteed parts that are unplaced or whose upstream is closed to new work.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::Command;
use hg_model::{JobSpec, MarkId, Time, UpstreamName};

use crate::packing::{Assignment, BlockRequest, PackingState, RackChoice, sort_for_packing};
use crate::{Capacity, Decisions, GuaranteedPart, RackId, Scheduler, Shortage, UpstreamRecord};

impl Scheduler {
    /// Assigns an upstream to each part that needs one; records a shortage for the parts that do
    /// not fit.
    pub(crate) fn assign_marks(&mut self, now: Time, out: &mut Decisions) {
        let needs_assignment = self.needs_assignment(now);
        if needs_assignment.is_empty() {
            self.shortages.clear();
            return;
        }
        let mut packing = PackingState::new(&self.pool, |_, record| record.unguaranteed());
        let (placed, unplaced) = pack_all(&mut packing, self.requests(&needs_assignment));
        if unplaced.is_empty() {
            self.apply_assignment(now, placed, out);
            self.shortages.clear();
            return;
        }
        self.repack(now, out);
    }

    /// Repacks all unclaimed parts together with those that need an upstream.
    ///
    /// If some still do not fit, the unclaimed parts stay where they are: only the parts that need
    /// an upstream are packed, and those that do not fit are recorded as shortages.
    fn repack(&mut self, now: Time, out: &mut Decisions) {
        let needs_assignment = self.needs_assignment(now);
        let is_movable = |id: &MarkId, state: &GuaranteedPart| {
            state.claims.is_empty() || needs_assignment.contains(id)
        };
        let movable: BTreeSet<MarkId> = self
            .marks
            .iter()
            .filter(|(id, state)| is_movable(id, state))
            .map(|(id, _)| id.clone())
            .collect();
        let mut packing = PackingState::new(&self.pool, |name, record| {
            self.capacity_without(&movable, name, record)
        });
        let (placed, unplaced) = pack_all(&mut packing, self.requests(&movable));
        if unplaced.is_empty() {
            self.apply_assignment(now, placed, out);
            self.shortages.clear();
            return;
        }
        let mut packing = PackingState::new(&self.pool, |_, record| record.unguaranteed());
        let (placed, unplaced) = pack_all(&mut packing, self.requests(&needs_assignment));
        self.apply_assignment(now, placed, out);
        self.shortages = unplaced
            .iter()
            .filter_map(|request| {
                let account = request.parts.first()?.account.clone();
                Some(Shortage { account, shape: request.shape, parts: request.parts.len() })
            })
            .collect();
    }

    /// Moves unclaimed parts so that a job that cannot be stopped will fit once the work in the way
    /// has ended.
    pub(crate) fn make_space_for(&mut self, now: Time, spec: &JobSpec, out: &mut Decisions) {
        if spec.is_stoppable() {
            return;
        }
        if spec.shape.adjacent {
            self.clear_rack(now, spec, out);
        } else {
            self.compact_parts(now, spec, out);
        }
    }

    /// Moves all movable parts out of the first rack where the job would then fit.
    fn clear_rack(&mut self, now: Time, spec: &JobSpec, out: &mut Decisions) {
        let racks: Vec<RackId> = self.pool.racks().map(|(id, _)| id.clone()).collect();
        for rack in racks {
            let movable = self.movable_in(&rack);
            if movable.is_empty() || !self.would_fit(&rack, &movable, spec) {
                continue;
            }
            let mut packing = PackingState::new(&self.pool, |_, record| {
                let here = record.spec.as_ref().is_some_and(|s| RackId::of(s) == rack);
                if here { Capacity::default() } else { record.unguaranteed() }
            });
            let (placed, unplaced) = pack_all(&mut packing, self.requests(&movable));
            if unplaced.is_empty() {
                self.apply_assignment(now, placed, out);
                return;
            }
        }
    }

    /// Packs all unclaimed parts tightly, if the job then fits beside them.
    fn compact_parts(&mut self, now: Time, spec: &JobSpec, out: &mut Decisions) {
        let racks: Vec<RackId> = self.pool.racks().map(|(id, _)| id.clone()).collect();
        let movable: BTreeSet<MarkId> =
            racks.iter().flat_map(|rack| self.movable_in(rack)).collect();
        let mut packing = PackingState::new(&self.pool, |name, record| {
            self.capacity_without(&movable, name, record)
        });
        let (placed, unplaced) = pack_all(&mut packing, self.requests(&movable));
        let non_preemptible = |name: &UpstreamName| {
            self.pool.upstream(name).map_or_else(Capacity::default, |record| record.non_preemptible)
        };
        if unplaced.is_empty() && packing.fits(&spec.shape, non_preemptible) {
            self.apply_assignment(now, placed, out);
        }
    }

    /// The unclaimed parts in a rack. An adjacent block moves as a whole or not at all.
    fn movable_in(&self, rack: &RackId) -> BTreeSet<MarkId> {
        let names =
            self.pool.rack(rack).filter(|(_, record)| record.is_open()).map(|(name, _)| name);
        let marks = names.flat_map(|name| self.marks.on_upstream(name));
        let is_movable = |id: &&MarkId| {
            let Some(state) = self.marks.get(id) else { return false };
            let mut block = self.marks.of_block(id);
            let block_may_move =
                !state.block.adjacent || block.all(|(_, part)| part.claims.is_empty());
            block_may_move && state.claims.is_empty()
        };
        marks.filter(is_movable).cloned().collect()
    }

    /// Whether a job would fit a rack once the work there has ended and the parts in `leaving` have
    /// moved away.
    fn would_fit(&self, rack: &RackId, leaving: &BTreeSet<MarkId>, spec: &JobSpec) -> bool {
        let task = Capacity::for_task(&spec.shape);
        let upstreams = self
            .pool
            .rack(rack)
            .filter(|(_, record)| record.is_open() && record.reserved_for.is_none());
        let fits: u32 = upstreams
            .map(|(name, record)| {
                let capacity =
                    self.capacity_without(leaving, name, record).plus(&record.non_preemptible);
                capacity.count_of(&task, spec.shape.tasks)
            })
            .sum();
        fits >= spec.shape.tasks
    }

    fn capacity_without(
        &self,
        movable: &BTreeSet<MarkId>,
        name: &UpstreamName,
        record: &UpstreamRecord,
    ) -> Capacity {
        let freed = self.marks.on_upstream(name).filter(|id| movable.contains(id));
        let freed = freed.filter_map(|id| self.marks.get(id));
        let kept = freed.fold(record.guaranteed, |marked, state| marked.minus(&state.capacity));
        record.capacity().minus(&kept).minus(&record.non_preemptible)
    }

    /// Parts that are unplaced, or on an upstream that accepts no new work.
    ///
    /// An unreachable upstream keeps its parts until it counts as lost, since most come back.
    fn needs_assignment(&self, now: Time) -> BTreeSet<MarkId> {
        let closed = self
            .pool
            .closed_with_guarantees()
            .filter(|(_, record)| {
                record.reachable
                    || record.lost_at(self.cfg.lost_after()).is_some_and(|at| at <= now)
            })
            .flat_map(|(name, _)| self.marks.on_upstream(name));
        self.marks.unplaced().iter().chain(closed).cloned().collect()
    }

    /// Groups parts by block; an adjacent block keeps the rack where other parts of it stay.
    fn requests(&self, parts: &BTreeSet<MarkId>) -> Vec<BlockRequest> {
        let mut blocks: BTreeMap<(&hg_model::AccountName, u16), BlockRequest> = BTreeMap::new();
        for id in parts {
            let Some(state) = self.marks.get(id) else { continue };
            let request = blocks.entry((&id.account, id.block)).or_insert_with(|| BlockRequest {
                parts: Vec::new(),
                shape: state.block,
                rack: self.rack_choice(id, state, parts),
            });
            request.parts.push(id.clone());
        }
        let mut requests: Vec<BlockRequest> = blocks.into_values().collect();
        sort_for_packing(&mut requests);
        requests
    }

    /// Chooses the rack of a block: an adjacent one must join the parts of it that do not move.
    fn rack_choice(
        &self,
        id: &MarkId,
        state: &GuaranteedPart,
        moving: &BTreeSet<MarkId>,
    ) -> RackChoice {
        let mut rest = self.marks.of_block(id).filter(|(other, _)| !moving.contains(other));
        let upstream = rest.find_map(|(_, state)| state.upstream.as_ref());
        let (true, Some(upstream)) = (state.block.adjacent, upstream) else {
            return RackChoice::Any;
        };
        let spec = self.pool.upstream(upstream).and_then(|record| record.spec.as_ref());
        spec.map_or(RackChoice::Unknown, |spec| RackChoice::Only(RackId::of(spec)))
    }

    fn apply_assignment(&mut self, now: Time, placed: Assignment, out: &mut Decisions) {
        // All parts that move leave their old upstreams first, so that no upstream ever has more
        // guaranteed than its capacity.
        for (mark, upstream) in &placed {
            let current = self.marks.get(mark).and_then(|state| state.upstream.clone());
            if current.as_ref() != Some(upstream) && current.is_some() {
                self.assign_mark(now, mark, None);
            }
        }
        for (mark, upstream) in placed {
            let current = self.marks.get(&mark).and_then(|state| state.upstream.clone());
            if current.as_ref() == Some(&upstream) {
                continue;
            }
            self.assign_mark(now, &mark, Some(upstream.clone()));
            out.commands.push(Command::Mark { mark, upstream: Some(upstream) });
        }
    }
}

fn pack_all(
    packing: &mut PackingState,
    requests: Vec<BlockRequest>,
) -> (Assignment, Vec<BlockRequest>) {
    let mut placed = Assignment::new();
    let mut unplaced = Vec::new();
    for request in requests {
        match packing.pack(&request) {
            Some(assignment) => placed.extend(assignment),
            None => unplaced.push(request),
        }
    }
    (placed, unplaced)
}
