//! A replayed pool in which tasks of some images slow those of others.
//!
//! Beside the planted pairs, runs differ by what must not be mistaken for contention: hosts of three
//! speeds, cold hosts, hosts that are disturbed for seconds, long tasks, resumed runs, and runs far
//! from their data.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::{ContentionPair, RunRef, WorkflowCommand};
use hg_model::{
    ClockReading, EndKind, ImageName, Incarnation, JobId, ListedRun, ResourceVector, RunListing,
    StepSpec, TaskClass, TaskId, UpstreamName,
};
use hg_policy::{
    ContentionFinding, WorkflowBounds, WorkflowDecisions, WorkflowPolicies, WorkflowPolicy,
    WorkflowScheduler,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::harness::{Harness, job, run_of};

/// The time between two rounds, which is also that between two listings of an upstream.
const TICK_MS: u64 = 200;
/// How long a cold host takes to warm up, and its initial speed against that of a warm one.
const COLD_MS: f64 = 8_000.0;
const COLD_SPEED: f64 = 0.5;

/// What is replayed.
#[derive(Debug, Clone)]
pub struct Load {
    pub seed: u64,
    pub hosts: u32,
    pub images: usize,
    /// The share of accelerators in use without contention.
    pub utilisation: f64,
    /// The factors by which the first image slows the second one.
    pub planted: Vec<(usize, usize, f64)>,
}

#[derive(Debug)]
struct Host {
    speed: f64,
    cold_since: u64,
    disturbed_until: u64,
}

#[derive(Debug)]
struct SimulatedRun {
    run: RunRef,
    image: usize,
    /// Its run time on a normal host with nothing beside it.
    work_ms: f64,
    done: f64,
    begins_at: u64,
    /// Its speed on account of the distance of its data.
    locality: f64,
}

/// What a task brings along, whenever and wherever it starts.
#[derive(Debug, Clone, Copy)]
struct Work {
    image: usize,
    /// Its run time on a normal host with nothing beside it.
    work_ms: f64,
    is_resumed: bool,
    loading_ms: u64,
    locality: f64,
}

/// The replay.
#[derive(Debug)]
pub struct Replay {
    pub harness: Harness,
    /// All findings so far.
    pub findings: Vec<ContentionFinding>,
    /// The number of starts for which contention was avoided.
    pub avoided: usize,
    /// The number of runs that have ended, their run times together, and what these would have been
    /// without contention.
    pub ended: usize,
    pub run_ms: f64,
    pub ideal_ms: f64,
    /// The starts of each round.
    pub starts: Vec<Vec<(TaskId, UpstreamName)>>,
    load: Load,
    rng: ChaCha8Rng,
    /// Draws the work, so that replays of one load differ only by the scheduler's decisions.
    work_rng: ChaCha8Rng,
    work: BTreeMap<JobId, Work>,
    hosts: Vec<Host>,
    runs: BTreeMap<TaskId, SimulatedRun>,
    submitted: u64,
}

pub fn image(number: usize) -> ImageName {
    ImageName::new(format!("image-{number:02}")).expect("a valid name")
}

pub fn pair(aggressor: usize, victim: usize) -> ContentionPair {
    let class = |number| TaskClass::Image(image(number));
    ContentionPair { aggressor: class(aggressor), victim: class(victim) }
}

pub fn with_contention() -> WorkflowScheduler {
    let policies: WorkflowPolicies = [WorkflowPolicy::Contention].into_iter().collect();
    WorkflowScheduler::new(WorkflowBounds::default()).with_policies(policies)
}

/// A standard normal value.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

impl Work {
    fn draw(rng: &mut ChaCha8Rng, images: usize) -> Self {
        let is_long = rng.random::<f64>() < 0.03;
        let is_resumed = rng.random::<f64>() < 0.1;
        let loading_ms = rng.random_range(0..400);
        Self {
            image: rng.random_range(0..images),
            work_ms: 4_000.0 * (0.4 * normal(rng)).exp() * if is_long { 7.0 } else { 1.0 },
            is_resumed,
            loading_ms: if is_resumed { 800 } else { loading_ms },
            locality: if rng.random::<f64>() < 0.2 { 0.5 } else { 1.0 },
        }
    }
}

impl Replay {
    pub fn new(load: Load, scheduler: WorkflowScheduler) -> Self {
        let mut harness = Harness::new(load.hosts.div_ceil(10), 10);
        harness.scheduler = scheduler;
        let speeds = [1.0 / 0.6, 1.0, 1.0 / 1.6];
        let host = |number| Host { speed: speeds[number % 3], cold_since: 0, disturbed_until: 0 };
        let hosts = (0..harness.ledger.upstreams().len()).map(host).collect();
        Self {
            harness,
            findings: Vec::new(),
            avoided: 0,
            ended: 0,
            run_ms: 0.0,
            ideal_ms: 0.0,
            starts: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            work_rng: ChaCha8Rng::seed_from_u64(load.seed + 1_000),
            work: BTreeMap::new(),
            load,
            hosts,
            runs: BTreeMap::new(),
            submitted: 0,
        }
    }

    pub fn run_for(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / TICK_MS {
            self.tick();
        }
    }

    /// The pairs that were found and are still supported.
    pub fn found(&self) -> BTreeSet<ContentionPair> {
        let mut found = BTreeSet::new();
        for finding in &self.findings {
            if finding.is_found {
                found.insert(finding.pair.clone());
            } else {
                found.remove(&finding.pair);
            }
        }
        found
    }

    /// The innocent pairs that were ever found.
    pub fn false_findings(&self) -> BTreeSet<&ContentionPair> {
        let planted: BTreeSet<ContentionPair> =
            self.load.planted.iter().map(|(a, b, _)| pair(*a, *b)).collect();
        let found = self.findings.iter().filter(|finding| finding.is_found);
        found.map(|finding| &finding.pair).filter(|pair| !planted.contains(pair)).collect()
    }

    /// By how much runs took longer than without contention, on average.
    pub fn slow_down(&self) -> f64 {
        self.run_ms / self.ideal_ms
    }

    fn tick(&mut self) {
        self.disturb_hosts();
        self.submit_work();
        self.advance_runs();
        let decisions = self.harness.round(TICK_MS);
        self.record(decisions);
    }

    fn disturb_hosts(&mut self) {
        let now = self.harness.now.0;
        for host in 0..self.hosts.len() {
            if self.rng.random::<f64>() < 0.002 {
                self.hosts[host].disturbed_until = now + self.rng.random_range(1_000..4_000);
            }
            if self.rng.random::<f64>() < 0.0005 {
                self.hosts[host].cold_since = now;
            }
        }
    }

    fn submit_work(&mut self) {
        // Runs take 5 s and 2 accelerators on average.
        let accelerators = f64::from(self.load.hosts * 8) * self.load.utilisation;
        let mut due = accelerators / 2.0 / 5.0 * TICK_MS as f64 / 1_000.0;
        while due > 0.0 {
            if due >= 1.0 || self.work_rng.random::<f64>() < due {
                let accelerators = self.work_rng.random_range(1..=3);
                let each = ResourceVector::new(accelerators, accelerators * 2_000, 8_192);
                let mut spec = StepSpec::new(1, each);
                spec.estimate_ms = 5_000;
                let work = Work::draw(&mut self.work_rng, self.load.images);
                spec.image = Some(image(work.image));
                let name = format!("j{}", self.submitted);
                self.work.insert(job(&name), work);
                self.submitted += 1;
                self.harness.submit(&name, 1, vec![spec]);
            }
            due -= 1.0;
        }
    }

    fn factor(&self, image: usize, beside: &BTreeSet<usize>) -> f64 {
        let planted = self.load.planted.iter();
        let factors = planted.filter(|(a, b, _)| *b == image && beside.contains(a)).map(|p| p.2);
        factors.product()
    }

    fn host_speed(&self, host: usize) -> f64 {
        let (now, host) = (self.harness.now.0, &self.hosts[host]);
        let warm = (now.saturating_sub(host.cold_since.max(1_000_000)) as f64 / COLD_MS).min(1.0);
        let disturbed = if now < host.disturbed_until { 0.4 } else { 1.0 };
        host.speed * (COLD_SPEED + (1.0 - COLD_SPEED) * warm) * disturbed
    }

    fn advance_runs(&mut self) {
        let mut by_host: BTreeMap<UpstreamName, Vec<TaskId>> = BTreeMap::new();
        for (task, run) in &self.runs {
            by_host.entry(run.run.upstream.clone()).or_default().push(task.clone());
        }
        for (name, tasks) in by_host {
            let number = name.as_str()[1..].parse::<usize>().expect("a number");
            let images: Vec<usize> = tasks.iter().map(|task| self.runs[task].image).collect();
            let speed = self.host_speed(number);
            let mut running = Vec::new();
            for (at, task) in tasks.iter().enumerate() {
                let others = images.iter().enumerate().filter(|(other, _)| *other != at);
                let beside = others.map(|(_, image)| *image).collect();
                let factor = self.factor(images[at], &beside);
                let noise = (0.2 * normal(&mut self.rng)).exp();
                let now = self.harness.now.0;
                let run = self.runs.get_mut(task).expect("it runs");
                if now >= run.begins_at {
                    let rate = speed * run.locality * noise / factor / run.work_ms;
                    run.done += rate * TICK_MS as f64;
                    self.run_ms += TICK_MS as f64;
                    self.ideal_ms += TICK_MS as f64 / factor;
                }
                let percent = (run.done * 100.0).min(100.0) as u32;
                let (task, run) = (task.clone(), run.run.run);
                running.push(ListedRun { task, run, checkpoint: None, percent, gauge: None });
            }
            let clock = ClockReading(self.harness.now.0);
            let ended: Vec<TaskId> =
                tasks.into_iter().filter(|task| self.runs[task].done >= 1.0).collect();
            running.retain(|listed| !ended.contains(&listed.task));
            let incarnation = Incarnation(1);
            let listing =
                RunListing { incarnation, clock, running, ended: Vec::new(), has_more_ends: false };
            let Harness { scheduler, ledger, now, .. } = &mut self.harness;
            scheduler.record_listing(*now, ledger, &name, &listing);
            for task in ended {
                let run = self.runs.remove(&task).expect("it runs");
                self.ended += 1;
                self.harness.end(&run.run, EndKind::Done);
            }
        }
    }

    fn record(&mut self, decisions: WorkflowDecisions) {
        let report = decisions.contention;
        self.findings.extend(report.findings);
        self.avoided += report.avoided.len();
        let (dropped, changed) = (report.dropped, report.changed);
        self.harness.apply(WorkflowCommand::RecordContention { dropped, changed });
        for stop in decisions.stops {
            self.runs.remove(&stop.run.task);
            self.harness.end(&stop.run, EndKind::Stopped);
        }
        let now = self.harness.now.0;
        for start in &decisions.starts {
            let work = self.work[&start.task.step.job];
            let run = SimulatedRun {
                run: run_of(start),
                image: work.image,
                work_ms: work.work_ms,
                done: if work.is_resumed { 0.4 } else { 0.0 },
                begins_at: now + work.loading_ms,
                locality: work.locality,
            };
            self.runs.insert(start.task.clone(), run);
        }
        let starts = decisions.starts.into_iter().map(|start| (start.task, start.upstream));
        self.starts.push(starts.collect());
    }
}
