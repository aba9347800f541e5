//! Which hosts go down for upkeep next, and what has to leave them first.
//!
//! Answers the load of maintenance waves over a busy pool: a host goes down only when nothing runs on it, so
//! no work is thrown away. The next hosts get no new work; what saves its progress is stopped at once, the
//! rest may end while the wave's deadline allows, and lasting tasks go as their limits allow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{RunRef, UpkeepStage, Wave, WorkflowLedger};
use hg_model::{HostName, TaskId, Time, UpstreamName, WaveNumber};

use super::FleetObservations;
use super::availability::may_take_away;
use super::speed::SpeedBook;

/// Left of a host's turn for the stops, the upkeep itself and the return of its upstream.
const UPKEEP_MS: u64 = 4_000;

/// An upkeep that may begin: nothing runs on the host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpkeepOrder {
    /// The wave.
    pub wave: WaveNumber,
    /// The host.
    pub host: HostName,
}

/// The hosts whose turn has come, and since when.
#[derive(Debug, Default)]
pub(crate) struct WaveBook {
    clearing: BTreeMap<HostName, Time>,
}

/// What one round comes to.
#[derive(Debug, Default)]
pub(crate) struct WaveRound {
    /// Upstreams that get no new work.
    pub(crate) clearing: BTreeSet<UpstreamName>,
    pub(crate) stops: Vec<RunRef>,
    pub(crate) upkeeps: Vec<UpkeepOrder>,
}

impl WaveBook {
    /// Chooses the hosts whose turn it is, and what happens on them.
    pub(crate) fn round(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
        speeds: &SpeedBook,
        stopping: &BTreeMap<RunRef, Time>,
    ) -> WaveRound {
        let mut round = WaveRound::default();
        let mut due = BTreeMap::new();
        for wave in ledger.waves().running() {
            for host in self.next_hosts(wave, ledger, fleet) {
                let since = self.clearing.get(&host).copied().unwrap_or(now);
                due.insert(host.clone(), since);
                let turn = Turn { now, ledger, speeds, stopping, wave, since };
                turn.take(&host, upstream_on(ledger, fleet, &host), &mut round);
            }
        }
        self.clearing = due;
        round
    }

    /// As many waiting hosts as may go down now; those that are being cleared keep their turn.
    fn next_hosts(
        &self,
        wave: &Wave,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
    ) -> Vec<HostName> {
        let down_max = usize::try_from(wave.spec.down_max).unwrap_or(usize::MAX);
        let slots = down_max.saturating_sub(wave.down());
        let waiting = wave.hosts.iter().filter(|(_, stage)| **stage == UpkeepStage::Waiting);
        let mut waiting: Vec<&HostName> = waiting.map(|(host, _)| host).collect();
        waiting.sort_by_key(|host| {
            let upstream = upstream_on(ledger, fleet, host);
            let used = upstream.map_or(0, |name| ledger.occupancy().used(name).weight());
            (!self.clearing.contains_key(*host), used)
        });
        waiting.into_iter().take(slots).cloned().collect()
    }
}

/// One host's turn in a wave.
struct Turn<'a> {
    now: Time,
    ledger: &'a WorkflowLedger,
    speeds: &'a SpeedBook,
    stopping: &'a BTreeMap<RunRef, Time>,
    wave: &'a Wave,
    since: Time,
}

impl Turn<'_> {
    fn take(&self, host: &HostName, upstream: Option<&UpstreamName>, round: &mut WaveRound) {
        let Some(upstream) = upstream else {
            round.upkeeps.push(UpkeepOrder { wave: self.wave.spec.number, host: host.clone() });
            return;
        };
        round.clearing.insert(upstream.clone());
        let mut is_empty = true;
        for (task, open) in self.ledger.occupancy().runs(upstream) {
            is_empty = false;
            if self.may_stop(task, &round.stops) {
                let (upstream, task) = (upstream.clone(), task.clone());
                round.stops.push(RunRef { upstream, task, run: open.run });
            }
        }
        if is_empty {
            round.upkeeps.push(UpkeepOrder { wave: self.wave.spec.number, host: host.clone() });
        }
    }

    /// `chosen` are stops of this round.
    fn may_stop(&self, task: &TaskId, chosen: &[RunRef]) -> bool {
        let Some(spec) = self.ledger.step_spec(&task.step) else { return true };
        if spec.long_running {
            let is_stopping =
                |run: &RunRef| self.stopping.contains_key(run) || chosen.contains(run);
            return may_take_away(self.ledger, self.speeds, is_stopping, task);
        }
        spec.checkpointable || self.now >= self.since.after(self.patience())
    }

    /// How long work that cannot save its progress may go on: its share of the wave's time.
    fn patience(&self) -> Duration {
        let hosts = u64::try_from(self.wave.hosts.len()).unwrap_or(u64::MAX);
        let turns = hosts.div_ceil(u64::from(self.wave.spec.down_max).max(1)).max(1);
        Duration::from_millis((self.wave.spec.deadline_ms / turns).saturating_sub(UPKEEP_MS))
    }
}

/// The upstream on a host, by its own word or else by the platform's list.
pub(crate) fn upstream_on<'a>(
    ledger: &'a WorkflowLedger,
    fleet: &FleetObservations,
    host: &HostName,
) -> Option<&'a UpstreamName> {
    let by_word = ledger.upstreams().values().find(|u| u.host.as_ref() == Some(host));
    if let Some(report) = by_word {
        return Some(&report.name);
    }
    let listed = fleet.hosts.get(host)?.upstream.as_ref()?;
    ledger.upstreams().get_key_value(listed).map(|(name, _)| name)
}
