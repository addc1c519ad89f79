//! A machine as its agent's statuses, the cloud's list and the records show it.
//!
//! [`Machine`] is state without decisions: the scheduler decides what is placed on a machine
//! and when it is terminated. `tasks` has the tasks on it, `answers` whether our answers reach
//! its agent, `image_cache` its images, and `termination` the reasons for its termination.

mod answers;
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
use answers::{AnswerEffect, AnswerTracker};

pub use answers::{AnswerCheck, ExpectedEffect};
pub use image_cache::ImageCache;
pub use tasks::{BoundTask, ExitCause, ReportedTask, TaskPhase};
pub use termination::{TerminationClass, TerminationReason};

/// A machine's status in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudStatus {
    /// Was not listed yet.
    NotListed,
    /// Boots.
    Starting,
    /// Is up.
    Running,
    /// Has stopped on its own.
    Failed,
    /// Was listed and is not any more.
    Gone,
}

/// A rented machine. All times are of the steady clock, in milliseconds.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: Arc<str>,
    /// Where its agent accepts commands.
    pub address: Option<SocketAddr>,
    /// The name of its type; empty if not known yet.
    pub machine_type: Arc<str>,
    /// Its zone; empty if not known yet.
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The incarnation of the last status; 0 before the first.
    pub incarnation: Incarnation,
    /// The serial of the last status.
    pub serial: u64,
    /// The highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// When the last status was received.
    pub last_status_at: Option<u64>,
    /// When the last heartbeat was received: a machine that responds to requests, but whose
    /// heartbeats reach no controller, loses its lease and with it all its tasks.
    pub last_heartbeat_at: Option<u64>,
    /// The tasks of the last status.
    pub reported_tasks: Vec<ReportedTask>,
    /// The tasks that the records bind to it, kept up to date with the jobs' placements.
    pub bound_tasks: Vec<BoundTask>,
    /// There were no orphans at the last check, and neither list of tasks has since changed in
    /// a way that could make one.
    has_no_orphans: bool,
    /// Capacity that is reserved for gangs whose victims have not exited yet.
    pub reservations: Vec<Reservation>,
    /// When the cloud reclaims it, after a spot interruption notice.
    pub interruption_deadline: Option<u64>,
    /// Its status in the cloud's list.
    pub cloud_status: CloudStatus,
    /// Since when it has been known.
    pub known_since: u64,
    /// When the first status was received.
    pub up_since: Option<u64>,
    /// Since when it could have had tasks and had none.
    pub idle_since: Option<u64>,
    /// When a gang that still lacks other machines would last have used it.
    pub needed_at: u64,
    /// Its cached images.
    pub images: ImageCache,
    /// If set, it gets no new tasks, and is terminated once it is empty or lost.
    pub termination_reason: Option<TerminationReason>,
    /// When its deletion was last sent.
    pub termination_sent_at: Option<u64>,
    /// Until then its deletion is not sent again.
    pub next_termination_at: u64,
    /// When its agent was last asked for a status.
    pub last_probe_at: u64,
    /// When a direct start was last sent whose outcome is unknown.
    pub direct_start_at: Option<u64>,
    /// A connection to it failed: until then no direct starts are sent.
    pub unreachable_until: u64,
    answers: AnswerTracker,
    /// Heartbeats in a row that showed no effect of the answer before.
    pub ineffective_answers: u32,
    /// It began a new incarnation although its heartbeats were answered. Either it resumed
    /// after a hang, or the answers do not reach it: it gets no tasks until it has responded
    /// to a request.
    reachability_unverified: bool,
    /// Jobs of which a task failed here since a task was last done.
    pub failed_jobs: BTreeSet<Arc<str>>,
    /// The planner's view of it, until something changes.
    pub view: Option<Arc<MachineView>>,
}

impl Machine {
    /// A machine of which only the name is known yet.
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
            cloud_status: CloudStatus::NotListed,
            known_since: now,
            up_since: None,
            idle_since: None,
            needed_at: 0,
            images: ImageCache::default(),
            termination_reason: None,
            termination_sent_at: None,
            next_termination_at: 0,
            last_probe_at: 0,
            direct_start_at: None,
            unreachable_until: 0,
            answers: AnswerTracker::default(),
            ineffective_answers: 0,
            reachability_unverified: false,
            failed_jobs: BTreeSet::new(),
            view: None,
        }
    }

    /// The machine with its type, zone and kind.
    pub fn with_kind(mut self, machine_type: &str, zone: &str, spot: bool) -> Machine {
        self.set_kind(machine_type, zone, spot);
        self
    }

    /// Applies a status. Returns false if it is not newer than the last one.
    pub fn apply_status(&mut self, status: &AgentStatus, now: u64) -> bool {
        if (status.incarnation, status.serial) <= (self.incarnation, self.serial) {
            return false;
        }
        self.incarnation = status.incarnation;
        self.serial = status.serial;
        self.epoch = status.epoch;
        self.last_status_at = Some(now);
        self.up_since.get_or_insert(now);
        if self.address.is_none() || self.view.is_none() {
            self.address = status.endpoint.parse().ok().or(self.address);
        }
        self.set_kind(&status.machine_type, &status.zone, status.spot);
        self.interruption_deadline = status.interruption_in_s.map(|in_s| now + to_ms(in_s));
        if !tasks::has_same_tasks(status, &self.reported_tasks) {
            self.reported_tasks = tasks::reported_tasks(status);
            self.has_no_orphans = false;
            self.view = None;
        }
        true
    }

    /// Sets its type, its zone and whether it is a spot machine.
    pub fn set_kind(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if *self.machine_type != *machine_type || *self.zone != *zone || self.spot != spot {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
            self.view = None;
        }
    }

    /// For how long it has been silent, in a term that began at `began_at`.
    pub fn silent_ms(&self, began_at: u64, now: u64) -> u64 {
        let last_status_at = self.last_status_at.unwrap_or(self.known_since);
        now.saturating_sub(last_status_at.max(began_at))
    }

    /// The reported task that is this bound task in the same attempt.
    pub fn reported_task(&self, bound_task: &BoundTask) -> Option<&ReportedTask> {
        self.reported_tasks
            .iter()
            .find(|reported| bound_task.is(reported))
    }

    /// Reported tasks that have not exited.
    pub fn live_tasks(&self) -> impl Iterator<Item = &ReportedTask> {
        let has_exited = |task: &&ReportedTask| matches!(task.phase, TaskPhase::Exited(_));
        self.reported_tasks
            .iter()
            .filter(move |task| !has_exited(task))
    }

    /// Live tasks that no record binds to this machine.
    pub fn orphans(&self) -> impl Iterator<Item = &ReportedTask> {
        let tasks = (!self.has_no_orphans).then(|| self.live_tasks());
        tasks.into_iter().flatten().filter(|reported| {
            let mut bound_tasks = self.bound_tasks.iter();
            !bound_tasks.any(|bound_task| bound_task.is(reported))
        })
    }

    /// Remembers whether there are orphans: each plan asks for those of all machines.
    pub fn update_orphans(&mut self) {
        if !self.has_no_orphans {
            let none = self.orphans().next().is_none();
            self.has_no_orphans = none;
        }
    }

    /// The records no longer bind a task to this machine; `None`: no task of the job.
    pub fn unbind(&mut self, job: &str, task: Option<u32>) {
        self.bound_tasks.retain(|bound_task| {
            *bound_task.job != *job || task.is_some_and(|task| task != bound_task.task)
        });
        self.has_no_orphans = false;
        self.view = None;
    }

    /// Whether it is neither being terminated nor about to be reclaimed.
    pub fn is_retained(&self) -> bool {
        self.termination_reason.is_none() && self.interruption_deadline.is_none()
    }

    /// Whether the cloud's list shows that it no longer runs.
    pub fn is_dead(&self) -> bool {
        matches!(self.cloud_status, CloudStatus::Failed | CloudStatus::Gone)
    }

    /// Whether its agent should send heartbeats.
    pub fn is_up(&self) -> bool {
        self.last_status_at.is_some() || self.cloud_status == CloudStatus::Running
    }

    /// Whether any task may be on it, or capacity on it is reserved.
    pub fn is_occupied(&self) -> bool {
        !self.bound_tasks.is_empty()
            || !self.reservations.is_empty()
            || self.live_tasks().next().is_some()
    }

    /// Updates since when it is idle: it could have tasks and has none. A machine that does not
    /// show the leader's epoch yet cannot have any; it is still joining.
    pub fn update_idle(&mut self, epoch: Epoch, now: u64) {
        if self.is_occupied() || self.epoch < epoch {
            self.idle_since = None;
        } else if self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
    }

    /// Records that a heartbeat is being answered.
    pub fn on_heartbeat_answered(&mut self, now: u64) {
        self.answers.on_answered(now);
    }

    /// Any of the `expected` effects will show that the answer to this status was received.
    pub fn expect_effects(&mut self, status: &AgentStatus, expected: Vec<ExpectedEffect>) {
        self.answers.expect(status, expected);
    }

    /// Whether it gets no tasks until it has responded to a request, as answers to its
    /// heartbeats may not reach it.
    pub fn is_reachability_unverified(&self) -> bool {
        self.reachability_unverified
    }

    /// The agent has responded to a request. Returns whether that was still to be verified.
    pub fn verify_reachability(&mut self) -> bool {
        std::mem::take(&mut self.reachability_unverified)
    }

    /// Checks by a new heartbeat whether answers reach the agent.
    pub fn check_reachability(&mut self, check: &AnswerCheck) {
        if check.is_lagging {
            // Our answer may have been too late to be accepted.
            self.answers.forget_answer();
        } else {
            match self
                .answers
                .check_effect(check.status, &self.reported_tasks)
            {
                AnswerEffect::NotExpected => {}
                AnswerEffect::Shown => self.ineffective_answers = 0,
                AnswerEffect::Missing => self.ineffective_answers += 1,
            }
            self.reachability_unverified |= check.is_new_incarnation
                && self
                    .answers
                    .is_answered_within_lease(check.lease_ms, check.now);
        }
        self.last_heartbeat_at = Some(check.now);
        // An agent that receives no answer for a lease begins a new incarnation.
        self.clear_expired_suspicion(check.lease_ms + check.heartbeat_interval_ms, check.now);
    }

    /// Ends a suspicion that the same incarnation has outlasted for `lasts_ms`: answers do
    /// reach the agent. Without this a machine with long tasks, which is sent no commands for
    /// minutes, would get no tasks for as long.
    fn clear_expired_suspicion(&mut self, lasts_ms: u64, now: u64) {
        let is_suspected = self.ineffective_answers > 0 || self.reachability_unverified;
        if is_suspected
            && !self
                .answers
                .has_outlasted_suspicion(self.incarnation, lasts_ms, now)
        {
            return;
        }
        self.answers.clear_suspicion();
        self.ineffective_answers = 0;
        self.reachability_unverified = false;
    }

    /// Records that an image is used here.
    pub fn add_image(&mut self, image: &str, size_gb: f64, machine_type: Option<&MachineType>) {
        let capacity_gb = machine_type.map_or(f64::INFINITY, |machine_type| machine_type.cache_gb);
        if self.images.add(image, size_gb, capacity_gb) {
            self.view = None;
        }
    }
}
