//! Measures the scheduler without network and disk, for several numbers of upstreams: time per decision,
//! heartbeats per second, bytes of memory per upstream and task, time to apply lists and to take over.
//!
//! Prints one row of a Markdown table for each number of upstreams.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use hdrhistogram::Histogram;
use hg_ledger::{Command, Ledger};
use hg_model::{
    Account, AccountName, DataCentreName, Digest, EntryName, Guarantee, HostName, JobClass, JobId,
    JobSpec, KindName, ListVersion, Lists, OperationId, Plan, PlanName, RackName, Resources, Shape,
    Term, Time, UpstreamHeartbeat, UpstreamName, UpstreamSpec,
};
use hg_policy::{PolicyConfig, Scheduler};

/// Upstreams per rack.
const UPSTREAMS_PER_RACK: usize = 8;
/// Running tasks per upstream.
const TASKS_PER_UPSTREAM: usize = 3;
/// Number of timed decisions for each shape of jobs.
const DECISION_SAMPLES: usize = 300;

/// Allocator that counts the bytes allocated at present.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed to the system's allocator unchanged; the counter does not affect it.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// A ledger and a scheduler: the ledger applies the commands that the scheduler decides, and the scheduler
/// the effects of the ledger.
struct Cluster {
    now: Time,
    ledger: Ledger,
    scheduler: Scheduler,
    /// Number of jobs submitted so far.
    jobs: usize,
}

fn main() -> eyre::Result<()> {
    println!(
        "| upstreams | accounts | small p50 us | small p99 us | gang of 128 p50 us | p99 us | heartbeats/s | B/upstream | B/task | first lists ms | lists change ms | takeover ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for upstreams in [50, 500, 5_000, 20_000] {
        measure(upstreams)?;
    }
    Ok(())
}

/// Measures one number of upstreams and prints its row.
fn measure(upstreams: usize) -> eyre::Result<()> {
    let accounts = if upstreams >= 5_000 { 800 } else { (upstreams / 12).max(4) };
    let before = allocated_bytes();
    let mut cluster = Cluster {
        now: Time(1_000_000),
        ledger: Ledger::new(),
        scheduler: Scheduler::new(PolicyConfig::default()),
        jobs: 0,
    };
    for n in 0..upstreams {
        cluster.scheduler.record_heartbeat(cluster.now, &sample_heartbeat(n)?);
    }
    let bytes_per_upstream = (allocated_bytes() - before) / upstreams;
    let mut lists = sample_lists(accounts)?;
    let first_ms = cluster.put_lists(0, &lists)?;

    let before = allocated_bytes();
    let tasks = upstreams * TASKS_PER_UPSTREAM;
    for n in 0..tasks {
        cluster.submit(n % accounts, Shape::new(1, Resources::new(1, 2, 4_096)), true)?;
        if n % 64 == 0 {
            cluster.decide();
        }
    }
    cluster.decide();
    let bytes_per_task = (allocated_bytes() - before) / tasks;

    let small_us = cluster.time_decisions(accounts, Shape::new(1, Resources::new(1, 2, 4_096)))?;
    let gang_us = cluster.time_decisions(accounts, Shape::new(128, Resources::new(1, 1, 1_024)))?;
    // One client account changes to another plan.
    lists.accounts[0].plan = lists.plans[1].name.clone();
    let change_ms = cluster.put_lists(1, &lists)?;
    let heartbeats_per_s = cluster.heartbeats_per_second(upstreams)?;
    let started = Instant::now();
    cluster.scheduler.rebuild(cluster.now, &cluster.ledger);
    cluster.decide();
    let takeover_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "| {upstreams} | {accounts} | {} | {} | {} | {} | {heartbeats_per_s:.0} | {bytes_per_upstream} | {bytes_per_task} | {first_ms:.1} | {change_ms:.1} | {takeover_ms:.1} |",
        small_us.value_at_quantile(0.5),
        small_us.value_at_quantile(0.99),
        gang_us.value_at_quantile(0.5),
        gang_us.value_at_quantile(0.99),
    );
    Ok(())
}

impl Cluster {
    /// Applies a command to the ledger and its effects to the scheduler.
    fn apply(&mut self, command: Command) {
        let applied = self.ledger.apply(command);
        for effect in &applied.effects {
            self.scheduler.apply_effect(self.now, &self.ledger, effect);
        }
    }

    /// Lets the scheduler decide, and applies its commands, until it has none left.
    fn decide(&mut self) {
        loop {
            let decisions = self.scheduler.decide(self.now, Term(1));
            if decisions.commands.is_empty() {
                return;
            }
            for command in decisions.commands {
                self.apply(command);
            }
        }
    }

    /// Replaces the lists at version `expect` and decides until all guarantees are settled. Returns the
    /// time that this took, in milliseconds.
    fn put_lists(&mut self, expect: u64, lists: &Lists) -> eyre::Result<f64> {
        let op = OperationId::new(format!("op{expect}"))?;
        let started = Instant::now();
        self.apply(Command::PutLists { op, expect: ListVersion(expect), lists: lists.clone() });
        self.decide();
        Ok(started.elapsed().as_secs_f64() * 1e3)
    }

    /// Accepts a new job in the ledger.
    fn submit(&mut self, account: usize, shape: Shape, idempotent: bool) -> eyre::Result<JobId> {
        self.jobs += 1;
        let id = JobId::new(format!("j{}", self.jobs))?;
        let spec = JobSpec {
            id: id.clone(),
            account: AccountName::new(format!("a{account}"))?,
            kind: KindName::new("sweep")?,
            class: JobClass::Normal,
            shape,
            idempotent,
            checkpointable: false,
            expected_ms: 0,
            deadline_ms: 3_600_000,
            body_sha256: Digest::of(b""),
        };
        self.apply(Command::Accept { spec, home: EntryName::new("e1")?, at: self.now });
        Ok(id)
    }

    /// Times the scheduler's decision for each of several new jobs, in microseconds. Each job is
    /// cancelled and ended before the next one.
    fn time_decisions(&mut self, accounts: usize, shape: Shape) -> eyre::Result<Histogram<u64>> {
        let mut times_us = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        for n in 0..DECISION_SAMPLES {
            self.now.0 += 1;
            let id = self.submit(n % accounts, shape, true)?;
            let started = Instant::now();
            let decisions = self.scheduler.decide(self.now, Term(1));
            times_us.saturating_record(u64::try_from(started.elapsed().as_micros())?);
            for command in decisions.commands {
                self.apply(command);
            }
            let attempt =
                self.ledger.job(&id).and_then(|job| job.state.attempt()).map(|a| a.number);
            self.apply(Command::Cancel { job: id.clone(), at: self.now });
            if let Some(attempt) = attempt {
                self.apply(Command::Release { job: id.clone(), attempt, at: self.now });
                let result = hg_model::AttemptResult::Stopped;
                self.apply(Command::Ended { job: id, attempt, result, at: self.now });
            }
        }
        Ok(times_us)
    }

    /// Rate at which the scheduler processes heartbeats, measured for 200 ms.
    fn heartbeats_per_second(&mut self, upstreams: usize) -> eyre::Result<f64> {
        let heartbeats: Vec<UpstreamHeartbeat> =
            (0..upstreams).map(sample_heartbeat).collect::<Result<_, _>>()?;
        let started = Instant::now();
        let mut count = 0;
        while started.elapsed().as_millis() < 200 {
            for heartbeat in &heartbeats {
                self.scheduler.record_heartbeat(self.now, heartbeat);
            }
            count += heartbeats.len();
        }
        Ok(count as f64 / started.elapsed().as_secs_f64())
    }
}

/// Bytes allocated at present by the whole process.
fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(Ordering::Relaxed)
}

/// Heartbeat of idle upstream `n`.
fn sample_heartbeat(n: usize) -> eyre::Result<UpstreamHeartbeat> {
    let name = format!("u{n}");
    let rack = n / UPSTREAMS_PER_RACK;
    let spec = UpstreamSpec {
        name: UpstreamName::new(&name)?,
        address: ([127, 0, 0, 1], 9_000).into(),
        host: HostName::new(&name)?,
        rack: RackName::new(format!("r{rack}"))?,
        data_centre: DataCentreName::new(format!("dc{}", rack % 16))?,
        capacity: Resources::new(8, 32, 131_072),
        slots: 8,
        connections: 60,
        boot: 1,
    };
    Ok(UpstreamHeartbeat { spec, leaving: false, leases: Vec::new(), ended: Vec::new() })
}

/// Lists in which each client account is guaranteed one block of two tasks with two accelerators each.
/// The second plan guarantees two such blocks.
fn sample_lists(accounts: usize) -> eyre::Result<Lists> {
    let block = Shape::new(2, Resources::new(2, 4, 8_192));
    let plan = Plan {
        name: PlanName::new("standard")?,
        weight: 1,
        limit: Resources::new(100_000, 1_000_000, 1_000_000_000),
        guarantees: vec![Guarantee(block)],
    };
    let larger = Plan {
        name: PlanName::new("larger")?,
        guarantees: vec![Guarantee(block), Guarantee(block)],
        ..plan.clone()
    };
    let account =
        |n| eyre::Ok(Account { name: AccountName::new(format!("a{n}"))?, plan: plan.name.clone() });
    let accounts = (0..accounts).map(account).collect::<Result<_, _>>()?;
    Ok(Lists { plans: vec![plan, larger], accounts })
}
