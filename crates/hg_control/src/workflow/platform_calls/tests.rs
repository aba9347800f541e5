//! What the leader concludes from lists of hosts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hg_ledger::{UpkeepStage, WorkflowCommand, WorkflowLedger};
use hg_model::{
    Catalog, DataCentreName, HostName, HostReport, HostState, Incarnation, PoolName, PoolSpec,
    RackName, ResourceVector, Term, Time, UpstreamName, UpstreamReport, WaveNumber, WaveSpec,
};
use hg_policy::{HostMove, UpkeepOrder};

use super::{
    HostListing, HostOrder, HostOrderKind, HostOrderResult, LIST_EVERY, ORDER_RETRY_AFTER,
    OrderTargets, PlatformCall, PlatformCalls, upkeep,
};

const WAVE: WaveNumber = WaveNumber(1);

fn host(number: u32) -> HostName {
    HostName::new(format!("m-{number}")).expect("a valid name")
}

fn report(number: u32, state: HostState) -> HostReport {
    let pool = PoolName::new("pool").expect("a valid name");
    HostReport { name: host(number), pool, state, upstream: None }
}

/// A wave of the hosts 1 and 2, both ordered to go down.
fn with_wave() -> (PlatformCalls, WorkflowLedger) {
    let mut ledger = WorkflowLedger::default();
    let hosts: BTreeSet<HostName> = [host(1), host(2)].into();
    let spec = WaveSpec { number: WAVE, hosts, deadline_ms: 40_000, down_max: 2 };
    ledger.apply(WorkflowCommand::StartWave { spec, at: Time(0) });
    for number in [1, 2] {
        let (host, stage) = (host(number), UpkeepStage::Ordered);
        ledger.apply(WorkflowCommand::Upkeep { wave: WAVE, host, stage });
    }
    (PlatformCalls::new(Time(0), Term(1)), ledger)
}

/// The stages that a list of hosts changes.
fn stages(
    calls: &mut PlatformCalls,
    ledger: &WorkflowLedger,
    now: Time,
    listing: HostListing,
) -> Vec<(HostName, UpkeepStage)> {
    let commands = calls.record_hosts(now, Ok(listing), ledger).commands;
    let stage = |command| match command {
        WorkflowCommand::Upkeep { host, stage, .. } => (host, stage),
        other => panic!("unexpected: {other:?}"),
    };
    commands.into_iter().map(stage).collect()
}

/// Guards against a wave that is not followed any more, or that is completed without a host, since the entry of a host
/// cannot be read.
#[test]
fn record_hosts_beside_an_unreadable_entry() {
    let (mut calls, ledger) = with_wave();
    let unreadable = vec!["State has an unknown value".to_owned()];
    let hosts = vec![report(1, HostState::Upkeep)];
    let listing = HostListing { hosts, unreadable };
    let begun = vec![(host(1), UpkeepStage::Begun)];
    for round in 1..4 {
        let now = Time(0).after(LIST_EVERY * round);
        assert_eq!(stages(&mut calls, &ledger, now, listing.clone()), begun);
    }
}

/// Guards against a wave that is completed without a host which stays: the list is read in pages, and when a host of an
/// earlier page is removed meanwhile, the next page begins one entry later.
#[test]
fn record_hosts_that_one_list_leaves_out() {
    let (mut calls, ledger) = with_wave();
    let first = HostListing { hosts: vec![report(1, HostState::Up)], unreadable: Vec::new() };
    let both = vec![report(1, HostState::Up), report(2, HostState::Up)];
    let both = HostListing { hosts: both, unreadable: Vec::new() };
    for (round, listing) in (1..).zip([&first, &both, &first, &both]) {
        let now = Time(0).after(LIST_EVERY * round);
        assert_eq!(stages(&mut calls, &ledger, now, listing.clone()), []);
    }
}

/// A host that is not listed any more leaves its wave.
#[test]
fn record_hosts_without_a_host() {
    let (mut calls, ledger) = with_wave();
    let hosts = vec![report(1, HostState::Up)];
    let listing = HostListing { hosts, unreadable: Vec::new() };
    let mut found = Vec::new();
    for round in 1..4 {
        let now = Time(0).after(LIST_EVERY * round);
        found.extend(stages(&mut calls, &ledger, now, listing.clone()));
    }
    assert!(found.contains(&(host(2), UpkeepStage::Gone)), "{found:?}");
    assert!(!found.iter().any(|(found, _)| *found == host(1)), "{found:?}");
}

/// Guards against an entry of another party, of a pool that the catalog lacks, that hides the entry of a host: the upstream there
/// would be deregistered as if its host was down.
#[test]
fn record_hosts_beside_an_entry_of_an_unknown_pool() {
    let (mut calls, mut ledger) = with_wave();
    let pool = PoolSpec {
        name: report(1, HostState::Up).pool,
        enforces_capacity: true,
        standby: false,
        connections_max: 64,
    };
    ledger.apply(WorkflowCommand::PutCatalog(Catalog {
        version: 1,
        queues: Vec::new(),
        pools: vec![pool],
        accounts: Vec::new(),
        document: Arc::from("{}"),
    }));
    let foreign = HostReport {
        pool: PoolName::new("backup").expect("a valid name"),
        ..report(1, HostState::Upkeep)
    };
    let up = [report(1, HostState::Up), report(2, HostState::Up)];
    let after = [&up[..], std::slice::from_ref(&foreign)].concat();
    let before = [std::slice::from_ref(&foreign), &up[..]].concat();
    for (round, hosts) in (1..).zip([after, before]) {
        let listing = HostListing { hosts, unreadable: Vec::new() };
        let now = Time(0).after(LIST_EVERY * round);
        assert_eq!(stages(&mut calls, &ledger, now, listing), [], "round {round}");
    }
}

fn upstream_on(host: HostName, name: &str, incarnation: u64, pool: &str) -> UpstreamReport {
    UpstreamReport {
        name: UpstreamName::new(name).expect("a valid name"),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:9000".parse().expect("an address"),
        host: Some(host),
        pool: PoolName::new(pool).expect("a valid name"),
        data_centre: DataCentreName::new("north").expect("a valid name"),
        rack: RackName::new("r1").expect("a valid name"),
        labels: Vec::new(),
        capacity: ResourceVector::new(8, 32_000, 131_072),
        leaving: false,
    }
}

fn name(name: &str) -> UpstreamName {
    UpstreamName::new(name).expect("a valid name")
}

fn pool(name: &str) -> PoolName {
    PoolName::new(name).expect("a valid name")
}

/// A wave of the hosts 1 and 2, and an upstream on each, in the pool "pool".
fn with_upstreams() -> (PlatformCalls, WorkflowLedger) {
    let mut ledger = WorkflowLedger::default();
    for (number, name) in [(1, "a"), (2, "b")] {
        ledger.apply(WorkflowCommand::Register(upstream_on(host(number), name, 1, "pool")));
    }
    let hosts: BTreeSet<HostName> = [host(1), host(2)].into();
    let spec = WaveSpec { number: WAVE, hosts, deadline_ms: 40_000, down_max: 2 };
    ledger.apply(WorkflowCommand::StartWave { spec, at: Time(0) });
    (PlatformCalls::new(Time(0), Term(1)), ledger)
}

/// Orders the upkeep of host 1.
fn order_upkeep(ledger: &mut WorkflowLedger) {
    let upkeeps = vec![UpkeepOrder { wave: WAVE, host: host(1) }];
    for command in PlatformCalls::order_upkeeps(upkeeps) {
        ledger.apply(command);
    }
}

fn order_move(calls: &mut PlatformCalls, ledger: &WorkflowLedger, number: u32, to: &str) {
    calls.order_moves(Time(0), vec![HostMove { host: host(number), pool: pool(to) }], ledger);
}

/// The one order that is sent at a point in time.
fn sent(calls: &mut PlatformCalls, ledger: &WorkflowLedger, now: Time) -> HostOrder {
    let due = calls.advance(now, ledger).into_iter().filter_map(|call| match call {
        PlatformCall::Host(order) => Some(order),
        PlatformCall::ListHosts | PlatformCall::RequestAdvice(_) => None,
    });
    let [order] = <[HostOrder; 1]>::try_from(due.collect::<Vec<_>>()).expect("one order");
    order
}

fn lost() -> HostOrderResult {
    HostOrderResult::Unanswered("connection closed".to_owned())
}

fn ended(upstreams: &[(&str, u64)]) -> Option<OrderTargets> {
    Some(upstreams.iter().map(|(known, number)| (name(known), Incarnation(*number))).collect())
}

/// The moment at which an order is sent again for the `nth` time.
fn at_retry(nth: u32) -> Time {
    Time(0).after(ORDER_RETRY_AFTER * nth)
}

/// Guards against an order that counts as the end of an upstream which came to its host after the order was decided, or
/// which is in the pool already to which its host is to move.
#[test]
fn order_ends_the_upstreams_that_were_on_its_host() {
    let (mut calls, mut ledger) = with_upstreams();
    ledger.apply(WorkflowCommand::Register(upstream_on(host(3), "c", 1, "other")));
    order_upkeep(&mut ledger);
    let order = sent(&mut calls, &ledger, at_retry(0));
    let mut later = ledger.clone();
    for (name, incarnation) in [("a", 2), ("d", 1)] {
        let report = upstream_on(host(1), name, incarnation, "pool");
        later.apply(WorkflowCommand::Register(report));
    }
    let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Done, &later);
    assert_eq!(outcome.ended, ended(&[("a", 1)]), "neither a later incarnation nor another one");
    for (number, expected) in [(2, ended(&[("b", 1)])), (3, ended(&[])), (4, ended(&[]))] {
        let (mut calls, mut ledger) = (PlatformCalls::new(Time(0), Term(1)), ledger.clone());
        order_move(&mut calls, &ledger, number, "other");
        let kind = HostOrderKind::Move(pool("other"));
        let order = HostOrder { host: host(number), kind, fence: Term(1) };
        ledger.apply(WorkflowCommand::Register(upstream_on(host(number), "e", 1, "pool")));
        let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Done, &ledger);
        assert_eq!(outcome.ended, expected, "host {number}");
    }
    let order = HostOrder { host: host(4), kind: HostOrderKind::Upkeep(WAVE), fence: Term(1) };
    let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Done, &ledger);
    assert_eq!(outcome.ended, ended(&[]), "no order");
}

/// Guards against an upkeep that ends the next upstream on its host: its answer was lost, "busy" with it was taken for the proof
/// that it was not carried out, and the order was decided anew, beside the next upstream (review/12).
#[test]
fn busy_after_a_lost_answer_leaves_the_upkeep_ordered() {
    let (mut calls, mut ledger) = with_upstreams();
    order_upkeep(&mut ledger);
    let order = sent(&mut calls, &ledger, at_retry(0));
    assert_eq!(calls.record_order_result(Time(0), &order, &lost(), &ledger).command, None);
    let order = sent(&mut calls, &ledger, at_retry(1));
    let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Busy, &ledger);
    assert_eq!(outcome.command, None);
    ledger.apply(WorkflowCommand::Register(upstream_on(host(1), "next", 1, "pool")));
    let order = sent(&mut calls, &ledger, at_retry(2));
    let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Done, &ledger);
    assert_eq!(outcome.ended, ended(&[("a", 1)]));
    assert_eq!(outcome.command, Some(upkeep(WAVE, &host(1), UpkeepStage::Begun)));
}

/// Guards against the same while the first attempt is still in flight.
#[test]
fn busy_beside_an_attempt_in_flight_leaves_the_upkeep_ordered() {
    let (mut calls, mut ledger) = with_upstreams();
    order_upkeep(&mut ledger);
    let first = sent(&mut calls, &ledger, at_retry(0));
    let second = sent(&mut calls, &ledger, at_retry(1));
    assert_eq!(calls.attempts(&second).without_answer(), 2);
    let outcome = calls.record_order_result(Time(0), &second, &HostOrderResult::Busy, &ledger);
    assert_eq!(outcome.command, None);
    let outcome = calls.record_order_result(Time(0), &first, &HostOrderResult::Done, &ledger);
    assert_eq!(outcome.command, Some(upkeep(WAVE, &host(1), UpkeepStage::Begun)));
}

/// Guards against the same across a change of the leader, which knows neither the attempts of the earlier one nor, without the
/// log, what was on the host when they were sent.
#[test]
fn upkeep_ordered_in_an_earlier_term_ends_what_was_there_then() {
    let (mut earlier, mut ledger) = with_upstreams();
    order_upkeep(&mut ledger);
    sent(&mut earlier, &ledger, at_retry(0));
    ledger.apply(WorkflowCommand::Register(upstream_on(host(1), "next", 1, "pool")));
    let mut calls = PlatformCalls::new(Time(0), Term(2));
    let order = sent(&mut calls, &ledger, at_retry(1));
    let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Busy, &ledger);
    assert_eq!(outcome.command, None);
    let order = sent(&mut calls, &ledger, at_retry(2));
    let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Done, &ledger);
    assert_eq!(outcome.ended, ended(&[("a", 1)]));
}

/// Guards against a move that is given up since its host is busy with an earlier attempt, so that upstreams which have ended count
/// as running.
#[test]
fn busy_after_a_lost_answer_leaves_the_move_pending() {
    let (mut calls, ledger) = with_upstreams();
    order_move(&mut calls, &ledger, 2, "other");
    let order = sent(&mut calls, &ledger, at_retry(0));
    calls.record_order_result(Time(0), &order, &lost(), &ledger);
    let order = sent(&mut calls, &ledger, at_retry(1));
    calls.record_order_result(Time(0), &order, &HostOrderResult::Busy, &ledger);
    let order = sent(&mut calls, &ledger, at_retry(2));
    let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Done, &ledger);
    assert_eq!(outcome.ended, ended(&[("b", 1)]));
    assert!(calls.moving().is_empty());
}

/// Guards against a move that is repeated for good: a host that is off in its new pool is busy for every attempt.
#[test]
fn record_hosts_settles_a_move_whose_answer_is_lost() {
    let (mut calls, ledger) = with_upstreams();
    order_move(&mut calls, &ledger, 2, "other");
    let order = sent(&mut calls, &ledger, at_retry(0));
    calls.record_order_result(Time(0), &order, &lost(), &ledger);
    let moved = HostReport { pool: pool("other"), ..report(2, HostState::Down) };
    let listing =
        |hosts: &[HostReport]| Ok(HostListing { hosts: hosts.to_vec(), unreadable: Vec::new() });
    calls.listing_sent_at = Some(Time(0));
    let changes = calls.record_hosts(at_retry(1), listing(std::slice::from_ref(&moved)), &ledger);
    assert!(changes.ended.is_empty(), "requested before the move was decided");
    calls.listing_sent_at = Some(at_retry(1));
    let changes = calls.record_hosts(at_retry(1), listing(&[report(2, HostState::Up)]), &ledger);
    assert!(changes.ended.is_empty(), "not moved");
    calls.listing_sent_at = Some(at_retry(1));
    let changes = calls.record_hosts(at_retry(1), listing(&[moved]), &ledger);
    assert_eq!(changes.ended.get(&host(2)), ended(&[("b", 1)]).as_ref());
    assert!(calls.moving().is_empty());
}

/// A move that was certainly not carried out is decided anew.
#[test]
fn busy_at_the_first_attempt_settles_the_move() {
    let (mut calls, ledger) = with_upstreams();
    order_move(&mut calls, &ledger, 2, "other");
    let order = sent(&mut calls, &ledger, at_retry(0));
    calls.record_order_result(Time(0), &order, &HostOrderResult::Busy, &ledger);
    assert!(calls.moving().is_empty());
}

/// Guards against the late answer to a move that ends the upstream which came with the move, since an upkeep of the same host was
/// ordered meanwhile.
#[test]
fn late_answer_to_a_move_ends_nothing_that_an_upkeep_is_to_end() {
    let (mut calls, mut ledger) = with_upstreams();
    order_move(&mut calls, &ledger, 1, "other");
    let order = sent(&mut calls, &ledger, at_retry(0));
    ledger.apply(WorkflowCommand::Register(upstream_on(host(1), "next", 1, "other")));
    order_upkeep(&mut ledger);
    let outcome = calls.record_order_result(Time(0), &order, &HostOrderResult::Done, &ledger);
    assert_eq!(outcome.ended, ended(&[("a", 1)]));
}

/// Guards against a host in the upkeep of one wave that counts as being in that of another wave as well.
#[test]
fn record_hosts_in_the_upkeep_of_another_wave() {
    let (mut calls, mut ledger) = with_wave();
    let (number, hosts) = (WaveNumber(2), [host(1)].into());
    let spec = WaveSpec { number, hosts, deadline_ms: 40_000, down_max: 1 };
    ledger.apply(WorkflowCommand::StartWave { spec, at: Time(0) });
    ledger.apply(upkeep(number, &host(1), UpkeepStage::Ordered));
    let hosts = [1, 2].map(|number| report(number, HostState::Upkeep));
    let listing = HostListing { hosts: hosts.into(), unreadable: Vec::new() };
    let now = Time(0).after(LIST_EVERY);
    assert_eq!(stages(&mut calls, &ledger, now, listing), [(host(2), UpkeepStage::Begun)]);
}

/// Guards against a wave that counts a host as back, and takes the next one down, while the first is in upkeep: the list that shows
/// it in service was requested before the upkeep began.
#[test]
fn record_hosts_requested_before_the_upkeep_began() {
    let (mut calls, mut ledger) = with_upstreams();
    order_upkeep(&mut ledger);
    let order = sent(&mut calls, &ledger, at_retry(0));
    let second = sent(&mut calls, &ledger, at_retry(1));
    let up = [1, 2].map(|number| report(number, HostState::Up)).to_vec();
    let up = HostListing { hosts: up, unreadable: Vec::new() };
    calls.listing_sent_at = None;
    let requested_at = at_retry(1).after(Duration::from_millis(100));
    assert_eq!(calls.advance(requested_at, &ledger).len(), 1, "a list is requested");
    let answered_at = requested_at.after(Duration::from_millis(100));
    let outcome = calls.record_order_result(answered_at, &order, &HostOrderResult::Done, &ledger);
    ledger.apply(outcome.command.expect("the upkeep has begun"));
    calls.record_order_result(answered_at, &second, &lost(), &ledger);
    assert_eq!(stages(&mut calls, &ledger, answered_at, up.clone()), []);
    let later = Time(0).after(LIST_EVERY * 3);
    calls.advance(later, &ledger);
    assert_eq!(stages(&mut calls, &ledger, later, up), [(host(1), UpkeepStage::Done)]);
}
