//! Builds the [`Decision`] of a cycle: translates machine indexes into machine names.

use crate::plan::decision::{
    Decision, PlannedPlacement, PlannedPreemption, PlannedReservation, PreemptionReason,
    TaskBinding, UnmetDemand,
};
use crate::plan::fleet::Fleet;
use crate::plan::resources::Resources;
use crate::plan::search::Assignment;
use crate::plan::snapshot::JobView;

/// A decision under construction.
#[derive(Default)]
pub(super) struct DecisionBuilder {
    decision: Decision,
}

impl DecisionBuilder {
    /// Returns the decision with the number of machine examinations in the cycle.
    pub(super) fn finish(self, machines_examined: u64) -> Decision {
        Decision {
            machines_examined,
            ..self.decision
        }
    }

    /// Adds a gang that could not be placed; the scheduler lets it back off.
    pub(super) fn add_unplaced_gang(&mut self, job: &JobView) {
        self.decision.unplaced_gangs.push(job.id.clone());
    }

    /// Adds an array that skipped machines because they lack its image.
    pub(super) fn add_skipped_array(&mut self, job: &JobView) {
        let skipped = &mut self.decision.arrays_skipping_uncached;
        skipped.push(job.id.clone());
    }

    /// Adds the placements of an assignment. All placements of a job share one entry, because
    /// they are stored in one record.
    pub(super) fn add_placements(&mut self, job: &JobView, assignment: &Assignment, fleet: &Fleet) {
        let tasks = assignment.tasks.iter();
        let tasks = tasks.map(|assigned| TaskBinding {
            task: assigned.task,
            machine: fleet.machine_name(assigned.machine),
        });
        let mut placements = self.decision.placements.iter_mut();
        match placements.find(|placement| placement.job == job.id) {
            Some(placement) => placement.tasks.extend(tasks),
            None => self.decision.placements.push(PlannedPlacement {
                job: job.id.clone(),
                tasks: tasks.collect(),
            }),
        }
    }

    /// Adds the victims of an assignment and the reservations for the preemptor's tasks.
    pub(super) fn add_preemption(&mut self, job: &JobView, assignment: &Assignment, fleet: &Fleet) {
        for victim in &assignment.victims {
            let view = &fleet.machine(victim.machine).tasks[victim.task];
            self.decision.preemptions.push(PlannedPreemption {
                job: view.job.clone(),
                task: view.task,
                machine: fleet.machine_name(victim.machine),
                preemptor: job.id.clone(),
                reason: if view.priority < job.spec.priority {
                    PreemptionReason::HigherPriority
                } else {
                    PreemptionReason::NominalQuota
                },
            });
        }
        for assigned in &assignment.tasks {
            self.decision.reservations.push(PlannedReservation {
                job: job.id.clone(),
                machine: fleet.machine_name(assigned.machine),
                resources: Resources::of(&job.spec),
            });
        }
    }

    /// Adds the unmet demand of a job: its pending tasks except those that the assignment has
    /// earmarked capacity for.
    pub(super) fn add_unmet(&mut self, job: &JobView, assignment: &Assignment, fleet: &Fleet) {
        let mut unmet = UnmetDemand {
            job: job.id.clone(),
            count: (job.pending.len() - assignment.tasks.len()) as u32,
            zones: job.zones.clone(),
            machines: Vec::with_capacity(assignment.tasks.len()),
        };
        for assigned in &assignment.tasks {
            let view = fleet.machine(assigned.machine);
            *unmet.zones.entry(view.zone.clone()).or_insert(0) += 1;
            unmet.machines.push(view.name.clone());
        }
        self.decision.unmet.push(unmet);
    }

    /// Adds the unmet demand of `count` tasks of an array; none if `count` is 0.
    pub(super) fn add_unmet_array(&mut self, job: &JobView, count: usize) {
        if count == 0 {
            return;
        }
        self.decision.unmet.push(UnmetDemand {
            job: job.id.clone(),
            count: count as u32,
            zones: job.zones.clone(),
            machines: vec![],
        });
    }
}
