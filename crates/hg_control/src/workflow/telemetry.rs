//! Metrics about workflows; their labels have few distinct values.

use std::time::Duration;

use hg_ledger::{UpkeepStage, WorkflowLedger};
use hg_model::{EndKind, JobId, Time, WorkflowState};
use hg_policy::{ForecastRejection, Rejection, SpeedClass, StopReason, WorkflowScheduler};

use super::drains::{runs_left, shortage};
use super::run_times::set_run_time_gauges;
use super::{Order, OrderKind, OrderResult};

pub(super) fn record_accepted(is_urgent: bool) {
    metrics::counter!("hg_workflow_accepted", "urgent" => is_urgent.to_string()).increment(1);
}

pub(super) fn record_rejected(rejection: &Rejection) {
    let reason = match rejection {
        Rejection::FitsNowhere { .. } => "fits_nowhere",
        Rejection::GangTooLarge { .. } => "gang_too_large",
    };
    metrics::counter!("hg_workflow_rejected", "reason" => reason).increment(1);
}

pub(super) fn record_forecast_rejection(rejection: &ForecastRejection) {
    let reason = if rejection.is_promised { "promised" } else { "too_late" };
    metrics::counter!("heathergrade_rejected_total", "reason" => reason).increment(1);
    metrics::counter!("hg_workflow_rejected", "reason" => "forecast").increment(1);
}

/// Records the forecast start of new work, by pool and priority.
pub(super) fn record_forecast(scheduler: &WorkflowScheduler) {
    for (pool, priority, start_ms) in scheduler.forecast_starts() {
        let (pool, priority) = (pool.to_string(), priority.to_string());
        metrics::gauge!("heathergrade_forecast_start_ms", "pool" => pool, "priority" => priority)
            .set(start_ms as f64);
    }
}

pub(super) fn record_ended(state: Option<WorkflowState>) {
    if let Some(state) = state {
        metrics::counter!("hg_workflow_ended", "state" => state.to_string()).increment(1);
    }
}

/// Records the waiting time of a workflow whose first start was decided; does nothing for later starts.
pub(super) fn record_first_start(now: Time, ledger: &WorkflowLedger, job: &JobId) {
    let Some(job) = ledger.job(job).filter(|job| !job.started) else { return };
    let urgent = (job.terms.priority == 0).to_string();
    let waited = now.since(job.accepted_at);
    metrics::histogram!("hg_workflow_wait_seconds", "urgent" => urgent).record(waited);
}

pub(super) fn record_starts(count: usize) {
    metrics::counter!("hg_workflow_starts").increment(u64::try_from(count).unwrap_or(u64::MAX));
}

pub(super) fn record_foreign_heartbeat() {
    metrics::counter!("hg_workflow_foreign_heartbeats").increment(1);
}

pub(super) fn record_stop(reason: StopReason) {
    metrics::counter!("hg_workflow_stops", "reason" => reason.to_string()).increment(1);
}

pub(super) fn record_placement_by_speed(class: SpeedClass, is_urgent: bool) {
    metrics::counter!("heathergrade_placements_by_speed", "class" => class.to_string(),
        "urgent" => is_urgent.to_string())
    .increment(1);
}

pub(super) fn record_hosts_by_speed(class: SpeedClass, count: usize) {
    metrics::gauge!("heathergrade_hosts_by_speed", "class" => class.to_string()).set(count as f64);
}

pub(super) fn record_end(kind: EndKind) {
    let kind = format!("{kind:?}").to_lowercase();
    metrics::counter!("hg_workflow_run_ends", "kind" => kind).increment(1);
}

pub(super) fn record_lost(count: usize) {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    metrics::counter!("hg_workflow_run_ends", "kind" => "lost").increment(count);
}

pub(super) fn record_crash() {
    metrics::counter!("hg_workflow_upstream_crashes").increment(1);
}

pub(super) fn record_given_up() {
    metrics::counter!("hg_workflow_given_up").increment(1);
}

pub(super) fn record_orders(orders: &[Order]) {
    for order in orders {
        let kind = match order.kind {
            OrderKind::Start { .. } => "start",
            OrderKind::Stop { .. } => "stop",
            OrderKind::Pace { .. } => "pace",
            OrderKind::Renew { .. } => "renew",
        };
        metrics::counter!("hg_workflow_orders", "kind" => kind).increment(1);
    }
}

pub(super) fn record_result(result: &OrderResult) {
    let result = match result {
        OrderResult::Started(_) => "started",
        OrderResult::NotStarted(_) => "refused",
        OrderResult::Stopped(_) => "stopped",
        OrderResult::Paced(_) => "paced",
        OrderResult::Listed(_) => "listed",
        OrderResult::Fenced => "fenced",
        OrderResult::Unsent(_) => "unsent",
        OrderResult::Withdrawn => "withdrawn",
        OrderResult::OtherIncarnation => "other_life",
        OrderResult::Unanswered(_) => "unanswered",
    };
    metrics::counter!("hg_workflow_order_results", "result" => result).increment(1);
}

pub(super) fn record_round(took: Duration) {
    metrics::histogram!("hg_workflow_round_seconds").record(took);
}

pub(super) fn record_upkeep(stage: UpkeepStage) {
    let stage = format!("{stage:?}").to_lowercase();
    metrics::counter!("hg_workflow_upkeeps", "stage" => stage).increment(1);
}

pub(super) fn record_advice(is_given: bool) {
    let result = if is_given { "given" } else { "failed" };
    metrics::counter!("hg_workflow_advice", "result" => result).increment(1);
}

pub(super) fn record_contention_avoided(count: usize) {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    metrics::counter!("heathergrade_contention_avoided_total").increment(count);
}

/// Sets the gauges that depend on the replicated state. `excluded` counts the upstreams that get no new work.
pub(crate) fn set_gauges(ledger: &WorkflowLedger, excluded: usize) {
    let version = ledger.catalog().map_or(0, |catalog| catalog.version);
    let runs: u32 = ledger.jobs().values().map(|job| job.open_runs).sum();
    metrics::gauge!("hg_workflow_catalog").set(version as f64);
    metrics::gauge!("hg_workflow_open").set(ledger.jobs().len() as f64);
    metrics::gauge!("hg_workflow_runs").set(f64::from(runs));
    metrics::gauge!("hg_workflow_upstreams").set(ledger.upstreams().len() as f64);
    let accelerators = ledger.upstreams().values().map(|u| f64::from(u.capacity.accelerators));
    metrics::gauge!("hg_workflow_accelerators").set(accelerators.sum::<f64>());
    metrics::gauge!("hg_workflow_suspects").set(ledger.crashes().tasks().len() as f64);
    let found = ledger.contention().found_count();
    metrics::gauge!("heathergrade_contention_pairs").set(found as f64);
    metrics::gauge!("hg_workflow_shunned").set(excluded as f64);
    metrics::gauge!("heathergrade_tombstones").set(ledger.tombstones().count() as f64);
    let runs_left: u64 = runs_left(ledger).into_values().sum();
    metrics::gauge!("heathergrade_drains").set(ledger.drains().active().len() as f64);
    metrics::gauge!("heathergrade_drain_runs_left").set(runs_left as f64);
    metrics::gauge!("heathergrade_drain_shortage_accelerators").set(shortage(ledger) as f64);
    set_run_time_gauges(ledger.run_times());
}
