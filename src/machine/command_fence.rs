//! Fences the starts that were sent to an agent, by the epoch of later messages.
//!
//! An agent ignores a repeated start for as long as it has the attempt, and forgets the attempt
//! when it is cleared. From then on, a repeat of the message that started it would start it again,
//! perhaps while a later attempt runs on another machine. So a message that clears an attempt has
//! a higher epoch than the message that started it: the agent accepts the new epoch together with
//! the clear, and rejects the repeat.

use super::tasks::TaskAttempt;
use crate::epoch::Epoch;

/// The epoch of the messages to one agent, and the starts that a repeat may still execute.
#[derive(Debug, Clone, Default)]
pub(super) struct CommandFence {
    /// [`Epoch::NONE`] until the epoch is first raised in a leader's term.
    raised: Epoch,
    /// The starts sent in the present epoch. An earlier term's have a lower one.
    starts: Vec<TaskAttempt>,
}

impl CommandFence {
    /// The epoch of the next message, in the term that began with the epoch `term`.
    pub(super) fn epoch(&self, term: Epoch) -> Epoch {
        self.raised.max(term)
    }

    /// Records starts that are sent in the present epoch.
    pub(super) fn record_starts(&mut self, starts: &[TaskAttempt]) {
        self.starts.extend_from_slice(starts);
    }

    /// Raises the epoch if one of the attempts was started in the present one: the next message
    /// clears them.
    pub(super) fn fence(&mut self, attempts: &[TaskAttempt], term: Epoch) {
        if attempts.iter().any(|attempt| self.starts.contains(attempt)) {
            self.raised = self.epoch(term).next().min(term.last_of_term());
            self.starts.clear();
        }
    }

    /// Discards the starts sent to an earlier incarnation of the agent, which rejects them.
    pub(super) fn on_new_incarnation(&mut self) {
        self.starts.clear();
    }
}
