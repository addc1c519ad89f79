//! Which machines are rented for jobs that may use spot machines, while the cloud refuses some.

use std::sync::Arc;

use gaugesill::cloud::MachineKind;
use gaugesill::job::{JobRecord, JobSpec, Priority, Shape};
use gaugesill::plan;
use gaugesill::scheduler::{Effect, ProvisioningOutcome, Scheduler};
use gaugesill::wire::MachineType;

use crate::support::*;

const WALL_START_MS: u64 = 1_000_000;
/// Interval between two plans.
const PLAN_INTERVAL_MS: u64 = 500;
/// Time within which machines must have been rented.
const RENTED_WITHIN_MS: u64 = 30_000;

/// Which machines the cloud has.
type Offers<'a> = &'a dyn Fn(&MachineKind) -> bool;

/// A leader, and a cloud that answers its requests at once.
struct Cluster {
    scheduler: Scheduler,
    now: u64,
    rented: Vec<MachineKind>,
}

impl Cluster {
    /// On-demand machines cost `price_ratio` times as much as spot machines.
    fn new(price_ratio: f64) -> Cluster {
        let with_ratio = |machine_type: MachineType| MachineType {
            hourly_price: machine_type.spot_price * price_ratio,
            ..machine_type
        };
        let types = machine_types().into_iter().map(with_ratio);
        let mut scheduler = scheduler_with_objectives("[]");
        scheduler.set_machine_types(Arc::new(types.collect()));
        scheduler.on_machine_list(&[], 1000, 1000);
        Cluster {
            scheduler,
            now: 3000,
            rented: vec![],
        }
    }

    fn submit(&mut self, id: &str, spec: JobSpec) {
        let submitted_at = WALL_START_MS + self.now;
        add_record(&mut self.scheduler, id, JobRecord::new(spec, submitted_at));
    }

    /// Plans and requests machines for `ms`; the cloud has the machines that `offers` accepts.
    fn run(&mut self, ms: u64, offers: impl Fn(&MachineKind) -> bool) {
        let end = self.now + ms;
        while self.now < end {
            self.now += PLAN_INTERVAL_MS;
            let wall_ms = WALL_START_MS + self.now;
            let decision = plan::run_cycle(self.scheduler.snapshot(self.now, wall_ms));
            self.scheduler
                .apply_decision(decision, 4, self.now, wall_ms);
            for effect in self.scheduler.take_effects() {
                self.answer(effect, &offers);
            }
        }
    }

    fn answer(&mut self, effect: Effect, offers: impl Fn(&MachineKind) -> bool) {
        let Effect::Provision {
            idempotency_key,
            kind,
            count,
        } = effect
        else {
            return;
        };
        let outcome = if offers(&kind) {
            let first = self.rented.len();
            self.rented.extend(vec![kind; count as usize]);
            let names = (first..self.rented.len()).map(|number| format!("m-{number}"));
            ProvisioningOutcome::Provisioned(names.collect())
        } else {
            ProvisioningOutcome::Unavailable
        };
        self.scheduler
            .on_provisioning_outcome(&idempotency_key, outcome, self.now);
    }

    /// How many spot machines and how many on-demand machines were rented.
    fn rented_counts(&self) -> (usize, usize) {
        let spot = self.rented.iter().filter(|kind| kind.spot).count();
        (spot, self.rented.len() - spot)
    }
}

/// A job that may use spot machines; each task fills a small machine.
fn spot_job(deadline_s: Option<f64>) -> JobSpec {
    JobSpec {
        spot: true,
        deadline_s,
        ..spec(Shape::Array, 1, 8.0, Priority::Low)
    }
}

/// Guards against jobs that wait for ever beside free on-demand machines: the price ratio decides
/// between two machines that can both be had, not whether an accepted job runs.
#[test]
fn spot_jobs_get_on_demand_machines_at_any_price_if_there_are_no_spot_machines() {
    for price_ratio in [2.0, 3.9, 4.0, 4.1, 9.0] {
        for deadline_s in [None, Some(600.0)] {
            let mut cluster = Cluster::new(price_ratio);
            cluster.submit("run-1", spot_job(deadline_s));
            cluster.run(RENTED_WITHIN_MS, |kind| !kind.spot);
            let counts = cluster.rented_counts();
            assert_eq!(
                counts,
                (0, 1),
                "ratio {price_ratio}, deadline {deadline_s:?}"
            );
        }
    }
}

/// Guards against kinds of spot machines that a job may not use and that hide that all others are
/// refused: neither those that the cloud offers nor those that are there count for the job.
#[test]
fn spot_machines_that_a_job_may_not_use_do_not_keep_it_waiting() {
    let in_zone = JobSpec {
        zone: Some("a".into()),
        ..spot_job(None)
    };
    let of_type = JobSpec {
        machine_types: Some(vec!["small".into()]),
        ..spot_job(None)
    };
    let too_large_for_small = JobSpec {
        cpus: 20.0,
        ..spot_job(None)
    };
    let other_zone = |kind: &MachineKind| !kind.spot || kind.zone != "a";
    let other_type = |kind: &MachineKind| !kind.spot || kind.machine_type != "small";
    let small = |kind: &MachineKind| !kind.spot || kind.machine_type == "small";
    let cases: [(JobSpec, Offers); 3] = [
        (in_zone, &other_zone),
        (of_type, &other_type),
        (too_large_for_small, &small),
    ];
    for (case, (job, offers)) in cases.into_iter().enumerate() {
        for price_ratio in [3.0, 5.0] {
            let mut cluster = Cluster::new(price_ratio);
            // A spot machine of a kind that the second job may not use is there.
            let kind_of_other = |kind: &MachineKind| kind.spot && offers(kind);
            cluster.submit("run-1", spot_job(None));
            cluster.run(5000, kind_of_other);
            assert_eq!(cluster.rented_counts(), (1, 0));
            cluster.submit("run-2", job.clone());
            cluster.run(RENTED_WITHIN_MS, offers);
            let counts = cluster.rented_counts();
            assert_eq!(counts, (1, 1), "case {case}, ratio {price_ratio}");
        }
    }
}

/// A gang that may use spot machines needs all its machines at a time: that one is there does not
/// keep it waiting for others that the cloud refuses.
#[test]
fn a_spot_gang_does_not_wait_for_refused_machines_beside_a_single_one() {
    let mut cluster = Cluster::new(5.0);
    cluster.submit("run-1", spot_job(None));
    cluster.run(5000, |_| true);
    assert_eq!(cluster.rented_counts(), (1, 0));
    let gang = JobSpec {
        shape: Shape::Gang,
        tasks: 6,
        ..spot_job(None)
    };
    cluster.submit("run-2", gang);
    cluster.run(RENTED_WITHIN_MS, |kind| !kind.spot);
    let (_, on_demand) = cluster.rented_counts();
    assert!(on_demand > 0);
}

/// On-demand machines are rented only where spot machines can't be had: not at once, and not once
/// the cloud has spot machines again. No task has two machines rented for it.
#[test]
fn spot_machines_are_rented_as_soon_as_they_can_be_had() {
    for price_ratio in [2.0, 5.0] {
        let mut cluster = Cluster::new(price_ratio);
        cluster.submit("run-1", spot_job(None));
        cluster.run(RENTED_WITHIN_MS, |_| true);
        assert_eq!(cluster.rented_counts(), (1, 0));
        let mut cluster = Cluster::new(price_ratio);
        cluster.submit("run-1", spot_job(None));
        cluster.run(RENTED_WITHIN_MS, |kind| !kind.spot);
        assert_eq!(cluster.rented_counts(), (0, 1));
        // Longer than requests for a refused kind are paused.
        cluster.run(25_000, |_| true);
        for number in 2..6 {
            cluster.submit(&format!("run-{number}"), spot_job(None));
        }
        cluster.run(RENTED_WITHIN_MS, |_| true);
        let (spot, on_demand) = cluster.rented_counts();
        assert!(
            spot > 0 && on_demand == 1,
            "{spot} spot, {on_demand} on-demand"
        );
        let slots = cluster.rented.iter().map(|kind| match &*kind.machine_type {
            "large" => 4,
            _ => 1,
        });
        assert!(slots.sum::<usize>() < 5 + 4, "{:?}", cluster.rented);
    }
}
