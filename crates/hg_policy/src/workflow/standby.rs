//! When hosts move between a pool and the standby pool, in which they are switched off.
//!
//! Handles a load that temporarily exceeds a pool: hosts are borrowed when work has waited for
//! capacity, and are returned when they have been idle.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{HostName, HostState, PoolName, Time, UpstreamName};

use super::FleetObservations;
use super::ready_steps::ReadyStep;
use super::wave_scheduler::upstreams_on;

/// How long work waits for capacity before a host is borrowed: a move takes about as long.
const BORROW_AFTER: Duration = Duration::from_millis(1_500);
/// How long a borrowed host is idle before it is returned; moving it twice costs as much.
const RETURN_AFTER: Duration = Duration::from_secs(20);
/// The most hosts that change their pool in one round.
const MOVES_MAX: usize = 4;

/// A host that is to change its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostMove {
    /// The host.
    pub host: HostName,
    /// The pool that it joins.
    pub pool: PoolName,
}

/// The borrowed hosts, and since when they are idle.
#[derive(Debug, Default)]
pub(crate) struct StandbyHosts {
    borrowed: BTreeMap<HostName, BorrowedHost>,
}

#[derive(Debug)]
struct BorrowedHost {
    from: PoolName,
    idle_since: Option<Time>,
}

impl StandbyHosts {
    /// Chooses hosts to move. `unplaced` are steps that found no capacity in this round, `starting`
    /// are upstreams on which something is about to start.
    pub(crate) fn round(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
        unplaced: &[&ReadyStep<'_>],
        starting: &BTreeSet<UpstreamName>,
    ) -> Vec<HostMove> {
        let mut moves = self.borrow(now, ledger, fleet, unplaced);
        if moves.is_empty() {
            moves = self.return_idle(now, ledger, fleet, starting);
        }
        moves
    }

    fn borrow(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
        unplaced: &[&ReadyStep<'_>],
    ) -> Vec<HostMove> {
        let mut moves: Vec<HostMove> = Vec::new();
        for (pool, wanted) in shortages(now, ledger, unplaced) {
            let is_arriving =
                |h: &&hg_model::HostReport| h.pool == pool && h.state == HostState::Moving;
            let arriving = fleet.hosts.values().filter(is_arriving).count();
            let on_standby = fleet.hosts.values().filter(|host| {
                let upstreams = upstreams_on(ledger, fleet, &host.name);
                if upstreams.iter().any(|upstream| ledger.is_drained(upstream)) {
                    return false;
                }
                let is_standby = ledger.catalog().and_then(|c| c.pool(&host.pool));
                is_standby.is_some_and(|pool| pool.standby) && host.state != HostState::Moving
            });
            let moves_left = MOVES_MAX.saturating_sub(moves.len());
            for host in on_standby.take(wanted.saturating_sub(arriving).min(moves_left)) {
                if moves.iter().any(|known| known.host == host.name) {
                    continue;
                }
                let from = host.pool.clone();
                self.borrowed.insert(host.name.clone(), BorrowedHost { from, idle_since: None });
                moves.push(HostMove { host: host.name.clone(), pool: pool.clone() });
            }
        }
        moves
    }

    fn return_idle(
        &mut self,
        now: Time,
        ledger: &WorkflowLedger,
        fleet: &FleetObservations,
        starting: &BTreeSet<UpstreamName>,
    ) -> Vec<HostMove> {
        let mut moves = Vec::new();
        for (host, borrowed) in &mut self.borrowed {
            let upstreams = upstreams_on(ledger, fleet, host);
            let is_idle = |name: &&UpstreamName| {
                !starting.contains(*name) && ledger.occupancy().runs(name).next().is_none()
            };
            let is_idle = !upstreams.is_empty() && upstreams.iter().all(is_idle);
            borrowed.idle_since = is_idle.then(|| borrowed.idle_since.unwrap_or(now));
            let since = borrowed.idle_since;
            if since.is_some_and(|at| now >= at.after(RETURN_AFTER)) && moves.len() < MOVES_MAX {
                moves.push(HostMove { host: host.clone(), pool: borrowed.from.clone() });
            }
        }
        for returned in &moves {
            self.borrowed.remove(&returned.host);
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
    for step in unplaced.iter().filter(|step| now >= step.due.after(BORROW_AFTER)) {
        let tasks = u64::try_from(step.waiting.len()).unwrap_or(u64::MAX);
        let weight = tasks.saturating_mul(step.spec.claim().weight());
        *weights.entry(step.pool.clone()).or_default() += weight;
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
