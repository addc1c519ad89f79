//! The state of a machine, as known from its agent's statuses, the cloud's list and the records.
//!
//! [`Machine`] makes no decisions: the scheduler decides what is placed on a machine and when
//! the machine is terminated. `tasks` has the tasks on a machine, `heartbeat_responses` detects
//! whether this controller's responses reach the agent, `command_fence` keeps repeats of old
//! commands from being executed, `image_cache` models the cached images, and `termination` has
//! the reasons for a termination.

mod command_fence;
mod heartbeat_responses;
mod image_cache;
mod tasks;
mod termination;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::epoch::Epoch;
use crate::plan::{MachineView, Reservation};
use crate::time_units::to_ms;
use crate::wire::Incarnation;
use crate::wire::{AgentStatus, MachineType};
use command_fence::CommandFence;
use heartbeat_responses::{ResponseEffect, ResponseTracker};

pub use heartbeat_responses::{ExpectedEffect, ReachabilityCheck};
pub use image_cache::ImageCache;
pub use tasks::{BoundTask, ExitCause, ReportedTask, TaskAttempt, TaskPhase};
pub use termination::{TerminationClass, TerminationReason};

/// A machine's status in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudStatus {
    /// No list has shown the machine yet.
    NotYetListed,
    /// The machine is booting.
    Starting,
    /// The machine is running.
    Running,
    /// The machine has stopped without a request to terminate it.
    Failed,
    /// An earlier list showed the machine, and the last one does not.
    NoLongerListed,
}

/// A rented machine. All times are those of the steady clock, in milliseconds.
#[derive(Debug, Clone)]
pub struct Machine {
    /// The machine's name in the cloud.
    pub name: Arc<str>,
    /// The address at which its agent accepts commands; `None` before the first status.
    pub address: Option<SocketAddr>,
    /// The name of its type; empty if not known yet.
    pub machine_type: Arc<str>,
    /// Its zone; empty if not known yet.
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The incarnation in the last status; [`Incarnation::NONE`] before the first.
    pub incarnation: Incarnation,
    /// The serial in the last status; 0 before the first.
    pub serial: u64,
    /// The highest epoch that the agent has seen, according to its last status.
    pub epoch: Epoch,
    /// When the last status was received.
    pub last_status_at: Option<u64>,
    /// When the last heartbeat was received. Recorded apart from `last_status_at`, as an agent
    /// that responds to requests, but whose heartbeats reach no controller, loses its lease and
    /// with it all its tasks.
    pub last_heartbeat_at: Option<u64>,
    /// The tasks that the agent's last status reports.
    pub reported_tasks: Vec<ReportedTask>,
    /// The tasks that the jobs' records place on the machine, whether or not its agent reports
    /// them. Kept up to date with the jobs' placements.
    pub bound_tasks: Vec<BoundTask>,
    /// Whether the last check found no orphans, and neither list of tasks has changed since in
    /// a way that could have created one.
    has_no_orphans: bool,
    /// Capacity reserved for gangs that wait for preempted tasks to exit.
    pub reservations: Vec<Reservation>,
    /// When the cloud reclaims the machine; `None` without a spot interruption notice.
    pub interruption_deadline: Option<u64>,
    /// The machine's status in the cloud's list.
    pub cloud_status: CloudStatus,
    /// When this controller first learned of the machine.
    pub first_seen_at: u64,
    /// When the first status was received.
    pub first_status_at: Option<u64>,
    /// Since when the machine has been idle: ready for tasks, but without any.
    pub idle_since: Option<u64>,
    /// When the planner last counted on the machine for a gang that lacks other machines; 0 if
    /// never.
    pub last_needed_by_gang_at: u64,
    /// The images that its cache is expected to hold.
    pub images: ImageCache,
    /// Why the machine is drained: it gets no new tasks, and is terminated once it is empty or
    /// lost. `None` if it is not drained.
    pub termination_reason: Option<TerminationReason>,
    /// When a request to terminate the machine was last sent.
    pub termination_sent_at: Option<u64>,
    /// The earliest time at which to send the request to terminate the machine again.
    pub next_termination_attempt_at: u64,
    /// When a status was last requested from its agent.
    pub last_probe_at: u64,
    /// When a direct start was last sent; `None` once its outcome is known.
    pub unconfirmed_direct_start_at: Option<u64>,
    /// No direct starts are sent before this time, as a connection to the agent has failed.
    pub direct_starts_paused_until: u64,
    command_fence: CommandFence,
    heartbeat_responses: ResponseTracker,
    /// Number of consecutive heartbeats without any expected effect of the preceding response.
    pub ineffective_responses: u32,
    /// Whether the agent began a new incarnation although its heartbeats were responded to.
    /// Either it resumed after a hang, or the responses do not reach it, so the machine gets no
    /// tasks until the agent has responded to a request.
    reachability_unverified: bool,
    /// Jobs with a task that failed on the machine since a task last completed on it.
    pub failed_jobs: BTreeSet<Arc<str>>,
    /// The cached planner's view of the machine; `None` once a change has invalidated it.
    pub cached_view: Option<Arc<MachineView>>,
}

impl Machine {
    /// Creates a machine of which only the name is known.
    pub fn new(name: &str, now: u64) -> Machine {
        Machine {
            name: name.into(),
            address: None,
            machine_type: "".into(),
            zone: "".into(),
            spot: false,
            incarnation: Incarnation::NONE,
            serial: 0,
            epoch: Epoch::NONE,
            last_status_at: None,
            last_heartbeat_at: None,
            reported_tasks: vec![],
            bound_tasks: vec![],
            has_no_orphans: true,
            reservations: vec![],
            interruption_deadline: None,
            cloud_status: CloudStatus::NotYetListed,
            first_seen_at: now,
            first_status_at: None,
            idle_since: None,
            last_needed_by_gang_at: 0,
            images: ImageCache::default(),
            termination_reason: None,
            termination_sent_at: None,
            next_termination_attempt_at: 0,
            last_probe_at: 0,
            unconfirmed_direct_start_at: None,
            direct_starts_paused_until: 0,
            command_fence: CommandFence::default(),
            heartbeat_responses: ResponseTracker::default(),
            ineffective_responses: 0,
            reachability_unverified: false,
            failed_jobs: BTreeSet::new(),
            cached_view: None,
        }
    }

    /// Returns the machine with its type, its zone and whether it is a spot machine.
    pub fn with_kind(mut self, machine_type: &str, zone: &str, spot: bool) -> Machine {
        self.set_kind(machine_type, zone, spot);
        self
    }

    /// Applies a status. Returns false if it is not newer than the last one.
    pub fn apply_status(&mut self, status: &AgentStatus, now: u64) -> bool {
        if (status.incarnation, status.serial) <= (self.incarnation, self.serial) {
            return false;
        }
        if status.incarnation > self.incarnation {
            self.command_fence.on_new_incarnation();
        }
        self.incarnation = status.incarnation;
        self.serial = status.serial;
        self.epoch = status.epoch;
        self.last_status_at = Some(now);
        self.first_status_at.get_or_insert(now);
        if self.address.is_none() || self.cached_view.is_none() {
            self.address = status.endpoint.parse().ok().or(self.address);
        }
        self.set_kind(&status.machine_type, &status.zone, status.spot);
        self.interruption_deadline = status.interruption_in_s.map(|in_s| now + to_ms(in_s));
        if !tasks::has_same_tasks(status, &self.reported_tasks) {
            self.reported_tasks = tasks::reported_tasks(status);
            self.has_no_orphans = false;
            self.cached_view = None;
        }
        true
    }

    /// Sets its type, its zone and whether it is a spot machine.
    pub fn set_kind(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if *self.machine_type != *machine_type || *self.zone != *zone || self.spot != spot {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
            self.cached_view = None;
        }
    }

    /// For how long no status has been received, in a leader's term that began at
    /// `term_began_at`: the time before the term does not count.
    pub fn silent_ms(&self, term_began_at: u64, now: u64) -> u64 {
        let last_status_at = self.last_status_at.unwrap_or(self.first_seen_at);
        now.saturating_sub(last_status_at.max(term_began_at))
    }

    /// Returns the reported task that matches a bound task, attempt included.
    pub fn reported_task(&self, bound_task: &BoundTask) -> Option<&ReportedTask> {
        self.reported_tasks
            .iter()
            .find(|reported| bound_task.matches(reported))
    }

    /// Returns the reported tasks that have not exited.
    pub fn live_tasks(&self) -> impl Iterator<Item = &ReportedTask> {
        let has_exited = |task: &&ReportedTask| matches!(task.phase, TaskPhase::Exited(_));
        self.reported_tasks
            .iter()
            .filter(move |task| !has_exited(task))
    }

    /// Returns the live tasks that no record places on this machine.
    pub fn orphans(&self) -> impl Iterator<Item = &ReportedTask> {
        let tasks = (!self.has_no_orphans).then(|| self.live_tasks());
        tasks.into_iter().flatten().filter(|reported| {
            let mut bound_tasks = self.bound_tasks.iter();
            !bound_tasks.any(|bound_task| bound_task.matches(reported))
        })
    }

    /// Caches that there are no orphans, as each plan enumerates the orphans of all machines.
    pub fn update_orphan_flag(&mut self) {
        if !self.has_no_orphans {
            let is_empty = self.orphans().next().is_none();
            self.has_no_orphans = is_empty;
        }
    }

    /// Removes a task of a job from the bound tasks, or all of the job's tasks if `task` is
    /// `None`: the records no longer place them on this machine.
    pub fn unbind(&mut self, job: &str, task: Option<u32>) {
        self.bound_tasks.retain(|bound_task| {
            *bound_task.job != *job || task.is_some_and(|task| task != bound_task.task)
        });
        self.has_no_orphans = false;
        self.cached_view = None;
    }

    /// Whether the machine stays in service: it is neither drained for its termination nor about
    /// to be reclaimed by the cloud.
    pub fn is_in_service(&self) -> bool {
        self.termination_reason.is_none() && self.interruption_deadline.is_none()
    }

    /// Whether the cloud's list shows that the machine no longer runs: it has failed, or is no
    /// longer listed.
    pub fn has_stopped(&self) -> bool {
        matches!(
            self.cloud_status,
            CloudStatus::Failed | CloudStatus::NoLongerListed
        )
    }

    /// Whether the machine has booted, so that its agent is expected to send heartbeats.
    pub fn has_booted(&self) -> bool {
        self.last_status_at.is_some() || self.cloud_status == CloudStatus::Running
    }

    /// Whether any task may be on the machine, or capacity is reserved on it.
    pub fn is_occupied(&self) -> bool {
        !self.bound_tasks.is_empty()
            || !self.reservations.is_empty()
            || self.live_tasks().next().is_some()
    }

    /// Updates since when the machine has been idle. A machine whose agent has not seen the
    /// leader's epoch yet does not count as idle, as it can't get any tasks before.
    pub fn update_idle(&mut self, epoch: Epoch, now: u64) {
        if self.is_occupied() || self.epoch < epoch {
            self.idle_since = None;
        } else if self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
    }

    /// The epoch of the next message to the agent, in the term that began with the epoch `term`.
    pub fn command_epoch(&self, term: Epoch) -> Epoch {
        self.command_fence.epoch(term)
    }

    /// Records starts that the next message to the agent carries.
    pub fn record_sent_starts(&mut self, starts: &[TaskAttempt]) {
        self.command_fence.record_starts(starts);
    }

    /// Raises the epoch of the next message, which clears these attempts, if that is needed for the
    /// agent to reject repeats of their starts.
    pub fn fence_starts(&mut self, cleared: &[TaskAttempt], term: Epoch) {
        self.command_fence.fence(cleared, term);
    }

    /// Records that the response to a heartbeat is sent.
    pub fn record_heartbeat_response(&mut self, now: u64) {
        self.heartbeat_responses.record_response(now);
    }

    /// Sets the effects that the response to this status should have. Any one of them will show
    /// that the agent has received the response.
    pub fn expect_effects(&mut self, status: &AgentStatus, expected: Vec<ExpectedEffect>) {
        self.heartbeat_responses.expect(status, expected);
    }

    /// Whether the machine gets no tasks until its agent has responded to a request, as the
    /// responses to its heartbeats may not reach it.
    pub fn is_reachability_unverified(&self) -> bool {
        self.reachability_unverified
    }

    /// Records that the agent has responded to a request. Returns whether its reachability was
    /// unverified until then.
    pub fn mark_reachable(&mut self) -> bool {
        std::mem::take(&mut self.reachability_unverified)
    }

    /// Checks from a new heartbeat whether responses reach the agent.
    pub fn check_reachability(&mut self, check: &ReachabilityCheck) {
        if check.is_lagging {
            // The agent may have discarded the last response as too late.
            self.heartbeat_responses.discard_response();
        } else {
            match self
                .heartbeat_responses
                .check_effect(check.status, &self.reported_tasks)
            {
                ResponseEffect::NotExpected => {}
                ResponseEffect::Shown => self.ineffective_responses = 0,
                ResponseEffect::Missing => self.ineffective_responses += 1,
            }
            self.reachability_unverified |= check.is_new_incarnation
                && self
                    .heartbeat_responses
                    .is_lease_held(check.lease_ms, check.now);
        }
        self.last_heartbeat_at = Some(check.now);
        // An agent that receives no response for the duration of a lease begins a new incarnation.
        self.clear_expired_suspicion(check.lease_ms + check.heartbeat_interval_ms, check.now);
    }

    /// Ends a suspicion once the same incarnation has lasted for `timeout_ms`, which shows that
    /// responses do reach the agent. Otherwise a machine with long tasks, which is sent no
    /// commands for minutes, would get no new tasks for as long.
    fn clear_expired_suspicion(&mut self, timeout_ms: u64, now: u64) {
        let is_suspected = self.ineffective_responses > 0 || self.reachability_unverified;
        if is_suspected
            && !self
                .heartbeat_responses
                .has_suspicion_expired(self.incarnation, timeout_ms, now)
        {
            return;
        }
        self.heartbeat_responses.clear_suspicion();
        self.ineffective_responses = 0;
        self.reachability_unverified = false;
    }

    /// Records that a task on the machine uses an image.
    pub fn add_image(&mut self, image: &str, size_gb: f64, machine_type: Option<&MachineType>) {
        let capacity_gb = machine_type.map_or(f64::INFINITY, |machine_type| machine_type.cache_gb);
        if self.images.add(image, size_gb, capacity_gb) {
            self.cached_view = None;
        }
    }
}
