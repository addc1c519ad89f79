//! The controller's view of time: the moment of the event in progress, and the order of
//! events. Nothing else in the controller knows a clock.

/// The steady clock since the start and the time of day, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// The steady clock.
    pub steady: u64,
    /// The time of day.
    pub wall: u64,
}

/// When something happened: on the steady clock, and in the order of events, which tells what
/// came first within a millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EventTime {
    pub at: u64,
    pub sequence: u64,
}

/// The time of the event in progress.
#[derive(Debug)]
pub(super) struct EventClock {
    now: Timestamp,
    /// Events so far.
    event_count: u64,
    /// When the first of them came.
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

    /// An event has come: what is read of the store from now on is newer than it.
    pub(super) fn begin_event(&mut self, now: Timestamp) {
        self.now = now;
        self.event_count += 1;
        self.began_at.get_or_insert(now.steady);
    }

    /// Time has passed without an event from outside.
    pub(super) fn set(&mut self, now: Timestamp) {
        self.now = now;
    }

    /// The moment of the event in progress.
    pub(super) fn timestamp(&self) -> Timestamp {
        self.now
    }

    /// The steady clock in milliseconds.
    pub(super) fn steady_ms(&self) -> u64 {
        self.now.steady
    }

    /// The time of day in milliseconds.
    pub(super) fn wall_ms(&self) -> u64 {
        self.now.wall
    }

    /// The number of the event in progress.
    pub(super) fn sequence(&self) -> u64 {
        self.event_count
    }

    /// The time of the event in progress.
    pub(super) fn event_time(&self) -> EventTime {
        EventTime {
            at: self.now.steady,
            sequence: self.event_count,
        }
    }

    /// For how long this process has run.
    pub(super) fn process_age_ms(&self) -> u64 {
        self.began_at.map_or(0, |at| self.now.steady - at)
    }
}
