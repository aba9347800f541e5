//! The open runs of each upstream and the resources that they claim.

use std::collections::BTreeMap;

use hg_model::{Incarnation, ResourceVector, RunNumber, TaskId, Time, UpstreamName};
use serde::{Deserialize, Serialize};

/// A run that may be in progress at an upstream and claims part of its capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRun {
    /// The number of the task's run.
    pub run: RunNumber,
    /// The incarnation of the upstream that was asked to start it.
    pub incarnation: Incarnation,
    /// The resources that it claims.
    pub claim: ResourceVector,
    /// When the start was decided.
    pub since: Time,
}

/// The open runs of one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRuns {
    runs: BTreeMap<TaskId, OpenRun>,
    used: ResourceVector,
}

/// The open runs of all upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occupancy {
    upstreams: BTreeMap<UpstreamName, UpstreamRuns>,
}

/// Queries.
impl Occupancy {
    /// The resources that an upstream's open runs claim together.
    pub fn used(&self, upstream: &UpstreamName) -> ResourceVector {
        self.upstreams.get(upstream).map_or_else(ResourceVector::default, |open| open.used)
    }

    /// An upstream's open runs, by task.
    pub fn runs(&self, upstream: &UpstreamName) -> impl Iterator<Item = (&TaskId, &OpenRun)> {
        self.upstreams.get(upstream).into_iter().flat_map(|open| &open.runs)
    }

    /// The open run of a task at an upstream, if there is one.
    pub fn get(&self, upstream: &UpstreamName, task: &TaskId) -> Option<&OpenRun> {
        self.upstreams.get(upstream)?.runs.get(task)
    }

    /// The upstreams that have open runs.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamName> {
        self.upstreams.keys()
    }
}

/// Commands.
impl Occupancy {
    pub(crate) fn open(&mut self, upstream: UpstreamName, task: TaskId, run: OpenRun) {
        let open = self.upstreams.entry(upstream).or_default();
        open.used = open.used.plus(&run.claim);
        open.runs.insert(task, run);
    }

    pub(crate) fn close(&mut self, upstream: &UpstreamName, task: &TaskId) {
        let Some(open) = self.upstreams.get_mut(upstream) else { return };
        if let Some(run) = open.runs.remove(task) {
            open.used = open.used.minus(&run.claim);
        }
        if open.runs.is_empty() {
            self.upstreams.remove(upstream);
        }
    }
}
