//! Crowds of clients that do not behave: each member keeps a connection busy or open and never finishes politely.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::wait_until;

/// Length of a complete head that is over every limit.
const LONG_HEAD_BYTES: usize = 300_000;
/// What a client without an end sends before it goes on byte by byte.
const ENDLESS_BYTES: usize = 400_000;
/// Length of one header line of an endless head.
const HEADER_LINE_BYTES: usize = 8_000;
const LARGE_CHUNK_BYTES: usize = 65_536;
const SMALL_CHUNK_BYTES: usize = 32;
/// Length of a piece of a body that is sent piece by piece, and of all other writes.
const PIECE_BYTES: usize = 16_384;
/// Pause after each piece of a body, and between the bytes of a client without an end.
const PIECE_PAUSE: Duration = Duration::from_millis(5);
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);
/// One member in this many completes its request.
const COMPLETING_SHARE: usize = 10;
/// Number of times that a member connects again after the server closed its connection.
const RECONNECTIONS_MAX: usize = 20;
const RECONNECTION_PAUSE: Duration = Duration::from_millis(250);
/// After this time without progress a member counts as blocked by the server.
const BLOCKED_AFTER: Duration = Duration::from_secs(5);
/// Number of times that a member repeats a complete request on one connection.
const REPETITIONS: usize = 3;
/// Number of pipelined requests of one member.
const PIPELINED_REQUESTS: usize = 2_000;

/// What the members of a crowd do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehaviour {
    /// They send a complete head that is far too long.
    LongHead,
    /// They send header lines that never end.
    EndlessHead,
    /// They send empty lines that never end, and no request.
    EmptyLines,
    /// They send a body of legal size at once; most stop one byte before its end.
    WholeBody,
    /// They send a body of legal size in pieces; most stop one byte before its end.
    PiecewiseBody,
    /// They send a body of legal size to its end, again and again.
    CompleteBody,
    /// They send a chunked body of legal size in large chunks; most leave out the last chunk.
    LargeChunks,
    /// They send a chunked body of legal size in tiny chunks; most leave out the last chunk.
    SmallChunks,
    /// They send a chunk whose extension never ends.
    ChunkExtension,
    /// They send trailers that never end.
    Trailers,
    /// They send complete requests, one behind the other, and read no response.
    UnreadResponses,
    /// They connect and send nothing.
    Silence,
}

impl Misbehaviour {
    /// Whether the members send bodies of legal size.
    pub const fn sends_bodies(self) -> bool {
        matches!(
            self,
            Self::WholeBody
                | Self::PiecewiseBody
                | Self::CompleteBody
                | Self::LargeChunks
                | Self::SmallChunks
        )
    }
}

/// Defines a module with a test for each kind of crowd at an address. Each test calls `super::withstand` with the address and the
/// kind.
#[macro_export]
macro_rules! crowds_at {
    ($module:ident, $address:expr, $($case:ident: $behaviour:ident,)*) => {
        mod $module {
            $(
                #[tokio::test(flavor = "multi_thread")]
                async fn $case() -> eyre::Result<()> {
                    super::withstand($address, $crate::Misbehaviour::$behaviour).await
                }
            )*
        }
    };
    ($module:ident, $address:expr) => {
        $crate::crowds_at! {
            $module, $address,
            withstands_long_heads: LongHead,
            withstands_endless_heads: EndlessHead,
            withstands_empty_lines: EmptyLines,
            withstands_whole_bodies: WholeBody,
            withstands_complete_bodies: CompleteBody,
            withstands_piecewise_bodies: PiecewiseBody,
            withstands_large_chunks: LargeChunks,
            withstands_small_chunks: SmallChunks,
            withstands_chunk_extensions: ChunkExtension,
            withstands_trailers: Trailers,
            withstands_unread_responses: UnreadResponses,
            withstands_silence: Silence,
        }
    };
}

/// Where a crowd goes, and the request that it abuses.
#[derive(Debug, Clone)]
pub struct Target {
    /// The address of the server.
    pub address: SocketAddr,
    /// The path of requests with a body.
    pub path: String,
    /// The path of requests without one.
    pub read_path: String,
    /// Header lines of each request, each with its end of line.
    pub headers: String,
    /// A valid body of legal size.
    pub body: Arc<[u8]>,
}

/// A crowd of clients; dropping it closes all its connections.
#[derive(Debug)]
pub struct Crowd {
    members: Vec<JoinHandle<()>>,
    arrived: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts `count` members.
    pub fn start(target: &Target, behaviour: Misbehaviour, count: usize) -> Self {
        let arrived = Arc::new(AtomicUsize::new(0));
        let target = Arc::new(target.clone());
        let members = (0..count).map(|number| {
            let member = Member {
                target: Arc::clone(&target),
                behaviour,
                completes: number % COMPLETING_SHARE == COMPLETING_SHARE - 1,
                has_arrived: AtomicBool::new(false),
                arrived: Arc::clone(&arrived),
            };
            tokio::spawn(member.run())
        });
        Self { members: members.collect(), arrived }
    }

    /// Waits until each member has sent what it sends at first, or was stopped by the server.
    ///
    /// # Errors
    ///
    /// If that does not happen in time.
    pub async fn wait_until_arrived(&self) -> eyre::Result<()> {
        wait_until("the arrival of the crowd", async || {
            self.arrived.load(Ordering::Acquire) == self.members.len()
        })
        .await
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for member in &self.members {
            member.abort();
        }
    }
}

/// One client of a crowd.
#[derive(Debug)]
struct Member {
    target: Arc<Target>,
    behaviour: Misbehaviour,
    /// Whether it completes its request, if members of this crowd may.
    completes: bool,
    has_arrived: AtomicBool,
    arrived: Arc<AtomicUsize>,
}

impl Member {
    async fn run(self) {
        for _ in 0..=RECONNECTIONS_MAX {
            // A connection that is refused or closed is what the server is allowed to do.
            drop(self.connect_once().await);
            self.arrive();
            sleep(RECONNECTION_PAUSE).await;
        }
    }

    /// Records that the member has sent what it sends at first.
    fn arrive(&self) {
        if !self.has_arrived.swap(true, Ordering::AcqRel) {
            self.arrived.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Connects, sends, and stays until the server closes the connection.
    async fn connect_once(&self) -> std::io::Result<()> {
        let mut stream = timeout(BLOCKED_AFTER, TcpStream::connect(self.target.address)).await??;
        if timeout(BLOCKED_AFTER, self.send(&mut stream)).await.is_err() {
            // The server reads no more and keeps the connection: the member stays.
            self.arrive();
            std::future::pending::<()>().await;
        }
        self.arrive();
        match self.behaviour {
            Misbehaviour::UnreadResponses => std::future::pending().await,
            Misbehaviour::EndlessHead | Misbehaviour::ChunkExtension | Misbehaviour::Trailers => {
                trickle(&mut stream, b"x").await
            }
            Misbehaviour::EmptyLines => trickle(&mut stream, b"\r\n").await,
            Misbehaviour::CompleteBody => {
                for _ in 0..REPETITIONS {
                    // Responses are not told apart from their heads: any byte is taken for one.
                    if timeout(BLOCKED_AFTER, stream.read(&mut [0; 4_096])).await?? == 0 {
                        return Ok(());
                    }
                    self.send(&mut stream).await?;
                }
                read_to_end(&mut stream).await
            }
            _ => read_to_end(&mut stream).await,
        }
    }

    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let body = &self.target.body;
        match self.behaviour {
            Misbehaviour::Silence => Ok(()),
            Misbehaviour::LongHead => {
                let long = "x".repeat(LONG_HEAD_BYTES);
                let head = format!("{}X-Long: {long}\r\n\r\n", self.head("GET"));
                write_pieces(stream, head.as_bytes()).await
            }
            Misbehaviour::EndlessHead => {
                stream.write_all(self.head("POST").as_bytes()).await?;
                let line = format!("X-Line: {}\r\n", "x".repeat(HEADER_LINE_BYTES));
                for _ in 0..ENDLESS_BYTES / line.len() {
                    write_pieces(stream, line.as_bytes()).await?;
                }
                stream.write_all(b"X-Last: ").await
            }
            Misbehaviour::EmptyLines => {
                write_pieces(stream, "\r\n".repeat(ENDLESS_BYTES / 2).as_bytes()).await
            }
            Misbehaviour::WholeBody | Misbehaviour::PiecewiseBody | Misbehaviour::CompleteBody => {
                let head = format!("{}Content-Length: {}\r\n\r\n", self.head("POST"), body.len());
                stream.write_all(head.as_bytes()).await?;
                let completes = self.completes || self.behaviour == Misbehaviour::CompleteBody;
                let sent = if completes { body.len() } else { body.len() - 1 };
                if self.behaviour != Misbehaviour::PiecewiseBody {
                    return write_pieces(stream, &body[..sent]).await;
                }
                for piece in body[..sent].chunks(PIECE_BYTES) {
                    write_pieces(stream, piece).await?;
                    sleep(PIECE_PAUSE).await;
                }
                Ok(())
            }
            Misbehaviour::LargeChunks => self.send_chunks(stream, LARGE_CHUNK_BYTES).await,
            Misbehaviour::SmallChunks => self.send_chunks(stream, SMALL_CHUNK_BYTES).await,
            Misbehaviour::ChunkExtension => {
                self.send_chunked_head(stream).await?;
                stream.write_all(b"1;").await?;
                write_pieces(stream, "x".repeat(ENDLESS_BYTES).as_bytes()).await
            }
            Misbehaviour::Trailers => {
                self.send_chunked_head(stream).await?;
                stream.write_all(b"1\r\n \r\n0\r\n").await?;
                let line = format!("X-Line: {}\r\n", "x".repeat(HEADER_LINE_BYTES));
                for _ in 0..ENDLESS_BYTES / line.len() {
                    write_pieces(stream, line.as_bytes()).await?;
                }
                stream.write_all(b"X-Last: ").await
            }
            Misbehaviour::UnreadResponses => {
                let Target { read_path, headers, .. } = &*self.target;
                let req = format!("GET {read_path} HTTP/1.1\r\n{headers}\r\n");
                write_pieces(stream, req.repeat(PIPELINED_REQUESTS).as_bytes()).await
            }
        }
    }

    /// The head of a request up to its last line, without the empty line.
    fn head(&self, method: &str) -> String {
        let Target { path, read_path, headers, .. } = &*self.target;
        let path = if method == "GET" { read_path } else { path };
        format!("{method} {path} HTTP/1.1\r\n{headers}")
    }

    async fn send_chunked_head(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", self.head("POST"));
        stream.write_all(head.as_bytes()).await
    }

    async fn send_chunks(&self, stream: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
        self.send_chunked_head(stream).await?;
        let mut buf = Vec::with_capacity(2 * PIECE_BYTES);
        for chunk in self.target.body.chunks(bytes) {
            buf.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            buf.extend_from_slice(chunk);
            buf.extend_from_slice(b"\r\n");
            if buf.len() >= PIECE_BYTES {
                write_pieces(stream, &buf).await?;
                buf.clear();
            }
        }
        if self.completes {
            buf.extend_from_slice(b"0\r\n\r\n");
        }
        write_pieces(stream, &buf).await
    }
}

/// Writes in pieces, so that the members of a crowd take turns.
async fn write_pieces(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for piece in bytes.chunks(PIECE_BYTES) {
        stream.write_all(piece).await?;
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Sends a few bytes again and again until the server closes the connection.
async fn trickle(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    loop {
        sleep(TRICKLE_PAUSE).await;
        stream.write_all(bytes).await?;
    }
}

/// Reads and discards until the server closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut buf = [0; 1_024];
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}
