//! The clock that drives the core.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hg_model::Time;

/// The Unix time at the start, advanced by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    offset_ms: u64,
}

impl Clock {
    /// Starts from the present time.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Self { started: Instant::now(), offset_ms }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time(self.offset_ms).after(self.started.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
