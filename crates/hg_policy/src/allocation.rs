//! What a placed job holds.

use hg_model::{AccountName, MarkId, Time, UpstreamName};

use crate::Capacity;

/// By which right a task sits on its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllocationKind {
    /// Inside a guaranteed part of its own account.
    Claimed(MarkId),
    /// Outside any guarantee, and it cannot be stopped.
    NonPreemptible,
    /// Outside any guarantee, and it can be stopped.
    Borrowed,
}

/// The share of a holding on one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllocationMember {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The room it takes.
    pub capacity: Capacity,
    /// By which right.
    pub kind: AllocationKind,
}

/// All that one attempt holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// The attempt's number.
    pub attempt: u32,
    /// The account that pays.
    pub account: AccountName,
    /// When it was placed.
    pub placed_at: Time,
    /// Whether it may be stopped and run again.
    pub stoppable: bool,
    /// Whether a stop has been asked for.
    pub stopping: bool,
    /// One for each upstream.
    pub members: Vec<AllocationMember>,
}

impl Allocation {
    /// The room of all members.
    pub fn total(&self) -> Capacity {
        self.members.iter().fold(Capacity::default(), |sum, member| sum.plus(&member.capacity))
    }
}
