//! The precedence of jobs in claims to capacity.

use crate::job::Priority;

/// The precedence of a job: its place in the queue, which tasks it may preempt and whose
/// reservations it may use. Ordered from the lowest.
///
/// Work of a team that fits into its nominal quota comes before all work of other teams, whatever
/// its priority. No precedence depends on what runs: preemptions change none, so they cannot form
/// a circle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// Whether all unfinished work of the job's team fits into the team's nominal quota.
    pub is_within_nominal_quota: bool,
    /// The job's priority.
    pub priority: Priority,
}
