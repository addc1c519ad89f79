//! Blocking HTTP for the tests: one message at a time on a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Largest number of headers in a message.
const HEADERS_MAX: usize = 32;

/// An HTTP request or answer.
pub(crate) struct Message {
    pub method: String,
    pub path: String,
    /// The status code of an answer; `None` in a request.
    pub status: Option<u16>,
    pub body: Vec<u8>,
    /// Whether the sender closes the connection after this message.
    pub closes: bool,
}

/// Parses the head of a message; returns the lengths of the head and of the body, and the message
/// without its body. `None` if the head is incomplete.
fn parse_head(bytes: &[u8]) -> Option<(usize, usize, Message)> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut message = Message {
        method: String::new(),
        path: String::new(),
        status: None,
        body: vec![],
        closes: false,
    };
    let length = if bytes.starts_with(b"HTTP/") {
        let mut answer = httparse::Response::new(&mut headers);
        let parsed = answer.parse(bytes).expect("malformed head of an answer");
        message.status = answer.code;
        parsed
    } else {
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(bytes).expect("malformed head of a request");
        message.method = request.method.unwrap_or("").to_string();
        message.path = request.path.unwrap_or("").to_string();
        parsed
    };
    let httparse::Status::Complete(length) = length else {
        return None;
    };
    let header = |name: &str| {
        let found = headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        found.map_or("", |header| {
            std::str::from_utf8(header.value).expect("header is not UTF-8")
        })
    };
    message.closes = header("connection").eq_ignore_ascii_case("close");
    let body_length = header("content-length").trim().parse().unwrap_or(0);
    Some((length, body_length, message))
}

/// Reads one message; `None` if the connection fails or is closed before the message is complete.
pub(crate) fn read_message(socket: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut part = [0u8; 4096];
    loop {
        if let Some((head, body, message)) = parse_head(&bytes) {
            if bytes.len() >= head + body {
                let body = bytes[head..head + body].to_vec();
                return Some(Message { body, ..message });
            }
        }
        let count = socket.read(&mut part).ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..count]);
    }
}

/// Sends a request on a connection of its own; returns the status and the body of the answer.
pub(crate) fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let mut socket = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    socket.write_all(head.as_bytes()).ok()?;
    socket.write_all(body).ok()?;
    let answer = read_message(&mut socket)?;
    Some((answer.status?, answer.body))
}

/// Serves requests, each connection on a thread of its own; returns the address.
pub(crate) fn serve(
    handle: impl Fn(&Message) -> (u16, Vec<u8>) + Clone + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot listen on a port");
    let address = listener.local_addr().expect("socket has no local address");
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || serve_connection(socket, handle));
        }
    });
    address
}

fn serve_connection(mut socket: TcpStream, handle: impl Fn(&Message) -> (u16, Vec<u8>)) {
    while let Some(request) = read_message(&mut socket) {
        let (status, body) = handle(&request);
        let length = body.len();
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n");
        if socket.write_all(head.as_bytes()).is_err() || socket.write_all(&body).is_err() {
            return;
        }
    }
}

/// A port that no socket uses at the moment.
pub(crate) fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot listen on a port");
    listener
        .local_addr()
        .expect("socket has no local address")
        .port()
}
