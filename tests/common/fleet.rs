//! Fleets of thousands of machines.

use super::settings::submission;
use super::sim::Sim;

/// Number of tasks of an array; each takes half a machine.
const ARRAY_TASKS: u32 = 40;
/// Number of tasks of a gang; each takes a whole machine.
const GANG_TASKS: u32 = 8;
/// One job in this many is a gang.
const JOBS_PER_GANG: usize = 4;
/// How many times refused jobs are submitted again.
const RESUBMISSIONS_MAX: usize = 60;
/// Time between two submissions.
const SUBMIT_INTERVAL_MS: u64 = 40;

/// Run times of tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimes {
    pub array_ms: u64,
    pub gang_ms: u64,
}

impl RunTimes {
    pub(crate) const SHORT: RunTimes = RunTimes {
        array_ms: 30_000,
        gang_ms: 40_000,
    };
    pub(crate) const ENDLESS: RunTimes = RunTimes {
        array_ms: 3_600_000,
        gang_ms: 3_600_000,
    };
    pub(crate) const LONG: RunTimes = RunTimes {
        array_ms: 120_000,
        gang_ms: 240_000,
    };
}

/// How many jobs fill about `machines` machines.
pub(crate) fn jobs_for(machines: usize) -> usize {
    let per_round = (JOBS_PER_GANG - 1) * ARRAY_TASKS as usize / 2 + GANG_TASKS as usize;
    machines.div_ceil(per_round) * JOBS_PER_GANG
}

fn job_id(number: usize) -> String {
    format!("run-{number:06}")
}

impl Sim {
    /// A large deployment whose users submit jobs for about `machines` machines at once: arrays
    /// whose tasks take half a machine, and gangs whose tasks take a whole one. Returns the
    /// simulation and the number of jobs.
    pub(crate) fn with_full_queue(machines: usize, times: RunTimes) -> (Sim, usize) {
        let mut sim = Sim::large(machines);
        sim.run(2000);
        let jobs = jobs_for(machines);
        for number in 0..jobs {
            sim.submit_fleet_job(number, times);
            sim.run(SUBMIT_INTERVAL_MS);
        }
        sim.resubmit_refused(jobs, times);
        (sim, jobs)
    }

    /// Submits the job with this number of the queue of [`Sim::with_full_queue`].
    pub(crate) fn submit_fleet_job(&mut self, number: usize, times: RunTimes) {
        let id = job_id(number);
        let (job, run_ms) = if number % JOBS_PER_GANG == 0 {
            let gang = submission(&id, "group", GANG_TASKS, 8.0, "normal");
            (gang, times.gang_ms)
        } else {
            let array = submission(&id, "sweep", ARRAY_TASKS, 4.0, "best_effort");
            (array, times.array_ms)
        };
        self.submit(number % 3, &job, run_ms);
    }

    /// Resubmits refused jobs until all are accepted.
    fn resubmit_refused(&mut self, jobs: usize, times: RunTimes) {
        for _ in 0..RESUBMISSIONS_MAX {
            let is_refused = |number: &usize| !self.jobs[&job_id(*number)].accepted;
            let refused: Vec<usize> = (0..jobs).filter(is_refused).collect();
            if refused.is_empty() {
                return;
            }
            for number in refused {
                self.submit_fleet_job(number, times);
                self.run(SUBMIT_INTERVAL_MS);
            }
        }
        panic!("not all jobs were accepted within {RESUBMISSIONS_MAX} resubmissions");
    }

    /// How many tasks on machines have not exited.
    pub(crate) fn live_tasks(&self) -> usize {
        self.agents
            .values()
            .map(|agent| agent.live_tasks().count())
            .sum()
    }

    /// Removes one in `one_in` machines with its tasks; returns how many were removed.
    pub(crate) fn lose_machines(&mut self, one_in: usize) -> usize {
        let names: Vec<String> = self.cloud.machines.keys().cloned().collect();
        let lost: Vec<&String> = names.iter().step_by(one_in).collect();
        for name in &lost {
            self.cloud.machines.remove(*name);
        }
        self.trace_event(format!("{} machines are lost", lost.len()));
        lost.len()
    }
}
