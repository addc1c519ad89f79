//! CBOR and HTTP/1.1, as far as the protocol page needs them. Standard library only.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A CBOR value of the kinds that the protocol uses.
#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    Int(i128),
    Num(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

impl V {
    pub fn get(&self, name: &str) -> &V {
        if let V::Map(fields) = self {
            if let Some((_, value)) = fields.iter().find(|(key, _)| key == name) {
                return value;
            }
        }
        &V::Null
    }
    pub fn text(&self) -> &str {
        if let V::Text(text) = self {
            text
        } else {
            ""
        }
    }
    pub fn int(&self) -> u64 {
        match self {
            V::Int(number) => *number as u64,
            V::Num(number) => *number as u64,
            _ => 0,
        }
    }
    pub fn num(&self) -> f64 {
        match self {
            V::Int(number) => *number as f64,
            V::Num(number) => *number,
            _ => 0.0,
        }
    }
    pub fn list(&self) -> &[V] {
        if let V::List(items) = self {
            items
        } else {
            &[]
        }
    }
    pub fn is_null(&self) -> bool {
        matches!(self, V::Null)
    }
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        encode_into(self, &mut out);
        out
    }
    /// The value as JSON, for the record.
    pub fn json(&self) -> String {
        match self {
            V::Null => "null".into(),
            V::Bool(flag) => flag.to_string(),
            V::Int(number) => number.to_string(),
            V::Num(number) => format!("{number:?}"),
            V::Text(text) => format!("{text:?}"),
            V::List(items) => {
                let items: Vec<String> = items.iter().map(V::json).collect();
                format!("[{}]", items.join(","))
            }
            V::Map(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(key, value)| format!("{key:?}:{}", value.json()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn map(fields: &[(&str, V)]) -> V {
    V::Map(
        fields
            .iter()
            .map(|(key, value)| (key.to_string(), value.clone()))
            .collect(),
    )
}
pub fn t(text: &str) -> V {
    V::Text(text.to_string())
}
pub fn i(number: u64) -> V {
    V::Int(number as i128)
}

fn head(major: u8, length: u64, out: &mut Vec<u8>) {
    let major = major << 5;
    match length {
        0..=23 => out.push(major | length as u8),
        24..=0xff => out.extend([major | 24, length as u8]),
        0x100..=0xffff => {
            out.push(major | 25);
            out.extend((length as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(major | 26);
            out.extend((length as u32).to_be_bytes());
        }
        _ => {
            out.push(major | 27);
            out.extend(length.to_be_bytes());
        }
    }
}

fn encode_into(value: &V, out: &mut Vec<u8>) {
    match value {
        V::Null => out.push(0xf6),
        V::Bool(flag) => out.push(if *flag { 0xf5 } else { 0xf4 }),
        V::Int(number) if *number >= 0 => head(0, *number as u64, out),
        V::Int(number) => head(1, (-1 - number) as u64, out),
        V::Num(number) => {
            out.push(0xfb);
            out.extend(number.to_be_bytes());
        }
        V::Text(text) => {
            head(3, text.len() as u64, out);
            out.extend(text.as_bytes());
        }
        V::List(items) => {
            head(4, items.len() as u64, out);
            items.iter().for_each(|item| encode_into(item, out));
        }
        V::Map(fields) => {
            head(5, fields.len() as u64, out);
            for (key, value) in fields {
                head(3, key.len() as u64, out);
                out.extend(key.as_bytes());
                encode_into(value, out);
            }
        }
    }
}

pub fn decode(bytes: &[u8]) -> Option<V> {
    let mut at = 0;
    decode_at(bytes, &mut at, 0)
}

fn decode_at(bytes: &[u8], at: &mut usize, depth: u32) -> Option<V> {
    if depth > 64 {
        return None;
    }
    let first = *bytes.get(*at)?;
    *at += 1;
    let (major, info) = (first >> 5, first & 31);
    let mut take = |count: usize| -> Option<u64> {
        let part = bytes.get(*at..*at + count)?;
        *at += count;
        Some(
            part.iter()
                .fold(0u64, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    };
    let indefinite = info == 31;
    let number = match info {
        0..=23 => u64::from(info),
        24 => take(1)?,
        25 => take(2)?,
        26 => take(4)?,
        27 => take(8)?,
        31 => 0,
        _ => return None,
    };
    let ended = |at: &mut usize| {
        let ends = bytes.get(*at) == Some(&0xff);
        *at += usize::from(ends);
        ends
    };
    match major {
        0 => Some(V::Int(i128::from(number))),
        1 => Some(V::Int(-1 - i128::from(number))),
        2 | 3 => {
            let end = at.checked_add(number as usize)?;
            let part = bytes.get(*at..end)?;
            *at = end;
            Some(V::Text(String::from_utf8_lossy(part).to_string()))
        }
        4 => {
            let mut items = Vec::new();
            let mut left = number;
            while if indefinite { !ended(at) } else { left > 0 } {
                left = left.saturating_sub(1);
                items.push(decode_at(bytes, at, depth + 1)?);
            }
            Some(V::List(items))
        }
        5 => {
            let mut fields = Vec::new();
            let mut left = number;
            while if indefinite { !ended(at) } else { left > 0 } {
                left = left.saturating_sub(1);
                let key = decode_at(bytes, at, depth + 1)?;
                let value = decode_at(bytes, at, depth + 1)?;
                fields.push((key.text().to_string(), value));
            }
            Some(V::Map(fields))
        }
        7 => match info {
            20 => Some(V::Bool(false)),
            21 => Some(V::Bool(true)),
            22 | 23 => Some(V::Null),
            25 => Some(V::Num(half(number as u16))),
            26 => Some(V::Num(f64::from(f32::from_bits(number as u32)))),
            27 => Some(V::Num(f64::from_bits(number))),
            _ => None,
        },
        _ => None,
    }
}

fn half(bits: u16) -> f64 {
    let sign = if bits & 0x8000 != 0 { -1.0 } else { 1.0 };
    let exponent = i32::from(bits >> 10 & 31);
    let fraction = f64::from(bits & 1023);
    sign * match exponent {
        0 => fraction * 2f64.powi(-24),
        31 => f64::INFINITY,
        _ => (1.0 + fraction / 1024.0) * 2f64.powi(exponent - 15),
    }
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub path: String,
    pub status: u16,
    pub retry_after: f64,
    pub body: Vec<u8>,
    pub closes: bool,
}

/// Reads one message; `None` at the end of the connection, on an error or after `limit`.
pub fn read_message(socket: &mut TcpStream, limit: Option<Duration>) -> Option<Message> {
    let deadline = limit.map(|limit| Instant::now() + limit);
    let mut bytes = Vec::new();
    let mut part = [0u8; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).to_string();
            let mut lines = text.split("\r\n");
            let mut words = lines.next()?.split(' ');
            let mut message = Message::default();
            let first = words.next()?.to_string();
            let second = words.next()?.to_string();
            if first.starts_with("HTTP/") {
                message.status = second.parse().ok()?;
            } else {
                (message.method, message.path) = (first, second);
            }
            let mut length = 0;
            for line in lines {
                let Some((name, value)) = line.split_once(':') else {
                    continue;
                };
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().ok()?,
                    "connection" => message.closes = value.trim().eq_ignore_ascii_case("close"),
                    "retry-after" => message.retry_after = value.trim().parse().unwrap_or(0.0),
                    _ => {}
                }
            }
            if bytes.len() >= end + 4 + length {
                message.body = bytes[end + 4..end + 4 + length].to_vec();
                return Some(message);
            }
        }
        if let Some(deadline) = deadline {
            let left = deadline.checked_duration_since(Instant::now())?;
            socket
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .ok()?;
        }
        match socket.read(&mut part) {
            Ok(0) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

pub fn request_bytes(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One request on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let started = Instant::now();
    let mut socket = TcpStream::connect_timeout(&to, limit.min(Duration::from_millis(500))).ok()?;
    let _ = socket.set_nodelay(true);
    socket.write_all(&request_bytes(method, path, body)).ok()?;
    read_message(&mut socket, Some(limit.checked_sub(started.elapsed())?))
}

/// A connection that is kept for further requests.
#[derive(Default)]
pub struct Kept(Option<(SocketAddr, TcpStream)>);

impl Kept {
    pub fn close(&mut self) {
        self.0 = None;
    }
    /// Sends a request, on the kept connection if it leads to the same address. `None`: no answer;
    /// the connection is closed then.
    pub fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Option<Message> {
        let started = Instant::now();
        if self.0.as_ref().is_none_or(|(address, _)| *address != to) {
            let socket = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
            let _ = socket.set_nodelay(true);
            self.0 = Some((to, socket));
        }
        let (_, socket) = self.0.as_mut()?;
        let sent = socket.write_all(&request_bytes(method, path, body)).ok();
        let left = limit.checked_sub(started.elapsed());
        let answer = sent
            .and(left)
            .and_then(|left| read_message(socket, Some(left)));
        if answer.as_ref().is_none_or(|answer| answer.closes) {
            self.0 = None;
        }
        answer
    }
}

/// What a server does with a request: answer, or close the connection without an answer.
pub type Answer = Option<(u16, V)>;

/// Serves requests on a free loopback port, each connection on a thread of its own. The handler
/// gets the time at which the connection was accepted as well.
pub fn serve(handle: impl Fn(&Message, Instant) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            let accepted = Instant::now();
            let _ = std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    let mut socket = socket;
                    let _ = socket.set_nodelay(true);
                    while let Some(request) = read_message(&mut socket, None) {
                        let Some((status, body)) = handle(&request, accepted) else {
                            return;
                        };
                        let body = if body.is_null() {
                            Vec::new()
                        } else {
                            body.encode()
                        };
                        let mut bytes = format!(
                            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
                            body.len()
                        )
                        .into_bytes();
                        bytes.extend_from_slice(&body);
                        if socket.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                });
        }
    });
    address
}

/// A free port below the range from which the system takes ports for outgoing connections, so that
/// it stays free while a process is down.
pub fn free_port() -> u16 {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let first =
        std::process::id().wrapping_mul(7919) ^ clock.map_or(0, |clock| clock.subsec_micros());
    loop {
        let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = match std::env::var("REVIEW_PORTS")
            .ok()
            .and_then(|first| first.parse::<u16>().ok())
        {
            Some(first) => first + next as u16,
            None => 11_000 + (first.wrapping_add(next.wrapping_mul(37)) % 20_000) as u16,
        };
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
