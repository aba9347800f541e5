//! Bodies, answers and carriers of the jobs whose home this entry is.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use hg_model::{Answer, JobId, StopCause, UpstreamName};
use tokio::sync::watch;

const SHARDS: usize = 16;

/// All that may be held at once is held already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{limit} bytes of bodies and answers are held already")]
pub struct NoRoom {
    /// The bound, in bytes.
    pub limit: usize,
}

/// A job's final answer as this entry holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalAnswer {
    /// The answer.
    pub answer: Answer,
    /// Its content, if it was answered and is held here.
    pub content: Option<Bytes>,
}

/// What a carrier is told to do before its tasks have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopOrder {
    /// Stop every member.
    Stop(StopCause),
    /// A member is lost; stop the others.
    Abort(UpstreamName),
}

#[derive(Debug)]
struct Held {
    body: Option<Bytes>,
    content: Option<Bytes>,
    last: watch::Sender<Option<FinalAnswer>>,
    carrier: Option<(u32, watch::Sender<Option<StopOrder>>)>,
    touched: Instant,
}

impl Held {
    fn new() -> Self {
        let last = watch::Sender::new(None);
        Self { body: None, content: None, last, carrier: None, touched: Instant::now() }
    }

    fn bytes(&self) -> usize {
        self.body.as_ref().map_or(0, Bytes::len) + self.content.as_ref().map_or(0, Bytes::len)
    }
}

/// The jobs held here, in shards that each have a lock of their own.
#[derive(Debug)]
pub struct JobTable {
    shards: [Mutex<BTreeMap<JobId, Held>>; SHARDS],
    bytes: AtomicUsize,
    limit: usize,
}

/// Queries.
impl JobTable {
    /// The body of a job.
    pub fn body(&self, id: &JobId) -> Option<Bytes> {
        self.shard(id).get(id).and_then(|held| held.body.clone())
    }

    /// The final answer, now and as it comes; `None` if the job is not held here.
    pub fn watch(&self, id: &JobId) -> Option<watch::Receiver<Option<FinalAnswer>>> {
        self.shard(id).get(id).map(|held| held.last.subscribe())
    }

    /// How many bytes are held.
    pub fn held_bytes(&self) -> usize {
        self.bytes.load(Ordering::Acquire)
    }

    /// How many jobs without a final answer have their body here.
    pub fn unfinished(&self) -> usize {
        let count = |shard: &Mutex<BTreeMap<JobId, Held>>| {
            lock(shard).values().filter(|held| held.last.borrow().is_none()).count()
        };
        self.shards.iter().map(count).sum()
    }

    fn shard(&self, id: &JobId) -> MutexGuard<'_, BTreeMap<JobId, Held>> {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let index = usize::try_from(hasher.finish() % SHARDS as u64).unwrap_or(0);
        lock(&self.shards[index])
    }
}

/// Commands.
impl JobTable {
    /// An empty table that holds at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { shards: Default::default(), bytes: AtomicUsize::new(0), limit }
    }

    /// Holds a body. Returns whether it was not there before.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if too much is held already.
    pub fn hold_body(&self, id: &JobId, body: Bytes) -> Result<bool, NoRoom> {
        let mut shard = self.shard(id);
        let held = shard.entry(id.clone()).or_insert_with(Held::new);
        held.touched = Instant::now();
        if held.body.is_some() || held.last.borrow().is_some() {
            return Ok(false);
        }
        if self.held_bytes() + body.len() > self.limit {
            shard.remove(id);
            return Err(NoRoom { limit: self.limit });
        }
        self.bytes.fetch_add(body.len(), Ordering::AcqRel);
        held.body = Some(body);
        Ok(true)
    }

    /// Forgets a job that was turned away.
    pub fn drop_job(&self, id: &JobId) {
        if let Some(held) = self.shard(id).remove(id) {
            self.bytes.fetch_sub(held.bytes(), Ordering::AcqRel);
        }
    }

    /// Takes on an attempt, unless it or a later one has been taken on already.
    ///
    /// The receiver hears when it is to be stopped.
    pub fn take_on(&self, id: &JobId, attempt: u32) -> Option<watch::Receiver<Option<StopOrder>>> {
        let mut shard = self.shard(id);
        let held = shard.entry(id.clone()).or_insert_with(Held::new);
        if held.last.borrow().is_some() {
            return None;
        }
        let taken = held
            .carrier
            .as_ref()
            .is_some_and(|(a, tx)| *a > attempt || (*a == attempt && !tx.is_closed()));
        if taken {
            return None;
        }
        let (tx, rx) = watch::channel(None);
        held.carrier = Some((attempt, tx));
        held.touched = Instant::now();
        Some(rx)
    }

    /// Tells the carrier of an attempt to stop. Returns whether there is one.
    pub fn stop(&self, id: &JobId, attempt: u32, order: StopOrder) -> bool {
        let shard = self.shard(id);
        let Some((carried, tx)) = shard.get(id).and_then(|held| held.carrier.as_ref()) else {
            return false;
        };
        if *carried != attempt || tx.is_closed() {
            return false;
        }
        tx.send_if_modified(|now| match now {
            // An abort says more than a stop, and nothing says more than an abort.
            Some(StopOrder::Abort(_)) => false,
            Some(StopOrder::Stop(_)) if matches!(order, StopOrder::Stop(_)) => false,
            _ => {
                *now = Some(order);
                true
            }
        });
        true
    }

    /// Keeps an answer's content until the answer is final.
    pub fn hold_content(&self, id: &JobId, content: Bytes) {
        let mut shard = self.shard(id);
        let Some(held) = shard.get_mut(id) else { return };
        if self.held_bytes() + content.len() > self.limit {
            // It can still be fetched from its upstream.
            return;
        }
        self.bytes.fetch_add(content.len(), Ordering::AcqRel);
        if let Some(before) = held.content.replace(content) {
            self.bytes.fetch_sub(before.len(), Ordering::AcqRel);
        }
    }

    /// Gives a job its final answer; the first one stays.
    pub fn finish(&self, id: &JobId, answer: Answer) {
        let mut shard = self.shard(id);
        let Some(held) = shard.get_mut(id) else { return };
        if held.last.borrow().is_some() {
            return;
        }
        held.touched = Instant::now();
        if let Some(body) = held.body.take() {
            self.bytes.fetch_sub(body.len(), Ordering::AcqRel);
        }
        let content = held.content.clone();
        held.last.send_replace(Some(FinalAnswer { answer, content }));
    }

    /// Forgets finished jobs that nobody has asked for in a while.
    pub fn expire(&self, age: Duration) {
        for shard in &self.shards {
            lock(shard).retain(|_, held| {
                let keep = held.last.borrow().is_none() || held.touched.elapsed() < age;
                if !keep {
                    self.bytes.fetch_sub(held.bytes(), Ordering::AcqRel);
                }
                keep
            });
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
