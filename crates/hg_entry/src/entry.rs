//! The state that all parts of an entry process share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use hg_link::ControlClient;
use hg_model::{EntryName, ListVersion};
use hg_settings::EntrySettings;
use slog::Logger;
use tokio::sync::Semaphore;

use crate::{JobTable, UpstreamClient, UpstreamTable};

/// The shared state of an entry process.
#[derive(Debug)]
pub struct Entry {
    /// The settings of the process.
    pub settings: EntrySettings,
    /// The entry's name, unique to this incarnation of the process.
    pub name: EntryName,
    /// The root logger.
    pub log: Logger,
    /// Client of the control leader.
    pub control: ControlClient,
    /// Bodies and answers of the jobs whose home is this entry.
    pub jobs: JobTable,
    /// The upstreams that send their heartbeats to this entry.
    pub upstreams: UpstreamTable,
    /// Client of the upstreams.
    pub client: UpstreamClient,
    /// Limits the callers' requests in progress: one permit each.
    pub requests: Semaphore,
    lists: AtomicU64,
    knows_lists: AtomicBool,
    stopping: AtomicBool,
}

impl Entry {
    /// The state of an entry that knows no jobs, upstreams or lists yet.
    pub fn new(
        settings: EntrySettings,
        name: EntryName,
        log: Logger,
        control: ControlClient,
    ) -> Self {
        let limits = settings.limits;
        Self {
            name,
            log,
            control,
            jobs: JobTable::new(limits.held_bytes),
            upstreams: UpstreamTable::new(limits.upstreams),
            client: UpstreamClient::new(settings.upstreams, limits.answer_bytes),
            requests: Semaphore::new(limits.requests),
            settings,
            lists: AtomicU64::new(0),
            knows_lists: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }

    /// The newest version of the lists that a leader has reported; 0 if none has yet.
    pub fn lists_version(&self) -> ListVersion {
        ListVersion(self.lists.load(Ordering::Acquire))
    }

    /// Records a lists version that the leader reported; an older one changes nothing.
    pub fn record_lists_version(&self, version: ListVersion) {
        self.lists.fetch_max(version.0, Ordering::AcqRel);
        self.knows_lists.store(true, Ordering::Release);
    }

    /// Whether the version of the lists has been learned from a leader with a quorum.
    pub fn knows_lists(&self) -> bool {
        self.knows_lists.load(Ordering::Acquire)
    }

    /// Whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins the shutdown: new jobs and heartbeats are refused from now on.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}
