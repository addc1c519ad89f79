//! Tracks a duty holder's orders from the scaling request to the completion.
//!
//! [`OrderBook`] owns the orders in progress of one duty while this controller holds the
//! duty. Each order goes through three steps; the process may crash after any of them:
//!
//! 1. Record the intent and remove the scaling request, in one transaction on condition that
//!    this controller still holds the lease.
//! 2. Send the order under the holder's present token, with retries.
//! 3. Complete the intent, on the same condition.
//!
//! A successor finds the open intents of earlier holders and sends their orders again under
//! their original names, which serve as idempotency keys: the provider carries out each name
//! once.
//!
//! Invariants: an order is sent only after its intent was recorded and while the lease
//! allows orders; no name is used for two orders; without the lease there are no entries.

mod entry;
mod protocol;

pub use protocol::{FencingStatus, OrderOutcome, OrderRequest, RecordOutcome, WriteGuard};

use std::collections::BTreeMap;

use crate::intent::{Intent, OrderId, ScalingRequest};
use crate::{Duty, LeaseTiming, Token};
use entry::{Entry, HeldLease, Step};

/// No further orders are started while this many are in progress.
const ORDERS_IN_PROGRESS_MAX: usize = 8;

/// A duty holder's orders.
#[derive(Debug, Clone)]
pub struct OrderBook {
    duty: Duty,
    timing: LeaseTiming,
    held_lease: Option<HeldLease>,
    next_sequence: u64,
    entries: BTreeMap<OrderId, Entry>,
}

impl OrderBook {
    /// Creates an empty order book for a controller that does not hold the duty.
    pub fn new(duty: Duty, timing: LeaseTiming) -> OrderBook {
        OrderBook {
            duty,
            timing,
            held_lease: None,
            next_sequence: 1,
            entries: BTreeMap::new(),
        }
    }

    /// Starts with an empty order book, after this controller has acquired the duty.
    pub fn on_gained(&mut self, token: Token, guard: WriteGuard) {
        self.held_lease = Some(HeldLease { token, guard });
        self.next_sequence = 1;
        self.entries.clear();
    }

    /// Drops all orders in progress, after this controller has lost or released the duty. The
    /// next holder resumes them from their recorded intents.
    pub fn on_lost(&mut self) {
        self.held_lease = None;
        self.entries.clear();
    }

    /// Number of orders in progress.
    pub fn in_progress(&self) -> usize {
        self.entries.len()
    }

    /// Handles a view of the duty's records: open intents, including those of earlier
    /// holders, and scaling requests. Resumes the intents, and starts orders for requests up
    /// to the limit of orders in progress.
    pub fn on_view(&mut self, intents: &[Intent], requests: &[ScalingRequest]) {
        let Some(held_lease) = self.held_lease else {
            return;
        };
        for intent in intents {
            self.resume(intent);
        }
        for request in requests {
            if self.entries.len() >= ORDERS_IN_PROGRESS_MAX {
                break;
            }
            if !self.is_being_satisfied(request) {
                self.begin(request, held_lease);
            }
        }
    }

    fn resume(&mut self, intent: &Intent) {
        let entry = self.entries.entry(intent.id);
        entry
            .or_insert_with(|| Entry::new(intent.clone(), Step::Send))
            .on_intent_read(intent);
    }

    fn is_being_satisfied(&self, request: &ScalingRequest) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.is_recording(request))
    }

    fn begin(&mut self, request: &ScalingRequest, held_lease: HeldLease) {
        let id = OrderId {
            duty: self.duty,
            token: held_lease.token,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let intent = Intent {
            id,
            request: request.id.clone(),
            order: request.order.clone(),
            version: 0,
        };
        let step = Step::Record {
            request: request.clone(),
        };
        self.entries.insert(id, Entry::new(intent, step));
    }

    /// Returns the requests that are due. `order_token` is the token under which orders may
    /// be sent at this moment, see [`crate::DutyLease::order_token`].
    pub fn tick(&mut self, order_token: Option<Token>, now: u64) -> Vec<OrderRequest> {
        let Some(held_lease) = self.held_lease else {
            return vec![];
        };
        let timeout_ms = self.timing.ttl_ms;
        let mut requests = Vec::new();
        for entry in self.entries.values_mut() {
            if !entry.is_due(now, timeout_ms) {
                continue;
            }
            if let Some(request) = entry.request(held_lease, order_token) {
                entry.sent_at = Some(now);
                requests.push(request);
            }
        }
        requests
    }

    /// Handles the outcome of recording an intent.
    pub fn on_recorded(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        let retry_at = self.retry_at(now);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if !matches!(entry.step, Step::Record { .. }) {
            return;
        }
        entry.sent_at = None;
        match outcome {
            RecordOutcome::Written { version } => {
                entry.intent.version = version;
                entry.step = Step::Send;
            }
            // The scaling request was removed, the duty was lost, or an earlier attempt
            // recorded the intent; the next view shows which.
            RecordOutcome::Conflict => {
                self.entries.remove(&id);
            }
            RecordOutcome::Unknown => entry.retry(retry_at),
        }
    }

    /// Handles the outcome of sending an order. Returns whether the holder is fenced.
    pub fn on_sent(&mut self, id: OrderId, outcome: OrderOutcome, now: u64) -> FencingStatus {
        let retry_at = self.retry_at(now);
        let Some(entry) = self.entries.get_mut(&id) else {
            return FencingStatus::NotFenced;
        };
        if entry.step != Step::Send {
            return FencingStatus::NotFenced;
        }
        entry.sent_at = None;
        match outcome {
            OrderOutcome::Done(result) => entry.step = Step::Complete { result },
            OrderOutcome::Fenced => return FencingStatus::Fenced,
            OrderOutcome::Unknown => entry.retry(retry_at),
        }
        FencingStatus::NotFenced
    }

    /// Handles the outcome of completing an intent.
    pub fn on_completed(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        let retry_at = self.retry_at(now);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match outcome {
            // After a conflict the next view shows the state: if the intent is still open, it
            // is resumed and its order is sent again.
            RecordOutcome::Written { .. } | RecordOutcome::Conflict => {
                self.entries.remove(&id);
            }
            RecordOutcome::Unknown => entry.retry(retry_at),
        }
    }

    fn retry_at(&self, now: u64) -> u64 {
        now + self.timing.retry_delay_ms()
    }
}
