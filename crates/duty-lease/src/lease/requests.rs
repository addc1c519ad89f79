//! Schedules the requests of a lease and tracks the one in flight.
//!
//! Invariants: at most one request is in flight, and each has a unique number, so that late
//! and duplicate responses are recognized and ignored.

/// A request that has no response yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlight {
    pub(super) id: u64,
    /// When it was sent, on the sender's clock.
    pub(super) sent_at: u64,
}

/// The request schedule of one lease.
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

    /// Whether the next request is to be sent now.
    pub(super) fn is_due(&self, now: u64) -> bool {
        self.in_flight.is_none() && now >= self.next_at
    }

    /// Schedules the next request.
    pub(super) fn schedule(&mut self, at: u64) {
        self.next_at = at;
    }

    /// Schedules the next request for `at`, unless it is scheduled earlier.
    pub(super) fn schedule_by(&mut self, at: u64) {
        self.next_at = self.next_at.min(at);
    }

    /// Records that a request is being sent, and returns its number.
    pub(super) fn begin(&mut self, now: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight = Some(InFlight { id, sent_at: now });
        id
    }

    /// Handles a response. Returns the request if it is the one in flight.
    pub(super) fn finish(&mut self, id: u64) -> Option<InFlight> {
        self.in_flight.take_if(|in_flight| in_flight.id == id)
    }

    /// Discards the request in flight; its response will be ignored.
    pub(super) fn abandon(&mut self) {
        self.in_flight = None;
    }

    /// The number of the request in flight if it had no response for `timeout_ms`.
    pub(super) fn timed_out(&self, now: u64, timeout_ms: u64) -> Option<u64> {
        let in_flight = self.in_flight?;
        (now >= in_flight.sent_at + timeout_ms).then_some(in_flight.id)
    }

    /// Limits all recorded times to `now`, after the clock went back: times that lie in the
    /// future would delay requests and timeouts.
    pub(super) fn clamp(&mut self, now: u64) {
        self.schedule_by(now);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.sent_at = in_flight.sent_at.min(now);
        }
    }
}
