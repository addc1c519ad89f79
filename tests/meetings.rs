//! Two troubles at once: each test brings about one of the meetings that the
//! operators name (the table in `docs/design.md`). The stand-ins break a test when
//! a rule is broken: they look at every start, at what users are told on every
//! controller, and at what is left of cancelled jobs.

mod common;

use ciborium::Value;
use common::{kept, submission, Sim, Writes};
use gaugesill::net::{Action, Event, Listener, Outcome, Request};
use gaugesill::node::Timestamp;
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
fn left(s: &Sim, id: &str) -> usize {
    let of_job = |n: &str| n.rsplit_once('/').is_some_and(|x| x.0 == id);
    s.workers
        .values()
        .flat_map(|w| &w.tasks)
        .filter(|t| of_job(&t.name) && t.state != "ended")
        .count()
}

fn cancel(s: &mut Sim, node: usize, id: &str) -> usize {
    s.ask(node, "POST", &format!("/work/{id}/cancel"), vec![])
}

/// Two long arrays that run; the leader.
fn two_long(s: &mut Sim) -> usize {
    s.run(1000);
    s.submit(0, &array("run-000001", 3), 400_000);
    s.submit(0, &array("run-000002", 3), 100_000);
    s.run(10_000);
    assert_eq!(left(s, "run-000001") + left(s, "run-000002"), 6);
    s.leader().expect("a leader")
}

/// The state service refuses the leader; after a while another controller confirms to a
/// user that the first of two long jobs is called off. The leader and that other one.
fn refused_then_called_off(s: &mut Sim, after: u64) -> (usize, usize) {
    let l = two_long(s);
    let other = (l + 1) % 3;
    s.refused.insert(l);
    s.note(format!("c{l} is refused"));
    s.run(after);
    let slot = cancel(s, other, "run-000001");
    assert!(s.until(400, |s| s.answer(slot).is_some()));
    assert_eq!(s.answer(slot), Some((200, "withdrawn".into())));
    (l, other)
}

/// It is out for everybody for 70 s; the leader is refused for the first twelve of them.
fn long_outage(s: &mut Sim) {
    s.state_out = true;
    s.note("the state service is out".into());
    s.run(12_000);
    s.refused.clear();
    s.run(58_000);
    assert_eq!(left(s, "run-000001"), 0, "{}", s.trace.join("\n"));
}

/// Afterwards all that was not called off is done, and everybody knows.
fn all_is_well(s: &mut Sim) {
    s.no_peers.clear();
    s.end_outage();
    s.finish(150_000);
    s.assert_sound();
    s.assert_known();
}

/// The gap: the state service refuses the leader alone, another controller
/// confirms a cancellation, then the service is out for everybody for longer than
/// `cancel_s`. The tasks are gone in time all the same, whether the leader can be
/// told or not; and where it can, what was not cancelled goes on throughout.
#[test]
fn the_gap() {
    for k in 0..6usize {
        let mut s = Sim::new();
        // Clocks at their bounds: the leader's slow, another's fast, and reversed.
        s.fast.insert(k % 3, 5);
        // In the later ones the leader can't be told.
        if k >= 3 {
            s.no_peers.insert(0);
        }
        let (l, _) = refused_then_called_off(&mut s, 1400 - 200 * k as u64);
        assert_eq!(l, 0);
        s.run(200);
        long_outage(&mut s);
        let killed: u64 = s.workers.values().map(|w| w.killed).sum();
        if k < 3 {
            assert_eq!(killed, 0, "{}", s.trace.join("\n"));
            assert_eq!(left(&s, "run-000002"), 3, "the other goes on");
        } else {
            assert_eq!(killed, 6, "what can't be told apart ends, too");
        }
        all_is_well(&mut s);
        if k == 0 {
            kept("gap", &s.trace);
        }
    }
}

/// The same, and the controller that confirmed the cancellation is killed before it could
/// tell, and back within a second: what it then says of itself is no proof, since its earlier
/// life told what it does not know of.
#[test]
fn the_gap_with_a_witness_that_has_forgotten() {
    for k in 0..4u64 {
        let mut s = Sim::new();
        let (_, other) = refused_then_called_off(&mut s, 200);
        s.state_out = true;
        s.crash(other, 100 + 250 * k);
        long_outage(&mut s);
        all_is_well(&mut s);
    }
}

/// The same with a leader that was cut off for longer before, so that its grant has run out:
/// its successor knows of the cancellation but can't write; and with the old leader killed
/// and back within a second inside the outage.
#[test]
fn the_gap_with_a_successor_that_cannot_write() {
    for k in 0..6u64 {
        let mut s = Sim::new();
        let (l, _) = refused_then_called_off(&mut s, 2500 + 600 * k);
        if k >= 4 {
            // Nor does the old leader hear of it.
            s.no_peers.insert(l);
        }
        s.state_out = true;
        s.run(3000);
        if k % 2 == 1 {
            s.crash(l, 400);
        }
        long_outage(&mut s);
        all_is_well(&mut s);
    }
}

/// A cancellation told by the leader itself, and one that it handed on, a moment
/// before an outage: its own mind knows of both without a read.
#[test]
fn the_leader_knows_what_it_told() {
    for refused in [false, true] {
        let mut s = Sim::new();
        let l = two_long(&mut s);
        if refused {
            s.refused.insert(l);
            s.run(2600);
        }
        let slot = cancel(&mut s, l, "run-000001");
        assert!(s.until(800, |s| s.answer(slot).is_some()));
        assert_eq!(s.answer(slot), Some((200, "withdrawn".into())));
        s.state_out = true;
        s.no_peers.insert(l);
        s.run(4000);
        assert_eq!(left(&s, "run-000001"), 0, "{}", s.trace.join("\n"));
        s.state_out = false;
        s.refused.clear();
        s.no_peers.clear();
        s.finish(150_000);
        s.assert_sound();
    }
}

/// A leader whose reads lag places a job, its starts go out, it gives its leadership
/// up, and takes it again: its second mind must know of those places.
#[test]
fn a_second_term_knows_the_first() {
    for blind_ms in [300, 900, 2000] {
        let mut s = Sim::new();
        s.cloud.most = 2;
        s.run(1000);
        s.submit(0, &array("run-000001", 3), 20_000);
        s.run(5000);
        let l = s.leader().expect("a leader");
        s.blind.insert(l);
        assert!(s.until(2000, |s| left(s, "run-000001") > 0));
        // A report with a token that nobody gave makes it resign.
        let body = wire::encode(&wire::Report {
            machine: "m-009999".into(),
            endpoint: "10.1.0.1:9".into(),
            machine_type: "f8".into(),
            zone: "a".into(),
            spot: false,
            session: 1,
            serial: 1,
            epoch: 9,
            reclaim_in_s: None,
            tasks: vec![],
        });
        s.ask(l, "POST", "/checkin", body);
        assert_eq!(s.leader(), None);
        s.note(format!("c{l} resigns"));
        s.run(blind_ms);
        s.blind.clear();
        s.finish(120_000);
        s.assert_sound();
        let starts: Vec<&String> = s.trace.iter().filter(|l| l.contains("starts on")).collect();
        assert_eq!(starts.len(), 3, "{}", s.trace.join("\n"));
    }
}

/// Users ask at all controllers, within milliseconds, and repeat the submission,
/// right after a job was accepted, ended or called off, while answers of the state
/// service are lost or its transactions carried out late: nobody says anything older.
#[test]
fn close_looks_at_lost_and_late_writes() {
    for k in 0..14u64 {
        let mut s = Sim::new();
        s.writes = match k % 3 {
            0 => Writes::Unanswered(2),
            1 => Writes::Late(3, 2000 + 700 * k),
            _ => Writes::Answered,
        };
        s.run(1000);
        let mut told: Vec<(usize, &str, usize)> = Vec::new();
        let jobs = [("run-000001", 2), ("run-000002", 1), ("run-000003", 2)];
        for (i, (id, n)) in jobs.iter().enumerate() {
            s.submit(i, &array(id, *n), 3000);
        }
        let called = 4000 + 700 * k;
        for ms in 0..3500u64 {
            if ms * 10 == called {
                cancel(&mut s, (k % 3) as usize, "run-000001");
                cancel(&mut s, 1, "run-000003");
            }
            // Close looks at whatever was just answered.
            let stirred = s.trace.len();
            s.run(10);
            if s.trace.len() > stirred || ms % 40 == 0 {
                for n in 0..3 {
                    for (id, tasks) in jobs {
                        let path = format!("/work/{id}");
                        told.push((n, id, s.ask(n, "GET", &path, vec![])));
                        s.submit(n, &array(id, tasks), 3000);
                        s.run(1);
                    }
                }
            }
        }
        s.writes = Writes::Answered;
        s.finish(120_000);
        s.assert_sound();
        s.assert_known();
        let sure = told
            .iter()
            .filter(|t| s.answer(t.2).is_some_and(|a| a.0 == 200));
        assert!(sure.count() * 2 > told.len(), "most are answered");
    }
}

/// A read that was asked for before a question came does not answer it, even within
/// the same millisecond.
#[test]
fn no_poll_is_older_than_its_question() {
    let mut s = Sim::new();
    s.run(3000);
    let at = Timestamp {
        steady: s.now,
        wall: 1_000_000 + s.now,
    };
    let node = s.nodes[1].as_mut().expect("it runs");
    let mut ask = |connection: usize| {
        let request = Request {
            method: "GET".into(),
            path: "/work/run-000077".into(),
            body: vec![],
        };
        let listener = Listener::Front;
        node.event(
            at,
            Event::Request {
                connection,
                listener,
                request,
            },
        );
        node.take_actions()
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
    let revision = s.state.revision;
    let body = wire::encode(&wire::WatchReply {
        revision,
        changes: vec![],
    });
    let outcome = Outcome::Answer { status: 200, body };
    let tag = first[0];
    let node = s.nodes[1].as_mut().expect("it runs");
    node.event(at, Event::Reply { tag, outcome });
    // Neither is known, so what was answered is looked up.
    let looked = |a: &Action| matches!(a, Action::Call { path, .. } if path.starts_with("/kv/"));
    let n = node.take_actions().iter().filter(|a| looked(a)).count();
    assert_eq!(n, 1, "the first only");
}

/// Jobs are called off in the seconds in which the work changes hands, and once more
/// before a machine is heard by the new leader.
#[test]
fn called_off_while_the_work_changes_hands() {
    for k in 0..30u64 {
        let mut s = Sim::new();
        let l = two_long(&mut s);
        let other = (l + 1) % 3;
        if k % 2 == 0 {
            s.crash(l, if k % 4 == 0 { 300 } else { 4000 });
            s.run(150 * k);
        }
        let slot = cancel(&mut s, other, "run-000001");
        s.run(1000 + 31 * k);
        if k % 2 == 1 {
            s.crash(l, 200);
        }
        assert!(s.until(9000, |s| s.answer(slot).is_some()));
        s.cancel_until_answered("run-000001");
        s.run(30_000);
        assert_eq!(left(&s, "run-000001"), 0, "{}", s.trace.join("\n"));
        s.finish(150_000);
        s.assert_sound();
        s.assert_known();
    }
}

/// Copies of reports are kept, and reach every controller just as the next leader
/// begins, or once it has acted; also reports of earlier sessions and attempts.
#[test]
fn old_reports_for_the_next_leader() {
    for k in 0..16u64 {
        let mut s = Sim::new();
        s.copies_for_next = Some([1, 5, 60, 700, 2600][k as usize % 5]);
        s.run(1000);
        s.submit(0, &array("run-000001", 3), 4000);
        let gang = submission("run-000002", "group", 2, 6.0, "normal");
        s.submit(1, &gang, 9000);
        if k % 2 == 0 {
            // One that gives up waiting and is started again under its attempt.
            s.slow_pull.insert("m-000001".into(), 50_000);
        }
        s.run(5500 + 650 * k);
        for _ in 0..3 {
            if let Some(machine) = s.workers.keys().nth(k as usize % 2).cloned() {
                if k % 3 == 0 {
                    s.restart_worker(&machine);
                }
            }
            if let Some(l) = s.leader() {
                s.crash(l, 500);
            }
            s.run(4000 + 17_000 * (k % 3));
        }
        s.finish(200_000);
        s.assert_sound();
        s.assert_known();
    }
}

/// Leaders change ten times in two minutes, also inside an outage, while jobs are
/// called off and copies of reports come late.
#[test]
fn ten_leaders_in_two_minutes() {
    for k in 0..3u64 {
        let mut s = Sim::new();
        s.copies_after = vec![900, 11_000];
        let mut l = two_long(&mut s);
        for i in 0..10u64 {
            if i == 4 {
                s.state_out = true;
            }
            if i == 6 {
                s.end_outage();
            }
            let id = format!("run-00000{}", 1 + i / 7);
            if i == 1 || i == 7 {
                // The leader ends before it can act on it.
                cancel(&mut s, (l + 1) % 3, &id);
                s.run(4);
            }
            s.crash(l, [40, 700, 3000][((i + k) % 3) as usize]);
            s.run(11_000 + 300 * k);
            if i == 1 || i == 7 {
                s.cancel_until_answered(&id);
            }
            l = s.leader().unwrap_or((l + 1) % 3);
        }
        s.finish(200_000);
        s.assert_sound();
        s.assert_known();
    }
}

/// All controllers are away for longer than a lease; then all end again, and one
/// returns within a second.
#[test]
fn all_away_for_longer_than_a_lease() {
    for k in 0..4u64 {
        let mut s = Sim::new();
        two_long(&mut s);
        for n in 0..3 {
            s.crash(n, 40_000 + 500 * n as u64);
        }
        s.run(41_000 + 400 * k);
        for n in 0..3 {
            s.crash(n, if n as u64 == k % 3 { 200 } else { 5000 });
        }
        s.run(8000);
        s.cancel_until_answered("run-000001");
        s.finish(200_000);
        s.assert_sound();
        s.assert_known();
    }
}

/// New machines are up within a second and get work at once while writes lag, and
/// the leader ends.
#[test]
fn new_machines_at_once_while_writes_lag() {
    for k in 0..12u64 {
        let mut s = Sim::new();
        s.cloud.boot_ms = 400 + 150 * (k % 4);
        s.writes = Writes::Late(2 + k % 2, 2500 + 800 * (k % 5));
        s.run(1000);
        s.submit(0, &array("run-000001", 4), 6000);
        let gang = submission("run-000002", "group", 2, 6.0, "high");
        s.submit(1, &gang, 9000);
        s.run(700 + 350 * k);
        if let Some(l) = s.leader() {
            s.crash(l, if k % 2 == 0 { 60 } else { 3000 });
        }
        s.run(12_000);
        // Their users ask until they are told.
        for n in 0..3 {
            s.submit(n, &array("run-000001", 4), 6000);
            s.submit(n, &gang, 9000);
        }
        s.writes = Writes::Answered;
        s.finish(150_000);
        s.assert_sound();
        s.assert_known();
    }
}

/// The team is at its limit while jobs are called off whose machines are cut off,
/// hang or hear nothing, and the leader changes: what may run counts until it is
/// proven gone.
#[test]
fn at_the_limit_with_machines_that_cannot_be_asked() {
    for k in 0..12u64 {
        let mut s = Sim::with_team(r#"{"name":"t","cpus_max":16.0}"#, 16.0);
        s.run(1000);
        s.submit(0, &array("run-000001", 2), 200_000);
        s.submit(0, &array("run-000002", 2), 20_000);
        s.submit(0, &array("run-000003", 4), 5000);
        s.run(10_000);
        let of = |s: &Sim, id: &str| -> Vec<String> {
            let has = |w: &&common::Worker| w.tasks.iter().any(|t| t.name.starts_with(id));
            s.workers
                .values()
                .filter(has)
                .map(|w| w.machine.clone())
                .collect()
        };
        for machine in of(&s, "run-000001/") {
            match k % 3 {
                0 => drop(s.cut.insert(machine)),
                1 => s.hang(&machine, 25_000),
                _ => drop(s.deaf.insert(machine)),
            }
        }
        let l = s.leader().expect("a leader");
        if k % 2 == 0 {
            s.crash(l, 3000);
            s.run(400 * k);
        }
        let slot = cancel(&mut s, (l + 1) % 3, "run-000001");
        s.run(300);
        assert!(s.answer(slot).is_some());
        if k % 2 == 1 {
            s.crash(l, 500);
        }
        s.run(45_000);
        s.heal_machines();
        s.deaf.clear();
        s.finish(200_000);
        assert_eq!(left(&s, "run-000001"), 0);
        s.assert_sound();
        s.assert_known();
    }
}

/// A cancelled job's machine hangs, for less than a lease and for longer: its tasks
/// do not go on.
#[test]
fn a_machine_hangs_as_its_job_is_called_off() {
    for (k, ms) in [5000, 20_000, 34_000, 37_000, 58_000, 80_000]
        .into_iter()
        .enumerate()
    {
        let mut s = Sim::new();
        let l = two_long(&mut s);
        let machines: Vec<String> = s.workers.keys().cloned().collect();
        for machine in machines.iter().take(1 + k % 3) {
            s.hang(machine, ms);
        }
        let slot = cancel(&mut s, (l + k) % 3, "run-000001");
        s.run(300);
        assert_eq!(s.answer(slot).map(|a| a.0), Some(200));
        if k % 2 == 1 {
            s.crash(l, 700);
        }
        s.finish(250_000);
        s.assert_sound();
        s.assert_known();
    }
}

/// A leader ends while machines with long tasks can't be reached, or don't hear the
/// new leader's answers.
#[test]
fn a_leader_ends_while_machines_are_out_of_reach() {
    for k in 0..6u64 {
        let mut s = Sim::new();
        let l = two_long(&mut s);
        let machine = s.workers.keys().next().cloned().expect("a machine");
        match k % 3 {
            0 => s.deaf.insert(machine),
            1 => s.cut.insert(machine),
            _ => s.mute.insert(machine),
        };
        s.crash(l, if k < 3 { 100 } else { 3000 });
        s.run(30_000 + 10_000 * k);
        s.cancel_until_answered("run-000001");
        s.run(5000);
        s.heal_machines();
        s.deaf.clear();
        s.mute.clear();
        s.finish(250_000);
        s.assert_sound();
        s.assert_known();
    }
}

/// A machine reaches no controller, while direct commands reach it: it looks alive
/// to whoever asks, but its lease runs out again and again with all that is on it. It
/// gets no work.
#[test]
fn a_machine_that_reaches_nobody() {
    let mut s = Sim::new();
    s.cloud.most = 2;
    s.run(1000);
    s.submit(0, &array("run-000001", 4), 50_000);
    s.run(10_000);
    s.mute.insert("m-000000".into());
    s.note("m-000000 reaches nobody".into());
    s.finish(140_000);
    s.assert_sound();
    kept("mute-machine", &s.trace);
}

/// Jobs bound to one zone, arrays too, and spread ones, lose machines and the leader.
#[test]
fn zones_are_kept_while_machines_are_lost() {
    for k in 0..12u64 {
        let mut s = Sim::new();
        s.run(1000);
        let yes = Value::Bool(true);
        let one = with(array("run-000001", 3), &[("samePlace", yes.clone())]);
        s.submit(0, &one, 12_000);
        let gang = submission("run-000002", "group", 2, 6.0, "normal");
        s.submit(0, &with(gang, &[("samePlace", yes.clone())]), 12_000);
        s.submit(
            1,
            &with(array("run-000003", 3), &[("scatter", yes)]),
            12_000,
        );
        s.run(8000 + 500 * k);
        let machine = s.workers.keys().nth(k as usize % 3).cloned();
        if let Some(machine) = machine {
            s.workers.remove(&machine);
            s.cloud.machines.get_mut(&machine).expect("listed").up_at = u64::MAX;
            s.note(format!("{machine} dies"));
        }
        s.run(300 * (k % 4));
        if let Some(l) = s.leader() {
            s.crash(l, 1500);
        }
        s.finish(200_000);
        s.assert_sound();
        s.assert_known();
    }
}

/// One-task jobs come four a second, a quarter of them called off: none waits long,
/// none is lost.
#[test]
fn one_task_jobs_four_a_second() {
    let mut s = Sim::new();
    s.cloud.most = 40;
    s.run(1000);
    for n in 0..120u64 {
        let id = format!("run-{n:06}");
        s.submit((n % 3) as usize, &array(&id, 1), 3000);
        if n % 4 == 1 {
            let id = format!("run-{:06}", n - 1);
            cancel(&mut s, (n as usize / 4) % 3, &id);
        }
        s.run(250);
    }
    s.finish(30_000);
    s.assert_sound();
    s.assert_known();
}

/// More work than room, urgent and not, over slow links: the largest jobs begin
/// within four minutes, and nothing waits while there is room for it.
#[test]
fn more_work_than_room() {
    let mut s = Sim::new();
    s.cloud.most = 3;
    for n in 0..6 {
        s.slow_pull.insert(format!("m-{n:06}"), 9000);
    }
    s.run(1000);
    s.submit(0, &array("run-000001", 12), 8000);
    let gang = |id: &str, n| submission(id, "group", n, 6.0, "normal");
    s.submit(0, &gang("run-000002", 3), 12_000);
    for n in 3..30u64 {
        let id = format!("run-{n:06}");
        if n % 3 == 0 {
            let urgent = submission(&id, "sweep", 1, 4.0, "high");
            s.submit((n % 3) as usize, &urgent, 6000);
        } else {
            s.submit((n % 3) as usize, &array(&id, 2), 8000);
        }
        s.run(4000);
    }
    s.finish(300_000);
    s.assert_sound();
    for (id, j) in &s.jobs {
        assert!(j.begun.is_some_and(|t| t < 240_000), "{id}: {:?}", j.begun);
    }
}

/// A controller that hears neither the state service nor any other fails the
/// balancer's question: its users would ask it in vain for as long as it is cut off.
#[test]
fn one_that_hears_nobody_is_taken_out() {
    let mut s = Sim::new();
    s.run(3000);
    let l = s.leader().expect("a leader");
    s.no_state.insert(l);
    s.no_peers.insert(l);
    s.run(6000);
    let up = |s: &Sim| -> Vec<bool> { s.nodes.iter().flatten().map(|n| n.is_healthy()).collect() };
    let mut but_one = vec![true; 3];
    but_one[l] = false;
    assert_eq!(up(&s), but_one);
    s.no_peers.clear();
    s.heal_state();
    s.run(3000);
    assert_eq!(up(&s), [true; 3]);
    // In an outage that all see, none is.
    s.state_out = true;
    s.run(6000);
    assert_eq!(up(&s), [true; 3]);
}

/// Odd requests: what repeats an unfinished job gets its state, what calls off a
/// finished one `done`, what can't run 422, what lacks a field 400; never 201.
#[test]
fn odd_requests() {
    let mut s = Sim::new();
    s.run(1000);
    s.submit(0, &array("run-000001", 1), 1000);
    s.submit(0, &array("run-000002", 1), 60_000);
    s.run(14_000);
    let mut ask = |n: usize, v: &Value| {
        let slot = s.ask(n, "POST", "/work", wire::encode(v));
        s.run(300);
        s.answer(slot).expect("an answer")
    };
    for n in 0..3 {
        assert_eq!(ask(n, &array("run-000002", 1)), (200, "running".into()));
        assert_eq!(ask(n, &array("run-000001", 1)), (200, "done".into()));
        let large = submission("run-000009", "sweep", 1, 64.0, "normal");
        assert_eq!(ask(n, &large).0, 422);
        let strange = with(array("run-000010", 1), &[("owner", "nobody".into())]);
        assert_eq!(ask(n, &strange).0, 422);
        let flagless = with(array("run-000011", 1), &[("loaner", Value::Null)]);
        assert_eq!(ask(n, &flagless).0, 400);
    }
    for n in 0..3 {
        let slot = cancel(&mut s, n, "run-000001");
        s.run(300);
        assert_eq!(s.answer(slot), Some((200, "done".into())));
    }
    s.finish(120_000);
    s.assert_sound();
}
