//! The scheduler's books: what is held, claimed, pledged and reserved.

use hg_model::{Attempt, JobId, JobSpec, MarkId, Member, Time, UpstreamName};

use crate::placement::Spot;
use crate::scheduler::Pledge;
use crate::{Allocation, AllocationKind, AllocationMember, Room, Scheduler};

impl Scheduler {
    /// Books an attempt's leases.
    pub(crate) fn take(&mut self, now: Time, spec: &JobSpec, attempt: &Attempt) {
        let id = &spec.id;
        if self.allocations.get(id).is_some_and(|h| h.attempt == attempt.number) {
            return;
        }
        self.unqueue(now, id);
        let task = Room::of_task(&spec.shape);
        let mut members = Vec::new();
        for member in &attempt.members {
            let room = task.times(member.tasks);
            let kind = self.allocation_kind(spec, member, &room);
            members.push(AllocationMember { upstream: member.upstream.clone(), room, kind });
        }
        let allocation = Allocation {
            attempt: attempt.number,
            account: spec.account.clone(),
            placed_at: attempt.placed_at,
            stoppable: spec.is_stoppable(),
            stopping: false,
            members,
        };
        for member in &allocation.members {
            let firm =
                if member.kind == AllocationKind::Firm { member.room } else { Room::default() };
            self.pool.update(now, &member.upstream, |seat| {
                seat.used = seat.used.plus(&member.room);
                seat.firm = seat.firm.plus(&firm);
                seat.jobs.insert(id.clone());
            });
        }
        let used = self.usage.entry(spec.account.clone()).or_default();
        *used = used.plus(&allocation.total());
        self.allocations.insert(id.clone(), allocation);
    }

    pub(crate) fn allocation_kind(
        &mut self,
        spec: &JobSpec,
        member: &Member,
        room: &Room,
    ) -> AllocationKind {
        if let Some(mark) = &member.mark {
            let lies_there =
                self.marks.get(mark).and_then(|s| s.upstream.as_ref()) == Some(&member.upstream);
            if lies_there && self.marks.claim(mark, &spec.id, room) {
                return AllocationKind::Claimed(mark.clone());
            }
        }
        if spec.is_stoppable() { AllocationKind::Borrowed } else { AllocationKind::Firm }
    }

    /// Gives an attempt's leases back.
    pub(crate) fn untake(&mut self, now: Time, id: &JobId) {
        self.aborted.remove(id);
        let Some(allocation) = self.allocations.remove(id) else { return };
        for member in &allocation.members {
            let firm =
                if member.kind == AllocationKind::Firm { member.room } else { Room::default() };
            if let AllocationKind::Claimed(mark) = &member.kind {
                self.marks.unclaim(mark, id);
            }
            self.pool.update(now, &member.upstream, |seat| {
                seat.used = seat.used.minus(&member.room);
                seat.firm = seat.firm.minus(&firm);
                seat.jobs.remove(id);
            });
            self.pool.forget_if_gone(&member.upstream);
        }
        if let Some(used) = self.usage.get_mut(&allocation.account) {
            *used = used.minus(&allocation.total());
            if used.is_zero() {
                self.usage.remove(&allocation.account);
            }
        }
        self.marks_due |= !self.shortages.is_empty();
    }

    /// Moves a guaranteed part; claims left behind become ordinary work.
    pub(crate) fn settle_mark(&mut self, now: Time, id: &MarkId, upstream: Option<UpstreamName>) {
        let Some(moved) = self.marks.settle(id, upstream.clone()) else { return };
        for job in moved.left.keys() {
            self.leave_mark(now, job, id);
        }
        if let Some(from) = &moved.from {
            self.pool
                .update(now, from, |seat| seat.guaranteed = seat.guaranteed.minus(&moved.room));
            self.pool.forget_if_gone(from);
        }
        if let Some(to) = &upstream {
            self.pool.update(now, to, |seat| seat.guaranteed = seat.guaranteed.plus(&moved.room));
        }
    }

    pub(crate) fn leave_mark(&mut self, now: Time, job: &JobId, id: &MarkId) {
        self.drop_pledge(now, job);
        let Some(allocation) = self.allocations.get_mut(job) else { return };
        let stoppable = allocation.stoppable;
        let left =
            allocation.members.iter_mut().filter(|m| m.kind == AllocationKind::Claimed(id.clone()));
        for member in left {
            if stoppable {
                member.kind = AllocationKind::Borrowed;
                continue;
            }
            member.kind = AllocationKind::Firm;
            let room = member.room;
            self.pool.update(now, &member.upstream, |seat| seat.firm = seat.firm.plus(&room));
        }
    }

    pub(crate) fn add_pledge(&mut self, now: Time, spec: &JobSpec, spots: Vec<Spot>) {
        let task = Room::of_task(&spec.shape);
        for spot in &spots {
            let room = task.times(spot.tasks);
            if let Some(mark) = &spot.mark {
                self.marks.claim(mark, &spec.id, &room);
            }
            self.pool.update(now, &spot.upstream, |seat| seat.pledged = seat.pledged.plus(&room));
        }
        self.pledges.insert(spec.id.clone(), Pledge { spots, room: task });
    }

    pub(crate) fn drop_pledge(&mut self, now: Time, id: &JobId) {
        let Some(pledge) = self.pledges.remove(id) else { return };
        for spot in &pledge.spots {
            let room = pledge.room.times(spot.tasks);
            if let Some(mark) = &spot.mark {
                self.marks.unclaim(mark, id);
            }
            self.pool.update(now, &spot.upstream, |seat| seat.pledged = seat.pledged.minus(&room));
            self.pool.forget_if_gone(&spot.upstream);
        }
    }

    pub(crate) fn drop_hold(&mut self, now: Time, id: &JobId) {
        for name in self.holds.remove(id).unwrap_or_default() {
            self.pool.update(now, &name, |seat| seat.held_for = None);
            self.pool.forget_if_gone(&name);
        }
    }
}
