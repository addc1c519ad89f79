//! The periodic work of agents: tasks progress, leases expire, heartbeats are sent.

use gaugesill::wire::{self, ExitReason, TaskState};
use std::collections::HashMap;

use super::agent::{Agent, AgentTask, PendingHeartbeat};
use super::messages::{job_of, Heartbeat, Job, SimMessage};
use super::sim::Sim;

/// These intervals match the settings that the tests use, see `settings_with`.
pub(super) const LEASE_MS: u64 = 36_000;
const GANG_WAIT_MS: u64 = 35_000;
const GANG_PEER_MS: u64 = 4000;
pub(super) const CANCEL_MS: u64 = 60_000;
/// How long an agent waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT_MS: u64 = 4000;
/// Minimum time between two heartbeats.
const HEARTBEAT_MIN_MS: u64 = 500;

/// One attempt of a job.
#[derive(Clone, PartialEq, Eq, Hash)]
struct JobAttempt {
    job: String,
    attempt: u64,
}

impl JobAttempt {
    fn of(task: &AgentTask) -> JobAttempt {
        JobAttempt {
            job: job_of(&task.name).to_string(),
            attempt: task.attempt,
        }
    }
}

/// Number of tasks in a given state, by attempt.
type TaskCounts = HashMap<JobAttempt, u32>;

/// Running gangs with a missing task, and the time since when it has been missing.
#[derive(Default)]
pub(super) struct IncompleteGangs(HashMap<JobAttempt, u64>);

impl IncompleteGangs {
    /// `incomplete`: the running gangs with a missing task now.
    fn update(&mut self, incomplete: TaskCounts, now: u64) {
        self.0.retain(|gang, _| incomplete.contains_key(gang));
        for gang in incomplete.into_keys() {
            self.0.entry(gang).or_insert(now);
        }
    }
}

/// State of a task's gang.
struct GangProgress {
    /// How many of its tasks wait for the others.
    waiting: u32,
    /// Since when the running gang has had a missing task.
    incomplete_since: Option<u64>,
}

/// The next change of a task's state.
enum Transition {
    AwaitGang,
    Run,
    Exit(ExitReason),
}

impl Sim {
    pub(super) fn tick_agents(&mut self) {
        self.start_and_remove_agents();
        let waiting = self.count_tasks(TaskState::AwaitingGang);
        self.find_incomplete_gangs();
        let machines: Vec<String> = self.agents.keys().cloned().collect();
        let mut heartbeats = Vec::new();
        for machine in machines {
            if self.faults.is_hung(&machine) {
                self.tick_hung_agent(&machine);
                continue;
            }
            self.expire_lease(&machine);
            self.tick_tasks(&machine, &waiting);
            heartbeats.extend(self.due_heartbeat(&machine));
        }
        for heartbeat in heartbeats {
            self.send(1, SimMessage::Heartbeat(heartbeat));
        }
    }

    /// Starts the agents of machines that have booted, and removes those of deleted machines.
    fn start_and_remove_agents(&mut self) {
        let now = self.now;
        for (name, machine) in &self.cloud.machines {
            if now >= machine.up_at && !self.agents.contains_key(name) {
                self.agents.insert(name.clone(), Agent::new(name, now));
            }
        }
        let machines = &self.cloud.machines;
        self.agents.retain(|name, _| machines.contains_key(name));
    }

    fn count_tasks(&self, state: TaskState) -> TaskCounts {
        let mut counts = HashMap::new();
        let tasks = self.agents.values().flat_map(|agent| &agent.tasks);
        for task in tasks.filter(|task| task.state == state) {
            *counts.entry(JobAttempt::of(task)).or_insert(0) += 1;
        }
        counts
    }

    fn find_incomplete_gangs(&mut self) {
        let mut running = self.count_tasks(TaskState::Running);
        running.retain(|gang, count| {
            let job = self.jobs.get(&gang.job);
            job.is_some_and(|job| job.gang && *count < job.tasks)
        });
        self.incomplete_gangs.update(running, self.now);
    }

    /// The tasks of a hung machine make no progress, but remain on it.
    fn tick_hung_agent(&mut self, machine: &str) {
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        for task in agent.tasks.iter_mut().filter(|task| task.is_live()) {
            task.until += self.agent_tick_ms;
            let job = self.jobs.get(job_of(&task.name));
            if job.is_some_and(|job| is_past_cancel_deadline(job, self.now)) {
                self.log.violation(format!("ran_cancelled: {}", task.name));
            }
        }
    }

    /// Kills all tasks if no heartbeat was acknowledged for the duration of a lease.
    fn expire_lease(&mut self, machine: &str) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        if now > agent.last_acknowledged_at + LEASE_MS {
            agent.killed_tasks += agent.live_tasks().count() as u64;
            agent.begin_incarnation(now);
        }
    }

    fn tick_tasks(&mut self, machine: &str, waiting: &TaskCounts) {
        let now = self.now;
        let machine_fails = self.faults.failing_machines.contains(machine);
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        for task in &mut agent.tasks {
            let Some(job) = self.jobs.get_mut(job_of(&task.name)) else {
                continue;
            };
            if is_past_cancel_deadline(job, now) && task.is_live() {
                self.log.violation(format!("ran_cancelled: {}", task.name));
            }
            let gang = JobAttempt::of(task);
            let progress = GangProgress {
                waiting: waiting.get(&gang).copied().unwrap_or(0),
                incomplete_since: self.incomplete_gangs.0.get(&gang).copied(),
            };
            let transition = due_transition(task, job, &progress, machine_fails, now);
            if let Some(transition) = transition {
                apply_transition(task, job, transition, now);
                agent.has_changes = true;
            }
        }
    }

    /// An agent's next heartbeat, if it is due.
    fn due_heartbeat(&mut self, machine: &str) -> Option<Heartbeat> {
        let now = self.now;
        let interval_ms = self.deployment.limits.heartbeat_interval_ms;
        let agent = self.agents.get_mut(machine)?;
        let pending = agent.pending_heartbeat;
        if pending.is_some_and(|pending| now > pending.sent_at + HEARTBEAT_TIMEOUT_MS) {
            agent.pending_heartbeat = None;
            agent.report_to_next_after(agent.reports_to, now);
        }
        let early_ms = interval_ms - HEARTBEAT_MIN_MS;
        let is_early_due = now >= agent.next_heartbeat_at.saturating_sub(early_ms);
        let is_due = now >= agent.next_heartbeat_at || (agent.has_changes && is_early_due);
        if agent.pending_heartbeat.is_some() || !is_due {
            return None;
        }
        agent.has_changes = false;
        agent.next_heartbeat_at = now + interval_ms;
        let status = agent.next_status(&self.cloud.machines[machine]);
        let serial = status.serial;
        agent.pending_heartbeat = Some(PendingHeartbeat {
            serial,
            sent_at: now,
        });
        Some(Heartbeat {
            machine: machine.to_string(),
            serial,
            to: agent.reports_to,
            body: wire::encode(&status),
            is_copy: false,
        })
    }
}

/// Whether a job was cancelled so long ago that none of its tasks may still run.
fn is_past_cancel_deadline(job: &Job, now: u64) -> bool {
    job.cancelled_at.is_some_and(|at| now > at + CANCEL_MS)
}

fn due_transition(
    task: &AgentTask,
    job: &Job,
    gang: &GangProgress,
    machine_fails: bool,
    now: u64,
) -> Option<Transition> {
    let is_member_lost = gang
        .incomplete_since
        .is_some_and(|since| now >= since + GANG_PEER_MS);
    let is_over = now >= task.until;
    match task.state {
        TaskState::Running if is_member_lost => Some(Transition::Exit(ExitReason::GangMemberLost)),
        TaskState::Running if is_over && machine_fails => Some(Transition::Exit(ExitReason::Error)),
        TaskState::Running if is_over => Some(Transition::Exit(ExitReason::Done)),
        TaskState::PullingImage if is_over && job.gang => Some(Transition::AwaitGang),
        TaskState::PullingImage if is_over => Some(Transition::Run),
        // A gang starts once all of its tasks wait under the same attempt.
        TaskState::AwaitingGang if gang.waiting == job.tasks => Some(Transition::Run),
        TaskState::AwaitingGang if now >= task.until - job.run_ms + GANG_WAIT_MS => {
            Some(Transition::Exit(ExitReason::GangTimeout))
        }
        _ => None,
    }
}

fn apply_transition(task: &mut AgentTask, job: &mut Job, transition: Transition, now: u64) {
    match transition {
        Transition::AwaitGang => {
            task.state = TaskState::AwaitingGang;
            task.until = now + job.run_ms;
        }
        Transition::Run => {
            task.state = TaskState::Running;
            task.until = now + job.run_ms;
        }
        Transition::Exit(reason) => {
            task.exit(reason);
            if reason == ExitReason::Done {
                complete(task, job);
            }
        }
    }
}

/// Marks a task as done; for a gang, all of its tasks.
fn complete(task: &AgentTask, job: &mut Job) {
    if job.gang {
        job.done = (0..job.tasks).collect();
    }
    let (_, number) = task.name.rsplit_once('/').expect("a task's name");
    job.done.insert(number.parse().expect("a task's number"));
}
