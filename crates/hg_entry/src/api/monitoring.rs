//! Metrics, health and readiness.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;

use crate::Entry;

/// `GET /metrics`.
#[handler]
pub(super) fn metrics(prometheus: Data<&PrometheusHandle>) -> String {
    prometheus.render()
}

/// `GET /healthz`.
#[handler]
pub(super) const fn healthz() -> &'static str {
    "ok\n"
}

/// `GET /readyz`: ready once the lists' version is known from a leader with a quorum.
#[handler]
pub(super) fn readyz(entry: Data<&Arc<Entry>>) -> (StatusCode, &'static str) {
    if entry.is_stopping() {
        return (StatusCode::SERVICE_UNAVAILABLE, "about to end\n");
    }
    if !entry.knows_lists() {
        return (StatusCode::SERVICE_UNAVAILABLE, "has not heard a control leader yet\n");
    }
    (StatusCode::OK, "ready\n")
}
