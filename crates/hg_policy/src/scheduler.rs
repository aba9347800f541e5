//! The job scheduler: its state, the facts recorded in it, and queries. Decisions are made in
//! `decide.rs`.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use hg_ledger::{Command, Effect, Ledger, Outcome};
use hg_model::{
    AccountName, Attempt, AttemptResult, JobId, JobSpec, ListFault, Lists, NotRunReason, Plan,
    Resources, Shape, Time, UpstreamHeartbeat, UpstreamName,
};

use crate::packing::fits_beside_guarantees;
use crate::placement::{Placement, find_placement};
use crate::queue::Queue;
use crate::reservation::choose_upstreams;
use crate::{
    Allocation, Capacity, GuaranteeRegistry, GuaranteedPart, PolicyConfig, Pool, UpstreamHealth,
    UpstreamRecord, WaitReason, check_fit,
};

/// How long an upstream that refused a start or was unreachable gets no new work.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);

/// The result of one scheduling round.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Commands to log, in this order.
    pub commands: Vec<Command>,
    /// Attempts to abort because a member is lost.
    pub aborts: Vec<Abort>,
}

/// An attempt that lost a member: its other members must be stopped at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Abort {
    /// The job.
    pub job: JobId,
    /// The attempt's number.
    pub attempt: u32,
    /// The upstream that is lost.
    pub upstream: UpstreamName,
}

/// Why a job is refused at admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason given to the caller.
    pub reason: NotRunReason,
    /// How long to wait before a retry, if waiting may help.
    pub retry_after: Option<Duration>,
}

/// A guaranteed block that the pool cannot hold at present.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("account {account} is short of {parts} parts of {shape}")]
pub struct Shortage {
    /// The account that holds the guarantee.
    pub account: AccountName,
    /// The block's shape.
    pub shape: Shape,
    /// How many of its parts are unplaced.
    pub parts: usize,
}

/// A claim of guaranteed parts that waits for borrowers to stop.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    pub(crate) placements: Vec<Placement>,
    pub(crate) per_task: Capacity,
}

/// Decides which job starts where and when.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: PolicyConfig,
    pub(crate) pool: Pool,
    pub(crate) marks: GuaranteeRegistry,
    pub(crate) shortages: Vec<Shortage>,
    pub(crate) lists: Lists,
    pub(crate) plans: BTreeMap<AccountName, Plan>,
    pub(crate) queue: Queue,
    pub(crate) allocations: BTreeMap<JobId, Allocation>,
    pub(crate) usage: BTreeMap<AccountName, Capacity>,
    pub(crate) pending_claims: BTreeMap<JobId, PendingClaim>,
    pub(crate) reservations: BTreeMap<JobId, Vec<UpstreamName>>,
    pub(crate) health: UpstreamHealth,
    pub(crate) suspects: BTreeMap<UpstreamName, Time>,
    pub(crate) abort_requested_at: BTreeMap<JobId, Time>,
    pub(crate) marks_need_assignment: bool,
    pub(crate) marks_assigned_at: Time,
    pub(crate) changed: bool,
    pub(crate) next_decision_at: Time,
}

/// Queries.
impl Scheduler {
    /// The upstreams.
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The guaranteed parts.
    pub const fn marks(&self) -> &GuaranteeRegistry {
        &self.marks
    }

    /// The allocations of placed jobs.
    pub const fn allocations(&self) -> &BTreeMap<JobId, Allocation> {
        &self.allocations
    }

    /// The failure records of upstreams.
    pub const fn health(&self) -> &UpstreamHealth {
        &self.health
    }

    /// Guarantees that the pool cannot hold at present.
    pub fn shortages(&self) -> &[Shortage] {
        &self.shortages
    }

    /// The number of waiting jobs.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Why a waiting job waits.
    pub fn wait_reason(&self, id: &JobId) -> Option<&WaitReason> {
        self.queue.get(id).map(|waiting| &waiting.reason)
    }

    /// Checks that lists are valid and that the present pool can hold all their guarantees.
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

    /// Checks whether a job must be refused at admission, and why.
    pub fn check_admission(&self, spec: &JobSpec) -> Option<Refusal> {
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
        if !spec.is_stoppable() && !self.could_fit_non_preemptible(spec) {
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

    /// Whether a job that cannot be stopped fits now or later without violating a guarantee.
    fn could_fit_non_preemptible(&self, spec: &JobSpec) -> bool {
        if find_placement(&self.pool, spec, &[]).is_ok()
            || choose_upstreams(&self.pool, spec).is_some()
        {
            return true;
        }
        let own: Vec<&GuaranteedPart> =
            self.marks.of_account(&spec.account).map(|(_, part)| part).collect();
        let task = Capacity::for_task(&spec.shape);
        let tasks = spec.shape.tasks;
        let in_own_blocks = if spec.shape.adjacent {
            own.iter().any(|part| {
                let fitting = part.capacity.count_of(&task, tasks);
                fitting >= tasks || (part.block.adjacent && fitting * part.block.tasks >= tasks)
            })
        } else {
            own.iter().map(|part| part.capacity.count_of(&task, tasks)).sum::<u32>() >= tasks
        };
        in_own_blocks || fits_beside_guarantees(&self.lists, &self.pool, &spec.shape)
    }

    /// Whether the open upstreams could hold a shape if they were empty.
    pub fn could_ever_fit(&self, shape: &Shape) -> bool {
        let task = Capacity::for_task(shape);
        if shape.adjacent {
            return self.pool.racks().any(|(id, _)| {
                let upstreams = self.pool.rack(id).filter(|(_, record)| record.is_open());
                let fits: u32 = upstreams
                    .map(|(_, record)| record.capacity().count_of(&task, shape.tasks))
                    .sum();
                fits >= shape.tasks
            });
        }
        let fits = self.pool.capacities().map(|(capacity, count)| {
            u64::from(capacity.count_of(&task, shape.tasks)) * u64::from(count)
        });
        fits.sum::<u64>() >= u64::from(shape.tasks)
    }

    /// An account's dominant share, the largest of its shares of each resource of the pool, divided
    /// by its weight, in millionths.
    pub(crate) fn weighted_share(&self, account: &AccountName) -> u64 {
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

    pub(crate) fn is_within_limit(&self, spec: &JobSpec) -> bool {
        let used = self.usage.get(&spec.account).copied().unwrap_or_default().resources;
        let limit = self.plans.get(&spec.account).map_or(Resources::default(), |plan| plan.limit);
        used.plus(&spec.shape.total()).fits(&limit)
    }
}

/// Facts recorded in the scheduler.
impl Scheduler {
    /// Creates a scheduler without upstreams, lists or jobs.
    pub fn new(cfg: PolicyConfig) -> Self {
        Self {
            cfg,
            pool: Pool::default(),
            marks: GuaranteeRegistry::default(),
            shortages: Vec::new(),
            lists: Lists::default(),
            plans: BTreeMap::new(),
            queue: Queue::default(),
            allocations: BTreeMap::new(),
            usage: BTreeMap::new(),
            pending_claims: BTreeMap::new(),
            reservations: BTreeMap::new(),
            health: UpstreamHealth::default(),
            suspects: BTreeMap::new(),
            abort_requested_at: BTreeMap::new(),
            marks_need_assignment: true,
            marks_assigned_at: Time(0),
            changed: true,
            next_decision_at: Time(0),
        }
    }

    /// Rebuilds the state from a ledger, as a new leader does. Keeps what upstreams announced
    /// before.
    pub fn rebuild(&mut self, now: Time, ledger: &Ledger) {
        self.queue = Queue::default();
        self.health = UpstreamHealth::default();
        self.abort_requested_at.clear();
        for job in ledger.jobs().filter(|job| job.state.is_queued()) {
            self.queue.insert(job);
        }
        for name in ledger.drained() {
            self.pool.update(now, name, |record| record.drained = true);
        }
        self.recount(now, ledger);
    }

    /// Applies new lists. Guaranteed parts that did not change keep their places and claims.
    fn apply_lists(&mut self, now: Time, lists: &Lists) {
        let next = GuaranteeRegistry::new(lists);
        for id in self.marks.outdated(&next) {
            self.assign_mark(now, &id, None);
            self.marks.remove(&id);
        }
        self.marks.add_missing(next);
        self.plans = plans_by_account(lists);
        self.lists = lists.clone();
        self.marks_need_assignment = true;
    }

    /// Recomputes all allocations, claims and guaranteed capacity from the ledger.
    fn recount(&mut self, now: Time, ledger: &Ledger) {
        let names: Vec<UpstreamName> =
            self.pool.upstreams().map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.pool.update(now, name, UpstreamRecord::clear);
        }
        self.allocations.clear();
        self.usage.clear();
        self.pending_claims.clear();
        self.reservations.clear();
        self.marks = GuaranteeRegistry::new(ledger.lists());
        self.plans = plans_by_account(ledger.lists());
        self.lists = ledger.lists().clone();
        for (mark, upstream) in ledger.marks() {
            self.assign_mark(now, mark, Some(upstream.clone()));
        }
        for job in ledger.jobs() {
            if let Some(attempt) = job.state.attempt() {
                self.record_allocation(now, &job.spec, attempt);
            }
            if let hg_model::JobState::Running(lifecycle) = &job.state
                && lifecycle.state().stop().is_some()
            {
                self.set_stopping(&job.spec.id, true);
            }
        }
        for name in &names {
            self.pool.remove_if_unused(name);
        }
        self.marks_need_assignment = true;
        self.changed = true;
    }

    /// Records a heartbeat of an upstream. Returns whether it changed anything but the time of
    /// contact.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: &UpstreamHeartbeat) -> bool {
        let changed = self.pool.record_heartbeat(now, heartbeat);
        if changed {
            self.marks_need_assignment = true;
            self.changed = true;
        }
        changed
    }

    /// Records that an upstream refused a start or could not be reached: it gets no new work for a
    /// short time.
    ///
    /// Otherwise a job could use up all its attempts on an upstream that has just crashed.
    pub fn mark_suspect(&mut self, now: Time, name: &UpstreamName) {
        if self.pool.upstream(name).is_some() {
            self.suspects.insert(name.clone(), now.after(SUSPECT_PERIOD));
            self.pool.update(now, name, |record| record.suspect = true);
        }
    }

    /// Records that an upstream is unreachable.
    pub fn mark_unreachable(&mut self, now: Time, name: &UpstreamName) {
        self.pool.mark_unreachable(now, name);
        self.marks_need_assignment = true;
        self.changed = true;
    }

    /// Applies an effect of a command on the ledger.
    pub fn apply_effect(&mut self, now: Time, ledger: &Ledger, effect: &Effect) {
        self.changed = true;
        match effect {
            Effect::Queued(id) => {
                if let Some(job) = ledger.job(id) {
                    self.queue.insert(job);
                }
            }
            Effect::Dequeued(id) => self.unqueue(now, id),
            Effect::LeasesTaken { job, attempt } => {
                if let Some(job) = ledger.job(job) {
                    self.record_allocation(now, &job.spec, attempt);
                }
            }
            Effect::Stopping { job, .. } => self.set_stopping(job, true),
            Effect::LeasesReleased { job, attempt, result } => {
                self.release_allocation(now, job);
                self.update_health(now, job, attempt, result.as_ref());
            }
            Effect::Lists => self.apply_lists(now, ledger.lists()),
            Effect::MarkAssigned(id) => self.assign_mark(now, id, ledger.marks().get(id).cloned()),
            Effect::DrainChanged(name) => {
                let drained = ledger.drained().contains(name);
                self.pool.update(now, name, |record| record.drained = drained);
                self.pool.remove_if_unused(name);
                self.marks_need_assignment = true;
            }
            Effect::Committed { .. }
            | Effect::Finished { .. }
            | Effect::HomeChanged(_)
            | Effect::Workflow(_) => {}
        }
    }

    /// Reverts what a decision assumed if its command was stale and did not take effect.
    pub fn revert_assumed(
        &mut self,
        now: Time,
        ledger: &Ledger,
        command: &Command,
        outcome: &Outcome,
    ) {
        if *outcome != Outcome::Stale {
            return;
        }
        self.changed = true;
        match command {
            Command::Place { job, attempt, .. } => {
                let ours = self.allocations.get(job).is_some_and(|a| a.attempt == attempt.number);
                if ours {
                    self.release_allocation(now, job);
                }
                self.requeue_if_waiting(ledger, job);
            }
            Command::Stop { job, .. } => self.set_stopping(job, false),
            Command::GiveUp { job, .. } => self.requeue_if_waiting(ledger, job),
            _ => {}
        }
    }

    /// Excludes a waiting job from placement while its body is not available.
    pub fn park(&mut self, now: Time, id: &JobId) {
        self.unqueue(now, id);
    }

    /// Makes a parked job eligible for placement again.
    pub fn unpark(&mut self, ledger: &Ledger, id: &JobId) {
        self.changed = true;
        self.requeue_if_waiting(ledger, id);
    }

    fn requeue_if_waiting(&mut self, ledger: &Ledger, id: &JobId) {
        if let Some(job) = ledger.job(id).filter(|job| job.state.is_queued()) {
            self.queue.insert(job);
        }
    }

    pub(crate) fn unqueue(&mut self, now: Time, id: &JobId) {
        self.queue.remove(id);
        self.drop_pending_claim(now, id);
        self.drop_reservation(now, id);
    }

    pub(crate) fn set_stopping(&mut self, id: &JobId, stopping: bool) {
        if let Some(allocation) = self.allocations.get_mut(id) {
            allocation.stopping = stopping;
        }
    }

    fn update_health(
        &mut self,
        now: Time,
        job: &JobId,
        attempt: &Attempt,
        result: Option<&AttemptResult>,
    ) {
        let quarantine = Duration::from_millis(self.cfg.quarantine_ms);
        if let Some(AttemptResult::NeverStarted { upstream }) = result {
            self.mark_suspect(now, upstream);
        }
        match result {
            Some(
                AttemptResult::Failed { upstream, .. }
                | AttemptResult::NeverStarted { upstream }
                | AttemptResult::Lost { upstream },
            ) => {
                let after = self.cfg.quarantine_after;
                if self.health.record_failure(now, upstream, job, after, quarantine) {
                    self.pool.update(now, upstream, |record| record.quarantined = true);
                    self.marks_need_assignment = true;
                }
            }
            Some(AttemptResult::Answered { .. }) => {
                for member in &attempt.members {
                    self.health.record_success(&member.upstream);
                    self.pool.update(now, &member.upstream, |record| record.quarantined = false);
                }
            }
            Some(AttemptResult::Stopped) | None => {}
        }
    }
}

impl UpstreamRecord {
    /// Resets the used, guaranteed and reserved capacity and the jobs.
    fn clear(&mut self) {
        self.used = Capacity::default();
        self.guaranteed = Capacity::default();
        self.non_preemptible = Capacity::default();
        self.reserved_for_claims = Capacity::default();
        self.reserved_for = None;
        self.jobs.clear();
    }
}

fn plans_by_account(lists: &Lists) -> BTreeMap<AccountName, Plan> {
    let plan_of = |name: &AccountName| lists.plan_of(name).cloned();
    lists.accounts.iter().filter_map(|a| Some((a.name.clone(), plan_of(&a.name)?))).collect()
}
