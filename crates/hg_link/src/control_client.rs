//! Finding the control leader and asking it.

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

/// How long one control host may take.
const TRY_LIMIT: Duration = Duration::from_millis(800);
/// How long to wait before the next host is asked.
const PAUSE: Duration = Duration::from_millis(25);
/// How long to wait when the leader has too much to do.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Most control hosts that are remembered; the oldest go first.
const ADDRESSES_MAX: usize = 32;

/// No control leader answered in time. What was asked may or may not have taken effect.
#[derive(Debug, Display, Error)]
#[display("control: {step}: no leader answered within {limit:?}; last heard: {last}")]
pub struct ControlError {
    /// What was asked.
    pub step: &'static str,
    /// How long it was tried.
    pub limit: Duration,
    /// Whether some host may have taken the request in without answering.
    pub outcome_unknown: bool,
    /// The last obstacle.
    #[error(not(source))]
    pub last: String,
}

/// The way to the control leader.
#[derive(Debug)]
pub struct ControlClient {
    endpoint: LinkEndpoint,
    /// The hosts from the settings, and those that were learned of since.
    addresses: Mutex<Vec<SocketAddr>>,
    name: EntryName,
    log: Logger,
    links: Mutex<BTreeMap<SocketAddr, Link>>,
    /// Held while a link is made, so that a host never sees two of ours at once.
    connecting: Mutex<BTreeMap<SocketAddr, Arc<AsyncMutex<()>>>>,
    leader: Mutex<Option<SocketAddr>>,
    directives: Sender<Directive>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlClient {
    /// Names the control hosts and where their directives go.
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

    /// Learns of control hosts that may lead; the settings may name hosts that are gone.
    pub fn add_hosts(&self, hosts: impl IntoIterator<Item = SocketAddr>) {
        let mut addresses = lock(&self.addresses);
        for host in hosts {
            if !addresses.contains(&host) {
                info!(self.log, "control link: learned of a host"; "event" => "control.learned",
                    "peer" => %host);
                addresses.push(host);
            }
        }
        let excess = addresses.len().saturating_sub(ADDRESSES_MAX);
        addresses.drain(..excess);
    }

    /// Whom the last answer showed to lead.
    pub fn leader(&self) -> Option<SocketAddr> {
        *lock(&self.leader)
    }

    /// Notes who leads, as learned elsewhere.
    pub fn set_leader(&self, leader: SocketAddr) {
        *lock(&self.leader) = Some(leader);
    }

    /// Notes whom a host that does not lead takes for the leader.
    pub fn record_leader_hint(&self, told_by: SocketAddr, leader: Option<SocketAddr>) {
        if leader.is_some() {
            self.learn_leader(told_by, leader);
        } else {
            self.forget_leader(told_by);
        }
    }

    /// Asks the leader, wherever it is by now.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if no leader answered within `limit`.
    pub async fn ask(&self, req: &Request, limit: Duration) -> Result<Reply, ControlError> {
        let deadline = Instant::now() + limit;
        let mut turn = 0;
        let mut last = "no host was tried".to_owned();
        let mut outcome_unknown = false;
        while Instant::now() < deadline {
            let target = self.target(turn);
            turn += 1;
            match self.try_one(target, req).await {
                Ok(Reply::NotLeader { address, .. }) => {
                    last = format!("{target} does not lead");
                    self.learn_leader(target, address);
                    if address.is_none_or(|a| a == target) {
                        sleep(PAUSE).await;
                    }
                }
                Ok(Reply::Unsure) => {
                    outcome_unknown = true;
                    last = format!("{target} lost the lead");
                    self.forget_leader(target);
                    sleep(PAUSE).await;
                }
                Ok(Reply::Busy) => {
                    last = format!("{target} is busy");
                    sleep(BUSY_PAUSE).await;
                }
                Ok(reply) => {
                    *lock(&self.leader) = Some(target);
                    return Ok(reply);
                }
                Err(error) => {
                    outcome_unknown |= !error.is_unsent();
                    last = error.to_string();
                    self.forget_leader(target);
                    sleep(PAUSE).await;
                }
            }
        }
        Err(ControlError { step: step_of(req), limit, outcome_unknown, last })
    }

    /// Keeps links to all control hosts, so that whichever leads can send directives.
    pub async fn maintain_links(&self) {
        const CHECK: Duration = Duration::from_millis(250);
        loop {
            let addresses = lock(&self.addresses).clone();
            for address in addresses {
                if let Err(error) = self.link(address).await {
                    debug!(self.log, "control link: not made"; "event" => "link.unmade",
                        "error" => %error);
                }
            }
            sleep(CHECK).await;
        }
    }

    /// Ends all links.
    pub async fn close(&self) {
        self.endpoint.close().await;
    }

    fn target(&self, turn: usize) -> SocketAddr {
        let leader = *lock(&self.leader);
        match leader {
            // A leader that keeps failing must not keep the others from being asked.
            Some(leader) if turn % 4 != 3 => leader,
            _ => {
                let addresses = lock(&self.addresses);
                addresses[turn % addresses.len()]
            }
        }
    }

    fn learn_leader(&self, told_by: SocketAddr, address: Option<SocketAddr>) {
        let other = address.filter(|a| *a != told_by);
        self.add_hosts(other);
        *lock(&self.leader) = other;
    }

    fn forget_leader(&self, target: SocketAddr) {
        let mut leader = lock(&self.leader);
        if *leader == Some(target) {
            *leader = None;
        }
    }

    async fn try_one(&self, target: SocketAddr, req: &Request) -> Result<Reply, LinkError> {
        let link = self.link(target).await?;
        let result = link.request(req, TRY_LIMIT).await;
        if result.as_ref().is_err_and(|error| !error.is_timeout()) {
            link.close();
        }
        result
    }

    /// The link to a control host, made anew if it has ended.
    async fn link(&self, address: SocketAddr) -> Result<Link, LinkError> {
        if let Some(link) = self.open_link(address) {
            return Ok(link);
        }
        let connecting = Arc::clone(lock(&self.connecting).entry(address).or_default());
        let _alone = connecting.lock().await;
        // Somebody else may have made it meanwhile.
        if let Some(link) = self.open_link(address) {
            return Ok(link);
        }
        let link = match timeout(TRY_LIMIT, self.endpoint.connect(address)).await {
            Ok(link) => link?,
            Err(_) => return Err(LinkError::connect_timeout(address)),
        };
        let _: Reply = link.request(&Request::Hello(self.name.clone()), TRY_LIMIT).await?;
        info!(self.log, "control link: made"; "event" => "link.made", "peer" => %address);
        tokio::spawn(receive(link.clone(), self.directives.clone(), self.log.clone()));
        lock(&self.links).insert(address, link.clone());
        Ok(link)
    }

    fn open_link(&self, address: SocketAddr) -> Option<Link> {
        lock(&self.links).get(&address).filter(|link| !link.is_closed()).cloned()
    }
}

async fn receive(link: Link, directives: Sender<Directive>, log: Logger) {
    loop {
        match link.next_message().await {
            Ok(directive) => {
                if directives.send(directive).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                info!(log, "control link: ended"; "event" => "link.ended", "error" => %error);
                // A link on which nobody listens would swallow directives.
                link.close();
                return;
            }
        }
    }
}

const fn step_of(req: &Request) -> &'static str {
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
