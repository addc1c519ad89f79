//! The controller's view of time: the timestamp of the current event, and the order of events.
//! No other module of the controller reads a clock.

/// A point in time on the monotonic clock and on the wall clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// The monotonic clock, since the process started.
    pub steady: u64,
    /// The wall clock, since the Unix epoch; 0 if it is set to an earlier time.
    pub wall: u64,
}

/// The time of an event on the monotonic clock, with a sequence number that orders events
/// within the same millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EventTime {
    pub at: u64,
    pub sequence: u64,
}

/// The time of the current event and the number of events so far.
#[derive(Debug)]
pub(super) struct EventClock {
    now: Timestamp,
    /// Events so far.
    event_count: u64,
    /// When the first event occurred.
    began_at: Option<u64>,
}

impl EventClock {
    pub(super) fn new() -> EventClock {
        EventClock {
            now: Timestamp { steady: 0, wall: 0 },
            event_count: 0,
            began_at: None,
        }
    }

    /// Begins an event. A read of the store that is sent from now on reflects a state no older
    /// than the event.
    pub(super) fn begin_event(&mut self, now: Timestamp) {
        self.now = now;
        self.event_count += 1;
        self.began_at.get_or_insert(now.steady);
    }

    /// Advances the time without counting an event.
    pub(super) fn set(&mut self, now: Timestamp) {
        self.now = now;
    }

    /// The timestamp of the current event.
    pub(super) fn timestamp(&self) -> Timestamp {
        self.now
    }

    /// The monotonic clock in milliseconds.
    pub(super) fn steady_ms(&self) -> u64 {
        self.now.steady
    }

    /// The wall clock in milliseconds.
    pub(super) fn wall_ms(&self) -> u64 {
        self.now.wall
    }

    /// The sequence number of the current event.
    pub(super) fn sequence(&self) -> u64 {
        self.event_count
    }

    /// The time and sequence number of the current event.
    pub(super) fn event_time(&self) -> EventTime {
        EventTime {
            at: self.now.steady,
            sequence: self.event_count,
        }
    }

    /// Time since the first event of this process, in milliseconds.
    pub(super) fn process_age_ms(&self) -> u64 {
        self.began_at.map_or(0, |at| self.now.steady - at)
    }
}
