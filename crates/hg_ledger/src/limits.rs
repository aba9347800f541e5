//! Bounds on retries and on what the ledger keeps.

/// Most attempts of one job that no upstream accepted; the job then ends as not run.
pub const REFUSALS_MAX: u32 = 8;
/// Most attempts of one idempotent job that may fail or be lost; the last one is not retried.
pub const FAILURES_MAX: u32 = 3;
/// Most history entries kept for each job.
pub const NOTES_MAX: usize = 16;
/// Most operation ids remembered to deduplicate operators' writes.
pub const OPERATIONS_MAX: usize = 4_096;
/// Most ended jobs whose history is kept.
pub const ENDED_WITH_NOTES_MAX: usize = 512;
/// Most ended jobs that are kept.
pub const ENDED_MAX: usize = 30_000;
