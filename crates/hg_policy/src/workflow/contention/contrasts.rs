//! Comparisons of a run with itself under different neighbours.
//!
//! The speed of a run is compared between two periods that differ in the presence of exactly one
//! class of tasks on its host. The speed of the host, the length of the task and the distance of its data
//! are the same in both and cancel out.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;

use hg_ledger::{ContentionPair, RunRef, WorkflowLedger};
use hg_model::{
    ClockReading, ListedRun, RunListing, RunNumber, StepSpec, TaskClass, TaskId, UpstreamName,
};

/// Least progress of a period, in percent: smaller differences are dominated by rounding.
const PROGRESS_MIN: u32 = 6;
/// Variance of the difference of two percentages that are rounded down.
const ROUNDING_VARIANCE: f64 = 1.0 / 6.0;
/// Variance of the logarithm of a period's speed beside that from rounding.
const SPEED_VARIANCE: f64 = 0.08 * 0.08;
/// Most periods of a run that are kept for comparison with later ones.
const PERIODS_MAX: usize = 4;
/// Least number of independent tail latencies of a period.
const TAILS_MIN: u32 = 3;
/// The time over which upstreams measure a tail latency: readings less than this apart overlap, in
/// milliseconds.
const TAIL_WINDOW_MS: u64 = 500;
/// Variance of the logarithm of one reading of a tail latency.
const TAIL_VARIANCE: f64 = 0.25 * 0.25;

/// Whether the aggressor came or went between the two periods of a comparison. A trend in the
/// speed of runs, such as that of a cold host that warms up, biases the two in opposite directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Transition {
    Arrival,
    Departure,
}

/// One comparison of a run with itself.
#[derive(Debug, Clone)]
pub(super) struct Contrast {
    pub(super) pair: ContentionPair,
    pub(super) transition: Transition,
    /// The logarithm of the factor by which the run was slower beside the aggressor.
    pub(super) slow_down: f64,
    pub(super) variance: f64,
}

/// The tasks that run on a host, by class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Mix {
    counts: BTreeMap<TaskClass, u32>,
    has_best_effort: bool,
}

impl Mix {
    /// The tasks of a listing; `None` if some of them are unknown, or have left the ledger.
    fn of(ledger: &WorkflowLedger, listing: &RunListing) -> Option<Self> {
        let mut mix = Self::default();
        for listed in &listing.running {
            let (class, spec) = class_of(ledger, &listed.task)?;
            *mix.counts.entry(class).or_insert(0) += 1;
            mix.has_best_effort |= spec.best_effort;
        }
        Some(mix)
    }

    fn count(&self, class: &TaskClass) -> u32 {
        self.counts.get(class).copied().unwrap_or(0)
    }

    /// The only class whose number of tasks differs; `None` if several do, or none.
    fn only_difference<'a>(&'a self, other: &'a Self) -> Option<&'a TaskClass> {
        let mut differing =
            self.counts.keys().filter(|class| self.count(class) != other.count(class));
        let mut missing = other.counts.keys().filter(|class| self.count(class) == 0);
        match (differing.next(), differing.next(), missing.next(), missing.next()) {
            (Some(class), None, None, None) | (None, None, Some(class), None) => Some(class),
            _ => None,
        }
    }
}

fn class_of<'a>(ledger: &'a WorkflowLedger, task: &TaskId) -> Option<(TaskClass, &'a StepSpec)> {
    let (job, spec) = (ledger.job(&task.step.job)?, ledger.step_spec(&task.step)?);
    Some((TaskClass::of(spec, &job.terms.queue), spec))
}

/// A period in which the mix of tasks on a run's host did not change.
#[derive(Debug, Clone)]
struct Period {
    mix: Arc<Mix>,
    /// Percent done, and the upstream's clock at that time.
    first: (u32, ClockReading),
    last: (u32, ClockReading),
    tails: u32,
    tail_log_sum: f64,
    next_tail_at: ClockReading,
}

impl Period {
    fn new(mix: Arc<Mix>, listed: &ListedRun, clock: ClockReading) -> Self {
        let at = (listed.percent, clock);
        // The first reading covers part of the time before the period.
        let next_tail_at = ClockReading(clock.0.saturating_add(TAIL_WINDOW_MS));
        Self { mix, first: at, last: at, tails: 0, tail_log_sum: 0.0, next_tail_at }
    }

    fn extend(&mut self, listed: &ListedRun, clock: ClockReading) {
        self.last = (listed.percent, clock);
        let tail = listed.gauge.filter(|tail| *tail > 0 && clock >= self.next_tail_at);
        if let Some(tail) = tail {
            self.tails += 1;
            self.tail_log_sum += (tail as f64).ln();
            self.next_tail_at = ClockReading(clock.0.saturating_add(TAIL_WINDOW_MS));
        }
    }

    /// The logarithm of the speed with its variance, if enough was observed.
    fn speed(&self, is_serving: bool) -> Option<(f64, f64)> {
        if is_serving {
            let count = f64::from(self.tails);
            // Best-effort neighbours are paced by the latency, which disturbs the comparison.
            let is_usable = self.tails >= TAILS_MIN && !self.mix.has_best_effort;
            return is_usable
                .then(|| (-self.tail_log_sum / count, SPEED_VARIANCE + TAIL_VARIANCE / count));
        }
        let progress = self.last.0.saturating_sub(self.first.0);
        let span = self.last.1.0.saturating_sub(self.first.1.0);
        if progress < PROGRESS_MIN || span == 0 {
            return None;
        }
        let progress = f64::from(progress);
        let variance = SPEED_VARIANCE + ROUNDING_VARIANCE / (progress * progress);
        Some(((progress / span as f64).ln(), variance))
    }
}

/// A run in progress.
#[derive(Debug)]
struct ObservedRun {
    run: RunNumber,
    class: TaskClass,
    is_serving: bool,
    /// By how much its comparisons vary more than those of a task that runs by itself.
    variance_factor: f64,
    /// Its progress when it was first listed. Until it progresses it may load, restore saved
    /// progress or wait for its gang.
    initial_percent: u32,
    /// The latest periods that are in no comparison yet, oldest first.
    earlier: Vec<Period>,
    current: Option<Period>,
}

impl ObservedRun {
    fn new(listed: &ListedRun, class: TaskClass, spec: &StepSpec) -> Self {
        // The members of a gang wait for each other, so what slows one shows in all of them.
        let variance_factor = if spec.gang { f64::from(spec.tasks.max(1)) } else { 1.0 };
        Self {
            run: listed.run,
            class,
            is_serving: spec.long_running,
            variance_factor,
            initial_percent: listed.percent,
            earlier: Vec::new(),
            current: None,
        }
    }

    /// Whether a listing continues what was observed before.
    fn is_continued_by(&self, listed: &ListedRun, clock: ClockReading) -> bool {
        let last = self.current.as_ref().map(|period| period.last);
        self.run == listed.run
            && last.is_none_or(|last| listed.percent >= last.0 && clock >= last.1)
    }

    fn is_at_work(&self, listed: &ListedRun) -> bool {
        if self.is_serving {
            listed.percent >= 100
        } else {
            listed.percent > self.initial_percent && listed.percent < 100
        }
    }

    fn observe(
        &mut self,
        mix: &Arc<Mix>,
        listed: &ListedRun,
        clock: ClockReading,
    ) -> Option<Contrast> {
        if !self.is_at_work(listed) {
            return None;
        }
        if let Some(period) = self.current.as_mut().filter(|period| period.mix == *mix) {
            period.extend(listed, clock);
            return None;
        }
        let ended = self.current.replace(Period::new(Arc::clone(mix), listed, clock));
        self.compare(ended?)
    }

    /// Compares a period that has ended with the latest one that differs in one class. Each period is
    /// used in one comparison at most, so that comparisons are independent.
    fn compare(&mut self, ended: Period) -> Option<Contrast> {
        ended.speed(self.is_serving)?;
        let compared = self.earlier.iter().enumerate().rev();
        let mut compared = compared.filter_map(|(at, p)| Some((at, self.contrast(p, &ended)?)));
        let Some((at, contrast)) = compared.next() else {
            drop(compared);
            if self.earlier.len() >= PERIODS_MAX {
                self.earlier.remove(0);
            }
            self.earlier.push(ended);
            return None;
        };
        drop(compared);
        self.earlier.remove(at);
        Some(contrast)
    }

    fn contrast(&self, earlier: &Period, later: &Period) -> Option<Contrast> {
        let aggressor = earlier.mix.only_difference(&later.mix)?;
        // The run itself is one of its class.
        let own = u32::from(*aggressor == self.class);
        let (before, after) = (earlier.mix.count(aggressor), later.mix.count(aggressor));
        let transition = match (before == own, after == own) {
            (true, false) => Transition::Arrival,
            (false, true) => Transition::Departure,
            _ => return None,
        };
        let (before, after) = (earlier.speed(self.is_serving)?, later.speed(self.is_serving)?);
        let slow_down = match transition {
            Transition::Arrival => before.0 - after.0,
            Transition::Departure => after.0 - before.0,
        };
        let variance = (before.1 + after.1) * self.variance_factor;
        let pair = ContentionPair { aggressor: aggressor.clone(), victim: self.class.clone() };
        Some(Contrast { pair, transition, slow_down, variance })
    }
}

/// The open runs, with their speeds under their latest neighbours.
#[derive(Debug, Default)]
pub(super) struct RunObserver {
    runs: BTreeMap<TaskId, ObservedRun>,
}

/// Commands.
impl RunObserver {
    /// Records the runs that an upstream listed. Returns the comparisons that follow.
    pub(super) fn record_listing(
        &mut self,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        listing: &RunListing,
    ) -> Vec<Contrast> {
        let mix = Mix::of(ledger, listing).map(Arc::new);
        let mut contrasts = Vec::new();
        for listed in &listing.running {
            let is_open = |open: &hg_ledger::OpenRun| {
                open.run == listed.run && open.incarnation == listing.incarnation
            };
            if !ledger.occupancy().get(upstream, &listed.task).is_some_and(is_open) {
                continue;
            }
            let Some(mix) = &mix else {
                self.interrupt(&listed.task);
                continue;
            };
            let Some((class, spec)) = class_of(ledger, &listed.task) else { continue };
            if !is_comparable(spec) {
                continue;
            }
            let fresh = || ObservedRun::new(listed, class.clone(), spec);
            let run = self.runs.entry(listed.task.clone()).or_insert_with(fresh);
            if !run.is_continued_by(listed, listing.clock) {
                *run = fresh();
            }
            contrasts.extend(run.observe(mix, listed, listing.clock));
        }
        contrasts
    }

    /// Records that a run is over. Returns the comparison with its last period.
    pub(super) fn record_run_closed(&mut self, closed: &RunRef) -> Option<Contrast> {
        let mut run = self.runs.remove(&closed.task)?;
        let last = run.current.take()?;
        run.compare(last)
    }

    /// Ends the present period of a run without using it.
    fn interrupt(&mut self, task: &TaskId) {
        if let Some(run) = self.runs.get_mut(task) {
            run.current = None;
        }
    }
}

/// Whether the speed of a step's tasks says something about their neighbours. Best-effort tasks are
/// slowed on purpose, and tasks that run until they are cancelled have a speed only if they serve users.
const fn is_comparable(spec: &StepSpec) -> bool {
    !spec.best_effort && (!spec.long_running || spec.target.is_some())
}
