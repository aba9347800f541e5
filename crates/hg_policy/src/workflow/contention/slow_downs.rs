//! Estimates of how much one class of tasks slows another, and the test whether chance explains
//! them.
//!
//! Each comparison is weighed by the inverse of its variance. Comparisons at arrivals and at
//! departures of the aggressor are kept apart and count equally, so that a trend in the speed of
//! runs cancels out. The median of all pairs is subtracted, since hosts are fuller while they are slow.
//! The required score is that of Bonferroni's correction: it grows with the number of
//! pairs that are tested, and allows for repeated judgement.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{
    CONTENTION_CLASSES_MAX, CONTENTION_PAIRS_MAX, Contention, ContentionPair, DirectionEvidence,
    PairEvidence,
};
use hg_model::{TaskClass, Time};

use super::ContentionFinding;
use super::contrasts::{Contrast, Transition};

/// The time after which evidence counts half.
const HALF_LIFE: Duration = Duration::from_secs(600);
/// Longest time by which evidence decays at once, so that a jump of the clock does not erase it.
const DECAY_STEP_MAX: Duration = Duration::from_secs(60);
/// Most comparisons that count for a pair and transition: earlier ones count less beyond, so that
/// a change of behaviour shows.
const COUNT_MAX: f64 = 150.0;
/// Evidence with fewer comparisons is dropped.
const COUNT_DROPPED: f64 = 0.25;
/// Least number of comparisons for each transition.
const COUNT_MIN: f64 = 3.0;
/// Bound of the logarithm of a single slow-down: a stall is no evidence of its size.
const SLOW_DOWN_MAX: f64 = 1.1;
/// The weight of the assumed variances against the observed scatter, as a number of comparisons.
const ASSUMED_COUNT: f64 = 12.0;
/// Lower bound of the observed scatter, as a share of the assumed variance.
const SCATTER_MIN: f64 = 0.5;
/// The chance that any innocent pair is found, for all tests together.
const FALSE_FINDING_CHANCE: f64 = 0.02;
/// The number of independent judgements of a pair for which the required score allows.
const JUDGEMENTS: f64 = 20.0;
/// The estimate at each transition must be at least this share of the combined one.
const TRANSITION_SHARE_MIN: f64 = 0.4;
/// The slow-down that innocent pairs show is the median of at least this many pairs; with fewer it is
/// assumed. Without contention, replays show about 0.02, since tasks stay longer on a host that is slow
/// for a while and so have more neighbours.
const BASELINE_PAIRS_MIN: usize = 8;
const BASELINE_ASSUMED: f64 = 0.03;
/// A found slow-down is kept until its score falls below this share of the required one.
const KEPT_SCORE_SHARE: f64 = 0.5;
/// The standard deviation of the logarithm of slow-downs that is assumed before any evidence.
const PRIOR_DEVIATION: f64 = 0.5;
/// Most pairs whose changed evidence is replicated at a time.
const CHANGES_MAX: usize = 64;
/// Evidence is replicated again when its count or its mean has changed by more than this.
const COUNT_CHANGE_SHARE: f64 = 0.2;
const MEAN_CHANGE_MICRO: u32 = 20_000;

/// The smallest slow-down that is worth avoiding, as a logarithm, and the one below which it is not
/// avoided any more.
const FOUND_MIN: f64 = 0.05;
const KEPT_MIN: f64 = 0.03;

/// Evidence from one kind of transition.
#[derive(Debug, Clone, Copy, Default)]
struct Direction {
    count: f64,
    weight: f64,
    mean: f64,
    scatter: f64,
}

impl Direction {
    fn record(&mut self, slow_down: f64, variance: f64) {
        let (value, weight) = (slow_down.clamp(-SLOW_DOWN_MAX, SLOW_DOWN_MAX), 1.0 / variance);
        let deviation = value - self.mean;
        self.count += 1.0;
        self.weight += weight;
        self.mean += deviation * weight / self.weight;
        self.scatter += weight * deviation * (value - self.mean);
        if self.count > COUNT_MAX {
            self.scale(COUNT_MAX / self.count);
        }
    }

    fn scale(&mut self, factor: f64) {
        self.count *= factor;
        self.weight *= factor;
        self.scatter *= factor;
    }

    fn quantised(&self) -> DirectionEvidence {
        DirectionEvidence {
            count_centi: (self.count * 100.0).round() as u32,
            weight: self.weight.round() as u32,
            mean_micro: (self.mean * 1e6).round() as i32,
            scatter_centi: (self.scatter * 100.0).round() as u32,
        }
    }

    fn restored(evidence: &DirectionEvidence) -> Self {
        Self {
            count: f64::from(evidence.count_centi) / 100.0,
            weight: f64::from(evidence.weight),
            mean: f64::from(evidence.mean_micro) / 1e6,
            scatter: f64::from(evidence.scatter_centi) / 100.0,
        }
    }
}

/// The evidence about one pair.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    arrivals: Direction,
    departures: Direction,
    is_found: bool,
}

impl Evidence {
    const fn weight(&self) -> f64 {
        self.arrivals.weight + self.departures.weight
    }

    const fn count(&self) -> f64 {
        self.arrivals.count + self.departures.count
    }

    /// The mean of both kinds of transitions.
    const fn mean(&self) -> f64 {
        (self.arrivals.mean + self.departures.mean) / 2.0
    }

    fn scale(&mut self, factor: f64) {
        self.arrivals.scale(factor);
        self.departures.scale(factor);
    }

    fn is_testable(&self) -> bool {
        self.arrivals.count >= COUNT_MIN && self.departures.count >= COUNT_MIN
    }

    fn quantised(&self, at: Time) -> PairEvidence {
        PairEvidence {
            arrivals: self.arrivals.quantised(),
            departures: self.departures.quantised(),
            is_found: self.is_found,
            at,
        }
    }

    /// Whether replicated evidence is out of date.
    fn differs_from(&self, replicated: &PairEvidence) -> bool {
        let now = self.quantised(replicated.at);
        let changed = |old: &DirectionEvidence, new: &DirectionEvidence| {
            let count_change = f64::from(old.count_centi.abs_diff(new.count_centi));
            count_change > COUNT_CHANGE_SHARE * f64::from(old.count_centi)
                || old.mean_micro.abs_diff(new.mean_micro) > MEAN_CHANGE_MICRO
        };
        now.is_found != replicated.is_found
            || changed(&replicated.arrivals, &now.arrivals)
            || changed(&replicated.departures, &now.departures)
    }
}

/// The estimate of a pair's slow-down.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// The logarithm of the factor.
    slow_down: f64,
    error: f64,
}

impl Estimate {
    /// `noise` is the observed scatter as a multiple of the assumed variance, `baseline` the
    /// slow-down that innocent pairs show.
    fn of(evidence: &Evidence, noise: f64, baseline: f64) -> Self {
        let Evidence { arrivals, departures, .. } = evidence;
        let slow_down = evidence.mean() - baseline;
        let error = (noise * (1.0 / arrivals.weight + 1.0 / departures.weight)).sqrt() / 2.0;
        Self { slow_down, error }
    }

    fn score(&self) -> f64 {
        self.slow_down / self.error
    }

    /// The estimate drawn towards no slow-down by its uncertainty.
    fn shrunk(&self) -> f64 {
        let prior = PRIOR_DEVIATION * PRIOR_DEVIATION;
        self.slow_down * prior / (prior + self.error * self.error)
    }
}

/// Pairs to drop from the replicated evidence, and pairs with their evidence from now on.
type Changes = (Vec<ContentionPair>, Vec<(ContentionPair, PairEvidence)>);

/// Estimates of slow-downs, by pair of classes.
#[derive(Debug, Default)]
pub(super) struct SlowDowns {
    pairs: BTreeMap<ContentionPair, Evidence>,
    /// The time to which the evidence is decayed.
    decayed_at: Time,
}

/// Queries.
impl SlowDowns {
    /// The slow-downs to avoid, as logarithms of their factors.
    pub(super) fn found(&self) -> BTreeMap<ContentionPair, f64> {
        if !self.pairs.values().any(|evidence| evidence.is_found) {
            return BTreeMap::new();
        }
        let (noise, baseline) = (self.noise(), self.baseline());
        let found = self.pairs.iter().filter(|(_, evidence)| evidence.is_found);
        let shrunk = found.map(|(pair, evidence)| {
            let estimate = Estimate::of(evidence, noise_of(&noise, pair), baseline);
            (pair.clone(), estimate.shrunk())
        });
        shrunk.collect()
    }

    /// The observed scatter of the victims' comparisons, as a multiple of the assumed variance.
    fn noise(&self) -> BTreeMap<&TaskClass, f64> {
        let mut sums: BTreeMap<&TaskClass, (f64, f64)> = BTreeMap::new();
        for (pair, evidence) in &self.pairs {
            let (scatter, count) =
                sums.entry(&pair.victim).or_insert((ASSUMED_COUNT, ASSUMED_COUNT));
            for direction in [evidence.arrivals, evidence.departures] {
                *scatter += direction.scatter;
                *count += (direction.count - 1.0).max(0.0);
            }
        }
        let noise = sums.into_iter().map(|(victim, (scatter, count))| (victim, scatter / count));
        noise.map(|(victim, noise)| (victim, noise.max(SCATTER_MIN))).collect()
    }

    /// The pairs that were replicated and have no evidence any more, and the pairs whose replicated
    /// evidence is out of date. Evidence whose replication failed is among them again.
    pub(super) fn changes(&self, replicated: &Contention) -> Changes {
        let known = replicated.pairs();
        let dropped = known.keys().filter(|pair| !self.pairs.contains_key(*pair)).cloned();
        let changed = self.pairs.iter().filter(|(pair, evidence)| {
            evidence.differs_from(&known.get(*pair).copied().unwrap_or_default())
        });
        let changed =
            changed.map(|(pair, evidence)| (pair.clone(), evidence.quantised(self.decayed_at)));
        (dropped.collect(), changed.take(CHANGES_MAX).collect())
    }

    /// The slow-down that innocent pairs show.
    fn baseline(&self) -> f64 {
        let testable = self.pairs.values().filter(|evidence| evidence.is_testable());
        let mut means: Vec<f64> = testable.map(Evidence::mean).collect();
        means.sort_by(f64::total_cmp);
        let median = means.get(means.len() / 2).filter(|_| means.len() >= BASELINE_PAIRS_MIN);
        median.map_or(BASELINE_ASSUMED, |median| median.max(0.0))
    }

    /// The score that a pair needs, by an upper bound of the tail of the normal distribution.
    fn score_required(&self) -> f64 {
        let tested = self.pairs.values().filter(|evidence| evidence.is_testable()).count().max(1);
        (2.0 * (tested as f64 * JUDGEMENTS / (2.0 * FALSE_FINDING_CHANCE)).ln()).sqrt()
    }
}

/// Commands.
impl SlowDowns {
    /// Takes over replicated evidence.
    pub(super) fn restore(now: Time, contention: &Contention) -> Self {
        let restored = contention.pairs().iter().map(|(pair, replicated)| {
            let mut evidence = Evidence {
                arrivals: Direction::restored(&replicated.arrivals),
                departures: Direction::restored(&replicated.departures),
                is_found: replicated.is_found,
            };
            evidence.scale(decay(now.since(replicated.at)));
            (pair.clone(), evidence)
        });
        Self { pairs: restored.collect(), decayed_at: now }
    }

    pub(super) fn record(&mut self, contrast: Contrast) {
        if !self.pairs.contains_key(&contrast.pair) {
            self.make_room(&contrast.pair);
        }
        let evidence = self.pairs.entry(contrast.pair).or_default();
        let direction = match contrast.transition {
            Transition::Arrival => &mut evidence.arrivals,
            Transition::Departure => &mut evidence.departures,
        };
        direction.record(contrast.slow_down, contrast.variance);
    }

    /// Decays the evidence and tests each pair. Returns what was found, and what is no longer
    /// supported.
    pub(super) fn judge(&mut self, now: Time) -> Vec<ContentionFinding> {
        self.decay_to(now);
        let (noise, baseline) = (self.noise(), self.baseline());
        let required = self.score_required();
        let mut findings = Vec::new();
        for (pair, evidence) in &self.pairs {
            let estimate = Estimate::of(evidence, noise_of(&noise, pair), baseline);
            let is_found = is_found(evidence, &estimate, baseline, required);
            if is_found != evidence.is_found {
                findings.push(ContentionFinding {
                    pair: pair.clone(),
                    factor: estimate.shrunk().exp(),
                    score: estimate.score(),
                    score_required: required,
                    comparisons: evidence.count(),
                    is_found,
                });
            }
        }
        for finding in &findings {
            if let Some(evidence) = self.pairs.get_mut(&finding.pair) {
                evidence.is_found = finding.is_found;
            }
        }
        self.pairs.retain(|_, evidence| evidence.is_found || evidence.count() >= COUNT_DROPPED);
        findings
    }

    fn decay_to(&mut self, now: Time) {
        let factor = decay(now.since(self.decayed_at));
        self.decayed_at = now;
        for evidence in self.pairs.values_mut() {
            evidence.scale(factor);
        }
    }

    /// Drops the evidence of least weight until a further pair may be kept.
    fn make_room(&mut self, pair: &ContentionPair) {
        while self.pairs.len() >= CONTENTION_PAIRS_MAX {
            let droppable = self.pairs.iter().filter(|(_, evidence)| !evidence.is_found);
            let least = droppable.min_by(|a, b| a.1.weight().total_cmp(&b.1.weight()));
            let least = least.or_else(|| self.pairs.iter().next()).map(|(pair, _)| pair.clone());
            self.pairs.retain(|known, _| Some(known) != least.as_ref());
        }
        while let Some(class) = self.excess_class(pair) {
            self.pairs.retain(|pair, _| pair.aggressor != class && pair.victim != class);
        }
    }

    /// The class of least weight, if there were too many classes with a further pair.
    fn excess_class(&self, pair: &ContentionPair) -> Option<TaskClass> {
        let own = [&pair.aggressor, &pair.victim];
        let mut weights: BTreeMap<&TaskClass, (bool, f64)> = BTreeMap::new();
        for (pair, evidence) in &self.pairs {
            for class in BTreeSet::from([&pair.aggressor, &pair.victim]) {
                let (is_found, weight) = weights.entry(class).or_insert((false, 0.0));
                *is_found |= evidence.is_found;
                *weight += evidence.weight();
            }
        }
        let new = BTreeSet::from(own).into_iter().filter(|class| !weights.contains_key(class));
        if weights.len() + new.count() <= CONTENTION_CLASSES_MAX {
            return None;
        }
        let others = weights.into_iter().filter(|(class, _)| !own.contains(class));
        let least = others.min_by(|a, b| a.1.0.cmp(&b.1.0).then(a.1.1.total_cmp(&b.1.1)));
        least.map(|(class, _)| class.clone())
    }
}

fn noise_of(noise: &BTreeMap<&TaskClass, f64>, pair: &ContentionPair) -> f64 {
    noise.get(&pair.victim).copied().unwrap_or(1.0)
}

/// Whether a slow-down is to be avoided, by its estimate.
fn is_found(evidence: &Evidence, estimate: &Estimate, baseline: f64, required: f64) -> bool {
    if evidence.is_found {
        return estimate.score() >= required * KEPT_SCORE_SHARE && estimate.slow_down >= KEPT_MIN;
    }
    let least = evidence.arrivals.mean.min(evidence.departures.mean) - baseline;
    evidence.is_testable()
        && estimate.score() >= required
        && estimate.slow_down >= FOUND_MIN
        && least >= TRANSITION_SHARE_MIN * estimate.slow_down
}

/// The factor by which evidence decays in a time.
fn decay(time: Duration) -> f64 {
    0.5_f64.powf(time.min(DECAY_STEP_MAX).as_secs_f64() / HALF_LIFE.as_secs_f64())
}
