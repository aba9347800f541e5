//! The waiting jobs, indexed by account, class, deadline and arrival.

use std::collections::{BTreeMap, BTreeSet};

use hg_ledger::Job;
use hg_model::{AccountName, JobClass, JobId, JobSpec, Time};

use crate::WaitReason;

/// Orders the jobs of one account by class, then urgent jobs by the time they must start and others
/// by arrival.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    class: JobClass,
    key: Time,
    job: JobId,
}

/// A waiting job.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) spec: JobSpec,
    pub(crate) accepted_at: Time,
    pub(crate) start_by: Time,
    pub(crate) attempts: u32,
    pub(crate) reason: WaitReason,
}

impl Waiting {
    fn queue_key(&self) -> QueueKey {
        let class = self.spec.class;
        let key = if class == JobClass::Urgent { self.start_by } else { self.accepted_at };
        QueueKey { class, key, job: self.spec.id.clone() }
    }
}

/// All waiting jobs.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    jobs: BTreeMap<JobId, Waiting>,
    accounts: BTreeMap<AccountName, BTreeSet<QueueKey>>,
    urgent: BTreeSet<(Time, JobId)>,
    deadlines: BTreeSet<(Time, JobId)>,
    arrivals: BTreeSet<(Time, JobId)>,
}

/// Queries.
impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn get(&self, id: &JobId) -> Option<&Waiting> {
        self.jobs.get(id)
    }

    pub(crate) fn account_len(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, BTreeSet::len)
    }

    pub(crate) fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        self.accounts.keys()
    }

    /// An account's jobs in the order in which they are considered.
    pub(crate) fn of_account(&self, account: &AccountName) -> impl Iterator<Item = &JobId> {
        self.accounts.get(account).into_iter().flatten().map(|queue_key| &queue_key.job)
    }

    /// Urgent jobs, the one that must start earliest first.
    pub(crate) fn urgent(&self) -> impl Iterator<Item = &JobId> {
        self.urgent.iter().map(|(_, id)| id)
    }

    /// Jobs whose latest start time has passed.
    pub(crate) fn overdue(&self, now: Time) -> impl Iterator<Item = &JobId> {
        self.deadlines.iter().take_while(move |(at, _)| *at < now).map(|(_, id)| id)
    }

    /// All jobs by arrival, the oldest first.
    pub(crate) fn oldest(&self) -> impl Iterator<Item = &JobId> {
        self.arrivals.iter().map(|(_, id)| id)
    }
}

/// Commands.
impl Queue {
    pub(crate) fn insert(&mut self, job: &Job) {
        let waiting = Waiting {
            spec: job.spec.clone(),
            accepted_at: job.accepted_at,
            start_by: job.start_by(),
            attempts: job.attempts,
            reason: WaitReason::Turn,
        };
        let id = job.spec.id.clone();
        self.remove(&id);
        if job.spec.class == JobClass::Urgent {
            self.urgent.insert((waiting.start_by, id.clone()));
        }
        // The deadline applies to the first start only, so a job that ran before no longer expires.
        if !job.may_have_run {
            self.deadlines.insert((waiting.start_by, id.clone()));
        }
        self.arrivals.insert((waiting.accepted_at, id.clone()));
        self.accounts.entry(job.spec.account.clone()).or_default().insert(waiting.queue_key());
        self.jobs.insert(id, waiting);
    }

    pub(crate) fn remove(&mut self, id: &JobId) {
        let Some(waiting) = self.jobs.remove(id) else { return };
        self.urgent.remove(&(waiting.start_by, id.clone()));
        self.deadlines.remove(&(waiting.start_by, id.clone()));
        self.arrivals.remove(&(waiting.accepted_at, id.clone()));
        if let Some(keys) = self.accounts.get_mut(&waiting.spec.account) {
            keys.remove(&waiting.queue_key());
            if keys.is_empty() {
                self.accounts.remove(&waiting.spec.account);
            }
        }
    }

    pub(crate) fn set_reason(&mut self, id: &JobId, reason: WaitReason) {
        if let Some(waiting) = self.jobs.get_mut(id) {
            waiting.reason = reason;
        }
    }
}
