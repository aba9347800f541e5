//! A replay of jobs of many client accounts on a small pool, with the share of each account that ends in time.

use std::collections::BTreeMap;

use hg_ledger::{RunRef, WorkflowCommand};
use hg_model::{EndKind, ResourceVector, StepSpec};
use hg_policy::{WorkflowBounds, WorkflowPolicies, WorkflowPolicy, WorkflowScheduler};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::harness::{Harness, job, run_of};

/// The time between two rounds, in milliseconds.
pub const ROUND_MS: u64 = 100;
const RACKS: u32 = 2;
const UPSTREAMS_PER_RACK: u32 = 3;
const ACCELERATORS: u64 = 48;
/// Every job ends in time within 3 times its run time and 1 s; the harness's queue says so.
const STRETCH: u64 = 3;
const OBJECTIVE_MS: u64 = 1_000;

/// How much work an account submits, and its guarantee.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    pub account: &'static str,
    /// Its part of all work, relative to the other accounts.
    pub parts: u64,
    pub guaranteed: u32,
}

/// How the jobs of an account ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub jobs: u32,
    pub in_time: u32,
    /// Accelerators times milliseconds of the jobs that ended.
    pub served: u64,
}

impl Outcome {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs.max(1))
    }
}

#[derive(Debug)]
struct JobPlan {
    account: &'static str,
    due: u64,
    run_ms: u64,
    accelerators: u64,
    open_tasks: u32,
}

/// A pool with a source of jobs.
#[derive(Debug)]
pub struct Replay {
    pub harness: Harness,
    rng: ChaCha8Rng,
    demands: Vec<Demand>,
    load_percent: u64,
    urgent_percent: u32,
    next_job: u64,
    /// Accelerator time that is to be submitted, in accelerators times milliseconds, by account.
    owed: BTreeMap<&'static str, i64>,
    plans: BTreeMap<String, JobPlan>,
    /// The runs in progress, by the time of their end.
    ends: BTreeMap<(u64, u64), RunRef>,
    pub outcomes: BTreeMap<&'static str, Outcome>,
}

/// Uses the fair order.
pub fn fair_shares() -> WorkflowPolicies {
    [WorkflowPolicy::FairShares].into_iter().collect()
}

impl Replay {
    /// A replay with `load_percent` of the pool's capacity in demand, of which `urgent_percent` of the jobs are urgent.
    pub fn new(
        seed: u64,
        policies: WorkflowPolicies,
        demands: &[Demand],
        load_percent: u64,
        urgent_percent: u32,
    ) -> Self {
        let mut harness = Harness::new(RACKS, UPSTREAMS_PER_RACK);
        harness.scheduler =
            WorkflowScheduler::new(WorkflowBounds::default()).with_policies(policies);
        let accounts: Vec<_> = demands.iter().map(|d| (d.account, d.guaranteed)).collect();
        harness.guarantee(&accounts);
        Self {
            harness,
            rng: ChaCha8Rng::seed_from_u64(seed),
            demands: demands.to_vec(),
            load_percent,
            urgent_percent,
            next_job: 0,
            owed: BTreeMap::new(),
            plans: BTreeMap::new(),
            ends: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Plays `ms` of arrivals, decisions and ends.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / ROUND_MS {
            self.submit_due();
            self.cancel_late();
            self.end_due(self.harness.now.0 + ROUND_MS);
            self.round();
        }
    }

    /// One round of decisions, which take effect at once.
    pub fn round(&mut self) {
        let decisions = self.harness.round(ROUND_MS);
        if let Some(usage) = decisions.usage {
            self.harness.apply(WorkflowCommand::RecordUsage(usage));
        }
        let now = self.harness.now.0;
        for stop in decisions.stops {
            self.ends.retain(|_, run| *run != stop.run);
            self.harness.end(&stop.run, EndKind::Stopped);
        }
        for (start, number) in decisions.starts.iter().zip(0..) {
            let plan = &self.plans[start.task.step.job.as_str()];
            self.ends.insert((now + plan.run_ms, self.next_job << 20 | number), run_of(start));
            self.next_job += 1;
        }
    }

    fn submit_due(&mut self) {
        let parts: u64 = self.demands.iter().map(|demand| demand.parts).sum();
        for demand in self.demands.clone() {
            let due = ACCELERATORS * ROUND_MS * self.load_percent * demand.parts / parts / 100;
            *self.owed.entry(demand.account).or_default() +=
                i64::try_from(due).expect("a small amount");
            while self.owed[demand.account] > 0 {
                let size = self.submit(demand.account);
                *self.owed.entry(demand.account).or_default() -= size;
            }
        }
    }

    /// Submits a job of random size. Returns its accelerators times milliseconds.
    pub fn submit(&mut self, account: &'static str) -> i64 {
        let tasks = 1;
        let each = self.rng.random_range(1..=2_u32);
        let run_ms = self.rng.random_range(500..3_000_u64);
        let step = StepSpec::new(tasks, ResourceVector::new(each, 1_000 * each, 4_096));
        let step = StepSpec { estimate_ms: run_ms, ..step };
        let name = format!("j{}", self.next_job);
        self.next_job += 1;
        let priority = if self.rng.random_range(0..100) < self.urgent_percent { 0 } else { 1 };
        self.harness.submit_for(account, &name, priority, vec![step]);
        let due = self.harness.now.0 + run_ms * STRETCH + OBJECTIVE_MS;
        let accelerators = u64::from(tasks * each);
        let plan = JobPlan { account, due, run_ms, accelerators, open_tasks: tasks };
        self.plans.insert(name, plan);
        self.outcomes.entry(account).or_default().jobs += 1;
        i64::try_from(accelerators * run_ms).expect("a small amount")
    }

    /// Callers give up on jobs that are late.
    fn cancel_late(&mut self) {
        let at = self.harness.now;
        let is_late = |plan: &JobPlan| plan.open_tasks > 0 && at.0 > plan.due;
        let late: Vec<String> =
            self.plans.iter().filter(|(_, p)| is_late(p)).map(|(n, _)| n.clone()).collect();
        for name in late {
            self.plans.remove(&name);
            let is_of_job = |run: &RunRef| run.task.step.job.as_str() == name;
            let runs: Vec<RunRef> =
                self.ends.values().filter(|run| is_of_job(run)).cloned().collect();
            self.ends.retain(|_, run| !is_of_job(run));
            self.harness.apply(WorkflowCommand::Cancel { id: job(&name), at });
            for run in runs {
                self.harness.end(&run, EndKind::Stopped);
            }
        }
    }

    fn end_due(&mut self, now: u64) {
        while let Some(entry) = self.ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((at, _), run) = entry.remove_entry();
            self.harness.end(&run, EndKind::Done);
            let name = run.task.step.job.as_str();
            let Some(plan) = self.plans.get_mut(name) else { continue };
            plan.open_tasks -= 1;
            if plan.open_tasks == 0 {
                let outcome = self.outcomes.entry(plan.account).or_default();
                outcome.in_time += u32::from(at <= plan.due);
                outcome.served += plan.accelerators * plan.run_ms;
            }
        }
    }

    /// The sum over all accounts.
    pub fn total(&self) -> Outcome {
        self.outcomes.values().fold(Outcome::default(), |sum, outcome| Outcome {
            jobs: sum.jobs + outcome.jobs,
            in_time: sum.in_time + outcome.in_time,
            served: sum.served + outcome.served,
        })
    }

    /// The smallest share in time of any account.
    pub fn worst(&self) -> f64 {
        self.outcomes.values().map(Outcome::share_in_time).fold(1.0, f64::min)
    }
}
