//! The start of a task on a machine, with checks of all rules that a start can break.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::agent::{Agent, AgentTask};
use super::agent_ticks::CANCEL_MS;
use super::messages::{job_of, Job};
use super::sim::Sim;

/// Default time that a machine takes to pull an image.
const IMAGE_PULL_MS: u64 = 1000;
/// Cores of each machine.
const MACHINE_CPUS: f64 = 8.0;

/// All machines on which each task was started.
#[derive(Default)]
pub(super) struct TaskMachines(HashMap<String, BTreeSet<String>>);

impl TaskMachines {
    fn of(&self, task: &str) -> impl Iterator<Item = &String> {
        self.0.get(task).into_iter().flatten()
    }

    fn add(&mut self, task: &str, machine: &str) {
        let machines = self.0.entry(task.to_string()).or_default();
        machines.insert(machine.to_string());
    }
}

impl Sim {
    /// Starts a task, unless the machine already has this task and attempt in any state.
    pub(super) fn start_task(&mut self, machine: &str, task: &str, attempt: u64) {
        if self.agents[machine].has(task, attempt) {
            return;
        }
        self.trace_event(format!("{task} try {attempt} starts on {machine}"));
        self.check_runs_nowhere_else(task, machine);
        self.task_machines.add(task, machine);
        let id = job_of(task);
        if !self.jobs.contains_key(id) {
            return self
                .log
                .violation(format!("invented: {task} belongs to no submitted job"));
        }
        self.check_may_run(id, task);
        self.check_zones(id, task, machine);
        if let Some(job) = self.jobs.get_mut(id) {
            job.started_at.get_or_insert(self.now);
        }
        let pull_ms = self.faults.image_pull_ms.get(machine);
        let until = self.now + pull_ms.copied().unwrap_or(IMAGE_PULL_MS);
        if let Some(agent) = self.agents.get_mut(machine) {
            let started = AgentTask::pulling_image(task, attempt, until);
            agent.tasks.push(started);
            agent.has_changes = true;
        }
        self.check_capacity(machine);
        self.check_quota();
    }

    fn check_runs_nowhere_else(&mut self, task: &str, machine: &str) {
        let now = self.now;
        for other in self.task_machines.of(task) {
            let agent = self.agents.get(other);
            if agent.is_some_and(|agent| agent.has_live(task)) {
                self.log.violation(format!(
                    "ran_twice: {task} on {other} and {machine} at {now}"
                ));
            }
        }
    }

    /// Checks that the job is not cancelled and that all its dependencies are done.
    fn check_may_run(&mut self, id: &str, task: &str) {
        let job = &self.jobs[id];
        let cancelled_at = job.cancelled_at;
        if cancelled_at.is_some_and(|at| self.now > at + CANCEL_MS) {
            self.log.violation(format!(
                "ran_cancelled: {task} started after its job's cancellation"
            ));
        }
        let is_unfinished = |dependency: &&String| {
            let dependency = self.jobs.get(*dependency);
            dependency.is_none_or(|job| job.done.len() < job.tasks as usize)
        };
        if let Some(dependency) = job.dependencies.iter().find(is_unfinished) {
            self.log
                .violation(format!("too_early: {task} before {dependency}"));
        }
    }

    fn check_zones(&mut self, id: &str, task: &str, machine: &str) {
        let job = &self.jobs[id];
        if !job.single_zone && !job.spread {
            return;
        }
        let zones = self.tasks_by_zone(id, machine);
        if breaks_zone_rules(job, &zones) {
            let text =
                format!("wrong_place: {task} breaks the zone rules; tasks by zone: {zones:?}");
            self.log.violation(text);
        }
    }

    /// Number of a job's live tasks in each zone, counting one more on `machine`.
    fn tasks_by_zone(&self, id: &str, machine: &str) -> BTreeMap<&str, u32> {
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (name, agent) in &self.agents {
            let of_job = agent.live_tasks().filter(|task| task.belongs_to(id));
            let count = of_job.count() + usize::from(name == machine);
            let rented = self.cloud.machines.get(name);
            if let Some(rented) = rented.filter(|_| count > 0) {
                *zones.entry(&rented.zone).or_insert(0) += count as u32;
            }
        }
        zones
    }

    fn check_capacity(&mut self, machine: &str) {
        if self.used_cpus(&self.agents[machine]) > MACHINE_CPUS {
            self.log.violation(format!(
                "the tasks on {machine} need more than {MACHINE_CPUS} cores"
            ));
        }
    }

    fn check_quota(&mut self) {
        let limit = self.deployment.team_cores;
        if limit <= 0.0 {
            return;
        }
        let agents = self.agents.values();
        let all: f64 = agents.map(|agent| self.used_cpus(agent)).sum();
        if all > limit {
            self.log
                .violation(format!("quota: {all} of {limit} cores are in use"));
        }
    }

    fn used_cpus(&self, agent: &Agent) -> f64 {
        let jobs = agent
            .live_tasks()
            .filter_map(|task| self.jobs.get(task.name.rsplit_once('/')?.0));
        jobs.map(|job| job.cpus).sum()
    }
}

fn breaks_zone_rules(job: &Job, zones: &BTreeMap<&str, u32>) -> bool {
    let most = zones.values().max().copied().unwrap_or(0);
    (job.single_zone && zones.len() > 1) || (job.spread && most > job.tasks.div_ceil(2))
}
