//! One controller's part in the lease of one duty.

use serde::{Deserialize, Serialize};

use crate::{LeaseTiming, Token};

/// The value of a duty's lease key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderKey {
    /// The holder's name.
    pub member: String,
    /// The token under which it holds the duty.
    pub token: Token,
}

/// What the store holds for a duty, as of one read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseView {
    /// The lease key; `None` if nobody holds the duty.
    pub holder: Option<HolderKey>,
    /// The version of the lease key; 0 if it does not exist.
    pub holder_version: u64,
    /// The last token that was given out. Kept apart from the lease key, which vanishes
    /// with its grant.
    pub token: Token,
    /// The version of the token's key; 0 if it does not exist.
    pub token_version: u64,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Read what it holds for the duty.
    Read,
    /// Ask for a grant of this life.
    CreateGrant {
        /// The life without a renewal.
        ttl_ms: u64,
    },
    /// Take the lease key and raise the token, in one transaction; both keys must still
    /// have these versions.
    Acquire {
        /// The grant that the key is attached to.
        grant: u64,
        /// The new value of the lease key, with the new token.
        holder: HolderKey,
        /// The version of the lease key.
        holder_version: u64,
        /// The version of the token's key.
        token_version: u64,
    },
    /// Renew a grant.
    Renew {
        /// The grant.
        grant: u64,
    },
    /// End a grant, and with it the lease.
    Release {
        /// The grant.
        grant: u64,
    },
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseResponse {
    /// What was read.
    View(LeaseView),
    /// The grant that was asked for.
    Granted(u64),
    /// The lease key is ours.
    Acquired {
        /// Its version.
        version: u64,
    },
    /// A key had another version.
    Conflict,
    /// The grant was renewed.
    Renewed,
    /// The grant does not exist any more.
    GrantEnded,
    /// The grant was ended.
    Released,
    /// The request was not carried out.
    Refused,
    /// Nothing is known: it may have been carried out, or may yet be.
    NoAnswer,
}

/// Why a holder may not give orders for the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspensionReason {
    /// It has not looked at the clock for so long that it may have been paused.
    Paused,
    /// The clock went back.
    ClockWentBack,
    /// The lease is new: it counts from the grant, whose age a renewal has to tell first.
    NotRenewedYet,
}

/// Why a duty was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// The grant has ended.
    GrantEnded,
    /// The lease key is another's, or gone.
    Replaced,
    /// The provider has seen a higher token.
    Fenced,
}

/// A change of hands, or what interrupts a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This controller holds the duty.
    Gained(Token),
    /// It holds the duty, and may not give orders until the lease is confirmed.
    Suspended(Token, SuspensionReason),
    /// The lease was confirmed.
    Resumed(Token),
    /// It does not hold the duty any more.
    Lost(Token, LossReason),
    /// It has given the duty up.
    Released(Token),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// Another controller holds the duty, or nobody does.
    Following,
    /// It asks for a grant.
    Granting,
    /// It has a grant and takes the lease key.
    Acquiring { grant: u64, token: Token },
    /// There was no answer to the acquisition: what came of it has to be read.
    Unknown { grant: u64, token: Token },
    /// It has the lease key.
    Holding(Holding),
    /// It has given the lease up, and waits for the answer.
    Releasing { grant: u64 },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Holding {
    grant: u64,
    token: Token,
    version: u64,
    /// When the last confirmed renewal was sent, on the holder's clock.
    confirmed_at: u64,
    /// Only a renewal that is sent from this moment on confirms the lease.
    suspended_at: Option<u64>,
}

/// A request in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
struct InFlight {
    id: u64,
    sent_at: u64,
    request: LeaseRequest,
}

/// One controller's part in the lease of one duty.
#[derive(Debug, Clone)]
pub struct DutyLease {
    member: String,
    timing: LeaseTiming,
    state: State,
    view: Option<LeaseView>,
    /// The highest token that was seen. A view with a lower one is out of date.
    highest_token: Token,
    /// It stands for the duty.
    is_candidate: bool,
    in_flight: Option<InFlight>,
    next_id: u64,
    next_request_at: u64,
    /// Others are to try first until then.
    standby_until: u64,
    last_checked_at: Option<u64>,
    events: Vec<LeaseEvent>,
}

impl DutyLease {
    /// A controller that follows. `member` is its name.
    pub fn new(member: &str, timing: LeaseTiming) -> DutyLease {
        DutyLease {
            member: member.to_string(),
            timing,
            state: State::Following,
            view: None,
            highest_token: 0,
            is_candidate: true,
            in_flight: None,
            next_id: 1,
            next_request_at: 0,
            standby_until: 0,
            last_checked_at: None,
            events: vec![],
        }
    }

    /// Changes of hands since the last call, in their order.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// The token under which this controller holds the duty, if it does, orders or not.
    pub fn token(&self) -> Option<Token> {
        self.holding().map(|holding| holding.token)
    }

    /// Whether it neither holds the duty nor is about to: its reads need not be newer than
    /// what a watch has told.
    pub fn is_following(&self) -> bool {
        self.state == State::Following
    }

    /// The version of the lease key, on condition of which intents are recorded.
    pub fn holder_version(&self) -> Option<u64> {
        self.holding().map(|holding| holding.version)
    }

    /// The token under which an order may be given now. To be asked right before each
    /// order, with the clock read anew.
    pub fn order_token(&mut self, now: u64) -> Option<Token> {
        self.check_clock(now);
        let window_ms = self.timing.order_window_ms();
        let holding = self.holding()?;
        let confirmed = holding.suspended_at.is_none();
        let in_time = now < holding.confirmed_at + window_ms;
        (confirmed && in_time).then_some(holding.token)
    }

    fn holding(&self) -> Option<&Holding> {
        match &self.state {
            State::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    fn holding_mut(&mut self) -> Option<&mut Holding> {
        match &mut self.state {
            State::Holding(holding) => Some(holding),
            _ => None,
        }
    }

    /// Whether this controller stands for the duty. One that holds it releases it if not.
    pub fn set_candidate(&mut self, is_candidate: bool) {
        self.is_candidate = is_candidate;
    }

    /// After a pause, and after a clock that went back, the lease has to be confirmed
    /// before the next order: the time that has passed is not known.
    fn check_clock(&mut self, now: u64) {
        let last_checked_at = self.last_checked_at.replace(now);
        let Some(last_checked_at) = last_checked_at else {
            return;
        };
        if now < last_checked_at {
            self.clamp_timestamps(now);
            self.suspend(now, SuspensionReason::ClockWentBack);
        } else if now - last_checked_at > self.timing.pause_ms() {
            self.suspend(now, SuspensionReason::Paused);
        }
    }

    /// Times of a clock that went back mean nothing any more.
    fn clamp_timestamps(&mut self, now: u64) {
        self.next_request_at = self.next_request_at.min(now);
        self.standby_until = self.standby_until.min(now);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.sent_at = in_flight.sent_at.min(now);
        }
    }

    fn suspend(&mut self, now: u64, reason: SuspensionReason) {
        let Some(holding) = self.holding_mut() else {
            return;
        };
        let token = holding.token;
        holding.suspended_at = Some(now);
        holding.confirmed_at = holding.confirmed_at.min(now);
        self.next_request_at = now;
        self.events.push(LeaseEvent::Suspended(token, reason));
    }

    /// Does what has come due. Returns a request with its number, by which the response
    /// comes back.
    pub fn tick(&mut self, now: u64) -> Option<(u64, LeaseRequest)> {
        self.check_clock(now);
        self.expire_request(now);
        if self.in_flight.is_some() || now < self.next_request_at {
            return None;
        }
        let request = self.next_request(now)?;
        let id = self.next_id;
        self.next_id += 1;
        self.in_flight = Some(InFlight {
            id,
            sent_at: now,
            request: request.clone(),
        });
        Some((id, request))
    }

    /// A request without an answer in time counts as one of which nothing is known.
    fn expire_request(&mut self, now: u64) {
        let timeout_ms = self.timing.answer_timeout_ms();
        let expired = |in_flight: &InFlight| now >= in_flight.sent_at + timeout_ms;
        if let Some(id) = self.in_flight.as_ref().filter(|f| expired(f)).map(|f| f.id) {
            self.on_response(id, LeaseResponse::NoAnswer, now);
        }
    }

    fn next_request(&mut self, now: u64) -> Option<LeaseRequest> {
        match &self.state {
            State::Following => self.next_request_following(now),
            State::Granting => Some(LeaseRequest::CreateGrant {
                ttl_ms: self.timing.ttl_ms,
            }),
            State::Acquiring { grant, token } => {
                let view = self.view.as_ref()?;
                Some(LeaseRequest::Acquire {
                    grant: *grant,
                    holder: self.own_key(*token),
                    holder_version: view.holder_version,
                    token_version: view.token_version,
                })
            }
            State::Unknown { .. } => Some(LeaseRequest::Read),
            State::Holding(holding) if self.is_candidate => Some(LeaseRequest::Renew {
                grant: holding.grant,
            }),
            State::Holding(holding) => {
                let (grant, token) = (holding.grant, holding.token);
                self.events.push(LeaseEvent::Released(token));
                self.state = State::Releasing { grant };
                Some(LeaseRequest::Release { grant })
            }
            State::Releasing { grant } => Some(LeaseRequest::Release { grant: *grant }),
        }
    }

    /// Looks at the lease again and again, and stands for it when it is free, or of an
    /// earlier process with this name.
    fn next_request_following(&mut self, now: u64) -> Option<LeaseRequest> {
        let may_campaign = self.is_candidate && now >= self.standby_until;
        if may_campaign && self.is_free() {
            self.state = State::Granting;
            return Some(LeaseRequest::CreateGrant {
                ttl_ms: self.timing.ttl_ms,
            });
        }
        Some(LeaseRequest::Read)
    }

    /// Takes in a view. False if it is out of date.
    fn accept_view(&mut self, view: &LeaseView) -> bool {
        if view.token < self.highest_token {
            return false;
        }
        self.highest_token = view.token;
        self.view = Some(view.clone());
        true
    }

    /// The lease key's value while this controller holds the duty under a token.
    fn own_key(&self, token: Token) -> HolderKey {
        HolderKey {
            member: self.member.clone(),
            token,
        }
    }

    /// Whether nobody holds the duty, or an earlier process with this name.
    fn is_free(&self) -> bool {
        self.view.as_ref().is_some_and(|view| {
            let holder = view.holder.as_ref();
            holder.is_none_or(|holder| holder.member == self.member)
        })
    }

    /// Takes in the response to a request. One that comes late, or again, changes nothing.
    pub fn on_response(&mut self, id: u64, response: LeaseResponse, now: u64) {
        self.check_clock(now);
        let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.id == id) else {
            return;
        };
        let response = match response {
            LeaseResponse::View(view) if !self.accept_view(&view) => LeaseResponse::Refused,
            response => response,
        };
        let soon = now + self.timing.retry_ms();
        match (self.state.clone(), response) {
            // A watch tells sooner.
            (State::Following, LeaseResponse::View(_)) if !self.is_free() => {
                self.next_request_at = now + self.timing.renewal_interval_ms();
            }
            (State::Following, _) => self.next_request_at = soon,
            (State::Granting, LeaseResponse::Granted(grant)) => self.on_granted(grant, now),
            (State::Granting, _) => self.follow(soon),
            (State::Acquiring { grant, token }, response) => {
                self.on_acquisition(grant, token, response, in_flight.sent_at, now);
            }
            (State::Unknown { grant, token }, LeaseResponse::View(view)) => {
                self.on_unknown_read(grant, token, &view, now);
            }
            (State::Unknown { .. }, _) => self.next_request_at = soon,
            (State::Holding(_), response) => {
                self.on_renewal(response, in_flight.sent_at, now);
            }
            (State::Releasing { .. }, LeaseResponse::Released | LeaseResponse::GrantEnded) => {
                self.standby_until = now + self.timing.ttl_ms;
                self.follow(soon);
            }
            (State::Releasing { .. }, _) => self.next_request_at = soon,
        }
    }

    fn follow(&mut self, next_request_at: u64) {
        self.state = State::Following;
        self.view = None;
        self.next_request_at = next_request_at;
    }

    fn on_granted(&mut self, grant: u64, now: u64) {
        let last_token = self.view.as_ref().map_or(0, |view| view.token);
        self.state = State::Acquiring {
            grant,
            token: last_token + 1,
        };
        self.next_request_at = now;
    }

    fn on_acquisition(
        &mut self,
        grant: u64,
        token: Token,
        response: LeaseResponse,
        sent_at: u64,
        now: u64,
    ) {
        match response {
            LeaseResponse::Acquired { version } => {
                self.hold(grant, token, version, sent_at, now);
            }
            LeaseResponse::NoAnswer => {
                self.state = State::Unknown { grant, token };
                self.next_request_at = now;
            }
            // Not carried out; and it can't be carried out later, as the grant is ended.
            _ => {
                self.state = State::Releasing { grant };
                self.next_request_at = now;
            }
        }
    }

    /// Holds the duty, without orders until a renewal has confirmed the grant.
    fn hold(&mut self, grant: u64, token: Token, version: u64, sent_at: u64, now: u64) {
        self.state = State::Holding(Holding {
            grant,
            token,
            version,
            confirmed_at: sent_at,
            suspended_at: Some(now),
        });
        self.next_request_at = now;
        self.highest_token = self.highest_token.max(token);
        self.events.push(LeaseEvent::Gained(token));
        let reason = SuspensionReason::NotRenewedYet;
        self.events.push(LeaseEvent::Suspended(token, reason));
    }

    /// What came of an acquisition without an answer. If it was not carried out, it may
    /// yet be: the grant is ended, without which it can't.
    fn on_unknown_read(&mut self, grant: u64, token: Token, view: &LeaseView, now: u64) {
        if view.holder.as_ref() == Some(&self.own_key(token)) {
            self.hold(grant, token, view.holder_version, now, now);
        } else {
            self.state = State::Releasing { grant };
            self.next_request_at = now;
        }
    }

    fn on_renewal(&mut self, response: LeaseResponse, sent_at: u64, now: u64) {
        let interval_ms = self.timing.renewal_interval_ms();
        let retry_at = now + self.timing.retry_ms();
        let Some(holding) = self.holding_mut() else {
            return;
        };
        let token = holding.token;
        match response {
            // A renewal whose answer comes late counts from its sending.
            LeaseResponse::Renewed => {
                holding.confirmed_at = holding.confirmed_at.max(sent_at);
                let confirms = holding.suspended_at.is_some_and(|at| sent_at >= at);
                if confirms {
                    holding.suspended_at = None;
                }
                self.next_request_at = sent_at + interval_ms;
                if confirms {
                    self.events.push(LeaseEvent::Resumed(token));
                } else if self.is_suspended() {
                    self.next_request_at = now;
                }
            }
            LeaseResponse::GrantEnded => self.lose(LossReason::GrantEnded, now),
            _ => self.next_request_at = retry_at,
        }
    }

    fn is_suspended(&self) -> bool {
        self.holding().is_some_and(|h| h.suspended_at.is_some())
    }

    /// What the store holds, as a watch tells. It may be older than what is known.
    pub fn on_view(&mut self, view: &LeaseView, now: u64) {
        self.check_clock(now);
        if let Some(version) = self.holder_version() {
            if self.accept_view(view) && view.holder_version != version {
                self.lose(LossReason::Replaced, now);
            }
            return;
        }
        // What an election was begun on stays: with a newer view it could take the key from
        // a holder.
        let follows = self.state == State::Following;
        if follows && self.accept_view(view) && self.is_free() {
            self.next_request_at = self.next_request_at.min(now);
        }
    }

    /// The provider refused an order, as it has seen a higher token.
    pub fn on_fenced(&mut self, now: u64) {
        self.lose(LossReason::Fenced, now);
    }

    fn lose(&mut self, reason: LossReason, now: u64) {
        let Some(token) = self.token() else { return };
        self.in_flight = None;
        self.events.push(LeaseEvent::Lost(token, reason));
        self.follow(now + self.timing.retry_ms());
    }
}
