//! Calls to others, and their replies.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::{Interest, Token};

use super::connection::{ClientState, Connection, Role};
use super::event_loop::EventLoop;
use super::http_server::{is_connection_close, parse_length};
use super::{Event, Outcome, REPLY_HEAD_MAX};

const HEADERS_MAX: usize = 48;

/// The head of a reply.
struct ReplyHead {
    length: usize,
    status: u16,
    body_length: Option<usize>,
    close: bool,
}

/// What the input holds.
enum Parsed {
    Head(ReplyHead),
    Incomplete,
    Invalid,
}

impl EventLoop {
    /// Sends a request; the outcome comes as an event with the same tag.
    pub fn call(
        &mut self,
        tag: u64,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) {
        let message = request_message(address, method, path, body);
        let now = Instant::now();
        let state = ClientState {
            address,
            call: Some(tag),
            deadline: now + timeout,
        };
        match self.idle_connection(address) {
            Some(id) => self.call_on(id, state, message, now),
            None => {
                if self.open(state, message, now).is_none() {
                    let outcome = Outcome::NotSent;
                    self.ready.push(Event::Reply { tag, outcome });
                }
            }
        }
    }

    /// A kept-open connection that is not in use.
    fn idle_connection(&mut self, address: SocketAddr) -> Option<usize> {
        while let Some(id) = self.pool.get_mut(&address).and_then(Vec::pop) {
            match self.connections.get(&id) {
                Some(connection) if connection.eof => self.close(id),
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }

    fn call_on(&mut self, id: usize, state: ClientState, message: Vec<u8>, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.role = Role::Client(state);
        connection.output = message;
        connection.sent = 0;
        connection.used_at = now;
        self.calling.insert(id);
        self.flush(id);
    }

    /// Opens a connection for a call. `None` if that can't be done.
    fn open(&mut self, state: ClientState, message: Vec<u8>, now: Instant) -> Option<()> {
        let address = state.address;
        let is_vital = self.limits.vital.contains(&address);
        if !is_vital && !self.evict_client_if_full() {
            return None;
        }
        let mut socket = TcpStream::connect(address).ok()?;
        if is_vital {
            let _ = socket.set_nodelay(true);
        }
        let id = self.take_id();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        registry.register(&mut socket, Token(id), interest).ok()?;
        self.clients += usize::from(!is_vital);
        self.calling.insert(id);
        let connection = Connection::opening(socket, state, message, is_vital, now);
        self.connections.insert(id, connection);
        Some(())
    }

    /// Capacity for one more call to an agent: the connection idle the longest goes. False if
    /// all are in use.
    fn evict_client_if_full(&mut self) -> bool {
        if self.clients < self.clients_max {
            return true;
        }
        let mut idlest = std::mem::take(&mut self.lru_clients);
        self.close_lru(&mut idlest, |connection, limits| match &connection.role {
            Role::Client(state) => {
                (state.call.is_none() && !limits.vital.contains(&state.address)).then_some(true)
            }
            Role::Server(_) => None,
        });
        self.lru_clients = idlest;
        self.clients < self.clients_max
    }

    /// The answer is larger than what may be held: whoever asked is told, and nothing more
    /// of it is read.
    fn refuse_reply(&mut self, id: usize) {
        let role = self.connections.get_mut(&id).map(|c| &mut c.role);
        if let Some(Role::Client(state)) = role {
            if let Some(tag) = state.call.take() {
                let outcome = Outcome::TooLarge;
                self.ready.push(Event::Reply { tag, outcome });
            }
        }
        self.close(id);
    }

    pub(super) fn parse_reply(&mut self, id: usize) {
        let reply_max = self.limits.reply_max;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Role::Client(state) = &mut connection.role else {
            return;
        };
        if state.call.is_none() {
            // Nothing was asked: the other side has closed it or is confused.
            if connection.eof || !connection.input.is_empty() {
                self.close(id);
            }
            return;
        }
        let head = match parse_head(&connection.input) {
            Parsed::Head(head) => head,
            Parsed::Incomplete => return,
            Parsed::Invalid => return self.close(id),
        };
        let end = match head.body_length {
            Some(length) if length > reply_max => return self.refuse_reply(id),
            Some(length) => head.length + length,
            None if matches!(head.status, 204 | 304) => head.length,
            // Without a length the body ends with the connection.
            None if connection.input.len() > reply_max => return self.refuse_reply(id),
            None if connection.eof => connection.input.len(),
            None => return,
        };
        if connection.input.len() < end {
            return;
        }
        let body = connection.input[head.length..end].to_vec();
        connection.input.drain(..end);
        connection.used_at = self.now;
        let address = state.address;
        let tag = state.call.take();
        let reusable = !head.close
            && !connection.eof
            && connection.input.is_empty()
            && head.body_length.is_some();
        self.calling.remove(&id);
        if let Some(tag) = tag {
            let outcome = Outcome::Answer {
                status: head.status,
                body,
            };
            self.ready.push(Event::Reply { tag, outcome });
        }
        if reusable {
            self.pool.entry(address).or_default().push(id);
        } else {
            self.close(id);
        }
    }
}

fn request_message(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n");
    if !body.is_empty() || method == "POST" {
        let length = body.len();
        head.push_str("Content-Type: application/cbor\r\n");
        head.push_str(&format!("Content-Length: {length}\r\n"));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    message
}

fn parse_head(input: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() > REPLY_HEAD_MAX => return Parsed::Invalid,
        Ok(httparse::Status::Partial) => return Parsed::Incomplete,
        Err(_) => return Parsed::Invalid,
    };
    let mut head = ReplyHead {
        length,
        status: response.code.unwrap_or(0),
        body_length: None,
        close: false,
    };
    for header in response.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            head.body_length = parse_length(header.value);
        } else if is_connection_close(header) {
            head.close = true;
        }
    }
    Parsed::Head(head)
}
