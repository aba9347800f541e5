//! What goes through the log about workflows.

use hg_model::{
    AccountName, Catalog, Checkpoint, HostName, Incarnation, JobId, RunEnd, RunNumber, StepId,
    TaskId, Time, UpstreamName, UpstreamReport, WaveNumber, WaveSpec, WorkflowSpec,
};
use serde::{Deserialize, Serialize};

use super::{QueueTerms, UpkeepStage};

/// A start that was decided. It is logged before any upstream hears of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: RunNumber,
    /// Where it is to run.
    pub upstream: UpstreamName,
    /// Which life of the upstream.
    pub incarnation: Incarnation,
}

/// A run that provably does not run and never will, without an end in any list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: RunNumber,
    /// Where it was to run.
    pub upstream: UpstreamName,
    /// The last saved progress that was seen.
    pub checkpoint: Option<Checkpoint>,
    /// Whether it may still be listed as failed: its end is certain, but nobody has heard of it.
    #[serde(rename = "is_unheard")]
    pub is_unconfirmed: bool,
}

/// Saved progress of a run whose upstream is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedProgress {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: RunNumber,
    /// What was saved.
    pub checkpoint: Checkpoint,
}

/// A change to the record of workflows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkflowCommand {
    /// Puts a catalog in force, unless a version as high is in force already.
    PutCatalog(Catalog),
    /// Takes a workflow in.
    Accept {
        /// Its id, chosen by the caller.
        id: JobId,
        /// What to do.
        spec: WorkflowSpec,
        /// How its queue treats it.
        terms: QueueTerms,
        /// Who pays; `None` on a queue that is open to everyone.
        account: Option<AccountName>,
        /// When.
        at: Time,
    },
    /// Cancels a workflow in whatever state it is.
    Cancel {
        /// The workflow.
        id: JobId,
        /// When.
        at: Time,
    },
    /// Starts tasks. The members of a gang stand in one command.
    Start {
        /// The starts.
        starts: Vec<RunStart>,
        /// When they were decided.
        at: Time,
    },
    /// Takes in ends that an upstream listed; they may be acknowledged to it afterwards.
    #[serde(rename = "ends")]
    RunsEnded {
        /// The upstream.
        upstream: UpstreamName,
        /// Which life of it.
        incarnation: Incarnation,
        /// The ends.
        ends: Vec<RunEnd>,
        /// When.
        at: Time,
    },
    /// Gives up runs that are over without an end.
    #[serde(rename = "lose")]
    RunsLost {
        /// The runs.
        runs: Vec<LostRun>,
        /// When.
        at: Time,
    },
    /// An end that nobody heard of does not count any more: its upstream's leases are over.
    #[serde(rename = "forget_unheard")]
    ForgetUnconfirmedEnd {
        /// The step.
        step: StepId,
    },
    /// Registers an upstream, or what has changed of it.
    Register(UpstreamReport),
    /// An upstream is gone, with everything that ran on it.
    Deregister {
        /// The upstream.
        name: UpstreamName,
        /// Which life of it.
        incarnation: Incarnation,
        /// The last progress of its runs that was seen to be saved.
        saved: Vec<SavedProgress>,
        /// When.
        at: Time,
    },
    /// Takes a maintenance wave in.
    StartWave {
        /// What is asked for.
        spec: WaveSpec,
        /// When.
        at: Time,
    },
    /// Notes how far a host's upkeep is.
    Upkeep {
        /// The wave.
        wave: WaveNumber,
        /// The host.
        host: HostName,
        /// How far.
        stage: UpkeepStage,
    },
    /// Forgets workflows that ended before a point in time.
    Forget {
        /// The point.
        before: Time,
    },
}
