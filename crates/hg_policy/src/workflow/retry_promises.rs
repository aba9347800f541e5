//! When rejected callers are told to return, and the capacity that is promised to them.
//!
//! Handles the second wave after a burst: callers that are all told the same time return at once. Each return is
//! booked in a second of its pool, up to a share of the capacity that becomes free in it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hg_model::{AccountName, JobId, PoolName, QueueName, Time};

use super::capacity_profile::{Amount, Need};

/// How many rejected jobs are remembered.
const REMEMBERED_MAX: usize = 4_096;
/// How long before the promised time a caller may return, and how long after it the capacity is kept: the header
/// has whole seconds, and requests take time.
const EARLY: Duration = Duration::from_millis(300);
const GRACE: Duration = Duration::from_millis(2_000);
/// How long a rejected job is remembered after its return time, so that its first attempt is known.
const REMEMBERED: Duration = Duration::from_secs(30);
/// The share of a pool's capacity that is promised to returning callers, in percent; the rest is left to those
/// that come for the first time.
const PROMISED_MAX_PERCENT: u64 = 25;
/// The share that is booked for callers whose present job has no value by then, in percent. They are booked apart, since
/// they would leave no second to promise.
const UNPROMISED_MAX_PERCENT: u64 = 50;
/// A promise is void once the pool has less than this share of the capacity that it had, in percent.
const CAPACITY_KEPT_PERCENT: u64 = 75;
/// One interval of the bookings, in milliseconds.
const SECOND_MS: u64 = 1_000;

/// Capacity that is kept for a rejected job from its return time on.
#[derive(Debug, Clone)]
pub(crate) struct Promise {
    /// Its pool.
    pub(crate) pool: PoolName,
    /// Its priority.
    pub(crate) priority: u32,
    /// Its queue.
    pub(crate) queue: QueueName,
    /// Its account.
    pub(crate) account: Option<AccountName>,
    /// What its first steps need.
    pub(crate) needs: Vec<Need>,
    /// The capacity of the pool when it was given.
    pub(crate) capacity: Amount,
}

/// A job that was rejected.
#[derive(Debug, Clone)]
pub(crate) struct RejectedJob {
    /// When its caller tried first: the latency objective counts from there.
    pub(crate) first_at: Time,
    /// When its caller was told to return.
    pub(crate) return_at: Time,
    /// The promise, if its work still has value then.
    pub(crate) promise: Option<Promise>,
}

impl RejectedJob {
    /// Whether its promise covers an attempt at `now`, while the pool has `capacity`.
    pub(crate) fn is_promised(&self, now: Time, capacity: Amount) -> bool {
        let is_in_time = now.after(EARLY) >= self.return_at && now <= self.return_at.after(GRACE);
        self.promise.as_ref().is_some_and(|promise| {
            let kept = promise.capacity.times(CAPACITY_KEPT_PERCENT);
            is_in_time && kept.fits(capacity.times(100))
        })
    }

    /// Whether its caller comes before the time that it was promised.
    pub(crate) fn is_early(&self, now: Time) -> bool {
        self.promise.is_some() && now.after(EARLY) < self.return_at
    }
}

/// The rejected jobs and the bookings of their returns.
#[derive(Debug, Default)]
pub(crate) struct RetryPromises {
    jobs: BTreeMap<JobId, RejectedJob>,
    order: VecDeque<JobId>,
    /// Resources times milliseconds that are booked with and without a promise, by pool and second.
    booked: BTreeMap<(PoolName, bool), BTreeMap<u64, Amount>>,
}

/// Queries.
impl RetryPromises {
    /// What is remembered of a rejected job.
    pub(crate) fn get(&self, id: &JobId) -> Option<&RejectedJob> {
        self.jobs.get(id)
    }

    /// The promises whose capacity is still kept, with the time of return.
    pub(crate) fn open(&self, now: Time) -> impl Iterator<Item = (Time, &Promise)> {
        let jobs = self.jobs.values().filter(move |job| now <= job.return_at.after(GRACE));
        jobs.filter_map(|job| Some((job.return_at, job.promise.as_ref()?)))
    }

    /// Whether the second in which `at` lies has room for another return.
    pub(crate) fn has_room(
        &self,
        pool: &PoolName,
        at: Time,
        capacity: Amount,
        is_promised: bool,
    ) -> bool {
        let key = (pool.clone(), is_promised);
        let booked = self.booked.get(&key).and_then(|seconds| seconds.get(&second_of(at)));
        let limit = limit_of(capacity, is_promised);
        let booked = booked.copied().unwrap_or_default();
        (limit.accelerators == 0 || booked.accelerators < limit.accelerators)
            && (limit.millicores == 0 || booked.millicores < limit.millicores)
    }
}

/// Commands.
impl RetryPromises {
    /// Books the work of a return in its second and, as far as that is full, in the following ones.
    pub(crate) fn book(
        &mut self,
        pool: &PoolName,
        at: Time,
        work: Amount,
        capacity: Amount,
        is_promised: bool,
    ) {
        let limit = limit_of(capacity, is_promised);
        let seconds = self.booked.entry((pool.clone(), is_promised)).or_default();
        let (mut left, mut second) = (work, second_of(at));
        let last = second + SECONDS_BOOKED_MAX;
        while left != Amount::default() && second <= last {
            let booked = seconds.entry(second).or_default();
            let room = limit.minus(*booked);
            let taken = Amount {
                accelerators: left.accelerators.min(room.accelerators),
                millicores: left.millicores.min(room.millicores),
            };
            *booked = booked.plus(taken);
            left = left.minus(taken);
            second += 1;
        }
    }

    /// Remembers a rejected job; the oldest is forgotten if there are too many.
    pub(crate) fn record_rejected(&mut self, id: &JobId, job: RejectedJob) {
        if self.jobs.insert(id.clone(), job).is_none() {
            self.order.push_back(id.clone());
        }
        while self.jobs.len() > REMEMBERED_MAX {
            let Some(oldest) = self.order.pop_front() else { return };
            self.jobs.remove(&oldest);
        }
    }

    /// Forgets a job that was accepted.
    pub(crate) fn record_accepted(&mut self, id: &JobId) {
        if self.jobs.remove(id).is_some() {
            self.order.retain(|other| other != id);
        }
    }

    /// Forgets what is over, and promises that are not valid any more.
    pub(crate) fn retain(&mut self, now: Time, is_valid: impl Fn(&Promise) -> bool) {
        self.jobs.retain(|_, job| {
            job.promise = job.promise.take().filter(&is_valid);
            now <= job.return_at.after(REMEMBERED)
        });
        let jobs = &self.jobs;
        self.order.retain(|id| jobs.contains_key(id));
        for seconds in self.booked.values_mut() {
            *seconds = seconds.split_off(&second_of(now));
        }
        self.booked.retain(|_, seconds| !seconds.is_empty());
    }
}

/// One return is booked in at most this many seconds.
const SECONDS_BOOKED_MAX: u64 = 120;

const fn second_of(at: Time) -> u64 {
    at.0 / SECOND_MS
}

/// What may be booked in a second, in resources times milliseconds.
const fn limit_of(capacity: Amount, is_promised: bool) -> Amount {
    let percent = if is_promised { PROMISED_MAX_PERCENT } else { UNPROMISED_MAX_PERCENT };
    let whole = capacity.times(SECOND_MS * percent);
    Amount { accelerators: whole.accelerators / 100, millicores: whole.millicores / 100 }
}
