//! Points in time, always handed in as arguments.

use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Milliseconds on the clock of whoever drives the code.
///
/// Drivers use the Unix epoch, advanced by a monotonic clock, so a value never runs backwards
/// within one process.
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
    /// The point `span` later; stops at the largest value.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// How long ago `earlier` was; zero if it lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
