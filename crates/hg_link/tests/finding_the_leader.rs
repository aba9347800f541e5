//! Guards against a client that spends its caller's time on control hosts that are gone, and so never asks the
//! one that leads.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use hg_link::{ControlClient, KeyFolder, Link, LinkEndpoint, Reply, Request};
use hg_model::{EntryName, HostName};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

/// How long a caller's request waits for the leader.
const CALLER_LIMIT: Duration = Duration::from_millis(1_400);

/// What a stand-in for a control host replies to pings and requests.
#[derive(Debug, Clone)]
enum Behaviour {
    Leads,
    Follows(Option<SocketAddr>),
    /// Accepts links and never replies, like a paused process.
    Silent,
    /// Leads, and replies after a pause.
    Slow(Duration),
}

struct Group {
    dir: TempDir,
    /// Sockets that nobody reads: hosts that are gone.
    gone: Vec<UdpSocket>,
}

/// A stand-in for a control host, whose behaviour may change.
struct Host {
    address: SocketAddr,
    behaviour: watch::Sender<Behaviour>,
    /// How many requests other than pings and greetings have arrived.
    requests: watch::Receiver<usize>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Group {
    fn new() -> eyre::Result<Self> {
        let dir = tempfile::tempdir()?;
        KeyFolder::new(dir.path()).create(&[HostName::new("link")?])?;
        Ok(Self { dir, gone: Vec::new() })
    }

    fn keys(&self) -> KeyFolder {
        KeyFolder::new(self.dir.path().join("link"))
    }

    fn host(&self, behaviour: Behaviour) -> eyre::Result<Host> {
        let endpoint = LinkEndpoint::listen(any_port(), &self.keys())?;
        let address = endpoint.local_address();
        let (behaviour, behaves) = watch::channel(behaviour);
        let (count, requests) = watch::channel(0);
        tokio::spawn(async move {
            while let Some(pending) = endpoint.next_pending_link().await {
                // As in a control host, a peer that drops its link while opening it affects no other.
                let (behaves, count) = (behaves.clone(), count.clone());
                tokio::spawn(async move {
                    if let Ok(link) = pending.accept().await {
                        serve(link, behaves, count).await;
                    }
                });
            }
        });
        Ok(Host { address, behaviour, requests })
    }

    fn gone_host(&mut self) -> eyre::Result<SocketAddr> {
        let socket = UdpSocket::bind(any_port())?;
        let address = socket.local_addr()?;
        self.gone.push(socket);
        Ok(address)
    }

    fn client(&self, hosts: Vec<SocketAddr>) -> eyre::Result<ControlClient> {
        let endpoint = LinkEndpoint::connect_only(any_port(), &self.keys())?;
        let (directives, _) = mpsc::channel(1);
        let log = Logger::root(Discard, o!());
        Ok(ControlClient::new(endpoint, hosts, EntryName::new("e1")?, directives, log))
    }
}

async fn serve(link: Link, behaves: watch::Receiver<Behaviour>, count: watch::Sender<usize>) {
    while let Ok(mut incoming) = link.next_request().await {
        let (behaves, count) = (behaves.clone(), count.clone());
        tokio::spawn(async move {
            let req: Request = incoming.read().await.expect("the client sends valid requests");
            let is_greeting = matches!(req, Request::Hello(_));
            if !is_greeting && !matches!(req, Request::Workflow(_)) {
                count.send_modify(|count| *count += 1);
            }
            let behaviour = behaves.borrow().clone();
            let reply = match behaviour {
                _ if is_greeting => Reply::Done,
                Behaviour::Leads => Reply::Done,
                Behaviour::Follows(address) => Reply::NotLeader { leader: None, address },
                Behaviour::Silent => std::future::pending().await,
                Behaviour::Slow(pause) => {
                    sleep(pause).await;
                    Reply::Done
                }
            };
            // The client may have given up the request.
            drop(incoming.reply(&reply).await);
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_reaches_a_leader_behind_two_hosts_that_are_gone() -> eyre::Result<()> {
    let mut group = Group::new()?;
    let leader = group.host(Behaviour::Leads)?;
    let hosts = vec![group.gone_host()?, group.gone_host()?, leader.address];
    let client = group.client(hosts)?;
    let reply = client.request(&Request::GetLists, CALLER_LIMIT).await?;
    assert_eq!(reply, Reply::Done);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_reaches_a_leader_that_only_a_follower_knows() -> eyre::Result<()> {
    let mut group = Group::new()?;
    let leader = group.host(Behaviour::Leads)?;
    let follower = group.host(Behaviour::Follows(Some(leader.address)))?;
    let hosts = vec![group.gone_host()?, follower.address];
    let client = group.client(hosts)?;
    assert_eq!(client.request(&Request::GetLists, CALLER_LIMIT).await?, Reply::Done);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_leaves_a_paused_leader_for_its_successor() -> eyre::Result<()> {
    let group = Group::new()?;
    let old = group.host(Behaviour::Leads)?;
    let new = group.host(Behaviour::Follows(Some(old.address)))?;
    let client = group.client(vec![old.address, new.address])?;
    assert_eq!(client.request(&Request::GetLists, CALLER_LIMIT).await?, Reply::Done);
    old.behaviour.send_replace(Behaviour::Silent);
    new.behaviour.send_replace(Behaviour::Leads);
    let started = Instant::now();
    assert_eq!(client.request(&Request::GetLists, CALLER_LIMIT).await?, Reply::Done);
    assert_eq!(client.leader(), Some(new.address));
    assert!(started.elapsed() < CALLER_LIMIT / 2, "took {:?}", started.elapsed());
    Ok(())
}

/// A search that found the leader drops the links that it is still opening.
#[tokio::test(flavor = "multi_thread")]
async fn request_reaches_a_host_whose_links_were_dropped_while_opening() -> eyre::Result<()> {
    let group = Group::new()?;
    let leader = group.host(Behaviour::Leads)?;
    let endpoint = LinkEndpoint::connect_only(any_port(), &group.keys())?;
    for step in 0..40 {
        // At other moments of the handshake each time.
        let limit = Duration::from_micros(50 * step);
        drop(timeout(limit, endpoint.connect(leader.address)).await);
    }
    let client = group.client(vec![leader.address])?;
    assert_eq!(client.request(&Request::GetLists, CALLER_LIMIT).await?, Reply::Done);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_a_slow_leader_is_sent_once() -> eyre::Result<()> {
    let group = Group::new()?;
    let leader = group.host(Behaviour::Slow(Duration::from_millis(600)))?;
    let follower = group.host(Behaviour::Follows(Some(leader.address)))?;
    let client = group.client(vec![leader.address, follower.address])?;
    client.set_leader(leader.address);
    assert_eq!(client.request(&Request::GetLists, CALLER_LIMIT).await?, Reply::Done);
    assert_eq!(*leader.requests.borrow(), 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_leader_is_known_not_to_have_run() -> eyre::Result<()> {
    let mut group = Group::new()?;
    let follower = group.host(Behaviour::Follows(None))?;
    let hosts = vec![group.gone_host()?, follower.address];
    let client = group.client(hosts)?;
    let error = client.request(&Request::GetLists, CALLER_LIMIT).await.expect_err("none leads");
    assert!(!error.outcome_unknown, "{error}");
    assert_eq!(*follower.requests.borrow(), 0, "only pings are sent while no host leads");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_a_paused_leader_received_has_an_unknown_outcome() -> eyre::Result<()> {
    let group = Group::new()?;
    let leader = group.host(Behaviour::Silent)?;
    let client = group.client(vec![leader.address])?;
    client.set_leader(leader.address);
    let error = client.request(&Request::GetLists, CALLER_LIMIT).await.expect_err("no reply");
    assert!(error.outcome_unknown, "{error}");
    Ok(())
}
