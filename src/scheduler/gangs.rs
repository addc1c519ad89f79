//! Gangs that come together, or don't.

use std::sync::Arc;

use super::{to_ms, Job, Placement, Scheduler};
use crate::machine::{Machine, TaskPhase};
use crate::plan::fetch_s;

/// How long a gang may take until all of it has its image: heartbeat intervals, and times
/// that the slowest fetch should take.
const GANG_WAIT_INTERVALS: f64 = 4.0;
const WAIT_FETCHES: f64 = 3.0;

/// What a look at the gangs found.
#[derive(Default)]
struct GangReview {
    /// Tasks to be stopped.
    stops: Vec<(Arc<str>, u32)>,
    /// Gangs that did not come together within their wait.
    timed_out: Vec<Arc<str>>,
    /// Tasks whose start never went out and can't any more.
    lost: Vec<(Arc<str>, u32)>,
}

impl Scheduler {
    /// How long a gang may take until all of it has its image.
    fn gang_wait_ms(&self, job: &Job) -> u64 {
        let machines = job
            .placements
            .iter()
            .filter_map(|p| self.machines.get(&*p.machine));
        let slowest_fetch_s = machines
            .filter_map(|machine| self.machine_type(&machine.machine_type))
            .map(|t| fetch_s(job.spec.image_gb, t.fetch_gb_per_s))
            .fold(0.0, f64::max);
        // Over a slow link the image may take many times as long as it should:
        // stopped in the middle of it each time, the gang would never begin.
        let patience = f64::from(1 + job.failed_formations);
        let report_s = self.cluster.workers.report_s;
        to_ms(patience * (GANG_WAIT_INTERVALS * report_s + WAIT_FETCHES * slowest_fetch_s))
    }

    /// Whether a gang is still coming together: a task of it that gave up waiting for the
    /// others' images is started again in its place, and they meet.
    pub(super) fn is_gang_forming(&self, id: &str, now: u64) -> bool {
        let not_begun = |p: &Placement| p.stop.is_none() && p.running_since.is_none();
        self.jobs.get(id).is_some_and(|job| {
            job.is_gang()
                && !job.cancelled
                && job.is_whole()
                && job.placements.iter().all(not_begun)
                && now <= job.placed_at + self.gang_wait_ms(job)
        })
    }

    /// A gang that does not come together within its wait is stopped and queued again; so
    /// is one that lost a member before it began. Places whose start never went out are
    /// given up when their machine falls silent or is returned.
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
        for (id, task) in review.stops {
            self.stop_task(&id, task, 0.0, now);
        }
        for (id, task) in review.lost {
            self.remove_placement(&id, task, now);
        }
        self.release_stale_reservations(now);
    }

    fn find_lost_starts(&self, job: &Job, review: &mut GangReview, now: u64) {
        let silence_tolerance_ms = self.silence_tolerance_ms();
        for placement in job.placements.iter().filter(|p| p.is_start_pending()) {
            let machine = self.machines.get(&*placement.machine);
            let gone = machine.is_none_or(|machine| {
                !machine.is_retained() || self.silent_ms(machine, now) > silence_tolerance_ms
            });
            if gone {
                review.lost.push((job.id.clone(), placement.task));
            }
        }
    }

    fn review_gang(&self, job: &Job, review: &mut GangReview, now: u64) {
        let running = |p: &Placement| p.phase == Some(TaskPhase::Running);
        let started = job.placements.iter().any(running);
        let whole = job.is_whole();
        if whole && (started || now <= job.placed_at + self.gang_wait_ms(job)) {
            return;
        }
        if !whole && started {
            // The others notice by themselves.
            let since = job.placements.iter().map(|p| p.since).max();
            let notice_ms = to_ms(2.0 * self.cluster.workers.gang_peer_s);
            if now < since.unwrap_or(now) + notice_ms {
                return;
            }
        }
        let unstopped = job.placements.iter().filter(|p| p.stop.is_none());
        let tasks: Vec<u32> = unstopped.map(|p| p.task).collect();
        if whole && tasks.len() == job.placements.len() {
            review.timed_out.push(job.id.clone());
        }
        let stops = tasks.into_iter().map(|task| (job.id.clone(), task));
        review.stops.extend(stops);
    }

    /// Held capacity is given up once it can't serve any more: a machine of it is gone, or all
    /// victims have left and the gang still has no place. The gang may then choose victims
    /// anew.
    fn release_stale_reservations(&mut self, now: u64) {
        let settle_ms = to_ms(2.0 * self.cluster.workers.report_s);
        let has_victims = |machine: &Machine| {
            machine.bound_tasks.iter().any(|task| {
                let placement = self.placement_of(task);
                placement.is_some_and(|(_, p)| p.stop.is_some())
            })
        };
        let is_stale = |job: &&Job| {
            let old = now > job.reserved_at + settle_ms;
            job.reserved_machines.iter().any(|name| {
                let machine = self.machines.get(&**name);
                machine.is_none_or(|m| !m.is_retained() || (old && !has_victims(m)))
            })
        };
        let stale = self.jobs.values().filter(is_stale);
        let stale: Vec<Arc<str>> = stale.map(|job| job.id.clone()).collect();
        for id in stale {
            self.release_reservations(&id);
        }
    }
}
