//! Replicas, a network and a clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use hg_model::{HostName, Term, Time};
use hg_replica::{
    Configuration, Index, Message, Output, Payload, Peer, Replica, ReplicaId, Snapshot, Storage,
    Timing,
};

use super::disk::FakeDisk;
use super::oracle::Oracle;

/// Most messages on the way at once.
const MESSAGES_MAX: usize = 200;
/// Entries after which a replica makes a snapshot.
const SNAPSHOT_ENTRIES: usize = 6;
/// How long after the last fault a command must be acknowledged.
const HEAL_LIMIT: Duration = Duration::from_secs(20);

/// A process that runs.
struct Running {
    replica: Replica,
    storage: Storage<FakeDisk>,
    /// The state machine: the commands in order.
    commands: Vec<Vec<u8>>,
    applied: Index,
    /// Commands that were proposed here and are not applied yet.
    proposed: BTreeMap<Index, Vec<u8>>,
    /// Until when the process stands still.
    frozen_until: Time,
}

/// A host with a disk; its process runs or is down.
struct Host {
    name: HostName,
    address: SocketAddr,
    disk: FakeDisk,
    id: ReplicaId,
    process: Option<Running>,
}

/// The whole world.
pub struct World {
    now: Time,
    hosts: Vec<Host>,
    pub messages: Vec<Message>,
    pub cuts: BTreeSet<(usize, usize)>,
    next_command: u64,
    next_incarnation: u64,
    /// Hosts whose new incarnation has no vote yet.
    repairing: BTreeSet<usize>,
    oracle: Oracle,
    timing: Timing,
    /// Whether most messages come in order, so that leaders hold longer.
    is_prompt: bool,
    /// Steps taken, for the steps a second.
    pub steps: u64,
}

/// What a run did, to see that it did something.
#[derive(Debug, Default, Clone, Copy)]
pub struct Done {
    /// Steps taken.
    pub steps: u64,
    /// Terms that had a leader.
    pub leaders: usize,
    /// Commands that were acknowledged.
    pub acknowledged: usize,
}

impl World {
    /// A group of `count` founders, all running.
    pub fn new(count: usize) -> Self {
        let mut hosts = Vec::new();
        for n in 0..count {
            let name = HostName::new(format!("c{n}")).expect("a good name");
            let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16));
            let id = ReplicaId { host: name.clone(), incarnation: 1 };
            hosts.push(Host { name, address, disk: FakeDisk::default(), id, process: None });
        }
        let peers = hosts.iter().map(|h| (h.id.clone(), Peer { address: h.address, voter: true }));
        let configuration = Configuration { peers: peers.collect() };
        let mut world = Self {
            now: Time(1_000_000),
            hosts,
            messages: Vec::new(),
            cuts: BTreeSet::new(),
            next_command: 0,
            next_incarnation: 2,
            repairing: BTreeSet::new(),
            oracle: Oracle::default(),
            timing: Timing::default(),
            is_prompt: false,
            steps: 0,
        };
        for n in 0..count {
            let host = &world.hosts[n];
            let snapshot = Snapshot {
                index: Index(1),
                term: Term(1),
                configuration: configuration.clone(),
                data: encode(&[]).into(),
            };
            Storage::create(host.disk.clone(), host.id.clone(), snapshot).expect("a good disk");
            world.start(n);
        }
        world
    }

    /// The same, with messages that carry one entry each.
    pub fn with_small_messages(mut self) -> Self {
        self.timing.append_bytes = 1;
        for n in 0..self.hosts.len() {
            self.kill(n, 0);
            self.start(n);
        }
        self
    }

    /// The same, with a network that delivers most messages in order.
    pub const fn with_prompt_network(mut self) -> Self {
        self.is_prompt = true;
        self
    }

    /// What was done so far.
    pub fn done(&self) -> Done {
        let (leaders, acknowledged) = self.oracle.counts();
        Done { steps: self.steps, leaders, acknowledged }
    }

    /// Takes one step that the fuzzer chooses.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.steps += 1;
        let n = u.choose_index(self.hosts.len())?;
        // Faults are rare enough for leaders to be elected between them, and dense enough to meet.
        match u.int_in_range(0..=999_u16)? {
            0..=549 => self.deliver(u)?,
            550..=799 => self.pass_time(Duration::from_millis(u.int_in_range(1..=60)?)),
            800..=939 => self.propose(n),
            940..=945 => self.kill(n, u.int_in_range(0..=64)?),
            946..=965 => self.start(n),
            966..=975 => self.lose_message(u)?,
            976..=979 => self.cut(n, u)?,
            980..=985 => self.cuts.clear(),
            986..=989 => self.freeze(n, Duration::from_millis(u.int_in_range(100..=3_000)?)),
            990..=991 => self.lose_disk(n),
            992 => self.damage_disk(n, u.int_in_range(0..=4_000)?),
            993..=994 => self.hand_over(n),
            _ => self.deliver(u)?,
        }
        self.check();
        Ok(())
    }

    /// Ends all faults but one; a new command must be acknowledged in time wherever a process runs.
    ///
    /// If every host has its vote, one of them stays down: the rest must do without it.
    pub fn heal(&mut self) {
        self.cuts.clear();
        let absent = self.repairing.is_empty().then_some(self.next_command as usize % 3);
        for n in 0..self.hosts.len() {
            if absent == Some(n) {
                self.kill(n, 0);
                continue;
            }
            self.start(n);
            self.thaw(n);
        }
        let limit = self.now.after(HEAL_LIMIT);
        let command = self.next_command;
        let wanted = command.to_le_bytes().to_vec();
        while self.now < limit {
            self.pass_time(Duration::from_millis(10));
            self.deliver_all();
            for n in 0..self.hosts.len() {
                self.next_command = command;
                self.propose(n);
            }
            self.deliver_all();
            self.check();
            let has_it = |p: &Running| p.commands.contains(&wanted);
            let everywhere =
                self.hosts.iter().enumerate().all(|(n, host)| {
                    absent == Some(n) || host.process.as_ref().is_some_and(has_it)
                });
            if everywhere {
                self.next_command = command + 1;
                self.oracle.nothing_lost();
                return;
            }
        }
        let views: Vec<_> =
            self.hosts.iter().filter_map(|h| Some(h.process.as_ref()?.replica.status())).collect();
        panic!("no progress within {HEAL_LIMIT:?} after all faults ended: {views:#?}");
    }

    pub fn check(&mut self) {
        let deciding: Vec<(ReplicaId, Term)> = self
            .hosts
            .iter()
            .filter_map(|host| host.process.as_ref())
            .filter(|p| p.frozen_until <= self.now && p.replica.can_propose(self.now))
            .map(|p| (p.replica.id().clone(), p.replica.term()))
            .collect();
        for (id, term) in &deciding {
            let others: Vec<ReplicaId> =
                deciding.iter().map(|(other, _)| other.clone()).filter(|o| o != id).collect();
            self.oracle.decides(self.now, id, *term, &others);
        }
        self.oracle.nothing_lost();
    }

    pub fn start(&mut self, n: usize) {
        if self.hosts[n].process.is_some() {
            return;
        }
        let disk = self.hosts[n].disk.clone();
        let storage = match Storage::open(disk.clone()) {
            Ok(Some(storage)) => storage,
            Ok(None) => self.new_incarnation(n),
            Err(error) => {
                assert!(error.is_damaged(), "the disk itself does not fail: {error}");
                let old = self.hosts[n].id.clone();
                self.oracle.disk_lost(&old);
                disk.wipe();
                self.new_incarnation(n)
            }
        };
        let restored = storage.restored();
        assert_eq!(restored.id, self.hosts[n].id, "a disk keeps its identity");
        let seed = self.now.0 ^ n as u64;
        let replica = Replica::new(restored, self.timing, self.now, seed);
        let process = Running {
            replica,
            storage,
            commands: Vec::new(),
            applied: Index(0),
            proposed: BTreeMap::new(),
            frozen_until: self.now,
        };
        self.hosts[n].process = Some(process);
        self.carry_out(n);
    }

    fn new_incarnation(&mut self, n: usize) -> Storage<FakeDisk> {
        let host = &mut self.hosts[n];
        host.id = ReplicaId { host: host.name.clone(), incarnation: self.next_incarnation };
        self.next_incarnation += 1;
        self.repairing.insert(n);
        Storage::create(host.disk.clone(), host.id.clone(), Snapshot::default())
            .expect("a good disk")
    }

    pub fn kill(&mut self, n: usize, kept: usize) {
        self.hosts[n].process = None;
        self.hosts[n].disk.crash(kept);
    }

    /// Whether one more disk may be lost: all hosts vote, and a quorum of their disks is left.
    fn may_lose_disk(&self) -> bool {
        self.repairing.is_empty()
    }

    pub fn lose_disk(&mut self, n: usize) {
        if !self.may_lose_disk() {
            return;
        }
        self.kill(n, 0);
        self.hosts[n].disk.wipe();
        let id = self.hosts[n].id.clone();
        self.oracle.disk_lost(&id);
        self.repairing.insert(n);
    }

    /// A flipped bit counts as a lost disk, for it may be all that was left of a promise.
    fn damage_disk(&mut self, n: usize, at: usize) {
        if !self.may_lose_disk() {
            return;
        }
        self.kill(n, 0);
        if self.hosts[n].disk.flip(at) {
            self.repairing.insert(n);
        }
    }

    fn freeze(&mut self, n: usize, span: Duration) {
        let until = self.now.after(span);
        if let Some(process) = &mut self.hosts[n].process {
            process.frozen_until = until;
        }
    }

    /// How many hosts there are.
    pub const fn len(&self) -> usize {
        self.hosts.len()
    }

    /// A host whose replica may decide.
    pub fn deciding_host(&self) -> Option<usize> {
        self.hosts.iter().position(|host| {
            let process = host.process.as_ref().filter(|p| p.frozen_until <= self.now);
            process.is_some_and(|p| p.replica.can_propose(self.now))
        })
    }

    /// Where a replica runs.
    pub fn place_of(&self, id: &ReplicaId) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == id.host)
    }

    fn thaw(&mut self, n: usize) {
        let now = self.now;
        if let Some(process) = &mut self.hosts[n].process {
            process.frozen_until = now;
        }
    }

    fn cut(&mut self, n: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let other = u.choose_index(self.hosts.len())?;
        self.cuts.insert((n, other));
        // Half of the cuts are one way.
        if u.arbitrary()? {
            self.cuts.insert((other, n));
        }
        Ok(())
    }

    fn hand_over(&mut self, n: usize) {
        let now = self.now;
        if let Some(process) = self.awake(n) {
            process.replica.hand_over(now);
        }
        self.carry_out(n);
    }

    fn awake(&mut self, n: usize) -> Option<&mut Running> {
        let now = self.now;
        self.hosts[n].process.as_mut().filter(|p| p.frozen_until <= now)
    }

    pub fn propose(&mut self, n: usize) {
        let now = self.now;
        let command = self.next_command.to_le_bytes().to_vec();
        let Some(process) = self.awake(n) else { return };
        let Ok(index) = process.replica.propose(now, command.clone()) else { return };
        process.proposed.insert(index, command);
        process.replica.replicate(now);
        self.next_command += 1;
        self.carry_out(n);
    }

    pub fn pass_time(&mut self, span: Duration) {
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.pass_time_for(&all, span);
        self.ask_for_places();
    }

    /// Time passes; only some processes notice, the timers of the others are late.
    pub fn pass_time_for(&mut self, hosts: &[usize], span: Duration) {
        self.now = self.now.after(span);
        let now = self.now;
        // A process may decide after it stood still and before its next tick.
        self.check();
        for n in hosts.iter().copied() {
            let Some(process) = self.awake(n) else { continue };
            process.replica.tick(now);
            self.carry_out(n);
        }
    }

    /// Hosts that need a place ask every other one, as the process does.
    fn ask_for_places(&mut self) {
        let asking: Vec<(ReplicaId, SocketAddr)> = self
            .hosts
            .iter()
            .filter_map(|host| {
                let replica = &host.process.as_ref()?.replica;
                replica.needs_membership().then(|| (replica.id().clone(), host.address))
            })
            .collect();
        for (id, address) in asking {
            for n in 0..self.hosts.len() {
                if let Some(process) = self.awake(n) {
                    process.replica.join(id.clone(), address);
                }
            }
        }
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.messages.is_empty() {
            return Ok(());
        }
        if self.is_prompt {
            return self.deliver_promptly(u);
        }
        // Any message may come next, and some come twice.
        let index = u.choose_index(self.messages.len())?;
        let message = if u.ratio(1, 12)? {
            self.messages[index].clone()
        } else {
            self.messages.swap_remove(index)
        };
        self.hand_in(message);
        Ok(())
    }

    /// Most messages come in order and at once; some late, some twice.
    fn deliver_promptly(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=6_u8)? {
            if self.messages.is_empty() {
                break;
            }
            let late = u.ratio(1, 8)?;
            let index = if late { u.choose_index(self.messages.len())? } else { 0 };
            let message = if u.ratio(1, 24)? {
                self.messages[index].clone()
            } else {
                self.messages.remove(index)
            };
            self.hand_in(message);
        }
        Ok(())
    }

    /// Delivers what is on the way; the answers to that arrive later.
    pub fn deliver_all(&mut self) {
        for message in std::mem::take(&mut self.messages) {
            self.hand_in(message);
        }
    }

    fn lose_message(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.messages.is_empty() {
            let index = u.choose_index(self.messages.len())?;
            self.messages.swap_remove(index);
        }
        Ok(())
    }

    pub fn hand_in(&mut self, message: Message) {
        let (from, to) = (self.place_of(&message.from), self.place_of(&message.to));
        let (Some(from), Some(to)) = (from, to) else { return };
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let now = self.now;
        let Some(process) = self.awake(to) else { return };
        process.replica.step(now, message);
        self.carry_out(to);
    }

    /// Does what the driver does: write, then send, then apply.
    fn carry_out(&mut self, n: usize) {
        loop {
            let Some(process) = &mut self.hosts[n].process else { return };
            let out = process.replica.take_output();
            if out.is_empty() {
                break;
            }
            let Output { writes, messages, installed, committed } = out;
            process.storage.write(&writes).expect("the disk does not fail");
            for message in messages {
                self.oracle.sent(&message.from);
                if self.messages.len() < MESSAGES_MAX {
                    self.messages.push(message);
                }
            }
            if let Some(snapshot) = installed {
                process.commands = decode(&snapshot.data);
                process.applied = snapshot.index;
                process.proposed.clear();
                self.oracle.state(process.replica.id(), process.applied, &process.commands);
            }
            for entry in committed {
                assert_eq!(entry.index, process.applied.next(), "entries come in order");
                self.oracle.applied(process.replica.id(), &entry);
                process.applied = entry.index;
                let mine = process.proposed.remove(&entry.index);
                if let Payload::Command(bytes) = &entry.payload {
                    process.commands.push(bytes.to_vec());
                    if mine.as_deref() == Some(bytes.as_ref()) {
                        self.oracle.acknowledged(bytes, entry.index);
                    }
                }
            }
            if process.replica.log_entries() >= SNAPSHOT_ENTRIES {
                process.replica.compact(process.applied, encode(&process.commands));
            }
        }
        self.note_repaired(n);
    }

    /// A host counts as repaired once a quorum applied the change that gives it a vote back.
    fn note_repaired(&mut self, n: usize) {
        let Some(process) = &self.hosts[n].process else { return };
        let status = process.replica.status();
        let voters: BTreeSet<&ReplicaId> = status.configuration.voters().collect();
        let settled = status.last == status.commit && voters.len() == self.hosts.len();
        // A host that is down and under repair still bears the name of its lost disk.
        let back = self.repairing.iter().all(|n| self.hosts[*n].process.is_some());
        let all_vote = back && self.hosts.iter().all(|host| voters.contains(&host.id));
        if settled && all_vote && process.replica.can_propose(self.now) {
            self.repairing.clear();
        }
    }
}

fn encode(commands: &[Vec<u8>]) -> Vec<u8> {
    commands.concat()
}

fn decode(data: &[u8]) -> Vec<Vec<u8>> {
    data.chunks(8).map(<[u8]>::to_vec).collect()
}
