//! One round of decisions.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use hg_ledger::Command;
use hg_model::{
    AccountName, Attempt, JobClass, JobId, JobSpec, Member, NotRunReason, StopCause, Term, Time,
    UpstreamName,
};

use crate::claim::find_claim;
use crate::placement::{Spot, find_room};
use crate::reservation::choose_seats;
use crate::round::Round;
use crate::{
    Abort, AllocationKind, Decisions, HealthState, Room, Scheduler, UpstreamRecord, WaitReason,
};

/// How far into an account's queue one round looks.
const LOOKAHEAD: usize = 8;
/// How many of the oldest jobs one round considers for a hold.
const HOLD_LOOKAHEAD: usize = 32;

impl Scheduler {
    /// Decides all that can be decided now.
    ///
    /// What comes out is assumed to take effect; [`Scheduler::revert_assumed`] takes it back
    /// otherwise.
    pub fn decide(&mut self, now: Time, term: Term) -> Decisions {
        const LOOK_AGAIN: Duration = Duration::from_millis(250);
        let mut out = Decisions::default();
        if !self.changed && now < self.next_look {
            return out;
        }
        self.changed = false;
        self.next_look = now.after(LOOK_AGAIN);
        self.expire(now, &mut out);
        self.readmit_untried(now);
        self.trust_suspects(now);
        if std::mem::take(&mut self.marks_due) || self.has_newly_lost_marks(now) {
            self.marks_settled_at = now;
            self.settle_marks(now, &mut out);
        }
        self.abort_lost(now, &mut out);
        let mut round = Round { now, term, tries: self.cfg.tries_max, failed: Vec::new(), out };
        self.continue_pledges(&mut round);
        self.start_claims(&mut round);
        self.start_urgent(&mut round);
        self.start_rest(&mut round);
        self.hold_for_old(&mut round);
        round.out
    }

    pub(crate) fn trust_suspects(&mut self, now: Time) {
        let over = self.suspects.extract_if(.., |_, until| *until <= now);
        for (name, _) in over.collect::<Vec<_>>() {
            self.pool.update(now, &name, |seat| seat.suspect = false);
            self.pool.forget_if_gone(&name);
        }
    }

    pub(crate) fn readmit_untried(&mut self, now: Time) {
        for name in self.health.readmit_untried(now) {
            self.pool.update(now, &name, |seat| seat.quarantined = false);
            self.pool.forget_if_gone(&name);
            self.marks_due = true;
        }
    }

    pub(crate) fn expire(&mut self, now: Time, out: &mut Decisions) {
        let overdue: Vec<JobId> = self.queue.overdue(now).cloned().collect();
        for job in overdue {
            self.unqueue(now, &job);
            out.commands.push(Command::GiveUp { job, reason: NotRunReason::Deadline, at: now });
        }
    }

    /// Whether an upstream with guaranteed parts has come to count as lost since they were settled.
    pub(crate) fn has_newly_lost_marks(&self, now: Time) -> bool {
        let mut closed = self.pool.closed_guaranteed();
        closed.any(|(_, seat)| {
            let since = seat.lost_since(self.cfg.unseen());
            since.is_some_and(|at| at <= now && at > self.marks_settled_at)
        })
    }

    /// Attempts with a member on an upstream that has been unseen for too long.
    pub(crate) fn abort_lost(&mut self, now: Time, out: &mut Decisions) {
        let unseen = self.cfg.unseen();
        let lost = self.pool.silent().filter(|(_, seat)| {
            !seat.jobs.is_empty() && seat.lost_since(unseen).is_some_and(|at| at <= now)
        });
        for (name, seat) in lost {
            for job in &seat.jobs {
                let Some(allocation) = self.allocations.get(job) else { continue };
                let asked = self.aborted.get(job);
                if asked.is_some_and(|at| now < at.after(self.cfg.repeat())) {
                    continue;
                }
                self.aborted.insert(job.clone(), now);
                let (job, attempt, upstream) = (job.clone(), allocation.attempt, name.clone());
                out.aborts.push(Abort { job, attempt, upstream });
            }
        }
    }

    /// Starts claims whose borrowers have left; asks for what is still missing.
    pub(crate) fn continue_pledges(&mut self, round: &mut Round) {
        let ids: Vec<JobId> = self.pledges.keys().cloned().collect();
        for id in ids {
            let Some(pledge) = self.pledges.get(&id) else { continue };
            let spots = pledge.spots.clone();
            let room = pledge.room;
            let open = spots
                .iter()
                .all(|s| self.pool.upstream(&s.upstream).is_some_and(UpstreamRecord::is_open));
            if !open {
                self.drop_pledge(round.now, &id);
                continue;
            }
            let ready = spots.iter().all(|spot| self.has_physical_room(spot, &spots, &room));
            if ready {
                self.drop_pledge(round.now, &id);
                self.place(round, &id, spots);
            } else {
                self.reclaim(round, &spots);
            }
        }
    }

    pub(crate) fn has_physical_room(&self, spot: &Spot, spots: &[Spot], task: &Room) -> bool {
        let Some(seat) = self.pool.upstream(&spot.upstream) else { return false };
        let here = spots.iter().filter(|s| s.upstream == spot.upstream).map(|s| s.tasks).sum();
        task.times(here).fits(&seat.capacity().minus(&seat.used))
    }

    /// Stops borrowers until every pledge on these upstreams has room.
    pub(crate) fn reclaim(&mut self, round: &mut Round, spots: &[Spot]) {
        let upstreams: BTreeSet<&UpstreamName> = spots.iter().map(|spot| &spot.upstream).collect();
        for upstream in upstreams {
            for (job, attempt) in self.borrowers_to_stop(upstream) {
                self.set_stopping(&job, true);
                let cause = StopCause::Reclaimed;
                round.out.commands.push(Command::Stop { job, attempt, cause, at: round.now });
            }
        }
    }

    /// The borrowers that lose the least work: those that started last.
    pub(crate) fn borrowers_to_stop(&self, upstream: &UpstreamName) -> Vec<(JobId, u32)> {
        let Some(seat) = self.pool.upstream(upstream) else { return Vec::new() };
        let mut wanted = seat.used.plus(&seat.pledged);
        let mut borrowers = Vec::new();
        for job in &seat.jobs {
            let Some(allocation) = self.allocations.get(job) else { continue };
            let here = allocation.members.iter().filter(|m| m.upstream == *upstream);
            let room = here.fold(Room::default(), |sum, m| sum.plus(&m.room));
            let borrows = allocation.members.iter().any(|m| m.kind == AllocationKind::Borrowed);
            if allocation.stopping {
                wanted = wanted.minus(&room);
            } else if borrows && allocation.stoppable {
                borrowers.push((allocation.placed_at, job.clone(), allocation.attempt, room));
            }
        }
        borrowers.sort_by_key(|borrower| Reverse(borrower.0));
        let mut stopped = Vec::new();
        for (_, job, attempt, room) in borrowers {
            if wanted.fits(&seat.capacity()) {
                break;
            }
            wanted = wanted.minus(&room);
            stopped.push((job, attempt));
        }
        stopped
    }

    /// Guarantees first: every account with waiting jobs and unclaimed parts.
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
        if self.pledges.contains_key(id) || !self.is_within_limit(&waiting.spec) {
            return;
        }
        let spec = waiting.spec.clone();
        let Some(claim) = find_claim(&self.pool, &self.marks, &spec) else { return };
        if !claim.needs_reclaim {
            self.place(round, id, claim.spots);
            return;
        }
        // Nobody is stopped while there is room elsewhere.
        if let Ok(spots) = find_room(&self.pool, &spec, self.held(id)) {
            self.place(round, id, spots);
            return;
        }
        if let Some(first) = claim.spots.first() {
            self.queue.set_reason(id, WaitReason::Reclaiming(first.upstream.clone()));
        }
        self.add_pledge(round.now, &spec, claim.spots.clone());
        self.reclaim(round, &claim.spots);
    }

    pub(crate) fn start_urgent(&mut self, round: &mut Round) {
        let urgent: Vec<JobId> = self.queue.urgent().take(round.tries).cloned().collect();
        for id in urgent {
            self.try_start(round, &id);
        }
    }

    /// The rest by weighted dominant share, less what age is worth.
    pub(crate) fn start_rest(&mut self, round: &mut Round) {
        let mut order: BTreeSet<(i64, AccountName, usize)> = BTreeSet::new();
        let accounts: Vec<AccountName> = self.queue.accounts().cloned().collect();
        for account in accounts {
            order.insert((self.turn_key(round.now, &account), account, 0));
        }
        while let Some((_, account, skipped)) = order.pop_first() {
            if round.tries == 0 {
                break;
            }
            let next = self
                .queue
                .of_account(&account)
                .filter(|id| !self.pledges.contains_key(id))
                .nth(skipped)
                .cloned();
            let Some(id) = next else { continue };
            let started = self.try_start(round, &id);
            let skipped = if started { skipped } else { skipped + 1 };
            if skipped < LOOKAHEAD {
                order.insert((self.turn_key(round.now, &account), account, skipped));
            }
        }
    }

    /// The smaller, the sooner: a share in millionths, less the age of the account's oldest job.
    pub(crate) fn turn_key(&self, now: Time, account: &AccountName) -> i64 {
        const MILLION: u128 = 1_000_000;
        let first = self.queue.of_account(account).next().and_then(|id| self.queue.get(id));
        let age = first.map_or(0, |waiting| now.since(waiting.accepted_at).as_millis());
        let worth = age * MILLION / u128::from(self.cfg.ageing_ms.max(1));
        let share = i64::try_from(self.weighted_share(account)).unwrap_or(i64::MAX);
        share.saturating_sub(i64::try_from(worth).unwrap_or(i64::MAX))
    }

    /// Starts a job outside guarantees if there is room. Returns whether it did.
    pub(crate) fn try_start(&mut self, round: &mut Round, id: &JobId) -> bool {
        let Some(waiting) = self.queue.get(id) else { return false };
        if round.tries == 0 || self.pledges.contains_key(id) {
            return false;
        }
        if !self.is_within_limit(&waiting.spec) {
            self.queue.set_reason(id, WaitReason::PlanLimit);
            return false;
        }
        let spec = waiting.spec.clone();
        if let Some(spots) = self.probation_spot(round.now, &spec) {
            self.place(round, id, spots);
            return true;
        }
        let held = self.held(id);
        if held.is_empty()
            && let Some(reason) = round.hopeless(&spec)
        {
            self.queue.set_reason(id, reason);
            return false;
        }
        match find_room(&self.pool, &spec, held) {
            Ok(spots) => {
                self.place(round, id, spots);
                true
            }
            Err(reason) => {
                round.tries -= 1;
                round.failed.push((spec, reason.clone()));
                let held = self.holds.get(id).and_then(|h| Some((h.len(), h.first()?.clone())));
                let reason = held.map_or(reason, |(count, first)| WaitReason::Held(count, first));
                self.queue.set_reason(id, reason);
                false
            }
        }
    }

    pub(crate) fn held(&self, id: &JobId) -> &[UpstreamName] {
        self.holds.get(id).map_or(&[], Vec::as_slice)
    }

    /// An upstream on probation takes one idempotent task, and nothing else until that ends.
    pub(crate) fn probation_spot(&self, now: Time, spec: &JobSpec) -> Option<Vec<Spot>> {
        if !spec.idempotent || spec.shape.tasks != 1 || spec.class == JobClass::Urgent {
            return None;
        }
        let task = Room::of_task(&spec.shape);
        let name = self.health.on_probation(now).find(|name| {
            self.pool.upstream(name).is_some_and(|seat| {
                let usable = seat.alive && !seat.leaving && !seat.drained;
                usable && seat.jobs.is_empty() && task.fits(&seat.free())
            })
        })?;
        Some(vec![Spot { upstream: name.clone(), tasks: 1, mark: None }])
    }

    /// Books and logs a placement.
    pub(crate) fn place(&mut self, round: &mut Round, id: &JobId, spots: Vec<Spot>) {
        let Some(waiting) = self.queue.get(id) else { return };
        let spec = waiting.spec.clone();
        let members: Vec<Member> = spots
            .into_iter()
            .map(|spot| Member { upstream: spot.upstream, tasks: spot.tasks, mark: spot.mark })
            .collect();
        let committed = members.len() == 1;
        let attempt = Attempt {
            number: waiting.attempts + 1,
            term: round.term,
            placed_at: round.now,
            members,
        };
        self.take(round.now, &spec, &attempt);
        let at = round.now;
        round.out.commands.push(Command::Place { job: id.clone(), attempt, committed, at });
    }

    /// Holds room for large jobs that have waited long.
    pub(crate) fn hold_for_old(&mut self, round: &mut Round) {
        let now = round.now;
        let broken: Vec<JobId> = self
            .holds
            .iter()
            .filter(|(_, names)| {
                names.iter().any(|n| !self.pool.upstream(n).is_some_and(UpstreamRecord::is_open))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in broken {
            self.drop_hold(now, &id);
        }
        let patience = Duration::from_millis(self.cfg.reserve_after_ms);
        let old: Vec<JobSpec> = self
            .queue
            .oldest()
            .take(HOLD_LOOKAHEAD)
            .filter_map(|id| self.queue.get(id))
            .filter(|w| now >= w.accepted_at.after(patience))
            .filter(|w| {
                !self.holds.contains_key(&w.spec.id) && !self.pledges.contains_key(&w.spec.id)
            })
            .filter(|w| self.is_within_limit(&w.spec))
            .map(|w| w.spec.clone())
            .collect();
        for spec in old {
            if self.holds.len() >= self.cfg.reservations_max {
                break;
            }
            let chosen = choose_seats(&self.pool, &spec).or_else(|| {
                self.clear_room(now, &spec, &mut round.out);
                choose_seats(&self.pool, &spec)
            });
            let Some(names) = chosen else { continue };
            for name in &names {
                self.pool.update(now, name, |seat| seat.held_for = Some(spec.id.clone()));
            }
            self.holds.insert(spec.id, names);
            self.changed = true;
        }
    }

    /// Upstreams that are put aside at `now`, with the time until when.
    pub fn quarantined(&self, now: Time) -> Vec<(UpstreamName, HealthState)> {
        let aside = self.pool.upstreams().filter(|(_, seat)| seat.quarantined);
        aside.map(|(name, _)| (name.clone(), self.health.state(now, name))).collect()
    }
}
