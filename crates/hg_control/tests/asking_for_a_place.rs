//! A control host requests membership while most of the hosts that its settings name are unreachable.
//!
//! Guards against a join request that reaches the leader only after those to unreachable hosts time out.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hg_control::{JoiningReplica, request_membership};
use hg_link::{KeyFolder, LinkEndpoint, Reply, Request};
use hg_model::HostName;
use hg_replica::ReplicaId;
use slog::{Discard, Logger, o};
use tokio::sync::mpsc::{Sender, channel};

/// Well below the time for which a join request waits for a host that doesn't answer.
const LIMIT: Duration = Duration::from_millis(1_900);

/// A host that answers every join request with `reply`, and reports each on `requests`.
async fn serve(endpoint: LinkEndpoint, reply: Reply, requests: Sender<()>) {
    while let Some(pending) = endpoint.next_pending_link().await {
        let Ok(link) = pending.accept().await else { continue };
        while let Ok(mut incoming) = link.next_request().await {
            let Ok(Request::Join { .. }) = incoming.read().await else { continue };
            requests.send(()).await.expect("the test still receives");
            incoming.reply(&reply).await.expect("the link is open");
        }
    }
}

fn listen(keys: &KeyFolder) -> eyre::Result<LinkEndpoint> {
    Ok(LinkEndpoint::listen(SocketAddr::from(([127, 0, 0, 1], 0)), keys)?)
}

#[tokio::test(flavor = "multi_thread")]
async fn join_request_reaches_leader_while_most_hosts_are_unreachable() -> eyre::Result<()> {
    let dir = tempfile::tempdir()?;
    KeyFolder::new(dir.path()).create(&[HostName::new("c")?])?;
    let keys = KeyFolder::new(dir.path().join("c"));
    let (leader, follower, own) = (listen(&keys)?, listen(&keys)?, listen(&keys)?);
    // Sockets that no process reads from, so that they respond no more than unreachable hosts do.
    let unreachable = [UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?];
    let mut peers: Vec<SocketAddr> = vec![follower.local_address()];
    for socket in &unreachable {
        peers.push(socket.local_addr()?);
    }
    let (to_leader, mut leader_requests) = channel(16);
    let (to_follower, mut follower_requests) = channel(16);
    tokio::spawn(async move { while follower_requests.recv().await.is_some() {} });
    let hint = Reply::NotLeader { leader: None, address: Some(leader.local_address()) };
    tokio::spawn(serve(leader, Reply::Done, to_leader));
    tokio::spawn(serve(follower, hint, to_follower));
    let replica = JoiningReplica {
        id: ReplicaId { host: HostName::new("c")?, incarnation: 7 },
        address: own.local_address(),
        peers,
        needs_membership: Arc::new(AtomicBool::new(true)),
    };
    tokio::spawn(request_membership(own, replica, Logger::root(Discard, o!())));
    let in_time = tokio::time::timeout(LIMIT, leader_requests.recv()).await;
    assert_eq!(in_time.expect("unreachable hosts delay nothing"), Some(()));
    Ok(())
}
