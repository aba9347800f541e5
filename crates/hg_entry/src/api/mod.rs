//! The HTTP interface, documented in docs/API.md.

mod callers;
mod error;
mod monitoring;
mod operators;
mod upstreams;

use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use poem::http::StatusCode;
use poem::listener::TcpListener;
use poem::{Body, EndpointExt as _, Response, Route, Server, delete, get, post};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::Entry;

pub use error::{ApiError, ErrorCode};

/// How long a request in progress may still take after the server was told to stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// Largest body of an operator's or an upstream's request, in bytes.
const SMALL_BODY_BYTES: usize = 4 << 20;

/// Serves until `stop` becomes true; requests in progress may then finish.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    prometheus: PrometheusHandle,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let address = entry.settings.http;
    let app = Route::new()
        .at("/v1/jobs", post(callers::submit_job))
        .at("/v1/jobs/:id", get(callers::get_job).delete(callers::cancel_job))
        .at("/v1/jobs/:id/answer", get(callers::get_answer))
        .at("/v1/jobs/:id/why", get(callers::get_why))
        .at("/v1/upstreams", get(operators::get_upstreams).post(upstreams::announce))
        .at(
            "/v1/upstreams/:name/drain",
            post(operators::drain_upstream).delete(operators::resume_upstream),
        )
        .at("/v1/upstreams/:name", delete(upstreams::leave))
        .at("/v1/lists", get(operators::get_lists).put(operators::put_lists))
        .at("/v1/lists/check", post(operators::check_lists))
        .at("/v1/status", get(operators::get_status))
        .at("/metrics", get(monitoring::metrics))
        .at("/healthz", get(monitoring::healthz))
        .at("/readyz", get(monitoring::readyz))
        .catch_error(error::not_found)
        .data(entry)
        .data(prometheus);
    let stopped = async move {
        // The sender is dropped only when the process ends; that stops the server, too.
        drop(stop.wait_for(|stop| *stop).await);
    };
    let server = Server::new(TcpListener::bind(address));
    server.run_with_graceful_shutdown(app, stopped, Some(DRAIN_LIMIT)).await
}

/// Reads a JSON body of at most `limit` bytes.
async fn read_json<T: DeserializeOwned>(body: Body, limit: usize) -> Result<T, ApiError> {
    let bytes = body.into_bytes_limit(limit).await.map_err(|error| match error {
        poem::error::ReadBodyError::PayloadTooLarge => {
            ApiError::new(ErrorCode::TooLarge, format!("at most {limit} bytes are allowed"))
        }
        other => ApiError::new(ErrorCode::BadRequest, other.to_string()),
    })?;
    serde_json::from_slice(&bytes)
        .map_err(|error| ApiError::new(ErrorCode::BadRequest, error.to_string()))
}

/// A JSON response.
fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_string(value) {
        Ok(text) => Response::builder().status(status).content_type("application/json").body(text),
        Err(error) => {
            Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).body(error.to_string())
        }
    }
}
