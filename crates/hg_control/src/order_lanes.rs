//! How many orders are in flight to each upstream, so that connections stay within the process's limit of files.
//!
//! Load pattern: a thousand orders are due at once on a fleet whose upstreams together could take up all files that the
//! process may open. Orders to one upstream wait for each other then; the disk and the links always find a file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

#[cfg(test)]
mod tests;

/// Most orders in flight to one upstream, beside its listing.
const LANES_MAX: usize = 4;
/// Files for everything but connections with upstreams: the log, links, callers, operators and health checks.
const RESERVED_FILES: usize = 500;
/// Connections with each upstream that are open in any case: its heartbeats and its listing.
const CONNECTIONS_EACH: usize = 2;

/// How long drivers keep an idle connection at most.
const CONNECTION_KEPT: Duration = Duration::from_secs(30);

/// The orders in flight to one upstream.
#[derive(Debug)]
struct Lanes {
    in_flight: usize,
    /// When an order was last sent.
    used_at: Instant,
    freed: Arc<Notify>,
}

impl Lanes {
    fn new(now: Instant) -> Self {
        Self { in_flight: 0, used_at: now, freed: Arc::default() }
    }

    /// Whether no connection is left that was opened for these orders.
    fn is_unused(&self, now: Instant) -> bool {
        self.in_flight == 0 && now.duration_since(self.used_at) > CONNECTION_KEPT
    }
}

/// The orders in flight to all upstreams.
#[derive(Debug)]
pub(crate) struct OrderLanes {
    files_max: usize,
    /// The number of registered upstreams.
    fleet: AtomicUsize,
    upstreams: Mutex<BTreeMap<SocketAddr, Lanes>>,
}

/// The right to have one order in flight; dropping it lets the next one go.
#[derive(Debug)]
pub(crate) struct Lane {
    lanes: Arc<OrderLanes>,
    upstream: SocketAddr,
}

impl OrderLanes {
    /// Lanes for a process that may have `files_max` files open.
    pub(crate) const fn new(files_max: usize) -> Self {
        let fleet = AtomicUsize::new(0);
        Self { files_max, fleet, upstreams: Mutex::new(BTreeMap::new()) }
    }

    /// Records the number of registered upstreams: files are kept for those without orders, too.
    pub(crate) fn set_fleet(&self, count: usize) {
        self.fleet.store(count, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Lanes>> {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Most orders in flight to each of `count` upstreams.
    fn limit(&self, count: usize) -> usize {
        let left = self.files_max.saturating_sub(RESERVED_FILES + CONNECTIONS_EACH * count);
        (left / count.max(1)).clamp(1, LANES_MAX)
    }

    /// Takes a lane to an upstream if one is free, otherwise returns what tells when one is freed.
    fn try_enter(&self, now: Instant, upstream: SocketAddr) -> Result<(), Arc<Notify>> {
        let mut upstreams = self.lock();
        if !upstreams.contains_key(&upstream) {
            upstreams.retain(|_, lanes| !lanes.is_unused(now));
        }
        let limit = self.limit(upstreams.len().max(self.fleet.load(Ordering::Relaxed)));
        let lanes = upstreams.entry(upstream).or_insert_with(|| Lanes::new(now));
        if lanes.in_flight >= limit {
            return Err(Arc::clone(&lanes.freed));
        }
        lanes.in_flight += 1;
        lanes.used_at = now;
        Ok(())
    }

    /// Waits until an order may be sent to an upstream.
    pub(crate) async fn enter(self: Arc<Self>, upstream: SocketAddr) -> Lane {
        loop {
            match self.try_enter(Instant::now(), upstream) {
                Ok(()) => return Lane { lanes: self, upstream },
                // A permit is stored if the lane is freed before this waits.
                Err(freed) => freed.notified().await,
            }
        }
    }
}

impl Drop for Lane {
    fn drop(&mut self) {
        if let Some(lanes) = self.lanes.lock().get_mut(&self.upstream) {
            lanes.in_flight = lanes.in_flight.saturating_sub(1);
            lanes.freed.notify_one();
        }
    }
}
