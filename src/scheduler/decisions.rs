//! Applies the planner's decision: placements, preemptions, reservations and scale-out.

use std::collections::HashMap;
use std::sync::Arc;

use tracing::debug;

use super::placement::TaskKey;
use super::preemptions::log_preemption;
use super::snapshots::PlanTime;
use super::{Job, Placement, Scheduler};
use crate::machine::Machine;
use crate::plan::{
    is_kind_allowed, Decision, PlannedPlacement, PlannedReservation, Reservation, Resources,
    TaskBinding, TeamView,
};

/// When an array's new placements exceed its record's size limit, this percentage of them is
/// tried next.
const RECORD_FIT_RETRY_PERCENT: usize = 75;

impl Scheduler {
    /// Applies those parts of a decision that are still valid: the state may have changed since
    /// the snapshot. `requests_max` limits the provisioning requests that may be sent now.
    /// `wall_ms` is the time of day in milliseconds.
    pub fn apply_decision(
        &mut self,
        decision: Decision,
        requests_max: usize,
        now: u64,
        wall_ms: u64,
    ) {
        let mut teams = self.team_views();
        for placement in &decision.placements {
            self.apply_placement(placement, &mut teams, now);
        }
        for stop in &decision.preemptions {
            let task = TaskKey::new(&stop.job, stop.task);
            let repeats = self.preemptions.record(stop, now);
            log_preemption(&task, stop, repeats);
            self.stop_gracefully(&task, now);
        }
        for reservation in decision.reservations {
            self.apply_reservation(reservation, now);
        }
        for id in &decision.unplaced_gangs {
            if let Some(job) = self.jobs.get_mut(&**id) {
                job.retry.back_off(self.operator.backoff_max_s, now);
            }
        }
        for id in &decision.arrays_skipping_uncached {
            if let Some(job) = self.jobs.get_mut(&**id) {
                job.waiting_for_cache_since.get_or_insert(now);
            }
        }
        for name in decision.unmet.iter().flat_map(|unmet| &unmet.machines) {
            if let Some(machine) = self.machines.get_mut(&**name) {
                machine.last_needed_by_gang_at = now;
            }
        }
        self.scale_out(&decision.unmet, requests_max, PlanTime { now, wall_ms });
    }

    fn apply_reservation(&mut self, reservation: PlannedReservation, now: u64) {
        let Some(job) = self.jobs.get_mut(&*reservation.job) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&*reservation.machine) else {
            return;
        };
        machine.reservations.push(Reservation {
            job: reservation.job,
            resources: reservation.resources,
            team: job.spec.team.as_str().into(),
            priority: job.spec.priority,
        });
        machine.idle_since = None;
        machine.cached_view = None;
        job.reserved_machines.insert(reservation.machine);
        job.reserved_at = now;
    }

    fn apply_placement(
        &mut self,
        planned: &PlannedPlacement,
        teams: &mut HashMap<String, TeamView>,
        now: u64,
    ) {
        let Some(job) = self.jobs.get(&*planned.job) else {
            return;
        };
        let is_gang = job.is_gang();
        if job.cancelled || job.waits_for_dependencies || (is_gang && !job.placements.is_empty()) {
            return;
        }
        let team = teams.get(&job.spec.team).cloned().unwrap_or_default();
        let valid = self.valid_bindings(job, planned, &team, now);
        if is_gang && valid.len() < planned.tasks.len() {
            return;
        }
        let bindings = self.bindings_within_record_limit(job, valid);
        if bindings.is_empty() {
            return;
        }
        let view = teams.entry(job.spec.team.clone()).or_insert(team);
        view.add_tasks(Resources::of(&job.spec), bindings.len());
        self.record_placements(&planned.job, bindings, now);
    }

    /// The planned bindings that are still possible: the task is pending, the machine accepts it
    /// and has the capacity, and the team's quota allows it.
    fn valid_bindings(
        &self,
        job: &Job,
        planned: &PlannedPlacement,
        team: &TeamView,
        now: u64,
    ) -> Vec<TaskBinding> {
        let demand = Resources::of(&job.spec);
        let mut team = team.clone();
        let mut free: HashMap<&str, Resources> = HashMap::new();
        let mut valid = Vec::new();
        for binding in &planned.tasks {
            let Some(machine) = self.machines.get(&*binding.machine) else {
                continue;
            };
            if !self.may_place_on(job, machine, now) {
                continue;
            }
            let free = free
                .entry(&binding.machine)
                .or_insert_with(|| self.free_resources(machine));
            if !free.fits(demand) {
                continue;
            }
            free.sub(demand);
            let task = binding.task;
            let is_pending = !job.done.contains(task) && job.placement(task).is_none();
            if is_pending && team.allows_task(demand) {
                team.add_tasks(demand, 1);
                valid.push(binding.clone());
            }
        }
        valid
    }

    fn may_place_on(&self, job: &Job, machine: &Machine, now: u64) -> bool {
        let (machine_type, zone) = (&machine.machine_type, &machine.zone);
        self.accepts_tasks(machine, now)
            && is_kind_allowed(&job.spec, machine_type, zone, machine.spot)
    }

    /// The bindings that fit in the job's record; for a gang, all or none.
    fn bindings_within_record_limit(
        &self,
        job: &Job,
        mut bindings: Vec<TaskBinding>,
    ) -> Vec<TaskBinding> {
        let epoch = self.term.epoch;
        while !bindings.is_empty() && !self.record_capacity.fits(job, &bindings, epoch) {
            if job.is_gang() {
                return vec![];
            }
            bindings.truncate(bindings.len() * RECORD_FIT_RETRY_PERCENT / 100);
        }
        bindings
    }

    fn record_placements(&mut self, id: &Arc<str>, bindings: Vec<TaskBinding>, now: u64) {
        self.release_reservations(id);
        let Some(job) = self.jobs.get_mut(&**id) else {
            return;
        };
        job.retry.on_placed();
        job.placed_at = now;
        job.waiting_for_cache_since = None;
        let attempt = job.next_attempt;
        job.next_attempt += 1;
        let change = job.record.add_urgent_change(now);
        self.dirty_jobs.update(job);
        debug!(job = %id, attempt, ?bindings, "placing tasks on machines");
        for binding in bindings {
            let placement = Placement::new(binding.task, attempt, binding.machine, change, now);
            self.add_placement(id, placement, now);
        }
    }
}
