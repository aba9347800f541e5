//! The decayed use of resources by each client account, observed once in each round.
//!
//! Handles an account that floods the pool, and one that returns after idling: what was used counts for some
//! seconds, and what was not used earns nothing.
//!
//! Use decays by the time that passes between the rounds of one leader. A clock that jumps adds a second at most, and a
//! new leader continues with the recorded amounts as they are.

use std::collections::BTreeMap;
use std::time::Duration;

use hg_ledger::{AccountUsage, ResourceTime, WorkflowLedger};
use hg_model::{AccountName, ResourceVector, Time};

use super::fair_share::{Payers, Shares, fleet_resources, is_in_effect};
use super::ready_steps::ReadyStep;
use super::run_table::RunTable;

/// The time in which a use loses half of its effect.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// The most time that counts between two rounds. Rounds are half a second apart at most, so that only clocks that
/// jump, and processes that were suspended, exceed it.
const ELAPSED_MAX: Duration = Duration::from_secs(1);
/// How often the use is recorded at most.
const RECORD_EVERY: Duration = Duration::from_secs(2);
/// How often an account that is beyond its share is reported at most.
const REPORT_EVERY: Duration = Duration::from_secs(5);
/// Accounts beyond this multiple of their fair share are reported.
const REPORT_BEYOND: f64 = 2.0;

/// The share of an account at the time of a round.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountShare {
    /// The account; `None` stands for the jobs without an account, which count as one.
    pub account: Option<AccountName>,
    /// Its weighted dominant share as a multiple of the fair share.
    pub share: f64,
    /// The number of its tasks that may start and wait.
    pub waiting: u32,
}

/// Resources multiplied by milliseconds, with decay: accelerators, thousandths of a core and MiB of memory.
type Used = [f64; 3];

/// Tracks the use of each account. Idle while the condition on the configuration does not hold.
#[derive(Debug, Default)]
pub(crate) struct UsageTracker {
    accounts: BTreeMap<AccountName, Used>,
    open: Used,
    /// When the last round was; `None` until the recorded use has been taken over.
    observed_at: Option<Time>,
    /// The time that has passed in rounds; unlike the clock, it never jumps.
    elapsed: Duration,
    recorded_at: Duration,
    reported_at: BTreeMap<Option<AccountName>, Duration>,
    last_shares: Vec<AccountShare>,
}

/// Queries.
impl UsageTracker {
    /// The shares of the accounts that have any, or waiting tasks, as of the last round.
    pub(crate) fn last_shares(&self) -> &[AccountShare] {
        &self.last_shares
    }
}

/// Commands.
impl UsageTracker {
    /// Adds the use since the last round and returns the present shares; `None` where the condition on the
    /// configuration does not hold.
    pub(crate) fn observe<'a>(
        &mut self,
        now: Time,
        ledger: &'a WorkflowLedger,
        runs: &RunTable<'_>,
        ready: &[ReadyStep<'_>],
    ) -> Option<Shares<'a>> {
        let passed = self.advance(now);
        let Some(catalog) = ledger.catalog().filter(|catalog| is_in_effect(catalog)) else {
            self.forget();
            return None;
        };
        let payers = Payers::new(catalog);
        if passed.is_none() {
            self.restore(ledger.usage());
        }
        let (claimed, running) = claims(&payers, runs);
        let used = self.add_use(&payers, &claimed, passed.unwrap_or_default());
        let dominant = dominant_shares(&used, fleet_resources(ledger));
        let shares = Shares::new(payers, &dominant, &running, ready);
        self.last_shares = account_shares(&shares);
        Some(shares)
    }

    /// The use to record, if it is time to and there is any in the ledger or here.
    pub(crate) fn take_record(&mut self, ledger: &WorkflowLedger) -> Option<AccountUsage> {
        if self.elapsed < self.recorded_at + RECORD_EVERY {
            return None;
        }
        let accounts = self.accounts.iter().map(|(name, used)| (name.clone(), resource_time(used)));
        let accounts = accounts.filter(|(_, used)| *used != ResourceTime::default()).collect();
        let usage = AccountUsage { accounts, open: resource_time(&self.open) };
        if usage == *ledger.usage() {
            return None;
        }
        self.recorded_at = self.elapsed;
        Some(usage)
    }

    /// The accounts beyond twice their fair share that have not been reported lately.
    pub(crate) fn take_reports(&mut self) -> Vec<AccountShare> {
        let elapsed = self.elapsed;
        self.reported_at.retain(|_, at| elapsed < *at + REPORT_EVERY);
        let is_due = |share: &&AccountShare| {
            share.share > REPORT_BEYOND && !self.reported_at.contains_key(&share.account)
        };
        let due: Vec<AccountShare> = self.last_shares.iter().filter(is_due).cloned().collect();
        self.reported_at.extend(due.iter().map(|share| (share.account.clone(), elapsed)));
        due
    }

    /// Advances the time to that of a round. Returns the time that counts since the last one; `None` in the first round.
    fn advance(&mut self, now: Time) -> Option<Duration> {
        let last = self.observed_at.replace(now);
        let passed = last.map(|last| now.since(last).min(ELAPSED_MAX));
        self.elapsed += passed.unwrap_or_default();
        passed
    }

    fn restore(&mut self, usage: &AccountUsage) {
        let accounts = usage.accounts.iter().map(|(name, used)| (name.clone(), parts_of(used)));
        self.accounts = accounts.collect();
        self.open = parts_of(&usage.open);
    }

    fn forget(&mut self) {
        self.accounts.clear();
        self.open = Used::default();
        self.last_shares.clear();
    }

    /// Decays the use by `passed` and adds the present claims for that time. Returns the use by account number.
    fn add_use(&mut self, payers: &Payers<'_>, claimed: &[Used], passed: Duration) -> Vec<Used> {
        let remaining = (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let mut used = vec![self.open; payers.count()];
        for (payer, used) in used.iter_mut().enumerate() {
            if let Some(name) = payers.name(payer) {
                *used = self.accounts.get(name).copied().unwrap_or_default();
            }
            for (used, claimed) in used.iter_mut().zip(&claimed[payer]) {
                *used = *used * remaining + claimed * saturated_ms() * (1.0 - remaining);
            }
        }
        self.open = used[0];
        let named = used.iter().enumerate().filter_map(|(p, used)| Some((payers.name(p)?, used)));
        let named = named.filter(|(_, used)| resource_time(used) != ResourceTime::default());
        self.accounts = named.map(|(name, used)| (name.clone(), *used)).collect();
        used
    }
}

/// The decayed time of a resource that is always in use, in milliseconds.
fn saturated_ms() -> f64 {
    HALF_LIFE.as_secs_f64() * 1_000.0 / std::f64::consts::LN_2
}

/// What the open runs of each account claim, and how many there are, by account number.
fn claims(payers: &Payers<'_>, runs: &RunTable<'_>) -> (Vec<Used>, Vec<u32>) {
    let mut claimed = vec![ResourceVector::default(); payers.count()];
    let mut running = vec![0; payers.count()];
    for row in runs.rows() {
        let account = row.work.and_then(|(job, _)| job.account.as_ref());
        let payer = payers.of(account);
        claimed[payer] = claimed[payer].plus(&row.open.claim);
        running[payer] += 1;
    }
    let parts = |c: &ResourceVector| [c.accelerators, c.millicores, c.memory_mib].map(f64::from);
    (claimed.iter().map(parts).collect(), running)
}

/// The largest part of any resource of the fleet that each account uses.
fn dominant_shares(used: &[Used], fleet: [f64; 3]) -> Vec<f64> {
    let share = |used: &Used| {
        let parts = used.iter().zip(fleet).filter(|(_, total)| *total > 0.0);
        parts.map(|(used, total)| used / (total * saturated_ms())).fold(0.0, f64::max)
    };
    used.iter().map(share).collect()
}

fn account_shares(shares: &Shares<'_>) -> Vec<AccountShare> {
    let rows = shares.iter().filter(|(_, share, waiting)| *share > 0.0 || *waiting > 0);
    let row = |(account, share, waiting): (Option<&AccountName>, f64, u32)| AccountShare {
        account: account.cloned(),
        share,
        waiting,
    };
    rows.map(row).collect()
}

fn resource_time(used: &Used) -> ResourceTime {
    // Casts from floating-point numbers saturate.
    let [accelerator_ms, millicore_ms, memory_mib_ms] = used.map(|part| part as u64);
    ResourceTime { accelerator_ms, millicore_ms, memory_mib_ms }
}

fn parts_of(used: &ResourceTime) -> Used {
    [used.accelerator_ms, used.millicore_ms, used.memory_mib_ms].map(|part| part as f64)
}
