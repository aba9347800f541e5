//! Callers' requests: submit, wait, fetch, status, cancel.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hg_link::{JobView, RefusedView, Reply, Request};
use hg_model::{
    AccountName, Answer, Digest, JobClass, JobId, JobSpec, KindName, LeaseState, NotRunReason,
    Shape,
};
use poem::http::StatusCode;
use poem::web::{Data, Path, Query};
use poem::{Body, Response, handler};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use super::error::with_retry_after;
use super::{ApiError, ErrorCode, json, read_json};
use crate::{Entry, FinalAnswer};

/// How often the control leader is asked for a job that a caller waits for, if its home is another
/// entry.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// When a caller may retry after a temporary error, such as an overload.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Allowance for the fields of a job around its body, in bytes.
const JOB_FIELDS_BYTES: usize = 16 << 10;

/// A job as a caller sends it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    id: JobId,
    account: AccountName,
    kind: KindName,
    #[serde(default)]
    class: JobClass,
    shape: Shape,
    idempotent: bool,
    #[serde(default)]
    checkpointable: bool,
    #[serde(default)]
    expected_ms: u64,
    deadline_ms: u64,
    #[serde(default)]
    body: String,
    /// How long to wait for the answer, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

/// How long a request waits for an answer, in milliseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct WaitQuery {
    wait_ms: u64,
}

/// A job as shown to its caller.
#[derive(Debug, Serialize)]
struct JobBody {
    id: JobId,
    /// `queued`, `placed`, `running` or `finished`.
    state: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    waits: Option<String>,
    /// `answered`, `failed`, `not_run` or `unknown`.
    #[serde(skip_serializing_if = "Option::is_none")]
    kind: Option<hg_model::AnswerKind>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    sha256: Option<Digest>,
    #[serde(skip_serializing_if = "Option::is_none")]
    length: Option<u64>,
    /// The content of the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl JobBody {
    fn new(id: JobId, state: &str) -> Self {
        Self {
            id,
            state: state.to_owned(),
            waits: None,
            kind: None,
            reason: None,
            sha256: None,
            length: None,
            body: None,
            retry_after_ms: None,
        }
    }

    fn finished(id: JobId, answer: &Answer) -> Self {
        let mut body = Self::new(id, "finished");
        body.kind = Some(answer.kind());
        match answer {
            Answer::Answered { length, sha256 } => {
                body.length = Some(*length);
                body.sha256 = Some(*sha256);
            }
            Answer::Failed { reason } | Answer::Unknown { reason } => {
                body.reason = Some(reason.clone());
            }
            Answer::NotRun(reason) => {
                body.reason = Some(reason.to_string());
                body.retry_after_ms = retry_after_ms(reason);
            }
        }
        body
    }

    fn response(&self) -> Response {
        let status = match (&self.kind, self.retry_after_ms) {
            (None, _) => StatusCode::ACCEPTED,
            (Some(hg_model::AnswerKind::NotRun), Some(_)) => StatusCode::SERVICE_UNAVAILABLE,
            (Some(hg_model::AnswerKind::NotRun), None) => StatusCode::UNPROCESSABLE_ENTITY,
            (Some(_), _) => StatusCode::OK,
        };
        with_retry_after(json(status, self), self.retry_after_ms)
    }
}

/// After how many milliseconds a job that was not run may be submitted again, under a new id.
const fn retry_after_ms(reason: &NotRunReason) -> Option<u64> {
    match reason {
        NotRunReason::Overload | NotRunReason::BodyLost => Some(1_000),
        NotRunReason::Deadline | NotRunReason::NoUpstreamAccepted => Some(10_000),
        NotRunReason::UnknownAccount
        | NotRunReason::FitsNowhere(_)
        | NotRunReason::OverLimit(_)
        | NotRunReason::Cancelled => None,
    }
}

/// `POST /v1/jobs`.
#[handler]
pub(super) async fn submit_job(entry: Data<&Arc<Entry>>, body: Body) -> Result<Response, ApiError> {
    let entry = entry.0;
    if entry.is_stopping() {
        let error = ApiError::new(ErrorCode::Stopping, "this entry is about to end; try another");
        return Err(error.with_retry_after(RETRY_AFTER));
    }
    let _permit = entry.requests.try_acquire().map_err(|_| overloaded("too many requests"))?;
    let limit = entry.settings.limits.body_bytes;
    let body: SubmitBody = read_json(body, limit.saturating_add(JOB_FIELDS_BYTES)).await?;
    if body.body.len() > limit {
        return Err(ApiError::new(ErrorCode::TooLarge, format!("body: at most {limit} bytes")));
    }
    let wait = wait_limit(entry, body.wait_ms);
    let (spec, content) = into_spec(body);
    spec.check().map_err(|error| ApiError::new(ErrorCode::BadRequest, error.to_string()))?;
    let id = spec.id.clone();
    // The body must be held before the control leader learns of the job, since the order to run may
    // come at once.
    let is_new = entry.jobs.hold_body(&id, content).map_err(|e| overloaded(&e.to_string()))?;
    let home = entry.name.clone();
    let reply = request_control(entry, Request::Submit { spec, home }).await?;
    let is_home = matches!(&reply, Reply::Job(view) if view.home.as_ref() == Some(&entry.name));
    let is_known = matches!(reply, Reply::Job(_) | Reply::Refused(_) | Reply::Mismatch);
    if is_new && is_known && !is_home {
        // Another entry is the job's home, or the job was refused: the body is not needed here.
        entry.jobs.remove(&id);
    }
    match reply {
        Reply::Job(view) => wait_for_answer(entry, *view, wait).await,
        Reply::Refused(refused) => Ok(refused_response(id, &refused)),
        Reply::Mismatch => {
            Err(ApiError::new(ErrorCode::IdTaken, format!("id {id} belongs to another job")))
        }
        other => Err(unexpected(&other)),
    }
}

fn into_spec(body: SubmitBody) -> (JobSpec, Bytes) {
    let content = Bytes::from(body.body);
    let spec = JobSpec {
        id: body.id,
        account: body.account,
        kind: body.kind,
        class: body.class,
        shape: body.shape,
        idempotent: body.idempotent,
        checkpointable: body.checkpointable,
        expected_ms: body.expected_ms,
        deadline_ms: body.deadline_ms,
        body_sha256: Digest::of(&content),
    };
    (spec, content)
}

fn refused_response(id: JobId, refused: &RefusedView) -> Response {
    let mut body = JobBody::finished(id, &Answer::NotRun(refused.reason.clone()));
    body.retry_after_ms = refused.retry_after_ms.or(body.retry_after_ms);
    body.response()
}

/// `GET /v1/jobs/:id`.
#[handler]
pub(super) async fn get_job(
    entry: Data<&Arc<Entry>>,
    Path(id): Path<String>,
) -> Result<Response, ApiError> {
    let view = fetch_job(entry.0, &parse_id(&id)?).await?;
    Ok(job_body(&view).response())
}

/// `GET /v1/jobs/:id/answer`.
#[handler]
pub(super) async fn get_answer(
    entry: Data<&Arc<Entry>>,
    Path(id): Path<String>,
    query: Query<WaitQuery>,
) -> Result<Response, ApiError> {
    let _permit = entry.requests.try_acquire().map_err(|_| overloaded("too many requests"))?;
    let view = fetch_job(entry.0, &parse_id(&id)?).await?;
    wait_for_answer(entry.0, view, wait_limit(entry.0, query.wait_ms)).await
}

/// `DELETE /v1/jobs/:id`.
#[handler]
pub(super) async fn cancel_job(
    entry: Data<&Arc<Entry>>,
    Path(id): Path<String>,
) -> Result<Response, ApiError> {
    let id = parse_id(&id)?;
    match request_control(entry.0, Request::Cancel(id.clone())).await? {
        Reply::Job(view) => Ok(job_body(&view).response()),
        Reply::NoJob => Err(no_job(&id)),
        other => Err(unexpected(&other)),
    }
}

/// `GET /v1/jobs/:id/why`.
#[handler]
pub(super) async fn get_why(
    entry: Data<&Arc<Entry>>,
    Path(id): Path<String>,
) -> Result<Response, ApiError> {
    let id = parse_id(&id)?;
    match request_control(entry.0, Request::Why(id.clone())).await? {
        Reply::Why(lines) => Ok(json(StatusCode::OK, &lines)),
        Reply::NoJob => Err(no_job(&id)),
        other => Err(unexpected(&other)),
    }
}

fn parse_id(text: &str) -> Result<JobId, ApiError> {
    JobId::new(text).map_err(|error| ApiError::new(ErrorCode::BadRequest, error.to_string()))
}

fn wait_limit(entry: &Entry, wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms.min(entry.settings.limits.wait_ms))
}

/// Asks the control leader for a job.
async fn fetch_job(entry: &Entry, id: &JobId) -> Result<JobView, ApiError> {
    match request_control(entry, Request::Job(id.clone())).await? {
        Reply::Job(view) => Ok(*view),
        Reply::NoJob => Err(no_job(id)),
        other => Err(unexpected(&other)),
    }
}

/// Waits for the final answer, from this entry's runner or by polling the control leader.
async fn wait_for_answer(
    entry: &Entry,
    view: JobView,
    limit: Duration,
) -> Result<Response, ApiError> {
    let deadline = Instant::now() + limit;
    let mut view = view;
    loop {
        if view.answer.is_some() {
            return answer_response(entry, &view).await;
        }
        if Instant::now() >= deadline {
            return Ok(job_body(&view).response());
        }
        let receiver =
            entry.jobs.subscribe(&view.id).filter(|_| view.home.as_ref() == Some(&entry.name));
        match receiver {
            Some(mut rx) => {
                // The runner here publishes the final answer at once; the control leader is still
                // polled, less often.
                let rest = deadline.saturating_duration_since(Instant::now());
                let poll_again = rest.min(POLL_INTERVAL * 20);
                if let Ok(Ok(watched)) = timeout(poll_again, rx.wait_for(Option::is_some)).await
                    && let Some(final_answer) = watched.clone()
                    && let Some(response) = held_answer_response(&view.id, &final_answer)
                {
                    return Ok(response);
                }
            }
            None => sleep(POLL_INTERVAL).await,
        }
        view = fetch_job(entry, &view.id).await?;
    }
}

/// A response with the answer that this entry holds; `None` if its content must be fetched.
fn held_answer_response(id: &JobId, final_answer: &FinalAnswer) -> Option<Response> {
    let mut body = JobBody::finished(id.clone(), &final_answer.answer);
    if matches!(final_answer.answer, Answer::Answered { .. }) {
        body.body = Some(text_of(final_answer.content.as_ref()?));
    }
    Some(body.response())
}

/// A response with the content of the answer, if the job has a final answer.
async fn answer_response(entry: &Entry, view: &JobView) -> Result<Response, ApiError> {
    let Some(answer) = &view.answer else { return Ok(job_body(view).response()) };
    let mut body = JobBody::finished(view.id.clone(), answer);
    if let Answer::Answered { length, sha256 } = answer {
        let content = fetch_content(entry, view, *length, sha256).await?;
        body.body = Some(text_of(&content));
    }
    Ok(body.response())
}

/// The content of an answer, from this entry or from the upstream that produced it.
///
/// The content must have the given length and digest.
async fn fetch_content(
    entry: &Entry,
    view: &JobView,
    length: u64,
    sha256: &Digest,
) -> Result<Bytes, ApiError> {
    let is_intact =
        |content: &Bytes| content.len() as u64 == length && Digest::of(content) == *sha256;
    let held = entry.jobs.subscribe(&view.id).and_then(|rx| rx.borrow().clone()?.content);
    if let Some(content) = held.filter(is_intact) {
        return Ok(content);
    }
    let unavailable = |cause: String| {
        ApiError::new(ErrorCode::AnswerUnavailable, cause).with_retry_after(RETRY_AFTER)
    };
    let source = view.source.as_ref();
    let source = source.ok_or_else(|| unavailable("its upstream is unknown".to_owned()))?;
    let address = source.address;
    let address = address.ok_or_else(|| unavailable("its upstream is not heard now".to_owned()))?;
    let reply = entry.client.query(address, &source.lease, false).await;
    let reply = reply.map_err(|error| unavailable(error.to_string()))?;
    if reply.state != LeaseState::Done || !is_intact(&reply.content) {
        return Err(unavailable("its upstream no longer keeps it".to_owned()));
    }
    Ok(reply.content)
}

fn text_of(content: &Bytes) -> String {
    String::from_utf8_lossy(content).into_owned()
}

/// A job as shown to its caller, without the content of its answer.
fn job_body(view: &JobView) -> JobBody {
    if let Some(answer) = &view.answer {
        return JobBody::finished(view.id.clone(), answer);
    }
    let mut body = JobBody::new(view.id.clone(), &view.state);
    body.waits.clone_from(&view.waits);
    body
}

/// Sends a request to the control leader, with the time limit `control_ms` of the settings.
pub(super) async fn request_control(entry: &Entry, req: Request) -> Result<Reply, ApiError> {
    let limit = Duration::from_millis(entry.settings.limits.control_ms);
    entry.control.request(&req, limit).await.map_err(|error| {
        ApiError::new(ErrorCode::ControlUnavailable, error.to_string())
            .with_retry_after(RETRY_AFTER)
    })
}

pub(super) fn unexpected(reply: &Reply) -> ApiError {
    ApiError::new(
        ErrorCode::ControlUnavailable,
        format!("control gave an unexpected reply: {reply:?}"),
    )
}

pub(super) fn overloaded(message: &str) -> ApiError {
    ApiError::new(ErrorCode::Overloaded, format!("not run: {message}"))
        .with_retry_after(RETRY_AFTER)
}

fn no_job(id: &JobId) -> ApiError {
    ApiError::new(ErrorCode::NotFound, format!("no job {id} is remembered"))
}
