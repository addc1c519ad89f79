//! What the leader's work costs at size: a stand-in of a fleet half as large
//! again as the operators' and its queue, the library's own code, one figure a
//! line: the steady steps, the loss of a third of the fleet at once, and a
//! successor that starts from the records, with the memory that all of it takes.
//!
//! `cargo run --release --example size [MACHINES]`

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use gaugesill::job::{JobRecord, JobSpec, Priority, Shape};
use gaugesill::plan;
use gaugesill::replica::{LiveJob, Replica};
use gaugesill::scheduler::{Effect, ReportOrigin, Scheduler, Term};
use gaugesill::settings::{ClusterSettings, OperatorSettings};
use gaugesill::wire::{self, ListedMachine, MachineType, Report, TaskReport};
use gaugesill::write_queue::CommitResult;

const SETTINGS: &str = r#"{"teams":[{"name":"t"}],
    "workers":{"report_s":8.0,"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":66.0},
    "state":{"rps":100.0,"write_rps":25.0,"value_kb":16.0,"txn_ops":20},
    "cloud":{"rps":5.0,"list_lag_s":3.0},
    "limits":{"cpu_share":0.08,"ram_mb":200.0,"fd_limit":4000}}"#;

fn spec(shape: Shape, tasks: u32, image: u32) -> JobSpec {
    let gang = shape == Shape::Gang;
    let pick = |a, b| if gang { a } else { b };
    JobSpec {
        class: if gang { "train" } else { "score" }.into(),
        team: "t".into(),
        shape,
        priority: if gang {
            Priority::Normal
        } else {
            Priority::Low
        },
        tasks,
        cpus: pick(28.0, 6.0),
        gpus: pick(4.0, 1.0),
        memory_gb: pick(200.0, 48.0),
        machine_types: None,
        zone: None,
        single_zone: gang,
        spread: false,
        spot: !gang,
        image: format!("img-{image}"),
        image_gb: 5.0,
        expected_s: pick(200.0, 70.0),
        checkpoint_interval_s: 20.0,
        save_s: 3.0,
        deadline_s: (!gang).then_some(125.0),
        dependencies: vec![],
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "v32".into(),
        cpus: 32.0,
        gpus: 4.0,
        memory_gb: 256.0,
        cache_gb: 120.0,
        fetch_gb_per_s: 0.4,
        hourly_price: 13.88,
        spot_price: 4.84,
        boot_s: 45.0,
        zones: vec!["a".into()],
    }
}

/// Writes what the leader wants on record.
fn commit(c: &mut Scheduler, kept: &mut HashMap<String, LiveJob>, now: u64) -> Vec<Effect> {
    let mut others = Vec::new();
    for e in c.take_effects() {
        match e {
            Effect::Write {
                job,
                change,
                final_state: end,
                writes,
                ..
            } => {
                let value = writes.iter().find_map(|w| w.value.as_ref());
                if let Some(r) = value.and_then(JobRecord::from_value) {
                    let record = Arc::new(r);
                    kept.insert(
                        job.clone(),
                        LiveJob {
                            record,
                            version: 11,
                        },
                    );
                }
                c.on_commit(
                    &job,
                    change,
                    end,
                    &CommitResult::Committed { revision: 11 },
                    now,
                );
            }
            e => others.push(e),
        }
    }
    others
}

/// What the process holds, in MB, where the system tells.
fn held_mb() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024.0)
}

fn main() {
    let machines: usize = std::env::args()
        .nth(1)
        .and_then(|a| a.parse().ok())
        .unwrap_or(2230);
    let Ok(cluster) = serde_json::from_str::<ClusterSettings>(SETTINGS) else {
        eprintln!("the settings of this example can't be read");
        return;
    };
    let term = Term {
        member: "c0".into(),
        epoch: 1,
        key: gaugesill::replica::LEADER_KEY,
        key_version: 1,
        began_wall_ms: 1_000_000,
    };
    let machine_types = Arc::new(vec![machine_type()]);
    let op = OperatorSettings::default();
    let mut c = Scheduler::new(
        term.clone(),
        &cluster,
        &op,
        machine_types.clone(),
        &Replica::default(),
        1,
    );
    let mut kept: HashMap<String, LiveJob> = HashMap::new();
    let listed: Vec<ListedMachine> = (0..machines)
        .map(|i| ListedMachine {
            name: format!("m-{i:06}"),
            endpoint: None,
            machine_type: "v32".into(),
            zone: "a".into(),
            spot: i % 3 == 0,
            status: "running".into(),
            age_s: Some(60.0),
        })
        .collect();
    c.on_machine_list(&listed, 1, 1);
    let report = |i: usize, serial: u64, tasks: Vec<TaskReport>| Report {
        machine: format!("m-{i:06}"),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: "v32".into(),
        zone: "a".into(),
        spot: i % 3 == 0,
        session: 1,
        serial,
        epoch: 1,
        reclaim_in_s: None,
        tasks,
    };
    let mut now = 1000;
    for i in 0..machines {
        c.on_report(&report(i, 1, vec![]), ReportOrigin::CheckIn, now);
    }
    // More work than there is room for.
    for n in 0..machines as u32 / 4 {
        let shape = if n % 3 == 0 {
            Shape::Gang
        } else {
            Shape::Array
        };
        let tasks = match shape {
            Shape::Gang => 1 << (n % 6),
            _ => 5 + (n * 7) % 60,
        };
        let record = JobRecord::new(spec(shape, tasks, n % 20), 1_000_000);
        let live = LiveJob {
            record: Arc::new(record),
            version: 1,
        };
        c.apply_record(&format!("run-{n:06}"), &live, now);
    }
    let line = |what: &str, from: Instant, n: usize| {
        println!(
            "{what:<46}{:>10.1} us",
            from.elapsed().as_secs_f64() * 1e6 / n as f64
        );
    };
    let t = Instant::now();
    let s = c.snapshot(now, 1_000_000);
    line("first snapshot", t, 1);
    let t = Instant::now();
    let d = plan::cycle(s);
    line("first plan", t, 1);
    let t = Instant::now();
    c.apply_decision(d, 4, now, 1_000_000);
    line("its application, with what to buy", t, 1);
    c.flush(now, 10, 1000);
    commit(&mut c, &mut kept, now);
    let mut on: Vec<Vec<TaskReport>> = Vec::new();
    let t = Instant::now();
    for i in 0..machines {
        let r = report(i, 2, vec![]);
        c.on_report(&r, ReportOrigin::CheckIn, now);
        let started = c
            .answer_commands(&r, true, now)
            .into_iter()
            .map(|o| TaskReport {
                task: o.task,
                attempt: o.attempt,
                status: "running".into(),
                cause: None,
                kept: None,
            });
        on.push(started.collect());
    }
    line("a check-in answered with starts", t, machines);
    println!("{} tasks started", on.iter().map(Vec::len).sum::<usize>());
    for (i, tasks) in on.iter().enumerate() {
        c.on_report(&report(i, 3, tasks.clone()), ReportOrigin::CheckIn, now);
    }
    now += 8000;
    let bodies: Vec<Vec<u8>> = (0..machines)
        .map(|i| wire::encode(&report(i, 4, on[i].clone())))
        .collect();
    let t = Instant::now();
    for b in &bodies {
        let Some(r) = wire::decode::<Report>(b) else {
            continue;
        };
        c.on_report(&r, ReportOrigin::CheckIn, now);
        let commands = c.answer_commands(&r, true, now);
        std::hint::black_box(wire::encode(&wire::CommandBatch {
            epoch: 1,
            session: None,
            commands,
        }));
    }
    line(
        "a check-in with nothing new, read and answered",
        t,
        machines,
    );
    let t = Instant::now();
    let s = c.snapshot(now, 1_008_000);
    line("snapshot after all tasks began", t, 1);
    let t = Instant::now();
    drop(c.snapshot(now, 1_008_000));
    line("snapshot with nothing new", t, 1);
    let t = Instant::now();
    let d = plan::cycle(s);
    line("plan with a full queue and no room", t, 1);
    let t = Instant::now();
    c.apply_decision(d, 4, now, 1_008_000);
    line("its application, with what to buy", t, 1);
    let t = Instant::now();
    c.tick(now, 10, 0);
    line("looking over all machines and gangs", t, 1);
    let t = Instant::now();
    for _ in 0..100 {
        c.flush(now, 10, 0);
    }
    line("looking for records to write", t, 100);

    // A third of the machines falls silent, and every gang loses a member.
    let lost = |i: usize| i % 3 == 1;
    now += 5000;
    let t = Instant::now();
    for i in (0..machines).filter(|i| !lost(*i)) {
        let mut tasks = on[i].clone();
        for p in tasks.iter_mut().filter(|p| p.task.len() % 2 == 0) {
            p.status = "ended".into();
            p.cause = Some("mates_gone".into());
        }
        let r = report(i, 5, tasks);
        c.on_report(&r, ReportOrigin::CheckIn, now);
        c.answer_commands(&r, true, now);
    }
    line("a check-in of those left", t, machines * 2 / 3);
    now += 14_000;
    // What the gangs had is kept for them meanwhile.
    let d = plan::cycle(c.snapshot(now, 1_030_000));
    c.apply_decision(d, 4, now, 1_030_000);
    commit(&mut c, &mut kept, now);
    c.set_redirected_elsewhere(Some(0));
    let t = Instant::now();
    c.tick(now, 11, 0);
    line("finding the silent ones", t, 1);
    let mut calls = 0;
    let effects = commit(&mut c, &mut kept, now);
    let t = Instant::now();
    for e in effects {
        if let Effect::Delete { machines } = e {
            calls += 1;
            c.on_deleted(&machines, true, now);
        }
    }
    line("their deletion, a call", t, calls.max(1));
    println!("{calls} calls");
    let t = Instant::now();
    let s = c.snapshot(now, 1_030_000);
    line("snapshot after it", t, 1);
    let t = Instant::now();
    let d = plan::cycle(s);
    line("plan after it", t, 1);
    let t = Instant::now();
    c.apply_decision(d, 4, now, 1_030_000);
    line("its application, with what to buy", t, 1);
    c.flush(now, 12, 1000);
    commit(&mut c, &mut kept, now);
    if let Some(mb) = held_mb() {
        println!("{mb:.1} MB held, records and reports of the stand-in included");
    }

    // A successor: the records, the list, a round of reports.
    let mut replica = Replica::default();
    replica.jobs.extend(kept);
    let term = Term { epoch: 2, ..term };
    let t = Instant::now();
    let mut c = Scheduler::new(term, &cluster, &op, machine_types, &replica, now);
    line("a successor's state from the records", t, 1);
    let t = Instant::now();
    c.on_machine_list(&listed, now, now);
    line("the cloud's list", t, 1);
    let t = Instant::now();
    for i in (0..machines).filter(|i| !lost(*i)) {
        let mut r = report(i, 6, vec![]);
        r.epoch = 2;
        c.on_report(&r, ReportOrigin::CheckIn, now);
    }
    line("a check-in to it", t, machines * 2 / 3);
    let t = Instant::now();
    let s = c.snapshot(now, 1_030_000);
    line("its first snapshot", t, 1);
    let t = Instant::now();
    drop(plan::cycle(s));
    line("its first plan", t, 1);
    if let Some(mb) = held_mb() {
        println!("{mb:.1} MB held, with both leaders' minds");
    }
}
