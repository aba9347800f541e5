//! Runs an entry process: links, background tasks, HTTP server and shutdown.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::{WrapErr as _, eyre};
use hg_http::{HttpLimits, Server, files_limit};
use hg_link::{ControlClient, KeyFolder, LinkEndpoint};
use hg_model::{EntryName, Time};
use hg_settings::EntrySettings;
use metrics_exporter_prometheus::PrometheusBuilder;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use crate::{Entry, api, directives, report};

/// Most directives that may wait for their execution.
const DIRECTIVES_MAX: usize = 16_384;
/// How long an entry that shuts down waits for the jobs it holds to finish.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// How often a draining entry checks whether its jobs have finished.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// The current time of the system clock.
pub(crate) fn now() -> Time {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Runs an entry process until SIGTERM or SIGINT, then drains and stops it.
///
/// # Errors
///
/// Names the step that failed, such as loading the keys or opening a socket.
pub async fn run(settings: EntrySettings, log: Logger) -> eyre::Result<()> {
    let prometheus = PrometheusBuilder::new().install_recorder().wrap_err("metrics")?;
    let keys = KeyFolder::new(&settings.keys);
    let any_port = SocketAddr::new(unspecified_like(settings.controls[0].ip()), 0);
    let endpoint = LinkEndpoint::connect_only(any_port, &keys).wrap_err("link endpoint")?;
    let name = incarnation_name(&settings.name)?;
    let (tx, rx) = mpsc::channel(DIRECTIVES_MAX);
    let controls = settings.controls.clone();
    let control = ControlClient::new(endpoint, controls, name.clone(), tx, log.clone());
    let entry = Arc::new(Entry::new(settings, name, log.clone(), control));
    info!(log, "entry: starts"; "event" => "entry.start", "entry" => %entry.name);

    let links = Arc::clone(&entry);
    tokio::spawn(async move { links.control.maintain_links().await });
    tokio::spawn(directives::execute(Arc::clone(&entry), rx));
    tokio::spawn(report::run_reports(Arc::clone(&entry)));
    let (stop, stopped) = watch::channel(false);
    let limits = HttpLimits::from(entry.settings.server).within_files(files_limit());
    let server = Server::bind(entry.settings.http, limits, log.clone()).wrap_err("pages")?;
    let serving = api::serve(server, Arc::clone(&entry), prometheus, stopped);
    let mut http_server = tokio::spawn(serving);

    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        ended = &mut http_server => {
            ended.wrap_err("pages")?;
            return Err(eyre!("the HTTP server stopped unexpectedly"));
        }
    }
    info!(log, "entry: shutting down"; "event" => "entry.term");
    entry.begin_shutdown();
    drain(&entry).await;
    stop.send_replace(true);
    http_server.await.wrap_err("pages")?;
    entry.control.close().await;
    info!(log, "entry: ended"; "event" => "entry.end");
    Ok(())
}

/// Waits until all jobs held here have finished, since no other process holds their bodies.
async fn drain(entry: &Entry) {
    let deadline = Instant::now() + DRAIN_LIMIT;
    while entry.jobs.unfinished() > 0 && Instant::now() < deadline {
        sleep(DRAIN_POLL).await;
    }
    info!(entry.log, "entry: drained"; "event" => "entry.drained",
        "unfinished" => entry.jobs.unfinished());
}

/// The unspecified address of the same IP version.
const fn unspecified_like(ip: IpAddr) -> IpAddr {
    match ip {
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        IpAddr::V6(_) => IpAddr::V6(std::net::Ipv6Addr::UNSPECIFIED),
    }
}

/// The entry's name with a random suffix that is unique to this incarnation of the process.
///
/// A restarted entry needs another name because it no longer holds the bodies of its jobs.
fn incarnation_name(name: &EntryName) -> eyre::Result<EntryName> {
    const SUFFIX_MASK: u64 = 0xffff_ffff;
    let random = getrandom::u64().map_err(|e| eyre!("random name: {e}"))?;
    EntryName::new(format!("{name}.{:x}", random & SUFFIX_MASK)).wrap_err("name")
}
