//! What upstreams say: announcements, heartbeats, leaving.

use std::sync::Arc;

use hg_model::{ListVersion, UpstreamHeartbeat};
use poem::http::StatusCode;
use poem::web::{Data, Path};
use poem::{Body, Response, handler};
use serde::Serialize;

use super::{ApiError, ErrorCode, SMALL_BODY_BYTES, json, read_json};
use crate::Entry;
use crate::run::now;

/// What an upstream hears back.
#[derive(Debug, Serialize)]
struct HeardBody {
    /// How often it should speak, in milliseconds.
    beat_ms: u64,
    /// The version of the lists in force.
    lists: ListVersion,
}

/// How many heartbeats may be lost before an upstream counts as silent.
const BEATS_PER_SILENCE: u64 = 5;

/// `POST /v1/upstreams`: an announcement, and every heartbeat after it.
#[handler]
pub(super) async fn announce(entry: Data<&Arc<Entry>>, body: Body) -> Result<Response, ApiError> {
    if entry.is_stopping() {
        return Err(ApiError::new(ErrorCode::Stopping, "this entry is about to end; try another"));
    }
    let beat: UpstreamHeartbeat = read_json(body, SMALL_BODY_BYTES).await?;
    hear(entry.0, beat)
}

/// `DELETE /v1/upstreams/:name`: the last word of an upstream, with its beat as the body.
#[handler]
pub(super) async fn leave(
    entry: Data<&Arc<Entry>>,
    Path(name): Path<String>,
    body: Body,
) -> Result<Response, ApiError> {
    let mut beat: UpstreamHeartbeat = read_json(body, SMALL_BODY_BYTES).await?;
    if beat.spec.name.as_str() != name {
        let message = format!("the path names {name}, the body {}", beat.spec.name);
        return Err(ApiError::new(ErrorCode::BadRequest, message));
    }
    beat.leaving = true;
    hear(entry.0, beat)
}

fn hear(entry: &Entry, beat: UpstreamHeartbeat) -> Result<Response, ApiError> {
    entry
        .upstreams
        .hear(now(), beat)
        .map_err(|error| ApiError::new(ErrorCode::Overloaded, error.to_string()))?;
    let beat_ms = entry.settings.upstreams.silence_ms / BEATS_PER_SILENCE;
    Ok(json(StatusCode::OK, &HeardBody { beat_ms, lists: entry.lists_version() }))
}
