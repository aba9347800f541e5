//! Replays arrivals of urgent jobs whose run times deviate from their estimates.

use std::collections::BTreeMap;

use hg_ledger::{QueueTerms, RunRef, WorkflowCommand};
use hg_model::{
    EndKind, PoolName, QueueName, ResourceVector, RunEnd, StepSpec, Time, WorkflowSpec,
    WorkflowState,
};
use hg_policy::{WorkflowBounds, WorkflowPolicies, WorkflowPolicy, WorkflowScheduler};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Harness, job, run_of};

/// The time from one decision round to the next.
const ROUND_MS: u64 = 50;
/// The latency objective of the queues: a multiple of the actual work, in thousandths, and a constant.
pub const STRETCH_MILLI: u32 = 1_500;
pub const OBJECTIVE_MS: u64 = 250;

/// How run times deviate from their estimates.
#[derive(Debug, Clone, Copy)]
pub enum Ratios {
    Accurate,
    /// All the same multiple.
    All(f64),
    /// Lognormal with 2.1 at the median and 9 at the 90th percentile.
    Lognormal,
    /// Three in a hundred take seven times as long.
    LongTail,
}

impl Ratios {
    pub fn draw(self, rng: &mut ChaCha8Rng) -> f64 {
        match self {
            Self::Accurate => 1.0,
            Self::All(ratio) => ratio,
            Self::Lognormal => {
                let (u, v): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
                let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
                // The 90th percentile of the normal distribution is 1.2816.
                (2.1_f64.ln() + normal * (9.0_f64 / 2.1).ln() / 1.2816).exp()
            }
            Self::LongTail => {
                if rng.random_bool(0.03) {
                    7.0
                } else {
                    1.0
                }
            }
        }
    }
}

pub fn with_policy() -> WorkflowPolicies {
    WorkflowPolicies::from_iter([WorkflowPolicy::RunTimes])
}

pub fn terms(queue: &str, priority: u32) -> QueueTerms {
    QueueTerms {
        queue: QueueName::new(queue).expect("a valid name"),
        pool: PoolName::new("pool").expect("a valid name"),
        priority,
        attempts: 2,
        stretch_milli: STRETCH_MILLI,
        objective_ms: OBJECTIVE_MS,
        advice: None,
    }
}

/// One submitted job.
#[derive(Debug, Clone)]
struct Submitted {
    at: Time,
    /// The run time of each step.
    real_ms: Vec<f64>,
    ended_at: Option<Time>,
}

/// A pool that runs submitted jobs for their actual run times.
#[derive(Debug)]
pub struct Replay {
    pub harness: Harness,
    pub rng: ChaCha8Rng,
    /// Most steps of the jobs that [`Replay::load`] submits.
    pub steps_max: usize,
    jobs: BTreeMap<String, Submitted>,
    running: BTreeMap<RunRef, Time>,
    /// The starts of all rounds, as text.
    pub starts: Vec<String>,
}

impl Replay {
    pub fn new(policies: WorkflowPolicies, upstreams: u32, seed: u64) -> Self {
        let mut harness = Harness::new(1, upstreams);
        harness.scheduler =
            WorkflowScheduler::new(WorkflowBounds::default()).with_policies(policies);
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (jobs, running) = (BTreeMap::new(), BTreeMap::new());
        Self { harness, rng, steps_max: 1, jobs, running, starts: Vec::new() }
    }

    /// Submits a job of some steps, one after the other and each of one task, that take `ratio` times their estimates.
    pub fn submit(&mut self, estimates_ms: &[u64], ratio: f64) {
        let name = format!("j{}", self.jobs.len());
        let one = ResourceVector::new(1, 2_000, 8_192);
        let step = |(at, estimate_ms): (u32, &u64)| {
            let after = at.checked_sub(1).into_iter().collect();
            StepSpec { estimate_ms: *estimate_ms, after, ..StepSpec::new(1, one) }
        };
        let spec = WorkflowSpec::new("work", (0..).zip(estimates_ms).map(step).collect());
        let (at, account) = (self.harness.now, None);
        let (id, terms) = (job(&name), terms("urgent", 0));
        self.harness.apply(WorkflowCommand::Accept { id, spec, terms, account, at });
        let real_ms = estimates_ms.iter().map(|estimate_ms| *estimate_ms as f64 * ratio).collect();
        self.jobs.insert(name, Submitted { at, real_ms, ended_at: None });
    }

    /// Ends what is due, runs one round, and replicates what was learned.
    pub fn round(&mut self) {
        let now = Time(self.harness.now.0 + ROUND_MS);
        self.harness.now = now;
        let due: Vec<RunRef> = self
            .running
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(run, _)| run.clone())
            .collect();
        for run in due {
            self.running.remove(&run);
            let (task, number) = (run.task.clone(), run.run);
            let end =
                RunEnd { number: 0, task, run: number, kind: EndKind::Done, checkpoint: None };
            let Harness { scheduler, ledger, .. } = &mut self.harness;
            scheduler.record_completed(now, ledger, &run.upstream, &end);
            self.harness.end(&run, EndKind::Done);
            let name = run.task.step.job.as_str();
            let is_ended = self.harness.state(name) == Some(WorkflowState::Completed);
            if let Some(job) = self.jobs.get_mut(name).filter(|_| is_ended) {
                job.ended_at = Some(now);
            }
        }
        let decisions = self.harness.round(0);
        for start in &decisions.starts {
            let run = run_of(start);
            self.harness.scheduler.record_run_opened(&self.harness.ledger, &run);
            let step = usize::try_from(run.task.step.step).expect("few steps");
            let real_ms = self.jobs[run.task.step.job.as_str()].real_ms[step];
            self.starts.push(format!("{now:?} {run:?}"));
            self.running.insert(run, Time(now.0 + real_ms as u64));
        }
        let changes = self.harness.scheduler.take_run_time_changes(now);
        if !changes.is_empty() {
            self.harness.apply(WorkflowCommand::RunTimesLearned { changes, at: now });
        }
    }

    /// Submits jobs at a rate for some time.
    pub fn load(&mut self, ratios: Ratios, per_second: f64, seconds: f64) {
        for _ in 0..(seconds * 1_000.0 / ROUND_MS as f64) as u64 {
            let mut expected = per_second * ROUND_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.rng.random::<f64>() < expected.min(1.0) {
                    let steps = self.rng.random_range(1..=self.steps_max);
                    let estimate_ms = self.rng.random_range(400..2_000) / steps as u64;
                    let ratio = ratios.draw(&mut self.rng);
                    self.submit(&vec![estimate_ms; steps], ratio);
                }
                expected -= 1.0;
            }
            self.round();
        }
    }

    /// The jobs submitted from `from` on: how many, and how many ended within their objective, and within three times it.
    pub fn outcome(&self, from: Time) -> (usize, usize, usize) {
        let jobs: Vec<&Submitted> = self.jobs.values().filter(|job| job.at >= from).collect();
        let within = |multiple: f64| {
            let objective = |job: &Submitted| {
                (job.real_ms.iter().sum::<f64>() * f64::from(STRETCH_MILLI) / 1_000.0
                    + OBJECTIVE_MS as f64)
                    * multiple
            };
            let is_within = |job: &&&Submitted| {
                job.ended_at
                    .is_some_and(|end| end.since(job.at).as_millis() as f64 <= objective(job))
            };
            jobs.iter().filter(is_within).count()
        };
        (jobs.len(), within(1.0), within(3.0))
    }
}
