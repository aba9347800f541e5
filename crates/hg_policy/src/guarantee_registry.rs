//! Guarantee accounting by shape.
//!
//! A guarantee is a block of equal parts. Each part is *marked* on one upstream: that much of the
//! upstream is set apart for the account. Work that may be stopped can borrow it; work that cannot be
//! stopped never enters it, unless it is the account's own. On every upstream
//! `marked + firm <= capacity` holds, so stopping the borrowers always makes room for the claims.

use std::collections::{BTreeMap, BTreeSet};

use hg_model::{AccountName, JobId, Lists, MarkId, Shape, UpstreamName};

use crate::Capacity;

/// One guaranteed part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteedPart {
    /// What it guarantees.
    pub capacity: Capacity,
    /// The whole block's shape.
    pub block: Shape,
    /// Where it lies.
    pub upstream: Option<UpstreamName>,
    /// What the account's jobs use of it.
    pub claimed: Capacity,
    /// The jobs that use it, or wait for borrowers to leave it.
    pub claims: BTreeMap<JobId, Capacity>,
}

impl GuaranteedPart {
    /// What can still be claimed.
    pub fn unclaimed(&self) -> Capacity {
        self.capacity.minus(&self.claimed)
    }
}

/// All guaranteed parts.
#[derive(Debug, Default)]
pub struct GuaranteeRegistry {
    marks: BTreeMap<MarkId, GuaranteedPart>,
    by_upstream: BTreeMap<UpstreamName, BTreeSet<MarkId>>,
    unplaced: BTreeSet<MarkId>,
}

/// Queries.
impl GuaranteeRegistry {
    /// A part by id.
    pub fn get(&self, id: &MarkId) -> Option<&GuaranteedPart> {
        self.marks.get(id)
    }

    /// All parts.
    pub fn iter(&self) -> impl Iterator<Item = (&MarkId, &GuaranteedPart)> {
        self.marks.iter()
    }

    /// The parts of one account.
    pub fn of_account(
        &self,
        account: &AccountName,
    ) -> impl Iterator<Item = (&MarkId, &GuaranteedPart)> {
        let first = MarkId { account: account.clone(), block: 0, part: 0 };
        self.marks.range(first..).take_while(move |(id, _)| id.account == *account)
    }

    /// The parts of one block.
    pub fn of_block(&self, id: &MarkId) -> impl Iterator<Item = (&MarkId, &GuaranteedPart)> {
        let first = MarkId { part: 0, ..id.clone() };
        let (account, block) = (id.account.clone(), id.block);
        self.marks
            .range(first..)
            .take_while(move |(other, _)| other.account == account && other.block == block)
    }

    /// The parts on one upstream.
    pub fn on_upstream(&self, upstream: &UpstreamName) -> impl Iterator<Item = &MarkId> {
        self.by_upstream.get(upstream).into_iter().flatten()
    }

    /// The parts that lie nowhere.
    pub const fn unplaced(&self) -> &BTreeSet<MarkId> {
        &self.unplaced
    }
}

/// Commands.
impl GuaranteeRegistry {
    /// All parts that the lists call for, lying nowhere yet.
    pub fn new(lists: &Lists) -> Self {
        let mut marks = Self::default();
        for account in &lists.accounts {
            let Some(plan) = lists.plan_of(&account.name) else { continue };
            for (block, guarantee) in plan.guarantees.iter().enumerate() {
                marks.add_block(&account.name, block, guarantee.0);
            }
        }
        marks
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
            self.marks.insert(id, state);
        }
    }

    /// Parts that the next lists no longer call for, or not in the same shape.
    pub(crate) fn outdated(&self, next: &Self) -> Vec<MarkId> {
        let is_same = |id: &MarkId, state: &GuaranteedPart| {
            next.marks.get(id).is_some_and(|other| other.block == state.block)
        };
        let outdated = self.marks.iter().filter(|(id, state)| !is_same(id, state));
        outdated.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets a part that lies nowhere any more.
    pub(crate) fn remove(&mut self, id: &MarkId) {
        self.marks.remove(id);
        self.unplaced.remove(id);
    }

    /// Takes in the parts of the next lists that are not there yet.
    pub(crate) fn add_missing(&mut self, next: Self) {
        for (id, state) in next.marks {
            if !self.marks.contains_key(&id) {
                self.unplaced.insert(id.clone());
                self.marks.insert(id, state);
            }
        }
    }

    /// Moves a part. Returns its room, where it lay, and the claims that it left behind.
    pub(crate) fn assign(
        &mut self,
        id: &MarkId,
        upstream: Option<UpstreamName>,
    ) -> Option<PartMove> {
        let state = self.marks.get_mut(id)?;
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

    /// Takes room of a part for a job, if that much is unclaimed.
    pub(crate) fn claim(&mut self, id: &MarkId, job: &JobId, capacity: &Capacity) -> bool {
        let Some(state) = self.marks.get_mut(id) else { return false };
        if !capacity.fits(&state.unclaimed()) {
            return false;
        }
        state.claimed = state.claimed.plus(capacity);
        let sum = state.claims.entry(job.clone()).or_default();
        *sum = sum.plus(capacity);
        true
    }

    /// Gives a job's room of a part back.
    pub(crate) fn unclaim(&mut self, id: &MarkId, job: &JobId) {
        let Some(state) = self.marks.get_mut(id) else { return };
        if let Some(capacity) = state.claims.remove(job) {
            state.claimed = state.claimed.minus(&capacity);
        }
    }
}

/// What moving a part left behind.
#[derive(Debug)]
pub(crate) struct PartMove {
    pub(crate) capacity: Capacity,
    pub(crate) from: Option<UpstreamName>,
    pub(crate) dropped_claims: BTreeMap<JobId, Capacity>,
}
