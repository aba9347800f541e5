//! Ends of runs, and their consequences for tasks, gangs and workflows.

use hg_model::{
    Checkpoint, EndKind, Incarnation, JobId, RunEnd, RunNumber, StepId, TaskId, Time, UpstreamName,
    WorkflowState,
};

use super::ledger::{at_index, at_index_mut};
use super::{
    EndedWorkflow, LostRun, Occurrence, RunRef, StepRecord, TaskState, UnconfirmedEnd,
    WorkflowEffect, WorkflowLedger, WorkflowPhase,
};

/// Most workflows in their final state that are kept.
const ENDED_MAX: usize = 50_000;

impl WorkflowLedger {
    /// Applies an end that an upstream listed. Ignored if the run is not open there.
    pub(super) fn end_run(
        &mut self,
        upstream: &UpstreamName,
        incarnation: Incarnation,
        end: &RunEnd,
        at: Time,
        effects: &mut Vec<WorkflowEffect>,
    ) {
        self.crashes.forget_silenced(upstream, incarnation);
        if self.confirm_end(upstream, end) {
            self.advance_workflow(&end.task.step, at, effects);
            return;
        }
        // A start may have reached a later incarnation than the one it was meant for; its end
        // counts too.
        let open = self.occupancy.get(upstream, &end.task);
        if open.is_none_or(|open| open.run != end.run || open.incarnation > incarnation) {
            return;
        }
        if let Some(open) = open {
            self.crashes.record_end(&end.task, at.since(open.since));
        }
        let run_ref = RunRef { upstream: upstream.clone(), task: end.task.clone(), run: end.run };
        self.close_run(&run_ref, end.kind, end.checkpoint.as_ref(), effects);
        self.advance_workflow(&end.task.step, at, effects);
    }

    /// Confirms the step's unconfirmed end if this is its report. Returns whether it is.
    fn confirm_end(&mut self, upstream: &UpstreamName, end: &RunEnd) -> bool {
        let Some(record) = self.step_mut(&end.task.step) else { return false };
        let is_confirmed = record.unconfirmed.as_ref().is_some_and(|unconfirmed| {
            let UnconfirmedEnd { index, run, upstream: at } = unconfirmed;
            (*index, *run, at) == (end.task.index, end.run, upstream)
        });
        if is_confirmed {
            record.unconfirmed = None;
            if end.kind == EndKind::Failed {
                record.gang_failures += 1;
            }
        }
        is_confirmed
    }

    /// Drops the unconfirmed ends at an upstream that is gone or has restarted: they will never be
    /// reported.
    pub(super) fn forget_unconfirmed_at(&mut self, upstream: &UpstreamName) {
        for occurrence in self.jobs.values_mut().flat_map(|job| job.occurrences.values_mut()) {
            for record in &mut occurrence.steps {
                record.unconfirmed.take_if(|unconfirmed| unconfirmed.upstream == *upstream);
            }
        }
    }

    pub(super) fn step_mut(&mut self, step: &StepId) -> Option<&mut StepRecord> {
        let job = self.jobs.get_mut(&step.job)?;
        let occurrence = job.occurrences.get_mut(&step.occurrence)?;
        at_index_mut(&mut occurrence.steps, step.step)
    }

    /// Closes a run that is over without a listed end; its task may run again.
    pub(super) fn lose_run(&mut self, lost: LostRun, at: Time, effects: &mut Vec<WorkflowEffect>) {
        let LostRun { task, run, upstream, checkpoint, is_unconfirmed } = lost;
        if self.occupancy.get(&upstream, &task).is_none_or(|open| open.run != run) {
            return;
        }
        let step = task.step.clone();
        if is_unconfirmed && let Some(record) = self.step_mut(&step) {
            let (index, upstream) = (task.index, upstream.clone());
            record.unconfirmed = Some(UnconfirmedEnd { index, run, upstream });
        }
        let run_ref = RunRef { upstream, task, run };
        self.close_run(&run_ref, EndKind::Lapsed, checkpoint.as_ref(), effects);
        self.advance_workflow(&step, at, effects);
    }

    /// Releases the resources of a run and records how it ended.
    fn close_run(
        &mut self,
        at: &RunRef,
        kind: EndKind,
        checkpoint: Option<&Checkpoint>,
        effects: &mut Vec<WorkflowEffect>,
    ) {
        self.occupancy.close(&at.upstream, &at.task);
        effects.push(WorkflowEffect::RunClosed(at.clone()));
        let StepId { job, occurrence, step } = &at.task.step;
        let Some(job) = self.jobs.get_mut(job) else { return };
        job.open_runs = job.open_runs.saturating_sub(1);
        let gang = at_index(&job.spec.steps, *step).is_some_and(|spec| spec.gang);
        let record = job.occurrences.get_mut(occurrence);
        let Some(record) = record.and_then(|o| at_index_mut(&mut o.steps, *step)) else { return };
        if gang {
            record_gang_end(record, at, kind, checkpoint);
        }
        let Some(task) = at_index_mut(&mut record.tasks, at.task.index) else { return };
        if checkpoint.is_some() {
            task.checkpoint = checkpoint.cloned();
        }
        if kind == EndKind::Failed {
            task.failures += 1;
            task.failed_at = Some(at.upstream.clone());
        }
        if kind != EndKind::Done {
            task.state = TaskState::Waiting;
        } else if !task.is_done() {
            task.state = TaskState::Done;
            record.done += 1;
            self.crashes.clear_task(&at.task);
        }
        if gang && kind == EndKind::Done {
            self.finish_gang(&at.task, at.run, effects);
        }
    }

    /// Marks all members of a gang as done, since one member of the same run is done.
    fn finish_gang(&mut self, first: &TaskId, run: RunNumber, effects: &mut Vec<WorkflowEffect>) {
        let StepId { job: id, occurrence, step } = &first.step;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let record = job.occurrences.get_mut(occurrence);
        let Some(record) = record.and_then(|o| at_index_mut(&mut o.steps, *step)) else { return };
        for (index, task) in (0_u32..).zip(record.tasks.iter_mut()) {
            if task.is_done() {
                continue;
            }
            if let TaskState::Running { upstream } = &task.state {
                let task_id = TaskId { step: first.step.clone(), index };
                self.occupancy.close(upstream, &task_id);
                job.open_runs = job.open_runs.saturating_sub(1);
                let upstream = upstream.clone();
                effects.push(WorkflowEffect::RunClosed(RunRef { upstream, task: task_id, run }));
            }
            task.state = TaskState::Done;
            record.done += 1;
        }
        self.crashes.clear_step(&first.step);
    }

    /// Updates a workflow after a run of one of its steps has ended: it may fail, finish an
    /// occurrence, or reach its final state.
    fn advance_workflow(&mut self, step: &StepId, at: Time, effects: &mut Vec<WorkflowEffect>) {
        let StepId { job: id, occurrence, step } = step;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let long_running = at_index(&job.spec.steps, *step).is_some_and(|spec| spec.long_running);
        let attempts = job.terms.attempts.max(1);
        let record = job.occurrences.get(occurrence).and_then(|o| at_index(&o.steps, *step));
        let failed = record.is_some_and(|r| r.failures() >= attempts) && !long_running;
        if job.is_active() && failed {
            self.end_early(id, WorkflowState::Failed, at, effects);
            return;
        }
        if job.occurrences.get(occurrence).is_some_and(Occurrence::is_done) {
            job.occurrences.remove(occurrence);
            job.finished.insert(*occurrence);
        }
        let state = match job.phase {
            WorkflowPhase::Ending(state) => state,
            WorkflowPhase::Active if job.is_done() => WorkflowState::Completed,
            WorkflowPhase::Active => return,
        };
        if job.open_runs == 0 {
            self.archive(id.clone(), state, at, effects);
        }
    }

    /// Ends an active workflow as failed or cancelled; its final state waits for its open runs to
    /// end.
    pub(super) fn end_early(
        &mut self,
        id: &JobId,
        state: WorkflowState,
        at: Time,
        effects: &mut Vec<WorkflowEffect>,
    ) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_active()) else { return };
        job.phase = WorkflowPhase::Ending(state);
        if job.open_runs == 0 {
            self.archive(id.clone(), state, at, effects);
        } else {
            effects.push(WorkflowEffect::Ending(id.clone()));
        }
    }

    /// Moves a workflow to the ended ones; evicts the oldest of these beyond [`ENDED_MAX`].
    fn archive(
        &mut self,
        id: JobId,
        state: WorkflowState,
        at: Time,
        effects: &mut Vec<WorkflowEffect>,
    ) {
        self.jobs.remove(&id);
        self.crashes.forget_job(&id);
        self.ended.insert(id.clone(), EndedWorkflow { state, at });
        self.ended_order.push_back(id.clone());
        while self.ended_order.len() > ENDED_MAX {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended.remove(&oldest);
            }
        }
        effects.push(WorkflowEffect::Ended(id));
    }
}

/// Records the end of one member of a gang. The gang fails at most once per run, however many
/// members fail; progress saved by one member applies to all.
fn record_gang_end(
    record: &mut StepRecord,
    at: &RunRef,
    kind: EndKind,
    checkpoint: Option<&Checkpoint>,
) {
    if kind == EndKind::Failed && at.run > record.gang_failed_run {
        record.gang_failed_run = at.run;
        record.gang_failures += 1;
    }
    if let Some(checkpoint) = checkpoint {
        for task in &mut record.tasks {
            task.checkpoint = Some(checkpoint.clone());
        }
    }
}
