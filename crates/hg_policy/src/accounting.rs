//! The scheduler's accounting of allocations, claims and reservations.

use hg_model::{Attempt, JobId, JobSpec, MarkId, Member, Time, UpstreamName};

use crate::placement::Placement;
use crate::scheduler::PendingClaim;
use crate::{Allocation, AllocationKind, AllocationMember, Capacity, Scheduler};

impl Scheduler {
    /// Records the leases of an attempt as an allocation and removes the job from the queue.
    pub(crate) fn record_allocation(&mut self, now: Time, spec: &JobSpec, attempt: &Attempt) {
        let id = &spec.id;
        if self.allocations.get(id).is_some_and(|a| a.attempt == attempt.number) {
            return;
        }
        self.unqueue(now, id);
        let task = Capacity::for_task(&spec.shape);
        let mut members = Vec::new();
        for member in &attempt.members {
            let capacity = task.times(member.tasks);
            let kind = self.allocation_kind(spec, member, &capacity);
            members.push(AllocationMember { upstream: member.upstream.clone(), capacity, kind });
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
            let non_preemptible = if member.kind == AllocationKind::NonPreemptible {
                member.capacity
            } else {
                Capacity::default()
            };
            self.pool.update(now, &member.upstream, |record| {
                record.used = record.used.plus(&member.capacity);
                record.non_preemptible = record.non_preemptible.plus(&non_preemptible);
                record.jobs.insert(id.clone());
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
        capacity: &Capacity,
    ) -> AllocationKind {
        if let Some(mark) = &member.mark {
            let is_there = self.marks.get(mark).and_then(|part| part.upstream.as_ref())
                == Some(&member.upstream);
            if is_there && self.marks.claim(mark, &spec.id, capacity) {
                return AllocationKind::Claimed(mark.clone());
            }
        }
        if spec.is_stoppable() { AllocationKind::Borrowed } else { AllocationKind::NonPreemptible }
    }

    /// Removes the allocation of a job and frees its capacity.
    pub(crate) fn release_allocation(&mut self, now: Time, id: &JobId) {
        self.abort_requested_at.remove(id);
        let Some(allocation) = self.allocations.remove(id) else { return };
        for member in &allocation.members {
            let non_preemptible = if member.kind == AllocationKind::NonPreemptible {
                member.capacity
            } else {
                Capacity::default()
            };
            if let AllocationKind::Claimed(mark) = &member.kind {
                self.marks.unclaim(mark, id);
            }
            self.pool.update(now, &member.upstream, |record| {
                record.used = record.used.minus(&member.capacity);
                record.non_preemptible = record.non_preemptible.minus(&non_preemptible);
                record.jobs.remove(id);
            });
            self.pool.remove_if_unused(&member.upstream);
        }
        if let Some(used) = self.usage.get_mut(&allocation.account) {
            *used = used.minus(&allocation.total());
            if used.is_zero() {
                self.usage.remove(&allocation.account);
            }
        }
        self.marks_need_assignment |= !self.shortages.is_empty();
    }

    /// Assigns a guaranteed part to an upstream, or to none. Work inside it stays on the old
    /// upstream and counts as outside guarantees.
    pub(crate) fn assign_mark(&mut self, now: Time, id: &MarkId, upstream: Option<UpstreamName>) {
        let Some(moved) = self.marks.assign(id, upstream.clone()) else { return };
        for job in moved.dropped_claims.keys() {
            self.detach_claim(now, job, id);
        }
        if let Some(from) = &moved.from {
            self.pool.update(now, from, |record| {
                record.guaranteed = record.guaranteed.minus(&moved.capacity)
            });
            self.pool.remove_if_unused(from);
        }
        if let Some(to) = &upstream {
            self.pool.update(now, to, |record| {
                record.guaranteed = record.guaranteed.plus(&moved.capacity)
            });
        }
    }

    pub(crate) fn detach_claim(&mut self, now: Time, job: &JobId, id: &MarkId) {
        self.drop_pending_claim(now, job);
        let Some(allocation) = self.allocations.get_mut(job) else { return };
        let stoppable = allocation.stoppable;
        let dropped_claims =
            allocation.members.iter_mut().filter(|m| m.kind == AllocationKind::Claimed(id.clone()));
        for member in dropped_claims {
            if stoppable {
                member.kind = AllocationKind::Borrowed;
                continue;
            }
            member.kind = AllocationKind::NonPreemptible;
            let capacity = member.capacity;
            self.pool.update(now, &member.upstream, |record| {
                record.non_preemptible = record.non_preemptible.plus(&capacity)
            });
        }
    }

    pub(crate) fn add_pending_claim(
        &mut self,
        now: Time,
        spec: &JobSpec,
        placements: Vec<Placement>,
    ) {
        let task = Capacity::for_task(&spec.shape);
        for placement in &placements {
            let capacity = task.times(placement.tasks);
            if let Some(mark) = &placement.mark {
                self.marks.claim(mark, &spec.id, &capacity);
            }
            self.pool.update(now, &placement.upstream, |record| {
                record.reserved_for_claims = record.reserved_for_claims.plus(&capacity)
            });
        }
        self.pending_claims.insert(spec.id.clone(), PendingClaim { placements, per_task: task });
    }

    pub(crate) fn drop_pending_claim(&mut self, now: Time, id: &JobId) {
        let Some(pending) = self.pending_claims.remove(id) else { return };
        for placement in &pending.placements {
            let capacity = pending.per_task.times(placement.tasks);
            if let Some(mark) = &placement.mark {
                self.marks.unclaim(mark, id);
            }
            self.pool.update(now, &placement.upstream, |record| {
                record.reserved_for_claims = record.reserved_for_claims.minus(&capacity)
            });
            self.pool.remove_if_unused(&placement.upstream);
        }
    }

    pub(crate) fn drop_reservation(&mut self, now: Time, id: &JobId) {
        for name in self.reservations.remove(id).unwrap_or_default() {
            self.pool.update(now, &name, |record| record.reserved_for = None);
            self.pool.remove_if_unused(&name);
        }
    }
}
