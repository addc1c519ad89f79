//! Gangs that form, or fail to.

use std::sync::Arc;

use super::placement::TaskKey;
use super::{to_ms, Job, Placement, Scheduler};
use crate::machine::{Machine, TaskPhase};
use crate::plan::fetch_s;

/// Heartbeat intervals that a gang may take until all its tasks have their image, in addition
/// to the fetches.
const GANG_WAIT_INTERVALS: f64 = 4.0;
/// The same in multiples of the time that the slowest fetch should take.
const GANG_WAIT_FETCHES: f64 = 3.0;

/// The result of a review of all gangs.
#[derive(Default)]
struct GangReview {
    /// Tasks to be stopped.
    stops: Vec<TaskKey>,
    /// Gangs that did not form in time.
    timed_out: Vec<Arc<str>>,
    /// Tasks whose start was never sent and cannot be sent any more.
    lost: Vec<TaskKey>,
}

impl Scheduler {
    /// How long a gang may take until all its tasks have their image.
    fn gang_wait_ms(&self, job: &Job) -> u64 {
        let machines = job
            .placements
            .iter()
            .filter_map(|placement| self.machines.get(&*placement.machine));
        let slowest_fetch_s = machines
            .filter_map(|machine| self.catalog.machine_type(&machine.machine_type))
            .map(|machine_type| fetch_s(job.spec.image_gb, machine_type.fetch_gb_per_s))
            .fold(0.0, f64::max);
        // Over a slow link the fetch may take many times as long as it should: stopped in the
        // middle of it each time, the gang would never begin.
        let patience = f64::from(1 + job.failed_formations);
        let report_s = self.cluster.workers.report_s;
        to_ms(patience * (GANG_WAIT_INTERVALS * report_s + GANG_WAIT_FETCHES * slowest_fetch_s))
    }

    /// Whether a gang may still form: a task of it that timed out while waiting for the images
    /// of the others is started again in place, and joins them.
    pub(super) fn is_gang_forming(&self, id: &str, now: u64) -> bool {
        let not_begun =
            |placement: &Placement| placement.stop.is_none() && placement.running_since.is_none();
        self.jobs.get(id).is_some_and(|job| {
            job.is_gang()
                && !job.cancelled
                && job.is_fully_placed()
                && job.placements.iter().all(not_begun)
                && now <= job.placed_at + self.gang_wait_ms(job)
        })
    }

    /// Stops gangs that do not form in time, or that lost a task before they began; they are
    /// queued again. Removes placements whose start was never sent when their machine falls
    /// silent or is terminated.
    pub(super) fn review_gangs(&mut self, now: u64) {
        let mut review = GangReview::default();
        for job in self.jobs.values() {
            self.find_lost_starts(job, &mut review, now);
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
        for task in review.lost {
            self.remove_placement(&task, now);
        }
        self.release_stale_reservations(now);
    }

    fn find_lost_starts(&self, job: &Job, review: &mut GangReview, now: u64) {
        let silence_tolerance_ms = self.silence_tolerance_ms();
        let placements = job.placements.iter();
        for placement in placements.filter(|placement| placement.is_start_pending()) {
            let machine = self.machines.get(&*placement.machine);
            let is_lost = machine.is_none_or(|machine| {
                !machine.is_retained()
                    || machine.silent_ms(self.began_at, now) > silence_tolerance_ms
            });
            if is_lost {
                review.lost.push(TaskKey::new(&job.id, placement.task));
            }
        }
    }

    fn review_gang(&self, job: &Job, review: &mut GangReview, now: u64) {
        let is_running = |placement: &Placement| placement.phase == Some(TaskPhase::Running);
        let has_started = job.placements.iter().any(is_running);
        let is_whole = job.is_fully_placed();
        if is_whole && (has_started || now <= job.placed_at + self.gang_wait_ms(job)) {
            return;
        }
        if !is_whole && has_started && self.may_notice_loss(job, now) {
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

    /// Whether the other tasks of a running gang may still notice by themselves that one is
    /// gone.
    fn may_notice_loss(&self, job: &Job, now: u64) -> bool {
        let placements = job.placements.iter();
        let since = placements
            .map(|placement| placement.placed_or_sent_at)
            .max();
        let notice_ms = to_ms(2.0 * self.cluster.workers.gang_peer_s);
        now < since.unwrap_or(now) + notice_ms
    }

    /// Releases reservations that have become useless: one of the machines is gone, or all
    /// victims have exited and the gang still has no placements. The gang may then choose
    /// victims anew.
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
        let settle_ms = to_ms(2.0 * self.cluster.workers.report_s);
        let has_settled = now > job.reserved_at + settle_ms;
        job.reserved_machines.iter().any(|name| {
            self.machines.get(&**name).is_none_or(|machine| {
                !machine.is_retained() || (has_settled && !self.has_victims(machine))
            })
        })
    }

    /// Whether a task on the machine is being stopped.
    fn has_victims(&self, machine: &Machine) -> bool {
        machine.bound_tasks.iter().any(|task| {
            let placement = self.placement_of(task);
            placement.is_some_and(|(_, placement)| placement.stop.is_some())
        })
    }
}
