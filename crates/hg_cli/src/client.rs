//! Requests to entries.

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

/// How long a request may take beyond the wait that it asks for.
const LIMIT: Duration = Duration::from_secs(15);
/// How long a connection attempt may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// A response with its JSON body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
}

impl Response {
    /// Reads the body, or turns an error body into an error.
    pub(crate) fn into_body<T: DeserializeOwned>(self) -> eyre::Result<T> {
        if !self.status.is_success() {
            return Err(eyre!("{}: {}", self.status, self.message()));
        }
        serde_json::from_value(self.body).wrap_err("the entry's answer")
    }

    /// The sentence of an error body, with the mistakes that it lists.
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

/// Asks entries in turn until one can be reached.
///
/// Each request carries an id, so asking a second entry never doubles it.
#[derive(Debug)]
pub(crate) struct Client {
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
}

impl Client {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
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
        let mut last = eyre!("no entry was named");
        for entry in &self.entries {
            let sent = self.send_to(*entry, method.clone(), path, body);
            match timeout(wait + LIMIT, sent).await {
                // Another entry may do what this one cannot do now.
                Ok(Ok(response)) if response.status != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(response);
                }
                Ok(Ok(response)) if response.body["kind"].is_string() => return Ok(response),
                Ok(Ok(response)) => last = eyre!("entry {entry}: {}", response.message()),
                Ok(Err(error)) => last = error.wrap_err(format!("entry {entry}")),
                Err(_) => last = eyre!("entry {entry}: no answer in time"),
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
