//! The replicated state of workflows and how each command changes it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hg_model::{
    AccountName, Catalog, Checkpoint, HostName, Incarnation, JobId, QueueName, RunNumber, StepId,
    StepSpec, TaskId, Time, UpstreamName, UpstreamReport, WaveNumber, WorkflowSpec, WorkflowState,
};
use serde::{Deserialize, Serialize};

use super::{
    AccountUsage, Contention, Crashes, Drains, EndedWorkflow, ExposedRun, HostSpeeds,
    LearnedRunTimes, LostRun, Occupancy, Occurrence, OpenRun, QueueTerms, RunRef, RunStart,
    RunTimeChange, SavedProgress, StepRecord, TaskState, Tombstones, UpkeepStage, UpkeepTargets,
    Waves, Workflow, WorkflowCommand, WorkflowEffect, WorkflowPhase,
};

/// Catalog, registered upstreams, workflows, open runs and maintenance waves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkflowLedger {
    catalog: Option<Catalog>,
    upstreams: BTreeMap<UpstreamName, UpstreamReport>,
    pub(super) jobs: BTreeMap<JobId, Workflow>,
    pub(super) ended: BTreeMap<JobId, EndedWorkflow>,
    pub(super) ended_order: VecDeque<JobId>,
    pub(super) occupancy: Occupancy,
    waves: Waves,
    /// Kept apart in snapshots, so that those of versions without it can still be read.
    #[serde(skip)]
    pub(super) crashes: Crashes,
    /// Kept apart in snapshots as well.
    #[serde(skip)]
    drains: Drains,
    /// Kept apart in snapshots for the same reason.
    #[serde(skip)]
    host_speeds: HostSpeeds,
    /// Kept apart in snapshots like the crashes.
    #[serde(skip)]
    run_times: LearnedRunTimes,
    /// Kept apart in snapshots for the same reason.
    #[serde(skip)]
    usage: AccountUsage,
    contention: Contention,
    /// Kept apart in snapshots like the crashes.
    #[serde(skip)]
    upkeep_targets: UpkeepTargets,
    /// Kept apart in snapshots as well.
    #[serde(skip)]
    tombstones: Tombstones,
}

/// Fewer crashes of upstreams under a task never fail its workflow.
const CRASHES_MIN: usize = 2;

/// Queries.
impl WorkflowLedger {
    /// The catalog in force.
    pub const fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    /// The registered upstreams, by name.
    pub const fn upstreams(&self) -> &BTreeMap<UpstreamName, UpstreamReport> {
        &self.upstreams
    }

    /// The workflows that are not in their final state, or that still have open runs.
    pub const fn jobs(&self) -> &BTreeMap<JobId, Workflow> {
        &self.jobs
    }

    /// A workflow that is not in its final state, or that still has open runs.
    pub fn job(&self, id: &JobId) -> Option<&Workflow> {
        self.jobs.get(id)
    }

    /// The caller's description of a step of such a workflow.
    pub fn step_spec(&self, step: &StepId) -> Option<&StepSpec> {
        at_index(&self.jobs.get(&step.job)?.spec.steps, step.step)
    }

    /// The progress of a step; `None` if its occurrence has not begun, or is done.
    pub fn step_record(&self, step: &StepId) -> Option<&StepRecord> {
        let occurrence = self.jobs.get(&step.job)?.occurrence(step.occurrence)?;
        at_index(&occurrence.steps, step.step)
    }

    /// The state of a workflow as callers see it; `None` if it is unknown.
    pub fn state(&self, id: &JobId) -> Option<WorkflowState> {
        let open = self.jobs.get(id).map(Workflow::state);
        open.or_else(|| self.ended.get(id).map(|ended| ended.state))
    }

    /// How many workflows of a queue are accepted and have not started any task.
    pub fn queued_count(&self, queue: &QueueName) -> usize {
        let waits =
            |job: &&Workflow| job.terms.queue == *queue && job.state() == WorkflowState::Queued;
        self.jobs.values().filter(waits).count()
    }

    /// The open runs of each upstream and the resources that they claim.
    pub const fn occupancy(&self) -> &Occupancy {
        &self.occupancy
    }

    /// The maintenance waves.
    pub const fn waves(&self) -> &Waves {
        &self.waves
    }

    /// The upstreams that each pending upkeep ends once it is carried out.
    pub const fn upkeep_targets(&self) -> &UpkeepTargets {
        &self.upkeep_targets
    }

    /// The ids that were cancelled before their submission arrived.
    pub const fn tombstones(&self) -> &Tombstones {
        &self.tombstones
    }

    /// The crashes that tasks and upstreams have gone through.
    pub const fn crashes(&self) -> &Crashes {
        &self.crashes
    }

    /// The drains of data centres.
    pub const fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Whether an upstream is registered in a drained data centre.
    pub fn is_drained(&self, upstream: &UpstreamName) -> bool {
        let report = self.upstreams.get(upstream);
        report.is_some_and(|report| self.drains.is_drained(&report.data_centre))
    }

    /// The lasting relative run times of hosts.
    pub const fn host_speeds(&self) -> &HostSpeeds {
        &self.host_speeds
    }

    /// How long runs took, relative to their estimates.
    pub const fn run_times(&self) -> &LearnedRunTimes {
        &self.run_times
    }

    /// The recent use of resources by account.
    pub const fn usage(&self) -> &AccountUsage {
        &self.usage
    }

    /// The learned contention between classes of tasks.
    pub const fn contention(&self) -> &Contention {
        &self.contention
    }

    /// When the oldest retained workflow in its final state ended, or the oldest tombstone was recorded if that is earlier; `None`
    /// if none is retained.
    pub fn oldest_end_time(&self) -> Option<Time> {
        let oldest = self.ended_order.front().and_then(|id| self.ended.get(id));
        oldest.map(|ended| ended.at).into_iter().chain(self.tombstones.oldest()).min()
    }
}

/// Commands.
impl WorkflowLedger {
    /// Applies one command of the log. A command, or part of one, that no longer applies changes
    /// nothing.
    pub fn apply(&mut self, command: WorkflowCommand) -> Vec<WorkflowEffect> {
        let mut effects = Vec::new();
        match command {
            WorkflowCommand::PutCatalog(catalog) => self.put_catalog(catalog, &mut effects),
            WorkflowCommand::Accept { id, spec, terms, account, at } => {
                self.accept(id, spec, terms, account, at, &mut effects);
            }
            WorkflowCommand::Cancel { id, at } => {
                self.end_early(&id, WorkflowState::Cancelled, at, &mut effects);
            }
            WorkflowCommand::CancelUnknown { id, account, at } => {
                self.cancel_unknown(id, account, at, &mut effects);
            }
            WorkflowCommand::Start { starts, at } => {
                self.start_runs(starts, at, &mut effects);
            }
            WorkflowCommand::RunsEnded { upstream, incarnation, ends, at } => {
                for end in ends {
                    self.end_run(&upstream, incarnation, &end, at, &mut effects);
                }
            }
            WorkflowCommand::RunsLost { runs, at } => {
                for run in runs {
                    self.lose_run(run, at, &mut effects);
                }
            }
            WorkflowCommand::ForgetUnconfirmedEnd { step } => {
                if let Some(record) = self.step_mut(&step) {
                    record.unconfirmed = None;
                }
            }
            WorkflowCommand::Register(report) => self.register(report, &mut effects),
            WorkflowCommand::Deregister { name, incarnation, saved, at } => {
                self.deregister(&name, incarnation, &saved, at, &mut effects);
            }
            WorkflowCommand::StartWave { spec, at } => {
                let number = spec.number;
                if self.waves.start(spec, at) {
                    effects.push(WorkflowEffect::Wave(number));
                }
            }
            WorkflowCommand::Upkeep { wave, host, stage } => {
                self.record_upkeep(wave, host, stage);
                effects.push(WorkflowEffect::Wave(wave));
            }
            WorkflowCommand::Forget { before } => self.forget(before),
            WorkflowCommand::UpstreamCrashed { name, incarnation, silent_since, runs, at } => {
                self.crash_upstream(name, incarnation, silent_since, runs, at);
            }
            WorkflowCommand::UpstreamSilenced { name, incarnation, silent_since, mut runs, at } => {
                runs.retain(|run| self.is_unfinished(&run.task));
                self.crashes.record_silenced(name, incarnation, silent_since, runs, at);
            }
            WorkflowCommand::GiveUp { task, at } => {
                if self.crashes.of(&task).len() >= CRASHES_MIN {
                    self.crashes.record_given_up(&task);
                    self.end_early(&task.step.job, WorkflowState::Failed, at, &mut effects);
                }
            }
            WorkflowCommand::StartDrain { data_centre, at } => {
                if self.drains.start(&data_centre, at) {
                    effects.push(WorkflowEffect::Drain(data_centre));
                }
            }
            WorkflowCommand::EndDrain { data_centre, at } => {
                if self.drains.end(&data_centre, at) {
                    effects.push(WorkflowEffect::Drain(data_centre));
                }
            }
            WorkflowCommand::HostSpeeds { changed, at } => {
                self.host_speeds.record(changed, at, &self.upstreams);
            }
            WorkflowCommand::RunTimesLearned { changes, at } => self.learn_run_times(changes, at),
            WorkflowCommand::RecordUsage(usage) => self.restore_usage(usage),
            WorkflowCommand::RecordContention { dropped, changed } => {
                self.contention.record(&dropped, changed);
            }
        }
        effects
    }

    /// Restores the speeds of hosts that a snapshot keeps apart.
    pub(crate) fn restore_host_speeds(&mut self, host_speeds: HostSpeeds) {
        self.host_speeds = host_speeds;
    }

    /// Restores the tombstones that a snapshot keeps apart.
    pub(crate) fn restore_tombstones(&mut self, tombstones: Tombstones) {
        self.tombstones = tombstones;
    }

    /// Restores the targets of pending upkeeps that a snapshot keeps apart.
    pub(crate) fn restore_upkeep_targets(&mut self, upkeep_targets: UpkeepTargets) {
        self.upkeep_targets = upkeep_targets;
    }

    /// Restores the crashes that a snapshot keeps apart.
    pub(crate) fn restore_crashes(&mut self, crashes: Crashes) {
        self.crashes = crashes;
    }

    /// Restores the drains that a snapshot keeps apart.
    pub(crate) fn restore_drains(&mut self, drains: Drains) {
        self.drains = drains;
    }

    /// Restores the run times that a snapshot keeps apart.
    pub(crate) fn restore_run_times(&mut self, run_times: LearnedRunTimes) {
        self.run_times = run_times;
    }

    /// Adds completed runs of queues that the catalog in force has.
    fn learn_run_times(&mut self, mut changes: Vec<RunTimeChange>, at: Time) {
        if let Some(catalog) = &self.catalog {
            let queues: BTreeSet<_> = catalog.queues.iter().map(|queue| &queue.name).collect();
            changes.retain(|change| queues.contains(&change.key.queue));
        }
        self.run_times.add(changes, at);
    }

    /// Replaces the use by account, in a command or from the part of a snapshot that keeps it apart.
    pub(crate) fn restore_usage(&mut self, usage: AccountUsage) {
        self.usage = usage;
        self.usage.retain_accounts(self.catalog.as_ref());
    }

    /// Restores the learned contention that a snapshot keeps apart.
    pub(crate) fn restore_contention(&mut self, contention: Contention) {
        self.contention = contention;
    }

    fn record_upkeep(&mut self, wave: WaveNumber, host: HostName, stage: UpkeepStage) {
        if !self.waves.record_stage(wave, &host, stage) {
            return;
        }
        if stage == UpkeepStage::Ordered {
            let there =
                self.upstreams.values().filter(|report| report.host.as_ref() == Some(&host));
            let targets = there.map(|report| (report.name.clone(), report.incarnation)).collect();
            self.upkeep_targets.record(wave, host, targets);
        } else {
            self.upkeep_targets.remove(wave, &host);
        }
    }

    fn crash_upstream(
        &mut self,
        name: UpstreamName,
        incarnation: Incarnation,
        silent_since: Option<Time>,
        mut runs: Vec<ExposedRun>,
        at: Time,
    ) {
        let silenced = self.crashes.take_silenced(&name, incarnation, silent_since);
        let known: BTreeSet<TaskId> = runs.iter().map(|run| run.task.clone()).collect();
        runs.extend(silenced.into_iter().filter(|run| !known.contains(&run.task)));
        runs.retain(|run| self.is_unfinished(&run.task));
        self.crashes.record(name, incarnation, silent_since, runs, at);
    }

    /// Whether a task belongs to a workflow that may still start it.
    fn is_unfinished(&self, task: &TaskId) -> bool {
        let record = self.step_record(&task.step).and_then(|r| at_index(&r.tasks, task.index));
        let is_active = self.jobs.get(&task.step.job).is_some_and(Workflow::is_active);
        is_active && record.is_some_and(|record| !record.is_done())
    }

    fn put_catalog(&mut self, catalog: Catalog, effects: &mut Vec<WorkflowEffect>) {
        if self.catalog.as_ref().is_none_or(|current| current.version < catalog.version) {
            let queues = catalog.queues.iter().map(|queue| &queue.name);
            self.run_times.retain_queues(&queues.collect());
            self.catalog = Some(catalog);
            self.usage.retain_accounts(self.catalog.as_ref());
            effects.push(WorkflowEffect::Catalog);
        }
    }

    fn accept(
        &mut self,
        id: JobId,
        spec: WorkflowSpec,
        terms: QueueTerms,
        account: Option<AccountName>,
        at: Time,
        effects: &mut Vec<WorkflowEffect>,
    ) {
        if self.state(&id).is_some()
            || self.tombstones.cancelled_at(account.as_ref(), &id).is_some()
        {
            return;
        }
        let workflow = Workflow {
            spec,
            terms,
            account,
            accepted_at: at,
            phase: WorkflowPhase::Active,
            started: false,
            occurrences: BTreeMap::new(),
            finished: BTreeSet::new(),
            open_runs: 0,
        };
        self.jobs.insert(id.clone(), workflow);
        effects.push(WorkflowEffect::Accepted(id));
    }

    /// Cancels a workflow that may have been accepted since its caller asked for that, or else records a tombstone.
    fn cancel_unknown(
        &mut self,
        id: JobId,
        account: Option<AccountName>,
        at: Time,
        effects: &mut Vec<WorkflowEffect>,
    ) {
        match self.jobs.get(&id) {
            Some(job) if job.account == account => {
                self.end_early(&id, WorkflowState::Cancelled, at, effects);
            }
            Some(_) => {}
            None if self.ended.contains_key(&id) => {}
            None => self.tombstones.record(account, id, at),
        }
    }

    /// Opens the runs whose start still applies; those of a gang all together or not at all.
    fn start_runs(&mut self, starts: Vec<RunStart>, at: Time, effects: &mut Vec<WorkflowEffect>) {
        let mut blocked_gangs: BTreeSet<StepId> = BTreeSet::new();
        for start in &starts {
            if self.is_gang(&start.task.step) && !self.may_start(start) {
                blocked_gangs.insert(start.task.step.clone());
            }
        }
        for start in starts {
            if !blocked_gangs.contains(&start.task.step) && self.may_start(&start) {
                self.start_run(start, at, effects);
            }
        }
    }

    fn is_gang(&self, step: &StepId) -> bool {
        self.step_spec(step).is_some_and(|spec| spec.gang)
    }

    /// Whether a start still applies: the upstream is registered with the same incarnation and not in a drained data
    /// centre, the workflow is active, its occurrence is not finished, and the task exists, waits and had only
    /// lower runs.
    fn may_start(&self, start: &RunStart) -> bool {
        let StepId { job: id, occurrence, step } = &start.task.step;
        let registered = self.upstreams.get(&start.upstream);
        if registered.is_none_or(|report| report.incarnation != start.incarnation)
            || self.is_drained(&start.upstream)
        {
            return false;
        }
        let Some(job) = self.jobs.get(id).filter(|job| job.is_active()) else { return false };
        if job.finished.contains(occurrence) || *occurrence >= job.spec.occurrences() {
            return false;
        }
        let Some(spec) = at_index(&job.spec.steps, *step) else { return false };
        if start.task.index >= spec.tasks {
            return false;
        }
        let Some(record) = job.occurrences.get(occurrence).and_then(|o| at_index(&o.steps, *step))
        else {
            return true;
        };
        at_index(&record.tasks, start.task.index)
            .is_some_and(|task| task.is_waiting() && start.run > task.run)
    }

    fn start_run(&mut self, start: RunStart, at: Time, effects: &mut Vec<WorkflowEffect>) {
        let StepId { job: id, occurrence, step } = &start.task.step;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(spec) = at_index(&job.spec.steps, *step) else { return };
        let claim = spec.claim();
        let begun_occurrence =
            job.occurrences.entry(*occurrence).or_insert_with(|| Occurrence::new(&job.spec));
        let Some(record) = at_index_mut(&mut begun_occurrence.steps, *step) else { return };
        let Some(task) = at_index_mut(&mut record.tasks, start.task.index) else { return };
        task.state = TaskState::Running { upstream: start.upstream.clone() };
        task.run = start.run;
        job.started = true;
        job.open_runs += 1;
        let run = OpenRun { run: start.run, incarnation: start.incarnation, claim, since: at };
        self.occupancy.open(start.upstream.clone(), start.task.clone(), run);
        let RunStart { task, run, upstream, .. } = start;
        effects.push(WorkflowEffect::RunOpened(RunRef { upstream, task, run }));
    }

    fn register(&mut self, report: UpstreamReport, effects: &mut Vec<WorkflowEffect>) {
        let name = report.name.clone();
        let known = self.upstreams.get(&name);
        let report = report.inherit_leaving(known);
        if known.is_some_and(|known| known.incarnation > report.incarnation || *known == report) {
            return;
        }
        let is_new_incarnation = known.is_some_and(|known| known.incarnation < report.incarnation);
        self.upstreams.insert(name.clone(), report);
        if is_new_incarnation {
            self.forget_unconfirmed_at(&name);
        }
        effects.push(WorkflowEffect::Registered(name));
    }

    /// Removes an upstream; its open runs are lost, with the saved progress given for them.
    fn deregister(
        &mut self,
        name: &UpstreamName,
        incarnation: Incarnation,
        saved: &[SavedProgress],
        at: Time,
        effects: &mut Vec<WorkflowEffect>,
    ) {
        if self.upstreams.get(name).is_none_or(|known| known.incarnation != incarnation) {
            return;
        }
        let saved: BTreeMap<(&TaskId, RunNumber), &Checkpoint> =
            saved.iter().map(|s| ((&s.task, s.run), &s.checkpoint)).collect();
        let lost: Vec<LostRun> = self
            .occupancy
            .runs(name)
            .map(|(task, open)| LostRun {
                task: task.clone(),
                run: open.run,
                upstream: name.clone(),
                checkpoint: saved.get(&(task, open.run)).map(|found| (*found).clone()),
                is_unconfirmed: false,
            })
            .collect();
        for run in lost {
            self.lose_run(run, at, effects);
        }
        self.forget_unconfirmed_at(name);
        if self.upstreams.remove(name).is_some_and(|known| known.leaving) {
            self.crashes.forget_silenced(name, incarnation);
        }
        effects.push(WorkflowEffect::Deregistered(name.clone()));
    }

    fn forget(&mut self, before: Time) {
        self.tombstones.forget(before);
        while let Some(id) = self.ended_order.front() {
            if self.ended.get(id).is_some_and(|ended| ended.at >= before) {
                return;
            }
            self.ended.remove(id);
            self.ended_order.pop_front();
        }
    }
}

pub(super) fn at_index<T>(items: &[T], index: u32) -> Option<&T> {
    items.get(usize::try_from(index).ok()?)
}

pub(super) fn at_index_mut<T>(items: &mut [T], index: u32) -> Option<&mut T> {
    items.get_mut(usize::try_from(index).ok()?)
}
