//! Which hosts go down for upkeep next, and which runs are stopped on them first.
//!
//! Handles maintenance waves over a busy pool: a host goes down only when nothing runs on it, so no
//! work is lost. The next hosts get no new work; runs that save their progress are stopped at once,
//! others may continue while the wave's deadline allows, and long-running tasks are stopped as
//! their limits on unavailable tasks allow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{RunRef, UpkeepStage, Wave, WorkflowLedger};
use hg_model::{HostName, TaskId, Time, UpstreamName, WaveNumber};

use super::FleetObservations;
use super::availability::may_disrupt;
use super::speed_tracker::SpeedTracker;

/// An upkeep that may begin, since nothing runs on the host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpkeepOrder {
    /// The wave.
    pub wave: WaveNumber,
    /// The host.
    pub host: HostName,
}

/// The hosts that are being drained, and since when.
#[derive(Debug)]
pub(crate) struct WaveScheduler {
    draining: BTreeMap<HostName, Time>,
    /// The part of a host's share of the wave's time that is reserved for the stops, the upkeep itself
    /// and the return of its upstream.
    reserve: Duration,
}

/// The result of one round.
#[derive(Debug, Default)]
pub(crate) struct WaveRound {
    /// Upstreams that get no new work.
    pub(crate) draining: BTreeSet<UpstreamName>,
    pub(crate) stops: Vec<RunRef>,
    pub(crate) upkeeps: Vec<UpkeepOrder>,
}

impl WaveScheduler {
    pub(crate) const fn new(reserve: Duration) -> Self {
        Self { draining: BTreeMap::new(), reserve }
    }

    /// Chooses the hosts to drain or to take down, and the runs to stop on them.
    pub(crate) fn round(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
        speeds: &SpeedTracker,
        stopping: &BTreeMap<RunRef, Time>,
    ) -> WaveRound {
        let mut round = WaveRound::default();
        let mut draining = BTreeMap::new();
        for wave in ledger.waves().running() {
            for host in self.next_hosts(wave, ledger, fleet) {
                let since = self.draining.get(&host).copied().unwrap_or(now);
                draining.insert(host.clone(), since);
                let reserve = self.reserve;
                let drain = HostDrain { now, ledger, speeds, stopping, wave, since, reserve };
                drain.advance(&host, &upstreams_on(ledger, fleet, &host), &mut round);
            }
            // Until an answer shows that the upkeep has begun, the next attempt may take the host down.
            let ordered = wave.hosts.iter().filter(|(_, stage)| **stage == UpkeepStage::Ordered);
            let upstreams = ordered.flat_map(|(host, _)| upstreams_on(ledger, fleet, host));
            round.draining.extend(upstreams.cloned());
        }
        self.draining = draining;
        round
    }

    /// As many waiting hosts as may go down now. Hosts that are being drained keep their place;
    /// among the others those with the least work come first.
    fn next_hosts(
        &self,
        wave: &Wave,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
    ) -> Vec<HostName> {
        let down_max = usize::try_from(wave.spec.down_max).unwrap_or(usize::MAX);
        let slots = down_max.saturating_sub(wave.unavailable_count());
        let waiting = wave.hosts.iter().filter(|(_, stage)| **stage == UpkeepStage::Waiting);
        let mut waiting: Vec<&HostName> = waiting.map(|(host, _)| host).collect();
        waiting.sort_by_key(|host| {
            let upstreams = upstreams_on(ledger, fleet, host).into_iter();
            let used: u64 = upstreams.map(|name| ledger.occupancy().used(name).weight()).sum();
            (!self.draining.contains_key(*host), used)
        });
        waiting.into_iter().take(slots).cloned().collect()
    }
}

/// One host that a wave drains.
struct HostDrain<'a> {
    now: Time,
    ledger: &'a WorkflowLedger,
    speeds: &'a SpeedTracker,
    stopping: &'a BTreeMap<RunRef, Time>,
    wave: &'a Wave,
    since: Time,
    reserve: Duration,
}

impl HostDrain<'_> {
    /// Drains the upstreams on the host. There may be several: one that ended stays registered until that is known.
    fn advance(&self, host: &HostName, upstreams: &[&UpstreamName], round: &mut WaveRound) {
        let mut is_empty = true;
        for upstream in upstreams {
            round.draining.insert((*upstream).clone());
            for (task, open) in self.ledger.occupancy().runs(upstream) {
                is_empty = false;
                if self.may_stop(task, &round.stops) {
                    let (upstream, task) = ((*upstream).clone(), task.clone());
                    round.stops.push(RunRef { upstream, task, run: open.run });
                }
            }
        }
        if is_empty {
            round.upkeeps.push(UpkeepOrder { wave: self.wave.spec.number, host: host.clone() });
        }
    }

    /// Whether a run on the host may be stopped now; `chosen` are the stops of this round.
    fn may_stop(&self, task: &TaskId, chosen: &[RunRef]) -> bool {
        let Some(spec) = self.ledger.step_spec(&task.step) else { return true };
        if spec.long_running {
            let is_stopping =
                |run: &RunRef| self.stopping.contains_key(run) || chosen.contains(run);
            return may_disrupt(self.ledger, self.speeds, is_stopping, task);
        }
        spec.checkpointable || self.now >= self.since.after(self.drain_grace())
    }

    /// How long runs that cannot save their progress may continue: the host's share of the wave's
    /// time, less the reserve.
    fn drain_grace(&self) -> Duration {
        let hosts = u64::try_from(self.wave.hosts.len()).unwrap_or(u64::MAX);
        let batches = hosts.div_ceil(u64::from(self.wave.spec.down_max).max(1)).max(1);
        Duration::from_millis(self.wave.spec.deadline_ms / batches).saturating_sub(self.reserve)
    }
}

/// The upstreams on a host, by their own registrations or else by the platform's list.
pub(crate) fn upstreams_on<'a>(
    ledger: &'a WorkflowLedger,
    fleet: &FleetObservations,
    host: &HostName,
) -> Vec<&'a UpstreamName> {
    let registered = ledger.upstreams().values().filter(|u| u.host.as_ref() == Some(host));
    let registered: Vec<_> = registered.map(|report| &report.name).collect();
    if !registered.is_empty() {
        return registered;
    }
    let listed = fleet.hosts.get(host).and_then(|report| report.upstream.as_ref());
    let listed = listed.and_then(|name| ledger.upstreams().get_key_value(name));
    listed.map(|(name, _)| name).into_iter().collect()
}
