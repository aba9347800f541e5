//! Whether a slow run is slow because of its upstream, or long by nature, and what a restart gains.
//!
//! Handles queues in which some tasks are many times as long as estimated: compared with its siblings such a task
//! looks like one on a failing upstream, but a restart elsewhere only repeats its work.

use super::Distribution;

/// How much an upstream that is slow delays its runs, at least and at most.
const SLOWDOWN_MIN: f64 = 2.5;
const SLOWDOWN_MAX: f64 = 20.0;
/// The probability that a given upstream is slow, before its runs are looked at.
const PRIOR: f64 = 0.02;
/// The same if another run there is as slow, or if one is not.
const PRIOR_WITH_SLOW_COMPANION: f64 = 0.5;
const PRIOR_WITH_NORMAL_COMPANION: f64 = 0.001;
/// A restart must end sooner than the present run by this factor.
const GAIN_MIN: f64 = 1.5;

/// What the other runs on an upstream show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Companions {
    /// There are none whose rate is known.
    Unknown,
    /// At least one runs at a usual rate.
    Normal,
    /// All of them are slow.
    Slow,
}

/// A run at its present rate, as a multiple of its estimate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowRun<'a> {
    pub(crate) ratios: &'a Distribution,
    /// The total run time at the present rate, over the estimate.
    pub(crate) ratio: f64,
}

impl SlowRun<'_> {
    /// The probability that the upstream is slow rather than the task long.
    pub(crate) fn chance_of_slow_upstream(&self, companions: Companions) -> f64 {
        let prior = match companions {
            Companions::Unknown => PRIOR,
            Companions::Normal => PRIOR_WITH_NORMAL_COMPANION,
            Companions::Slow => PRIOR_WITH_SLOW_COMPANION,
        };
        let window = Distribution::near_width() / (SLOWDOWN_MAX / SLOWDOWN_MIN).ln();
        let slow = prior * window * self.share_if_slow();
        let long = (1.0 - prior) * self.ratios.share_near(self.ratio);
        slow / (slow + long)
    }

    /// Whether a restart is expected to end sooner by the required factor. `left` is the share of the work that is
    /// left, `again` the share that a restart has to do.
    pub(crate) fn is_worth_restart(&self, chance_of_slow: f64, left: f64, again: f64) -> bool {
        let elsewhere = chance_of_slow * self.usual_ratio() + (1.0 - chance_of_slow) * self.ratio;
        left * self.ratio > GAIN_MIN * again * elsewhere
    }

    /// The share of tasks that would show this ratio on some slow upstream.
    fn share_if_slow(&self) -> f64 {
        self.ratios.share_between(self.ratio / SLOWDOWN_MAX, self.ratio / SLOWDOWN_MIN)
    }

    /// The median ratio on a normal upstream of tasks that show this ratio on a slow one.
    fn usual_ratio(&self) -> f64 {
        let below = self.ratios.share_upto(self.ratio / SLOWDOWN_MAX);
        let middle = below + self.share_if_slow() / 2.0;
        self.ratios.quantile(middle).min(self.ratio)
    }
}
