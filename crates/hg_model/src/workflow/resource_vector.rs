//! Amounts of resources as tasks of workflows declare them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An amount of processor, memory and accelerators, finer than [`crate::Resources`].
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(default, deny_unknown_fields)]
#[display("{accelerators} accelerators, {millicores} millicores, {memory_mib} MiB")]
pub struct ResourceVector {
    /// Whole accelerators.
    pub accelerators: u32,
    /// Thousandths of a processor core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
}

/// Number of processor cores that one accelerator counts as in [`ResourceVector::weight`].
const CORES_PER_ACCELERATOR: u64 = 8;

impl ResourceVector {
    /// Creates an amount.
    pub const fn new(accelerators: u32, millicores: u32, memory_mib: u32) -> Self {
        Self { accelerators, millicores, memory_mib }
    }

    /// Whether every part of `self` fits into `available`.
    pub const fn fits(&self, available: &Self) -> bool {
        self.accelerators <= available.accelerators
            && self.millicores <= available.millicores
            && self.memory_mib <= available.memory_mib
    }

    /// The sum; saturates at the largest value.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
        }
    }

    /// The difference; saturates at zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
        }
    }

    /// How many times `each` fits into `self`, but at most `limit`.
    pub fn count_of(&self, each: &Self, limit: u32) -> u32 {
        let times = |available: u32, needed: u32| available.checked_div(needed).unwrap_or(limit);
        times(self.accelerators, each.accelerators)
            .min(times(self.millicores, each.millicores))
            .min(times(self.memory_mib, each.memory_mib))
            .min(limit)
    }

    /// Processor cores and accelerators combined, in thousandths of a core; memory does not count.
    pub const fn weight(&self) -> u64 {
        self.millicores as u64 + self.accelerators as u64 * CORES_PER_ACCELERATOR * 1_000
    }
}
