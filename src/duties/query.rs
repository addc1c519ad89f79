//! Reads the state of duties from the store for the command line.
//!
//! The query runs outside any controller, on its own event loop, makes one call at a time and
//! ends within [`QUERY_TIMEOUT`].

use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use thiserror::Error;

use super::keys::DUTIES_PREFIX;
use super::report::DutyReport;
use crate::leadership_keys::{decode_u64, FORMAT_KEY};
use crate::net::{status, ConnectionLimits, Event, EventLoop, Outcome};
use crate::settings::Settings;
use crate::wire::{self, KeyValue, Page};

/// Timeout of the whole query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of reading one key or one page of keys.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of keys in a page.
const KEYS_PER_PAGE_MAX: usize = 500;
/// Maximum number of sockets that the query may use.
const SOCKETS_MAX: usize = 64;
/// Largest response that is accepted, in bytes. The store's pages have up to 512 KiB.
const RESPONSE_MAX_BYTES: usize = 1024 * 1024;
/// The stored format if the store has no key for it.
const DEFAULT_FORMAT: u64 = 0;

/// Why the state of duties can't be read.
#[derive(Debug, Error)]
pub enum QueryError {
    /// Opening or polling sockets failed.
    #[error("no sockets: {0}")]
    Sockets(#[from] io::Error),
    /// The store did not respond in time.
    #[error("the state service at {0} does not answer")]
    NoResponse(SocketAddr),
    /// The store refused the request.
    #[error("the state service at {address} refuses with status {status}")]
    Refused {
        /// The store's address.
        address: SocketAddr,
        /// The HTTP status of its response, other than 200.
        status: u16,
    },
    /// The store's response is malformed or too large, or a page repeats earlier keys.
    #[error("the answer of the state service at {0} can't be read")]
    Unreadable(SocketAddr),
}

/// Reads the state of all duties, within five seconds.
///
/// # Errors
///
/// [`QueryError`] if sockets can't be used, or if the store does not respond in time, refuses
/// the request, or returns a response that can't be read.
pub fn read_report(settings: &Settings) -> Result<DutyReport, QueryError> {
    let mut query = Query::new(settings.endpoints.state)?;
    let format = query.read_format()?;
    let pairs = query.read_all_pairs()?;
    Ok(DutyReport::new(&pairs, format, wall_clock_ms()))
}

/// The wall-clock time in milliseconds since the Unix epoch.
fn wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A response of the store.
struct Response {
    status: u16,
    body: Vec<u8>,
}

/// A client that makes one call at a time to the store.
struct Query {
    event_loop: EventLoop,
    address: SocketAddr,
    last_tag: u64,
    deadline: Instant,
}

impl Query {
    fn new(address: SocketAddr) -> io::Result<Query> {
        // The event loop requires addresses to listen on; these are not advertised.
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let limits = ConnectionLimits {
            fd_limit: SOCKETS_MAX,
            critical: HashSet::from([address]),
            agent_idle_timeout: QUERY_TIMEOUT,
            reply_max_bytes: RESPONSE_MAX_BYTES,
        };
        Ok(Query {
            event_loop: EventLoop::new(any_port, any_port, limits)?,
            address,
            last_tag: 0,
            deadline: Instant::now() + QUERY_TIMEOUT,
        })
    }

    fn read_format(&mut self) -> Result<u64, QueryError> {
        let response = self.get(&wire::key_path(FORMAT_KEY))?;
        if response.status == status::NOT_FOUND {
            return Ok(DEFAULT_FORMAT);
        }
        let body = self.expect_ok(response)?;
        let pair = wire::decode::<KeyValue>(&body);
        let format = pair.ok().and_then(|pair| decode_u64(&pair.value));
        format.ok_or(QueryError::Unreadable(self.address))
    }

    fn read_all_pairs(&mut self) -> Result<Vec<KeyValue>, QueryError> {
        let mut pairs: Vec<KeyValue> = Vec::new();
        loop {
            let last_key = pairs.last().map(|pair| pair.key.as_str());
            let page = self.read_page(last_key)?;
            let page_last_key = page.pairs.last().map(|pair| pair.key.as_str());
            let makes_progress = page_last_key > last_key;
            if page.truncated && !makes_progress {
                return Err(QueryError::Unreadable(self.address));
            }
            let is_last = !page.truncated;
            pairs.extend(page.pairs);
            if is_last {
                return Ok(pairs);
            }
        }
    }

    /// Reads the page of keys after `last_key`, or the first one.
    fn read_page(&mut self, last_key: Option<&str>) -> Result<Page, QueryError> {
        let path = wire::keys_path(DUTIES_PREFIX, last_key, KEYS_PER_PAGE_MAX);
        let response = self.get(&path)?;
        let body = self.expect_ok(response)?;
        wire::decode(&body).map_err(|_| QueryError::Unreadable(self.address))
    }

    fn expect_ok(&self, response: Response) -> Result<Vec<u8>, QueryError> {
        if response.status == status::OK {
            return Ok(response.body);
        }
        Err(QueryError::Refused {
            address: self.address,
            status: response.status,
        })
    }

    /// Sends a GET request and waits for the response.
    fn get(&mut self, path: &str) -> Result<Response, QueryError> {
        self.last_tag += 1;
        let (tag, address) = (self.last_tag, self.address);
        self.event_loop
            .call(tag, address, "GET", path, &[], CALL_TIMEOUT);
        loop {
            let remaining = self.deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(QueryError::NoResponse(address));
            }
            let events = self.event_loop.turn(remaining.min(CALL_TIMEOUT))?;
            let mut outcomes = events
                .into_iter()
                .filter_map(|event| outcome_of(event, tag));
            if let Some(outcome) = outcomes.next() {
                return self.response_from(outcome);
            }
        }
    }

    fn response_from(&self, outcome: Outcome) -> Result<Response, QueryError> {
        match outcome {
            Outcome::Response { status, body } => Ok(Response { status, body }),
            Outcome::TooLarge => Err(QueryError::Unreadable(self.address)),
            Outcome::NoResponse | Outcome::NotSent => Err(QueryError::NoResponse(self.address)),
        }
    }
}

/// The outcome of the call with this tag, if the event is its response.
fn outcome_of(event: Event, call_tag: u64) -> Option<Outcome> {
    match event {
        Event::CallFinished { tag, outcome } if tag == call_tag => Some(outcome),
        _ => None,
    }
}
