//! Options and life cycle of a fake upstream.

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
use crate::heartbeat::send_heartbeats;
use crate::http::{SharedState, routes};

/// Interval in which a leaving upstream checks whether leases are still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a leaving upstream serves requests after its last lease has ended, so that answers can be
/// fetched. It waits as long before it first checks for open leases.
const LEAVE_GRACE: Duration = Duration::from_millis(500);

/// Options of a fake upstream.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Address on which it serves HTTP; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Host that it announces.
    pub host: HostName,
    /// Rack that it announces.
    pub rack: RackName,
    /// Data centre that it announces.
    pub data_centre: DataCentreName,
    /// Resources of all tasks together.
    pub capacity: Resources,
    /// Maximum number of tasks at once.
    pub slots: u32,
    /// Maximum number of connections; announced but not enforced.
    pub connections: u32,
    /// Entries that get its heartbeats, one of them at a time.
    pub entries: Vec<SocketAddr>,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// File to which it appends a line for each lease that it starts.
    pub witness: Option<PathBuf>,
    /// Whether every task fails.
    pub fail_all: bool,
    /// Whether answers are cut in half, with the digest of the whole.
    pub cut_answers: bool,
}

/// Runs until `SIGTERM`, then leaves: asks for no new work, finishes its open leases and returns.
///
/// # Errors
///
/// If it cannot listen, or the server fails.
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
    let shared = Arc::new(SharedState { options, leases });
    let (leave, leaving) = watch::channel(false);
    tokio::spawn(send_heartbeats(Arc::clone(&shared), spec, leaving));
    let server = Server::new_with_acceptor(acceptor).run(routes(Arc::clone(&shared)));
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    tokio::select! {
        ended = server => ended.wrap_err("server"),
        () = async {
            terminate.recv().await;
            leave.send_replace(true);
            sleep(LEAVE_GRACE).await;
            while !shared.leases.is_idle() {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
            sleep(LEAVE_GRACE).await;
        } => Ok(()),
    }
}
