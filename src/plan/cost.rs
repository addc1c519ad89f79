//! The cost model of placements, in seconds.
//!
//! The cost of a placement is the time to fetch the image, a penalty for an on-demand machine
//! where a spot machine would do, and a share of that penalty for the capacity left unused on
//! the machine. With preemption, the work that the victims lose is added.

use super::resources::{estimated_fetch_s, Resources};
use super::snapshot::{MachineView, TaskView};
use crate::job::JobSpec;

/// The cost parameters of one planning cycle.
#[derive(Debug, Clone, Copy)]
pub(super) struct CostModel {
    /// The time of the snapshot on the planner's clock, in seconds.
    pub now_s: f64,
    /// The penalty for using an on-demand machine where a spot one would do, in seconds.
    pub on_demand_penalty_s: f64,
}

impl CostModel {
    /// The cost of a placement on a machine with this free capacity, without the image fetch.
    pub(super) fn placement_cost_s(
        &self,
        machine: &MachineView,
        spec: &JobSpec,
        free: Resources,
    ) -> f64 {
        let penalty_s = if spec.spot && !machine.spot {
            self.on_demand_penalty_s
        } else {
            0.0
        };
        let mut left = free;
        left.sub(Resources::of(spec));
        // Prefer machines that are already in use: an almost empty one may soon be returned.
        penalty_s + self.on_demand_penalty_s * left.share_of(machine.total)
    }

    /// The cost of preempting a task, in seconds of lost work and of checkpointing.
    pub(super) fn preemption_cost_s(&self, task: &TaskView) -> f64 {
        let run_time_s = |since_s: f64| (self.now_s - since_s).max(0.0);
        task.stop_cost_s + task.running_since_s.map_or(0.0, run_time_s)
    }
}

/// The time that a machine needs to fetch a job's image, in seconds; 0 if it has the image.
pub(super) fn fetch_cost_s(machine: &MachineView, spec: &JobSpec, has_image: bool) -> f64 {
    if has_image {
        return 0.0;
    }
    estimated_fetch_s(spec.image_gb, machine.fetch_gb_per_s)
}
