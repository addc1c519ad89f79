//! Removes order records that no leader processes, as the holder of the clean-state duty:
//! results whose leader has stopped, and old provisioning requests. Kept are orders that may
//! have been sent, termination requests, and records that can't be decoded.

use std::collections::BTreeMap;

use duty_lease::{Duty, Order};
use tracing::info;

use super::writes::{DutyWrite, RecordChange, WritePurpose};
use super::Controller;
use crate::duties::{OrderKey, OrderPhase, OrderRecord};
use crate::settings::DutySettings;
use crate::time_units::to_ms;

/// Time for which a record must be unchanged before it is removed, in leases of an agent.
const UNCHANGED_LEASE_MULTIPLIER: f64 = 2.0;

/// Whether records are removed or only logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CleaningMode {
    Remove,
    /// Records that would be removed are only logged.
    DryRun,
}

/// A version of a record that may be removed once it has been unchanged for long enough.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RemovableRecord {
    key: OrderKey,
    version: u64,
}

/// A version of a record, and when it was first seen.
#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    version: u64,
    since: u64,
}

/// Tracks how long removable records have been unchanged, and paces their removal.
#[derive(Debug)]
pub(super) struct Cleaning {
    mode: CleaningMode,
    /// Time for which a record must be unchanged.
    unchanged_ms: u64,
    next_at: u64,
    /// Interval between two removals.
    interval_ms: u64,
    seen: BTreeMap<OrderKey, SeenVersion>,
    /// Versions whose removal is in flight, or that a dry run has logged.
    handled: BTreeMap<OrderKey, u64>,
}

impl Cleaning {
    /// `lease_s` is the duration of an agent's lease.
    pub(super) fn new(settings: &DutySettings, lease_s: f64) -> Cleaning {
        let mode = if settings.cleaning_dry_run {
            CleaningMode::DryRun
        } else {
            CleaningMode::Remove
        };
        Cleaning {
            mode,
            unchanged_ms: to_ms(lease_s * UNCHANGED_LEASE_MULTIPLIER),
            next_at: 0,
            interval_ms: to_ms(1.0 / settings.cleaning_per_s),
            seen: BTreeMap::new(),
            handled: BTreeMap::new(),
        }
    }

    fn is_due(&self, now: u64) -> bool {
        now >= self.next_at
    }

    /// Updates the removable records; returns one that has been unchanged for long enough.
    fn update(&mut self, records: &[RemovableRecord], now: u64) -> Option<RemovableRecord> {
        let still_removable = |key: &OrderKey| records.iter().any(|record| record.key == *key);
        self.seen.retain(|key, _| still_removable(key));
        self.handled.retain(|key, _| still_removable(key));
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

    /// Records that a removal is being sent; the next one is due after the interval.
    fn begin_removal(&mut self, record: &RemovableRecord, now: u64) {
        self.next_at = now + self.interval_ms;
        self.handled.insert(record.key.clone(), record.version);
    }

    /// Handles the outcome of a removal; a record that still exists becomes due again.
    fn end_removal(&mut self, key: &OrderKey) {
        self.handled.remove(key);
    }
}

impl Controller {
    /// Removes one record that is due, if any.
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
            return info!(duty, request, "dry run: keeping unprocessed order record");
        }
        info!(duty, request, "removing unprocessed order record");
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

/// Whether a record may be removed once it has been unchanged for long enough, as no controller
/// needs it. A provisioning request without a recorded order was never sent, and each new leader
/// plans its own requests.
fn is_removable(record: &OrderRecord) -> bool {
    match record.phase {
        OrderPhase::Completed(_) => true,
        OrderPhase::Needed => matches!(record.order, Order::Rent { .. }),
        OrderPhase::Recorded(_) => false,
    }
}
