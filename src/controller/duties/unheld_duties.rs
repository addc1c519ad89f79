//! Tracks duties that no controller holds, so that the leader can warn about them.

use std::collections::BTreeMap;

use duty_lease::Duty;

/// A duty without a holder.
#[derive(Debug, Clone, Copy)]
struct UnheldDuty {
    since: u64,
    /// Whether the leader has logged a warning about it.
    is_reported: bool,
}

/// Duties without a holder, as seen by the leader.
#[derive(Debug)]
pub(super) struct UnheldDuties {
    /// Time for which a duty may be without a holder before the leader warns.
    limit_ms: u64,
    unheld: BTreeMap<Duty, UnheldDuty>,
}

impl UnheldDuties {
    pub(super) fn new(limit_ms: u64) -> UnheldDuties {
        UnheldDuties {
            limit_ms,
            unheld: BTreeMap::new(),
        }
    }

    /// Handles the observation that a duty has a holder.
    pub(super) fn on_held(&mut self, duty: Duty) {
        self.unheld.remove(&duty);
    }

    /// Handles the observation that a duty has no holder. Returns for how long, in
    /// milliseconds, when that first exceeds the limit.
    pub(super) fn on_unheld(&mut self, duty: Duty, now: u64) -> Option<u64> {
        let unheld = self.unheld.entry(duty).or_insert(UnheldDuty {
            since: now,
            is_reported: false,
        });
        let unheld_ms = now.saturating_sub(unheld.since);
        if unheld.is_reported || unheld_ms <= self.limit_ms {
            return None;
        }
        unheld.is_reported = true;
        Some(unheld_ms)
    }
}
