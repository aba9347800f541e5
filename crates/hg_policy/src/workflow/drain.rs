//! Which runs leave a data centre that is drained.
//!
//! Handles a data centre that has to be empty within a bound: a run that ends in time is left alone, one that saves its
//! progress works until the last moment, and any other restarts elsewhere at once, since everything that it still does
//! here is lost. A gang is judged as a whole. Long-running tasks move only while enough others of their step are in service
//! and there is room elsewhere, which is kept for them meanwhile.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hg_ledger::{RunRef, WorkflowLedger};
use hg_model::{ResourceVector, StepId, StepSpec, Time, UpstreamName};

use super::FleetObservations;
use super::availability::may_disrupt;
use super::capacity_map::CapacityMap;
use super::queue_settings::QueueSettings;
use super::run_table::{RunRow, RunTable};
use super::speed_tracker::SpeedTracker;

/// A run that ends in time has to be listed and logged within the bound as well.
const END_MARGIN: Duration = Duration::from_millis(300);
/// How long room is kept for a long-running task whose stop was decided: a stop that is repeated, and the next round.
const ROOM_KEPT_FOR: Duration = Duration::from_millis(2_500);

/// Room that is kept for a long-running task that moves.
#[derive(Debug)]
struct KeptRoom {
    upstream: UpstreamName,
    claim: ResourceVector,
    until: Time,
}

/// The long-running tasks that move out of drained data centres.
#[derive(Debug, Default)]
pub(crate) struct DrainMoves {
    rooms: BTreeMap<RunRef, KeptRoom>,
}

/// What the drain of data centres depends on.
pub(crate) struct DrainContext<'a, 'b> {
    pub(crate) now: Time,
    pub(crate) ledger: &'a WorkflowLedger,
    pub(crate) queues: &'b QueueSettings<'a>,
    pub(crate) fleet: &'b FleetObservations,
    pub(crate) runs: &'b RunTable<'a>,
    pub(crate) speeds: &'b SpeedTracker,
    /// Runs that are being stopped already, with the time of that decision.
    pub(crate) stopping: &'b BTreeMap<RunRef, Time>,
    /// How long before the bound a run is stopped at the latest.
    pub(crate) lead_time: Duration,
}

/// What is known of the end of a run, or of the last member of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ExpectedEnd {
    /// At this time.
    At(Time),
    /// It has taken longer than estimated, and its progress is not known: it may end at any time.
    Overdue,
    /// There is neither an estimate nor progress.
    Unknown,
}

impl DrainContext<'_, '_> {
    /// When the drain of a row's data centre has to be over; `None` if it is not drained.
    fn bound(&self, row: &RunRow<'_>) -> Option<Time> {
        let report = self.ledger.upstreams().get(row.upstream)?;
        self.fleet.drained.get(&report.data_centre).copied()
    }

    fn expected_end(&self, row: &RunRow<'_>, spec: &StepSpec) -> ExpectedEnd {
        let estimate_ms = spec.estimate_ms;
        if let Some(left) = self.speeds.time_left_by_rate(row.task, row.open) {
            return ExpectedEnd::At(self.now.after(left));
        }
        let elapsed = self.now.since(row.open.since);
        let left = Duration::from_millis(estimate_ms).saturating_sub(elapsed);
        match estimate_ms {
            0 => ExpectedEnd::Unknown,
            _ if left.is_zero() => ExpectedEnd::Overdue,
            _ => ExpectedEnd::At(self.now.after(left)),
        }
    }

    /// Whether a run is to be stopped now, given the end of the bound and when it is expected to end by itself.
    fn must_stop(&self, spec: &StepSpec, bound: Time, end: ExpectedEnd) -> bool {
        let is_last_moment = self.now.after(self.lead_time) >= bound;
        match end {
            ExpectedEnd::At(end) if end.after(END_MARGIN) <= bound => false,
            ExpectedEnd::Overdue => is_last_moment,
            ExpectedEnd::At(_) | ExpectedEnd::Unknown => !spec.checkpointable || is_last_moment,
        }
    }

    /// The ends of all gangs with a member in a drained data centre, by step: a gang ends with its last member.
    fn gang_ends(&self) -> BTreeMap<&StepId, ExpectedEnd> {
        let rows = self.runs.rows().iter().filter(|row| row.is_gang());
        let drained = rows.clone().filter(|row| self.bound(row).is_some());
        let affected: BTreeSet<&StepId> = drained.map(|row| &row.task.step).collect();
        let mut ends: BTreeMap<&StepId, ExpectedEnd> = BTreeMap::new();
        for row in rows.filter(|row| affected.contains(&row.task.step)) {
            let Some((_, spec)) = row.work else { continue };
            let end = self.expected_end(row, spec);
            let last = ends.entry(&row.task.step).or_insert(end);
            *last = (*last).max(end);
        }
        ends
    }
}

impl DrainMoves {
    /// The runs that have to be stopped now, all of them in drained data centres.
    ///
    /// Of a gang these are its members there: the others end with them, and the gang restarts as a whole.
    pub(crate) fn stops(
        &mut self,
        cx: &DrainContext<'_, '_>,
        capacity: &mut CapacityMap<'_>,
    ) -> Vec<RunRef> {
        if cx.fleet.drained.is_empty() {
            self.rooms.clear();
            return Vec::new();
        }
        self.keep_rooms(cx, capacity);
        let gang_ends = cx.gang_ends();
        let mut stops = Vec::new();
        let mut chosen = BTreeSet::new();
        for row in cx.runs.rows() {
            let (Some(bound), Some((job, spec))) = (cx.bound(row), row.work) else { continue };
            let run = row.run_ref();
            if !job.is_active() || cx.stopping.contains_key(&run) {
                continue;
            }
            let is_due = if spec.long_running && spec.gang {
                has_room_for_gang(cx.queues, row, spec, capacity)
            } else if spec.long_running {
                self.may_move(cx, row, spec, &chosen, capacity)
            } else {
                let gang_end = gang_ends.get(&row.task.step).copied().filter(|_| spec.gang);
                let end = gang_end.unwrap_or_else(|| cx.expected_end(row, spec));
                cx.must_stop(spec, bound, end)
            };
            if is_due {
                chosen.insert(run.clone());
                stops.push(run);
            }
        }
        stops
    }

    /// Holds the room of tasks that are being stopped, so that no other work takes it. It is free for them once they
    /// have stopped.
    fn keep_rooms(&mut self, cx: &DrainContext<'_, '_>, capacity: &mut CapacityMap<'_>) {
        self.rooms.retain(|run, room| {
            let open = cx.ledger.occupancy().get(&run.upstream, &run.task);
            cx.now < room.until && open.is_some_and(|open| open.run == run.run)
        });
        for room in self.rooms.values() {
            capacity.hold(&room.upstream, &room.claim);
        }
    }

    /// Whether a long-running task may be stopped now; keeps the room for it elsewhere if so.
    fn may_move(
        &mut self,
        cx: &DrainContext<'_, '_>,
        row: &RunRow<'_>,
        spec: &StepSpec,
        chosen: &BTreeSet<RunRef>,
        capacity: &mut CapacityMap<'_>,
    ) -> bool {
        let is_stopping = |run: &RunRef| cx.stopping.contains_key(run) || chosen.contains(run);
        if !may_disrupt(cx.ledger, cx.speeds, is_stopping, row.task) {
            return false;
        }
        let Some((job, _)) = row.work else { return false };
        let claim = spec.claim();
        let able = capacity.able(cx.queues.pool(job), spec).into_iter();
        let mut free = able.map(|position| capacity.at(position));
        let is_urgent = job.terms.priority == 0;
        let room = free.find(|candidate| {
            let is_kept_for_others = candidate.urgent_only && !is_urgent;
            !candidate.is_cold && !is_kept_for_others && claim.fits(&candidate.available())
        });
        let Some(upstream) = room.map(|candidate| candidate.report.name.clone()) else {
            return false;
        };
        capacity.hold(&upstream, &claim);
        let until = cx.now.after(ROOM_KEPT_FOR);
        self.rooms.insert(row.run_ref(), KeptRoom { upstream, claim, until });
        true
    }
}

/// Whether all members of a long-running gang fit elsewhere together. What its members elsewhere use counts as taken.
fn has_room_for_gang<'a>(
    queues: &QueueSettings<'a>,
    row: &RunRow<'a>,
    spec: &StepSpec,
    capacity: &CapacityMap<'_>,
) -> bool {
    let Some((job, _)) = row.work else { return false };
    let per_upstream_max = spec.per_upstream_max.unwrap_or(u32::MAX).min(spec.tasks);
    let able = capacity.able(queues.pool(job), spec).into_iter();
    let usable = able.map(|position| capacity.at(position)).filter(|candidate| {
        !candidate.is_cold && (!candidate.urgent_only || job.terms.priority == 0)
    });
    let members =
        usable.map(|c| u64::from(c.available().count_of(&spec.claim(), per_upstream_max)));
    members.sum::<u64>() >= u64::from(spec.tasks)
}
