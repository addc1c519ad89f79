//! The order in which a cycle schedules jobs.

use std::cmp::{Ordering, Reverse};

use super::precedence::Precedence;
use super::snapshot::{JobView, Snapshot};

/// The sort key of a job, the most significant field first. Lower keys are scheduled first.
struct OrderKey<'a> {
    precedence: Reverse<Precedence>,
    /// Whether the job has missed all its objectives, so that further waiting does no harm.
    has_missed_objectives: bool,
    /// Seconds until the job has to start, plus the expected run time of its pending tasks;
    /// negative infinity for overdue jobs.
    slack_s: f64,
    ready_at_s: f64,
    id: &'a str,
}

impl<'a> OrderKey<'a> {
    fn new(job: &'a JobView, snapshot: &Snapshot) -> OrderKey<'a> {
        // Schedules jobs with little remaining work first, so that more jobs meet their objectives.
        let work_s = job.pending.len() as f64 * job.spec.expected_s;
        let start_by_s = job.start_by_s.unwrap_or(job.ready_at_s);
        OrderKey {
            precedence: Reverse(precedence_of(job, snapshot)),
            has_missed_objectives: job.start_by_s.is_none() && !job.overdue,
            slack_s: if job.overdue {
                f64::NEG_INFINITY
            } else {
                start_by_s - snapshot.now_s + work_s
            },
            ready_at_s: job.ready_at_s,
            id: &job.id,
        }
    }

    fn compare(&self, other: &OrderKey) -> Ordering {
        let first = (self.precedence, self.has_missed_objectives);
        let second = (other.precedence, other.has_missed_objectives);
        first
            .cmp(&second)
            .then(self.slack_s.total_cmp(&other.slack_s))
            .then(self.ready_at_s.total_cmp(&other.ready_at_s))
            .then(self.id.cmp(other.id))
    }
}

fn precedence_of(job: &JobView, snapshot: &Snapshot) -> Precedence {
    let priority = job.spec.priority;
    let unknown_team = Precedence {
        is_within_nominal_quota: false,
        priority,
    };
    let team = snapshot.teams.get(&job.spec.team);
    team.map_or(unknown_team, |team| team.precedence(priority))
}

/// Returns the indexes of the snapshot's jobs in queue order. Jobs of teams within their nominal
/// quota come first, then jobs of higher priority, then jobs that can still meet an objective or
/// are overdue, of these the overdue ones; the rest is ordered by slack plus work, then by age.
pub(super) fn queue_order(snapshot: &Snapshot) -> Vec<usize> {
    let keys = snapshot.jobs.iter().map(|job| OrderKey::new(job, snapshot));
    let mut keyed: Vec<(usize, OrderKey)> = keys.enumerate().collect();
    keyed.sort_by(|a, b| a.1.compare(&b.1));
    keyed.into_iter().map(|(index, _)| index).collect()
}
