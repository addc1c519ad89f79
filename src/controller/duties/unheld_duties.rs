//! Duties that no controller holds, for the leader to warn of.

use std::collections::BTreeMap;

use duty_lease::Duty;

/// A duty without a holder.
#[derive(Debug, Clone, Copy)]
struct UnheldDuty {
    since: u64,
    /// The leader has warned of it.
    is_reported: bool,
}

/// Duties without a holder, as the leader sees them.
#[derive(Debug)]
pub(super) struct UnheldDuties {
    /// For how long a duty may be without a holder before the leader warns.
    bound_ms: u64,
    unheld: BTreeMap<Duty, UnheldDuty>,
}

impl UnheldDuties {
    pub(super) fn new(bound_ms: u64) -> UnheldDuties {
        UnheldDuties {
            bound_ms,
            unheld: BTreeMap::new(),
        }
    }

    /// A duty has a holder.
    pub(super) fn on_held(&mut self, duty: Duty) {
        self.unheld.remove(&duty);
    }

    /// A duty has no holder. Returns for how long, in milliseconds, once it is longer than
    /// the bound.
    pub(super) fn on_unheld(&mut self, duty: Duty, now: u64) -> Option<u64> {
        let unheld = self.unheld.entry(duty).or_insert(UnheldDuty {
            since: now,
            is_reported: false,
        });
        let unheld_ms = now.saturating_sub(unheld.since);
        if unheld.is_reported || unheld_ms <= self.bound_ms {
            return None;
        }
        unheld.is_reported = true;
        Some(unheld_ms)
    }
}
