//! Decides which connections a server keeps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::{HttpLimits, RefusalReason};

/// After this time without progress, a connection with a request or response in transit counts as stalled and gives way to
/// others when something runs short.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// For this time after a connection was refused, responses end connections, so that others get their turn.
const SATURATED_FOR: Duration = Duration::from_secs(1);
/// A request gives way to a smaller one if it holds more than this many times as much.
const LARGER_FACTOR: usize = 2;

/// Identifies a connection of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct ConnectionId(u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No byte of the next request has arrived.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A request was received in full and has no response yet.
    Serving,
    /// The response is being sent.
    Sending,
}

/// A connection that is to be closed, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closure {
    /// The connection.
    pub id: ConnectionId,
    /// Why it is closed.
    pub reason: RefusalReason,
    /// Whether its request can still be answered: its head is known, its body is incomplete.
    pub has_request: bool,
}

/// Whether a new connection is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admitted(ConnectionId),
    /// It is, and another connection is to be closed for it.
    Replaces(ConnectionId, Closure),
    /// All connections have a request in progress, so it is not.
    Refused,
}

/// Whether a request may hold more bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Charge {
    /// It may.
    Granted,
    /// It has to wait until closed connections have released their bytes. These are to be closed now.
    Waits(Vec<Closure>),
    /// It may not: the limit is reached and no other request gives way.
    Refused,
}

#[derive(Debug)]
struct Connection {
    stage: Stage,
    /// When the request began to arrive, or, without a request in transit, when the stage began.
    since: Instant,
    /// When bytes last arrived or were sent.
    progress_at: Instant,
    /// Whether a request on this connection has been answered with success.
    was_served: bool,
    /// Whether it was decided to close it.
    is_closing: bool,
    /// Bytes of its request and response that count towards the limit.
    held: usize,
}

impl Connection {
    fn is_stalled(&self, now: Instant) -> bool {
        now.duration_since(self.progress_at) >= STALLED_AFTER
    }

    /// Whether the connection may be closed in favour of others: it has no request that was received in full, and is not being
    /// sent a response that it reads.
    fn can_give_way(&self, now: Instant) -> bool {
        let gives_way = match self.stage {
            Stage::Idle | Stage::Head | Stage::Body => true,
            Stage::Serving => false,
            Stage::Sending => self.is_stalled(now),
        };
        gives_way && !self.is_closing
    }

    /// Why the connection has taken too long, if it has.
    fn overdue(&self, now: Instant, limits: &HttpLimits) -> Option<RefusalReason> {
        let age = now.duration_since(self.since);
        let pause = now.duration_since(self.progress_at);
        let (is_late, reason) = match self.stage {
            Stage::Idle => (age > limits.idle_timeout, RefusalReason::Idle),
            Stage::Head => (age > limits.head_timeout, RefusalReason::SlowHead),
            Stage::Body => (
                pause > limits.idle_timeout || age > limits.request_timeout,
                RefusalReason::SlowBody,
            ),
            Stage::Sending => (pause > limits.idle_timeout, RefusalReason::Unread),
            Stage::Serving => return None,
        };
        // A response that is not read also ends a connection that is closing.
        let is_due = !self.is_closing || self.stage == Stage::Sending;
        (is_late && is_due).then_some(reason)
    }
}

/// The connections of a server, and the bytes that they hold.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: HttpLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next: u64,
    held: usize,
    /// When a connection was last refused.
    refused_at: Option<Instant>,
}

impl ConnectionTable {
    /// A table without connections.
    pub const fn new(limits: HttpLimits) -> Self {
        Self { limits, connections: BTreeMap::new(), next: 0, held: 0, refused_at: None }
    }

    /// Changes the limits; connections above a lower one are replaced as others arrive.
    pub const fn set_limits(&mut self, limits: HttpLimits) {
        self.limits = limits;
    }

    /// Number of connections, those included that are being closed.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Bytes of requests and responses in progress.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Decides about a new connection. At the limit it replaces the one that has waited longest, first among those that have never
    /// been served.
    pub fn admit(&mut self, now: Instant) -> Admission {
        let open = self.connections.values().filter(|connection| !connection.is_closing).count();
        let replaced = if open < self.limits.connections {
            None
        } else {
            match self.longest_waiting(now) {
                Some(id) => self.close(id, RefusalReason::Connections),
                None => {
                    self.refused_at = Some(now);
                    return Admission::Refused;
                }
            }
        };
        let id = ConnectionId(self.next);
        self.next += 1;
        let connection = Connection {
            stage: Stage::Idle,
            since: now,
            progress_at: now,
            was_served: false,
            is_closing: false,
            held: 0,
        };
        self.connections.insert(id, connection);
        replaced.map_or(Admission::Admitted(id), |closure| Admission::Replaces(id, closure))
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.held -= connection.held;
        }
    }

    /// Records that bytes have arrived.
    pub fn record_received(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.progress_at = now;
        if connection.stage == Stage::Idle {
            connection.stage = Stage::Head;
            connection.since = now;
        }
    }

    /// Records that the head of a request is complete.
    pub fn record_head(&mut self, now: Instant, id: ConnectionId, has_body: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !matches!(connection.stage, Stage::Head) {
            // The request was received together with the one before it.
            connection.since = now;
        }
        connection.progress_at = now;
        connection.stage = if has_body { Stage::Body } else { Stage::Serving };
    }

    /// Records that the body of a request is complete. Returns whether the request may be served: not if it was decided to close
    /// the connection.
    pub fn record_body(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if connection.is_closing {
            return false;
        }
        if connection.stage == Stage::Body {
            connection.stage = Stage::Serving;
        }
        true
    }

    /// Records that a request has its response, and whether that is a success.
    pub fn record_response(&mut self, now: Instant, id: ConnectionId, is_success: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.stage = Stage::Sending;
        connection.since = now;
        connection.progress_at = now;
        connection.was_served |= is_success;
    }

    /// Whether the connection ends with its response: after others were refused, since clients that send one request behind the
    /// other would keep all connections. Clients that were served before keep theirs, unless there are no others.
    pub fn ends_with_response(&self, now: Instant, id: ConnectionId) -> bool {
        let is_saturated = self.refused_at.is_some_and(|at| now.duration_since(at) < SATURATED_FOR);
        let was_served =
            |id| self.connections.get(id).is_some_and(|connection| connection.was_served);
        is_saturated && (!was_served(&id) || self.connections.keys().all(was_served))
    }

    /// Records that a part of a response was sent.
    pub fn record_sent(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress_at = now;
        }
    }

    /// Records that nothing is left to be sent. Returns whether a response ended with that.
    pub fn record_flushed(&mut self, now: Instant, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if connection.stage != Stage::Sending {
            return false;
        }
        connection.stage = Stage::Idle;
        connection.since = now;
        self.held -= std::mem::take(&mut connection.held);
        true
    }

    /// What a connection does; `None` if there is no such connection.
    pub fn stage(&self, id: ConnectionId) -> Option<Stage> {
        self.connections.get(&id).map(|connection| connection.stage)
    }

    /// Decides whether a request may hold `bytes` more. At the limit, stalled requests and responses give way first, then requests that
    /// hold far more than this one, the latest of them first: so small requests pass, and the oldest large one goes on.
    pub fn charge(&mut self, now: Instant, id: ConnectionId, bytes: usize) -> Charge {
        let Some(own) = self.connections.get(&id).filter(|own| !own.is_closing) else {
            return Charge::Refused;
        };
        let wanted = own.held + bytes;
        if self.has_room(bytes) {
            self.add_held(id, bytes);
            return Charge::Granted;
        }
        let mut closures = Vec::new();
        while self.held - self.held_by_closing() + bytes > self.limits.buffered_bytes {
            let Some(victim) = self.giving_way(now, id, wanted) else {
                // What was closed for this request so far serves the next one.
                return if closures.is_empty() { Charge::Refused } else { Charge::Waits(closures) };
            };
            closures.extend(self.close(victim, RefusalReason::Memory));
        }
        Charge::Waits(closures)
    }

    /// Counts the bytes of a response, in any case. Returns the connections to close for it, and whether it fits beside those
    /// that stay.
    pub fn charge_response(
        &mut self,
        now: Instant,
        id: ConnectionId,
        bytes: usize,
    ) -> (Vec<Closure>, bool) {
        let mut closures = Vec::new();
        let mut fits = self.has_room(bytes);
        while !fits {
            let Some(victim) = self.giving_way(now, id, bytes) else { break };
            closures.extend(self.close(victim, RefusalReason::Memory));
            fits = self.held - self.held_by_closing() + bytes <= self.limits.buffered_bytes;
        }
        self.add_held(id, bytes);
        (closures, fits)
    }

    /// Refuses the request that a connection receives. Returns whether this decides it: not if the request is complete or the
    /// connection is closing already.
    pub fn refuse(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let decides = connection.stage == Stage::Body && !connection.is_closing;
        connection.is_closing |= decides;
        decides
    }

    const fn has_room(&self, bytes: usize) -> bool {
        self.held.saturating_add(bytes) <= self.limits.buffered_bytes
    }

    /// Releases all that the request of a connection holds.
    pub fn release(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.held -= std::mem::take(&mut connection.held);
        }
    }

    /// The connections that have taken too long; they count as closing from now on.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Closure> {
        let late = |(id, connection): (&ConnectionId, &Connection)| {
            Some((*id, connection.overdue(now, &self.limits)?))
        };
        let late: Vec<_> = self.connections.iter().filter_map(late).collect();
        late.into_iter().filter_map(|(id, reason)| self.close(id, reason)).collect()
    }

    fn add_held(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held += bytes;
            self.held += bytes;
        }
    }

    fn held_by_closing(&self) -> usize {
        let closing = self.connections.values().filter(|connection| connection.is_closing);
        closing.map(|connection| connection.held).sum()
    }

    fn close(&mut self, id: ConnectionId, reason: RefusalReason) -> Option<Closure> {
        let connection = self.connections.get_mut(&id)?;
        connection.is_closing = true;
        Some(Closure { id, reason, has_request: connection.stage == Stage::Body })
    }

    fn longest_waiting(&self, now: Instant) -> Option<ConnectionId> {
        let waiting = self.connections.iter().filter(|(_, c)| c.can_give_way(now));
        let first = waiting.min_by_key(|(id, c)| {
            let has_request = matches!(c.stage, Stage::Head | Stage::Body);
            (c.was_served, c.was_served && has_request, c.since, **id)
        });
        first.map(|(id, _)| *id)
    }

    /// The connection whose request or response gives way to a request of `id` that would hold `wanted` bytes.
    fn giving_way(&self, now: Instant, id: ConnectionId, wanted: usize) -> Option<ConnectionId> {
        let holding = |(other, c): &(&ConnectionId, &Connection)| {
            **other != id && c.held > 0 && c.can_give_way(now)
        };
        let candidates = || self.connections.iter().filter(holding);
        let stalled = candidates().filter(|(_, c)| c.is_stalled(now));
        let stalled = stalled.min_by_key(|(id, c)| (c.progress_at, **id));
        let larger = || candidates().filter(|(_, c)| c.held > wanted * LARGER_FACTOR);
        let chosen = stalled.or_else(|| larger().max_by_key(|(id, c)| (c.since, **id)));
        chosen.map(|(id, _)| *id)
    }
}
