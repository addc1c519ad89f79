//! The simulated planner: it adopts unknown machines, requests machines, places and ends tasks, and
//! requests the termination of idle machines.

use duty_lease::{Duty, Order, ScalingRequest};
use rand::rngs::StdRng;
use rand::Rng;

use super::snapshot::Snapshot;
use crate::provider::Provider;
use crate::store::{keys, Condition, Transaction, Value, Write};

/// The duty whose holder is the planner.
pub(super) const PLANNER: Duty = Duty::ReclaimIdle;
const MACHINES_WANTED: usize = 4;
const TERMINATION_PROBABILITY: f64 = 0.3;

/// Whether the planner requests machines and their termination, or only places tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scaling {
    Active,
    Stopped,
}

pub(super) struct Plan<'a> {
    pub view: &'a Snapshot,
    pub scaling: Scaling,
    /// A unique suffix for the name of the scaling request.
    pub request_suffix: String,
}

impl Plan<'_> {
    /// The planner's next transaction, without the condition that it holds its lease.
    pub(super) fn next(&self, provider: &Provider, rng: &mut StdRng) -> Option<Transaction> {
        let is_unknown = |name: &&String| !self.view.machines.contains_key(*name);
        if let Some(machine) = provider.machines.iter().find(is_unknown) {
            return Some(adopt(machine));
        }
        let is_scaling = self.scaling == Scaling::Active;
        let machines = self.view.machines.len() + self.view.open_rentals();
        if is_scaling && machines < MACHINES_WANTED {
            let count = rng.random_range(1..3);
            return Some(self.request_machines(count));
        }
        let machine = self.random_machine(rng)?;
        if let Some(version) = self.view.tasks.get(machine) {
            return Some(end_task(machine, *version));
        }
        let writes = if is_scaling && rng.random_bool(TERMINATION_PROBABILITY) {
            termination_writes(machine)
        } else {
            vec![Write::set(keys::task(machine), Value::Marker)]
        };
        let conditions = self.idle_conditions(machine);
        Some(Transaction { conditions, writes })
    }

    fn request_machines(&self, count: u32) -> Transaction {
        let request = ScalingRequest {
            id: format!("rent-{}", self.request_suffix),
            order: Order::Rent {
                machine_type: "k".into(),
                zone: "a".into(),
                spot: false,
                count,
            },
            version: 0,
        };
        let key = keys::request(&request.id);
        Transaction {
            conditions: vec![Condition::new(key.clone(), 0)],
            writes: vec![Write::set(key, Value::ScalingRequest(request))],
        }
    }

    /// A random machine whose termination is not requested.
    fn random_machine(&self, rng: &mut StdRng) -> Option<&str> {
        let is_usable = |machine: &&String| !self.view.terminations.contains(*machine);
        let machines: Vec<&String> = self.view.machines.keys().filter(is_usable).collect();
        if machines.is_empty() {
            return None;
        }
        Some(machines[rng.random_range(0..machines.len())])
    }

    /// Conditions that the machine is owned, has no task, and its termination is not requested: no
    /// task may be placed on a machine that is being terminated.
    fn idle_conditions(&self, machine: &str) -> Vec<Condition> {
        vec![
            Condition::new(keys::machine(machine), self.view.machines[machine]),
            Condition::new(keys::task(machine), 0),
            Condition::new(keys::termination(machine), 0),
        ]
    }
}

/// Adopts a rented machine that no controller owns.
fn adopt(machine: &str) -> Transaction {
    let key = keys::machine(machine);
    Transaction {
        conditions: vec![Condition::new(key.clone(), 0)],
        writes: vec![Write::set(key, Value::Marker)],
    }
}

fn end_task(machine: &str, version: u64) -> Transaction {
    let key = keys::task(machine);
    Transaction {
        conditions: vec![Condition::new(key.clone(), version)],
        writes: vec![Write::delete(key)],
    }
}

fn termination_writes(machine: &str) -> Vec<Write> {
    let request = ScalingRequest {
        id: format!("return-{machine}"),
        order: Order::Delete {
            machines: vec![machine.to_string()],
            if_empty: true,
        },
        version: 0,
    };
    vec![
        Write::set(keys::termination(machine), Value::Marker),
        Write::set(keys::request(&request.id), Value::ScalingRequest(request)),
    ]
}
