//! Writes the leader's scaling requests to the holders of duties: to provision and to
//! terminate machines.

use std::collections::{BTreeMap, HashSet};

use duty_lease::{Duty, Order};

use super::writes::{DutyWrite, RecordChange, WritePurpose};
use super::Controller;
use crate::controller::provider_client::MachineRequest;
use crate::duties::{OrderKey, OrderPhase, OrderRecord};
use crate::epoch::Epoch;
use crate::machine::{TerminationClass, TerminationReason};
use crate::scheduler::ProvisioningOutcome;
use crate::write_queue::CommitResult;

/// Maximum number of machines in one scale-in request, equal to the scheduler's batch of
/// terminations.
const MACHINES_PER_REQUEST_MAX: usize = 100;
/// Machine names may take the store's value limit divided by this.
const NAMES_VALUE_DIVISOR: usize = 2;
/// Encoding overhead of each machine name, in addition to its length.
const NAME_OVERHEAD_BYTES: usize = 4;
const BYTES_PER_KB: f64 = 1024.0;
/// Maximum number of requests that one transaction creates, so that it stays well below the store's
/// limit for a transaction's size.
const REQUESTS_PER_TRANSACTION_MAX: usize = 4;
/// Maximum number of open provisioning requests; the leader writes no more until the holder
/// has completed some.
const OPEN_SCALE_OUT_REQUESTS_MAX: usize = 16;

/// A machine to be terminated.
struct Termination {
    machine: String,
    class: TerminationClass,
}

impl Controller {
    /// Writes a provisioning request to the holder of the rent duty.
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

    /// Requests the termination of machines, except of those that have an open request.
    pub(in crate::controller) fn request_scale_in(&mut self, machines: Vec<String>) {
        let terminations = machines
            .into_iter()
            .filter_map(|machine| self.new_termination(machine));
        let terminations: Vec<Termination> = terminations.collect();
        let occupied = if terminations.iter().any(Termination::needs_empty_machine) {
            self.occupied_machines()
        } else {
            HashSet::new()
        };
        // The holder decides by the records, so a machine is postponed until the end of its
        // last task has been written.
        let (postponed, ready): (Vec<Termination>, Vec<Termination>) =
            terminations.into_iter().partition(|termination| {
                termination.needs_empty_machine() && occupied.contains(&termination.machine)
            });
        self.postpone_terminations(postponed);
        for (class, machines) in by_class(ready) {
            let batch_max = self.terminations_per_request_max(&machines);
            for batch in machines.chunks(batch_max) {
                self.write_scale_in_request(class, batch.to_vec());
            }
        }
    }

    /// The termination of a machine; `None` if it has an open request or none is needed.
    fn new_termination(&self, machine: String) -> Option<Termination> {
        let is_pending = self.duties.requests.is_termination_pending(&machine);
        if is_pending || self.watch_cache.duties.is_being_terminated(&machine) {
            return None;
        }
        let known = self.scheduler.as_ref()?.machines.get(&machine)?;
        let class = known.termination_reason.map(TerminationReason::class)?;
        Some(Termination { machine, class })
    }

    fn postpone_terminations(&mut self, postponed: Vec<Termination>) {
        let machines = postponed.into_iter().map(|termination| termination.machine);
        let machines: Vec<String> = machines.collect();
        let now = self.clock.steady_ms();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_termination_postponed(&machines, now);
        }
    }

    /// Maximum number of machines that a request may name within the store's limits.
    fn terminations_per_request_max(&self, machines: &[String]) -> usize {
        let value_bytes = (self.store_limits().strictest().value_kb * BYTES_PER_KB) as usize;
        let longest = machines.iter().map(String::len).max().unwrap_or(0);
        let fitting = value_bytes / NAMES_VALUE_DIVISOR / (longest + NAME_OVERHEAD_BYTES);
        fitting.clamp(1, MACHINES_PER_REQUEST_MAX)
    }

    fn write_scale_in_request(&mut self, class: TerminationClass, machines: Vec<String>) {
        let (duty, if_empty) = match class {
            TerminationClass::Idle => (Duty::ReclaimIdle, true),
            TerminationClass::Drained => (Duty::Return, true),
            TerminationClass::Lost => (Duty::Return, false),
        };
        let number = self.duties.requests.begin_termination(&machines);
        // The number restarts with each process, but the epoch does not, so names are unique.
        let request = format!("{}-{}-return-{number}", self.settings.member, self.epoch());
        let order = Order::Delete { machines, if_empty };
        self.write_scaling_request(OrderKey { duty, request }, order);
    }

    fn write_scaling_request(&mut self, key: OrderKey, order: Order) {
        let record = OrderRecord {
            order,
            phase: OrderPhase::Needed,
            since_ms: self.clock.wall_ms(),
        };
        let request = RecordChange::set(key, record);
        self.duties.requests.enqueue(request);
        self.create_waiting_requests();
    }

    /// Creates waiting requests in one transaction, unless the previous one is in flight: each one
    /// depends on the version of the key that the previous one has changed.
    fn create_waiting_requests(&mut self) {
        let writes_max = self.store_limits().txn_ops;
        let requests_max = writes_max.saturating_sub(1).max(1);
        let requests_max = requests_max.min(REQUESTS_PER_TRANSACTION_MAX);
        let changes = self.duties.requests.begin_creation(requests_max);
        if changes.is_empty() {
            return;
        }
        let purpose = WritePurpose::ScalingRequest {
            epoch: self.epoch(),
        };
        self.write_as_leader(DutyWrite::new(purpose, changes));
    }

    pub(super) fn on_request_written(
        &mut self,
        epoch: Epoch,
        changes: &[RecordChange],
        result: &CommitResult,
    ) {
        for change in changes {
            self.end_termination_writes(change, result);
            let is_written = matches!(result, CommitResult::Committed { .. })
                || self.watch_cache.duties.order(&change.key).is_some();
            // After an unknown outcome the request may still be written; it is adopted then.
            if !is_written && change.key.duty == Duty::Rent {
                self.cancel_provisioning(epoch, &change.key.request);
            }
        }
        if self.scheduler_in_epoch(epoch).is_some() {
            self.duties.requests.end_creation();
            self.step_down_if_deposed(result);
        }
        if self.scheduler.is_some() {
            self.create_waiting_requests();
        }
    }

    fn end_termination_writes(&mut self, change: &RecordChange, result: &CommitResult) {
        let Some(record) = &change.record else {
            return;
        };
        let requests = &mut self.duties.requests;
        for machine in record.machines_to_terminate() {
            requests.end_termination(machine);
            if *result == CommitResult::Unknown {
                requests.mark_termination_outcome_unknown(machine);
            }
        }
    }

    fn cancel_provisioning(&mut self, epoch: Epoch, request: &str) {
        let now = self.clock.steady_ms();
        if let Some(scheduler) = self.scheduler_in_epoch(epoch) {
            scheduler.on_provisioning_outcome(request, ProvisioningOutcome::Cancelled, now);
        }
    }

    /// Number of further provisioning requests that the leader may write.
    pub(in crate::controller) fn scale_out_budget(&self) -> usize {
        let orders = self.watch_cache.duties.orders_of(Duty::Rent);
        let is_open = |record: &OrderRecord| !matches!(record.phase, OrderPhase::Completed(_));
        let open = orders.filter(|order| is_open(order.record)).count();
        OPEN_SCALE_OUT_REQUESTS_MAX.saturating_sub(open)
    }
}

impl Termination {
    /// Whether the machine is terminated only if it has no recorded task.
    fn needs_empty_machine(&self) -> bool {
        self.class != TerminationClass::Lost
    }
}

fn by_class(terminations: Vec<Termination>) -> BTreeMap<TerminationClass, Vec<String>> {
    let mut machines: BTreeMap<TerminationClass, Vec<String>> = BTreeMap::new();
    for termination in terminations {
        let class = machines.entry(termination.class).or_default();
        class.push(termination.machine);
    }
    machines
}
