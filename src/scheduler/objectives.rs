//! Computes when a job should start to meet its service-level objectives.

use super::Job;
use crate::settings::{ObjectiveKind, ServiceLevelObjective};

/// When a job should start for one of its objectives, in seconds of the time of day.
#[derive(Debug, Clone, Copy, PartialEq)]
struct StartObjective {
    start_by_s: f64,
    /// How much later the job may start before the objective counts as missed.
    tolerance_s: f64,
}

impl StartObjective {
    /// An objective to start by `start_by_s`.
    fn started_by(start_by_s: f64) -> StartObjective {
        StartObjective {
            start_by_s,
            tolerance_s: 0.0,
        }
    }

    /// An objective to be done by `at_s`. Run time estimates are rough, so a job that starts half
    /// a run time late may still meet it.
    fn done_by(at_s: f64, run_s: f64) -> StartObjective {
        StartObjective {
            start_by_s: at_s - run_s,
            tolerance_s: run_s / 2.0,
        }
    }

    fn is_reachable(&self, now_s: f64) -> bool {
        self.start_by_s + self.tolerance_s >= now_s
    }
}

/// When a job should start to meet the earliest of its objectives that can still be met, in
/// seconds of the time of day; `None` if all are missed. A job without objectives should start
/// within `boot_s` of becoming ready, so such jobs are served in the order of readiness.
pub(super) fn start_by_s(
    job: &Job,
    configured: &[ServiceLevelObjective],
    boot_s: f64,
    now_s: f64,
) -> Option<f64> {
    let objectives = start_objectives(job, configured);
    if objectives.is_empty() {
        return Some(job.ready_at as f64 / 1000.0 + boot_s);
    }
    objectives
        .into_iter()
        .filter(|objective| objective.is_reachable(now_s))
        .map(|objective| objective.start_by_s)
        .min_by(f64::total_cmp)
}

/// A job's own deadline, that of its dependents, and the configured objectives for its class.
fn start_objectives(job: &Job, configured: &[ServiceLevelObjective]) -> Vec<StartObjective> {
    let submitted_s = job.submitted_at as f64 / 1000.0;
    let run_s = job.spec.expected_s;
    let done_by = |at_s: f64| StartObjective::done_by(at_s, run_s);
    let mut objectives: Vec<StartObjective> = Vec::new();
    if let Some(deadline_s) = job.spec.deadline_s {
        objectives.push(done_by(submitted_s + deadline_s));
    }
    objectives.extend(job.due_at_s.map(done_by));
    let for_class = configured.iter().filter(|objective| {
        let class = objective.class.as_ref();
        class.is_none_or(|class| *class == job.spec.class)
    });
    objectives.extend(for_class.filter_map(|objective| configured_objective(job, objective)));
    objectives
}

fn configured_objective(job: &Job, objective: &ServiceLevelObjective) -> Option<StartObjective> {
    let submitted_s = job.submitted_at as f64 / 1000.0;
    let ready_s = job.ready_at as f64 / 1000.0;
    let run_s = job.spec.expected_s;
    match (objective.kind, objective.within_s, job.spec.deadline_s) {
        (ObjectiveKind::Wait, Some(within_s), _) => {
            Some(StartObjective::started_by(ready_s + within_s))
        }
        (ObjectiveKind::Finished, Some(within_s), _) => {
            Some(StartObjective::done_by(ready_s + within_s, run_s))
        }
        (ObjectiveKind::Deadline, _, Some(deadline_s)) => {
            let times = objective.times.unwrap_or(1.0);
            let due_s = submitted_s + deadline_s * times;
            Some(StartObjective::done_by(due_s, run_s))
        }
        _ => None,
    }
}
