//! Reports of one party that name another one.
//!
//! Guards against a report that makes the leader give up what runs on an upstream which the report only names: the work would
//! run twice.

use hg_model::{
    Incarnation, PoolName, ResourceVector, StepSpec, UpstreamName, UpstreamReport, WorkflowSpec,
};

use crate::workflow_world::{Faults, World};

const SMALL: ResourceVector = ResourceVector::new(1, 2_000, 4_096);
/// A start time that is later than that of each upstream of the world.
const LATER: Incarnation = Incarnation(1_000_000);
/// How long a replaced upstream may stay registered, in milliseconds: a few messages and writes of the log.
const REPLACED_WITHIN_MS: u64 = 200;
/// Two heartbeats of an upstream and their answers, in milliseconds.
const TWO_HEARTBEATS_MS: u64 = 3_200;

/// A world with three tasks that run for much longer than what follows. Returns an upstream that runs some of them.
fn with_running_tasks() -> (World, u32) {
    let mut world = World::new(1, Faults::default());
    world.set_run_ms(30_000..31_000);
    let step = StepSpec { estimate_ms: 30_000, ..StepSpec::new(3, SMALL) };
    world.submit_spec(0, WorkflowSpec::new("work", vec![step]));
    world.run(2_000);
    assert_eq!(world.running(), 3);
    let busy = world.busy().next().expect("the tasks run");
    (world, busy)
}

/// A report of another writer with the address of an upstream.
fn with_address_of(world: &World, number: u32, pool: &str) -> UpstreamReport {
    UpstreamReport {
        name: UpstreamName::new("backup-1").expect("a good name"),
        incarnation: LATER,
        pool: PoolName::new(pool).expect("a good name"),
        ..world.report_of(number)
    }
}

fn assert_nothing_ran_twice(mut world: World) {
    world.run(5_000);
    assert_eq!(world.running(), 3, "no task runs twice");
    for _ in 0..30 {
        world.run(1_000);
        world.poll_states();
    }
    assert!(world.unfinished().is_empty());
    assert_eq!(world.wasted(), 0, "nothing is done again");
}

/// Guards against a heartbeat of a pool that the catalog lacks, with the address of an upstream, that ends the runs there.
#[test]
fn heartbeat_of_an_unknown_pool_at_the_address_of_an_upstream_ends_no_run() {
    let (mut world, busy) = with_running_tasks();
    world.send_foreign_heartbeat(with_address_of(&world, busy, "backup-agent"));
    assert_nothing_ran_twice(world);
}

/// Guards against the same with a heartbeat that cannot be told from that of an upstream.
#[test]
fn heartbeat_at_the_address_of_an_upstream_ends_no_run_before_the_process_there_has_answered() {
    let (mut world, busy) = with_running_tasks();
    world.send_foreign_heartbeat(with_address_of(&world, busy, "pool"));
    assert_nothing_ran_twice(world);
}

/// Guards against an end of a crashed upstream that is only noticed when its leases have expired, although another one runs
/// at its address.
#[test]
fn upstream_whose_address_another_one_has_taken_is_replaced_at_once() {
    let (mut world, busy) = with_running_tasks();
    world.replace_upstream(busy, "successor", LATER);
    world.run(REPLACED_WITHIN_MS);
    let crashed = format!("u{busy}");
    let registered = world.registered();
    assert!(registered.contains(&"successor"), "{registered:?}");
    assert!(!registered.contains(&crashed.as_str()), "{registered:?}");
    assert!(world.running() > 0, "its tasks run again");
}

/// Guards against the same when the leader changes before the later upstream has answered.
#[test]
fn upstream_whose_address_another_one_has_taken_is_replaced_by_the_next_leader() {
    let (mut world, busy) = with_running_tasks();
    world.replace_upstream(busy, "successor", LATER);
    world.change_leader();
    world.run(2_000);
    let crashed = format!("u{busy}");
    let registered = world.registered();
    assert!(registered.contains(&"successor"), "{registered:?}");
    assert!(!registered.contains(&crashed.as_str()), "{registered:?}");
}

/// Guards against a heartbeat of a pool that the catalog lacks, under the name of an upstream, that replaces the upstream: what
/// it runs would be stopped, and its own heartbeats would count as those of an earlier incarnation.
#[test]
fn heartbeat_of_an_unknown_pool_under_the_name_of_an_upstream_changes_nothing() {
    let (mut world, busy) = with_running_tasks();
    let name = world.report_of(busy).name;
    let report = UpstreamReport { name, ..with_address_of(&world, busy, "backup-agent") };
    world.send_foreign_heartbeat(report);
    assert_nothing_ran_twice(world);
}

/// Guards against upstreams that are not used because they reported before their pool was in the catalog.
#[test]
fn upstream_whose_pool_the_catalog_lacks_is_registered_once_it_has_the_pool() {
    let mut world = World::new(1, Faults::default());
    let report = UpstreamReport {
        address: "127.0.0.1:8999".parse().expect("an address"),
        ..with_address_of(&world, 0, "later")
    };
    world.send_foreign_heartbeat(report.clone());
    world.run(100);
    assert!(!world.registered().contains(&"backup-1"), "its pool is unknown");
    world.add_pool("later");
    world.run(100);
    world.send_foreign_heartbeat(report);
    world.run(100);
    assert!(world.registered().contains(&"backup-1"));
}

/// Guards against a leave request of an earlier incarnation that arrives late and ends the present one.
#[test]
fn leave_request_of_an_upstream_that_does_not_drain_ends_no_run() {
    let (mut world, busy) = with_running_tasks();
    world.send_foreign_leave(busy);
    assert_nothing_ran_twice(world);
}

/// Guards against an upstream that stays registered although it has drained and left.
#[test]
fn leave_request_of_an_upstream_that_drains_ends_its_registration() {
    let (mut world, _) = with_running_tasks();
    let idle = (0..6).find(|number| world.busy().all(|busy| busy != *number)).expect("three run");
    let draining = UpstreamReport { leaving: true, ..world.report_of(idle) };
    world.send_foreign_heartbeat(draining);
    world.run(100);
    world.send_foreign_leave(idle);
    world.run(100);
    assert!(!world.registered().contains(&format!("u{idle}").as_str()));
}

/// Guards against an upstream that is not used while an idle one is registered at its address with a later start time: that of
/// another party, or of an upstream whose clock was set back.
#[test]
fn upstream_with_an_earlier_start_time_than_another_one_at_its_address_is_registered() {
    let mut world = World::new(1, Faults::default());
    world.replace_upstream(0, "successor", Incarnation(0));
    world.run(TWO_HEARTBEATS_MS);
    let registered = world.registered();
    assert!(registered.contains(&"successor"), "{registered:?}");
    assert!(!registered.contains(&"u0"), "{registered:?}");
}
