//! The entry process: callers, operators and upstreams connect to it over HTTP.
//!
//! * [`api`] serves HTTP. It checks requests and shows what the control leader decided.
//! * [`JobTable`] holds the bodies and answers of the jobs whose home is this entry.
//! * [`attempt_runner`] runs an attempt: prepare, commit, start, watch, stop, report.
//! * [`UpstreamTable`] holds the upstreams' heartbeats; only changes are reported to the leader.
//! * [`run`] connects these parts and runs the process.

pub mod api;
pub mod attempt_runner;
mod directives;
mod entry;
mod job_table;
mod member_outcome;
mod report;
mod retry_budget;
mod run;
mod upstream_client;
mod upstream_table;

pub use entry::Entry;
pub use job_table::{ByteLimitReached, FinalAnswer, JobTable, StopOrder};
pub use member_outcome::{MemberOutcome, attempt_result};
pub use retry_budget::RetryBudget;
pub use run::run;
pub use upstream_client::{LeaseReply, UpstreamClient, UpstreamError};
pub use upstream_table::{UpstreamLimitReached, UpstreamTable};
