//! Removing records that nobody takes in, as the holder of cleaning: results whose leader
//! has ended, and provisioning requests that were needed long ago. What may have been sent, what returns
//! a machine and what can't be read stays.

use std::collections::BTreeMap;

use duty_lease::{Duty, Order};
use tracing::info;

use super::{Controller, DutyWrite, WritePurpose};
use crate::duties::{OrderKey, OrderPhase, OrderRecord};
use crate::time_units::to_ms;

/// Agents' leases for which a record has to stay as it is before it is removed.
const UNCHANGED_LEASES: f64 = 2.0;

/// Since when records have stayed as they are.
#[derive(Debug)]
pub(super) struct Cleaning {
    next_at: u64,
    /// Between two removals.
    interval_ms: u64,
    /// By the order: the version of its record, and since when it was seen.
    seen: BTreeMap<OrderKey, (u64, u64)>,
    /// Removals that are on their way, or that a dry run has logged.
    handled: BTreeMap<OrderKey, u64>,
}

impl Cleaning {
    pub fn new(removals_per_s: f64) -> Cleaning {
        Cleaning {
            next_at: 0,
            interval_ms: to_ms(1.0 / removals_per_s),
            seen: BTreeMap::new(),
            handled: BTreeMap::new(),
        }
    }

    /// Takes in the records that may be removed one day; returns one that may be now.
    fn update(
        &mut self,
        records: &[(OrderKey, u64)],
        unchanged_ms: u64,
        now: u64,
    ) -> Option<(OrderKey, u64)> {
        let is_there = |key: &OrderKey| records.iter().any(|(other, _)| other == key);
        self.seen.retain(|key, _| is_there(key));
        self.handled.retain(|key, _| is_there(key));
        let mut due = None;
        for (key, version) in records {
            let seen = self.seen.entry(key.clone()).or_insert((*version, now));
            if seen.0 != *version {
                *seen = (*version, now);
            }
            let is_handled = self.handled.get(key) == Some(version);
            if now >= seen.1 + unchanged_ms && !is_handled {
                due = Some((key.clone(), *version));
            }
        }
        due
    }
}

impl Controller {
    /// Removes what is due, one record at a time.
    pub(super) fn clean_records(&mut self) {
        let now = self.clock.steady_ms();
        if !self.may_send_orders(Duty::CleanState) {
            return;
        }
        let unchanged_s = self.settings.cluster.workers.lease_s * UNCHANGED_LEASES;
        let orders = self.watch_cache.duties.orders();
        let removable = orders.filter(|(_, record, _)| is_removable(record));
        let removable: Vec<(OrderKey, u64)> = removable
            .map(|(key, _, version)| (key.clone(), version))
            .collect();
        let Some(control) = &mut self.duties.control else {
            return;
        };
        if now < control.cleaning.next_at {
            return;
        }
        let dry_run = control.settings.cleaning_dry_run;
        let due = control.cleaning.update(&removable, to_ms(unchanged_s), now);
        let Some((key, version)) = due else { return };
        control.cleaning.next_at = now + control.cleaning.interval_ms;
        control.cleaning.handled.insert(key.clone(), version);
        let (duty, request) = (key.duty.name(), key.request.as_str());
        if dry_run {
            return info!(duty, request, "would be removed: nobody takes it in");
        }
        info!(duty, request, "removed: nobody takes it in");
        let write = DutyWrite {
            purpose: WritePurpose::Clean,
            changes: vec![(key, None)],
        };
        self.write_as_holder(Duty::CleanState, write);
    }

    /// A removal was carried out, or was not: then it comes due again.
    pub(super) fn on_cleaned(&mut self, changes: &[(OrderKey, Option<OrderRecord>)]) {
        if let Some(control) = &mut self.duties.control {
            for (key, _) in changes {
                control.cleaning.handled.remove(key);
            }
        }
    }
}

/// Whether nobody can need a record any more once it has stayed as it is for long. A
/// provisioning request that was only needed was never sent, and each leader plans anew.
fn is_removable(record: &OrderRecord) -> bool {
    match record.phase {
        OrderPhase::Completed(_) => true,
        OrderPhase::Needed => matches!(record.order, Order::Rent { .. }),
        OrderPhase::Recorded(_) => false,
    }
}
