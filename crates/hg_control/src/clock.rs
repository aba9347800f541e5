//! The clock that drives the core.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hg_model::Time;
use rustix::time::{ClockId, clock_gettime};

/// The Unix time at the start of the process, advanced by a monotonic clock that also runs while the host
/// is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Duration,
    offset_ms: u64,
}

impl Clock {
    /// Starts at the current Unix time.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Self { started: since_boot(), offset_ms }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(self.offset_ms).after(since_boot().saturating_sub(self.started))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The time since boot by `CLOCK_BOOTTIME`: unlike `CLOCK_MONOTONIC` it counts the time in which the host
/// was suspended, so an expired lease cannot seem valid afterwards.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
