//! How fast upstreams work, derived from the progress of the runs on them.
//!
//! Handles upstreams that are slower than others, permanently or for some seconds, and upstreams
//! that stall: a gang is as fast as its slowest member. The members of a gang have equal work, so
//! comparing each member's rate with the fastest one reveals slow upstreams, whatever the caller
//! estimated. The tasks of a wide step differ in length, so each is compared with their median. A task without
//! such siblings is compared with how long the tasks of its queue usually take
//! relative to their estimates.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hg_ledger::{OpenRun, RunRef, WorkflowLedger};
use hg_model::{
    ClockReading, ImageName, ListedRun, QueueName, RunNumber, StepId, TaskId, Time, UpstreamName,
};

use super::placement::percent_of;
use super::run_times::{Companions, RunKind, RunTimes, SlowRun};

/// Progress is compared only over at least this share of a task, in percent: smaller differences
/// are dominated by rounding.
const PROGRESS_MIN_PERCENT: u32 = 12;
/// A run is stalled if it has made no progress for this long, provided that by its caller's
/// estimate it should have made at least `STALL_PERCENT` meanwhile: shorter pauses are not visible
/// between two listings.
const STALL_MS: u64 = 1_500;
const STALL_PERCENT: u64 = 10;
/// A short task counts as stalled after this shorter time, provided that it should have made at
/// least `STALL_SHORT_PERCENT` meanwhile.
const STALL_SHORT_MS: u64 = 700;
const STALL_SHORT_PERCENT: u64 = 25;
/// How many ratios of run time to estimate are kept for each queue, and how many are needed to
/// derive the typical one.
const RATIOS_MAX: usize = 40;
const RATIOS_MIN: usize = 8;
/// The percentile of these ratios that counts as typical.
const TYPICAL_PERCENTILE: usize = 75;
/// A run contributes to its queue's ratios only if at least this much of its progress was observed,
/// in percent.
const RATIO_PROGRESS_MIN_PERCENT: u32 = 50;
/// How many siblings of a task that is no member of a gang must have made progress to compare it with them: their
/// lengths differ.
const SIBLINGS_MIN: usize = 3;
/// The slowness of an upstream on which a run is stalled.
const STALLED_SLOWNESS: f64 = 20.0;
/// The weight of the newest observation against the earlier ones.
const NEWEST_WEIGHT: f64 = 0.5;
/// An upstream's slowness is discarded after this long without an observation, since such trouble
/// is often temporary.
const SLOWNESS_RETENTION: Duration = Duration::from_secs(8);
/// How many upstreams must have a known slowness to derive a median.
const MEDIAN_UPSTREAMS_MIN: usize = 4;
/// Upstreams slower than the median by this factor get no new work.
const TOO_SLOW_FACTOR: f64 = 2.5;
/// Upstreams slower than the median by this factor are the second choice for gangs.
const SLOWER_FACTOR: f64 = 1.15;
/// A run that is less likely than this to be slow because of its upstream is no evidence against it.
const SLOW_CHANCE_MIN: f64 = 0.5;
/// A restart must end sooner than the present run by this factor, since estimates are inaccurate.
const RESTART_GAIN_MIN: f64 = 1.5;

/// What is known of a task before it runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExpectedRun<'a> {
    pub(crate) queue: Option<&'a QueueName>,
    /// The stretch of the queue, in thousandths.
    pub(crate) stretch_milli: u32,
    pub(crate) image: Option<&'a ImageName>,
    /// The caller's estimate of the run time; 0 if there is none.
    pub(crate) estimate_ms: u64,
    /// Whether it is a member of a gang, all of which have equal work.
    pub(crate) is_gang: bool,
    /// The lasting relative run time of its host, 1 where it does not count: only what a host is
    /// slower than that is a disturbance.
    pub(crate) host_factor: f64,
}

#[derive(Debug, Clone)]
struct RunProgress {
    run: RunNumber,
    queue: Option<QueueName>,
    stretch_milli: u32,
    image: Option<ImageName>,
    estimate_ms: u64,
    is_gang: bool,
    /// The lasting relative run time of its host.
    host_factor: f64,
    /// The probability that the run is slow because of its upstream; `None` unless its queue is known to have tasks
    /// that are long by nature.
    chance_of_slow_upstream: Option<f64>,
    /// Percent done, and the upstream's clock at that time: the local time would include how long
    /// the listing waited before it was processed.
    first: (u32, ClockReading),
    last: (u32, ClockReading),
}

impl RunProgress {
    /// Percent per millisecond, once enough progress was observed.
    fn rate(&self) -> Option<f64> {
        let (done, from) = self.first;
        let (now_done, to) = self.last;
        let span = to.0.saturating_sub(from.0);
        let progress = now_done.saturating_sub(done);
        (progress >= PROGRESS_MIN_PERCENT && span > 0).then(|| f64::from(progress) / span as f64)
    }

    /// The rate that it would have on a host of normal speed.
    fn normal_rate(&self) -> Option<f64> {
        Some(self.rate()? * self.host_factor)
    }

    /// Total run time at the present rate, on a host of normal speed, as a multiple of the estimate.
    fn estimate_ratio(&self) -> Option<f64> {
        let total_ms = 100.0 / self.normal_rate()?;
        (self.estimate_ms > 0).then(|| total_ms / self.estimate_ms as f64)
    }

    /// What its run time depends on, for queries of learned run times.
    fn kind(&self) -> Option<RunKind<'_>> {
        let estimate = Duration::from_millis(self.estimate_ms);
        let (queue, image) = (self.queue.as_ref()?, self.image.as_ref());
        Some(RunKind { queue, image, stretch_milli: self.stretch_milli, estimate })
    }

    /// Whether any progress was made since the first observation.
    const fn has_progressed(&self) -> bool {
        self.last.0 > self.first.0
    }
}

#[derive(Debug, Clone, Copy)]
struct Slowness {
    factor: f64,
    at: Time,
}

/// The progress of runs, and the slowness of upstreams derived from it.
#[derive(Debug)]
pub(crate) struct SpeedTracker {
    /// Additional time for a task without siblings that has made no progress at all: it may still be
    /// loading, or restoring its progress.
    load_grace: Duration,
    runs: BTreeMap<TaskId, RunProgress>,
    upstreams: BTreeMap<UpstreamName, Slowness>,
    /// The latest ratios of run time to estimate, by queue.
    ratios: BTreeMap<QueueName, VecDeque<f64>>,
    /// Learned distributions of run times; without effect unless that policy is in use.
    pub(crate) run_times: RunTimes,
}

/// Queries.
impl SpeedTracker {
    fn slowness(&self, now: Time, upstream: &UpstreamName) -> f64 {
        let known = self.upstreams.get(upstream).filter(|s| now < s.at.after(SLOWNESS_RETENTION));
        known.map_or(1.0, |s| s.factor)
    }

    /// The slowness that half of the known upstreams do not exceed; 1 if too few are known.
    fn median_slowness(&self, now: Time) -> f64 {
        let known = self.upstreams.values().filter(|s| now < s.at.after(SLOWNESS_RETENTION));
        let mut factors: Vec<f64> = known.map(|s| s.factor).collect();
        if factors.len() < MEDIAN_UPSTREAMS_MIN {
            return 1.0;
        }
        factors.sort_by(f64::total_cmp);
        factors.get(factors.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
    }

    /// Upstreams that get no new work because they are far slower than the median.
    pub(crate) fn too_slow(&self, now: Time) -> impl Iterator<Item = &UpstreamName> {
        let limit = self.median_slowness(now) * TOO_SLOW_FACTOR;
        let slow = move |name: &&UpstreamName| self.slowness(now, name) >= limit;
        self.upstreams.keys().filter(slow)
    }

    /// Upstreams that are the second choice for gangs.
    pub(crate) fn slower(&self, now: Time) -> impl Iterator<Item = &UpstreamName> {
        let limit = self.median_slowness(now) * SLOWER_FACTOR;
        let slow = move |name: &&UpstreamName| self.slowness(now, name) > limit;
        self.upstreams.keys().filter(slow)
    }

    /// Whether a long-running task is in service, by its last listing.
    pub(crate) fn is_serving(&self, task: &TaskId, run: RunNumber) -> bool {
        self.runs.get(task).is_some_and(|progress| progress.run == run && progress.last.0 >= 100)
    }

    /// The remaining run time on the present upstream, by the run's own rate, or else by the learned run times, or
    /// else by its caller's estimate.
    pub(crate) fn time_left(
        &self,
        now: Time,
        task: &TaskId,
        open: &OpenRun,
        estimate_ms: u64,
    ) -> Duration {
        let progress = self.runs.get(task).filter(|progress| progress.run == open.run);
        let by_rate = self.time_left_by_rate(task, open);
        let elapsed = now.since(open.since);
        let estimate = Duration::from_millis(estimate_ms);
        let learned = || {
            // A run with more progress may have resumed saved work, which its elapsed time does not show.
            let begun = progress.filter(|progress| progress.last.0 < PROGRESS_MIN_PERCENT)?;
            Some(self.run_times.remaining(&begun.kind()?, elapsed)?.quantile(0.5))
        };
        by_rate.or_else(learned).unwrap_or_else(|| estimate.saturating_sub(elapsed))
    }

    /// What the other runs that an upstream listed show about its speed.
    fn companions(&self, task: &TaskId, listed: &[ListedRun]) -> Companions {
        let others = listed.iter().filter(|other| other.task != *task);
        let progress = others.filter_map(|other| Some((other.run, self.runs.get(&other.task)?)));
        let current = progress.filter(|(run, progress)| progress.run == *run);
        let mut ratios = current.filter_map(|(_, progress)| progress.estimate_ratio()).peekable();
        if ratios.peek().is_none() {
            return Companions::Unknown;
        }
        let is_slow = ratios.all(|ratio| ratio >= TOO_SLOW_FACTOR);
        if is_slow { Companions::Slow } else { Companions::Normal }
    }

    /// The probability that a run is slow because of its upstream; `None` if there is no reason to doubt it.
    fn chance_of_slow_upstream(&self, task: &TaskId, listed: &[ListedRun]) -> Option<f64> {
        let own = self.runs.get(task).filter(|own| !own.is_gang)?;
        let run = SlowRun {
            ratios: self.run_times.of_long_tasks(&own.kind()?)?,
            ratio: own.estimate_ratio()?,
        };
        Some(run.chance_of_slow_upstream(self.companions(task, listed)))
    }

    /// Whether a run would end sooner elsewhere: by the learned run times if they are known, else by how slow its
    /// upstream is.
    fn is_worth_restart(
        &self,
        ledger: &WorkflowLedger,
        task: &TaskId,
        progress: &RunProgress,
        factor: f64,
    ) -> bool {
        let Some(chance_of_slow) = progress.chance_of_slow_upstream else {
            return is_worth_restart(ledger, task, progress, factor);
        };
        let Some((left, again)) = work_left(ledger, task, progress) else { return false };
        let ratios = progress.kind().and_then(|kind| self.run_times.of_long_tasks(&kind));
        let run = ratios.zip(progress.estimate_ratio());
        run.is_some_and(|(ratios, ratio)| {
            SlowRun { ratios, ratio }.is_worth_restart(chance_of_slow, left, again)
        })
    }

    /// The remaining run time by the run's own rate; `None` if too little progress was observed.
    pub(crate) fn time_left_by_rate(&self, task: &TaskId, open: &OpenRun) -> Option<Duration> {
        let progress = self.runs.get(task).filter(|progress| progress.run == open.run)?;
        let left = f64::from(100 - progress.last.0.min(100));
        Some(Duration::from_secs_f64(left / progress.rate()? / 1_000.0))
    }

    /// The median ratio of run time to estimate of a queue's latest tasks; `None` if too few are known.
    pub(crate) fn median_ratio(&self, queue: &QueueName) -> Option<f64> {
        let ratios = self.ratios.get(queue).filter(|ratios| ratios.len() >= RATIOS_MIN)?;
        let mut sorted: Vec<f64> = ratios.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }

    /// Runs on slow upstreams that would end sooner if they were restarted elsewhere.
    pub(crate) fn stragglers(&self, now: Time, ledger: &WorkflowLedger) -> Vec<RunRef> {
        let median_slowness = self.median_slowness(now);
        let mut stragglers = Vec::new();
        for upstream in self.too_slow(now) {
            let factor = self.slowness(now, upstream) / median_slowness;
            for (task, open) in ledger.occupancy().runs(upstream) {
                let progress = self.runs.get(task).filter(|progress| progress.run == open.run);
                if progress.is_some_and(|p| self.is_worth_restart(ledger, task, p, factor)) {
                    let (upstream, task) = (upstream.clone(), task.clone());
                    stragglers.push(RunRef { upstream, task, run: open.run });
                }
            }
        }
        stragglers
    }
}

/// Commands.
impl SpeedTracker {
    pub(crate) fn new(load_grace: Duration) -> Self {
        Self {
            load_grace,
            runs: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            ratios: BTreeMap::new(),
            run_times: RunTimes::default(),
        }
    }

    /// Records the progress of a run that an upstream listed, beside all others that it listed.
    pub(crate) fn record_listed(
        &mut self,
        now: Time,
        upstream: &UpstreamName,
        clock: ClockReading,
        listed: &ListedRun,
        all_listed: &[ListedRun],
        expected: ExpectedRun<'_>,
    ) {
        let observed = (listed.percent, clock);
        let fresh = || RunProgress {
            run: listed.run,
            queue: expected.queue.cloned(),
            stretch_milli: expected.stretch_milli,
            image: expected.image.cloned(),
            estimate_ms: expected.estimate_ms,
            is_gang: expected.is_gang,
            host_factor: expected.host_factor,
            chance_of_slow_upstream: None,
            first: observed,
            last: observed,
        };
        let progress = self.runs.entry(listed.task.clone()).or_insert_with(fresh);
        if progress.run != listed.run || listed.percent < progress.last.0 {
            *progress = fresh();
        }
        // Before its first progress a task may wait for other tasks, or load.
        if progress.first.0 == 0 && listed.percent > 0 {
            progress.first = observed;
        }
        if listed.percent > progress.last.0 {
            progress.last = observed;
        } else if self.is_run_stalled(clock, &listed.task) {
            self.upstreams.insert(upstream.clone(), Slowness { factor: STALLED_SLOWNESS, at: now });
            return;
        }
        let chance = self.chance_of_slow_upstream(&listed.task, all_listed);
        if let Some(progress) = self.runs.get_mut(&listed.task) {
            progress.chance_of_slow_upstream = chance;
        }
        // A task that is probably long by nature says nothing about its upstream.
        if chance.is_none_or(|chance| chance >= SLOW_CHANCE_MIN) {
            self.update_slowness(now, upstream, &listed.task);
        }
    }

    /// Records that a run is over.
    pub(crate) fn record_run_closed(&mut self, run: &RunRef) {
        let Some(progress) = self.runs.remove(&run.task) else { return };
        let observed = progress.last.0.saturating_sub(progress.first.0);
        let Some(estimate_ratio) =
            progress.estimate_ratio().filter(|_| observed >= RATIO_PROGRESS_MIN_PERCENT)
        else {
            return;
        };
        let Some(queue) = progress.queue else { return };
        let ratios = self.ratios.entry(queue).or_default();
        ratios.push_back(estimate_ratio);
        if ratios.len() > RATIOS_MAX {
            ratios.pop_front();
        }
    }

    /// Whether a task without progress in the latest listing should have made some.
    fn is_run_stalled(&self, clock: ClockReading, task: &TaskId) -> bool {
        let Some(progress) = self.runs.get(task).filter(|progress| progress.last.0 < 100) else {
            return false;
        };
        let idle_ms = clock.0.saturating_sub(progress.last.1.0);
        if progress.has_progressed() {
            return is_stalled(idle_ms, progress.estimate_ms);
        }
        let mut siblings = self.siblings(task, progress.run).peekable();
        if progress.is_gang && siblings.peek().is_some() {
            // The members of a gang make progress only once all of them have started.
            siblings.any(|other| other.rate().is_some())
                && is_stalled(idle_ms, progress.estimate_ms)
        } else {
            let grace_ms = u64::try_from(self.load_grace.as_millis()).unwrap_or(u64::MAX);
            is_stalled(idle_ms.saturating_sub(grace_ms), progress.estimate_ms)
        }
    }

    /// The other runs of the task's step with the same run number.
    fn siblings<'a>(
        &'a self,
        task: &'a TaskId,
        run: RunNumber,
    ) -> impl Iterator<Item = &'a RunProgress> + 'a {
        let of_step = self.runs.range(step_range(&task.step));
        let others = of_step.filter(move |(id, progress)| *id != task && progress.run == run);
        others.map(|(_, progress)| progress)
    }

    /// Compares a run's rate with that of its siblings, or with what is typical in its queue, and updates the
    /// slowness of its upstream.
    fn update_slowness(&mut self, now: Time, upstream: &UpstreamName, task: &TaskId) {
        let Some(own) = self.runs.get(task) else { return };
        let Some(rate) = own.normal_rate() else { return };
        let observed = match self.expected_rate(task, own) {
            Some(expected) => expected / rate,
            None => match (own.estimate_ratio(), self.typical_ratio(own.queue.as_ref())) {
                (Some(own), Some(typical)) => own / typical,
                _ => return,
            },
        };
        let observed = observed.max(1.0);
        let before = self.upstreams.get(upstream).filter(|s| now < s.at.after(SLOWNESS_RETENTION));
        let factor = before.map_or(observed, |s| s.factor + (observed - s.factor) * NEWEST_WEIGHT);
        self.upstreams.insert(upstream.clone(), Slowness { factor, at: now });
    }

    /// The rate that a run should have, judged by its siblings: that of the fastest member of its gang, or, where
    /// tasks differ in length, the median of its step. `None` if too few siblings have made progress.
    fn expected_rate(&self, task: &TaskId, own: &RunProgress) -> Option<f64> {
        let rates = self.siblings(task, own.run).filter_map(RunProgress::normal_rate);
        if own.is_gang {
            return rates.max_by(f64::total_cmp);
        }
        let mut rates: Vec<f64> = rates.collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().filter(|_| rates.len() >= SIBLINGS_MIN)
    }

    /// The ratio of run time to estimate that most tasks of a queue do not exceed.
    fn typical_ratio(&self, queue: Option<&QueueName>) -> Option<f64> {
        let ratios = self.ratios.get(queue?).filter(|ratios| ratios.len() >= RATIOS_MIN)?;
        let mut sorted: Vec<f64> = ratios.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() * TYPICAL_PERCENTILE / 100).copied()
    }
}

fn is_stalled(idle_ms: u64, estimate_ms: u64) -> bool {
    let short_ms = STALL_SHORT_MS.max(percent_of(estimate_ms, STALL_SHORT_PERCENT));
    let limit_ms = STALL_MS.min(short_ms).max(percent_of(estimate_ms, STALL_PERCENT));
    estimate_ms > 0 && idle_ms >= limit_ms
}

fn step_range(step: &StepId) -> std::ops::RangeInclusive<TaskId> {
    let at = |index| TaskId { step: step.clone(), index };
    at(0)..=at(u32::MAX)
}

/// Whether the rest of the run takes longer here than a restart takes elsewhere, which repeats all
/// progress that is not saved.
fn is_worth_restart(
    ledger: &WorkflowLedger,
    task: &TaskId,
    progress: &RunProgress,
    factor: f64,
) -> bool {
    let work = work_left(ledger, task, progress);
    work.is_some_and(|(left, again)| left * factor > again * RESTART_GAIN_MIN)
}

/// The share of a task's work that is left, and the share that a restart has to do; `None` if the task has no end.
fn work_left(ledger: &WorkflowLedger, task: &TaskId, progress: &RunProgress) -> Option<(f64, f64)> {
    let spec = ledger.step_spec(&task.step).filter(|spec| !spec.long_running)?;
    let left = f64::from(100 - progress.last.0.min(100)) / 100.0;
    Some((left, if spec.checkpointable { left } else { 1.0 }))
}
