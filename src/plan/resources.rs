//! Amounts of CPUs, GPUs and memory, as tasks ask for them and machines have them.

use crate::job::JobSpec;

/// Differences below this come from rounding and are ignored.
pub(super) const EPSILON: f64 = 1e-6;
/// More tasks than any job has.
pub(super) const TASK_COUNT_MAX: f64 = 100_000.0;
/// How much GPUs weigh in the share of a machine, against CPUs and memory.
const GPU_WEIGHT: f64 = 2.0;

/// Amounts of resources: the demand of a task, or the capacity of a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
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

    /// Adds another amount of each.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts another amount of each. The result may be negative.
    pub fn sub(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Each amount multiplied by a factor.
    pub fn scaled(self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// Whether there is enough of each for a task with this demand.
    pub fn fits(&self, demand: Resources) -> bool {
        self.cpus + EPSILON >= demand.cpus
            && self.gpus + EPSILON >= demand.gpus
            && self.memory_gb + EPSILON >= demand.memory_gb
    }

    /// The lesser amount of each.
    pub(super) fn min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// How many tasks with this demand fit, at most `TASK_COUNT_MAX`.
    pub fn count_of(&self, demand: Resources) -> u32 {
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

    /// The share that this is of `total`, from 0 to 1: the mean of CPUs, memory and, with more
    /// weight, GPUs.
    pub(super) fn share_of(&self, total: Resources) -> f64 {
        let share = |part: f64, total: f64| if total > EPSILON { part / total } else { 0.0 };
        (share(self.cpus, total.cpus)
            + GPU_WEIGHT * share(self.gpus, total.gpus)
            + share(self.memory_gb, total.memory_gb))
            / (2.0 + GPU_WEIGHT)
    }
}

/// The slowest fetch that is assumed, in GB per second.
const FETCH_MIN_GB_PER_S: f64 = 0.01;

/// How long the fetch of an image is expected to take, in seconds.
pub fn fetch_s(image_gb: f64, fetch_gb_per_s: f64) -> f64 {
    image_gb / fetch_gb_per_s.max(FETCH_MIN_GB_PER_S)
}
