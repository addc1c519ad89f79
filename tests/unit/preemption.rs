//! Which tasks preempt which: properties of random teams, jobs and placements.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use gaugesill::job::{JobSpec, Priority, Shape};
use gaugesill::plan::{
    run_cycle, Decision, MachineView, PlannedPreemption, PreemptionReason, Reservation, Resources,
    Snapshot, TaskView, TeamView,
};
use gaugesill::scheduler::PreemptionCounts;
use proptest::prelude::*;

use crate::support::*;

const MACHINE_CPUS: f64 = 8.0;

/// A team's nominal quota in cores.
type NominalCpus = f64;

/// A random job; its team is an index.
#[derive(Debug, Clone)]
struct RandomJob {
    team: usize,
    priority: Priority,
    shape: Shape,
    tasks: u32,
    cpus: f64,
}

impl RandomJob {
    fn spec(&self) -> JobSpec {
        JobSpec {
            team: team_name(self.team),
            ..spec(self.shape, self.tasks, self.cpus, self.priority)
        }
    }

    fn cpus_of_all(&self) -> f64 {
        self.cpus * f64::from(self.tasks)
    }
}

fn team_name(team: usize) -> String {
    format!("team-{team}")
}

fn random_job() -> impl Strategy<Value = RandomJob> {
    let priority = prop::sample::select(vec![
        Priority::Production,
        Priority::High,
        Priority::Normal,
        Priority::Low,
    ]);
    let shape = prop::sample::select(vec![Shape::Array, Shape::Gang]);
    let parts = (0..3usize, priority, shape, 1..4u32, 1..9u32);
    parts.prop_map(|(team, priority, shape, tasks, cpus)| RandomJob {
        team,
        priority,
        shape,
        tasks,
        cpus: f64::from(cpus),
    })
}

fn random_nominal() -> impl Strategy<Value = Vec<NominalCpus>> {
    let nominal = prop::sample::select(vec![0.0, 0.0, 4.0, 8.0, 16.0]);
    prop::collection::vec(nominal, 3)
}

/// The teams with all jobs unfinished. `used_cpus` are by team.
fn teams(
    jobs: &[RandomJob],
    nominal: &[NominalCpus],
    used_cpus: &[f64],
) -> HashMap<String, TeamView> {
    let team = |team: usize| {
        let of_team = jobs.iter().filter(|job| job.team == team);
        let view = TeamView {
            cpus: used_cpus[team],
            nominal_cpus: nominal[team],
            requested_cpus: of_team.map(RandomJob::cpus_of_all).sum(),
            ..TeamView::default()
        };
        (team_name(team), view)
    };
    (0..nominal.len()).map(team).collect()
}

fn running_task(id: &str, number: u32, job: &RandomJob) -> TaskView {
    TaskView {
        priority: job.priority,
        team: team_name(job.team).as_str().into(),
        ..preemptible_task(id, number, job.cpus)
    }
}

/// Whether one task of a waiting job preempts a running task of the same size, if all teams use
/// this part of what they requested.
fn preempts(waiting: &RandomJob, running: &RandomJob, snapshot: &TeamsAtUse) -> bool {
    let one_task = RandomJob {
        tasks: 1,
        cpus: MACHINE_CPUS,
        ..waiting.clone()
    };
    let victim = RandomJob {
        cpus: MACHINE_CPUS,
        ..running.clone()
    };
    let mut full = machine("m", "a", 0.0);
    full.tasks = vec![running_task("running", 0, &victim)];
    let mut input = crate::support::snapshot(vec![full], vec![job("waiting", one_task.spec())]);
    input.teams = snapshot.teams();
    !run_cycle(input).preemptions.is_empty()
}

/// Teams of which each uses a part of what it requested.
struct TeamsAtUse<'a> {
    jobs: &'a [RandomJob],
    nominal: &'a [NominalCpus],
    used_part: f64,
}

impl TeamsAtUse<'_> {
    fn teams(&self) -> HashMap<String, TeamView> {
        let used = |team: usize| {
            let of_team = self.jobs.iter().filter(|job| job.team == team);
            let requested: f64 = of_team.map(RandomJob::cpus_of_all).sum();
            requested * self.used_part
        };
        let used: Vec<f64> = (0..self.nominal.len()).map(used).collect();
        teams(self.jobs, self.nominal, &used)
    }
}

/// Removes jobs that no other job may preempt until none is left; true if a circle remains.
fn has_circle(mut preempted_by: BTreeMap<usize, BTreeSet<usize>>) -> bool {
    while let Some(free) = preempted_by
        .iter()
        .find_map(|(job, by)| by.is_empty().then_some(*job))
    {
        preempted_by.remove(&free);
        for by in preempted_by.values_mut() {
            by.remove(&free);
        }
    }
    !preempted_by.is_empty()
}

/// A placed task in the model.
#[derive(Debug, Clone, Copy)]
struct Placed {
    job: usize,
    task: u32,
    machine: usize,
}

/// A fleet that applies decisions at once: tasks start, victims exit, and nothing ever ends.
struct Model {
    jobs: Vec<RandomJob>,
    nominal: Vec<NominalCpus>,
    placed: Vec<Placed>,
    reservations: Vec<Vec<Reservation>>,
    starts: u64,
}

impl Model {
    fn new(jobs: Vec<RandomJob>, nominal: Vec<NominalCpus>, machines: usize) -> Model {
        Model {
            jobs,
            nominal,
            placed: vec![],
            reservations: vec![vec![]; machines],
            starts: 0,
        }
    }

    fn job_index(name: &str) -> usize {
        name.parse().expect("the name of a job is its index")
    }

    fn snapshot(&self) -> Snapshot {
        let machines = (0..self.reservations.len()).map(|index| self.machine(index));
        let jobs = self.jobs.iter().enumerate().filter_map(|(index, random)| {
            let is_placed = |task: &u32| {
                let mut placed = self.placed.iter();
                placed.any(|placed| placed.job == index && placed.task == *task)
            };
            let mut view = job(&index.to_string(), random.spec());
            view.pending.retain(|task| !is_placed(task));
            (!view.pending.is_empty()).then_some(view)
        });
        let mut used = vec![0.0; self.nominal.len()];
        for placed in &self.placed {
            let job = &self.jobs[placed.job];
            used[job.team] += job.cpus;
        }
        let mut input = crate::support::snapshot(machines.collect(), jobs.collect());
        input.teams = teams(&self.jobs, &self.nominal, &used);
        input
    }

    fn machine(&self, index: usize) -> MachineView {
        let on_machine = self.placed.iter().filter(|placed| placed.machine == index);
        let tasks: Vec<TaskView> = on_machine
            .map(|placed| {
                let job = placed.job.to_string();
                running_task(&job, placed.task, &self.jobs[placed.job])
            })
            .collect();
        let used: f64 = tasks.iter().map(|task| task.resources.cpus).sum();
        let mut view = machine(&format!("m-{index}"), "a", MACHINE_CPUS - used);
        view.tasks = tasks;
        view.reservations = self.reservations[index].clone();
        view
    }

    /// Plans once and applies the decision. True if nothing changed.
    fn plan(&mut self) -> bool {
        let decision = run_cycle(self.snapshot());
        let had_reservations = self.reservations.iter().any(|held| !held.is_empty());
        let is_quiet = decision.placements.is_empty() && decision.preemptions.is_empty();
        // Victims exit before the next cycle; a reservation that is not used then is stale.
        self.reservations.iter_mut().for_each(Vec::clear);
        for placement in &decision.placements {
            for binding in &placement.tasks {
                self.starts += 1;
                self.placed.push(Placed {
                    job: Model::job_index(&placement.job),
                    task: binding.task,
                    machine: machine_index(&binding.machine),
                });
            }
        }
        for preemption in &decision.preemptions {
            self.stop(preemption);
        }
        for reservation in &decision.reservations {
            let job = &self.jobs[Model::job_index(&reservation.job)];
            self.reservations[machine_index(&reservation.machine)].push(Reservation {
                job: reservation.job.clone(),
                resources: reservation.resources,
                team: team_name(job.team).as_str().into(),
                priority: job.priority,
            });
        }
        is_quiet && !had_reservations
    }

    /// Stops a task; a gang is stopped as a whole.
    fn stop(&mut self, preemption: &PlannedPreemption) {
        let job = Model::job_index(&preemption.job);
        let is_gang = self.jobs[job].shape == Shape::Gang;
        self.placed
            .retain(|placed| placed.job != job || !(is_gang || placed.task == preemption.task));
    }

    /// How often tasks can be started if work is preempted only for work of a higher precedence:
    /// each start of a task may stop every task below it once.
    fn starts_max(&self) -> u64 {
        let teams = teams(&self.jobs, &self.nominal, &vec![0.0; self.nominal.len()]);
        let mut by_class: BTreeMap<(bool, Priority), u64> = BTreeMap::new();
        for job in &self.jobs {
            let team = &teams[&team_name(job.team)];
            let is_within = team.nominal_cpus > 0.0 && team.requested_cpus <= team.nominal_cpus;
            *by_class.entry((is_within, job.priority)).or_insert(0) += u64::from(job.tasks);
        }
        by_class
            .values()
            .rev()
            .fold(0, |above, tasks| above + tasks * (1 + above))
    }
}

fn machine_index(name: &Arc<str>) -> usize {
    name["m-".len()..].parse().expect("a machine's number")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// Guards against two jobs that preempt each other without end: whatever the teams use at the
    /// moment, "may preempt" has no circle of any length.
    #[test]
    fn preemption_has_no_circle(
        jobs in prop::collection::vec(random_job(), 2..7),
        nominal in random_nominal(),
    ) {
        let mut preempted_by: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
        for (running, victim) in jobs.iter().enumerate() {
            let by = preempted_by.entry(running).or_default();
            for (waiting, preemptor) in jobs.iter().enumerate() {
                let at_any_use = [0.0, 0.3, 0.6, 1.0].into_iter().any(|used_part| {
                    let (jobs, nominal) = (&jobs, &nominal);
                    preempts(preemptor, victim, &TeamsAtUse { jobs, nominal, used_part })
                });
                if at_any_use {
                    by.insert(waiting);
                }
            }
        }
        prop_assert!(!has_circle(preempted_by));
    }

    /// Plans that are repeated without new work come to rest, after a number of starts that is
    /// bounded by the tasks of each precedence.
    #[test]
    fn repeated_plans_come_to_rest(
        jobs in prop::collection::vec(random_job(), 2..7),
        nominal in random_nominal(),
        machines in 1..4usize,
    ) {
        let mut model = Model::new(jobs, nominal, machines);
        let starts_max = model.starts_max();
        let mut is_at_rest = false;
        while !is_at_rest {
            is_at_rest = model.plan();
            prop_assert!(model.starts <= starts_max, "{} starts of {starts_max}", model.starts);
        }
    }
}

/// One machine, on which a task of a team that borrows runs, and a job that waits.
fn one_machine(running: &RandomJob, waiting: &RandomJob, nominal: &[NominalCpus]) -> Snapshot {
    let mut full = machine("m", "a", MACHINE_CPUS - running.cpus);
    full.tasks = vec![running_task("running", 0, running)];
    let mut input = snapshot(vec![full], vec![job("waiting", waiting.spec())]);
    let mut used = vec![0.0; nominal.len()];
    used[running.team] += running.cpus;
    input.teams = teams(&[running.clone(), waiting.clone()], nominal, &used);
    input
}

/// Guards against a job within its team's nominal quota that an urgent job of a borrowing team
/// preempts, and the other way round: only the first may preempt the second.
#[test]
fn work_within_a_nominal_quota_is_no_victim_of_a_borrower() {
    let within = RandomJob {
        team: 0,
        priority: Priority::Low,
        shape: Shape::Array,
        tasks: 1,
        cpus: 4.0,
    };
    let urgent = RandomJob {
        team: 1,
        priority: Priority::High,
        cpus: 8.0,
        ..within.clone()
    };
    let nominal = [4.0, 0.0];
    assert!(run_cycle(one_machine(&within, &urgent, &nominal))
        .preemptions
        .is_empty());
    let preemptions = run_cycle(one_machine(&urgent, &within, &nominal)).preemptions;
    let reasons: Vec<PreemptionReason> = preemptions.iter().map(|stop| stop.reason).collect();
    assert_eq!(reasons, [PreemptionReason::NominalQuota]);
    // Without a nominal quota, only the urgent job preempts the other.
    let preemptions = run_cycle(one_machine(&within, &urgent, &[0.0, 0.0])).preemptions;
    let reasons: Vec<PreemptionReason> = preemptions.iter().map(|stop| stop.reason).collect();
    assert_eq!(reasons, [PreemptionReason::HigherPriority]);
    assert!(run_cycle(one_machine(&urgent, &within, &[0.0, 0.0]))
        .preemptions
        .is_empty());
}

/// Capacity that is reserved for work within a nominal quota is not free for an urgent borrower.
#[test]
fn a_borrower_uses_no_capacity_that_is_reserved_for_a_nominal_quota() {
    let urgent = RandomJob {
        team: 1,
        priority: Priority::High,
        shape: Shape::Array,
        tasks: 1,
        cpus: 8.0,
    };
    for (nominal, placements) in [(4.0, 0), (0.0, 1)] {
        let mut empty = machine("m", "a", MACHINE_CPUS);
        empty.reservations = vec![Reservation {
            job: "0".into(),
            resources: Resources {
                cpus: 4.0,
                gpus: 0.0,
                memory_gb: 1.0,
            },
            team: team_name(0).as_str().into(),
            priority: Priority::Low,
        }];
        let mut input = snapshot(vec![empty], vec![job("urgent", urgent.spec())]);
        let holder = RandomJob {
            team: 0,
            priority: Priority::Low,
            cpus: 4.0,
            ..urgent.clone()
        };
        input.teams = teams(&[holder, urgent.clone()], &[nominal, 0.0], &[0.0, 0.0]);
        assert_eq!(run_cycle(input).placements.len(), placements, "{nominal}");
    }
}

/// Preemptions are counted by their reason, so that operators see which kind undoes the other.
#[test]
fn preemptions_are_counted_by_reason() {
    let mut scheduler = scheduler_with_placed_job(Shape::Array, 2);
    let preemption = |task, reason| PlannedPreemption {
        job: "run-1".into(),
        task,
        machine: "m-0".into(),
        preemptor: "run-2".into(),
        reason,
    };
    let decision = Decision {
        preemptions: vec![
            preemption(0, PreemptionReason::HigherPriority),
            preemption(1, PreemptionReason::NominalQuota),
            preemption(1, PreemptionReason::NominalQuota),
        ],
        ..Decision::default()
    };
    scheduler.apply_decision(decision, 0, 1500, 1_000_500);
    let expected = PreemptionCounts {
        by_priority: 1,
        by_nominal_quota: 2,
    };
    assert_eq!(scheduler.summary().preemptions, expected);
}
