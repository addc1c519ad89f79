//! Processes order records as the leader: notifies the scheduler of their changes and removes
//! processed results.

use duty_lease::{Order, OrderResult};

use super::machine_orders::MachineOrder;
use super::writes::{DutyWrite, RecordChange, WritePurpose};
use super::Controller;
use crate::duties::{OrderChange, OrderKey, OrderPhase, OrderRecord};
use crate::scheduler::{ProvisioningOutcome, Scheduler, TerminationOutcome};

impl Controller {
    /// Notifies the scheduler of all order records at the beginning of a term.
    pub(in crate::controller) fn apply_recorded_orders(&mut self) {
        self.duties.requests.reset();
        if !self.are_duties_active() {
            return;
        }
        self.watch_cache.duties.take_changes();
        let orders = self.watch_cache.duties.orders();
        let orders: Vec<(OrderKey, OrderRecord)> = orders
            .map(|order| (order.key.clone(), order.record.clone()))
            .collect();
        for (key, record) in orders {
            self.apply_order_record(&key, &record);
        }
    }

    /// Notifies the scheduler of order records that have changed.
    pub(super) fn forward_order_changes(&mut self) {
        let changes = self.watch_cache.duties.take_changes();
        if self.scheduler.is_none() {
            return;
        }
        for change in changes {
            match &change.after {
                Some(record) => self.apply_order_record(&change.key, record),
                None => self.on_order_removed(&change),
            }
        }
    }

    fn apply_order_record(&mut self, key: &OrderKey, record: &OrderRecord) {
        let now = self.clock.steady_ms();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        match (&record.order, &record.phase) {
            (_, OrderPhase::Completed(result)) => self.apply_result(key, record, result),
            (Order::Rent { .. }, _) => adopt_provisioning(scheduler, key, record, now),
            (Order::Delete { machines, .. }, _) => scheduler.on_termination_recorded(machines),
        }
    }

    fn apply_result(&mut self, key: &OrderKey, record: &OrderRecord, result: &OrderResult) {
        let now = self.clock.steady_ms();
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let machines = record.machines_to_terminate();
        match result {
            OrderResult::Rented(names) => {
                adopt_provisioning(scheduler, key, record, now);
                let provisioned = ProvisioningOutcome::Provisioned(names.clone());
                scheduler.on_provisioning_outcome(&key.request, provisioned, now);
            }
            OrderResult::NoCapacity | OrderResult::Rejected => {
                let unavailable = ProvisioningOutcome::Unavailable;
                scheduler.on_provisioning_outcome(&key.request, unavailable, now);
                self.retain_machines(machines);
            }
            OrderResult::Deleted => {
                scheduler.on_termination_outcome(machines, TerminationOutcome::Confirmed, now);
            }
        }
        self.remove_processed_result(key.clone());
    }

    /// Removes the record of an order whose result was processed.
    fn remove_processed_result(&mut self, key: OrderKey) {
        if !self.duties.requests.begin_removal(&key) {
            return;
        }
        let changes = vec![RecordChange::remove(key)];
        self.write_as_leader(DutyWrite::new(WritePurpose::ResultProcessed, changes));
    }

    pub(super) fn on_result_removed(&mut self, changes: &[RecordChange]) {
        for change in changes {
            self.duties.requests.end_removal(&change.key);
        }
    }

    /// Removes processed results that still exist because an earlier removal failed.
    pub(super) fn remove_processed_results(&mut self) {
        if self.scheduler.is_none() {
            return;
        }
        let is_completed = |record: &OrderRecord| matches!(record.phase, OrderPhase::Completed(_));
        let orders = self.watch_cache.duties.orders();
        let completed = orders.filter(|order| is_completed(order.record));
        let completed: Vec<OrderKey> = completed.map(|order| order.key.clone()).collect();
        for key in completed {
            self.remove_processed_result(key);
        }
    }

    fn on_order_removed(&mut self, change: &OrderChange) {
        let now = self.clock.steady_ms();
        let (Some(scheduler), Some(before)) = (&mut self.scheduler, &change.before) else {
            return;
        };
        let machines = before.machines_to_terminate();
        let request = &change.key.request;
        match before.phase {
            // Only completion removes a recorded order: either a termination was carried out,
            // or the provider had no capacity for a provisioning request.
            OrderPhase::Recorded(_) => {
                let unavailable = ProvisioningOutcome::Unavailable;
                scheduler.on_provisioning_outcome(request, unavailable, now);
                scheduler.on_termination_outcome(machines, TerminationOutcome::Confirmed, now);
            }
            OrderPhase::Needed => {
                let cancelled = ProvisioningOutcome::Cancelled;
                scheduler.on_provisioning_outcome(request, cancelled, now);
                self.retain_machines(machines);
            }
            OrderPhase::Completed(_) => {}
        }
    }

    /// Tells the scheduler that machines are not terminated, except those for which another
    /// termination request exists or may still be written.
    fn retain_machines(&mut self, machines: &[String]) {
        let is_open = |name: &String| {
            self.watch_cache.duties.is_being_terminated(name)
                || self.duties.requests.is_termination_outcome_unknown(name)
        };
        let retained = machines.iter().filter(|name| !is_open(name));
        let retained: Vec<String> = retained.cloned().collect();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_termination_rejected(&retained);
        }
    }
}

/// Adopts an open provisioning request that another leader may have written.
fn adopt_provisioning(scheduler: &mut Scheduler, key: &OrderKey, record: &OrderRecord, now: u64) {
    if let MachineOrder::Provision(request) = MachineOrder::from(&record.order) {
        scheduler.adopt_provisioning(&key.request, request.kind, request.count, now);
    }
}
