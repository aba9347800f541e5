//! What a leader has observed of the upstreams, beyond what they registered.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{TaskId, Time, UpstreamName};

/// Observations that decisions depend on.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Upstreams that get no new work now: silent, suspect or put aside.
    pub shunned: BTreeSet<UpstreamName>,
    /// When a task's progress was last seen to have been saved.
    pub saved_at: BTreeMap<TaskId, Time>,
}

impl Fleet {
    /// Whether an upstream may get new work.
    pub fn is_usable(&self, upstream: &UpstreamName) -> bool {
        !self.shunned.contains(upstream)
    }
}
