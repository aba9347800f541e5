//! The data centres that operators drain.

use std::collections::BTreeMap;

use hg_model::{DataCentreName, Time};
use serde::{Deserialize, Serialize};

/// Most drains at the same time, and most ended ones that are remembered.
pub const DRAINS_MAX: usize = 256;

/// The drains in force, and when earlier ones ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    /// When each drain in force was started.
    active: BTreeMap<DataCentreName, Time>,
    /// When the last drain of a data centre ended that is not drained now.
    ended: BTreeMap<DataCentreName, Time>,
}

/// Queries.
impl Drains {
    /// Whether a data centre is drained.
    pub fn is_drained(&self, data_centre: &DataCentreName) -> bool {
        self.active.contains_key(data_centre)
    }

    /// The drained data centres, with the time at which each drain was started.
    pub const fn active(&self) -> &BTreeMap<DataCentreName, Time> {
        &self.active
    }

    /// Whether a data centre was drained and is not any more.
    pub fn has_ended(&self, data_centre: &DataCentreName) -> bool {
        self.ended.contains_key(data_centre)
    }
}

/// Commands.
impl Drains {
    /// Starts a drain. Returns `false` if the data centre is drained already; its drain keeps the time of its start.
    pub(crate) fn start(&mut self, data_centre: &DataCentreName, at: Time) -> bool {
        if self.is_drained(data_centre) {
            return false;
        }
        self.ended.remove(data_centre);
        self.active.insert(data_centre.clone(), at);
        true
    }

    /// Ends a drain. Returns `false` if the data centre is not drained.
    pub(crate) fn end(&mut self, data_centre: &DataCentreName, at: Time) -> bool {
        if self.active.remove(data_centre).is_none() {
            return false;
        }
        self.ended.insert(data_centre.clone(), at);
        if self.ended.len() > DRAINS_MAX {
            let oldest = self.ended.iter().min_by_key(|(_, ended_at)| **ended_at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.ended.remove(&oldest);
            }
        }
        true
    }
}
