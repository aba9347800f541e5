//! The HTTP interface, documented in docs/API.md.

mod callers;
mod error;
mod monitoring;
mod operators;
mod upstreams;

use std::sync::Arc;
use std::time::Duration;

use hg_http::Server;
use metrics_exporter_prometheus::PrometheusHandle;
use poem::error::ResponseError as _;
use poem::http::StatusCode;
use poem::{Body, EndpointExt as _, Response, Route, delete, get, post};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt as _};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::Entry;

pub use error::{ApiError, ErrorCode};

/// How long a request in progress may still take after the server was told to stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// Largest body of an operator's or an upstream's request, in bytes.
const SMALL_BODY_BYTES: usize = 4 << 20;

/// How much of a body that is too large is read and discarded, as a multiple of what is allowed, and for how long.
const DISCARDED_BODIES_MAX: u64 = 4;
const DISCARD_LIMIT: Duration = Duration::from_secs(5);

/// Serves until `stop` becomes true; requests in progress may then finish.
pub(crate) async fn serve(
    server: Server,
    entry: Arc<Entry>,
    prometheus: PrometheusHandle,
    mut stop: watch::Receiver<bool>,
) {
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
    server.with_refusal(refusal).run(app, stopped, DRAIN_LIMIT).await;
}

/// The response to a request that the server refuses before it was received in full.
fn refusal() -> Response {
    callers::overloaded("the limits of this entry on requests in progress are reached")
        .as_response()
}

/// Reads a JSON body of at most `limit` bytes.
async fn read_json<T: DeserializeOwned>(body: Body, limit: usize) -> Result<T, ApiError> {
    let mut body = body.into_async_read();
    let mut bytes = Vec::new();
    let bad_request = |error: String| ApiError::new(ErrorCode::BadRequest, error);
    let allowed = u64::try_from(limit).unwrap_or(u64::MAX);
    let read = (&mut body).take(allowed.saturating_add(1)).read_to_end(&mut bytes).await;
    read.map_err(|error| bad_request(error.to_string()))?;
    if bytes.len() > limit {
        discard_rest(body, allowed).await;
        let message = format!("at most {limit} bytes are allowed");
        return Err(ApiError::new(ErrorCode::TooLarge, message));
    }
    serde_json::from_slice(&bytes).map_err(|error| bad_request(error.to_string()))
}

/// Reads on for a while after a body turned out too large. Closing a connection with unread bytes resets it, and the
/// caller would lose the response that says why.
async fn discard_rest(body: impl AsyncRead + Unpin, limit: u64) {
    let mut rest = body.take(limit.saturating_mul(DISCARDED_BODIES_MAX));
    // Whatever goes wrong here, the request is refused all the same.
    drop(timeout(DISCARD_LIMIT, tokio::io::copy(&mut rest, &mut tokio::io::sink())).await);
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
