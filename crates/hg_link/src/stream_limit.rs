//! How many streams the peer of a link may have open at once.
//!
//! A connection allocates state for each stream that the peer may open, whether it does or not. So the limit starts low and
//! grows with the requests that are in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Most requests in flight on a link that has carried few so far.
pub(crate) const REQUESTS_AT_FIRST: u32 = 64;
/// Most requests in flight on any link.
const REQUESTS_MAX: u32 = 4_096;
/// Most one-way messages that were sent and not received; they are received one after the other.
pub(crate) const MESSAGES_MAX: u32 = 256;

/// The requests in flight on a link, and how many are allowed.
#[derive(Debug)]
pub(crate) struct RequestLimit {
    in_flight: AtomicU32,
    max: AtomicU32,
}

impl Default for RequestLimit {
    fn default() -> Self {
        Self { in_flight: AtomicU32::new(0), max: AtomicU32::new(REQUESTS_AT_FIRST) }
    }
}

impl RequestLimit {
    /// Counts a request until the returned guard is dropped. Also returns the new limit if that has to grow: once half of it
    /// is used, so that the peer need not wait.
    pub(crate) fn count(self: &Arc<Self>) -> (RequestInFlight, Option<u32>) {
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let max = self.max.load(Ordering::Relaxed);
        let grown = (in_flight >= max / 2 && max < REQUESTS_MAX).then_some(max * 2);
        if let Some(grown) = grown {
            self.max.store(grown, Ordering::Relaxed);
        }
        (RequestInFlight(Arc::clone(self)), grown)
    }
}

/// A request that has not been replied to.
#[derive(Debug)]
pub(crate) struct RequestInFlight(Arc<RequestLimit>);

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
