//! The metrics of a control process. docs/METRICS.md is generated from this table.

/// The kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Only increases.
    Counter,
    /// Increases and decreases.
    Gauge,
    /// A distribution of values.
    Histogram,
}

/// One metric.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// Its kind.
    pub kind: MetricKind,
    /// Its labels with all their values; empty if it has none.
    pub labels: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// A sentence that says what it measures.
    pub meaning: &'static str,
}

const fn metric(
    name: &'static str,
    kind: MetricKind,
    labels: &'static str,
    unit: &'static str,
    meaning: &'static str,
) -> Metric {
    Metric { name, kind, labels, unit, meaning }
}

use MetricKind::{Counter, Gauge, Histogram};

/// All metrics of a control process.
pub const METRICS: [Metric; 56] = [
    metric("hg_control_term", Gauge, "", "number", "The current leadership term."),
    metric("hg_control_votes", Gauge, "", "0 or 1", "Whether this replica has a vote."),
    metric("hg_control_voters", Gauge, "", "replicas", "The number of voting replicas."),
    metric(
        "hg_control_leads",
        Gauge,
        "",
        "0 or 1",
        "Whether this replica leads, with a valid lease, and may decide.",
    ),
    metric("hg_control_commit", Gauge, "", "position", "The last committed log position."),
    metric("hg_control_log_entries", Gauge, "", "entries", "Log entries since the last snapshot."),
    metric(
        "hg_control_sync_seconds",
        Histogram,
        "",
        "seconds",
        "Duration of a sync of the log to disk.",
    ),
    metric(
        "hg_control_step_seconds",
        Histogram,
        "",
        "seconds",
        "Duration of one step of the core, over a batch of inputs.",
    ),
    metric("hg_control_step_inputs", Histogram, "", "inputs", "Inputs in one step of the core."),
    metric(
        "hg_control_inputs_waiting",
        Gauge,
        "kind: message, report, request, call",
        "inputs",
        "Inputs that wait for the core; calls of callers come last.",
    ),
    metric(
        "hg_control_requests_refused",
        Counter,
        "",
        "requests",
        "Requests refused unhandled because the core had too much to do; they did not run.",
    ),
    metric(
        "hg_control_messages_dropped",
        Counter,
        "",
        "batches",
        "Batches of messages to replicas that were dropped because the queue was full.",
    ),
    metric(
        "hg_control_directives_dropped",
        Counter,
        "",
        "directives",
        "Directives to entries that were dropped because the queue was full or the entry had no link.",
    ),
    metric("hg_control_lists", Gauge, "", "version", "The version of the lists in force."),
    metric("hg_control_waiting", Gauge, "", "jobs", "Jobs that wait for placement."),
    metric("hg_control_holdings", Gauge, "", "jobs", "Jobs with an allocation on upstreams."),
    metric("hg_control_aside", Gauge, "", "upstreams", "Upstreams in quarantine."),
    metric(
        "hg_control_shortages",
        Gauge,
        "",
        "shapes",
        "Guarantees that exceed the capacity of the pool.",
    ),
    metric("hg_workflow_catalog", Gauge, "", "version", "The version of the catalog in force."),
    metric(
        "hg_workflow_open",
        Gauge,
        "",
        "workflows",
        "Workflows that are not in their final state.",
    ),
    metric("hg_workflow_runs", Gauge, "", "runs", "Runs that may be in progress."),
    metric("hg_workflow_upstreams", Gauge, "", "upstreams", "Registered upstreams."),
    metric(
        "hg_workflow_accelerators",
        Gauge,
        "",
        "accelerators",
        "The accelerators of the registered upstreams, by their last reports.",
    ),
    metric(
        "hg_workflow_suspects",
        Gauge,
        "",
        "tasks",
        "Tasks on whose upstreams a crash is not explained yet.",
    ),
    metric(
        "hg_workflow_shunned",
        Gauge,
        "",
        "upstreams",
        "Upstreams that are excluded from new work.",
    ),
    metric(
        "hg_workflow_accepted",
        Counter,
        "urgent: true, false",
        "workflows",
        "Accepted workflows.",
    ),
    metric(
        "hg_workflow_rejected",
        Counter,
        "reason: fits_nowhere, gang_too_large, forecast",
        "workflows",
        "Workflows rejected at submission.",
    ),
    metric(
        "heathergrade_rejected_total",
        Counter,
        "reason: promised, too_late",
        "workflows",
        "Workflows rejected by forecast: with room promised at the retry time, or with room only when they are of no value.",
    ),
    metric(
        "heathergrade_forecast_start_ms",
        Gauge,
        "pool, priority",
        "milliseconds",
        "When a new task of one accelerator, or one core, would start; 60,000 if later.",
    ),
    metric(
        "hg_workflow_ended",
        Counter,
        "state: completed, failed, cancelled",
        "workflows",
        "Workflows that reached their final state.",
    ),
    metric(
        "hg_workflow_wait_seconds",
        Histogram,
        "urgent: true, false",
        "seconds",
        "Time from the acceptance of a workflow to its first start.",
    ),
    metric("hg_workflow_starts", Counter, "", "runs", "Decided starts of runs."),
    metric(
        "hg_workflow_stops",
        Counter,
        "reason: see `run.stop`",
        "runs",
        "Decided stops of runs.",
    ),
    metric(
        "hg_workflow_run_ends",
        Counter,
        "kind: done, failed, stopped, lapsed, broken, alone, lost",
        "runs",
        "Ended runs.",
    ),
    metric(
        "hg_workflow_orders",
        Counter,
        "kind: start, stop, renew, pace",
        "orders",
        "Orders sent to upstreams.",
    ),
    metric(
        "hg_workflow_order_results",
        Counter,
        "result: started, refused, stopped, listed, paced, fenced, unsent, withdrawn, other_life, unanswered",
        "orders",
        "Results of orders.",
    ),
    metric(
        "hg_workflow_foreign_heartbeats",
        Counter,
        "",
        "heartbeats",
        "Heartbeats of pools that are not in the catalog in force; they change nothing.",
    ),
    metric(
        "hg_workflow_upstream_crashes",
        Counter,
        "",
        "upstreams",
        "Upstreams that started again without having announced their end.",
    ),
    metric(
        "hg_workflow_given_up",
        Counter,
        "",
        "tasks",
        "Tasks given up because they crash their upstreams.",
    ),
    metric(
        "hg_workflow_round_seconds",
        Histogram,
        "",
        "seconds",
        "Duration of one scheduling round.",
    ),
    metric(
        "hg_workflow_upkeeps",
        Counter,
        "stage: ordered, begun, done, gone, waiting",
        "hosts",
        "Stage changes of the upkeep of hosts.",
    ),
    metric(
        "hg_workflow_advice",
        Counter,
        "result: given, failed",
        "calls",
        "Advice requests for where a step may run.",
    ),
    metric(
        "heathergrade_tombstones",
        Gauge,
        "",
        "ids",
        "Ids that were cancelled before a job had them.",
    ),
    metric("heathergrade_drains", Gauge, "", "data centres", "Data centres that are drained."),
    metric("heathergrade_drain_runs_left", Gauge, "", "runs", "Open runs in drained data centres."),
    metric(
        "heathergrade_drain_shortage_accelerators",
        Gauge,
        "",
        "accelerators",
        "Guaranteed accelerators that the upstreams outside drained data centres lack.",
    ),
    metric(
        "heathergrade_hosts_by_speed",
        Gauge,
        "class: fast, normal, slow, unknown",
        "hosts",
        "Hosts by their lasting speed relative to the median of their pool; set by the leader while `host-speeds` is in use.",
    ),
    metric(
        "heathergrade_placements_by_speed",
        Counter,
        "class: fast, normal, slow, unknown; urgent: true, false",
        "runs",
        "Decided starts by the lasting speed of the host, while `host-speeds` is in use.",
    ),
    metric(
        "heathergrade_estimate_ratio",
        Gauge,
        "queue; quantile: 0.5, 0.9",
        "ratio",
        "Learned run time of completed runs, relative to their callers' estimates.",
    ),
    metric(
        "heathergrade_account_share",
        Gauge,
        "account: the accounts of the catalog, (none)",
        "fair shares",
        "The account's weighted dominant share as a multiple of its fair share, where there is a fair order.",
    ),
    metric(
        "heathergrade_account_waiting",
        Gauge,
        "account: the accounts of the catalog, (none)",
        "tasks",
        "The account's tasks that may start and wait, where there is a fair order.",
    ),
    metric(
        "heathergrade_contention_pairs",
        Gauge,
        "",
        "pairs",
        "Pairs of classes of tasks that placement keeps apart because one slows the other down.",
    ),
    metric(
        "heathergrade_contention_avoided_total",
        Counter,
        "",
        "runs",
        "Starts on another upstream than best fit's because of tasks that run there.",
    ),
    metric(
        "heathergrade_http_refused_total",
        Counter,
        "address; reason: connections, memory, long_head, malformed, slow_head, slow_body, idle, unread",
        "connections",
        "Connections of clients that were closed, and requests that were refused, before the request was received in full; idle ones included.",
    ),
    metric(
        "heathergrade_http_connections",
        Gauge,
        "address",
        "connections",
        "Open connections of clients.",
    ),
    metric(
        "heathergrade_http_buffered_bytes",
        Gauge,
        "address",
        "bytes",
        "Requests that are being received, whose bytes count twice, and responses that are being sent.",
    ),
];

/// Describes all metrics to the recorder, with meaning and unit.
pub(crate) fn describe_all() {
    for metric in METRICS {
        let text = format!("{} ({})", metric.meaning, metric.unit);
        match metric.kind {
            Counter => metrics::describe_counter!(metric.name, text),
            Gauge => metrics::describe_gauge!(metric.name, text),
            Histogram => metrics::describe_histogram!(metric.name, text),
        }
    }
}

/// The table of metrics as a Markdown page.
pub fn metrics_page() -> String {
    let mut page = String::from(
        "# Metrics\n\nA control process serves them as text at `/metrics` of its pages' address; on the users' platform \
         that is the second internal port. This page is generated from the table in `hg_control`.\n\n\
         | name | kind | labels | unit | meaning |\n|---|---|---|---|---|\n",
    );
    for Metric { name, kind, labels, unit, meaning } in METRICS {
        let kind = format!("{kind:?}").to_lowercase();
        page.push_str(&format!("| `{name}` | {kind} | {labels} | {unit} | {meaning} |\n"));
    }
    page
}
