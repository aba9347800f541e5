//! What a leader knows about its followers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hg_model::Time;

use crate::{Configuration, Index, ReplicaId, Timing};

/// How far one follower has come.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The next position to send.
    pub(crate) next: Index,
    /// The last position known to be equal.
    pub(crate) matched: Index,
    /// The latest of our own send times that it echoed.
    pub(crate) heard: Option<Time>,
    /// Whether entries are held back until it answers.
    pub(crate) probing: bool,
    /// When entries were last sent.
    pub(crate) sent_at: Time,
    /// When a snapshot was last sent that has not been answered.
    pub(crate) snapshot_at: Option<Time>,
}

/// A leader's volatile state.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) noop: Index,
    pub(crate) since: Time,
    pub(crate) next_heartbeat: Time,
    pub(crate) joiners: BTreeMap<ReplicaId, SocketAddr>,
    pub(crate) handed_over: Option<Time>,
}

impl Leader {
    pub(crate) const fn new(noop: Index, now: Time) -> Self {
        Self {
            progress: BTreeMap::new(),
            noop,
            since: now,
            next_heartbeat: now,
            joiners: BTreeMap::new(),
            handed_over: None,
        }
    }

    /// The progress of a peer; starts at the end of our log.
    pub(crate) fn progress_mut(&mut self, id: &ReplicaId, last: Index, now: Time) -> &mut Progress {
        self.progress.entry(id.clone()).or_insert_with(|| Progress {
            next: last.next(),
            matched: Index(0),
            heard: None,
            probing: true,
            sent_at: now,
            snapshot_at: None,
        })
    }

    /// The latest time at which a quorum, we included, is known to have heard us.
    pub(crate) fn quorum_heard(
        &self,
        me: &ReplicaId,
        cfg: &Configuration,
        now: Time,
    ) -> Option<Time> {
        let heard = |id: &ReplicaId| {
            if id == me { Some(now) } else { self.progress.get(id).and_then(|p| p.heard) }
        };
        quorum_value(cfg, heard)
    }

    /// The last position that a quorum has.
    pub(crate) fn quorum_matched(&self, me: &ReplicaId, cfg: &Configuration, last: Index) -> Index {
        let matched = |id: &ReplicaId| {
            if id == me { Some(last) } else { self.progress.get(id).map(|p| p.matched) }
        };
        quorum_value(cfg, matched).unwrap_or_default()
    }

    /// Whether a quorum heard us so lately that nobody else can lead.
    pub(crate) fn has_lease(
        &self,
        me: &ReplicaId,
        cfg: &Configuration,
        timing: &Timing,
        now: Time,
    ) -> bool {
        self.handed_over.is_none()
            && self.quorum_heard(me, cfg, now).is_some_and(|at| now < at.after(timing.lease))
    }
}

/// The greatest value that a quorum of voters has reached.
fn quorum_value<T: Ord>(cfg: &Configuration, of: impl Fn(&ReplicaId) -> Option<T>) -> Option<T> {
    let mut values: Vec<Option<T>> = cfg.voters().map(of).collect();
    values.sort_by(|a, b| b.cmp(a));
    values.into_iter().nth(cfg.quorum() - 1).flatten()
}
