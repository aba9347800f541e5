//! The links of a control process: to other replicas, and from replicas and entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hg_link::{Directive, Incoming, Link, LinkEndpoint, LinkError, PendingLink, Reply, Request};
use hg_model::{DataCentreName, EntryName, Time, UpstreamName, UpstreamReport};
use hg_replica::{Message, ReplicaId};
use serde::{Deserialize, Serialize};
use slog::{Logger, debug, info, warn};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::core_loop::{CoreHandle, Input};
use crate::order_lanes::OrderLanes;
use crate::start_gate::{StartGate, StartPass};
use crate::workflow::{
    Order, OrderKind, OrderReport, OrderResult, PlatformCall, PlatformDriver, UpstreamDriver,
};

/// The maximum number of batches queued for one replica; more are dropped, since the consensus protocol
/// recovers from lost messages.
const PEER_QUEUE_MAX: usize = 256;
/// The maximum number of directives queued for one entry; more are dropped, since orders are resent.
const ENTRY_QUEUE_MAX: usize = 16_384;
/// How long a connection attempt, a send to a replica or a join request may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long sending a directive to an entry may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// How often a replica that needs membership requests it.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of hosts from which membership is requested.
const JOIN_PEERS_MAX: usize = 32;

/// Messages from one replica to another, with the address at which the sender listens for links.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PeerFrame {
    pub(crate) from: SocketAddr,
    pub(crate) messages: Vec<Message>,
}

/// Sends what the core puts out: messages, directives, orders and platform calls.
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
    lanes: Arc<OrderLanes>,
    gate: Arc<StartGate>,
}

/// The drivers for upstreams and the platform; without a driver nothing is sent there.
#[derive(Debug, Clone, Default)]
pub struct Drivers {
    /// Sends orders to upstreams that run workflows.
    pub upstreams: Option<Arc<dyn UpstreamDriver>>,
    /// Calls the platform that owns the hosts.
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
        files_max: usize,
        log: Logger,
    ) -> Self {
        let (peers, entries) = (Mutex::default(), Mutex::default());
        let lanes = Arc::new(OrderLanes::new(files_max));
        let gate = Arc::new(StartGate::default());
        let shared = Shared { endpoint, runtime, log, peers, entries, drivers, lanes, gate };
        Self { shared: Arc::new(shared) }
    }

    /// Sends orders to upstreams; the result of each is reported to the core.
    ///
    /// `fleet` are the registered upstreams; the process's files are divided among them.
    pub(crate) fn send_orders(
        &self,
        orders: Vec<Order>,
        fleet: &BTreeMap<UpstreamName, UpstreamReport>,
        core: &CoreHandle,
    ) {
        self.shared.lanes.set_fleet(fleet.len());
        let Some(upstreams) = &self.shared.drivers.upstreams else { return };
        for order in orders {
            let (upstreams, core) = (Arc::clone(upstreams), core.clone());
            let (lanes, log) = (Arc::clone(&self.shared.lanes), self.shared.log.clone());
            let pass = StartPass::new(&self.shared.gate, &order, fleet);
            self.shared.runtime.spawn(execute_order(upstreams, lanes, pass, order, core, log));
        }
    }

    /// Sends no start to the upstreams of these data centres from now on, not even one that waits for a connection.
    pub(crate) fn close_to_starts(&self, drained: &BTreeMap<DataCentreName, Time>) {
        self.shared.gate.close(drained);
    }

    /// Makes calls to the platform; the result of each is reported to the core.
    pub(crate) fn call_platform(&self, calls: Vec<PlatformCall>, core: &CoreHandle) {
        let Some(platform) = &self.shared.drivers.platform else { return };
        for call in calls {
            let (platform, core) = (Arc::clone(platform), core.clone());
            let log = self.shared.log.clone();
            self.shared.runtime.spawn(async move {
                let report = platform.carry_out(call).await;
                if !core.send(Input::PlatformCallReport(report)) {
                    warn!(log, "control: report dropped, the core is overloaded";
                        "event" => "report.dropped", "order" => "platform");
                }
            });
        }
    }

    /// Reports orders as fenced that were not sent because the leader's lease expired meanwhile.
    pub(crate) fn report_unsent(&self, orders: Vec<Order>, core: &CoreHandle) {
        for order in orders {
            let (id, upstream, result) = (order.id, order.upstream, OrderResult::Fenced);
            report(core, &self.shared.log, OrderReport { id, upstream, result });
        }
    }

    /// Sends messages to replicas; batches for a full queue are dropped.
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
        let start_sender = || {
            let (tx, rx) = channel(PEER_QUEUE_MAX);
            let shared = Arc::clone(&self.shared);
            self.shared.runtime.spawn(send_to_peer(shared, address, rx));
            tx
        };
        peers.entry(address).or_insert_with(start_sender).clone()
    }

    /// Sends directives to entries; those for a full queue or an entry without a link are dropped.
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

async fn execute_order(
    upstreams: Arc<dyn UpstreamDriver>,
    lanes: Arc<OrderLanes>,
    pass: StartPass,
    order: Order,
    core: CoreHandle,
    log: Logger,
) {
    let (id, upstream, limit) = (order.id, order.upstream.clone(), order.limit);
    // At most one listing of an upstream is in flight, so listings need no lane.
    let needs_lane = !matches!(order.kind, OrderKind::Renew { .. });
    let lane = if needs_lane {
        let Ok(lane) = timeout(limit, lanes.enter(order.address)).await else {
            let result = OrderResult::Unsent("other orders were in the way".to_owned());
            report(&core, &log, OrderReport { id, upstream, result });
            return;
        };
        Some(lane)
    } else {
        None
    };
    if !pass.is_valid() {
        report(&core, &log, OrderReport { id, upstream, result: OrderResult::Withdrawn });
        return;
    }
    let result = timeout(limit, upstreams.carry_out(order)).await;
    drop(lane);
    let result = match result {
        Ok(result) => result,
        Err(_) => OrderResult::Unanswered(format!("no answer within {limit:?}")),
    };
    report(&core, &log, OrderReport { id, upstream, result });
}

fn report(core: &CoreHandle, log: &Logger, report: OrderReport) {
    let order = report.id.0;
    if !core.send(Input::Report(report)) {
        warn!(log, "control: report dropped, the core is overloaded"; "event" => "report.dropped",
            "order" => order);
    }
}

/// Keeps a link to one replica and sends it the queued batches.
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
        let frame = PeerFrame { from: shared.endpoint.local_address(), messages: batch };
        match timeout(CONNECT_TIMEOUT, open.send(&frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                debug!(shared.log, "link: message not sent"; "event" => "link.unsent",
                    "error" => %error);
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
    match timeout(CONNECT_TIMEOUT, shared.endpoint.connect(address)).await {
        Ok(Ok(link)) => Some(link),
        Ok(Err(error)) => {
            debug!(shared.log, "link: connection failed"; "event" => "link.unmade",
                "error" => %error);
            sleep(RECONNECT_DELAY).await;
            None
        }
        Err(_) => None,
    }
}

/// Accepts links until the endpoint closes.
pub(crate) async fn accept_links(endpoint: LinkEndpoint, outbox: Outbox, core: CoreHandle) {
    while let Some(pending) = endpoint.next_pending_link().await {
        let (outbox, core) = (outbox.clone(), core.clone());
        tokio::spawn(async move {
            let log = outbox.shared.log.clone();
            match serve_link(pending, outbox, core).await {
                Err(error) if error.is_connect_failure() => {
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

async fn serve_link(
    pending: PendingLink,
    outbox: Outbox,
    core: CoreHandle,
) -> Result<(), LinkError> {
    let link = pending.accept().await?;
    let error = tokio::select! {
        error = serve_requests(&link, &outbox, &core) => error,
        error = receive_messages(&link, &core) => error,
    };
    Err(error)
}

/// Serves requests until the link ends.
async fn serve_requests(link: &Link, outbox: &Outbox, core: &CoreHandle) -> LinkError {
    loop {
        match link.next_request().await {
            Ok(incoming) => {
                let (link, outbox, core) = (link.clone(), outbox.clone(), core.clone());
                tokio::spawn(serve_request(incoming, link, outbox, core));
            }
            Err(error) => return error,
        }
    }
}

/// Receives messages from another replica until the link ends.
async fn receive_messages(link: &Link, core: &CoreHandle) -> LinkError {
    loop {
        match link.next_message().await {
            Ok(frame) => {
                core.send(Input::Messages(frame));
            }
            Err(error) => return error,
        }
    }
}

async fn serve_request(mut incoming: Incoming, link: Link, outbox: Outbox, core: CoreHandle) {
    let log = &outbox.shared.log;
    let req: Request = match incoming.read().await {
        Ok(req) => req,
        Err(error) => {
            warn!(log, "link: request cannot be read"; "event" => "link.bad_request",
                "error" => %error);
            return;
        }
    };
    let reply = if let Request::Hello(entry) = &req {
        info!(log, "link: entry connected"; "event" => "link.entry", "entry" => %entry,
            "peer" => %link.peer());
        register_entry(&outbox, entry.clone(), link);
        Reply::Done
    } else {
        core.request(req).await
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
        let sent = timeout(SEND_TIMEOUT, link.send(&directive)).await;
        if !matches!(sent, Ok(Ok(()))) {
            // The entry opens a new link once this one is closed.
            link.close();
            return;
        }
    }
}

/// A replica that may need membership in the group, for [`request_membership`].
#[derive(Debug)]
pub struct JoiningReplica {
    /// Its identity.
    pub id: ReplicaId,
    /// The address at which it listens for links.
    pub address: SocketAddr,
    /// The control hosts that its settings name.
    pub peers: Vec<SocketAddr>,
    /// Whether it needs membership now.
    pub needs_membership: Arc<AtomicBool>,
}

/// Requests membership from control hosts periodically while a replica needs it.
///
/// The configured hosts may have been replaced, so the request is also sent to any leader that a host
/// names.
pub async fn request_membership(endpoint: LinkEndpoint, replica: JoiningReplica, log: Logger) {
    let JoiningReplica { id, address, mut peers, needs_membership } = replica;
    loop {
        sleep(JOIN_INTERVAL).await;
        if !needs_membership.load(Ordering::Relaxed) {
            continue;
        }
        // All at once: unreachable hosts must not delay the request to the leader.
        let mut requests = JoinSet::new();
        let request = |peer| request_join(endpoint.clone(), peer, id.clone(), address);
        for peer in peers.iter().copied().filter(|peer| *peer != address) {
            requests.spawn(request(peer));
        }
        while let Some(Ok((peer, reply))) = requests.join_next().await {
            debug!(log, "control: membership requested"; "event" => "join.ask", "peer" => %peer,
                "reply" => ?reply);
            if let Some(Reply::NotLeader { address: Some(leader), .. }) = reply
                && !peers.contains(&leader)
                && peers.len() < JOIN_PEERS_MAX
            {
                peers.push(leader);
                requests.spawn(request(leader));
            }
        }
    }
}

/// Sends a join request to one host; the reply is `None` if the host doesn't answer.
async fn request_join(
    endpoint: LinkEndpoint,
    peer: SocketAddr,
    id: ReplicaId,
    address: SocketAddr,
) -> (SocketAddr, Option<Reply>) {
    let exchange = async {
        let link = endpoint.connect(peer).await.ok()?;
        let reply = link.request(&Request::Join { id, address }, CONNECT_TIMEOUT).await.ok();
        link.close();
        reply
    };
    (peer, timeout(CONNECT_TIMEOUT * 2, exchange).await.ok().flatten())
}
