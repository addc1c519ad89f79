//! Messages between the simulated hosts and the controllers, and the jobs that users submit.

use gaugesill::net::Outcome;
use std::collections::BTreeSet;

/// Identifies a controller's call, so that its outcome reaches the process that made it.
#[derive(Clone, Copy)]
pub(super) struct Ticket {
    pub(super) controller: usize,
    pub(super) generation: u64,
    pub(super) tag: u64,
}

/// A controller's request to another host.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) ticket: Ticket,
    pub(super) method: &'static str,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
}

/// An agent's heartbeat to a controller.
#[derive(Clone)]
pub(super) struct Heartbeat {
    pub(super) machine: String,
    pub(super) serial: u64,
    pub(super) to: usize,
    pub(super) body: Vec<u8>,
    /// Whether it is a late duplicate, whose answer is dropped.
    pub(super) is_copy: bool,
}

/// A controller's answer to a heartbeat.
#[derive(Clone)]
pub(super) struct HeartbeatAnswer {
    pub(super) machine: String,
    pub(super) serial: u64,
    pub(super) from: usize,
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

/// A message in transit.
#[derive(Clone)]
pub(super) enum SimMessage {
    ToStore(Call),
    ToCloud(Call),
    ToAgent { machine: String, call: Call },
    ToPeer { to: usize, call: Call },
    Reply { ticket: Ticket, outcome: Outcome },
    Heartbeat(Heartbeat),
    HeartbeatAnswer(HeartbeatAnswer),
}

/// The sender of a request on a controller's connection.
pub(super) enum Origin {
    Agent {
        machine: String,
        serial: u64,
    },
    Peer(Ticket),
    /// A user; the slot that receives the answer.
    User(usize),
}

/// A submitted job and its progress.
#[expect(clippy::struct_excessive_bools, reason = "the flags of a submission")]
pub(crate) struct Job {
    pub tasks: u32,
    pub gang: bool,
    pub single_zone: bool,
    pub spread: bool,
    pub dependencies: Vec<String>,
    /// Whether a controller has confirmed its acceptance to a user.
    pub accepted: bool,
    /// When one of its tasks was first started.
    pub started_at: Option<u64>,
    pub cpus: f64,
    /// How long each of its tasks runs.
    pub run_ms: u64,
    /// When a controller first reported to a user that it is cancelled.
    pub cancelled_at: Option<u64>,
    /// Numbers of the tasks that are done.
    pub done: BTreeSet<u32>,
}

impl Job {
    /// Whether all its tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.done.len() == self.tasks as usize
    }
}

/// The job that a task belongs to.
pub(super) fn job_of(task: &str) -> &str {
    task.rsplit_once('/').expect("a task's name").0
}
