//! Which runs take room where.

use std::collections::BTreeMap;

use hg_model::{Incarnation, ResourceVector, RunNumber, TaskId, Time, UpstreamName};
use serde::{Deserialize, Serialize};

/// A run that may take room at an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRun {
    /// Which start of the task.
    pub run: RunNumber,
    /// Which life of the upstream.
    pub incarnation: Incarnation,
    /// What it takes.
    pub claim: ResourceVector,
    /// When the start was decided.
    pub since: Time,
}

/// The open runs of one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenants {
    runs: BTreeMap<TaskId, OpenRun>,
    used: ResourceVector,
}

/// The open runs of all upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occupancy {
    upstreams: BTreeMap<UpstreamName, Tenants>,
}

/// Queries.
impl Occupancy {
    /// What an upstream's open runs take together.
    pub fn used(&self, upstream: &UpstreamName) -> ResourceVector {
        self.upstreams.get(upstream).map_or_else(ResourceVector::default, |tenants| tenants.used)
    }

    /// An upstream's open runs, by task.
    pub fn runs(&self, upstream: &UpstreamName) -> impl Iterator<Item = (&TaskId, &OpenRun)> {
        self.upstreams.get(upstream).into_iter().flat_map(|tenants| &tenants.runs)
    }

    /// One open run.
    pub fn get(&self, upstream: &UpstreamName, task: &TaskId) -> Option<&OpenRun> {
        self.upstreams.get(upstream)?.runs.get(task)
    }

    /// The upstreams with open runs.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamName> {
        self.upstreams.keys()
    }
}

/// Commands.
impl Occupancy {
    pub(crate) fn open(&mut self, upstream: UpstreamName, task: TaskId, run: OpenRun) {
        let tenants = self.upstreams.entry(upstream).or_default();
        tenants.used = tenants.used.plus(&run.claim);
        tenants.runs.insert(task, run);
    }

    pub(crate) fn close(&mut self, upstream: &UpstreamName, task: &TaskId) {
        let Some(tenants) = self.upstreams.get_mut(upstream) else { return };
        if let Some(run) = tenants.runs.remove(task) {
            tenants.used = tenants.used.minus(&run.claim);
        }
        if tenants.runs.is_empty() {
            self.upstreams.remove(upstream);
        }
    }
}
