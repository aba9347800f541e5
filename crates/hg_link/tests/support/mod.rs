//! Endpoints that are linked to each other.

use std::net::{Ipv4Addr, SocketAddr};

use hg_link::{KeyFolder, Link, LinkEndpoint};
use hg_model::HostName;
use tokio::sync::mpsc;

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// An endpoint that accepts links, and one that opens them.
pub fn endpoints() -> eyre::Result<(LinkEndpoint, LinkEndpoint)> {
    let dir = tempfile::tempdir()?;
    KeyFolder::new(dir.path()).create(&[HostName::new("link")?])?;
    let keys = KeyFolder::new(dir.path().join("link"));
    Ok((LinkEndpoint::listen(any_port(), &keys)?, LinkEndpoint::connect_only(any_port(), &keys)?))
}

/// Accepts links and hands them on.
pub fn accept(listener: LinkEndpoint) -> mpsc::Receiver<Link> {
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(async move {
        while let Some(pending) = listener.next_pending_link().await {
            if let Ok(link) = pending.accept().await
                && tx.send(link).await.is_err()
            {
                return;
            }
        }
    });
    rx
}
