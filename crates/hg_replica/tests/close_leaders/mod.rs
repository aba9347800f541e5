//! Exact courses in which two leaders follow each other closely; random choices practically never meet them.

use std::time::Duration;

use hg_model::{HostName, Term, Time};
use hg_replica::{
    Body, Configuration, HardState, Index, Message, Peer, Replica, ReplicaId, Snapshot, Storage,
    Timing, Write,
};

use crate::support::disk::FakeDisk;
use crate::support::world::World;

/// How finely time passes.
const TICK: Duration = Duration::from_millis(10);
/// Longer than any election takes.
const TICKS_MAX: u32 = 500;

/// Only these hosts hear each other from now on.
fn only(world: &mut World, hosts: &[usize]) {
    world.cuts.clear();
    for a in 0..world.len() {
        for b in 0..world.len() {
            if a != b && !(hosts.contains(&a) && hosts.contains(&b)) {
                world.cuts.insert((a, b));
            }
        }
    }
}

/// Makes a host lead, with the votes of some others; time passes for it alone.
fn elect(world: &mut World, candidate: usize, voters: &[usize]) {
    let mut all = voters.to_vec();
    all.push(candidate);
    only(world, &all);
    for _ in 0..TICKS_MAX {
        world.pass_time_for(&[candidate], TICK);
        world.deliver_all();
        world.check();
        if world.deciding_host() == Some(candidate) {
            return;
        }
    }
    panic!("host {candidate} was not elected");
}

/// Lets a leader spread what it has.
fn spread(world: &mut World, leader: usize, ticks: u32) {
    for _ in 0..ticks {
        world.pass_time_for(&[leader], TICK);
        world.deliver_all();
        world.check();
    }
}

#[test]
fn reply_from_an_earlier_lead_tells_nothing_of_the_log_as_it_is() {
    let mut world = World::new(5);
    elect(&mut world, 0, &[1, 2, 3, 4]);
    spread(&mut world, 0, 30);
    only(&mut world, &[0, 1]);
    for _ in 0..8 {
        world.propose(0);
    }
    // Host 1 takes all of it in; its replies are held back.
    world.deliver_all();
    let held = std::mem::take(&mut world.messages);
    assert!(!held.is_empty());
    // Another leader overwrites it at host 0, but not at host 1.
    elect(&mut world, 4, &[2, 3]);
    only(&mut world, &[0, 2, 3, 4]);
    spread(&mut world, 4, 40);
    // Host 0 leads again, with a shorter log than the replies speak of.
    elect(&mut world, 0, &[2, 3]);
    only(&mut world, &[0, 2]);
    for _ in 0..8 {
        world.propose(0);
    }
    world.cuts.clear();
    for message in held {
        world.hand_in(message);
    }
    only(&mut world, &[0, 2]);
    spread(&mut world, 0, 4);
    // The rest elect a leader that never saw any of that.
    elect(&mut world, 3, &[1, 4]);
    world.propose(3);
    spread(&mut world, 3, 40);
    world.heal();
}

#[test]
fn vote_is_written_before_it_is_answered() {
    let id = |n: u16| ReplicaId {
        host: HostName::new(format!("c{n}")).expect("a good name"),
        incarnation: 1,
    };
    let peer = |n: u16| (id(n), Peer { address: ([127, 0, 0, 1], 7_000 + n).into(), voter: true });
    let configuration = Configuration { peers: (0..3).map(peer).collect() };
    let (index, term) = (Index(1), Term(1));
    let snapshot = Snapshot { index, term, configuration, data: Vec::new().into() };
    let storage = Storage::create(FakeDisk::default(), id(0), snapshot).expect("a good disk");
    let mut replica = Replica::new(storage.restored(), Timing::default(), Time(0), 1);
    let body = Body::Vote { last: index, last_term: term, leadership_transfer: false };
    let request = Message { from: id(1), to: id(0), term: Term(5), body };
    replica.step(Time(10_000), request);
    let out = replica.take_output();
    let is_granted = |message: &Message| matches!(message.body, Body::VoteReply { granted: true });
    assert!(out.messages.iter().any(is_granted));
    let last = out.writes.iter().rev().find_map(|write| match write {
        Write::Hard(hard) => Some(hard.clone()),
        _ => None,
    });
    assert_eq!(last, Some(HardState { term: Term(5), vote: Some(id(1)) }));
}
