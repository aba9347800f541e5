//! What the control leader tells this entry.

use std::sync::Arc;

use hg_link::Directive;
use hg_model::{LeaseOrder, Resources};
use slog::info;
use tokio::sync::mpsc::Receiver;

use crate::{Entry, StopOrder, carrier};

/// Carries directives out as they come.
pub(crate) async fn obey(entry: Arc<Entry>, mut rx: Receiver<Directive>) {
    while let Some(directive) = rx.recv().await {
        match directive {
            Directive::Run(order) => carrier::take_on(&entry, order),
            Directive::Stop { job, attempt, cause } => {
                info!(entry.log, "entry: stop"; "event" => "job.stop", "job" => %job,
                    "attempt" => attempt, "cause" => ?cause);
                entry.jobs.stop(&job, attempt, StopOrder::Stop(cause));
            }
            Directive::Abort { job, attempt, upstream } => {
                info!(entry.log, "entry: abort"; "event" => "job.abort", "job" => %job,
                    "attempt" => attempt, "upstream" => %upstream);
                entry.jobs.stop(&job, attempt, StopOrder::Abort(upstream));
            }
            Directive::Final { job, answer } => entry.jobs.finish(&job, answer),
            Directive::Fence { lease, address, term } => {
                let entry = Arc::clone(&entry);
                tokio::spawn(async move {
                    info!(entry.log, "entry: fence"; "event" => "lease.fence", "lease" => %lease);
                    let (tasks, per_task) = (0, Resources::default());
                    let order = LeaseOrder { term, boot: None, tasks, per_task, prepared_ms: 0 };
                    // The upstream names the lease again in its next heartbeat if this is lost.
                    drop(entry.client.stop(address, &lease, &order, false).await);
                });
            }
        }
    }
}
