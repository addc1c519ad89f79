//! One order in progress: its intent, its next step and its request in flight.

use super::protocol::{OrderRequest, WriteGuard};
use crate::intent::{Intent, OrderResult, ScalingRequest};
use crate::Token;

/// The lease under which a holder's orders are recorded and sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldLease {
    pub(super) token: Token,
    pub(super) guard: WriteGuard,
}

/// The next step of an order.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Step {
    /// Record the intent.
    Record { request: ScalingRequest },
    /// Send the order to the provider.
    Send,
    /// Complete the intent with the order's result.
    Complete { result: OrderResult },
}

/// An order in progress.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) intent: Intent,
    pub(super) step: Step,
    /// When the step's request in flight was sent. Without a response in time the request is
    /// repeated; it is idempotent.
    pub(super) sent_at: Option<u64>,
    not_before: u64,
}

impl Entry {
    pub(super) fn new(intent: Intent, step: Step) -> Entry {
        Entry {
            intent,
            step,
            sent_at: None,
            not_before: 0,
        }
    }

    /// Handles a read that shows the order's intent as recorded and open.
    pub(super) fn on_intent_read(&mut self, intent: &Intent) {
        if matches!(self.step, Step::Record { .. }) {
            // The intent was recorded, but the response was lost.
            self.step = Step::Send;
            self.sent_at = None;
        }
        self.intent.version = intent.version;
    }

    /// Whether the entry is recording an intent for this scaling request.
    pub(super) fn is_recording(&self, request: &ScalingRequest) -> bool {
        match &self.step {
            Step::Record { request: own } => own.id == request.id,
            Step::Send | Step::Complete { .. } => false,
        }
    }

    /// Whether the step's request is to be sent or repeated now.
    pub(super) fn is_due(&self, now: u64, timeout_ms: u64) -> bool {
        // If the clock went back, the timeout counts as expired.
        let is_awaiting_response = |sent_at: u64| now >= sent_at && now < sent_at + timeout_ms;
        now >= self.not_before && !self.sent_at.is_some_and(is_awaiting_response)
    }

    /// The step's request; `None` if the step is to send the order and `order_token` does not
    /// allow orders under the held lease.
    pub(super) fn request(
        &self,
        held_lease: HeldLease,
        order_token: Option<Token>,
    ) -> Option<OrderRequest> {
        let HeldLease { token, guard } = held_lease;
        match &self.step {
            Step::Record { request } => Some(OrderRequest::Record {
                intent: self.intent.clone(),
                request: request.clone(),
                guard,
            }),
            Step::Send if order_token != Some(token) => None,
            Step::Send => Some(OrderRequest::Send {
                id: self.intent.id,
                order: self.intent.order.clone(),
                token,
            }),
            Step::Complete { result } => Some(OrderRequest::Complete {
                intent: self.intent.clone(),
                result: result.clone(),
                guard,
            }),
        }
    }

    /// Repeats the step's request at `at`.
    pub(super) fn retry(&mut self, at: u64) {
        self.sent_at = None;
        self.not_before = at;
    }
}
