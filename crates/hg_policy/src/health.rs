//! Quarantine of upstreams on which many different jobs fail.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_model::{JobId, Time, UpstreamName};

/// Longest quarantine of an upstream, as a multiple of the first.
const QUARANTINE_FACTOR_MAX: u32 = 16;

/// Whether an upstream may get work, judged by its failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// It accepts any work.
    Good,
    /// It gets no work until this time.
    Quarantined(Time),
    /// It gets a single idempotent job at a time.
    Probation,
}

#[derive(Debug, Default)]
struct FailureRecord {
    failed: BTreeSet<JobId>,
    quarantined_until: Option<Time>,
    /// When it counts as good again although no job has run on it.
    trusted_at: Option<Time>,
    quarantine_count: u32,
}

/// The failures of upstreams since their last success, and their quarantines.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    records: BTreeMap<UpstreamName, FailureRecord>,
}

impl UpstreamHealth {
    /// The state of an upstream at `now`.
    pub fn state(&self, now: Time, upstream: &UpstreamName) -> HealthState {
        match self.records.get(upstream).and_then(|r| r.quarantined_until) {
            None => HealthState::Good,
            Some(until) if now < until => HealthState::Quarantined(until),
            Some(_) => HealthState::Probation,
        }
    }

    /// Upstreams whose quarantine has ended but that have not proved good yet.
    pub fn on_probation(&self, now: Time) -> impl Iterator<Item = &UpstreamName> {
        let is_over =
            move |r: &FailureRecord| r.quarantined_until.is_some_and(|until| until <= now);
        self.records.iter().filter(move |(_, r)| is_over(r)).map(|(name, _)| name)
    }

    /// Records that a job failed on an upstream. Returns whether the upstream is quarantined for
    /// it.
    ///
    /// Repeated failures of one job count once, so that a faulty job alone does not quarantine an
    /// upstream. On probation, a single failure does. Each quarantine lasts twice as long as the
    /// one before, up to a limit.
    pub fn record_failure(
        &mut self,
        now: Time,
        upstream: &UpstreamName,
        job: &JobId,
        quarantine_after: usize,
        quarantine: Duration,
    ) -> bool {
        let record = self.records.entry(upstream.clone()).or_default();
        let on_probation = record.quarantined_until.is_some_and(|until| until <= now);
        if record.failed.len() < quarantine_after {
            record.failed.insert(job.clone());
        }
        if !on_probation && record.failed.len() < quarantine_after {
            return false;
        }
        let factor = 1_u32.checked_shl(record.quarantine_count).unwrap_or(QUARANTINE_FACTOR_MAX);
        let span = quarantine * factor.min(QUARANTINE_FACTOR_MAX);
        let until = now.after(span);
        record.quarantined_until = Some(until);
        record.trusted_at = Some(until.after(span));
        record.quarantine_count = record.quarantine_count.saturating_add(1);
        record.failed.clear();
        true
    }

    /// Readmits upstreams that have been on probation, untried by any job, for as long as their
    /// quarantine lasted, and returns them.
    ///
    /// Their number of quarantines is kept, so the next one is longer.
    pub fn readmit_untried(&mut self, now: Time) -> Vec<UpstreamName> {
        let mut readmitted = Vec::new();
        for (name, record) in &mut self.records {
            if record.trusted_at.is_some_and(|at| at <= now) {
                record.quarantined_until = None;
                record.trusted_at = None;
                readmitted.push(name.clone());
            }
        }
        readmitted
    }

    /// Records that a job succeeded on an upstream, which clears its failures.
    pub fn record_success(&mut self, upstream: &UpstreamName) {
        self.records.remove(upstream);
    }
}
