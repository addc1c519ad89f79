//! The leader's part in duties: it writes what is needed, and takes in what came of it.

use std::collections::{BTreeMap, HashSet};

use duty_lease::{Duty, Order, OrderResult};

use super::machine_orders::MachineOrder;
use super::{Controller, DutyWrite, WritePurpose};
use crate::controller::provider_client::MachineRequest;
use crate::duties::{OrderChange, OrderKey, OrderPhase, OrderRecord};
use crate::machine::{TerminationClass, TerminationReason};
use crate::scheduler::{ProvisioningOutcome, Scheduler};
use crate::write_queue::CommitResult;

/// Most machines of one need, as of one deletion.
const TERMINATION_BATCH_MAX: usize = 100;
/// The part of a value that the names of machines may take, and what each takes beside its
/// own length.
const NAMES_PART: usize = 2;
const NAME_MARKS: usize = 4;
/// Provisioning requests that may wait for the holder before the leader asks for no more.
const WAITING_SCALE_OUT_MAX: usize = 16;

/// The leader's needs that are on their way to the store.
#[derive(Debug, Default)]
pub(super) struct LeaderRequests {
    /// Machines whose return is being written.
    pending_terminations: HashSet<String>,
    /// Machines of needs without an answer, which may yet be written: they get no work under
    /// this leader, whatever becomes of other needs for them.
    unanswered_terminations: HashSet<String>,
    /// Results whose removal is being written.
    processed: HashSet<OrderKey>,
    /// Return needs written in this process, for their names.
    termination_count: u64,
    /// Duties without a holder: since when, and whether that was said.
    unheld_since: BTreeMap<Duty, (u64, bool)>,
}

impl LeaderRequests {
    /// For how long a duty has had no holder, if that is longer than `bound_ms` and was not
    /// said yet.
    pub fn newly_unheld_for(
        &mut self,
        duty: Duty,
        is_held: bool,
        bound_ms: u64,
        now: u64,
    ) -> Option<u64> {
        if is_held {
            self.unheld_since.remove(&duty);
            return None;
        }
        let (since, said) = self.unheld_since.entry(duty).or_insert((now, false));
        let unheld_ms = now.saturating_sub(*since);
        let says = unheld_ms > bound_ms && !*said;
        *said |= says;
        says.then_some(unheld_ms)
    }
}

impl Controller {
    /// The leader needs machines.
    pub(in crate::controller) fn request_scale_out(
        &mut self,
        idempotency_key: String,
        request: &MachineRequest,
    ) {
        let key = OrderKey {
            duty: Duty::Rent,
            request: idempotency_key,
        };
        self.write_scaling_request(key, request.into());
    }

    /// The leader wants machines returned, those that are not on record for it yet.
    pub(in crate::controller) fn request_scale_in(&mut self, machines: Vec<String>) {
        let named = machines.into_iter().filter_map(|name| {
            let group = self.new_termination(&name)?;
            Some((name, group))
        });
        let named: Vec<(String, TerminationClass)> = named.collect();
        let mut groups: BTreeMap<TerminationClass, Vec<String>> = BTreeMap::new();
        let mut not_yet = Vec::new();
        let occupied = if named
            .iter()
            .any(|(_, group)| *group != TerminationClass::Lost)
        {
            self.occupied_machines()
        } else {
            HashSet::new()
        };
        for (name, group) in named {
            // That its last task has ended is written soon: its holder goes by the records.
            if group != TerminationClass::Lost && occupied.contains(&name) {
                not_yet.push(name);
            } else {
                groups.entry(group).or_default().push(name);
            }
        }
        let now = self.clock.steady_ms();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_termination_postponed(&not_yet, now);
        }
        for (group, names) in groups {
            let part_max = self.terminations_per_request_max(&names);
            for runtime in names.chunks(part_max) {
                self.write_scale_in_request(group, runtime.to_vec());
            }
        }
    }

    /// What has to be looked at before a machine is returned; `None` if that is on record.
    fn new_termination(&self, name: &str) -> Option<TerminationClass> {
        let is_pending = self.duties.requests.pending_terminations.contains(name);
        if is_pending || self.watch_cache.duties.is_being_terminated(name) {
            return None;
        }
        let machine = self.scheduler.as_ref()?.machines.get(name)?;
        machine.termination_reason.map(TerminationReason::group)
    }

    /// How many machines a need may name.
    fn terminations_per_request_max(&self, names: &[String]) -> usize {
        let value_bytes = (self.store_limits().lowered().value_kb * 1024.0) as usize;
        let longest = names.iter().map(String::len).max().unwrap_or(0);
        let fitting = value_bytes / NAMES_PART / (longest + NAME_MARKS);
        fitting.clamp(1, TERMINATION_BATCH_MAX)
    }

    fn write_scale_in_request(&mut self, group: TerminationClass, machines: Vec<String>) {
        let (duty, if_empty) = match group {
            TerminationClass::Idle => (Duty::ReclaimIdle, true),
            TerminationClass::Drained => (Duty::Return, true),
            TerminationClass::Lost => (Duty::Return, false),
        };
        let requests = &mut self.duties.requests;
        requests.termination_count += 1;
        let number = requests.termination_count;
        requests
            .pending_terminations
            .extend(machines.iter().cloned());
        // The count starts anew with a process, as its epoch does not.
        let request = format!("{}-{}-return-{number}", self.settings.member, self.epoch());
        let order = Order::Delete { machines, if_empty };
        self.write_scaling_request(OrderKey { duty, request }, order);
    }

    /// Writes a need in one transaction, which is sent once: a second one could create it
    /// anew after it was met.
    fn write_scaling_request(&mut self, key: OrderKey, order: Order) {
        let epoch = self.epoch();
        let record = OrderRecord {
            order,
            phase: OrderPhase::Needed,
            since_ms: self.clock.wall_ms(),
        };
        let write = DutyWrite {
            purpose: WritePurpose::ScalingRequest { epoch },
            changes: vec![(key, Some(record))],
        };
        self.write_as_leader(write);
    }

    fn write_as_leader(&mut self, write: DutyWrite) {
        let condition = self.scheduler.as_ref().map(|s| s.term_condition());
        if let Some(condition) = condition {
            self.push_duty_write(condition, write);
        }
    }

    pub(super) fn on_request_written(
        &mut self,
        epoch: u64,
        changes: &[(OrderKey, Option<OrderRecord>)],
        result: &CommitResult,
    ) {
        let now = self.clock.steady_ms();
        for (key, record) in changes {
            let requests = &mut self.duties.requests;
            for machine in record.iter().flat_map(OrderRecord::machines_to_terminate) {
                requests.pending_terminations.remove(machine);
                if *result == CommitResult::Unknown {
                    requests.unanswered_terminations.insert(machine.clone());
                }
            }
            let is_written = matches!(result, CommitResult::Committed { .. })
                || self.watch_cache.duties.order(key).is_some();
            // Without an answer it may yet be written; it is taken in then.
            if let Some(scheduler) = self.scheduler_of(epoch).filter(|_| !is_written) {
                if key.duty == Duty::Rent {
                    scheduler.on_provisioning_outcome(
                        &key.request,
                        ProvisioningOutcome::Cancelled,
                        now,
                    );
                }
            }
        }
        if self.scheduler_of(epoch).is_some() {
            self.step_down_if_deposed(result);
        }
    }

    /// The leader has begun a term: what is on record is taken in as it stands.
    pub(in crate::controller) fn apply_recorded_orders(&mut self) {
        self.duties.requests.pending_terminations.clear();
        self.duties.requests.unanswered_terminations.clear();
        self.duties.requests.processed.clear();
        if !self.are_duties_active() {
            return;
        }
        self.watch_cache.duties.take_changes();
        let orders = self.watch_cache.duties.orders();
        let orders: Vec<(OrderKey, OrderRecord)> = orders
            .map(|(key, record, _)| (key.clone(), record.clone()))
            .collect();
        for (key, record) in orders {
            self.apply_order_record(&key, &record);
        }
    }

    /// Tells the scheduler of orders' records that have changed.
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
            (_, OrderPhase::Completed(result)) => {
                match result {
                    OrderResult::Rented(names) => {
                        adopt_provisioning(scheduler, key, record, now);
                        let rented = ProvisioningOutcome::Provisioned(names.clone());
                        scheduler.on_provisioning_outcome(&key.request, rented, now);
                    }
                    OrderResult::NoCapacity | OrderResult::Rejected => {
                        scheduler.on_provisioning_outcome(
                            &key.request,
                            ProvisioningOutcome::Unavailable,
                            now,
                        );
                        self.retain_machines(record.machines_to_terminate());
                    }
                    OrderResult::Deleted => {
                        scheduler.on_termination_outcome(record.machines_to_terminate(), true, now);
                    }
                }
                self.remove_processed_result(key.clone());
            }
            (Order::Rent { .. }, _) => adopt_provisioning(scheduler, key, record, now),
            (Order::Delete { machines, .. }, _) => scheduler.on_termination_recorded(machines),
        }
    }

    /// Removes the record of an order whose result was taken in.
    fn remove_processed_result(&mut self, key: OrderKey) {
        if !self.duties.requests.processed.insert(key.clone()) {
            return;
        }
        let write = DutyWrite {
            purpose: WritePurpose::ResultProcessed,
            changes: vec![(key, None)],
        };
        self.write_as_leader(write);
    }

    pub(super) fn on_result_removed(&mut self, changes: &[(OrderKey, Option<OrderRecord>)]) {
        for (key, _) in changes {
            self.duties.requests.processed.remove(key);
        }
    }

    /// Removes what was taken in and is still on record: a removal may have failed.
    pub(super) fn remove_processed_results(&mut self) {
        if self.scheduler.is_none() {
            return;
        }
        let is_completed = |record: &OrderRecord| matches!(record.phase, OrderPhase::Completed(_));
        let orders = self.watch_cache.duties.orders();
        let completed = orders.filter(|(_, record, _)| is_completed(record));
        let completed: Vec<OrderKey> = completed.map(|(key, ..)| key.clone()).collect();
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
        match before.phase {
            // A recorded order is removed by its completion only: a deletion was carried
            // out, and of a provisioning request there was none to be had.
            OrderPhase::Recorded(_) => {
                scheduler.on_provisioning_outcome(
                    &change.key.request,
                    ProvisioningOutcome::Unavailable,
                    now,
                );
                scheduler.on_termination_outcome(machines, true, now);
            }
            OrderPhase::Needed => {
                scheduler.on_provisioning_outcome(
                    &change.key.request,
                    ProvisioningOutcome::Cancelled,
                    now,
                );
                self.retain_machines(machines);
            }
            OrderPhase::Completed(_) => {}
        }
    }

    /// Machines are not returned after all, unless another need for them is on record or may
    /// yet be.
    fn retain_machines(&mut self, machines: &[String]) {
        let unanswered = &self.duties.requests.unanswered_terminations;
        let is_open = |name: &&String| {
            self.watch_cache.duties.is_being_terminated(name) || unanswered.contains(*name)
        };
        let kept: Vec<String> = machines.iter().filter(|m| !is_open(m)).cloned().collect();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_termination_rejected(&kept);
        }
    }

    /// How many more provisioning requests the leader may ask for.
    pub(in crate::controller) fn scale_out_budget(&self) -> usize {
        let orders = self.watch_cache.duties.orders_of(Duty::Rent);
        let open = |record: &OrderRecord| !matches!(record.phase, OrderPhase::Completed(_));
        let waiting = orders.filter(|(_, record, _)| open(record)).count();
        WAITING_SCALE_OUT_MAX.saturating_sub(waiting)
    }
}

/// An open provisioning request that this leader may not know, as another one needed it.
fn adopt_provisioning(scheduler: &mut Scheduler, key: &OrderKey, record: &OrderRecord, now: u64) {
    if let MachineOrder::Provision(request) = MachineOrder::from(&record.order) {
        scheduler.adopt_provisioning(&key.request, request.kind, request.count, now);
    }
}
