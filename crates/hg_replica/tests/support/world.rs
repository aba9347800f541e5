//! The simulated world: hosts with replicas, a network, a clock and the faults that the fuzzer
//! injects.

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

/// The maximum number of in-flight messages; further ones are dropped.
const MESSAGES_MAX: usize = 200;
/// The number of log entries after which a replica takes a snapshot.
const SNAPSHOT_ENTRIES: usize = 6;
/// The time after the last fault within which a command must be applied.
const HEAL_LIMIT: Duration = Duration::from_secs(20);

/// A running process with its replica.
struct Process {
    replica: Replica,
    storage: Storage<FakeDisk>,
    /// The state machine: all applied commands in order.
    commands: Vec<Vec<u8>>,
    applied: Index,
    /// Commands that were proposed here and not applied yet, by index.
    proposed: BTreeMap<Index, Vec<u8>>,
    /// The time until which the process is frozen; it then handles neither messages nor timers.
    frozen_until: Time,
}

/// A host with a disk, and its process if that is running.
struct Host {
    name: HostName,
    address: SocketAddr,
    disk: FakeDisk,
    id: ReplicaId,
    process: Option<Process>,
}

/// The simulated world.
pub struct World {
    now: Time,
    hosts: Vec<Host>,
    /// Messages in flight.
    pub messages: Vec<Message>,
    /// Broken links, as pairs of sender and recipient.
    pub cut_links: BTreeSet<(usize, usize)>,
    next_command: u64,
    next_incarnation: u64,
    /// Hosts that lost their disk and whose new incarnation has no vote yet.
    rejoining: BTreeSet<usize>,
    oracle: Oracle,
    timing: Timing,
    /// Whether most messages are delivered in order, so that leaders stay in office longer.
    is_mostly_ordered: bool,
    /// The number of steps taken, to report the steps per second.
    pub steps: u64,
    /// How often a process ended since its disk was full.
    pub disk_failures: u64,
}

/// Counts of what a run did, to check that it made progress.
#[derive(Debug, Default, Clone, Copy)]
pub struct RunTotals {
    /// The number of steps taken.
    pub steps: u64,
    /// The number of terms with a leader.
    pub leaders: usize,
    /// The number of acknowledged commands.
    pub acknowledged: usize,
}

impl World {
    /// A group of `count` founders, all running.
    pub fn new(count: usize) -> Self {
        let mut hosts = Vec::new();
        for n in 0..count {
            let name = HostName::new(format!("c{n}")).expect("the name is valid");
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
            cut_links: BTreeSet::new(),
            next_command: 0,
            next_incarnation: 2,
            rejoining: BTreeSet::new(),
            oracle: Oracle::default(),
            timing: Timing::default(),
            is_mostly_ordered: false,
            steps: 0,
            disk_failures: 0,
        };
        for n in 0..count {
            let host = &world.hosts[n];
            let snapshot = Snapshot {
                index: Index(1),
                term: Term(1),
                configuration: configuration.clone(),
                data: encode(&[]).into(),
            };
            Storage::create(host.disk.clone(), host.id.clone(), snapshot)
                .expect("the disk does not fail");
            world.start(n);
        }
        world
    }

    /// Restarts the hosts with messages that carry at most one entry each.
    pub fn with_small_messages(mut self) -> Self {
        self.timing.append_bytes = 1;
        for n in 0..self.hosts.len() {
            self.kill(n, 0);
            self.start(n);
        }
        self
    }

    /// Uses a network that delivers most messages in order.
    pub const fn with_mostly_ordered_network(mut self) -> Self {
        self.is_mostly_ordered = true;
        self
    }

    /// The counts so far.
    pub fn totals(&self) -> RunTotals {
        let (leaders, acknowledged) = self.oracle.counts();
        RunTotals { steps: self.steps, leaders, acknowledged }
    }

    /// Takes one step that the fuzzer chooses.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.steps += 1;
        let n = u.choose_index(self.hosts.len())?;
        // Faults are rare enough for a leader to be elected between them, and frequent enough to
        // overlap.
        match u.int_in_range(0..=999_u16)? {
            0..=549 => self.deliver(u)?,
            550..=799 => self.pass_time(Duration::from_millis(u.int_in_range(1..=60)?)),
            800..=939 => self.propose(n),
            940..=945 => self.kill(n, u.int_in_range(0..=64)?),
            946..=965 => self.start(n),
            966..=975 => self.lose_message(u)?,
            976..=979 => self.cut_link(n, u)?,
            980..=985 => self.cut_links.clear(),
            986..=989 => self.freeze(n, Duration::from_millis(u.int_in_range(100..=3_000)?)),
            990..=991 => self.lose_disk(n),
            992 => self.damage_disk(n, u.int_in_range(0..=4_000)?),
            993..=994 => self.transfer_leadership(n),
            _ => self.deliver(u)?,
        }
        self.check();
        Ok(())
    }

    /// Ends all faults, then checks that every running process applies a new command in time.
    ///
    /// If every host has its vote, one of them is stopped: the others must make progress without
    /// it.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        let stopped_host = self.rejoining.is_empty().then_some(self.next_command as usize % 3);
        for n in 0..self.hosts.len() {
            if stopped_host == Some(n) {
                self.kill(n, 0);
                continue;
            }
            self.start(n);
            self.unfreeze(n);
        }
        let limit = self.now.after(HEAL_LIMIT);
        let command = self.next_command;
        let expected = command.to_le_bytes().to_vec();
        while self.now < limit {
            self.pass_time(Duration::from_millis(10));
            self.deliver_all();
            for n in 0..self.hosts.len() {
                self.next_command = command;
                self.propose(n);
            }
            self.deliver_all();
            self.check();
            let has_applied = |p: &Process| p.commands.contains(&expected);
            let everywhere = self.hosts.iter().enumerate().all(|(n, host)| {
                stopped_host == Some(n) || host.process.as_ref().is_some_and(has_applied)
            });
            if everywhere {
                self.next_command = command + 1;
                self.oracle.check_acknowledged();
                return;
            }
        }
        let views: Vec<_> =
            self.hosts.iter().filter_map(|h| Some(h.process.as_ref()?.replica.status())).collect();
        panic!("no progress within {HEAL_LIMIT:?} after all faults ended: {views:#?}");
    }

    /// Checks the invariants of leadership and of acknowledged commands.
    pub fn check(&mut self) {
        let leaders: Vec<(ReplicaId, Term)> = self
            .hosts
            .iter()
            .filter_map(|host| host.process.as_ref())
            .filter(|p| p.frozen_until <= self.now && p.replica.can_propose(self.now))
            .map(|p| (p.replica.id().clone(), p.replica.term()))
            .collect();
        for (id, term) in &leaders {
            let others: Vec<ReplicaId> =
                leaders.iter().map(|(other, _)| other.clone()).filter(|o| o != id).collect();
            self.oracle.check_sole_leader(self.now, id, *term, &others);
        }
        self.oracle.check_acknowledged();
    }

    pub fn start(&mut self, n: usize) {
        if self.hosts[n].process.is_some() {
            return;
        }
        let disk = self.hosts[n].disk.clone();
        let storage = match Storage::open(disk.clone()) {
            Ok(Some(storage)) => storage,
            Ok(None) => self.new_incarnation(n),
            Err(_) if disk.0.borrow().is_full => return,
            Err(error) => {
                assert!(error.is_damaged(), "the log is corrupted, without an I/O error: {error}");
                let old = self.hosts[n].id.clone();
                self.oracle.record_disk_lost(&old);
                disk.wipe();
                self.new_incarnation(n)
            }
        };
        let restored = storage.state();
        assert_eq!(restored.id, self.hosts[n].id, "a disk keeps its identity");
        let seed = self.now.0 ^ n as u64;
        let replica = Replica::new(restored, self.timing, self.now, seed);
        let process = Process {
            replica,
            storage,
            commands: Vec::new(),
            applied: Index(0),
            proposed: BTreeMap::new(),
            frozen_until: self.now,
        };
        self.hosts[n].process = Some(process);
        self.process_output(n);
    }

    fn new_incarnation(&mut self, n: usize) -> Storage<FakeDisk> {
        let host = &mut self.hosts[n];
        host.id = ReplicaId { host: host.name.clone(), incarnation: self.next_incarnation };
        self.next_incarnation += 1;
        self.rejoining.insert(n);
        Storage::create(host.disk.clone(), host.id.clone(), Snapshot::default())
            .expect("the disk does not fail")
    }

    /// Fills a host's disk, or frees it.
    pub fn set_disk_full(&mut self, n: usize, is_full: bool) {
        self.hosts[n].disk.set_full(is_full);
    }

    /// Whether a host's process is running.
    pub fn is_running(&self, n: usize) -> bool {
        self.hosts[n].process.is_some()
    }

    /// Proposes a command at the leader, if there is one, and waits until it is applied everywhere. Returns whether that
    /// happens within `limit`.
    pub fn commits_within(&mut self, limit: Duration) -> bool {
        let deadline = self.now.after(limit);
        let command = self.next_command;
        let expected = command.to_le_bytes().to_vec();
        while self.now < deadline {
            self.pass_time(Duration::from_millis(10));
            if let Some(leader) = self.leader_host() {
                self.next_command = command;
                self.propose(leader);
            }
            self.deliver_all();
            self.check();
            let has_applied = |p: &Process| p.commands.contains(&expected);
            if self.hosts.iter().all(|host| host.process.as_ref().is_some_and(has_applied)) {
                self.next_command = command + 1;
                return true;
            }
        }
        false
    }

    pub fn kill(&mut self, n: usize, kept: usize) {
        self.hosts[n].process = None;
        self.hosts[n].disk.crash(kept);
    }

    /// Whether another disk may be lost: all hosts have a vote, so that a quorum of disks is left.
    fn may_lose_disk(&self) -> bool {
        self.rejoining.is_empty()
    }

    pub fn lose_disk(&mut self, n: usize) {
        if !self.may_lose_disk() {
            return;
        }
        self.kill(n, 0);
        self.hosts[n].disk.wipe();
        let id = self.hosts[n].id.clone();
        self.oracle.record_disk_lost(&id);
        self.rejoining.insert(n);
    }

    /// Flips a bit on a host's disk; counts as a lost disk, since the bit may belong to the only
    /// record of a vote or an acknowledged entry.
    fn damage_disk(&mut self, n: usize, at: usize) {
        if !self.may_lose_disk() {
            return;
        }
        self.kill(n, 0);
        if self.hosts[n].disk.flip_bit(at) {
            self.rejoining.insert(n);
        }
    }

    fn freeze(&mut self, n: usize, span: Duration) {
        let until = self.now.after(span);
        if let Some(process) = &mut self.hosts[n].process {
            process.frozen_until = until;
        }
    }

    /// The number of hosts.
    pub const fn len(&self) -> usize {
        self.hosts.len()
    }

    /// The host of a leader that can propose.
    pub fn leader_host(&self) -> Option<usize> {
        self.hosts.iter().position(|host| {
            let process = host.process.as_ref().filter(|p| p.frozen_until <= self.now);
            process.is_some_and(|p| p.replica.can_propose(self.now))
        })
    }

    /// The host that a replica belongs to.
    pub fn host_of(&self, id: &ReplicaId) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == id.host)
    }

    fn unfreeze(&mut self, n: usize) {
        let now = self.now;
        if let Some(process) = &mut self.hosts[n].process {
            process.frozen_until = now;
        }
    }

    fn cut_link(&mut self, n: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let other = u.choose_index(self.hosts.len())?;
        self.cut_links.insert((n, other));
        // Half of the cuts are one-way.
        if u.arbitrary()? {
            self.cut_links.insert((other, n));
        }
        Ok(())
    }

    fn transfer_leadership(&mut self, n: usize) {
        let now = self.now;
        if let Some(process) = self.active_process(n) {
            process.replica.transfer_leadership(now);
        }
        self.process_output(n);
    }

    /// The process of a host, if it is running and not frozen.
    fn active_process(&mut self, n: usize) -> Option<&mut Process> {
        let now = self.now;
        self.hosts[n].process.as_mut().filter(|p| p.frozen_until <= now)
    }

    pub fn propose(&mut self, n: usize) {
        let now = self.now;
        let command = self.next_command.to_le_bytes().to_vec();
        let Some(process) = self.active_process(n) else { return };
        let Ok(index) = process.replica.propose(now, command.clone()) else { return };
        process.proposed.insert(index, command);
        process.replica.replicate(now);
        self.next_command += 1;
        self.process_output(n);
    }

    pub fn pass_time(&mut self, span: Duration) {
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.pass_time_for(&all, span);
        self.send_join_requests();
    }

    /// Advances time, but runs the timers of only some hosts; those of the others are late.
    pub fn pass_time_for(&mut self, hosts: &[usize], span: Duration) {
        self.now = self.now.after(span);
        let now = self.now;
        // A process may be asked to decide after it was frozen and before its next tick.
        self.check();
        for n in hosts.iter().copied() {
            let Some(process) = self.active_process(n) else { continue };
            process.replica.tick(now);
            self.process_output(n);
        }
    }

    /// Hosts that need to become members ask every host, as the real process does.
    fn send_join_requests(&mut self) {
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
                if let Some(process) = self.active_process(n) {
                    process.replica.on_membership_request(id.clone(), address);
                }
            }
        }
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.messages.is_empty() {
            return Ok(());
        }
        if self.is_mostly_ordered {
            return self.deliver_mostly_in_order(u);
        }
        // Any message may be delivered next, and some are delivered twice.
        let index = u.choose_index(self.messages.len())?;
        let message = if u.ratio(1, 12)? {
            self.messages[index].clone()
        } else {
            self.messages.swap_remove(index)
        };
        self.deliver_message(message);
        Ok(())
    }

    /// Delivers a few messages, mostly in order; some out of order, some twice.
    fn deliver_mostly_in_order(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=6_u8)? {
            if self.messages.is_empty() {
                break;
            }
            let reordered = u.ratio(1, 8)?;
            let index = if reordered { u.choose_index(self.messages.len())? } else { 0 };
            let message = if u.ratio(1, 24)? {
                self.messages[index].clone()
            } else {
                self.messages.remove(index)
            };
            self.deliver_message(message);
        }
        Ok(())
    }

    /// Delivers all messages in flight, but not the replies to them.
    pub fn deliver_all(&mut self) {
        for message in std::mem::take(&mut self.messages) {
            self.deliver_message(message);
        }
    }

    fn lose_message(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.messages.is_empty() {
            let index = u.choose_index(self.messages.len())?;
            self.messages.swap_remove(index);
        }
        Ok(())
    }

    pub fn deliver_message(&mut self, message: Message) {
        let (from, to) = (self.host_of(&message.from), self.host_of(&message.to));
        let (Some(from), Some(to)) = (from, to) else { return };
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        let now = self.now;
        let Some(process) = self.active_process(to) else { return };
        process.replica.step(now, message);
        self.process_output(to);
    }

    /// Processes a replica's output as the driver does: write, then send, then apply.
    fn process_output(&mut self, n: usize) {
        loop {
            let Some(process) = &mut self.hosts[n].process else { return };
            let out = process.replica.take_output();
            if out.is_empty() {
                break;
            }
            let Output { writes, messages, installed_snapshot, committed } = out;
            if process.storage.write(&writes).is_err() {
                // The process ends; its file stays as it was written.
                self.disk_failures += 1;
                self.kill(n, usize::MAX);
                return;
            }
            for message in messages {
                self.oracle.check_sender(&message.from);
                if self.messages.len() < MESSAGES_MAX {
                    self.messages.push(message);
                }
            }
            if let Some(snapshot) = installed_snapshot {
                process.commands = decode(&snapshot.data);
                process.applied = snapshot.index;
                process.proposed.clear();
                self.oracle.check_state(process.replica.id(), process.applied, &process.commands);
            }
            for entry in committed {
                assert_eq!(entry.index, process.applied.next(), "entries are committed in order");
                self.oracle.record_applied(process.replica.id(), &entry);
                process.applied = entry.index;
                let own_command = process.proposed.remove(&entry.index);
                if let Payload::Command(bytes) = &entry.payload {
                    process.commands.push(bytes.to_vec());
                    if own_command.as_deref() == Some(bytes.as_ref()) {
                        self.oracle.record_acknowledged(bytes, entry.index);
                    }
                }
            }
            if process.replica.log_entries() >= SNAPSHOT_ENTRIES {
                process.replica.compact(process.applied, encode(&process.commands));
            }
        }
        self.update_rejoining(n);
    }

    /// Clears `rejoining` once a leader has committed a configuration in which every host has a
    /// vote.
    fn update_rejoining(&mut self, n: usize) {
        let Some(process) = &self.hosts[n].process else { return };
        let status = process.replica.status();
        let voters: BTreeSet<&ReplicaId> = status.configuration.voters().collect();
        let settled = status.last == status.commit && voters.len() == self.hosts.len();
        // A rejoining host that is down still has the id that belongs to its lost disk.
        let all_running = self.rejoining.iter().all(|n| self.hosts[*n].process.is_some());
        let all_vote = all_running && self.hosts.iter().all(|host| voters.contains(&host.id));
        if settled && all_vote && process.replica.can_propose(self.now) {
            self.rejoining.clear();
        }
    }
}

fn encode(commands: &[Vec<u8>]) -> Vec<u8> {
    commands.concat()
}

fn decode(data: &[u8]) -> Vec<Vec<u8>> {
    data.chunks(8).map(<[u8]>::to_vec).collect()
}
