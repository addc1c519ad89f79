//! Reviews scaling requests that terminate machines only if they are empty: checks them
//! against the records before any order is sent.

use std::collections::HashSet;

use duty_lease::{Duty, Order, OrderResult, ScalingRequest};
use tracing::{error, info};

use super::runtime::ReviewPoint;
use super::writes::{DutyWrite, RecordChange, WritePurpose};
use super::Controller;
use crate::duties::{OrderKey, OrderPhase, OrderRecord};
use crate::termination_check::{TerminationCheck, TerminationVerdict};

impl Controller {
    /// Reviews requests to terminate empty machines, as the holder of a duty. A machine with a
    /// recorded task is not terminated, whichever controller requested it. Idle machines that
    /// pass the check are forwarded to the duty that terminates machines.
    pub(super) fn review_scaling_requests(&mut self, duty: Duty) {
        if !matches!(duty, Duty::ReclaimIdle | Duty::Return) {
            return;
        }
        // This is called on each event; a review is needed only if the records have changed.
        let revision = self.watch_cache.revision;
        let point = ReviewPoint {
            generation: self.watch_cache.duties.generation(),
            revision,
        };
        let runtime = self.duties.runtime(duty);
        if !runtime.is_some_and(|runtime| runtime.holds() && !runtime.is_reviewed(point)) {
            return;
        }
        let requests = self.undecided_terminations(duty);
        if !requests.is_empty() && !self.may_send_orders(duty) {
            return;
        }
        if let Some(runtime) = self.duties.runtime(duty) {
            runtime.mark_reviewed(point);
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

    /// Requests for which the records are recent enough to decide and no decision is in
    /// flight.
    fn undecided_terminations(&mut self, duty: Duty) -> Vec<ScalingRequest> {
        let revision = self.watch_cache.revision;
        let Some(runtime) = self.duties.runtime(duty) else {
            return vec![];
        };
        let mut requests = self.watch_cache.duties.requests(duty);
        requests.retain(|request| {
            TerminationCheck::new(request, revision).needs_occupied_machines()
                && !runtime.has_decision_in_flight(&request.id)
        });
        requests
    }

    /// Machines that have a recorded task.
    pub(super) fn occupied_machines(&self) -> HashSet<String> {
        let jobs = self.watch_cache.jobs.values();
        let runs = jobs.flat_map(|job| &job.record.runs);
        runs.map(|run| run.machine.clone()).collect()
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
        let duty_name = duty.name();
        match (verdict, request.order) {
            (TerminationVerdict::Rejected { occupied }, _) => {
                error!(
                    duty = duty_name,
                    request = key.request,
                    machines = ?occupied,
                    "scale-in rejected: machines have tasks on record"
                );
                self.reject_request(key);
            }
            (TerminationVerdict::Allowed, Order::Delete { machines, .. })
                if duty == Duty::ReclaimIdle =>
            {
                info!(
                    duty = duty_name,
                    request = key.request,
                    ?machines,
                    "machines are idle; forwarding them for termination"
                );
                self.forward_to_termination(key, machines);
            }
            (TerminationVerdict::Allowed | TerminationVerdict::Postponed, _) => {}
        }
    }

    fn reject_request(&mut self, key: OrderKey) {
        if let Some(runtime) = self.duties.runtime(key.duty) {
            runtime.begin_decision(key.clone());
        }
        let phase = OrderPhase::Completed(OrderResult::Rejected);
        self.write_phase(WritePurpose::RequestDecided, key, phase);
    }

    /// Replaces the request by one to the duty that terminates machines, in one transaction.
    fn forward_to_termination(&mut self, key: OrderKey, machines: Vec<String>) {
        let Some(order) = self.watch_cache.duties.order(&key) else {
            return;
        };
        let forwarded = OrderRecord {
            order: Order::Delete {
                machines,
                if_empty: true,
            },
            phase: OrderPhase::Needed,
            since_ms: order.record.since_ms,
        };
        let forwarded_key = OrderKey {
            duty: Duty::Return,
            request: key.request.clone(),
        };
        if let Some(runtime) = self.duties.runtime(key.duty) {
            runtime.begin_decision(key.clone());
        }
        let changes = vec![
            RecordChange::set(forwarded_key, forwarded),
            RecordChange::remove(key),
        ];
        let write = DutyWrite::new(WritePurpose::RequestDecided, changes);
        self.write_as_holder(Duty::ReclaimIdle, write);
    }

    pub(super) fn on_request_decided(&mut self, changes: &[RecordChange]) {
        for RecordChange { key, .. } in changes {
            if let Some(runtime) = self.duties.runtime(key.duty) {
                runtime.end_decision(key);
            }
        }
    }
}
