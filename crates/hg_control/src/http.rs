//! The HTTP server for metrics and health checks.

use std::net::SocketAddr;
use std::time::Duration;

use hg_http::{HttpLimits, Server};
use hg_link::{Reply, Request};
use metrics_exporter_prometheus::PrometheusHandle;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{EndpointExt as _, Route, get, handler};
use slog::Logger;
use tokio::sync::watch;

use crate::core_loop::CoreHandle;

/// How long an in-flight request may take once the process shuts down.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

#[handler]
fn metrics_page(prometheus: Data<&PrometheusHandle>) -> String {
    prometheus.render()
}

#[handler]
const fn healthz() -> &'static str {
    "ok\n"
}

/// Ready once this replica belongs to the group and leads it or knows its leader.
#[handler]
async fn readyz(core: Data<&CoreHandle>) -> (StatusCode, &'static str) {
    match core.request(Request::Status).await {
        Reply::Status(_) => (StatusCode::OK, "leads\n"),
        Reply::NotLeader { leader: Some(_), .. } => (StatusCode::OK, "follows\n"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "knows no leader\n"),
    }
}

/// Binds the address; called at the start, so that an address already in use fails the start.
pub(crate) fn bind(
    address: SocketAddr,
    limits: HttpLimits,
    log: Logger,
) -> std::io::Result<Server> {
    Server::bind(address, limits, log)
}

/// Serves until `stop` is set.
pub(crate) async fn serve(
    server: Server,
    core: CoreHandle,
    prometheus: PrometheusHandle,
    mut stop: watch::Receiver<bool>,
) {
    let app = Route::new()
        .at("/metrics", get(metrics_page))
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .data(core)
        .data(prometheus);
    let stopped = async move {
        // The sender is dropped only when the process ends.
        drop(stop.wait_for(|stop| *stop).await);
    };
    server.run(app, stopped, DRAIN_TIMEOUT).await;
}
