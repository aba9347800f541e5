//! Periodic reports to the control leader about this entry's upstreams.

use std::sync::Arc;
use std::time::Duration;

use hg_link::{Reply, Request};
use slog::{info, warn};
use tokio::time::{MissedTickBehavior, interval};

use crate::Entry;
use crate::run::now;

/// How long finished jobs are held for callers who ask for them again.
const FINISHED_JOB_AGE: Duration = Duration::from_secs(60);

/// Reports changes every `report_ms`. Each report is also this entry's heartbeat.
pub(crate) async fn run_reports(entry: Arc<Entry>) {
    let settings = entry.settings.upstreams;
    let silence = Duration::from_millis(settings.silence_ms);
    let limit = Duration::from_millis(entry.settings.limits.control_ms);
    let mut ticks = interval(Duration::from_millis(settings.report_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut full = true;
    loop {
        ticks.tick().await;
        entry.upstreams.expire(now(), silence);
        entry.jobs.expire(FINISHED_JOB_AGE);
        let report = entry.upstreams.report(&entry.name, full);
        match entry.control.request(&Request::Beats(report.clone()), limit).await {
            Ok(Reply::Beats { lists, need_full }) => {
                entry.upstreams.acknowledge_report(&report);
                record_lists(&entry, lists);
                full = need_full;
            }
            Ok(other) => {
                warn!(entry.log, "entry: report refused"; "event" => "report.refused",
                    "reply" => ?other);
            }
            Err(error) => {
                warn!(entry.log, "entry: report not sent"; "event" => "report.unsent",
                    "error" => %error);
            }
        }
        set_gauges(&entry);
    }
}

fn record_lists(entry: &Entry, lists: hg_model::ListVersion) {
    if lists > entry.lists_version() || !entry.knows_lists() {
        info!(entry.log, "entry: lists in force"; "event" => "lists.in_force", "lists" => lists.0);
    }
    entry.record_lists_version(lists);
}

fn set_gauges(entry: &Entry) {
    metrics::gauge!("hg_entry_upstreams").set(entry.upstreams.len() as f64);
    metrics::gauge!("hg_entry_held_bytes").set(entry.jobs.held_bytes() as f64);
    metrics::gauge!("hg_entry_unfinished").set(entry.jobs.unfinished() as f64);
    metrics::gauge!("hg_entry_lists").set(entry.lists_version().0 as f64);
}
