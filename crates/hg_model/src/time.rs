//! Points in time. They are always passed as arguments; this code reads no clock.

use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds on the caller's clock.
///
/// Callers count from the Unix epoch and advance the value by a monotonic clock, so that it never
/// goes backwards within one process.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{_0} ms")]
pub struct Time(pub u64);

impl Time {
    /// The point `span` later; saturates at the largest value.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// The time passed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
