//! The guaranteed parts of all accounts, their upstreams and the claims on them.
//!
//! A guarantee is a block of equal parts. Each part is *marked* on one upstream: that much capacity
//! of the upstream is set apart for the account. Work that may be stopped can borrow it; work that
//! cannot be stopped never uses it, unless it is the account's own. On every upstream
//! `guaranteed + non_preemptible <= capacity` holds, so stopping the borrowers always frees enough
//! capacity for the claims.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{AccountName, JobId, Lists, MarkId, Shape, UpstreamName};

use crate::Capacity;

/// One guaranteed part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteedPart {
    /// The guaranteed capacity.
    pub capacity: Capacity,
    /// The shape of the whole block.
    pub block: Shape,
    /// The upstream it is placed on; `None` while it is unplaced.
    pub upstream: Option<UpstreamName>,
    /// The sum of all claims.
    pub claimed: Capacity,
    /// The capacity claimed by each job that uses the part or waits for borrowers to leave it.
    pub claims: BTreeMap<JobId, Capacity>,
}

impl GuaranteedPart {
    /// The capacity that can still be claimed.
    pub fn unclaimed(&self) -> Capacity {
        self.capacity.minus(&self.claimed)
    }
}

/// All guaranteed parts.
#[derive(Debug, Default)]
pub struct GuaranteeRegistry {
    parts: BTreeMap<MarkId, GuaranteedPart>,
    by_upstream: BTreeMap<UpstreamName, BTreeSet<MarkId>>,
    unplaced: BTreeSet<MarkId>,
}

/// Queries.
impl GuaranteeRegistry {
    /// A part by id.
    pub fn get(&self, id: &MarkId) -> Option<&GuaranteedPart> {
        self.parts.get(id)
    }

    /// All parts.
    pub fn iter(&self) -> impl Iterator<Item = (&MarkId, &GuaranteedPart)> {
        self.parts.iter()
    }

    /// The parts of one account.
    pub fn of_account(
        &self,
        account: &AccountName,
    ) -> impl Iterator<Item = (&MarkId, &GuaranteedPart)> {
        let first = MarkId { account: account.clone(), block: 0, part: 0 };
        self.parts.range(first..).take_while(move |(id, _)| id.account == *account)
    }

    /// The parts of one block.
    pub fn of_block(&self, id: &MarkId) -> impl Iterator<Item = (&MarkId, &GuaranteedPart)> {
        let first = MarkId { part: 0, ..id.clone() };
        let (account, block) = (id.account.clone(), id.block);
        self.parts
            .range(first..)
            .take_while(move |(other, _)| other.account == account && other.block == block)
    }

    /// The parts on one upstream.
    pub fn on_upstream(&self, upstream: &UpstreamName) -> impl Iterator<Item = &MarkId> {
        self.by_upstream.get(upstream).into_iter().flatten()
    }

    /// The parts that are on no upstream.
    pub const fn unplaced(&self) -> &BTreeSet<MarkId> {
        &self.unplaced
    }
}

/// Commands.
impl GuaranteeRegistry {
    /// Creates all parts that the lists guarantee, unplaced.
    pub fn new(lists: &Lists) -> Self {
        let mut registry = Self::default();
        for account in &lists.accounts {
            let Some(plan) = lists.plan_of(&account.name) else { continue };
            for (block, guarantee) in plan.guarantees.iter().enumerate() {
                registry.add_block(&account.name, block, guarantee.0);
            }
        }
        registry
    }

    fn add_block(&mut self, account: &AccountName, block: usize, shape: Shape) {
        for part in 0..shape.tasks {
            let id = MarkId {
                account: account.clone(),
                block: u16::try_from(block).unwrap_or(u16::MAX),
                part: u16::try_from(part).unwrap_or(u16::MAX),
            };
            let state = GuaranteedPart {
                capacity: Capacity::for_part(&shape),
                block: shape,
                upstream: None,
                claimed: Capacity::default(),
                claims: BTreeMap::new(),
            };
            self.unplaced.insert(id.clone());
            self.parts.insert(id, state);
        }
    }

    /// Parts that the next lists no longer contain, or not in a block of the same shape.
    pub(crate) fn outdated(&self, next: &Self) -> Vec<MarkId> {
        let is_same = |id: &MarkId, state: &GuaranteedPart| {
            next.parts.get(id).is_some_and(|other| other.block == state.block)
        };
        let outdated = self.parts.iter().filter(|(id, state)| !is_same(id, state));
        outdated.map(|(id, _)| id.clone()).collect()
    }

    /// Removes a part, which must be unplaced.
    pub(crate) fn remove(&mut self, id: &MarkId) {
        self.parts.remove(id);
        self.unplaced.remove(id);
    }

    /// Adds the parts of the next lists that do not exist yet.
    pub(crate) fn add_missing(&mut self, next: Self) {
        for (id, state) in next.parts {
            if !self.parts.contains_key(&id) {
                self.unplaced.insert(id.clone());
                self.parts.insert(id, state);
            }
        }
    }

    /// Assigns a part to an upstream, or to none, and drops its claims. Returns `None` if nothing
    /// changed.
    pub(crate) fn assign(
        &mut self,
        id: &MarkId,
        upstream: Option<UpstreamName>,
    ) -> Option<PartMove> {
        let state = self.parts.get_mut(id)?;
        if state.upstream == upstream {
            return None;
        }
        let from = std::mem::replace(&mut state.upstream, upstream.clone());
        let dropped_claims = std::mem::take(&mut state.claims);
        state.claimed = Capacity::default();
        let capacity = state.capacity;
        if let Some(from) = &from
            && let Some(ids) = self.by_upstream.get_mut(from)
        {
            ids.remove(id);
        }
        match &upstream {
            Some(name) => {
                self.by_upstream.entry(name.clone()).or_default().insert(id.clone());
                self.unplaced.remove(id);
            }
            None => {
                self.unplaced.insert(id.clone());
            }
        }
        Some(PartMove { capacity, from, dropped_claims })
    }

    /// Claims capacity of a part for a job. Returns whether that much was unclaimed.
    pub(crate) fn claim(&mut self, id: &MarkId, job: &JobId, capacity: &Capacity) -> bool {
        let Some(state) = self.parts.get_mut(id) else { return false };
        if !capacity.fits(&state.unclaimed()) {
            return false;
        }
        state.claimed = state.claimed.plus(capacity);
        let sum = state.claims.entry(job.clone()).or_default();
        *sum = sum.plus(capacity);
        true
    }

    /// Removes a job's claim on a part.
    pub(crate) fn unclaim(&mut self, id: &MarkId, job: &JobId) {
        let Some(state) = self.parts.get_mut(id) else { return };
        if let Some(capacity) = state.claims.remove(job) {
            state.claimed = state.claimed.minus(&capacity);
        }
    }
}

/// The result of moving a part: its capacity, its former upstream and the claims that were dropped.
#[derive(Debug)]
pub(crate) struct PartMove {
    pub(crate) capacity: Capacity,
    pub(crate) from: Option<UpstreamName>,
    pub(crate) dropped_claims: BTreeMap<JobId, Capacity>,
}
