//! Applies the cloud's machine lists and the outcomes of termination requests.

use std::collections::HashSet;

use super::placement::TaskKey;
use super::scale_in::TERMINATION_RETRY_MS;
use super::{to_ms, Scheduler, TerminationOutcome};
use crate::machine::{CloudStatus, Machine};
use crate::wire::ListedMachine;

/// Margin that is added to twice the usual lag of the machine list.
const LIST_LAG_MARGIN_MS: u64 = 1000;

impl Scheduler {
    /// Applies a complete list that was requested at `requested_at`.
    pub fn on_machine_list(&mut self, list: &[ListedMachine], requested_at: u64, now: u64) {
        let lag_ms = 2 * to_ms(self.cluster.cloud.list_lag_s) + LIST_LAG_MARGIN_MS;
        self.has_machine_list = true;
        let mut names = HashSet::new();
        for listed in list {
            names.insert(listed.name.as_str());
            // The list lags, and may still contain machines that are confirmed as deleted.
            if !self.terminations.is_confirmed(&listed.name) {
                self.apply_listed(listed, now);
            }
        }
        for machine in self.machines.values_mut() {
            if !names.contains(&*machine.name) && should_be_listed(machine, lag_ms, requested_at) {
                machine.cloud_status = CloudStatus::NoLongerListed;
            }
        }
        self.terminations.remove_expired(lag_ms, now);
        self.needs_planning = true;
    }

    fn apply_listed(&mut self, listed: &ListedMachine, now: u64) {
        let age_ms = to_ms(listed.age_s.unwrap_or(0.0));
        let since = now.saturating_sub(age_ms);
        let machine = self.machines.entry(listed.name.clone());
        let machine = machine.or_insert_with(|| {
            let (machine_type, zone) = (&listed.machine_type, &listed.zone);
            Machine::new(&listed.name, since).with_kind(machine_type, zone, listed.spot)
        });
        if machine.machine_type.is_empty() {
            machine.set_kind(&listed.machine_type, &listed.zone, listed.spot);
        }
        if machine.address.is_none() {
            let endpoint = listed.endpoint.as_ref();
            machine.address = endpoint.and_then(|endpoint| endpoint.parse().ok());
        }
        machine.cloud_status = match (machine.cloud_status, CloudStatus::from(listed.status)) {
            (CloudStatus::Failed, _) => CloudStatus::Failed,
            (CloudStatus::Running, CloudStatus::Starting) => CloudStatus::Running,
            (_, status) => status,
        };
    }

    /// Handles the outcome of a request to terminate machines. If it is confirmed, the machines
    /// and all tasks on them are removed; otherwise the request is retried later.
    pub fn on_termination_outcome(
        &mut self,
        names: &[String],
        outcome: TerminationOutcome,
        now: u64,
    ) {
        for name in names {
            match outcome {
                TerminationOutcome::Confirmed => self.remove_machine(name, now),
                TerminationOutcome::Unconfirmed => self.retry_termination(name, now),
            }
        }
    }

    fn retry_termination(&mut self, name: &str, now: u64) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.termination_sent_at = Some(now);
            machine.next_termination_attempt_at = now + TERMINATION_RETRY_MS;
        }
    }

    fn remove_machine(&mut self, name: &str, now: u64) {
        self.terminations.confirm(name, now);
        self.direct_commands.take(name);
        self.start_queue.remove(name);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let bound_tasks = std::mem::take(&mut machine.bound_tasks);
        let reservations = std::mem::take(&mut machine.reservations);
        for task in bound_tasks {
            self.remove_placement(&TaskKey::new(&task.job, task.task), now);
        }
        for reservation in reservations {
            self.release_reservations(&reservation.job);
        }
        self.machines.remove(name);
        self.quota_cache.invalidate();
        self.needs_planning = true;
    }
}

/// Whether a machine would be in a list requested at `requested_at` if it still existed: it was
/// listed before, and has been known for longer than the list lags. Since an older list may
/// follow a newer one, it also has to be running, or known for twice that time.
fn should_be_listed(machine: &Machine, lag_ms: u64, requested_at: u64) -> bool {
    let was_listed = !matches!(
        machine.cloud_status,
        CloudStatus::NotYetListed | CloudStatus::NoLongerListed
    );
    let is_settled = machine.first_seen_at + 2 * lag_ms < requested_at
        || machine.cloud_status == CloudStatus::Running;
    was_listed && is_settled && machine.first_seen_at + lag_ms < requested_at
}
