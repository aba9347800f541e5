//! The clock that drives the core.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hg_model::Time;
use rustix::time::{ClockId, clock_gettime};

/// The Unix time at the start, advanced by a steady clock that goes on while the host is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Duration,
    offset_ms: u64,
}

impl Clock {
    /// Starts from the present time.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Self { started: since_boot(), offset_ms }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time(self.offset_ms).after(since_boot().saturating_sub(self.started))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The boot-time clock: unlike the monotonic one it counts time in which the host stood still, so a
/// lease cannot seem valid after a freeze.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
