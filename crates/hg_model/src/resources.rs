//! Amounts of accelerators, processors and memory that jobs use.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An amount of each resource that tasks use.
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
#[serde(deny_unknown_fields)]
#[display("{accelerators} accelerators, {processors} processors, {memory_mib} MiB")]
pub struct Resources {
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Whole processor cores.
    #[serde(default)]
    pub processors: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mib: u64,
}

impl Resources {
    /// Creates an amount.
    pub const fn new(accelerators: u32, processors: u32, memory_mib: u64) -> Self {
        Self { accelerators, processors, memory_mib }
    }

    /// Whether every part of `self` fits into `available`.
    pub const fn fits(&self, available: &Self) -> bool {
        self.accelerators <= available.accelerators
            && self.processors <= available.processors
            && self.memory_mib <= available.memory_mib
    }

    /// Whether every part is zero.
    pub const fn is_zero(&self) -> bool {
        self.accelerators == 0 && self.processors == 0 && self.memory_mib == 0
    }

    /// The sum; saturates at the largest value.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            processors: self.processors.saturating_add(other.processors),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
        }
    }

    /// The difference; saturates at zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            processors: self.processors.saturating_sub(other.processors),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
        }
    }

    /// The amount multiplied by `count`; saturates at the largest value.
    #[must_use]
    pub const fn times(&self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            processors: self.processors.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count as u64),
        }
    }

    /// How many times `each` fits into `self`, but at most `limit`.
    pub fn count_of(&self, each: &Self, limit: u32) -> u32 {
        let mut count = u64::from(limit);
        if let Some(times) = self.accelerators.checked_div(each.accelerators) {
            count = count.min(u64::from(times));
        }
        if let Some(times) = self.processors.checked_div(each.processors) {
            count = count.min(u64::from(times));
        }
        if let Some(times) = self.memory_mib.checked_div(each.memory_mib) {
            count = count.min(times);
        }
        u32::try_from(count).unwrap_or(limit)
    }
}

/// The resources of a job: a number of equal tasks, which may have to share one rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[display("{tasks} x ({per_task}){}", if *adjacent { " adjacent" } else { "" })]
pub struct Shape {
    /// How many tasks run together; at least one.
    pub tasks: u32,
    /// The resources that each task uses.
    pub per_task: Resources,
    /// Whether all tasks must run in one rack.
    #[serde(default)]
    pub adjacent: bool,
}

impl Shape {
    /// A shape of `tasks` equal tasks that may run in any rack.
    pub const fn new(tasks: u32, per_task: Resources) -> Self {
        Self { tasks, per_task, adjacent: false }
    }

    /// The same shape, with all tasks in one rack.
    #[must_use]
    pub const fn with_adjacent(mut self) -> Self {
        self.adjacent = true;
        self
    }

    /// The resources that all tasks use together.
    pub const fn total(&self) -> Resources {
        self.per_task.times(self.tasks)
    }
}
