//! The invariants of the decisions, recomputed from scratch after every round of decisions.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::Ledger;
use hg_model::{AnswerKind, JobId, JobState, NotRunReason, UpstreamName};
use hg_policy::{AllocationKind, Capacity, RackId, Scheduler, UpstreamRecord};

/// What happened on the simulated upstreams and what callers were told.
#[derive(Debug, Default)]
pub struct Observations {
    /// How often each job was started.
    pub starts: BTreeMap<JobId, u32>,
    /// The final answers that callers saw.
    pub answers: BTreeMap<JobId, Vec<AnswerKind>>,
    /// All jobs that were accepted.
    pub accepted: BTreeSet<JobId>,
    /// Jobs that must not be started twice.
    pub at_most_once: BTreeSet<JobId>,
}

/// Checks all invariants.
pub fn check(ledger: &Ledger, scheduler: &Scheduler, observed: &Observations) {
    capacity_is_kept(ledger, scheduler);
    gangs_are_whole(ledger);
    guarantees_are_reclaimable(scheduler);
    answers_are_final(ledger, observed);
}

/// No accelerator, processor, byte or slot is allocated twice.
fn capacity_is_kept(ledger: &Ledger, scheduler: &Scheduler) {
    let mut used: BTreeMap<&UpstreamName, Capacity> = BTreeMap::new();
    for job in ledger.jobs() {
        let Some(attempt) = job.state.attempt() else { continue };
        for member in &attempt.members {
            let sum = used.entry(&member.upstream).or_default();
            *sum = sum.plus(&Capacity::for_task(&job.spec.shape).times(member.tasks));
        }
    }
    for (name, record) in scheduler.pool().upstreams() {
        let recomputed = used.remove(name).unwrap_or_default();
        assert_eq!(
            record.used, recomputed,
            "{name}: the scheduler's accounting differs from the ledger"
        );
        if record.spec.is_some() {
            assert!(
                recomputed.fits(&record.capacity()),
                "{name}: {recomputed} is allocated, more than its capacity"
            );
        }
    }
    assert!(used.is_empty(), "leases on upstreams unknown to the scheduler: {used:?}");
}

/// An attempt covers all tasks of its job, and no member of a running attempt is without tasks.
fn gangs_are_whole(ledger: &Ledger) {
    for job in ledger.jobs() {
        let Some(attempt) = job.state.attempt() else { continue };
        let tasks: u32 = attempt.members.iter().map(|m| m.tasks).sum();
        assert_eq!(
            tasks, job.spec.shape.tasks,
            "{}: the attempt does not cover all tasks of its job",
            job.spec.id
        );
        if let JobState::Running(_) = &job.state {
            assert!(
                attempt.members.iter().all(|m| m.tasks > 0),
                "{}: a member without tasks",
                job.spec.id
            );
        }
    }
}

/// Every guaranteed part that is placed can be freed by stopping only work that may be stopped.
///
/// Takes the places of the parts from the scheduler, and adds up on each upstream the guaranteed
/// parts and the work outside them that cannot be stopped: the sum must fit its capacity. An
/// unplaced part must be reported as a shortage.
fn guarantees_are_reclaimable(scheduler: &Scheduler) {
    let mut needed: BTreeMap<&UpstreamName, Capacity> = BTreeMap::new();
    for (id, state) in scheduler.marks().iter() {
        let Some(name) = &state.upstream else {
            assert!(
                scheduler.shortages().iter().any(|s| s.account == id.account),
                "{id} is unplaced, but no shortage is reported",
            );
            continue;
        };
        let claimed: Capacity =
            state.claims.values().fold(Capacity::default(), |sum, capacity| sum.plus(capacity));
        assert_eq!(claimed, state.claimed, "{id}: the sum of the claims differs");
        assert!(claimed.fits(&state.capacity), "{id}: more is claimed than guaranteed");
        let sum = needed.entry(name).or_default();
        *sum = sum.plus(&state.capacity);
    }
    for (job, allocation) in scheduler.allocations() {
        for member in &allocation.members {
            match &member.kind {
                AllocationKind::Borrowed => {
                    assert!(allocation.stoppable, "{job} borrows but cannot be stopped")
                }
                AllocationKind::Claimed(mark) => {
                    let state = scheduler.marks().get(mark).expect("a claimed part exists");
                    assert_eq!(state.upstream.as_ref(), Some(&member.upstream));
                    assert_eq!(
                        mark.account, allocation.account,
                        "{job} claims a guarantee of another account"
                    );
                }
                AllocationKind::NonPreemptible => {
                    let sum = needed.entry(&member.upstream).or_default();
                    *sum = sum.plus(&member.capacity);
                }
            }
        }
    }
    for (name, needed) in needed {
        let record =
            scheduler.pool().upstream(name).expect("parts and work are on known upstreams");
        if record.spec.is_some() {
            let capacity = record.capacity();
            assert!(needed.fits(&capacity), "{name}: {needed} cannot be reclaimed from {capacity}");
        }
    }
    adjacent_blocks_share_a_rack(scheduler);
}

fn adjacent_blocks_share_a_rack(scheduler: &Scheduler) {
    let mut racks: BTreeMap<(String, u16), BTreeSet<RackId>> = BTreeMap::new();
    for (id, state) in scheduler.marks().iter() {
        let spec =
            state.upstream.as_ref().and_then(|n| scheduler.pool().upstream(n)?.spec.as_ref());
        if let (true, Some(spec)) = (state.block.adjacent, spec) {
            racks.entry((id.account.to_string(), id.block)).or_default().insert(RackId::of(spec));
        }
    }
    for ((account, block), racks) in racks {
        assert!(racks.len() == 1, "{account}/{block} is spread over {racks:?}");
    }
}

/// Every accepted job is in the ledger, ends with one answer at most, and its answer is true.
fn answers_are_final(ledger: &Ledger, observed: &Observations) {
    for job in &observed.at_most_once {
        let starts = observed.starts.get(job).copied().unwrap_or(0);
        assert!(starts <= 1, "{job} was started {starts} times");
    }
    for (job, kinds) in &observed.answers {
        assert_eq!(kinds.len(), 1, "{job} has several final answers: {kinds:?}");
        if kinds[0] == AnswerKind::NotRun {
            assert!(
                !observed.starts.contains_key(job),
                "{job} was answered as not run, but was started"
            );
        }
    }
    for job in &observed.accepted {
        let known = ledger.job(job).is_some() || ledger.ended_job(job).is_some();
        assert!(known, "{job} was accepted but is not in the ledger");
        let answered = observed.answers.contains_key(job);
        assert_eq!(
            answered,
            ledger.ended_job(job).is_some(),
            "{job}: answered to the caller, but not recorded as ended, or the reverse"
        );
    }
}

/// Whether an upstream may get new work.
pub fn may_get_new_work(record: &UpstreamRecord, on_probation: bool) -> bool {
    let open = record.reachable
        && !record.leaving
        && !record.drained
        && !record.suspect
        && record.spec.is_some();
    open && (!record.quarantined || on_probation)
}

/// Whether the scheduler may give up a job for this reason. A job of a known account with its body
/// available must never be given up as unknown or without a body.
pub fn is_plausible(reason: &NotRunReason) -> bool {
    !matches!(reason, NotRunReason::UnknownAccount | NotRunReason::BodyLost)
}
