//! Whether the answers to a machine's heartbeats reach its agent.
//!
//! Each answer that should show an effect is remembered until the next heartbeat, which shows
//! the effect or does not. An agent that begins a new incarnation although its heartbeats were
//! answered is suspect, too. Both suspicions end when the same incarnation outlasts a lease.

use std::sync::Arc;

use super::tasks::ReportedTask;
use crate::epoch::Epoch;
use crate::wire::AgentStatus;
use crate::wire::Incarnation;

/// A machine whose heartbeat was answered within this share of a lease cannot have lost the lease.
const ANSWERED_LEASE_PERCENT: u64 = 75;

/// What a machine's next heartbeat shows if the last answer reached it.
#[derive(Debug, Clone, PartialEq)]
pub enum ExpectedEffect {
    /// The agent has seen this epoch.
    Epoch(Epoch),
    /// A task that it was told to start is present.
    Started {
        /// The id of its job.
        job: Arc<str>,
        /// Its number.
        task: u32,
        /// Its attempt.
        attempt: u64,
    },
    /// An exited task that it was told to clear is absent.
    Cleared {
        /// The id of its job.
        job: String,
        /// Its number.
        task: u32,
        /// Its attempt.
        attempt: u64,
    },
}

impl ExpectedEffect {
    fn is_shown(&self, status: &AgentStatus, reported_tasks: &[ReportedTask]) -> bool {
        let has = |job: &str, task: u32, attempt: u64| {
            reported_tasks.iter().any(|reported| {
                reported.task == task && reported.attempt == attempt && reported.job == job
            })
        };
        match self {
            ExpectedEffect::Epoch(epoch) => status.epoch >= *epoch,
            ExpectedEffect::Started { job, task, attempt } => has(job, *task, *attempt),
            ExpectedEffect::Cleared { job, task, attempt } => !has(job, *task, *attempt),
        }
    }
}

/// An answer that should show an effect.
#[derive(Debug, Clone)]
struct SentAnswer {
    /// The incarnation of the heartbeat that it answered.
    incarnation: Incarnation,
    /// The serial of that heartbeat.
    serial: u64,
    /// Any of these shows that the answer was received.
    expected: Vec<ExpectedEffect>,
}

/// Whether the effect of the last answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerEffect {
    /// No effect is expected, or the status is older than the answer.
    NotExpected,
    /// An effect shows: the answer was received.
    Shown,
    /// No effect shows: the answer was probably lost.
    Missing,
}

/// A heartbeat by which to check whether answers reach the agent.
#[derive(Debug)]
pub struct AnswerCheck<'a> {
    /// The status in the heartbeat.
    pub status: &'a AgentStatus,
    /// The agent began a new incarnation since its last status.
    pub is_new_incarnation: bool,
    /// This controller is behind: its answers may have been too late to be accepted.
    pub is_lagging: bool,
    /// Duration of an agent's lease.
    pub lease_ms: u64,
    /// Interval between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// The steady clock, in milliseconds.
    pub now: u64,
}

/// A suspicion that answers do not reach the agent.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: u64,
    incarnation: Incarnation,
}

/// The answers to a machine's heartbeats.
#[derive(Debug, Clone, Default)]
pub(super) struct AnswerTracker {
    sent_answer: Option<SentAnswer>,
    /// When a heartbeat was last answered.
    answered_at: Option<u64>,
    /// The current suspicion, if any.
    suspicion: Option<Suspicion>,
}

impl AnswerTracker {
    pub(super) fn on_answered(&mut self, now: u64) {
        self.answered_at = Some(now);
    }

    /// Any of the `expected` effects shows that the answer to this status was received.
    pub(super) fn expect(&mut self, status: &AgentStatus, expected: Vec<ExpectedEffect>) {
        self.sent_answer = Some(SentAnswer {
            incarnation: status.incarnation,
            serial: status.serial,
            expected,
        });
    }

    pub(super) fn forget_answer(&mut self) {
        self.sent_answer = None;
    }

    /// Whether a heartbeat was answered so recently that the agent must still have its lease.
    pub(super) fn is_answered_within_lease(&self, lease_ms: u64, now: u64) -> bool {
        self.answered_at
            .is_some_and(|at| now < at + lease_ms * ANSWERED_LEASE_PERCENT / 100)
    }

    /// Whether a heartbeat shows any effect of the last answer.
    pub(super) fn check_effect(
        &mut self,
        status: &AgentStatus,
        reported_tasks: &[ReportedTask],
    ) -> AnswerEffect {
        let Some(answer) = &self.sent_answer else {
            return AnswerEffect::NotExpected;
        };
        if (status.incarnation, status.serial) <= (answer.incarnation, answer.serial) {
            return AnswerEffect::NotExpected;
        }
        let mut expected = answer.expected.iter();
        let is_shown = expected.any(|effect| effect.is_shown(status, reported_tasks));
        self.sent_answer = None;
        if is_shown {
            AnswerEffect::Shown
        } else {
            AnswerEffect::Missing
        }
    }

    pub(super) fn clear_suspicion(&mut self) {
        self.suspicion = None;
    }

    /// Whether the same incarnation has outlasted the suspicion for `lasts_ms`: then answers do
    /// reach the agent. The suspicion begins with the first call.
    pub(super) fn has_outlasted_suspicion(
        &mut self,
        incarnation: Incarnation,
        lasts_ms: u64,
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
        now > suspicion.since + lasts_ms
    }
}
