//! Duties of three processes: a holder that is suspended and resumed, a holder that is killed with
//! an order in flight, and the report for operators.

use std::process::{Command, Output};
use std::time::{Duration, Instant};

use crate::http::serve;
use crate::service::{program, wait_for, Service};

const RENT_HOLDER_KEY: &str = "g/d/l/rent/holder";
const RENT_TOKEN_KEY: &str = "g/d/l/rent/token";
const OPERATOR_SETTINGS: &str = "[duties]\nfence = \"provider-token\"\n";

fn current_token(service: &Service) -> Option<u64> {
    let backend = service.backend.lock().expect("lock is poisoned");
    let token = backend.store.keys.get(RENT_TOKEN_KEY)?.value.as_integer()?;
    u64::try_from(token).ok()
}

fn signal(process: u32, name: &str) {
    let command = format!("kill -{name} {process}");
    let status = Command::new("sh").args(["-c", &command]).status();
    assert!(status.expect("the shell cannot be started").success());
}

/// The holder that sent the orders which the cloud is delaying, and its token.
struct DelayedOrder {
    holder: usize,
    token: u64,
}

/// Submits a job and waits until the cloud delays an order of the current holder for it.
fn delay_an_order(service: &Service, job: &str) -> DelayedOrder {
    wait_for("a holder", || service.member_in(RENT_HOLDER_KEY).is_some());
    let holder = service
        .member_in(RENT_HOLDER_KEY)
        .expect("the duty has no holder");
    let token = current_token(service).expect("the duty has no token");
    service
        .backend
        .lock()
        .expect("lock is poisoned")
        .delayed_token = Some(token);
    service.submit((holder + 1) % 3, job);
    wait_for("an order in flight", || {
        service
            .backend
            .lock()
            .expect("lock is poisoned")
            .delayed_orders
            > 0
    });
    DelayedOrder { holder, token }
}

/// Waits until the cloud has received an order with a higher token.
fn wait_for_order_of_successor(service: &Service, token: u64) {
    wait_for("an order of the successor", || {
        let backend = service.backend.lock().expect("lock is poisoned");
        let mut provisioning = backend.orders.iter().filter(|order| order.duty == "rent");
        provisioning.any(|order| order.token > Some(token))
    });
}

/// Counts the orders with a token that the cloud received after an order with a higher one. Fails
/// if it accepted any of them.
fn refused_orders(service: &Service, token: u64) -> usize {
    let backend = service.backend.lock().expect("lock is poisoned");
    let of_provisioning = backend.orders.iter().filter(|order| order.duty == "rent");
    let later = of_provisioning.skip_while(|order| order.token <= Some(token));
    let stale: Vec<bool> = later
        .filter(|order| order.token == Some(token))
        .map(|order| order.refused)
        .collect();
    assert!(stale.iter().all(|refused| *refused), "{:?}", backend.orders);
    stale.len()
}

/// Output format of the subcommand `duties`.
#[derive(Clone, Copy, PartialEq)]
enum ReportFormat {
    Table,
    Json,
}

/// Runs the subcommand `duties`, which reports on duties.
fn run_duties_command(service: &Service, format: ReportFormat) -> Output {
    let mut command = program();
    command
        .arg("duties")
        .arg("--config")
        .arg(&service.settings[0]);
    if format == ReportFormat::Json {
        command.arg("--json");
    }
    command.output().expect("the program cannot be started")
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario whose steps share state"
)]
fn a_suspended_and_a_killed_holder_are_replaced() {
    let mut service = Service::start(Some(OPERATOR_SETTINGS));
    let suspended = delay_an_order(&service, "run-000001");
    let process = service.processes[suspended.holder].id();
    signal(process, "STOP");
    wait_for_order_of_successor(&service, suspended.token);
    // The delayed order reaches the cloud, and the first holder is resumed.
    service
        .backend
        .lock()
        .expect("lock is poisoned")
        .delayed_token = None;
    signal(process, "CONT");
    wait_for("the refusal of the late order", || {
        refused_orders(&service, suspended.token) > 0
    });
    let other = (suspended.holder + 1) % 3;
    service.wait_until_done(other, "run-000001");
    wait_for("a record of the refusal", || {
        let backend = service.backend.lock().expect("lock is poisoned");
        backend.store.keys.contains_key("g/d/l/rent/refused")
    });

    // Once the idle machines are terminated, the next job needs an order; its holder is killed.
    wait_for("the termination of idle machines", || {
        service
            .backend
            .lock()
            .expect("lock is poisoned")
            .cloud
            .machines
            .is_empty()
    });
    let killed = delay_an_order(&service, "run-000002");
    service.kill(killed.holder);
    wait_for_order_of_successor(&service, killed.token);
    service
        .backend
        .lock()
        .expect("lock is poisoned")
        .delayed_token = None;
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
    let report: serde_json::Value =
        serde_json::from_slice(&json.stdout).expect("the report is not JSON");
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

/// If the store is unreachable, refuses, is slow or sends invalid answers, the subcommand `duties`
/// must print one line with the store's address and fail within 30 s.
#[test]
fn the_report_fails_with_one_line_if_the_store_is_unavailable() {
    let malformed = serve(|_| (200, b"nonsense".to_vec()));
    let refusing = serve(|_| (503, vec![]));
    let slow = serve(|_| {
        std::thread::sleep(Duration::from_secs(60));
        (200, vec![])
    });
    let unreachable = std::net::SocketAddr::from(([127, 0, 0, 1], crate::http::free_port()));
    let folder = std::env::temp_dir().join(format!("gaugesill-query-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("cannot create the folder");
    for (number, store) in [malformed, refusing, slow, unreachable]
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
        settings["endpoints"]["state"] = store.to_string().into();
        std::fs::write(&path, settings.to_string()).expect("cannot write the settings");
        let started = Instant::now();
        let output = program().arg("duties").arg("--config").arg(&path).output();
        let output = output.expect("the program cannot be started");
        let error = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains(&store.to_string()), "{error}");
        assert!(started.elapsed() < Duration::from_secs(30));
    }
    let _ = std::fs::remove_dir_all(&folder);
}
