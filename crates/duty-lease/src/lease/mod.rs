//! One controller's state machine for the lease of one duty, driven by events and time.
//!
//! [`DutyLease`] decides which request to send to the store next and whether this controller
//! may send orders. It owns the state of the acquisition or of the held lease, the latest
//! view of the duty's keys, and the request in flight. Its modules:
//!
//! - [`protocol`]: requests, responses and the stored values;
//! - [`events`]: events reported to the caller;
//! - [`clock`]: detection of pauses;
//! - [`observation`]: the latest view and the highest token;
//! - [`requests`]: the request in flight and the time of the next;
//! - [`responses`]: state transitions on responses;
//! - [`holding`]: how long a held lease allows orders.
//!
//! Invariants:
//!
//! - Orders are allowed only while a confirmed renewal is recent and was sent after the last
//!   pause ([`DutyLease::order_token`]).
//! - After an acquisition with an unknown outcome the keys are read before anything is
//!   assumed. If the acquisition was not carried out, its grant is revoked, so that the store
//!   can't carry it out late.
//! - An acquisition uses the versions of the view that it began with: those of a newer view
//!   could overwrite the key of another holder.

mod clock;
mod events;
mod holding;
mod observation;
mod protocol;
mod requests;
mod responses;

pub use events::{LeaseEvent, LossReason, SuspensionReason};
pub use protocol::{HolderKey, LeaseRequest, LeaseResponse, LeaseView, OutgoingLeaseRequest};

use crate::{LeaseTiming, Token};
use clock::PauseDetector;
use holding::{Acquisition, Holding};
use observation::ObservedLease;
use requests::RequestSchedule;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Another controller holds the duty, or none does.
    Following,
    /// Requesting a grant.
    Granting,
    /// Writing the lease key, with a grant.
    Acquiring(Acquisition),
    /// The outcome of the acquisition is unknown; reading the lease key to learn it.
    Verifying(Acquisition),
    /// Holding the lease.
    Holding(Holding),
    /// Revoking the grant, after a release or an abandoned acquisition.
    Releasing { grant: u64 },
}

/// Whether a controller may acquire the lease of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidacy {
    /// It acquires the lease when the lease is free.
    Candidate,
    /// It does not acquire the lease, and releases the lease if it holds it.
    Observer,
}

/// One controller's state machine for the lease of one duty.
#[derive(Debug, Clone)]
pub struct DutyLease {
    member: String,
    timing: LeaseTiming,
    state: State,
    observed: ObservedLease,
    candidacy: Candidacy,
    requests: RequestSchedule,
    /// After a release this controller does not acquire the lease again before this time, so
    /// that another one can.
    standby_until: u64,
    pause_detector: PauseDetector,
    events: Vec<LeaseEvent>,
}

impl DutyLease {
    /// Creates the state machine of a candidate that does not hold the lease. `member` is the
    /// controller's name.
    pub fn new(member: &str, timing: LeaseTiming) -> DutyLease {
        DutyLease {
            member: member.to_string(),
            timing,
            state: State::Following,
            observed: ObservedLease::default(),
            candidacy: Candidacy::Candidate,
            requests: RequestSchedule::new(),
            standby_until: 0,
            pause_detector: PauseDetector::new(timing.pause_threshold_ms()),
            events: vec![],
        }
    }

    /// Drains the events since the last call, oldest first.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// The token under which this controller holds the duty, even while orders are
    /// suspended; `None` if it does not hold the duty.
    pub fn token(&self) -> Option<Token> {
        self.holding().map(|holding| holding.token)
    }

    /// Whether this controller neither holds the lease nor is acquiring or releasing it. Its
    /// reads may then be served from the watch cache.
    pub fn is_following(&self) -> bool {
        self.state == State::Following
    }

    /// The version of the lease key that this controller holds, which conditions the writes
    /// of intents; `None` if it does not hold the duty.
    pub fn holder_version(&self) -> Option<u64> {
        self.holding().map(|holding| holding.version)
    }

    /// The token under which an order may be sent now; `None` if none may. Call it right
    /// before each order with a fresh clock reading: the order window may have ended since an
    /// earlier one.
    pub fn order_token(&mut self, now: u64) -> Option<Token> {
        self.check_clock(now);
        let order_window_ms = self.timing.order_window_ms();
        let holding = self.holding()?;
        let is_allowed = holding.allows_orders(now, order_window_ms);
        is_allowed.then_some(holding.token)
    }

    /// Sets whether this controller is a candidate for the duty. A holder that becomes an
    /// observer releases the lease.
    pub fn set_candidacy(&mut self, candidacy: Candidacy) {
        self.candidacy = candidacy;
    }

    fn is_candidate(&self) -> bool {
        self.candidacy == Candidacy::Candidate
    }

    /// Returns the request that is due, if any. Pass its response to
    /// [`DutyLease::on_response`] with the request's number. Call this often: gaps between
    /// the calls are how pauses of the process are detected.
    pub fn tick(&mut self, now: u64) -> Option<OutgoingLeaseRequest> {
        self.check_clock(now);
        self.expire_request(now);
        if !self.requests.is_due(now) {
            return None;
        }
        let request = self.next_request(now)?;
        let id = self.requests.begin(now);
        Some(OutgoingLeaseRequest { id, request })
    }

    /// Handles the response to a request; late and duplicate responses are ignored.
    pub fn on_response(&mut self, id: u64, response: LeaseResponse, now: u64) {
        self.check_clock(now);
        let Some(in_flight) = self.requests.finish(id) else {
            return;
        };
        let sent_at = in_flight.sent_at;
        let response = self.reject_outdated_view(response);
        match self.state {
            State::Following => self.on_read(&response, now),
            State::Granting => self.on_grant_response(&response, now),
            State::Acquiring(acquisition) => {
                self.on_acquisition_response(acquisition, &response, sent_at, now);
            }
            State::Verifying(acquisition) => {
                self.on_verification_read(acquisition, &response, now);
            }
            State::Holding(_) => self.on_renewal_response(&response, sent_at, now),
            State::Releasing { .. } => self.on_release_response(&response, now),
        }
    }

    /// Handles a view of the duty's keys from the watch; ignored if an earlier response
    /// showed a newer state.
    pub fn on_view(&mut self, view: &LeaseView, now: u64) {
        self.check_clock(now);
        if let Some(version) = self.holder_version() {
            if self.observed.accept(view) && view.holder_version != version {
                self.lose(LossReason::Replaced, now);
            }
            return;
        }
        if self.is_following() && self.observed.accept(view) && self.is_free() {
            self.requests.schedule_by(now);
        }
    }

    /// Handles an order that the provider refused because it has seen a higher token.
    pub fn on_fenced(&mut self, now: u64) {
        self.lose(LossReason::Fenced, now);
    }
}

/// Clock checks and timeouts.
impl DutyLease {
    /// Suspends orders after a pause or a clock that went back: the elapsed time is unknown,
    /// so the lease must be confirmed before the next order.
    fn check_clock(&mut self, now: u64) {
        let Some(reason) = self.pause_detector.observe(now) else {
            return;
        };
        if reason == SuspensionReason::ClockWentBack {
            self.requests.clamp(now);
            self.standby_until = self.standby_until.min(now);
        }
        self.suspend(now, reason);
    }

    fn suspend(&mut self, now: u64, reason: SuspensionReason) {
        let State::Holding(holding) = &mut self.state else {
            return;
        };
        holding.suspend(now);
        let event = LeaseEvent::Suspended(holding.token, reason);
        self.requests.schedule(now);
        self.events.push(event);
    }

    /// Treats a request that got no response in time as one with an unknown outcome.
    fn expire_request(&mut self, now: u64) {
        let timeout_ms = self.timing.response_timeout_ms();
        if let Some(id) = self.requests.timed_out(now, timeout_ms) {
            self.on_response(id, LeaseResponse::NoResponse, now);
        }
    }

    fn retry_at(&self, now: u64) -> u64 {
        now + self.timing.retry_delay_ms()
    }
}

/// The next request, by state.
impl DutyLease {
    fn next_request(&mut self, now: u64) -> Option<LeaseRequest> {
        match self.state {
            State::Following => Some(self.next_request_following(now)),
            State::Granting => Some(self.grant_request()),
            State::Acquiring(acquisition) => self.acquire_request(acquisition),
            State::Verifying(_) => Some(LeaseRequest::Read),
            State::Holding(holding) if self.is_candidate() => Some(LeaseRequest::Renew {
                grant: holding.grant,
            }),
            State::Holding(holding) => Some(self.release(holding)),
            State::Releasing { grant } => Some(LeaseRequest::Release { grant }),
        }
    }

    /// Polls the duty's keys; a candidate starts an acquisition when the lease is free.
    fn next_request_following(&mut self, now: u64) -> LeaseRequest {
        let may_acquire = self.is_candidate() && now >= self.standby_until;
        if may_acquire && self.is_free() {
            self.state = State::Granting;
            return self.grant_request();
        }
        LeaseRequest::Read
    }

    fn grant_request(&self) -> LeaseRequest {
        LeaseRequest::CreateGrant {
            ttl_ms: self.timing.ttl_ms,
        }
    }

    fn acquire_request(&self, acquisition: Acquisition) -> Option<LeaseRequest> {
        let view = self.observed.view()?;
        Some(LeaseRequest::Acquire {
            grant: acquisition.grant,
            holder: self.own_key(acquisition.token),
            holder_version: view.holder_version,
            token_version: view.token_version,
        })
    }

    fn release(&mut self, holding: Holding) -> LeaseRequest {
        let grant = holding.grant;
        self.events.push(LeaseEvent::Released(holding.token));
        self.state = State::Releasing { grant };
        LeaseRequest::Release { grant }
    }
}

/// Transitions between holding and following.
impl DutyLease {
    /// Becomes the holder, with orders suspended until a renewal has confirmed the grant.
    fn hold(&mut self, holding: Holding, now: u64) {
        let token = holding.token;
        let reason = SuspensionReason::NotRenewedYet;
        self.state = State::Holding(holding);
        self.requests.schedule(now);
        self.observed.raise_token(token);
        self.events.push(LeaseEvent::Gained(token));
        self.events.push(LeaseEvent::Suspended(token, reason));
    }

    fn lose(&mut self, reason: LossReason, now: u64) {
        let Some(token) = self.token() else { return };
        self.requests.abandon();
        self.events.push(LeaseEvent::Lost(token, reason));
        self.follow(self.retry_at(now));
    }

    fn follow(&mut self, next_request_at: u64) {
        self.state = State::Following;
        self.observed.clear();
        self.requests.schedule(next_request_at);
    }

    fn holding(&self) -> Option<&Holding> {
        match &self.state {
            State::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    fn is_free(&self) -> bool {
        self.observed.is_free_for(&self.member)
    }

    /// The value of the lease key when this controller holds the duty under `token`.
    fn own_key(&self, token: Token) -> HolderKey {
        HolderKey {
            member: self.member.clone(),
            token,
        }
    }
}
