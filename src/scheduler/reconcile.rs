//! What is done as time passes, and how far behind this controller is.

use super::{to_ms, Scheduler};
use crate::machine::{Machine, TaskPhase};

/// How often machines and gangs are reviewed, as a share of the time in which the tasks of
/// a gang miss one another.
pub(super) const RECONCILE_SHARE: f64 = 0.1;
/// What comes in waits for longer: nothing is asked for that may come by itself.
const OVERLOADED_MS: u64 = 400;
/// An agent drops an answer after 4 s: with a wait like this before a heartbeat is
/// even read, that an answer shows no effect says nothing of the machine.
const LAGGING_MS: u64 = 1500;
/// For how many heartbeat intervals such a delay counts.
const LAGGING_INTERVALS: f64 = 2.0;
/// AgentStatus intervals after which a machine that should report may be silent.
const SILENT_INTERVALS: f64 = 2.5;
/// The same as a share of the time after which it is returned.
const SILENT_SHARE: f64 = 0.7;
/// Before a machine is taken back, tasks are stopped this long before they have to be, in
/// addition to half a heartbeat interval.
const INTERRUPTION_MARGIN_MS: u64 = 500;

/// How many machines should report, and how many of them don't.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reachability {
    /// Machines that can't be reached.
    pub silent: usize,
    /// All machines that should report.
    pub up: usize,
}

impl Scheduler {
    /// Does what has come due. `spare_writes`: changes of records that may wait and yet go
    /// out now.
    pub fn tick(&mut self, now: u64, revision: u64, spare_writes: usize) {
        if now >= self.next_reconcile_at {
            let interval_ms = to_ms(self.cluster.workers.gang_peer_s * RECONCILE_SHARE);
            self.next_reconcile_at = now + interval_ms;
            self.drain_interrupted_machines(now);
            self.review_gangs(now);
            self.terminate_machines(now);
            self.probe_machines(now);
        }
        self.send_provisioning_requests(now);
        self.flush(now, revision, spare_writes);
    }

    /// Sends out what is urgent between ticks.
    pub fn flush(&mut self, now: u64, revision: u64, spare_writes: usize) {
        self.write_changes(now, revision, spare_writes);
        self.send_direct_commands();
    }

    /// For how long a machine may be silent and still get new tasks.
    pub(super) fn silence_tolerance_ms(&self) -> u64 {
        to_ms(self.cluster.workers.report_s * self.operator.silent_reports)
    }

    /// For how long a machine has been silent in this term.
    pub(super) fn silent_ms(&self, machine: &Machine, now: u64) -> u64 {
        let last_status_at = machine.last_status_at.unwrap_or(machine.known_since);
        now.saturating_sub(last_status_at.max(self.began_at))
    }

    /// How many machines should report, and how many of them can't be reached.
    pub fn reachability(&self, now: u64) -> Reachability {
        // Sooner than a machine is returned for its silence.
        let agents = &self.cluster.workers;
        let lost_after_s = agents.lease_s * self.operator.lost_lease_share;
        let silent_s = (agents.report_s * SILENT_INTERVALS).min(lost_after_s * SILENT_SHARE);
        let silent_ms = to_ms(silent_s);
        let mut reachability = Reachability { silent: 0, up: 0 };
        for machine in self.machines.values().filter(|machine| machine.is_up()) {
            reachability.up += 1;
            if self.silent_ms(machine, now) > silent_ms || machine.ineffective_answers > 0 {
                reachability.silent += 1;
            }
        }
        reachability
    }

    /// What came in waited for so long before it was read. If that is long, this
    /// controller's own delay, and nothing of theirs, may be why machines are silent or
    /// show no effect of what they were told.
    pub fn on_read_delay(&mut self, delay_ms: u64, now: u64) {
        if delay_ms > LAGGING_MS {
            self.lagging_at = Some(now);
        }
        if delay_ms > OVERLOADED_MS {
            self.overloaded_at = Some(now);
        }
    }

    /// Whether this controller was seconds behind lately.
    pub(super) fn is_lagging(&self, now: u64) -> bool {
        let counts_ms = to_ms(self.cluster.workers.report_s * LAGGING_INTERVALS);
        self.lagging_at.is_some_and(|at| now < at + counts_ms)
    }

    /// Whether more waits to be read right now than can be: nothing is to be asked for
    /// that may come by itself.
    pub fn is_overloaded(&self, now: u64) -> bool {
        self.overloaded_at
            .is_some_and(|at| now < at + 2 * OVERLOADED_MS)
    }

    /// The other controllers tell how many agents came to them lately and were
    /// redirected; `None` if too few of them can be heard.
    pub fn set_redirected_elsewhere(&mut self, redirected: Option<u32>) {
        self.redirected_elsewhere = redirected;
    }

    /// Stops tasks on machines that the cloud takes back; they save as late as is safe.
    fn drain_interrupted_machines(&mut self, now: u64) {
        let margin_ms = to_ms(self.cluster.workers.report_s / 2.0) + INTERRUPTION_MARGIN_MS;
        let mut stops = Vec::new();
        for machine in self.machines.values() {
            let Some(interruption_deadline) = machine.interruption_deadline else {
                continue;
            };
            for task in &machine.bound_tasks {
                let Some((job, placement)) = self.placement_of(task) else {
                    continue;
                };
                let last_moment =
                    now + to_ms(job.spec.checkpoint_grace_s) + margin_ms >= interruption_deadline;
                let not_running = placement.phase != Some(TaskPhase::Running);
                if placement.stop.is_none() && (not_running || last_moment) {
                    stops.push((task.job.clone(), task.task));
                }
            }
        }
        for (id, task) in stops {
            let job = self.jobs.get(&*id);
            let placement = job.and_then(|job| job.placement(task));
            if placement.is_some_and(|p| p.is_start_pending()) {
                self.remove_placement(&id, task, now);
            } else {
                self.stop_gracefully(&id, task, now);
            }
        }
    }
}
