//! The capacity of a pool that becomes free over time, as a fluid: the sum over its upstreams, by intervals of 100 ms.
//!
//! The sum hides how free capacity is scattered over upstreams, so it never shows less room than there is.

use std::collections::BTreeMap;

use hg_model::{Label, ResourceVector, StepSpec};

/// Length of an interval, in milliseconds.
pub(crate) const INTERVAL_MS: u64 = 100;
/// Number of intervals: nothing is known beyond a minute.
const INTERVALS: usize = 600;
/// The time that a profile covers, in milliseconds.
pub(crate) const HORIZON_MS: u64 = INTERVAL_MS * INTERVALS as u64;

/// Accelerators and thousandths of a core. Memory is left out: it is rarely what a pool lacks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Amount {
    /// Whole accelerators.
    pub(crate) accelerators: u64,
    /// Thousandths of a processor core.
    pub(crate) millicores: u64,
}

impl From<ResourceVector> for Amount {
    fn from(of: ResourceVector) -> Self {
        Self { accelerators: of.accelerators.into(), millicores: of.millicores.into() }
    }
}

impl Amount {
    /// The sum.
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            millicores: self.millicores.saturating_add(other.millicores),
        }
    }

    /// The difference; saturates at zero.
    pub(crate) const fn minus(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            millicores: self.millicores.saturating_sub(other.millicores),
        }
    }

    /// The product.
    pub(crate) const fn times(self, factor: u64) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(factor),
            millicores: self.millicores.saturating_mul(factor),
        }
    }

    /// The quotient, rounded down; zero if the divisor is.
    pub(crate) fn divided(self, by: u64) -> Self {
        Self {
            accelerators: self.accelerators.checked_div(by).unwrap_or(0),
            millicores: self.millicores.checked_div(by).unwrap_or(0),
        }
    }

    /// Whether every part fits into `available`.
    pub(crate) const fn fits(self, available: Self) -> bool {
        self.accelerators <= available.accelerators && self.millicores <= available.millicores
    }

    /// How many times `each` fits into it, but at most `limit`.
    fn count_of(self, each: Self, limit: u64) -> u64 {
        let times = |available: u64, needed: u64| available.checked_div(needed).unwrap_or(limit);
        let by_accelerators = times(self.accelerators, each.accelerators);
        by_accelerators.min(times(self.millicores, each.millicores)).min(limit)
    }
}

/// What a step claims, and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Need {
    /// The claim of one task.
    pub(crate) each: Amount,
    /// How many tasks wait.
    pub(crate) tasks: u64,
    /// Whether they start together or not at all.
    pub(crate) is_gang: bool,
    /// The run time of a task, in milliseconds.
    pub(crate) run_ms: u64,
    /// The label that its upstreams must have.
    pub(crate) label: Option<Label>,
}

impl Need {
    /// What `tasks` tasks of a step need if each takes `run_ms`.
    pub(crate) fn new(step: &StepSpec, tasks: usize, run_ms: u64) -> Self {
        Self {
            each: step.claim().into(),
            tasks: u64::try_from(tasks).unwrap_or(u64::MAX),
            is_gang: step.gang,
            run_ms,
            label: step.required_label.clone(),
        }
    }

    /// What has to be free at once for the first task to start.
    const fn at_once(&self) -> Amount {
        if self.is_gang { self.each.times(self.tasks) } else { self.each }
    }

    fn intervals(&self) -> usize {
        usize::try_from(self.run_ms.div_ceil(INTERVAL_MS).max(1)).unwrap_or(usize::MAX)
    }

    /// Its resources times its run time, in milliseconds.
    pub(crate) const fn work(&self) -> Amount {
        self.each.times(self.tasks).times(self.run_ms)
    }
}

#[derive(Debug, Clone)]
struct Series {
    free: Vec<Amount>,
    /// Before these intervals an amount does not fit. It holds on, since what is free only decreases.
    frontiers: BTreeMap<Amount, usize>,
}

impl Series {
    fn new() -> Self {
        Self { free: vec![Amount::default(); INTERVALS], frontiers: BTreeMap::new() }
    }

    /// The first interval at or after `from` from which on `amount` is free for `length` intervals.
    fn earliest(&self, from: usize, amount: Amount, length: usize) -> Option<usize> {
        let frontier = self.frontiers.get(&amount).copied().unwrap_or(0);
        let mut begin = from.max(frontier);
        for (at, free) in self.free.iter().enumerate().skip(begin) {
            if !amount.fits(*free) {
                begin = at + 1;
            } else if at + 1 - begin >= length {
                return Some(begin);
            }
        }
        (begin < self.free.len()).then_some(begin)
    }

    fn advance_frontier(&mut self, amount: Amount) {
        let known = self.frontiers.get(&amount).copied().unwrap_or(0);
        let rest = self.free.iter().skip(known);
        let steps = rest.take_while(|free| !amount.fits(**free)).count();
        self.frontiers.insert(amount, known + steps);
    }

    fn least(&self, from: usize, length: usize) -> Amount {
        let span = self.free.iter().skip(from).take(length).copied();
        let least = |a: Amount, b: Amount| Amount {
            accelerators: a.accelerators.min(b.accelerators),
            millicores: a.millicores.min(b.millicores),
        };
        span.reduce(least).unwrap_or_default()
    }

    fn take(&mut self, from: usize, length: usize, amount: Amount) {
        for free in self.free.iter_mut().skip(from).take(length) {
            *free = free.minus(amount);
        }
    }

    fn add(&mut self, from: usize, amount: Amount) {
        if let Some(free) = self.free.get_mut(from) {
            *free = free.plus(amount);
        }
    }

    fn accumulate(&mut self) {
        let mut sum = Amount::default();
        for free in &mut self.free {
            sum = sum.plus(*free);
            *free = sum;
        }
    }
}

/// The free capacity of a pool over time, and that of its upstreams with each label that steps require.
#[derive(Debug, Clone)]
pub(crate) struct CapacityProfile {
    all: Series,
    labelled: BTreeMap<Label, Series>,
}

/// The interval in which a time lies, given in milliseconds from now.
pub(crate) fn interval_of(ms: u64) -> usize {
    usize::try_from(ms / INTERVAL_MS).unwrap_or(usize::MAX)
}

/// The begin of an interval, in milliseconds from now.
pub(crate) fn begin_of(interval: usize) -> u64 {
    u64::try_from(interval).unwrap_or(u64::MAX).saturating_mul(INTERVAL_MS)
}

/// Queries.
impl CapacityProfile {
    /// The first interval at or after `from` in which the first task of a step, or the whole gang, could start;
    /// `None` if that is beyond the horizon.
    pub(crate) fn earliest(&self, from: usize, need: &Need) -> Option<usize> {
        let (amount, length) = (need.at_once(), need.intervals());
        let mut begin = from;
        loop {
            begin = self.all.earliest(begin, amount, length)?;
            let Some(label) = &need.label else { return Some(begin) };
            // Labels that no waiting step requires have no series: what is free there is not known.
            let Some(series) = self.labelled.get(label) else { return Some(begin) };
            let also = series.earliest(begin, amount, length)?;
            if also == begin {
                return Some(begin);
            }
            begin = also;
        }
    }
}

/// Commands.
impl CapacityProfile {
    /// A profile without capacity; `labels` are those that steps require.
    pub(crate) fn new(labels: impl IntoIterator<Item = Label>) -> Self {
        let labelled = labels.into_iter().map(|label| (label, Series::new())).collect();
        Self { all: Series::new(), labelled }
    }

    /// Adds capacity of an upstream that becomes free in an interval. [`Self::accumulate`] follows once all is added.
    pub(crate) fn add(&mut self, from: usize, amount: Amount, labels: &[Label]) {
        self.all.add(from, amount);
        for label in labels {
            if let Some(series) = self.labelled.get_mut(label) {
                series.add(from, amount);
            }
        }
    }

    /// Sums up what was added, so that it stays free from its interval on.
    pub(crate) fn accumulate(&mut self) {
        self.all.accumulate();
        self.labelled.values_mut().for_each(Series::accumulate);
    }

    /// Takes the capacity for all tasks of a step, each as early as it fits at or after `from`. What does not fit
    /// within the horizon is left out.
    pub(crate) fn place(&mut self, from: usize, need: &Need) {
        let length = need.intervals();
        let mut left = need.tasks;
        let mut begin = from;
        while left > 0 {
            let Some(start) = self.earliest(begin, need) else { return };
            let count =
                if need.is_gang { left } else { self.count_at(start, need, left).clamp(1, left) };
            self.take(start, length, need, count);
            left -= count;
            begin = start;
        }
        self.all.advance_frontier(need.at_once());
    }

    fn count_at(&self, start: usize, need: &Need, limit: u64) -> u64 {
        let length = need.intervals();
        let within = |series: &Series| series.least(start, length).count_of(need.each, limit);
        let labelled = need.label.as_ref().and_then(|label| self.labelled.get(label));
        labelled.map_or(limit, within).min(within(&self.all))
    }

    /// Takes an amount for some time from now on, as far as it is free.
    pub(crate) fn take_for(&mut self, for_ms: u64, amount: Amount) {
        self.all.take(0, interval_of(for_ms), amount);
    }

    /// Takes what `count` tasks claim from an interval on, as far as it is free.
    fn take(&mut self, start: usize, length: usize, need: &Need, count: u64) {
        let amount = need.each.times(count);
        self.all.take(start, length, amount);
        if let Some(series) = need.label.as_ref().and_then(|label| self.labelled.get_mut(label)) {
            series.take(start, length, amount);
        }
    }
}
