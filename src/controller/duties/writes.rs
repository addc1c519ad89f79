//! Writes of order records: which role makes them, under which condition, and how their
//! outcome is handled.

use duty_lease::{Duty, OrderId};
use tracing::debug;

use super::Controller;
use crate::controller::commits::WriteOwner;
use crate::duties::{holder_key, order_key, OrderKey, OrderPhase, OrderRecord};
use crate::epoch::Epoch;
use crate::leadership_keys::REQUESTS_KEY;
use crate::wire::{Condition, Write};
use crate::write_queue::{CommitResult, WriteClass, WriteRequest};

/// A change of one order record.
#[derive(Debug, Clone)]
pub(super) struct RecordChange {
    pub key: OrderKey,
    /// The new record; `None` removes it.
    pub record: Option<OrderRecord>,
}

impl RecordChange {
    pub(super) fn set(key: OrderKey, record: OrderRecord) -> RecordChange {
        let record = Some(record);
        RecordChange { key, record }
    }

    pub(super) fn remove(key: OrderKey) -> RecordChange {
        RecordChange { key, record: None }
    }
}

/// Changes of order records in one transaction.
#[derive(Debug, Clone)]
pub(in crate::controller) struct DutyWrite {
    pub(super) purpose: WritePurpose,
    pub(super) changes: Vec<RecordChange>,
}

/// The purpose of a write of order records.
#[derive(Debug, Clone)]
pub(super) enum WritePurpose {
    /// The leader creates scaling requests.
    ScalingRequest { epoch: Epoch },
    /// The leader removes a result that it has processed.
    ResultProcessed,
    /// The order book records an order.
    Record(OrderId),
    /// The order book completes an order.
    Complete(OrderId),
    /// A holder rejects a scaling request, or forwards it to another duty.
    RequestDecided,
    /// The holder of cleaning removes a record.
    Clean,
    /// A holder records an order that was refused; the outcome of the write is ignored.
    Refusal,
}

impl DutyWrite {
    pub(super) fn new(purpose: WritePurpose, changes: Vec<RecordChange>) -> DutyWrite {
        DutyWrite { purpose, changes }
    }

    /// The name of the last scaling request that the write creates.
    fn last_created_request(&self) -> Option<&str> {
        let creates = matches!(self.purpose, WritePurpose::ScalingRequest { .. });
        let last = self.changes.last().filter(|_| creates)?;
        Some(&last.key.request)
    }

    /// Whether the write is conditional on the leader's term.
    pub(crate) fn requires_leadership(&self) -> bool {
        let purpose = &self.purpose;
        matches!(
            purpose,
            WritePurpose::ScalingRequest { .. } | WritePurpose::ResultProcessed
        )
    }
}

impl Controller {
    /// Changes records on condition that this controller holds the lease of a duty, that each
    /// record still has its known version, and that new ones do not exist.
    pub(super) fn write_as_holder(&mut self, duty: Duty, write: DutyWrite) {
        let runtime = self.duties.runtime(duty);
        let Some(version) = runtime.and_then(|runtime| runtime.holder_version()) else {
            return;
        };
        self.push_duty_write(Condition::new(holder_key(duty), version), write);
    }

    /// Changes records on condition that this controller is the leader and that the records
    /// still have their known versions.
    pub(super) fn write_as_leader(&mut self, write: DutyWrite) {
        if let Some(scheduler) = &self.scheduler {
            let condition = scheduler.term_condition();
            self.push_duty_write(condition, write);
        }
    }

    fn push_duty_write(&mut self, authority: Condition, write: DutyWrite) {
        let mut conditions = vec![authority];
        let mut writes = Vec::new();
        for RecordChange { key, record } in &write.changes {
            let order = self.watch_cache.duties.order(key);
            let version = order.map_or(0, |order| order.version);
            let name = order_key(key);
            conditions.push(Condition::new(name.clone(), version));
            writes.push(match record {
                Some(record) => Write::set(name, record.to_value()),
                None => Write::delete(name),
            });
        }
        if let Some(request) = write.last_created_request() {
            let version = self.watch_cache.requests_version;
            conditions.push(Condition::new(REQUESTS_KEY, version));
            writes.push(Write::set(REQUESTS_KEY.to_string(), request.into()));
        }
        self.store.push_write(WriteRequest {
            owner: WriteOwner::Duty(Box::new(write)),
            conditions,
            writes,
            class: WriteClass::Duty,
        });
    }

    /// Writes the next phase of an order record.
    pub(super) fn write_phase(&mut self, purpose: WritePurpose, key: OrderKey, phase: OrderPhase) {
        let duty = key.duty;
        let Some(order) = self.watch_cache.duties.order(&key) else {
            // The record was removed in the meantime: report this to the order book as a
            // conflict.
            let write = DutyWrite::new(purpose, vec![RecordChange::remove(key)]);
            let conflict = CommitResult::Conflict {
                failed: vec![],
                revision: self.watch_cache.revision,
            };
            return self.on_duty_commit(write, &conflict);
        };
        let record = OrderRecord {
            phase,
            ..order.record.clone()
        };
        let changes = vec![RecordChange::set(key, record)];
        self.write_as_holder(duty, DutyWrite::new(purpose, changes));
    }

    /// Handles the outcome of a write of order records.
    pub(in crate::controller) fn on_duty_commit(
        &mut self,
        write: DutyWrite,
        result: &CommitResult,
    ) {
        match result {
            CommitResult::Committed { revision } => {
                if write.last_created_request().is_some() {
                    self.watch_cache.apply_requests_change(*revision);
                }
                let duties = &mut self.watch_cache.duties;
                for change in &write.changes {
                    duties.apply_own_write(&change.key, change.record.clone(), *revision);
                }
            }
            CommitResult::Conflict { failed, .. } => {
                debug!(
                    ?failed,
                    ?write,
                    "write of order records conflicts with the store"
                );
            }
            CommitResult::Rejected | CommitResult::Unknown => {}
        }
        match write.purpose {
            WritePurpose::ScalingRequest { epoch } => {
                self.on_request_written(epoch, &write.changes, result);
            }
            WritePurpose::Record(id) => self.on_order_recorded(id, result),
            WritePurpose::Complete(id) => self.on_order_completed(id, result),
            WritePurpose::RequestDecided => self.on_request_decided(&write.changes),
            WritePurpose::Clean => self.on_cleaned(&write.changes),
            WritePurpose::ResultProcessed => self.on_result_removed(&write.changes),
            WritePurpose::Refusal => {}
        }
    }
}
