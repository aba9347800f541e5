//! Wiring.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::{WrapErr as _, eyre};
use hg_model::{DataCentreName, HostName, RackName, Resources, UpstreamName, UpstreamSpec};
use poem::Server;
use poem::listener::{Acceptor as _, Listener as _, TcpListener};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::Leases;
use crate::beat::beat;
use crate::http::{Shared, routes};

/// How often a leaving upstream looks whether its work has ended.
const LEAVE_LOOK: Duration = Duration::from_millis(50);
/// How long a leaving upstream stays after its work has ended, so that answers can be fetched.
const LEAVE_STAY: Duration = Duration::from_millis(500);

/// How a stand-in is set up.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name.
    pub name: UpstreamName,
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Its host.
    pub host: HostName,
    /// Its rack.
    pub rack: RackName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// What its tasks may use.
    pub capacity: Resources,
    /// Most tasks at once.
    pub slots: u32,
    /// Most connections; only announced.
    pub connections: u32,
    /// The entries it announces itself to.
    pub entries: Vec<SocketAddr>,
    /// How often it speaks, in milliseconds.
    pub beat_ms: u64,
    /// Where it writes a line for each start.
    pub witness: Option<PathBuf>,
    /// Whether every task fails.
    pub fail_all: bool,
    /// Whether answers are cut in the middle.
    pub cut_answers: bool,
}

/// Runs until told to end; then leaves: no new work, and what runs is finished.
///
/// # Errors
///
/// If it cannot listen.
pub async fn run(options: Options) -> eyre::Result<()> {
    let acceptor = TcpListener::bind(options.listen).into_acceptor().await.wrap_err("listen")?;
    let address = acceptor.local_addr().first().and_then(|a| a.as_socket_addr().copied());
    let address = address.ok_or_else(|| eyre!("no local address"))?;
    let boot = getrandom::u64().map_err(|e| eyre!("random boot number: {e}"))?;
    let spec = UpstreamSpec {
        name: options.name.clone(),
        address,
        host: options.host.clone(),
        rack: options.rack.clone(),
        data_centre: options.data_centre.clone(),
        capacity: options.capacity,
        slots: options.slots,
        connections: options.connections,
        boot,
    };
    let leases = Leases::new(boot, options.capacity, options.slots);
    let shared = Arc::new(Shared { options, leases });
    let (leave, leaving) = watch::channel(false);
    tokio::spawn(beat(Arc::clone(&shared), spec, leaving));
    let server = Server::new_with_acceptor(acceptor).run(routes(Arc::clone(&shared)));
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    tokio::select! {
        ended = server => ended.wrap_err("server"),
        () = async {
            terminate.recv().await;
            leave.send_replace(true);
            sleep(LEAVE_STAY).await;
            while !shared.leases.is_idle() {
                sleep(LEAVE_LOOK).await;
            }
            sleep(LEAVE_STAY).await;
        } => Ok(()),
    }
}
