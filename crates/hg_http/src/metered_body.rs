//! The body of a request, charged to the server's memory while it arrives.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame, SizeHint};

use crate::connections::Connection;

/// A reader that collects a body holds up to this many times its content.
const COLLECTED_FACTOR: usize = 2;

/// A body whose bytes are charged before the endpoint gets them. They are released when the endpoint has read it or given it up.
#[derive(Debug)]
pub(crate) struct MeteredBody {
    inner: BoxBody<Bytes, io::Error>,
    connection: Arc<Connection>,
    /// Content that waits for memory.
    uncharged: Option<Bytes>,
}

impl MeteredBody {
    pub(crate) const fn new(inner: BoxBody<Bytes, io::Error>, connection: Arc<Connection>) -> Self {
        Self { inner, connection, uncharged: None }
    }

    /// Passes the content on once it is charged. Stays pending if the request is refused: the server answers it then.
    fn poll_charged(&mut self, cx: &Context<'_>, data: Bytes) -> Poll<Frame<Bytes>> {
        let bytes = data.len() * COLLECTED_FACTOR;
        match self.connection.poll_charge(cx, Instant::now(), bytes) {
            Poll::Ready(()) => Poll::Ready(Frame::data(data)),
            Poll::Pending => {
                self.uncharged = Some(data);
                Poll::Pending
            }
        }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(data) = self.uncharged.take() {
            return self.poll_charged(cx, data).map(|frame| Some(Ok(frame)));
        }
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match frame.transpose()? {
            Some(frame) => match frame.into_data() {
                Ok(data) => self.poll_charged(cx, data).map(|frame| Some(Ok(frame))),
                Err(trailers) => Poll::Ready(Some(Ok(trailers))),
            },
            None if self.connection.record_body() => Poll::Ready(None),
            // The request was refused while its last bytes arrived; the server answers it.
            None => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for MeteredBody {
    fn drop(&mut self) {
        self.connection.release();
    }
}
