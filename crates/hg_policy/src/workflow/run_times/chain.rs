//! The chances of a job, from the distribution of its longest chain of work.
//!
//! The objective is a multiple of the actual work, so it grows with the part that is not known yet: a job that turns out
//! to be long has more time as well. The ratios of the steps of one chain are taken to be equal in rank, since a
//! caller's estimates are mostly wrong in the same direction; those of the tasks of one step are independent, unless
//! they form a gang, whose members have equal work.

use hg_ledger::{Occurrence, QueueTerms, StepRecord, Workflow};
use hg_model::{StepSpec, Time};

use super::{Distribution, QueueRunTimes};

/// A job that takes longer than this multiple of its latency objective has no value any more.
const LATE_FACTOR: f64 = 3.0;
/// How often the interval is halved that contains the rank of a chain of a given length; leaves an error of 0.1 %.
const HALVINGS: u32 = 10;

/// The probabilities of what becomes of a job that starts now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Chances {
    /// It ends within its latency objective.
    pub(crate) in_time: f64,
    /// It ends within its latency objective, or later but soon enough to be of value.
    pub(crate) of_value: f64,
    /// The median of the latency objective, in milliseconds.
    pub(crate) objective_ms: f64,
}

/// One step of the chain that is not done.
#[derive(Debug, Clone, Copy)]
struct Link<'a> {
    estimate_ms: f64,
    /// How many tasks of independent length it has; the longest counts.
    tasks: f64,
    ratios: &'a Distribution,
}

impl Link<'_> {
    fn quantile(&self, p: f64) -> f64 {
        self.estimate_ms * self.ratios.quantile(p.powf(self.tasks.recip()))
    }
}

/// The longest chain of a job's work that is not done, and that of the work which is.
#[derive(Debug, Default)]
struct Chain<'a> {
    done_ms: f64,
    links: Vec<Link<'a>>,
}

impl<'a> Chain<'a> {
    fn new(job: &Workflow, occurrence: Option<&Occurrence>, known: &'a QueueRunTimes) -> Self {
        let records = |at: usize| occurrence.and_then(|occurrence| occurrence.steps.get(at));
        let is_done = |at: usize| records(at).is_some_and(StepRecord::is_done);
        // For each step: the length of the longest chain that ends with it, the part of that which is done, and the
        // step before.
        let mut ends: Vec<(f64, f64, Option<usize>)> = Vec::with_capacity(job.spec.steps.len());
        for (at, step) in job.spec.steps.iter().enumerate() {
            let before = step.after.iter().filter_map(|after| usize::try_from(*after).ok());
            let before = before.filter(|before| *before < ends.len());
            let last = before.max_by(|a, b| ends[*a].0.total_cmp(&ends[*b].0));
            let (begin, done, _) = last.map_or((0.0, 0.0, None), |last| ends[last]);
            let length = link(step, known).quantile(0.5);
            let done = if is_done(at) { done + length } else { done };
            ends.push((begin + length, done, last));
        }
        let longest = (0..ends.len()).max_by(|a, b| ends[*a].0.total_cmp(&ends[*b].0));
        let done_ms = longest.map_or(0.0, |at| ends[at].1);
        let path = std::iter::successors(longest, |at| ends[*at].2);
        let links = path.filter(|at| !is_done(*at)).map(|at| link(&job.spec.steps[at], known));
        Self { done_ms, links: links.collect() }
    }

    fn quantile(&self, p: f64) -> f64 {
        self.links.iter().map(|link| link.quantile(p)).sum()
    }

    /// The probability that the rest of the chain takes at most `ms` milliseconds.
    fn share_upto(&self, ms: f64) -> f64 {
        if let [only] = &self.links[..] {
            let share = only.ratios.share_upto(ms / only.estimate_ms);
            return share.powf(only.tasks);
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..HALVINGS {
            let middle = f64::midpoint(low, high);
            if self.quantile(middle) <= ms { low = middle } else { high = middle }
        }
        f64::midpoint(low, high)
    }

    /// The probability that `waited + rest <= factor * (done + rest) + slack`.
    fn chance(&self, waited: f64, factor: f64, slack: f64) -> f64 {
        let missing = waited - slack - factor * self.done_ms;
        if factor > 1.0 {
            let enough = missing / (factor - 1.0);
            if enough <= 0.0 { 1.0 } else { 1.0 - self.share_upto(enough) }
        } else if factor < 1.0 {
            let most = -missing / (1.0 - factor);
            if most <= 0.0 { 0.0 } else { self.share_upto(most) }
        } else {
            f64::from(u8::from(missing <= 0.0))
        }
    }
}

fn link<'a>(step: &StepSpec, known: &'a QueueRunTimes) -> Link<'a> {
    let tasks = if step.gang { 1.0 } else { f64::from(step.tasks.max(1)) };
    let ratios = known.of_image(step.image.as_ref());
    Link { estimate_ms: step.estimate_ms.max(1) as f64, tasks, ratios }
}

/// The chances of a job's occurrence that was due at `due`, if the rest of it starts now.
pub(super) fn chances(
    now: Time,
    due: Time,
    job: &Workflow,
    occurrence: Option<&Occurrence>,
    known: &QueueRunTimes,
) -> Chances {
    let QueueTerms { stretch_milli, objective_ms, .. } = job.terms;
    let (factor, slack) = (f64::from(stretch_milli) / 1_000.0, objective_ms as f64);
    let waited = now.since(due).as_millis() as f64;
    let mut chain = Chain::new(job, occurrence, known);
    // What is done took no longer than has passed since the job was due.
    chain.done_ms = chain.done_ms.min(waited);
    let in_time = chain.chance(waited, factor, slack);
    let of_value = chain.chance(waited, factor * LATE_FACTOR, slack * LATE_FACTOR);
    let objective_ms = factor * (chain.done_ms + chain.quantile(0.5)) + slack;
    Chances { in_time, of_value: of_value.max(in_time), objective_ms }
}
