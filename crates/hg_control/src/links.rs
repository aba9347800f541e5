//! The links of a control process: to other replicas, and from entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hg_link::{Directive, Incoming, Link, LinkEndpoint, LinkError, PendingLink, Reply, Request};
use hg_model::EntryName;
use hg_replica::{Message, ReplicaId};
use serde::{Deserialize, Serialize};
use slog::{Logger, debug, info, warn};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::drive::{Driver, Input};
use crate::workflow::{Duty, Order, OrderReport, OrderResult, PlatformDriver, UpstreamDriver};

/// Most batches that wait for one replica; more are dropped, since the agreement repairs losses.
const PEER_QUEUE_MAX: usize = 256;
/// Most directives that wait for one entry; more are dropped, since orders are repeated.
const ENTRY_QUEUE_MAX: usize = 16_384;
/// How long a connection attempt may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// How long an entry may take to take in a directive.
const SEND_LIMIT: Duration = Duration::from_secs(2);
/// How long to wait after a failed connection attempt.
const RECONNECT: Duration = Duration::from_millis(100);
/// How often a replica without a place asks for one.
const JOIN_EVERY: Duration = Duration::from_millis(500);

/// Most hosts that are asked for a place.
const PEERS_MAX: usize = 32;

/// Messages from one replica to another, with where the sender listens.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PeerFrame {
    pub(crate) from: SocketAddr,
    pub(crate) messages: Vec<Message>,
}

/// Where the core's words go.
#[derive(Debug, Clone)]
pub(crate) struct Outbox {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    endpoint: LinkEndpoint,
    runtime: Handle,
    log: Logger,
    peers: Mutex<BTreeMap<SocketAddr, Sender<Vec<Message>>>>,
    entries: Mutex<BTreeMap<EntryName, Sender<Directive>>>,
    drivers: Drivers,
}

/// Who speaks to the world outside; without a driver nothing is sent there.
#[derive(Debug, Clone, Default)]
pub struct Drivers {
    /// Speaks to upstreams that run workflows.
    pub upstreams: Option<Arc<dyn UpstreamDriver>>,
    /// Speaks to whoever owns the hosts.
    pub platform: Option<Arc<dyn PlatformDriver>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Outbox {
    pub(crate) fn new(
        endpoint: LinkEndpoint,
        runtime: Handle,
        drivers: Drivers,
        log: Logger,
    ) -> Self {
        let (peers, entries) = (Mutex::default(), Mutex::default());
        Self { shared: Arc::new(Shared { endpoint, runtime, log, peers, entries, drivers }) }
    }

    /// Sends orders to upstreams; what comes of each goes back to the core.
    pub(crate) fn send_orders(&self, orders: Vec<Order>, driver: &Driver) {
        let Some(upstreams) = &self.shared.drivers.upstreams else { return };
        for order in orders {
            let (upstreams, driver) = (Arc::clone(upstreams), driver.clone());
            let log = self.shared.log.clone();
            self.shared.runtime.spawn(carry_out(upstreams, order, driver, log));
        }
    }

    /// Makes calls to the platform; what comes of each goes back to the core.
    pub(crate) fn send_duties(&self, duties: Vec<Duty>, driver: &Driver) {
        let Some(platform) = &self.shared.drivers.platform else { return };
        for duty in duties {
            let (platform, driver) = (Arc::clone(platform), driver.clone());
            let log = self.shared.log.clone();
            self.shared.runtime.spawn(async move {
                let report = platform.carry_out(duty).await;
                if !driver.put(Input::DutyReport(report)) {
                    warn!(log, "control: report dropped, the core is overloaded";
                        "event" => "report.dropped", "order" => "platform");
                }
            });
        }
    }

    /// Reports orders that were not sent because the lease ended meanwhile.
    pub(crate) fn take_back(&self, orders: Vec<Order>, driver: &Driver) {
        for order in orders {
            let (id, upstream, result) = (order.id, order.upstream, OrderResult::Fenced);
            report(driver, &self.shared.log, OrderReport { id, upstream, result });
        }
    }

    /// Sends messages to replicas; what finds no room is dropped.
    pub(crate) fn send_messages(&self, messages: Vec<(SocketAddr, Message)>) {
        let mut batches: BTreeMap<SocketAddr, Vec<Message>> = BTreeMap::new();
        for (address, message) in messages {
            batches.entry(address).or_default().push(message);
        }
        for (address, batch) in batches {
            let tx = self.peer(address);
            if tx.try_send(batch).is_err() {
                metrics::counter!("hg_control_messages_dropped").increment(1);
            }
        }
    }

    fn peer(&self, address: SocketAddr) -> Sender<Vec<Message>> {
        let mut peers = lock(&self.shared.peers);
        let make = || {
            let (tx, rx) = channel(PEER_QUEUE_MAX);
            let shared = Arc::clone(&self.shared);
            self.shared.runtime.spawn(send_to_peer(shared, address, rx));
            tx
        };
        peers.entry(address).or_insert_with(make).clone()
    }

    /// Sends directives to entries; what finds no room is dropped.
    pub(crate) fn send_directives(&self, directives: Vec<(EntryName, Directive)>) {
        let entries = lock(&self.shared.entries);
        for (entry, directive) in directives {
            let sent = entries.get(&entry).is_some_and(|tx| tx.try_send(directive).is_ok());
            if !sent {
                metrics::counter!("hg_control_directives_dropped").increment(1);
            }
        }
    }
}

async fn carry_out(upstreams: Arc<dyn UpstreamDriver>, order: Order, driver: Driver, log: Logger) {
    let (id, upstream, limit) = (order.id, order.upstream.clone(), order.limit);
    let result = match timeout(limit, upstreams.carry_out(order)).await {
        Ok(result) => result,
        Err(_) => OrderResult::Unanswered(format!("no answer within {limit:?}")),
    };
    report(&driver, &log, OrderReport { id, upstream, result });
}

fn report(driver: &Driver, log: &Logger, report: OrderReport) {
    let order = report.id.0;
    if !driver.put(Input::Report(report)) {
        warn!(log, "control: report dropped, the core is overloaded"; "event" => "report.dropped",
            "order" => order);
    }
}

/// Keeps a link to one replica and sends what comes.
async fn send_to_peer(shared: Arc<Shared>, address: SocketAddr, mut rx: Receiver<Vec<Message>>) {
    let mut link: Option<Link> = None;
    while let Some(mut batch) = rx.recv().await {
        while let Ok(mut more) = rx.try_recv() {
            batch.append(&mut more);
        }
        if link.as_ref().is_none_or(Link::is_closed) {
            link = connect(&shared, address).await;
        }
        let Some(open) = &link else { continue };
        let frame = PeerFrame { from: shared.endpoint.local(), messages: batch };
        match timeout(CONNECT_LIMIT, open.send(&frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                debug!(shared.log, "link: not sent"; "event" => "link.unsent", "error" => %error);
                link = None;
            }
            Err(_) => {
                open.close();
                link = None;
            }
        }
    }
}

async fn connect(shared: &Shared, address: SocketAddr) -> Option<Link> {
    match timeout(CONNECT_LIMIT, shared.endpoint.connect(address)).await {
        Ok(Ok(link)) => Some(link),
        Ok(Err(error)) => {
            debug!(shared.log, "link: not made"; "event" => "link.unmade", "error" => %error);
            sleep(RECONNECT).await;
            None
        }
        Err(_) => None,
    }
}

/// Takes in links until the endpoint closes.
pub(crate) async fn accept_links(endpoint: LinkEndpoint, outbox: Outbox, driver: Driver) {
    while let Some(arriving) = endpoint.next_pending_link().await {
        let (outbox, driver) = (outbox.clone(), driver.clone());
        tokio::spawn(async move {
            let log = outbox.shared.log.clone();
            match serve_arriving(arriving, outbox, driver).await {
                Err(error) if error.is_refusal() => {
                    warn!(log, "link: refused"; "event" => "link.refused", "error" => %error);
                }
                Err(error) => {
                    debug!(log, "link: ended"; "event" => "link.ended", "error" => %error);
                }
                Ok(()) => {}
            }
        });
    }
}

async fn serve_arriving(
    arriving: PendingLink,
    outbox: Outbox,
    driver: Driver,
) -> Result<(), LinkError> {
    let link = arriving.accept().await?;
    let error = tokio::select! {
        error = serve_requests(&link, &outbox, &driver) => error,
        error = serve_messages(&link, &driver) => error,
    };
    Err(error)
}

/// Serves requests until the link ends.
async fn serve_requests(link: &Link, outbox: &Outbox, driver: &Driver) -> LinkError {
    loop {
        match link.next_request().await {
            Ok(incoming) => {
                let (link, outbox, driver) = (link.clone(), outbox.clone(), driver.clone());
                tokio::spawn(serve_request(incoming, link, outbox, driver));
            }
            Err(error) => return error,
        }
    }
}

/// Takes in messages of another replica until the link ends.
async fn serve_messages(link: &Link, driver: &Driver) -> LinkError {
    loop {
        match link.next_message().await {
            Ok(frame) => {
                driver.put(Input::Messages(frame));
            }
            Err(error) => return error,
        }
    }
}

async fn serve_request(mut incoming: Incoming, link: Link, outbox: Outbox, driver: Driver) {
    let log = &outbox.shared.log;
    let req: Request = match incoming.read().await {
        Ok(req) => req,
        Err(error) => {
            warn!(log, "link: bad request"; "event" => "link.bad_request", "error" => %error);
            return;
        }
    };
    let reply = if let Request::Hello(entry) = &req {
        info!(log, "link: entry connected"; "event" => "link.entry", "entry" => %entry,
            "peer" => %link.peer());
        register_entry(&outbox, entry.clone(), link);
        Reply::Done
    } else {
        driver.ask(req).await
    };
    if let Err(error) = incoming.reply(&reply).await {
        debug!(log, "link: reply not sent"; "event" => "link.unsent", "error" => %error);
    }
}

fn register_entry(outbox: &Outbox, entry: EntryName, link: Link) {
    let (tx, rx) = channel(ENTRY_QUEUE_MAX);
    lock(&outbox.shared.entries).insert(entry, tx);
    outbox.shared.runtime.spawn(send_to_entry(link, rx));
}

async fn send_to_entry(link: Link, mut rx: Receiver<Directive>) {
    while let Some(directive) = rx.recv().await {
        let sent = timeout(SEND_LIMIT, link.send(&directive)).await;
        if !matches!(sent, Ok(Ok(()))) {
            // The entry makes a new link once this one is closed.
            link.close();
            return;
        }
    }
}

/// A replica that may need a place in the group.
#[derive(Debug)]
pub struct Asking {
    /// The replica.
    pub id: ReplicaId,
    /// Where it listens for links.
    pub address: SocketAddr,
    /// The control hosts that it was told of.
    pub peers: Vec<SocketAddr>,
    /// Whether it needs a place just now.
    pub needs_membership: Arc<AtomicBool>,
}

/// Asks control hosts for a place, again and again while this replica needs one.
///
/// The hosts it was told of may be gone, so it also asks whomever they take for the leader.
pub async fn ask_for_place(endpoint: LinkEndpoint, asking: Asking, log: Logger) {
    let Asking { id, address, mut peers, needs_membership } = asking;
    loop {
        sleep(JOIN_EVERY).await;
        if !needs_membership.load(Ordering::Relaxed) {
            continue;
        }
        // All at once: hosts that are gone must not keep the leader from being asked.
        let mut asked = JoinSet::new();
        let ask = |peer| ask_one(endpoint.clone(), peer, id.clone(), address);
        for peer in peers.iter().copied().filter(|peer| *peer != address) {
            asked.spawn(ask(peer));
        }
        while let Some(Ok((peer, reply))) = asked.join_next().await {
            debug!(log, "control: asked for a place"; "event" => "join.ask", "peer" => %peer,
                "reply" => ?reply);
            if let Some(Reply::NotLeader { address: Some(leader), .. }) = reply
                && !peers.contains(&leader)
                && peers.len() < PEERS_MAX
            {
                peers.push(leader);
                asked.spawn(ask(leader));
            }
        }
    }
}

/// Asks one host for a place; `None` if it does not answer.
async fn ask_one(
    endpoint: LinkEndpoint,
    peer: SocketAddr,
    id: ReplicaId,
    address: SocketAddr,
) -> (SocketAddr, Option<Reply>) {
    let asked = async {
        let link = endpoint.connect(peer).await.ok()?;
        let reply = link.request(&Request::Join { id, address }, CONNECT_LIMIT).await.ok();
        link.close();
        reply
    };
    (peer, timeout(CONNECT_LIMIT * 2, asked).await.ok().flatten())
}
