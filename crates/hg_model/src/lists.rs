//! The two lists that operators edit: plans and client accounts.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::{AccountName, PlanName, Resources, Shape};

/// Most plans in a list.
pub const PLANS_MAX: usize = 1_000;
/// Most client accounts in a list.
pub const ACCOUNTS_MAX: usize = 10_000;
/// Most guaranteed blocks in one plan.
pub const GUARANTEES_MAX: usize = 64;
/// Most tasks in one guaranteed block.
pub const GUARANTEE_TASKS_MAX: u32 = 1_024;

/// The version of the lists; each accepted write increments it by one.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ListVersion(pub u64);

/// A block that a plan guarantees to each account holding it.
///
/// It has one part for each of the `tasks`, and each part is placed whole on one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
#[display("{_0}")]
pub struct Guarantee(pub Shape);

/// What an account with this plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The plan's name; no two plans share one.
    pub name: PlanName,
    /// The share of borrowed capacity, relative to the weights of other plans.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The most that an account may use at once, guaranteed or borrowed.
    pub limit: Resources,
    /// The blocks of capacity that an account can claim at any time.
    #[serde(default, rename = "guarantee")]
    pub guarantees: Vec<Guarantee>,
}

const fn default_weight() -> u32 {
    1
}

/// A client account and the plan it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name; no two accounts share one.
    pub name: AccountName,
    /// The plan it holds; must be in the list of plans.
    pub plan: PlanName,
}

/// Both lists together; they are replaced and versioned together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// The plans.
    #[serde(default, rename = "plan")]
    pub plans: Vec<Plan>,
    /// The client accounts.
    #[serde(default, rename = "account")]
    pub accounts: Vec<Account>,
}

/// An error in the lists, with its place and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{place}: {problem}")]
pub struct ListFault {
    /// The place of the error, such as `plan "studio" guarantee 2`.
    pub place: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}

impl ListFault {
    /// Creates a fault.
    pub fn new(place: impl Into<String>, problem: impl Into<String>) -> Self {
        Self { place: place.into(), problem: problem.into() }
    }
}

impl Lists {
    /// The plan that an account holds; `None` if the account or its plan is not listed.
    pub fn plan_of(&self, account: &AccountName) -> Option<&Plan> {
        let account = self.accounts.iter().find(|a| a.name == *account)?;
        self.plans.iter().find(|p| p.name == account.plan)
    }

    /// All errors that can be found without knowing the pool.
    pub fn faults(&self) -> Vec<ListFault> {
        let mut faults = Vec::new();
        if self.plans.len() > PLANS_MAX {
            faults.push(ListFault::new("plans", format!("at most {PLANS_MAX} are allowed")));
        }
        if self.accounts.len() > ACCOUNTS_MAX {
            faults.push(ListFault::new("accounts", format!("at most {ACCOUNTS_MAX} are allowed")));
        }
        let mut plans = BTreeMap::new();
        for plan in &self.plans {
            if plans.insert(&plan.name, plan).is_some() {
                let place = format!("plan {:?}", plan.name.as_str());
                faults.push(ListFault::new(place, "the name stands twice; names are unique"));
            }
            plan.push_faults(&mut faults);
        }
        self.push_account_faults(&plans, &mut faults);
        faults
    }

    fn push_account_faults(&self, plans: &BTreeMap<&PlanName, &Plan>, faults: &mut Vec<ListFault>) {
        let mut names = BTreeSet::new();
        for account in &self.accounts {
            let place = format!("account {:?}", account.name.as_str());
            if !names.insert(&account.name) {
                faults.push(ListFault::new(&place, "the name stands twice; names are unique"));
            }
            if !plans.contains_key(&account.plan) {
                let problem =
                    format!("plan {:?} is unknown; name one of the plans", account.plan.as_str());
                faults.push(ListFault::new(&place, problem));
            }
        }
    }
}

impl Plan {
    fn push_faults(&self, faults: &mut Vec<ListFault>) {
        let place = format!("plan {:?}", self.name.as_str());
        if self.weight == 0 {
            faults.push(ListFault::new(&place, "weight is 0; 1 or more is allowed"));
        }
        if self.guarantees.len() > GUARANTEES_MAX {
            let problem = format!("more than {GUARANTEES_MAX} guarantees");
            faults.push(ListFault::new(&place, problem));
        }
        let mut total = Resources::default();
        for (i, Guarantee(shape)) in self.guarantees.iter().enumerate() {
            let place = format!("{place} guarantee {}", i + 1);
            if shape.tasks == 0 || shape.tasks > GUARANTEE_TASKS_MAX {
                let problem =
                    format!("tasks is {}; 1 to {GUARANTEE_TASKS_MAX} is allowed", shape.tasks);
                faults.push(ListFault::new(&place, problem));
            }
            if shape.per_task.is_zero() {
                faults
                    .push(ListFault::new(&place, "per_task is empty; name at least one resource"));
            }
            total = total.plus(&shape.total());
        }
        if !total.fits(&self.limit) {
            let problem =
                format!("the guarantees add up to {total}, over the limit of {}", self.limit);
            faults.push(ListFault::new(&place, problem));
        }
    }
}
