//! Wiring: settings, disk, core, links, pages and signals.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use eyre::{WrapErr as _, eyre};
use hg_link::{KeyFolder, LinkEndpoint};
use hg_replica::{ReplicaId, Snapshot, Storage, StorageError, Timing};
use hg_settings::ControlSettings;
use metrics_exporter_prometheus::PrometheusBuilder;
use slog::{Logger, info, warn};
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::drive::{self, Input};
use crate::found::create_founder;
use crate::links::{Asking, Drivers, Outbox, accept_links, ask_for_place};
use crate::metric::describe_all;
use crate::{Clock, Core, CoreConfig, Driver, FileDisk, Founder, WorkflowConfig, found, http};

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

/// What a control process is made of.
#[derive(Debug)]
pub struct ControlParts {
    /// Its settings.
    pub settings: ControlSettings,
    /// Who speaks to upstreams and to the platform; without them no workflow runs.
    pub drivers: Drivers,
    /// The hosts that found the group on empty disks; empty except at a deployment's first start.
    pub founders: Vec<Founder>,
    /// What holds for workflows.
    pub workflows: WorkflowConfig,
}

/// A running control process.
#[derive(Debug)]
pub struct ControlProcess {
    driver: Driver,
    endpoint: LinkEndpoint,
    thread: tokio::task::JoinHandle<std::thread::Result<Result<(), StorageError>>>,
    pages: tokio::task::JoinHandle<std::io::Result<()>>,
    stop: watch::Sender<bool>,
    log: Logger,
}

impl ControlProcess {
    /// Starts a control process.
    ///
    /// # Errors
    ///
    /// With the step that failed: keys, sockets or the disk.
    pub async fn start(parts: ControlParts, log: &Logger) -> eyre::Result<Self> {
        let ControlParts { settings, drivers, founders, workflows } = parts;
        let prometheus = PrometheusBuilder::new().install_recorder().wrap_err("metrics")?;
        describe_all();
        let keys = KeyFolder::new(&settings.keys);
        let endpoint = LinkEndpoint::listen(settings.listen, &keys).wrap_err("link endpoint")?;
        let server = http::bind(settings.http).await.wrap_err("pages")?;
        let storage = open_storage(&settings, &founders, log)?;
        let clock = Clock::new();
        let seed = getrandom::u64().map_err(|e| eyre!("random seed: {e}"))?;
        let cfg = core_config(&settings, workflows);
        let core = Core::new(storage, cfg, log.clone(), clock.now(), seed);
        let id = core.id().clone();
        info!(log, "control: starts"; "event" => "control.start", "id" => %id);

        let needs_membership = Arc::new(AtomicBool::new(false));
        let outbox = Outbox::new(endpoint.clone(), Handle::current(), drivers, log.clone());
        let (driver, thread) =
            drive::start(core, clock, outbox.clone(), Arc::clone(&needs_membership), log.clone())
                .wrap_err("core")?;
        let asking = Asking {
            id,
            address: settings.listen,
            peers: settings.peers.clone(),
            needs_membership,
        };
        tokio::spawn(ask_for_place(endpoint.clone(), asking, log.clone()));
        tokio::spawn(accept_links(endpoint.clone(), outbox, driver.clone()));
        let (stop, stopped) = watch::channel(false);
        let pages = tokio::spawn(http::serve(server, driver.clone(), prometheus, stopped));
        let thread = tokio::task::spawn_blocking(move || thread.join());
        Ok(Self { driver, endpoint, thread, pages, stop, log: log.clone() })
    }

    /// The way to the core.
    pub fn driver(&self) -> Driver {
        self.driver.clone()
    }

    /// The local end of its links.
    pub fn endpoint(&self) -> LinkEndpoint {
        self.endpoint.clone()
    }

    /// Waits until the core has ended by itself, which it does only if it cannot go on.
    ///
    /// # Errors
    ///
    /// Always, with the cause.
    pub async fn failed(&mut self) -> eyre::Result<()> {
        let ended = (&mut self.thread).await.wrap_err("core thread")?;
        let ended = ended.map_err(|_| eyre!("the core panicked"))?;
        ended.wrap_err("core").and(Err(eyre!("the core ended by itself")))
    }

    /// Leaves the lead and ends.
    ///
    /// # Errors
    ///
    /// With the part that did not end well.
    pub async fn stop(self) -> eyre::Result<()> {
        self.driver.put(Input::HandOver);
        sleep(HAND_OVER).await;
        self.stop.send_replace(true);
        self.driver.put(Input::Stop);
        self.thread.await.wrap_err("core thread")?.map_err(|_| eyre!("the core panicked"))??;
        self.endpoint.close().await;
        self.pages.await.wrap_err("pages")?.wrap_err("pages")?;
        info!(self.log, "control: ended"; "event" => "control.end");
        Ok(())
    }
}

/// Runs a control process until it is told to end.
///
/// # Errors
///
/// With the step that failed: keys, sockets or the disk.
pub async fn run(settings: ControlSettings, log: Logger) -> eyre::Result<()> {
    let (drivers, founders) = (Drivers::default(), Vec::new());
    let workflows = WorkflowConfig::default();
    let parts = ControlParts { settings, drivers, founders, workflows };
    let mut process = ControlProcess::start(parts, &log).await?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        failed = process.failed() => return failed,
    }
    info!(log, "control: told to end"; "event" => "control.term");
    process.stop().await
}

fn core_config(settings: &ControlSettings, workflows: WorkflowConfig) -> CoreConfig {
    let agreement = &settings.agreement;
    let timing = Timing {
        heartbeat: Duration::from_millis(agreement.heartbeat_ms),
        election: Duration::from_millis(agreement.election_ms),
        lease: Duration::from_millis(agreement.lease_ms),
        ..Timing::default()
    };
    CoreConfig { timing, limits: settings.limits, policy: settings.policy.clone(), workflows }
}

/// Opens the log; a missing or damaged one makes this a new incarnation without a vote.
///
/// At a deployment's first start the founders begin with the founding state instead. Each writes the
/// same one by itself, so none of them has to hear from another first.
fn open_storage(
    settings: &ControlSettings,
    founders: &[Founder],
    log: &Logger,
) -> eyre::Result<Storage<FileDisk>> {
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
    if founders.iter().any(|founder| founder.host == settings.host) {
        info!(log, "control: group founded"; "event" => "group.founded", "founders" => founders.len());
        return create_founder(disk()?, &settings.host, founders).wrap_err("founding");
    }
    let incarnation = getrandom::u64().map_err(|e| eyre!("random incarnation: {e}"))?;
    let id = ReplicaId { host: settings.host.clone(), incarnation };
    Storage::create(disk()?, id, Snapshot::default()).wrap_err("creating the log")
}
