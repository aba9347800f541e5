//! Bounds on what the ledger keeps.

/// Most attempts of one job that no upstream accepted.
pub const REFUSALS_MAX: u32 = 8;
/// Most attempts of one idempotent job that may fail or be lost.
pub const FAILURES_MAX: u32 = 3;
/// Most notes kept for each job.
pub const NOTES_MAX: usize = 16;
/// Most operators' operation ids remembered.
pub const OPERATIONS_MAX: usize = 4_096;
/// Most ended jobs whose notes are kept.
pub const NOTED_MAX: usize = 512;
/// Most ended jobs that are remembered.
pub const ENDED_MAX: usize = 30_000;
