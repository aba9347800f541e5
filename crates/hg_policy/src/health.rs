//! Upstreams that fail, told apart from jobs that fail.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_model::{JobId, Time, UpstreamName};

/// Longest time an upstream is put aside, as a multiple of the first.
const QUARANTINE_FACTOR_MAX: u32 = 16;

/// How an upstream is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// It takes any work.
    Good,
    /// It takes no work until then.
    Quarantined(Time),
    /// It takes a single idempotent job at a time.
    Probation,
}

#[derive(Debug, Default)]
struct FailureRecord {
    failed: BTreeSet<JobId>,
    until: Option<Time>,
    /// From when on it counts as good although no job has tried it.
    trusted_at: Option<Time>,
    quarantine_count: u32,
}

/// Which upstreams have failed what of late.
#[derive(Debug, Default)]
pub struct Health {
    records: BTreeMap<UpstreamName, FailureRecord>,
}

impl Health {
    /// How an upstream is trusted at `now`.
    pub fn state(&self, now: Time, upstream: &UpstreamName) -> HealthState {
        match self.records.get(upstream).and_then(|r| r.until) {
            None => HealthState::Good,
            Some(until) if now < until => HealthState::Quarantined(until),
            Some(_) => HealthState::Probation,
        }
    }

    /// Upstreams whose time aside is over.
    pub fn on_probation(&self, now: Time) -> impl Iterator<Item = &UpstreamName> {
        let is_over = move |r: &FailureRecord| r.until.is_some_and(|until| until <= now);
        self.records.iter().filter(move |(_, r)| is_over(r)).map(|(name, _)| name)
    }

    /// A job failed there. Returns whether the upstream was put aside by it.
    ///
    /// Failures of one job count once, so that a bad job does not condemn an upstream.
    pub fn record_failure(
        &mut self,
        now: Time,
        upstream: &UpstreamName,
        job: &JobId,
        quarantine_after: usize,
        quarantine: Duration,
    ) -> bool {
        let record = self.records.entry(upstream.clone()).or_default();
        let on_probation = record.until.is_some_and(|until| until <= now);
        if record.failed.len() < quarantine_after {
            record.failed.insert(job.clone());
        }
        if !on_probation && record.failed.len() < quarantine_after {
            return false;
        }
        let factor = 1_u32.checked_shl(record.quarantine_count).unwrap_or(QUARANTINE_FACTOR_MAX);
        let span = quarantine * factor.min(QUARANTINE_FACTOR_MAX);
        let until = now.after(span);
        record.until = Some(until);
        record.trusted_at = Some(until.after(span));
        record.quarantine_count = record.quarantine_count.saturating_add(1);
        record.failed.clear();
        true
    }

    /// Takes upstreams back that no job has tried for as long as they were put aside.
    ///
    /// What they failed before is remembered, so the next time is longer.
    pub fn readmit_untried(&mut self, now: Time) -> Vec<UpstreamName> {
        let mut readmitted = Vec::new();
        for (name, record) in &mut self.records {
            if record.trusted_at.is_some_and(|at| at <= now) {
                record.until = None;
                record.trusted_at = None;
                readmitted.push(name.clone());
            }
        }
        readmitted
    }

    /// A job ended well there.
    pub fn record_success(&mut self, upstream: &UpstreamName) {
        self.records.remove(upstream);
    }
}
