//! Wiring: settings, links, pages and signals.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::{WrapErr as _, eyre};
use hg_link::{ControlClient, KeyFolder, LinkEndpoint};
use hg_model::{EntryName, Time};
use hg_settings::EntrySettings;
use metrics_exporter_prometheus::PrometheusBuilder;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use crate::{Entry, api, directives, report};

/// Most directives that wait to be carried out.
const DIRECTIVES_MAX: usize = 16_384;
/// How long an entry that ends waits for the jobs it holds.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// How often it looks whether they have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// The present time on the system's clock.
pub(crate) fn now() -> Time {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Runs an entry process until it is told to end.
///
/// # Errors
///
/// With the step that failed: keys or sockets.
pub async fn run(settings: EntrySettings, log: Logger) -> eyre::Result<()> {
    let prometheus = PrometheusBuilder::new().install_recorder().wrap_err("metrics")?;
    let keys = KeyFolder::new(&settings.keys);
    let any_port = SocketAddr::new(unspecified_like(settings.controls[0].ip()), 0);
    let endpoint = LinkEndpoint::connect_only(any_port, &keys).wrap_err("link endpoint")?;
    let name = start_name(&settings.name)?;
    let (tx, rx) = mpsc::channel(DIRECTIVES_MAX);
    let controls = settings.controls.clone();
    let control = ControlClient::new(endpoint, controls, name.clone(), tx, log.clone());
    let entry = Arc::new(Entry::new(settings, name, log.clone(), control));
    info!(log, "entry: starts"; "event" => "entry.start", "entry" => %entry.name);

    let links = Arc::clone(&entry);
    tokio::spawn(async move { links.control.maintain_links().await });
    tokio::spawn(directives::obey(Arc::clone(&entry), rx));
    tokio::spawn(report::report(Arc::clone(&entry)));
    let (stop, stopped) = watch::channel(false);
    let mut pages = tokio::spawn(api::serve(Arc::clone(&entry), prometheus, stopped));

    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        ended = &mut pages => {
            ended.wrap_err("pages")?.wrap_err("pages")?;
            return Err(eyre!("the pages ended by themselves"));
        }
    }
    info!(log, "entry: told to end"; "event" => "entry.term");
    entry.stop();
    drain(&entry).await;
    stop.send_replace(true);
    pages.await.wrap_err("pages")?.wrap_err("pages")?;
    entry.control.close().await;
    info!(log, "entry: ended"; "event" => "entry.end");
    Ok(())
}

/// Waits until all jobs held here have ended, since their bodies are nowhere else.
async fn drain(entry: &Entry) {
    let deadline = Instant::now() + DRAIN_LIMIT;
    while entry.jobs.unfinished() > 0 && Instant::now() < deadline {
        sleep(DRAIN_LOOK).await;
    }
    info!(entry.log, "entry: drained"; "event" => "entry.drained",
        "unfinished" => entry.jobs.unfinished());
}

const fn unspecified_like(ip: IpAddr) -> IpAddr {
    match ip {
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        IpAddr::V6(_) => IpAddr::V6(std::net::Ipv6Addr::UNSPECIFIED),
    }
}

/// The entry's name with a part that is unique to this start, since bodies end with the process.
fn start_name(name: &EntryName) -> eyre::Result<EntryName> {
    const SUFFIX_MASK: u64 = 0xffff_ffff;
    let random = getrandom::u64().map_err(|e| eyre!("random name: {e}"))?;
    EntryName::new(format!("{name}.{:x}", random & SUFFIX_MASK)).wrap_err("name")
}
