//! Hosts, tickets and paces.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::bench::{Bench, host, run_of, upstream};
use hg_ledger::{RunRef, UpkeepStage, WorkflowCommand};
use hg_model::{
    AdviceTiming, Catalog, ClockReading, EndKind, HostReport, HostState, Incarnation,
    LatencyTarget, ListedRun, PoolName, PoolSpec, ResourceVector, RunListing, StepSpec, Time,
    WaveNumber, WaveSpec, WaveState,
};
use hg_policy::{PaceChange, UpkeepOrder, WorkflowDecisions};

const SINGLE: ResourceVector = ResourceVector::new(1, 2_800, 8_200);
const WHOLE: ResourceVector = ResourceVector::new(8, 8_000, 16_384);
const WAVE: WaveNumber = WaveNumber(1);

fn short(tasks: u32) -> StepSpec {
    StepSpec { estimate_ms: 2_000, ..StepSpec::new(tasks, WHOLE) }
}

fn long_running(tasks: u32, max_unavailable: u32) -> StepSpec {
    StepSpec { long_running: true, max_unavailable, ..StepSpec::new(tasks, WHOLE) }
}

fn start_wave(bench: &mut Bench, hosts: u32, down_max: u32) {
    let hosts: BTreeSet<_> = (0..hosts).map(host).collect();
    let spec = WaveSpec { number: WAVE, hosts, deadline_ms: 40_000, down_max };
    assert_eq!(spec.check(), Ok(()));
    let at = bench.now;
    bench.apply(WorkflowCommand::StartWave { spec, at });
}

fn note(bench: &mut Bench, number: u32, stage: UpkeepStage) {
    bench.apply(WorkflowCommand::Upkeep { wave: WAVE, host: host(number), stage });
}

fn down(decisions: &WorkflowDecisions) -> Vec<UpkeepOrder> {
    decisions.upkeeps.clone()
}

/// Shows the scheduler how far runs are.
fn list(bench: &mut Bench, runs: &[RunRef], percent: u32, gauge: Option<u64>) -> Vec<PaceChange> {
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
            clock: ClockReading(bench.now.0),
            running: listed.collect(),
            ended: Vec::new(),
        };
        changes.extend(bench.scheduler.record_listing(bench.now, &bench.ledger, &at, &listing));
    }
    changes
}

#[test]
fn wave_takes_no_more_hosts_down_than_it_may() {
    let mut bench = Bench::new(1, 4);
    start_wave(&mut bench, 4, 1);
    let first = down(&bench.round(10));
    assert_eq!(first.len(), 1);
    note(&mut bench, 0, UpkeepStage::Ordered);
    assert!(down(&bench.round(10)).is_empty(), "it may be down");
    note(&mut bench, 0, UpkeepStage::Begun);
    assert!(down(&bench.round(10)).is_empty(), "it is down");
    note(&mut bench, 0, UpkeepStage::Done);
    assert_eq!(down(&bench.round(10)).len(), 1);
    for number in 1..4 {
        note(&mut bench, number, UpkeepStage::Done);
    }
    assert!(down(&bench.round(10)).is_empty());
    let wave = bench.ledger.waves().get(WAVE).expect("it is remembered");
    assert_eq!(wave.state(), WaveState::Completed);
}

#[test]
fn order_that_was_not_carried_out_is_given_again() {
    let mut bench = Bench::new(1, 1);
    start_wave(&mut bench, 1, 1);
    note(&mut bench, 0, UpkeepStage::Ordered);
    note(&mut bench, 0, UpkeepStage::Waiting);
    assert_eq!(down(&bench.round(10)).len(), 1);
    note(&mut bench, 0, UpkeepStage::Begun);
    note(&mut bench, 0, UpkeepStage::Waiting);
    assert!(down(&bench.round(10)).is_empty(), "what has begun never goes back");
}

#[test]
fn host_goes_down_when_its_work_has_ended_and_gets_no_new_work_meanwhile() {
    let mut bench = Bench::new(1, 1);
    bench.submit("sweep", 2, vec![short(1)]);
    let run = run_of(&bench.round(0).starts[0]);
    start_wave(&mut bench, 1, 1);
    let round = bench.round(10);
    assert!(down(&round).is_empty() && round.stops.is_empty(), "it may end within its turn");
    bench.submit("next", 2, vec![StepSpec::new(1, SINGLE)]);
    assert!(bench.round(10).starts.is_empty());
    bench.end(&run, EndKind::Done);
    assert_eq!(down(&bench.round(10)).len(), 1);
}

#[test]
fn work_that_outlasts_its_hosts_turn_is_stopped() {
    let mut bench = Bench::new(1, 2);
    bench.submit("sweep", 2, vec![short(1)]);
    let run = run_of(&bench.round(0).starts[0]);
    start_wave(&mut bench, 2, 2);
    assert!(bench.round(10).stops.is_empty());
    let stops = bench.round(40_000).stops;
    assert_eq!(stops.into_iter().map(|stop| stop.run).collect::<Vec<_>>(), vec![run]);
}

#[test]
fn lasting_tasks_leave_a_host_one_after_the_other() {
    let mut bench = Bench::new(1, 4);
    bench.submit("shop", 0, vec![long_running(3, 1)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    list(&mut bench, &runs, 100, Some(10));
    start_wave(&mut bench, 4, 4);
    let first = bench.round(10).stops;
    assert_eq!(first.len(), 1, "one may be away");
    assert!(bench.round(10).stops.is_empty(), "it is away");
    bench.end(&first[0].run, EndKind::Stopped);
    assert!(bench.round(10).stops.is_empty(), "it is not at work again yet");
}

#[test]
fn lasting_tasks_without_a_stated_limit_go_one_at_a_time() {
    let mut bench = Bench::new(1, 4);
    bench.submit("shop", 0, vec![long_running(3, 0)]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    list(&mut bench, &runs, 100, Some(10));
    start_wave(&mut bench, 4, 4);
    assert_eq!(bench.round(10).stops.len(), 1);
}

const ADVICE: AdviceTiming = AdviceTiming { decide_ms: 100, each_ms: 10, valid_ms: 3_000 };

#[test]
fn step_starts_only_where_a_ticket_allows_it() {
    let mut bench = Bench::new(1, 4);
    bench.advice = Some(ADVICE);
    bench.submit("quote", 0, vec![short(1)]);
    let round = bench.round(0);
    assert!(round.starts.is_empty(), "nobody was asked yet");
    let ask = round.advice_request.expect("a question");
    assert_eq!((ask.upstreams.len(), ask.expected_duration_ms), (4, 140));
    let until = Time(bench.now.0 + 3_000);
    let allowed = [(upstream(2), Arc::from("t-2"))];
    bench.scheduler.record_advice(&bench.ledger, &ask, &allowed, until);
    let starts = bench.round(10).starts;
    assert_eq!(starts.iter().map(|s| s.upstream.clone()).collect::<Vec<_>>(), [upstream(2)]);
    let step = &starts[0].task.step;
    let tickets = bench.scheduler.tickets();
    assert_eq!(tickets.ticket(bench.now, step, &upstream(2)).as_deref(), Some("t-2"));
    assert_eq!(tickets.ticket(bench.now, step, &upstream(1)), None);
    assert_eq!(tickets.ticket(until, step, &upstream(2)), None, "it is over");
}

#[test]
fn upstream_that_is_not_allowed_is_not_asked_about_again() {
    let mut bench = Bench::new(1, 4);
    bench.advice = Some(ADVICE);
    bench.submit("quote", 0, vec![short(2)]);
    let ask = bench.round(0).advice_request.expect("a question");
    let until = Time(bench.now.0 + 3_000);
    let allowed = [(upstream(2), Arc::from("t-2"))];
    bench.scheduler.record_advice(&bench.ledger, &ask, &allowed, until);
    assert_eq!(bench.round(10).starts.len(), 1);
    let again = bench.round(10).advice_request.expect("the ticket may be renewed");
    assert_eq!(again.upstreams, [upstream(2)]);
}

#[test]
fn refused_ticket_is_asked_for_again() {
    let mut bench = Bench::new(1, 1);
    bench.advice = Some(ADVICE);
    bench.submit("quote", 0, vec![short(1)]);
    let ask = bench.round(0).advice_request.expect("a question");
    let until = Time(bench.now.0 + 3_000);
    let allowed = [(upstream(0), Arc::from("t-0"))];
    bench.scheduler.record_advice(&bench.ledger, &ask, &allowed, until);
    let run = run_of(&bench.round(10).starts[0]);
    bench.scheduler.record_ticket_refused(&upstream(0));
    bench.end(&run, EndKind::Stopped);
    let round = bench.round(10);
    assert!(round.starts.is_empty());
    assert_eq!(round.advice_request.expect("a question").upstreams, [upstream(0)]);
}

/// A task that serves users beside one that fills, on one upstream.
fn beside() -> (Bench, Vec<RunRef>, RunRef) {
    let mut bench = Bench::new(1, 1);
    let target = Some(LatencyTarget { tail_ms: 100 });
    bench.submit(
        "shop",
        0,
        vec![StepSpec { long_running: true, target, ..StepSpec::new(1, SINGLE) }],
    );
    bench.submit("fill", 2, vec![StepSpec { best_effort: true, ..StepSpec::new(1, SINGLE) }]);
    let runs: Vec<_> = bench.round(0).starts.iter().map(run_of).collect();
    assert_eq!(runs.len(), 2);
    let filler = runs.iter().find(|run| run.task.step.job.as_str() == "fill").cloned();
    (bench, runs, filler.expect("it runs"))
}

fn percents(changes: &[PaceChange]) -> Vec<u32> {
    changes.iter().map(|change| change.percent).collect()
}

#[test]
fn filler_is_slowed_at_once_and_sped_up_bit_by_bit() {
    let (mut bench, runs, filler) = beside();
    let first = list(&mut bench, &runs, 100, Some(90));
    assert_eq!(first, [PaceChange { run: filler, percent: 50 }]);
    bench.round(700);
    assert_eq!(percents(&list(&mut bench, &runs, 100, Some(120))), [25]);
    bench.round(100);
    assert!(list(&mut bench, &runs, 100, Some(120)).is_empty(), "the figures are not settled");
    bench.round(600);
    assert_eq!(percents(&list(&mut bench, &runs, 100, Some(120))), [12]);
    bench.round(700);
    assert_eq!(percents(&list(&mut bench, &runs, 100, Some(120))), [0], "it stands still");
    bench.round(700);
    assert_eq!(percents(&list(&mut bench, &runs, 100, Some(40))), [10]);
    bench.round(700);
    assert!(list(&mut bench, &runs, 100, Some(70)).is_empty(), "neither near nor well below");
}

#[test]
fn filler_alone_works_at_full_pace() {
    let (mut bench, runs, filler) = beside();
    list(&mut bench, &runs, 100, Some(90));
    bench.round(700);
    assert_eq!(percents(&list(&mut bench, std::slice::from_ref(&filler), 50, None)), [100]);
    bench.round(700);
    assert!(list(&mut bench, &[filler], 50, None).is_empty());
}

#[test]
fn pace_that_may_not_have_arrived_is_decided_anew() {
    let (mut bench, runs, filler) = beside();
    list(&mut bench, &runs, 100, Some(90));
    bench.scheduler.record_pace_unknown(&filler.task);
    assert_eq!(percents(&list(&mut bench, &runs, 100, Some(90))), [50]);
}

fn pool(name: &str, standby: bool) -> PoolSpec {
    let name = PoolName::new(name).expect("a good name");
    PoolSpec { name, enforces_capacity: true, standby, connections_max: 64 }
}

/// A pool of one upstream, and a host that stands by.
fn with_standby() -> Bench {
    let mut bench = Bench::new(1, 1);
    bench.apply(WorkflowCommand::PutCatalog(Catalog {
        version: 1,
        queues: Vec::new(),
        pools: vec![pool("pool", false), pool("reserve", true)],
        accounts: Vec::new(),
        document: Arc::from("{}"),
    }));
    let name = host(7);
    let pool = PoolName::new("reserve").expect("a good name");
    let report = HostReport { name: name.clone(), pool, state: HostState::Up, upstream: None };
    bench.fleet.hosts.insert(name, report);
    bench
}

#[test]
fn host_is_fetched_when_work_has_waited_for_room() {
    let mut bench = with_standby();
    bench.submit("sweep", 2, vec![short(2)]);
    assert!(bench.round(0).moves.is_empty(), "room may come by itself");
    let moves = bench.round(2_000).moves;
    assert_eq!(moves.len(), 1);
    assert_eq!((&moves[0].host, moves[0].pool.as_str()), (&host(7), "pool"));
    bench.fleet.moving.insert(host(7));
    if let Some(report) = bench.fleet.hosts.get_mut(&host(7)) {
        report.state = HostState::Moving;
        report.pool = PoolName::new("pool").expect("a good name");
    }
    assert!(bench.round(100).moves.is_empty(), "it is on its way");
}

#[test]
fn host_that_stands_idle_goes_back() {
    let mut bench = with_standby();
    bench.submit("sweep", 2, vec![short(2)]);
    let run = run_of(&bench.round(0).starts[0]);
    assert_eq!(bench.round(2_000).moves.len(), 1);
    bench.fleet.hosts.clear();
    bench.register(7);
    let second = run_of(&bench.round(10).starts[0]);
    assert_eq!(second.upstream, upstream(7));
    bench.end(&run, EndKind::Done);
    bench.end(&second, EndKind::Done);
    assert!(bench.round(10).moves.is_empty());
    assert!(bench.round(10_000).moves.is_empty(), "more may come");
    let moves = bench.round(11_000).moves;
    assert_eq!(moves.len(), 1);
    assert_eq!((&moves[0].host, moves[0].pool.as_str()), (&host(7), "reserve"));
}
