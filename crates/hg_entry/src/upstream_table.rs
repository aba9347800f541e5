//! The upstreams that send their heartbeats to this entry.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use hg_link::EntryHeartbeat;
use hg_model::{EntryName, Time, UpstreamHeartbeat, UpstreamName};

const SHARDS: usize = 16;

/// The table holds as many upstreams as it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{limit} upstreams announce themselves here already")]
pub struct UpstreamLimitReached {
    /// The most upstreams that the table may hold.
    pub limit: usize,
}

#[derive(Debug)]
struct UpstreamRecord {
    heartbeat: UpstreamHeartbeat,
    received_at: Time,
    /// Whether the leader has acknowledged a report of this heartbeat.
    reported: bool,
}

#[derive(Debug, Default)]
struct Shard {
    live: BTreeMap<UpstreamName, UpstreamRecord>,
    /// Upstreams that expired and whose loss the leader has not acknowledged.
    lost: BTreeSet<UpstreamName>,
}

/// The last heartbeat of each upstream, in shards that are locked independently.
///
/// Heartbeats are not forwarded one by one: the leader is sent only what changed.
#[derive(Debug)]
pub struct UpstreamTable {
    shards: [Mutex<Shard>; SHARDS],
    limit: usize,
}

impl UpstreamTable {
    /// An empty table that may hold at most `limit` upstreams.
    pub fn new(limit: usize) -> Self {
        Self { shards: Default::default(), limit }
    }

    /// Number of upstreams whose heartbeats have not expired.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).live.len()).sum()
    }

    /// Whether the table holds no upstream.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records a heartbeat that was received at `now`.
    ///
    /// # Errors
    ///
    /// [`UpstreamLimitReached`] if the upstream is new and the table is full.
    pub fn record_heartbeat(
        &self,
        now: Time,
        heartbeat: UpstreamHeartbeat,
    ) -> Result<(), UpstreamLimitReached> {
        let is_known = self.shard(&heartbeat.spec.name).live.contains_key(&heartbeat.spec.name);
        if !is_known && self.len() >= self.limit {
            return Err(UpstreamLimitReached { limit: self.limit });
        }
        let mut shard = self.shard(&heartbeat.spec.name);
        shard.lost.remove(&heartbeat.spec.name);
        let is_reported = |record: &UpstreamRecord| {
            record.reported && is_same_to_leader(&record.heartbeat, &heartbeat)
        };
        let reported = shard.live.get(&heartbeat.spec.name).is_some_and(is_reported);
        let record = UpstreamRecord { heartbeat, received_at: now, reported };
        shard.live.insert(record.heartbeat.spec.name.clone(), record);
        Ok(())
    }

    /// Moves upstreams without a heartbeat for `silence` to those lost.
    pub fn expire(&self, now: Time, silence: Duration) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            let is_expired = |record: &UpstreamRecord| now >= record.received_at.after(silence);
            let expired: Vec<UpstreamName> =
                shard.live.iter().filter(|(_, r)| is_expired(r)).map(|(n, _)| n.clone()).collect();
            for name in expired {
                shard.live.remove(&name);
                shard.lost.insert(name);
            }
        }
    }

    /// What changed since the last acknowledged report; with `full`, all upstreams.
    pub fn report(&self, entry: &EntryName, full: bool) -> EntryHeartbeat {
        let mut report =
            EntryHeartbeat { entry: entry.clone(), full, changed: Vec::new(), lost: Vec::new() };
        for shard in &self.shards {
            let shard = lock(shard);
            let due = shard.live.values().filter(|record| full || !record.reported);
            report.changed.extend(due.map(|record| record.heartbeat.clone()));
            report.lost.extend(shard.lost.iter().cloned());
        }
        report
    }

    /// Records that the leader has acknowledged a report.
    ///
    /// A heartbeat that has changed since the report was made is still to be reported.
    pub fn acknowledge_report(&self, report: &EntryHeartbeat) {
        for heartbeat in &report.changed {
            let mut shard = self.shard(&heartbeat.spec.name);
            if let Some(record) = shard.live.get_mut(&heartbeat.spec.name)
                && is_same_to_leader(&record.heartbeat, heartbeat)
            {
                record.reported = true;
            }
        }
        for name in &report.lost {
            self.shard(name).lost.remove(name);
        }
    }

    fn shard(&self, name: &UpstreamName) -> MutexGuard<'_, Shard> {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let index = usize::try_from(hasher.finish() % SHARDS as u64).unwrap_or(0);
        lock(&self.shards[index])
    }
}

/// Whether two heartbeats of an upstream are equal in all that the leader needs to be told.
///
/// The leases are not compared: the leader knows which leases it has granted.
fn is_same_to_leader(a: &UpstreamHeartbeat, b: &UpstreamHeartbeat) -> bool {
    a.spec == b.spec && a.leaving == b.leaving && a.ended == b.ended
}

fn lock(mutex: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
