//! Upstreams' requests: registration, heartbeats, leaving.

use std::sync::Arc;

use hg_model::{ListVersion, UpstreamHeartbeat};
use poem::http::StatusCode;
use poem::web::{Data, Path};
use poem::{Body, Response, handler};
use serde::Serialize;

use super::{ApiError, ErrorCode, SMALL_BODY_BYTES, json, read_json};
use crate::Entry;
use crate::run::now;

/// The reply to a heartbeat.
#[derive(Debug, Serialize)]
struct HeartbeatReply {
    /// How often the upstream should send a heartbeat, in milliseconds.
    #[serde(rename = "beat_ms")]
    heartbeat_ms: u64,
    /// The version of the lists in force.
    lists: ListVersion,
}

/// How many heartbeat intervals make up the time after which a silent upstream is dropped.
const HEARTBEATS_PER_SILENCE: u64 = 5;

/// `POST /v1/upstreams`: a heartbeat. An upstream's first one registers it.
#[handler]
pub(super) async fn announce(entry: Data<&Arc<Entry>>, body: Body) -> Result<Response, ApiError> {
    if entry.is_stopping() {
        return Err(ApiError::new(ErrorCode::Stopping, "this entry is about to end; try another"));
    }
    let heartbeat: UpstreamHeartbeat = read_json(body, SMALL_BODY_BYTES).await?;
    record_heartbeat(entry.0, heartbeat)
}

/// `DELETE /v1/upstreams/:name`: an upstream leaves; its last heartbeat is the body.
#[handler]
pub(super) async fn leave(
    entry: Data<&Arc<Entry>>,
    Path(name): Path<String>,
    body: Body,
) -> Result<Response, ApiError> {
    let mut heartbeat: UpstreamHeartbeat = read_json(body, SMALL_BODY_BYTES).await?;
    if heartbeat.spec.name.as_str() != name {
        let message = format!("the path names {name}, the body {}", heartbeat.spec.name);
        return Err(ApiError::new(ErrorCode::BadRequest, message));
    }
    heartbeat.leaving = true;
    record_heartbeat(entry.0, heartbeat)
}

fn record_heartbeat(entry: &Entry, heartbeat: UpstreamHeartbeat) -> Result<Response, ApiError> {
    entry
        .upstreams
        .record_heartbeat(now(), heartbeat)
        .map_err(|error| ApiError::new(ErrorCode::Overloaded, error.to_string()))?;
    let heartbeat_ms = entry.settings.upstreams.silence_ms / HEARTBEATS_PER_SILENCE;
    Ok(json(StatusCode::OK, &HeartbeatReply { heartbeat_ms, lists: entry.lists_version() }))
}
