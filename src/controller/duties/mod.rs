//! Duties under fenced leases: which this controller holds, and the orders that it gives as
//! their holder. The planning leader decides what is to be done (`requests`), the holder of a
//! duty does it (`orders`, `reclaim`, `cleaning`).
//!
//! Nothing of this happens before all controllers have said that they can do it, and the
//! format says so ([`DUTIES_FORMAT`]).

mod assignment;
mod cleaning;
mod leases;
mod machine_orders;
mod orders;
mod request_review;
mod scaling_requests;

use std::collections::BTreeMap;

use duty_lease::{Duty, DutyLease, LeaseTiming, OrderBook, OrderId};
use tracing::debug;

use super::commits::WriteOwner;
use super::Controller;
use crate::controller::provider_client::ProviderRole;
use crate::duties::{holder_key, order_key, OrderKey, OrderRecord, DUTIES_FORMAT};
use crate::job::PACKED_FORMAT;
use crate::settings::{ClusterSettings, DutySettings};
use crate::wire::{Condition, Write};
use crate::write_queue::{CommitResult, WriteClass, WriteRequest};

use assignment::DutyAssignment;
use cleaning::Cleaning;
pub(super) use orders::SentOrder;
use scaling_requests::LeaderRequests;

/// A change of orders' records.
#[derive(Debug, Clone)]
pub(super) struct DutyWrite {
    purpose: WritePurpose,
    /// The records that it sets, or removes.
    changes: Vec<(OrderKey, Option<OrderRecord>)>,
}

impl DutyWrite {
    /// Whether it is a leader's, whose term it depends on.
    pub fn is_of_leader(&self) -> bool {
        let purpose = &self.purpose;
        matches!(
            purpose,
            WritePurpose::ScalingRequest { .. } | WritePurpose::ResultProcessed
        )
    }
}

/// Who waits for a change of orders' records.
#[derive(Debug, Clone)]
enum WritePurpose {
    /// The leader, which needs something.
    ScalingRequest { epoch: u64 },
    /// The leader, which has taken in a result.
    ResultProcessed,
    /// The order book: an order is recorded.
    Record(OrderId),
    /// The order book: an order is completed.
    Complete(OrderId),
    /// The holder, which found that a need can't be met, or passes it on.
    RequestDecided,
    /// The holder of cleaning.
    Clean,
    /// Nobody: a refused order was noted.
    Refusal,
}

/// This controller's part in one duty.
#[derive(Debug)]
struct DutyRuntime {
    lease: DutyLease,
    orders: OrderBook,
    /// The records that the lease and the order book were last shown.
    lease_generation: Option<u64>,
    orders_generation: Option<u64>,
    /// As of when needs were last looked at: the records of duties, and the revision.
    reviewed_at: Option<(u64, u64)>,
    /// Records whose change is on its way.
    decisions_in_flight: Vec<OrderKey>,
}

/// This controller's part in all duties.
#[derive(Debug)]
pub(super) struct DutyControl {
    settings: DutySettings,
    timing: LeaseTiming,
    runtimes: BTreeMap<Duty, DutyRuntime>,
    assignment: DutyAssignment,
    cleaning: Cleaning,
}

/// Duties as seen by one controller.
#[derive(Debug, Default)]
pub(super) struct DutyState {
    /// Its own part; `None` if operators have not switched it on.
    control: Option<DutyControl>,
    /// The leader's part.
    requests: LeaderRequests,
}

impl DutyState {
    pub fn new(member: &str, cluster: &ClusterSettings, settings: Option<&DutySettings>) -> Self {
        let control = settings.map(|settings| {
            let timing = settings.timing(cluster.workers.lease_s);
            let lease = || {
                let mut lease = DutyLease::new(member, timing);
                // Until it is known who else is there.
                lease.set_candidate(false);
                lease
            };
            let runtime = |duty| DutyRuntime {
                lease: lease(),
                orders: OrderBook::new(duty, timing),
                lease_generation: None,
                orders_generation: None,
                reviewed_at: None,
                decisions_in_flight: vec![],
            };
            DutyControl {
                settings: settings.clone(),
                timing,
                runtimes: Duty::ALL.map(|duty| (duty, runtime(duty))).into(),
                assignment: DutyAssignment::default(),
                cleaning: Cleaning::new(settings.cleaning_per_s),
            }
        });
        DutyState {
            control,
            requests: LeaderRequests::default(),
        }
    }

    fn runtime(&mut self, duty: Duty) -> Option<&mut DutyRuntime> {
        self.control.as_mut()?.runtimes.get_mut(&duty)
    }
}

impl Controller {
    /// The latest format that this controller asks for and can keep to.
    pub(super) fn known_format(&self) -> u64 {
        if self.duties.control.is_some() {
            DUTIES_FORMAT
        } else {
            PACKED_FORMAT
        }
    }

    /// Whether duties have left the leader.
    pub(super) fn are_duties_active(&self) -> bool {
        self.watch_cache.format >= DUTIES_FORMAT && !self.is_outdated()
    }

    /// Does what has come due; to be called often, as holders look at the clock here.
    pub(super) fn duties_tick(&mut self) {
        if !self.are_duties_active() || !self.watch_cache.loaded {
            return;
        }
        self.assign_duties();
        self.warn_of_missing_holders();
        self.remove_processed_results();
        self.clean_records();
        self.set_provider_share();
    }

    /// Sends what has come due between ticks.
    pub(super) fn duties_flush(&mut self) {
        if !self.are_duties_active() || !self.watch_cache.loaded {
            return;
        }
        self.forward_order_changes();
        for duty in Duty::ALL {
            self.run_lease(duty);
            self.review_scaling_requests(duty);
            self.run_orders(duty);
        }
    }

    /// Whether this controller holds a duty, orders or not.
    fn holds(&self, duty: Duty) -> bool {
        let control = self.duties.control.as_ref();
        let runtime = control.and_then(|control| control.runtimes.get(&duty));
        runtime.is_some_and(|runtime| runtime.lease.token().is_some())
    }

    /// Whether this controller may give orders of a duty at this very moment.
    fn may_send_orders(&mut self, duty: Duty) -> bool {
        let now = self.clock.steady_ms();
        let runtime = self.duties.runtime(duty);
        runtime.is_some_and(|runtime| runtime.lease.order_token(now).is_some())
    }

    fn set_provider_share(&mut self) {
        let now = self.clock.steady_ms();
        let is_holder = self.holds(Duty::Rent) || self.holds(Duty::Return);
        let role = match (is_holder, self.scheduler.is_some()) {
            (true, true) => ProviderRole::LeaderAndHolder,
            (true, false) => ProviderRole::Holder,
            (false, _) => ProviderRole::Reader,
        };
        self.provider.set_share(role, now);
    }

    /// Changes records on condition that the lease of a duty is ours, that each record has
    /// the version that is known of it, and that new ones do not exist.
    fn write_as_holder(&mut self, duty: Duty, write: DutyWrite) {
        let runtime = self.duties.runtime(duty);
        let Some(version) = runtime.and_then(|runtime| runtime.lease.holder_version()) else {
            return;
        };
        self.push_duty_write(Condition::new(holder_key(duty), version), write);
    }

    fn push_duty_write(&mut self, entitled: Condition, write: DutyWrite) {
        let mut conditions = vec![entitled];
        let mut writes = Vec::new();
        for (key, record) in &write.changes {
            let version = self.watch_cache.duties.order(key).map_or(0, |(_, v)| v);
            let name = order_key(key);
            conditions.push(Condition::new(name.clone(), version));
            writes.push(match record {
                Some(record) => Write::set(name, record.to_value()),
                None => Write::delete(name),
            });
        }
        self.store.push_write(WriteRequest {
            owner: WriteOwner::Duty(Box::new(write)),
            conditions,
            writes,
            class: WriteClass::Duty,
        });
    }

    /// What became of a change of orders' records.
    pub(super) fn on_duty_commit(&mut self, write: DutyWrite, result: &CommitResult) {
        if let CommitResult::Committed { revision } = result {
            for (key, record) in &write.changes {
                let duties = &mut self.watch_cache.duties;
                duties.apply_own_write(key, record.clone(), *revision);
            }
        }
        if let CommitResult::Conflict { failed, .. } = result {
            debug!("failed on {failed:?}: {write:?}");
        }
        match write.purpose {
            WritePurpose::ScalingRequest { epoch } => {
                self.on_request_written(epoch, &write.changes, result)
            }
            WritePurpose::Record(id) => self.on_order_recorded(id, result),
            WritePurpose::Complete(id) => self.on_order_completed(id, result),
            WritePurpose::RequestDecided => self.on_request_decided(&write.changes),
            WritePurpose::Clean => self.on_cleaned(&write.changes),
            WritePurpose::ResultProcessed => self.on_result_removed(&write.changes),
            WritePurpose::Refusal => {}
        }
    }
}
