//! The capacity allocated to a placed job.

use hg_model::{AccountName, MarkId, Time, UpstreamName};

use crate::Capacity;

/// How the capacity of a task relates to guarantees.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllocationKind {
    /// Inside a guaranteed part of its own account.
    Claimed(MarkId),
    /// Outside the guaranteed parts of its account, and it cannot be stopped.
    NonPreemptible,
    /// Outside the guaranteed parts of its account, possibly inside those of others, and it can be
    /// stopped.
    Borrowed,
}

/// The part of an allocation on one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllocationMember {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The capacity it uses.
    pub capacity: Capacity,
    /// How it relates to guarantees.
    pub kind: AllocationKind,
}

/// All capacity allocated to one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// The attempt's number.
    pub attempt: u32,
    /// The account that it counts toward.
    pub account: AccountName,
    /// When it was placed.
    pub placed_at: Time,
    /// Whether it may be stopped and run again.
    pub stoppable: bool,
    /// Whether a stop has been requested.
    pub stopping: bool,
    /// One for each upstream.
    pub members: Vec<AllocationMember>,
}

impl Allocation {
    /// The capacity of all members together.
    pub fn total(&self) -> Capacity {
        self.members.iter().fold(Capacity::default(), |sum, member| sum.plus(&member.capacity))
    }
}
