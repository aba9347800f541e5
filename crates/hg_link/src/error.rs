//! Errors of links: the failed step, the cause and the peer.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};

/// The step at which a link failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LinkStep {
    /// Opening the local socket.
    #[display("bind")]
    Bind,
    /// Connecting, which includes the TLS handshake.
    #[display("connect")]
    Connect,
    /// Opening or accepting a stream.
    #[display("stream")]
    Stream,
    /// Sending a message.
    #[display("send")]
    Send,
    /// Receiving a message.
    #[display("receive")]
    Receive,
    /// Decoding a message.
    #[display("decode")]
    Decode,
}

/// The cause of a failed step.
#[derive(Debug, Display, From, Error)]
pub enum LinkCause {
    /// The UDP socket failed.
    Io(std::io::Error),
    /// The connection attempt could not be started.
    Setup(quinn::ConnectError),
    /// The connection has ended.
    Connection(quinn::ConnectionError),
    /// Writing to the stream failed.
    Write(quinn::WriteError),
    /// Reading from the stream failed.
    Read(quinn::ReadToEndError),
    /// The stream was closed already.
    Closed(quinn::ClosedStream),
    /// The message could not be decoded.
    Codec(postcard::Error),
    /// The peer uses this other version of the protocol.
    #[display("version {_0} is not spoken here")]
    #[error(ignore)]
    #[from(ignore)]
    Version(u8),
    /// The message is empty or larger than allowed.
    #[display("the message is empty or too large")]
    #[from(ignore)]
    Size,
    /// The peer did not answer in time.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

/// A failure on a link, with the step and the peer.
#[derive(Debug, Display, Error)]
#[display("link {step} with {peer}: {source}")]
pub struct LinkError {
    /// The step that failed.
    pub step: LinkStep,
    /// The peer's address; the local address for [`LinkStep::Bind`].
    pub peer: SocketAddr,
    /// Why it failed.
    pub source: LinkCause,
}

impl LinkError {
    /// Returns a function for `map_err` that adds the step and the peer to a cause.
    pub(crate) fn at<C: Into<LinkCause>>(
        step: LinkStep,
        peer: SocketAddr,
    ) -> impl FnOnce(C) -> Self {
        move |cause| Self { step, peer, source: cause.into() }
    }

    /// The error for a connection attempt that timed out.
    pub const fn connect_timeout(peer: SocketAddr) -> Self {
        Self { step: LinkStep::Connect, peer, source: LinkCause::Timeout }
    }

    /// Whether connecting failed; for an accepted connection that means that the handshake failed,
    /// for example because the peer's certificate is not valid.
    pub const fn is_connect_failure(&self) -> bool {
        matches!(self.step, LinkStep::Connect)
    }

    /// Whether the peer cannot have received the message.
    pub const fn is_unsent(&self) -> bool {
        matches!(self.step, LinkStep::Bind | LinkStep::Connect)
    }

    /// Whether the step timed out.
    pub const fn is_timeout(&self) -> bool {
        matches!(self.source, LinkCause::Timeout)
    }
}
