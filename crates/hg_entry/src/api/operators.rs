//! Operators' requests: lists, upstreams, status.

use std::sync::Arc;

use hg_link::{Reply, Request};
use hg_model::{ListVersion, Lists, OperationId, UpstreamName};
use poem::http::StatusCode;
use poem::web::{Data, Path};
use poem::{Body, Response, handler};
use serde::{Deserialize, Serialize};

use super::callers::{request_control, unexpected};
use super::{ApiError, ErrorCode, SMALL_BODY_BYTES, json, read_json};
use crate::Entry;

/// The lists with their version.
#[derive(Debug, Serialize)]
struct ListsBody {
    version: ListVersion,
    lists: Lists,
}

/// A write of the lists.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PutListsBody {
    operation: OperationId,
    expect: ListVersion,
    lists: Lists,
}

/// The version of the lists after a write.
#[derive(Debug, Serialize)]
struct VersionBody {
    version: ListVersion,
}

/// An empty success.
#[derive(Debug, Serialize)]
struct DoneBody {
    done: bool,
}

/// `GET /v1/lists`.
#[handler]
pub(super) async fn get_lists(entry: Data<&Arc<Entry>>) -> Result<Response, ApiError> {
    match request_control(entry.0, Request::GetLists).await? {
        Reply::Lists { version, lists } => {
            entry.record_lists_version(version);
            Ok(json(StatusCode::OK, &ListsBody { version, lists }))
        }
        other => Err(unexpected(&other)),
    }
}

/// `POST /v1/lists/check`.
#[handler]
pub(super) async fn check_lists(
    entry: Data<&Arc<Entry>>,
    body: Body,
) -> Result<Response, ApiError> {
    let lists: Lists = read_json(body, SMALL_BODY_BYTES).await?;
    respond(request_control(entry.0, Request::CheckLists(lists)).await?)
}

/// `PUT /v1/lists`.
#[handler]
pub(super) async fn put_lists(entry: Data<&Arc<Entry>>, body: Body) -> Result<Response, ApiError> {
    let PutListsBody { operation, expect, lists } = read_json(body, SMALL_BODY_BYTES).await?;
    respond(request_control(entry.0, Request::PutLists { op: operation, expect, lists }).await?)
}

/// `GET /v1/upstreams`.
#[handler]
pub(super) async fn get_upstreams(entry: Data<&Arc<Entry>>) -> Result<Response, ApiError> {
    match request_control(entry.0, Request::Upstreams).await? {
        Reply::Upstreams(upstreams) => Ok(json(StatusCode::OK, &upstreams)),
        other => Err(unexpected(&other)),
    }
}

/// `POST /v1/upstreams/:name/drain`.
#[handler]
pub(super) async fn drain_upstream(
    entry: Data<&Arc<Entry>>,
    Path(name): Path<String>,
) -> Result<Response, ApiError> {
    set_drained(entry.0, &name, true).await
}

/// `DELETE /v1/upstreams/:name/drain`.
#[handler]
pub(super) async fn resume_upstream(
    entry: Data<&Arc<Entry>>,
    Path(name): Path<String>,
) -> Result<Response, ApiError> {
    set_drained(entry.0, &name, false).await
}

async fn set_drained(entry: &Entry, name: &str, drained: bool) -> Result<Response, ApiError> {
    let upstream = UpstreamName::new(name)
        .map_err(|error| ApiError::new(ErrorCode::BadRequest, error.to_string()))?;
    respond(request_control(entry, Request::Drain { upstream, drained }).await?)
}

/// `GET /v1/status`.
#[handler]
pub(super) async fn get_status(entry: Data<&Arc<Entry>>) -> Result<Response, ApiError> {
    match request_control(entry.0, Request::Status).await? {
        Reply::Status(view) => Ok(json(StatusCode::OK, &view)),
        other => Err(unexpected(&other)),
    }
}

fn respond(reply: Reply) -> Result<Response, ApiError> {
    match reply {
        Reply::Done => Ok(json(StatusCode::OK, &DoneBody { done: true })),
        Reply::Accepted(version) => Ok(json(StatusCode::OK, &VersionBody { version })),
        Reply::Faults(faults) => {
            let error = ApiError::new(
                ErrorCode::ListFaults,
                "the lists have mistakes; nothing was changed",
            );
            Err(error.with_faults(faults))
        }
        Reply::Conflict(conflict) => {
            let winner =
                conflict.winner.as_ref().map_or("nobody yet".to_owned(), ToString::to_string);
            let message = format!("{conflict}; written by {winner}");
            Err(ApiError::new(ErrorCode::ListConflict, message))
        }
        Reply::NoUpstream => Err(ApiError::new(ErrorCode::NotFound, "no such upstream is known")),
        other => Err(unexpected(&other)),
    }
}
