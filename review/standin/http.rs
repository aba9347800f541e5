//! HTTP/1.1 as the stand-ins need it: a server with a thread for each connection, and single calls.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request to a stand-in.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// The value of a header, or the empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// What a stand-in does with a request.
#[derive(Debug)]
pub enum Response {
    /// Answers with a status and a JSON body.
    Answer(u16, String),
    /// Closes the connection without an answer.
    Close,
}

/// Serves one connection until it ends.
pub fn serve_connection(stream: &TcpStream, handle: &dyn Fn(&Request) -> Response) {
    drop(stream.set_nodelay(true));
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_request(&mut reader) {
        let Response::Answer(status, body) = handle(&req) else { break };
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut out = stream;
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
    drop(stream.shutdown(std::net::Shutdown::Both));
}

fn read_head(reader: &mut BufReader<&TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn length_of(headers: &[(String, String)]) -> Option<usize> {
    let found = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, value)| value.parse().ok())
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut parts = first.split(' ');
    let path = parts.nth(1)?.to_owned();
    let mut body = vec![0; length_of(&headers).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request { path, headers, body: String::from_utf8(body).ok()? })
}

/// Makes one call on a connection of its own. `None` if there is no complete answer within the limit.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    drop(stream.set_nodelay(true));
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = Vec::new();
    match length_of(&headers) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None => {
            reader.read_to_end(&mut body).ok()?;
        }
    }
    Some((status, String::from_utf8(body).ok()?))
}
