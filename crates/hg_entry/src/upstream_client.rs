//! HTTP client for the lease interface of upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use hg_model::{
    ANSWER_SHA256_HEADER, BOOT_HEADER, Digest, LEASE_ORDER_HEADER, LEASE_STATE_HEADER, LeaseId,
    LeaseOrder, LeaseState,
};
use hg_settings::UpstreamSettings;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::RetryBudget;

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request may take beyond the wait that it asks the upstream for.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A failed request to an upstream.
#[derive(Debug, Display, Error)]
#[display("upstream {peer}: {step}: {cause}")]
pub struct UpstreamError {
    /// The kind of the request.
    pub step: &'static str,
    /// The upstream's address.
    pub peer: SocketAddr,
    /// Whether the request provably did not reach the upstream.
    pub unsent: bool,
    /// Why the request failed.
    #[error(not(source))]
    pub cause: String,
}

/// An upstream's reply to a request about a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseReply {
    /// The state of the lease.
    pub state: LeaseState,
    /// The incarnation of the upstream's process, if the reply names it.
    pub incarnation: Option<u64>,
    /// The content of the answer, or the reason of a failure.
    pub content: Bytes,
    /// SHA-256 of the content.
    pub sha256: Digest,
}

/// A request about one lease.
#[derive(Debug)]
struct LeaseCall<'a> {
    step: &'static str,
    method: Method,
    peer: SocketAddr,
    path: String,
    order: Option<&'a LeaseOrder>,
    body: Bytes,
    wait: Duration,
}

/// Sends requests to upstreams, over a limited number of connections to each.
#[derive(Debug)]
pub struct UpstreamClient {
    http: Client<HttpConnector, Full<Bytes>>,
    permits: Mutex<BTreeMap<SocketAddr, Arc<Semaphore>>>,
    settings: UpstreamSettings,
    answer_bytes: usize,
    /// Limits retries to a share of all requests.
    pub retries: RetryBudget,
}

impl UpstreamClient {
    /// A client that reads answers of at most `answer_bytes` bytes.
    pub fn new(settings: UpstreamSettings, answer_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(settings.connections)
            .build(connector);
        let retries = RetryBudget::new(settings.retry_percent);
        Self { http, permits: Mutex::default(), settings, answer_bytes, retries }
    }

    /// Asks an upstream to reserve capacity for a lease.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if the upstream cannot be reached or its reply is invalid.
    pub async fn prepare(
        &self,
        peer: SocketAddr,
        lease: &LeaseId,
        order: &LeaseOrder,
    ) -> Result<LeaseReply, UpstreamError> {
        self.post("prepare", peer, lease, order, Bytes::new(), "").await
    }

    /// Starts a lease, and waits up to the `poll_ms` of the settings for its end.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; unless it is marked `unsent`, the lease may have started.
    pub async fn start(
        &self,
        peer: SocketAddr,
        lease: &LeaseId,
        order: &LeaseOrder,
        body: Bytes,
    ) -> Result<LeaseReply, UpstreamError> {
        let wait = Duration::from_millis(self.settings.poll_ms);
        let path = format!("/v1/leases/{lease}/start?wait_ms={}", wait.as_millis());
        let (step, method) = ("start", Method::POST);
        self.call(LeaseCall { step, method, peer, path, order: Some(order), body, wait }).await
    }

    /// Releases a lease: a lease that has not started never will.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if the upstream cannot be reached or its reply is invalid.
    pub async fn release(
        &self,
        peer: SocketAddr,
        lease: &LeaseId,
        order: &LeaseOrder,
    ) -> Result<LeaseReply, UpstreamError> {
        self.post("release", peer, lease, order, Bytes::new(), "").await
    }

    /// Stops a lease, after a checkpoint if `checkpoint` is set.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if the upstream cannot be reached or its reply is invalid.
    pub async fn stop(
        &self,
        peer: SocketAddr,
        lease: &LeaseId,
        order: &LeaseOrder,
        checkpoint: bool,
    ) -> Result<LeaseReply, UpstreamError> {
        let query = if checkpoint { "?checkpoint=true" } else { "" };
        self.post("stop", peer, lease, order, Bytes::new(), query).await
    }

    /// Queries a lease's state; with `wait`, waits up to the `poll_ms` of the settings for its end.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if the upstream cannot be reached or its reply is invalid.
    pub async fn query(
        &self,
        peer: SocketAddr,
        lease: &LeaseId,
        wait: bool,
    ) -> Result<LeaseReply, UpstreamError> {
        let wait_ms = if wait { self.settings.poll_ms } else { 0 };
        let path = format!("/v1/leases/{lease}?wait_ms={wait_ms}");
        let (step, method, body) = ("look", Method::GET, Bytes::new());
        let wait = Duration::from_millis(wait_ms);
        self.call(LeaseCall { step, method, peer, path, order: None, body, wait }).await
    }

    async fn post(
        &self,
        step: &'static str,
        peer: SocketAddr,
        lease: &LeaseId,
        order: &LeaseOrder,
        body: Bytes,
        query: &str,
    ) -> Result<LeaseReply, UpstreamError> {
        let path = format!("/v1/leases/{lease}/{step}{query}");
        let (method, wait) = (Method::POST, Duration::ZERO);
        self.call(LeaseCall { step, method, peer, path, order: Some(order), body, wait }).await
    }

    async fn call(&self, call: LeaseCall<'_>) -> Result<LeaseReply, UpstreamError> {
        let (step, peer) = (call.step, call.peer);
        let error = |unsent: bool, cause: String| UpstreamError { step, peer, unsent, cause };
        let limit = call.wait + REPLY_TIMEOUT;
        let permit = match timeout(limit, self.permit(peer)).await {
            Ok(permit) => permit,
            Err(_) => return Err(error(true, "all connections are in use".to_owned())),
        };
        self.retries.record_request();
        let req = request(call).map_err(|cause| error(true, cause))?;
        let exchange = async {
            let sent = self.http.request(req).await;
            let response = sent.map_err(|e| error(e.is_connect(), error_chain(&e)))?;
            self.read(response, &error).await
        };
        let result = timeout(limit, exchange).await;
        drop(permit);
        result.unwrap_or_else(|_| Err(error(false, "no answer in time".to_owned())))
    }

    /// Waits for a free connection to an upstream.
    async fn permit(&self, peer: SocketAddr) -> Option<OwnedSemaphorePermit> {
        let semaphore = {
            let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
            let new = || Arc::new(Semaphore::new(self.settings.connections));
            Arc::clone(permits.entry(peer).or_insert_with(new))
        };
        semaphore.acquire_owned().await.ok()
    }

    /// Reads a reply, and checks the digest of an answer.
    async fn read(
        &self,
        response: Response<hyper::body::Incoming>,
        error: &impl Fn(bool, String) -> UpstreamError,
    ) -> Result<LeaseReply, UpstreamError> {
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), self.answer_bytes).collect().await;
        let content = body.map_err(|e| error(false, format!("answer: {e}")))?.to_bytes();
        let state = header(&headers, LEASE_STATE_HEADER).and_then(|text| text.parse().ok());
        let state = state.ok_or_else(|| error(false, "no lease state in the answer".to_owned()))?;
        let incarnation = header(&headers, BOOT_HEADER).and_then(|text| text.parse().ok());
        let sha256 = Digest::of(&content);
        let expected = header(&headers, ANSWER_SHA256_HEADER).and_then(|text| text.parse().ok());
        if state == LeaseState::Done && expected != Some(sha256) {
            return Err(error(false, "the answer's digest does not match".to_owned()));
        }
        Ok(LeaseReply { state, incarnation, content, sha256 })
    }
}

fn request(call: LeaseCall<'_>) -> Result<Request<Full<Bytes>>, String> {
    let uri = format!("http://{}{}", call.peer, call.path);
    let mut builder = Request::builder().method(call.method).uri(uri);
    if let Some(order) = call.order {
        let order = serde_json::to_string(order).map_err(|e| e.to_string())?;
        builder = builder.header(LEASE_ORDER_HEADER, order);
    }
    builder.body(Full::new(call.body)).map_err(|e| e.to_string())
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The text of an error and all its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
