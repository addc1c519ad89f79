//! Measures the durations of the scheduler's steps with a large fleet and queue, one per line: under
//! steady load, after the simultaneous loss of a third of the fleet, and for a successor that
//! starts from the records. Also measures the memory.
//!
//! `cargo run --release --example scheduling_cost [MACHINES]`

#[path = "../tests/unit/support.rs"]
mod support;

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use gaugesill::epoch::Epoch;
use gaugesill::job::{JobRecord, JobSpec, Priority, Shape};
use gaugesill::plan::{self, Snapshot};
use gaugesill::scheduler::{Effect, Scheduler, StartPermission, StatusOrigin, TerminationOutcome};
use gaugesill::settings::ClusterSettings;
use gaugesill::watch_cache::{LiveJob, WatchCache};
use gaugesill::wire::{self, AgentStatus, ExitReason, ListedMachine, TaskState, TaskStatus};
use gaugesill::write_queue::CommitResult;

/// Wall-clock time at the start of the leader's term.
const WALL_START_MS: u64 = 1_000_000;
/// One machine in this many is lost.
const MACHINES_PER_LOST: usize = 3;
/// How many times a step without effects is repeated for a measurement.
const REPETITIONS: usize = 100;
/// Version of every record that is written.
const VERSION: u64 = 11;

/// Runs `work`, which consists of `count` equal steps, and prints the duration of one step.
fn timed<T>(what: &str, count: usize, work: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = work();
    let us = start.elapsed().as_secs_f64() * 1e6 / count.max(1) as f64;
    println!("{what:<46}{us:>10.1} us");
    result
}

/// Prints the resident memory of the process, where the system reports it.
fn print_resident_memory(what: &str) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    if let Some(kb) = kb {
        println!("{:.1} MB resident, {what}", kb / 1024.0);
    }
}

/// Arrays of tasks for a fifth of a machine, and gangs of tasks for nearly a whole one.
fn spec(number: u32) -> JobSpec {
    let is_gang = number % 3 == 0;
    let base = if is_gang {
        support::spec(Shape::Gang, 1 << (number % 6), 28.0, Priority::Normal)
    } else {
        support::spec(Shape::Array, 5 + (number * 7) % 60, 6.0, Priority::Low)
    };
    JobSpec {
        single_zone: is_gang,
        spot: !is_gang,
        image: format!("img-{}", number % 20),
        image_gb: 5.0,
        expected_s: if is_gang { 200.0 } else { 70.0 },
        deadline_s: (!is_gang).then_some(125.0),
        ..base
    }
}

/// A leader's scheduler, its fleet, and the records that it has written.
struct Fleet {
    machines: usize,
    cluster: ClusterSettings,
    scheduler: Scheduler,
    records: HashMap<String, LiveJob>,
    /// The tasks on each machine.
    tasks: Vec<Vec<TaskStatus>>,
    now: u64,
    wall_ms: u64,
}

impl Fleet {
    fn new(machines: usize) -> Fleet {
        let cluster = support::cluster(r#"[{"name":"t"}]"#, "[]", "8.0");
        let scheduler = support::scheduler_from_cache(&cluster, 1, &WatchCache::default(), 1);
        Fleet {
            machines,
            cluster,
            scheduler,
            records: HashMap::new(),
            tasks: vec![vec![]; machines],
            now: 1000,
            wall_ms: WALL_START_MS,
        }
    }

    /// Whether a machine is among those that will be lost.
    fn is_lost(machine: usize) -> bool {
        machine % MACHINES_PER_LOST == 1
    }

    fn listed(&self) -> Vec<ListedMachine> {
        let listed = (0..self.machines).map(|number| ListedMachine {
            name: format!("m-{number:06}"),
            endpoint: None,
            machine_type: "large".into(),
            zone: "a".into(),
            spot: number % 3 == 0,
            status: "running".into(),
            age_s: Some(60.0),
        });
        listed.collect()
    }

    fn report(&self, machine: usize, serial: u64, epoch: u64) -> AgentStatus {
        AgentStatus {
            spot: machine % 3 == 0,
            tasks: self.tasks[machine].clone(),
            ..support::agent_status(&format!("m-{machine:06}"), serial, epoch)
        }
    }

    fn heartbeat(&mut self, report: &AgentStatus) -> Vec<wire::Command> {
        let origin = StatusOrigin::Heartbeat;
        self.scheduler.on_agent_status(report, origin, self.now);
        self.scheduler
            .heartbeat_response_commands(report, StartPermission::Granted, self.now)
    }

    /// Advances the clocks.
    fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.wall_ms += ms;
    }

    /// Commits the records that the scheduler writes, and returns its other effects.
    fn commit(&mut self) -> Vec<Effect> {
        let mut others = Vec::new();
        for effect in self.scheduler.take_effects() {
            let Effect::Write {
                job,
                change,
                final_state,
                writes,
                ..
            } = effect
            else {
                others.push(effect);
                continue;
            };
            let value = writes.iter().find_map(|write| write.value.as_ref());
            if let Some(record) = value.and_then(|value| JobRecord::from_value(value).ok()) {
                let live = LiveJob {
                    record: Arc::new(record),
                    version: VERSION,
                };
                self.records.insert(job.clone(), live);
            }
            let result = CommitResult::Committed { revision: VERSION };
            self.scheduler
                .on_commit(&job, change, final_state, &result, self.now);
        }
        others
    }

    fn snapshot(&mut self, what: &str) -> Snapshot {
        timed(what, 1, || self.scheduler.snapshot(self.now, self.wall_ms))
    }

    fn plan_and_apply(&mut self, what: &str, snapshot: Snapshot) {
        let decision = timed(what, 1, || plan::run_cycle(snapshot));
        timed("its application, with scale-out", 1, || {
            self.scheduler
                .apply_decision(decision, 4, self.now, self.wall_ms);
        });
    }

    /// Registers all machines, and adds more jobs than there is capacity for.
    fn begin(&mut self) {
        let listed = self.listed();
        self.scheduler.on_machine_list(&listed, 1, 1);
        for machine in 0..self.machines {
            let report = self.report(machine, 1, 1);
            self.heartbeat(&report);
        }
        for number in 0..self.machines as u32 / 4 {
            let live = LiveJob {
                record: Arc::new(JobRecord::new(spec(number), WALL_START_MS)),
                version: 1,
            };
            self.scheduler
                .apply_record(&format!("run-{number:06}"), &live, self.now);
        }
        let snapshot = self.snapshot("first snapshot");
        self.plan_and_apply("first plan", snapshot);
        self.scheduler.flush(self.now, 10, 1000);
        self.commit();
    }

    /// Starts all tasks that were placed.
    fn start_tasks(&mut self) {
        let reports: Vec<AgentStatus> = (0..self.machines)
            .map(|machine| self.report(machine, 2, 1))
            .collect();
        let commands = timed("a heartbeat answered with starts", self.machines, || {
            let commands = reports.iter().map(|report| self.heartbeat(report));
            commands.collect::<Vec<_>>()
        });
        for (machine, commands) in commands.into_iter().enumerate() {
            let started = commands
                .iter()
                .map(|start| support::task_status(&start.task, start.attempt, "running", None));
            self.tasks[machine] = started.collect();
        }
        let started: usize = self.tasks.iter().map(Vec::len).sum();
        println!("{started} tasks started");
        for machine in 0..self.machines {
            let report = self.report(machine, 3, 1);
            self.heartbeat(&report);
        }
    }

    /// Measures the steps under steady load, in which nothing changes.
    fn measure_steady_load(&mut self) {
        self.advance(8000);
        let bodies: Vec<Vec<u8>> = (0..self.machines)
            .map(|machine| wire::encode(&self.report(machine, 4, 1)))
            .collect();
        timed(
            "a heartbeat without changes, read and answered",
            self.machines,
            || {
                for body in &bodies {
                    if let Ok(report) = wire::decode::<AgentStatus>(body) {
                        let commands = self.heartbeat(&report);
                        black_box(wire::encode(&wire::CommandBatch {
                            epoch: Epoch::new(1),
                            incarnation: None,
                            commands,
                        }));
                    }
                }
            },
        );
        drop(self.snapshot("snapshot after all tasks started"));
        let snapshot = self.snapshot("snapshot without changes");
        self.plan_and_apply("plan with a full queue and no capacity", snapshot);
        timed("review of all machines and gangs", 1, || {
            self.scheduler.tick(self.now, 10, 0);
        });
        timed("search for records to write", REPETITIONS, || {
            for _ in 0..REPETITIONS {
                self.scheduler.flush(self.now, 10, 0);
            }
        });
    }

    /// A third of the machines stops sending heartbeats, and nearly every gang loses a member.
    fn lose_a_third(&mut self) {
        self.advance(5000);
        for tasks in &mut self.tasks {
            for task in tasks.iter_mut().filter(|task| task.task.len() % 2 == 0) {
                task.status = TaskState::Exited;
                task.cause = Some(ExitReason::GangMemberLost);
            }
        }
        let left = (0..self.machines).filter(|machine| !Fleet::is_lost(*machine));
        let reports: Vec<AgentStatus> = left.map(|machine| self.report(machine, 5, 1)).collect();
        timed(
            "a heartbeat of the remaining machines",
            reports.len(),
            || {
                for report in &reports {
                    self.heartbeat(report);
                }
            },
        );
        self.advance(14_000);
        // The gangs keep their machines in the meantime.
        let decision = plan::run_cycle(self.scheduler.snapshot(self.now, self.wall_ms));
        self.scheduler
            .apply_decision(decision, 4, self.now, self.wall_ms);
        self.commit();
        self.scheduler.set_redirected_elsewhere(Some(0));
        timed("detection of the lost machines", 1, || {
            self.scheduler.tick(self.now, 11, 0);
        });
        let effects = self.commit().into_iter();
        let terminations = effects.filter_map(|effect| match effect {
            Effect::Terminate { machines } => Some(machines),
            _ => None,
        });
        let terminations: Vec<Vec<String>> = terminations.collect();
        println!("{} terminations", terminations.len());
        timed("one termination", terminations.len(), || {
            for machines in &terminations {
                self.scheduler.on_termination_outcome(
                    machines,
                    TerminationOutcome::Confirmed,
                    self.now,
                );
            }
        });
        let snapshot = self.snapshot("snapshot after the loss");
        self.plan_and_apply("plan after the loss", snapshot);
        self.scheduler.flush(self.now, 12, 1000);
        self.commit();
        print_resident_memory("with the records and statuses of the simulated fleet");
    }

    /// A successor starts from the records, and receives the machine list and a heartbeat of each
    /// remaining machine.
    fn start_successor(&mut self) {
        let mut watch_cache = WatchCache::default();
        watch_cache.jobs.extend(std::mem::take(&mut self.records));
        let successor = timed("a successor's state from the records", 1, || {
            support::scheduler_from_cache(&self.cluster, 2, &watch_cache, self.now)
        });
        let predecessor = std::mem::replace(&mut self.scheduler, successor);
        let listed = self.listed();
        timed("the machine list", 1, || {
            self.scheduler.on_machine_list(&listed, self.now, self.now);
        });
        let left = (0..self.machines).filter(|machine| !Fleet::is_lost(*machine));
        let reports = left.map(|machine| AgentStatus {
            tasks: vec![],
            ..self.report(machine, 6, 2)
        });
        let reports: Vec<AgentStatus> = reports.collect();
        timed("a heartbeat to the successor", reports.len(), || {
            for report in &reports {
                self.scheduler
                    .on_agent_status(report, StatusOrigin::Heartbeat, self.now);
            }
        });
        let snapshot = self.snapshot("its first snapshot");
        self.plan_and_apply("its first plan", snapshot);
        print_resident_memory("with the states of both leaders");
        drop(predecessor);
    }
}

fn main() {
    let text = std::env::args().nth(1);
    let machines = text.and_then(|text| text.parse().ok()).unwrap_or(4000);
    let mut fleet = Fleet::new(machines);
    fleet.begin();
    fleet.start_tasks();
    fleet.measure_steady_load();
    fleet.lose_a_third();
    fleet.start_successor();
}
