//! Requests toward upstreams.

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
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// How long a request may take beyond the wait it asks for.
const REPLY_LIMIT: Duration = Duration::from_secs(3);
/// How long an idle connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// A request toward an upstream that failed.
#[derive(Debug, Display, Error)]
#[display("upstream {peer}: {step}: {cause}")]
pub struct UpstreamError {
    /// What was asked.
    pub step: &'static str,
    /// The upstream's address.
    pub peer: SocketAddr,
    /// Whether it provably did not arrive.
    pub unsent: bool,
    /// Why it failed.
    #[error(not(source))]
    pub cause: String,
}

/// What an upstream says about a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseReply {
    /// The state of the lease.
    pub state: LeaseState,
    /// The start of the upstream's process.
    pub boot: Option<u64>,
    /// The answer, or the reason of a failure.
    pub content: Bytes,
    /// SHA-256 of the content.
    pub sha256: Digest,
}

/// A question or an order about one lease.
#[derive(Debug)]
struct Call<'a> {
    step: &'static str,
    method: Method,
    peer: SocketAddr,
    path: String,
    order: Option<&'a LeaseOrder>,
    body: Bytes,
    wait: Duration,
}

/// Sends requests to upstreams, with a bound on connections to each.
#[derive(Debug)]
pub struct UpstreamClient {
    http: Client<HttpConnector, Full<Bytes>>,
    permits: Mutex<BTreeMap<SocketAddr, Arc<Semaphore>>>,
    settings: UpstreamSettings,
    answer_bytes: usize,
    /// Retries as a share of traffic.
    pub retries: RetryBudget,
}

impl UpstreamClient {
    /// Sets the bounds.
    pub fn new(settings: UpstreamSettings, answer_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        let http = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .pool_max_idle_per_host(settings.connections)
            .build(connector);
        let retries = RetryBudget::new(settings.retry_percent);
        Self { http, permits: Mutex::default(), settings, answer_bytes, retries }
    }

    /// Asks an upstream to keep room for a lease.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if it cannot be reached or answers nonsense.
    pub async fn prepare(
        &self,
        peer: SocketAddr,
        lease: &LeaseId,
        order: &LeaseOrder,
    ) -> Result<LeaseReply, UpstreamError> {
        self.post("prepare", peer, lease, order, Bytes::new(), "").await
    }

    /// Starts a lease; waits a while for its end.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; unless it says `unsent`, the lease may have started.
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
        self.call(Call { step, method, peer, path, order: Some(order), body, wait }).await
    }

    /// Gives a lease back: a lease that has not started never will.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if it cannot be reached or answers nonsense.
    pub async fn release(
        &self,
        peer: SocketAddr,
        lease: &LeaseId,
        order: &LeaseOrder,
    ) -> Result<LeaseReply, UpstreamError> {
        self.post("release", peer, lease, order, Bytes::new(), "").await
    }

    /// Stops a lease, after a checkpoint if asked for.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if it cannot be reached or answers nonsense.
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

    /// Asks for a lease's state; waits a while for its end.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if it cannot be reached or answers nonsense.
    pub async fn look(
        &self,
        peer: SocketAddr,
        lease: &LeaseId,
        wait: bool,
    ) -> Result<LeaseReply, UpstreamError> {
        let wait_ms = if wait { self.settings.poll_ms } else { 0 };
        let path = format!("/v1/leases/{lease}?wait_ms={wait_ms}");
        let (step, method, body) = ("look", Method::GET, Bytes::new());
        let wait = Duration::from_millis(wait_ms);
        self.call(Call { step, method, peer, path, order: None, body, wait }).await
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
        self.call(Call { step, method, peer, path, order: Some(order), body, wait }).await
    }

    async fn call(&self, call: Call<'_>) -> Result<LeaseReply, UpstreamError> {
        let (step, peer) = (call.step, call.peer);
        let error = |unsent: bool, cause: String| UpstreamError { step, peer, unsent, cause };
        let limit = call.wait + REPLY_LIMIT;
        let permit = match timeout(limit, self.permit(peer)).await {
            Ok(permit) => permit,
            Err(_) => return Err(error(true, "all connections are in use".to_owned())),
        };
        self.retries.note_request();
        let req = request(call).map_err(|cause| error(true, cause))?;
        let exchange = async {
            let sent = self.http.request(req).await;
            let response = sent.map_err(|e| error(e.is_connect(), chain(&e)))?;
            self.read(response, &error).await
        };
        let result = timeout(limit, exchange).await;
        drop(permit);
        result.unwrap_or_else(|_| Err(error(false, "no answer in time".to_owned())))
    }

    async fn permit(&self, peer: SocketAddr) -> Option<OwnedSemaphorePermit> {
        let semaphore = {
            let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
            let new = || Arc::new(Semaphore::new(self.settings.connections));
            Arc::clone(permits.entry(peer).or_insert_with(new))
        };
        semaphore.acquire_owned().await.ok()
    }

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
        let boot = header(&headers, BOOT_HEADER).and_then(|text| text.parse().ok());
        let sha256 = Digest::of(&content);
        let promised = header(&headers, ANSWER_SHA256_HEADER).and_then(|text| text.parse().ok());
        if state == LeaseState::Done && promised != Some(sha256) {
            return Err(error(false, "the answer's digest does not match".to_owned()));
        }
        Ok(LeaseReply { state, boot, content, sha256 })
    }
}

fn request(call: Call<'_>) -> Result<Request<Full<Bytes>>, String> {
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

/// An error with its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
