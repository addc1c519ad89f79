//! When a lease sends its requests, and which of them is in flight.
//!
//! Invariants: at most one request is in flight, and each has a number of its own, so an
//! answer that comes late or twice is recognized and ignored.

/// A request that was sent and not answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlight {
    pub(super) id: u64,
    /// On the sender's clock.
    pub(super) sent_at: u64,
}

/// The requests of one lease.
#[derive(Debug, Clone)]
pub(super) struct RequestSchedule {
    in_flight: Option<InFlight>,
    next_id: u64,
    next_at: u64,
}

impl RequestSchedule {
    pub(super) fn new() -> RequestSchedule {
        RequestSchedule {
            in_flight: None,
            next_id: 1,
            next_at: 0,
        }
    }

    /// Whether a request may be sent.
    pub(super) fn is_due(&self, now: u64) -> bool {
        self.in_flight.is_none() && now >= self.next_at
    }

    /// Plans the next request for this time.
    pub(super) fn schedule(&mut self, at: u64) {
        self.next_at = at;
    }

    /// Plans the next request for this time unless it comes earlier.
    pub(super) fn schedule_by(&mut self, at: u64) {
        self.next_at = self.next_at.min(at);
    }

    /// A request was sent. Returns its number.
    pub(super) fn begin(&mut self, now: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight = Some(InFlight { id, sent_at: now });
        id
    }

    /// An answer has come. Returns the request if it is the one in flight.
    pub(super) fn finish(&mut self, id: u64) -> Option<InFlight> {
        self.in_flight.take_if(|in_flight| in_flight.id == id)
    }

    /// The answer to the request in flight is ignored when it comes.
    pub(super) fn abandon(&mut self) {
        self.in_flight = None;
    }

    /// The number of the request in flight if it has waited for too long.
    pub(super) fn timed_out(&self, now: u64, timeout_ms: u64) -> Option<u64> {
        let in_flight = self.in_flight?;
        (now >= in_flight.sent_at + timeout_ms).then_some(in_flight.id)
    }

    /// The clock went back: later times than this one mean nothing any more.
    pub(super) fn clamp(&mut self, now: u64) {
        self.schedule_by(now);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.sent_at = in_flight.sent_at.min(now);
        }
    }
}
