//! The decisions about connections, without sockets and clocks.

use std::time::{Duration, Instant};

use hg_http::{
    Admission, Charge, Closure, ConnectionId, ConnectionTable, HttpLimits, RefusalReason, Stage,
};

const SECOND: Duration = Duration::from_secs(1);

fn limits() -> HttpLimits {
    HttpLimits::default().with_connections(4).with_buffered_bytes(1_000)
}

fn admit(table: &mut ConnectionTable, now: Instant) -> ConnectionId {
    match table.admit(now) {
        Admission::Admitted(id) | Admission::Replaces(id, _) => id,
        Admission::Refused => panic!("the connection is refused"),
    }
}

/// A connection whose request has a body that is being received.
fn admit_body(table: &mut ConnectionTable, now: Instant) -> ConnectionId {
    let id = admit(table, now);
    table.record_received(now, id);
    table.record_head(now, id, true);
    id
}

/// Serves a request without a body.
fn serve(table: &mut ConnectionTable, now: Instant, id: ConnectionId, is_success: bool) {
    table.record_received(now, id);
    table.record_head(now, id, false);
    table.record_response(now, id, is_success);
    assert!(table.record_flushed(now, id));
}

/// Without this rule, clients that connect and stay keep everyone else out.
#[test]
fn admit_at_the_limit_replaces_the_unserved_client_that_has_waited_longest() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let known = admit(&mut table, now);
    serve(&mut table, now, known, true);
    let refused_before = admit(&mut table, now + SECOND);
    serve(&mut table, now + SECOND, refused_before, false);
    let silent = admit(&mut table, now + 2 * SECOND);
    let sends_head = admit(&mut table, now + 3 * SECOND);
    table.record_received(now + 3 * SECOND, sends_head);
    for expected in [refused_before, silent, sends_head] {
        let Admission::Replaces(id, closure) = table.admit(now + 4 * SECOND) else {
            panic!("a connection is replaced");
        };
        assert_eq!((closure.id, closure.reason), (expected, RefusalReason::Connections));
        table.remove(expected);
        table.record_received(now + 4 * SECOND, id);
        table.record_head(now + 4 * SECOND, id, false);
    }
    let Admission::Replaces(_, closure) = table.admit(now + 5 * SECOND) else {
        panic!("a connection is replaced");
    };
    assert_eq!(closure.id, known, "the one that was served goes last");
}

/// A request that was received in full may have run, so its connection stays.
#[test]
fn admit_never_replaces_a_request_that_is_served() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    for _ in 0..4 {
        let id = admit(&mut table, now);
        table.record_received(now, id);
        table.record_head(now, id, false);
    }
    assert_eq!(table.admit(now + 60 * SECOND), Admission::Refused);
}

/// Clients that send one request behind the other always have one in progress, so none of their connections can be replaced.
#[test]
fn responses_end_connections_of_unserved_clients_after_others_were_refused() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let known = admit(&mut table, now);
    serve(&mut table, now, known, true);
    let ids = [known, admit(&mut table, now), admit(&mut table, now), admit(&mut table, now)];
    for id in ids {
        table.record_received(now, id);
        table.record_head(now, id, false);
        assert!(!table.ends_with_response(now, id));
    }
    assert_eq!(table.admit(now), Admission::Refused);
    for id in ids {
        assert_eq!(table.ends_with_response(now, id), id != known);
        assert!(!table.ends_with_response(now + SECOND, id), "only for a while");
    }
    for id in &ids[1..] {
        table.record_response(now, *id, true);
    }
    assert!(table.ends_with_response(now, known), "there are no others");
}

#[test]
fn admit_replaces_a_response_only_if_it_is_not_read() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let ids: Vec<ConnectionId> = (0..4).map(|_| admit(&mut table, now)).collect();
    for id in &ids {
        table.record_received(now, *id);
        table.record_head(now, *id, false);
        table.record_response(now, *id, true);
    }
    assert_eq!(table.admit(now + SECOND / 2), Admission::Refused);
    table.record_sent(now + SECOND, ids[0]);
    let Admission::Replaces(_, closure) = table.admit(now + SECOND) else {
        panic!("a connection is replaced");
    };
    assert_eq!(closure.id, ids[1]);
    assert!(!closure.has_request);
}

/// Connections that are being closed count until they are gone, but no second one is replaced for the same new one.
#[test]
fn admit_replaces_one_connection_for_one() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let first = admit(&mut table, now);
    for _ in 0..3 {
        admit(&mut table, now + SECOND);
    }
    assert!(matches!(table.admit(now + SECOND), Admission::Replaces(_, c) if c.id == first));
    assert_eq!(table.len(), 5);
    table.remove(first);
    assert_eq!(table.len(), 4);
}

#[test]
fn charge_within_the_limit_is_granted_and_released() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let id = admit_body(&mut table, now);
    assert_eq!(table.charge(now, id, 600), Charge::Granted);
    assert_eq!(table.charge(now, id, 400), Charge::Granted);
    assert_eq!(table.held(), 1_000);
    table.release(id);
    assert_eq!(table.held(), 0);
}

/// Most clients of the crowd stop just short of the end of their body and keep its memory.
#[test]
fn charge_at_the_limit_closes_the_longest_stalled_request() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let stalled = admit_body(&mut table, now);
    assert_eq!(table.charge(now, stalled, 500), Charge::Granted);
    let active = admit_body(&mut table, now);
    assert_eq!(table.charge(now, active, 500), Charge::Granted);
    let later = now + 2 * SECOND;
    table.record_received(later, active);
    let new = admit_body(&mut table, later);
    let closure = Closure { id: stalled, reason: RefusalReason::Memory, has_request: true };
    assert_eq!(table.charge(later, new, 400), Charge::Waits(vec![closure]));
    assert_eq!(
        table.charge(later, new, 400),
        Charge::Waits(vec![]),
        "no connection is closed twice"
    );
    assert!(!table.record_body(stalled), "a request that was refused is not served");
    table.release(stalled);
    assert_eq!(table.charge(later, new, 400), Charge::Granted);
}

/// A crowd that never pauses must not keep small requests out, nor must large requests close each other in turn.
#[test]
fn charge_at_the_limit_favours_small_and_then_old_requests() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let old = admit_body(&mut table, now);
    let young = admit_body(&mut table, now + SECOND / 4);
    assert_eq!(table.charge(now, old, 500), Charge::Granted);
    assert_eq!(table.charge(now, young, 500), Charge::Granted);
    let now = now + SECOND / 2;
    let small = admit_body(&mut table, now);
    let closure = Closure { id: young, reason: RefusalReason::Memory, has_request: true };
    assert_eq!(table.charge(now, small, 100), Charge::Waits(vec![closure]));
    table.remove(young);
    assert_eq!(table.charge(now, small, 100), Charge::Granted);
    let large = admit_body(&mut table, now);
    assert_eq!(table.charge(now, large, 450), Charge::Refused);
    assert_eq!(table.charge(now, old, 400), Charge::Granted);
}

#[test]
fn charge_never_closes_a_request_that_is_served() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let served = admit_body(&mut table, now);
    assert_eq!(table.charge(now, served, 1_000), Charge::Granted);
    assert!(table.record_body(served));
    assert_eq!(table.stage(served), Some(Stage::Serving));
    let new = admit_body(&mut table, now);
    assert_eq!(table.charge(now + 60 * SECOND, new, 10), Charge::Refused);
}

#[test]
fn refuse_decides_only_once_and_only_while_the_body_is_incomplete() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let incomplete = admit_body(&mut table, now);
    assert!(table.refuse(incomplete));
    assert!(!table.refuse(incomplete));
    assert_eq!(table.charge(now, incomplete, 1), Charge::Refused);
    assert!(!table.record_body(incomplete));
    let complete = admit_body(&mut table, now);
    assert!(table.record_body(complete));
    assert!(!table.refuse(complete));
}

#[test]
fn charge_response_counts_even_what_does_not_fit() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let id = admit(&mut table, now);
    table.record_received(now, id);
    table.record_head(now, id, false);
    assert_eq!(table.charge_response(now, id, 900), (vec![], true));
    table.record_response(now, id, true);
    let second = admit(&mut table, now);
    assert_eq!(table.charge_response(now, second, 900), (vec![], false));
    table.release(second);
    let (closures, fits) = table.charge_response(now + 2 * SECOND, second, 900);
    assert_eq!((closures.len(), fits), (1, true), "the response that is not read gives way");
    assert_eq!(closures[0].id, id);
}

#[test]
fn take_overdue_follows_the_stage() {
    let limits = limits();
    let (mut table, now) = (ConnectionTable::new(limits), Instant::now());
    let [idle, head, body, sending] = [0; 4].map(|_| admit(&mut table, now));
    for id in [head, body, sending] {
        table.record_received(now, id);
    }
    table.record_head(now, body, true);
    table.record_head(now, sending, false);
    table.record_response(now, sending, true);
    let mut reasons = Vec::new();
    let mut at = now;
    while at < now + 2 * limits.request_timeout {
        at += SECOND;
        // The body goes on, byte by byte, without an end.
        table.record_received(at, body);
        reasons.extend(table.take_overdue(at).into_iter().map(|c| (c.id, c.reason)));
        reasons.iter().for_each(|(id, _)| {
            if *id != body {
                table.remove(*id)
            }
        });
    }
    let expected = [
        (head, RefusalReason::SlowHead),
        (idle, RefusalReason::Idle),
        (sending, RefusalReason::Unread),
        (body, RefusalReason::SlowBody),
    ];
    assert_eq!(reasons, expected);
}

/// The pages allow a client 3 s for its head, and 15 s without a request.
#[test]
fn take_overdue_spares_clients_inside_the_limits_of_the_pages() {
    let (mut table, now) = (ConnectionTable::new(limits()), Instant::now());
    let (idle, head) = (admit(&mut table, now), admit(&mut table, now));
    table.record_received(now, head);
    assert_eq!(table.take_overdue(now + 3 * SECOND), []);
    table.record_head(now + 3 * SECOND, head, false);
    assert_eq!(table.take_overdue(now + 15 * SECOND), []);
    assert_eq!(table.stage(idle), Some(Stage::Idle));
}

#[test]
fn for_host_keeps_the_sum_within_the_memory() {
    for (memory_mb, files) in
        [(120, 3_075), (160, 4_100), (260, 4_100), (400, 10_250), (640, 4_324)]
    {
        let memory = memory_mb * 1_000_000;
        let limits = HttpLimits::default().for_host(memory, files);
        let sum = limits.connections * limits.connection_bytes() + limits.buffered_bytes;
        assert!(sum <= memory / 2, "{sum} of {memory} bytes");
        assert!(limits.connections <= files);
        assert!(limits.connections >= 256, "{} connections", limits.connections);
    }
}
