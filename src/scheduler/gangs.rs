//! Supervises gangs from placement until all tasks run: formation timeouts, lost tasks and
//! stale reservations.

use std::sync::Arc;

use super::placement::TaskKey;
use super::{to_ms, Job, Placement, Scheduler};
use crate::machine::{Machine, TaskPhase};
use crate::plan::estimated_fetch_s;

/// Part of the formation timeout, in heartbeat intervals.
const FORMATION_TIMEOUT_HEARTBEAT_INTERVALS: f64 = 4.0;
/// Part of the formation timeout, in multiples of the slowest image fetch's nominal duration.
const FORMATION_TIMEOUT_FETCH_MULTIPLIER: f64 = 3.0;

/// The result of a review of all gangs.
#[derive(Default)]
struct GangReview {
    /// Tasks to be stopped.
    stops: Vec<TaskKey>,
    /// Gangs whose formation timed out.
    timed_out: Vec<Arc<str>>,
    /// Tasks whose start command was not sent and no longer can be.
    unsendable_starts: Vec<TaskKey>,
}

impl Scheduler {
    /// The formation timeout: how long a gang may take until all its tasks have their image.
    fn formation_timeout_ms(&self, job: &Job) -> u64 {
        let machines = job
            .placements
            .iter()
            .filter_map(|placement| self.machines.get(&*placement.machine));
        let slowest_fetch_s = machines
            .filter_map(|machine| self.catalog.machine_type(&machine.machine_type))
            .map(|machine_type| estimated_fetch_s(job.spec.image_gb, machine_type.fetch_gb_per_s))
            .fold(0.0, f64::max);
        // On a slow link a fetch may take many times its nominal duration, so the timeout grows
        // with each failed formation: a fixed one could interrupt every attempt, and the gang would
        // never start.
        let timeout_multiplier = f64::from(1 + job.failed_formations);
        let report_s = self.cluster.workers.report_s;
        to_ms(
            timeout_multiplier
                * (FORMATION_TIMEOUT_HEARTBEAT_INTERVALS * report_s
                    + FORMATION_TIMEOUT_FETCH_MULTIPLIER * slowest_fetch_s),
        )
    }

    /// Whether a gang is placed in full and within its formation timeout. If one of its tasks
    /// times out waiting for the other tasks' images, it is restarted on the same machine and
    /// rejoins the gang.
    pub(super) fn is_gang_forming(&self, id: &str, now: u64) -> bool {
        let is_unstarted =
            |placement: &Placement| placement.stop.is_none() && placement.running_since.is_none();
        self.jobs.get(id).is_some_and(|job| {
            job.is_gang()
                && !job.cancelled
                && job.is_fully_placed()
                && job.placements.iter().all(is_unstarted)
                && now <= job.placed_at + self.formation_timeout_ms(job)
        })
    }

    /// Stops and requeues gangs whose formation timed out or that lost a task. Removes placements
    /// whose start was not sent before their machine became silent or was marked for termination.
    pub(super) fn review_gangs(&mut self, now: u64) {
        let mut review = GangReview::default();
        for job in self.jobs.values() {
            self.find_unsendable_starts(job, &mut review, now);
            if job.is_gang() && !job.cancelled && !job.placements.is_empty() {
                self.review_gang(job, &mut review, now);
            }
        }
        for id in review.timed_out {
            if let Some(job) = self.jobs.get_mut(&*id) {
                job.failed_formations += 1;
            }
        }
        for task in review.stops {
            self.stop_task(&task, 0.0, now);
        }
        for task in review.unsendable_starts {
            self.remove_placement(&task, now);
        }
        self.release_stale_reservations(now);
    }

    fn find_unsendable_starts(&self, job: &Job, review: &mut GangReview, now: u64) {
        let silence_tolerance_ms = self.silence_tolerance_ms();
        let placements = job.placements.iter();
        for placement in placements.filter(|placement| placement.is_start_pending()) {
            let machine = self.machines.get(&*placement.machine);
            let is_unsendable = machine.is_none_or(|machine| {
                !machine.is_in_service()
                    || machine.silent_ms(self.began_at, now) > silence_tolerance_ms
            });
            if is_unsendable {
                review
                    .unsendable_starts
                    .push(TaskKey::new(&job.id, placement.task));
            }
        }
    }

    fn review_gang(&self, job: &Job, review: &mut GangReview, now: u64) {
        let is_running = |placement: &Placement| placement.phase == Some(TaskPhase::Running);
        let has_started = job.placements.iter().any(is_running);
        let is_whole = job.is_fully_placed();
        if is_whole && (has_started || now <= job.placed_at + self.formation_timeout_ms(job)) {
            return;
        }
        if !is_whole && has_started && self.may_detect_loss(job, now) {
            return;
        }
        let placements = job.placements.iter();
        let unstopped: Vec<TaskKey> = placements
            .filter(|placement| placement.stop.is_none())
            .map(|placement| TaskKey::new(&job.id, placement.task))
            .collect();
        if is_whole && unstopped.len() == job.placements.len() {
            review.timed_out.push(job.id.clone());
        }
        review.stops.extend(unstopped);
    }

    /// Whether the remaining tasks of a running gang may still detect the lost task and exit by
    /// themselves.
    fn may_detect_loss(&self, job: &Job, now: u64) -> bool {
        let placements = job.placements.iter();
        let since = placements
            .map(|placement| placement.placed_or_sent_at)
            .max();
        let detection_ms = to_ms(2.0 * self.cluster.workers.gang_peer_s);
        now < since.unwrap_or(now) + detection_ms
    }

    /// Releases a gang's reservations if one of the reserved machines is gone, or if all preempted
    /// tasks have exited and the gang still has no placements. The planner may then select other
    /// tasks to preempt.
    fn release_stale_reservations(&mut self, now: u64) {
        let stale = self
            .jobs
            .values()
            .filter(|job| self.has_stale_reservation(job, now));
        let stale: Vec<Arc<str>> = stale.map(|job| job.id.clone()).collect();
        for id in stale {
            self.release_reservations(&id);
        }
    }

    fn has_stale_reservation(&self, job: &Job, now: u64) -> bool {
        let grace_ms = to_ms(2.0 * self.cluster.workers.report_s);
        let is_grace_over = now > job.reserved_at + grace_ms;
        job.reserved_machines.iter().any(|name| {
            self.machines.get(&**name).is_none_or(|machine| {
                !machine.is_in_service() || (is_grace_over && !self.has_stopping_tasks(machine))
            })
        })
    }

    /// Whether a task on the machine is still being stopped.
    fn has_stopping_tasks(&self, machine: &Machine) -> bool {
        machine.bound_tasks.iter().any(|task| {
            let placement = self.placement_of(task);
            placement.is_some_and(|(_, placement)| placement.stop.is_some())
        })
    }
}
