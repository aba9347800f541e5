//! Where the tasks of accepted jobs run, by the catalog in force.
//!
//! Handles queues that operators move to another pool, or put under the advice of another service, while jobs wait in
//! them: what upstreams accept depends on the present settings, not on those at the time when a job was accepted.

use std::collections::BTreeMap;

use hg_ledger::{Workflow, WorkflowLedger};
use hg_model::{AdviceTiming, PoolName, QueueName, QueueSpec};

/// The queues of the catalog in force, by name.
#[derive(Debug, Clone)]
pub(crate) struct QueueSettings<'a> {
    queues: BTreeMap<&'a QueueName, &'a QueueSpec>,
}

impl<'a> QueueSettings<'a> {
    /// The queues of the ledger's catalog.
    pub(crate) fn new(ledger: &'a WorkflowLedger) -> Self {
        let queues = ledger.catalog().into_iter().flat_map(|catalog| &catalog.queues);
        Self { queues: queues.map(|queue| (&queue.name, queue)).collect() }
    }

    /// The pool whose upstreams run a job's tasks: that of its queue, or if the queue was removed, the one at the time
    /// when the job was accepted.
    pub(crate) fn pool(&self, job: &'a Workflow) -> &'a PoolName {
        self.queue(job).map_or(&job.terms.pool, |queue| &queue.pool)
    }

    /// The timing of the service that decides which upstreams may run a job's steps, if one does.
    pub(crate) fn advice(&self, job: &Workflow) -> Option<AdviceTiming> {
        self.queue(job).map_or(job.terms.advice, |queue| queue.advice)
    }

    fn queue(&self, job: &Workflow) -> Option<&'a QueueSpec> {
        self.queues.get(&job.terms.queue).copied()
    }
}
