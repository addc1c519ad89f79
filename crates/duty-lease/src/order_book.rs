//! A duty holder's orders, from the need to the completion.
//!
//! Each order goes through three steps, of which any may be the last before a crash:
//!
//! 1. The intent is recorded and the need removed, in one transaction on condition that the
//!    lease is ours.
//! 2. The order is sent under the holder's present token, as often as it takes.
//! 3. The intent is completed, on the same condition.
//!
//! A successor finds the open intents of those before it and sends their orders again, by
//! their own names: the provider carries out each name once.

use std::collections::BTreeMap;

use crate::intent::{Intent, OrderId, OrderResult, ScalingRequest};
use crate::{Duty, LeaseTiming, Order, Token};

/// Most orders in progress at a time.
const IN_PROGRESS_MAX: usize = 8;

/// The condition of every write: the lease key has this version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteGuard {
    /// The version of the lease key.
    pub holder_version: u64,
}

/// A request of the order book.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderRequest {
    /// Record the intent, which must not exist, and remove the need, which must have its
    /// version, in one transaction.
    Record {
        /// The intent.
        intent: Intent,
        /// The need that it meets.
        request: ScalingRequest,
        /// The condition.
        guard: WriteGuard,
    },
    /// Send the order to the provider.
    Send {
        /// The order's name.
        id: OrderId,
        /// The order.
        order: Order,
        /// The sender's token.
        token: Token,
    },
    /// Remove the intent, which must have its version, and note what it brought, in one
    /// transaction.
    Complete {
        /// The intent.
        intent: Intent,
        /// What it brought.
        result: OrderResult,
        /// The condition.
        guard: WriteGuard,
    },
}

/// What came of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Carried out; the key now has this version.
    Written {
        /// The version.
        version: u64,
    },
    /// A condition did not hold.
    Conflict,
    /// Not carried out, or nothing is known.
    Unknown,
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out, now or before.
    Done(OrderResult),
    /// Refused: the provider has seen a higher token.
    Fenced,
    /// Not carried out, or nothing is known.
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
enum Step {
    /// The intent is to be recorded.
    Record { request: ScalingRequest },
    /// The order is to be sent.
    Send,
    /// The intent is to be completed.
    Complete { result: OrderResult },
}

#[derive(Debug, Clone)]
struct Entry {
    intent: Intent,
    step: Step,
    /// When the request in flight of this step was sent. An answer that has not come in
    /// time will not come: the request is repeated, which changes nothing if it was
    /// carried out.
    sent_at: Option<u64>,
    not_before: u64,
}

impl Entry {
    fn new(intent: Intent, step: Step) -> Entry {
        Entry {
            intent,
            step,
            sent_at: None,
            not_before: 0,
        }
    }

    fn is_due(&self, now: u64, timeout_ms: u64) -> bool {
        // A clock that went back counts as a time that is over.
        let waits = |sent_at: u64| now >= sent_at && now < sent_at + timeout_ms;
        now >= self.not_before && !self.sent_at.is_some_and(waits)
    }

    /// Repeats the step after a pause.
    fn retry(&mut self, at: u64) {
        self.sent_at = None;
        self.not_before = at;
    }
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    token: Token,
    guard: WriteGuard,
}

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

    /// The duty is ours under this token.
    pub fn on_gained(&mut self, token: Token, guard: WriteGuard) {
        self.held_lease = Some(HeldLease { token, guard });
        self.next_sequence = 1;
        self.entries.clear();
    }

    /// The duty is not ours any more. What was begun is on record for the next holder.
    pub fn on_lost(&mut self) {
        self.held_lease = None;
        self.entries.clear();
    }

    /// How many orders are in progress.
    pub fn in_progress(&self) -> usize {
        self.entries.len()
    }

    /// Takes in what the store holds for the duty, as of one read: open intents,
    /// of earlier holders too, and needs.
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
        let entry = entry.or_insert_with(|| Entry::new(intent.clone(), Step::Send));
        if matches!(entry.step, Step::Record { .. }) {
            // It was recorded, though the answer did not come.
            entry.step = Step::Send;
            entry.sent_at = None;
        }
        entry.intent.version = intent.version;
    }

    fn is_being_satisfied(&self, request: &ScalingRequest) -> bool {
        let meets = |entry: &Entry| match &entry.step {
            Step::Record { request: own } => own.id == request.id,
            _ => false,
        };
        self.entries.values().any(meets)
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

    /// Requests that have come due. `order_token`: the token under which orders may be
    /// given at this very moment, see [`crate::DutyLease::order_token`].
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
            let request = match &entry.step {
                Step::Record { request } => OrderRequest::Record {
                    intent: entry.intent.clone(),
                    request: request.clone(),
                    guard: held_lease.guard,
                },
                Step::Send if order_token == Some(held_lease.token) => OrderRequest::Send {
                    id: entry.intent.id,
                    order: entry.intent.order.clone(),
                    token: held_lease.token,
                },
                Step::Send => continue,
                Step::Complete { result } => OrderRequest::Complete {
                    intent: entry.intent.clone(),
                    result: result.clone(),
                    guard: held_lease.guard,
                },
            };
            entry.sent_at = Some(now);
            requests.push(request);
        }
        requests
    }

    /// What came of recording an intent.
    pub fn on_recorded(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        let retry_at = now + self.timing.retry_ms();
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
            // The need is not there any more, the duty is not ours, or it was recorded
            // before: the next view tells.
            RecordOutcome::Conflict => {
                self.entries.remove(&id);
            }
            RecordOutcome::Unknown => entry.retry(retry_at),
        }
    }

    /// What came of sending an order. True if the holder is fenced: it has lost the duty.
    pub fn on_sent(&mut self, id: OrderId, outcome: OrderOutcome, now: u64) -> bool {
        let retry_at = now + self.timing.retry_ms();
        let Some(entry) = self.entries.get_mut(&id) else {
            return false;
        };
        if entry.step != Step::Send {
            return false;
        }
        entry.sent_at = None;
        match outcome {
            OrderOutcome::Done(result) => entry.step = Step::Complete { result },
            OrderOutcome::Fenced => return true,
            OrderOutcome::Unknown => entry.retry(retry_at),
        }
        false
    }

    /// What came of completing an intent.
    pub fn on_completed(&mut self, id: OrderId, outcome: RecordOutcome, now: u64) {
        let retry_at = now + self.timing.retry_ms();
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match outcome {
            // After a conflict the next view tells: an intent that is still open is taken
            // up again, and its order repeated.
            RecordOutcome::Written { .. } | RecordOutcome::Conflict => {
                self.entries.remove(&id);
            }
            RecordOutcome::Unknown => entry.retry(retry_at),
        }
    }
}
