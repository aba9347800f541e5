//! A client that finds the control leader and sends requests to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use hg_model::EntryName;
use slog::{Logger, debug, info};
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep, timeout};

use crate::{Directive, Link, LinkEndpoint, LinkError, Reply, Request};

/// Timeout for connecting to one control host, and for one request to it.
const HOST_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before a retry after a host failed or did not know the leader.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Delay before a retry after the leader replied that it is overloaded.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Most addresses of control hosts that are kept; the oldest are removed first.
const ADDRESSES_MAX: usize = 32;

/// No control leader answered before the deadline; `outcome_unknown` says whether the request may
/// have taken effect all the same.
#[derive(Debug, Display, Error)]
#[display("control: {step}: no leader answered within {limit:?}; last heard: {last}")]
pub struct ControlError {
    /// The kind of request.
    pub step: &'static str,
    /// The time limit of the request, including all retries.
    pub limit: Duration,
    /// Whether some host may have received the request, so that it may or may not take effect.
    pub outcome_unknown: bool,
    /// Why the last try failed.
    #[error(not(source))]
    pub last: String,
}

/// Sends requests to the control leader and receives directives from it.
#[derive(Debug)]
pub struct ControlClient {
    endpoint: LinkEndpoint,
    /// The link addresses of control hosts: those from the settings, then those discovered later.
    addresses: Mutex<Vec<SocketAddr>>,
    name: EntryName,
    log: Logger,
    links: Mutex<BTreeMap<SocketAddr, Link>>,
    /// One lock for each host, held while connecting, so that a host never gets two links from
    /// this process at once.
    connecting: Mutex<BTreeMap<SocketAddr, Arc<AsyncMutex<()>>>>,
    leader: Mutex<Option<SocketAddr>>,
    directives: Sender<Directive>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlClient {
    /// Creates a client for the control hosts at `addresses`. Directives that arrive on its links
    /// are forwarded to `directives`.
    pub fn new(
        endpoint: LinkEndpoint,
        addresses: Vec<SocketAddr>,
        name: EntryName,
        directives: Sender<Directive>,
        log: Logger,
    ) -> Self {
        let (links, leader) = (Mutex::default(), Mutex::default());
        let (addresses, connecting) = (Mutex::new(addresses), Mutex::default());
        Self { endpoint, addresses, name, log, links, connecting, leader, directives }
    }

    /// Adds the addresses of control hosts that may lead, as the hosts in the settings may have been
    /// removed since.
    pub fn add_hosts(&self, hosts: impl IntoIterator<Item = SocketAddr>) {
        let mut addresses = lock(&self.addresses);
        for host in hosts {
            if !addresses.contains(&host) {
                info!(self.log, "control link: discovered a control host"; "event" => "control.learned",
                    "peer" => %host);
                addresses.push(host);
            }
        }
        let excess = addresses.len().saturating_sub(ADDRESSES_MAX);
        addresses.drain(..excess);
    }

    /// The leader according to the last reply, if known.
    pub fn leader(&self) -> Option<SocketAddr> {
        *lock(&self.leader)
    }

    /// Records the leader as known from another source.
    pub fn set_leader(&self, leader: SocketAddr) {
        *lock(&self.leader) = Some(leader);
    }

    /// Records which host `follower`, which does not lead, believes to be the leader.
    pub fn record_leader_hint(&self, follower: SocketAddr, leader: Option<SocketAddr>) {
        if leader.is_some() {
            self.update_leader(follower, leader);
        } else {
            self.forget_leader(follower);
        }
    }

    /// Sends a request to the leader and waits for its reply. Looks for the leader among the known
    /// hosts and retries until `limit` has passed.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if no leader answered within `limit`.
    pub async fn request(&self, req: &Request, limit: Duration) -> Result<Reply, ControlError> {
        let deadline = Instant::now() + limit;
        let mut attempt = 0;
        let mut last = "no host was tried".to_owned();
        let mut outcome_unknown = false;
        while Instant::now() < deadline {
            let target = self.target(attempt);
            attempt += 1;
            match self.request_to(target, req).await {
                Ok(Reply::NotLeader { address, .. }) => {
                    last = format!("{target} does not lead");
                    self.update_leader(target, address);
                    if address.is_none_or(|a| a == target) {
                        sleep(RETRY_DELAY).await;
                    }
                }
                Ok(Reply::Unsure) => {
                    outcome_unknown = true;
                    last = format!("{target} lost the lead");
                    self.forget_leader(target);
                    sleep(RETRY_DELAY).await;
                }
                Ok(Reply::Busy) => {
                    last = format!("{target} is busy");
                    sleep(OVERLOAD_RETRY_DELAY).await;
                }
                Ok(reply) => {
                    *lock(&self.leader) = Some(target);
                    return Ok(reply);
                }
                Err(error) => {
                    outcome_unknown |= !error.is_unsent();
                    last = error.to_string();
                    self.forget_leader(target);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        Err(ControlError { step: request_name(req), limit, outcome_unknown, last })
    }

    /// Keeps links open to all known control hosts, so that any leader can send directives. Never
    /// returns.
    pub async fn maintain_links(&self) {
        const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
        loop {
            let addresses = lock(&self.addresses).clone();
            for address in addresses {
                if let Err(error) = self.link(address).await {
                    debug!(self.log, "control link: connecting failed"; "event" => "link.unmade",
                        "error" => %error);
                }
            }
            sleep(RECONNECT_INTERVAL).await;
        }
    }

    /// Closes all links and waits until that is done.
    pub async fn close(&self) {
        self.endpoint.close().await;
    }

    /// The host to which the request with this number of earlier attempts goes.
    fn target(&self, attempt: usize) -> SocketAddr {
        let leader = *lock(&self.leader);
        match leader {
            // Every fourth attempt tries another host, as the presumed leader may fail persistently.
            Some(leader) if attempt % 4 != 3 => leader,
            _ => {
                let addresses = lock(&self.addresses);
                addresses[attempt % addresses.len()]
            }
        }
    }

    /// Records the leader that `follower` named, unless that is `follower` itself.
    fn update_leader(&self, follower: SocketAddr, address: Option<SocketAddr>) {
        let other = address.filter(|a| *a != follower);
        self.add_hosts(other);
        *lock(&self.leader) = other;
    }

    fn forget_leader(&self, target: SocketAddr) {
        let mut leader = lock(&self.leader);
        if *leader == Some(target) {
            *leader = None;
        }
    }

    async fn request_to(&self, target: SocketAddr, req: &Request) -> Result<Reply, LinkError> {
        let link = self.link(target).await?;
        let result = link.request(req, HOST_TIMEOUT).await;
        if result.as_ref().is_err_and(|error| !error.is_timeout()) {
            link.close();
        }
        result
    }

    /// Returns the open link to a control host, or connects if there is none.
    async fn link(&self, address: SocketAddr) -> Result<Link, LinkError> {
        if let Some(link) = self.open_link(address) {
            return Ok(link);
        }
        let connecting = Arc::clone(lock(&self.connecting).entry(address).or_default());
        let _guard = connecting.lock().await;
        // Another task may have connected while this one waited for the lock.
        if let Some(link) = self.open_link(address) {
            return Ok(link);
        }
        let link = match timeout(HOST_TIMEOUT, self.endpoint.connect(address)).await {
            Ok(link) => link?,
            Err(_) => return Err(LinkError::connect_timeout(address)),
        };
        let _: Reply = link.request(&Request::Hello(self.name.clone()), HOST_TIMEOUT).await?;
        info!(self.log, "control link: connected"; "event" => "link.made", "peer" => %address);
        tokio::spawn(forward_directives(link.clone(), self.directives.clone(), self.log.clone()));
        lock(&self.links).insert(address, link.clone());
        Ok(link)
    }

    fn open_link(&self, address: SocketAddr) -> Option<Link> {
        lock(&self.links).get(&address).filter(|link| !link.is_closed()).cloned()
    }
}

/// Forwards the directives that arrive on a link until the link or the channel closes.
async fn forward_directives(link: Link, directives: Sender<Directive>, log: Logger) {
    loop {
        match link.next_message().await {
            Ok(directive) => {
                if directives.send(directive).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                info!(log, "control link: ended"; "event" => "link.ended", "error" => %error);
                // Without a receiver, directives sent on this link would be lost unnoticed.
                link.close();
                return;
            }
        }
    }
}

/// The kind of request as shown in errors.
const fn request_name(req: &Request) -> &'static str {
    match req {
        Request::Hello(_) => "hello",
        Request::Beats(_) => "beats",
        Request::Submit { .. } => "submit",
        Request::Job(_) => "job",
        Request::Why(_) => "why",
        Request::Cancel(_) => "cancel",
        Request::Commit { .. } => "commit",
        Request::Release { .. } => "release",
        Request::Ended { .. } => "ended",
        Request::GetLists => "lists get",
        Request::CheckLists(_) => "lists check",
        Request::PutLists { .. } => "lists put",
        Request::Upstreams => "upstreams",
        Request::Drain { .. } => "drain",
        Request::Status => "status",
        Request::Join { .. } => "join",
        Request::Workflow(_) => "workflow",
    }
}
