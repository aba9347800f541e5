//! Metrics and health.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use hg_link::{Reply, Request};
use metrics_exporter_prometheus::PrometheusHandle;
use poem::http::StatusCode;
use poem::listener::{Listener as _, TcpAcceptor, TcpListener};
use poem::web::Data;
use poem::{EndpointExt as _, Route, Server, get, handler};
use tokio::sync::watch;

use crate::drive::Driver;

/// How long a request in progress may take once the process is to end.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

#[handler]
fn metrics_page(prometheus: Data<&PrometheusHandle>) -> String {
    prometheus.render()
}

#[handler]
const fn healthz() -> &'static str {
    "ok\n"
}

/// Ready once it has a place in the group and knows a leader.
#[handler]
async fn readyz(driver: Data<&Driver>) -> (StatusCode, &'static str) {
    match driver.ask(Request::Status).await {
        Reply::Status(_) => (StatusCode::OK, "leads\n"),
        Reply::NotLeader { leader: Some(_), .. } => (StatusCode::OK, "follows\n"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "knows no leader\n"),
    }
}

/// A page server whose address is bound.
pub(crate) type Pages = Server<Infallible, TcpAcceptor>;

/// Binds the address, so that one that is in use is noticed at the start.
pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Pages> {
    Ok(Server::new_with_acceptor(TcpListener::bind(address).into_acceptor().await?))
}

/// Serves until told to stop.
pub(crate) async fn serve(
    server: Pages,
    driver: Driver,
    prometheus: PrometheusHandle,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let app = Route::new()
        .at("/metrics", get(metrics_page))
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .data(driver)
        .data(prometheus);
    let stopped = async move {
        // The sender only goes away when the process ends.
        drop(stop.wait_for(|stop| *stop).await);
    };
    server.run_with_graceful_shutdown(app, stopped, Some(DRAIN_LIMIT)).await
}
