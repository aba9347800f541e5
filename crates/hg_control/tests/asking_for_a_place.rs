//! A control host that asks for a place while most of the hosts that it was told of are gone.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hg_control::{Asking, ask_for_place};
use hg_link::{KeyFolder, LinkEndpoint, Reply, Request};
use hg_model::HostName;
use hg_replica::ReplicaId;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc::{Sender, channel};

/// Well below the time that one host may take which does not answer.
const LIMIT: Duration = Duration::from_millis(1_900);

/// A host that answers every request with `reply`, and tells of it.
async fn serve(endpoint: LinkEndpoint, reply: Reply, asked: Sender<()>) {
    while let Some(arriving) = endpoint.next_pending_link().await {
        let Ok(link) = arriving.accept().await else { continue };
        while let Ok(mut incoming) = link.next_request().await {
            let Ok(Request::Join { .. }) = incoming.read().await else { continue };
            asked.send(()).await.expect("the test goes on");
            incoming.reply(&reply).await.expect("the link is good");
        }
    }
}

fn listen(keys: &KeyFolder) -> eyre::Result<LinkEndpoint> {
    Ok(LinkEndpoint::listen(SocketAddr::from(([127, 0, 0, 1], 0)), keys)?)
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_is_asked_although_most_hosts_are_gone() -> eyre::Result<()> {
    let dir = tempfile::tempdir()?;
    KeyFolder::new(dir.path()).create(&[HostName::new("c")?])?;
    let keys = KeyFolder::new(dir.path().join("c"));
    let (leader, follower, own) = (listen(&keys)?, listen(&keys)?, listen(&keys)?);
    // Sockets that nobody reads: as silent as hosts that are gone.
    let gone = [UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?];
    let mut peers: Vec<SocketAddr> = vec![follower.local()];
    for socket in &gone {
        peers.push(socket.local_addr()?);
    }
    let (asked, mut told) = channel(16);
    let (silent, mut unheard) = channel(16);
    tokio::spawn(async move { while unheard.recv().await.is_some() {} });
    let hint = Reply::NotLeader { leader: None, address: Some(leader.local()) };
    tokio::spawn(serve(leader, Reply::Done, asked));
    tokio::spawn(serve(follower, hint, silent));
    let asking = Asking {
        id: ReplicaId { host: HostName::new("c")?, incarnation: 7 },
        address: own.local(),
        peers,
        needs_membership: Arc::new(AtomicBool::new(true)),
    };
    tokio::spawn(ask_for_place(own, asking, Logger::root(Discard, o!())));
    let in_time = tokio::time::timeout(LIMIT, told.recv()).await;
    assert_eq!(in_time.expect("hosts that are gone hold nothing up"), Some(()));
    Ok(())
}
