//! A client of the HTTP interface of entry processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::timeout;

/// Limit for the response head of a request, and again for its body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);

/// A response to an HTTP request.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The JSON body; null if there is none or if it is not JSON.
    pub body: Value,
    /// The value of the `Retry-After` header, if present.
    pub retry_after: Option<String>,
}

/// An HTTP client of one entry process.
#[derive(Debug, Clone)]
pub struct Api {
    http: Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
}

impl Api {
    /// Creates a client of the entry at this address; connects on the first request.
    pub fn new(entry: SocketAddr) -> Self {
        Self { http: Client::builder(TokioExecutor::new()).build_http(), entry }
    }

    /// Sends a request; its body need not be valid JSON.
    ///
    /// # Errors
    ///
    /// If the entry cannot be reached or does not respond in time.
    pub async fn send(&self, method: Method, path: &str, body: String) -> eyre::Result<Reply> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let response = timeout(REQUEST_TIMEOUT, self.http.request(req)).await??;
        let status = response.status().as_u16();
        let retry_after = response.headers().get("retry-after").and_then(|v| v.to_str().ok());
        let retry_after = retry_after.map(str::to_owned);
        let bytes = timeout(REQUEST_TIMEOUT, response.into_body().collect()).await??.to_bytes();
        let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok(Reply { status, body, retry_after })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// As [`Api::send`].
    pub async fn get(&self, path: &str) -> eyre::Result<Reply> {
        self.send(Method::GET, path, String::new()).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`Api::send`].
    pub async fn post(&self, path: &str, body: &Value) -> eyre::Result<Reply> {
        self.send(Method::POST, path, body.to_string()).await
    }

    /// Submits a job with `POST /v1/jobs`.
    ///
    /// # Errors
    ///
    /// As [`Api::send`].
    pub async fn submit(&self, job: &Value) -> eyre::Result<Reply> {
        self.post("/v1/jobs", job).await
    }

    /// Replaces the lists of plans and client accounts as operation `op`, if their version is `expect`.
    ///
    /// # Errors
    ///
    /// As [`Api::send`].
    pub async fn put_lists(&self, op: &str, expect: u64, lists: &Value) -> eyre::Result<Reply> {
        let body = json!({ "operation": op, "expect": expect, "lists": lists });
        self.send(Method::PUT, "/v1/lists", body.to_string()).await
    }
}

/// A job with one small task that runs for `run_ms`, submitted with a wait of `wait_ms` for its answer.
pub fn job(id: &str, idempotent: bool, run_ms: u64, wait_ms: u64) -> Value {
    json!({
        "id": id,
        "account": "lindqvist",
        "kind": "quick-quote",
        "shape": { "tasks": 1, "per_task": { "accelerators": 1, "processors": 1, "memory_mib": 64 } },
        "idempotent": idempotent,
        "deadline_ms": 60_000,
        "body": json!({ "run_ms": run_ms, "text": id }).to_string(),
        "wait_ms": wait_ms,
    })
}
