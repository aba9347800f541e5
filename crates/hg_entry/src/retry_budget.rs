//! Limits retries to a share of all requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Most credit that can be accumulated, in hundredths of a retry.
const CREDIT_MAX: u64 = 1_000;
/// Credit that one retry uses up, in hundredths of a retry.
const CREDIT_PER_RETRY: u64 = 100;
/// Shortest and longest delay before a retry, in milliseconds.
const RETRY_DELAY_MS: (u64, u64) = (20, 200);

/// Allows retries as a share of all requests, so that they cannot overload a failing upstream.
#[derive(Debug)]
pub struct RetryBudget {
    /// Accumulated credit, in hundredths of a retry.
    credit: AtomicU64,
    percent: u64,
}

impl RetryBudget {
    /// A budget of `percent` retries for each hundred requests.
    pub const fn new(percent: u64) -> Self {
        Self { credit: AtomicU64::new(CREDIT_MAX), percent }
    }

    /// Adds the credit of one request.
    pub fn record_request(&self) {
        let add = |credit: u64| Some((credit + self.percent).min(CREDIT_MAX));
        self.credit
            .update(Ordering::AcqRel, Ordering::Acquire, |credit| add(credit).unwrap_or(credit));
    }

    /// Returns whether a retry may be made, and takes it from the budget.
    pub fn try_take(&self) -> bool {
        let take = |credit: u64| credit.checked_sub(CREDIT_PER_RETRY);
        self.credit.try_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    /// How long to wait before a retry: a random time, so that retries are spread out.
    pub fn retry_delay(&self) -> Duration {
        let (least, most) = RETRY_DELAY_MS;
        let random = getrandom::u64().unwrap_or_default();
        Duration::from_millis(least + random % (most - least + 1))
    }
}
