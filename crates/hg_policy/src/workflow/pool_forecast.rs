//! The forecast of one pool: the capacity that becomes free, less what the waiting work of each priority takes in the
//! order in which it is served.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{
    AccountName, JobId, Label, PoolName, QueueName, ResourceVector, Time, WorkflowSpec,
};

use super::admission_forecast::scaled;
use super::arrival_rates::{ArrivalRates, ExpectedArrivals};
use super::capacity_map::{Candidate, CapacityMap};
use super::capacity_profile::{Amount, CapacityProfile, HORIZON_MS, Need, begin_of, interval_of};
use super::forecast_error::ForecastError;
use super::ready_steps::{LATE_FACTOR, ReadyStep};
use super::retry_promises::Promise;
use super::run_table::{RunRow, RunTable};
use super::speed_tracker::SpeedTracker;

/// What a round of decisions knows, from which the forecast is made.
#[derive(Debug)]
pub(crate) struct ForecastInputs<'a, 'b> {
    pub(crate) now: Time,
    pub(crate) ledger: &'a WorkflowLedger,
    /// The runs at the beginning of the round.
    pub(crate) runs: &'b RunTable<'a>,
    /// The steps that could start in the round, in the order in which they were served.
    pub(crate) ready: &'b [ReadyStep<'a>],
    pub(crate) covered: &'b BTreeSet<JobId>,
    /// The capacity that the round has left free.
    pub(crate) capacity: &'b CapacityMap<'a>,
    pub(crate) speeds: &'b SpeedTracker,
    /// How long a stop takes until the freed resources can be used.
    pub(crate) stop_done: Duration,
}

/// What is left for new work of one priority.
#[derive(Debug)]
pub(crate) struct Lane {
    /// For work that is in time.
    pub(crate) on_time: CapacityProfile,
    /// For urgent gangs that are in time: nothing is reserved for them, so other urgent work takes what becomes free
    /// before it is enough for all members.
    urgent_gang: Option<CapacityProfile>,
    /// For work that is late but of value.
    late: CapacityProfile,
}

impl Lane {
    /// The interval in which work that is in time could start all its first steps; `None` if beyond the horizon.
    pub(crate) fn start(&self, from: usize, needs: &[Need]) -> Option<usize> {
        let gang = self.urgent_gang.as_ref().filter(|_| needs.iter().any(|need| need.is_gang));
        latest_start(gang.unwrap_or(&self.on_time), from, needs)
    }

    /// The same for work that is late.
    pub(crate) fn late_start(&self, from: usize, needs: &[Need]) -> Option<usize> {
        latest_start(&self.late, from, needs)
    }
}

fn latest_start(profile: &CapacityProfile, from: usize, needs: &[Need]) -> Option<usize> {
    let mut last = from;
    for need in needs {
        last = last.max(profile.earliest(from, need)?);
    }
    Some(last)
}

/// Capacity that a round left free on one upstream.
#[derive(Debug)]
struct IdleUpstream {
    available: ResourceVector,
    labels: Vec<Label>,
    urgent_only: bool,
}

/// What an account uses of a pool, and the weight of its share.
#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    used: u64,
    weight: u64,
}

/// The forecast of one pool.
#[derive(Debug)]
pub(crate) struct PoolForecast {
    /// The capacity of its upstreams that may get work.
    pub(crate) capacity: Amount,
    /// By priority.
    pub(crate) lanes: BTreeMap<u32, Lane>,
    idle: Vec<IdleUpstream>,
    usage: BTreeMap<AccountName, Usage>,
}

/// Queries.
impl PoolForecast {
    /// Whether an account uses less than its weight entitles it to, among those that use the pool.
    pub(crate) fn is_below_share(&self, account: &AccountName) -> bool {
        let Some(own) = self.usage.get(account) else { return true };
        let (used, weight) = self.usage.values().fold((0_u64, 0_u64), |(used, weight), usage| {
            (used.saturating_add(usage.used), weight.saturating_add(usage.weight))
        });
        u128::from(own.used) * u128::from(weight) < u128::from(used) * u128::from(own.weight)
    }
}

/// Commands.
impl PoolForecast {
    /// Takes the capacity of an accepted or promised job from an interval on. What is late is behind work that is in
    /// time, so it takes nothing from that of its own priority.
    pub(crate) fn take(&mut self, priority: u32, start: usize, needs: &[Need], is_in_time: bool) {
        for (other, lane) in self.lanes.range_mut(priority..) {
            for need in needs {
                if is_in_time || *other > priority {
                    lane.on_time.place(start, need);
                    if let Some(gang) = &mut lane.urgent_gang {
                        gang.place(start, need);
                    }
                }
                lane.late.place(start, need);
            }
        }
    }

    /// Takes capacity that the last round left free, if it holds the first steps of a workflow. Returns whether it
    /// does.
    pub(crate) fn take_idle(&mut self, is_urgent: bool, spec: &WorkflowSpec) -> bool {
        let mut taken: BTreeMap<usize, ResourceVector> = BTreeMap::new();
        for step in spec.steps.iter().filter(|step| step.after.is_empty()) {
            let claim = step.claim();
            let mut left = if step.gang { step.tasks } else { 1 };
            for (number, upstream) in self.idle.iter().enumerate() {
                let label = step.required_label.as_ref();
                if (upstream.urgent_only && !is_urgent)
                    || label.is_some_and(|label| !upstream.labels.contains(label))
                {
                    continue;
                }
                let available = taken.entry(number).or_insert(upstream.available);
                let count = available.count_of(&claim, left);
                for _ in 0..count {
                    *available = available.minus(&claim);
                }
                left -= count;
                if left == 0 {
                    break;
                }
            }
            if left > 0 {
                return false;
            }
        }
        for (number, available) in taken {
            if let Some(upstream) = self.idle.get_mut(number) {
                upstream.available = available;
            }
        }
        true
    }
}

/// A pool while its forecast is made.
struct Draft<'a, 'b> {
    pool: PoolForecast,
    /// What urgent work can have, which preempts other work.
    urgent: CapacityProfile,
    /// What other work can have.
    normal: CapacityProfile,
    /// The waiting steps, in the order in which they are served.
    steps: Vec<&'b ReadyStep<'a>>,
    priorities: BTreeSet<u32>,
}

/// The forecasts of all pools with upstreams that may get work.
pub(crate) fn pool_forecasts(
    inputs: &ForecastInputs<'_, '_>,
    ratios: &BTreeMap<QueueName, f64>,
    promises: &[(Time, &Promise)],
    arrivals: &ArrivalRates,
    error: &ForecastError,
) -> BTreeMap<PoolName, PoolForecast> {
    let labels: BTreeSet<&Label> =
        inputs.ready.iter().filter_map(|step| step.spec.required_label.as_ref()).collect();
    let mut drafts = BTreeMap::new();
    for candidate in inputs.capacity.candidates() {
        let draft = drafts
            .entry(candidate.report.pool.clone())
            .or_insert_with(|| Draft::new(labels.iter().copied()));
        draft.add_upstream(inputs, candidate);
    }
    for queue in inputs.ledger.catalog().into_iter().flat_map(|catalog| &catalog.queues) {
        if let Some(draft) = drafts.get_mut(&queue.pool) {
            draft.priorities.insert(queue.priority);
        }
    }
    // Steps that wait for the advice of another service may wait for that rather than for capacity.
    for step in inputs.ready.iter().filter(|step| step.advice.is_none()) {
        if let Some(draft) = drafts.get_mut(step.pool) {
            draft.priorities.insert(step.job.terms.priority);
            draft.steps.push(step);
        }
    }
    let finish = |(name, draft): (PoolName, Draft<'_, '_>)| {
        let of_pool = promises.iter().filter(|(_, promise)| promise.pool == name);
        let promises: Vec<(Time, &Promise)> = of_pool.copied().collect();
        let expected = arrivals.expected(inputs.now, &name);
        let forecast = draft.finish(inputs.now, ratios, &promises, &expected, error);
        (name, forecast)
    };
    drafts.into_iter().map(finish).collect()
}

impl<'a, 'b> Draft<'a, 'b> {
    fn new<'c>(labels: impl Iterator<Item = &'c Label> + Clone) -> Self {
        let pool = PoolForecast {
            capacity: Amount::default(),
            lanes: BTreeMap::new(),
            idle: Vec::new(),
            usage: BTreeMap::new(),
        };
        Self {
            pool,
            urgent: CapacityProfile::new(labels.clone().cloned()),
            normal: CapacityProfile::new(labels.cloned()),
            steps: Vec::new(),
            priorities: BTreeSet::new(),
        }
    }

    fn add_upstream(&mut self, inputs: &ForecastInputs<'_, '_>, candidate: &Candidate<'_>) {
        let report = candidate.report;
        let capacity = Amount::from(report.capacity);
        self.pool.capacity = self.pool.capacity.plus(capacity);
        let mut free = capacity;
        let rows = inputs.runs.rows().get(inputs.runs.rows_of(&report.name));
        for row in rows.into_iter().flatten() {
            let claim = Amount::from(row.open.claim);
            free = free.minus(claim);
            let ends = interval_of(left_ms(inputs, row));
            self.normal.add(ends, claim, &report.labels);
            let is_long_running = row.work.is_some_and(|(_, spec)| spec.long_running);
            let is_urgent = row.work.is_some_and(|(job, _)| job.terms.priority == 0);
            let stopped = interval_of(millis(inputs.stop_done));
            let ends = if is_urgent || is_long_running { ends } else { ends.min(stopped) };
            self.urgent.add(ends, claim, &report.labels);
            self.add_usage(inputs, row);
        }
        self.normal.add(0, free, &report.labels);
        self.urgent.add(0, free, &report.labels);
        let available = candidate.available();
        if available.weight() > 0 && candidate.reservation.is_none() {
            let (labels, urgent_only) = (report.labels.clone(), candidate.urgent_only);
            self.pool.idle.push(IdleUpstream { available, labels, urgent_only });
        }
    }

    fn add_usage(&mut self, inputs: &ForecastInputs<'_, '_>, row: &RunRow<'_>) {
        let Some(account) = row.work.and_then(|(job, _)| job.account.as_ref()) else { return };
        let usage = self.pool.usage.entry(account.clone()).or_insert_with(|| {
            let accounts = inputs.ledger.catalog().into_iter().flat_map(|c| &c.accounts);
            let own = accounts.filter(|other| other.name == *account);
            let weight = own.map(|own| u64::from(own.guaranteed_accelerators)).max().unwrap_or(0);
            Usage { used: 0, weight: weight.max(1) }
        });
        usage.used = usage.used.saturating_add(row.open.claim.weight());
    }

    fn finish(
        mut self,
        now: Time,
        ratios: &BTreeMap<QueueName, f64>,
        promises: &[(Time, &Promise)],
        expected: &BTreeMap<u32, ExpectedArrivals>,
        error: &ForecastError,
    ) -> PoolForecast {
        // With the margin of an admission: work that was admitted within it stays ahead of new work.
        let on_time_fits = |need: &Need, latest_ms: u64| {
            let is_gang = need.is_gang;
            move |start_ms| error.soonest_ms(start_ms, is_gang) <= latest_ms
        };
        let fits = |need: &Need, latest_ms: u64| {
            let is_gang = need.is_gang;
            move |start_ms| error.shortest_ms(start_ms, is_gang) <= latest_ms
        };
        self.urgent.accumulate();
        self.normal.accumulate();
        let mut steps = std::mem::take(&mut self.steps).into_iter().peekable();
        for priority in std::mem::take(&mut self.priorities) {
            let is_urgent = priority == 0;
            let mut late = Vec::new();
            let mut urgent_gangs = Vec::new();
            let mut overdue = Vec::new();
            while let Some(step) = steps.next_if(|step| step.job.terms.priority <= priority) {
                let planned = Planned::new(now, step, ratios);
                if step.is_overdue() {
                    overdue.push(planned);
                    continue;
                }
                let Some(on_time_ms) = planned.on_time_ms else {
                    late.push(planned);
                    continue;
                };
                if is_urgent && planned.need.is_gang && !step.is_covered() {
                    urgent_gangs.push((on_time_ms, planned));
                } else if !self.place(
                    is_urgent,
                    &planned.need,
                    on_time_fits(&planned.need, on_time_ms),
                ) {
                    late.push(planned);
                }
            }
            for (at, promise) in promises.iter().filter(|(_, p)| p.priority == priority) {
                let from = interval_of(millis(at.since(now)));
                for need in &promise.needs {
                    self.place_from(is_urgent, from, need);
                }
            }
            let on_time = self.profile(is_urgent).clone();
            if let Some(ExpectedArrivals { occupied, for_ms }) = expected.get(&priority) {
                self.urgent.take_for(if is_urgent { *for_ms } else { 0 }, *occupied);
                self.normal.take_for(*for_ms, *occupied);
            }
            for (on_time_ms, planned) in urgent_gangs {
                if !self.place(is_urgent, &planned.need, on_time_fits(&planned.need, on_time_ms)) {
                    late.push(planned);
                }
            }
            let urgent_gang = is_urgent.then(|| self.profile(is_urgent).clone());
            for planned in late {
                if !self.place(is_urgent, &planned.need, fits(&planned.need, planned.value_ms)) {
                    overdue.push(planned);
                }
            }
            let late = self.profile(is_urgent).clone();
            self.pool.lanes.insert(priority, Lane { on_time, urgent_gang, late });
            // Work of no value is still served before that of the next priority.
            for planned in overdue {
                self.place_from(is_urgent, 0, &planned.need);
            }
        }
        self.pool
    }

    const fn profile(&mut self, is_urgent: bool) -> &mut CapacityProfile {
        if is_urgent { &mut self.urgent } else { &mut self.normal }
    }

    /// Takes the capacity of a step if `fits` accepts its start, in milliseconds from now. Returns whether it does.
    fn place(&mut self, is_urgent: bool, need: &Need, fits: impl Fn(u64) -> bool) -> bool {
        let start = self.profile(is_urgent).earliest(0, need);
        let Some(start) = start.filter(|start| fits(begin_of(*start))) else { return false };
        self.place_from(is_urgent, start, need);
        true
    }

    /// Takes the capacity of a step. What urgent work takes by preemption is made up for later, so it takes as much from
    /// other work.
    fn place_from(&mut self, is_urgent: bool, from: usize, need: &Need) {
        if is_urgent {
            self.urgent.place(from, need);
        }
        self.normal.place(from, need);
    }
}

/// A waiting step with the latest times of its start, in milliseconds from now.
struct Planned {
    need: Need,
    /// In time up to this; `None` if it is late already.
    on_time_ms: Option<u64>,
    value_ms: u64,
}

impl Planned {
    fn new(now: Time, step: &ReadyStep<'_>, ratios: &BTreeMap<QueueName, f64>) -> Self {
        let (terms, spec) = (&step.job.terms, &step.job.spec);
        let ratio = ratios.get(&terms.queue).copied().unwrap_or(1.0);
        let run_ms = scaled(step.spec.estimate_ms, ratio);
        let need = Need::new(step.spec, step.waiting.len(), run_ms);
        // As `ready_steps` ranks it, by the caller's estimate.
        let chain_ms = spec.estimated_chain_ms();
        let objective_ms = terms.latency_objective_ms(spec);
        let left = |limit_ms: u64| {
            let end = step.due.0.saturating_add(limit_ms);
            end.checked_sub(now.0.saturating_add(chain_ms))
        };
        let is_covered = step.is_covered();
        let on_time_ms = if is_covered { Some(HORIZON_MS) } else { left(objective_ms) };
        let value_ms = left(objective_ms.saturating_mul(LATE_FACTOR)).unwrap_or(0);
        Self { need, on_time_ms, value_ms }
    }
}

/// How long a run goes on, in milliseconds.
fn left_ms(inputs: &ForecastInputs<'_, '_>, row: &RunRow<'_>) -> u64 {
    if let Some(since) = row.stopping_since {
        return millis(since.after(inputs.stop_done).since(inputs.now));
    }
    let Some((_, spec)) = row.work else { return 0 };
    if spec.long_running {
        return HORIZON_MS;
    }
    millis(inputs.speeds.time_left(inputs.now, row.task, row.open, spec.estimate_ms))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
