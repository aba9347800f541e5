//! A TCP connection that reports its progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connections::Connection;

/// Reports to the connection table when bytes arrive and are sent.
#[derive(Debug)]
pub(crate) struct MonitoredStream {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl MonitoredStream {
    pub(crate) const fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self { stream, connection }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.connection.record_received(Instant::now());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.connection.record_sent(Instant::now());
        Poll::Ready(Ok(sent))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.connection.record_sent(Instant::now());
        Poll::Ready(Ok(sent))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once all that was buffered has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.record_flushed(Instant::now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
