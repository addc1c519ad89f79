//! What the leader's work costs at size: a stand-in of a fleet half as large
//! again as the operators' and its queue, the library's own code, one figure a
//! line: the steady steps, the loss of a third of the fleet at once, and a
//! successor that starts from the records, with the memory that all of it takes.
//!
//! `cargo run --release --example size [MACHINES]`

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use gaugesill::control::{Control, Effect, Seat};
use gaugesill::job::{Record, Shape, Spec, Urgency};
use gaugesill::plan;
use gaugesill::settings::{Cluster, Operator};
use gaugesill::state::Commit;
use gaugesill::store::{Live, Picture};
use gaugesill::wire::{self, Flavor, Listed, Piece, Report};

const SETTINGS: &str = r#"{"teams":[{"name":"t"}],
    "workers":{"report_s":8.0,"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":66.0},
    "state":{"rps":100.0,"write_rps":25.0,"value_kb":16.0,"txn_ops":20},
    "cloud":{"rps":5.0,"list_lag_s":3.0},
    "limits":{"cpu_share":0.08,"ram_mb":200.0,"fd_limit":4000}}"#;

fn spec(shape: Shape, tasks: u32, image: u32) -> Spec {
    let gang = shape == Shape::Gang;
    let pick = |a, b| if gang { a } else { b };
    Spec {
        class: if gang { "train" } else { "score" }.into(),
        team: "t".into(),
        shape,
        urgency: if gang { Urgency::Normal } else { Urgency::Low },
        tasks,
        cpus: pick(28.0, 6.0),
        gpus: pick(4.0, 1.0),
        mem: pick(200.0, 48.0),
        types: None,
        zone: None,
        one_zone: gang,
        spread: false,
        spot: !gang,
        image: format!("img-{image}"),
        image_gb: 5.0,
        expected_s: pick(200.0, 70.0),
        checkpoint_s: 20.0,
        save_s: 3.0,
        due_s: (!gang).then_some(125.0),
        needs: vec![],
    }
}

fn flavor() -> Flavor {
    Flavor {
        sku: "v32".into(),
        cores: 32.0,
        gpus: 4.0,
        mem_gb: 256.0,
        cache_gb: 120.0,
        fetch: 0.4,
        hourly: 13.88,
        spot_price: 4.84,
        boot_s: 45.0,
        halls: vec!["a".into()],
    }
}

/// Writes what the leader wants on record.
fn commit(c: &mut Control, kept: &mut HashMap<String, Live>, now: u64) -> Vec<Effect> {
    let mut others = Vec::new();
    for e in c.take_effects() {
        match e {
            Effect::Write {
                job,
                ver,
                end,
                writes,
                ..
            } => {
                let data = writes.iter().find_map(|w| w.data.as_ref());
                if let Some(r) = data.and_then(Record::from_value) {
                    let record = Arc::new(r);
                    kept.insert(job.clone(), Live { record, stamp: 11 });
                }
                c.committed(&job, ver, end, &Commit::Done { rev: 11 }, now);
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
    let Ok(cluster) = serde_json::from_str::<Cluster>(SETTINGS) else {
        eprintln!("the settings of this example can't be read");
        return;
    };
    let seat = Seat {
        member: "c0".into(),
        epoch: 1,
        key: gaugesill::store::LEADER,
        stamp: 1,
        wall: 1_000_000,
    };
    let flavors = Arc::new(vec![flavor()]);
    let op = Operator::default();
    let mut c = Control::new(
        seat.clone(),
        &cluster,
        &op,
        flavors.clone(),
        &Picture::default(),
        1,
    );
    let mut kept: HashMap<String, Live> = HashMap::new();
    let listed: Vec<Listed> = (0..machines)
        .map(|i| Listed {
            name: format!("m-{i:06}"),
            endpoint: None,
            flavor: "v32".into(),
            hall: "a".into(),
            loaner: i % 3 == 0,
            status: "running".into(),
            held_s: Some(60.0),
        })
        .collect();
    c.listed(&listed, 1, 1);
    let report = |i: usize, serial: u64, pieces: Vec<Piece>| Report {
        host: format!("m-{i:06}"),
        endpoint: "10.1.0.1:9000".into(),
        flavor: "v32".into(),
        hall: "a".into(),
        loaner: i % 3 == 0,
        tenure: 1,
        serial,
        epoch: 1,
        notice_s: None,
        pieces,
    };
    let mut now = 1000;
    for i in 0..machines {
        c.report(&report(i, 1, vec![]), true, now);
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
        let record = Record::new(spec(shape, tasks, n % 20), 1_000_000);
        let live = Live {
            record: Arc::new(record),
            stamp: 1,
        };
        c.job_seen(&format!("run-{n:06}"), &live, now);
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
    c.apply(d, 4, now, 1_000_000);
    line("its application, with what to buy", t, 1);
    c.push(now, 10, 1000);
    commit(&mut c, &mut kept, now);
    let mut on: Vec<Vec<Piece>> = Vec::new();
    let t = Instant::now();
    for i in 0..machines {
        let r = report(i, 2, vec![]);
        c.report(&r, true, now);
        let started = c.orders(&r, true, now).into_iter().map(|o| Piece {
            piece: o.piece,
            attempt: o.attempt,
            status: "running".into(),
            cause: None,
            kept: None,
        });
        on.push(started.collect());
    }
    line("a check-in answered with starts", t, machines);
    println!("{} tasks started", on.iter().map(Vec::len).sum::<usize>());
    for (i, pieces) in on.iter().enumerate() {
        c.report(&report(i, 3, pieces.clone()), true, now);
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
        c.report(&r, true, now);
        let orders = c.orders(&r, true, now);
        std::hint::black_box(wire::encode(&wire::Orders {
            epoch: 1,
            tenure: None,
            orders,
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
    c.apply(d, 4, now, 1_008_000);
    line("its application, with what to buy", t, 1);
    let t = Instant::now();
    c.tick(now, 10, 0);
    line("looking over all machines and gangs", t, 1);
    let t = Instant::now();
    for _ in 0..100 {
        c.push(now, 10, 0);
    }
    line("looking for records to write", t, 100);

    // A third of the machines falls silent, and every gang loses a member.
    let lost = |i: usize| i % 3 == 1;
    now += 5000;
    let t = Instant::now();
    for i in (0..machines).filter(|i| !lost(*i)) {
        let mut pieces = on[i].clone();
        for p in pieces.iter_mut().filter(|p| p.piece.len() % 2 == 0) {
            p.status = "ended".into();
            p.cause = Some("mates_gone".into());
        }
        let r = report(i, 5, pieces);
        c.report(&r, true, now);
        c.orders(&r, true, now);
    }
    line("a check-in of those left", t, machines * 2 / 3);
    now += 14_000;
    // What the gangs had is kept for them meanwhile.
    let d = plan::cycle(c.snapshot(now, 1_030_000));
    c.apply(d, 4, now, 1_030_000);
    commit(&mut c, &mut kept, now);
    c.witness(Some(0));
    let t = Instant::now();
    c.tick(now, 11, 0);
    line("finding the silent ones", t, 1);
    let mut calls = 0;
    let effects = commit(&mut c, &mut kept, now);
    let t = Instant::now();
    for e in effects {
        if let Effect::Delete { hosts } = e {
            calls += 1;
            c.deleted(&hosts, true, now);
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
    c.apply(d, 4, now, 1_030_000);
    line("its application, with what to buy", t, 1);
    c.push(now, 12, 1000);
    commit(&mut c, &mut kept, now);
    if let Some(mb) = held_mb() {
        println!("{mb:.1} MB held, records and reports of the stand-in included");
    }

    // A successor: the records, the list, a round of reports.
    let mut picture = Picture::default();
    picture.jobs.extend(kept);
    let seat = Seat { epoch: 2, ..seat };
    let t = Instant::now();
    let mut c = Control::new(seat, &cluster, &op, flavors, &picture, now);
    line("a successor's mind from the records", t, 1);
    let t = Instant::now();
    c.listed(&listed, now, now);
    line("the cloud's list", t, 1);
    let t = Instant::now();
    for i in (0..machines).filter(|i| !lost(*i)) {
        let mut r = report(i, 6, vec![]);
        r.epoch = 2;
        c.report(&r, true, now);
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
