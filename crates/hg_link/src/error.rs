//! What can go wrong on a link.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};

/// The step at which a link failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LinkStep {
    /// Opening the local socket.
    #[display("bind")]
    Bind,
    /// Connecting, with the TLS handshake.
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

/// Why a step failed.
#[derive(Debug, Display, From, Error)]
pub enum LinkCause {
    /// The socket failed.
    Io(std::io::Error),
    /// The connection could not be set up.
    Setup(quinn::ConnectError),
    /// The connection ended.
    Connection(quinn::ConnectionError),
    /// The stream could not be written.
    Write(quinn::WriteError),
    /// The stream could not be read.
    Read(quinn::ReadToEndError),
    /// The stream was closed already.
    Closed(quinn::ClosedStream),
    /// The message could not be decoded.
    Codec(postcard::Error),
    /// The peer speaks another version of the protocol.
    #[display("version {_0} is not spoken here")]
    #[error(ignore)]
    #[from(ignore)]
    Version(u8),
    /// The message is empty or too large.
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
    /// What was being done.
    pub step: LinkStep,
    /// The other side; the local address for [`LinkStep::Bind`].
    pub peer: SocketAddr,
    /// Why it failed.
    pub source: LinkCause,
}

impl LinkError {
    /// Names the step and the peer of a failure.
    pub(crate) fn at<C: Into<LinkCause>>(
        step: LinkStep,
        peer: SocketAddr,
    ) -> impl FnOnce(C) -> Self {
        move |cause| Self { step, peer, source: cause.into() }
    }

    /// A connection attempt that took too long.
    pub const fn connect_timeout(peer: SocketAddr) -> Self {
        Self { step: LinkStep::Connect, peer, source: LinkCause::Timeout }
    }

    /// Whether the peer was turned away because of its key.
    pub const fn is_refusal(&self) -> bool {
        matches!(self.step, LinkStep::Connect)
    }

    /// Whether the peer cannot have received the message.
    pub const fn is_unsent(&self) -> bool {
        matches!(self.step, LinkStep::Bind | LinkStep::Connect)
    }

    /// Whether the peer was just too slow.
    pub const fn is_timeout(&self) -> bool {
        matches!(self.source, LinkCause::Timeout)
    }
}
