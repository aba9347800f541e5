//! Keeps starts from leaving for a data centre that is drained.
//!
//! An order waits for a connection after the core has put it out. The gate is asked last of all, so that a start which waited
//! is withdrawn if a drain was committed meanwhile.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, PoisonError, RwLock};

use hg_model::{DataCentreName, Time, UpstreamName, UpstreamReport};

use crate::{Order, OrderKind};

#[cfg(test)]
mod tests;

/// The data centres to which no start may be sent.
#[derive(Debug, Default)]
pub(crate) struct StartGate {
    closed: RwLock<BTreeSet<DataCentreName>>,
}

impl StartGate {
    /// Closes the gate to these data centres and opens it to all others.
    pub(crate) fn close(&self, drained: &BTreeMap<DataCentreName, Time>) {
        let is_same = self.read(|closed| closed.iter().eq(drained.keys()));
        if !is_same {
            let mut closed = self.closed.write().unwrap_or_else(PoisonError::into_inner);
            *closed = drained.keys().cloned().collect();
        }
    }

    fn is_closed(&self, data_centre: &DataCentreName) -> bool {
        self.read(|closed| closed.contains(data_centre))
    }

    fn read<T>(&self, query: impl FnOnce(&BTreeSet<DataCentreName>) -> T) -> T {
        query(&self.closed.read().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Tells just before an order is sent whether it may still be.
#[derive(Debug)]
pub(crate) struct StartPass {
    gate: Arc<StartGate>,
    /// The data centre to which the order starts a run; `None` for other orders.
    starts_in: Option<DataCentreName>,
}

impl StartPass {
    pub(crate) fn new(
        gate: &Arc<StartGate>,
        order: &Order,
        fleet: &BTreeMap<UpstreamName, UpstreamReport>,
    ) -> Self {
        let is_start = matches!(order.kind, OrderKind::Start { .. });
        let report = is_start.then(|| fleet.get(&order.upstream)).flatten();
        let starts_in = report.map(|report| report.data_centre.clone());
        Self { gate: Arc::clone(gate), starts_in }
    }

    /// Whether the order may be sent now.
    pub(crate) fn is_valid(&self) -> bool {
        self.starts_in.as_ref().is_none_or(|data_centre| !self.gate.is_closed(data_centre))
    }
}
