//! The HTTP interface through which entries control leases.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hg_model::{
    ANSWER_SHA256_HEADER, BOOT_HEADER, Digest, LEASE_ORDER_HEADER, LEASE_STATE_HEADER, LeaseId,
    LeaseOrder, LeaseState,
};
use poem::http::StatusCode;
use poem::web::{Data, Path, Query};
use poem::{Body, EndpointExt as _, Request, Response, Route, get, handler, post};
use serde::Deserialize;

use crate::{Behaviour, LeaseView, Leases, Options};

/// State that all handlers and the heartbeat task share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) options: Options,
    pub(crate) leases: Leases,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WaitQuery {
    wait_ms: u64,
}

/// Routes of the interface.
pub(crate) fn routes(shared: Arc<SharedState>) -> impl poem::Endpoint {
    Route::new()
        .at("/v1/leases/:id", get(get_lease).delete(acknowledge))
        .at("/v1/leases/:id/prepare", post(prepare))
        .at("/v1/leases/:id/start", post(start))
        .at("/v1/leases/:id/release", post(release))
        .at("/v1/leases/:id/stop", post(stop))
        .data(shared)
}

fn parse_lease_id(text: &str) -> poem::Result<LeaseId> {
    text.parse()
        .map_err(|error| poem::Error::from_string(format!("{error}"), StatusCode::BAD_REQUEST))
}

fn lease_order(req: &Request) -> poem::Result<LeaseOrder> {
    let order = req.header(LEASE_ORDER_HEADER).and_then(|text| serde_json::from_str(text).ok());
    order.ok_or_else(|| poem::Error::from_string("no lease order", StatusCode::BAD_REQUEST))
}

/// The response about a lease. Under `--cut-answers` it has half of the answer, but the digest of the whole.
fn respond(shared: &SharedState, id: &LeaseId, view: LeaseView) -> Response {
    if matches!(view.state, LeaseState::Done | LeaseState::Failed) {
        shared.leases.mark_reported(id);
    }
    let mut sha256 = String::new();
    let mut content = view.content;
    if view.state == LeaseState::Done {
        sha256 = Digest::of(&content).to_string();
        if shared.options.cut_answers {
            content = content.slice(..content.len() / 2);
        }
    }
    Response::builder()
        .header(LEASE_STATE_HEADER, view.state.to_string())
        .header(BOOT_HEADER, shared.leases.boot().to_string())
        .header(ANSWER_SHA256_HEADER, sha256)
        .body(content)
}

#[handler]
async fn get_lease(
    shared: Data<&Arc<SharedState>>,
    Path(id): Path<String>,
    query: Query<WaitQuery>,
) -> poem::Result<Response> {
    let id = parse_lease_id(&id)?;
    let view = shared.leases.wait(&id, Duration::from_millis(query.wait_ms)).await;
    Ok(respond(&shared, &id, view))
}

#[handler]
fn acknowledge(shared: Data<&Arc<SharedState>>, Path(id): Path<String>) -> poem::Result<Response> {
    let id = parse_lease_id(&id)?;
    shared.leases.acknowledge(&id);
    Ok(respond(&shared, &id, shared.leases.view(&id)))
}

#[handler]
fn prepare(
    shared: Data<&Arc<SharedState>>,
    Path(id): Path<String>,
    req: &Request,
) -> poem::Result<Response> {
    let id = parse_lease_id(&id)?;
    let view = shared.leases.prepare(&id, &lease_order(req)?);
    Ok(respond(&shared, &id, view))
}

#[handler]
fn release(
    shared: Data<&Arc<SharedState>>,
    Path(id): Path<String>,
    req: &Request,
) -> poem::Result<Response> {
    let id = parse_lease_id(&id)?;
    let view = shared.leases.release(&id, &lease_order(req)?);
    Ok(respond(&shared, &id, view))
}

#[handler]
fn stop(
    shared: Data<&Arc<SharedState>>,
    Path(id): Path<String>,
    req: &Request,
) -> poem::Result<Response> {
    let id = parse_lease_id(&id)?;
    let view = shared.leases.stop(&id, &lease_order(req)?);
    Ok(respond(&shared, &id, view))
}

#[handler]
async fn start(
    shared: Data<&Arc<SharedState>>,
    Path(id): Path<String>,
    req: &Request,
    body: Body,
    query: Query<WaitQuery>,
) -> poem::Result<Response> {
    let id = parse_lease_id(&id)?;
    let order = lease_order(req)?;
    let body = body.into_bytes().await?;
    let (view, started) = shared.leases.start(&id, &order);
    if started {
        record_start(&shared, &id, &order)?;
        spawn_tasks(Arc::clone(&shared), id.clone(), body);
    }
    if view.state != LeaseState::Running {
        return Ok(respond(&shared, &id, view));
    }
    let view = shared.leases.wait(&id, Duration::from_millis(query.wait_ms)).await;
    Ok(respond(&shared, &id, view))
}

/// Appends a line to the witness file, before the tasks of a started lease run.
fn record_start(shared: &SharedState, id: &LeaseId, order: &LeaseOrder) -> poem::Result<()> {
    let Some(file) = &shared.options.witness else { return Ok(()) };
    let line = format!("start {} {id} {} {}\n", id.job, shared.options.name, order.tasks);
    let result = OpenOptions::new()
        .create(true)
        .append(true)
        .open(file)
        .and_then(|mut f| f.write_all(line.as_bytes()));
    result.map_err(poem::error::InternalServerError)
}

/// Runs the tasks of a lease in the background and records their end.
fn spawn_tasks(shared: Arc<SharedState>, id: LeaseId, body: Bytes) {
    tokio::spawn(async move {
        let behaviour = Behaviour::from_body(&body);
        if behaviour.run_ms > 0 {
            tokio::time::sleep(Duration::from_millis(behaviour.run_ms)).await;
        }
        if behaviour.fail || shared.options.fail_all {
            let reason = Bytes::from_static(b"the task failed, as it was told to");
            shared.leases.end(&id, LeaseState::Failed, reason);
            return;
        }
        let answer = format!("{}: {} ran {}", shared.options.name, id.job, behaviour.text);
        shared.leases.end(&id, LeaseState::Done, Bytes::from(answer));
    });
}
