//! Directives of the control leader to this entry.

use std::sync::Arc;

use hg_link::Directive;
use hg_model::{LeaseOrder, Resources};
use slog::info;
use tokio::sync::mpsc::Receiver;

use crate::{Entry, StopOrder, attempt_runner};

/// Executes directives in the order in which they arrive.
pub(crate) async fn execute(entry: Arc<Entry>, mut rx: Receiver<Directive>) {
    while let Some(directive) = rx.recv().await {
        match directive {
            Directive::Run(order) => attempt_runner::spawn(&entry, order),
            Directive::Stop { job, attempt, cause } => {
                info!(entry.log, "entry: stops an attempt"; "event" => "job.stop", "job" => %job,
                    "attempt" => attempt, "cause" => ?cause);
                entry.jobs.stop(&job, attempt, StopOrder::Stop(cause));
            }
            Directive::Abort { job, attempt, upstream } => {
                info!(entry.log, "entry: aborts an attempt"; "event" => "job.abort", "job" => %job,
                    "attempt" => attempt, "upstream" => %upstream);
                entry.jobs.stop(&job, attempt, StopOrder::Abort(upstream));
            }
            Directive::Final { job, answer } => entry.jobs.finish(&job, answer),
            Directive::Fence { lease, address, term } => {
                let entry = Arc::clone(&entry);
                tokio::spawn(async move {
                    info!(entry.log, "entry: fences a lease"; "event" => "lease.fence", "lease" => %lease);
                    let (tasks, per_task) = (0, Resources::default());
                    let order = LeaseOrder { term, boot: None, tasks, per_task, prepared_ms: 0 };
                    // If this request is lost, the upstream's next heartbeat names the lease again.
                    drop(entry.client.stop(address, &lease, &order, false).await);
                });
            }
        }
    }
}
