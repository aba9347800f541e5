//! Proxies on the paths of the control hosts, which can cut one host off from everything else.
//!
//! Each host has a link port of its own and looks for the others at that port of their addresses. There a proxy receives the
//! datagrams and passes them on to the port at which the other host listens. Calls to the platform pass through a proxy as well.

use std::collections::BTreeMap;
use std::io::{self, Read as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// The largest datagram.
const DATAGRAM_MAX: usize = 65_536;

/// Which host is cut off, and until when.
#[derive(Debug, Clone)]
pub struct Cut {
    record: Record,
    state: Arc<Mutex<Option<(u8, Instant)>>>,
}

impl Cut {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), state: Arc::default() }
    }

    /// Cuts a host off for a while, unless one was cut off before.
    fn begin(&self, host: u8, span: Duration) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        if state.is_none() {
            *state = Some((host, Instant::now() + span));
            self.record.line(format!(
                "world core-{host} is cut off from the other daemons and the platform for {span:?}"
            ));
        }
    }

    /// Until when a host is cut off, if it is.
    fn of(&self, host: u8) -> Option<Instant> {
        let state = self.state.lock().expect("no thread panics while it holds the lock");
        state.filter(|(cut, until)| *cut == host && Instant::now() < *until).map(|(_, until)| until)
    }

    /// Whether a cut has begun.
    pub fn has_begun(&self) -> bool {
        self.state.lock().expect("no thread panics while it holds the lock").is_some()
    }
}

/// Passes datagrams between two hosts on, unless one of them is cut off. `None` stands for an entry.
pub fn pass_datagrams(
    at: SocketAddr,
    to: SocketAddr,
    ends: (Option<u8>, u8),
    cut: &Cut,
) -> io::Result<()> {
    let front = UdpSocket::bind(at)?;
    let cut = cut.clone();
    thread::spawn(move || {
        let is_cut = move |cut: &Cut| {
            cut.of(ends.1).is_some() || ends.0.is_some_and(|host| cut.of(host).is_some())
        };
        let mut paths: BTreeMap<SocketAddr, UdpSocket> = BTreeMap::new();
        let mut buf = vec![0; DATAGRAM_MAX];
        while let Ok((length, from)) = front.recv_from(&mut buf) {
            if is_cut(&cut) {
                continue;
            }
            if !paths.contains_key(&from) {
                let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
                let Ok(back) = UdpSocket::bind(any).and_then(|back| {
                    back.connect(to)?;
                    Ok(back)
                }) else {
                    continue;
                };
                let (Ok(reader), Ok(front)) = (back.try_clone(), front.try_clone()) else {
                    continue;
                };
                let cut = cut.clone();
                thread::spawn(move || {
                    let mut buf = vec![0; DATAGRAM_MAX];
                    loop {
                        // An error means that nothing listens there at present.
                        let Ok(length) = reader.recv(&mut buf) else {
                            thread::sleep(Duration::from_millis(10));
                            continue;
                        };
                        if !is_cut(&cut) && front.send_to(&buf[..length], from).is_err() {
                            return;
                        }
                    }
                });
                paths.insert(from, back);
            }
            if let Some(back) = paths.get(&from) {
                // A lost datagram is sent again by its sender.
                let _ = back.send(&buf[..length]);
            }
        }
    });
    Ok(())
}

/// Passes the bytes between a control host and the platform on. While the host is cut off they are held; they are lost if their
/// sender resets the connection meanwhile. `begins_cut` tells at which bytes the host is cut off, and for how long.
pub fn pass_bytes(
    at: SocketAddr,
    to: SocketAddr,
    host: u8,
    cut: &Cut,
    begins_cut: Option<fn(&str) -> Option<Duration>>,
) -> io::Result<()> {
    let listener = TcpListener::bind(at)?;
    let cut = cut.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(back) = TcpStream::connect(to) else { continue };
            let (Ok(reader), Ok(writer)) = (stream.try_clone(), back.try_clone()) else { continue };
            let (there, here) = (cut.clone(), cut.clone());
            thread::spawn(move || pass(reader, writer, host, &there, begins_cut));
            thread::spawn(move || pass(back, stream, host, &here, None));
        }
    });
    Ok(())
}

fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    host: u8,
    cut: &Cut,
    begins_cut: Option<fn(&str) -> Option<Duration>>,
) {
    let mut held: Vec<u8> = Vec::new();
    let mut has_ended = false;
    let mut buf = vec![0; DATAGRAM_MAX];
    let poll = Some(Duration::from_millis(20));
    if from.set_read_timeout(poll).is_err() {
        return;
    }
    loop {
        if !has_ended {
            match from.read(&mut buf) {
                Ok(0) => has_ended = true,
                Ok(length) => {
                    let text = String::from_utf8_lossy(&buf[..length]);
                    if let Some(span) = begins_cut.and_then(|begins| begins(&text)) {
                        cut.begin(host, span);
                    }
                    held.extend_from_slice(&buf[..length]);
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                // The sender has reset the connection: what is held is lost.
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        } else {
            thread::sleep(Duration::from_millis(10));
        }
        if cut.of(host).is_some() {
            continue;
        }
        if !held.is_empty() && to.write_all(&held).is_err() {
            return;
        }
        held.clear();
        if has_ended {
            // The other direction may already be closed.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
