//! How long runs take, relative to the estimates of their callers.
//!
//! Handles estimates that are far off: work that can still end in time is not taken for late, work without a chance is
//! served after work with one, the rest of a run is known although it exceeds its estimate, and long tasks are not taken
//! for stragglers.
//!
//! The learned distributions are in the replicated ledger; [`RunTimes`] prepares them for queries and collects the
//! evidence of the leader's term. A queue is judged by them only once they contradict its estimates.

mod chain;
mod distribution;
mod evidence;
mod remaining;
mod restart;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{LearnedRunTimes, Occurrence, RunTimeChange, Workflow, WorkflowLedger};
use hg_model::{ImageName, QueueName, RunNumber, TaskId, Time, UpstreamName};

pub(crate) use chain::Chances;
pub(crate) use distribution::Distribution;
pub(crate) use restart::{Companions, SlowRun};

use evidence::Evidence;
use remaining::RemainingTime;

/// Fewer completed runs tell nothing about a queue, or about an image.
const RUNS_MIN: f64 = 30.0;
/// The quantile of the ratios that shows whether the estimates of a queue are good.
const CONDITION_QUANTILE: f64 = 0.9;
/// The quantile that shows whether a queue has tasks that are long by nature. They are rarer than one in ten where
/// the estimates are good otherwise, and each of them looks like a straggler.
const TAIL_QUANTILE: f64 = 0.98;

/// Quantiles of the ratio of run time to estimate in one queue.
#[derive(Debug, Clone, PartialEq)]
pub struct RunTimeSummary {
    /// The queue.
    pub queue: QueueName,
    /// The number of completed runs that stand behind it, after decay.
    pub runs: f64,
    /// The median.
    pub median: f64,
    /// The quantile 0.9.
    pub upper_decile: f64,
}

/// The learned quantiles of each queue, for log lines and metrics.
pub fn run_time_summaries(learned: &LearnedRunTimes) -> impl Iterator<Item = RunTimeSummary> {
    let of_queue = learned.distributions().iter().filter(|(key, _)| key.image.is_none());
    of_queue.map(|(key, counts)| {
        let ratios = Distribution::new(counts);
        let (median, upper_decile) = (ratios.quantile(0.5), ratios.quantile(CONDITION_QUANTILE));
        RunTimeSummary { queue: key.queue.clone(), runs: ratios.runs(), median, upper_decile }
    })
}

/// What the run time of a run depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunKind<'a> {
    pub(crate) queue: &'a QueueName,
    pub(crate) image: Option<&'a ImageName>,
    /// The stretch of its queue, in thousandths.
    pub(crate) stretch_milli: u32,
    /// The caller's estimate.
    pub(crate) estimate: Duration,
}

/// The distributions of one queue.
#[derive(Debug, Default)]
pub(crate) struct QueueRunTimes {
    all: Distribution,
    images: BTreeMap<ImageName, Distribution>,
}

impl QueueRunTimes {
    /// The ratios of an image's runs if enough are known, else those of all runs of the queue.
    fn of_image(&self, image: Option<&ImageName>) -> &Distribution {
        let known = image.and_then(|image| self.images.get(image));
        known.filter(|ratios| ratios.runs() >= RUNS_MIN).unwrap_or(&self.all)
    }

    /// Whether the ratios contradict the estimates by more than the queue's stretch.
    fn contradict_estimates(&self, stretch_milli: u32) -> bool {
        let decile = self.all.quantile(CONDITION_QUANTILE);
        let stretch = stretch(stretch_milli);
        self.has_enough_runs(stretch_milli) && (decile > stretch || decile.recip() > stretch)
    }

    /// Whether the queue has tasks that exceed the stretch by nature.
    fn has_long_tasks(&self, stretch_milli: u32) -> bool {
        let tail = self.all.quantile(TAIL_QUANTILE);
        self.has_enough_runs(stretch_milli) && tail > stretch(stretch_milli)
    }

    fn has_enough_runs(&self, stretch_milli: u32) -> bool {
        stretch_milli > 0 && self.all.runs() >= RUNS_MIN
    }
}

/// The stretch of a queue as a factor of at least 1.
fn stretch(stretch_milli: u32) -> f64 {
    (f64::from(stretch_milli) / 1_000.0).max(1.0)
}

/// Learned run times, prepared for queries, and evidence that is not replicated yet.
///
/// Without [`RunTimes::enabled`] it knows and records nothing.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    is_enabled: bool,
    revision: Option<u64>,
    queues: BTreeMap<QueueName, QueueRunTimes>,
    evidence: Evidence,
}

/// Queries.
impl RunTimes {
    /// The chances of a job's occurrence if the rest of it starts now; `None` if its queue's estimates are not known to
    /// be wrong, so that it is judged by them.
    pub(crate) fn chances(
        &self,
        now: Time,
        due: Time,
        job: &Workflow,
        occurrence: Option<&Occurrence>,
    ) -> Option<Chances> {
        let known = self.in_effect(&job.terms.queue, job.terms.stretch_milli)?;
        Some(chain::chances(now, due, job, occurrence, known))
    }

    /// The remaining time of a run that has run for `elapsed`; `None` if its queue's estimates are not known to be
    /// wrong.
    pub(crate) fn remaining(
        &self,
        run: &RunKind<'_>,
        elapsed: Duration,
    ) -> Option<RemainingTime<'_>> {
        let ratios = self.in_effect(run.queue, run.stretch_milli)?.of_image(run.image);
        Some(RemainingTime { ratios, estimate: run.estimate, elapsed })
    }

    /// The ratios by which a slow run is judged; `None` if its queue is not known to have tasks that are long by
    /// nature.
    pub(crate) fn of_long_tasks(&self, run: &RunKind<'_>) -> Option<&Distribution> {
        let known = self.queues.get(run.queue).filter(|k| k.has_long_tasks(run.stretch_milli))?;
        Some(known.of_image(run.image))
    }

    /// What is known of the runs of a queue, if its estimates are known to be wrong.
    fn in_effect(&self, queue: &QueueName, stretch_milli: u32) -> Option<&QueueRunTimes> {
        self.queues.get(queue).filter(|known| known.contradict_estimates(stretch_milli))
    }
}

/// Commands.
impl RunTimes {
    /// Learned run times that are used and recorded.
    pub(crate) fn enabled() -> Self {
        Self { is_enabled: true, ..Self::default() }
    }

    /// Prepares what the ledger knows, if that has changed.
    pub(crate) fn refresh(&mut self, learned: &LearnedRunTimes) {
        if !self.is_enabled || self.revision == Some(learned.revision()) {
            return;
        }
        self.revision = Some(learned.revision());
        self.queues.clear();
        for (key, counts) in learned.distributions() {
            let known = self.queues.entry(key.queue.clone()).or_default();
            match &key.image {
                None => known.all = Distribution::new(counts),
                Some(image) => drop(known.images.insert(image.clone(), Distribution::new(counts))),
            }
        }
    }

    /// Records that a run is open, by its entry in the ledger.
    pub(crate) fn record_open(
        &mut self,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        task: &TaskId,
    ) {
        if self.is_enabled {
            self.evidence.record_open(ledger, upstream, task);
        }
    }

    /// Records that a run completed at `at`. `host_factor` is the time that runs take on its host relative to a normal
    /// one.
    pub(crate) fn record_completed(
        &mut self,
        at: Time,
        task: &TaskId,
        run: RunNumber,
        host_factor: f64,
    ) {
        self.evidence.record_completed(at, task, run, host_factor);
    }

    /// Records that a run is over, however it ended.
    pub(crate) fn record_closed(&mut self, task: &TaskId) {
        self.evidence.record_closed(task);
    }

    /// The completed runs that are to be added to the replicated state; empty unless that is due.
    pub(crate) fn take_changes(&mut self, now: Time) -> Vec<RunTimeChange> {
        self.evidence.take_changes(now)
    }
}
