//! Reads the state of duties from the store, for the command line.

use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use thiserror::Error;

use super::records::DUTIES_PREFIX;
use super::report::DutyReport;
use crate::leadership_keys::{read_number, FORMAT_KEY};
use crate::net::{ConnectionLimits, Event, EventLoop, Outcome};
use crate::settings::Settings;
use crate::wire::{self, KeyValue};

/// The whole query takes no longer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// A key or a page of keys takes no longer.
const CALL_TIMEOUT_MS: u64 = 2000;
/// Keys in a page.
const PAGE_MAX: usize = 500;
/// Sockets that the query may use.
const SOCKETS: usize = 64;
/// Largest answer: a page of the store has up to 512 KiB.
const REPLY_MAX: usize = 1024 * 1024;

/// Why the state of duties can't be told.
#[derive(Debug, Error)]
pub enum QueryError {
    /// No sockets.
    #[error("no sockets: {0}")]
    Sockets(#[from] io::Error),
    /// The store does not answer in time.
    #[error("the state service at {0} does not answer")]
    NoAnswer(SocketAddr),
    /// It refuses to answer.
    #[error("the state service at {address} refuses with status {status}")]
    Refused {
        /// Its address.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// Its answer can't be read, or its pages don't end.
    #[error("the answer of the state service at {0} can't be read")]
    Unreadable(SocketAddr),
}

/// Reads the state of all duties.
///
/// # Errors
///
/// If the store is out, slow, refuses, or answers what can't be read; within five
/// seconds.
pub fn read_report(settings: &Settings) -> Result<DutyReport, QueryError> {
    let mut query = Query::new(settings.endpoints.state)?;
    let format = query.format()?;
    let pairs = query.all_pairs()?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.map_or(0, |elapsed| elapsed.as_millis() as u64);
    Ok(DutyReport::new(&pairs, format, now_ms))
}

/// One call at a time to the store.
struct Query {
    event_loop: EventLoop,
    address: SocketAddr,
    last_tag: u64,
    deadline: Instant,
}

impl Query {
    fn new(address: SocketAddr) -> io::Result<Query> {
        // The event loop listens, too; nobody knows where.
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let limits = ConnectionLimits {
            fd_limit: SOCKETS,
            vital: HashSet::from([address]),
            agent_idle: TIMEOUT,
            reply_max: REPLY_MAX,
        };
        Ok(Query {
            event_loop: EventLoop::new(any_port, any_port, limits)?,
            address,
            last_tag: 0,
            deadline: Instant::now() + TIMEOUT,
        })
    }

    fn format(&mut self) -> Result<u64, QueryError> {
        let (status, body) = self.get(&format!("/kv/{FORMAT_KEY}"))?;
        match status {
            404 => Ok(0),
            200 => {
                let pair = wire::decode::<KeyValue>(&body);
                let format = pair.ok().and_then(|pair| read_number(&pair.value));
                format.ok_or(QueryError::Unreadable(self.address))
            }
            _ => Err(self.refused(status)),
        }
    }

    fn all_pairs(&mut self) -> Result<Vec<KeyValue>, QueryError> {
        let mut pairs: Vec<KeyValue> = Vec::new();
        loop {
            let last = pairs.last().map(|pair| pair.key.clone());
            let from = last.as_ref().map(|key| format!("&from={key}"));
            let from = from.unwrap_or_default();
            let path = format!("/kv?under={DUTIES_PREFIX}{from}&most={PAGE_MAX}");
            let (status, body) = self.get(&path)?;
            if status != 200 {
                return Err(self.refused(status));
            }
            let page = wire::decode::<wire::Page>(&body);
            let page = page.map_err(|_| QueryError::Unreadable(self.address))?;
            let goes_on = page
                .pairs
                .last()
                .is_some_and(|p| Some(&p.key) > last.as_ref());
            if page.truncated && !goes_on {
                return Err(QueryError::Unreadable(self.address));
            }
            pairs.extend(page.pairs);
            if !page.truncated {
                return Ok(pairs);
            }
        }
    }

    fn refused(&self, status: u16) -> QueryError {
        QueryError::Refused {
            address: self.address,
            status,
        }
    }

    fn get(&mut self, path: &str) -> Result<(u16, Vec<u8>), QueryError> {
        self.last_tag += 1;
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let (tag, address) = (self.last_tag, self.address);
        self.event_loop
            .call(tag, address, "GET", path, &[], timeout);
        loop {
            let left = self.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(QueryError::NoAnswer(address));
            }
            for event in self.event_loop.turn(left.min(timeout))? {
                match event {
                    Event::Reply {
                        tag: answered,
                        outcome,
                    } if answered == tag => {
                        return self.answer(outcome);
                    }
                    _ => {}
                }
            }
        }
    }

    fn answer(&self, outcome: Outcome) -> Result<(u16, Vec<u8>), QueryError> {
        match outcome {
            Outcome::Answer { status, body } => Ok((status, body)),
            Outcome::TooLarge => Err(QueryError::Unreadable(self.address)),
            Outcome::NoAnswer | Outcome::NotSent => Err(QueryError::NoAnswer(self.address)),
        }
    }
}
