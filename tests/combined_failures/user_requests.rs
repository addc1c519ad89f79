//! Answers to users while writes are lost or late, and from controllers that are cut off.

use ciborium::Value;
use gaugesill::controller::{Controller, Timestamp};
use gaugesill::net::{Action, Event, Listener, Outcome, Request};
use gaugesill::wire;

use crate::common::{job_reply, submission, Sim, WriteBehavior};
use crate::support::{array, with_field};

/// Ids of the jobs, with their numbers of tasks.
const JOBS: [(&str, u32); 3] = [("run-000001", 2), ("run-000002", 1), ("run-000003", 2)];

/// Users poll all controllers and repeat their submissions within milliseconds after a job was
/// accepted, done or cancelled, while answers of the store are lost or its transactions are
/// applied late: no controller may answer with an older state than another one has reported.
#[test]
fn reported_states_never_regress_with_lost_and_late_writes() {
    for case in 0..14u64 {
        let mut sim = Sim::new();
        sim.faults.writes = match case % 3 {
            0 => WriteBehavior::Unanswered { one_in: 2 },
            1 => WriteBehavior::Late {
                one_in: 3,
                delay_ms: 2000 + 700 * case,
            },
            _ => WriteBehavior::Answered,
        };
        sim.run(1000);
        for (controller, (id, tasks)) in JOBS.into_iter().enumerate() {
            sim.submit(controller, &array(id, tasks), 3000);
        }
        let cancel_at_ms = 4000 + 700 * case;
        let mut polls = Vec::new();
        for round in 0..3500u64 {
            if round * 10 == cancel_at_ms {
                sim.cancel((case % 3) as usize, "run-000001");
                sim.cancel(1, "run-000003");
            }
            let trace_length = sim.log.trace.len();
            sim.run(10);
            let has_new_event = sim.log.trace.len() > trace_length;
            if has_new_event || round % 40 == 0 {
                poll_and_resubmit_all(&mut sim, &mut polls);
            }
        }
        sim.faults.writes = WriteBehavior::Answered;
        sim.finish_and_check(120_000);
        let is_answered = |slot: &&usize| sim.answer(**slot).is_some_and(|reply| reply.code == 200);
        let answered = polls.iter().filter(is_answered).count();
        assert!(answered * 2 > polls.len(), "most polls must be answered");
    }
}

/// Polls and resubmits each job at each controller; appends the slots of the polls to `polls`.
fn poll_and_resubmit_all(sim: &mut Sim, polls: &mut Vec<usize>) {
    for controller in 0..3 {
        for (id, tasks) in JOBS {
            polls.push(sim.poll(controller, id));
            sim.submit(controller, &array(id, tasks), 3000);
            sim.run(1);
        }
    }
}

/// Actions of a controller when a user polls a job that it does not know.
fn poll_unknown_job(controller: &mut Controller, at: Timestamp, connection: usize) -> Vec<Action> {
    let request = Request {
        method: "GET".into(),
        path: "/work/run-000077".into(),
        body: vec![],
    };
    let event = Event::Request {
        connection,
        listener: Listener::Front,
        request,
    };
    controller.handle_event(at, event);
    controller.take_actions()
}

/// Tags of the calls that read the current state of the store.
fn read_tags(actions: &[Action]) -> Vec<u64> {
    let tag_of_read = |action: &Action| match action {
        Action::Call { tag, path, .. } if path.ends_with("holdMs=0") => Some(*tag),
        _ => None,
    };
    actions.iter().filter_map(tag_of_read).collect()
}

/// A read that was sent before a poll arrived must not answer the poll, even within the same
/// millisecond, as the state may have changed in between.
#[test]
fn no_poll_is_answered_from_an_earlier_read() {
    let mut sim = Sim::new();
    sim.run(3000);
    let at = Timestamp {
        steady: sim.now,
        wall: 1_000_000 + sim.now,
    };
    let revision = sim.store.revision;
    let controller = sim.controllers[1]
        .as_mut()
        .expect("controller 1 is not running");
    let first = read_tags(&poll_unknown_job(controller, at, 901));
    assert_eq!(first.len(), 1, "the first poll must trigger a read at once");
    let second = read_tags(&poll_unknown_job(controller, at, 902));
    assert!(
        second.is_empty(),
        "the second poll must wait for the next read"
    );
    let body = wire::encode(&wire::WatchReply {
        revision,
        changes: vec![],
    });
    let outcome = Outcome::Response { status: 200, body };
    let tag = first[0];
    controller.handle_event(at, Event::CallFinished { tag, outcome });
    // The read does not contain the job, so the controller looks up the job of the poll that the
    // read covers.
    let is_lookup =
        |action: &&Action| matches!(action, Action::Call { path, .. } if path.starts_with("/kv/"));
    let actions = controller.take_actions();
    let lookups = actions.iter().filter(is_lookup).count();
    assert_eq!(lookups, 1, "only the first poll may be looked up");
}

/// A controller that reaches neither the store nor any other controller reports itself
/// unhealthy, since it could not give users useful answers.
#[test]
fn an_isolated_controller_is_unhealthy() {
    let mut sim = Sim::new();
    sim.run(3000);
    let leader = sim.leader().expect("no controller leads");
    sim.faults.cut_from_store.insert(leader);
    sim.faults.cut_from_peers.insert(leader);
    sim.run(6000);
    let healthy = |sim: &Sim| [0, 1, 2].map(|controller| sim.is_healthy(controller));
    let mut all_but_leader = [true; 3];
    all_but_leader[leader] = false;
    assert_eq!(healthy(&sim), all_but_leader);
    sim.faults.cut_from_peers.clear();
    sim.heal_store();
    sim.run(3000);
    assert_eq!(healthy(&sim), [true; 3]);
    // In an outage that affects all controllers, all of them stay healthy.
    sim.faults.store_outage = true;
    sim.run(6000);
    assert_eq!(healthy(&sim), [true; 3]);
}

/// A repeated submission is answered with the job's state, the cancellation of a finished job
/// with `done`, a job that can never run with 422 and one that lacks a field with 400; none of
/// them with 201.
#[test]
fn unusual_requests_get_their_status_codes() {
    let mut sim = Sim::started();
    sim.submit(0, &array("run-000001", 1), 1000);
    sim.submit(0, &array("run-000002", 1), 60_000);
    sim.run(14_000);
    let mut ask = |controller: usize, job: &Value| {
        let slot = sim.send_user_request(controller, "POST", "/work", wire::encode(job));
        sim.run(300);
        sim.answer(slot).expect("no answer within 300 ms")
    };
    for controller in 0..3 {
        assert_eq!(
            ask(controller, &array("run-000002", 1)),
            job_reply(200, "running")
        );
        assert_eq!(
            ask(controller, &array("run-000001", 1)),
            job_reply(200, "done")
        );
        let large = submission("run-000009", "sweep", 1, 64.0, "normal");
        assert_eq!(ask(controller, &large).code, 422);
        let unknown_team = with_field(array("run-000010", 1), "owner", "nobody".into());
        assert_eq!(ask(controller, &unknown_team).code, 422);
        let without_field = with_field(array("run-000011", 1), "loaner", Value::Null);
        assert_eq!(ask(controller, &without_field).code, 400);
    }
    for controller in 0..3 {
        let slot = sim.cancel(controller, "run-000001");
        sim.run(300);
        assert_eq!(sim.answer(slot), Some(job_reply(200, "done")));
    }
    sim.finish(120_000);
    sim.assert_no_violations();
}
