//! Which tasks are suspected of crashing their upstreams, and which of them are given up.
//!
//! Handles a task that crashes each upstream that starts it: without a limit it would take one upstream after the other, with
//! all that runs there. What else ran there is innocent, and so is everything on upstreams that crash by themselves, are cut
//! off, or lose their power together. So a suspect runs alone on its upstream, and each crash there is weighed by how likely
//! it was without the task, given how long the task ran and how often other upstreams crash without a known cause (a
//! sequential probability ratio test, Wald 1945). It is given up once chance is no explanation any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{Crashes, ExposedRun, TaskCrash, TaskState, UpstreamCrash, WorkflowLedger};
use hg_model::{JobId, RunNumber, StepId, TaskId, Time, UpstreamName};

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
/// Crashes within this time of each other may have a common cause, such as a loss of power.
const CORRELATED_WITHIN: Duration = Duration::from_secs(1);
/// That many other upstreams have to crash at the same time for a common cause to be likely.
const CORRELATED_MIN: u32 = 2;
/// A task that was started that shortly before its upstream crashed is suspected even if other upstreams crashed too.
const JUST_STARTED: Duration = Duration::from_secs(1);
/// How long after its last crash a task is given up: other upstreams that crashed at the same time may be back by then.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// After this time an upstream that fell silent has crashed and is back, or is gone for good: leases of runs on it are over.
const RESOLVED_AFTER: Duration = Duration::from_secs(12);
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
#[derive(Debug, Clone, Copy)]
struct Members {
    /// How many there are.
    width: u32,
    /// The largest number of crashes of one of them.
    crashes_max: usize,
    /// The largest number of upstreams that fell silent under one of them and of which it is not known yet whether they
    /// crashed.
    unresolved: usize,
}

/// The crashes of a ledger, seen at one time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashGuard<'a> {
    now: Time,
    ledger: &'a WorkflowLedger,
}

impl<'a> CrashGuard<'a> {
    pub(crate) const fn new(now: Time, ledger: &'a WorkflowLedger) -> Self {
        Self { now, ledger }
    }

    const fn crashes(&self) -> &'a Crashes {
        self.ledger.crashes()
    }

    /// Whether no task has to be judged.
    pub(crate) fn is_idle(&self) -> bool {
        self.crashes().is_empty()
    }

    /// The suspicion against a task. The members of a gang are judged together, since they only run together.
    pub(crate) fn suspicion(&self, step: &StepId, index: u32, is_gang: bool) -> Suspicion {
        let members = if is_gang {
            0..self.ledger.step_spec(step).map_or(0, |spec| spec.tasks)
        } else {
            index..index + 1
        };
        let members: Vec<TaskId> =
            members.map(|index| TaskId { step: step.clone(), index }).collect();
        let unresolved = members.iter().map(|task| self.unresolved(task)).max().unwrap_or(0);
        let crashes_max =
            members.iter().map(|task| self.crashes().of(task).len()).max().unwrap_or(0);
        let crashes = members.iter().flat_map(|task| self.crashes().of(task));
        let mut runs: BTreeMap<RunNumber, Vec<&TaskCrash>> = BTreeMap::new();
        for crash in crashes {
            runs.entry(crash.run).or_default().push(crash);
        }
        let width = u32::try_from(members.len()).unwrap_or(u32::MAX);
        self.judge(&step.job, &runs, Members { width, crashes_max, unresolved })
    }

    /// The steps of which some task has gone through a crash, or may have.
    pub(crate) fn affected_steps(&self) -> BTreeSet<&'a StepId> {
        let silenced = self.crashes().silenced_runs().map(|(_, run)| &run.task);
        self.crashes().tasks().keys().chain(silenced).map(|task| &task.step).collect()
    }

    /// How many upstreams fell silent under a task of which it is not known yet whether they crashed.
    fn unresolved(&self, task: &TaskId) -> usize {
        let is_own = |(at, run): &(Time, &ExposedRun)| {
            run.task == *task && self.now < at.after(RESOLVED_AFTER)
        };
        self.crashes().silenced_runs().filter(is_own).count()
    }

    /// Judges a task, or a gang, by its runs that ended with a crash.
    fn judge(
        &self,
        job: &JobId,
        runs: &BTreeMap<RunNumber, Vec<&TaskCrash>>,
        members: Members,
    ) -> Suspicion {
        let Members { width, crashes_max, unresolved } = members;
        if unresolved > 0 && unresolved + runs.len() > 1 {
            return Suspicion::Pending;
        }
        let last = runs.values().flatten().max_by_key(|crash| crash.at);
        let Some(last) = last else {
            return if unresolved > 0 { Suspicion::Doubtful } else { Suspicion::None };
        };
        let is_many = runs.len() >= MANY_CRASHES;
        let evidence_min = match runs.len() {
            MANY_CRASHES.. => EVIDENCE_AFTER_MANY,
            SEVERAL_CRASHES => EVIDENCE_AFTER_SEVERAL,
            _ => EVIDENCE_MIN,
        };
        let evidence: f64 =
            runs.values().map(|crashes| self.evidence_of_run(job, crashes, width)).sum();
        if evidence >= evidence_min && crashes_max >= CRASHES_MIN {
            let is_settled = self.now >= last.at.after(SETTLED_AFTER);
            return if is_settled { Suspicion::Guilty } else { Suspicion::Pending };
        }
        if runs.len() == 1 && (last.is_bystander || self.has_common_cause(job, last)) {
            return Suspicion::None;
        }
        let wait_max = if is_many { LAST_CALM_WAIT_MAX } else { CALM_WAIT_MAX };
        let waits_for_calm = runs.len() >= CALM_FROM_CRASHES
            && self.now < last.at.after(wait_max)
            && !self.is_calm(job);
        if waits_for_calm { Suspicion::Pending } else { Suspicion::Suspect }
    }

    /// The logarithm of how unlikely the crashes of one run are by chance. Those of a gang's members may have one cause.
    fn evidence_of_run(&self, job: &JobId, crashes: &[&TaskCrash], width: u32) -> f64 {
        crashes.iter().map(|crash| self.evidence_of(job, crash, width)).fold(0.0, f64::max)
    }

    fn evidence_of(&self, job: &JobId, crash: &TaskCrash, width: u32) -> f64 {
        let found = self.crashes().find(&crash.upstream, crash.incarnation);
        let is_only_suspect =
            found.is_some_and(|found| found.suspects.iter().all(|run| run.task.step.job == *job));
        if !is_only_suspect {
            return 0.0;
        }
        let max = if crash.is_alone { EVIDENCE_PER_CRASH_MAX } else { EVIDENCE_BESIDE_OTHERS_MAX };
        let evidence = (-self.chance(job, crash, width).ln()).min(max);
        if crash.is_confirmed { evidence } else { evidence * UNCONFIRMED_PART }
    }

    /// The probability of a crash that the task did not cause, or any other member of a gang of that width.
    fn chance(&self, job: &JobId, crash: &TaskCrash, width: u32) -> f64 {
        let at = crash_time(crash.silent_since, crash.at);
        let exposure = at.since(crash.started_at).max(EXPOSURE_MIN).as_secs_f64();
        let upstreams = u32::try_from(self.ledger.upstreams().len()).unwrap_or(u32::MAX).max(1);
        let (mut near, mut lately, mut here) = (0_u32, 0_u32, 0_u32);
        for other in self.noise(job) {
            let other_at = crash_time(other.silent_since, other.at);
            let apart = at.since(other_at).max(other_at.since(at));
            let is_here = other.upstream == crash.upstream;
            near += u32::from(!is_here && apart <= RATE_SPAN);
            lately += u32::from(!is_here && apart <= RELIABILITY_SPAN);
            here += u32::from(is_here && apart <= RELIABILITY_SPAN);
        }
        let per_second = |count: u32, span: Duration| f64::from(count) / (2.0 * span.as_secs_f64());
        // One more than was seen: a small pool that was calm so far need not stay so.
        let lately = per_second(lately + 1, RELIABILITY_SPAN);
        let of_others = per_second(near, RATE_SPAN).max(lately) / f64::from(upstreams);
        let rate = of_others + per_second(here, RELIABILITY_SPAN) + CRASH_RATE_MIN;
        let single = -(-rate * exposure * f64::from(width)).exp_m1();
        let correlated = self.correlated(job, crash);
        let common = if correlated >= CORRELATED_MIN {
            f64::from(correlated) / f64::from(upstreams)
        } else {
            0.0
        };
        single.max(common).min(1.0)
    }

    /// Whether a task of the workflow has probably crashed an upstream.
    pub(crate) fn has_evidence(&self, job: &JobId) -> bool {
        let of_job = self.crashes().tasks().iter().filter(|(task, _)| task.step.job == *job);
        let evidence = |crashes: &[TaskCrash]| {
            crashes.iter().map(|c| self.evidence_of(job, c, 1)).sum::<f64>()
        };
        of_job.into_iter().any(|(_, crashes)| evidence(crashes) >= EVIDENCE_OF_ONE)
    }

    /// Whether the crash of an upstream has no known cause: neither this workflow, nor a task that has been in many crashes or
    /// was given up.
    fn is_noise(&self, job: &JobId, crash: &UpstreamCrash) -> bool {
        let is_cause = |run: &ExposedRun| {
            run.task.step.job == *job || self.crashes().of(&run.task).len() >= LIKELY_CAUSE_CRASHES
        };
        !crash.is_explained && !crash.suspects.iter().any(is_cause)
    }

    fn noise(&self, job: &JobId) -> impl Iterator<Item = &'a UpstreamCrash> {
        self.crashes().upstreams().iter().filter(move |crash| self.is_noise(job, crash))
    }

    fn is_calm(&self, job: &JobId) -> bool {
        self.noise(job).all(|crash| self.now >= crash.at.after(CALM_FOR))
    }

    /// How many other upstreams crashed at the same time, as far as is known.
    fn correlated(&self, job: &JobId, crash: &TaskCrash) -> u32 {
        let is_near = |other: &&UpstreamCrash| match (other.silent_since, crash.silent_since) {
            (Some(a), Some(b)) => a.since(b).max(b.since(a)) <= CORRELATED_WITHIN,
            // Crashes before a change of the leader, whose times are not known.
            (None, None) => true,
            _ => false,
        };
        let others = self.noise(job).filter(|other| other.upstream != crash.upstream);
        u32::try_from(others.filter(is_near).count()).unwrap_or(u32::MAX)
    }

    /// Whether a crash probably has a cause outside of the task.
    fn has_common_cause(&self, job: &JobId, crash: &TaskCrash) -> bool {
        let is_just_started =
            crash.silent_since.is_some_and(|at| at.since(crash.started_at) <= JUST_STARTED);
        !is_just_started && self.correlated(job, crash) >= CORRELATED_MIN
    }

    /// Whether an upstream has lately crashed at all.
    pub(crate) fn has_crashed(&self, upstream: &UpstreamName) -> bool {
        let is_recent = |crash: &UpstreamCrash| self.now < crash.at.after(RELIABILITY_SPAN);
        let crashes = self.crashes().upstreams().iter();
        crashes.into_iter().any(|crash| crash.upstream == *upstream && is_recent(crash))
    }

    /// The upstreams on which a suspect runs, which get no other work.
    pub(crate) fn isolated(&self) -> BTreeSet<&'a UpstreamName> {
        let suspects = self.crashes().tasks().keys().filter_map(|task| {
            let record = self.ledger.step_record(&task.step)?;
            let spec = self.ledger.step_spec(&task.step)?;
            (self.suspicion(&task.step, task.index, spec.gang) >= Suspicion::Suspect)
                .then_some((task, record, spec))
        });
        let mut upstreams = BTreeSet::new();
        for (task, record, spec) in suspects {
            for (index, state) in (0_u32..).zip(&record.tasks) {
                let TaskState::Running { upstream } = &state.state else { continue };
                let id = TaskId { step: task.step.clone(), index };
                let open = self.ledger.occupancy().get(upstream, &id);
                let is_young = open.is_some_and(|o| self.now < o.since.after(CLEARED_AFTER));
                if is_young && (spec.gang || index == task.index) {
                    upstreams.insert(upstream);
                }
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
