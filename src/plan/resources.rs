//! Amounts of CPUs, GPUs and memory: the demand of tasks and the capacity of machines.

use crate::job::JobSpec;

/// The tolerance for rounding errors in comparisons of amounts.
pub(super) const EPSILON: f64 = 1e-6;
/// An upper bound on computed task counts; no job has more tasks.
pub(super) const TASK_COUNT_MAX: f64 = 100_000.0;
/// The weight of GPUs in the share of a machine, relative to CPUs and memory.
const GPU_WEIGHT: f64 = 2.0;

/// Amounts of resources: the demand of a task, or the capacity of a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// The number of CPUs.
    pub cpus: f64,
    /// The number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// The demand of each task of a job.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// Adds the amount of each resource.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts the amount of each resource. The result may be negative.
    pub fn sub(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Returns each amount multiplied by a factor.
    pub fn scaled(self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// Whether there is enough of each resource for a task with this demand.
    pub fn fits(&self, demand: Resources) -> bool {
        self.cpus + EPSILON >= demand.cpus
            && self.gpus + EPSILON >= demand.gpus
            && self.memory_gb + EPSILON >= demand.memory_gb
    }

    /// Returns the minimum of each resource.
    pub(super) fn min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// How many tasks with this demand fit into the capacity, at most `TASK_COUNT_MAX`.
    pub fn max_task_count(&self, demand: Resources) -> u32 {
        let fitting = |available: f64, demand: f64| {
            if demand <= EPSILON {
                f64::INFINITY
            } else {
                ((available + EPSILON) / demand).floor()
            }
        };
        let count = fitting(self.cpus, demand.cpus)
            .min(fitting(self.gpus, demand.gpus))
            .min(fitting(self.memory_gb, demand.memory_gb));
        count.clamp(0.0, TASK_COUNT_MAX) as u32
    }

    /// The share of `total`, from 0 to 1: the weighted mean of the shares of CPUs, memory and, with
    /// a higher weight, GPUs.
    pub(super) fn share_of(&self, total: Resources) -> f64 {
        let share = |part: f64, total: f64| if total > EPSILON { part / total } else { 0.0 };
        (share(self.cpus, total.cpus)
            + GPU_WEIGHT * share(self.gpus, total.gpus)
            + share(self.memory_gb, total.memory_gb))
            / (2.0 + GPU_WEIGHT)
    }
}

/// The lowest fetch rate that estimates assume, in GB per second.
const FETCH_MIN_GB_PER_S: f64 = 0.01;

/// Estimates the time to fetch an image, in seconds.
pub fn estimated_fetch_s(image_gb: f64, fetch_gb_per_s: f64) -> f64 {
    image_gb / fetch_gb_per_s.max(FETCH_MIN_GB_PER_S)
}
