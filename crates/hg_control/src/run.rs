//! Starts and stops a control process: settings, disk, core, links, HTTP server and signals.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use eyre::{WrapErr as _, eyre};
use hg_http::{HttpLimits, files_limit};
use hg_link::{KeyFolder, LinkEndpoint};
use hg_model::DataCentreName;
use hg_policy::{WorkflowBounds, WorkflowPolicies};
use hg_replica::{ReplicaId, Snapshot, Storage, StorageError, Timing};
use hg_settings::ControlSettings;
use metrics_exporter_prometheus::PrometheusBuilder;
use slog::{Logger, info, warn};
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::core_loop::{self, Input};
use crate::founding::create_founder;
use crate::links::{Drivers, JoiningReplica, Outbox, accept_links, request_membership};
use crate::metric::describe_all;
use crate::{Clock, Core, CoreConfig, CoreHandle, FileDisk, Founder, found_group, http};

/// How long a process that shuts down waits for a successor to take over leadership.
const TRANSFER_WAIT: Duration = Duration::from_millis(500);

/// Founds a new group on this host's empty disk, and returns.
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
    found_group(disk, &settings.host, founders, &endpoint).await.wrap_err("founding")?;
    info!(log, "control: group founded"; "event" => "group.founded");
    Ok(())
}

/// The parts from which a control process is started.
#[derive(Debug)]
pub struct ControlParts {
    /// Its settings.
    pub settings: ControlSettings,
    /// The drivers for upstreams and the platform; without them no workflow runs.
    pub drivers: Drivers,
    /// The hosts that found the group on empty disks; empty except at the first start of a deployment.
    pub founders: Vec<Founder>,
    /// Settings for workflows.
    pub workflows: WorkflowBounds,
    /// The optional policies for workflows.
    pub policies: WorkflowPolicies,
    /// Within this time the drain of a data centre has moved the work there; `None` if data centres cannot be
    /// drained.
    pub drain: Option<Duration>,
    /// The data centres that can be drained, beside those of registered upstreams.
    pub data_centres: BTreeSet<DataCentreName>,
    /// How many files the process may have open.
    pub files_max: usize,
}

/// A running control process.
#[derive(Debug)]
pub struct ControlProcess {
    core: CoreHandle,
    endpoint: LinkEndpoint,
    core_thread: tokio::task::JoinHandle<std::thread::Result<Result<(), StorageError>>>,
    http_server: tokio::task::JoinHandle<()>,
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
        let cfg = core_config(&parts);
        let ControlParts { settings, drivers, founders, files_max, .. } = parts;
        let prometheus = PrometheusBuilder::new().install_recorder().wrap_err("metrics")?;
        describe_all();
        let keys = KeyFolder::new(&settings.keys);
        let endpoint = LinkEndpoint::listen(settings.listen, &keys).wrap_err("link endpoint")?;
        let limits = HttpLimits::from(settings.server).within_files(files_max);
        let server = http::bind(settings.http, limits, log.clone()).wrap_err("pages")?;
        let storage = open_storage(&settings, &founders, log)?;
        let clock = Clock::new();
        let seed = getrandom::u64().map_err(|e| eyre!("random seed: {e}"))?;
        let core = Core::new(storage, cfg, log.clone(), clock.now(), seed);
        let id = core.id().clone();
        info!(log, "control: starting"; "event" => "control.start", "id" => %id);

        let needs_membership = Arc::new(AtomicBool::new(false));
        let runtime = Handle::current();
        let outbox = Outbox::new(endpoint.clone(), runtime, drivers, files_max, log.clone());
        let (core, core_thread) = core_loop::start(
            core,
            clock,
            outbox.clone(),
            Arc::clone(&needs_membership),
            log.clone(),
        )
        .wrap_err("core")?;
        let replica = JoiningReplica {
            id,
            address: settings.listen,
            peers: settings.peers.clone(),
            needs_membership,
        };
        tokio::spawn(request_membership(endpoint.clone(), replica, log.clone()));
        tokio::spawn(accept_links(endpoint.clone(), outbox, core.clone()));
        let (stop, stopped) = watch::channel(false);
        let http_server = tokio::spawn(http::serve(server, core.clone(), prometheus, stopped));
        let core_thread = tokio::task::spawn_blocking(move || core_thread.join());
        Ok(Self { core, endpoint, core_thread, http_server, stop, log: log.clone() })
    }

    /// A handle of the core.
    pub fn core(&self) -> CoreHandle {
        self.core.clone()
    }

    /// The local endpoint of its links.
    pub fn endpoint(&self) -> LinkEndpoint {
        self.endpoint.clone()
    }

    /// Waits until the core ends by itself, which it does only if it cannot continue.
    ///
    /// # Errors
    ///
    /// Always, with the cause.
    pub async fn failed(&mut self) -> eyre::Result<()> {
        let ended = (&mut self.core_thread).await.wrap_err("core thread")?;
        let ended = ended.map_err(|_| eyre!("the core panicked"))?;
        ended.wrap_err("core").and(Err(eyre!("the core ended by itself")))
    }

    /// Transfers leadership, if this process has it, and shuts down.
    ///
    /// # Errors
    ///
    /// With the part that failed.
    pub async fn stop(self) -> eyre::Result<()> {
        self.core.send(Input::TransferLeadership);
        sleep(TRANSFER_WAIT).await;
        self.stop.send_replace(true);
        self.core.send(Input::Stop);
        self.core_thread
            .await
            .wrap_err("core thread")?
            .map_err(|_| eyre!("the core panicked"))??;
        self.endpoint.close().await;
        self.http_server.await.wrap_err("pages")?;
        info!(self.log, "control: shut down"; "event" => "control.end");
        Ok(())
    }
}

/// Runs a control process until SIGTERM or SIGINT.
///
/// # Errors
///
/// With the step that failed: keys, sockets or the disk.
pub async fn run(settings: ControlSettings, log: Logger) -> eyre::Result<()> {
    let (drivers, founders) = (Drivers::default(), Vec::new());
    let parts = ControlParts {
        settings,
        drivers,
        founders,
        workflows: WorkflowBounds::default(),
        policies: WorkflowPolicies::default(),
        drain: None,
        data_centres: BTreeSet::new(),
        files_max: files_limit(),
    };
    let mut process = ControlProcess::start(parts, &log).await?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        failed = process.failed() => return failed,
    }
    info!(log, "control: shutting down on a signal"; "event" => "control.term");
    process.stop().await
}

fn core_config(parts: &ControlParts) -> CoreConfig {
    let settings = &parts.settings;
    let agreement = &settings.agreement;
    let timing = Timing {
        heartbeat: Duration::from_millis(agreement.heartbeat_ms),
        election: Duration::from_millis(agreement.election_ms),
        lease: Duration::from_millis(agreement.lease_ms),
        ..Timing::default()
    };
    CoreConfig {
        timing,
        limits: settings.limits,
        policy: settings.policy.clone(),
        workflows: parts.workflows,
        policies: parts.policies.clone(),
        drain: parts.drain,
        data_centres: parts.data_centres.clone(),
    }
}

/// Opens the log; if it is missing or damaged, this replica starts as a new incarnation without a vote.
///
/// At the first start of a deployment the founders start with the founding state instead. Each writes
/// the same state by itself, so none of them needs a message from another first.
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
            let damaged = disk()?.set_aside().wrap_err("setting the damaged log aside")?;
            warn!(log, "control: damaged log set aside"; "event" => "log.damaged",
                "error" => %error, "file" => %damaged.display());
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
