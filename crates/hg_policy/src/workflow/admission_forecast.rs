//! Which workflows are rejected because they could not start while they are of any value, and when their callers are
//! told to return.
//!
//! Handles more work than a pool can serve for a while: a caller that is told so at once can do something else, or come
//! back when there is room. A job that waits in vain costs others nothing, since it is served last, so a job is
//! rejected only where the forecast leaves no value to it even with a margin for the forecast's error.
//!
//! The forecast is made once in [`REFRESH_EVERY`] and updated with each accepted job, so that a decision costs the same
//! however many jobs wait.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher as _, BuildHasherDefault, DefaultHasher};
use std::time::Duration;

use derive_more::{Display, Error};
use hg_ledger::{QueueTerms, WorkflowLedger};
use hg_model::{AccountName, Catalog, JobId, PoolName, QueueName, Time, WorkflowSpec};

use super::arrival_rates::ArrivalRates;
use super::capacity_profile::{Amount, HORIZON_MS, INTERVAL_MS, Need, begin_of, interval_of};
use super::forecast_error::ForecastError;
use super::guarantee::required_accelerators;
use super::pool_forecast::{ForecastInputs, PoolForecast, pool_forecasts};
use super::ready_steps::LATE_FACTOR;
use super::retry_promises::{Promise, RejectedJob, RetryPromises};

/// How often the forecast is made anew.
const REFRESH_EVERY: Duration = Duration::from_millis(250);
/// An older forecast rejects nothing.
const FORECAST_AGE_MAX: Duration = Duration::from_millis(1_000);
/// A new leader rejects nothing for this long: upstreams and callers are still coming back to it.
const WARM_UP: Duration = Duration::from_secs(5);
/// What a returning caller needs beyond the promised time until its job starts, in milliseconds.
const RETURN_MARGIN_MS: u64 = 500;
/// The number of seconds over which returns are spread, and that for callers that are preferred.
const SPREAD_SECONDS: usize = 4;
const SPREAD_SECONDS_PREFERRED: usize = 2;
/// How long an accepted job may take to appear in the replicated state.
const IN_FLIGHT_MAX: Duration = Duration::from_secs(10);
/// While more accepted jobs have not appeared yet, nothing is rejected.
const IN_FLIGHT_JOBS_MAX: usize = 16_384;
/// One step of the retry time, which callers get in whole seconds.
const SECOND_MS: u64 = 1_000;
/// The longest retry time, in seconds: the forecast sees no further.
const RETRY_SECONDS_MAX: u64 = HORIZON_MS / SECOND_MS - 1;

/// The longest retry time if all seconds up to that one are booked up, in seconds.
const RETRY_BEYOND_MAX: u64 = 4 * RETRY_SECONDS_MAX;

/// A workflow that its caller submits.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Its id.
    pub id: &'a JobId,
    /// Its description.
    pub spec: &'a WorkflowSpec,
    /// The terms of its queue.
    pub terms: &'a QueueTerms,
    /// The account that pays.
    pub account: Option<&'a AccountName>,
}

/// A workflow is rejected, since it could not start while it is of value.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the pool is busy for longer than the job is of value; {}", self.advice())]
pub struct ForecastRejection {
    /// The forecast start, in milliseconds from now.
    pub forecast_ms: u64,
    /// The latest start that is of value, in milliseconds from now.
    pub latest_start_ms: u64,
    /// When the caller may return, in milliseconds from now.
    pub retry_after_ms: u64,
    /// Whether capacity is kept for the job at that time.
    pub is_promised: bool,
}

impl ForecastRejection {
    const fn advice(&self) -> &'static str {
        if self.is_promised {
            "there is room for it at the retry time"
        } else {
            "the pool has room again at the retry time, too late for this job"
        }
    }
}

/// How a workflow was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admittance {
    /// Without a forecast: none is known, or the work is never rejected.
    Unconditional,
    /// It is forecast to start in time, after this many milliseconds.
    InTime(u64),
    /// It is forecast to start late but while it is of value, after this many milliseconds.
    Late(u64),
    /// It returned at the time that it was promised.
    Promised,
}

/// The times between which a workflow has to start, in milliseconds from now.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// It counts as being in time up to this start.
    on_time_ms: u64,
    /// It has value up to this start.
    value_ms: u64,
}

/// The forecast with what follows from it for callers; it lasts for one leadership term.
#[derive(Debug, Default)]
pub(crate) struct AdmissionForecast {
    first_refresh_at: Option<Time>,
    refreshed_at: Time,
    pools: BTreeMap<PoolName, PoolForecast>,
    /// The median ratio of run time to estimate, by queue.
    ratios: BTreeMap<QueueName, f64>,
    /// The accelerators that covered work uses of each account's guarantee.
    covered: BTreeMap<AccountName, u64>,
    error: ForecastError,
    promises: RetryPromises,
    arrivals: ArrivalRates,
    /// Accepted jobs that are not in the replicated state yet.
    in_flight: BTreeMap<JobId, Time>,
}

/// Queries.
impl AdmissionForecast {
    /// Whether the forecast is due to be made anew.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.first_refresh_at.is_none() || now >= self.refreshed_at.after(REFRESH_EVERY)
    }

    /// When a new task of one accelerator, or one core where there are none, would start, in milliseconds from the
    /// last forecast, by pool and priority.
    pub(crate) fn starts(&self) -> impl Iterator<Item = (&PoolName, u32, u64)> {
        self.pools.iter().flat_map(|(name, pool)| {
            let task = reference_task(pool.capacity);
            pool.lanes.iter().map(move |(priority, lane)| {
                let start = lane.on_time.earliest(0, &task);
                (name, *priority, start.map_or(HORIZON_MS, begin_of))
            })
        })
    }

    /// Whether there is a forecast that may reject: not in the first seconds of a term, and not from an old one.
    fn may_reject(&self, now: Time) -> bool {
        self.first_refresh_at.is_some_and(|first| now >= first.after(WARM_UP))
            && now <= self.refreshed_at.after(FORECAST_AGE_MAX)
            && self.in_flight.len() < IN_FLIGHT_JOBS_MAX
    }

    /// Whether a workflow of this kind may be rejected by forecast: its queue has an objective, its run time is
    /// estimated, it is due at once and ends by itself, and no other service decides when it may start.
    fn is_rejectable(submission: &Submission<'_>) -> bool {
        let Submission { spec, terms, .. } = submission;
        terms.stretch_milli > 0
            && terms.advice.is_none()
            && spec.schedule.is_none()
            && spec.estimated_chain_ms() > 0
            && !spec.steps.iter().any(|step| step.long_running)
    }

    /// Whether a workflow is covered by its account's guarantee.
    fn is_covered(&self, catalog: Option<&Catalog>, submission: &Submission<'_>) -> bool {
        let Some(account) = submission.account.filter(|_| submission.terms.priority == 0) else {
            return false;
        };
        let guaranteed = guaranteed_accelerators(catalog, account);
        let used = self.covered.get(account).copied().unwrap_or(0);
        guaranteed > 0 && used.saturating_add(required_accelerators(submission.spec)) <= guaranteed
    }

    fn ratio(&self, queue: &QueueName) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// The latest starts of a workflow whose caller tried first at `first_at`. The replicated state counts a return as
    /// a new job, so it is in time as long as a new one, but has value only up to the caller's own limit.
    fn limits(&self, now: Time, submission: &Submission<'_>, first_at: Time) -> Limits {
        let ratio = self.ratio(&submission.terms.queue);
        let terms = submission.terms;
        let chain_ms = scaled(submission.spec.estimated_chain_ms(), ratio);
        let stretched = chain_ms.saturating_mul(u64::from(terms.stretch_milli)) / 1_000;
        let objective_ms = stretched.saturating_add(terms.objective_ms);
        let elapsed_ms = u64::try_from(now.since(first_at).as_millis()).unwrap_or(u64::MAX);
        let worthless_ms = objective_ms.saturating_mul(LATE_FACTOR);
        Limits {
            on_time_ms: objective_ms.saturating_sub(chain_ms),
            value_ms: worthless_ms.saturating_sub(chain_ms.saturating_add(elapsed_ms)),
        }
    }

    /// What the first steps of a workflow need.
    fn needs(&self, submission: &Submission<'_>) -> Vec<Need> {
        let ratio = self.ratio(&submission.terms.queue);
        let first = submission.spec.steps.iter().filter(|step| step.after.is_empty());
        let need = |step: &hg_model::StepSpec| {
            let tasks = usize::try_from(step.tasks).unwrap_or(usize::MAX);
            Need::new(step, tasks, scaled(step.estimate_ms, ratio))
        };
        first.map(need).collect()
    }
}

/// Commands.
impl AdmissionForecast {
    /// Makes the forecast anew.
    pub(crate) fn refresh(&mut self, inputs: &ForecastInputs<'_, '_>) {
        let now = inputs.now;
        let catalog = inputs.ledger.catalog();
        self.first_refresh_at.get_or_insert(now);
        self.refreshed_at = now;
        self.error.record_unstarted(now);
        self.arrivals.drop_old(now);
        self.in_flight
            .retain(|id, at| inputs.ledger.state(id).is_none() && now < at.after(IN_FLIGHT_MAX));
        self.promises.retain(now, |promise| is_valid(catalog, promise));
        self.covered = covered_accelerators(inputs);
        let queues = catalog.into_iter().flat_map(|catalog| &catalog.queues);
        let ratio = |queue: &QueueName| Some((queue.clone(), inputs.speeds.median_ratio(queue)?));
        self.ratios = queues.filter_map(|queue| ratio(&queue.name)).collect();
        let promises: Vec<(Time, &Promise)> = self.promises.open(now).collect();
        let (ratios, arrivals, error) = (&self.ratios, &self.arrivals, &self.error);
        self.pools = pool_forecasts(inputs, ratios, &promises, arrivals, error);
    }

    /// Records that a task of a job starts.
    pub(crate) fn record_start(&mut self, now: Time, job: &JobId) {
        self.error.record_start(now, job);
    }

    /// Decides whether a workflow is accepted. Each call counts as an attempt of its caller.
    ///
    /// # Errors
    ///
    /// [`ForecastRejection`] if it could not start while it is of value.
    pub(crate) fn judge(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        submission: &Submission<'_>,
    ) -> Result<Admittance, ForecastRejection> {
        if self.in_flight.contains_key(submission.id) || ledger.state(submission.id).is_some() {
            return Ok(Admittance::Unconditional);
        }
        let judged = self.judge_new(now, ledger, submission);
        if let Ok(admittance) = &judged {
            if !matches!(admittance, Admittance::Late(_)) {
                self.record_arrival(now, submission);
            }
            self.in_flight.insert(submission.id.clone(), now);
            self.promises.record_accepted(submission.id);
            if let Some(account) = submission.account
                && self.is_covered(ledger.catalog(), submission)
            {
                let used = self.covered.entry(account.clone()).or_default();
                *used = used.saturating_add(required_accelerators(submission.spec));
            }
        }
        judged
    }

    fn record_arrival(&mut self, now: Time, submission: &Submission<'_>) {
        let Submission { spec, terms, .. } = submission;
        if spec.schedule.is_some() || spec.steps.iter().any(|step| step.long_running) {
            return;
        }
        let work = |step: &hg_model::StepSpec| {
            let tasks = usize::try_from(step.tasks).unwrap_or(usize::MAX);
            Need::new(step, tasks, scaled(step.estimate_ms, self.ratio(&terms.queue))).work()
        };
        let work = spec.steps.iter().map(work).fold(Amount::default(), Amount::plus);
        self.arrivals.record(now, &terms.pool, terms.priority, work);
    }

    fn judge_new(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        submission: &Submission<'_>,
    ) -> Result<Admittance, ForecastRejection> {
        let capacity = self.pools.get(&submission.terms.pool).map(|pool| pool.capacity);
        let Some(capacity) = capacity.filter(|_| Self::is_rejectable(submission)) else {
            return Ok(Admittance::Unconditional);
        };
        let known = self.promises.get(submission.id).cloned();
        let first_at = known.as_ref().map_or(now, |known| known.first_at);
        let limits = self.limits(now, submission, first_at);
        let is_promised = known.as_ref().is_some_and(|known| known.is_promised(now, capacity));
        if is_promised && limits.value_ms > 0 {
            return Ok(Admittance::Promised);
        }
        let needs = self.needs(submission);
        let accepted = self.accept(now, submission, &needs, limits);
        let Err(forecast_ms) = accepted else {
            return Ok(accepted.unwrap_or(Admittance::Unconditional));
        };
        if !self.may_reject(now) || self.is_covered(ledger.catalog(), submission) {
            return Ok(Admittance::Unconditional);
        }
        let rejection = ForecastRejection {
            forecast_ms,
            latest_start_ms: limits.value_ms,
            retry_after_ms: SECOND_MS,
            is_promised: true,
        };
        if let Some(known) = known.filter(|known| known.is_early(now)) {
            let left = known.return_at.since(now).as_millis();
            let retry_after_ms = u64::try_from(left).unwrap_or(SECOND_MS);
            return Err(ForecastRejection { retry_after_ms, ..rejection });
        }
        let is_preferred = self.is_preferred(ledger.catalog(), submission);
        Err(self.book_return(now, submission, needs, first_at, is_preferred, rejection))
    }

    /// Accepts a workflow if it can start while it is of value, and takes its capacity. The error is its forecast
    /// start, in milliseconds from now.
    fn accept(
        &mut self,
        now: Time,
        submission: &Submission<'_>,
        needs: &[Need],
        limits: Limits,
    ) -> Result<Admittance, u64> {
        let terms = submission.terms;
        let is_gang = needs.iter().any(|need| need.is_gang);
        let age_ms = u64::try_from(now.since(self.refreshed_at).as_millis()).unwrap_or(u64::MAX);
        let from = interval_of(age_ms);
        let Some(pool) = self.pools.get_mut(&terms.pool) else {
            return Ok(Admittance::Unconditional);
        };
        let Some(lane) = pool.lanes.get(&terms.priority) else {
            return Ok(Admittance::Unconditional);
        };
        let wait_of = |start: Option<usize>| match start {
            Some(start) => begin_of(start).saturating_sub(age_ms),
            None => HORIZON_MS,
        };
        let start = lane.start(from, needs);
        let on_time_ms = wait_of(start);
        if self.error.soonest_ms(on_time_ms, is_gang) <= limits.on_time_ms.min(limits.value_ms) {
            pool.take(terms.priority, start.unwrap_or(from), needs, true);
            self.error.record_accepted(now, submission.id, on_time_ms, is_gang);
            return Ok(Admittance::InTime(self.error.expected_ms(on_time_ms, is_gang)));
        }
        let start = lane.late_start(from, needs);
        let wait_ms = wait_of(start);
        // What lies beyond the horizon is not known.
        let is_unknown = start.is_none() && limits.value_ms >= HORIZON_MS;
        if self.error.shortest_ms(wait_ms, is_gang) <= limits.value_ms || is_unknown {
            pool.take(terms.priority, start.unwrap_or(from), needs, false);
            self.error.record_accepted(now, submission.id, wait_ms, is_gang);
            return Ok(Admittance::Late(self.error.expected_ms(wait_ms, is_gang)));
        }
        if pool.take_idle(terms.priority == 0, submission.spec) {
            return Ok(Admittance::InTime(0));
        }
        Err(self.error.expected_ms(wait_ms, is_gang))
    }

    /// Whether a caller may return earlier than others: its work is urgent, or its account is guaranteed capacity or
    /// uses less than its share of the pool.
    fn is_preferred(&self, catalog: Option<&Catalog>, submission: &Submission<'_>) -> bool {
        let Submission { terms, account, .. } = submission;
        let pool = self.pools.get(&terms.pool);
        let is_below_share = |account| pool.is_some_and(|pool| pool.is_below_share(account));
        terms.priority == 0
            || account.is_some_and(|account| {
                guaranteed_accelerators(catalog, account) > 0 || is_below_share(account)
            })
    }

    /// Chooses when a rejected caller may return, and keeps capacity for its job if that is in time.
    fn book_return(
        &mut self,
        now: Time,
        submission: &Submission<'_>,
        needs: Vec<Need>,
        first_at: Time,
        is_preferred: bool,
        rejection: ForecastRejection,
    ) -> ForecastRejection {
        let terms = submission.terms;
        let Some(pool) = self.pools.get_mut(&terms.pool) else { return rejection };
        let age_ms = u64::try_from(now.since(self.refreshed_at).as_millis()).unwrap_or(0);
        let last = rejection.latest_start_ms.saturating_sub(RETURN_MARGIN_MS) / SECOND_MS;
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(submission.id);
        let choices = Choices { now, age_ms, pool: &terms.pool, priority: terms.priority };
        let range = 1..=last.min(RETRY_SECONDS_MAX);
        let in_time = choices.seconds(pool, &self.promises, &needs, range, true);
        let in_time = choose(&in_time, hash, is_preferred);
        let second = in_time.unwrap_or_else(|| {
            let later = (last + 1).min(RETRY_SECONDS_MAX)..=RETRY_SECONDS_MAX;
            let later = choices.seconds(pool, &self.promises, &needs, later, false);
            let chosen = choose(&later, hash, is_preferred);
            chosen.unwrap_or_else(|| choices.beyond_horizon(pool, &self.promises, hash))
        });
        let retry_after_ms = second * SECOND_MS;
        let return_at = now.after(Duration::from_millis(retry_after_ms));
        let work = needs.iter().fold(Amount::default(), |sum, need| sum.plus(need.work()));
        self.promises.book(&terms.pool, return_at, work, pool.capacity, in_time.is_some());
        let promise = in_time.map(|_| {
            pool.take(terms.priority, interval_of(age_ms + retry_after_ms), &needs, true);
            Promise {
                pool: terms.pool.clone(),
                priority: terms.priority,
                queue: terms.queue.clone(),
                account: submission.account.cloned(),
                needs,
                capacity: pool.capacity,
            }
        });
        let is_promised = promise.is_some();
        self.promises.record_rejected(submission.id, RejectedJob { first_at, return_at, promise });
        ForecastRejection { retry_after_ms, is_promised, ..rejection }
    }
}

/// The seconds from which the return time of a job is chosen.
struct Choices<'a> {
    now: Time,
    /// The age of the forecast, in milliseconds.
    age_ms: u64,
    pool: &'a PoolName,
    priority: u32,
}

impl Choices<'_> {
    /// The first seconds of a range, counted from now, in which the job could start and that are not booked up.
    fn seconds(
        &self,
        pool: &PoolForecast,
        promises: &RetryPromises,
        needs: &[Need],
        range: std::ops::RangeInclusive<u64>,
        is_promised: bool,
    ) -> Vec<u64> {
        let Some(lane) = pool.lanes.get(&self.priority) else { return Vec::new() };
        let mut found = Vec::new();
        let (mut second, last) = range.into_inner();
        while second <= last && found.len() <= SPREAD_SECONDS {
            let from_ms = self.age_ms + second * SECOND_MS;
            let Some(start) = lane.start(interval_of(from_ms), needs) else { break };
            let start_ms = begin_of(start);
            if start_ms >= from_ms + SECOND_MS {
                second = (start_ms - self.age_ms) / SECOND_MS;
                continue;
            }
            let at = self.now.after(Duration::from_millis(second * SECOND_MS));
            if promises.has_room(self.pool, at, pool.capacity, is_promised) {
                found.push(second);
            }
            second += 1;
        }
        found
    }
}

impl Choices<'_> {
    /// The first second beyond the horizon that is not booked up; spread by the hash if all are.
    fn beyond_horizon(&self, pool: &PoolForecast, promises: &RetryPromises, hash: u64) -> u64 {
        let has_room = |second: &u64| {
            let at = self.now.after(Duration::from_millis(second * SECOND_MS));
            promises.has_room(self.pool, at, pool.capacity, false)
        };
        let mut seconds = RETRY_SECONDS_MAX + 1..=RETRY_BEYOND_MAX;
        let span = RETRY_BEYOND_MAX - RETRY_SECONDS_MAX;
        seconds.find(has_room).unwrap_or(RETRY_SECONDS_MAX + 1 + hash % span)
    }
}

/// Chooses one of the seconds by the hash of the job's id, so that the callers rejected at the same time return spread;
/// preferred ones get one of the first.
fn choose(seconds: &[u64], hash: u64, is_preferred: bool) -> Option<u64> {
    let open = if is_preferred {
        seconds.get(..SPREAD_SECONDS_PREFERRED.min(seconds.len()))?
    } else {
        let skipped = usize::from(seconds.len() > 1);
        seconds.get(skipped..)?
    };
    let count = u64::try_from(open.len()).ok().filter(|count| *count > 0)?;
    open.get(usize::try_from(hash % count).ok()?).copied()
}

fn reference_task(capacity: Amount) -> Need {
    let each = if capacity.accelerators > 0 {
        Amount { accelerators: 1, millicores: 0 }
    } else {
        Amount { accelerators: 0, millicores: 1_000 }
    };
    Need { each, tasks: 1, is_gang: false, run_ms: INTERVAL_MS, label: None }
}

fn guaranteed_accelerators(catalog: Option<&Catalog>, account: &AccountName) -> u64 {
    let accounts = catalog.into_iter().flat_map(|catalog| &catalog.accounts);
    let own = accounts.filter(|other| other.name == *account);
    own.map(|own| u64::from(own.guaranteed_accelerators)).max().unwrap_or(0)
}

/// Whether the queue, the pool and the account of a promise are still in the catalog.
fn is_valid(catalog: Option<&Catalog>, promise: &Promise) -> bool {
    catalog.is_some_and(|catalog| {
        let same =
            |queue: &hg_model::QueueSpec| queue.name == promise.queue && queue.pool == promise.pool;
        let is_known = |name: &AccountName| catalog.accounts.iter().any(|a| a.name == *name);
        catalog.queues.iter().any(same) && promise.account.as_ref().is_none_or(is_known)
    })
}

fn covered_accelerators(inputs: &ForecastInputs<'_, '_>) -> BTreeMap<AccountName, u64> {
    let covered: &BTreeSet<JobId> = inputs.covered;
    let mut used = BTreeMap::new();
    for job in covered.iter().filter_map(|id| inputs.ledger.job(id)) {
        if let Some(account) = &job.account {
            let sum: &mut u64 = used.entry(account.clone()).or_default();
            *sum = sum.saturating_add(required_accelerators(&job.spec));
        }
    }
    used
}

/// A time multiplied by a learned ratio.
pub(crate) fn scaled(ms: u64, ratio: f64) -> u64 {
    let scaled = Duration::try_from_secs_f64(ms as f64 / 1_000.0 * ratio);
    scaled.map_or(u64::MAX, |time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
