//! When hosts move between a pool and the pool in which they stand by, switched off.
//!
//! Answers the load that outgrows a pool for a while: hosts come when work has waited for room, and go back
//! when they have stood idle.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{HostName, HostState, PoolName, Time, UpstreamName};

use super::FleetObservations;
use super::ready::ReadyStep;
use super::waves::upstream_on;

/// How long work waits for room before a host is fetched: a move takes about as long.
const FETCH_AFTER: Duration = Duration::from_millis(1_500);
/// How long a fetched host stands idle before it goes back; moving it twice costs as much.
const RETURN_AFTER: Duration = Duration::from_secs(20);
/// Most hosts that change their pool in one round.
const MOVES_MAX: usize = 4;

/// A host that is to change its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostMove {
    /// The host.
    pub host: HostName,
    /// Where it goes.
    pub pool: PoolName,
}

/// Which hosts were fetched, and since when they stand idle.
#[derive(Debug, Default)]
pub(crate) struct StandbyBook {
    fetched: BTreeMap<HostName, Fetched>,
}

#[derive(Debug)]
struct Fetched {
    from: PoolName,
    idle_since: Option<Time>,
}

impl StandbyBook {
    /// Chooses hosts to move; `unplaced` are steps for which there was no room in this round, `busy` are
    /// upstreams on which something is about to start.
    pub(crate) fn round(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
        unplaced: &[&ReadyStep<'_>],
        busy: &BTreeSet<UpstreamName>,
    ) -> Vec<HostMove> {
        let mut moves = self.fetch(now, ledger, fleet, unplaced);
        if moves.is_empty() {
            moves = self.give_back(now, ledger, fleet, busy);
        }
        moves
    }

    fn fetch(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
        unplaced: &[&ReadyStep<'_>],
    ) -> Vec<HostMove> {
        let mut moves: Vec<HostMove> = Vec::new();
        for (pool, wanted) in shortages(now, ledger, unplaced) {
            let is_coming =
                |h: &&hg_model::HostReport| h.pool == pool && h.state == HostState::Moving;
            let coming = fleet.hosts.values().filter(is_coming).count();
            let standing_by = fleet.hosts.values().filter(|host| {
                let is_standby = ledger.catalog().and_then(|c| c.pool(&host.pool));
                is_standby.is_some_and(|pool| pool.standby) && host.state != HostState::Moving
            });
            let room = MOVES_MAX.saturating_sub(moves.len());
            for host in standing_by.take(wanted.saturating_sub(coming).min(room)) {
                if moves.iter().any(|known| known.host == host.name) {
                    continue;
                }
                let from = host.pool.clone();
                self.fetched.insert(host.name.clone(), Fetched { from, idle_since: None });
                moves.push(HostMove { host: host.name.clone(), pool: pool.clone() });
            }
        }
        moves
    }

    fn give_back(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
        busy: &BTreeSet<UpstreamName>,
    ) -> Vec<HostMove> {
        let mut moves = Vec::new();
        for (host, fetched) in &mut self.fetched {
            let upstream = upstream_on(ledger, fleet, host);
            let is_idle = upstream.is_some_and(|name| {
                !busy.contains(name) && ledger.occupancy().runs(name).next().is_none()
            });
            fetched.idle_since = is_idle.then(|| fetched.idle_since.unwrap_or(now));
            let since = fetched.idle_since;
            if since.is_some_and(|at| now >= at.after(RETURN_AFTER)) && moves.len() < MOVES_MAX {
                moves.push(HostMove { host: host.clone(), pool: fetched.from.clone() });
            }
        }
        for gone in &moves {
            self.fetched.remove(&gone.host);
        }
        moves
    }
}

/// How many more hosts each pool could use.
fn shortages(
    now: Time,
    ledger: &WorkflowLedger,
    unplaced: &[&ReadyStep<'_>],
) -> BTreeMap<PoolName, usize> {
    let mut weights: BTreeMap<PoolName, u64> = BTreeMap::new();
    for step in unplaced.iter().filter(|step| now >= step.due.after(FETCH_AFTER)) {
        let tasks = u64::try_from(step.waiting.len()).unwrap_or(u64::MAX);
        let weight = tasks.saturating_mul(step.spec.claim().weight());
        *weights.entry(step.job.terms.pool.clone()).or_default() += weight;
    }
    let per_host = |pool: &PoolName| {
        let hosts = ledger.upstreams().values().filter(|u| u.pool == *pool);
        hosts.map(|u| u.capacity.weight()).max().unwrap_or(1).max(1)
    };
    let hosts = weights.into_iter().map(|(pool, weight)| {
        let count = weight.div_ceil(per_host(&pool));
        (pool, usize::try_from(count).unwrap_or(usize::MAX))
    });
    hosts.collect()
}
