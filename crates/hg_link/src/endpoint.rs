//! The local UDP endpoint that opens and accepts links.

use std::net::SocketAddr;

use crate::keys::SERVER_NAME;
use crate::{KeyError, KeyFolder, Link, LinkError, LinkStep};

/// A UDP socket that opens outgoing links and, if it listens, accepts incoming ones.
#[derive(Debug, Clone)]
pub struct LinkEndpoint {
    endpoint: quinn::Endpoint,
    local: SocketAddr,
}

/// Why a link endpoint could not be set up.
#[derive(Debug, derive_more::Display, derive_more::From, derive_more::Error)]
pub enum SetupError {
    /// The keys are missing or unusable.
    Keys(KeyError),
    /// The socket could not be opened.
    Link(LinkError),
}

impl LinkEndpoint {
    /// Opens an endpoint that accepts incoming links and can also connect to peers.
    ///
    /// # Errors
    ///
    /// [`SetupError`] if the keys or the address cannot be used.
    pub fn listen(address: SocketAddr, keys: &KeyFolder) -> Result<Self, SetupError> {
        let server = keys.server()?;
        let mut endpoint = quinn::Endpoint::server(server, address)
            .map_err(LinkError::at(LinkStep::Bind, address))?;
        endpoint.set_default_client_config(keys.client()?);
        let local = endpoint.local_addr().map_err(LinkError::at(LinkStep::Bind, address))?;
        Ok(Self { endpoint, local })
    }

    /// Opens an endpoint that can connect to peers but accepts no links.
    ///
    /// # Errors
    ///
    /// [`SetupError`] if the keys or the address cannot be used.
    pub fn connect_only(address: SocketAddr, keys: &KeyFolder) -> Result<Self, SetupError> {
        let mut endpoint =
            quinn::Endpoint::client(address).map_err(LinkError::at(LinkStep::Bind, address))?;
        endpoint.set_default_client_config(keys.client()?);
        let local = endpoint.local_addr().map_err(LinkError::at(LinkStep::Bind, address))?;
        Ok(Self { endpoint, local })
    }

    /// The address to which the socket is bound.
    pub const fn local_address(&self) -> SocketAddr {
        self.local
    }

    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the peer cannot be reached or its certificate is not valid.
    pub async fn connect(&self, peer: SocketAddr) -> Result<Link, LinkError> {
        let connecting = self.endpoint.connect(peer, SERVER_NAME);
        let connecting = connecting.map_err(LinkError::at(LinkStep::Connect, peer))?;
        let connection = connecting.await.map_err(LinkError::at(LinkStep::Connect, peer))?;
        Ok(Link::new(connection))
    }

    /// Waits for the next incoming connection; `None` once the endpoint is closed.
    ///
    /// The handshake is left to [`PendingLink::accept`], so that a slow peer does not delay the other
    /// connections.
    pub async fn next_pending_link(&self) -> Option<PendingLink> {
        let incoming = self.endpoint.accept().await?;
        Some(PendingLink { peer: incoming.remote_address(), incoming })
    }

    /// Closes all links and waits until the peers have been notified.
    pub async fn close(&self) {
        self.endpoint.close(0_u32.into(), b"shutting down");
        self.endpoint.wait_idle().await;
    }
}

/// An incoming connection whose handshake has not been completed.
#[derive(Debug)]
pub struct PendingLink {
    peer: SocketAddr,
    incoming: quinn::Incoming,
}

impl PendingLink {
    /// Completes the handshake.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the peer's certificate is not valid or the handshake fails.
    pub async fn accept(self) -> Result<Link, LinkError> {
        let peer = self.peer;
        let connection = self.incoming.await.map_err(LinkError::at(LinkStep::Connect, peer))?;
        Ok(Link::new(connection))
    }
}
