//! Fleets of thousands of machines.

use super::settings::*;
use super::sim::*;

/// Tasks of an array, which take half a machine, and of a gang, which take a whole one.
const ARRAY_TASKS: u32 = 40;
const GANG_TASKS: u32 = 8;
/// One job in so many is a gang.
const GANG_PART: usize = 4;

/// How long tasks run.
#[derive(Clone, Copy, Debug)]
pub struct RunTimes {
    pub array_ms: u64,
    pub gang_ms: u64,
}

impl RunTimes {
    pub const SHORT: RunTimes = RunTimes {
        array_ms: 30_000,
        gang_ms: 40_000,
    };
    pub const ENDLESS: RunTimes = RunTimes {
        array_ms: 3_600_000,
        gang_ms: 3_600_000,
    };
    pub const LONG: RunTimes = RunTimes {
        array_ms: 120_000,
        gang_ms: 240_000,
    };
}

/// How many jobs ask for about so many machines together.
pub fn jobs_for(machines: usize) -> usize {
    let per_round = (GANG_PART - 1) * ARRAY_TASKS as usize / 2 + GANG_TASKS as usize;
    machines.div_ceil(per_round) * GANG_PART
}

impl Sim {
    /// A large deployment whose users ask for about so many machines at once: arrays of
    /// tasks for half a machine, and gangs of tasks for a whole one. Returns how many jobs.
    pub fn with_full_queue(machines: usize, times: RunTimes) -> (Sim, usize) {
        let mut sim = Sim::large(machines);
        sim.run(2000);
        let jobs = jobs_for(machines);
        for n in 0..jobs {
            sim.submit_fleet_job(n, times);
            sim.run(40);
        }
        sim.submit_again(jobs, times);
        (sim, jobs)
    }

    /// The nth job of such a queue.
    pub fn submit_fleet_job(&mut self, n: usize, times: RunTimes) {
        let id = format!("run-{n:06}");
        let (shape, tasks, cpus, ms) = if n % GANG_PART == 0 {
            ("group", GANG_TASKS, 8.0, times.gang_ms)
        } else {
            ("sweep", ARRAY_TASKS, 4.0, times.array_ms)
        };
        let priority = if n % GANG_PART == 0 {
            "normal"
        } else {
            "best_effort"
        };
        self.submit(n % 3, &submission(&id, shape, tasks, cpus, priority), ms);
    }

    /// Users whose submissions were refused ask again, until all are accepted.
    pub fn submit_again(&mut self, jobs: usize, times: RunTimes) {
        for _ in 0..60 {
            let refused = |n: &usize| !self.jobs[&format!("run-{n:06}")].accepted;
            let refused: Vec<usize> = (0..jobs).filter(refused).collect();
            if refused.is_empty() {
                return;
            }
            for n in refused {
                self.submit_fleet_job(n, times);
                self.run(40);
            }
        }
        panic!("not all jobs are accepted");
    }

    /// Tasks that are on machines and have not ended.
    pub fn live_tasks(&self) -> usize {
        let tasks = self.agents.values().flat_map(|agent| &agent.tasks);
        tasks.filter(|task| task.state != "ended").count()
    }

    /// One machine in so many is gone, with all that is on it.
    pub fn lose_machines(&mut self, part: usize) -> usize {
        let names: Vec<String> = self.cloud.machines.keys().cloned().collect();
        let lost: Vec<&String> = names.iter().step_by(part).collect();
        for name in &lost {
            self.cloud.machines.remove(*name);
        }
        self.note(format!("{} machines are lost", lost.len()));
        lost.len()
    }
}
