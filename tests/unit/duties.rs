//! How the scheduler tracks the records of duties' orders, for arbitrary sequences of events.

use std::collections::BTreeSet;

use crate::support::*;
use gaugesill::cloud::MachineKind;
use gaugesill::scheduler::{ProvisioningOutcome, Scheduler, StatusOrigin, TerminationOutcome};
use proptest::prelude::*;

/// A change of an order's record, or a heartbeat.
#[derive(Debug, Clone)]
enum Observation {
    TerminationRecorded(usize),
    TerminationRejected(usize),
    Terminated(usize),
    ProvisioningRecorded(usize),
    ProvisioningEnded(usize, ProvisioningOutcome),
    Heartbeat(usize),
}

const MACHINES: usize = 4;

fn machine_name(index: usize) -> String {
    format!("m-{index}")
}

/// The machine that a provisioning request rents.
fn rented_name(rental: usize) -> String {
    format!("r-{rental}")
}

fn observation() -> impl Strategy<Value = Observation> {
    let machine = 0..MACHINES;
    let ends = (0..MACHINES, 0..4u8).prop_map(|(rental, end)| {
        let outcome = match end {
            0 => ProvisioningOutcome::Provisioned(vec![rented_name(rental)]),
            1 => ProvisioningOutcome::Unavailable,
            2 => ProvisioningOutcome::Cancelled,
            _ => ProvisioningOutcome::Failed,
        };
        Observation::ProvisioningEnded(rental, outcome)
    });
    prop_oneof![
        machine.clone().prop_map(Observation::TerminationRecorded),
        machine.clone().prop_map(Observation::TerminationRejected),
        machine.clone().prop_map(Observation::Terminated),
        machine.clone().prop_map(Observation::ProvisioningRecorded),
        machine.prop_map(Observation::Heartbeat),
        ends,
    ]
}

/// The leader's scheduler, and the state that it should have after the observations.
struct Leader {
    scheduler: Scheduler,
    now: u64,
    serial: u64,
    /// Machines whose termination is recorded.
    terminating: BTreeSet<String>,
    /// Machines that are deleted.
    deleted: BTreeSet<String>,
    open_provisioning_requests: BTreeSet<usize>,
    rented: BTreeSet<String>,
}

impl Leader {
    fn new() -> Leader {
        let mut leader = Leader {
            scheduler: scheduler_with_objectives("[]"),
            now: 1000,
            serial: 0,
            terminating: BTreeSet::new(),
            deleted: BTreeSet::new(),
            open_provisioning_requests: BTreeSet::new(),
            rented: BTreeSet::new(),
        };
        (0..MACHINES).for_each(|index| leader.send_heartbeat(&machine_name(index)));
        leader
    }

    fn send_heartbeat(&mut self, name: &str) {
        self.serial += 1;
        let status = agent_status(name, self.serial, 2);
        self.scheduler
            .on_agent_status(&status, StatusOrigin::Heartbeat, self.now);
    }

    fn observe(&mut self, observation: Observation) {
        self.now += 10;
        match observation {
            Observation::TerminationRecorded(index) => {
                let name = machine_name(index);
                self.scheduler
                    .on_termination_recorded(std::slice::from_ref(&name));
                self.terminating.insert(name);
            }
            Observation::TerminationRejected(index) => {
                let name = machine_name(index);
                self.scheduler
                    .on_termination_rejected(std::slice::from_ref(&name));
                self.terminating.remove(&name);
            }
            Observation::Terminated(index) => {
                let name = machine_name(index);
                self.scheduler.on_termination_outcome(
                    std::slice::from_ref(&name),
                    TerminationOutcome::Confirmed,
                    self.now,
                );
                self.terminating.remove(&name);
                self.deleted.insert(name);
            }
            Observation::ProvisioningRecorded(rental) => {
                let kind = MachineKind {
                    machine_type: "large".into(),
                    zone: "a".into(),
                    spot: false,
                };
                let idempotency_key = rental.to_string();
                self.scheduler
                    .adopt_provisioning(&idempotency_key, kind, 1, self.now);
                self.open_provisioning_requests.insert(rental);
            }
            Observation::ProvisioningEnded(rental, outcome) => {
                let is_open = self.open_provisioning_requests.contains(&rental);
                if is_open && matches!(outcome, ProvisioningOutcome::Provisioned(_)) {
                    self.rented.insert(rented_name(rental));
                }
                if outcome != ProvisioningOutcome::Failed {
                    self.open_provisioning_requests.remove(&rental);
                }
                let idempotency_key = rental.to_string();
                self.scheduler
                    .on_provisioning_outcome(&idempotency_key, outcome, self.now);
            }
            Observation::Heartbeat(index) => self.send_heartbeat(&machine_name(index)),
        }
    }

    /// Machines that the planner may use.
    fn usable(&mut self) -> BTreeSet<String> {
        let snapshot = self.scheduler.snapshot(self.now, self.now);
        let machines = snapshot.machines.iter();
        machines.map(|machine| machine.name.to_string()).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]

    /// No tasks are placed on a machine whose termination is recorded, or which is deleted,
    /// whatever else is observed; a machine whose termination was rejected is usable again. The
    /// scheduler knows each rented machine once, and no others.
    #[test]
    fn the_scheduler_tracks_the_records_of_duties(all in prop::collection::vec(observation(), 1..60)) {
        let mut leader = Leader::new();
        for observation in all {
            leader.observe(observation);
            let usable = leader.usable();
            for name in (0..MACHINES).map(machine_name) {
                let is_out = leader.terminating.contains(&name) || leader.deleted.contains(&name);
                prop_assert_eq!(usable.contains(&name), !is_out, "{}", name);
            }
            let known = leader.scheduler.machines.keys().filter(|name| name.starts_with("r-"));
            let known: BTreeSet<String> = known.cloned().collect();
            prop_assert_eq!(&known, &leader.rented);
        }
    }
}
