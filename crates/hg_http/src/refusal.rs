//! Why connections and requests are refused, and how that is reported.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::Display;
use slog::{Logger, warn};

/// Interval between two log lines about refusals for the same reason.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection was closed or a request was refused before it reached the endpoint in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum RefusalReason {
    /// There were too many connections.
    Connections,
    /// Requests and responses in progress held too much memory.
    Memory,
    /// The head of the request was too long.
    LongHead,
    /// The request could not be parsed.
    Malformed,
    /// The head of a request took too long.
    SlowHead,
    /// The body of a request took too long.
    SlowBody,
    /// There was no request for too long.
    Idle,
    /// A response was not read.
    Unread,
}

#[derive(Debug, Default)]
struct Pending {
    count: u64,
    logged_at: Option<Instant>,
}

/// Counts refusals and logs them, at most one line for each reason and interval.
#[derive(Debug)]
pub(crate) struct RefusalLog {
    address: SocketAddr,
    log: Logger,
    pending: BTreeMap<RefusalReason, Pending>,
}

impl RefusalLog {
    pub(crate) const fn new(address: SocketAddr, log: Logger) -> Self {
        Self { address, log, pending: BTreeMap::new() }
    }

    /// Counts a refusal. An idle connection that is closed is no refusal worth a line.
    pub(crate) fn record(&mut self, now: Instant, reason: RefusalReason) {
        let labels = [("address", self.address.to_string()), ("reason", reason.to_string())];
        metrics::counter!("heathergrade_http_refused_total", &labels).increment(1);
        if reason != RefusalReason::Idle {
            self.pending.entry(reason).or_default().count += 1;
            self.write_due(now);
        }
    }

    /// Updates the gauges of the server.
    pub(crate) fn record_gauges(&self, connections: usize, buffered_bytes: usize) {
        let labels = [("address", self.address.to_string())];
        #[expect(clippy::cast_precision_loss, reason = "a metric needs no more than 52 bits")]
        let values = (connections as f64, buffered_bytes as f64);
        metrics::gauge!("heathergrade_http_connections", &labels).set(values.0);
        metrics::gauge!("heathergrade_http_buffered_bytes", &labels).set(values.1);
    }

    /// Writes the lines that are due.
    pub(crate) fn write_due(&mut self, now: Instant) {
        for (reason, pending) in &mut self.pending {
            let is_due = pending.logged_at.is_none_or(|at| now.duration_since(at) >= LINE_INTERVAL);
            if pending.count > 0 && is_due {
                warn!(self.log, "http: refused"; "event" => "http.refused", "reason" => %reason,
                    "count" => pending.count, "address" => %self.address);
                *pending = Pending { count: 0, logged_at: Some(now) };
            }
        }
    }
}
