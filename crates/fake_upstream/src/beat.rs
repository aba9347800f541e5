//! Announcements and heartbeats.

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

use crate::http::Shared;

/// How long an entry may take to answer.
const LIMIT: Duration = Duration::from_secs(1);

/// Speaks to one entry, and to the next one if that fails.
pub(crate) async fn beat(shared: Arc<Shared>, spec: UpstreamSpec, leaving: watch::Receiver<bool>) {
    let http: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let entries = shared.options.entries.clone();
    let every = Duration::from_millis(shared.options.beat_ms);
    // Upstreams spread over the entries by their own address.
    let mut at = usize::from(spec.address.port()) % entries.len().max(1);
    let mut leaving = leaving;
    loop {
        let (leases, ended) = shared.leases.held();
        let is_leaving = *leaving.borrow_and_update();
        let beat = UpstreamHeartbeat { spec: spec.clone(), leaving: is_leaving, leases, ended };
        let Some(entry) = entries.get(at) else { return };
        let sent = timeout(LIMIT, send(&http, *entry, &beat)).await;
        if !matches!(sent, Ok(true)) {
            at = (at + 1) % entries.len();
        }
        tokio::select! {
            () = sleep(every) => {}
            changed = leaving.changed() => {
                if changed.is_err() {
                    sleep(every).await;
                }
            }
        }
    }
}

async fn send(
    http: &Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
    beat: &UpstreamHeartbeat,
) -> bool {
    let Ok(body) = serde_json::to_vec(beat) else { return false };
    let req = Request::post(format!("http://{entry}/v1/upstreams"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(req) = req else { return false };
    http.request(req).await.is_ok_and(|response| response.status().is_success())
}
