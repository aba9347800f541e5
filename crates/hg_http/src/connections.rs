//! The connection table as the tasks of a server share it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use tokio::sync::Notify;

use crate::HttpLimits;
use crate::connection_table::{Admission, Charge, Closure, ConnectionId, ConnectionTable, Stage};
use crate::refusal::{RefusalLog, RefusalReason};

/// Wakes the task of a connection.
#[derive(Debug, Default)]
struct Signals {
    /// The connection is to be closed.
    close: Notify,
    /// The request that is being received is to be refused.
    refuse: Notify,
    /// The last response has been sent.
    flushed: Notify,
}

#[derive(Debug)]
struct Shared {
    table: ConnectionTable,
    signals: BTreeMap<ConnectionId, Arc<Signals>>,
    /// Requests that wait until others release memory.
    waiting: BTreeMap<ConnectionId, Waker>,
    refusals: RefusalLog,
}

impl Shared {
    fn signal(&mut self, now: Instant, closures: &[Closure]) {
        for closure in closures {
            self.refusals.record(now, closure.reason);
            if let Some(signals) = self.signals.get(&closure.id) {
                if closure.has_request { &signals.refuse } else { &signals.close }.notify_one();
            }
        }
    }

    fn wake_waiting(&mut self) {
        std::mem::take(&mut self.waiting).into_values().for_each(Waker::wake);
    }
}

/// The connections of a server, shared by their tasks.
#[derive(Debug)]
pub(crate) struct Connections {
    shared: Mutex<Shared>,
    added: Notify,
    removed: Notify,
}

/// What becomes of a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseDecision {
    /// Whether it is sent: always, unless it may be withheld and there is no memory for it.
    pub(crate) is_sent: bool,
    /// Whether the connection ends with it.
    pub(crate) ends_connection: bool,
}

/// One connection; dropping it removes the connection from the table.
#[derive(Debug)]
pub(crate) struct Connection {
    connections: Arc<Connections>,
    id: ConnectionId,
    signals: Arc<Signals>,
}

impl Connections {
    pub(crate) fn new(table: ConnectionTable, refusals: RefusalLog) -> Self {
        let (signals, waiting) = (BTreeMap::new(), BTreeMap::new());
        let shared = Shared { table, signals, waiting, refusals };
        Self { shared: Mutex::new(shared), added: Notify::new(), removed: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limits; connections above a lower one are replaced as others arrive.
    pub(crate) fn set_limits(&self, limits: HttpLimits) {
        self.lock().table.set_limits(limits);
    }

    /// Number of open connections, those included that are being closed.
    pub(crate) fn len(&self) -> usize {
        self.lock().table.len()
    }

    /// Waits until there are at most `max` connections, for one task.
    pub(crate) async fn wait_for_at_most(&self, max: usize) {
        while self.len() > max {
            self.removed.notified().await;
        }
    }

    /// Waits until there is a connection, for one task.
    pub(crate) async fn wait_for_any(&self) {
        while self.len() == 0 {
            self.added.notified().await;
        }
    }

    /// Admits a new connection; `None` if it is to be closed.
    pub(crate) fn admit(self: &Arc<Self>, now: Instant) -> Option<Connection> {
        let mut shared = self.lock();
        let id = match shared.table.admit(now) {
            Admission::Admitted(id) => id,
            Admission::Replaces(id, closure) => {
                shared.signal(now, &[closure]);
                id
            }
            Admission::Refused => {
                shared.refusals.record(now, RefusalReason::Connections);
                return None;
            }
        };
        let signals = Arc::<Signals>::default();
        shared.signals.insert(id, Arc::clone(&signals));
        drop(shared);
        self.added.notify_one();
        Some(Connection { connections: Arc::clone(self), id, signals })
    }

    /// Closes the connections that have taken too long, and writes the log lines that are due.
    pub(crate) fn close_overdue(&self, now: Instant) {
        let mut shared = self.lock();
        let closures = shared.table.take_overdue(now);
        shared.signal(now, &closures);
        shared.refusals.write_due(now);
        shared.refusals.record_gauges(shared.table.len(), shared.table.held());
    }
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.connections.lock()
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.signals.close.notified().await;
    }

    /// Waits until the request that is being received is to be refused.
    pub(crate) async fn refused(&self) {
        self.signals.refuse.notified().await;
    }

    /// Waits until the response to the last request has been sent.
    pub(crate) async fn flushed(&self) {
        while self.lock().table.stage(self.id) == Some(Stage::Sending) {
            self.signals.flushed.notified().await;
        }
    }

    pub(crate) fn record_received(&self, now: Instant) {
        self.lock().table.record_received(now, self.id);
    }

    pub(crate) fn record_head(&self, now: Instant, has_body: bool) {
        self.lock().table.record_head(now, self.id, has_body);
    }

    /// Records that the body is complete. Returns whether the request may be served.
    pub(crate) fn record_body(&self) -> bool {
        self.lock().table.record_body(self.id)
    }

    pub(crate) fn record_sent(&self, now: Instant) {
        self.lock().table.record_sent(now, self.id);
    }

    pub(crate) fn record_flushed(&self, now: Instant) {
        let mut shared = self.lock();
        if shared.table.record_flushed(now, self.id) {
            shared.wake_waiting();
            self.signals.flushed.notify_one();
        }
    }

    /// Counts a refusal of this connection that the table did not decide.
    pub(crate) fn record_refusal(&self, now: Instant, reason: RefusalReason) {
        self.lock().refusals.record(now, reason);
    }

    /// Records a response with a body of `bytes`, and decides what becomes of it.
    pub(crate) fn record_response(
        &self,
        now: Instant,
        bytes: usize,
        is_success: bool,
        may_withhold: bool,
    ) -> ResponseDecision {
        let mut shared = self.lock();
        let (closures, fits) = shared.table.charge_response(now, self.id, bytes);
        shared.signal(now, &closures);
        let is_sent = fits || !may_withhold;
        if !is_sent {
            shared.table.release(self.id);
            shared.refusals.record(now, RefusalReason::Memory);
        }
        shared.table.record_response(now, self.id, is_success && is_sent);
        let ends_connection = shared.table.ends_with_response(now, self.id);
        ResponseDecision { is_sent, ends_connection }
    }

    /// Charges `bytes` of a request. Never ready if the request is refused instead.
    pub(crate) fn poll_charge(&self, cx: &Context<'_>, now: Instant, bytes: usize) -> Poll<()> {
        let mut shared = self.lock();
        match shared.table.charge(now, self.id, bytes) {
            Charge::Granted => return Poll::Ready(()),
            Charge::Refused => {
                if shared.table.refuse(self.id) {
                    shared.refusals.record(now, RefusalReason::Memory);
                    self.signals.refuse.notify_one();
                }
            }
            Charge::Waits(closures) => {
                shared.signal(now, &closures);
                shared.waiting.insert(self.id, cx.waker().clone());
            }
        }
        Poll::Pending
    }

    /// Releases what the request holds.
    pub(crate) fn release(&self) {
        let mut shared = self.lock();
        shared.table.release(self.id);
        shared.wake_waiting();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut shared = self.lock();
        shared.table.remove(self.id);
        shared.signals.remove(&self.id);
        shared.waiting.remove(&self.id);
        shared.wake_waiting();
        drop(shared);
        self.connections.removed.notify_one();
    }
}
