//! Resources together with task slots.

use derive_more::Display;
use hg_model::{Resources, Shape};

/// An amount of resources and of task slots on one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
#[display("{resources}, {slots} slots")]
pub struct Capacity {
    /// The resources.
    pub resources: Resources,
    /// The task slots.
    pub slots: u32,
}

impl Capacity {
    /// Creates an amount.
    pub const fn new(resources: Resources, slots: u32) -> Self {
        Self { resources, slots }
    }

    /// The capacity that one task of a job needs.
    pub const fn for_task(shape: &Shape) -> Self {
        Self::new(shape.per_task, 1)
    }

    /// The capacity of one guaranteed part: its resources and a slot for each accelerator, at least
    /// one.
    pub const fn for_part(shape: &Shape) -> Self {
        let accelerators = shape.per_task.accelerators;
        Self::new(shape.per_task, if accelerators == 0 { 1 } else { accelerators })
    }

    /// Whether it fits into `available`.
    pub const fn fits(&self, available: &Self) -> bool {
        self.resources.fits(&available.resources) && self.slots <= available.slots
    }

    /// Whether all its quantities are zero.
    pub const fn is_zero(&self) -> bool {
        self.resources.is_zero() && self.slots == 0
    }

    /// The sum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self::new(self.resources.plus(&other.resources), self.slots.saturating_add(other.slots))
    }

    /// The difference, with each quantity at least zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self::new(self.resources.minus(&other.resources), self.slots.saturating_sub(other.slots))
    }

    /// The amount multiplied by `count`.
    #[must_use]
    pub const fn times(&self, count: u32) -> Self {
        Self::new(self.resources.times(count), self.slots.saturating_mul(count))
    }

    /// The minimum of each quantity.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        let (a, b) = (&self.resources, &other.resources);
        let resources = Resources::new(
            a.accelerators.min(b.accelerators),
            a.processors.min(b.processors),
            a.memory_mib.min(b.memory_mib),
        );
        Self::new(resources, self.slots.min(other.slots))
    }

    /// How many times `each` fits into it, at most `limit`.
    pub fn count_of(&self, each: &Self, limit: u32) -> u32 {
        let by_slots = self.slots.checked_div(each.slots).unwrap_or(limit);
        self.resources.count_of(&each.resources, limit.min(by_slots))
    }
}
