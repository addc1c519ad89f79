//! What a placement costs, in seconds.
//!
//! The cost of a placement is the time to fetch the image, a penalty for an on-demand machine
//! where a spot machine would do, and a share of that penalty for the capacity that is left
//! over. With victims, the work that their preemption wastes is added.

use super::resources::{fetch_s, Resources};
use super::snapshot::{MachineView, TaskView};
use crate::job::JobSpec;

/// The parameters of the costs of one cycle.
#[derive(Debug, Clone, Copy)]
pub(super) struct CostModel {
    /// The planner's clock, in seconds.
    pub now_s: f64,
    /// The penalty for using an on-demand machine where a spot one would do, in seconds.
    pub on_demand_penalty_s: f64,
}

impl CostModel {
    /// The cost of a placement on a machine with this free capacity, fetches aside.
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
        // A nearly empty machine may soon be returned: fill the others first.
        penalty_s + self.on_demand_penalty_s * left.share_of(machine.total)
    }

    /// What preempting a task wastes, in seconds of work and saving.
    pub(super) fn preemption_cost_s(&self, task: &TaskView) -> f64 {
        let run_time_s = |since_s: f64| (self.now_s - since_s).max(0.0);
        task.stop_cost_s + task.running_since_s.map_or(0.0, run_time_s)
    }
}

/// How long a machine fetches a job's image; 0 if it has the image.
pub(super) fn fetch_cost_s(machine: &MachineView, spec: &JobSpec, has_image: bool) -> f64 {
    if has_image {
        return 0.0;
    }
    fetch_s(spec.image_gb, machine.fetch_gb_per_s)
}
