//! The commands of the replicated log about workflows.

use hg_model::{
    AccountName, Catalog, Checkpoint, DataCentreName, HostName, Incarnation, JobId, RunEnd,
    RunNumber, StepId, TaskId, Time, UpstreamName, UpstreamReport, WaveNumber, WaveSpec,
    WorkflowSpec,
};
use serde::{Deserialize, Serialize};

use super::{
    AccountUsage, ContentionPair, ExposedRun, HostSpeed, PairEvidence, QueueTerms, RunTimeChange,
    UpkeepStage,
};

/// A decided start of a run. It is committed to the log before it is ordered at any upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: RunNumber,
    /// The upstream that is to run it.
    pub upstream: UpstreamName,
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
}

/// A run that provably is not in progress and never will be, without an end in any upstream's
/// listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: RunNumber,
    /// The upstream that was to run it.
    pub upstream: UpstreamName,
    /// The last saved progress that was reported.
    pub checkpoint: Option<Checkpoint>,
    /// Whether its end is unconfirmed: it has certainly ended, but its upstream may still list it
    /// as failed.
    #[serde(rename = "is_unheard")]
    pub is_unconfirmed: bool,
}

/// Saved progress of a run whose upstream is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedProgress {
    /// The task.
    pub task: TaskId,
    /// The number of its run.
    pub run: RunNumber,
    /// The saved progress.
    pub checkpoint: Checkpoint,
}

/// A change to the state of workflows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkflowCommand {
    /// Puts a catalog in force, unless one of the same or a higher version is in force.
    PutCatalog(Catalog),
    /// Accepts a workflow.
    Accept {
        /// Its id, chosen by the caller.
        id: JobId,
        /// What the caller asked for.
        spec: WorkflowSpec,
        /// The current settings of its queue.
        terms: QueueTerms,
        /// The client account that pays; `None` on a queue that is open to everyone.
        account: Option<AccountName>,
        /// When it was decided or observed.
        at: Time,
    },
    /// Cancels a workflow in whatever state it is.
    Cancel {
        /// The workflow.
        id: JobId,
        /// When it was decided or observed.
        at: Time,
    },
    /// Starts tasks. The members of a gang are started by one command.
    Start {
        /// The starts.
        starts: Vec<RunStart>,
        /// When they were decided.
        at: Time,
    },
    /// Records ends that an upstream listed; they may be acknowledged to it afterwards.
    #[serde(rename = "ends")]
    RunsEnded {
        /// The upstream.
        upstream: UpstreamName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The ends.
        ends: Vec<RunEnd>,
        /// When it was decided or observed.
        at: Time,
    },
    /// Closes runs that are over without a listed end.
    #[serde(rename = "lose")]
    RunsLost {
        /// The runs.
        runs: Vec<LostRun>,
        /// When it was decided or observed.
        at: Time,
    },
    /// Drops an unconfirmed end that cannot be reported any more: its upstream's leases have
    /// expired.
    #[serde(rename = "forget_unheard")]
    ForgetUnconfirmedEnd {
        /// The step.
        step: StepId,
    },
    /// Registers an upstream, or updates its registration.
    Register(UpstreamReport),
    /// Removes an upstream that is gone; everything that ran on it is lost.
    Deregister {
        /// The upstream.
        name: UpstreamName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The last saved progress of its runs that was reported.
        saved: Vec<SavedProgress>,
        /// When it was decided or observed.
        at: Time,
    },
    /// Starts a maintenance wave, unless one of its number is known.
    StartWave {
        /// What the operators asked for.
        spec: WaveSpec,
        /// When it was decided or observed.
        at: Time,
    },
    /// Records the stage of a host's upkeep.
    Upkeep {
        /// The wave.
        wave: WaveNumber,
        /// The host.
        host: HostName,
        /// The stage.
        stage: UpkeepStage,
    },
    /// Removes the workflows that ended before a point in time.
    Forget {
        /// The point in time.
        before: Time,
    },
    /// Records that an incarnation of an upstream ended without notice, before it is replaced or removed.
    UpstreamCrashed {
        /// The upstream.
        name: UpstreamName,
        /// The incarnation that ended.
        incarnation: Incarnation,
        /// Since when it gave no sign of life; `None` if the leader had not been in contact with it.
        silent_since: Option<Time>,
        /// The runs that it may have had.
        runs: Vec<ExposedRun>,
        /// When it was decided or observed.
        at: Time,
    },
    /// Records runs whose leases expired on a silent upstream, before they are recorded as lost: it may have crashed.
    UpstreamSilenced {
        /// The upstream.
        name: UpstreamName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Since when it gave no sign of life; `None` if the leader had not been in contact with it.
        silent_since: Option<Time>,
        /// The runs.
        runs: Vec<ExposedRun>,
        /// When it was decided or observed.
        at: Time,
    },
    /// Fails the workflow of a task that crashes its upstreams.
    GiveUp {
        /// The task.
        task: TaskId,
        /// When it was decided.
        at: Time,
    },
    /// Starts the drain of a data centre: no run starts there until the drain ends.
    StartDrain {
        /// The data centre.
        data_centre: DataCentreName,
        /// When it was decided.
        at: Time,
    },
    /// Ends the drain of a data centre.
    EndDrain {
        /// The data centre.
        data_centre: DataCentreName,
        /// When it was decided.
        at: Time,
    },

    /// Records changed estimates of the lasting relative run times of hosts.
    HostSpeeds {
        /// The hosts with their new estimates.
        changed: Vec<(HostName, HostSpeed)>,
        /// When they were estimated.
        at: Time,
    },
    /// Adds completed runs to what is known of run times.
    RunTimesLearned {
        /// The runs, by queue and image.
        changes: Vec<RunTimeChange>,
        /// When it was decided.
        at: Time,
    },
    /// Replaces the recent use of resources by account.
    RecordUsage(AccountUsage),
    /// Records learned contention between classes of tasks.
    RecordContention {
        /// Pairs without evidence from now on; they are removed first.
        dropped: Vec<ContentionPair>,
        /// Pairs with their evidence from now on.
        changed: Vec<(ContentionPair, PairEvidence)>,
    },
    /// Cancels a workflow that was unknown when its caller asked for that: its submission may still arrive.
    CancelUnknown {
        /// The workflow.
        id: JobId,
        /// The client account that cancels it; `None` on a queue that is open to everyone.
        account: Option<AccountName>,
        /// When it was decided.
        at: Time,
    },
}
