//! This controller's runtime state of one duty: its lease, its orders, and its progress in
//! reviewing scaling requests.

use duty_lease::{
    Candidacy, Duty, DutyLease, FencingStatus, Intent, LeaseEvent, LeaseRequest, LeaseResponse,
    LeaseTiming, OrderBook, OrderId, OrderOutcome, OrderRequest, OutgoingLeaseRequest,
    RecordOutcome, ScalingRequest, SuspensionReason, WriteGuard,
};
use tracing::{debug, info, warn};

use crate::duties::{DutyRecords, OrderKey};

/// A numbered request for the lease of a duty.
#[derive(Debug)]
pub(in crate::controller) struct DutyLeaseCall {
    pub duty: Duty,
    pub id: u64,
    pub request: LeaseRequest,
}

/// The state of the records at a review of scaling requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReviewPoint {
    /// The generation of the duty records.
    pub generation: u64,
    /// The revision of the watch cache.
    pub revision: u64,
}

/// This controller's runtime state of one duty.
#[derive(Debug)]
pub(super) struct DutyRuntime {
    duty: Duty,
    timing: LeaseTiming,
    lease: DutyLease,
    orders: OrderBook,
    /// The generations of the records that were last passed to the lease and the order book.
    lease_generation: Option<u64>,
    orders_generation: Option<u64>,
    /// The state of the records at the last review of scaling requests.
    reviewed_at: Option<ReviewPoint>,
    /// Scaling requests whose review decision is being written.
    decisions_in_flight: Vec<OrderKey>,
}

impl DutyRuntime {
    /// Creates the state of a controller that does not hold the duty. It is not a candidate
    /// until it knows which other controllers are live.
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

    /// Whether this controller holds the duty, even if it may not send orders now.
    pub(super) fn holds(&self) -> bool {
        self.lease.token().is_some()
    }

    /// Whether this controller may send orders at this moment.
    pub(super) fn may_send_orders(&mut self, now: u64) -> bool {
        self.lease.order_token(now).is_some()
    }

    /// The version of the lease key, if this controller holds the duty.
    pub(super) fn holder_version(&self) -> Option<u64> {
        self.lease.holder_version()
    }

    /// Sets whether this controller is a candidate for the duty.
    pub(super) fn set_candidacy(&mut self, candidacy: Candidacy) {
        self.lease.set_candidacy(candidacy);
    }

    /// Timeout for a response of the store.
    pub(super) fn response_timeout_ms(&self) -> u64 {
        self.timing.response_timeout_ms()
    }

    /// The request for the lease that is due to be sent to the store, if any.
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
        let OutgoingLeaseRequest { id, request } = self.lease.tick(now)?;
        // While this controller only follows, the watch cache serves its reads.
        if request == LeaseRequest::Read && self.lease.is_following() {
            let view = LeaseResponse::View(records.lease(self.duty));
            self.lease.on_response(id, view, now);
            return None;
        }
        let duty = self.duty;
        Some(DutyLeaseCall { duty, id, request })
    }

    /// Passes the response to a request on to the lease.
    pub(super) fn on_lease_response(&mut self, id: u64, response: LeaseResponse, now: u64) {
        self.lease.on_response(id, response, now);
    }

    /// Logs the events of the lease and applies them to the order book.
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

    /// Records the generation that is passed to the order book next. Returns false if the
    /// order book has seen it already.
    pub(super) fn begin_order_sync(&mut self, generation: u64) -> bool {
        let is_new = self.orders_generation != Some(generation);
        self.orders_generation = Some(generation);
        is_new
    }

    /// Passes the recorded orders and the requests that may be carried out to the order book.
    pub(super) fn sync_orders(&mut self, intents: &[Intent], requests: &[ScalingRequest]) {
        self.orders.on_view(intents, requests);
    }

    /// Makes the next sync pass the records to the order book even if they have not changed.
    pub(super) fn repeat_order_sync(&mut self) {
        self.orders_generation = None;
    }

    /// The requests of the order book that are due.
    pub(super) fn due_order_requests(&mut self, now: u64) -> Vec<OrderRequest> {
        let order_token = self.lease.order_token(now);
        self.orders.tick(order_token, now)
    }

    /// Handles the outcome of a sent order. Returns whether this controller is fenced, in
    /// which case it has lost the duty.
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

    /// Handles the outcome of recording an order.
    pub(super) fn on_order_recorded(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        self.orders.on_recorded(id, outcome, now);
    }

    /// Handles the outcome of completing an order.
    pub(super) fn on_order_completed(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        self.orders.on_completed(id, outcome, now);
    }

    /// Whether scaling requests were reviewed at this state of the records.
    pub(super) fn is_reviewed(&self, point: ReviewPoint) -> bool {
        self.reviewed_at == Some(point)
    }

    /// Records that scaling requests are reviewed at this state of the records.
    pub(super) fn mark_reviewed(&mut self, point: ReviewPoint) {
        self.reviewed_at = Some(point);
    }

    /// Whether a decision on a scaling request is being written.
    pub(super) fn has_decision_in_flight(&self, request: &str) -> bool {
        let mut decisions = self.decisions_in_flight.iter();
        decisions.any(|key| key.request == request)
    }

    /// Records that a decision on a scaling request is being written.
    pub(super) fn begin_decision(&mut self, key: OrderKey) {
        self.decisions_in_flight.push(key);
    }

    /// Records that the write of a decision has ended, with any outcome, and schedules another
    /// review, which decides again if the write failed.
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
            debug!(
                duty,
                token, member, "suspending orders until the first lease renewal"
            );
        }
        LeaseEvent::Suspended(token, reason) => {
            warn!(
                duty,
                token,
                member,
                ?reason,
                "suspending orders until the next lease renewal"
            );
        }
        LeaseEvent::Resumed(token) => {
            debug!(duty, token, member, "lease renewed; resuming orders");
        }
    }
}
