//! The metrics of a control process. docs/METRICS.md is made from this table.

/// How a metric behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// It only rises.
    Counter,
    /// It rises and falls.
    Gauge,
    /// Its values are spread over buckets.
    Histogram,
}

/// One metric.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// How it behaves.
    pub kind: MetricKind,
    /// Its labels with all their values; empty if it has none.
    pub labels: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What it tells.
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
pub const METRICS: [Metric; 33] = [
    metric("hg_control_term", Gauge, "", "number", "The term of the agreement."),
    metric("hg_control_votes", Gauge, "", "0 or 1", "Whether this replica has a vote."),
    metric("hg_control_voters", Gauge, "", "replicas", "How many replicas vote."),
    metric("hg_control_leads", Gauge, "", "0 or 1", "Whether this replica may decide."),
    metric("hg_control_commit", Gauge, "", "position", "How far the log is committed."),
    metric("hg_control_log_entries", Gauge, "", "entries", "Entries since the last snapshot."),
    metric(
        "hg_control_sync_seconds",
        Histogram,
        "",
        "seconds",
        "How long a write to disk took with its sync.",
    ),
    metric(
        "hg_control_step_seconds",
        Histogram,
        "",
        "seconds",
        "How long the core took for a batch of inputs.",
    ),
    metric("hg_control_step_inputs", Histogram, "", "inputs", "How many inputs a batch had."),
    metric(
        "hg_control_messages_dropped",
        Counter,
        "",
        "batches",
        "Messages to replicas that found no room.",
    ),
    metric(
        "hg_control_directives_dropped",
        Counter,
        "",
        "directives",
        "Directives to entries that found no room.",
    ),
    metric("hg_control_lists", Gauge, "", "version", "The lists in force."),
    metric("hg_control_waiting", Gauge, "", "jobs", "Jobs that wait for a place."),
    metric("hg_control_holdings", Gauge, "", "jobs", "Jobs that hold upstreams."),
    metric("hg_control_aside", Gauge, "", "upstreams", "Upstreams that are put aside."),
    metric("hg_control_shortages", Gauge, "", "shapes", "Guarantees that do not fit the pool."),
    metric("hg_workflow_catalog", Gauge, "", "version", "The catalog in force."),
    metric(
        "hg_workflow_open",
        Gauge,
        "",
        "workflows",
        "Workflows that are not in their final state.",
    ),
    metric("hg_workflow_runs", Gauge, "", "runs", "Runs that may be in progress."),
    metric("hg_workflow_upstreams", Gauge, "", "upstreams", "Registered upstreams."),
    metric("hg_workflow_shunned", Gauge, "", "upstreams", "Upstreams that get no new work now."),
    metric(
        "hg_workflow_accepted",
        Counter,
        "urgent: true, false",
        "workflows",
        "Workflows taken in.",
    ),
    metric(
        "hg_workflow_rejected",
        Counter,
        "reason: fits_nowhere, gang_too_large",
        "workflows",
        "Workflows turned away at once.",
    ),
    metric(
        "hg_workflow_ended",
        Counter,
        "state: completed, failed, cancelled",
        "workflows",
        "Workflows in their final state.",
    ),
    metric(
        "hg_workflow_wait_seconds",
        Histogram,
        "urgent: true, false",
        "seconds",
        "From taking a workflow in to its first start.",
    ),
    metric("hg_workflow_starts", Counter, "", "runs", "Starts that were decided."),
    metric(
        "hg_workflow_stops",
        Counter,
        "reason: see `run.stop`",
        "runs",
        "Stops that were decided.",
    ),
    metric(
        "hg_workflow_run_ends",
        Counter,
        "kind: done, failed, stopped, lapsed, broken, alone, lost",
        "runs",
        "Runs that are over.",
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
        "result: started, refused, stopped, listed, paced, fenced, other_life, unanswered",
        "orders",
        "What came of orders.",
    ),
    metric(
        "hg_workflow_round_seconds",
        Histogram,
        "",
        "seconds",
        "How long a round of decisions took.",
    ),
    metric(
        "hg_workflow_upkeeps",
        Counter,
        "stage: ordered, begun, done, gone, waiting",
        "hosts",
        "Steps of upkeeps of hosts.",
    ),
    metric(
        "hg_workflow_advice",
        Counter,
        "result: given, failed",
        "calls",
        "Questions where a step may run.",
    ),
];

/// Names all metrics to the recorder, with unit and meaning.
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

/// The table as a page.
pub fn metrics_page() -> String {
    let mut page = String::from(
        "# Metrics\n\nA control process serves them as text at `/metrics` of its pages' address; on the users' platform \
         that is the second internal port. This page is made from the table in `hg_control`.\n\n\
         | name | kind | labels | unit | meaning |\n|---|---|---|---|---|\n",
    );
    for Metric { name, kind, labels, unit, meaning } in METRICS {
        let kind = format!("{kind:?}").to_lowercase();
        page.push_str(&format!("| `{name}` | {kind} | {labels} | {unit} | {meaning} |\n"));
    }
    page
}
