//! Duties of three processes: a holder that is stopped and goes on, one that is killed with
//! an order on its way, and what operators are shown.

use std::process::{Command, Output};
use std::time::{Duration, Instant};

use crate::http::serve;
use crate::world::{program, wait_for, Service};

const HOLDER: &str = "g/d/l/rent/holder";
const TOKEN: &str = "g/d/l/rent/token";
const SETTINGS: &str = "[duties]\nfence = \"provider-token\"\n";

fn token(service: &Service) -> Option<u64> {
    let world = service.world.lock().expect("lock");
    let token = world.store.keys.get(TOKEN)?.value.as_integer()?;
    u64::try_from(token).ok()
}

fn signal(process: u32, name: &str) {
    let command = format!("kill -{name} {process}");
    let status = Command::new("sh").args(["-c", &command]).status();
    assert!(status.expect("it runs").success());
}

/// Waits until an order of the present holder is held up at the cloud. Returns the holder
/// and its token.
fn hold_an_order(service: &Service, job: &str) -> (usize, u64) {
    wait_for("a holder", || service.member_in(HOLDER).is_some());
    let holder = service.member_in(HOLDER).expect("a holder");
    let held = token(service).expect("a token");
    service.world.lock().expect("lock").held_token = Some(held);
    service.submit((holder + 1) % 3, job);
    wait_for("an order on its way", || {
        service.world.lock().expect("lock").waiting_orders > 0
    });
    (holder, held)
}

fn until_another_orders(service: &Service, held: u64) {
    wait_for("an order of the successor", || {
        let world = service.world.lock().expect("lock");
        let of_provisioning = world.orders.iter().filter(|order| order.duty == "rent");
        of_provisioning
            .filter_map(|order| order.token)
            .any(|token| token > held)
    });
}

/// Every order of a token that the cloud was asked for after one of a higher token was
/// refused. Returns how many were.
fn refused_orders(service: &Service, held: u64) -> usize {
    let world = service.world.lock().expect("lock");
    let of_provisioning = world.orders.iter().filter(|order| order.duty == "rent");
    let later = of_provisioning.skip_while(|order| order.token <= Some(held));
    let old: Vec<bool> = later
        .filter(|order| order.token == Some(held))
        .map(|order| order.refused)
        .collect();
    assert!(old.iter().all(|refused| *refused), "{:?}", world.orders);
    old.len()
}

fn shown(service: &Service, json: bool) -> Output {
    let mut command = program();
    command
        .arg("duties")
        .arg("--config")
        .arg(&service.settings[0]);
    if json {
        command.arg("--json");
    }
    command.output().expect("it runs")
}

#[test]
fn a_stopped_and_a_killed_holder_are_replaced() {
    let mut service = Service::start(Some(SETTINGS));
    let (stopped, old_token) = hold_an_order(&service, "run-000001");
    let process = service.processes[stopped].id();
    signal(process, "STOP");
    until_another_orders(&service, old_token);
    // What was on its way arrives, and the first goes on.
    service.world.lock().expect("lock").held_token = None;
    signal(process, "CONT");
    wait_for("the late order", || refused_orders(&service, old_token) > 0);
    let other = (stopped + 1) % 3;
    service.wait_until_done(other, "run-000001");
    wait_for("a note of the refusal", || {
        let world = service.world.lock().expect("lock");
        world.store.keys.contains_key("g/d/l/rent/refused")
    });

    // The machines go, so that the next job needs some; its holder is killed.
    wait_for("idle machines to be returned", || {
        service
            .world
            .lock()
            .expect("lock")
            .cloud
            .machines
            .is_empty()
    });
    let (killed, old_token) = hold_an_order(&service, "run-000002");
    service.kill(killed);
    until_another_orders(&service, old_token);
    service.world.lock().expect("lock").held_token = None;
    service.wait_until_done((killed + 1) % 3, "run-000002");
    refused_orders(&service, old_token);

    let table = shown(&service, false);
    let text = String::from_utf8_lossy(&table.stdout).to_string();
    assert!(table.status.success(), "{text}");
    for name in ["rent", "return", "reclaim-idle", "clean-state"] {
        assert!(
            text.lines().any(|line| line.starts_with(name)),
            "{name}: {text}"
        );
    }
    let json = shown(&service, true);
    let report: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(report["active"], true);
    assert!(
        report["duties"][0]["token"].as_u64() > Some(old_token),
        "{report}"
    );
    assert!(
        report["duties"][0]["last_refusal"]["order"].is_string(),
        "{report}"
    );
}

/// A store that is out, slow or answers nonsense: one line, a code other than zero,
/// within a bounded time.
#[test]
fn a_report_that_cant_be_had_is_said_in_one_line() {
    let nonsense = serve(|_| (200, b"nonsense".to_vec()));
    let refuses = serve(|_| (503, vec![]));
    let slow = serve(|_| {
        std::thread::sleep(Duration::from_secs(60));
        (200, vec![])
    });
    let nobody = std::net::SocketAddr::from(([127, 0, 0, 1], crate::http::free_port()));
    let folder = std::env::temp_dir().join(format!("gaugesill-query-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    for (number, state) in [nonsense, refuses, slow, nobody].into_iter().enumerate() {
        let path = folder.join(format!("{number}.json"));
        let mut settings = serde_json::json!({
            "member": "c0", "zone": "a", "front": "127.0.0.1:1", "mesh_addr": "127.0.0.1:2",
            "endpoints": {"cloud": "127.0.0.1:3"},
            "cluster": {
                "workers": {"report_s": 3.0, "lease_s": 36.0, "gang_wait_s": 35.0,
                    "gang_peer_s": 4.0, "cancel_s": 66.0},
                "state": {"rps": 100, "write_rps": 25, "value_kb": 16, "txn_ops": 20},
                "cloud": {"rps": 5, "list_lag_s": 3},
                "limits": {"cpu_share": 0.08, "ram_mb": 200, "fd_limit": 4000}
            }
        });
        settings["endpoints"]["state"] = state.to_string().into();
        std::fs::write(&path, settings.to_string()).expect("written");
        let started = Instant::now();
        let output = program().arg("duties").arg("--config").arg(&path).output();
        let output = output.expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains(&state.to_string()), "{said}");
        assert!(started.elapsed() < Duration::from_secs(30));
    }
    let _ = std::fs::remove_dir_all(&folder);
}
