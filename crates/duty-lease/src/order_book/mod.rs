//! A duty holder's orders, from the scaling request to the completion.
//!
//! [`OrderBook`] owns the orders in progress of one duty while this controller holds it.
//! Each order goes through three steps, of which any may be the last before a crash:
//!
//! 1. The intent is recorded and the scaling request removed, in one transaction on
//!    condition that this controller still holds the lease.
//! 2. The order is sent under the holder's present token, as often as required.
//! 3. The intent is completed, on the same condition.
//!
//! A successor finds the open intents of earlier holders and sends their orders again, by
//! their own names: the provider carries out each name once.
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

/// Most orders in progress at a time.
const IN_PROGRESS_MAX: usize = 8;

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
    /// An empty order book of a controller that does not hold the duty.
    pub fn new(duty: Duty, timing: LeaseTiming) -> OrderBook {
        OrderBook {
            duty,
            timing,
            held_lease: None,
            next_sequence: 1,
            entries: BTreeMap::new(),
        }
    }

    /// This controller holds the duty under this token.
    pub fn on_gained(&mut self, token: Token, guard: WriteGuard) {
        self.held_lease = Some(HeldLease { token, guard });
        self.next_sequence = 1;
        self.entries.clear();
    }

    /// This controller does not hold the duty any more. What was begun is on record for the
    /// next holder.
    pub fn on_lost(&mut self) {
        self.held_lease = None;
        self.entries.clear();
    }

    /// How many orders are in progress.
    pub fn in_progress(&self) -> usize {
        self.entries.len()
    }

    /// What the store holds for the duty, as of one read: open intents, including those of
    /// earlier holders, and scaling requests. Resumes the intents, and begins to satisfy
    /// requests while there is room.
    pub fn on_view(&mut self, intents: &[Intent], requests: &[ScalingRequest]) {
        let Some(held_lease) = self.held_lease else {
            return;
        };
        for intent in intents {
            self.resume(intent);
        }
        for request in requests {
            if self.entries.len() >= IN_PROGRESS_MAX {
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

    /// Returns the requests that have come due. `order_token`: the token under which orders
    /// may be given at this very moment, see [`crate::DutyLease::order_token`].
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

    /// The outcome of recording an intent.
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
            // The scaling request was removed, the duty was lost, or the intent was recorded
            // before: the next view shows which.
            RecordOutcome::Conflict => {
                self.entries.remove(&id);
            }
            RecordOutcome::Unknown => entry.retry(retry_at),
        }
    }

    /// The outcome of sending an order. Returns whether it shows that the holder is fenced.
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

    /// The outcome of completing an intent.
    pub fn on_completed(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        let retry_at = self.retry_at(now);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match outcome {
            // After a conflict the next view shows the state: an intent that is still open is
            // resumed, and its order repeated.
            RecordOutcome::Written { .. } | RecordOutcome::Conflict => {
                self.entries.remove(&id);
            }
            RecordOutcome::Unknown => entry.retry(retry_at),
        }
    }

    fn retry_at(&self, now: u64) -> u64 {
        now + self.timing.retry_ms()
    }
}
