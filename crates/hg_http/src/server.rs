//! Accepts connections and serves them within the limits.

use std::convert::Infallible;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::http::header::{CONNECTION, RETRY_AFTER};
use poem::http::uri::Scheme;
use poem::http::{HeaderValue, Method, StatusCode};
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Addr, Body, Endpoint, EndpointExt as _, IntoEndpoint, Request, Response};
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::connection_table::ConnectionTable;
use crate::connections::{Connection, Connections};
use crate::metered_body::MeteredBody;
use crate::monitored_stream::MonitoredStream;
use crate::refusal::RefusalLog;
use crate::{HttpLimits, RefusalReason};

type HttpResponse = hyper::Response<BoxBody<Bytes, io::Error>>;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Interval of the checks for connections that take too long.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, such as for want of a file.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// One connection more for this many may be open for the moment that a replaced one takes to close.
const REPLACED_SHARE: usize = 8;
/// The smallest buffer that hyper accepts for a head.
const HEAD_BUFFER_MIN_BYTES: usize = 8 << 10;
/// When a client that was refused may come back, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// The response on a connection that is not served.
const UNSERVED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// A server whose address is bound.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    limits: watch::Receiver<HttpLimits>,
    refusal: fn() -> Response,
    log: Logger,
}

/// What all connections of a server share.
#[derive(Debug)]
struct Shared<E> {
    endpoint: E,
    address: SocketAddr,
    refusal: fn() -> Response,
}

impl Server {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn bind(address: SocketAddr, limits: HttpLimits, log: Logger) -> io::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit the sizes. A system that does not let them be set has limits of its own.
        let bytes = limits.socket_buffer_bytes;
        let set = socket.set_recv_buffer_size(bytes).and(socket.set_send_buffer_size(bytes));
        if let Err(error) = set {
            warn!(log, "http: the buffers of connections keep their size";
                "event" => "http.socket_buffer", "error" => %error);
        }
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        // The limits stay as they are when the sender is dropped.
        let (_, limits) = watch::channel(limits);
        Ok(Self { listener, address, limits, refusal: unavailable, log })
    }

    /// Sets the response to requests that are refused; it must say that they did not run.
    #[must_use]
    pub fn with_refusal(mut self, refusal: fn() -> Response) -> Self {
        self.refusal = refusal;
        self
    }

    /// Sets limits that may change. The system's buffers keep the size that they had when the address was bound.
    #[must_use]
    pub fn with_limits(mut self, limits: watch::Receiver<HttpLimits>) -> Self {
        self.limits = limits;
        self
    }

    /// The address at which the server listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `shutdown` is ready; requests in progress may then take `drain_limit`.
    pub async fn run<E>(
        self,
        endpoint: E,
        shutdown: impl Future<Output = ()>,
        drain_limit: Duration,
    ) where
        E: IntoEndpoint,
        E::Endpoint: 'static,
    {
        let Self { listener, address, limits: mut limits_rx, refusal, log } = self;
        let mut limits = *limits_rx.borrow_and_update();
        let endpoint = endpoint.into_endpoint().map_to_response();
        let shared = Arc::new(Shared { endpoint, address, refusal });
        let refusals = RefusalLog::new(address, log.clone());
        let connections = Arc::new(Connections::new(ConnectionTable::new(limits), refusals));
        let checks = tokio::spawn(check_connections(Arc::clone(&connections)));
        // Connections are closed when the sender is dropped.
        let (draining, drain) = watch::channel(false);
        let mut shutdown = pin!(shutdown);
        loop {
            tokio::select! {
                () = &mut shutdown => break,
                Ok(()) = limits_rx.changed() => {
                    limits = *limits_rx.borrow_and_update();
                    connections.set_limits(limits);
                }
                accepted = accept(&listener, &connections, limits) => match accepted {
                    Ok((stream, remote)) => match connections.admit(Instant::now()) {
                        Some(connection) => {
                            let shared = Arc::clone(&shared);
                            let serving = serve(
                                stream,
                                remote,
                                connection,
                                limits.head_bytes,
                                shared,
                                drain.clone(),
                            );
                            tokio::spawn(serving);
                        }
                        None => turn_away(stream),
                    },
                    Err(error) => {
                        warn!(log, "http: a connection could not be accepted";
                            "event" => "http.accept_failed", "error" => %error);
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        }
        drop(listener);
        draining.send_replace(true);
        // What is not finished in time is closed.
        drop(timeout(drain_limit, connections.wait_for_at_most(0)).await);
        drop(draining);
        checks.abort();
    }
}

/// Accepts a connection once those that were replaced have been closed, but for a few.
async fn accept(
    listener: &TcpListener,
    connections: &Connections,
    limits: HttpLimits,
) -> io::Result<(TcpStream, SocketAddr)> {
    connections.wait_for_at_most(limits.connections + limits.connections / REPLACED_SHARE).await;
    listener.accept().await
}

/// Closes connections that take too long, until the task is aborted.
async fn check_connections(connections: Arc<Connections>) {
    loop {
        connections.wait_for_any().await;
        let before = Instant::now();
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        // After a pause of the process itself, what arrived meanwhile is read first.
        if now.duration_since(before) < 2 * CHECK_INTERVAL {
            connections.close_overdue(now);
        }
    }
}

/// Tells a client that it is not served and closes its connection.
fn turn_away(stream: TcpStream) {
    // The connection is closed in any case, and a client that gets no response has to assume nothing more.
    drop(stream.into_std().and_then(|mut stream| stream.write(UNSERVED)));
}

/// Serves one connection until it is closed.
async fn serve<E>(
    stream: TcpStream,
    remote: SocketAddr,
    connection: Connection,
    head_bytes: usize,
    shared: Arc<Shared<E>>,
    mut drain: watch::Receiver<bool>,
) where
    E: Endpoint<Output = Response> + 'static,
{
    let connection = Arc::new(connection);
    let service = service_fn(|req| {
        let (shared, connection) = (Arc::clone(&shared), Arc::clone(&connection));
        async move { Ok::<_, Infallible>(respond(req, remote, connection, &shared).await) }
    });
    let stream = TokioIo::new(MonitoredStream::new(stream, Arc::clone(&connection)));
    let conn = http1::Builder::new()
        .max_buf_size(head_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .max_header_size(head_bytes)
        .serve_connection(stream, service);
    let mut conn = pin!(conn);
    let mut is_draining = false;
    let result = loop {
        tokio::select! {
            result = &mut conn => break result,
            () = connection.closed() => return,
            changed = drain.changed() => {
                if changed.is_err() {
                    return;
                }
                if !is_draining {
                    is_draining = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    };
    // Other errors are connections that clients gave up.
    match result {
        Err(error) if error.is_parse_too_large() => {
            connection.record_refusal(Instant::now(), RefusalReason::LongHead);
        }
        Err(error) if error.is_parse() => {
            connection.record_refusal(Instant::now(), RefusalReason::Malformed);
        }
        Ok(()) | Err(_) => {}
    }
}

/// Responds to one request.
async fn respond<E>(
    req: hyper::Request<Incoming>,
    remote: SocketAddr,
    connection: Arc<Connection>,
    shared: &Shared<E>,
) -> HttpResponse
where
    E: Endpoint<Output = Response>,
{
    // A client that reads no responses gets no more requests served.
    connection.flushed().await;
    let has_body = !req.body().is_end_stream();
    let may_withhold = matches!(*req.method(), Method::GET | Method::HEAD);
    connection.record_head(Instant::now(), has_body);
    let (local, remote) = (LocalAddr(Addr::from(shared.address)), RemoteAddr(Addr::from(remote)));
    let mut req = Request::from((req, local, remote, Scheme::HTTP));
    if has_body {
        let body = MeteredBody::new(req.take_body().into(), Arc::clone(&connection));
        req.set_body(Body::from(BoxBody::new(body)));
    }
    let response = tokio::select! {
        biased;
        () = connection.refused() => refused(shared),
        response = shared.endpoint.get_response(req) => response,
    };
    let is_success = response.status().is_success();
    let response = HttpResponse::from(response);
    let bytes = response.body().size_hint().exact().unwrap_or_default();
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    let now = Instant::now();
    let decision = connection.record_response(now, bytes, is_success, may_withhold);
    let mut response = if decision.is_sent { response } else { refused(shared).into() };
    if decision.ends_connection {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The response to a request that is refused; the connection is closed with it.
fn refused<E>(shared: &Shared<E>) -> Response {
    let mut response = (shared.refusal)();
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A response that says that a request did not run.
fn unavailable() -> Response {
    let mut response = Response::from(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}
