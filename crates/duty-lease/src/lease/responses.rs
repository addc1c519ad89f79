//! State transitions of a lease on the responses to its requests.
//!
//! Each handler sets the next state and the time of the next request.

use super::holding::{Acquisition, Confirmation, Holding};
use super::protocol::LeaseResponse;
use super::{DutyLease, LeaseEvent, LossReason, State};

impl DutyLease {
    /// Replaces a read that shows an outdated state with a refusal.
    pub(super) fn reject_outdated_view(&mut self, response: LeaseResponse) -> LeaseResponse {
        match response {
            LeaseResponse::View(view) if !self.observed.accept(&view) => LeaseResponse::Refused,
            response => response,
        }
    }

    pub(super) fn on_read(&mut self, response: &LeaseResponse, now: u64) {
        let is_held = matches!(response, LeaseResponse::View(_)) && !self.is_free();
        let next_at = if is_held {
            // Polling may be slow: the watch shows earlier that the lease has become free.
            now + self.timing.renewal_interval_ms()
        } else {
            self.retry_at(now)
        };
        self.requests.schedule(next_at);
    }

    pub(super) fn on_grant_response(&mut self, response: &LeaseResponse, now: u64) {
        let LeaseResponse::Granted(grant) = *response else {
            return self.follow(self.retry_at(now));
        };
        self.state = State::Acquiring(Acquisition {
            grant,
            token: self.observed.next_token(),
        });
        self.requests.schedule(now);
    }

    pub(super) fn on_acquisition_response(
        &mut self,
        acquisition: Acquisition,
        response: &LeaseResponse,
        sent_at: u64,
        now: u64,
    ) {
        match *response {
            LeaseResponse::Acquired { version } => {
                self.hold(Holding::new(acquisition, version, sent_at, now), now);
            }
            LeaseResponse::NoResponse => {
                self.state = State::Verifying(acquisition);
                self.requests.schedule(now);
            }
            _ => self.abandon_acquisition(acquisition, now),
        }
    }

    pub(super) fn on_verification_read(
        &mut self,
        acquisition: Acquisition,
        response: &LeaseResponse,
        now: u64,
    ) {
        let LeaseResponse::View(view) = response else {
            return self.requests.schedule(self.retry_at(now));
        };
        if view.holder.as_ref() == Some(&self.own_key(acquisition.token)) {
            let holding = Holding::new(acquisition, view.holder_version, now, now);
            self.hold(holding, now);
        } else {
            self.abandon_acquisition(acquisition, now);
        }
    }

    /// Revokes the grant of an acquisition that was not carried out so far: without the grant it
    /// can't be carried out late.
    fn abandon_acquisition(&mut self, acquisition: Acquisition, now: u64) {
        self.state = State::Releasing {
            grant: acquisition.grant,
        };
        self.requests.schedule(now);
    }

    pub(super) fn on_renewal_response(&mut self, response: &LeaseResponse, sent_at: u64, now: u64) {
        match response {
            LeaseResponse::Renewed => self.on_renewed(sent_at, now),
            LeaseResponse::GrantEnded => self.lose(LossReason::GrantEnded, now),
            _ => self.requests.schedule(self.retry_at(now)),
        }
    }

    /// Extends the lease from when the renewal was sent, not from when its response arrived.
    fn on_renewed(&mut self, sent_at: u64, now: u64) {
        let State::Holding(holding) = &mut self.state else {
            return;
        };
        let next_renewal_at = sent_at + self.timing.renewal_interval_ms();
        match holding.confirm(sent_at) {
            Confirmation::Extended => self.requests.schedule(next_renewal_at),
            Confirmation::Resumed => {
                self.requests.schedule(next_renewal_at);
                self.events.push(LeaseEvent::Resumed(holding.token));
            }
            Confirmation::TooEarly => self.requests.schedule(now),
        }
    }

    pub(super) fn on_release_response(&mut self, response: &LeaseResponse, now: u64) {
        let retry_at = self.retry_at(now);
        match response {
            LeaseResponse::Released | LeaseResponse::GrantEnded => {
                self.standby_until = now + self.timing.ttl_ms;
                self.follow(retry_at);
            }
            _ => self.requests.schedule(retry_at),
        }
    }
}
