//! Two troubles at once: each test brings about one of the meetings that the
//! operators name (the table in `docs/design.md`). The stand-ins break a test when
//! a rule is broken: they look at every start, at what users are told on every
//! controller, and at what is left of cancelled jobs.

mod common;

use ciborium::Value;
use common::{assert_kept_trace, job_reply, submission, Sim, Writes};
use gaugesill::controller::Timestamp;
use gaugesill::net::{Action, Event, Listener, Outcome, Request};
use gaugesill::wire;

fn with(mut v: Value, changes: &[(&str, Value)]) -> Value {
    if let Value::Map(m) = &mut v {
        for (k, x) in m.iter_mut() {
            if let Some(c) = changes.iter().find(|c| k.as_text() == Some(c.0)) {
                *x = c.1.clone();
            }
        }
    }
    v
}

fn array(id: &str, tasks: u32) -> Value {
    submission(id, "sweep", tasks, 4.0, "best_effort")
}

/// Tasks of a job that are on machines.
fn left(sim: &Sim, id: &str) -> usize {
    let agents = sim.agents.values();
    let live = agents.flat_map(|agent| agent.live_tasks());
    live.filter(|task| task.name.rsplit_once('/').is_some_and(|(job, _)| job == id))
        .count()
}

fn cancel(sim: &mut Sim, controller: usize, id: &str) -> usize {
    sim.ask(controller, "POST", &format!("/work/{id}/cancel"), vec![])
}

/// Two long arrays that run; the leader.
fn two_long(sim: &mut Sim) -> usize {
    sim.run(1000);
    sim.submit(0, &array("run-000001", 3), 400_000);
    sim.submit(0, &array("run-000002", 3), 100_000);
    sim.run(10_000);
    assert_eq!(left(sim, "run-000001") + left(sim, "run-000002"), 6);
    sim.leader().expect("a leader")
}

/// The store refuses the leader; after a while another controller confirms to a
/// user that the first of two long jobs is cancelled. The leader and that other one.
fn refused_then_called_off(sim: &mut Sim, after: u64) -> (usize, usize) {
    let l = two_long(sim);
    let other = (l + 1) % 3;
    sim.faults.refused_by_store.insert(l);
    sim.note(format!("c{l} is refused"));
    sim.run(after);
    let slot = cancel(sim, other, "run-000001");
    assert!(sim.until(400, |sim| sim.answer(slot).is_some()));
    assert_eq!(sim.answer(slot), Some(job_reply(200, "withdrawn")));
    (l, other)
}

/// It is out for everybody for 70 s; the leader is refused for the first twelve of them.
fn long_outage(sim: &mut Sim) {
    sim.faults.store_outage = true;
    sim.note("the state service is out".into());
    sim.run(12_000);
    sim.faults.refused_by_store.clear();
    sim.run(58_000);
    assert_eq!(left(sim, "run-000001"), 0, "{}", sim.trace_text());
}

/// Afterwards all that was not cancelled is done, and everybody knows.
fn all_is_well(sim: &mut Sim) {
    sim.faults.cut_from_peers.clear();
    sim.end_outage();
    sim.finish(150_000);
    sim.assert_sound();
    sim.assert_known();
}

/// The gap: the store refuses the leader alone, another controller
/// confirms a cancellation, then the service is out for everybody for longer than
/// `cancel_s`. The tasks are gone in time all the same, whether the leader can be
/// told or not; and where it can, what was not cancelled goes on throughout.
#[test]
fn a_leader_refused_alone_and_then_an_outage() {
    for k in 0..6usize {
        let mut sim = Sim::new();
        // Clocks at their bounds: the leader's slow, another's fast, and reversed.
        sim.clocks.drift_per_10_000.insert(k % 3, 5);
        // In the later ones the leader can't be told.
        if k >= 3 {
            sim.faults.cut_from_peers.insert(0);
        }
        let (l, _) = refused_then_called_off(&mut sim, 1400 - 200 * k as u64);
        assert_eq!(l, 0);
        sim.run(200);
        long_outage(&mut sim);
        let killed: u64 = sim.agents.values().map(|agent| agent.killed_tasks).sum();
        if k < 3 {
            assert_eq!(killed, 0, "{}", sim.trace_text());
            assert_eq!(left(&sim, "run-000002"), 3, "the other goes on");
        } else {
            assert_eq!(killed, 6, "what can't be told apart ends, too");
        }
        all_is_well(&mut sim);
        if k == 0 {
            assert_kept_trace("gap", &sim.log.trace);
        }
    }
}

/// The same, and the controller that confirmed the cancellation is killed before it could
/// tell, and back within a second: what it then says of itself is no proof, since its earlier
/// life told what it does not know of.
#[test]
fn an_outage_with_a_restarted_peer_ends_the_work() {
    for k in 0..4u64 {
        let mut sim = Sim::new();
        let (_, other) = refused_then_called_off(&mut sim, 200);
        sim.faults.store_outage = true;
        sim.crash(other, 100 + 250 * k);
        long_outage(&mut sim);
        all_is_well(&mut sim);
    }
}

/// The same with a leader that was cut off for longer before, so that its grant has run out:
/// its successor knows of the cancellation but can't write; and with the old leader killed
/// and back within a second inside the outage.
#[test]
fn an_outage_with_a_successor_that_cannot_write() {
    for k in 0..6u64 {
        let mut sim = Sim::new();
        let (l, _) = refused_then_called_off(&mut sim, 2500 + 600 * k);
        if k >= 4 {
            // Nor does the old leader hear of it.
            sim.faults.cut_from_peers.insert(l);
        }
        sim.faults.store_outage = true;
        sim.run(3000);
        if k % 2 == 1 {
            sim.crash(l, 400);
        }
        long_outage(&mut sim);
        all_is_well(&mut sim);
    }
}

/// A cancellation told by the leader itself, and one that it handed on, a moment
/// before an outage: its own state knows of both without a read.
#[test]
fn a_single_controller_knows_the_cancellations_it_told() {
    for refused in [false, true] {
        let mut sim = Sim::new();
        let l = two_long(&mut sim);
        if refused {
            sim.faults.refused_by_store.insert(l);
            sim.run(2600);
        }
        let slot = cancel(&mut sim, l, "run-000001");
        assert!(sim.until(800, |sim| sim.answer(slot).is_some()));
        assert_eq!(sim.answer(slot), Some(job_reply(200, "withdrawn")));
        sim.faults.store_outage = true;
        sim.faults.cut_from_peers.insert(l);
        sim.run(4000);
        assert_eq!(left(&sim, "run-000001"), 0, "{}", sim.trace_text());
        sim.faults.store_outage = false;
        sim.faults.refused_by_store.clear();
        sim.faults.cut_from_peers.clear();
        sim.finish(150_000);
        sim.assert_sound();
    }
}

/// A leader whose reads lag places a job, its starts go out, it gives its leadership
/// up, and takes it again: its second term must know of those places.
#[test]
fn a_second_term_knows_the_changes_of_the_first() {
    for blind_ms in [300, 900, 2000] {
        let mut sim = Sim::new();
        sim.cloud.capacity = 2;
        sim.run(1000);
        sim.submit(0, &array("run-000001", 3), 20_000);
        sim.run(5000);
        let l = sim.leader().expect("a leader");
        sim.faults.without_reads.insert(l);
        assert!(sim.until(2000, |sim| left(sim, "run-000001") > 0));
        // A report with a token that nobody gave makes it resign.
        let body = wire::encode(&wire::AgentStatus {
            machine: "m-009999".into(),
            endpoint: "10.1.0.1:9".into(),
            machine_type: "f8".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            serial: 1,
            epoch: 9,
            interruption_in_s: None,
            tasks: vec![],
        });
        sim.ask(l, "POST", "/checkin", body);
        assert_eq!(sim.leader(), None);
        sim.note(format!("c{l} resigns"));
        sim.run(blind_ms);
        sim.faults.without_reads.clear();
        sim.finish(120_000);
        sim.assert_sound();
        let starts: Vec<&String> = sim
            .log
            .trace
            .iter()
            .filter(|l| l.contains("starts on"))
            .collect();
        assert_eq!(starts.len(), 3, "{}", sim.trace_text());
    }
}

/// Users ask at all controllers, within milliseconds, and repeat the submission,
/// right after a job was accepted, ended or cancelled, while answers of the state
/// service are lost or its transactions carried out late: nobody says anything older.
#[test]
fn answers_never_go_back_with_lost_and_late_writes() {
    for k in 0..14u64 {
        let mut sim = Sim::new();
        sim.faults.writes = match k % 3 {
            0 => Writes::Unanswered { one_in: 2 },
            1 => Writes::Late {
                one_in: 3,
                delay_ms: 2000 + 700 * k,
            },
            _ => Writes::Answered,
        };
        sim.run(1000);
        let mut told: Vec<(usize, &str, usize)> = Vec::new();
        let jobs = [("run-000001", 2), ("run-000002", 1), ("run-000003", 2)];
        for (i, (id, n)) in jobs.iter().enumerate() {
            sim.submit(i, &array(id, *n), 3000);
        }
        let called = 4000 + 700 * k;
        for ms in 0..3500u64 {
            if ms * 10 == called {
                cancel(&mut sim, (k % 3) as usize, "run-000001");
                cancel(&mut sim, 1, "run-000003");
            }
            // Close looks at whatever was just answered.
            let stirred = sim.log.trace.len();
            sim.run(10);
            if sim.log.trace.len() > stirred || ms % 40 == 0 {
                for n in 0..3 {
                    for (id, tasks) in jobs {
                        let path = format!("/work/{id}");
                        told.push((n, id, sim.ask(n, "GET", &path, vec![])));
                        sim.submit(n, &array(id, tasks), 3000);
                        sim.run(1);
                    }
                }
            }
        }
        sim.faults.writes = Writes::Answered;
        sim.finish(120_000);
        sim.assert_sound();
        sim.assert_known();
        let sure = told
            .iter()
            .filter(|t| sim.answer(t.2).is_some_and(|reply| reply.code == 200));
        assert!(sure.count() * 2 > told.len(), "most are answered");
    }
}

/// A read that was asked for before a question came does not answer it, even within
/// the same millisecond.
#[test]
fn no_poll_is_answered_with_an_older_state() {
    let mut sim = Sim::new();
    sim.run(3000);
    let at = Timestamp {
        steady: sim.now,
        wall: 1_000_000 + sim.now,
    };
    let controller = sim.controllers[1].as_mut().expect("it runs");
    let mut ask = |connection: usize| {
        let request = Request {
            method: "GET".into(),
            path: "/work/run-000077".into(),
            body: vec![],
        };
        let listener = Listener::Front;
        controller.handle_event(
            at,
            Event::Request {
                connection,
                listener,
                request,
            },
        );
        controller.take_actions()
    };
    let reads = |actions: &[Action]| -> Vec<u64> {
        let read = |a: &Action| match a {
            Action::Call { tag, path, .. } if path.ends_with("holdMs=0") => Some(*tag),
            _ => None,
        };
        actions.iter().filter_map(read).collect()
    };
    let first = reads(&ask(901));
    assert_eq!(first.len(), 1, "a question is asked for at once");
    assert!(reads(&ask(902)).is_empty(), "the second waits for its turn");
    let revision = sim.store.revision;
    let body = wire::encode(&wire::WatchReply {
        revision,
        changes: vec![],
    });
    let outcome = Outcome::Answer { status: 200, body };
    let tag = first[0];
    let controller = sim.controllers[1].as_mut().expect("it runs");
    controller.handle_event(at, Event::Reply { tag, outcome });
    // Neither is known, so what was answered is looked up.
    let looked = |a: &Action| matches!(a, Action::Call { path, .. } if path.starts_with("/kv/"));
    let n = controller
        .take_actions()
        .iter()
        .filter(|a| looked(a))
        .count();
    assert_eq!(n, 1, "the first only");
}

/// Jobs are cancelled in the seconds in which the work changes hands, and once more
/// before a machine is heard by the new leader.
#[test]
fn cancellation_while_leadership_changes() {
    for k in 0..30u64 {
        let mut sim = Sim::new();
        let l = two_long(&mut sim);
        let other = (l + 1) % 3;
        if k % 2 == 0 {
            sim.crash(l, if k % 4 == 0 { 300 } else { 4000 });
            sim.run(150 * k);
        }
        let slot = cancel(&mut sim, other, "run-000001");
        sim.run(1000 + 31 * k);
        if k % 2 == 1 {
            sim.crash(l, 200);
        }
        assert!(sim.until(9000, |sim| sim.answer(slot).is_some()));
        sim.cancel_until_answered("run-000001");
        sim.run(30_000);
        assert_eq!(left(&sim, "run-000001"), 0, "{}", sim.trace_text());
        sim.finish(150_000);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// Copies of reports are kept, and reach every controller just as the next leader
/// begins, or once it has acted; also reports of earlier incarnations and attempts.
#[test]
fn old_reports_reach_the_next_leader() {
    for k in 0..16u64 {
        let mut sim = Sim::new();
        sim.faults.copies_to_next_leader_after_ms = Some([1, 5, 60, 700, 2600][k as usize % 5]);
        sim.run(1000);
        sim.submit(0, &array("run-000001", 3), 4000);
        let gang = submission("run-000002", "group", 2, 6.0, "normal");
        sim.submit(1, &gang, 9000);
        if k % 2 == 0 {
            // One that gives up waiting and is started again under its attempt.
            sim.faults.image_pull_ms.insert("m-000001".into(), 50_000);
        }
        sim.run(5500 + 650 * k);
        for _ in 0..3 {
            if let Some(machine) = sim.agents.keys().nth(k as usize % 2).cloned() {
                if k % 3 == 0 {
                    sim.restart_agent(&machine);
                }
            }
            if let Some(l) = sim.leader() {
                sim.crash(l, 500);
            }
            sim.run(4000 + 17_000 * (k % 3));
        }
        sim.finish(200_000);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// Leaders change ten times in two minutes, also inside an outage, while jobs are
/// cancelled and copies of reports come late.
#[test]
fn ten_leaders_in_two_minutes() {
    for k in 0..3u64 {
        let mut sim = Sim::new();
        sim.faults.heartbeat_copies_after_ms = vec![900, 11_000];
        let mut l = two_long(&mut sim);
        for i in 0..10u64 {
            if i == 4 {
                sim.faults.store_outage = true;
            }
            if i == 6 {
                sim.end_outage();
            }
            let id = format!("run-00000{}", 1 + i / 7);
            if i == 1 || i == 7 {
                // The leader ends before it can act on it.
                cancel(&mut sim, (l + 1) % 3, &id);
                sim.run(4);
            }
            sim.crash(l, [40, 700, 3000][((i + k) % 3) as usize]);
            sim.run(11_000 + 300 * k);
            if i == 1 || i == 7 {
                sim.cancel_until_answered(&id);
            }
            l = sim.leader().unwrap_or((l + 1) % 3);
        }
        sim.finish(200_000);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// All controllers are away for longer than a lease; then all end again, and one
/// returns within a second.
#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    for k in 0..4u64 {
        let mut sim = Sim::new();
        two_long(&mut sim);
        for n in 0..3 {
            sim.crash(n, 40_000 + 500 * n as u64);
        }
        sim.run(41_000 + 400 * k);
        for n in 0..3 {
            sim.crash(n, if n as u64 == k % 3 { 200 } else { 5000 });
        }
        sim.run(8000);
        sim.cancel_until_answered("run-000001");
        sim.finish(200_000);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// New machines are up within a second and get work at once while writes lag, and
/// the leader ends.
#[test]
fn new_machines_at_once_while_writes_lag() {
    for k in 0..12u64 {
        let mut sim = Sim::new();
        sim.cloud.boot_ms = 400 + 150 * (k % 4);
        sim.faults.writes = Writes::Late {
            one_in: 2 + k % 2,
            delay_ms: 2500 + 800 * (k % 5),
        };
        sim.run(1000);
        sim.submit(0, &array("run-000001", 4), 6000);
        let gang = submission("run-000002", "group", 2, 6.0, "high");
        sim.submit(1, &gang, 9000);
        sim.run(700 + 350 * k);
        if let Some(l) = sim.leader() {
            sim.crash(l, if k % 2 == 0 { 60 } else { 3000 });
        }
        sim.run(12_000);
        // Their users ask until they are told.
        for n in 0..3 {
            sim.submit(n, &array("run-000001", 4), 6000);
            sim.submit(n, &gang, 9000);
        }
        sim.faults.writes = Writes::Answered;
        sim.finish(150_000);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// The team is at its limit while jobs are cancelled whose machines are cut off,
/// hang or hear nothing, and the leader changes: what may run counts until it is
/// proven gone.
#[test]
fn the_team_limit_holds_with_unreachable_machines() {
    for k in 0..12u64 {
        let mut sim = Sim::with_team(r#"{"name":"t","cpus_max":16.0}"#, 16.0);
        sim.run(1000);
        sim.submit(0, &array("run-000001", 2), 200_000);
        sim.submit(0, &array("run-000002", 2), 20_000);
        sim.submit(0, &array("run-000003", 4), 5000);
        sim.run(10_000);
        let of = |sim: &Sim, id: &str| -> Vec<String> {
            let has = |w: &&common::Agent| w.tasks.iter().any(|t| t.name.starts_with(id));
            sim.agents
                .values()
                .filter(has)
                .map(|w| w.machine.clone())
                .collect()
        };
        for machine in of(&sim, "run-000001/") {
            match k % 3 {
                0 => drop(sim.faults.isolated_machines.insert(machine)),
                1 => sim.hang(&machine, 25_000),
                _ => drop(sim.faults.unable_to_receive.insert(machine)),
            }
        }
        let l = sim.leader().expect("a leader");
        if k % 2 == 0 {
            sim.crash(l, 3000);
            sim.run(400 * k);
        }
        let slot = cancel(&mut sim, (l + 1) % 3, "run-000001");
        sim.run(300);
        assert!(sim.answer(slot).is_some());
        if k % 2 == 1 {
            sim.crash(l, 500);
        }
        sim.run(45_000);
        sim.heal_machines();
        sim.faults.unable_to_receive.clear();
        sim.finish(200_000);
        assert_eq!(left(&sim, "run-000001"), 0);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// A cancelled job's machine hangs, for less than a lease and for longer: its tasks
/// do not go on.
#[test]
fn a_machine_hangs_as_its_job_is_cancelled() {
    for (k, ms) in [5000, 20_000, 34_000, 37_000, 58_000, 80_000]
        .into_iter()
        .enumerate()
    {
        let mut sim = Sim::new();
        let l = two_long(&mut sim);
        let machines: Vec<String> = sim.agents.keys().cloned().collect();
        for machine in machines.iter().take(1 + k % 3) {
            sim.hang(machine, ms);
        }
        let slot = cancel(&mut sim, (l + k) % 3, "run-000001");
        sim.run(300);
        assert_eq!(sim.answer(slot).map(|reply| reply.code), Some(200));
        if k % 2 == 1 {
            sim.crash(l, 700);
        }
        sim.finish(250_000);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// A leader ends while machines with long tasks can't be reached, or don't hear the
/// new leader's answers.
#[test]
fn a_leader_ends_while_machines_are_out_of_reach() {
    for k in 0..6u64 {
        let mut sim = Sim::new();
        let l = two_long(&mut sim);
        let machine = sim.agents.keys().next().cloned().expect("a machine");
        match k % 3 {
            0 => sim.faults.unable_to_receive.insert(machine),
            1 => sim.faults.isolated_machines.insert(machine),
            _ => sim.faults.unable_to_send.insert(machine),
        };
        sim.crash(l, if k < 3 { 100 } else { 3000 });
        sim.run(30_000 + 10_000 * k);
        sim.cancel_until_answered("run-000001");
        sim.run(5000);
        sim.heal_machines();
        sim.faults.unable_to_receive.clear();
        sim.faults.unable_to_send.clear();
        sim.finish(250_000);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// A machine reaches no controller, while direct commands reach it: it looks alive
/// to whoever asks, but its lease runs out again and again with all that is on it. It
/// gets no work.
#[test]
fn a_machine_that_reaches_no_controller() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 2;
    sim.run(1000);
    sim.submit(0, &array("run-000001", 4), 50_000);
    sim.run(10_000);
    sim.faults.unable_to_send.insert("m-000000".into());
    sim.note("m-000000 reaches nobody".into());
    sim.finish(140_000);
    sim.assert_sound();
    assert_kept_trace("mute-machine", &sim.log.trace);
}

/// Jobs bound to one zone, arrays too, and spread ones, lose machines and the leader.
#[test]
fn zones_are_kept_while_machines_are_lost() {
    for k in 0..12u64 {
        let mut sim = Sim::new();
        sim.run(1000);
        let yes = Value::Bool(true);
        let one = with(array("run-000001", 3), &[("samePlace", yes.clone())]);
        sim.submit(0, &one, 12_000);
        let gang = submission("run-000002", "group", 2, 6.0, "normal");
        sim.submit(0, &with(gang, &[("samePlace", yes.clone())]), 12_000);
        sim.submit(
            1,
            &with(array("run-000003", 3), &[("scatter", yes)]),
            12_000,
        );
        sim.run(8000 + 500 * k);
        let machine = sim.agents.keys().nth(k as usize % 3).cloned();
        if let Some(machine) = machine {
            sim.agents.remove(&machine);
            sim.cloud.machines.get_mut(&machine).expect("listed").up_at = u64::MAX;
            sim.note(format!("{machine} dies"));
        }
        sim.run(300 * (k % 4));
        if let Some(l) = sim.leader() {
            sim.crash(l, 1500);
        }
        sim.finish(200_000);
        sim.assert_sound();
        sim.assert_known();
    }
}

/// One-task jobs come four a second, a quarter of them cancelled: none waits long,
/// none is lost.
#[test]
fn one_task_jobs_four_a_second() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 40;
    sim.run(1000);
    for n in 0..120u64 {
        let id = format!("run-{n:06}");
        sim.submit((n % 3) as usize, &array(&id, 1), 3000);
        if n % 4 == 1 {
            let id = format!("run-{:06}", n - 1);
            cancel(&mut sim, (n as usize / 4) % 3, &id);
        }
        sim.run(250);
    }
    sim.finish(30_000);
    sim.assert_sound();
    sim.assert_known();
}

/// More work than capacity, urgent and not, over slow links: the largest jobs begin
/// within four minutes, and nothing waits while there is capacity for it.
#[test]
fn more_work_than_room_over_slow_links() {
    let mut sim = Sim::new();
    sim.cloud.capacity = 3;
    for n in 0..6 {
        sim.faults.image_pull_ms.insert(format!("m-{n:06}"), 9000);
    }
    sim.run(1000);
    sim.submit(0, &array("run-000001", 12), 8000);
    let gang = |id: &str, n| submission(id, "group", n, 6.0, "normal");
    sim.submit(0, &gang("run-000002", 3), 12_000);
    for n in 3..30u64 {
        let id = format!("run-{n:06}");
        if n % 3 == 0 {
            let urgent = submission(&id, "sweep", 1, 4.0, "high");
            sim.submit((n % 3) as usize, &urgent, 6000);
        } else {
            sim.submit((n % 3) as usize, &array(&id, 2), 8000);
        }
        sim.run(4000);
    }
    sim.finish(300_000);
    sim.assert_sound();
    for (id, j) in &sim.jobs {
        assert!(
            j.started_at.is_some_and(|t| t < 240_000),
            "{id}: {:?}",
            j.started_at
        );
    }
}

/// A controller that hears neither the store nor any other fails the
/// balancer's question: its users would ask it in vain for as long as it is cut off.
#[test]
fn a_controller_that_hears_nobody_is_unhealthy() {
    let mut sim = Sim::new();
    sim.run(3000);
    let l = sim.leader().expect("a leader");
    sim.faults.cut_from_store.insert(l);
    sim.faults.cut_from_peers.insert(l);
    sim.run(6000);
    let up = |sim: &Sim| -> Vec<bool> {
        sim.controllers
            .iter()
            .flatten()
            .map(|n| n.is_healthy())
            .collect()
    };
    let mut but_one = vec![true; 3];
    but_one[l] = false;
    assert_eq!(up(&sim), but_one);
    sim.faults.cut_from_peers.clear();
    sim.heal_store();
    sim.run(3000);
    assert_eq!(up(&sim), [true; 3]);
    // In an outage that all see, none is.
    sim.faults.store_outage = true;
    sim.run(6000);
    assert_eq!(up(&sim), [true; 3]);
}

/// Odd requests: what repeats an unfinished job gets its state, what calls off a
/// finished one `done`, what can't run 422, what lacks a field 400; never 201.
#[test]
fn odd_requests_are_refused() {
    let mut sim = Sim::new();
    sim.run(1000);
    sim.submit(0, &array("run-000001", 1), 1000);
    sim.submit(0, &array("run-000002", 1), 60_000);
    sim.run(14_000);
    let mut ask = |n: usize, v: &Value| {
        let slot = sim.ask(n, "POST", "/work", wire::encode(v));
        sim.run(300);
        sim.answer(slot).expect("an answer")
    };
    for n in 0..3 {
        assert_eq!(ask(n, &array("run-000002", 1)), job_reply(200, "running"));
        assert_eq!(ask(n, &array("run-000001", 1)), job_reply(200, "done"));
        let large = submission("run-000009", "sweep", 1, 64.0, "normal");
        assert_eq!(ask(n, &large).code, 422);
        let strange = with(array("run-000010", 1), &[("owner", "nobody".into())]);
        assert_eq!(ask(n, &strange).code, 422);
        let flagless = with(array("run-000011", 1), &[("loaner", Value::Null)]);
        assert_eq!(ask(n, &flagless).code, 400);
    }
    for n in 0..3 {
        let slot = cancel(&mut sim, n, "run-000001");
        sim.run(300);
        assert_eq!(sim.answer(slot), Some(job_reply(200, "done")));
    }
    sim.finish(120_000);
    sim.assert_sound();
}
