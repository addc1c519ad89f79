//! Random troubles against three controllers, to look for broken rules.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::control::{ask, cancel, submit, Ask, Cluster, Link, Service};
use crate::store::Store;
use crate::world::{Flavor, Spec, Times, World};
use crate::{log, random};

pub fn times() -> Times {
    Times {
        report_s: 1.0,
        lease_s: 12.0,
        gang_wait_s: 12.0,
        gang_peer_s: 2.0,
        cancel_s: 20.0,
        list_lag_s: 1.0,
    }
}

pub fn workers_text(t: &Times) -> String {
    format!(
        r#"{{"report_s":{:?},"lease_s":{:?},"gang_wait_s":{:?},"gang_peer_s":{:?},"cancel_s":{:?}}}"#,
        t.report_s, t.lease_s, t.gang_wait_s, t.gang_peer_s, t.cancel_s
    )
}

pub fn cluster(t: &Times, teams: &str) -> Cluster {
    Cluster {
        zones: vec!["a", "b"],
        teams: teams.into(),
        workers: workers_text(t),
        state: r#"{"rps":200.0,"write_rps":50.0,"value_kb":16.0,"txn_ops":20}"#.into(),
        cloud: format!(r#"{{"rps":10.0,"list_lag_s":{:?}}}"#, t.list_lag_s),
        limits: r#"{"cpu_share":0.16,"ram_mb":200.0,"fd_limit":4000}"#.into(),
    }
}

pub fn flavors() -> Vec<Flavor> {
    vec![
        Flavor {
            name: "f8",
            cores: 8.0,
            gpus: 2.0,
            mem: 64.0,
            hourly: 8.0,
            spot: 3.0,
            boot_s: 5.0,
            halls: vec!["a", "b"],
        },
        Flavor {
            name: "f4",
            cores: 4.0,
            gpus: 0.0,
            mem: 32.0,
            hourly: 4.0,
            spot: 1.6,
            boot_s: 5.0,
            halls: vec!["a", "b"],
        },
    ]
}

fn pick<T: Copy>(all: &[T]) -> T {
    all[(random() * all.len() as f64) as usize % all.len()]
}

fn random_spec(id: &str, earlier: &[String]) -> Spec {
    let gang = random() < 0.3;
    let mut spec = Spec::sweep(
        id,
        1 + (random() * 5.0) as u64,
        pick(&[1.0, 2.0, 4.0]),
        1.0 + 9.0 * random(),
    );
    spec.gang = gang;
    spec.owner = pick(&["t", "u", "line-vision"]);
    spec.urgency = pick(&["normal", "high", "best_effort", "prod"]);
    if gang {
        spec.pieces = pick(&[1, 2, 3]);
        spec.cores = pick(&[1.0, 2.0]);
    }
    spec.same_place = random() < 0.3;
    spec.scatter = !spec.same_place && random() < 0.2;
    spec.loaner = random() < 0.4;
    spec.hall = if random() < 0.1 {
        Some(pick(&["a", "b"]))
    } else {
        None
    };
    spec.image = format!("img-{}", pick(&[1, 2, 3]));
    spec.image_gb = pick(&[0.1, 0.4, 0.8]);
    if random() < 0.4 {
        spec.snapshot_every_s = 2.0;
        spec.snapshot_s = 1.0;
    }
    if random() < 0.4 && !earlier.is_empty() {
        let last = earlier[earlier.len().saturating_sub(6)..].to_vec();
        spec.waits_on
            .push(last[(random() * last.len() as f64) as usize % last.len()].clone());
        spec.scatter = false;
    }
    spec
}

/// A user of one job.
fn user(service: &Arc<Service>, world: &World, spec: Spec, end: Instant) {
    let id = spec.id.clone();
    let run_s = spec.run_s;
    let cancels = random() < 0.3;
    if !submit(service, world, spec) {
        log(format!("not accepted: {id}"));
        return;
    }
    let looks = || {
        for _ in 0..2 {
            for node in 0..service.count {
                ask(
                    service,
                    world,
                    node,
                    &id,
                    if random() < 0.3 {
                        Ask::Submit
                    } else {
                        Ask::Poll
                    },
                );
            }
        }
    };
    looks();
    let cancel_at = Instant::now() + Duration::from_secs_f64(random() * (run_s + 6.0));
    while Instant::now() < end {
        if cancels && Instant::now() > cancel_at {
            cancel(service, world, &id);
            looks();
            std::thread::sleep(Duration::from_secs(3));
            looks();
            return;
        }
        std::thread::sleep(Duration::from_millis(700));
        if let Some((200, said)) = ask(service, world, service.balance(), &id, Ask::Poll) {
            if said == "done" || said == "withdrawn" {
                looks();
                std::thread::sleep(Duration::from_secs_f64(5.0 * random()));
                looks();
                return;
            }
        }
    }
}

/// One trouble; returns when it is over.
fn trouble(kind: usize, service: &Service, store: &Store, world: &World) {
    let sleep = |s: f64| std::thread::sleep(Duration::from_secs_f64(s));
    let any = pick(&[0, 1, 2]);
    let leader = service.leader(store).unwrap_or(any);
    let victim = if random() < 0.7 { leader } else { any };
    match kind {
        0 => {
            service.kill(victim);
            sleep(pick(&[0.05, 0.3, 3.0]));
            service.spawn(victim);
        }
        1 => {
            let span = pick(&[1.0, 3.5, 6.0, 10.0, 18.0]);
            service.pause(victim, true);
            sleep(span);
            service.pause(victim, false);
        }
        2 => {
            let span = pick(&[1.0, 4.0, 8.0, 15.0]);
            log(format!("state service is down for {span}s"));
            store.set_faults(|f| f.outage = true);
            sleep(span);
            store.set_faults(|f| f.outage = false);
            log("state service is back".into());
        }
        3 => {
            let span = pick(&[2.0, 5.0, 9.0, 20.0]);
            log(format!("state service refuses {victim} for {span}s"));
            store.set_faults(|f| f.refused.push(victim));
            sleep(span);
            store.set_faults(|f| f.refused.retain(|c| *c != victim));
        }
        4 => {
            let span = pick(&[2.0, 5.0, 9.0, 20.0]);
            let peers = random() < 0.5;
            log(format!(
                "{victim} is cut from the state service for {span}s, from peers {peers}"
            ));
            store.set_faults(|f| f.held.push(victim));
            let set = |link| {
                let mut links = service.links.lock().expect("lock");
                for other in 0..service.count {
                    links[victim][other] = link;
                    links[other][victim] = link;
                }
            };
            if peers {
                set(Link::Held);
            }
            sleep(span);
            store.set_faults(|f| f.held.retain(|c| *c != victim));
            set(Link::Open);
        }
        5 => {
            log("late writes".into());
            store.set_faults(|f| f.late = 0.3);
            sleep(8.0);
            store.set_faults(|f| f.late = 0.0);
        }
        6 => {
            log("lost answers".into());
            store.set_faults(|f| f.lost = 0.3);
            sleep(8.0);
            store.set_faults(|f| f.lost = 0.0);
        }
        7 => {
            log("late orders".into());
            world.lock().faults.late_orders = 0.4;
            sleep(8.0);
            world.lock().faults.late_orders = 0.0;
        }
        8 => {
            log("late reports".into());
            world.lock().faults.late_reports = 0.4;
            sleep(8.0);
            world.lock().faults.late_reports = 0.0;
        }
        9 | 10 | 11 => {
            let span = pick(&[2.0, 5.0, 8.0, 14.0]);
            let name = {
                let state = world.lock();
                let up: Vec<String> = state
                    .machines
                    .iter()
                    .filter(|(_, m)| m.is_up && !m.is_gone)
                    .map(|(n, _)| n.clone())
                    .collect();
                up.get((random() * up.len() as f64) as usize).cloned()
            };
            let Some(name) = name else { return };
            let mut state = world.lock();
            let machine = state.machines.get_mut(&name).expect("a machine");
            match kind {
                9 => {
                    log(format!("{name} hangs for {span}s"));
                    machine.hung_until = Some(Instant::now() + Duration::from_secs_f64(span));
                }
                10 => {
                    log(format!("{name} is mute for {span}s"));
                    machine.mute = true;
                }
                _ => {
                    log(format!("{name} is sick for {span}s"));
                    machine.sick = true;
                }
            }
            drop(state);
            sleep(span);
            let mut state = world.lock();
            if let Some(machine) = state.machines.get_mut(&name) {
                machine.mute = false;
                machine.sick = false;
            }
        }
        12 => {
            log("cloud is down".into());
            world.lock().faults.cloud_down = true;
            sleep(10.0);
            world.lock().faults.cloud_down = false;
        }
        13 => {
            log("connections between controllers are refused".into());
            let set = |link| {
                let mut links = service.links.lock().expect("lock");
                links.iter_mut().flatten().for_each(|l| *l = link);
            };
            set(Link::Refused);
            sleep(pick(&[5.0, 15.0]));
            set(Link::Open);
        }
        14 => {
            log("state service is slow".into());
            store.set_faults(|f| f.slow_ms = pick(&[100, 400, 900, 1300]));
            sleep(8.0);
            store.set_faults(|f| f.slow_ms = 0);
        }
        20 | 21 => {
            crate::wire::REPEATS.store(300_000, std::sync::atomic::Ordering::Relaxed);
            sleep(10.0);
            crate::wire::REPEATS.store(0, std::sync::atomic::Ordering::Relaxed);
        }
        22 => {
            let mut state = world.lock();
            let share = 0.3 + 0.5 * random();
            for (name, machine) in &mut state.machines {
                if machine.loaner && machine.is_up && !machine.is_gone && random() < share {
                    let notice = random() < 0.7;
                    log(format!("{name} will be taken, notice {notice}"));
                    machine.changed = true;
                    machine.taken_at = Some((
                        Instant::now() + Duration::from_secs_f64(2.0 + 6.0 * random()),
                        notice,
                    ));
                }
            }
        }
        23 | 24 => {
            let span = pick(&[3.0, 8.0, 13.0, 20.0]);
            {
                let mut state = world.lock();
                let share = pick(&[0.2, 0.5, 1.0]);
                let until = Some(Instant::now() + Duration::from_secs_f64(span));
                for (name, machine) in &mut state.machines {
                    if machine.is_up && !machine.is_gone && random() < share {
                        log(format!("{name} is cut off for {span}s"));
                        machine.cut_until = until;
                    }
                }
            }
            sleep(span);
        }
        15 => {
            (0..service.count).for_each(|c| service.kill(c));
            sleep(pick(&[0.1, 3.0, 14.0]));
            (0..service.count).for_each(|c| service.spawn(c));
        }
        16 => {
            for _ in 0..4 {
                let leader = service.leader(store).unwrap_or(any);
                service.kill(leader);
                sleep(0.2);
                service.spawn(leader);
                sleep(4.0 * random());
            }
        }
        17 | 18 => {
            let mut state = world.lock();
            let up: Vec<String> = state
                .machines
                .iter()
                .filter(|(_, m)| m.is_up && !m.is_gone)
                .map(|(n, _)| n.clone())
                .collect();
            let Some(name) = up.get((random() * up.len() as f64) as usize).cloned() else {
                return;
            };
            if kind == 18 {
                log(format!("{name} dies"));
                state.remove(&name);
                return;
            }
            let span = pick(&[3.0, 8.0, 14.0]);
            log(format!("{name} is deaf for {span}s"));
            state.machines.get_mut(&name).expect("a machine").deaf_until =
                Some(Instant::now() + Duration::from_secs_f64(span));
            drop(state);
            sleep(span);
        }
        19 => {
            let running: Vec<String> = {
                let state = world.lock();
                let live = state.machines.values().flat_map(|m| &m.tasks);
                let mut ids: Vec<String> = live.map(|t| t.job.clone()).collect();
                ids.sort();
                ids.dedup();
                ids
            };
            log(format!("cancelled at once: {running:?}"));
            for id in running {
                cancel(service, world, &id);
            }
        }
        _ => {}
    }
}

pub fn run(seconds: u64) -> i32 {
    let t = times();
    let store = Store::new(200.0, 50.0, 16.0, 20);
    let world = World::new(t.clone(), flavors(), 14);
    world.lock().limits.insert("t".into(), (8.0, 0.0));
    world.lock().limits.insert("u".into(), (6.0, 0.0));
    let teams = r#"[{"name":"line-vision","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0},
{"name":"t","cpus":0.0,"cpus_max":8.0,"gpus":0.0,"gpus_max":0.0},{"name":"u","cpus":0.0,"cpus_max":6.0,"gpus":0.0,"gpus_max":0.0}]"#;
    let service = Arc::new(Service::start(
        3,
        &cluster(&t, teams),
        &store,
        &world,
        "campaign",
    ));
    let end = Instant::now() + Duration::from_secs(seconds);
    let calm = end - Duration::from_secs(40);
    {
        let (service, world) = (service.clone(), world.clone());
        std::thread::spawn(move || {
            let mut earlier: Vec<String> = vec![];
            let mut number = 0;
            while Instant::now() < calm {
                number += 1;
                let id = format!("run-{number:06}");
                let spec = random_spec(&id, &earlier);
                earlier.retain(|e| {
                    world
                        .lock()
                        .jobs
                        .get(e)
                        .is_some_and(|j| j.told_accepted.is_some())
                });
                earlier.push(id);
                let mut spec = spec;
                spec.waits_on
                    .retain(|d| earlier.contains(d) && *d != spec.id);
                let (service, world) = (service.clone(), world.clone());
                std::thread::spawn(move || user(&service, &world, spec, end));
                std::thread::sleep(Duration::from_secs_f64(0.3 + 2.0 * random()));
            }
        });
    }
    for _ in 0..3 {
        let (service, store, world) = (service.clone(), store.clone(), world.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(8));
            while Instant::now() < calm - Duration::from_secs(20) {
                trouble((random() * 25.0) as usize, &service, &store, &world);
                std::thread::sleep(Duration::from_secs_f64(4.0 * random()));
            }
        });
    }
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(200));
        for c in 0..service.count {
            if service.has_ended(c) {
                world
                    .lock()
                    .violate(format!("controller {c} ended by itself"));
                service.kill(c);
                service.spawn(c);
            }
        }
    }
    let mut open = vec![];
    let mut state = world.lock();
    for (id, job) in &state.jobs {
        if job.told_accepted.is_some() && job.told_done.is_none() && job.told_withdrawn.is_none() {
            open.push(format!(
                "{id} done {:?} of {} started {:?}",
                job.done, job.spec.pieces, job.started
            ));
        }
    }
    for text in &open {
        log(format!("open at the end: {text}"));
    }
    let (jobs, violations) = (state.jobs.len(), std::mem::take(&mut state.violations));
    drop(state);
    println!(
        "{jobs} jobs, {} open, {} broken",
        open.len(),
        violations.len()
    );
    violations.iter().for_each(|text| println!("  {text}"));
    open.iter().for_each(|text| println!("  open: {text}"));
    service.stop_all();
    i32::from(!violations.is_empty())
}
