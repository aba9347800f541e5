//! Upstreams that are kept free for urgent work to come.
//!
//! Answers the load in which urgent work comes in waves on top of a full pool: where room has to be cleared
//! first, urgent work starts late and other work is thrown away. What urgent work used at its last peak and
//! does not use now is kept free, in whole upstreams, so that its gangs find room at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{PoolName, Time, UpstreamName};

use super::room_map::RoomMap;

/// Peaks older than this do not count: waves of callers come within seconds of each other.
const MEMORY: Duration = Duration::from_secs(10);
/// Usage is noted this often; the highest of each span counts.
const SPAN: Duration = Duration::from_secs(1);
/// At most this share of a pool is kept free, in percent: the rest must go on whatever comes.
const SHARE_MAX_PERCENT: u64 = 15;

/// How much urgent work each pool ran of late, in thousandths of a core.
#[derive(Debug, Default)]
pub(crate) struct Headroom {
    spans: VecDeque<(Time, BTreeMap<PoolName, u64>)>,
}

impl Headroom {
    /// Marks the upstreams that only urgent work may use in this round.
    pub(crate) fn reserve(&mut self, now: Time, ledger: &WorkflowLedger, room: &mut RoomMap<'_>) {
        let used = urgent_use(ledger);
        self.note(now, &used);
        for (pool, peak) in self.peaks() {
            let wanted = peak.saturating_sub(used.get(&pool).copied().unwrap_or(0));
            mark(&pool, wanted, room);
        }
    }

    fn note(&mut self, now: Time, used: &BTreeMap<PoolName, u64>) {
        while self.spans.front().is_some_and(|(at, _)| now >= at.after(MEMORY)) {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|(at, _)| now >= at.after(SPAN)) {
            self.spans.push_back((now, BTreeMap::new()));
        }
        let Some((_, span)) = self.spans.back_mut() else { return };
        for (pool, weight) in used {
            let highest = span.entry(pool.clone()).or_default();
            *highest = (*highest).max(*weight);
        }
    }

    fn peaks(&self) -> BTreeMap<PoolName, u64> {
        let mut peaks = BTreeMap::new();
        for (pool, weight) in self.spans.iter().flat_map(|(_, span)| span) {
            let peak = peaks.entry(pool.clone()).or_default();
            *peak = (*weight).max(*peak);
        }
        peaks
    }
}

fn urgent_use(ledger: &WorkflowLedger) -> BTreeMap<PoolName, u64> {
    let mut used = BTreeMap::new();
    for (name, report) in ledger.upstreams() {
        for (task, open) in ledger.occupancy().runs(name) {
            let is_urgent = ledger.job(&task.step.job).is_some_and(|job| job.terms.priority == 0);
            if is_urgent {
                *used.entry(report.pool.clone()).or_default() += open.claim.weight();
            }
        }
    }
    used
}

/// Marks the emptiest upstreams of a pool until they have the room that is wanted.
fn mark(pool: &PoolName, wanted: u64, room: &mut RoomMap<'_>) {
    let mut total = 0;
    let mut seats: Vec<(Reverse<u64>, UpstreamName)> = Vec::new();
    for (name, seat) in room.seats.iter().filter(|(_, seat)| seat.report.pool == *pool) {
        total += seat.report.capacity.weight();
        seats.push((Reverse(seat.open().weight()), (*name).clone()));
    }
    seats.sort();
    let limit = total * SHARE_MAX_PERCENT / 100;
    let mut kept = 0;
    for (Reverse(open), name) in seats {
        if kept >= wanted || kept + open > limit {
            return;
        }
        kept += open;
        if let Some(seat) = room.seats.get_mut(&name) {
            seat.reserved = true;
        }
    }
}
