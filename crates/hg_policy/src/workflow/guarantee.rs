//! Which urgent workflows are covered by their account's guarantee.
//!
//! Handles one account that floods the pool with urgent work: the work that other accounts are
//! guaranteed still has to start within its time limit, so it is served first and may preempt
//! urgent work beyond a guarantee.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::{Workflow, WorkflowLedger};
use hg_model::{AccountName, JobId, WorkflowSpec};

/// The urgent workflows that fit into their account's guarantee together, the earliest accepted
/// first.
pub(crate) fn covered_jobs(ledger: &WorkflowLedger) -> BTreeSet<JobId> {
    let Some(catalog) = ledger.catalog() else { return BTreeSet::new() };
    let mut urgent: BTreeMap<&AccountName, Vec<(&JobId, &Workflow)>> = BTreeMap::new();
    for (id, job) in ledger.jobs().iter().filter(|(_, job)| is_urgent(job)) {
        if let Some(account) = &job.account {
            urgent.entry(account).or_default().push((id, job));
        }
    }
    let mut covered = BTreeSet::new();
    for account in &catalog.accounts {
        let Some(jobs) = urgent.get_mut(&account.name) else { continue };
        jobs.sort_by_key(|(id, job)| (job.accepted_at, *id));
        let mut remaining = u64::from(account.guaranteed_accelerators);
        for (id, job) in jobs {
            let required = required_accelerators(&job.spec);
            if required <= remaining && account.guaranteed_accelerators > 0 {
                remaining -= required;
                covered.insert((*id).clone());
            }
        }
    }
    covered
}

fn is_urgent(job: &Workflow) -> bool {
    job.terms.priority == 0 && job.is_active()
}

/// The accelerators of the step that needs most of them.
pub(crate) fn required_accelerators(spec: &WorkflowSpec) -> u64 {
    let of =
        |step: &hg_model::StepSpec| u64::from(step.tasks) * u64::from(step.per_task.accelerators);
    spec.steps.iter().map(of).max().unwrap_or(0)
}
