//! How fast upstreams work, learned from the progress of what runs there.
//!
//! Answers the load in which some upstreams are slower than others, for good or for some seconds, and some
//! stand still: a gang is as fast as its slowest member. The members of a gang have equal work, so the
//! pace of each against the fastest tells the upstreams apart, whatever the caller estimated. A task alone is
//! held against what its queue's tasks usually take for their estimates.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hg_ledger::{OpenRun, RunRef, WorkflowLedger};
use hg_model::{ClockReading, ListedRun, QueueName, RunNumber, StepId, TaskId, Time, UpstreamName};

/// Progress is compared over at least this much of a task, in percent: less drowns in rounding.
const PROGRESS_LEAST: u32 = 12;
/// A task stands still that has not moved for this long, if it should have made `STALL_PERCENT` of its way by its
/// caller's estimate: less is lost between two listings.
const STALL_MS: u64 = 1_500;
const STALL_PERCENT: u64 = 10;
/// A short task does so after a shorter time, if it should have made `STALL_SHORT_PERCENT` of its way.
const STALL_SHORT_MS: u64 = 700;
const STALL_SHORT_PERCENT: u64 = 25;
/// A task that has not moved at all may load for this long.
const LOAD_MS: u64 = 600;
/// How many run times are remembered for each queue, and how many tell what is usual there.
const RATIOS_MAX: usize = 40;
const RATIOS_LEAST: usize = 8;
/// So many of them, in percent, are not longer than what counts as usual.
const USUAL_PERCENT: usize = 75;
/// A run tells its queue's usual time once so much of it was seen, in percent.
const RATIO_PROGRESS: u32 = 50;
/// The slowness of an upstream on which a task stands still.
const STALLED: f64 = 20.0;
/// How much the newest observation counts against those before it.
const WEIGHT: f64 = 0.5;
/// An upstream's slowness is forgotten after this long without an observation; trouble passes.
const MEMORY: Duration = Duration::from_secs(8);
/// How many upstreams must be known to tell what is usual.
const USUAL_LEAST: usize = 4;
/// Upstreams slower than the usual one by this factor get no new work while others have room.
const TOO_SLOW: f64 = 2.5;
/// Upstreams slower than the usual one by this factor are the second choice for gangs.
const SLOWER: f64 = 1.15;
/// Starting again must end sooner than going on by this factor, since estimates err.
const RESTART_GAIN: f64 = 1.5;

/// What is known of a task before it runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expected<'a> {
    pub(crate) queue: Option<&'a QueueName>,
    /// Its caller's guess of the run time; 0 if there is none.
    pub(crate) estimate_ms: u64,
}

#[derive(Debug, Clone)]
struct Track {
    run: RunNumber,
    queue: Option<QueueName>,
    estimate_ms: u64,
    /// Percent done, and the upstream's clock then: an answer may wait before it is taken in.
    first: (u32, ClockReading),
    last: (u32, ClockReading),
}

impl Track {
    /// Percent a millisecond, once enough was seen.
    fn pace(&self) -> Option<f64> {
        let (done, from) = self.first;
        let (now_done, to) = self.last;
        let span = to.0.saturating_sub(from.0);
        let progress = now_done.saturating_sub(done);
        (progress >= PROGRESS_LEAST && span > 0).then(|| f64::from(progress) / span as f64)
    }

    /// How much longer than estimated the whole run takes at its pace.
    fn ratio(&self) -> Option<f64> {
        let whole_ms = 100.0 / self.pace()?;
        (self.estimate_ms > 0).then(|| whole_ms / self.estimate_ms as f64)
    }

    /// Whether it has moved since it was first seen.
    const fn has_moved(&self) -> bool {
        self.last.0 > self.first.0
    }
}

#[derive(Debug, Clone, Copy)]
struct Slowness {
    factor: f64,
    at: Time,
}

/// The paces of runs and what they tell of the upstreams.
#[derive(Debug, Default)]
pub(crate) struct SpeedBook {
    tracks: BTreeMap<TaskId, Track>,
    upstreams: BTreeMap<UpstreamName, Slowness>,
    /// The latest ratios of run time to estimate, by queue.
    ratios: BTreeMap<QueueName, VecDeque<f64>>,
}

/// Queries.
impl SpeedBook {
    fn slowness(&self, now: Time, upstream: &UpstreamName) -> f64 {
        let known = self.upstreams.get(upstream).filter(|s| now < s.at.after(MEMORY));
        known.map_or(1.0, |s| s.factor)
    }

    /// The slowness that half of the upstreams do not exceed; few of them tell nothing.
    fn usual(&self, now: Time) -> f64 {
        let known = self.upstreams.values().filter(|s| now < s.at.after(MEMORY));
        let mut factors: Vec<f64> = known.map(|s| s.factor).collect();
        if factors.len() < USUAL_LEAST {
            return 1.0;
        }
        factors.sort_by(f64::total_cmp);
        factors.get(factors.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
    }

    /// Upstreams that get no new work while others have room.
    pub(crate) fn too_slow(&self, now: Time) -> impl Iterator<Item = &UpstreamName> {
        let limit = self.usual(now) * TOO_SLOW;
        let slow = move |name: &&UpstreamName| self.slowness(now, name) >= limit;
        self.upstreams.keys().filter(slow)
    }

    /// Upstreams that are the second choice for gangs.
    pub(crate) fn slower(&self, now: Time) -> impl Iterator<Item = &UpstreamName> {
        let limit = self.usual(now) * SLOWER;
        let slow = move |name: &&UpstreamName| self.slowness(now, name) > limit;
        self.upstreams.keys().filter(slow)
    }

    /// Whether a task that lasts is at work, by its last listing.
    pub(crate) fn is_at_work(&self, task: &TaskId, run: RunNumber) -> bool {
        self.tracks.get(task).is_some_and(|track| track.run == run && track.last.0 >= 100)
    }

    /// How much longer a run takes where it is, by its own pace or else by its caller's estimate.
    pub(crate) fn time_left(
        &self,
        now: Time,
        task: &TaskId,
        open: &OpenRun,
        estimate_ms: u64,
    ) -> Duration {
        let track = self.tracks.get(task).filter(|track| track.run == open.run);
        let by_pace = track.and_then(|track| {
            let left = f64::from(100 - track.last.0.min(100));
            Some(Duration::from_secs_f64(left / track.pace()? / 1_000.0))
        });
        let estimate = Duration::from_millis(estimate_ms);
        by_pace.unwrap_or_else(|| estimate.saturating_sub(now.since(open.since)))
    }

    /// Runs on slow upstreams that would end sooner if they started again elsewhere.
    pub(crate) fn stragglers(&self, now: Time, ledger: &WorkflowLedger) -> Vec<RunRef> {
        let usual = self.usual(now);
        let mut stragglers = Vec::new();
        for upstream in self.too_slow(now) {
            let factor = self.slowness(now, upstream) / usual;
            for (task, open) in ledger.occupancy().runs(upstream) {
                let track = self.tracks.get(task).filter(|track| track.run == open.run);
                if track.is_some_and(|track| is_worth_restart(ledger, task, track, factor)) {
                    let (upstream, task) = (upstream.clone(), task.clone());
                    stragglers.push(RunRef { upstream, task, run: open.run });
                }
            }
        }
        stragglers
    }
}

/// Commands.
impl SpeedBook {
    /// An upstream listed a run.
    pub(crate) fn note(
        &mut self,
        now: Time,
        upstream: &UpstreamName,
        clock: ClockReading,
        listed: &ListedRun,
        expected: Expected<'_>,
    ) {
        let seen = (listed.percent, clock);
        let fresh = || Track {
            run: listed.run,
            queue: expected.queue.cloned(),
            estimate_ms: expected.estimate_ms,
            first: seen,
            last: seen,
        };
        let track = self.tracks.entry(listed.task.clone()).or_insert_with(fresh);
        if track.run != listed.run || listed.percent < track.last.0 {
            *track = fresh();
        }
        // Before the first progress a task may wait for others, or load.
        if track.first.0 == 0 && listed.percent > 0 {
            track.first = seen;
        }
        if listed.percent > track.last.0 {
            track.last = seen;
        } else if self.stands_still(clock, &listed.task) {
            self.upstreams.insert(upstream.clone(), Slowness { factor: STALLED, at: now });
            return;
        }
        self.compare(now, upstream, &listed.task);
    }

    /// A run is over.
    pub(crate) fn forget(&mut self, run: &RunRef) {
        let Some(track) = self.tracks.remove(&run.task) else { return };
        let seen = track.last.0.saturating_sub(track.first.0);
        let Some(ratio) = track.ratio().filter(|_| seen >= RATIO_PROGRESS) else { return };
        let Some(queue) = track.queue else { return };
        let ratios = self.ratios.entry(queue).or_default();
        ratios.push_back(ratio);
        if ratios.len() > RATIOS_MAX {
            ratios.pop_front();
        }
    }

    /// Whether a task that has not moved just now should have.
    fn stands_still(&self, clock: ClockReading, task: &TaskId) -> bool {
        let Some(track) = self.tracks.get(task).filter(|track| track.last.0 < 100) else {
            return false;
        };
        let idle_ms = clock.0.saturating_sub(track.last.1.0);
        if track.has_moved() {
            return is_stalled(idle_ms, track.estimate_ms);
        }
        let mut siblings = self.siblings(task, track.run).peekable();
        if siblings.peek().is_some() {
            // The members of a gang move only once all of them are there.
            siblings.any(|other| other.pace().is_some()) && is_stalled(idle_ms, track.estimate_ms)
        } else {
            is_stalled(idle_ms.saturating_sub(LOAD_MS), track.estimate_ms)
        }
    }

    /// The runs beside a task in its step.
    fn siblings<'a>(
        &'a self,
        task: &'a TaskId,
        run: RunNumber,
    ) -> impl Iterator<Item = &'a Track> + 'a {
        let of_step = self.tracks.range(step_range(&task.step));
        let others = of_step.filter(move |(id, track)| *id != task && track.run == run);
        others.map(|(_, track)| track)
    }

    /// Holds a run's pace against the fastest of its step, or what is usual in its queue.
    fn compare(&mut self, now: Time, upstream: &UpstreamName, task: &TaskId) {
        let Some(own) = self.tracks.get(task) else { return };
        let Some(pace) = own.pace() else { return };
        let fastest = self.siblings(task, own.run).filter_map(Track::pace).max_by(f64::total_cmp);
        let seen = match fastest {
            Some(fastest) => fastest / pace,
            None => match (own.ratio(), self.usual_ratio(own.queue.as_ref())) {
                (Some(ratio), Some(usual)) => ratio / usual,
                _ => return,
            },
        };
        let seen = seen.max(1.0);
        let before = self.upstreams.get(upstream).filter(|s| now < s.at.after(MEMORY));
        let factor = before.map_or(seen, |s| s.factor + (seen - s.factor) * WEIGHT);
        self.upstreams.insert(upstream.clone(), Slowness { factor, at: now });
    }

    /// What most tasks of a queue do not exceed, as a multiple of their estimates.
    fn usual_ratio(&self, queue: Option<&QueueName>) -> Option<f64> {
        let ratios = self.ratios.get(queue?).filter(|ratios| ratios.len() >= RATIOS_LEAST)?;
        let mut sorted: Vec<f64> = ratios.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() * USUAL_PERCENT / 100).copied()
    }
}

fn is_stalled(idle_ms: u64, estimate_ms: u64) -> bool {
    let short_ms = STALL_SHORT_MS.max(estimate_ms * STALL_SHORT_PERCENT / 100);
    let limit_ms = STALL_MS.min(short_ms).max(estimate_ms * STALL_PERCENT / 100);
    estimate_ms > 0 && idle_ms >= limit_ms
}

fn step_range(step: &StepId) -> std::ops::RangeInclusive<TaskId> {
    let at = |index| TaskId { step: step.clone(), index };
    at(0)..=at(u32::MAX)
}

/// Whether what is left here takes longer than all that is not saved takes elsewhere.
fn is_worth_restart(ledger: &WorkflowLedger, task: &TaskId, track: &Track, factor: f64) -> bool {
    let Some(spec) = ledger.step_spec(&task.step).filter(|spec| !spec.long_running) else {
        return false;
    };
    let left = f64::from(100 - track.last.0.min(100)) / 100.0;
    let again = if spec.checkpointable { left } else { 1.0 };
    left * factor > again * RESTART_GAIN
}
