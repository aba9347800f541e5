//! Finding places for guaranteed parts that lie nowhere or on an upstream that closed.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::Command;
use hg_model::{MarkId, Time, UpstreamName};

use crate::fit::{Assignment, BlockRequest, Scratch, sort_for_packing};
use crate::{Decisions, MarkState, RackId, Room, Scheduler, Seat, Shortage};

impl Scheduler {
    /// Settles the parts that need it; what cannot be settled is a shortage.
    pub(crate) fn settle_marks(&mut self, now: Time, out: &mut Decisions) {
        let unsettled = self.unsettled(now);
        if unsettled.is_empty() {
            self.shortages.clear();
            return;
        }
        let mut scratch = Scratch::new(&self.pool, |_, seat| seat.unmarked());
        let (placed, misfits) = pack_all(&mut scratch, self.requests(&unsettled));
        if misfits.is_empty() {
            self.move_marks(now, placed, out);
            self.shortages.clear();
            return;
        }
        self.repack(now, out);
    }

    /// Packs everything anew that nobody claims; keeps the better of both results.
    fn repack(&mut self, now: Time, out: &mut Decisions) {
        let unsettled = self.unsettled(now);
        let is_movable =
            |id: &MarkId, state: &MarkState| state.claims.is_empty() || unsettled.contains(id);
        let movable: BTreeSet<MarkId> = self
            .marks
            .iter()
            .filter(|(id, state)| is_movable(id, state))
            .map(|(id, _)| id.clone())
            .collect();
        let mut scratch =
            Scratch::new(&self.pool, |name, seat| self.room_without(&movable, name, seat));
        let (placed, misfits) = pack_all(&mut scratch, self.requests(&movable));
        if misfits.is_empty() {
            self.move_marks(now, placed, out);
            self.shortages.clear();
            return;
        }
        let mut scratch = Scratch::new(&self.pool, |_, seat| seat.unmarked());
        let (placed, misfits) = pack_all(&mut scratch, self.requests(&unsettled));
        self.move_marks(now, placed, out);
        self.shortages = misfits
            .iter()
            .filter_map(|request| {
                let account = request.parts.first()?.account.clone();
                Some(Shortage { account, shape: request.shape, parts: request.parts.len() })
            })
            .collect();
    }

    fn room_without(&self, movable: &BTreeSet<MarkId>, name: &UpstreamName, seat: &Seat) -> Room {
        let freed = self.marks.on_upstream(name).filter(|id| movable.contains(id));
        let freed = freed.filter_map(|id| self.marks.get(id));
        let kept = freed.fold(seat.marked, |marked, state| marked.minus(&state.room));
        seat.capacity().minus(&kept).minus(&seat.firm)
    }

    /// Parts that lie nowhere, or on an upstream that takes no new work.
    ///
    /// An upstream that fell silent keeps its parts for a while, since most come back.
    fn unsettled(&self, now: Time) -> BTreeSet<MarkId> {
        let closed = self
            .pool
            .closed_marked()
            .filter(|(_, seat)| {
                seat.alive || seat.lost_since(self.cfg.unseen()).is_some_and(|at| at <= now)
            })
            .flat_map(|(name, _)| self.marks.on_upstream(name));
        self.marks.homeless().iter().chain(closed).cloned().collect()
    }

    /// Groups parts by block; an adjacent block keeps the rack where other parts of it stay.
    fn requests(&self, parts: &BTreeSet<MarkId>) -> Vec<BlockRequest> {
        let mut blocks: BTreeMap<(&hg_model::AccountName, u16), BlockRequest> = BTreeMap::new();
        for id in parts {
            let Some(state) = self.marks.get(id) else { continue };
            let request = blocks.entry((&id.account, id.block)).or_insert_with(|| BlockRequest {
                parts: Vec::new(),
                shape: state.block,
                rack: self.rack_of_rest(id, parts).filter(|_| state.block.adjacent),
            });
            request.parts.push(id.clone());
        }
        let mut requests: Vec<BlockRequest> = blocks.into_values().collect();
        sort_for_packing(&mut requests);
        requests
    }

    fn rack_of_rest(&self, id: &MarkId, moving: &BTreeSet<MarkId>) -> Option<RackId> {
        let rest = self.marks.of_block(id).filter(|(other, _)| !moving.contains(other));
        let upstream = rest.filter_map(|(_, state)| state.upstream.as_ref()).next()?;
        self.pool.seat(upstream)?.spec.as_ref().map(RackId::of)
    }

    fn move_marks(&mut self, now: Time, placed: Assignment, out: &mut Decisions) {
        // Parts give up their old places first, so that no upstream is marked over its capacity.
        for (mark, upstream) in &placed {
            let lies = self.marks.get(mark).and_then(|state| state.upstream.clone());
            if lies.as_ref() != Some(upstream) && lies.is_some() {
                self.settle_mark(now, mark, None);
            }
        }
        for (mark, upstream) in placed {
            let lies = self.marks.get(&mark).and_then(|state| state.upstream.clone());
            if lies.as_ref() == Some(&upstream) {
                continue;
            }
            self.settle_mark(now, &mark, Some(upstream.clone()));
            out.commands.push(Command::Mark { mark, upstream: Some(upstream) });
        }
    }
}

fn pack_all(scratch: &mut Scratch, requests: Vec<BlockRequest>) -> (Assignment, Vec<BlockRequest>) {
    let mut placed = Assignment::new();
    let mut misfits = Vec::new();
    for request in requests {
        match scratch.pack(&request) {
            Some(assignment) => placed.extend(assignment),
            None => misfits.push(request),
        }
    }
    (placed, misfits)
}
