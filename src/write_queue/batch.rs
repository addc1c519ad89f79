//! The transaction under construction.
//!
//! The store checks all conditions of a transaction before it applies the writes. Two writes of
//! the same key would therefore both pass in a transaction, and the second would overwrite the
//! first although both were reported as committed. A batch admits no request that writes a key
//! which the batch has a condition on, or that expects another version of such a key. Each write
//! comes with a condition on its key, so this excludes a second write of a key.

use std::collections::BTreeMap;

use super::request::{QueuedRequest, WriteRequest};
use crate::wire::{Condition, Transaction, Write};

/// Maximum estimated size of a transaction in bytes, below the store's 64 KiB.
const TRANSACTION_BYTES_MAX: usize = 56 * 1024;
/// Number of conditions that the store allows for each write that it allows.
const CONDITIONS_PER_WRITE: usize = 4;

/// The requests of a transaction under construction.
#[derive(Debug)]
pub(super) struct Batch<Owner> {
    /// The expected version of each key.
    conditions: BTreeMap<String, u64>,
    writes: Vec<Write>,
    /// Sum of the estimated sizes of the requests.
    bytes: usize,
    requests: Vec<QueuedRequest<Owner>>,
}

impl<Owner> Batch<Owner> {
    pub(super) fn new() -> Batch<Owner> {
        Batch {
            conditions: BTreeMap::new(),
            writes: vec![],
            bytes: 0,
            requests: vec![],
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(super) fn write_count(&self) -> usize {
        self.writes.len()
    }

    /// Returns whether a request may be added to the batch. The first request is always admitted,
    /// as one that exceeds the limits could never be sent otherwise.
    pub(super) fn admits(&self, queued: &QueuedRequest<Owner>, writes_max: usize) -> bool {
        self.is_empty()
            || (self.has_room_for(queued, writes_max) && !self.conflicts_with(&queued.request))
    }

    fn has_room_for(&self, queued: &QueuedRequest<Owner>, writes_max: usize) -> bool {
        let writes = self.writes.len() + queued.request.writes.len();
        let conditions = self.conditions.len() + queued.request.conditions.len();
        writes <= writes_max
            && conditions <= CONDITIONS_PER_WRITE * writes_max
            && self.bytes + queued.bytes <= TRANSACTION_BYTES_MAX
    }

    /// Returns whether a request and the batch can't be in the same transaction, see the module's
    /// documentation.
    fn conflicts_with(&self, request: &WriteRequest<Owner>) -> bool {
        let expects_another_version = |condition: &Condition| {
            let version = self.conditions.get(&condition.key);
            version.is_some_and(|version| *version != condition.version)
        };
        let writes_a_condition_key = |write: &Write| self.conditions.contains_key(write.key());
        request.conditions.iter().any(expects_another_version)
            || request.writes.iter().any(writes_a_condition_key)
    }

    pub(super) fn push(&mut self, queued: QueuedRequest<Owner>) {
        for condition in &queued.request.conditions {
            self.conditions
                .insert(condition.key.clone(), condition.version);
        }
        self.writes.extend(queued.request.writes.iter().cloned());
        self.bytes += queued.bytes;
        self.requests.push(queued);
    }

    /// Returns the requests, in the order in which they were added.
    pub(super) fn into_requests(self) -> Vec<QueuedRequest<Owner>> {
        self.requests
    }

    /// Returns the transaction and its requests. Conditions are in the order of their keys,
    /// writes in the order of the requests.
    pub(super) fn into_transaction(self) -> (Transaction, Vec<QueuedRequest<Owner>>) {
        let conditions = self.conditions.into_iter();
        let transaction = Transaction {
            conditions: conditions
                .map(|(key, version)| Condition { key, version })
                .collect(),
            writes: self.writes,
        };
        (transaction, self.requests)
    }
}
