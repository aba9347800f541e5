//! Snapshots and log entries of earlier versions are still read, and earlier versions read those of this one.

use std::collections::BTreeMap;

use hg_control::{decode_ledger, encode_ledger};
use hg_ledger::{
    AccountUsage, Command, ExposedRun, HostSpeed, Ledger, ResourceTime, RunTimeChange, RunTimeKey,
    UpkeepStage, WorkflowCommand,
};
use hg_link::{VERSION, decode, encode};
use hg_model::{
    AccountName, Catalog, ClientAccount, DataCentreName, HostName, Incarnation, JobId, PoolName,
    QueueName, QueueSpec, RackName, ResourceVector, RunNumber, StepId, StepSpec, TaskId, Time,
    UpstreamName, UpstreamReport, WaveNumber, WaveSpec, WorkflowSpec,
};

fn name() -> UpstreamName {
    UpstreamName::new("u0").expect("a good name")
}

fn task() -> TaskId {
    let job = JobId::new("job").expect("a good name");
    TaskId { step: StepId { job, occurrence: 0, step: 0 }, index: 0 }
}

fn report() -> UpstreamReport {
    UpstreamReport {
        name: name(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9000".parse().expect("an address"),
        host: None,
        pool: PoolName::new("pool").expect("a good name"),
        data_centre: DataCentreName::new("north").expect("a good name"),
        rack: RackName::new("r0").expect("a good name"),
        labels: Vec::new(),
        capacity: ResourceVector::new(8, 32_000, 131_072),
        leaving: false,
    }
}

/// A ledger with a run and, if wanted, the crash of its upstream.
fn ledger(with_crash: bool) -> Ledger {
    let mut ledger = Ledger::new();
    let mut apply = |command| ledger.apply(Command::Workflow(command));
    apply(WorkflowCommand::Register(report()));
    let queue = QueueSpec {
        name: QueueName::new("queue").expect("a good name"),
        host: "host".into(),
        prefix: "/queue/".into(),
        pool: PoolName::new("pool").expect("a good name"),
        timeout_ms: 3_000,
        objective_ms: 1_000,
        stretch_milli: 3_000,
        priority: 0,
        attempts: 3,
        allow_anonymous: true,
        advice: None,
    };
    let at = Time(1_000);
    apply(WorkflowCommand::Accept {
        id: task().step.job,
        spec: WorkflowSpec::new("work", vec![StepSpec::new(1, ResourceVector::new(1, 1, 1))]),
        terms: hg_ledger::QueueTerms::of(&queue),
        account: None,
        at,
    });
    let (upstream, incarnation) = (name(), Incarnation(1));
    let start = hg_ledger::RunStart { task: task(), run: RunNumber(1), upstream, incarnation };
    apply(WorkflowCommand::Start { starts: vec![start], at });
    if with_crash {
        let run = ExposedRun { task: task(), run: RunNumber(1), since: at, is_confirmed: true };
        apply(WorkflowCommand::UpstreamCrashed {
            name: name(),
            incarnation: Incarnation(1),
            silent_since: Some(at),
            runs: vec![run],
            at,
        });
    }
    ledger
}

#[test]
fn decode_ledger_keeps_crashes() {
    let ledger = ledger(true);
    assert_eq!(ledger.workflows().crashes().of(&task()).len(), 1);
    assert_eq!(decode_ledger(&encode_ledger(&ledger)).expect("readable"), ledger);
}

#[test]
fn decode_ledger_reads_a_snapshot_without_crashes() {
    let ledger = ledger(false);
    assert_eq!(decode_ledger(&encode(&ledger)).expect("readable"), ledger);
}

/// A new leader that starts from a snapshot must not start work in a data centre that is drained.
#[test]
fn decode_ledger_keeps_drains_and_reads_a_snapshot_without_them() {
    let mut drained = ledger(true);
    let data_centre = DataCentreName::new("north").expect("a good name");
    drained.apply(Command::Workflow(WorkflowCommand::StartDrain {
        data_centre: data_centre.clone(),
        at: Time(2_000),
    }));
    let read = decode_ledger(&encode_ledger(&drained)).expect("readable");
    assert_eq!(read, drained);
    assert!(read.workflows().drains().is_drained(&data_centre));
    let without = ledger(true);
    let mut earlier = encode(&without);
    earlier.extend(encode(without.workflows().crashes()));
    assert_eq!(decode_ledger(&earlier).expect("readable"), without);
}

fn with_host_speeds(mut ledger: Ledger) -> Ledger {
    let host = HostName::new("m0").expect("a good name");
    let speed = HostSpeed { log_centi: -51, deviation_centi: 12, at: Time(2_000) };
    let (changed, at) = (vec![(host, speed)], Time(2_000));
    ledger.apply(Command::Workflow(WorkflowCommand::HostSpeeds { changed, at }));
    ledger
}

/// A ledger with a catalog and the use of its account.
fn ledger_with_usage() -> Ledger {
    let mut ledger = ledger(true);
    let name = AccountName::new("lindqvist").expect("a good name");
    let account =
        ClientAccount { name: name.clone(), keys: Vec::new(), guaranteed_accelerators: 2 };
    let catalog = Catalog {
        version: 1,
        queues: Vec::new(),
        pools: Vec::new(),
        accounts: vec![account],
        document: "{}".into(),
    };
    let use_of = |accelerator_ms| ResourceTime { accelerator_ms, ..ResourceTime::default() };
    let accounts = [(name, use_of(7))].into_iter().collect();
    let usage = AccountUsage { accounts, open: use_of(5) };
    ledger.apply(Command::Workflow(WorkflowCommand::PutCatalog(catalog)));
    ledger.apply(Command::Workflow(WorkflowCommand::RecordUsage(usage)));
    ledger
}

#[test]
fn decode_ledger_keeps_host_speeds() {
    let ledger = with_host_speeds(ledger(true));
    assert_eq!(ledger.workflows().host_speeds().hosts().len(), 1);
    assert_eq!(decode_ledger(&encode_ledger(&ledger)).expect("readable"), ledger);
}

#[test]
fn decode_ledger_reads_a_snapshot_without_host_speeds() {
    let ledger = ledger(true);
    let mut earlier = encode(&ledger);
    earlier.extend(encode(ledger.workflows().crashes()));
    assert_eq!(decode_ledger(&earlier).expect("readable"), ledger);
}

/// Guards against use that is lost with the log before a snapshot, which would make every account equal again.
#[test]
fn decode_ledger_keeps_usage() {
    let ledger = ledger_with_usage();
    assert_eq!(ledger.workflows().usage().accounts.len(), 1);
    assert_eq!(decode_ledger(&encode_ledger(&ledger)).expect("readable"), ledger);
}

/// Guards against control hosts that cannot start from a snapshot of the version before usage was added.
#[test]
fn decode_ledger_reads_a_snapshot_without_usage() {
    let ledger = ledger(true);
    let mut snapshot = encode(&ledger);
    snapshot.extend(encode(ledger.workflows().crashes()));
    assert_eq!(decode_ledger(&snapshot).expect("readable"), ledger);
}

#[test]
fn earlier_version_reads_a_snapshot_with_crashes() {
    let read: Ledger = decode(&encode_ledger(&ledger(true))).expect("readable");
    assert_eq!(read, ledger(false));
}

#[test]
fn decode_ledger_refuses_crashes_that_are_cut_short() {
    let ledger = ledger(true);
    let mut snapshot = encode(&ledger);
    snapshot.extend(encode(ledger.workflows().crashes()));
    assert!(decode_ledger(&snapshot[..snapshot.len() - 1]).is_err());
}

#[test]
fn decode_ledger_refuses_usage_that_is_cut_short() {
    let snapshot = encode_ledger(&ledger_with_usage());
    assert!(decode_ledger(&snapshot[..snapshot.len() - 1]).is_err());
}

/// A ledger with a wave whose host is ordered to go down, with the upstream on it.
fn ledger_with_upkeep() -> Ledger {
    let mut ledger = ledger(true);
    let mut apply = |command| ledger.apply(Command::Workflow(command));
    let (host, number) = (HostName::new("m0").expect("a good name"), WaveNumber(1));
    let report = UpstreamReport { host: Some(host.clone()), ..report() };
    apply(WorkflowCommand::Register(report));
    let hosts = [host.clone()].into();
    let spec = WaveSpec { number, hosts, deadline_ms: 40_000, down_max: 1 };
    apply(WorkflowCommand::StartWave { spec, at: Time(2_000) });
    apply(WorkflowCommand::Upkeep { wave: number, host, stage: UpkeepStage::Ordered });
    ledger
}

/// Guards against a new leader that starts from a snapshot and does not know what an unanswered order may have ended.
#[test]
fn decode_ledger_keeps_upkeep_targets() {
    let ledger = ledger_with_upkeep();
    let host = HostName::new("m0").expect("a good name");
    let targets = ledger.workflows().upkeep_targets().of(WaveNumber(1), &host);
    assert_eq!(targets, Some(&[(name(), Incarnation(1))].into()));
    assert_eq!(decode_ledger(&encode_ledger(&ledger)).expect("readable"), ledger);
}

#[test]
fn decode_ledger_reads_a_snapshot_without_upkeep_targets() {
    let ledger = ledger_with_upkeep();
    let mut snapshot = encode(&ledger);
    snapshot.extend(encode(ledger.workflows().crashes()));
    let read = decode_ledger(&snapshot).expect("readable");
    let host = HostName::new("m0").expect("a good name");
    assert_eq!(read.workflows().upkeep_targets().of(WaveNumber(1), &host), None);
    assert_eq!(read.workflows().waves(), ledger.workflows().waves());
}

/// Guards against a new leader that starts from a snapshot and accepts what was cancelled before.
#[test]
fn decode_ledger_keeps_tombstones_and_reads_a_snapshot_without_them() {
    let without = ledger_with_upkeep();
    let mut ledger = without.clone();
    let (id, at) = (JobId::new("cancelled").expect("a good name"), Time(2_000));
    let account = Some(AccountName::new("lindqvist").expect("a good name"));
    let cancel = WorkflowCommand::CancelUnknown { id: id.clone(), account: account.clone(), at };
    ledger.apply(Command::Workflow(cancel));
    let read = decode_ledger(&encode_ledger(&ledger)).expect("readable");
    assert_eq!(read.workflows().tombstones().cancelled_at(account.as_ref(), &id), Some(at));
    assert_eq!(read, ledger);
    let snapshot = encode_ledger(&without);
    let empty = encode(without.workflows().tombstones()).len();
    let earlier = &snapshot[..snapshot.len() - empty];
    assert_eq!(decode_ledger(earlier).expect("readable"), without);
}

/// A ledger that has learned the time of some runs, beside the crash of an upstream.
fn ledger_with_run_times() -> Ledger {
    let mut ledger = ledger(true);
    let queue = QueueName::new("queue").expect("a good name");
    let key = RunTimeKey { queue, image: None };
    let changes = vec![RunTimeChange { key, runs: BTreeMap::from([(32, 40), (60, 3)]) }];
    let at = Time(3_000);
    ledger.apply(Command::Workflow(WorkflowCommand::RunTimesLearned { changes, at }));
    ledger
}

fn with_contention(mut ledger: Ledger) -> Ledger {
    let class = |name| hg_model::TaskClass::Image(hg_model::ImageName::new(name).expect("valid"));
    let pair = hg_ledger::ContentionPair { aggressor: class("a"), victim: class("b") };
    let evidence = hg_ledger::PairEvidence { is_found: true, ..Default::default() };
    let (dropped, changed) = (Vec::new(), vec![(pair, evidence)]);
    ledger.apply(Command::Workflow(WorkflowCommand::RecordContention { dropped, changed }));
    ledger
}

#[test]
fn decode_ledger_keeps_run_times() {
    let ledger = ledger_with_run_times();
    assert_eq!(ledger.workflows().run_times().distributions().len(), 1);
    assert_eq!(decode_ledger(&encode_ledger(&ledger)).expect("readable"), ledger);
}

#[test]
fn decode_ledger_reads_a_snapshot_without_run_times() {
    let ledger = ledger(true);
    let mut snapshot = encode(&ledger);
    snapshot.extend(encode(ledger.workflows().crashes()));
    assert_eq!(decode_ledger(&snapshot).expect("readable"), ledger);
}

#[test]
fn earlier_version_reads_a_snapshot_with_run_times() {
    let read: Ledger = decode(&encode_ledger(&ledger_with_run_times())).expect("readable");
    assert_eq!(read, ledger(false));
}

#[test]
fn decode_ledger_keeps_contention() {
    let ledger = with_contention(ledger(true));
    assert_eq!(ledger.workflows().contention().found_count(), 1);
    assert_eq!(decode_ledger(&encode_ledger(&ledger)).expect("readable"), ledger);
}

/// Guards against an upgrade that cannot read what the earlier version wrote.
#[test]
fn decode_ledger_reads_a_snapshot_without_contention() {
    let ledger = ledger(true);
    let mut earlier = encode(&ledger);
    earlier.extend(encode(ledger.workflows().crashes()));
    assert_eq!(decode_ledger(&earlier).expect("readable"), ledger);
}

#[test]
fn decode_ledger_refuses_contention_that_is_cut_short() {
    let snapshot = encode_ledger(&with_contention(ledger(true)));
    assert!(decode_ledger(&snapshot[..snapshot.len() - 1]).is_err());
}

/// Commands are encoded by their position in the enum, so new ones come last.
#[test]
fn encode_keeps_the_position_of_commands() {
    let position = |command: &WorkflowCommand| encode(command)[..2].to_vec();
    let (name, incarnation, at) = (name(), Incarnation(1), Time(0));
    assert_eq!(position(&WorkflowCommand::Cancel { id: task().step.job, at }), [VERSION, 2]);
    assert_eq!(position(&WorkflowCommand::Forget { before: at }), [VERSION, 11]);
    let (silent_since, runs) = (None, Vec::new());
    let crashed = WorkflowCommand::UpstreamCrashed { name, incarnation, silent_since, runs, at };
    assert_eq!(position(&crashed), [VERSION, 12]);
    let data_centre = DataCentreName::new("north").expect("a good name");
    let start = WorkflowCommand::StartDrain { data_centre: data_centre.clone(), at };
    assert_eq!(position(&start), [VERSION, 15]);
    assert_eq!(position(&WorkflowCommand::EndDrain { data_centre, at }), [VERSION, 16]);
    let speeds = WorkflowCommand::HostSpeeds { changed: Vec::new(), at };
    assert_eq!(position(&speeds), [VERSION, 17]);
    let run_times = WorkflowCommand::RunTimesLearned { changes: Vec::new(), at };
    assert_eq!(position(&run_times), [VERSION, 18]);
    let usage = WorkflowCommand::RecordUsage(AccountUsage::default());
    assert_eq!(position(&usage), [VERSION, 19]);
    let (dropped, changed) = (Vec::new(), Vec::new());
    let contention = WorkflowCommand::RecordContention { dropped, changed };
    assert_eq!(position(&contention), [VERSION, 20]);
}
