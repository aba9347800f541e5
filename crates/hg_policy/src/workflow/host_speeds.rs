//! The lasting relative run times of hosts, estimated from runs.
//!
//! Handles pools whose hosts differ for good, by a factor of two or more: a gang is as slow as its
//! slowest member, and an urgent job on a slow host is late even if it starts at once. Disturbances
//! that last seconds are handled by `speed_tracker`.
//!
//! The logarithm of a run's time relative to its estimate is the sum of what is common to its step,
//! of its host's speed, and of noise. What is common is inferred from the siblings of the step or the
//! members of the gang, each corrected by what is known of its own host, and from what is usual in
//! the queue; the rest is evidence about the host, with a variance. Every comparison leaves out the
//! evidence that the same run has given before, so that nothing is counted twice (belief propagation,
//! Pearl 1988). Rates are read from partial progress: a run gives evidence before it has ended, and
//! replaces it as it proceeds. The groups of a pool serve as the prior of its hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{HostSpeed, HostSpeeds, RunRef, WorkflowLedger};
use hg_model::{
    ClockReading, HostName, ListedRun, PoolName, QueueName, RackName, RunNumber, StepId, TaskId,
    Time,
};

use super::speed_groups::{LogSpeed, SpeedGroups};

/// A run gives evidence once this much of its progress was observed, in percent.
const PROGRESS_MIN_PERCENT: u32 = 15;
/// Its evidence is renewed each time it has progressed by this much, in percent.
const PROGRESS_STEP_PERCENT: u32 = 15;
/// Noise of a run's time among the members of a gang, whose work is equal, and among the siblings of
/// a wide step, whose lengths differ, before it is learned (standard deviations of the logarithm).
const GANG_NOISE: f64 = 0.12;
const SIBLING_NOISE: f64 = 0.25;
/// Spread of the ratio of run time to estimate between the steps of a queue, before it is learned.
const QUEUE_SPREAD: f64 = 0.35;
/// How many samples the assumed noise counts as.
const NOISE_SAMPLES: f64 = 10.0;
/// Bounds of the learned noise.
const NOISE_MIN: f64 = 0.06;
const NOISE_MAX: f64 = 0.6;
/// Samples of a queue's ratio count at most this many; older ones fade.
const QUEUE_SAMPLES_MAX: f64 = 200.0;
/// Fewer samples do not show what is usual in a queue.
const QUEUE_SAMPLES_MIN: f64 = 8.0;
/// A deviation from what is expected by more than this is a disturbance, such as a stall, and shows
/// nothing about the host (difference of logarithms: a factor of 3.3).
const DISTURBANCE: f64 = 1.2;
/// The members of a gang whose rates differ by less than this proceed in step with the slowest one,
/// and cannot be told apart (difference of logarithms).
const LOCKSTEP: f64 = 0.03;
/// A host's evidence counts at most this much (the inverse of a variance, a deviation of 0.05), so
/// that a changed host is recognized after some 20 runs.
const PRECISION_MAX: f64 = 400.0;
/// Less evidence is none: a deviation of 0.6.
const PRECISION_MIN: f64 = 2.8;
/// Most runs that are kept of one step, and most steps.
const MEMBERS_MAX: usize = 64;
const SETS_MAX: usize = 4_096;
/// A step is dropped this long after its last listing.
const SET_RETENTION: Duration = Duration::from_secs(20);
/// Changed estimates are written to the log at most this often.
const REPORT_EVERY: Duration = Duration::from_secs(3);
/// A change below this is not written, in hundredths of the logarithm.
const REPORT_CHANGE_CENTI: u16 = 4;
/// A known host is written again after this long, so that its age shows that it was not gone.
const REFRESH_AFTER: Duration = Duration::from_secs(6 * 3_600);
/// Most hosts in one command; the others follow in the next.
const REPORT_MAX: usize = 1_024;

/// What is known of a run beside its listing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SpeedRun<'a> {
    pub(crate) host: &'a HostName,
    pub(crate) pool: &'a PoolName,
    pub(crate) rack: &'a RackName,
    pub(crate) queue: &'a QueueName,
    /// The caller's estimate of the run time, above 0.
    pub(crate) estimate_ms: u64,
    /// Whether it is a member of a gang of several tasks.
    pub(crate) is_gang: bool,
    /// Whether it is slower if its step runs in several racks.
    pub(crate) rack_local: bool,
}

/// Evidence about one host.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// The sum of the inverse variances of its runs.
    precision: f64,
    /// The sum of their deviations, each by its inverse variance.
    weighted: f64,
}

impl Evidence {
    fn plus(self, other: Self) -> Self {
        let (precision, weighted) =
            (self.precision + other.precision, self.weighted + other.weighted);
        Self { precision, weighted }
    }

    fn minus(self, other: Self) -> Self {
        let precision = self.precision - other.precision;
        if precision <= 0.0 {
            return Self::default();
        }
        Self { precision, weighted: self.weighted - other.weighted }
    }

    fn estimate(self) -> Option<LogSpeed> {
        (self.precision >= PRECISION_MIN).then(|| LogSpeed {
            mean: self.weighted / self.precision,
            variance: 1.0 / self.precision,
        })
    }

    /// Lets old evidence fade, so that a changed host is recognized.
    fn limit(&mut self) {
        if self.precision > PRECISION_MAX {
            self.weighted *= PRECISION_MAX / self.precision;
            self.precision = PRECISION_MAX;
        }
    }
}

/// A run in a comparison.
#[derive(Debug)]
struct Member {
    run: RunNumber,
    host: HostName,
    rack: RackName,
    estimate_ms: u64,
    first: (u32, ClockReading),
    last: (u32, ClockReading),
    /// The progress at which its evidence was last renewed, in percent.
    counted_at: u32,
    /// What it has given so far.
    given: Evidence,
    is_open: bool,
}

impl Member {
    /// The logarithm of its run time relative to its estimate, with the variance of the reading;
    /// `None` before enough progress was observed.
    fn log_ratio(&self) -> Option<(f64, f64)> {
        let progress = self.last.0.saturating_sub(self.first.0);
        let span = self.last.1.0.saturating_sub(self.first.1.0);
        if progress < PROGRESS_MIN_PERCENT || span == 0 {
            return None;
        }
        let total_ms = span as f64 * 100.0 / f64::from(progress);
        // Progress is rounded to whole percents at both ends.
        let rounding = 1.0 / f64::from(progress);
        Some(((total_ms / self.estimate_ms as f64).ln(), rounding.powi(2)))
    }
}

/// The runs of one step that are compared with each other.
#[derive(Debug)]
struct ComparisonSet {
    pool: PoolName,
    kind: RunKind,
    rack_local: bool,
    members: BTreeMap<u32, Member>,
    touched: Time,
    /// Whether the gang's run time was counted for its queue.
    is_sampled: bool,
}

impl ComparisonSet {
    /// Whether its members run in several racks although that slows them down.
    fn is_scattered(&self) -> bool {
        let mut racks = self.members.values().map(|member| &member.rack);
        let first = racks.next();
        self.rack_local && racks.any(|rack| Some(rack) != first)
    }

    /// Whether its members proceed in step, at the rate of the slowest.
    fn is_in_lockstep(&self) -> bool {
        if !self.kind.is_gang {
            return false;
        }
        let ratios = self.members.values().filter_map(Member::log_ratio).map(|(ratio, _)| ratio);
        let (low, high) = ratios.fold((f64::MAX, f64::MIN), |(l, h), r| (l.min(r), h.max(r)));
        high - low < LOCKSTEP
    }
}

/// The queue of a run, and whether it is a member of a gang.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RunKind {
    queue: QueueName,
    is_gang: bool,
}

/// What is usual for the runs of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct KindStats {
    samples: f64,
    mean: f64,
    /// The mean of the squared deviations from the mean.
    spread: f64,
    noise_samples: f64,
    noise_sum: f64,
}

impl KindStats {
    fn record_ratio(&mut self, ratio: f64, weight: f64) {
        self.samples = (self.samples + weight).min(QUEUE_SAMPLES_MAX);
        let share = (weight / self.samples).min(1.0);
        let deviation = ratio - self.mean;
        self.mean += deviation * share;
        self.spread += (deviation.powi(2) * (1.0 - share) - self.spread) * share;
    }

    fn record_noise(&mut self, variance: f64) {
        if self.noise_samples >= QUEUE_SAMPLES_MAX {
            let share = 1.0 - 1.0 / QUEUE_SAMPLES_MAX;
            self.noise_samples *= share;
            self.noise_sum *= share;
        }
        self.noise_samples += 1.0;
        self.noise_sum += variance;
    }

    /// The variance of a run's time among its siblings.
    fn noise(&self, is_gang: bool) -> f64 {
        let assumed = if is_gang { GANG_NOISE } else { SIBLING_NOISE };
        let sum = assumed.powi(2) * NOISE_SAMPLES + self.noise_sum;
        (sum / (NOISE_SAMPLES + self.noise_samples)).clamp(NOISE_MIN.powi(2), NOISE_MAX.powi(2))
    }

    /// The distribution of the logarithm of the ratio of run time to estimate on a host of relative
    /// run time 1; `None` before enough runs were seen.
    fn usual(&self) -> Option<LogSpeed> {
        if self.samples < QUEUE_SAMPLES_MIN {
            return None;
        }
        let sum = QUEUE_SPREAD.powi(2) * NOISE_SAMPLES + self.spread * self.samples;
        Some(LogSpeed { mean: self.mean, variance: sum / (NOISE_SAMPLES + self.samples) })
    }
}

/// The evidence about all hosts, and the comparisons from which it comes.
#[derive(Debug, Default)]
pub(crate) struct HostSpeedEstimates {
    hosts: BTreeMap<HostName, Evidence>,
    sets: BTreeMap<(StepId, RunNumber), ComparisonSet>,
    kinds: BTreeMap<RunKind, KindStats>,
    /// The groups of each pool, which serve as the prior of its hosts.
    pub(super) groups: BTreeMap<PoolName, SpeedGroups>,
    is_restored: bool,
    reported_at: Option<Time>,
    /// Hosts with evidence that is not written to the log.
    unreported: BTreeMap<HostName, ()>,
}

/// Queries.
impl HostSpeedEstimates {
    /// What runs have shown about a host; `None` if that is too little.
    pub(crate) fn evidence(&self, host: &HostName) -> Option<LogSpeed> {
        self.hosts.get(host).copied().and_then(Evidence::estimate)
    }

    /// The mean logarithm of the ratio of run time to estimate of the runs of a queue on a host of
    /// relative run time 1; `None` before enough were seen.
    pub(crate) fn usual_ratio(&self, queue: &QueueName, is_gang: bool) -> Option<f64> {
        let kind = RunKind { queue: queue.clone(), is_gang };
        self.kinds.get(&kind)?.usual().map(|usual| usual.mean)
    }

    fn expect(&self, pool: &PoolName, evidence: Evidence) -> LogSpeed {
        let none = SpeedGroups::default();
        self.groups.get(pool).unwrap_or(&none).expect(evidence.estimate())
    }

    /// What a member says about what is common to its set, without what it has given itself.
    fn common_by(&self, set: &ComparisonSet, member: &Member, noise: f64) -> Option<LogSpeed> {
        let (ratio, rounding) = member.log_ratio()?;
        let known = self.hosts.get(&member.host).copied().unwrap_or_default();
        let speed = self.expect(&set.pool, known.minus(member.given));
        let variance = noise + rounding + speed.variance;
        Some(LogSpeed { mean: ratio - speed.mean, variance })
    }

    /// What is common to a set by all members but one, and by what is usual in its queue; `None` if
    /// nothing is known.
    fn common_without(
        &self,
        set: &ComparisonSet,
        index: u32,
        noise: f64,
        stats: &KindStats,
    ) -> Option<LogSpeed> {
        let others = set.members.iter().filter(|(other, _)| **other != index);
        let by_others = others.filter_map(|(_, member)| self.common_by(set, member, noise));
        let (mut precision, mut weighted) = (0.0, 0.0);
        for LogSpeed { mean, variance } in by_others.chain(stats.usual()) {
            precision += 1.0 / variance;
            weighted += mean / variance;
        }
        let is_known = precision > 0.0;
        is_known.then(|| LogSpeed { mean: weighted / precision, variance: 1.0 / precision })
    }
}

/// Commands.
impl HostSpeedEstimates {
    /// Takes over what earlier leaders have written to the log, once.
    pub(crate) fn restore(&mut self, known: &HostSpeeds) {
        if self.is_restored {
            return;
        }
        self.is_restored = true;
        for (host, speed) in known.hosts() {
            let deviation = f64::from(speed.deviation_centi.max(1)) / 100.0;
            let precision = deviation.powi(-2).min(PRECISION_MAX);
            let weighted = precision * f64::from(speed.log_centi) / 100.0;
            let evidence = self.hosts.entry(host.clone()).or_default();
            *evidence = evidence.plus(Evidence { precision, weighted });
        }
    }

    /// Records the progress of a run that an upstream listed.
    pub(crate) fn record_listed(
        &mut self,
        now: Time,
        clock: ClockReading,
        listed: &ListedRun,
        run: SpeedRun<'_>,
    ) {
        let number = if run.is_gang { listed.run } else { RunNumber(0) };
        let key = (listed.task.step.clone(), number);
        if !self.sets.contains_key(&key) && self.sets.len() >= SETS_MAX {
            return;
        }
        let set = self.sets.entry(key.clone()).or_insert_with(|| ComparisonSet {
            pool: run.pool.clone(),
            kind: RunKind { queue: run.queue.clone(), is_gang: run.is_gang },
            rack_local: run.rack_local,
            members: BTreeMap::new(),
            touched: now,
            is_sampled: false,
        });
        set.touched = now;
        let index = listed.task.index;
        if set.members.len() >= MEMBERS_MAX && !set.members.contains_key(&index) {
            let closed = set.members.iter().find(|(_, member)| !member.is_open);
            let Some(closed) = closed.map(|(index, _)| *index) else { return };
            set.members.remove(&closed);
        }
        let observed = (listed.percent, clock);
        let fresh = || Member {
            run: listed.run,
            host: run.host.clone(),
            rack: run.rack.clone(),
            estimate_ms: run.estimate_ms,
            first: observed,
            last: observed,
            counted_at: 0,
            given: Evidence::default(),
            is_open: true,
        };
        let member = set.members.entry(index).or_insert_with(fresh);
        let is_other = member.run != listed.run || member.host != *run.host;
        if is_other || listed.percent < member.last.0 || clock < member.last.1 {
            *member = fresh();
        }
        // Before its first progress a run may load, or wait for the other members of its gang.
        if member.first.0 == 0 && listed.percent > 0 {
            member.first = observed;
        }
        if listed.percent > member.last.0 {
            member.last = observed;
        }
        let progress = member.last.0.saturating_sub(member.first.0);
        if progress >= member.counted_at + PROGRESS_STEP_PERCENT {
            member.counted_at = progress;
            self.renew_evidence(&key, index);
        }
    }

    /// Records that a run is over.
    pub(crate) fn record_run_closed(&mut self, run: &RunRef) {
        let TaskId { step, index } = &run.task;
        for number in [run.run, RunNumber(0)] {
            let key = (step.clone(), number);
            let Some(set) = self.sets.get_mut(&key) else { continue };
            let Some(member) = set.members.get_mut(index).filter(|m| m.run == run.run) else {
                continue;
            };
            member.is_open = false;
            self.renew_evidence(&key, *index);
            self.record_kind(&key, *index);
            let set = self.sets.get(&key).and_then(|set| set.members.get(index));
            if let Some(evidence) = set.and_then(|member| self.hosts.get_mut(&member.host)) {
                evidence.limit();
            }
        }
    }

    /// Replaces what a run has shown about its host.
    fn renew_evidence(&mut self, key: &(StepId, RunNumber), index: u32) {
        let Some(given) = self.given_by(key, index) else { return };
        let Some(set) = self.sets.get_mut(key) else { return };
        let Some(member) = set.members.get_mut(&index) else { return };
        let evidence = self.hosts.entry(member.host.clone()).or_default();
        *evidence = evidence.minus(member.given).plus(given);
        member.given = given;
        self.unreported.insert(member.host.clone(), ());
    }

    /// What a run shows about its host by now; `None` if it has not progressed enough.
    fn given_by(&mut self, key: &(StepId, RunNumber), index: u32) -> Option<Evidence> {
        let set = self.sets.get(key)?;
        let member = set.members.get(&index)?;
        let (ratio, rounding) = member.log_ratio()?;
        if set.is_scattered() || set.is_in_lockstep() {
            return Some(Evidence::default());
        }
        let stats = self.kinds.get(&set.kind).copied().unwrap_or_default();
        let noise = stats.noise(set.kind.is_gang);
        let Some(common) = self.common_without(set, index, noise, &stats) else {
            return Some(Evidence::default());
        };
        let known = self.hosts.get(&member.host).copied().unwrap_or_default();
        let expected = self.expect(&set.pool, known.minus(member.given));
        let deviation = ratio - common.mean;
        let residual = deviation - expected.mean;
        if residual.abs() > DISTURBANCE {
            return Some(Evidence::default());
        }
        if !member.is_open {
            let by_others = expected.variance + common.variance + rounding;
            let kind = set.kind.clone();
            let noise = (residual.powi(2) - by_others).max(0.0);
            self.kinds.entry(kind).or_default().record_noise(noise);
        }
        let precision = 1.0 / (noise + rounding + common.variance);
        Some(Evidence { precision, weighted: precision * deviation })
    }

    /// Records the ratio of run time to estimate of a run that is over, or of its gang.
    fn record_kind(&mut self, key: &(StepId, RunNumber), index: u32) {
        let Some(set) = self.sets.get(key).filter(|set| !set.is_sampled) else { return };
        if set.is_scattered() {
            return;
        }
        let is_gang = set.kind.is_gang;
        let members = set.members.iter().filter(|(other, _)| is_gang || **other == index);
        let each = members.filter_map(|(_, member)| {
            let (ratio, _) = member.log_ratio()?;
            let known = self.hosts.get(&member.host).copied().unwrap_or_default();
            Some((ratio, self.expect(&set.pool, known.minus(member.given)).mean))
        });
        // A gang takes as long as its slowest member.
        let slowest = each.reduce(|a, b| (a.0.max(b.0), a.1.max(b.1)));
        let Some((ratio, speed)) = slowest else { return };
        let weight = if is_gang { 1.0 } else { 1.0 / set.members.len() as f64 };
        let kind = set.kind.clone();
        self.kinds.entry(kind).or_default().record_ratio(ratio - speed, weight);
        if is_gang && let Some(set) = self.sets.get_mut(key) {
            set.is_sampled = true;
        }
    }

    /// Drops comparisons that are over, and hosts that are neither registered nor in the log.
    pub(crate) fn clean_up(&mut self, now: Time, is_known: impl Fn(&HostName) -> bool) {
        self.sets.retain(|_, set| now < set.touched.after(SET_RETENTION));
        self.hosts.retain(|host, _| is_known(host));
    }

    /// The estimates that are to be written to the log, at most every few seconds.
    pub(crate) fn take_changes(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
    ) -> Vec<(HostName, HostSpeed)> {
        if self.reported_at.is_some_and(|at| now < at.after(REPORT_EVERY)) {
            return Vec::new();
        }
        self.reported_at = Some(now);
        let mut changed = Vec::new();
        let known = ledger.host_speeds().hosts();
        while let Some((host, ())) = self.unreported.pop_first() {
            let Some(evidence) = self.evidence(&host) else { continue };
            let speed = quantized(evidence, now);
            if known.get(&host).is_none_or(|known| differs(known, &speed)) {
                changed.push((host, speed));
            }
            if changed.len() >= REPORT_MAX {
                break;
            }
        }
        changed
    }
}

fn quantized(evidence: LogSpeed, at: Time) -> HostSpeed {
    HostSpeed {
        log_centi: (evidence.mean * 100.0).round() as i16,
        deviation_centi: (evidence.variance.sqrt() * 100.0).round() as u16,
        at,
    }
}

/// Whether an estimate differs enough from the one in the log, or that one is old.
fn differs(known: &HostSpeed, speed: &HostSpeed) -> bool {
    let is_sharper = speed.deviation_centi * 5 < known.deviation_centi * 4;
    known.log_centi.abs_diff(speed.log_centi) >= REPORT_CHANGE_CENTI
        || is_sharper
        || speed.at.since(known.at) >= REFRESH_AFTER
}
