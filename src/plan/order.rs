//! The order of the queue.

use std::cmp::{Ordering, Reverse};

use super::snapshot::{JobView, Snapshot};
use crate::job::Priority;

/// What jobs are ordered by, the most important first.
struct OrderKey<'a> {
    beyond_guarantee: bool,
    priority: Reverse<Priority>,
    /// It has missed all aims and has nothing to lose by waiting.
    lost: bool,
    slack_s: f64,
    ready_at_s: f64,
    id: &'a str,
}

impl<'a> OrderKey<'a> {
    fn new(job: &'a JobView, snapshot: &Snapshot) -> OrderKey<'a> {
        let team = snapshot.teams.get(&job.spec.team);
        // Jobs with little left to do go first: more of them are in time.
        let work_s = job.pending.len() as f64 * job.spec.expected_s;
        let start_by_s = job.start_by_s.unwrap_or(job.ready_at_s);
        OrderKey {
            beyond_guarantee: !team.is_some_and(|team| team.within_guarantee()),
            priority: Reverse(job.spec.priority),
            lost: job.start_by_s.is_none() && !job.overdue,
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
        let first = (self.beyond_guarantee, self.priority, self.lost);
        let second = (other.beyond_guarantee, other.priority, other.lost);
        first
            .cmp(&second)
            .then(self.slack_s.total_cmp(&other.slack_s))
            .then(self.ready_at_s.total_cmp(&other.ready_at_s))
            .then(self.id.cmp(other.id))
    }
}

/// The indexes of the snapshot's jobs in queue order: teams within their guarantee, then
/// priority, then what has been overtaken for too long, then the least slack and work,
/// then age.
pub(super) fn queue_order(snapshot: &Snapshot) -> Vec<usize> {
    let keys = snapshot.jobs.iter().map(|job| OrderKey::new(job, snapshot));
    let mut keyed: Vec<(usize, OrderKey)> = keys.enumerate().collect();
    keyed.sort_by(|a, b| a.1.compare(&b.1));
    keyed.into_iter().map(|(index, _)| index).collect()
}
