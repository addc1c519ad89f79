//! Controllers that are cut off from the store, the agents or each other, partitioned zones, and
//! outages of the store.

use ciborium::Value;
use gaugesill::controller::{Controller, Timestamp};
use gaugesill::net::{Action, Event, Listener, Request};
use gaugesill::peer_protocol::{PeerStatus, STATUS_PATH};
use gaugesill::settings::OperatorSettings;
use prost::Message;

use crate::common::{assert_kept_trace, job_reply, settings, submission, Agent, Sim};
use crate::support::with_two_jobs;

/// A cancellation is committed while the leader is cut off from the store. If the leader kept
/// answering agents, the job's tasks would run for longer than `cancel_s`. Its delayed writes
/// to the store must fail.
#[test]
fn a_leader_cut_off_from_the_store_is_replaced() {
    for cut_after in [6000, 9000, 12_000] {
        let mut sim = with_two_jobs();
        sim.run(cut_after);
        let leader = sim.leader().expect("no controller leads");
        sim.faults.cut_from_store.insert(leader);
        sim.run(1000);
        let slot = sim.cancel((leader + 1) % 3, "run-000001");
        sim.run(15_000);
        assert!(sim.answer(slot).is_some());
        assert!(
            sim.leader().is_some_and(|other| other != leader)
                || sim.controllers[(leader + 1) % 3].is_some()
        );
        sim.heal_store();
        sim.finish(150_000);
        sim.assert_no_violations();
    }
}

/// A leader that no agent can reach resigns, so that a reachable controller is elected.
#[test]
fn a_leader_cut_off_from_the_agents_resigns() {
    let mut sim = with_two_jobs();
    sim.run(9000);
    let leader = sim.leader().expect("no controller leads");
    sim.faults.cut_from_agents.insert(leader);
    assert!(sim.run_until(60_000, |sim| sim
        .leader()
        .is_some_and(|other| other != leader)));
    sim.finish(120_000);
    sim.assert_no_violations();
    assert_kept_trace("deposed-leader", &sim.log.trace);
}

/// In an outage that affects all controllers, agents keep their tasks, users get a 503 with
/// Retry-After at once, and all controllers stay healthy for the load balancer.
#[test]
fn jobs_survive_an_outage_of_the_store() {
    let mut sim = Sim::started();
    sim.submit(
        0,
        &submission("run-000001", "sweep", 2, 4.0, "normal"),
        60_000,
    );
    sim.run(15_000);
    sim.faults.store_outage = true;
    sim.run(6000);
    let slot = sim.submit(
        1,
        &submission("run-000009", "sweep", 1, 1.0, "normal"),
        1000,
    );
    sim.run(500);
    let answer = sim.users.answers[slot]
        .clone()
        .expect("no answer within 500 ms");
    assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
    sim.run(18_000);
    assert!((0..3).all(|controller| sim.is_healthy(controller)));
    sim.end_outage();
    sim.run(2000);
    sim.submit(
        1,
        &submission("run-000009", "sweep", 1, 1.0, "normal"),
        1000,
    );
    sim.finish(120_000);
    let killed: u64 = sim.agents.values().map(|agent| agent.killed_tasks).sum();
    assert_eq!(killed, 0);
    sim.assert_no_violations();
}

/// A controller that the store refuses, while it serves the others, becomes unhealthy and
/// forwards requests.
#[test]
fn a_controller_that_only_the_store_refuses_forwards_requests() {
    let mut sim = Sim::new();
    sim.run(3000);
    let leader = sim.leader().expect("no controller leads");
    let refused = (leader + 1) % 3;
    sim.faults.cut_from_store.insert(refused);
    sim.run(5000);
    assert!(!sim.is_healthy(refused));
    let slot = sim.submit(
        refused,
        &submission("run-000001", "sweep", 1, 1.0, "normal"),
        1000,
    );
    sim.run(300);
    assert_eq!(sim.answer(slot), Some(job_reply(201, "pending")));
    sim.heal_store();
    sim.run(3000);
    assert!(sim.is_healthy(refused));
}

/// A leader is cut off from the store and the other controllers, but not from its agents: it
/// must not keep them under its epoch for longer than `cancel_s` allows, and no task may run
/// twice.
#[test]
fn a_leader_that_reaches_only_agents_stops_cancelled_tasks_in_time() {
    for cut_after in [6000, 7500, 9000, 12_000] {
        let mut sim = Sim::started();
        let array = submission("run-000001", "sweep", 3, 4.0, "best_effort");
        sim.submit(0, &array, 100_000);
        sim.submit(
            0,
            &submission("run-000002", "group", 2, 6.0, "normal"),
            30_000,
        );
        sim.run(cut_after);
        let leader = sim.leader().expect("no controller leads");
        sim.faults.cut_from_store.insert(leader);
        sim.faults.cut_from_peers.insert(leader);
        sim.trace_event(format!("c{leader} reaches only its agents"));
        sim.run(4000);
        let slot = sim.cancel((leader + 1) % 3, "run-000001");
        assert!(sim.run_until(5000, |sim| sim.answer(slot).is_some()));
        assert_eq!(sim.answer(slot).map(|reply| reply.code), Some(200));
        sim.run(70_000);
        let is_stopped = |sim: &Sim| {
            let agents = sim.agents.values();
            let mut live = agents.flat_map(Agent::live_tasks);
            !live.any(|task| task.name.starts_with("run-000001/"))
        };
        assert!(is_stopped(&sim), "{}", sim.trace_text());
        sim.faults.cut_from_peers.clear();
        sim.heal_store();
        sim.run(5000);
        sim.finish_and_check(150_000);
    }
}

/// A submission of a gang that is restricted to a zone.
fn gang_in_zone(id: &str, zone: &str) -> Value {
    let mut gang = submission(id, "group", 2, 6.0, "normal");
    for (name, value) in gang.as_map_mut().expect("submission is not a map") {
        if name.as_text() == Some("hall") {
            *value = zone.into();
        }
    }
    gang
}

/// A zone with the leader, another controller or none in it is cut off, for less than an agent's
/// lease and for longer. No rule may be broken on either side, nor when delayed messages arrive
/// after the partition.
///
/// Guards also against this fault: new machines whose agents first reported to a controller
/// behind the partition were known to the leader only from a direct call, did not have its epoch
/// yet, and were terminated as idle, one after the other.
#[test]
fn a_zone_is_partitioned_with_and_without_a_controller() {
    for case in 0..18u64 {
        let mut sim = Sim::started();
        sim.submit(0, &gang_in_zone("run-000001", "a"), 15_000);
        sim.submit(0, &gang_in_zone("run-000002", "b"), 15_000);
        sim.submit(
            0,
            &submission("run-000003", "sweep", 3, 2.0, "best_effort"),
            9000,
        );
        sim.run(9000 + 900 * (case / 6));
        let leader = sim.leader().expect("no controller leads");
        sim.cut_zone(
            "b",
            [Some(leader), Some((leader + 1) % 3), None][case as usize % 3],
        );
        sim.run(3000);
        let outside = (leader + 2) % 3;
        let slot = sim.cancel(outside, "run-000003");
        sim.run(if case % 2 == 0 { 22_000 } else { 63_000 });
        assert!(sim.answer(slot).is_some_and(|reply| reply.code == 200));
        sim.heal_zone();
        sim.run(5000);
        sim.finish(150_000);
        assert!(
            sim.cloud.rented_total <= 8,
            "{case}: {} rented",
            sim.cloud.rented_total
        );
        sim.assert_no_violations();
        sim.assert_all_jobs_known();
        if case == 3 {
            assert_kept_trace("cut-zone", &sim.log.trace);
        }
    }
}

/// The addresses at which a controller requests the status of its peers on a tick.
fn status_requests_on_tick(controller: &mut Controller, at: Timestamp) -> Vec<String> {
    controller.tick(at);
    let address_of = |action| match action {
        Action::Call { address, path, .. } if path == STATUS_PATH => Some(address.to_string()),
        _ => None,
    };
    let actions = controller.take_actions().into_iter();
    let mut addresses: Vec<String> = actions.filter_map(address_of).collect();
    addresses.sort();
    addresses
}

/// A controller that has just sent its status is not asked for it, so of two controllers only
/// one sends requests: with a small share of a processor every call counts.
#[test]
fn only_one_of_two_controllers_requests_the_status() {
    let settings = settings(0, r#"{"name":"t"}"#);
    let mut controller = Controller::new(settings, OperatorSettings::default(), 1);
    let at = |ms: u64| Timestamp {
        steady: ms,
        wall: 1_000_000 + ms,
    };
    let first = status_requests_on_tick(&mut controller, at(1));
    assert_eq!(first, ["10.0.0.2:81", "10.0.0.3:81"]);
    let status = PeerStatus {
        member: "c1".into(),
        store_reachable: true,
        ..PeerStatus::default()
    };
    let request = Request {
        method: "POST".into(),
        path: STATUS_PATH.into(),
        body: status.encode_to_vec(),
    };
    let event = Event::Request {
        connection: 1,
        listener: Listener::Peers,
        request,
    };
    controller.handle_event(at(1500), event);
    assert_eq!(
        status_requests_on_tick(&mut controller, at(1700)),
        ["10.0.0.3:81"]
    );
    let later = status_requests_on_tick(&mut controller, at(2800));
    assert_eq!(
        later.len(),
        2,
        "a status must be requested again when it has expired"
    );
}
