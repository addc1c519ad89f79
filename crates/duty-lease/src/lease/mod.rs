//! One controller's part in the lease of one duty, as a state machine over events and time.
//!
//! [`DutyLease`] decides which request goes to the store next and whether this controller
//! may give orders. It owns the state of the election or of the own lease, the latest view
//! of the duty's keys, and the request in flight. Its parts:
//!
//! - [`protocol`]: requests, responses and the stored values;
//! - [`events`]: what is reported to the owner;
//! - [`clock`]: detection of pauses;
//! - [`observation`]: the latest view and the highest token;
//! - [`requests`]: the request in flight and the time of the next;
//! - [`responses`]: what a response changes, by state;
//! - [`holding`]: how long an own lease allows orders.
//!
//! Invariants:
//!
//! - Orders are allowed only while a confirmed renewal is recent and was sent after the last
//!   pause ([`DutyLease::order_token`]).
//! - An acquisition with an unknown outcome is read, never assumed; if it was not carried
//!   out, its grant is ended, without which it can't be carried out late.
//! - An election uses the view that it began with: with a newer one it could take the key
//!   from a holder.

mod clock;
mod events;
mod holding;
mod observation;
mod protocol;
mod requests;
mod responses;

pub use events::{LeaseEvent, LossReason, SuspensionReason};
pub use protocol::{HolderKey, LeaseRequest, LeaseResponse, LeaseView, NumberedRequest};

use crate::{LeaseTiming, Token};
use clock::PauseDetector;
use holding::{Acquisition, Holding};
use observation::ObservedLease;
use requests::RequestSchedule;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Another controller holds the duty, or none does.
    Following,
    /// Asks for a grant.
    Granting,
    /// Has a grant and writes the lease key.
    Acquiring(Acquisition),
    /// The outcome of the acquisition is unknown and has to be read.
    Unknown(Acquisition),
    /// Has the lease key.
    Holding(Holding),
    /// Has given the lease up, and waits for the answer.
    Releasing { grant: u64 },
}

/// Whether a controller is to acquire a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidacy {
    /// It acquires the duty when the lease is free.
    Candidate,
    /// It does not acquire the duty, and releases the lease if it holds it.
    Observer,
}

/// One controller's part in the lease of one duty.
#[derive(Debug, Clone)]
pub struct DutyLease {
    member: String,
    timing: LeaseTiming,
    state: State,
    observed: ObservedLease,
    candidacy: Candidacy,
    requests: RequestSchedule,
    /// After an own release, others are to acquire the lease first until then.
    standby_until: u64,
    pause_detector: PauseDetector,
    events: Vec<LeaseEvent>,
}

impl DutyLease {
    /// A controller that follows and is a candidate. `member` is its name.
    pub fn new(member: &str, timing: LeaseTiming) -> DutyLease {
        DutyLease {
            member: member.to_string(),
            timing,
            state: State::Following,
            observed: ObservedLease::default(),
            candidacy: Candidacy::Candidate,
            requests: RequestSchedule::new(),
            standby_until: 0,
            pause_detector: PauseDetector::new(timing.pause_ms()),
            events: vec![],
        }
    }

    /// Returns the events since the last call, in their order.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// The token under which this controller holds the duty, whether or not it may give
    /// orders; `None` if it does not hold it.
    pub fn token(&self) -> Option<Token> {
        self.holding().map(|holding| holding.token)
    }

    /// Whether it neither holds the duty nor is about to. Its reads may then be answered
    /// from the watch.
    pub fn is_following(&self) -> bool {
        self.state == State::Following
    }

    /// The version of the own lease key, on condition of which intents are recorded; `None`
    /// if this controller does not hold the duty.
    pub fn holder_version(&self) -> Option<u64> {
        self.holding().map(|holding| holding.version)
    }

    /// The token under which an order may be given now. To be called right before each
    /// order, with the clock read anew.
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

    /// Returns the request that has come due, with its number: the response is passed to
    /// [`DutyLease::on_response`] under it. To be called often, as pauses of the process
    /// are recognized by gaps between the calls.
    pub fn tick(&mut self, now: u64) -> Option<NumberedRequest> {
        self.check_clock(now);
        self.expire_request(now);
        if !self.requests.is_due(now) {
            return None;
        }
        let request = self.next_request(now)?;
        let id = self.requests.begin(now);
        Some(NumberedRequest { id, request })
    }

    /// The response to a request. One that comes late, or again, changes nothing.
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
            State::Unknown(acquisition) => {
                self.on_unknown_read(acquisition, &response, now);
            }
            State::Holding(_) => self.on_renewal_response(&response, sent_at, now),
            State::Releasing { .. } => self.on_release_response(&response, now),
        }
    }

    /// The keys of the duty, as a watch shows them. The view may be older than what is
    /// known.
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

    /// The provider refused an order because it has seen a higher token.
    pub fn on_fenced(&mut self, now: u64) {
        self.lose(LossReason::Fenced, now);
    }
}

/// Time and pauses.
impl DutyLease {
    /// After a pause, and after a clock that went back, the time that has passed is unknown:
    /// the lease has to be confirmed before the next order.
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

    /// A request without an answer in time has an unknown outcome.
    fn expire_request(&mut self, now: u64) {
        let timeout_ms = self.timing.answer_timeout_ms();
        if let Some(id) = self.requests.timed_out(now, timeout_ms) {
            self.on_response(id, LeaseResponse::NoAnswer, now);
        }
    }

    fn retry_at(&self, now: u64) -> u64 {
        now + self.timing.retry_ms()
    }
}

/// Requests, by state.
impl DutyLease {
    fn next_request(&mut self, now: u64) -> Option<LeaseRequest> {
        match self.state {
            State::Following => Some(self.next_request_following(now)),
            State::Granting => Some(self.grant_request()),
            State::Acquiring(acquisition) => self.acquire_request(acquisition),
            State::Unknown(_) => Some(LeaseRequest::Read),
            State::Holding(holding) if self.is_candidate() => Some(LeaseRequest::Renew {
                grant: holding.grant,
            }),
            State::Holding(holding) => Some(self.release(holding)),
            State::Releasing { grant } => Some(LeaseRequest::Release { grant }),
        }
    }

    /// Reads the keys again and again. A candidate begins an election when the lease is
    /// free.
    fn next_request_following(&mut self, now: u64) -> LeaseRequest {
        let may_campaign = self.is_candidate() && now >= self.standby_until;
        if may_campaign && self.is_free() {
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

/// Changes of the holder.
impl DutyLease {
    /// Holds the duty, without orders until a renewal has confirmed the grant.
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

    /// The lease key's value while this controller holds the duty under a token.
    fn own_key(&self, token: Token) -> HolderKey {
        HolderKey {
            member: self.member.clone(),
            token,
        }
    }
}
