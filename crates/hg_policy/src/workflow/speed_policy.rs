//! The lasting speeds of hosts as the scheduler uses them: evidence in, tiers of pools out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{HostSpeed, HostSpeeds, RunRef, Workflow, WorkflowLedger};
use hg_model::{
    HostName, Incarnation, PoolName, RunListing, StepSpec, TaskId, Time, UpstreamName,
    UpstreamReport,
};

use super::host_speeds::{HostSpeedEstimates, SpeedRun};
use super::pool_speeds::{
    PoolSpeeds, SpeedClass, are_in_effect, class_of, group_of, smallest_stretch, tiers,
};
use super::speed_groups::{LogSpeed, SpeedGroups};

/// How often groups and classes are determined anew.
const REFRESH_EVERY: Duration = Duration::from_secs(1);
/// Runs that start on an upstream this soon after it has started itself show nothing about its host:
/// it may still be cold.
const COLD_FOR: Duration = Duration::from_secs(5);

/// A host whose class has changed.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedChange {
    /// The host.
    pub host: HostName,
    /// Its pool.
    pub pool: PoolName,
    /// The new class.
    pub class: SpeedClass,
    /// Its expected run time relative to the median host of its pool.
    pub factor: f64,
    /// The standard deviation of the logarithm of its relative run time, by evidence alone.
    pub deviation: f64,
    /// Whether speeds are in effect in its pool.
    pub in_effect: bool,
}

/// The evidence about hosts and the tiers that follow from it.
#[derive(Debug, Default)]
pub(crate) struct SpeedPolicy {
    estimates: HostSpeedEstimates,
    /// The pools in which speeds are in effect.
    in_effect: BTreeMap<PoolName, PoolSpeeds>,
    classes: BTreeMap<HostName, SpeedClass>,
    changes: Vec<SpeedChange>,
    refreshed_at: Option<Time>,
    /// The incarnations of upstreams, with the time at which each was first seen if it is new.
    incarnations: BTreeMap<UpstreamName, (Incarnation, Option<Time>)>,
}

/// Queries.
impl SpeedPolicy {
    /// The estimates of what is usual in queues.
    pub(crate) const fn estimates(&self) -> &HostSpeedEstimates {
        &self.estimates
    }

    /// The pools in which speeds are in effect.
    pub(crate) const fn in_effect(&self) -> &BTreeMap<PoolName, PoolSpeeds> {
        &self.in_effect
    }

    /// The run time of an upstream relative to the median of its pool; 1 where speeds are not in
    /// effect.
    pub(crate) fn factor_of(&self, report: &UpstreamReport) -> f64 {
        self.in_effect.get(&report.pool).map_or(1.0, |pool| pool.factor_of(&report.name))
    }

    /// The class of the host of an upstream.
    pub(crate) fn class_of(&self, report: &UpstreamReport) -> SpeedClass {
        let host = HostSpeeds::host_of(report);
        let class = host.and_then(|host| self.classes.get(&host).copied());
        class.unwrap_or(SpeedClass::Unknown)
    }

    /// The number of hosts of each class.
    pub(crate) fn class_counts(&self) -> BTreeMap<SpeedClass, usize> {
        let mut counts: BTreeMap<_, _> = SpeedClass::ALL.into_iter().map(|c| (c, 0)).collect();
        for class in self.classes.values() {
            *counts.entry(*class).or_default() += 1;
        }
        counts
    }

    fn is_cold(&self, upstream: &UpstreamName, since: Time) -> bool {
        let seen = self.incarnations.get(upstream).and_then(|(_, at)| *at);
        seen.is_some_and(|at| since < at.after(COLD_FOR))
    }
}

/// Commands.
impl SpeedPolicy {
    /// Records the runs that an upstream listed, but for those that show nothing about its host.
    pub(crate) fn record_listing(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        upstream: &UpstreamName,
        listing: &RunListing,
    ) {
        self.estimates.restore(ledger.host_speeds());
        let Some(report) = ledger.upstreams().get(upstream) else { return };
        let Some(host) = HostSpeeds::host_of(report) else { return };
        // Its capacity has shrunk below what runs there: they slow each other down.
        if !ledger.occupancy().used(upstream).fits(&report.capacity) {
            return;
        }
        for listed in &listing.running {
            let step = &listed.task.step;
            let (Some(job), Some(spec)) = (ledger.job(&step.job), ledger.step_spec(step)) else {
                continue;
            };
            let open = ledger.occupancy().get(upstream, &listed.task);
            let Some(open) = open.filter(|open| open.run == listed.run) else { continue };
            if !is_evidence(spec, report, ledger, &listed.task)
                || self.is_cold(upstream, open.since)
            {
                continue;
            }
            let run = speed_run(&host, report, job, spec);
            self.estimates.record_listed(now, listing.clock, listed, run);
        }
    }

    /// Records that a run is over.
    pub(crate) fn record_run_closed(&mut self, run: &RunRef) {
        self.estimates.record_run_closed(run);
    }

    /// Determines groups, classes and tiers anew if that is due.
    pub(crate) fn refresh(&mut self, now: Time, ledger: &WorkflowLedger) {
        self.estimates.restore(ledger.host_speeds());
        if self.refreshed_at.is_some_and(|at| now < at.after(REFRESH_EVERY)) {
            return;
        }
        self.record_incarnations(now, ledger);
        self.refreshed_at = Some(now);
        let mut hosts = BTreeSet::new();
        let mut pools: BTreeMap<&PoolName, Vec<(&UpstreamReport, HostName)>> = BTreeMap::new();
        for report in ledger.upstreams().values() {
            let Some(host) = HostSpeeds::host_of(report) else { continue };
            hosts.insert(host.clone());
            pools.entry(&report.pool).or_default().push((report, host));
        }
        self.in_effect.retain(|pool, _| pools.contains_key(pool));
        self.estimates.groups.retain(|pool, _| pools.contains_key(pool));
        self.classes.retain(|host, _| hosts.contains(host));
        for (pool, members) in pools {
            self.refresh_pool(pool, &members, ledger);
        }
        let known = ledger.host_speeds().hosts();
        self.estimates.clean_up(now, |host| hosts.contains(host) || known.contains_key(host));
    }

    fn record_incarnations(&mut self, now: Time, ledger: &WorkflowLedger) {
        let is_first = self.refreshed_at.is_none();
        self.incarnations.retain(|name, _| ledger.upstreams().contains_key(name));
        for report in ledger.upstreams().values() {
            let known = self.incarnations.get(&report.name);
            if known.is_none_or(|(incarnation, _)| *incarnation != report.incarnation) {
                let seen = (!is_first).then_some(now);
                self.incarnations.insert(report.name.clone(), (report.incarnation, seen));
            }
        }
    }

    fn refresh_pool(
        &mut self,
        pool: &PoolName,
        members: &[(&UpstreamReport, HostName)],
        ledger: &WorkflowLedger,
    ) {
        let each = members.iter().map(|(_, host)| self.estimates.evidence(host));
        let estimates: Vec<Option<LogSpeed>> = each.collect();
        let known: Vec<LogSpeed> = estimates.iter().flatten().copied().collect();
        let groups = SpeedGroups::fit(&known);
        let before = self.in_effect.contains_key(pool);
        let limit = smallest_stretch(ledger.catalog(), pool);
        let limit = limit.filter(|limit| are_in_effect(&groups, &estimates, *limit, before));
        let of_host: Vec<Option<usize>> =
            estimates.iter().map(|estimate| group_of(&groups, *estimate)).collect();
        let median = groups.median().map_or(0.0, |group| group.center);
        for ((_, host), (group, estimate)) in members.iter().zip(of_host.iter().zip(&estimates)) {
            let class = class_of(&groups, *group);
            let earlier = self.classes.insert(host.clone(), class);
            if earlier.unwrap_or(SpeedClass::Unknown) != class {
                self.changes.push(SpeedChange {
                    host: host.clone(),
                    pool: pool.clone(),
                    class,
                    factor: (groups.expect(*estimate).mean - median).exp(),
                    deviation: estimate.map_or(f64::INFINITY, |e| e.variance.sqrt()),
                    in_effect: limit.is_some(),
                });
            }
        }
        match limit {
            Some(limit) => {
                let upstreams = members.iter().zip(of_host);
                let upstreams =
                    upstreams.filter_map(|((u, _), group)| Some((u.name.clone(), group?)));
                let (tiers, upstreams) = (tiers(&groups), upstreams.collect());
                let speeds = PoolSpeeds { tiers, upstreams, median, limit };
                self.in_effect.insert(pool.clone(), speeds);
            }
            None => {
                self.in_effect.remove(pool);
            }
        }
        self.estimates.groups.insert(pool.clone(), groups);
    }

    /// The hosts whose class has changed since the last call.
    pub(crate) fn take_class_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.changes)
    }

    /// The estimates that are to be written to the log.
    pub(crate) fn take_changes(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
    ) -> Vec<(HostName, HostSpeed)> {
        self.estimates.take_changes(now, ledger)
    }
}

/// Whether the run time of a task depends on its host alone, as far as its step tells: not if it uses
/// what others leave, is far from its data, or resumes from saved progress.
fn is_evidence(
    spec: &StepSpec,
    report: &UpstreamReport,
    ledger: &WorkflowLedger,
    task: &TaskId,
) -> bool {
    let index = usize::try_from(task.index).ok();
    let record = ledger.step_record(&task.step);
    let record = record.and_then(|record| record.tasks.get(index?));
    spec.estimate_ms > 0
        && !spec.best_effort
        && !spec.long_running
        && spec.data_rack.as_ref().is_none_or(|rack| *rack == report.rack)
        && record.is_some_and(|record| record.checkpoint.is_none())
}

fn speed_run<'a>(
    host: &'a HostName,
    report: &'a UpstreamReport,
    job: &'a Workflow,
    spec: &'a StepSpec,
) -> SpeedRun<'a> {
    SpeedRun {
        host,
        pool: &report.pool,
        rack: &report.rack,
        queue: &job.terms.queue,
        estimate_ms: spec.estimate_ms,
        is_gang: spec.gang && spec.tasks > 1,
        rack_local: spec.rack_local,
    }
}
