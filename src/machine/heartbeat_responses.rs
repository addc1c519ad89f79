//! Detects whether the responses to a machine's heartbeats reach its agent.
//!
//! A response that should have an effect on the agent is kept until the next heartbeat, which
//! shows the effect or does not. An agent that begins a new incarnation although its heartbeats
//! were responded to is suspected as well. Both suspicions end when the same incarnation lasts
//! longer than a lease.

use super::tasks::{ReportedTask, TaskAttempt};
use crate::epoch::Epoch;
use crate::wire::AgentStatus;
use crate::wire::Incarnation;

/// An agent whose heartbeat was responded to within this percentage of a lease still holds its
/// lease.
const LEASE_HELD_PERCENT: u64 = 75;

/// What an agent's next heartbeat shows if it received the last response.
#[derive(Debug, Clone, PartialEq)]
pub enum ExpectedEffect {
    /// The agent has seen this epoch.
    Epoch(Epoch),
    /// A task that the response told it to start is present.
    Started(TaskAttempt),
    /// An exited task that the response told it to clear is absent.
    Cleared(TaskAttempt),
}

impl ExpectedEffect {
    fn is_shown_by(&self, status: &AgentStatus, reported_tasks: &[ReportedTask]) -> bool {
        let has = |attempt: &TaskAttempt| {
            let mut reported = reported_tasks.iter();
            reported.any(|reported| attempt.is(reported))
        };
        match self {
            ExpectedEffect::Epoch(epoch) => status.epoch >= *epoch,
            ExpectedEffect::Started(attempt) => has(attempt),
            ExpectedEffect::Cleared(attempt) => !has(attempt),
        }
    }
}

/// A response that should have an effect on the agent.
#[derive(Debug, Clone)]
struct SentResponse {
    /// The incarnation in the heartbeat that it responds to.
    incarnation: Incarnation,
    /// The serial in that heartbeat.
    serial: u64,
    /// Any one of these shows that the response was received.
    expected: Vec<ExpectedEffect>,
}

/// Whether a heartbeat shows an effect of the last response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseEffect {
    /// No effect is expected, or the status is older than the response.
    NotExpected,
    /// An effect is shown: the response was received.
    Shown,
    /// No effect is shown: the response was probably lost.
    Missing,
}

/// A heartbeat from which to tell whether responses reach the agent.
#[derive(Debug)]
pub struct ReachabilityCheck<'a> {
    /// The status in the heartbeat.
    pub status: &'a AgentStatus,
    /// Whether the agent has begun a new incarnation since its last status.
    pub is_new_incarnation: bool,
    /// Whether this controller lags: the agent may have discarded its responses as too late.
    pub is_lagging: bool,
    /// The duration of an agent's lease.
    pub lease_ms: u64,
    /// The interval between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// The present time of the steady clock, in milliseconds.
    pub now: u64,
}

/// A suspicion that responses do not reach the agent.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: u64,
    incarnation: Incarnation,
}

/// The responses to a machine's heartbeats, as far as they are needed to check their effect.
#[derive(Debug, Clone, Default)]
pub(super) struct ResponseTracker {
    sent_response: Option<SentResponse>,
    /// When a heartbeat was last responded to.
    responded_at: Option<u64>,
    /// The present suspicion; `None` if there is none.
    suspicion: Option<Suspicion>,
}

impl ResponseTracker {
    pub(super) fn record_response(&mut self, now: u64) {
        self.responded_at = Some(now);
    }

    /// Any one of the `expected` effects shows that the response to this status was received.
    pub(super) fn expect(&mut self, status: &AgentStatus, expected: Vec<ExpectedEffect>) {
        self.sent_response = Some(SentResponse {
            incarnation: status.incarnation,
            serial: status.serial,
            expected,
        });
    }

    pub(super) fn discard_response(&mut self) {
        self.sent_response = None;
    }

    /// Whether a heartbeat was responded to so recently that the agent still holds its lease.
    pub(super) fn is_lease_held(&self, lease_ms: u64, now: u64) -> bool {
        self.responded_at
            .is_some_and(|at| now < at + lease_ms * LEASE_HELD_PERCENT / 100)
    }

    /// Checks whether a heartbeat shows any expected effect of the last response.
    pub(super) fn check_effect(
        &mut self,
        status: &AgentStatus,
        reported_tasks: &[ReportedTask],
    ) -> ResponseEffect {
        let Some(response) = &self.sent_response else {
            return ResponseEffect::NotExpected;
        };
        if (status.incarnation, status.serial) <= (response.incarnation, response.serial) {
            return ResponseEffect::NotExpected;
        }
        let mut expected = response.expected.iter();
        let is_shown = expected.any(|effect| effect.is_shown_by(status, reported_tasks));
        self.sent_response = None;
        if is_shown {
            ResponseEffect::Shown
        } else {
            ResponseEffect::Missing
        }
    }

    pub(super) fn clear_suspicion(&mut self) {
        self.suspicion = None;
    }

    /// Whether the same incarnation has lasted for more than `timeout_ms` since the suspicion
    /// began, which shows that responses do reach the agent. The first call begins the suspicion.
    pub(super) fn has_suspicion_expired(
        &mut self,
        incarnation: Incarnation,
        timeout_ms: u64,
        now: u64,
    ) -> bool {
        let current = Suspicion {
            since: now,
            incarnation,
        };
        let suspicion = *self.suspicion.get_or_insert(current);
        if suspicion.incarnation != incarnation {
            self.suspicion = Some(current);
            return false;
        }
        now > suspicion.since + timeout_ms
    }
}
