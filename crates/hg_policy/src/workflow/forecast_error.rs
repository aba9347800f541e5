//! The error of forecast starts, learned from accepted jobs: when each was forecast to start and when it did.
//!
//! Gangs and single tasks are kept apart: single tasks pass gangs that wait for enough capacity, so they start sooner
//! than the sum of the work ahead of them says.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hg_model::{JobId, Time};

/// Added to both waiting times, in milliseconds, so that the ratio of two short ones says little.
const OFFSET_MS: f64 = 200.0;
/// If both waiting times are shorter, in milliseconds, the job says nothing about the forecast of long ones.
const INFORMATIVE_MS: u64 = 300;
/// Weight of each observation in the mean.
const WEIGHT: f64 = 0.05;
/// Bound of a single observation: the logarithm of the ratio; e to the power of it is 2.7.
const LOG_RATIO_MAX: f64 = 1.0;
/// The share of jobs that start sooner than forecast even with the margin.
const SOONER_SHARE: f64 = 0.1;
/// How far an observation moves the margin.
const MARGIN_STEP: f64 = 0.1;
/// The margin without evidence, as the logarithm of a factor: a forecast counts 0.6 of its time.
const MARGIN_FIRST: f64 = 0.5;
const MARGIN_MIN: f64 = 0.1;
const MARGIN_MAX: f64 = 1.2;
/// A job that has not started after this multiple of its forecast waiting time, and `UNSTARTED_MS`, counts as one
/// that starts then.
const UNSTARTED_FACTOR: u64 = 2;
const UNSTARTED_MS: u64 = 1_000;
/// A job in time may start in this part of its waiting time, since work ahead of it becomes late. With 1, work in time
/// ran out during a burst of four times the capacity, and a twelfth of the work was served late instead.
const IN_TIME_FACTOR: u64 = 2;
/// How many accepted jobs are followed until they start.
const FOLLOWED_MAX: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Expectation {
    accepted_at: Time,
    wait_ms: u64,
    is_gang: bool,
}

/// The error for jobs of one kind.
#[derive(Debug, Clone, Copy)]
struct LearnedError {
    /// Mean logarithm of the ratio of real to forecast waiting time.
    bias: f64,
    /// The logarithm of the factor by which jobs may start sooner than forecast; a quantile.
    margin: f64,
}

impl Default for LearnedError {
    fn default() -> Self {
        Self { bias: 0.0, margin: MARGIN_FIRST }
    }
}

/// The learned error.
#[derive(Debug, Default)]
pub(crate) struct ForecastError {
    gangs: LearnedError,
    singles: LearnedError,
    followed: BTreeMap<JobId, Expectation>,
    order: VecDeque<JobId>,
}

/// Queries.
impl ForecastError {
    /// The shortest waiting time that a forecast of `wait_ms` leaves likely, in milliseconds. Jobs that start later than
    /// forecast do not lengthen it: queueing wrongly costs less than rejecting wrongly.
    pub(crate) fn shortest_ms(&self, wait_ms: u64, is_gang: bool) -> u64 {
        scaled(wait_ms, -self.of(is_gang).margin)
    }

    /// The same for work in time. Part of the work ahead of it becomes late before it starts, so it may start sooner
    /// still.
    pub(crate) fn soonest_ms(&self, wait_ms: u64, is_gang: bool) -> u64 {
        self.shortest_ms(wait_ms, is_gang) / IN_TIME_FACTOR
    }

    /// The expected waiting time for a forecast of `wait_ms`, in milliseconds.
    pub(crate) fn expected_ms(&self, wait_ms: u64, is_gang: bool) -> u64 {
        scaled(wait_ms, self.of(is_gang).bias)
    }

    const fn of(&self, is_gang: bool) -> &LearnedError {
        if is_gang { &self.gangs } else { &self.singles }
    }
}

/// Commands.
impl ForecastError {
    /// Records that a job was accepted with the forecast that it waits for `wait_ms`.
    pub(crate) fn record_accepted(&mut self, now: Time, id: &JobId, wait_ms: u64, is_gang: bool) {
        let expectation = Expectation { accepted_at: now, wait_ms, is_gang };
        if self.followed.insert(id.clone(), expectation).is_none() {
            self.order.push_back(id.clone());
        }
        while self.order.len() > FOLLOWED_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.followed.remove(&oldest);
            }
        }
    }

    /// Records that a task of a job starts; only the first start of a followed job counts.
    pub(crate) fn record_start(&mut self, now: Time, id: &JobId) {
        if let Some(expectation) = self.followed.remove(id) {
            self.learn(now, &expectation);
        }
    }

    /// Counts the jobs that have not started by far, and forgets those that have started.
    pub(crate) fn record_unstarted(&mut self, now: Time) {
        let mut order = std::mem::take(&mut self.order);
        order.retain(|id| {
            let Some(expectation) = self.followed.get(id).copied() else { return false };
            let limit = expectation.wait_ms.saturating_mul(UNSTARTED_FACTOR);
            let is_late = waited_ms(now, &expectation) > limit.saturating_add(UNSTARTED_MS);
            if is_late {
                self.followed.remove(id);
                self.learn(now, &expectation);
            }
            !is_late
        });
        self.order = order;
    }

    fn learn(&mut self, now: Time, expectation: &Expectation) {
        let (real_ms, wait_ms) = (waited_ms(now, expectation), expectation.wait_ms);
        if real_ms.max(wait_ms) < INFORMATIVE_MS {
            return;
        }
        let ratio = (real_ms as f64 + OFFSET_MS) / (wait_ms as f64 + OFFSET_MS);
        let seen = ratio.ln().clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        let learned = if expectation.is_gang { &mut self.gangs } else { &mut self.singles };
        learned.bias += WEIGHT * (seen - learned.bias);
        let is_sooner = seen < -learned.margin;
        let step = if is_sooner { 1.0 - SOONER_SHARE } else { -SOONER_SHARE };
        learned.margin = (learned.margin + MARGIN_STEP * step).clamp(MARGIN_MIN, MARGIN_MAX);
    }
}

fn waited_ms(now: Time, expectation: &Expectation) -> u64 {
    u64::try_from(now.since(expectation.accepted_at).as_millis()).unwrap_or(u64::MAX)
}

/// A waiting time multiplied by e to the power of `log_factor`.
fn scaled(wait_ms: u64, log_factor: f64) -> u64 {
    let ms = (wait_ms as f64 + OFFSET_MS) * log_factor.exp() - OFFSET_MS;
    Duration::try_from_secs_f64(ms.max(0.0) / 1_000.0)
        .map_or(u64::MAX, |wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}
