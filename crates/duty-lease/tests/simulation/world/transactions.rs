//! The transactions of an order book.

use duty_lease::{Intent, Order, OrderResult, ScalingRequest, WriteGuard};

use crate::store::{keys, Condition, Transaction, Value, Write};

/// Records an intent and removes the scaling request that it satisfies.
pub(super) fn record(intent: Intent, request: &ScalingRequest, guard: WriteGuard) -> Transaction {
    let id = intent.id;
    Transaction {
        conditions: vec![
            Condition::new(keys::lease(id.duty), guard.holder_version),
            Condition::new(keys::request(&request.id), request.version),
            Condition::new(keys::intent(id), 0),
        ],
        writes: vec![
            Write::set(keys::intent(id), Value::Intent(intent)),
            Write::delete(keys::request(&request.id)),
        ],
    }
}

/// Removes an intent and records its result.
pub(super) fn complete(intent: &Intent, result: &OrderResult, guard: WriteGuard) -> Transaction {
    let id = intent.id;
    let mut writes = vec![Write::delete(keys::intent(id))];
    writes.extend(result_writes(&intent.order, result));
    Transaction {
        conditions: vec![
            Condition::new(keys::lease(id.duty), guard.holder_version),
            Condition::new(keys::intent(id), intent.version),
        ],
        writes,
    }
}

fn result_writes(order: &Order, result: &OrderResult) -> Vec<Write> {
    match (order, result) {
        (_, OrderResult::Rented(machines)) => {
            let own = |machine: &String| Write::set(keys::machine(machine), Value::Marker);
            machines.iter().map(own).collect()
        }
        (Order::Delete { machines, .. }, OrderResult::Deleted) => {
            let keys_of = |machine: &String| [keys::machine(machine), keys::termination(machine)];
            let keys = machines.iter().flat_map(keys_of);
            keys.map(Write::delete).collect()
        }
        _ => vec![],
    }
}
