//! What all parts of an entry share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use hg_link::ControlClient;
use hg_model::{EntryName, ListVersion};
use hg_settings::EntrySettings;
use slog::Logger;
use tokio::sync::Semaphore;

use crate::{JobTable, UpstreamClient, UpstreamTable};

/// An entry process; handed down to every part.
#[derive(Debug)]
pub struct Entry {
    /// The settings it runs with.
    pub settings: EntrySettings,
    /// Its name, unique to this start of the process.
    pub name: EntryName,
    /// The root logger.
    pub log: Logger,
    /// The way to the control leader.
    pub control: ControlClient,
    /// Bodies and answers.
    pub jobs: JobTable,
    /// The upstreams that announce themselves here.
    pub upstreams: UpstreamTable,
    /// The way to upstreams.
    pub client: UpstreamClient,
    /// One permit for each request in progress.
    pub requests: Semaphore,
    lists: AtomicU64,
    knows_lists: AtomicBool,
    stopping: AtomicBool,
}

impl Entry {
    /// Puts the parts together.
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

    /// The newest version of the lists that the leader has named.
    pub fn lists_version(&self) -> ListVersion {
        ListVersion(self.lists.load(Ordering::Acquire))
    }

    /// Notes a version that the leader named; an older one changes nothing.
    pub fn note_lists_version(&self, version: ListVersion) {
        self.lists.fetch_max(version.0, Ordering::AcqRel);
        self.knows_lists.store(true, Ordering::Release);
    }

    /// Whether the version of the lists has been learned from a leader with a quorum.
    pub fn knows_lists(&self) -> bool {
        self.knows_lists.load(Ordering::Acquire)
    }

    /// Whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Takes no new work from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}
