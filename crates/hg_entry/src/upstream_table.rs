//! The upstreams that announce themselves at this entry.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, Error};
use hg_link::EntryHeartbeat;
use hg_model::{EntryName, Time, UpstreamHeartbeat, UpstreamName};

const SHARDS: usize = 16;

/// Too many upstreams announce themselves here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{limit} upstreams announce themselves here already")]
pub struct UpstreamsFull {
    /// The bound.
    pub limit: usize,
}

#[derive(Debug)]
struct Heard {
    beat: UpstreamHeartbeat,
    at: Time,
    reported: bool,
}

#[derive(Debug, Default)]
struct Shard {
    heard: BTreeMap<UpstreamName, Heard>,
    lost: BTreeSet<UpstreamName>,
}

/// What upstreams said last, in shards that each have a lock of their own.
///
/// Heartbeats end here; only what changed goes on to the leader.
#[derive(Debug)]
pub struct UpstreamTable {
    shards: [Mutex<Shard>; SHARDS],
    limit: usize,
}

impl UpstreamTable {
    /// An empty table with a bound.
    pub fn new(limit: usize) -> Self {
        Self { shards: Default::default(), limit }
    }

    /// How many upstreams are heard.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).heard.len()).sum()
    }

    /// Whether no upstream is heard.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes in what an upstream says.
    ///
    /// # Errors
    ///
    /// [`UpstreamsFull`] if it is new and there are too many.
    pub fn hear(&self, now: Time, beat: UpstreamHeartbeat) -> Result<(), UpstreamsFull> {
        let is_known = self.shard(&beat.spec.name).heard.contains_key(&beat.spec.name);
        if !is_known && self.len() >= self.limit {
            return Err(UpstreamsFull { limit: self.limit });
        }
        let mut shard = self.shard(&beat.spec.name);
        shard.lost.remove(&beat.spec.name);
        let same = |h: &Heard| h.reported && is_same_news(&h.beat, &beat);
        let reported = shard.heard.get(&beat.spec.name).is_some_and(same);
        shard.heard.insert(beat.spec.name.clone(), Heard { beat, at: now, reported });
        Ok(())
    }

    /// Drops upstreams that have been silent for too long.
    pub fn expire(&self, now: Time, silence: Duration) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            let is_silent = |heard: &Heard| now >= heard.at.after(silence);
            let silent: Vec<UpstreamName> =
                shard.heard.iter().filter(|(_, h)| is_silent(h)).map(|(n, _)| n.clone()).collect();
            for name in silent {
                shard.heard.remove(&name);
                shard.lost.insert(name);
            }
        }
    }

    /// What changed since the last report that arrived, or everything.
    pub fn report(&self, entry: &EntryName, full: bool) -> EntryHeartbeat {
        let mut beats =
            EntryHeartbeat { entry: entry.clone(), full, changed: Vec::new(), lost: Vec::new() };
        for shard in &self.shards {
            let shard = lock(shard);
            let due = shard.heard.values().filter(|heard| full || !heard.reported);
            beats.changed.extend(due.map(|heard| heard.beat.clone()));
            beats.lost.extend(shard.lost.iter().cloned());
        }
        beats
    }

    /// Notes that a report arrived.
    pub fn note_reported(&self, beats: &EntryHeartbeat) {
        for beat in &beats.changed {
            let mut shard = self.shard(&beat.spec.name);
            if let Some(heard) = shard.heard.get_mut(&beat.spec.name)
                && is_same_news(&heard.beat, beat)
            {
                heard.reported = true;
            }
        }
        for name in &beats.lost {
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

/// Whether two beats say the same to the leader; it knows itself which leases it has given out.
fn is_same_news(a: &UpstreamHeartbeat, b: &UpstreamHeartbeat) -> bool {
    a.spec == b.spec && a.leaving == b.leaving && a.ended == b.ended
}

fn lock(mutex: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
