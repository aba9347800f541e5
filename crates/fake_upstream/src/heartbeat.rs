//! Heartbeats to entries, each with the announcement of the upstream and its leases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hg_model::{UpstreamHeartbeat, UpstreamSpec};
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::http::SharedState;

/// Time in which an entry must acknowledge a heartbeat.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends heartbeats to one entry, and to the next one after a failure.
///
/// A change of `leaving` is sent at once, without waiting for the next interval.
pub(crate) async fn send_heartbeats(
    shared: Arc<SharedState>,
    spec: UpstreamSpec,
    leaving: watch::Receiver<bool>,
) {
    let http: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let entries = shared.options.entries.clone();
    let interval = Duration::from_millis(shared.options.heartbeat_ms);
    // Upstreams on different ports begin with different entries.
    let mut current = usize::from(spec.address.port()) % entries.len().max(1);
    let mut leaving = leaving;
    loop {
        let (leases, ended) = shared.leases.open_and_unreported();
        let is_leaving = *leaving.borrow_and_update();
        let heartbeat =
            UpstreamHeartbeat { spec: spec.clone(), leaving: is_leaving, leases, ended };
        let Some(entry) = entries.get(current) else { return };
        let sent = timeout(ENTRY_TIMEOUT, send(&http, *entry, &heartbeat)).await;
        if !matches!(sent, Ok(true)) {
            current = (current + 1) % entries.len();
        }
        tokio::select! {
            () = sleep(interval) => {}
            changed = leaving.changed() => {
                if changed.is_err() {
                    sleep(interval).await;
                }
            }
        }
    }
}

/// Sends one heartbeat. Returns whether the entry accepted it.
async fn send(
    http: &Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
    heartbeat: &UpstreamHeartbeat,
) -> bool {
    let Ok(body) = serde_json::to_vec(heartbeat) else { return false };
    let req = Request::post(format!("http://{entry}/v1/upstreams"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(req) = req else { return false };
    http.request(req).await.is_ok_and(|response| response.status().is_success())
}
