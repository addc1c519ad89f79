//! CBOR and HTTP/1.1, as far as the stand-ins need them. Standard library only.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A CBOR value without bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        let Value::Map(fields) = self else {
            return None;
        };
        let found = fields.iter().find(|(key, _)| key.text() == Some(name));
        found
            .map(|(_, value)| value)
            .filter(|value| **value != Value::Null)
    }
    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }
    pub fn int(&self) -> Option<u64> {
        match self {
            Value::Int(int) => u64::try_from(*int).ok(),
            _ => None,
        }
    }
    pub fn num(&self) -> Option<f64> {
        match self {
            Value::Int(int) => Some(*int as f64),
            Value::Float(float) => Some(*float),
            _ => None,
        }
    }
    pub fn list(&self) -> &[Value] {
        match self {
            Value::Array(list) => list,
            _ => &[],
        }
    }
    pub fn str_of(&self, name: &str) -> String {
        self.get(name)
            .and_then(Value::text)
            .unwrap_or("")
            .to_string()
    }
    pub fn int_of(&self, name: &str) -> u64 {
        self.get(name).and_then(Value::int).unwrap_or(0)
    }
    /// Text like JSON, for the record.
    pub fn show(&self) -> String {
        match self {
            Value::Null => "null".into(),
            Value::Bool(b) => b.to_string(),
            Value::Int(i) => i.to_string(),
            Value::Float(f) => format!("{f:?}"),
            Value::Text(t) => format!("\"{t}\""),
            Value::Array(l) => {
                let parts: Vec<String> = l.iter().map(Value::show).collect();
                format!("[{}]", parts.join(","))
            }
            Value::Map(m) => {
                let parts = m.iter().map(|(k, v)| format!("{}:{}", k.show(), v.show()));
                let parts: Vec<String> = parts.collect();
                format!("{{{}}}", parts.join(","))
            }
        }
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Text(text.into())
    }
}
impl From<String> for Value {
    fn from(text: String) -> Value {
        Value::Text(text)
    }
}
impl From<u64> for Value {
    fn from(int: u64) -> Value {
        Value::Int(int.into())
    }
}
impl From<f64> for Value {
    fn from(float: f64) -> Value {
        Value::Float(float)
    }
}
impl From<bool> for Value {
    fn from(b: bool) -> Value {
        Value::Bool(b)
    }
}
impl From<Vec<Value>> for Value {
    fn from(list: Vec<Value>) -> Value {
        Value::Array(list)
    }
}

/// A map from names and values.
pub fn map<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Map(fields.into_iter().map(|(k, v)| (k.into(), v)).collect())
}

fn head(out: &mut Vec<u8>, major: u8, n: u64) {
    let m = major << 5;
    if n < 24 {
        out.push(m | n as u8);
    } else if n < 0x100 {
        out.extend([m | 24, n as u8]);
    } else if n < 0x1_0000 {
        out.push(m | 25);
        out.extend((n as u16).to_be_bytes());
    } else if n < 0x1_0000_0000 {
        out.push(m | 26);
        out.extend((n as u32).to_be_bytes());
    } else {
        out.push(m | 27);
        out.extend(n.to_be_bytes());
    }
}

fn put(out: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Null => out.push(0xf6),
        Value::Bool(b) => out.push(if *b { 0xf5 } else { 0xf4 }),
        Value::Int(i) if *i >= 0 => head(out, 0, *i as u64),
        Value::Int(i) => head(out, 1, (-1 - *i) as u64),
        Value::Float(f) => {
            out.push(0xfb);
            out.extend(f.to_be_bytes());
        }
        Value::Text(t) => {
            head(out, 3, t.len() as u64);
            out.extend(t.as_bytes());
        }
        Value::Array(l) => {
            head(out, 4, l.len() as u64);
            l.iter().for_each(|v| put(out, v));
        }
        Value::Map(m) => {
            head(out, 5, m.len() as u64);
            for (k, v) in m {
                put(out, k);
                put(out, v);
            }
        }
    }
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, value);
    out
}

fn number(input: &mut &[u8], count: usize) -> Option<u64> {
    let (bytes, rest) = input.split_at_checked(count)?;
    *input = rest;
    Some(bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
}

fn half(bits: u64) -> f64 {
    let (exp, mant) = ((bits >> 10 & 31) as i32, (bits & 1023) as f64);
    let value = match exp {
        0 => mant * 2f64.powi(-24),
        31 if mant == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (1.0 + mant / 1024.0) * 2f64.powi(exp - 15),
    };
    if bits >> 15 == 1 {
        -value
    } else {
        value
    }
}

fn take(input: &mut &[u8]) -> Option<Value> {
    let first = number(input, 1)? as u8;
    let (major, info) = (first >> 5, first & 31);
    let is_open = info == 31;
    let n = match info {
        0..=23 => u64::from(info),
        24 => number(input, 1)?,
        25 => number(input, 2)?,
        26 => number(input, 4)?,
        27 => number(input, 8)?,
        31 => u64::MAX,
        _ => return None,
    };
    let at_break = |input: &mut &[u8]| -> bool {
        let is_break = input.first() == Some(&0xff);
        if is_break {
            *input = &input[1..];
        }
        is_break
    };
    Some(match major {
        0 => Value::Int(n.into()),
        1 => Value::Int(-1 - i128::from(n)),
        2 | 3 if !is_open => {
            let (bytes, rest) = input.split_at_checked(n as usize)?;
            *input = rest;
            Value::Text(String::from_utf8_lossy(bytes).into_owned())
        }
        4 => {
            let mut list = Vec::new();
            while (list.len() as u64) < n && !(is_open && at_break(input)) {
                list.push(take(input)?);
            }
            Value::Array(list)
        }
        5 => {
            let mut fields = Vec::new();
            while (fields.len() as u64) < n && !(is_open && at_break(input)) {
                let key = take(input)?;
                fields.push((key, take(input)?));
            }
            Value::Map(fields)
        }
        6 => take(input)?,
        7 => match info {
            20 => Value::Bool(false),
            21 => Value::Bool(true),
            25 => Value::Float(half(n)),
            26 => Value::Float(f32::from_bits(n as u32).into()),
            27 => Value::Float(f64::from_bits(n)),
            _ => Value::Null,
        },
        _ => return None,
    })
}

pub fn decode(mut input: &[u8]) -> Option<Value> {
    take(&mut input)
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub path: String,
    pub status: u16,
    pub body: Vec<u8>,
    pub closes: bool,
}

impl Message {
    pub fn value(&self) -> Value {
        decode(&self.body).unwrap_or(Value::Null)
    }
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, all) = self.path.split_once('?')?;
        let mut parts = all.split('&').filter_map(|p| p.split_once('='));
        parts.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

/// Reads a message until the deadline.
pub fn read_message(socket: &mut TcpStream, deadline: Option<Instant>) -> Option<Message> {
    let mut input = Vec::new();
    let mut buffer = [0; 16384];
    let mut message = Message::default();
    let mut total = None;
    loop {
        if total.is_none() {
            if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&input[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first: Vec<&str> = lines.next()?.split(' ').collect();
                if first[0].starts_with("HTTP/") {
                    message.status = first.get(1)?.parse().ok()?;
                } else {
                    message.method = first[0].into();
                    message.path = (*first.get(1)?).into();
                }
                let mut length = 0;
                for (name, value) in lines.filter_map(|line| line.split_once(':')) {
                    if name.eq_ignore_ascii_case("content-length") {
                        length = value.trim().parse().ok()?;
                    } else if name.eq_ignore_ascii_case("connection") {
                        message.closes = value.trim().eq_ignore_ascii_case("close");
                    }
                }
                input.drain(..end + 4);
                total = Some(length);
            }
        }
        if let Some(length) = total {
            if input.len() >= length {
                input.truncate(length);
                message.body = input;
                return Some(message);
            }
        }
        let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return None;
        }
        socket.set_read_timeout(left).ok()?;
        match socket.read(&mut buffer) {
            Ok(0) => return None,
            Ok(count) => input.extend(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

pub fn write_request(socket: &mut TcpStream, method: &str, path: &str, body: &[u8]) -> Option<()> {
    let length = body.len();
    let mut bytes =
        format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n")
            .into_bytes();
    bytes.extend(body);
    socket.write_all(&bytes).ok()
}

/// Sends a request on a new connection; `None` without a response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let deadline = Instant::now() + timeout;
    let mut socket =
        TcpStream::connect_timeout(&to, timeout.min(Duration::from_millis(500))).ok()?;
    let _ = socket.set_nodelay(true);
    write_request(&mut socket, method, path, body)?;
    read_message(&mut socket, Some(deadline))
}

/// Share of requests that are repeated later, in millionths; starts are not.
pub static REPEATS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

fn repeat_later<F>(handler: &Arc<F>, request: &Message)
where
    F: Fn(&Message) -> Option<(u16, Vec<u8>)> + Send + Sync + 'static,
{
    let share = REPEATS.load(std::sync::atomic::Ordering::Relaxed) as f64 / 1e6;
    let is_start = request.route() == "/orders" && request.value().show().contains("\"start\"");
    if request.method == "GET" || is_start || crate::random() >= share {
        return;
    }
    let (handler, request) = (handler.clone(), request.clone());
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs_f64(
            10.0 * crate::random() * crate::random(),
        ));
        crate::log(format!(
            "repeated: {} {} {}",
            request.method,
            request.path,
            request.value().show()
        ));
        let _ = handler(&request);
    });
}

/// Serves requests, one thread a connection. Without a reply the connection is closed.
pub fn serve<F>(handler: F) -> SocketAddr
where
    F: Fn(&Message) -> Option<(u16, Vec<u8>)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("no free port");
    let address = listener.local_addr().expect("no address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let Ok(mut socket) = socket else { continue };
            let _ = socket.set_nodelay(true);
            let handler = handler.clone();
            std::thread::spawn(move || {
                while let Some(request) = read_message(&mut socket, None) {
                    let reply = handler(&request);
                    repeat_later(&handler, &request);
                    let Some((status, body)) = reply else { return };
                    let length = body.len();
                    let mut bytes =
                        format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n")
                            .into_bytes();
                    bytes.extend(body);
                    if socket.write_all(&bytes).is_err() || request.closes {
                        return;
                    }
                }
            });
        }
    });
    address
}
