//! Fixed scenarios with two leaders in close succession, which random choices practically never
//! produce.

use std::time::Duration;

use hg_model::{HostName, Term, Time};
use hg_replica::{
    Body, Configuration, HardState, Index, Message, Peer, Replica, ReplicaId, Snapshot, Storage,
    Timing, Write,
};

use crate::support::disk::FakeDisk;
use crate::support::world::World;

/// The step in which virtual time advances.
const TICK: Duration = Duration::from_millis(10);
/// The maximum number of ticks for an election; no election takes as long.
const TICKS_MAX: u32 = 500;

/// Cuts all links except those between `hosts`.
fn connect_only(world: &mut World, hosts: &[usize]) {
    world.cut_links.clear();
    for a in 0..world.len() {
        for b in 0..world.len() {
            if a != b && !(hosts.contains(&a) && hosts.contains(&b)) {
                world.cut_links.insert((a, b));
            }
        }
    }
}

/// Has `candidate` elected with the votes of `voters`; only the candidate's timers run.
fn elect(world: &mut World, candidate: usize, voters: &[usize]) {
    let mut all = voters.to_vec();
    all.push(candidate);
    connect_only(world, &all);
    for _ in 0..TICKS_MAX {
        world.pass_time_for(&[candidate], TICK);
        world.deliver_all();
        world.check();
        if world.leader_host() == Some(candidate) {
            return;
        }
    }
    panic!("host {candidate} was not elected");
}

/// Lets a leader replicate its log for a number of ticks; only the leader's timers run.
fn run_leader(world: &mut World, leader: usize, ticks: u32) {
    for _ in 0..ticks {
        world.pass_time_for(&[leader], TICK);
        world.deliver_all();
        world.check();
    }
}

/// Guards against a leader that counts replies from an earlier term of its own towards the commit
/// of entries which have replaced those that the replies acknowledge.
#[test]
fn append_reply_of_an_earlier_term_is_ignored() {
    let mut world = World::new(5);
    elect(&mut world, 0, &[1, 2, 3, 4]);
    run_leader(&mut world, 0, 30);
    connect_only(&mut world, &[0, 1]);
    for _ in 0..8 {
        world.propose(0);
    }
    // Host 1 appends all of these entries; its replies are held back.
    world.deliver_all();
    let held_back = std::mem::take(&mut world.messages);
    assert!(!held_back.is_empty());
    // Another leader overwrites these entries at host 0, but not at host 1.
    elect(&mut world, 4, &[2, 3]);
    connect_only(&mut world, &[0, 2, 3, 4]);
    run_leader(&mut world, 4, 40);
    // Host 0 becomes the leader again; its log is shorter than the index in the held-back replies.
    elect(&mut world, 0, &[2, 3]);
    connect_only(&mut world, &[0, 2]);
    for _ in 0..8 {
        world.propose(0);
    }
    world.cut_links.clear();
    for message in held_back {
        world.deliver_message(message);
    }
    connect_only(&mut world, &[0, 2]);
    run_leader(&mut world, 0, 4);
    // The other hosts elect a leader that has none of the new entries.
    elect(&mut world, 3, &[1, 4]);
    world.propose(3);
    run_leader(&mut world, 3, 40);
    world.heal();
}

/// The last election state that an output writes holds the vote that its reply grants, so that the
/// vote is durable before the reply is sent.
#[test]
fn vote_is_written_before_the_reply() {
    let id = |n: u16| ReplicaId {
        host: HostName::new(format!("c{n}")).expect("the name is valid"),
        incarnation: 1,
    };
    let peer = |n: u16| (id(n), Peer { address: ([127, 0, 0, 1], 7_000 + n).into(), voter: true });
    let configuration = Configuration { peers: (0..3).map(peer).collect() };
    let (index, term) = (Index(1), Term(1));
    let snapshot = Snapshot { index, term, configuration, data: Vec::new().into() };
    let storage =
        Storage::create(FakeDisk::default(), id(0), snapshot).expect("the disk does not fail");
    let mut replica = Replica::new(storage.state(), Timing::default(), Time(0), 1);
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
