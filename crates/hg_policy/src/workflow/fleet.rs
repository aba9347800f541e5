//! What a leader has observed of the upstreams, beyond what they registered.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{Time, UpstreamName};

/// Observations that decisions depend on.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Upstreams that get no new work now: silent, suspect or put aside.
    pub shunned: BTreeSet<UpstreamName>,
    /// Upstreams that have said that they leave, and when they go at the earliest.
    pub leaving: BTreeMap<UpstreamName, Time>,
}

impl Fleet {
    /// Whether an upstream may get new work.
    pub fn is_usable(&self, upstream: &UpstreamName) -> bool {
        !self.shunned.contains(upstream) && !self.leaving.contains_key(upstream)
    }
}
