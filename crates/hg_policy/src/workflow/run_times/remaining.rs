//! The remaining time of a run, given how long it has run already.

use std::time::Duration;

use super::Distribution;

/// The conditional distribution of the remaining time of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RemainingTime<'a> {
    pub(super) ratios: &'a Distribution,
    pub(super) estimate: Duration,
    pub(super) elapsed: Duration,
}

impl RemainingTime<'_> {
    /// The time that the rest of the run does not exceed with probability `p`.
    pub(crate) fn quantile(&self, p: f64) -> Duration {
        let estimate_s = self.estimate.as_secs_f64();
        if estimate_s <= 0.0 {
            return Duration::ZERO;
        }
        let total = self.ratios.quantile_beyond(p, self.elapsed.as_secs_f64() / estimate_s);
        let left_s = (total * estimate_s - self.elapsed.as_secs_f64()).max(0.0);
        Duration::try_from_secs_f64(left_s).unwrap_or(Duration::MAX)
    }
}
