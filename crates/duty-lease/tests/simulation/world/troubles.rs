//! What may go wrong in the simulated world.

use duty_lease::{Candidacy, Duty};

use super::World;

/// Troubles that hold for the moment.
#[derive(Debug, Default)]
pub(crate) struct Troubles {
    pub is_store_out: bool,
    /// The store refuses this controller alone.
    pub store_refuses: Option<usize>,
    /// Percentage of the requests to the store that get no answer, half of them carried out
    /// late.
    pub lost_percent: u32,
    /// The same for the provider.
    pub provider_lost_percent: u32,
    /// Added to each way to the store.
    pub store_delay_ms: u64,
}

/// What happens to the messages that a controller has sent before it is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SentMessages {
    Delivered,
    /// They are held up until the controller goes on.
    HeldUp,
}

impl World {
    /// Starts a controller, again if it runs.
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

    /// Stops a process for a while.
    pub(crate) fn pause(&mut self, index: usize, for_ms: u64, sent: SentMessages) {
        let until = self.now + for_ms;
        self.controllers[index].paused_until = until;
        if sent == SentMessages::HeldUp {
            self.network.hold_up(index, until);
        }
    }

    /// The steady clock of a controller leaps, forward or back.
    pub(crate) fn leap_clock(&mut self, index: usize, by_ms: i64) {
        self.clocks_sound = false;
        self.controllers[index].clock.leap(by_ms);
    }

    /// The steady clock of a controller stands still.
    pub(crate) fn stop_clock(&mut self, index: usize) {
        self.clocks_sound = false;
        self.controllers[index].clock.stop(self.now);
    }

    /// The steady clock of a controller goes on from where it stands, if it does.
    pub(crate) fn resume_clock(&mut self, index: usize) {
        self.controllers[index].clock.resume(self.now);
    }

    /// A controller becomes a candidate for a duty, or releases it.
    pub(crate) fn set_candidacy(&mut self, index: usize, duty: Duty, candidacy: Candidacy) {
        if let Some(lease) = self.controllers[index].leases.get_mut(&duty) {
            lease.set_candidacy(candidacy);
        }
    }

    /// The store answers again, and every grant has its full time.
    pub(crate) fn end_store_outage(&mut self) {
        self.troubles.is_store_out = false;
        self.store.refresh(self.now);
    }
}
