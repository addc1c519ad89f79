//! Needs that are checked against the records before anything is ordered: machines that are
//! to be returned only if they are empty.

use std::collections::HashSet;

use duty_lease::{Duty, Order, OrderResult, ScalingRequest};
use tracing::{error, info};

use super::{Controller, DutyWrite, WritePurpose};
use crate::duties::{OrderKey, OrderPhase, OrderRecord};
use crate::termination_check::{TerminationCheck, TerminationVerdict};

impl Controller {
    /// Looks at needs to return empty machines, as the holder of a duty. A machine that has
    /// a task on record is not returned, whoever needed that. Idle machines that pass are
    /// handed to the duty that returns machines.
    pub(super) fn review_scaling_requests(&mut self, duty: Duty) {
        if !matches!(duty, Duty::ReclaimIdle | Duty::Return) || !self.holds(duty) {
            return;
        }
        // With each event, but looked at again only if anything has changed.
        let revision = self.watch_cache.revision;
        let reviewed_at = (self.watch_cache.duties.generation(), revision);
        let runtime = self.duties.runtime(duty);
        if runtime.is_some_and(|runtime| runtime.reviewed_at == Some(reviewed_at)) {
            return;
        }
        let mut requests = self.watch_cache.duties.requests(duty);
        requests.retain(|request| {
            TerminationCheck::new(request, revision).needs_occupied_machines()
                && self.has_no_decision_in_flight(duty, request)
        });
        if !requests.is_empty() && !self.may_send_orders(duty) {
            return;
        }
        if let Some(runtime) = self.duties.runtime(duty) {
            runtime.reviewed_at = Some(reviewed_at);
        }
        if requests.is_empty() {
            return;
        }
        let occupied = self.occupied_machines();
        for request in requests {
            let verdict = TerminationCheck::new(&request, revision).verdict(&occupied);
            self.execute_verdict(duty, request, verdict);
        }
    }

    fn has_no_decision_in_flight(&self, duty: Duty, request: &ScalingRequest) -> bool {
        let control = self.duties.control.as_ref();
        let runtime = control.and_then(|control| control.runtimes.get(&duty));
        runtime.is_some_and(|runtime| {
            !runtime
                .decisions_in_flight
                .iter()
                .any(|key| key.request == request.id)
        })
    }

    /// Machines that have a task on record.
    pub(super) fn occupied_machines(&self) -> HashSet<String> {
        let jobs = self.watch_cache.jobs.values();
        let runs = jobs.flat_map(|job| &job.record.runs);
        runs.map(|run| run.machine.to_string()).collect()
    }

    fn execute_verdict(
        &mut self,
        duty: Duty,
        request: ScalingRequest,
        verdict: TerminationVerdict,
    ) {
        let key = OrderKey {
            duty,
            request: request.id,
        };
        match verdict {
            TerminationVerdict::Rejected { occupied } => {
                error!(
                    duty = duty.name(),
                    request = key.request,
                    machines = ?occupied,
                    "scale-in rejected: machines have tasks on record"
                );
                self.decide(key, OrderPhase::Completed(OrderResult::Rejected));
            }
            TerminationVerdict::Allowed if duty == Duty::ReclaimIdle => {
                if let Order::Delete { machines, .. } = request.order {
                    info!(
                        duty = duty.name(),
                        request = key.request,
                        ?machines,
                        "machines are idle"
                    );
                    self.forward_to_termination(key, machines);
                }
            }
            TerminationVerdict::Allowed | TerminationVerdict::Postponed => {}
        }
    }

    fn decide(&mut self, key: OrderKey, phase: OrderPhase) {
        if let Some(runtime) = self.duties.runtime(key.duty) {
            runtime.decisions_in_flight.push(key.clone());
        }
        self.write_phase(WritePurpose::RequestDecided, key, phase);
    }

    /// Idle machines become a need of the duty that returns machines, in one transaction.
    fn forward_to_termination(&mut self, key: OrderKey, machines: Vec<String>) {
        let Some((record, _)) = self.watch_cache.duties.order(&key) else {
            return;
        };
        let returned = OrderRecord {
            order: Order::Delete {
                machines,
                if_empty: true,
            },
            phase: OrderPhase::Needed,
            since_ms: record.since_ms,
        };
        let return_key = OrderKey {
            duty: Duty::Return,
            request: key.request.clone(),
        };
        if let Some(runtime) = self.duties.runtime(key.duty) {
            runtime.decisions_in_flight.push(key.clone());
        }
        let changes = vec![(return_key, Some(returned)), (key, None)];
        let purpose = WritePurpose::RequestDecided;
        self.write_as_holder(Duty::ReclaimIdle, DutyWrite { purpose, changes });
    }

    /// A decision was written, or was not: then it is taken again.
    pub(super) fn on_request_decided(&mut self, changes: &[(OrderKey, Option<OrderRecord>)]) {
        for (key, _) in changes {
            if let Some(runtime) = self.duties.runtime(key.duty) {
                runtime
                    .decisions_in_flight
                    .retain(|decisions_in_flight| decisions_in_flight != key);
                runtime.reviewed_at = None;
                runtime.orders_generation = None;
            }
        }
    }
}
