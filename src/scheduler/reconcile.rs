//! Periodic work: reconciles machines and gangs, and sends pending requests and writes.

use super::placement::TaskKey;
use super::{to_ms, Scheduler};
use crate::machine::TaskPhase;

/// Interval at which machines and gangs are reviewed, as a ratio of the time within which the
/// tasks of a gang notice that one of them is gone.
pub(super) const RECONCILE_INTERVAL_RATIO: f64 = 0.1;
/// Safety margin for stopping tasks before a spot machine is reclaimed, in addition to half a
/// heartbeat interval.
const INTERRUPTION_MARGIN_MS: u64 = 500;

impl Scheduler {
    /// Performs the periodic work that is due. At most `deferrable_write_budget` deferrable
    /// record changes are written.
    pub fn tick(&mut self, now: u64, revision: u64, deferrable_write_budget: usize) {
        if now >= self.next_reconcile_at {
            let interval_ms = to_ms(self.cluster.workers.gang_peer_s * RECONCILE_INTERVAL_RATIO);
            self.next_reconcile_at = now + interval_ms;
            self.drain_interrupted_machines(now);
            self.review_gangs(now);
            self.terminate_machines(now);
            self.probe_machines(now);
        }
        self.send_provisioning_requests(now);
        self.flush(now, revision, deferrable_write_budget);
    }

    /// Writes record changes and sends direct commands; also called between ticks, to send
    /// urgent ones without delay.
    pub fn flush(&mut self, now: u64, revision: u64, deferrable_write_budget: usize) {
        self.write_changes(now, revision, deferrable_write_budget);
        self.send_direct_commands();
    }

    /// Stops tasks on machines with a spot interruption notice. Running tasks are stopped as late
    /// as still leaves them time to save a checkpoint.
    fn drain_interrupted_machines(&mut self, now: u64) {
        for task in self.tasks_to_interrupt(now) {
            let job = self.jobs.get(&*task.job);
            let placement = job.and_then(|job| job.placement(task.task));
            if placement.is_some_and(super::placement::Placement::is_start_pending) {
                self.remove_placement(&task, now);
            } else {
                self.stop_gracefully(&task, now);
            }
        }
    }

    /// The tasks that have to be stopped now because their machine will be reclaimed.
    fn tasks_to_interrupt(&self, now: u64) -> Vec<TaskKey> {
        let margin_ms = to_ms(self.cluster.workers.report_s / 2.0) + INTERRUPTION_MARGIN_MS;
        let mut due = Vec::new();
        for machine in self.machines.values() {
            let Some(interruption_deadline) = machine.interruption_deadline else {
                continue;
            };
            for task in &machine.bound_tasks {
                let Some((job, placement)) = self.placement_of(task) else {
                    continue;
                };
                let grace_ms = to_ms(job.spec.checkpoint_grace_s);
                let is_last_moment = now + grace_ms + margin_ms >= interruption_deadline;
                let is_running = placement.phase == Some(TaskPhase::Running);
                if placement.stop.is_none() && (!is_running || is_last_moment) {
                    due.push(TaskKey::new(&task.job, task.task));
                }
            }
        }
        due
    }
}
