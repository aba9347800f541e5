//! A leader's volatile state, such as the progress of its followers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hg_model::Time;

use crate::{Configuration, Index, ReplicaId, Timing};

/// The replication progress of a follower.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The index of the next entry to send.
    pub(crate) next_index: Index,
    /// The last index at which the follower's log is known to equal the leader's.
    pub(crate) match_index: Index,
    /// The send time, by the leader's clock, of the latest message that the follower acknowledged.
    pub(crate) acked_sent_at: Option<Time>,
    /// Whether only heartbeats and snapshots are sent until the follower's log is known to match.
    pub(crate) probing: bool,
    /// The time at which entries were last sent.
    pub(crate) entries_sent_at: Time,
    /// The time at which the latest unacknowledged snapshot was sent.
    pub(crate) snapshot_sent_at: Option<Time>,
}

/// A leader's volatile state.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// The index of the entry that starts the leader's term.
    pub(crate) noop_index: Index,
    pub(crate) elected_at: Time,
    pub(crate) next_heartbeat: Time,
    /// Replicas that asked to join and are not members yet, with their addresses.
    pub(crate) joiners: BTreeMap<ReplicaId, SocketAddr>,
    /// The start of a leadership transfer; the leader then no longer holds the lease.
    pub(crate) transfer_started_at: Option<Time>,
}

impl LeaderState {
    pub(crate) const fn new(noop_index: Index, now: Time) -> Self {
        Self {
            progress: BTreeMap::new(),
            noop_index,
            elected_at: now,
            next_heartbeat: now,
            joiners: BTreeMap::new(),
            transfer_started_at: None,
        }
    }

    /// The progress of a peer; a new one starts at `last`, the end of the leader's log.
    pub(crate) fn progress_mut(&mut self, id: &ReplicaId, last: Index, now: Time) -> &mut Progress {
        self.progress.entry(id.clone()).or_insert_with(|| Progress {
            next_index: last.next(),
            match_index: Index(0),
            acked_sent_at: None,
            probing: true,
            entries_sent_at: now,
            snapshot_sent_at: None,
        })
    }

    /// The latest time such that a quorum, including the leader, acknowledged messages sent then or
    /// later.
    pub(crate) fn quorum_acked_at(
        &self,
        me: &ReplicaId,
        cfg: &Configuration,
        now: Time,
    ) -> Option<Time> {
        let acked_sent_at = |id: &ReplicaId| {
            if id == me { Some(now) } else { self.progress.get(id).and_then(|p| p.acked_sent_at) }
        };
        quorum_value(cfg, acked_sent_at)
    }

    /// The last index that a quorum is known to have.
    pub(crate) fn quorum_match_index(
        &self,
        me: &ReplicaId,
        cfg: &Configuration,
        last: Index,
    ) -> Index {
        let match_index = |id: &ReplicaId| {
            if id == me { Some(last) } else { self.progress.get(id).map(|p| p.match_index) }
        };
        quorum_value(cfg, match_index).unwrap_or_default()
    }

    /// Whether a quorum acknowledged the leader so recently that no other replica can lead.
    pub(crate) fn has_lease(
        &self,
        me: &ReplicaId,
        cfg: &Configuration,
        timing: &Timing,
        now: Time,
    ) -> bool {
        self.transfer_started_at.is_none()
            && self.quorum_acked_at(me, cfg, now).is_some_and(|at| now < at.after(timing.lease))
    }
}

/// The greatest value that a quorum of voters has reached.
fn quorum_value<T: Ord>(cfg: &Configuration, of: impl Fn(&ReplicaId) -> Option<T>) -> Option<T> {
    let mut values: Vec<Option<T>> = cfg.voters().map(of).collect();
    values.sort_by(|a, b| b.cmp(a));
    values.into_iter().nth(cfg.quorum() - 1).flatten()
}
