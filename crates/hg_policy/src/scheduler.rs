//! The scheduler: facts in, decisions out.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use hg_ledger::{Command, Effect, Ledger, Outcome};
use hg_model::{
    AccountName, Attempt, AttemptResult, JobClass, JobId, JobSpec, ListFault, Lists, MarkId,
    Member, NotRunReason, Plan, Resources, Shape, StopCause, Term, Time, UpstreamBeat,
    UpstreamName,
};

use crate::claim::find_claim;
use crate::fit::fits_beside;
use crate::placement::{Spot, find_room};
use crate::queue::Queue;
use crate::reservation::choose_seats;
use crate::{
    Health, HealthState, Holding, HoldingMember, MarkState, Marks, PolicyConfig, Pool, Room, Seat,
    Tenure, WaitReason, check_fit,
};

/// How far into an account's queue one round looks.
const LOOKAHEAD: usize = 8;
/// How many of the oldest jobs one round considers for a hold.
const HOLD_LOOKAHEAD: usize = 32;

/// What a round of decisions came to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// To be logged, in this order.
    pub commands: Vec<Command>,
    /// Attempts to be ended because a member is lost.
    pub aborts: Vec<Abort>,
}

/// A running attempt that lost a member: its other members are to be stopped at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Abort {
    /// The job.
    pub job: JobId,
    /// The attempt's number.
    pub attempt: u32,
    /// The upstream that is lost.
    pub upstream: UpstreamName,
}

/// Why a job is turned away at the door.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// For the caller.
    pub reason: NotRunReason,
    /// When it may help to come back.
    pub retry_after: Option<Duration>,
}

/// A guarantee that the pool cannot hold at present.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("account {account} is short of {parts} parts of {shape}")]
pub struct Shortage {
    /// Whose guarantee.
    pub account: AccountName,
    /// The block's shape.
    pub shape: Shape,
    /// How many parts of it lie nowhere.
    pub parts: usize,
}

/// Places that a claim waits for.
#[derive(Debug)]
struct Pledge {
    spots: Vec<Spot>,
    room: Room,
}

/// Decides which job starts where and when.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: PolicyConfig,
    pub(crate) pool: Pool,
    pub(crate) marks: Marks,
    pub(crate) shortages: Vec<Shortage>,
    lists: Lists,
    plans: BTreeMap<AccountName, Plan>,
    queue: Queue,
    holdings: BTreeMap<JobId, Holding>,
    usage: BTreeMap<AccountName, Room>,
    pledges: BTreeMap<JobId, Pledge>,
    holds: BTreeMap<JobId, Vec<UpstreamName>>,
    health: Health,
    aborted: BTreeMap<JobId, Time>,
    marks_due: bool,
    marks_settled_at: Time,
    changed: bool,
    next_look: Time,
}

/// Queries.
impl Scheduler {
    /// The upstreams.
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The guaranteed parts.
    pub const fn marks(&self) -> &Marks {
        &self.marks
    }

    /// What placed jobs hold.
    pub const fn holdings(&self) -> &BTreeMap<JobId, Holding> {
        &self.holdings
    }

    /// How upstreams are trusted.
    pub const fn health(&self) -> &Health {
        &self.health
    }

    /// Guarantees that the pool cannot hold at present.
    pub fn shortages(&self) -> &[Shortage] {
        &self.shortages
    }

    /// How many jobs wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// What a waiting job waits for.
    pub fn wait_reason(&self, id: &JobId) -> Option<&WaitReason> {
        self.queue.get(id).map(|waiting| &waiting.reason)
    }

    /// Whether lists can be put in force with the present pool.
    ///
    /// # Errors
    ///
    /// All [`ListFault`]s, each with its place.
    pub fn check_lists(&self, lists: &Lists) -> Result<(), Vec<ListFault>> {
        let faults = lists.faults();
        if !faults.is_empty() {
            return Err(faults);
        }
        check_fit(lists, &self.pool).map_err(|fault| vec![fault])
    }

    /// Why a job must be turned away, if it must.
    pub fn refusal(&self, spec: &JobSpec) -> Option<Refusal> {
        let finally = |reason| Some(Refusal { reason, retry_after: None });
        let Some(plan) = self.plans.get(&spec.account) else {
            return finally(NotRunReason::UnknownAccount);
        };
        if !spec.shape.total().fits(&plan.limit) {
            return finally(NotRunReason::OverLimit(plan.limit.to_string()));
        }
        if !self.could_ever_fit(&spec.shape) {
            return finally(NotRunReason::FitsNowhere(spec.shape.to_string()));
        }
        if !spec.is_stoppable() && !self.fits_unstopped(spec) {
            let shape = format!("{} beside the guarantees of others", spec.shape);
            return finally(NotRunReason::FitsNowhere(shape));
        }
        let full = self.queue.len() >= self.cfg.queue_max
            || self.queue.account_len(&spec.account) >= self.cfg.account_queue_max;
        full.then(|| Refusal {
            reason: NotRunReason::Overload,
            retry_after: Some(Duration::from_secs(1)),
        })
    }

    /// Whether a job that cannot be stopped has a place, now or some day, without breaking a guarantee.
    fn fits_unstopped(&self, spec: &JobSpec) -> bool {
        if find_room(&self.pool, spec, &[]).is_ok() || choose_seats(&self.pool, spec).is_some() {
            return true;
        }
        let own: Vec<&MarkState> = self.marks.of_account(&spec.account).map(|(_, s)| s).collect();
        let task = Room::of_task(&spec.shape);
        let tasks = spec.shape.tasks;
        let in_own_blocks = if spec.shape.adjacent {
            own.iter().any(|s| {
                let part = s.room.count_of(&task, tasks);
                part >= tasks || (s.block.adjacent && part * s.block.tasks >= tasks)
            })
        } else {
            own.iter().map(|s| s.room.count_of(&task, tasks)).sum::<u32>() >= tasks
        };
        in_own_blocks || fits_beside(&self.lists, &self.pool, &spec.shape)
    }

    /// Whether the pool, were it empty, could hold a shape.
    pub fn could_ever_fit(&self, shape: &Shape) -> bool {
        let task = Room::of_task(shape);
        if shape.adjacent {
            return self.pool.racks().any(|(id, _)| {
                let seats = self.pool.rack(id).filter(|(_, seat)| seat.is_open());
                let fits: u32 = seats.map(|(_, s)| s.capacity().count_of(&task, shape.tasks)).sum();
                fits >= shape.tasks
            });
        }
        let fits = self
            .pool
            .capacities()
            .map(|(room, count)| u64::from(room.count_of(&task, shape.tasks)) * u64::from(count));
        fits.sum::<u64>() >= u64::from(shape.tasks)
    }

    /// An account's largest share of any resource of the pool, over its weight, in millionths.
    fn weighted_share(&self, account: &AccountName) -> u64 {
        const MILLION: u64 = 1_000_000;
        let used = self.usage.get(account).copied().unwrap_or_default().resources;
        let total = self.pool.total().resources;
        let share = |used: u64, total: u64| (used * MILLION).checked_div(total).unwrap_or(0);
        let dominant = share(u64::from(used.accelerators), u64::from(total.accelerators))
            .max(share(u64::from(used.processors), u64::from(total.processors)))
            .max(share(used.memory_mib, total.memory_mib));
        let weight = self.plans.get(account).map_or(1, |plan| plan.weight.max(1));
        dominant / u64::from(weight)
    }

    fn is_within_limit(&self, spec: &JobSpec) -> bool {
        let used = self.usage.get(&spec.account).copied().unwrap_or_default().resources;
        let limit = self.plans.get(&spec.account).map_or(Resources::default(), |plan| plan.limit);
        used.plus(&spec.shape.total()).fits(&limit)
    }
}

/// Facts.
impl Scheduler {
    /// A scheduler that knows nothing yet.
    pub fn new(cfg: PolicyConfig) -> Self {
        Self {
            cfg,
            pool: Pool::default(),
            marks: Marks::default(),
            shortages: Vec::new(),
            lists: Lists::default(),
            plans: BTreeMap::new(),
            queue: Queue::default(),
            holdings: BTreeMap::new(),
            usage: BTreeMap::new(),
            pledges: BTreeMap::new(),
            holds: BTreeMap::new(),
            health: Health::default(),
            aborted: BTreeMap::new(),
            marks_due: true,
            marks_settled_at: Time(0),
            changed: true,
            next_look: Time(0),
        }
    }

    /// Takes over a ledger, as a new leader does. What upstreams said before stays known.
    pub fn rebuild(&mut self, now: Time, ledger: &Ledger) {
        self.queue = Queue::default();
        self.health = Health::default();
        self.aborted.clear();
        for job in ledger.jobs().filter(|job| job.life.is_queued()) {
            self.queue.insert(job);
        }
        for name in ledger.drained() {
            self.pool.update(now, name, |seat| seat.drained = true);
        }
        self.recount(now, ledger);
    }

    /// Takes over new lists; what did not change in them is left alone.
    fn take_lists(&mut self, now: Time, lists: &Lists) {
        let next = Marks::new(lists);
        for id in self.marks.outdated(&next) {
            self.settle_mark(now, &id, None);
            self.marks.remove(&id);
        }
        self.marks.add_missing(next);
        self.plans = plans_by_account(lists);
        self.lists = lists.clone();
        self.marks_due = true;
    }

    /// Counts anew what is held and marked.
    fn recount(&mut self, now: Time, ledger: &Ledger) {
        let names: Vec<UpstreamName> = self.pool.seats().map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.pool.update(now, name, Seat::clear);
        }
        self.holdings.clear();
        self.usage.clear();
        self.pledges.clear();
        self.holds.clear();
        self.marks = Marks::new(ledger.lists());
        self.plans = plans_by_account(ledger.lists());
        self.lists = ledger.lists().clone();
        for (mark, upstream) in ledger.marks() {
            self.settle_mark(now, mark, Some(upstream.clone()));
        }
        for job in ledger.jobs() {
            if let Some(attempt) = job.life.attempt() {
                self.take(now, &job.spec, attempt);
            }
            if let hg_model::JobLife::Running(life) = &job.life
                && life.state().stop().is_some()
            {
                self.set_stopping(&job.spec.id, true);
            }
        }
        for name in &names {
            self.pool.forget_if_gone(name);
        }
        self.marks_due = true;
        self.changed = true;
    }

    /// An upstream spoke. Returns whether that was news.
    pub fn announce(&mut self, now: Time, beat: &UpstreamBeat) -> bool {
        let news = self.pool.announce(now, beat);
        if news {
            self.marks_due = true;
            self.changed = true;
        }
        news
    }

    /// An upstream is no longer heard.
    pub fn lose(&mut self, now: Time, name: &UpstreamName) {
        self.pool.lose(now, name);
        self.marks_due = true;
        self.changed = true;
    }

    /// The ledger changed.
    pub fn follow(&mut self, now: Time, ledger: &Ledger, effect: &Effect) {
        self.changed = true;
        match effect {
            Effect::Queued(id) => {
                if let Some(job) = ledger.job(id) {
                    self.queue.insert(job);
                }
            }
            Effect::Unqueued(id) => self.unqueue(now, id),
            Effect::Taken { job, attempt } => {
                if let Some(job) = ledger.job(job) {
                    self.take(now, &job.spec, attempt);
                }
            }
            Effect::Stopping { job, .. } => self.set_stopping(job, true),
            Effect::Freed { job, attempt, result } => {
                self.untake(now, job);
                self.note_health(now, job, attempt, result.as_ref());
            }
            Effect::Lists => self.take_lists(now, ledger.lists()),
            Effect::Marked(id) => self.settle_mark(now, id, ledger.marks().get(id).cloned()),
            Effect::Drained(name) => {
                let drained = ledger.drained().contains(name);
                self.pool.update(now, name, |seat| seat.drained = drained);
                self.pool.forget_if_gone(name);
                self.marks_due = true;
            }
            Effect::Committed { .. } | Effect::Finished { .. } | Effect::Rehomed(_) => {}
        }
    }

    /// A command of ours did not take effect; take back what we assumed of it.
    pub fn retract(&mut self, now: Time, ledger: &Ledger, command: &Command, outcome: &Outcome) {
        if *outcome != Outcome::Stale {
            return;
        }
        self.changed = true;
        match command {
            Command::Place { job, attempt, .. } => {
                let ours = self.holdings.get(job).is_some_and(|h| h.attempt == attempt.number);
                if ours {
                    self.untake(now, job);
                }
                self.requeue_if_waiting(ledger, job);
            }
            Command::Stop { job, .. } => self.set_stopping(job, false),
            Command::GiveUp { job, .. } => self.requeue_if_waiting(ledger, job),
            _ => {}
        }
    }

    /// Keeps a waiting job out of placement, because its body is not at hand.
    pub fn park(&mut self, now: Time, id: &JobId) {
        self.unqueue(now, id);
    }

    /// Lets a parked job back into placement.
    pub fn unpark(&mut self, ledger: &Ledger, id: &JobId) {
        self.changed = true;
        self.requeue_if_waiting(ledger, id);
    }

    fn requeue_if_waiting(&mut self, ledger: &Ledger, id: &JobId) {
        if let Some(job) = ledger.job(id).filter(|job| job.life.is_queued()) {
            self.queue.insert(job);
        }
    }

    fn unqueue(&mut self, now: Time, id: &JobId) {
        self.queue.remove(id);
        self.drop_pledge(now, id);
        self.drop_hold(now, id);
    }

    fn set_stopping(&mut self, id: &JobId, stopping: bool) {
        if let Some(holding) = self.holdings.get_mut(id) {
            holding.stopping = stopping;
        }
    }

    fn note_health(
        &mut self,
        now: Time,
        job: &JobId,
        attempt: &Attempt,
        result: Option<&AttemptResult>,
    ) {
        let aside = Duration::from_millis(self.cfg.aside_ms);
        match result {
            Some(
                AttemptResult::Failed { upstream, .. }
                | AttemptResult::NeverStarted { upstream }
                | AttemptResult::Lost { upstream },
            ) => {
                let after = self.cfg.aside_after;
                if self.health.note_failure(now, upstream, job, after, aside) {
                    self.pool.update(now, upstream, |seat| seat.aside = true);
                    self.marks_due = true;
                }
            }
            Some(AttemptResult::Answered { .. }) => {
                for member in &attempt.members {
                    self.health.note_success(&member.upstream);
                    self.pool.update(now, &member.upstream, |seat| seat.aside = false);
                }
            }
            Some(AttemptResult::Stopped) | None => {}
        }
    }
}

/// Books.
impl Scheduler {
    /// Books an attempt's leases.
    fn take(&mut self, now: Time, spec: &JobSpec, attempt: &Attempt) {
        let id = &spec.id;
        if self.holdings.get(id).is_some_and(|h| h.attempt == attempt.number) {
            return;
        }
        self.unqueue(now, id);
        let task = Room::of_task(&spec.shape);
        let mut members = Vec::new();
        for member in &attempt.members {
            let room = task.times(member.tasks);
            let tenure = self.tenure(spec, member, &room);
            members.push(HoldingMember { upstream: member.upstream.clone(), room, tenure });
        }
        let holding = Holding {
            attempt: attempt.number,
            account: spec.account.clone(),
            placed_at: attempt.placed_at,
            stoppable: spec.is_stoppable(),
            stopping: false,
            members,
        };
        for member in &holding.members {
            let firm = if member.tenure == Tenure::Firm { member.room } else { Room::default() };
            self.pool.update(now, &member.upstream, |seat| {
                seat.used = seat.used.plus(&member.room);
                seat.firm = seat.firm.plus(&firm);
                seat.jobs.insert(id.clone());
            });
        }
        let used = self.usage.entry(spec.account.clone()).or_default();
        *used = used.plus(&holding.total());
        self.holdings.insert(id.clone(), holding);
    }

    fn tenure(&mut self, spec: &JobSpec, member: &Member, room: &Room) -> Tenure {
        if let Some(mark) = &member.mark {
            let lies_there =
                self.marks.get(mark).and_then(|s| s.upstream.as_ref()) == Some(&member.upstream);
            if lies_there && self.marks.claim(mark, &spec.id, room) {
                return Tenure::Claimed(mark.clone());
            }
        }
        if spec.is_stoppable() { Tenure::Borrowed } else { Tenure::Firm }
    }

    /// Gives an attempt's leases back.
    fn untake(&mut self, now: Time, id: &JobId) {
        self.aborted.remove(id);
        let Some(holding) = self.holdings.remove(id) else { return };
        for member in &holding.members {
            let firm = if member.tenure == Tenure::Firm { member.room } else { Room::default() };
            if let Tenure::Claimed(mark) = &member.tenure {
                self.marks.unclaim(mark, id);
            }
            self.pool.update(now, &member.upstream, |seat| {
                seat.used = seat.used.minus(&member.room);
                seat.firm = seat.firm.minus(&firm);
                seat.jobs.remove(id);
            });
            self.pool.forget_if_gone(&member.upstream);
        }
        if let Some(used) = self.usage.get_mut(&holding.account) {
            *used = used.minus(&holding.total());
            if used.is_zero() {
                self.usage.remove(&holding.account);
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
            self.pool.update(now, from, |seat| seat.marked = seat.marked.minus(&moved.room));
            self.pool.forget_if_gone(from);
        }
        if let Some(to) = &upstream {
            self.pool.update(now, to, |seat| seat.marked = seat.marked.plus(&moved.room));
        }
    }

    fn leave_mark(&mut self, now: Time, job: &JobId, id: &MarkId) {
        self.drop_pledge(now, job);
        let Some(holding) = self.holdings.get_mut(job) else { return };
        let stoppable = holding.stoppable;
        let left = holding.members.iter_mut().filter(|m| m.tenure == Tenure::Claimed(id.clone()));
        for member in left {
            if stoppable {
                member.tenure = Tenure::Borrowed;
                continue;
            }
            member.tenure = Tenure::Firm;
            let room = member.room;
            self.pool.update(now, &member.upstream, |seat| seat.firm = seat.firm.plus(&room));
        }
    }

    fn add_pledge(&mut self, now: Time, spec: &JobSpec, spots: Vec<Spot>) {
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

    fn drop_pledge(&mut self, now: Time, id: &JobId) {
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

    fn drop_hold(&mut self, now: Time, id: &JobId) {
        for name in self.holds.remove(id).unwrap_or_default() {
            self.pool.update(now, &name, |seat| seat.held_for = None);
            self.pool.forget_if_gone(&name);
        }
    }
}

/// Decisions.
impl Scheduler {
    /// Decides all that can be decided now.
    ///
    /// What comes out is assumed to take effect; [`Scheduler::retract`] takes it back otherwise.
    pub fn decide(&mut self, now: Time, term: Term) -> Decisions {
        const LOOK_AGAIN: Duration = Duration::from_millis(250);
        let mut out = Decisions::default();
        if !self.changed && now < self.next_look {
            return out;
        }
        self.changed = false;
        self.next_look = now.after(LOOK_AGAIN);
        self.expire(now, &mut out);
        self.take_back_untried(now);
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

    fn take_back_untried(&mut self, now: Time) {
        for name in self.health.take_back_untried(now) {
            self.pool.update(now, &name, |seat| seat.aside = false);
            self.pool.forget_if_gone(&name);
            self.marks_due = true;
        }
    }

    fn expire(&mut self, now: Time, out: &mut Decisions) {
        let overdue: Vec<JobId> = self.queue.overdue(now).cloned().collect();
        for job in overdue {
            self.unqueue(now, &job);
            out.commands.push(Command::GiveUp { job, reason: NotRunReason::Deadline, at: now });
        }
    }

    /// Whether an upstream with guaranteed parts has come to count as lost since they were settled.
    fn has_newly_lost_marks(&self, now: Time) -> bool {
        let mut closed = self.pool.closed_marked();
        closed.any(|(_, seat)| {
            let since = seat.lost_since(self.cfg.unseen());
            since.is_some_and(|at| at <= now && at > self.marks_settled_at)
        })
    }

    /// Attempts with a member on an upstream that has been unseen for too long.
    fn abort_lost(&mut self, now: Time, out: &mut Decisions) {
        let unseen = self.cfg.unseen();
        let lost = self.pool.silent().filter(|(_, seat)| {
            !seat.jobs.is_empty() && seat.lost_since(unseen).is_some_and(|at| at <= now)
        });
        for (name, seat) in lost {
            for job in &seat.jobs {
                let Some(holding) = self.holdings.get(job) else { continue };
                let asked = self.aborted.get(job);
                if asked.is_some_and(|at| now < at.after(self.cfg.repeat())) {
                    continue;
                }
                self.aborted.insert(job.clone(), now);
                let (job, attempt, upstream) = (job.clone(), holding.attempt, name.clone());
                out.aborts.push(Abort { job, attempt, upstream });
            }
        }
    }

    /// Starts claims whose borrowers have left; asks for what is still missing.
    fn continue_pledges(&mut self, round: &mut Round) {
        let ids: Vec<JobId> = self.pledges.keys().cloned().collect();
        for id in ids {
            let Some(pledge) = self.pledges.get(&id) else { continue };
            let spots = pledge.spots.clone();
            let room = pledge.room;
            let open = spots.iter().all(|s| self.pool.seat(&s.upstream).is_some_and(Seat::is_open));
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

    fn has_physical_room(&self, spot: &Spot, spots: &[Spot], task: &Room) -> bool {
        let Some(seat) = self.pool.seat(&spot.upstream) else { return false };
        let here = spots.iter().filter(|s| s.upstream == spot.upstream).map(|s| s.tasks).sum();
        task.times(here).fits(&seat.capacity().minus(&seat.used))
    }

    /// Stops borrowers until every pledge on these upstreams has room.
    fn reclaim(&mut self, round: &mut Round, spots: &[Spot]) {
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
    fn borrowers_to_stop(&self, upstream: &UpstreamName) -> Vec<(JobId, u32)> {
        let Some(seat) = self.pool.seat(upstream) else { return Vec::new() };
        let mut wanted = seat.used.plus(&seat.pledged);
        let mut borrowers = Vec::new();
        for job in &seat.jobs {
            let Some(holding) = self.holdings.get(job) else { continue };
            let here = holding.members.iter().filter(|m| m.upstream == *upstream);
            let room = here.fold(Room::default(), |sum, m| sum.plus(&m.room));
            let borrows = holding.members.iter().any(|m| m.tenure == Tenure::Borrowed);
            if holding.stopping {
                wanted = wanted.minus(&room);
            } else if borrows && holding.stoppable {
                borrowers.push((holding.placed_at, job.clone(), holding.attempt, room));
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
    fn start_claims(&mut self, round: &mut Round) {
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

    fn try_claim(&mut self, round: &mut Round, id: &JobId) {
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

    fn start_urgent(&mut self, round: &mut Round) {
        let urgent: Vec<JobId> = self.queue.urgent().take(round.tries).cloned().collect();
        for id in urgent {
            self.try_start(round, &id);
        }
    }

    /// The rest by weighted dominant share, less what age is worth.
    fn start_rest(&mut self, round: &mut Round) {
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
    fn turn_key(&self, now: Time, account: &AccountName) -> i64 {
        const MILLION: u128 = 1_000_000;
        let first = self.queue.of_account(account).next().and_then(|id| self.queue.get(id));
        let age = first.map_or(0, |waiting| now.since(waiting.accepted_at).as_millis());
        let worth = age * MILLION / u128::from(self.cfg.ageing_ms.max(1));
        let share = i64::try_from(self.weighted_share(account)).unwrap_or(i64::MAX);
        share.saturating_sub(i64::try_from(worth).unwrap_or(i64::MAX))
    }

    /// Starts a job outside guarantees if there is room. Returns whether it did.
    fn try_start(&mut self, round: &mut Round, id: &JobId) -> bool {
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

    fn held(&self, id: &JobId) -> &[UpstreamName] {
        self.holds.get(id).map_or(&[], Vec::as_slice)
    }

    /// An upstream on probation takes one idempotent task, and nothing else until that ends.
    fn probation_spot(&self, now: Time, spec: &JobSpec) -> Option<Vec<Spot>> {
        if !spec.idempotent || spec.shape.tasks != 1 || spec.class == JobClass::Urgent {
            return None;
        }
        let task = Room::of_task(&spec.shape);
        let name = self.health.on_probation(now).find(|name| {
            self.pool.seat(name).is_some_and(|seat| {
                let usable = seat.alive && !seat.leaving && !seat.drained;
                usable && seat.jobs.is_empty() && task.fits(&seat.free())
            })
        })?;
        Some(vec![Spot { upstream: name.clone(), tasks: 1, mark: None }])
    }

    /// Books and logs a placement.
    fn place(&mut self, round: &mut Round, id: &JobId, spots: Vec<Spot>) {
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
    fn hold_for_old(&mut self, round: &mut Round) {
        let now = round.now;
        let broken: Vec<JobId> = self
            .holds
            .iter()
            .filter(|(_, names)| {
                names.iter().any(|n| !self.pool.seat(n).is_some_and(Seat::is_open))
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
    pub fn aside(&self, now: Time) -> Vec<(UpstreamName, HealthState)> {
        let aside = self.pool.seats().filter(|(_, seat)| seat.aside);
        aside.map(|(name, _)| (name.clone(), self.health.state(now, name))).collect()
    }
}

/// One round of decisions.
#[derive(Debug)]
struct Round {
    now: Time,
    term: Term,
    tries: usize,
    failed: Vec<(JobSpec, WaitReason)>,
    out: Decisions,
}

impl Round {
    /// Whether a smaller or easier job has already found no room in this round.
    fn hopeless(&self, spec: &JobSpec) -> Option<WaitReason> {
        let as_hard = |other: &JobSpec| {
            let (a, b) = (&other.shape, &spec.shape);
            a.per_task.fits(&b.per_task)
                && a.tasks <= b.tasks
                && (b.adjacent || !a.adjacent)
                && (other.is_stoppable() || !spec.is_stoppable())
        };
        self.failed.iter().find(|(other, _)| as_hard(other)).map(|(_, reason)| reason.clone())
    }
}

impl Seat {
    /// Forgets what is used, marked, pledged and held.
    fn clear(&mut self) {
        self.used = Room::default();
        self.marked = Room::default();
        self.firm = Room::default();
        self.pledged = Room::default();
        self.held_for = None;
        self.jobs.clear();
    }
}

fn plans_by_account(lists: &Lists) -> BTreeMap<AccountName, Plan> {
    let plan_of = |name: &AccountName| lists.plan_of(name).cloned();
    lists.accounts.iter().filter_map(|a| Some((a.name.clone(), plan_of(&a.name)?))).collect()
}
