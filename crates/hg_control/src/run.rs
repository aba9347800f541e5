//! Wiring: settings, disk, core, links, pages and signals.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use eyre::{WrapErr as _, eyre};
use hg_link::{KeyFolder, LinkEndpoint};
use hg_replica::{ReplicaId, Snapshot, Storage, Timing};
use hg_settings::ControlSettings;
use metrics_exporter_prometheus::PrometheusBuilder;
use slog::{Logger, info, warn};
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::drive::{self, Input};
use crate::links::{Asking, Outbox, accept_links, ask_for_place};
use crate::{Clock, Core, CoreConfig, FileDisk, Founder, found, http};

/// How long a leader that ends waits for its heir.
const HAND_OVER: Duration = Duration::from_millis(500);

/// Founds a new group on this host's empty disk, and ends.
///
/// # Errors
///
/// With the step that failed, or why the group must not be founded.
pub async fn run_found(
    settings: &ControlSettings,
    founders: &[Founder],
    log: &Logger,
) -> eyre::Result<()> {
    let keys = KeyFolder::new(&settings.keys);
    let endpoint = LinkEndpoint::listen(settings.listen, &keys).wrap_err("link endpoint")?;
    let disk = FileDisk::new(&settings.data).wrap_err("data folder")?;
    found(disk, &settings.host, founders, &endpoint).await.wrap_err("founding")?;
    info!(log, "control: group founded"; "event" => "group.founded");
    Ok(())
}

/// Runs a control process until it is told to end.
///
/// # Errors
///
/// With the step that failed: keys, sockets or the disk.
pub async fn run(settings: ControlSettings, log: Logger) -> eyre::Result<()> {
    let prometheus = PrometheusBuilder::new().install_recorder().wrap_err("metrics")?;
    let keys = KeyFolder::new(&settings.keys);
    let endpoint = LinkEndpoint::listen(settings.listen, &keys).wrap_err("link endpoint")?;
    let storage = open_storage(&settings, &log)?;
    let clock = Clock::new();
    let seed = getrandom::u64().map_err(|e| eyre!("random seed: {e}"))?;
    let core = Core::new(storage, core_config(&settings), log.clone(), clock.now(), seed);
    let id = core.id().clone();
    info!(log, "control: starts"; "event" => "control.start", "id" => %id);

    let needs_place = Arc::new(AtomicBool::new(false));
    let outbox = Outbox::new(endpoint.clone(), Handle::current(), log.clone());
    let (driver, thread) =
        drive::start(core, clock, outbox.clone(), Arc::clone(&needs_place), log.clone())
            .wrap_err("core")?;
    let asking =
        Asking { id, address: settings.listen, peers: settings.peers.clone(), needs_place };
    tokio::spawn(ask_for_place(endpoint.clone(), asking, log.clone()));
    tokio::spawn(accept_links(endpoint.clone(), outbox, driver.clone()));
    let (stop, stopped) = watch::channel(false);
    let pages = tokio::spawn(http::serve(settings.http, driver.clone(), prometheus, stopped));

    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals")?;
    let mut thread = tokio::task::spawn_blocking(move || thread.join());
    tokio::select! {
        _ = terminate.recv() => info!(log, "control: told to end"; "event" => "control.term"),
        _ = interrupt.recv() => info!(log, "control: told to end"; "event" => "control.term"),
        ended = &mut thread => {
            let ended = ended.wrap_err("core thread")?.map_err(|_| eyre!("the core panicked"))?;
            return ended.wrap_err("core").and(Err(eyre!("the core ended by itself")));
        }
    }
    driver.put(Input::HandOver);
    sleep(HAND_OVER).await;
    stop.send_replace(true);
    driver.put(Input::Stop);
    thread.await.wrap_err("core thread")?.map_err(|_| eyre!("the core panicked"))??;
    endpoint.close().await;
    pages.await.wrap_err("pages")?.wrap_err("pages")?;
    info!(log, "control: ended"; "event" => "control.end");
    Ok(())
}

fn core_config(settings: &ControlSettings) -> CoreConfig {
    let agreement = &settings.agreement;
    let timing = Timing {
        heartbeat: Duration::from_millis(agreement.heartbeat_ms),
        election: Duration::from_millis(agreement.election_ms),
        lease: Duration::from_millis(agreement.lease_ms),
        ..Timing::default()
    };
    CoreConfig { timing, limits: settings.limits, policy: settings.policy.clone() }
}

/// Opens the log; a missing or damaged one makes this a new incarnation without a vote.
fn open_storage(settings: &ControlSettings, log: &Logger) -> eyre::Result<Storage<FileDisk>> {
    let disk = || FileDisk::new(&settings.data).wrap_err("data folder");
    match Storage::open(disk()?) {
        Ok(Some(storage)) => return Ok(storage),
        Ok(None) => {}
        Err(error) if error.is_damaged() => {
            let aside = disk()?.set_aside().wrap_err("setting the damaged log aside")?;
            warn!(log, "control: damaged log set aside"; "event" => "log.damaged",
                "error" => %error, "file" => %aside.display());
        }
        Err(error) => return Err(error).wrap_err("opening the log"),
    }
    let incarnation = getrandom::u64().map_err(|e| eyre!("random incarnation: {e}"))?;
    let id = ReplicaId { host: settings.host.clone(), incarnation };
    Storage::create(disk()?, id, Snapshot::default()).wrap_err("creating the log")
}
