//! How much of the fleet each client account uses beside its fair share, and the order that follows.
//!
//! Handles accounts of very unequal demand on a full pool: the account that submits most would otherwise take
//! most of the capacity, and small accounts would miss their objectives with it.
//!
//! The share of an account is its weighted dominant share: the largest part of any resource of the fleet that it
//! uses, divided by its weight. Jobs without an account, and jobs of accounts that the catalog does not have (any
//! more), count as one account together, named the common account below.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::WorkflowLedger;
use hg_model::{AccountName, Catalog, Time};

use super::ready_steps::{Outlook, ReadyStep};

/// The guarantees of the accounts differ enough for a fair order if the largest is this multiple of the smallest.
const UNEQUAL_FACTOR: u32 = 2;
/// Accounts whose weighted shares differ by a smaller factor are not reordered: more than a quarter.
const CLOSE_FACTOR: f64 = 1.25;
/// Shares that follow each other closely are one class up to this factor between the smallest and the largest;
/// beyond it they are split at their widest gap, since a long chain of accounts would otherwise have no order.
const CLASS_SPAN_MAX: f64 = 2.0;
/// Shares below this part of the fair share are equal: differences between accounts that use nearly nothing say
/// nothing about fairness.
const SHARE_MIN: f64 = 0.1;
/// A step whose objective is missed if it waits for longer than this is not passed over for the sake of shares.
const PRESSING_WITHIN: Duration = Duration::from_millis(500);

/// Whether the guarantees in a catalog call for a fair order: one account has none while another has one, or
/// they differ by a factor of 2 or more.
pub(crate) fn is_in_effect(catalog: &Catalog) -> bool {
    let guarantees = || catalog.accounts.iter().map(|account| account.guaranteed_accelerators);
    let (Some(least), Some(most)) = (guarantees().min(), guarantees().max()) else { return false };
    most > 0 && most >= least.saturating_mul(UNEQUAL_FACTOR)
}

/// The number of an account within one round; 0 is the common account.
pub(crate) type Payer = usize;

/// The accounts of a catalog with their weights.
#[derive(Debug)]
pub(crate) struct Payers<'a> {
    numbers: BTreeMap<&'a AccountName, Payer>,
    names: Vec<Option<&'a AccountName>>,
    weights: Vec<f64>,
}

impl<'a> Payers<'a> {
    pub(crate) fn new(catalog: &'a Catalog) -> Self {
        let (mut numbers, mut names, mut weights) = (BTreeMap::new(), vec![None], vec![1.0]);
        for account in &catalog.accounts {
            numbers.insert(&account.name, names.len());
            names.push(Some(&account.name));
            weights.push(f64::from(account.guaranteed_accelerators.max(1)));
        }
        Self { numbers, names, weights }
    }

    pub(crate) fn count(&self) -> usize {
        self.names.len()
    }

    /// The account that a job counts for.
    pub(crate) fn of(&self, account: Option<&AccountName>) -> Payer {
        account.and_then(|name| self.numbers.get(name)).copied().unwrap_or(0)
    }

    /// The name of an account; `None` is the common account.
    pub(crate) fn name(&self, payer: Payer) -> Option<&'a AccountName> {
        self.names.get(payer).copied().flatten()
    }
}

/// The shares of all accounts in one round.
#[derive(Debug)]
pub(crate) struct Shares<'a> {
    payers: Payers<'a>,
    /// The weighted share of each account, as a multiple of the fair share.
    relative: Vec<f64>,
    /// The number of tasks of each account that may start now.
    waiting: Vec<u32>,
}

/// Queries.
impl<'a> Shares<'a> {
    /// Computes the shares from the dominant share of each account in the whole fleet, between 0 and 1, and its
    /// waiting and running tasks. The fair share divides the fleet among the accounts with either.
    pub(crate) fn new(
        payers: Payers<'a>,
        dominant: &[f64],
        running: &[u32],
        ready: &[ReadyStep<'_>],
    ) -> Self {
        let mut waiting = vec![0_u32; payers.count()];
        for step in ready {
            let count = u32::try_from(step.waiting.len()).unwrap_or(u32::MAX);
            let sum = &mut waiting[payers.of(step.job.account.as_ref())];
            *sum = sum.saturating_add(count);
        }
        let is_active = |payer: &Payer| waiting[*payer] > 0 || running[*payer] > 0;
        let active = (0..payers.count()).filter(is_active);
        let weights: f64 = active.map(|payer| payers.weights[payer]).sum();
        let relative = dominant.iter().zip(&payers.weights).map(|(share, w)| share / w * weights);
        Self { relative: relative.collect(), waiting, payers }
    }

    /// Whether an account uses more than its fair share.
    pub(crate) fn is_beyond(&self, account: Option<&AccountName>) -> bool {
        self.relative[self.payers.of(account)] > 1.0
    }

    /// Name, multiple of the fair share and number of waiting tasks of each account.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Option<&'a AccountName>, f64, u32)> {
        let rows = self.relative.iter().zip(&self.waiting).enumerate();
        rows.map(|(payer, (share, waiting))| (self.payers.name(payer), *share, *waiting))
    }

    /// The share class of each account with waiting tasks; classes with smaller numbers are served first.
    fn classes(&self) -> Vec<u32> {
        let waits = |payer: &Payer| self.waiting[*payer] > 0;
        let mut order: Vec<Payer> = (0..self.payers.count()).filter(waits).collect();
        order.sort_by(|a, b| self.relative[*a].total_cmp(&self.relative[*b]));
        let sorted: Vec<f64> = order.iter().map(|p| self.relative[*p].max(SHARE_MIN)).collect();
        let mut classes = vec![0; self.payers.count()];
        for (payer, class) in order.into_iter().zip(share_classes(&sorted)) {
            classes[payer] = class;
        }
        classes
    }
}

/// Groups shares, which are above zero and in ascending order, into classes. Those of different classes differ by more
/// than `CLOSE_FACTOR`, unless a longer chain had to be split.
fn share_classes(sorted: &[f64]) -> Vec<u32> {
    let mut classes = Vec::with_capacity(sorted.len());
    let mut class = 0;
    let mut parts = vec![sorted];
    while let Some(part) = parts.pop() {
        match split_at(part) {
            Some(at) => {
                let (first, second) = part.split_at(at);
                parts.extend([second, first]);
            }
            None => {
                classes.extend(part.iter().map(|_| class));
                class += 1;
            }
        }
    }
    classes
}

/// Where a part of the shares is to be split: at its widest gap, if that is wide enough or the part spans too much.
fn split_at(part: &[f64]) -> Option<usize> {
    let gaps = part.windows(2).enumerate().map(|(at, pair)| (pair[1] / pair[0], at + 1));
    let (widest, at) = gaps.max_by(|a, b| a.0.total_cmp(&b.0))?;
    let span = part.last()? / part.first()?;
    (widest > CLOSE_FACTOR || span > CLASS_SPAN_MAX).then_some(at)
}

/// Brings steps that are in the order of service into the fair order.
///
/// Within equal priority, coverage and outlook, steps are served by the share class of their accounts, and by
/// deadline within a class. A step that is about to miss its objective stays before all steps that it preceded.
pub(crate) fn order_fairly(now: Time, shares: &Shares<'_>, ready: &mut [ReadyStep<'_>]) {
    let classes = shares.classes();
    let mut group = None;
    let mut least_behind = u32::MAX;
    for step in ready.iter_mut().rev() {
        let key = step.rank.group();
        if group.replace(key) != Some(key) {
            least_behind = u32::MAX;
        }
        let class = classes[shares.payers.of(step.job.account.as_ref())];
        least_behind = least_behind.min(class);
        step.rank.share_class = if is_pressing(now, step) { least_behind } else { class };
    }
    ready.sort_by(ReadyStep::order);
}

/// Whether the objective of a step's job is missed if the step waits for longer than `PRESSING_WITHIN`.
fn is_pressing(now: Time, step: &ReadyStep<'_>) -> bool {
    let chain = Duration::from_millis(step.job.spec.estimated_chain_ms());
    let end = now.after(chain).after(PRESSING_WITHIN);
    step.rank.outlook() == Outlook::OnTime && end > step.rank.deadline()
}

/// The resources of all registered upstreams: accelerators, thousandths of a core and MiB of memory.
pub(crate) fn fleet_resources(ledger: &WorkflowLedger) -> [f64; 3] {
    let mut sum = [0.0; 3];
    for report in ledger.upstreams().values() {
        let capacity = &report.capacity;
        let parts = [capacity.accelerators, capacity.millicores, capacity.memory_mib];
        for (sum, part) in sum.iter_mut().zip(parts) {
            *sum += f64::from(part);
        }
    }
    sum
}
