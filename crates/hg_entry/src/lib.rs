//! The entry process: callers, operators and upstreams connect here.
//!
//! * [`api`] serves HTTP. It checks what comes in and shows what control decided.
//! * [`JobTable`] holds the bodies and answers of jobs whose home this entry is.
//! * [`carrier`] carries an attempt out: prepare, commit, start, watch, stop, report.
//! * [`UpstreamTable`] hears the upstreams; only what changed is reported to the leader.
//! * [`run`] wires it all.

pub mod api;
pub mod carrier;
mod directives;
mod entry;
mod job_table;
mod member;
mod report;
mod retry_budget;
mod run;
mod upstream_client;
mod upstream_table;

pub use entry::Entry;
pub use job_table::{FinalAnswer, JobTable, NoRoom, StopOrder};
pub use member::{MemberEnd, combine};
pub use retry_budget::RetryBudget;
pub use run::run;
pub use upstream_client::{LeaseReply, UpstreamClient, UpstreamError};
pub use upstream_table::{UpstreamTable, UpstreamsFull};
