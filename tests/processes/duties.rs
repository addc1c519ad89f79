//! Duties of three processes: a holder that is suspended and resumed, one that is killed with an
//! order in transit, and the report for operators.

use std::process::{Command, Output};
use std::time::{Duration, Instant};

use crate::http::serve;
use crate::world::{program, wait_for, Service};

const HOLDER: &str = "g/d/l/rent/holder";
const TOKEN: &str = "g/d/l/rent/token";
const SETTINGS: &str = "[duties]\nfence = \"provider-token\"\n";

fn current_token(service: &Service) -> Option<u64> {
    let world = service.world.lock().expect("lock");
    let token = world.store.keys.get(TOKEN)?.value.as_integer()?;
    u64::try_from(token).ok()
}

fn signal(process: u32, name: &str) {
    let command = format!("kill -{name} {process}");
    let status = Command::new("sh").args(["-c", &command]).status();
    assert!(status.expect("it runs").success());
}

/// A holder whose order the cloud holds back.
struct HeldOrder {
    holder: usize,
    token: u64,
}

/// Waits until an order of the present holder is held back at the cloud.
fn hold_an_order(service: &Service, job: &str) -> HeldOrder {
    wait_for("a holder", || service.member_in(HOLDER).is_some());
    let holder = service.member_in(HOLDER).expect("a holder");
    let token = current_token(service).expect("a token");
    service.world.lock().expect("lock").held_token = Some(token);
    service.submit((holder + 1) % 3, job);
    wait_for("an order in transit", || {
        service.world.lock().expect("lock").waiting_orders > 0
    });
    HeldOrder { holder, token }
}

/// Waits until the cloud has received an order with a higher token.
fn wait_for_order_of_successor(service: &Service, token: u64) {
    wait_for("an order of the successor", || {
        let world = service.world.lock().expect("lock");
        let mut provisioning = world.orders.iter().filter(|order| order.duty == "rent");
        provisioning.any(|order| order.token > Some(token))
    });
}

/// Fails unless every order with a token that the cloud received after one with a higher token
/// was refused. Returns how many were.
fn refused_orders(service: &Service, token: u64) -> usize {
    let world = service.world.lock().expect("lock");
    let of_provisioning = world.orders.iter().filter(|order| order.duty == "rent");
    let later = of_provisioning.skip_while(|order| order.token <= Some(token));
    let old: Vec<bool> = later
        .filter(|order| order.token == Some(token))
        .map(|order| order.refused)
        .collect();
    assert!(old.iter().all(|refused| *refused), "{:?}", world.orders);
    old.len()
}

/// How the command prints its report.
#[derive(Clone, Copy, PartialEq)]
enum ReportFormat {
    Table,
    Json,
}

/// Runs the command that reports on duties.
fn run_duties_command(service: &Service, format: ReportFormat) -> Output {
    let mut command = program();
    command
        .arg("duties")
        .arg("--config")
        .arg(&service.settings[0]);
    if format == ReportFormat::Json {
        command.arg("--json");
    }
    command.output().expect("it runs")
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told step by step")]
fn a_suspended_and_a_killed_holder_are_replaced() {
    let mut service = Service::start(Some(SETTINGS));
    let suspended = hold_an_order(&service, "run-000001");
    let process = service.processes[suspended.holder].id();
    signal(process, "STOP");
    wait_for_order_of_successor(&service, suspended.token);
    // The order in transit arrives, and the first holder is resumed.
    service.world.lock().expect("lock").held_token = None;
    signal(process, "CONT");
    wait_for("the refusal of the late order", || {
        refused_orders(&service, suspended.token) > 0
    });
    let other = (suspended.holder + 1) % 3;
    service.wait_until_done(other, "run-000001");
    wait_for("a record of the refusal", || {
        let world = service.world.lock().expect("lock");
        world.store.keys.contains_key("g/d/l/rent/refused")
    });

    // The machines are terminated, so that the next job needs some; the holder is killed.
    wait_for("the termination of idle machines", || {
        service
            .world
            .lock()
            .expect("lock")
            .cloud
            .machines
            .is_empty()
    });
    let killed = hold_an_order(&service, "run-000002");
    service.kill(killed.holder);
    wait_for_order_of_successor(&service, killed.token);
    service.world.lock().expect("lock").held_token = None;
    service.wait_until_done((killed.holder + 1) % 3, "run-000002");
    refused_orders(&service, killed.token);

    let table = run_duties_command(&service, ReportFormat::Table);
    let text = String::from_utf8_lossy(&table.stdout).to_string();
    assert!(table.status.success(), "{text}");
    for name in ["rent", "return", "reclaim-idle", "clean-state"] {
        assert!(
            text.lines().any(|line| line.starts_with(name)),
            "{name}: {text}"
        );
    }
    let json = run_duties_command(&service, ReportFormat::Json);
    let report: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(report["active"], true);
    assert!(
        report["duties"][0]["token"].as_u64() > Some(killed.token),
        "{report}"
    );
    assert!(
        report["duties"][0]["last_refusal"]["order"].is_string(),
        "{report}"
    );
}

/// If the store is unreachable, refuses, is slow or sends invalid answers, the command prints one
/// line and fails within a bounded time.
#[test]
fn an_unavailable_report_is_explained_in_one_line() {
    let nonsense = serve(|_| (200, b"nonsense".to_vec()));
    let refuses = serve(|_| (503, vec![]));
    let slow = serve(|_| {
        std::thread::sleep(Duration::from_secs(60));
        (200, vec![])
    });
    let unreachable = std::net::SocketAddr::from(([127, 0, 0, 1], crate::http::free_port()));
    let folder = std::env::temp_dir().join(format!("gaugesill-query-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    for (number, state) in [nonsense, refuses, slow, unreachable]
        .into_iter()
        .enumerate()
    {
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
        let error = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains(&state.to_string()), "{error}");
        assert!(started.elapsed() < Duration::from_secs(30));
    }
    let _ = std::fs::remove_dir_all(&folder);
}
