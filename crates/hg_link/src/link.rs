//! A connection to another process, and the requests that arrive on it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::stream_limit::{RequestInFlight, RequestLimit};
use crate::{FRAME_MAX_BYTES, LinkCause, LinkError, LinkStep, decode, encode};

/// A connection to another process. Clones share the connection.
#[derive(Clone)]
pub struct Link {
    connection: Connection,
    limit: Arc<RequestLimit>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").field("peer", &self.peer()).finish_non_exhaustive()
    }
}

/// A request that arrived on a link and awaits its reply.
pub struct Incoming {
    peer: SocketAddr,
    tx: SendStream,
    rx: RecvStream,
    _in_flight: RequestInFlight,
}

impl fmt::Debug for Incoming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Incoming").field("peer", &self.peer).finish_non_exhaustive()
    }
}

impl Link {
    pub(crate) fn new(connection: Connection) -> Self {
        Self { connection, limit: Arc::default() }
    }

    /// The peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.connection.close(0_u32.into(), b"done");
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the link fails or the reply does not arrive within `limit`; the peer may
    /// have received the request all the same.
    pub async fn request<Q, R>(&self, req: &Q, limit: Duration) -> Result<R, LinkError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        match timeout(limit, self.request_without_limit(req)).await {
            Ok(result) => result,
            Err(_) => Err(LinkError::at(LinkStep::Receive, self.peer())(LinkCause::Timeout)),
        }
    }

    /// Same as [`Link::request`], without a time limit.
    async fn request_without_limit<Q, R>(&self, req: &Q) -> Result<R, LinkError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let peer = self.peer();
        let opened = self.connection.open_bi().await;
        let (mut tx, mut rx) = opened.map_err(LinkError::at(LinkStep::Stream, peer))?;
        tx.write_all(&encode(req)).await.map_err(LinkError::at(LinkStep::Send, peer))?;
        tx.finish().map_err(LinkError::at(LinkStep::Send, peer))?;
        let frame = rx.read_to_end(FRAME_MAX_BYTES).await;
        let frame = frame.map_err(LinkError::at(LinkStep::Receive, peer))?;
        decode(&frame).map_err(LinkError::at(LinkStep::Decode, peer))
    }

    /// Waits for the next request from the peer.
    ///
    /// # Errors
    ///
    /// [`LinkError`] once the connection has ended.
    pub async fn next_request(&self) -> Result<Incoming, LinkError> {
        let peer = self.peer();
        let (tx, rx) =
            self.connection.accept_bi().await.map_err(LinkError::at(LinkStep::Stream, peer))?;
        let (in_flight, grown) = self.limit.count();
        if let Some(max) = grown {
            self.connection.set_max_concurrent_bi_streams(max.into());
        }
        Ok(Incoming { peer, tx, rx, _in_flight: in_flight })
    }

    /// Sends a one-way message.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the link fails.
    pub async fn send<T: Serialize + Sync>(&self, message: &T) -> Result<(), LinkError> {
        let peer = self.peer();
        let opened = self.connection.open_uni().await;
        let mut tx = opened.map_err(LinkError::at(LinkStep::Stream, peer))?;
        tx.write_all(&encode(message)).await.map_err(LinkError::at(LinkStep::Send, peer))?;
        tx.finish().map_err(LinkError::at(LinkStep::Send, peer))
    }

    /// Waits for the next one-way message.
    ///
    /// # Errors
    ///
    /// [`LinkError`] once the connection has ended, or if the message is malformed.
    pub async fn next_message<T: DeserializeOwned>(&self) -> Result<T, LinkError> {
        let peer = self.peer();
        let accepted = self.connection.accept_uni().await;
        let mut rx = accepted.map_err(LinkError::at(LinkStep::Stream, peer))?;
        let frame = rx.read_to_end(FRAME_MAX_BYTES).await;
        let frame = frame.map_err(LinkError::at(LinkStep::Receive, peer))?;
        decode(&frame).map_err(LinkError::at(LinkStep::Decode, peer))
    }
}

impl Incoming {
    /// Reads the request.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the link fails or the request is malformed.
    pub async fn read<Q: DeserializeOwned>(&mut self) -> Result<Q, LinkError> {
        let frame = self.rx.read_to_end(FRAME_MAX_BYTES).await;
        let frame = frame.map_err(LinkError::at(LinkStep::Receive, self.peer))?;
        decode(&frame).map_err(LinkError::at(LinkStep::Decode, self.peer))
    }

    /// Sends the reply.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the link fails.
    pub async fn reply<R: Serialize + Sync>(mut self, reply: &R) -> Result<(), LinkError> {
        let sent = self.tx.write_all(&encode(reply)).await;
        sent.map_err(LinkError::at(LinkStep::Send, self.peer))?;
        self.tx.finish().map_err(LinkError::at(LinkStep::Send, self.peer))
    }
}
