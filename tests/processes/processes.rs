//! Three processes, of which the leader is killed and restarted.

use crate::http::call;
use crate::service::{program, wait_for, Service};

#[test]
fn three_processes_survive_a_kill_of_the_leader() {
    let mut service = Service::start(None);
    let check = program()
        .args(["--check", "--config"])
        .arg(&service.settings[0])
        .output();
    assert!(check
        .expect("the program cannot be started")
        .status
        .success());
    let no_file = program()
        .args(["--config", "/nowhere.json"])
        .output()
        .expect("the program cannot be started");
    assert!(!no_file.status.success());
    let error = String::from_utf8_lossy(&no_file.stderr).to_string();
    assert_eq!(error.lines().count(), 1, "{error}");

    let malformed = call(service.fronts[1], "POST", "/work", b"x");
    assert_eq!(malformed.map(|answer| answer.0), Some(400));
    service.submit(1, "run-000001");
    service.wait_until_done(2, "run-000001");

    // The leader is killed; the others keep serving users until it has restarted.
    let leader = service
        .member_in("g/l/lease")
        .or(service.member_in("g/l/leader"));
    let leader = leader.expect("no member is on record as leader");
    service.kill(leader);
    let other = (leader + 1) % 3;
    service.submit(other, "run-000002");
    service.wait_until_done(other, "run-000002");
    service.processes[leader] = service.spawn(leader);
    service.submit(leader, "run-000003");
    service.wait_until_done(other, "run-000003");
    wait_for("a cancellation", || {
        let answer = call(
            service.fronts[leader],
            "POST",
            "/work/run-000003/cancel",
            b"",
        );
        answer.is_some_and(|(status, _)| status == 200)
    });
    let backend = service.backend.lock().expect("lock is poisoned");
    for id in ["run-000001", "run-000002", "run-000003"] {
        for task in 0..3 {
            assert!(
                backend.starts.contains_key(&format!("{id}/{task}")),
                "{id}/{task} was never started"
            );
        }
    }
}
