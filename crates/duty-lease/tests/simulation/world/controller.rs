//! A simulated controller: its leases, its order books and its view of the store.

use std::collections::BTreeMap;

use duty_lease::{
    Duty, DutyLease, FencingStatus, LeaseEvent, LeaseResponse, LeaseTiming, OrderBook, OrderId,
    OrderOutcome, OrderRequest, OutgoingLeaseRequest, WriteGuard,
};

use super::clock::Clock;
use super::network::{Process, Reply, StoreOperation, StoreRequest, StoreResult};
use super::planner::PLANNER;
use super::snapshot::Snapshot;
use super::{DUTIES, TTL_MS};
use crate::checker::{Event, History};

/// Time between two reads of the store.
const READ_INTERVAL_MS: u64 = 200;
/// The duties that have an order book.
const ORDER_DUTIES: [Duty; 2] = [Duty::Rent, Duty::Return];

pub(super) struct Controller {
    index: usize,
    process: u64,
    pub is_alive: bool,
    pub paused_until: u64,
    pub clock: Clock,
    pub leases: BTreeMap<Duty, DutyLease>,
    books: BTreeMap<Duty, OrderBook>,
    pub view: Snapshot,
    next_read_at: u64,
    plans: u64,
}

impl Controller {
    pub(super) fn new(index: usize, clock: Clock) -> Controller {
        Controller {
            index,
            process: 0,
            is_alive: false,
            paused_until: 0,
            clock,
            leases: BTreeMap::new(),
            books: BTreeMap::new(),
            view: Snapshot::default(),
            next_read_at: 0,
            plans: 0,
        }
    }

    /// Starts a new process, which has no state of the previous one.
    pub(super) fn start(&mut self) {
        self.process += 1;
        self.is_alive = true;
        self.view = Snapshot::default();
        self.next_read_at = 0;
        let name = format!("c{}", self.index);
        let timing = LeaseTiming::new(TTL_MS);
        let lease = |duty| (duty, DutyLease::new(&name, timing));
        let book = |duty| (duty, OrderBook::new(duty, timing));
        self.leases = DUTIES.into_iter().map(lease).collect();
        self.books = ORDER_DUTIES.into_iter().map(book).collect();
    }

    pub(super) fn process(&self) -> Process {
        Process {
            controller: self.index,
            number: self.process,
        }
    }

    pub(super) fn is_running(&self, now: u64) -> bool {
        self.is_alive && now >= self.paused_until
    }

    /// Whether it is allowed to send orders of a duty now.
    pub(super) fn may_send_orders(&mut self, duty: Duty, now: u64) -> bool {
        let local = self.clock.read(now);
        let lease = self.leases.get_mut(&duty);
        lease.is_some_and(|lease| lease.order_token(local).is_some())
    }

    /// The leases' requests that are due, and the next read.
    pub(super) fn due_store_requests(&mut self, now: u64) -> Vec<StoreRequest> {
        let local = self.clock.read(now);
        let mut requests = Vec::new();
        for (duty, lease) in &mut self.leases {
            if let Some(OutgoingLeaseRequest { id, request }) = lease.tick(local) {
                requests.push(StoreRequest {
                    reply: Reply::Lease { duty: *duty, id },
                    operation: StoreOperation::Lease(*duty, request),
                });
            }
        }
        if now >= self.next_read_at {
            self.next_read_at = now + READ_INTERVAL_MS;
            requests.push(StoreRequest {
                reply: Reply::View,
                operation: StoreOperation::Read,
            });
        }
        requests
    }

    /// The order books' requests that are due. Adds to the history that this controller is allowed
    /// to send orders.
    pub(super) fn due_order_requests(
        &mut self,
        now: u64,
        history: &mut History,
    ) -> Vec<OrderRequest> {
        let local = self.clock.read(now);
        let mut requests = Vec::new();
        for (duty, lease) in &mut self.leases {
            let token = lease.order_token(local);
            if let Some(token) = token {
                let event = Event::OrderAllowed {
                    duty: *duty,
                    controller: self.index,
                    token,
                };
                history.add(now, event);
            }
            if let Some(book) = self.books.get_mut(duty) {
                requests.extend(book.tick(token, local));
            }
        }
        requests
    }

    /// The lease that the planner's writes depend on, if this controller holds it and has read the
    /// store since it acquired it.
    pub(super) fn planner_lease(&mut self, now: u64) -> Option<PlannerLease> {
        let local = self.clock.read(now);
        let lease = self.leases.get_mut(&PLANNER)?;
        let token = lease.order_token(local)?;
        let version = lease.holder_version()?;
        let view = self.view.leases.get(&PLANNER)?;
        (view.holder_version == version).then_some(PlannerLease { token, version })
    }

    /// A suffix that is unique among the plans of this controller under the token.
    pub(super) fn next_plan_suffix(&mut self, token: u64) -> String {
        self.plans += 1;
        format!("{token}-{}", self.plans)
    }

    pub(super) fn on_store_result(&mut self, reply: Reply, result: StoreResult, now: u64) {
        let local = self.clock.read(now);
        match (reply, result) {
            (Reply::Lease { duty, id }, result) => {
                self.on_lease_response(duty, id, result.into_lease_response(), local);
            }
            (Reply::View, StoreResult::Snapshot(snapshot)) => self.on_snapshot(*snapshot, local),
            (Reply::Recorded(id), result) => {
                if let Some(book) = self.books.get_mut(&id.duty) {
                    book.on_recorded(id, result.record_outcome(), local);
                }
            }
            (Reply::Completed(id), result) => {
                if let Some(book) = self.books.get_mut(&id.duty) {
                    book.on_completed(id, result.record_outcome(), local);
                }
            }
            (Reply::View | Reply::Nothing, _) => {}
        }
    }

    fn on_lease_response(&mut self, duty: Duty, id: u64, response: LeaseResponse, local: u64) {
        if let Some(lease) = self.leases.get_mut(&duty) {
            lease.on_response(id, response, local);
        }
        self.forward_lease_events();
    }

    fn on_snapshot(&mut self, snapshot: Snapshot, local: u64) {
        for (duty, lease) in &mut self.leases {
            lease.on_view(&snapshot.leases[duty], local);
        }
        self.view = snapshot;
        self.forward_lease_events();
        for (duty, book) in &mut self.books {
            let intents = self.view.intents_of(*duty);
            let requests = self.view.requests_of(*duty);
            book.on_view(&intents, &requests);
        }
    }

    pub(super) fn on_order_outcome(&mut self, id: OrderId, outcome: OrderOutcome, now: u64) {
        let local = self.clock.read(now);
        let Some(book) = self.books.get_mut(&id.duty) else {
            return;
        };
        if book.on_sent(id, outcome, local) == FencingStatus::NotFenced {
            return;
        }
        if let Some(lease) = self.leases.get_mut(&id.duty) {
            lease.on_fenced(local);
        }
        self.forward_lease_events();
    }

    /// Notifies the order books of gained and lost leases.
    pub(super) fn forward_lease_events(&mut self) {
        for (duty, lease) in &mut self.leases {
            let events = lease.take_events();
            let Some(book) = self.books.get_mut(duty) else {
                continue;
            };
            for event in events {
                match event {
                    LeaseEvent::Gained(token) => {
                        let holder_version = lease.holder_version().unwrap_or(0);
                        book.on_gained(token, WriteGuard { holder_version });
                    }
                    LeaseEvent::Lost(..) | LeaseEvent::Released(_) => book.on_lost(),
                    LeaseEvent::Suspended(..) | LeaseEvent::Resumed(_) => {}
                }
            }
        }
    }
}

/// The planner's lease at the time of a plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannerLease {
    pub token: u64,
    /// The version of the lease key.
    pub version: u64,
}
