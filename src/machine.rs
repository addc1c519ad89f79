//! A machine as its agent's reports, the cloud's list and the records tell of it.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::job::parse_task_name;
use crate::plan::{MachineView, Reservation, Resources};
use crate::time_units::to_ms;
use crate::wire::{AgentStatus, MachineType, TaskStatus};

/// The state of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// Waits for its image.
    PullingImage,
    /// Waits for the other tasks of its gang.
    AwaitingGang,
    /// Runs.
    Running,
    /// Was told to stop and saves.
    Checkpointing,
    /// Has exited and was not cleared yet.
    Exited(ExitCause),
}

/// Why a task exited, or was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCause {
    /// Completed.
    Done,
    /// Stopped by a command.
    Stopped {
        /// Its progress was saved.
        checkpointed: bool,
    },
    /// Another task of its gang is gone.
    GangMemberLost,
    /// Its gang was not complete in time.
    GangTimeout,
    /// It failed.
    Error,
    /// Refused: not enough free resources.
    InsufficientCapacity,
    /// Refused: the task is there with another attempt.
    InUse,
    /// Refused: the agent knows no such task.
    UnknownTask,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedTask {
    /// Its job.
    pub job: String,
    /// Its number.
    pub task: u32,
    /// Its attempt.
    pub attempt: u64,
    /// Its state.
    pub phase: TaskPhase,
}

/// A task that the records put on a machine.
#[derive(Debug, Clone)]
pub struct BoundTask {
    /// Its job.
    pub job: Arc<str>,
    /// Its number.
    pub task: u32,
    /// Its attempt.
    pub attempt: u64,
    /// What it takes.
    pub resources: Resources,
    /// Its job may use spot machines.
    pub spot: bool,
}

impl BoundTask {
    fn is(&self, reported_tasks: &ReportedTask) -> bool {
        self.task == reported_tasks.task
            && self.attempt == reported_tasks.attempt
            && *self.job == *reported_tasks.job
    }
}

/// What a machine's next heartbeat shows if the last answer reached it.
#[derive(Debug, Clone, PartialEq)]
pub enum ExpectedEffect {
    /// The agent has seen this epoch.
    Epoch(u64),
    /// A task that it was told to start is there: job, task, attempt.
    Started(Arc<str>, u32, u64),
    /// An exited task that it was told to forget is gone: job, task, attempt.
    Cleared(String, u32, u64),
}

/// The last answer that should show an effect.
#[derive(Debug, Clone)]
pub struct SentAnswer {
    /// The incarnation of the report that it answered.
    pub incarnation: u64,
    /// The serial of that report.
    pub serial: u64,
    /// Any of these shows that the answer was taken.
    pub expected: Vec<ExpectedEffect>,
}

/// A machine's state in the cloud's list.
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

/// Why a machine is terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationReason {
    /// The list says that it failed.
    Failed,
    /// The cloud has taken it back after its notice.
    SpotInterruption,
    /// It is not listed any more.
    NotListed,
    /// It reports nothing.
    Silent,
    /// It reports, but commands and answers do not reach it.
    Unreachable,
    /// It has nothing to do.
    Idle,
    /// It is on record only, and nobody has seen it.
    Unknown,
    /// It was rented long ago and never came up.
    NeverBooted,
    /// A task failed on it, and it is drained first.
    TaskFailed,
    /// It reports although its deletion was sent.
    TerminationSent,
    /// An earlier leader wanted it returned.
    OnRecord,
}

/// What has to be looked at before a machine is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TerminationClass {
    /// It has nothing to do: the holder of that duty looks once more.
    Idle,
    /// It was drained, and is returned only if it is empty.
    Drained,
    /// It is given up with all that is on record for it.
    Lost,
}

impl TerminationReason {
    /// What has to be looked at before.
    pub fn group(self) -> TerminationClass {
        match self {
            TerminationReason::Idle | TerminationReason::OnRecord => TerminationClass::Idle,
            TerminationReason::TaskFailed => TerminationClass::Drained,
            TerminationReason::Failed
            | TerminationReason::SpotInterruption
            | TerminationReason::NotListed
            | TerminationReason::Silent
            | TerminationReason::Unreachable
            | TerminationReason::Unknown
            | TerminationReason::NeverBooted
            | TerminationReason::TerminationSent => TerminationClass::Lost,
        }
    }
}

impl fmt::Display for TerminationReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TerminationReason::Failed => "it failed",
            TerminationReason::SpotInterruption => "the cloud took it",
            TerminationReason::NotListed => "it is not listed any more",
            TerminationReason::Silent => "it is silent",
            TerminationReason::Unreachable => "commands do not reach it",
            TerminationReason::Idle => "it is idle",
            TerminationReason::Unknown => "nobody knows it",
            TerminationReason::NeverBooted => "it never came up",
            TerminationReason::TaskFailed => "a task failed on it",
            TerminationReason::TerminationSent => "its deletion was sent",
            TerminationReason::OnRecord => "an earlier leader wanted it returned",
        })
    }
}

/// An image in a machine's cache.
#[derive(Debug, Clone)]
pub struct CachedImage {
    /// Its name.
    pub name: Arc<str>,
    /// Its size.
    pub size_gb: f64,
}

/// A rented machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: Arc<str>,
    /// Where its agent takes commands.
    pub address: Option<SocketAddr>,
    /// The name of its type; empty if not known yet.
    pub machine_type: Arc<str>,
    /// Its zone; empty if not known yet.
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The incarnation of the last report; 0 before the first.
    pub incarnation: u64,
    /// The serial of the last report.
    pub serial: u64,
    /// The highest epoch that the agent has seen.
    pub epoch: u64,
    /// When the last report came.
    pub last_status_at: Option<u64>,
    /// The tasks of the last report.
    pub reported_tasks: Vec<ReportedTask>,
    /// What the records put here, kept up to date with the jobs' placements.
    pub bound_tasks: Vec<BoundTask>,
    /// There were no orphans at the last look, and neither list has changed since in a
    /// way that could make one.
    has_no_orphans: bool,
    /// Capacity that is held for gangs whose victims are still leaving.
    pub reservations: Vec<Reservation>,
    /// When the cloud takes it back, on the steady clock.
    pub interruption_deadline: Option<u64>,
    /// Its state in the cloud's list.
    pub cloud_status: CloudStatus,
    /// Since when it has been known.
    pub known_since: u64,
    /// When the first report came.
    pub up_since: Option<u64>,
    /// Since when it could have had work and had none.
    pub idle_since: Option<u64>,
    /// When a gang that still lacks other machines would last have used it.
    pub needed_at: u64,
    /// Its images, the most recently used last.
    pub images: Vec<CachedImage>,
    /// It gets no new tasks, and is returned once it is empty or silent.
    pub termination_reason: Option<TerminationReason>,
    /// When its deletion was last sent.
    pub termination_sent_at: Option<u64>,
    /// Until then its deletion is not sent again.
    pub next_termination_at: u64,
    /// When it was last asked for a report.
    pub last_probe_at: u64,
    /// When a start last went straight to it of which nothing is known yet.
    pub direct_start_at: Option<u64>,
    /// It can't be connected to: until then nothing goes straight to it.
    pub unreachable_until: u64,
    /// The last answer that should show an effect.
    pub sent_answer: Option<SentAnswer>,
    /// When a heartbeat was last answered.
    pub heartbeat_answered_at: Option<u64>,
    /// Heartbeats in a row that showed no effect of the answer before.
    pub ineffective_answers: u32,
    /// It began a new incarnation although its heartbeats were answered. Either it
    /// came back from an end, or the answers don't reach it: until it has
    /// answered a call, it gets no work.
    pub reachability_unverified: bool,
    /// Since when one of these two suspicions lasts, and in which incarnation.
    suspected_since: Option<(u64, u64)>,
    /// When it last came by itself: what answers calls but reaches nobody loses
    /// its lease with all that is on it.
    pub last_heartbeat_at: Option<u64>,
    /// Jobs of which a task failed here, since one was last done.
    pub failed_jobs: BTreeSet<Arc<str>>,
    /// What the planner sees of it, as long as nothing has changed.
    pub view: Option<Arc<MachineView>>,
}

impl Machine {
    /// A machine of which no report has come yet.
    pub fn new(name: &str, machine_type: &str, zone: &str, spot: bool, now: u64) -> Machine {
        Machine {
            name: name.into(),
            address: None,
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            incarnation: 0,
            serial: 0,
            epoch: 0,
            last_status_at: None,
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
            images: vec![],
            termination_reason: None,
            termination_sent_at: None,
            next_termination_at: 0,
            last_probe_at: 0,
            direct_start_at: None,
            unreachable_until: 0,
            sent_answer: None,
            heartbeat_answered_at: None,
            ineffective_answers: 0,
            reachability_unverified: false,
            suspected_since: None,
            last_heartbeat_at: None,
            failed_jobs: BTreeSet::new(),
            view: None,
        }
    }

    /// Takes in a report. False if it is not newer than what is known.
    pub fn apply_status(&mut self, report: &AgentStatus, now: u64) -> bool {
        if (report.incarnation, report.serial) <= (self.incarnation, self.serial) {
            return false;
        }
        self.incarnation = report.incarnation;
        self.serial = report.serial;
        self.epoch = report.epoch;
        self.last_status_at = Some(now);
        self.up_since.get_or_insert(now);
        if self.address.is_none() || self.view.is_none() {
            self.address = report.endpoint.parse().ok().or(self.address);
        }
        self.set_kind(&report.machine_type, &report.zone, report.spot);
        self.interruption_deadline = report.interruption_in_s.map(|in_s| now + to_ms(in_s));
        if !self.has_same_tasks(report) {
            self.reported_tasks = parse_reported_tasks(report).collect();
            self.has_no_orphans = false;
            self.view = None;
        }
        true
    }

    /// Whether a report has the same tasks as the last one: most do, and nothing is copied
    /// to see that.
    fn has_same_tasks(&self, report: &AgentStatus) -> bool {
        let mut last = self.reported_tasks.iter();
        let same = parseable_tasks(report).all(|(job, number, task)| {
            last.next().is_some_and(|last| {
                last.task == number
                    && last.attempt == task.attempt
                    && last.job == job
                    && last.phase == task.phase()
            })
        });
        same && last.next().is_none()
    }

    fn set_kind(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if *self.machine_type != *machine_type || *self.zone != *zone || self.spot != spot {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
            self.view = None;
        }
    }

    /// Reported tasks that have not exited.
    pub fn live_tasks(&self) -> impl Iterator<Item = &ReportedTask> {
        let exited = |task: &&ReportedTask| matches!(task.phase, TaskPhase::Exited(_));
        self.reported_tasks.iter().filter(move |task| !exited(task))
    }

    /// Live tasks that the agent has and no record puts here.
    pub fn orphans(&self) -> impl Iterator<Item = &ReportedTask> {
        let tasks = (!self.has_no_orphans).then(|| self.live_tasks());
        tasks.into_iter().flatten().filter(|task| {
            !self
                .bound_tasks
                .iter()
                .any(|bound_tasks| bound_tasks.is(task))
        })
    }

    /// Remembers whether there are orphans: each plan asks for those of all machines.
    pub fn update_orphans(&mut self) {
        if !self.has_no_orphans {
            let none = self.orphans().next().is_none();
            self.has_no_orphans = none;
        }
    }

    /// A record does not put this task here any more; `None`: no task of the job.
    pub fn unbind(&mut self, job: &str, task: Option<u32>) {
        self.bound_tasks.retain(|bound_tasks| {
            *bound_tasks.job != *job || task.is_some_and(|task| task != bound_tasks.task)
        });
        self.has_no_orphans = false;
        self.view = None;
    }

    /// Whether it is neither being returned nor about to be taken back.
    pub fn is_retained(&self) -> bool {
        self.termination_reason.is_none() && self.interruption_deadline.is_none()
    }

    /// Whether the cloud says that it is no more.
    pub fn is_dead(&self) -> bool {
        matches!(self.cloud_status, CloudStatus::Failed | CloudStatus::Gone)
    }

    /// Whether it should report.
    pub fn is_up(&self) -> bool {
        self.last_status_at.is_some() || self.cloud_status == CloudStatus::Running
    }

    /// Whether anything may be on it, or is to come.
    pub fn is_occupied(&self) -> bool {
        !self.bound_tasks.is_empty()
            || !self.reservations.is_empty()
            || self.live_tasks().next().is_some()
    }

    /// Notes since when it is idle: what could have work and has none. A machine that
    /// does not show the leader's epoch yet can't have any; it is still on its way.
    pub fn update_idle(&mut self, epoch: u64, now: u64) {
        if self.is_occupied() || self.epoch < epoch {
            self.idle_since = None;
        } else if self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
    }

    /// Whether a heartbeat shows any effect of the last answer; counts those that don't.
    pub fn check_effects(&mut self, report: &AgentStatus) {
        let Some(answer) = &self.sent_answer else {
            return;
        };
        if (report.incarnation, report.serial) <= (answer.incarnation, answer.serial) {
            return;
        }
        let has = |job: &str, task: u32, attempt: u64| {
            self.reported_tasks
                .iter()
                .any(|x| x.task == task && x.attempt == attempt && x.job == job)
        };
        let effective = answer.expected.iter().any(|effect| match effect {
            ExpectedEffect::Epoch(epoch) => report.epoch >= *epoch,
            ExpectedEffect::Started(job, task, attempt) => has(job, *task, *attempt),
            ExpectedEffect::Cleared(job, task, attempt) => !has(job, *task, *attempt),
        });
        if effective {
            self.ineffective_answers = 0;
        } else {
            self.ineffective_answers += 1;
        }
        self.sent_answer = None;
    }

    /// Ends a suspicion that the same incarnation has outlasted for `lasts_ms`: answers do
    /// reach it. Without this a machine with long tasks, which is told nothing for
    /// minutes, would get no work for as long.
    pub fn clear_expired_suspicion(&mut self, lasts_ms: u64, now: u64) {
        if self.ineffective_answers == 0 && !self.reachability_unverified {
            self.suspected_since = None;
            return;
        }
        let (since, incarnation) = *self.suspected_since.get_or_insert((now, self.incarnation));
        if incarnation != self.incarnation {
            self.suspected_since = Some((now, self.incarnation));
        } else if now > since + lasts_ms {
            self.suspected_since = None;
            self.ineffective_answers = 0;
            self.reachability_unverified = false;
        }
    }

    /// Remembers that an image is there; the least recently used fall out of the cache.
    pub fn add_image(&mut self, image: &str, size_gb: f64, machine_type: Option<&MachineType>) {
        if self.images.last().is_some_and(|last| *last.name == *image) {
            return;
        }
        self.images.retain(|cached| *cached.name != *image);
        self.images.push(CachedImage {
            name: image.into(),
            size_gb,
        });
        let capacity = machine_type.map_or(f64::INFINITY, |t| t.cache_gb);
        while self.images.len() > 1 && self.cached_gb() > capacity {
            self.images.remove(0);
        }
        self.view = None;
    }

    fn cached_gb(&self) -> f64 {
        self.images.iter().map(|image| image.size_gb).sum()
    }
}

fn parse_reported_tasks(report: &AgentStatus) -> impl Iterator<Item = ReportedTask> + '_ {
    parseable_tasks(report).map(|(job, number, task)| ReportedTask {
        job: job.to_string(),
        task: number,
        attempt: task.attempt,
        phase: task.phase(),
    })
}

/// The tasks of a report whose names can be read: job, number, task.
fn parseable_tasks(report: &AgentStatus) -> impl Iterator<Item = (&str, u32, &TaskStatus)> {
    report.tasks.iter().filter_map(|task| {
        let (job, number) = parse_task_name(&task.task)?;
        Some((job, number, task))
    })
}
