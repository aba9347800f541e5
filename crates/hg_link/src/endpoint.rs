//! The local end of links.

use std::net::SocketAddr;

use crate::keys::SERVER_NAME;
use crate::{KeyError, KeyFolder, Link, LinkError, LinkStep};

/// A UDP socket from which links are made and, if it listens, on which they arrive.
#[derive(Debug, Clone)]
pub struct LinkEndpoint {
    endpoint: quinn::Endpoint,
    local: SocketAddr,
}

/// A link endpoint that could not be set up.
#[derive(Debug, derive_more::Display, derive_more::From, derive_more::Error)]
pub enum SetupError {
    /// The keys cannot be used.
    Keys(KeyError),
    /// The socket cannot be used.
    Link(LinkError),
}

impl LinkEndpoint {
    /// Listens for links, and can make them too.
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

    /// Only makes links.
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

    /// The local address.
    pub const fn local(&self) -> SocketAddr {
        self.local
    }

    /// Makes a link.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the peer cannot be reached or its key is not valid.
    pub async fn connect(&self, peer: SocketAddr) -> Result<Link, LinkError> {
        let connecting = self.endpoint.connect(peer, SERVER_NAME);
        let connecting = connecting.map_err(LinkError::at(LinkStep::Connect, peer))?;
        let connection = connecting.await.map_err(LinkError::at(LinkStep::Connect, peer))?;
        Ok(Link::new(connection))
    }

    /// Waits for the next link from elsewhere; `None` once the endpoint is closed.
    ///
    /// The handshake itself is left to [`PendingLink::accept`], so that a slow peer holds up
    /// nobody.
    pub async fn next_pending_link(&self) -> Option<PendingLink> {
        let incoming = self.endpoint.accept().await?;
        Some(PendingLink { peer: incoming.remote_address(), incoming })
    }

    /// Ends all links and waits until the peers were told.
    pub async fn close(&self) {
        self.endpoint.close(0_u32.into(), b"shutting down");
        self.endpoint.wait_idle().await;
    }
}

/// A peer that is about to connect.
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
    /// [`LinkError`] if the peer's key is not valid or the handshake fails.
    pub async fn accept(self) -> Result<Link, LinkError> {
        let peer = self.peer;
        let connection = self.incoming.await.map_err(LinkError::at(LinkStep::Connect, peer))?;
        Ok(Link::new(connection))
    }
}
