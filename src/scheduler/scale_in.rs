//! Scale-in: drains machines and requests their deletion.

use std::sync::Arc;

use tracing::info;

use super::termination_review::TerminationReview;
use super::{to_ms, Effect, Scheduler};
use crate::machine::{TerminationClass, TerminationReason};

/// Interval at which an unconfirmed deletion request is sent again.
pub(super) const TERMINATION_RETRY_MS: u64 = 4000;
/// The highest number of machines in one deletion request.
const TERMINATION_BATCH_MAX: usize = 100;

/// A machine that is to be terminated.
struct DueTermination {
    machine: Arc<str>,
    reason: TerminationReason,
}

impl Scheduler {
    /// Whether any machine was terminated in this term because it was silent or unreachable.
    pub fn has_terminated_unreachable(&self) -> bool {
        self.terminations.has_terminated_unreachable()
    }

    /// Terminates machines that have stopped, or that are silent, unreachable, drained or idle.
    pub(super) fn terminate_machines(&mut self, now: u64) {
        self.drain_recorded_terminations();
        for machine in self.machines.values_mut() {
            machine.update_idle(self.term.epoch, now);
        }
        let mut terminations = Vec::new();
        for due in self.due_terminations(now) {
            if self.begin_termination(&due, now) {
                terminations.push(due.machine.to_string());
            }
        }
        for batch in terminations.chunks(TERMINATION_BATCH_MAX) {
            self.effects.push(Effect::Terminate {
                machines: batch.to_vec(),
            });
        }
    }

    fn due_terminations(&self, now: u64) -> Vec<DueTermination> {
        let review = TerminationReview {
            jobs: &self.jobs,
            catalog: &self.catalog,
            agents: &self.cluster.workers,
            operator: &self.operator,
            has_machine_list: self.has_machine_list,
            began_at: self.began_at,
            silence_tolerance_ms: self.silence_tolerance_ms(),
            lost_after_ms: self.lost_after_ms(now),
            is_partitioned: self.is_partitioned(now),
            standby_machines: self.standby_capacity(now).machines,
            now,
        };
        let machines = self.machines.values();
        let due = machines.filter_map(|machine| {
            let reason = review.find_reason(machine)?;
            Some(DueTermination {
                machine: machine.name.clone(),
                reason,
            })
        });
        due.collect()
    }

    /// Handles a recorded termination: these machines get no more tasks, neither from this leader
    /// nor from its successors.
    pub fn on_termination_recorded(&mut self, machines: &[String]) {
        self.terminations.record(machines);
        self.drain_recorded_terminations();
    }

    fn drain_recorded_terminations(&mut self) {
        for name in self.terminations.recorded() {
            if let Some(machine) = self.machines.get_mut(name) {
                if machine.termination_reason.is_none() {
                    machine.termination_reason = Some(TerminationReason::AlreadyRecorded);
                    self.needs_planning = true;
                }
            }
        }
    }

    /// Handles a rejected termination: machines that were terminated as idle may get tasks again.
    pub fn on_termination_rejected(&mut self, machines: &[String]) {
        for name in machines {
            self.terminations.reject(name);
            let Some(machine) = self.machines.get_mut(name) else {
                continue;
            };
            let class = machine.termination_reason.map(TerminationReason::class);
            if class == Some(TerminationClass::Idle) {
                machine.termination_reason = None;
                machine.termination_sent_at = None;
                machine.next_termination_attempt_at = 0;
                machine.idle_since = None;
                machine.cached_view = None;
                self.needs_planning = true;
            }
        }
    }

    /// Starts to drain a machine. Returns whether its deletion request has to be sent now.
    fn begin_termination(&mut self, due: &DueTermination, now: u64) -> bool {
        let reason = due.reason;
        let Some(machine) = self.machines.get_mut(&*due.machine) else {
            return false;
        };
        if machine.termination_reason.is_none() {
            self.needs_planning = true;
        }
        // A machine that is lost while it drains is terminated even if it still has tasks.
        if machine.termination_reason.is_none() || reason.class() == TerminationClass::Lost {
            machine.termination_reason = Some(reason);
        }
        if now < machine.next_termination_attempt_at {
            return false;
        }
        machine.next_termination_attempt_at = now + TERMINATION_RETRY_MS;
        if machine.termination_sent_at.is_none() {
            info!(machine = %due.machine, %reason, "terminating machine");
            let is_unreachable = matches!(
                reason,
                TerminationReason::Silent | TerminationReason::Unreachable
            );
            if is_unreachable {
                self.terminations.mark_terminated_unreachable();
            }
        }
        machine.termination_sent_at = Some(now);
        true
    }

    /// The rate limit for calls to the cloud does not allow a deletion yet. It is retried as soon
    /// as the next call is allowed instead of after `TERMINATION_RETRY_MS`, because the loss of a
    /// third of the fleet needs many calls.
    pub fn on_termination_postponed(&mut self, machines: &[String], now: u64) {
        let retry_at = now + to_ms(1.0 / self.cluster.cloud.rps);
        for name in machines {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.next_termination_attempt_at = retry_at;
            }
        }
    }
}
