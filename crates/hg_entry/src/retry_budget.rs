//! Retries as a share of traffic.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Hundredths of a retry that can be saved up.
const SAVED_MAX: u64 = 1_000;
/// One retry, in hundredths.
const ONE: u64 = 100;
/// Shortest and longest pause before a retry, in milliseconds.
const PAUSE_MS: (u64, u64) = (20, 200);

/// Allows retries as a share of all requests, so that they cannot pile up on a sick upstream.
#[derive(Debug)]
pub struct RetryBudget {
    saved: AtomicU64,
    percent: u64,
}

impl RetryBudget {
    /// A budget of `percent` retries for each hundred requests.
    pub const fn new(percent: u64) -> Self {
        Self { saved: AtomicU64::new(SAVED_MAX), percent }
    }

    /// A request is made.
    pub fn note_request(&self) {
        let add = |saved: u64| Some((saved + self.percent).min(SAVED_MAX));
        self.saved.update(Ordering::AcqRel, Ordering::Acquire, |saved| add(saved).unwrap_or(saved));
    }

    /// Whether a retry may be made; takes it from the budget.
    pub fn take(&self) -> bool {
        let take = |saved: u64| saved.checked_sub(ONE);
        self.saved.try_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    /// How long to wait before a retry; spread out, so that retries do not come together.
    pub fn pause(&self) -> Duration {
        let (least, most) = PAUSE_MS;
        let random = getrandom::u64().unwrap_or_default();
        Duration::from_millis(least + random % (most - least + 1))
    }
}
