//! Removing records that no leader processes, as the holder of cleaning: results whose leader
//! has ended, and provisioning requests from long ago. What may have been sent, what terminates
//! a machine and what can't be read stays.

use std::collections::BTreeMap;

use duty_lease::{Duty, Order};
use tracing::info;

use super::writes::{DutyWrite, RecordChange, WritePurpose};
use super::Controller;
use crate::duties::{OrderKey, OrderPhase, OrderRecord};
use crate::settings::DutySettings;
use crate::time_units::to_ms;

/// Agents' leases for which a record has to stay as it is before it is removed.
const UNCHANGED_LEASES: f64 = 2.0;

/// Whether records are removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CleaningMode {
    Remove,
    /// What would be removed is only logged.
    DryRun,
}

/// A record that may be removed one day.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RemovableRecord {
    key: OrderKey,
    version: u64,
}

/// A version of a record, and since when it has been seen.
#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    version: u64,
    since: u64,
}

/// Since when records have stayed as they are.
#[derive(Debug)]
pub(super) struct Cleaning {
    mode: CleaningMode,
    /// For how long a record has to stay as it is.
    unchanged_ms: u64,
    next_at: u64,
    /// Between two removals.
    interval_ms: u64,
    seen: BTreeMap<OrderKey, SeenVersion>,
    /// Versions whose removal is on its way, or that a dry run has logged.
    handled: BTreeMap<OrderKey, u64>,
}

impl Cleaning {
    /// `lease_s`: an agent's lease.
    pub(super) fn new(settings: &DutySettings, lease_s: f64) -> Cleaning {
        let mode = if settings.cleaning_dry_run {
            CleaningMode::DryRun
        } else {
            CleaningMode::Remove
        };
        Cleaning {
            mode,
            unchanged_ms: to_ms(lease_s * UNCHANGED_LEASES),
            next_at: 0,
            interval_ms: to_ms(1.0 / settings.cleaning_per_s),
            seen: BTreeMap::new(),
            handled: BTreeMap::new(),
        }
    }

    fn is_due(&self, now: u64) -> bool {
        now >= self.next_at
    }

    /// Updates the records that may be removed one day; returns one that may be now.
    fn update(&mut self, records: &[RemovableRecord], now: u64) -> Option<RemovableRecord> {
        let is_there = |key: &OrderKey| records.iter().any(|record| record.key == *key);
        self.seen.retain(|key, _| is_there(key));
        self.handled.retain(|key, _| is_there(key));
        let mut due = None;
        for record in records {
            let version = record.version;
            let first_seen = SeenVersion {
                version,
                since: now,
            };
            let seen = self.seen.entry(record.key.clone()).or_insert(first_seen);
            if seen.version != version {
                *seen = first_seen;
            }
            let is_handled = self.handled.get(&record.key) == Some(&version);
            if now >= seen.since + self.unchanged_ms && !is_handled {
                due = Some(record);
            }
        }
        due.cloned()
    }

    /// A record is being removed: the next one waits for an interval.
    fn begin_removal(&mut self, record: &RemovableRecord, now: u64) {
        self.next_at = now + self.interval_ms;
        self.handled.insert(record.key.clone(), record.version);
    }

    /// A removal was carried out, or was not: then it comes due again.
    fn end_removal(&mut self, key: &OrderKey) {
        self.handled.remove(key);
    }
}

impl Controller {
    /// Removes what is due, one record at a time.
    pub(super) fn clean_records(&mut self) {
        let now = self.clock.steady_ms();
        if !self.may_send_orders(Duty::CleanState) {
            return;
        }
        let Some(control) = &mut self.duties.control else {
            return;
        };
        if !control.cleaning.is_due(now) {
            return;
        }
        let orders = self.watch_cache.duties.orders();
        let removable = orders.filter(|order| is_removable(order.record));
        let removable: Vec<RemovableRecord> = removable
            .map(|order| RemovableRecord {
                key: order.key.clone(),
                version: order.version,
            })
            .collect();
        let Some(due) = control.cleaning.update(&removable, now) else {
            return;
        };
        control.cleaning.begin_removal(&due, now);
        let (duty, request) = (due.key.duty.name(), due.key.request.as_str());
        if control.cleaning.mode == CleaningMode::DryRun {
            return info!(duty, request, "dry run: unprocessed record stays");
        }
        info!(duty, request, "removing unprocessed record");
        let changes = vec![RecordChange::remove(due.key)];
        let write = DutyWrite::new(WritePurpose::Clean, changes);
        self.write_as_holder(Duty::CleanState, write);
    }

    pub(super) fn on_cleaned(&mut self, changes: &[RecordChange]) {
        if let Some(control) = &mut self.duties.control {
            for change in changes {
                control.cleaning.end_removal(&change.key);
            }
        }
    }
}

/// Whether nobody can need a record any more once it has stayed as it is for long. A
/// provisioning request without a recorded order was never sent, and each leader plans anew.
fn is_removable(record: &OrderRecord) -> bool {
    match record.phase {
        OrderPhase::Completed(_) => true,
        OrderPhase::Needed => matches!(record.order, Order::Rent { .. }),
        OrderPhase::Recorded(_) => false,
    }
}
