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

/// How long a suspect that found no empty upstream then waits for one without another suspect.
const APART_WAIT_MAX: Duration = Duration::from_secs(20);

/// Until when a suspect is kept apart from others at least.
pub(crate) fn apart_until(wait_until: Time) -> Time {
    wait_until.after(APART_WAIT_MAX)
}

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
    /// How many upstreams may be occupied or left to drain.
    max: usize,
    /// How many of them still may.
    budget: usize,
    /// The upstreams that suspects share with other work since this round.
    shared: BTreeSet<UpstreamName>,
}

impl<'a, 'b> Isolation<'a, 'b> {
    pub(crate) fn new(
        now: Time,
        ledger: &'b WorkflowLedger,
        guard: &'b CrashGuard<'a>,
        capacity: &CapacityMap<'_>,
    ) -> Self {
        let isolated = guard.isolated().len();
        let max = isolated_max(capacity.candidates().count() + isolated);
        Self {
            now,
            ledger,
            guard,
            max,
            budget: max.saturating_sub(isolated),
            shared: BTreeSet::new(),
        }
    }

    /// Places the suspects of a step, and excludes the upstreams that they get or wait for from the round.
    pub(crate) fn place(
        &mut self,
        step: &ReadyStep<'_>,
        wait_until: Time,
        capacity: &mut CapacityMap<'_>,
    ) -> BTreeMap<u32, UpstreamName> {
        let mut scopes = self.scopes(step, capacity);
        if self.now < wait_until {
            self.prefer_others(step, &mut scopes, capacity);
        }
        let mut placed = BTreeMap::new();
        for scope in &scopes {
            placed = if step.spec.gang {
                self.place_gang(step, scope, false, capacity)
            } else {
                self.place_each(step, scope, false, capacity)
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

    /// Places the suspects of a step that have waited too long for empty upstreams where no other suspect runs.
    pub(crate) fn place_apart(
        &mut self,
        step: &ReadyStep<'_>,
        capacity: &CapacityMap<'_>,
    ) -> BTreeMap<u32, UpstreamName> {
        let mut placed = BTreeMap::new();
        for scope in &self.scopes(step, capacity) {
            placed = if step.spec.gang {
                self.place_gang(step, scope, true, capacity)
            } else {
                self.place_each(step, scope, true, capacity)
            };
            if placed.len() == step.waiting.len() {
                break;
            }
        }
        self.shared.extend(placed.values().cloned());
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

    /// Removes the upstreams that crashed under the step, provided that there are enough others: a further crash there would
    /// not show whether the upstream or the task is the cause.
    fn prefer_others(
        &self,
        step: &ReadyStep<'_>,
        scopes: &mut Vec<Vec<Position>>,
        capacity: &CapacityMap<'_>,
    ) {
        let crashes = self.ledger.crashes().tasks();
        let of_step = crashes.iter().filter(|(task, _)| task.step == step.id);
        let known: BTreeSet<&UpstreamName> =
            of_step.flat_map(|(_, crashes)| crashes).map(|crash| &crash.upstream).collect();
        let is_other = |position: &Position| !known.contains(&capacity.at(*position).report.name);
        let others = scopes.iter().map(|scope| scope.iter().copied().filter(is_other).collect());
        let others: Vec<Vec<Position>> =
            others.filter(|scope: &Vec<_>| !scope.is_empty()).collect();
        if others.iter().any(|scope| scope.len() >= step.waiting.len()) {
            *scopes = others;
        }
    }

    /// Upstreams with few runs come first; among them those that have not crashed lately.
    fn preference(&self, candidate: &Candidate<'_>) -> (usize, bool) {
        (self.runs_on(candidate), self.guard.has_crashed(&candidate.report.name))
    }

    /// Whether a suspect may start on an upstream, which it may have to share, though not with another one.
    fn is_usable(&self, candidate: &Candidate<'_>, may_share: bool) -> bool {
        let name = &candidate.report.name;
        let has_suspect = self.guard.occupied().contains(name) || self.shared.contains(name);
        let is_kept = candidate.held != ResourceVector::default();
        let is_empty = self.runs_on(candidate) == 0 && !is_kept;
        if may_share { !has_suspect } else { is_empty }
    }

    fn runs_on(&self, candidate: &Candidate<'_>) -> usize {
        self.ledger.occupancy().runs(&candidate.report.name).count()
    }

    /// Each task gets an upstream of its own. While the cause is looked for in a workflow, one task is tried at a time.
    fn place_each(
        &self,
        step: &ReadyStep<'_>,
        able: &[Position],
        may_share: bool,
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
            self.is_usable(candidate, may_share)
                && step.spec.claim().fits(&candidate.available())
                && is_below_upstream_limit(step, &counts, &candidate.report.name)
        });
        let names = usable.map(|candidate| candidate.report.name.clone());
        let count = if may_share { count } else { count.min(self.budget) };
        step.waiting.iter().copied().zip(names.take(count)).collect()
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
        // A gang that needs more than the share of suspects would never get it; it starts while no other is isolated.
        let is_wide = upstreams.len() > self.max && self.budget == self.max;
        let is_within_budget = may_share || upstreams.len() <= self.budget || is_wide;
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
