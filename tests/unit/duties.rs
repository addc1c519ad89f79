//! The seam between the scheduler and the holders of duties: what the scheduler makes of
//! orders' records, in any order.

use std::collections::BTreeSet;

use crate::support::*;
use gaugesill::cloud::MachineKind;
use gaugesill::scheduler::{ProvisioningOutcome, Scheduler, StatusOrigin};
use proptest::prelude::*;

/// What the records of duties tell a leader, and what agents report meanwhile.
#[derive(Debug, Clone)]
enum News {
    ReturnRecorded(usize),
    ReturnRefused(usize),
    Returned(usize),
    RentalRecorded(usize),
    RentalEnded(usize, ProvisioningOutcome),
    Reported(usize),
}

const MACHINES: usize = 4;

fn machine_name(index: usize) -> String {
    format!("m-{index}")
}

/// The machine that a provisioning request brings.
fn rented_name(rental: usize) -> String {
    format!("r-{rental}")
}

fn news() -> impl Strategy<Value = News> {
    let machine = 0..MACHINES;
    let ends = (0..MACHINES, 0..4u8).prop_map(|(rental, end)| {
        let outcome = match end {
            0 => ProvisioningOutcome::Provisioned(vec![rented_name(rental)]),
            1 => ProvisioningOutcome::Unavailable,
            2 => ProvisioningOutcome::Cancelled,
            _ => ProvisioningOutcome::Failed,
        };
        News::RentalEnded(rental, outcome)
    });
    prop_oneof![
        machine.clone().prop_map(News::ReturnRecorded),
        machine.clone().prop_map(News::ReturnRefused),
        machine.clone().prop_map(News::Returned),
        machine.clone().prop_map(News::RentalRecorded),
        machine.prop_map(News::Reported),
        ends,
    ]
}

/// The leader and what it must have made of the news.
struct Leader {
    scheduler: Scheduler,
    now: u64,
    serial: u64,
    on_record: BTreeSet<String>,
    gone: BTreeSet<String>,
    open_provisioning_requests: BTreeSet<usize>,
    rented: BTreeSet<String>,
}

impl Leader {
    fn new() -> Leader {
        let mut leader = Leader {
            scheduler: control("[]"),
            now: 1000,
            serial: 0,
            on_record: BTreeSet::new(),
            gone: BTreeSet::new(),
            open_provisioning_requests: BTreeSet::new(),
            rented: BTreeSet::new(),
        };
        (0..MACHINES).for_each(|index| leader.report(&machine_name(index)));
        leader
    }

    fn report(&mut self, name: &str) {
        self.serial += 1;
        let report = report(name, self.serial, 2);
        self.scheduler
            .on_agent_status(&report, StatusOrigin::Heartbeat, self.now);
    }

    fn take_in(&mut self, news: News) {
        self.now += 10;
        match news {
            News::ReturnRecorded(index) => {
                let name = machine_name(index);
                self.scheduler
                    .on_termination_recorded(std::slice::from_ref(&name));
                self.on_record.insert(name);
            }
            News::ReturnRefused(index) => {
                let name = machine_name(index);
                self.scheduler
                    .on_termination_rejected(std::slice::from_ref(&name));
                self.on_record.remove(&name);
            }
            News::Returned(index) => {
                let name = machine_name(index);
                self.scheduler
                    .on_termination_outcome(std::slice::from_ref(&name), true, self.now);
                self.on_record.remove(&name);
                self.gone.insert(name);
            }
            News::RentalRecorded(rental) => {
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
            News::RentalEnded(rental, outcome) => {
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
            News::Reported(index) => self.report(&machine_name(index)),
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

    /// A machine that is on record to be returned, or gone, never gets work, whatever else is
    /// told and reported; one whose return was refused gets work again. What is rented is
    /// known once, and nothing but what was rented.
    #[test]
    fn the_scheduler_follows_the_records_of_duties(all in prop::collection::vec(news(), 1..60)) {
        let mut leader = Leader::new();
        for news in all {
            leader.take_in(news);
            let usable = leader.usable();
            for name in (0..MACHINES).map(machine_name) {
                let is_out = leader.on_record.contains(&name) || leader.gone.contains(&name);
                prop_assert_eq!(usable.contains(&name), !is_out, "{}", name);
            }
            let known = leader.scheduler.machines.keys().filter(|name| name.starts_with("r-"));
            let known: BTreeSet<String> = known.cloned().collect();
            prop_assert_eq!(&known, &leader.rented);
        }
    }
}
