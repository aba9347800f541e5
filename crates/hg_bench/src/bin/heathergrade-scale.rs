//! Measures the policy alone at given sizes: time for each decision, heartbeats, memory.

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

/// Upstreams in a rack.
const PER_RACK: usize = 8;
/// Tasks running on each upstream.
const TASKS_PER_UPSTREAM: usize = 3;
/// Decisions timed for each kind of job.
const SAMPLES: usize = 300;

/// Counts the bytes that are allocated.
struct Counting;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call goes to the system's allocator unchanged; only a counter is kept beside it.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

/// A ledger and a scheduler that follow each other.
struct World {
    now: Time,
    ledger: Ledger,
    scheduler: Scheduler,
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

fn measure(upstreams: usize) -> eyre::Result<()> {
    let accounts = if upstreams >= 5_000 { 800 } else { (upstreams / 12).max(4) };
    let before = allocated();
    let mut world = World {
        now: Time(1_000_000),
        ledger: Ledger::new(),
        scheduler: Scheduler::new(PolicyConfig::default()),
        jobs: 0,
    };
    for n in 0..upstreams {
        world.scheduler.record_heartbeat(world.now, &beat(n)?);
    }
    let per_upstream = (allocated() - before) / upstreams;
    let mut lists = lists(accounts)?;
    let first_ms = world.put_lists(0, &lists)?;

    let before = allocated();
    let tasks = upstreams * TASKS_PER_UPSTREAM;
    for n in 0..tasks {
        world.submit(n % accounts, Shape::new(1, Resources::new(1, 2, 4_096)), true)?;
        if n % 64 == 0 {
            world.decide();
        }
    }
    world.decide();
    let per_task = (allocated() - before) / tasks;

    let small = world.time(accounts, Shape::new(1, Resources::new(1, 2, 4_096)))?;
    let gang = world.time(accounts, Shape::new(128, Resources::new(1, 1, 1_024)))?;
    // One account changes its plan.
    lists.accounts[0].plan = lists.plans[1].name.clone();
    let change_ms = world.put_lists(1, &lists)?;
    let heartbeats = world.heartbeats(upstreams)?;
    let started = Instant::now();
    world.scheduler.rebuild(world.now, &world.ledger);
    world.decide();
    let takeover_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "| {upstreams} | {accounts} | {} | {} | {} | {} | {heartbeats:.0} | {per_upstream} | {per_task} | {first_ms:.1} | {change_ms:.1} | {takeover_ms:.1} |",
        small.value_at_quantile(0.5),
        small.value_at_quantile(0.99),
        gang.value_at_quantile(0.5),
        gang.value_at_quantile(0.99),
    );
    Ok(())
}

impl World {
    fn log(&mut self, command: Command) {
        let applied = self.ledger.apply(command);
        for effect in &applied.effects {
            self.scheduler.apply_effect(self.now, &self.ledger, effect);
        }
    }

    /// Decides and logs until nothing is left to decide.
    fn decide(&mut self) {
        loop {
            let decisions = self.scheduler.decide(self.now, Term(1));
            if decisions.commands.is_empty() {
                return;
            }
            for command in decisions.commands {
                self.log(command);
            }
        }
    }

    /// Puts lists in force and settles all guarantees. Returns how long it took, in milliseconds.
    fn put_lists(&mut self, expect: u64, lists: &Lists) -> eyre::Result<f64> {
        let op = OperationId::new(format!("op{expect}"))?;
        let started = Instant::now();
        self.log(Command::PutLists { op, expect: ListVersion(expect), lists: lists.clone() });
        self.decide();
        Ok(started.elapsed().as_secs_f64() * 1e3)
    }

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
        self.log(Command::Accept { spec, home: EntryName::new("e1")?, at: self.now });
        Ok(id)
    }

    /// Times one decision for each of many jobs; each is cancelled and ended before the next.
    fn time(&mut self, accounts: usize, shape: Shape) -> eyre::Result<Histogram<u64>> {
        let mut times = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        for n in 0..SAMPLES {
            self.now.0 += 1;
            let id = self.submit(n % accounts, shape, true)?;
            let started = Instant::now();
            let decisions = self.scheduler.decide(self.now, Term(1));
            times.saturating_record(u64::try_from(started.elapsed().as_micros())?);
            for command in decisions.commands {
                self.log(command);
            }
            let attempt =
                self.ledger.job(&id).and_then(|job| job.state.attempt()).map(|a| a.number);
            self.log(Command::Cancel { job: id.clone(), at: self.now });
            if let Some(attempt) = attempt {
                self.log(Command::Release { job: id.clone(), attempt, at: self.now });
                let result = hg_model::AttemptResult::Stopped;
                self.log(Command::Ended { job: id, attempt, result, at: self.now });
            }
        }
        Ok(times)
    }

    fn heartbeats(&mut self, upstreams: usize) -> eyre::Result<f64> {
        let beats: Vec<UpstreamHeartbeat> = (0..upstreams).map(beat).collect::<Result<_, _>>()?;
        let started = Instant::now();
        let mut count = 0;
        while started.elapsed().as_millis() < 200 {
            for beat in &beats {
                self.scheduler.record_heartbeat(self.now, beat);
            }
            count += beats.len();
        }
        Ok(count as f64 / started.elapsed().as_secs_f64())
    }
}

fn allocated() -> usize {
    ALLOCATED.load(Ordering::Relaxed)
}

fn beat(n: usize) -> eyre::Result<UpstreamHeartbeat> {
    let name = format!("u{n}");
    let rack = n / PER_RACK;
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

/// One guaranteed block of two parts with two accelerators for each account.
fn lists(accounts: usize) -> eyre::Result<Lists> {
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
