//! Bodies, answers and running attempts of the jobs whose home is this entry.
//!
//! A job's home is the entry that holds its body and runs its attempts.

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

/// Holding the body would exceed the byte limit of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{limit} bytes of bodies and answers are held already")]
pub struct ByteLimitReached {
    /// The most bytes that the table may hold.
    pub limit: usize,
}

/// A job's final answer as this entry holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalAnswer {
    /// The answer.
    pub answer: Answer,
    /// The answer's content, if the job was answered and the content is held here.
    pub content: Option<Bytes>,
}

/// An order to end a running attempt early.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopOrder {
    /// Stop every member.
    Stop(StopCause),
    /// The leader has given up the member on this upstream as lost; stop the others.
    Abort(UpstreamName),
}

#[derive(Debug)]
struct HeldJob {
    body: Option<Bytes>,
    answer_content: Option<Bytes>,
    final_answer: watch::Sender<Option<FinalAnswer>>,
    /// The latest attempt that was run here, and the channel that stops it.
    runner: Option<(u32, watch::Sender<Option<StopOrder>>)>,
    /// When the job was last submitted, started or finished here.
    last_activity: Instant,
}

impl HeldJob {
    fn new() -> Self {
        Self {
            body: None,
            answer_content: None,
            final_answer: watch::Sender::new(None),
            runner: None,
            last_activity: Instant::now(),
        }
    }

    fn bytes(&self) -> usize {
        self.body.as_ref().map_or(0, Bytes::len)
            + self.answer_content.as_ref().map_or(0, Bytes::len)
    }
}

/// The jobs held by this entry, in shards that are locked independently.
///
/// Bodies and answer contents together are limited in bytes.
#[derive(Debug)]
pub struct JobTable {
    shards: [Mutex<BTreeMap<JobId, HeldJob>>; SHARDS],
    bytes: AtomicUsize,
    limit: usize,
}

/// Queries.
impl JobTable {
    /// The body of a job; `None` if it is not held here or the job has finished.
    pub fn body(&self, id: &JobId) -> Option<Bytes> {
        self.shard(id).get(id).and_then(|held| held.body.clone())
    }

    /// Subscribes to the final answer of a job; `None` if the job is not held here.
    pub fn subscribe(&self, id: &JobId) -> Option<watch::Receiver<Option<FinalAnswer>>> {
        self.shard(id).get(id).map(|held| held.final_answer.subscribe())
    }

    /// Bytes of bodies and answer contents held now.
    pub fn held_bytes(&self) -> usize {
        self.bytes.load(Ordering::Acquire)
    }

    /// Number of jobs held here that have no final answer yet.
    pub fn unfinished(&self) -> usize {
        let count = |shard: &Mutex<BTreeMap<JobId, HeldJob>>| {
            lock(shard).values().filter(|held| held.final_answer.borrow().is_none()).count()
        };
        self.shards.iter().map(count).sum()
    }

    fn shard(&self, id: &JobId) -> MutexGuard<'_, BTreeMap<JobId, HeldJob>> {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let index = usize::try_from(hasher.finish() % SHARDS as u64).unwrap_or(0);
        lock(&self.shards[index])
    }
}

/// Commands.
impl JobTable {
    /// An empty table that may hold at most `limit` bytes of bodies and answer contents.
    pub fn new(limit: usize) -> Self {
        Self { shards: Default::default(), bytes: AtomicUsize::new(0), limit }
    }

    /// Stores a job's body.
    ///
    /// Returns `false` without storing it if a body or a final answer is held already.
    ///
    /// # Errors
    ///
    /// [`ByteLimitReached`] if the table would hold more bytes than its limit.
    pub fn hold_body(&self, id: &JobId, body: Bytes) -> Result<bool, ByteLimitReached> {
        let mut shard = self.shard(id);
        let held = shard.entry(id.clone()).or_insert_with(HeldJob::new);
        held.last_activity = Instant::now();
        if held.body.is_some() || held.final_answer.borrow().is_some() {
            return Ok(false);
        }
        if self.held_bytes() + body.len() > self.limit {
            shard.remove(id);
            return Err(ByteLimitReached { limit: self.limit });
        }
        self.bytes.fetch_add(body.len(), Ordering::AcqRel);
        held.body = Some(body);
        Ok(true)
    }

    /// Removes a job whose home is not this entry, such as one that was refused.
    pub fn remove(&self, id: &JobId) {
        if let Some(held) = self.shard(id).remove(id) {
            self.bytes.fetch_sub(held.bytes(), Ordering::AcqRel);
        }
    }

    /// Registers the runner of an attempt and returns the receiver of its stop order.
    ///
    /// Returns `None` if the job has finished, if a later attempt is registered, or if this
    /// attempt's runner is still alive.
    pub fn register_runner(
        &self,
        id: &JobId,
        attempt: u32,
    ) -> Option<watch::Receiver<Option<StopOrder>>> {
        let mut shard = self.shard(id);
        let held = shard.entry(id.clone()).or_insert_with(HeldJob::new);
        if held.final_answer.borrow().is_some() {
            return None;
        }
        let is_taken = held
            .runner
            .as_ref()
            .is_some_and(|(a, tx)| *a > attempt || (*a == attempt && !tx.is_closed()));
        if is_taken {
            return None;
        }
        let (tx, rx) = watch::channel(None);
        held.runner = Some((attempt, tx));
        held.last_activity = Instant::now();
        Some(rx)
    }

    /// Sends a stop order to the runner of an attempt. Returns whether that runner is alive.
    pub fn stop(&self, id: &JobId, attempt: u32, order: StopOrder) -> bool {
        let shard = self.shard(id);
        let Some((running, tx)) = shard.get(id).and_then(|held| held.runner.as_ref()) else {
            return false;
        };
        if *running != attempt || tx.is_closed() {
            return false;
        }
        tx.send_if_modified(|current| match current {
            // An abort replaces a stop; nothing replaces an abort.
            Some(StopOrder::Abort(_)) => false,
            Some(StopOrder::Stop(_)) if matches!(order, StopOrder::Stop(_)) => false,
            _ => {
                *current = Some(order);
                true
            }
        });
        true
    }

    /// Stores an answer's content ahead of the final answer, unless the byte limit forbids it.
    pub fn hold_answer_content(&self, id: &JobId, content: Bytes) {
        let mut shard = self.shard(id);
        let Some(held) = shard.get_mut(id) else { return };
        if self.held_bytes() + content.len() > self.limit {
            // The content can still be fetched from the upstream that produced it.
            return;
        }
        self.bytes.fetch_add(content.len(), Ordering::AcqRel);
        if let Some(before) = held.answer_content.replace(content) {
            self.bytes.fetch_sub(before.len(), Ordering::AcqRel);
        }
    }

    /// Records the final answer of a job and drops its body. Later answers are ignored.
    pub fn finish(&self, id: &JobId, answer: Answer) {
        let mut shard = self.shard(id);
        let Some(held) = shard.get_mut(id) else { return };
        if held.final_answer.borrow().is_some() {
            return;
        }
        held.last_activity = Instant::now();
        if let Some(body) = held.body.take() {
            self.bytes.fetch_sub(body.len(), Ordering::AcqRel);
        }
        let content = held.answer_content.clone();
        held.final_answer.send_replace(Some(FinalAnswer { answer, content }));
    }

    /// Evicts finished jobs whose last submission, start or end is at least `age` ago.
    pub fn expire(&self, age: Duration) {
        for shard in &self.shards {
            lock(shard).retain(|_, held| {
                let keep =
                    held.final_answer.borrow().is_none() || held.last_activity.elapsed() < age;
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
