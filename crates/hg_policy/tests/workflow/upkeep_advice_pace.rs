//! Upkeep of hosts, advice tickets, the pace of best-effort runs, and standby hosts.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::harness::{Harness, host, run_of, upstream};
use hg_ledger::{RunRef, UpkeepStage, WorkflowCommand};
use hg_model::{
    AdviceTiming, Catalog, ClockReading, EndKind, HostReport, HostState, Incarnation,
    LatencyTarget, ListedRun, PoolName, PoolSpec, ResourceVector, RunListing, StepSpec, Time,
    WaveNumber, WaveSpec, WaveState,
};
use hg_policy::{PaceChange, UpkeepOrder, WorkflowDecisions};

const ONE_ACCELERATOR: ResourceVector = ResourceVector::new(1, 2_800, 8_200);
const WHOLE_UPSTREAM: ResourceVector = ResourceVector::new(8, 8_000, 16_384);
const WAVE: WaveNumber = WaveNumber(1);

fn short_step(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 2_000, ..StepSpec::new(tasks, WHOLE_UPSTREAM) }
}

fn long_running_step(tasks: u32, max_unavailable: u32) -> StepSpec {
    StepSpec { long_running: true, max_unavailable, ..StepSpec::new(tasks, WHOLE_UPSTREAM) }
}

fn start_wave(harness: &mut Harness, hosts: u32, down_max: u32) {
    let hosts: BTreeSet<_> = (0..hosts).map(host).collect();
    let spec = WaveSpec { number: WAVE, hosts, deadline_ms: 40_000, down_max };
    assert_eq!(spec.check(), Ok(()));
    let at = harness.now;
    harness.apply(WorkflowCommand::StartWave { spec, at });
}

fn set_stage(harness: &mut Harness, number: u32, stage: UpkeepStage) {
    harness.apply(WorkflowCommand::Upkeep { wave: WAVE, host: host(number), stage });
}

fn upkeep_orders(decisions: &WorkflowDecisions) -> Vec<UpkeepOrder> {
    decisions.upkeeps.clone()
}

/// Reports the progress of runs to the scheduler.
pub fn report_progress(
    harness: &mut Harness,
    runs: &[RunRef],
    percent: u32,
    gauge: Option<u64>,
) -> Vec<PaceChange> {
    let mut changes = Vec::new();
    let upstreams: BTreeSet<_> = runs.iter().map(|run| run.upstream.clone()).collect();
    for at in upstreams {
        let here = runs.iter().filter(|run| run.upstream == at);
        let listed = here.map(|run| ListedRun {
            task: run.task.clone(),
            run: run.run,
            checkpoint: None,
            percent,
            gauge,
        });
        let listing = RunListing {
            incarnation: Incarnation(1),
            clock: ClockReading(harness.now.0),
            running: listed.collect(),
            ended: Vec::new(),
            has_more_ends: false,
        };
        changes.extend(harness.scheduler.record_listing(
            harness.now,
            &harness.ledger,
            &at,
            &listing,
        ));
    }
    changes
}

#[test]
fn wave_takes_no_more_hosts_down_than_its_limit() {
    let mut harness = Harness::new(1, 4);
    start_wave(&mut harness, 4, 1);
    let first = upkeep_orders(&harness.round(10));
    assert_eq!(first.len(), 1);
    set_stage(&mut harness, 0, UpkeepStage::Ordered);
    assert!(upkeep_orders(&harness.round(10)).is_empty(), "the host with an order may be down");
    set_stage(&mut harness, 0, UpkeepStage::Begun);
    assert!(upkeep_orders(&harness.round(10)).is_empty(), "the host is down");
    set_stage(&mut harness, 0, UpkeepStage::Done);
    assert_eq!(upkeep_orders(&harness.round(10)).len(), 1);
    for number in 1..4 {
        set_stage(&mut harness, number, UpkeepStage::Done);
    }
    assert!(upkeep_orders(&harness.round(10)).is_empty());
    let wave = harness.ledger.waves().get(WAVE).expect("the ledger keeps the wave");
    assert_eq!(wave.state(), WaveState::Completed);
}

#[test]
fn upkeep_order_that_was_not_carried_out_is_repeated() {
    let mut harness = Harness::new(1, 1);
    start_wave(&mut harness, 1, 1);
    set_stage(&mut harness, 0, UpkeepStage::Ordered);
    set_stage(&mut harness, 0, UpkeepStage::Waiting);
    assert_eq!(upkeep_orders(&harness.round(10)).len(), 1);
    set_stage(&mut harness, 0, UpkeepStage::Begun);
    set_stage(&mut harness, 0, UpkeepStage::Waiting);
    assert!(
        upkeep_orders(&harness.round(10)).is_empty(),
        "an upkeep that has begun never returns to waiting"
    );
}

/// Guards against work on a host that the next attempt of an unanswered order takes down.
#[test]
fn host_whose_upkeep_is_ordered_gets_no_new_work_until_it_has_begun() {
    let mut harness = Harness::new(1, 1);
    start_wave(&mut harness, 1, 1);
    set_stage(&mut harness, 0, UpkeepStage::Ordered);
    harness.submit("sweep", 2, vec![short_step(1)]);
    assert!(harness.round(10).starts.is_empty());
    set_stage(&mut harness, 0, UpkeepStage::Begun);
    assert_eq!(harness.round(10).starts.len(), 1, "on the next upstream");
}

/// Guards against an upstream that is not used since the answer to the move which brought it was lost.
#[test]
fn upstream_in_the_new_pool_of_a_moving_host_gets_work() {
    let mut harness = Harness::new(1, 2);
    let to = |name: &str| PoolName::new(name).expect("a valid name");
    harness.fleet.moving = [(host(0), to("pool")), (host(1), to("reserve"))].into();
    harness.submit("sweep", 2, vec![short_step(2)]);
    let starts = harness.round(10).starts;
    assert_eq!(starts.iter().map(|start| &start.upstream).collect::<Vec<_>>(), [&upstream(0)]);
}

/// Guards against an upkeep that ends work: an upstream that has ended stays registered until that is known, and the idle one
/// is not the only one on the host.
#[test]
fn host_with_two_registered_upstreams_goes_down_when_both_are_idle() {
    let mut harness = Harness::new(1, 1);
    harness.register_on(1, 0);
    harness.fleet.excluded.insert(upstream(0));
    harness.submit("sweep", 2, vec![short_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    assert_eq!(run.upstream, upstream(1));
    start_wave(&mut harness, 1, 1);
    assert!(upkeep_orders(&harness.round(10)).is_empty(), "a run is there");
    harness.submit("next", 2, vec![StepSpec::new(1, ONE_ACCELERATOR)]);
    assert!(harness.round(10).starts.is_empty(), "both get no new work");
    harness.end(&run, EndKind::Done);
    assert_eq!(upkeep_orders(&harness.round(10)).len(), 1);
}

/// Guards against the return of a borrowed host on which work runs, beside an upstream that has ended and is still registered.
#[test]
fn borrowed_host_with_two_registered_upstreams_is_not_returned_while_one_has_work() {
    let mut harness = with_standby_host();
    harness.submit("sweep", 2, vec![short_step(2)]);
    harness.round(0);
    assert_eq!(harness.round(2_000).moves.len(), 1);
    harness.fleet.hosts.clear();
    harness.register(7);
    harness.fleet.excluded.insert(upstream(7));
    harness.register_on(8, 7);
    assert_eq!(run_of(&harness.round(10).starts[0]).upstream, upstream(8));
    assert!(harness.round(10).moves.is_empty());
    assert!(harness.round(60_000).moves.is_empty(), "a run is there");
}

#[test]
fn host_goes_down_when_its_work_has_ended_and_gets_no_new_work_meanwhile() {
    let mut harness = Harness::new(1, 1);
    harness.submit("sweep", 2, vec![short_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    start_wave(&mut harness, 1, 1);
    let round = harness.round(10);
    assert!(
        upkeep_orders(&round).is_empty() && round.stops.is_empty(),
        "the run may end within the host's share of the wave"
    );
    harness.submit("next", 2, vec![StepSpec::new(1, ONE_ACCELERATOR)]);
    assert!(harness.round(10).starts.is_empty());
    harness.end(&run, EndKind::Done);
    assert_eq!(upkeep_orders(&harness.round(10)).len(), 1);
}

#[test]
fn work_that_outlasts_its_hosts_share_of_the_wave_is_stopped() {
    let mut harness = Harness::new(1, 2);
    harness.submit("sweep", 2, vec![short_step(1)]);
    let run = run_of(&harness.round(0).starts[0]);
    start_wave(&mut harness, 2, 2);
    assert!(harness.round(10).stops.is_empty());
    let stops = harness.round(40_000).stops;
    assert_eq!(stops.into_iter().map(|stop| stop.run).collect::<Vec<_>>(), vec![run]);
}

#[test]
fn long_running_tasks_leave_hosts_one_at_a_time() {
    let mut harness = Harness::new(1, 4);
    harness.submit("shop", 0, vec![long_running_step(3, 1)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    report_progress(&mut harness, &runs, 100, Some(10));
    start_wave(&mut harness, 4, 4);
    let first = harness.round(10).stops;
    assert_eq!(first.len(), 1, "one task may be unavailable");
    assert!(harness.round(10).stops.is_empty(), "the first task is unavailable");
    harness.end(&first[0].run, EndKind::Stopped);
    assert!(harness.round(10).stops.is_empty(), "the first task is not in service again yet");
}

#[test]
fn long_running_tasks_without_a_limit_are_stopped_one_at_a_time() {
    let mut harness = Harness::new(1, 4);
    harness.submit("shop", 0, vec![long_running_step(3, 0)]);
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    report_progress(&mut harness, &runs, 100, Some(10));
    start_wave(&mut harness, 4, 4);
    assert_eq!(harness.round(10).stops.len(), 1);
}

const ADVICE: AdviceTiming = AdviceTiming { decide_ms: 100, each_ms: 10, valid_ms: 3_000 };

#[test]
fn step_starts_only_where_a_ticket_allows_it() {
    let mut harness = Harness::new(1, 4);
    harness.advice = Some(ADVICE);
    harness.submit("quote", 0, vec![short_step(1)]);
    let round = harness.round(0);
    assert!(round.starts.is_empty(), "there is no ticket yet");
    let request = round.advice_request.expect("a request");
    assert_eq!((request.upstreams.len(), request.expected_duration_ms), (4, 140));
    let until = Time(harness.now.0 + 3_000);
    let allowed = [(upstream(2), Arc::from("t-2"))];
    harness.scheduler.record_advice(&harness.ledger, &request, &allowed, until);
    let starts = harness.round(10).starts;
    assert_eq!(starts.iter().map(|s| s.upstream.clone()).collect::<Vec<_>>(), [upstream(2)]);
    let step = &starts[0].task.step;
    let tickets = harness.scheduler.tickets();
    assert_eq!(tickets.ticket(harness.now, step, &upstream(2)).as_deref(), Some("t-2"));
    assert_eq!(tickets.ticket(harness.now, step, &upstream(1)), None);
    assert_eq!(tickets.ticket(until, step, &upstream(2)), None, "the ticket has expired");
}

#[test]
fn upstream_that_is_not_allowed_is_not_asked_about_again() {
    let mut harness = Harness::new(1, 4);
    harness.advice = Some(ADVICE);
    harness.submit("quote", 0, vec![short_step(2)]);
    let request = harness.round(0).advice_request.expect("a request");
    let until = Time(harness.now.0 + 3_000);
    let allowed = [(upstream(2), Arc::from("t-2"))];
    harness.scheduler.record_advice(&harness.ledger, &request, &allowed, until);
    assert_eq!(harness.round(10).starts.len(), 1);
    assert_eq!(harness.round(10).advice_request, None, "the ticket is still valid");
    let again = harness.round(2_600).advice_request.expect("the ticket may be renewed");
    assert_eq!(again.upstreams, [upstream(2)]);
}

#[test]
fn refused_ticket_is_requested_again() {
    let mut harness = Harness::new(1, 1);
    harness.advice = Some(ADVICE);
    harness.submit("quote", 0, vec![short_step(1)]);
    let request = harness.round(0).advice_request.expect("a request");
    let until = Time(harness.now.0 + 3_000);
    let allowed = [(upstream(0), Arc::from("t-0"))];
    harness.scheduler.record_advice(&harness.ledger, &request, &allowed, until);
    let run = run_of(&harness.round(10).starts[0]);
    harness.scheduler.record_ticket_refused(&upstream(0));
    harness.end(&run, EndKind::Stopped);
    let round = harness.round(10);
    assert!(round.starts.is_empty());
    assert_eq!(round.advice_request.expect("a request").upstreams, [upstream(0)]);
}

/// A task that serves users beside a best-effort one, on the same upstream.
fn serving_beside_best_effort() -> (Harness, Vec<RunRef>, RunRef) {
    let mut harness = Harness::new(1, 1);
    let target = Some(LatencyTarget { tail_latency_ms: 100 });
    harness.submit(
        "shop",
        0,
        vec![StepSpec { long_running: true, target, ..StepSpec::new(1, ONE_ACCELERATOR) }],
    );
    harness.submit(
        "fill",
        2,
        vec![StepSpec { best_effort: true, ..StepSpec::new(1, ONE_ACCELERATOR) }],
    );
    let runs: Vec<_> = harness.round(0).starts.iter().map(run_of).collect();
    assert_eq!(runs.len(), 2);
    let best_effort_run = runs.iter().find(|run| run.task.step.job.as_str() == "fill").cloned();
    (harness, runs, best_effort_run.expect("the best-effort run has started"))
}

fn percents(changes: &[PaceChange]) -> Vec<u32> {
    changes.iter().map(|change| change.percent).collect()
}

#[test]
fn best_effort_run_is_slowed_at_once_and_sped_up_step_by_step() {
    let (mut harness, runs, best_effort_run) = serving_beside_best_effort();
    let first = report_progress(&mut harness, &runs, 100, Some(90));
    assert_eq!(first, [PaceChange { run: best_effort_run, percent: 50 }]);
    harness.round(700);
    assert_eq!(percents(&report_progress(&mut harness, &runs, 100, Some(120))), [25]);
    harness.round(100);
    assert!(
        report_progress(&mut harness, &runs, 100, Some(120)).is_empty(),
        "the measured latency does not show the change yet"
    );
    harness.round(600);
    assert_eq!(percents(&report_progress(&mut harness, &runs, 100, Some(120))), [12]);
    harness.round(700);
    assert_eq!(
        percents(&report_progress(&mut harness, &runs, 100, Some(120))),
        [0],
        "the run is paused"
    );
    harness.round(700);
    assert_eq!(percents(&report_progress(&mut harness, &runs, 100, Some(40))), [10]);
    harness.round(700);
    assert!(
        report_progress(&mut harness, &runs, 100, Some(70)).is_empty(),
        "neither near the objective nor well below"
    );
}

#[test]
fn best_effort_run_alone_works_at_full_pace() {
    let (mut harness, runs, best_effort_run) = serving_beside_best_effort();
    report_progress(&mut harness, &runs, 100, Some(90));
    harness.round(700);
    assert_eq!(
        percents(&report_progress(&mut harness, std::slice::from_ref(&best_effort_run), 50, None)),
        [100]
    );
    harness.round(700);
    assert!(report_progress(&mut harness, &[best_effort_run], 50, None).is_empty());
}

#[test]
fn pace_change_with_unknown_outcome_is_decided_again() {
    let (mut harness, runs, best_effort_run) = serving_beside_best_effort();
    report_progress(&mut harness, &runs, 100, Some(90));
    harness.scheduler.record_pace_unknown(&best_effort_run.task);
    assert_eq!(percents(&report_progress(&mut harness, &runs, 100, Some(90))), [50]);
}

fn pool(name: &str, standby: bool) -> PoolSpec {
    let name = PoolName::new(name).expect("a valid name");
    PoolSpec { name, enforces_capacity: true, standby, connections_max: 64 }
}

/// A pool of one upstream, and a standby host.
fn with_standby_host() -> Harness {
    let mut harness = Harness::new(1, 1);
    harness.apply(WorkflowCommand::PutCatalog(Catalog {
        version: 1,
        queues: Vec::new(),
        pools: vec![pool("pool", false), pool("reserve", true)],
        accounts: Vec::new(),
        document: Arc::from("{}"),
    }));
    let name = host(7);
    let pool = PoolName::new("reserve").expect("a valid name");
    let report = HostReport { name: name.clone(), pool, state: HostState::Up, upstream: None };
    harness.fleet.hosts.insert(name, report);
    harness
}

#[test]
fn standby_host_is_borrowed_when_work_has_waited_for_capacity() {
    let mut harness = with_standby_host();
    harness.submit("sweep", 2, vec![short_step(2)]);
    assert!(harness.round(0).moves.is_empty(), "capacity may become free by itself");
    let moves = harness.round(2_000).moves;
    assert_eq!(moves.len(), 1);
    assert_eq!((&moves[0].host, moves[0].pool.as_str()), (&host(7), "pool"));
    harness.fleet.moving.insert(host(7), PoolName::new("pool").expect("a valid name"));
    if let Some(report) = harness.fleet.hosts.get_mut(&host(7)) {
        report.state = HostState::Moving;
        report.pool = PoolName::new("pool").expect("a valid name");
    }
    assert!(harness.round(100).moves.is_empty(), "the host is moving already");
}

#[test]
fn idle_borrowed_host_is_returned() {
    let mut harness = with_standby_host();
    harness.submit("sweep", 2, vec![short_step(2)]);
    let run = run_of(&harness.round(0).starts[0]);
    assert_eq!(harness.round(2_000).moves.len(), 1);
    harness.fleet.hosts.clear();
    harness.register(7);
    let second = run_of(&harness.round(10).starts[0]);
    assert_eq!(second.upstream, upstream(7));
    harness.end(&run, EndKind::Done);
    harness.end(&second, EndKind::Done);
    assert!(harness.round(10).moves.is_empty());
    assert!(harness.round(10_000).moves.is_empty(), "more work may come");
    let moves = harness.round(11_000).moves;
    assert_eq!(moves.len(), 1);
    assert_eq!((&moves[0].host, moves[0].pool.as_str()), (&host(7), "reserve"));
}
