//! HTTP/1.1 for the stand-ins: a server with one thread a connection, and a client with one connection a call.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often a server looks for connections.
const POLL: Duration = Duration::from_millis(1);

/// A request as a server reads it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A response: its status and its body.
pub type Response = (u16, String);

/// Answers requests; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// Serves an address until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<()> {
    serve_while(address, handler, Arc::new(|| true))
}

/// Serves an address while `is_up` holds. Otherwise nothing listens there, and all connections are closed.
pub fn serve_while(
    address: SocketAddr,
    handler: Handler,
    is_up: Arc<dyn Fn() -> bool + Send + Sync>,
) -> io::Result<()> {
    let mut listener = Some(TcpListener::bind(address)?);
    thread::spawn(move || {
        let mut connections: Vec<TcpStream> = Vec::new();
        loop {
            if !is_up() {
                listener = None;
                for connection in connections.drain(..) {
                    // It may have been closed by the other side.
                    let _ = connection.shutdown(Shutdown::Both);
                }
                thread::sleep(POLL);
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(address).ok();
                thread::sleep(POLL);
                continue;
            };
            if open.set_nonblocking(true).is_err() {
                return;
            }
            let Ok((stream, _)) = open.accept() else {
                thread::sleep(POLL);
                continue;
            };
            if stream.set_nonblocking(false).is_err() {
                continue;
            }
            connections.extend(stream.try_clone());
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handler(&request) else {
            return writer.shutdown(Shutdown::Both);
        };
        write!(
            writer,
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut words = first.split_whitespace();
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (method, path) = (method.to_owned(), path.to_owned());
    let (headers, body) = read_rest(reader)?;
    Ok(Some(Request { method, path, headers, body }))
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> io::Result<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Makes a call and waits for the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text +=
        &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = first.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let (_, body) = read_rest(&mut reader)?;
    Ok((status, body))
}
