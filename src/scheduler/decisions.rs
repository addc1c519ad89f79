//! From the planner's decision to placements, stops and provisioning requests.

use std::collections::HashMap;
use std::sync::Arc;

use tracing::{debug, info};

use super::{to_ms, Job, Placement, Scheduler};
use crate::job::{json_length, TaskRun, PACKED_FORMAT};
use crate::machine::Machine;
use crate::plan::{
    is_allowed, Decision, PlannedPlacement, PlannedReservation, Reservation, Resources, TeamView,
};

/// The numbers and marks that a packed run may take beside a name, and what a record's
/// counters may grow by.
const LONGEST_RUN_BYTES: usize = 16;
const COUNTERS_BYTES: usize = 40;
/// Runs that make up for the rest of a record where nothing is measured, and the part of a
/// value that they may take then.
const UNMEASURED_RUNS: usize = 40;
const UNMEASURED_PART: usize = 4;
/// What is left of an array's new places if they don't fit into the record.
const FITTING_SHARE: (usize, usize) = (3, 4);
/// Longest backoff, as a power of two, in failed cycles.
const FAILED_CYCLES_MAX: u32 = 8;

impl Scheduler {
    /// Carries out what was planned, as far as it still holds.
    /// `calls`: how many provisioning requests may be asked for now.
    pub fn apply_decision(&mut self, decision: Decision, calls: usize, now: u64, wall_ms: u64) {
        let mut teams = self.team_views();
        for placement in &decision.placements {
            self.apply_placement(placement, &mut teams, now);
        }
        for stop in &decision.stops {
            info!(
                "{}/{} makes room for {}",
                stop.job, stop.task, stop.preemptor
            );
            self.stop_gracefully(&stop.job, stop.task, now);
        }
        for reservation in decision.reservations {
            self.apply_reservation(reservation, now);
        }
        for id in &decision.failed {
            self.back_off(id, now);
        }
        for id in &decision.skipped_uncached_machines {
            if let Some(job) = self.jobs.get_mut(&**id) {
                job.waiting_for_cache_since.get_or_insert(now);
            }
        }
        for name in decision.unmet.iter().flat_map(|unmet| &unmet.machines) {
            if let Some(machine) = self.machines.get_mut(&**name) {
                machine.needed_at = now;
            }
        }
        self.scale_out(&decision.unmet, calls, now, wall_ms);
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
            priority: job.spec.priority,
        });
        machine.idle_since = None;
        machine.view = None;
        job.reserved_machines.insert(reservation.machine);
        job.reserved_at = now;
    }

    /// The KEP's standard backoff: from a second on it doubles up to a cap.
    fn back_off(&mut self, id: &str, now: u64) {
        let max_s = self.operator.backoff_max_s;
        if let Some(job) = self.jobs.get_mut(id) {
            job.failed_cycles = (job.failed_cycles + 1).min(FAILED_CYCLES_MAX);
            let backoff_s = f64::from(1u32 << (job.failed_cycles - 1));
            job.backoff_until = now + to_ms(backoff_s.min(max_s));
        }
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
        if job.cancelled || job.is_waiting || (is_gang && !job.placements.is_empty()) {
            return;
        }
        let team = teams.get(&job.spec.team).cloned().unwrap_or_default();
        let mut tasks = self.valid_tasks(job, planned, &team, now);
        if is_gang && tasks.len() < planned.tasks.len() {
            return;
        }
        // As many as its record holds.
        while !tasks.is_empty() && !self.fits_record(job, &tasks) {
            if is_gang {
                return;
            }
            let (part, whole) = FITTING_SHARE;
            tasks.truncate(tasks.len() * part / whole);
        }
        if tasks.is_empty() {
            return;
        }
        let view = teams.entry(job.spec.team.clone()).or_insert(team);
        view.add_tasks(Resources::of(&job.spec), tasks.len());
        self.record_placements(&planned.job, tasks, now);
    }

    /// Those of the planned tasks that still may have their places.
    fn valid_tasks(
        &self,
        job: &Job,
        planned: &PlannedPlacement,
        team: &TeamView,
        now: u64,
    ) -> Vec<(u32, Arc<str>)> {
        let demand = Resources::of(&job.spec);
        let mut team = team.clone();
        let mut free: HashMap<&str, Resources> = HashMap::new();
        let mut valid = Vec::new();
        for (task, name) in &planned.tasks {
            let Some(machine) = self.machines.get(&**name) else {
                continue;
            };
            if !self.may_place_on(job, machine, now) {
                continue;
            }
            let free = free
                .entry(name)
                .or_insert_with(|| self.free_resources(machine));
            if !free.fits(demand) {
                continue;
            }
            free.sub(demand);
            let is_pending = !job.done.contains(*task) && job.placement(*task).is_none();
            if is_pending && team.allows(demand) {
                team.add_tasks(demand, 1);
                valid.push((*task, name.clone()));
            }
        }
        valid
    }

    fn may_place_on(&self, job: &Job, machine: &Machine, now: u64) -> bool {
        let (machine_type, zone) = (&machine.machine_type, &machine.zone);
        self.is_placeable(machine, now) && is_allowed(&job.spec, machine_type, zone, machine.spot)
    }

    /// Whether a job's record has capacity for these places, too, whatever of it ends
    /// first. Nothing is measured where there is capacity for the worst beside the longest
    /// lists that a submission may have, or the form of records allows for it in advance
    /// (`runs_max`).
    fn fits_record(&self, job: &Job, more: &[(u32, Arc<str>)]) -> bool {
        // Before the limits fall, too: a record stored by then has to be written again, if
        // only because its job is cancelled.
        let state = &self.cluster.state;
        let value_bytes = (state.lowered().value_kb * 1024.0) as usize;
        let longest_name = more.iter().map(|(_, name)| name.len()).max().unwrap_or(0);
        let runs = job.placements.len() + more.len();
        let limit_falls = self.format >= PACKED_FORMAT || state.next.is_some();
        let worst_bytes = (runs + UNMEASURED_RUNS) * (longest_name + LONGEST_RUN_BYTES);
        if !limit_falls || worst_bytes < value_bytes / UNMEASURED_PART {
            return true;
        }
        let mut record = job.to_record(self.term.epoch);
        let mut more: Vec<&(u32, Arc<str>)> = more.iter().collect();
        more.sort_unstable();
        for (task, name) in more {
            let run = TaskRun::single(*task, job.next_attempt, &**name);
            record.runs.push(run);
        }
        record.runs.sort_by_key(|run| run.first);
        // Ends scattered over the tasks, and counters that grow.
        let ends_bytes = (job.spec.tasks as usize / 4).min(LONGEST_RUN_BYTES * runs);
        let record_bytes = json_length(&record.to_value(PACKED_FORMAT));
        record_bytes + ends_bytes + COUNTERS_BYTES <= value_bytes
    }

    fn record_placements(&mut self, id: &Arc<str>, tasks: Vec<(u32, Arc<str>)>, now: u64) {
        self.release_reservations(id);
        let Some(job) = self.jobs.get_mut(&**id) else {
            return;
        };
        job.failed_cycles = 0;
        job.placed_at = now;
        job.waiting_for_cache_since = None;
        let attempt = job.next_attempt;
        job.next_attempt += 1;
        let change = job.record_change(now);
        job.urgent_change = change;
        self.update_write_state(id);
        debug!("placing {id} attempt {attempt}: {tasks:?}");
        for (task, machine) in tasks {
            let placement = Placement::new(task, attempt, machine, change, now);
            self.add_placement(id, placement, now);
        }
    }
}
