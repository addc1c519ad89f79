//! What agents do, and what they must not be told to do.

use gaugesill::wire::{self, Command, CommandBatch, CommandVerb};
use prost::Message;
use std::collections::{BTreeMap, HashMap};

use super::agent::*;
use super::messages::*;
use super::sim::*;

/// Times of the settings that the tests use, see `settings_with`.
const LEASE_MS: u64 = 36_000;
const GANG_WAIT_MS: u64 = 35_000;
const GANG_PEER_MS: u64 = 4000;
const CANCEL_MS: u64 = 60_000;
/// How long an agent waits for an answer.
const ANSWER_MS: u64 = 4000;

impl Sim {
    pub(super) fn agent_answer(
        &mut self,
        machine: &str,
        serial: u64,
        from: usize,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        if self.hung_until.contains_key(machine) {
            return;
        }
        let Some(agent) = self.agents.get_mut(machine) else {
            return;
        };
        let Some((s, sent)) = agent.waiting else {
            return;
        };
        if s != serial {
            return;
        }
        agent.waiting = None;
        match status {
            200 => {
                let o: CommandBatch = wire::decode(body).expect("orders");
                if o.epoch < agent.epoch {
                    return;
                }
                agent.last_acknowledged_at = sent;
                self.commands(machine, o);
            }
            421 => {
                let e: Option<wire::Redirect> = wire::decode(body).ok();
                let to = e.and_then(|e| e.reports_to);
                match to.and_then(|t| t[1..].parse::<usize>().ok()) {
                    Some(t) if t != from => {
                        agent.to = t;
                        agent.next = now + 100;
                    }
                    _ => {
                        agent.to = (from + 1) % 3;
                        agent.next = now + 1000;
                    }
                }
            }
            _ => {
                agent.to = (from + 1) % 3;
                agent.next = now + 1000;
            }
        }
    }

    pub(super) fn commands(&mut self, machine: &str, o: CommandBatch) {
        let now = self.now;
        if let Some(agent) = self.agents.get_mut(machine) {
            if o.epoch > agent.epoch {
                agent.epoch = o.epoch;
                agent.changed = true;
            }
        }
        for Command {
            verb,
            task,
            attempt,
            ..
        } in o.commands
        {
            match verb {
                CommandVerb::Start => self.start(machine, &task, attempt),
                CommandVerb::Stop => {
                    let Some(agent) = self.agents.get_mut(machine) else {
                        continue;
                    };
                    for t in agent.tasks.iter_mut() {
                        if t.name == task && t.attempt == attempt && t.state != "ended" {
                            t.state = "ended";
                            t.cause = Some("stopped");
                            agent.changed = true;
                            self.trace.push(format!(
                                "{:7.2} {task} try {attempt} stopped on {machine}",
                                now as f64 / 1000.0
                            ));
                        }
                    }
                }
                CommandVerb::Clear => {
                    if let Some(agent) = self.agents.get_mut(machine) {
                        agent.tasks.retain(|t| {
                            t.name != task || t.attempt != attempt || t.state != "ended"
                        });
                    }
                }
            }
        }
    }

    pub(super) fn start(&mut self, machine: &str, task: &str, attempt: u64) {
        let now = self.now;
        if self.agents[machine]
            .tasks
            .iter()
            .any(|t| t.name == task && t.attempt == attempt)
        {
            return;
        }
        self.note(format!("{task} try {attempt} starts on {machine}"));
        let places = self.task_machines.entry(task.to_string()).or_default();
        for machine_name in places.iter() {
            let is_there = |agent: &Agent| {
                agent
                    .tasks
                    .iter()
                    .any(|t| t.name == task && t.state != "ended")
            };
            if self.agents.get(machine_name).is_some_and(is_there) {
                self.violations.push(format!(
                    "ran_twice: {task} on {machine_name} and {machine} at {now}"
                ));
            }
        }
        places.insert(machine.to_string());
        let (id, _) = task.rsplit_once('/').expect("a task's name");
        let Some(j) = self.jobs.get(id) else {
            self.violations.push(format!("invented: {task}"));
            return;
        };
        if j.cancelled_at.is_some_and(|t| now > t + 60_000) {
            self.violations
                .push(format!("ran_cancelled: {task} started"));
        }
        let undone = |n: &&String| {
            self.jobs
                .get(*n)
                .is_none_or(|x| x.done.len() < x.tasks as usize)
        };
        if let Some(n) = j.dependencies.iter().find(undone) {
            self.violations
                .push(format!("too_early: {task} before {n}"));
        }
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        let agents = self.agents.iter().filter(|_| j.single_zone || j.spread);
        for (machine_name, agent) in agents {
            let of_job =
                |t: &&AgentTask| t.state != "ended" && t.name.starts_with(&format!("{id}/"));
            let n =
                agent.tasks.iter().filter(of_job).count() + usize::from(machine_name == machine);
            if let Some(m) = self.cloud.machines.get(machine_name).filter(|_| n > 0) {
                *zones.entry(&m.zone).or_insert(0) += n as u32;
            }
        }
        let most = zones.values().max().copied().unwrap_or(0);
        if (j.single_zone && zones.len() > 1) || (j.spread && most > j.tasks.div_ceil(2)) {
            self.violations
                .push(format!("wrong_place: {task} in {zones:?}"));
        }
        if let Some(j) = self.jobs.get_mut(id) {
            j.begun.get_or_insert(now);
        }
        let pull = self.slow_image_pulls.get(machine).copied().unwrap_or(1000);
        if let Some(agent) = self.agents.get_mut(machine) {
            agent.tasks.push(AgentTask {
                name: task.into(),
                attempt,
                state: "pulling",
                cause: None,
                until: now + pull,
            });
            agent.changed = true;
        }
        let cpus = |agent: &Agent| -> f64 {
            agent
                .tasks
                .iter()
                .filter(|t| t.state != "ended")
                .filter_map(|t| self.jobs.get(t.name.rsplit_once('/')?.0))
                .map(|j| j.cpus)
                .sum()
        };
        let limited = self.team_cores > 0.0;
        let all: f64 = self.agents.values().filter(|_| limited).map(cpus).sum();
        if cpus(&self.agents[machine]) > 8.0 {
            self.violations.push(format!("too much on {machine}"));
        }
        if limited && all > self.team_cores {
            self.violations.push(format!("quota: {all} cores"));
        }
    }

    pub(super) fn tick_agents(&mut self) {
        self.start_and_end_agents();
        let waiting = self.gang_tasks_in("gathering");
        self.note_torn_gangs();
        let names: Vec<String> = self.agents.keys().cloned().collect();
        let mut out = Vec::new();
        for name in names {
            if self.hung_until.contains_key(&name) {
                self.tick_hung_agent(&name);
                continue;
            }
            self.end_expired_incarnation(&name);
            self.tick_tasks(&name, &waiting);
            out.extend(self.heartbeat(&name));
        }
        for message in out {
            self.send(1, message);
        }
    }

    fn start_and_end_agents(&mut self) {
        let now = self.now;
        for (name, machine) in &self.cloud.machines {
            if now >= machine.up_at && !self.agents.contains_key(name) {
                let agent = Agent {
                    machine: name.clone(),
                    incarnation: 1,
                    serial: 0,
                    epoch: 0,
                    tasks: vec![],
                    to: 0,
                    waiting: None,
                    last_acknowledged_at: now,
                    next: now,
                    changed: false,
                    killed: 0,
                };
                self.agents.insert(name.clone(), agent);
            }
        }
        let machines = &self.cloud.machines;
        self.agents.retain(|name, _| machines.contains_key(name));
    }

    /// How many tasks of each job and attempt are in a state.
    fn gang_tasks_in(&self, state: &str) -> HashMap<(String, u64), u32> {
        let mut counts = HashMap::new();
        for agent in self.agents.values() {
            for task in agent.tasks.iter().filter(|t| t.state == state) {
                let id = task.name.rsplit_once('/').expect("name").0.to_string();
                *counts.entry((id, task.attempt)).or_insert(0) += 1;
            }
        }
        counts
    }

    /// A running gang that lost a task notices within `gang_peer_s`.
    fn note_torn_gangs(&mut self) {
        let mut running = self.gang_tasks_in("running");
        running.retain(|(id, _), n| self.jobs.get(id).is_some_and(|j| j.gang && *n < j.tasks));
        self.incomplete_gangs
            .retain(|gang, _| running.contains_key(gang));
        for gang in running.into_keys() {
            self.incomplete_gangs.entry(gang).or_insert(self.now);
        }
    }

    /// The tasks of a hanging machine stand still, too, and count as there.
    fn tick_hung_agent(&mut self, name: &str) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        for task in agent.tasks.iter_mut().filter(|t| t.state != "ended") {
            task.until += self.agent_tick_ms;
            let (id, _) = task.name.rsplit_once('/').expect("name");
            let cancelled_at = self.jobs.get(id).and_then(|job| job.cancelled_at);
            if cancelled_at.is_some_and(|at| now > at + CANCEL_MS) {
                self.violations
                    .push(format!("ran_cancelled: {}", task.name));
            }
        }
    }

    /// Without an answer for a lease all tasks are killed.
    fn end_expired_incarnation(&mut self, name: &str) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        if now > agent.last_acknowledged_at + LEASE_MS {
            let live = agent.tasks.iter().filter(|t| t.state != "ended");
            agent.killed += live.count() as u64;
            agent.tasks.clear();
            agent.incarnation += 1;
            agent.last_acknowledged_at = now;
            agent.changed = true;
            agent.waiting = None;
        }
    }

    fn tick_tasks(&mut self, name: &str, waiting: &HashMap<(String, u64), u32>) {
        let now = self.now;
        let fails = self.faulty.contains(name);
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        for task in agent.tasks.iter_mut() {
            let (id, number) = task.name.rsplit_once('/').expect("name");
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let overdue = job.cancelled_at.is_some_and(|at| now > at + CANCEL_MS);
            if overdue && task.state != "ended" {
                self.violations
                    .push(format!("ran_cancelled: {}", task.name));
            }
            let gang = (id.to_string(), task.attempt);
            let incomplete_gangs = self.incomplete_gangs.get(&gang);
            match task.state {
                "running" if incomplete_gangs.is_some_and(|since| now >= since + GANG_PEER_MS) => {
                    task.state = "ended";
                    task.cause = Some("mates_gone");
                }
                "pulling" if now >= task.until => {
                    task.state = if job.gang { "gathering" } else { "running" };
                    task.until = now + job.run_ms;
                }
                // Gangs begin once all of them wait under one attempt.
                "gathering" if waiting.get(&gang) == Some(&job.tasks) => {
                    task.state = "running";
                    task.until = now + job.run_ms;
                }
                "gathering" if now >= task.until - job.run_ms + GANG_WAIT_MS => {
                    task.state = "ended";
                    task.cause = Some("alone");
                }
                "running" if now >= task.until && fails => {
                    task.state = "ended";
                    task.cause = Some("error");
                }
                "running" if now >= task.until => {
                    task.state = "ended";
                    task.cause = Some("done");
                    if job.gang {
                        // They complete together.
                        job.done = (0..job.tasks).collect();
                    }
                    job.done.insert(number.parse().expect("a number"));
                }
                _ => continue,
            }
            agent.changed = true;
        }
    }

    /// An agent's next heartbeat, if it is due.
    fn heartbeat(&mut self, name: &str) -> Option<SimMessage> {
        let now = self.now;
        let agent = self.agents.get_mut(name)?;
        if let Some((_, sent_at)) = agent.waiting {
            if now > sent_at + ANSWER_MS {
                agent.waiting = None;
                agent.to = (agent.to + 1) % 3;
                agent.next = now + 1000;
            }
        }
        let early_ms = self.limits.heartbeat_interval_ms - 500;
        let changed = agent.changed && now >= agent.next.saturating_sub(early_ms);
        if agent.waiting.is_some() || !(changed || now >= agent.next) {
            return None;
        }
        agent.changed = false;
        agent.next = now + self.limits.heartbeat_interval_ms;
        let report = agent.report(&self.cloud.machines[name]);
        agent.waiting = Some((report.serial, now));
        Some(SimMessage::Heartbeat {
            machine: name.to_string(),
            serial: report.serial,
            to: agent.to,
            body: wire::encode(&report),
            copy: false,
        })
    }
}
