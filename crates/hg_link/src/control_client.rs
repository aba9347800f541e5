//! A client that finds the control leader and sends requests to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use futures_util::future::join_all;
use hg_model::EntryName;
use slog::{Logger, debug, info};
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep, timeout};

use crate::leader_hint::LeaderHint;
use crate::{Directive, Link, LinkEndpoint, LinkError, Reply, Request};

/// Timeout for connecting to one control host, and for one request to it.
pub(crate) const HOST_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before a retry after a host failed or did not know the leader.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Delay before a retry after the leader replied that it is overloaded.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a request waits for the presumed leader's reply before the client looks for another leader. The
/// request stays in flight meanwhile.
const SLOW_AFTER: Duration = Duration::from_millis(250);

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
    leader: Mutex<LeaderHint>,
    /// Held while looking for the leader, so that waiting requests share one search.
    searching: AsyncMutex<()>,
    directives: Sender<Directive>,
}

/// What is known about a request after its tries so far.
#[derive(Debug, Default)]
struct Tries {
    /// Whether a host may have received an earlier try and carried it out.
    outcome_unknown: bool,
    /// Whether the present try may have been received.
    in_flight: bool,
    /// Why the last try failed.
    last: Option<String>,
}

impl Tries {
    /// Records that the present try ended without a reply, or with one that leaves its outcome open.
    fn end_unknown(&mut self, last: String) {
        self.outcome_unknown |= std::mem::take(&mut self.in_flight);
        self.last = Some(last);
    }

    /// Records that the present try has no effect.
    fn end_without_effect(&mut self, last: String) {
        self.in_flight = false;
        self.last = Some(last);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
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
        let searching = AsyncMutex::default();
        Self { endpoint, addresses, name, log, links, connecting, leader, searching, directives }
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

    /// The control hosts that may lead.
    pub(crate) fn hosts(&self) -> Vec<SocketAddr> {
        lock(&self.addresses).clone()
    }

    /// The leader according to the last reply, if known.
    pub fn leader(&self) -> Option<SocketAddr> {
        lock(&self.leader).leader()
    }

    /// Records the leader as known from another source.
    pub fn set_leader(&self, leader: SocketAddr) {
        lock(&self.leader).record_leader(leader);
    }

    /// Records which host `follower`, which does not lead, believes to be the leader. Returns that host unless
    /// it is not to be asked now.
    pub fn record_leader_hint(
        &self,
        follower: SocketAddr,
        leader: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        self.add_hosts(leader.filter(|leader| *leader != follower));
        lock(&self.leader).record_hint(Instant::now(), follower, leader)
    }

    /// Sends a request to the leader and waits for its reply. Looks for the leader among the known
    /// hosts and retries until `limit` has passed.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if no leader answered within `limit`.
    pub async fn request(&self, req: &Request, limit: Duration) -> Result<Reply, ControlError> {
        let mut tries = Tries::default();
        if let Ok(reply) = timeout(limit, self.request_until_answered(req, &mut tries)).await {
            return Ok(reply);
        }
        Err(ControlError {
            step: request_name(req),
            limit,
            outcome_unknown: tries.outcome_unknown || tries.in_flight,
            last: tries.last.unwrap_or_else(|| "no host answered".to_owned()),
        })
    }

    /// Tries until a leader replies.
    async fn request_until_answered(&self, req: &Request, tries: &mut Tries) -> Reply {
        loop {
            let target = self.find_leader(None).await;
            let reply = tokio::select! {
                reply = self.request_to(target, req, tries) => reply,
                other = self.find_leader_if_slow(target) => {
                    tries.end_unknown(format!("{target} is slow, and {other} leads"));
                    continue;
                }
            };
            match reply {
                Ok(Reply::NotLeader { address, .. }) => {
                    tries.end_without_effect(format!("{target} does not lead"));
                    if self.record_leader_hint(target, address).is_none() {
                        sleep(RETRY_DELAY).await;
                    }
                }
                Ok(Reply::Unsure) => {
                    tries.end_unknown(format!("{target} lost the lead"));
                    lock(&self.leader).forget(target);
                    sleep(RETRY_DELAY).await;
                }
                Ok(Reply::Busy) => {
                    tries.end_without_effect(format!("{target} is busy"));
                    sleep(OVERLOAD_RETRY_DELAY).await;
                }
                Ok(reply) => {
                    self.set_leader(target);
                    return reply;
                }
                Err(error) => {
                    tries.end_unknown(error.to_string());
                    lock(&self.leader).record_failure(Instant::now(), target);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// The presumed leader; looks for it if it is not known, or if it is `except`.
    async fn find_leader(&self, except: Option<SocketAddr>) -> SocketAddr {
        let known = || self.leader().filter(|leader| Some(*leader) != except);
        if let Some(leader) = known() {
            return leader;
        }
        let _guard = self.searching.lock().await;
        // Another request may have found it while this one waited for the lock.
        if let Some(leader) = known() {
            return leader;
        }
        let leader = self.search_leader(except).await;
        self.set_leader(leader);
        leader
    }

    /// Returns once another host leads although `target` has not replied yet.
    async fn find_leader_if_slow(&self, target: SocketAddr) -> SocketAddr {
        sleep(SLOW_AFTER).await;
        self.find_leader(Some(target)).await
    }

    /// Keeps links open to all known control hosts, so that any leader can send directives. Never
    /// returns.
    pub async fn maintain_links(&self) {
        const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
        loop {
            let hosts = self.hosts();
            // All at once: an unreachable host must not delay the links to the others.
            for error in join_all(hosts.iter().map(|host| self.link(*host))).await {
                if let Err(error) = error {
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

    /// Sends a request to one host.
    async fn request_to(
        &self,
        target: SocketAddr,
        req: &Request,
        tries: &mut Tries,
    ) -> Result<Reply, LinkError> {
        let link = self.link(target).await?;
        tries.in_flight = true;
        let result = link.request(req, HOST_TIMEOUT).await;
        if result.as_ref().is_err_and(|error| !error.is_timeout()) {
            link.close();
        }
        result
    }

    /// Returns the open link to a control host, or connects if there is none.
    pub(crate) async fn link(&self, address: SocketAddr) -> Result<Link, LinkError> {
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
