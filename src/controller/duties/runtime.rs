//! This controller's part in one duty: its lease, its orders, and what it has reviewed of the
//! records.

use duty_lease::{
    Candidacy, Duty, DutyLease, FencingStatus, Intent, LeaseEvent, LeaseRequest, LeaseResponse,
    LeaseTiming, NumberedRequest, OrderBook, OrderId, OrderOutcome, OrderRequest, RecordOutcome,
    ScalingRequest, SuspensionReason, WriteGuard,
};
use tracing::{debug, info, warn};

use crate::duties::{DutyRecords, OrderKey};

/// A request for the lease of a duty, by its number.
#[derive(Debug)]
pub(in crate::controller) struct DutyLeaseCall {
    pub duty: Duty,
    pub id: u64,
    pub request: LeaseRequest,
}

/// The records that scaling requests were reviewed by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReviewPoint {
    /// The generation of the records of duties.
    pub generation: u64,
    /// The revision of the watch cache.
    pub revision: u64,
}

/// This controller's part in one duty.
#[derive(Debug)]
pub(super) struct DutyRuntime {
    duty: Duty,
    timing: LeaseTiming,
    lease: DutyLease,
    orders: OrderBook,
    /// The generations of records that the lease and the order book were last shown.
    lease_generation: Option<u64>,
    orders_generation: Option<u64>,
    /// When scaling requests were last reviewed.
    reviewed_at: Option<ReviewPoint>,
    /// Records whose change is on its way.
    decisions_in_flight: Vec<OrderKey>,
}

impl DutyRuntime {
    /// A controller that does not hold the duty, and is no candidate for it until it knows
    /// which others are live.
    pub(super) fn new(duty: Duty, member: &str, timing: LeaseTiming) -> DutyRuntime {
        let mut lease = DutyLease::new(member, timing);
        lease.set_candidacy(Candidacy::Observer);
        DutyRuntime {
            duty,
            timing,
            lease,
            orders: OrderBook::new(duty, timing),
            lease_generation: None,
            orders_generation: None,
            reviewed_at: None,
            decisions_in_flight: vec![],
        }
    }

    /// Whether this controller holds the duty, whether it may send orders or not.
    pub(super) fn holds(&self) -> bool {
        self.lease.token().is_some()
    }

    /// Whether this controller may send orders at this very moment.
    pub(super) fn may_send_orders(&mut self, now: u64) -> bool {
        self.lease.order_token(now).is_some()
    }

    /// The version of the lease key, if this controller holds the duty.
    pub(super) fn holder_version(&self) -> Option<u64> {
        self.lease.holder_version()
    }

    /// Makes this controller a candidate for the duty, or not.
    pub(super) fn set_candidacy(&mut self, candidacy: Candidacy) {
        self.lease.set_candidacy(candidacy);
    }

    /// How long a response of the store is waited for.
    pub(super) fn answer_timeout_ms(&self) -> u64 {
        self.timing.answer_timeout_ms()
    }

    /// The next request for the lease that has to be sent to the store.
    pub(super) fn next_lease_call(
        &mut self,
        records: &DutyRecords,
        now: u64,
    ) -> Option<DutyLeaseCall> {
        let generation = records.generation();
        if self.lease_generation != Some(generation) {
            self.lease_generation = Some(generation);
            self.lease.on_view(&records.lease(self.duty), now);
        }
        let NumberedRequest { id, request } = self.lease.tick(now)?;
        // A controller that only follows learns everything from the watch.
        if request == LeaseRequest::Read && self.lease.is_following() {
            let view = LeaseResponse::View(records.lease(self.duty));
            self.lease.on_response(id, view, now);
            return None;
        }
        let duty = self.duty;
        Some(DutyLeaseCall { duty, id, request })
    }

    /// The response to a request for the lease.
    pub(super) fn on_lease_response(&mut self, id: u64, response: LeaseResponse, now: u64) {
        self.lease.on_response(id, response, now);
    }

    /// Applies what has happened to the lease to the orders, and logs it.
    pub(super) fn process_lease_events(&mut self, member: &str) {
        for event in self.lease.take_events() {
            log_lease_event(self.duty, member, event);
            match event {
                LeaseEvent::Gained(token) => {
                    self.orders_generation = None;
                    self.reviewed_at = None;
                    self.decisions_in_flight.clear();
                    if let Some(holder_version) = self.lease.holder_version() {
                        let guard = WriteGuard { holder_version };
                        self.orders.on_gained(token, guard);
                    }
                }
                LeaseEvent::Lost(..) | LeaseEvent::Released(_) => self.orders.on_lost(),
                LeaseEvent::Suspended(..) | LeaseEvent::Resumed(_) => {}
            }
        }
    }

    /// Whether the order book is to be shown records of this generation.
    pub(super) fn begin_order_sync(&mut self, generation: u64) -> bool {
        let is_new = self.orders_generation != Some(generation);
        self.orders_generation = Some(generation);
        is_new
    }

    /// Shows the order book the recorded orders, and the requests that may be satisfied.
    pub(super) fn sync_orders(&mut self, intents: &[Intent], requests: &[ScalingRequest]) {
        self.orders.on_view(intents, requests);
    }

    /// The order book is to be shown the records again, even if nothing else changes.
    pub(super) fn repeat_order_sync(&mut self) {
        self.orders_generation = None;
    }

    /// The requests of the order book that are due.
    pub(super) fn due_order_requests(&mut self, now: u64) -> Vec<OrderRequest> {
        let order_token = self.lease.order_token(now);
        self.orders.tick(order_token, now)
    }

    /// What became of an order. Returns whether it shows that this controller is fenced: it
    /// has lost the duty then.
    pub(super) fn on_order_outcome(
        &mut self,
        id: OrderId,
        outcome: OrderOutcome,
        now: u64,
    ) -> FencingStatus {
        let fencing = self.orders.on_sent(id, outcome, now);
        if fencing == FencingStatus::Fenced {
            self.lease.on_fenced(now);
        }
        fencing
    }

    /// What became of recording an order.
    pub(super) fn on_order_recorded(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        self.orders.on_recorded(id, outcome, now);
    }

    /// What became of completing an order.
    pub(super) fn on_order_completed(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        self.orders.on_completed(id, outcome, now);
    }

    /// Whether scaling requests were reviewed by these records.
    pub(super) fn is_reviewed(&self, point: ReviewPoint) -> bool {
        self.reviewed_at == Some(point)
    }

    /// Scaling requests were reviewed.
    pub(super) fn mark_reviewed(&mut self, point: ReviewPoint) {
        self.reviewed_at = Some(point);
    }

    /// Whether a decision on a scaling request is on its way.
    pub(super) fn has_decision_in_flight(&self, request: &str) -> bool {
        let mut decisions = self.decisions_in_flight.iter();
        decisions.any(|key| key.request == request)
    }

    /// A decision on a scaling request is being written.
    pub(super) fn begin_decision(&mut self, key: OrderKey) {
        self.decisions_in_flight.push(key);
    }

    /// A decision was written, or was not: then it is made again.
    pub(super) fn end_decision(&mut self, key: &OrderKey) {
        self.decisions_in_flight.retain(|other| other != key);
        self.reviewed_at = None;
        self.orders_generation = None;
    }
}

fn log_lease_event(duty: Duty, member: &str, event: LeaseEvent) {
    let duty = duty.name();
    match event {
        LeaseEvent::Gained(token) => info!(duty, token, member, "duty gained"),
        LeaseEvent::Lost(token, reason) => warn!(duty, token, member, ?reason, "duty lost"),
        LeaseEvent::Released(token) => info!(duty, token, member, "duty released"),
        LeaseEvent::Suspended(token, SuspensionReason::NotRenewedYet) => {
            debug!(duty, token, member, "no orders before a renewal");
        }
        LeaseEvent::Suspended(token, reason) => {
            warn!(duty, token, member, ?reason, "orders suspended");
        }
        LeaseEvent::Resumed(token) => debug!(duty, token, member, "lease confirmed"),
    }
}
