//! Where suspects of a crash start: on upstreams on which nothing else runs.
//!
//! Handles suspects on a busy pool, where no upstream is empty by itself: some upstreams are left to drain for them. A
//! suspect that has waited too long starts like any other task, since it may well be innocent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{ResourceVector, StepId, TaskId, Time, UpstreamName};

use super::capacity_map::{Candidate, CapacityMap, Position};
use super::crash_guard::{CrashGuard, Suspicion};
use super::placement::{is_below_upstream_limit, running_counts, scopes};
use super::ready_steps::ReadyStep;

/// The share of a pool's upstreams that suspects may occupy or leave to drain, in percent.
const SHARE_MAX_PERCENT: usize = 25;
/// The same in a small pool, in upstreams.
const SHARE_MIN: usize = 2;
/// How long a task waits for an empty upstream after its first, its second and each later crash: the more there were, the less
/// should run beside it, and on an upstream that it shares another one would show nothing.
const EMPTY_WAIT_MAX: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(8), Duration::from_secs(20)];

/// How many upstreams of a pool may be kept for suspects.
pub(crate) fn isolated_max(upstreams: usize) -> usize {
    (upstreams * SHARE_MAX_PERCENT).div_ceil(100).max(SHARE_MIN)
}

/// The suspects among the steps that may start.
#[derive(Debug, Default)]
pub(crate) struct Suspects<'a> {
    /// Steps with only the tasks that are to be isolated, with the time until which they wait for an empty upstream.
    pub(crate) steps: Vec<(ReadyStep<'a>, Time)>,
    /// Gangs of which a member may have crashed its upstream.
    pub(crate) doubtful: Vec<StepId>,
    /// The tasks that are given up.
    pub(crate) guilty: Vec<TaskId>,
}

/// Takes the suspects out of the steps that may start; steps of which nothing is left are removed.
pub(crate) fn take_suspects<'a>(
    guard: &CrashGuard<'a>,
    ledger: &WorkflowLedger,
    ready: &mut Vec<ReadyStep<'a>>,
) -> Suspects<'a> {
    let mut suspects = Suspects::default();
    if guard.is_idle() {
        return suspects;
    }
    for step in ready.iter_mut().filter(|step| guard.is_affected(&step.id)) {
        let suspicion = |index: u32| guard.suspicion(&step.id, index, step.spec.gang);
        let judged: Vec<(u32, Suspicion)> =
            step.waiting.iter().map(|index| (*index, suspicion(*index))).collect();
        let of = |wanted: Suspicion| {
            judged.iter().filter(move |(_, s)| *s == wanted).map(|(index, _)| *index)
        };
        let guilty = of(Suspicion::Guilty)
            .map(|index| TaskId { step: step.id.clone(), index })
            .max_by_key(|task| ledger.crashes().of(task).len());
        suspects.guilty.extend(guilty);
        if step.spec.gang && of(Suspicion::Doubtful).next().is_some() {
            suspects.doubtful.push(step.id.clone());
        }
        let isolated: Vec<u32> = of(Suspicion::Suspect).collect();
        if !isolated.is_empty() {
            let crashes = ledger.crashes().tasks().iter().filter(|(task, _)| task.step == step.id);
            let until = crashes.filter_map(|(_, crashes)| {
                let wait = EMPTY_WAIT_MAX[crashes.len().clamp(1, EMPTY_WAIT_MAX.len()) - 1];
                Some(crashes.last()?.at.after(wait))
            });
            let until = until.max().unwrap_or_default();
            suspects.steps.push((ReadyStep { waiting: isolated, ..step.clone() }, until));
        }
        step.waiting = of(Suspicion::None).chain(of(Suspicion::Doubtful)).collect();
    }
    let failing: BTreeSet<_> = suspects.guilty.iter().map(|task| task.step.job.clone()).collect();
    ready.retain(|step| !step.waiting.is_empty() && !failing.contains(&step.id.job));
    suspects.steps.retain(|(step, _)| !failing.contains(&step.id.job));
    suspects
}

/// The placement of the suspects of one round.
pub(crate) struct Isolation<'a, 'b> {
    pub(crate) now: Time,
    pub(crate) ledger: &'b WorkflowLedger,
    pub(crate) guard: &'b CrashGuard<'a>,
    /// How many upstreams may still be occupied or left to drain.
    budget: usize,
}

impl<'a, 'b> Isolation<'a, 'b> {
    pub(crate) fn new(
        now: Time,
        ledger: &'b WorkflowLedger,
        guard: &'b CrashGuard<'a>,
        capacity: &CapacityMap<'_>,
    ) -> Self {
        let isolated = guard.isolated().len();
        let budget = isolated_max(capacity.candidates().count() + isolated);
        Self { now, ledger, guard, budget: budget.saturating_sub(isolated) }
    }

    /// Places the suspects of a step, and excludes the upstreams that they get or wait for from the round.
    pub(crate) fn place(
        &mut self,
        step: &ReadyStep<'_>,
        wait_until: Time,
        capacity: &mut CapacityMap<'_>,
    ) -> BTreeMap<u32, UpstreamName> {
        let scopes = self.scopes(step, capacity);
        let mut placed = BTreeMap::new();
        for scope in &scopes {
            placed = if step.spec.gang {
                self.place_gang(step, scope, false, capacity)
            } else {
                self.place_each(step, scope, capacity)
            };
            if placed.len() == step.waiting.len() {
                break;
            }
        }
        let is_draining = placed.len() < step.waiting.len() && self.now < wait_until;
        if let Some(scope) = scopes.first().filter(|_| is_draining) {
            self.drain(scope, step.waiting.len() - placed.len(), &placed, capacity);
        }
        let used: BTreeSet<&UpstreamName> = placed.values().collect();
        self.budget = self.budget.saturating_sub(used.len());
        capacity.exclude(used.into_iter());
        placed
    }

    /// Places a gang of which a member may have crashed its upstream where little else runs, if that is possible at once.
    pub(crate) fn place_doubtful(
        &self,
        step: &ReadyStep<'_>,
        capacity: &CapacityMap<'_>,
    ) -> Option<BTreeMap<u32, UpstreamName>> {
        let mut scopes = self.scopes(step, capacity).into_iter();
        scopes.find_map(|scope| {
            let placed = self.place_gang(step, &scope, true, capacity);
            (placed.len() == step.waiting.len()).then_some(placed)
        })
    }

    /// The upstreams to try for a step, the best scope first, each ordered by preference.
    fn scopes(&self, step: &ReadyStep<'_>, capacity: &CapacityMap<'_>) -> Vec<Vec<Position>> {
        let scopes = scopes(self.now, step, capacity).into_iter().map(|scope| scope.members);
        let by_preference = |mut members: Vec<Position>| {
            members.sort_by_cached_key(|position| self.preference(capacity.at(*position)));
            members
        };
        scopes.map(by_preference).collect()
    }

    /// Upstreams with few runs come first; among them those that have not crashed lately.
    fn preference(&self, candidate: &Candidate<'_>) -> (usize, bool) {
        (self.runs_on(candidate), self.guard.has_crashed(&candidate.report.name))
    }

    /// Whether a suspect may start on an upstream, which doubtful gangs may share.
    fn is_usable(&self, candidate: &Candidate<'_>, may_share: bool) -> bool {
        let is_kept = candidate.held != ResourceVector::default();
        may_share || (self.runs_on(candidate) == 0 && !is_kept)
    }

    fn runs_on(&self, candidate: &Candidate<'_>) -> usize {
        self.ledger.occupancy().runs(&candidate.report.name).count()
    }

    /// Each task gets an upstream of its own. While the cause is looked for in a workflow, one task is tried at a time.
    fn place_each(
        &self,
        step: &ReadyStep<'_>,
        able: &[Position],
        capacity: &CapacityMap<'_>,
    ) -> BTreeMap<u32, UpstreamName> {
        let one_at_a_time = self.guard.has_evidence(&step.id.job);
        let is_tried = one_at_a_time
            && step.record.is_some_and(|record| {
                let mut tasks = (0_u32..).zip(&record.tasks);
                tasks.any(|(index, task)| {
                    let is_running = matches!(task.state, hg_ledger::TaskState::Running { .. });
                    is_running && self.guard.suspicion(&step.id, index, false) > Suspicion::None
                })
            });
        let count = match (is_tried, one_at_a_time) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => step.waiting.len(),
        };
        let counts = running_counts(step);
        let usable = able.iter().map(|position| capacity.at(*position)).filter(|candidate| {
            self.is_usable(candidate, false)
                && step.spec.claim().fits(&candidate.available())
                && is_below_upstream_limit(step, &counts, &candidate.report.name)
        });
        let names = usable.map(|candidate| candidate.report.name.clone());
        step.waiting.iter().copied().zip(names.take(count.min(self.budget))).collect()
    }

    /// The members share upstreams with each other only.
    fn place_gang(
        &self,
        step: &ReadyStep<'_>,
        able: &[Position],
        may_share: bool,
        capacity: &CapacityMap<'_>,
    ) -> BTreeMap<u32, UpstreamName> {
        let claim = step.spec.claim();
        let per_upstream_max = step.spec.per_upstream_max.unwrap_or(u32::MAX);
        let mut placed = BTreeMap::new();
        let mut waiting = step.waiting.iter().copied();
        let candidates = able.iter().map(|position| capacity.at(*position));
        for candidate in candidates.filter(|candidate| self.is_usable(candidate, may_share)) {
            let fits = candidate.available().count_of(&claim, per_upstream_max);
            for index in waiting.by_ref().take(usize::try_from(fits).unwrap_or(usize::MAX)) {
                placed.insert(index, candidate.report.name.clone());
            }
        }
        let upstreams: BTreeSet<&UpstreamName> = placed.values().collect();
        let is_within_budget = may_share || upstreams.len() <= self.budget;
        if placed.len() < step.waiting.len() || !is_within_budget {
            placed.clear();
        }
        placed
    }

    /// Lets the upstreams with the fewest runs drain for suspects that found no empty one.
    fn drain(
        &mut self,
        able: &[Position],
        count: usize,
        placed: &BTreeMap<u32, UpstreamName>,
        capacity: &mut CapacityMap<'_>,
    ) {
        let names = able.iter().map(|position| capacity.at(*position).report.name.clone());
        let others = names.filter(|name| !placed.values().any(|used| used == name));
        let draining: Vec<UpstreamName> = others.take(count.min(self.budget)).collect();
        self.budget = self.budget.saturating_sub(draining.len());
        capacity.exclude(draining.iter());
    }
}
