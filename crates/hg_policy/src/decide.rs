//! One scheduling round: expiry, placement, reclaiming and reservations.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use hg_ledger::Command;
use hg_model::{
    AccountName, Attempt, JobClass, JobId, JobSpec, Member, NotRunReason, StopCause, Term, Time,
    UpstreamName,
};

use crate::claim::find_claim;
use crate::placement::{Placement, find_placement};
use crate::reservation::choose_upstreams;
use crate::round::Round;
use crate::{
    Abort, AllocationKind, Capacity, Decisions, HealthState, Scheduler, UpstreamRecord, WaitReason,
};

/// Most waiting jobs of one account that a round considers.
const LOOKAHEAD: usize = 8;
/// How many of the oldest waiting jobs one round considers for a reservation.
const RESERVATION_LOOKAHEAD: usize = 32;

impl Scheduler {
    /// Runs one scheduling round and returns the decisions to log and carry out.
    ///
    /// Returns nothing if no fact has changed and the last round is recent. The scheduler assumes
    /// that the returned commands take effect; [`Scheduler::revert_assumed`] undoes those that do
    /// not.
    pub fn decide(&mut self, now: Time, term: Term) -> Decisions {
        const REEVALUATE_AFTER: Duration = Duration::from_millis(250);
        let mut out = Decisions::default();
        if !self.changed && now < self.next_decision_at {
            return out;
        }
        self.changed = false;
        self.next_decision_at = now.after(REEVALUATE_AFTER);
        self.expire_overdue(now, &mut out);
        self.readmit_untried(now);
        self.clear_expired_suspects(now);
        if std::mem::take(&mut self.marks_need_assignment) || self.has_newly_lost_marks(now) {
            self.marks_assigned_at = now;
            self.assign_marks(now, &mut out);
        }
        self.abort_lost(now, &mut out);
        let mut round =
            Round { now, term, tries_left: self.cfg.tries_max, failed: Vec::new(), out };
        self.start_pending_claims(&mut round);
        self.start_claims(&mut round);
        self.start_urgent(&mut round);
        self.start_by_fair_share(&mut round);
        self.reserve_for_oldest(&mut round);
        round.out
    }

    pub(crate) fn clear_expired_suspects(&mut self, now: Time) {
        let expired = self.suspects.extract_if(.., |_, until| *until <= now);
        for (name, _) in expired.collect::<Vec<_>>() {
            self.pool.update(now, &name, |record| record.suspect = false);
            self.pool.remove_if_unused(&name);
        }
    }

    pub(crate) fn readmit_untried(&mut self, now: Time) {
        for name in self.health.readmit_untried(now) {
            self.pool.update(now, &name, |record| record.quarantined = false);
            self.pool.remove_if_unused(&name);
            self.marks_need_assignment = true;
        }
    }

    pub(crate) fn expire_overdue(&mut self, now: Time, out: &mut Decisions) {
        let overdue: Vec<JobId> = self.queue.overdue(now).cloned().collect();
        for job in overdue {
            self.unqueue(now, &job);
            out.commands.push(Command::GiveUp { job, reason: NotRunReason::Deadline, at: now });
        }
    }

    /// Whether an upstream with guaranteed parts became lost after the last assignment of parts.
    pub(crate) fn has_newly_lost_marks(&self, now: Time) -> bool {
        let mut closed = self.pool.closed_with_guarantees();
        closed.any(|(_, record)| {
            let since = record.lost_at(self.cfg.lost_after());
            since.is_some_and(|at| at <= now && at > self.marks_assigned_at)
        })
    }

    /// Requests the abort of each attempt with a member on an upstream that has been unreachable
    /// for too long. Requests it again after `repeat_ms` while that lasts.
    pub(crate) fn abort_lost(&mut self, now: Time, out: &mut Decisions) {
        let lost_after = self.cfg.lost_after();
        let lost = self.pool.unreachable().filter(|(_, record)| {
            !record.jobs.is_empty() && record.lost_at(lost_after).is_some_and(|at| at <= now)
        });
        for (name, record) in lost {
            for job in &record.jobs {
                let Some(allocation) = self.allocations.get(job) else { continue };
                let requested_at = self.abort_requested_at.get(job);
                if requested_at.is_some_and(|at| now < at.after(self.cfg.abort_retry_interval())) {
                    continue;
                }
                self.abort_requested_at.insert(job.clone(), now);
                let (job, attempt, upstream) = (job.clone(), allocation.attempt, name.clone());
                out.aborts.push(Abort { job, attempt, upstream });
            }
        }
    }

    /// Starts pending claims whose borrowers have ended; stops more borrowers for the others.
    ///
    /// A claim is dropped if one of its upstreams is closed to new work.
    pub(crate) fn start_pending_claims(&mut self, round: &mut Round) {
        let ids: Vec<JobId> = self.pending_claims.keys().cloned().collect();
        for id in ids {
            let Some(pending) = self.pending_claims.get(&id) else { continue };
            let placements = pending.placements.clone();
            let per_task = pending.per_task;
            let open = placements
                .iter()
                .all(|p| self.pool.upstream(&p.upstream).is_some_and(UpstreamRecord::is_open));
            if !open {
                self.drop_pending_claim(round.now, &id);
                continue;
            }
            let ready = placements
                .iter()
                .all(|placement| self.has_free_capacity(placement, &placements, &per_task));
            if ready {
                self.drop_pending_claim(round.now, &id);
                self.place(round, &id, placements);
            } else {
                self.reclaim(round, &placements);
            }
        }
    }

    pub(crate) fn has_free_capacity(
        &self,
        placement: &Placement,
        placements: &[Placement],
        task: &Capacity,
    ) -> bool {
        let Some(record) = self.pool.upstream(&placement.upstream) else { return false };
        let here =
            placements.iter().filter(|p| p.upstream == placement.upstream).map(|p| p.tasks).sum();
        task.times(here).fits(&record.capacity().minus(&record.used))
    }

    /// Stops borrowers until every pending claim on these upstreams has enough capacity.
    pub(crate) fn reclaim(&mut self, round: &mut Round, placements: &[Placement]) {
        let upstreams: BTreeSet<&UpstreamName> =
            placements.iter().map(|placement| &placement.upstream).collect();
        for upstream in upstreams {
            for (job, attempt) in self.borrowers_to_stop(upstream) {
                self.set_stopping(&job, true);
                let cause = StopCause::Reclaimed;
                round.out.commands.push(Command::Stop { job, attempt, cause, at: round.now });
            }
        }
    }

    /// Chooses which borrowers to stop on an upstream: the most recently placed, as they lose the
    /// least work.
    pub(crate) fn borrowers_to_stop(&self, upstream: &UpstreamName) -> Vec<(JobId, u32)> {
        let Some(record) = self.pool.upstream(upstream) else { return Vec::new() };
        let mut wanted = record.used.plus(&record.reserved_for_claims);
        let mut borrowers = Vec::new();
        for job in &record.jobs {
            let Some(allocation) = self.allocations.get(job) else { continue };
            let here = allocation.members.iter().filter(|m| m.upstream == *upstream);
            let capacity = here.fold(Capacity::default(), |sum, m| sum.plus(&m.capacity));
            let borrows = allocation.members.iter().any(|m| m.kind == AllocationKind::Borrowed);
            if allocation.stopping {
                wanted = wanted.minus(&capacity);
            } else if borrows && allocation.stoppable {
                borrowers.push((allocation.placed_at, job.clone(), allocation.attempt, capacity));
            }
        }
        borrowers.sort_by_key(|borrower| Reverse(borrower.0));
        let mut stopped = Vec::new();
        for (_, job, attempt, capacity) in borrowers {
            if wanted.fits(&record.capacity()) {
                break;
            }
            wanted = wanted.minus(&capacity);
            stopped.push((job, attempt));
        }
        stopped
    }

    /// Serves guarantees first: tries to claim parts for every account with waiting jobs and
    /// guaranteed parts.
    pub(crate) fn start_claims(&mut self, round: &mut Round) {
        let accounts: Vec<AccountName> = self
            .queue
            .accounts()
            .filter(|account| self.marks.of_account(account).next().is_some())
            .cloned()
            .collect();
        for account in accounts {
            let jobs: Vec<JobId> =
                self.queue.of_account(&account).take(LOOKAHEAD).cloned().collect();
            for id in jobs {
                self.try_claim(round, &id);
            }
        }
    }

    pub(crate) fn try_claim(&mut self, round: &mut Round, id: &JobId) {
        let Some(waiting) = self.queue.get(id) else { return };
        if self.pending_claims.contains_key(id) || !self.is_within_limit(&waiting.spec) {
            return;
        }
        let spec = waiting.spec.clone();
        let Some(claim) = find_claim(&self.pool, &self.marks, &spec) else { return };
        if !claim.needs_reclaim {
            self.place(round, id, claim.placements);
            return;
        }
        // No job is stopped while there is free capacity elsewhere.
        if let Ok(placements) = find_placement(&self.pool, &spec, self.reserved_upstreams(id)) {
            self.place(round, id, placements);
            return;
        }
        if let Some(first) = claim.placements.first() {
            self.queue.set_reason(id, WaitReason::Reclaiming(first.upstream.clone()));
        }
        self.add_pending_claim(round.now, &spec, claim.placements.clone());
        self.reclaim(round, &claim.placements);
    }

    pub(crate) fn start_urgent(&mut self, round: &mut Round) {
        let urgent: Vec<JobId> = self.queue.urgent().take(round.tries_left).cloned().collect();
        for id in urgent {
            self.try_start(round, &id);
        }
    }

    /// Starts the remaining jobs in the order of their accounts' weighted dominant shares, lowest
    /// first, corrected for waiting time.
    pub(crate) fn start_by_fair_share(&mut self, round: &mut Round) {
        let mut order: BTreeSet<(i64, AccountName, usize)> = BTreeSet::new();
        let accounts: Vec<AccountName> = self.queue.accounts().cloned().collect();
        for account in accounts {
            order.insert((self.fair_share_key(round.now, &account), account, 0));
        }
        while let Some((_, account, skipped)) = order.pop_first() {
            if round.tries_left == 0 {
                break;
            }
            let next = self
                .queue
                .of_account(&account)
                .filter(|id| !self.pending_claims.contains_key(id))
                .nth(skipped)
                .cloned();
            let Some(id) = next else { continue };
            let started = self.try_start(round, &id);
            let skipped = if started { skipped } else { skipped + 1 };
            if skipped < LOOKAHEAD {
                order.insert((self.fair_share_key(round.now, &account), account, skipped));
            }
        }
    }

    /// The key by which accounts are served, lowest first: the account's weighted dominant share in
    /// millionths, less a credit for the waiting time of the first job in its queue.
    pub(crate) fn fair_share_key(&self, now: Time, account: &AccountName) -> i64 {
        const MILLION: u128 = 1_000_000;
        let first = self.queue.of_account(account).next().and_then(|id| self.queue.get(id));
        let age = first.map_or(0, |waiting| now.since(waiting.accepted_at).as_millis());
        let age_credit = age * MILLION / u128::from(self.cfg.ageing_ms.max(1));
        let share = i64::try_from(self.weighted_share(account)).unwrap_or(i64::MAX);
        share.saturating_sub(i64::try_from(age_credit).unwrap_or(i64::MAX))
    }

    /// Starts a job outside guarantees if there is capacity. Returns whether it did.
    pub(crate) fn try_start(&mut self, round: &mut Round, id: &JobId) -> bool {
        let Some(waiting) = self.queue.get(id) else { return false };
        if round.tries_left == 0 || self.pending_claims.contains_key(id) {
            return false;
        }
        if !self.is_within_limit(&waiting.spec) {
            self.queue.set_reason(id, WaitReason::PlanLimit);
            return false;
        }
        let spec = waiting.spec.clone();
        if let Some(placements) = self.probation_placement(round.now, &spec) {
            self.place(round, id, placements);
            return true;
        }
        let reserved = self.reserved_upstreams(id);
        if reserved.is_empty()
            && let Some(reason) = round.known_failure(&spec)
        {
            self.queue.set_reason(id, reason);
            return false;
        }
        match find_placement(&self.pool, &spec, reserved) {
            Ok(placements) => {
                self.place(round, id, placements);
                true
            }
            Err(reason) => {
                round.tries_left -= 1;
                round.failed.push((spec, reason.clone()));
                let reserved = self
                    .reservations
                    .get(id)
                    .and_then(|names| Some((names.len(), names.first()?.clone())));
                let reason =
                    reserved.map_or(reason, |(count, first)| WaitReason::Reserved(count, first));
                self.queue.set_reason(id, reason);
                false
            }
        }
    }

    pub(crate) fn reserved_upstreams(&self, id: &JobId) -> &[UpstreamName] {
        self.reservations.get(id).map_or(&[], Vec::as_slice)
    }

    /// Finds an upstream on probation for a single-task idempotent job that is not urgent.
    ///
    /// An upstream on probation accepts one such task, and nothing else until that ends.
    pub(crate) fn probation_placement(&self, now: Time, spec: &JobSpec) -> Option<Vec<Placement>> {
        if !spec.idempotent || spec.shape.tasks != 1 || spec.class == JobClass::Urgent {
            return None;
        }
        let task = Capacity::for_task(&spec.shape);
        let name = self.health.on_probation(now).find(|name| {
            self.pool.upstream(name).is_some_and(|record| {
                let usable = record.reachable && !record.leaving && !record.drained;
                usable && record.jobs.is_empty() && task.fits(&record.free())
            })
        })?;
        Some(vec![Placement { upstream: name.clone(), tasks: 1, mark: None }])
    }

    /// Records a placement as taken and adds its command to the decisions.
    pub(crate) fn place(&mut self, round: &mut Round, id: &JobId, placements: Vec<Placement>) {
        let Some(waiting) = self.queue.get(id) else { return };
        let spec = waiting.spec.clone();
        let members: Vec<Member> = placements
            .into_iter()
            .map(|placement| Member {
                upstream: placement.upstream,
                tasks: placement.tasks,
                mark: placement.mark,
            })
            .collect();
        let committed = members.len() == 1;
        let attempt = Attempt {
            number: waiting.attempts + 1,
            term: round.term,
            placed_at: round.now,
            members,
        };
        self.record_allocation(round.now, &spec, &attempt);
        let at = round.now;
        round.out.commands.push(Command::Place { job: id.clone(), attempt, committed, at });
    }

    /// Reserves upstreams for the oldest waiting jobs once they have waited for `reserve_after_ms`.
    ///
    /// Reservations with an upstream that is closed to new work are dropped first.
    pub(crate) fn reserve_for_oldest(&mut self, round: &mut Round) {
        let now = round.now;
        let invalid: Vec<JobId> = self
            .reservations
            .iter()
            .filter(|(_, names)| {
                names.iter().any(|n| !self.pool.upstream(n).is_some_and(UpstreamRecord::is_open))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in invalid {
            self.drop_reservation(now, &id);
        }
        let reserve_after = Duration::from_millis(self.cfg.reserve_after_ms);
        let oldest: Vec<JobSpec> = self
            .queue
            .oldest()
            .take(RESERVATION_LOOKAHEAD)
            .filter_map(|id| self.queue.get(id))
            .filter(|w| now >= w.accepted_at.after(reserve_after))
            .filter(|w| {
                !self.reservations.contains_key(&w.spec.id)
                    && !self.pending_claims.contains_key(&w.spec.id)
            })
            .filter(|w| self.is_within_limit(&w.spec))
            .map(|w| w.spec.clone())
            .collect();
        for spec in oldest {
            if self.reservations.len() >= self.cfg.reservations_max {
                break;
            }
            let chosen = choose_upstreams(&self.pool, &spec).or_else(|| {
                self.make_space_for(now, &spec, &mut round.out);
                choose_upstreams(&self.pool, &spec)
            });
            let Some(names) = chosen else { continue };
            for name in &names {
                self.pool.update(now, name, |record| record.reserved_for = Some(spec.id.clone()));
            }
            self.reservations.insert(spec.id, names);
            self.changed = true;
        }
    }

    /// Upstreams that are quarantined or on probation, each with its state at `now`.
    pub fn quarantined(&self, now: Time) -> Vec<(UpstreamName, HealthState)> {
        let quarantined = self.pool.upstreams().filter(|(_, record)| record.quarantined);
        quarantined.map(|(name, _)| (name.clone(), self.health.state(now, name))).collect()
    }
}
