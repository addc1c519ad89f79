//! The cases. Each returns 1 if the rule was broken, and 0 if it held.

use std::time::{Duration, Instant};

use crate::campaign::workers_text;
use crate::control::{ask, submit, Ask, Cluster, Service};
use crate::log;
use crate::store::Store;
use crate::wire::{call, Value};
use crate::world::{Flavor, Spec, State, TaskState, Times, World};

pub fn run(name: &str, has_trouble: bool) -> i32 {
    match name {
        "repeated-start" => repeated_start(has_trouble),
        "guarantee" => guarantee(has_trouble),
        "few-machines" => few_machines(has_trouble),
        _ => crate::cannot_run("no such case"),
    }
}

/// A deployment with as many of its machines as a case needs.
struct Site {
    store: Store,
    world: World,
    service: Service,
}

impl Site {
    /// `lenteks-plovdiv`.
    fn plovdiv(name: &str, machines: usize) -> Site {
        let times = Times {
            report_s: 3.0,
            lease_s: 36.0,
            gang_wait_s: 35.0,
            gang_peer_s: 4.0,
            cancel_s: 66.0,
            list_lag_s: 3.0,
        };
        let hall = vec!["plovdiv-hall"];
        let vidin = Flavor {
            name: "vidin-32",
            cores: 32.0,
            gpus: 4.0,
            mem: 256.0,
            hourly: 13.88,
            spot: 4.84,
            boot_s: 45.0,
            halls: hall.clone(),
        };
        let store = Store::new(100.0, 25.0, 16.0, 20);
        let world = World::new(times.clone(), vec![vidin], machines);
        let cluster = Cluster {
            zones: hall,
            teams:
                r#"[{"name":"line-vision","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}]"#
                    .into(),
            workers: workers_text(&times),
            state: r#"{"rps":100.0,"write_rps":25.0,"value_kb":16.0,"txn_ops":20}"#.into(),
            cloud: r#"{"rps":5.0,"list_lag_s":3.0}"#.into(),
            limits: r#"{"cpu_share":0.08,"ram_mb":200.0,"fd_limit":4000}"#.into(),
        };
        let service = Service::start(3, &cluster, &store, &world, name);
        Site {
            store,
            world,
            service,
        }
    }

    /// `aduana-rosario`, with these machine types.
    fn rosario(name: &str, flavors: Vec<Flavor>, teams: &str, machines: usize) -> Site {
        let times = Times {
            report_s: 3.0,
            lease_s: 38.0,
            gang_wait_s: 50.0,
            gang_peer_s: 5.0,
            cancel_s: 58.0,
            list_lag_s: 8.0,
        };
        let store = Store::new(200.0, 20.0, 8.0, 12);
        let zones = flavors[0].halls.clone();
        let world = World::new(times.clone(), flavors, machines);
        let cluster = Cluster {
            zones,
            teams: teams.into(),
            workers: workers_text(&times),
            state: r#"{"rps":200.0,"write_rps":20.0,"value_kb":8.0,"txn_ops":12}"#.into(),
            cloud: r#"{"rps":6.0,"list_lag_s":8.0}"#.into(),
            limits: r#"{"cpu_share":0.16,"ram_mb":200.0,"fd_limit":4000}"#.into(),
        };
        let service = Service::start(3, &cluster, &store, &world, name);
        Site {
            store,
            world,
            service,
        }
    }

    fn submit(&self, spec: Spec) {
        if !submit(&self.service, &self.world, spec) {
            self.give_up("a job was not accepted");
        }
    }

    fn give_up(&self, reason: &str) -> ! {
        self.service.stop_all();
        crate::cannot_run(reason)
    }

    /// Waits for something; the case can't run if it doesn't come.
    fn wait<T>(&self, what: &str, span_s: f64, mut find: impl FnMut(&mut State) -> Option<T>) -> T {
        let deadline = Instant::now() + Duration::from_secs_f64(span_s);
        while Instant::now() < deadline {
            if let Some(found) = find(&mut self.world.lock()) {
                log(format!("reached: {what}"));
                return found;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.give_up(&format!("not reached: {what}"))
    }

    /// Ends all processes; prints the rules that were broken.
    fn finish(&self) -> i32 {
        self.service.stop_all();
        let violations = std::mem::take(&mut self.world.lock().violations);
        violations.iter().for_each(|text| println!("{text}"));
        log(if violations.is_empty() {
            "the rules held".into()
        } else {
            "broken".to_string()
        });
        i32::from(!violations.is_empty())
    }
}

fn parana(halls: Vec<&'static str>) -> Flavor {
    Flavor {
        name: "parana-24",
        cores: 24.0,
        gpus: 2.0,
        mem: 96.0,
        hourly: 7.29,
        spot: 1.7,
        boot_s: 60.0,
        halls,
    }
}

fn pampa(halls: Vec<&'static str>) -> Flavor {
    Flavor {
        name: "pampa-48",
        cores: 48.0,
        gpus: 4.0,
        mem: 384.0,
        hourly: 15.26,
        spot: 3.34,
        boot_s: 50.0,
        halls,
    }
}

fn sleep(s: f64) {
    std::thread::sleep(Duration::from_secs_f64(s));
}

/// The machine on which a job's first task runs, and its attempt.
fn running(state: &State, job: &str) -> Option<(String, u64)> {
    state
        .machines
        .iter()
        .filter(|(_, m)| !m.is_gone)
        .find_map(|(name, machine)| {
            let is_running = |state: &TaskState| matches!(state, TaskState::Running { .. });
            let task = machine
                .tasks
                .iter()
                .find(|t| t.job == job && is_running(&t.state))?;
            Some((name.clone(), task.attempt))
        })
}

/// A start that was carried out, ended and cleared arrives once more after its sender has ended.
fn repeated_start(has_trouble: bool) -> i32 {
    let site = Site::plovdiv("repeated-start", 3);
    // A small task that keeps the first machine in use.
    site.submit(Spec {
        urgency: "normal",
        ..Spec::sweep("run-000001", 1, 2.0, 110.0)
    });
    let (first, _) = site.wait("the first machine is in use", 20.0, |s| {
        running(s, "run-000001")
    });
    sleep(1.0);
    // A task that is preempted there and goes on elsewhere.
    site.submit(Spec {
        urgency: "best_effort",
        ..Spec::sweep("run-000002", 1, 20.0, 100.0)
    });
    let attempt = site.wait("the low task runs there", 20.0, |s| {
        running(s, "run-000002")
            .filter(|(name, _)| *name == first)
            .map(|(_, attempt)| attempt)
    });
    site.submit(Spec {
        urgency: "high",
        ..Spec::sweep("run-000003", 1, 20.0, 6.0)
    });
    site.wait("the low task is preempted and cleared", 20.0, |s| {
        let is_known = s.machines[&first]
            .tasks
            .iter()
            .any(|t| t.job == "run-000002");
        (!is_known).then_some(())
    });
    site.wait("the low task runs on another machine", 30.0, |s| {
        running(s, "run-000002").filter(|(name, _)| *name != first)
    });
    site.wait("the urgent task is done and cleared", 30.0, |s| {
        let is_known = s.machines[&first]
            .tasks
            .iter()
            .any(|t| t.job == "run-000003");
        (s.jobs["run-000003"].done_at.is_some() && !is_known).then_some(())
    });
    let is_start = |request: &Value| {
        let text = request.show();
        text.contains("\"start\"")
            && text.contains("run-000002/0")
            && text.contains(&format!("\"try\":{attempt}"))
    };
    let sent = site
        .world
        .lock()
        .starts
        .iter()
        .find(|(name, .., request)| *name == first && is_start(request))
        .cloned();
    let Some((_, endpoint, body, request)) = sent else {
        site.give_up("the start did not come as a direct command");
    };
    if has_trouble {
        let Some(leader) = site.service.leader(&site.store) else {
            site.give_up("nobody leads")
        };
        site.service.kill(leader);
        sleep(1.0);
        log(format!(
            "repeated to {first}: POST /orders {}",
            request.show()
        ));
        let reply = call(endpoint, "POST", "/orders", &body, Duration::from_secs(2));
        let reply = reply.map(|reply| (reply.status, reply.value().show()));
        log(format!("{first} answered the repeat: {reply:?}"));
        sleep(2.0);
        site.service.spawn(leader);
    }
    for _ in 0..8 {
        sleep(1.0);
        ask(
            &site.service,
            &site.world,
            site.service.balance(),
            "run-000002",
            Ask::Poll,
        );
    }
    site.finish()
}

/// A team's job that fits into the team's guarantee, and an urgent one of a team without any,
/// when the cloud has one machine for the two.
fn guarantee(has_trouble: bool) -> i32 {
    let teams = r#"[{"name":"riesgo-00","cpus":24.0,"cpus_max":0.0,"gpus":2.0,"gpus_max":0.0},
{"name":"riesgo-01","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}]"#;
    let flavors = vec![pampa(vec!["puerto-norte"])];
    // Two machines, of which the cloud has half to give.
    let machines = if has_trouble { 1 } else { 2 };
    let site = Site::rosario("guarantee", flavors, teams, machines);
    let team = |owner, spec| Spec {
        owner,
        mem: 72.0,
        gpus: 1.0,
        ..spec
    };
    // An urgent job of a team without a guarantee: it borrows what lies unused.
    let urgent = Spec {
        gang: true,
        urgency: "high",
        same_place: true,
        ..Spec::sweep("run-000001", 1, 43.0, 35.0)
    };
    site.submit(Spec {
        gpus: 4.0,
        mem: 310.0,
        ..team("riesgo-01", urgent)
    });
    site.wait("the urgent job runs", 20.0, |s| running(s, "run-000001"));
    // A job that fits into its team's guarantee.
    let low = Spec {
        urgency: "best_effort",
        loaner: true,
        ..Spec::sweep("run-000002", 1, 10.0, 10.0)
    };
    site.submit(team("riesgo-00", low));
    let accepted = Instant::now();
    while accepted.elapsed() < Duration::from_secs(90) {
        sleep(1.0);
        for id in ["run-000001", "run-000002"] {
            ask(
                &site.service,
                &site.world,
                site.service.balance(),
                id,
                Ask::Poll,
            );
        }
        if site
            .world
            .lock()
            .jobs
            .values()
            .all(|job| job.told_done.is_some())
        {
            break;
        }
    }
    let mut state = site.world.lock();
    for id in ["run-000001", "run-000002"] {
        let (starts, done) = (state.jobs[id].starts, state.jobs[id].done_at.is_some());
        log(format!("{id}: {starts} starts, done: {done}"));
    }
    if state.jobs["run-000002"].done_at.is_none() {
        let starts = state.jobs["run-000002"].starts;
        let text = format!(
            "guarantee: run-000002 fits into its team's guarantee and waits for another team: \
             {starts} starts, 10 s of work not done 90 s after it was accepted"
        );
        state.violate(text);
    }
    drop(state);
    site.finish()
}

/// Jobs that may use spot machines, while the cloud has ordinary ones only.
fn few_machines(has_trouble: bool) -> i32 {
    let halls = vec!["puerto-norte", "centro-civico"];
    let flavors = vec![parana(halls.clone()), pampa(halls)];
    let teams = r#"[{"name":"riesgo-00","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}]"#;
    let site = Site::rosario("few-machines", flavors, teams, 28);
    // The site's machines: half of the ordinary and 0.3 of the spot ones are left, in whole machines.
    let all = [
        ("parana-24", "puerto-norte", 8, 3),
        ("parana-24", "centro-civico", 7, 2),
        ("pampa-48", "puerto-norte", 2, 2),
        ("pampa-48", "centro-civico", 2, 2),
    ];
    let left = |count: usize, share: f64| {
        if has_trouble {
            (count as f64 * share) as usize
        } else {
            count
        }
    };
    let capacity = all.iter().flat_map(|(flavor, hall, count, spot)| {
        [
            (*flavor, *hall, false, left(*count, 0.5)),
            (*flavor, *hall, true, left(*spot, 0.3)),
        ]
    });
    site.world.lock().capacity_of = Some(capacity.collect());
    for number in 1..=6 {
        let spec = Spec {
            owner: "riesgo-00",
            urgency: "best_effort",
            loaner: true,
            gpus: 1.0,
            mem: 72.0,
            ..Spec::sweep(&format!("run-{number:06}"), 3, 10.0, 30.0)
        };
        site.submit(spec);
    }
    for _ in 0..95 {
        sleep(1.0);
        ask(
            &site.service,
            &site.world,
            site.service.balance(),
            "run-000001",
            Ask::Poll,
        );
    }
    let mut state = site.world.lock();
    let starts: u64 = state.jobs.values().map(|job| job.starts).sum();
    let ordinary = state
        .rentals
        .iter()
        .filter(|order| order.get("loaner") == Some(&Value::Bool(false)));
    let (ordinary, orders) = (ordinary.count(), state.rentals.len());
    log(format!(
        "{starts} starts; of {orders} rental requests {ordinary} were for ordinary machines"
    ));
    if starts == 0 {
        let text = format!("nothing_ran: no task of 6 accepted jobs was started in 95 s; {orders} rental requests, {ordinary} for ordinary machines");
        state.violate(text);
    }
    drop(state);
    site.finish()
}
