//! An HTTP client that sends requests to entries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr as _, eyre};
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::timeout;

/// Timeout of a request, in addition to the time for which it asks the entry to wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A response with its JSON body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
}

impl Response {
    /// Converts the body to `T`; fails with the error message of the body if the status is not a
    /// success.
    pub(crate) fn into_body<T: DeserializeOwned>(self) -> eyre::Result<T> {
        if !self.status.is_success() {
            return Err(eyre!("{}: {}", self.status, self.message()));
        }
        serde_json::from_value(self.body).wrap_err("unexpected body in the entry's response")
    }

    /// The error message in the body, followed by the faults that the body lists.
    pub(crate) fn message(&self) -> String {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let mut message = text(&self.body["message"]);
        for fault in self.body["faults"].as_array().into_iter().flatten() {
            message =
                format!("{message}\n  {}: {}", text(&fault["place"]), text(&fault["problem"]));
        }
        message
    }
}

/// Sends each request to the entries in order until one can be reached and is able to serve it.
///
/// Each request carries an id, so repeating it at a second entry never carries it out twice.
#[derive(Debug)]
pub(crate) struct Client {
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
}

impl Client {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http =
            hyper_util::client::legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { http, entries }
    }

    pub(crate) async fn get(&self, path: &str, wait: Duration) -> eyre::Result<Response> {
        self.send(Method::GET, path, None, wait).await
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        body: &Value,
        wait: Duration,
    ) -> eyre::Result<Response> {
        self.send(Method::POST, path, Some(body), wait).await
    }

    pub(crate) async fn put(&self, path: &str, body: &Value) -> eyre::Result<Response> {
        self.send(Method::PUT, path, Some(body), Duration::ZERO).await
    }

    pub(crate) async fn delete(&self, path: &str) -> eyre::Result<Response> {
        self.send(Method::DELETE, path, None, Duration::ZERO).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        wait: Duration,
    ) -> eyre::Result<Response> {
        let mut last = eyre!("no entry address was given");
        for entry in &self.entries {
            let sent = self.send_to(*entry, method.clone(), path, body);
            match timeout(wait + REQUEST_TIMEOUT, sent).await {
                // Another entry may be able to serve the request.
                Ok(Ok(response)) if response.status != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(response);
                }
                Ok(Ok(response)) if response.body["kind"].is_string() => return Ok(response),
                Ok(Ok(response)) => last = eyre!("entry {entry}: {}", response.message()),
                Ok(Err(error)) => last = error.wrap_err(format!("entry {entry}")),
                Err(_) => last = eyre!("entry {entry}: timed out"),
            }
        }
        Err(last)
    }

    async fn send_to(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> eyre::Result<Response> {
        let body = body.map(Value::to_string).unwrap_or_default();
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let response = self.http.request(req).await?;
        let status = response.status();
        let bytes = response.into_body().collect().await?.to_bytes();
        let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok(Response { status, body })
    }
}
