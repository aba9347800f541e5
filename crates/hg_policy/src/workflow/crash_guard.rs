//! Which tasks are suspected of crashing their upstreams, and which of them are given up.
//!
//! Handles a task that crashes each upstream that starts it: without a limit it would take one upstream after the other, with
//! all that runs there. What else ran there is innocent, and so is everything on upstreams that crash by themselves, are cut
//! off, or lose their power together. So a suspect runs alone on its upstream, and each crash there is weighed by how likely
//! it was without the task, given how long the task ran and how often other upstreams crash without a known cause (a
//! sequential probability ratio test, Wald 1945). It is given up once chance is no explanation any more.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{ExposedRun, TaskCrash, TaskState, UpstreamCrash, WorkflowLedger};
use hg_model::{Incarnation, JobId, RunNumber, StepId, TaskId, Time, UpstreamName};

use super::isolation::isolated_max;

/// The evidence from which on a task is given up: the logarithm of how unlikely its crashes are by chance, here one in a
/// million.
const EVIDENCE_MIN: f64 = 13.8;
/// With fewer crashes no task is given up, whatever their evidence.
const CRASHES_MIN: usize = 2;
/// The evidence of a single crash at most, so that one crash never suffices.
const EVIDENCE_PER_CRASH_MAX: f64 = 8.0;
/// The same if the task was not alone there, although the others are known to be innocent by now.
const EVIDENCE_BESIDE_OTHERS_MAX: f64 = 4.0;
/// The part of a crash's evidence that counts if the upstream never confirmed the start.
const UNCONFIRMED_PART: f64 = 0.5;
/// The evidence from which on the tasks of a workflow are tried one at a time.
const EVIDENCE_OF_ONE: f64 = 4.0;
/// A task that has been in this many crashes is a likely cause of each of them.
const LIKELY_CAUSE_CRASHES: usize = 3;
/// After this number of further starts, of which the last one ended with a crash too, it counts as one with many crashes.
const STARTS_AFTER_LIKELY: u32 = 2;
/// After this number of crashes, and no run that ended otherwise, less evidence suffices.
const SEVERAL_CRASHES: usize = 4;
/// That evidence.
const EVIDENCE_AFTER_SEVERAL: f64 = 8.0;
/// The same from this number of crashes on.
const MANY_CRASHES: usize = 5;
/// That evidence.
const EVIDENCE_AFTER_MANY: f64 = 2.5;
/// How often an upstream crashes by itself, each second, even if none was seen to: once in an hour.
const CRASH_RATE_MIN: f64 = 1.0 / 3_600.0;
/// Crashes of other upstreams within this time before and after one show how often they happen at present.
const RATE_SPAN: Duration = Duration::from_secs(5);
/// Crashes of any upstream within this time show how often they happen in general, and those of the same one how reliable it is.
const RELIABILITY_SPAN: Duration = Duration::from_secs(30);
/// A run counts as exposed for this long at least, since the time of a crash is not known exactly.
const EXPOSURE_MIN: Duration = Duration::from_millis(500);
/// Crashes within this time of each other may have a common cause, such as a loss of power: silence is noticed with the
/// delay of a listing.
const CORRELATED_WITHIN: Duration = Duration::from_millis(2_600);
/// That many other upstreams have to crash at the same time for a common cause to be likely.
const CORRELATED_MIN: u32 = 2;
/// That many make it likely even for a task that had just been started.
const CORRELATED_MANY: u32 = 5;
/// A task that was started that shortly before its upstream crashed is suspected even if other upstreams crashed too.
const JUST_STARTED: Duration = Duration::from_secs(1);
/// How long after its last crash a task is given up: other upstreams that crashed at the same time may be back by then.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// An upstream that crashes is back within this time as a rule. One that is silent for longer was cut off, or is gone.
const RESOLVED_AFTER: Duration = Duration::from_secs(6);
/// From this number of crashes on, a task starts only while no other upstream crashes.
const CALM_FROM_CRASHES: usize = 3;
/// How long no other upstream may have crashed for that.
const CALM_FOR: Duration = Duration::from_secs(3);
/// How long a task waits for that at most.
const CALM_WAIT_MAX: Duration = Duration::from_secs(10);
/// The same from [`MANY_CRASHES`] on.
const LAST_CALM_WAIT_MAX: Duration = Duration::from_secs(30);
/// A suspect that has worked for this long on an upstream does not crash it.
const CLEARED_AFTER: Duration = Duration::from_secs(30);
/// The same after a single crash, and for gangs that need more than the share of suspects.
const CLEARED_AFTER_FIRST: Duration = Duration::from_secs(3);

/// What is to be done with a task that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Suspicion {
    /// It starts like any other.
    None,
    /// It starts where little else runs, if that is possible at once: its upstream fell silent.
    Doubtful,
    /// It starts only where nothing else runs.
    Suspect,
    /// It does not start yet: the cause of its crashes is being determined.
    Pending,
    /// Its workflow fails.
    Guilty,
}

/// The members of a gang, or a task by itself.
#[derive(Debug)]
struct Members<'a> {
    job: &'a JobId,
    /// How many there are.
    width: u32,
    /// The crashes of each run that ended with any.
    runs: BTreeMap<RunNumber, Vec<&'a TaskCrash>>,
    /// The largest number of crashes of one of them.
    crashes_max: usize,
    /// The largest number of upstreams that fell silent under one of them and of which it is not known yet whether they
    /// crashed.
    unresolved: usize,
}

impl Members<'_> {
    /// Whether there were so many crashes, or starts after several of them, that there should be no further one.
    fn has_many_crashes(&self) -> bool {
        let third = self.runs.keys().nth(LIKELY_CAUSE_CRASHES - 1);
        let starts = third.zip(self.runs.keys().last()).map_or(0, |(third, last)| last.0 - third.0);
        self.runs.len() >= MANY_CRASHES || starts >= STARTS_AFTER_LIKELY
    }
}

/// The crash of an upstream, as far as it may explain others.
#[derive(Debug)]
struct Fact<'a> {
    crash: &'a UpstreamCrash,
    at: Time,
    /// Whether no known task is a likely cause.
    is_unexplained: bool,
}

/// The crashes of a ledger, judged at one time.
#[derive(Debug, Default)]
pub(crate) struct CrashGuard<'a> {
    now: Time,
    upstreams: u32,
    facts: Vec<Fact<'a>>,
    /// Upstreams that give no sign of life, with the time since when.
    silent: Vec<(&'a UpstreamName, &'a Time)>,
    /// The position of each crash among the facts.
    positions: BTreeMap<(&'a UpstreamName, Incarnation), usize>,
    /// The positions of the crashes that each workflow may have caused.
    own: BTreeMap<&'a JobId, Vec<usize>>,
    /// How many upstreams fell silent lately under each task of which it is not known yet whether they crashed.
    unresolved: BTreeMap<&'a TaskId, usize>,
    /// What is suspected, by step and task; a gang has one entry, for its first member.
    suspicions: BTreeMap<&'a StepId, BTreeMap<u32, Suspicion>>,
    /// The workflows of which a task has probably crashed an upstream.
    probable: BTreeSet<&'a JobId>,
    /// The upstreams on which a suspect runs.
    occupied: BTreeSet<&'a UpstreamName>,
    /// Those of them that get no other work.
    isolated: BTreeSet<&'a UpstreamName>,
}

/// Queries.
impl<'a> CrashGuard<'a> {
    /// Whether no task has to be judged.
    pub(crate) fn is_idle(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// The suspicion against a task. The members of a gang are judged together, since they only run together.
    pub(crate) fn suspicion(&self, step: &StepId, index: u32, is_gang: bool) -> Suspicion {
        let index = if is_gang { 0 } else { index };
        let of_step = self.suspicions.get(step);
        of_step.and_then(|tasks| tasks.get(&index).copied()).unwrap_or(Suspicion::None)
    }

    /// Whether some task of a step has to be judged.
    pub(crate) fn is_affected(&self, step: &StepId) -> bool {
        self.suspicions.contains_key(step)
    }

    /// Whether a task of the workflow has probably crashed an upstream.
    pub(crate) fn has_evidence(&self, job: &JobId) -> bool {
        self.probable.contains(job)
    }

    /// Whether an upstream has lately crashed at all.
    pub(crate) fn has_crashed(&self, upstream: &UpstreamName) -> bool {
        let is_recent = |fact: &Fact<'_>| self.now < fact.crash.at.after(RELIABILITY_SPAN);
        self.facts.iter().any(|fact| fact.crash.upstream == *upstream && is_recent(fact))
    }

    /// The upstreams on which a suspect runs: a further one there would hide which of them is the cause.
    pub(crate) const fn occupied(&self) -> &BTreeSet<&'a UpstreamName> {
        &self.occupied
    }

    /// The upstreams on which a suspect runs and which get no other work.
    pub(crate) const fn isolated(&self) -> &BTreeSet<&'a UpstreamName> {
        &self.isolated
    }

    /// Judges a task or a gang.
    fn judge(&self, members: &Members<'_>) -> Suspicion {
        let Members { job, runs, crashes_max, unresolved, .. } = members;
        if *unresolved > 0 && unresolved + runs.len() > 1 {
            return Suspicion::Pending;
        }
        let last = runs.values().flatten().max_by_key(|crash| crash.at);
        let Some(last) = last else {
            return if *unresolved > 0 { Suspicion::Doubtful } else { Suspicion::None };
        };
        // A start that its upstream never confirmed may not have happened.
        let is_confirmed = |crashes: &&Vec<&TaskCrash>| crashes.iter().any(|c| c.is_confirmed);
        let confirmed = runs.values().filter(is_confirmed).count();
        let evidence_min = if members.has_many_crashes() {
            EVIDENCE_AFTER_MANY
        } else if confirmed >= SEVERAL_CRASHES {
            EVIDENCE_AFTER_SEVERAL
        } else {
            EVIDENCE_MIN
        };
        if self.evidence(members) >= evidence_min && *crashes_max >= CRASHES_MIN {
            let is_settled = self.now >= last.at.after(SETTLED_AFTER);
            return if is_settled { Suspicion::Guilty } else { Suspicion::Pending };
        }
        let has_other_cause =
            |crash: &&TaskCrash| crash.is_bystander || self.has_common_cause(crash);
        if runs.len() < CALM_FROM_CRASHES && runs.values().flatten().all(has_other_cause) {
            return Suspicion::None;
        }
        let wait_max = if members.has_many_crashes() { LAST_CALM_WAIT_MAX } else { CALM_WAIT_MAX };
        let waits_for_calm = runs.len() >= CALM_FROM_CRASHES
            && self.now < last.at.after(wait_max)
            && !self.is_calm(job);
        if waits_for_calm { Suspicion::Pending } else { Suspicion::Suspect }
    }

    /// The logarithm of how unlikely the crashes are by chance. Those of a gang's members in one run may have one cause, and
    /// those of one upstream may be its own fault, unless there are many.
    fn evidence(&self, members: &Members<'_>) -> f64 {
        let counts_all = members.has_many_crashes();
        let mut counted = BTreeSet::new();
        let mut sum = 0.0;
        for crashes in members.runs.values() {
            let counting =
                crashes.iter().filter(|crash| counts_all || !counted.contains(&crash.upstream));
            let weighed = counting.map(|crash| (self.evidence_of(members, crash), &crash.upstream));
            if let Some((evidence, upstream)) = weighed.max_by(|a, b| a.0.total_cmp(&b.0)) {
                sum += evidence;
                counted.insert(upstream);
            }
        }
        sum
    }

    fn evidence_of(&self, members: &Members<'_>, crash: &TaskCrash) -> f64 {
        let position = self.positions.get(&(&crash.upstream, crash.incarnation));
        let found = position.map(|position| self.facts[*position].crash);
        let is_only_suspect = found.is_some_and(|found| {
            found.suspects.iter().all(|run| run.task.step.job == *members.job)
        });
        if !is_only_suspect {
            return 0.0;
        }
        let max = if crash.is_alone { EVIDENCE_PER_CRASH_MAX } else { EVIDENCE_BESIDE_OTHERS_MAX };
        let evidence = (-self.chance(members, crash).ln()).min(max);
        if crash.is_confirmed { evidence } else { evidence * UNCONFIRMED_PART }
    }

    /// The probability of a crash that the task did not cause, nor any other member of its gang.
    fn chance(&self, members: &Members<'_>, crash: &TaskCrash) -> f64 {
        let at = crash_time(crash.silent_since, crash.at);
        let exposure = at.since(crash.started_at).max(EXPOSURE_MIN).as_secs_f64();
        let (mut near, mut lately, mut here) = (0_u32, 0_u32, 0_u32);
        for other in self.noise(members.job) {
            let apart = at.since(other.at).max(other.at.since(at));
            let is_here = other.crash.upstream == crash.upstream;
            near += u32::from(!is_here && apart <= RATE_SPAN);
            lately += u32::from(!is_here && apart <= RELIABILITY_SPAN);
            here += u32::from(is_here && apart <= RELIABILITY_SPAN);
        }
        // What happens later than now is not known yet.
        let seen = |span: Duration| span + span.min(self.now.since(at));
        let per_second = |count: u32, span| f64::from(count) / seen(span).as_secs_f64();
        let upstreams = f64::from(self.upstreams);
        // If chance is the cause, the task's own crashes show how often they happen too.
        let own = u32::try_from(members.runs.len()).unwrap_or(u32::MAX);
        let lately = per_second(lately.saturating_add(own), RELIABILITY_SPAN);
        let of_others = per_second(near, RATE_SPAN).max(lately) / upstreams;
        let rate = of_others + per_second(here, RELIABILITY_SPAN) + CRASH_RATE_MIN;
        let single = -(-rate * exposure * f64::from(members.width)).exp_m1();
        let correlated = Self::correlated(crash, self.noise(members.job));
        let common =
            if correlated >= CORRELATED_MIN { f64::from(correlated) / upstreams } else { 0.0 };
        single.max(common).min(1.0)
    }

    /// The crashes of upstreams without a known cause, neither in this workflow nor in others.
    fn noise(&self, job: &JobId) -> impl Iterator<Item = &Fact<'a>> {
        let own = self.own.get(job).map_or(&[][..], Vec::as_slice);
        let facts = self.facts.iter().enumerate();
        let noise = facts.filter(move |(at, fact)| fact.is_unexplained && !own.contains(at));
        noise.map(|(_, fact)| fact)
    }

    fn is_calm(&self, job: &JobId) -> bool {
        self.noise(job).all(|fact| self.now >= fact.crash.at.after(CALM_FOR))
    }

    /// How many of some crashes happened to other upstreams at the same time, as far as is known.
    fn correlated<'b>(crash: &TaskCrash, facts: impl Iterator<Item = &'b Fact<'a>>) -> u32
    where
        'a: 'b,
    {
        let is_near = |other: &&Fact<'_>| match (other.crash.silent_since, crash.silent_since) {
            (Some(a), Some(b)) => a.since(b).max(b.since(a)) <= CORRELATED_WITHIN,
            // Crashes before a change of the leader, whose times are not known.
            (None, None) => true,
            _ => false,
        };
        let others = facts.filter(|other| other.crash.upstream != crash.upstream);
        u32::try_from(others.filter(is_near).count()).unwrap_or(u32::MAX)
    }

    /// Whether a crash probably has a cause outside of the task: other upstreams crashed at the same time, and the task had not
    /// just been started. Those on which tasks of the same workflow ran count too, since a loss of power takes many of a wide one.
    fn has_common_cause(&self, crash: &TaskCrash) -> bool {
        let is_just_started = crash.is_confirmed
            && crash.silent_since.is_some_and(|at| at.since(crash.started_at) <= JUST_STARTED);
        let unexplained = self.facts.iter().filter(|fact| fact.is_unexplained);
        let at = crash_time(crash.silent_since, crash.at);
        let is_silent_too = |(name, since): &&(&UpstreamName, &Time)| {
            let is_near = since.since(at).max(at.since(**since)) <= CORRELATED_WITHIN;
            is_near && !self.has_crashed(name)
        };
        let silent = self.silent.iter().filter(is_silent_too).count();
        let silent = u32::try_from(silent).unwrap_or(u32::MAX);
        let correlated = Self::correlated(crash, unexplained) + silent;
        correlated >= if is_just_started { CORRELATED_MANY } else { CORRELATED_MIN }
    }
}

/// Commands.
impl<'a> CrashGuard<'a> {
    /// Judges the tasks of a ledger that went through crashes.
    ///
    /// `silent` holds upstreams that give no sign of life, with the time since when: they may have crashed too.
    pub(crate) fn new(
        now: Time,
        ledger: &'a WorkflowLedger,
        silent: &'a BTreeMap<UpstreamName, Time>,
    ) -> Self {
        let crashes = ledger.crashes();
        let mut guard = Self { now, silent: silent.iter().collect(), ..Self::default() };
        if crashes.is_empty() {
            return guard;
        }
        guard.upstreams = u32::try_from(ledger.upstreams().len()).unwrap_or(u32::MAX).max(1);
        for crash in crashes.upstreams() {
            let is_likely_cause =
                |run: &ExposedRun| crashes.of(&run.task).len() >= LIKELY_CAUSE_CRASHES;
            let is_unexplained = !crash.is_explained && !crash.suspects.iter().any(is_likely_cause);
            let key = (&crash.upstream, crash.incarnation);
            guard.positions.insert(key, guard.facts.len());
            for run in &crash.suspects {
                let own = guard.own.entry(&run.task.step.job).or_default();
                if own.last() != Some(&guard.facts.len()) {
                    own.push(guard.facts.len());
                }
            }
            let at = crash_time(crash.silent_since, crash.at);
            guard.facts.push(Fact { crash, at, is_unexplained });
        }
        guard.record_unresolved(ledger);
        guard.judge_all(ledger);
        guard
    }

    /// Counts the upstreams that fell silent lately under each task. Those that fell silent together are not counted, unless the
    /// task had just been started.
    fn record_unresolved(&mut self, ledger: &'a WorkflowLedger) {
        let silenced = ledger.crashes().silenced();
        let recent: Vec<_> =
            silenced.filter(|(_, since, _)| self.now < since.after(RESOLVED_AFTER)).collect();
        if recent.is_empty() {
            return;
        }
        let mut silent: BTreeMap<&UpstreamName, Time> =
            self.silent.iter().map(|(name, since)| (*name, **since)).collect();
        silent.extend(recent.iter().map(|(name, since, _)| (*name, *since)));
        let mut times: Vec<Time> = silent.into_values().collect();
        times.sort_unstable();
        for (_, since, runs) in recent {
            let first = times.partition_point(|at| at.after(CORRELATED_WITHIN) < since);
            let end = times.partition_point(|at| *at <= since.after(CORRELATED_WITHIN));
            // The upstream itself is one of them.
            let others = end - first - 1;
            for run in runs {
                if others < CORRELATED_MIN as usize || since.since(run.since) <= JUST_STARTED {
                    *self.unresolved.entry(&run.task).or_insert(0) += 1;
                }
            }
        }
    }

    fn judge_all(&mut self, ledger: &'a WorkflowLedger) {
        let mut by_step: BTreeMap<&'a StepId, BTreeSet<u32>> = BTreeMap::new();
        for task in ledger.crashes().tasks().keys().chain(self.unresolved.keys().copied()) {
            by_step.entry(&task.step).or_default().insert(task.index);
        }
        let mut candidates = Vec::new();
        for (step, indices) in by_step {
            let Some(spec) = ledger.step_spec(step) else { continue };
            let units: Vec<Vec<u32>> = if spec.gang {
                vec![indices.into_iter().collect()]
            } else {
                indices.into_iter().map(|index| vec![index]).collect()
            };
            for unit in units {
                let width = if spec.gang { spec.tasks } else { 1 };
                let members = self.members(ledger, step, &unit, width);
                let suspicion = self.judge(&members);
                if self.evidence(&members) >= EVIDENCE_OF_ONE {
                    self.probable.insert(&step.job);
                }
                if suspicion >= Suspicion::Suspect {
                    let index = if spec.gang { None } else { unit.first() };
                    let is_wide = width as usize > isolated_max(ledger.upstreams().len());
                    let is_first = members.runs.len() <= 1;
                    let cleared_after =
                        if is_first || is_wide { CLEARED_AFTER_FIRST } else { CLEARED_AFTER };
                    let upstreams = self.upstreams_of(ledger, step, index, cleared_after);
                    let has_company = upstreams.iter().any(|name| {
                        ledger.occupancy().runs(name).any(|(task, _)| task.step.job != step.job)
                    });
                    candidates.push((has_company, Reverse(members.runs.len()), upstreams));
                }
                let index = if spec.gang { 0 } else { unit[0] };
                self.suspicions.entry(step).or_default().insert(index, suspicion);
            }
        }
        // Those that are alone so far stay so; among them, those with the most crashes come first. A gang that needs more
        // than the share of suspects has it to itself.
        let max = isolated_max(ledger.upstreams().len());
        candidates.sort_by_key(|(has_company, runs, upstreams)| {
            (upstreams.len() > max, *has_company, *runs)
        });
        for (_, _, upstreams) in candidates {
            self.occupied.extend(&upstreams);
            if self.isolated.is_empty() || self.isolated.len() + upstreams.len() <= max {
                self.isolated.extend(upstreams);
            }
        }
    }

    /// The members of a step with these indices; the others went through no crash.
    fn members(
        &self,
        ledger: &'a WorkflowLedger,
        step: &'a StepId,
        indices: &[u32],
        width: u32,
    ) -> Members<'a> {
        let mut members =
            Members { job: &step.job, width, runs: BTreeMap::new(), crashes_max: 0, unresolved: 0 };
        for index in indices {
            let task = TaskId { step: step.clone(), index: *index };
            let crashes = ledger.crashes().of(&task);
            members.crashes_max = members.crashes_max.max(crashes.len());
            let unresolved = self.unresolved.get(&task).copied().unwrap_or(0);
            members.unresolved = members.unresolved.max(unresolved);
            for crash in crashes {
                members.runs.entry(crash.run).or_default().push(crash);
            }
        }
        members
    }

    /// The upstreams on which a suspect runs that has not been cleared: one task of a step, or all members of a gang.
    fn upstreams_of(
        &self,
        ledger: &'a WorkflowLedger,
        step: &StepId,
        index: Option<&u32>,
        cleared_after: Duration,
    ) -> BTreeSet<&'a UpstreamName> {
        let mut upstreams = BTreeSet::new();
        let Some(record) = ledger.step_record(step) else { return upstreams };
        for (number, task) in (0_u32..).zip(&record.tasks) {
            let TaskState::Running { upstream } = &task.state else { continue };
            let id = TaskId { step: step.clone(), index: number };
            let open = ledger.occupancy().get(upstream, &id);
            let is_young = open.is_some_and(|o| self.now < o.since.after(cleared_after));
            if is_young && index.is_none_or(|index| *index == number) {
                upstreams.insert(upstream);
            }
        }
        upstreams
    }
}

/// When an upstream crashed, as far as is known.
const fn crash_time(silent_since: Option<Time>, recorded_at: Time) -> Time {
    match silent_since {
        Some(at) => at,
        None => recorded_at,
    }
}
