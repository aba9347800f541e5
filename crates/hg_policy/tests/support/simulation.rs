//! A simulation of everything around the scheduler: ledger, entries, upstreams and callers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use hg_ledger::{Command, Effect, Ledger, Outcome};
use hg_model::{
    Attempt, AttemptResult, Digest, JobClass, JobId, JobState, ListVersion, OperationId, Shape,
    Term, Time, UpstreamName,
};
use hg_policy::{Abort, HealthState, PolicyConfig, Scheduler};

use super::cases::{heartbeat, job, lists, per_task, plan};
use super::oracle::{self, Observations};

/// Upstreams in the pool.
const UPSTREAMS: usize = 12;
/// Upstreams in each rack.
const PER_RACK: usize = 4;
/// Longest time from the end of all faults until every job must have its answer.
const RECOVERY_LIMIT: Duration = Duration::from_secs(7_200);
/// Longest time until a quarantined upstream that no job tries is readmitted: the longest
/// quarantine (16 times the first one of a minute), and as long again on probation.
const READMISSION_LIMIT: Duration = Duration::from_secs(2 * 16 * 60);
/// How long a task runs once all faults have ended.
const RUN_AFTER_RECOVERY: Duration = Duration::from_secs(5);

/// The state of a simulated upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpstreamState {
    Up,
    Leaving,
    Down,
}

/// An attempt with leases on simulated upstreams, and whether it has been started there.
#[derive(Debug, Clone)]
struct Lease {
    attempt: Attempt,
    started: bool,
    since: Time,
}

/// The simulation.
pub struct Simulation {
    now: Time,
    term: Term,
    ledger: Ledger,
    scheduler: Scheduler,
    upstreams: Vec<(UpstreamState, u64)>,
    /// Upstreams that fail every task.
    failing: BTreeSet<usize>,
    /// The attempts that the entries carry.
    leases: BTreeMap<JobId, Lease>,
    /// Commands that are decided but not logged yet.
    pending_commands: VecDeque<Command>,
    observed: Observations,
    next_job: u64,
    next_boot: u64,
    next_operation: u64,
    /// The number of steps taken.
    pub steps: u64,
}

impl Simulation {
    /// Creates a pool with two accounts that hold guarantees and one that does not.
    pub fn new() -> Self {
        let cfg = PolicyConfig { reserve_after_ms: 2_000, ..PolicyConfig::default() };
        let mut simulation = Self {
            now: Time(1_000_000),
            term: Term(1),
            ledger: Ledger::new(),
            scheduler: Scheduler::new(cfg),
            upstreams: vec![(UpstreamState::Up, 1); UPSTREAMS],
            failing: BTreeSet::new(),
            leases: BTreeMap::new(),
            pending_commands: VecDeque::new(),
            observed: Observations::default(),
            next_job: 0,
            next_boot: 2,
            next_operation: 0,
            steps: 0,
        };
        simulation.send_heartbeats();
        simulation.put_lists(0);
        simulation.decide_until_idle();
        simulation
    }

    /// Takes one step chosen by the fuzzer, then lets the scheduler decide.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.steps += 1;
        match u.int_in_range(0..=99_u8)? {
            0..=24 => self.submit(u)?,
            25..=49 => self.end_one(u)?,
            50..=64 => self.pass_time(Duration::from_millis(u.int_in_range(1..=1_500)?)),
            65..=69 => self.cancel(u)?,
            70..=76 => self.refuse_prepare(u)?,
            77..=79 => self.lose_upstream(u)?,
            80..=85 => self.return_upstream(u)?,
            86..=87 => self.drain(u)?,
            88 => self.leave(u)?,
            89..=90 => self.toggle_failing(u)?,
            91 => self.put_lists(u.int_in_range(0..=3)?),
            92 => self.change_leader(),
            93 => self.cancel_half(),
            94 => self.pass_time(Duration::from_secs(u.int_in_range(5..=120)?)),
            _ => self.end_one(u)?,
        }
        self.decide_until_idle();
        Ok(())
    }

    /// Ends all faults, then checks that every job that can be placed gets its answer, and that
    /// every guaranteed part gets an upstream.
    pub fn recover(&mut self) {
        self.failing.clear();
        for n in 0..UPSTREAMS {
            self.bring_up(n);
            let upstream = heartbeat(n, PER_RACK, 0).spec.name;
            self.log(Command::Drain { upstream, drained: false });
        }
        let limit = self.now.after(RECOVERY_LIMIT);
        while self.ledger.jobs().any(|job| !self.cannot_be_placed(job)) {
            assert!(self.now < limit, "jobs wait forever: {:?}", self.waiting());
            self.pass_time(Duration::from_millis(500));
            let ended: Vec<JobId> = self
                .leases
                .iter()
                .filter(|(_, lease)| self.now >= lease.since.after(RUN_AFTER_RECOVERY))
                .map(|(id, _)| id.clone())
                .collect();
            for id in ended {
                self.end(&id, false);
            }
            self.decide_until_idle();
        }
        self.pass_time(READMISSION_LIMIT);
        self.decide_until_idle();
        assert!(
            self.scheduler.shortages().is_empty(),
            "shortages: {:?}",
            self.scheduler.shortages()
        );
    }

    /// Whether a queued job no longer fits beside the guarantees of the present lists. Such a job
    /// waits until its deadline and need not get its answer before.
    ///
    /// Seed 414: a job that needs eight whole upstreams of twelve and cannot be stopped, then lists
    /// that guarantee five.
    fn cannot_be_placed(&self, job: &hg_ledger::Job) -> bool {
        let refusal = self.scheduler.check_admission(&job.spec);
        let fits_nowhere =
            refusal.is_some_and(|r| matches!(r.reason, hg_model::NotRunReason::FitsNowhere(_)));
        job.state.is_queued() && fits_nowhere
    }

    fn waiting(&self) -> Vec<String> {
        let line = |job: &hg_ledger::Job| {
            let reason = self.scheduler.wait_reason(&job.spec.id);
            format!("{} {} {} {reason:?}", job.spec.id, job.state.name(), job.spec.shape)
        };
        self.ledger.jobs().map(line).collect()
    }

    /// Runs scheduling rounds until one decides nothing, at most 50. Checks every placement before
    /// it is logged, and all invariants at the end.
    fn decide_until_idle(&mut self) {
        for _ in 0..50 {
            let decisions = self.scheduler.decide(self.now, self.term);
            for abort in decisions.aborts {
                self.abort(&abort);
            }
            if decisions.commands.is_empty() {
                break;
            }
            self.pending_commands.extend(decisions.commands);
            while let Some(command) = self.pending_commands.pop_front() {
                self.check_placement(&command);
                self.log(command);
            }
        }
        oracle::check(&self.ledger, &self.scheduler, &self.observed);
    }

    /// Checks that new work is placed only on upstreams that may get it.
    fn check_placement(&self, command: &Command) {
        if let Command::GiveUp { reason, .. } = command {
            assert!(oracle::is_plausible(reason), "given up for {reason}");
        }
        let Command::Place { attempt, .. } = command else { return };
        for member in &attempt.members {
            let record =
                self.scheduler.pool().upstream(&member.upstream).expect("the upstream is known");
            let health = self.scheduler.health().state(self.now, &member.upstream);
            let on_probation = health == HealthState::Probation;
            assert!(
                oracle::may_get_new_work(record, on_probation),
                "{} accepts no new work",
                member.upstream
            );
        }
    }

    /// Applies a command to the ledger, and carries out its effects as control and the entries do.
    fn log(&mut self, command: Command) -> Outcome {
        let applied = self.ledger.apply(command.clone());
        for effect in &applied.effects {
            self.scheduler.apply_effect(self.now, &self.ledger, effect);
            self.apply_effect(effect);
        }
        self.scheduler.revert_assumed(self.now, &self.ledger, &command, &applied.outcome);
        applied.outcome
    }

    fn apply_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::LeasesTaken { job, attempt } => {
                let lease = Lease { attempt: attempt.clone(), started: false, since: self.now };
                self.leases.insert(job.clone(), lease);
            }
            Effect::Committed { job } => self.start(job),
            Effect::Stopping { job, .. } => {
                let job = job.clone();
                self.report(&job, AttemptResult::Stopped);
            }
            Effect::LeasesReleased { job, .. } => {
                self.leases.remove(job);
            }
            Effect::Finished { job, answer, .. } => {
                self.observed.answers.entry(job.clone()).or_default().push(answer.kind());
            }
            _ => {}
        }
    }

    /// Starts every member, as an entry does; nothing may start before the commit.
    fn start(&mut self, job: &JobId) {
        let running = self.ledger.job(job).is_some_and(|j| matches!(j.state, JobState::Running(_)));
        assert!(running, "{job} started before its commit");
        let Some(lease) = self.leases.get(job) else { return };
        let unreachable = lease.attempt.members.iter().find(|m| !self.is_reachable(&m.upstream));
        if let Some(member) = unreachable {
            let upstream = member.upstream.clone();
            self.report(job, AttemptResult::NeverStarted { upstream });
            return;
        }
        if let Some(lease) = self.leases.get_mut(job) {
            lease.started = true;
        }
        *self.observed.starts.entry(job.clone()).or_default() += 1;
    }

    fn is_reachable(&self, name: &UpstreamName) -> bool {
        let index = (0..UPSTREAMS).find(|n| heartbeat(*n, PER_RACK, 0).spec.name == *name);
        index.is_some_and(|n| self.upstreams[n].0 != UpstreamState::Down)
    }

    fn report(&mut self, job: &JobId, result: AttemptResult) {
        let Some(attempt) = self.leases.get(job).map(|lease| lease.attempt.number) else { return };
        let (job, at) = (job.clone(), self.now);
        self.log(Command::Ended { job, attempt, result, at });
    }

    fn abort(&mut self, abort: &Abort) {
        let Some(lease) = self.leases.get(&abort.job) else { return };
        let upstream = abort.upstream.clone();
        if lease.started {
            self.report(&abort.job, AttemptResult::Lost { upstream });
        } else {
            self.release(&abort.job.clone());
        }
    }

    fn release(&mut self, job: &JobId) {
        let Some(attempt) = self.leases.get(job).map(|lease| lease.attempt.number) else { return };
        self.log(Command::Release { job: job.clone(), attempt, at: self.now });
    }

    fn submit(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let accounts = ["lindqvist", "oulu", "norrsken"];
        let account = accounts[u.choose_index(accounts.len())?];
        let id = if self.next_job > 0 && u.ratio(1, 10)? {
            // A caller repeats an earlier request.
            format!("j{}", u.int_in_range(0..=self.next_job - 1)?)
        } else {
            self.next_job += 1;
            format!("j{}", self.next_job - 1)
        };
        let tasks = *u.choose(&[1, 1, 1, 1, 2, 2, 3, 4, 8])?;
        let accelerators = *u.choose(&[0, 1, 1, 2, 4, 8])?;
        let mut shape = Shape::new(tasks, per_task(accelerators));
        shape.adjacent = u.arbitrary()?;
        let mut spec = job(&id, account, shape, u.arbitrary()?);
        spec.class = *u.choose(&[JobClass::Urgent, JobClass::Normal, JobClass::Patient])?;
        spec.deadline_ms = *u.choose(&[2_000, 600_000, 36_000_000])?;
        if u.ratio(1, 20)? {
            spec.body_sha256 = Digest::of(b"another body");
        }
        let is_new =
            self.ledger.job(&spec.id).is_none() && self.ledger.ended_job(&spec.id).is_none();
        if is_new && self.scheduler.check_admission(&spec).is_some() {
            return Ok(());
        }
        let at_most_once = (!spec.idempotent).then(|| spec.id.clone());
        let id = spec.id.clone();
        let home = hg_model::EntryName::new("e1").expect("a good name");
        let outcome = self.log(Command::Accept { spec, home, at: self.now });
        assert_eq!(outcome == Outcome::Done, is_new, "{id} was accepted twice, or not at all");
        if is_new {
            self.observed.accepted.insert(id);
            self.observed.at_most_once.extend(at_most_once);
        }
        Ok(())
    }

    fn pick_lease(&self, u: &mut Unstructured<'_>) -> Result<Option<JobId>> {
        if self.leases.is_empty() {
            return Ok(None);
        }
        let index = u.choose_index(self.leases.len())?;
        Ok(self.leases.keys().nth(index).cloned())
    }

    fn end_one(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(id) = self.pick_lease(u)? {
            let fails = u.ratio(1, 10)?;
            self.end(&id, fails);
        }
        Ok(())
    }

    /// Commits a prepared gang, or ends a running attempt.
    fn end(&mut self, id: &JobId, fails: bool) {
        let Some(lease) = self.leases.get(id).cloned() else { return };
        if !lease.started {
            let command = Command::Commit { job: id.clone(), attempt: lease.attempt.number };
            if self.log(command) == Outcome::Stale {
                self.release(id);
            }
            return;
        }
        let failing = lease.attempt.members.iter().find(|m| {
            self.failing.iter().any(|n| heartbeat(*n, PER_RACK, 0).spec.name == m.upstream)
        });
        let result = match (failing, fails) {
            (Some(member), _) => {
                let upstream = member.upstream.clone();
                AttemptResult::Failed { upstream, reason: "failing upstream".to_owned() }
            }
            (None, true) => {
                let upstream = lease.attempt.members[0].upstream.clone();
                AttemptResult::Failed { upstream, reason: "failing job".to_owned() }
            }
            (None, false) => AttemptResult::Answered { length: 2, sha256: Digest::of(b"ok") },
        };
        self.report(id, result);
    }

    fn refuse_prepare(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(id) = self.pick_lease(u)?
            && self.leases.get(&id).is_some_and(|lease| !lease.started)
        {
            self.release(&id);
        }
        Ok(())
    }

    fn cancel(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let ids: Vec<JobId> = self.ledger.jobs().map(|job| job.spec.id.clone()).collect();
        if !ids.is_empty() {
            let job = ids[u.choose_index(ids.len())?].clone();
            self.log(Command::Cancel { job, at: self.now });
        }
        Ok(())
    }

    fn cancel_half(&mut self) {
        let ids: Vec<JobId> = self.ledger.jobs().map(|job| job.spec.id.clone()).collect();
        for job in ids.into_iter().step_by(2) {
            self.log(Command::Cancel { job, at: self.now });
        }
    }

    fn send_heartbeats(&mut self) {
        for n in 0..UPSTREAMS {
            let (state, boot) = self.upstreams[n];
            if state != UpstreamState::Down {
                let mut heartbeat = heartbeat(n, PER_RACK, boot);
                heartbeat.leaving = state == UpstreamState::Leaving;
                self.scheduler.record_heartbeat(self.now, &heartbeat);
            }
        }
    }

    fn lose_upstream(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = u.choose_index(UPSTREAMS)?;
        // Sometimes a whole rack is lost.
        let rack = u.ratio(1, 4)?;
        let first = if rack { n / PER_RACK * PER_RACK } else { n };
        for n in first..first + if rack { PER_RACK } else { 1 } {
            self.upstreams[n].0 = UpstreamState::Down;
            self.scheduler.mark_unreachable(self.now, &heartbeat(n, PER_RACK, 0).spec.name);
        }
        Ok(())
    }

    fn return_upstream(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = u.choose_index(UPSTREAMS)?;
        self.bring_up(n);
        Ok(())
    }

    /// Brings an upstream up. If it was down, it comes back empty and its tasks are lost.
    fn bring_up(&mut self, n: usize) {
        let name = heartbeat(n, PER_RACK, 0).spec.name;
        if self.upstreams[n].0 == UpstreamState::Down {
            self.next_boot += 1;
            self.upstreams[n] = (UpstreamState::Up, self.next_boot);
            let lost: Vec<Abort> = self
                .leases
                .iter()
                .filter(|(_, lease)| lease.attempt.members.iter().any(|m| m.upstream == name))
                .map(|(id, lease)| Abort {
                    job: id.clone(),
                    attempt: lease.attempt.number,
                    upstream: name.clone(),
                })
                .collect();
            for abort in lost {
                self.abort(&abort);
            }
        }
        self.upstreams[n].0 = UpstreamState::Up;
        self.scheduler.record_heartbeat(self.now, &heartbeat(n, PER_RACK, self.upstreams[n].1));
    }

    fn leave(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = u.choose_index(UPSTREAMS)?;
        if self.upstreams[n].0 == UpstreamState::Up {
            self.upstreams[n].0 = UpstreamState::Leaving;
            self.send_heartbeats();
        }
        Ok(())
    }

    fn drain(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = u.choose_index(UPSTREAMS)?;
        let drained = u.ratio(1, 3)?;
        let upstream = heartbeat(n, PER_RACK, 0).spec.name;
        self.log(Command::Drain { upstream, drained });
        Ok(())
    }

    fn toggle_failing(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let n = u.choose_index(UPSTREAMS)?;
        if !self.failing.remove(&n) {
            self.failing.insert(n);
        }
        Ok(())
    }

    fn pass_time(&mut self, span: Duration) {
        self.now = self.now.after(span);
        self.send_heartbeats();
    }

    /// Makes another replica the leader: a new scheduler is rebuilt from the ledger.
    fn change_leader(&mut self) {
        self.term.0 += 1;
        let cfg = PolicyConfig { reserve_after_ms: 2_000, ..PolicyConfig::default() };
        self.scheduler = Scheduler::new(cfg);
        self.send_heartbeats();
        self.scheduler.rebuild(self.now, &self.ledger);
    }

    fn put_lists(&mut self, variant: u8) {
        let pair = Shape::new(2, per_task(8)).with_adjacent();
        let quarter = Shape::new(2, per_task(2));
        let half = Shape::new(1, per_task(4));
        let lists = match variant {
            0 => lists(vec![
                plan("lindqvist", &[pair]),
                plan("oulu", &[quarter, half]),
                plan("norrsken", &[]),
            ]),
            1 => lists(vec![
                plan("lindqvist", &[quarter]),
                plan("oulu", &[pair]),
                plan("norrsken", &[half]),
            ]),
            2 => lists(vec![
                plan("lindqvist", &[pair, pair]),
                plan("oulu", &[half]),
                plan("norrsken", &[]),
            ]),
            _ => lists(vec![plan("lindqvist", &[]), plan("oulu", &[]), plan("norrsken", &[])]),
        };
        if self.scheduler.check_lists(&lists).is_err() {
            return;
        }
        self.next_operation += 1;
        let op = OperationId::new(format!("op{}", self.next_operation)).expect("a good id");
        let before = self.ledger.version();
        let outcome =
            self.log(Command::PutLists { op: op.clone(), expect: before, lists: lists.clone() });
        let version = ListVersion(before.0 + 1);
        assert_eq!(outcome, Outcome::Lists(version));
        // The same operation repeated gets the same answer; an old version is a conflict.
        let again = self.log(Command::PutLists { op, expect: before, lists: lists.clone() });
        assert_eq!(again, Outcome::Lists(version));
        let other = OperationId::new(format!("late{}", self.next_operation)).expect("a good id");
        let late = self.log(Command::PutLists { op: other, expect: before, lists });
        assert!(matches!(late, Outcome::Conflict(_)));
        assert_eq!(
            self.ledger.version(),
            version,
            "a conflicting write must not change the version"
        );
    }
}
