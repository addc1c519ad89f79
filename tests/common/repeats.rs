//! Repeats of requests that were carried out: copies that the network delivers once more, also
//! after the process that sent them has ended.

use super::messages::{Call, SimMessage, Ticket};
use super::sim::Sim;

/// When the hosts that have carried out a call receive a copy of it. Answers to copies are dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repeats {
    /// Delays after a call was carried out.
    pub after_ms: Vec<u64>,
    /// Delays after the end of the process that sent it.
    pub after_crash_ms: Vec<u64>,
}

impl Ticket {
    /// The generation of copies. No process has it, so that answers to copies are dropped.
    const COPY: u64 = u64::MAX;

    pub(super) fn is_copy(&self) -> bool {
        self.generation == Ticket::COPY
    }
}

impl Repeats {
    fn are_enabled(&self) -> bool {
        !(self.after_ms.is_empty() && self.after_crash_ms.is_empty())
    }
}

impl Sim {
    /// Sends copies of a call that was carried out now, and keeps one for the end of its sender,
    /// as the injected faults demand. `message` wraps a copy. Reads and copies are not repeated.
    pub(super) fn repeat_call(&mut self, call: &Call, message: impl FnOnce(Call) -> SimMessage) {
        let is_repeatable = call.method != "GET" && !call.ticket.is_copy();
        if !self.faults.repeats.are_enabled() || !is_repeatable {
            return;
        }
        let controller = call.ticket.controller;
        let ticket = Ticket {
            generation: Ticket::COPY,
            ..call.ticket
        };
        let copy = message(Call {
            ticket,
            ..call.clone()
        });
        for after_ms in self.faults.repeats.after_ms.clone() {
            self.send(after_ms, copy.clone());
        }
        let kept = self.held.until_crash.entry(controller).or_default();
        kept.push(copy);
    }

    /// Sends the copies of all calls that the ended process of a controller has made.
    pub(super) fn repeat_calls_of_ended(&mut self, controller: usize) {
        let copies = self.held.until_crash.remove(&controller);
        for copy in copies.into_iter().flatten() {
            for after_ms in self.faults.repeats.after_crash_ms.clone() {
                self.send(after_ms, copy.clone());
            }
        }
    }
}
