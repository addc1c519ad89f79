//! Fleets of thousands of machines.

use super::settings::*;
use super::sim::*;

/// Tasks of an array and how long they run.
const ARRAY_TASKS: u32 = 40;
const ARRAY_MS: u64 = 30_000;
const GANG_TASKS: u32 = 8;
const GANG_MS: u64 = 40_000;
/// One job in so many is a gang.
const GANG_PART: usize = 4;

impl Sim {
    /// A large deployment whose users ask for about so many machines at once: arrays of
    /// tasks for half a machine, and gangs of tasks for a whole one. Returns how many jobs.
    pub fn with_full_queue(machines: usize) -> (Sim, usize) {
        let mut sim = Sim::large(machines);
        sim.run(2000);
        let per_round = (GANG_PART - 1) * ARRAY_TASKS as usize / 2 + GANG_TASKS as usize;
        let jobs = machines.div_ceil(per_round) * GANG_PART;
        for n in 0..jobs {
            sim.submit_fleet_job(n);
            sim.run(40);
        }
        (sim, jobs)
    }

    fn submit_fleet_job(&mut self, n: usize) {
        let id = format!("run-{n:06}");
        let (shape, tasks, cpus, ms) = if n % GANG_PART == 0 {
            ("group", GANG_TASKS, 8.0, GANG_MS)
        } else {
            ("sweep", ARRAY_TASKS, 4.0, ARRAY_MS)
        };
        let priority = if n % GANG_PART == 0 {
            "normal"
        } else {
            "best_effort"
        };
        self.submit(n % 3, &submission(&id, shape, tasks, cpus, priority), ms);
    }

    /// Users whose submissions were refused ask again, until all are accepted.
    pub fn submit_again(&mut self, jobs: usize) {
        for _ in 0..60 {
            let refused = |n: &usize| !self.jobs[&format!("run-{n:06}")].accepted;
            let refused: Vec<usize> = (0..jobs).filter(refused).collect();
            if refused.is_empty() {
                return;
            }
            for n in refused {
                self.submit_fleet_job(n);
                self.run(40);
            }
        }
        panic!("not all jobs are accepted");
    }

    /// Tasks that are on machines and have not ended.
    pub fn live_tasks(&self) -> usize {
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
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
