//! Guards against a new leader that takes a pool of which no entry has reported yet for an empty one, and
//! refuses for good what fits the upstreams that it is about to learn of.

#[path = "workflow_world/memory_disk.rs"]
mod memory_disk;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hg_control::{Core, CoreConfig, Event, Ticket};
use hg_ledger::Ledger;
use hg_link::{EntryHeartbeat, Reply, Request, encode};
use hg_model::{
    AccountName, DataCentreName, Digest, EntryName, HostName, JobClass, JobId, JobSpec, KindName,
    ListVersion, Lists, NotRunReason, OperationId, Plan, PlanName, RackName, Resources, Shape,
    Term, Time, UpstreamHeartbeat, UpstreamName, UpstreamSpec,
};
use hg_policy::{PolicyConfig, WorkflowBounds, WorkflowPolicies};
use hg_replica::{Configuration, Index, Peer, ReplicaId, Snapshot, Storage, Timing};
use hg_settings::ControlLimits;
use memory_disk::MemoryDisk;
use slog::{Discard, Logger, o};

/// One step of the core, in milliseconds.
const STEP_MS: u64 = 20;
/// Longer than an election of one voter and any wait for reports, shorter than the time after which an entry
/// counts as unresponsive, in milliseconds.
const AFTER_ELECTION_MS: u64 = 2_900;
/// How long until an entry that the previous leader knew counts as unresponsive, and an election, in milliseconds.
const SILENCE_MS: u64 = 5_000;

struct Control {
    core: Core<MemoryDisk>,
    now: u64,
    ticket: u64,
}

impl Control {
    fn start(disk: &MemoryDisk, now: u64) -> Self {
        let storage = match Storage::open(disk.clone()).expect("memory") {
            Some(storage) => storage,
            None => Storage::create(disk.clone(), replica(), founding()).expect("memory"),
        };
        let cfg = CoreConfig {
            timing: Timing::default(),
            limits: ControlLimits::default(),
            policy: PolicyConfig::default(),
            workflows: WorkflowBounds::default(),
            policies: WorkflowPolicies::default(),
            drain: None,
            data_centres: BTreeSet::new(),
        };
        let log = Logger::root(Discard, o!());
        Self { core: Core::new(storage, cfg, log, Time(now), 1), now, ticket: 0 }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.core.handle(Time(self.now), Vec::new()).expect("memory");
        }
    }

    fn request(&mut self, req: Request) -> Reply {
        self.ticket += 1;
        let ticket = Ticket(self.ticket);
        let events = vec![Event::Request { ticket, req }];
        let actions = self.core.handle(Time(self.now), events).expect("memory");
        let mut replies = actions.replies.into_iter();
        replies.find(|(of, _)| *of == ticket).expect("a single voter replies at once").1
    }

    /// Entry `e1` reports `upstreams`.
    fn report(&mut self, upstreams: &[&str]) {
        let changed = upstreams.iter().map(|name| heartbeat(name)).collect();
        let entry = EntryName::new("e1").expect("a good name");
        let report = EntryHeartbeat { entry, full: true, changed, lost: Vec::new() };
        assert!(matches!(self.request(Request::Beats(report)), Reply::Beats { .. }));
    }

    fn submit(&mut self, id: &str, tasks: u32) -> Reply {
        let spec = JobSpec {
            id: JobId::new(id).expect("a good name"),
            account: AccountName::new("lindqvist").expect("a good name"),
            kind: KindName::new("quote").expect("a good name"),
            class: JobClass::Urgent,
            shape: Shape { tasks, per_task: one_accelerator(), adjacent: false },
            idempotent: false,
            checkpointable: false,
            expected_ms: 0,
            deadline_ms: 60_000,
            body_sha256: Digest::of(b"work"),
        };
        let home = EntryName::new("e1").expect("a good name");
        self.request(Request::Submit { spec, home })
    }
}

fn one_accelerator() -> Resources {
    Resources { accelerators: 1, processors: 1, memory_mib: 64 }
}

fn replica() -> ReplicaId {
    ReplicaId { host: HostName::new("c1").expect("a good name"), incarnation: 1 }
}

fn founding() -> Snapshot {
    let own = Peer { address: SocketAddr::from(([127, 0, 0, 1], 7_000)), voter: true };
    Snapshot {
        index: Index(1),
        term: Term(1),
        configuration: Configuration { peers: BTreeMap::from([(replica(), own)]) },
        data: encode(&Ledger::new()).into(),
    }
}

fn heartbeat(name: &str) -> UpstreamHeartbeat {
    let spec = UpstreamSpec {
        name: UpstreamName::new(name).expect("a good name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        host: HostName::new(name).expect("a good name"),
        rack: RackName::new("r1").expect("a good name"),
        data_centre: DataCentreName::new("north").expect("a good name"),
        capacity: Resources { accelerators: 8, processors: 32, memory_mib: 131_072 },
        slots: 8,
        connections: 60,
        boot: 1,
    };
    UpstreamHeartbeat { spec, leaving: false, leases: Vec::new(), ended: Vec::new() }
}

fn lists() -> Lists {
    let limit = Resources { accelerators: 64, processors: 640, memory_mib: 1_000_000 };
    let plan = Plan {
        name: PlanName::new("pro").expect("a good name"),
        weight: 1,
        limit,
        guarantees: Vec::new(),
    };
    let account = hg_model::Account {
        name: AccountName::new("lindqvist").expect("a good name"),
        plan: plan.name.clone(),
    };
    Lists { plans: vec![plan], accounts: vec![account] }
}

/// A deployment with lists and an upstream, whose control process has just restarted: its log is there, what
/// the entries reported is not.
fn restarted() -> Control {
    let disk = MemoryDisk::default();
    let mut control = Control::start(&disk, 1_000_000);
    control.run(AFTER_ELECTION_MS);
    control.report(&["u1"]);
    control.run(AFTER_ELECTION_MS);
    let (op, lists) = (OperationId::new("first").expect("a good name"), lists());
    let reply = control.request(Request::PutLists { op, expect: ListVersion(0), lists });
    assert_eq!(reply, Reply::Accepted(ListVersion(1)));
    Control::start(&disk, control.now)
}

#[test]
fn job_is_not_refused_for_good_before_an_entry_has_reported() {
    let mut control = restarted();
    control.run(AFTER_ELECTION_MS);
    assert_eq!(control.submit("during", 1), Reply::Busy);
    control.run(SILENCE_MS);
    assert_eq!(control.submit("during", 1), Reply::Busy, "no entry has reported for long");
    control.report(&["u1"]);
    control.run(AFTER_ELECTION_MS);
    let reply = control.submit("during", 1);
    assert!(matches!(reply, Reply::Job(_)), "{reply:?}");
}

#[test]
fn job_is_not_refused_for_good_while_other_entries_may_report() {
    let mut control = restarted();
    control.run(AFTER_ELECTION_MS / 2);
    control.report(&["u1"]);
    control.run(AFTER_ELECTION_MS / 2);
    assert_eq!(control.submit("wide", 16), Reply::Busy, "more upstreams may be reported");
    control.report(&["u1", "u2"]);
    let reply = control.submit("wide", 16);
    assert!(matches!(reply, Reply::Job(_)), "{reply:?}");
}

#[test]
fn job_that_fits_nowhere_is_refused_once_the_pool_is_known() {
    let mut control = restarted();
    control.run(AFTER_ELECTION_MS / 2);
    control.report(&["u1"]);
    for _ in 0..SILENCE_MS / 1_000 {
        control.run(1_000);
        control.report(&["u1"]);
    }
    let reply = control.submit("wide", 16);
    let Reply::Refused(refused) = reply else { panic!("{reply:?}") };
    assert!(matches!(refused.reason, NotRunReason::FitsNowhere(_)), "{refused:?}");
}
