//! Faults of the simulated world.

use duty_lease::{Candidacy, Duty};

use super::World;

/// The faults that are currently injected.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub is_store_down: bool,
    /// The store refuses requests of this controller only.
    pub store_refuses: Option<usize>,
    /// Percentage of the requests to the store that get no answer; half of them are executed late.
    pub lost_percent: u32,
    /// Percentage of the orders that get no answer; half of them are executed late.
    pub provider_lost_percent: u32,
    /// Additional delay of each message to or from the store.
    pub store_delay_ms: u64,
}

/// What happens to the messages that a controller sent before its pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SentMessages {
    Delivered,
    /// They are held back until the controller resumes.
    HeldBack,
}

impl World {
    /// Starts a controller, or restarts it if it runs.
    pub(crate) fn start(&mut self, index: usize) {
        self.controllers[index].start();
    }

    pub(crate) fn start_all(&mut self) {
        for controller in &mut self.controllers {
            controller.start();
        }
    }

    pub(crate) fn is_alive(&self, index: usize) -> bool {
        self.controllers[index].is_alive
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.controllers[index].is_alive = false;
    }

    /// Pauses a controller's process for `for_ms`.
    pub(crate) fn pause(&mut self, index: usize, for_ms: u64, sent: SentMessages) {
        let until = self.now + for_ms;
        self.controllers[index].paused_until = until;
        if sent == SentMessages::HeldBack {
            self.network.hold_back(index, until);
        }
    }

    /// Makes a controller's steady clock jump forward or back.
    pub(crate) fn jump_clock(&mut self, index: usize, by_ms: i64) {
        self.clocks_correct = false;
        self.controllers[index].clock.jump(by_ms);
    }

    /// Stops a controller's steady clock.
    pub(crate) fn stop_clock(&mut self, index: usize) {
        self.clocks_correct = false;
        self.controllers[index].clock.stop(self.now);
    }

    /// Resumes a controller's steady clock from its stopped reading, if it is stopped.
    pub(crate) fn resume_clock(&mut self, index: usize) {
        self.controllers[index].clock.resume(self.now);
    }

    /// Makes a controller a candidate for a duty, or lets it release the duty.
    pub(crate) fn set_candidacy(&mut self, index: usize, duty: Duty, candidacy: Candidacy) {
        if let Some(lease) = self.controllers[index].leases.get_mut(&duty) {
            lease.set_candidacy(candidacy);
        }
    }

    /// Ends the store's outage, and renews every grant for its full time to live.
    pub(crate) fn end_store_outage(&mut self) {
        self.faults.is_store_down = false;
        self.store.refresh(self.now);
    }
}
