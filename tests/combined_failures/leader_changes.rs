//! The leader changes while another fault lasts.

use gaugesill::epoch::Epoch;
use gaugesill::wire::Incarnation;
use gaugesill::wire::{self, AgentStatus};

use crate::common::{submission, Sim, WriteBehavior};
use crate::support::{array, live_tasks_of, start_two_long_arrays};

/// A leader that gets no answers to its reads of the store places a job, sends the start
/// commands, resigns and is re-elected. If its second term does not know of those placements,
/// it starts the tasks twice.
#[test]
fn a_reelected_leader_knows_the_placements_of_its_first_term() {
    for without_reads_ms in [300, 900, 2000] {
        let mut sim = Sim::new();
        sim.cloud.capacity = 2;
        sim.run(1000);
        sim.submit(0, &array("run-000001", 3), 20_000);
        sim.run(5000);
        let leader = sim.leader().expect("no controller leads");
        sim.faults.unanswered_reads.insert(leader);
        assert!(sim.run_until(2000, |sim| live_tasks_of(sim, "run-000001") > 0));
        // A leader resigns when a heartbeat has an epoch that is not reserved for its term.
        let body = wire::encode(&AgentStatus {
            machine: "m-009999".into(),
            endpoint: "10.1.0.1:9".into(),
            machine_type: "f8".into(),
            zone: "a".into(),
            spot: false,
            incarnation: Incarnation::new(1),
            serial: 1,
            epoch: Epoch::new(u64::MAX),
            interruption_in_s: None,
            tasks: vec![],
        });
        sim.send_user_request(leader, "POST", wire::HEARTBEAT_PATH, body);
        assert_eq!(sim.leader(), None);
        sim.trace_event(format!("c{leader} resigns"));
        sim.run(without_reads_ms);
        sim.faults.unanswered_reads.clear();
        sim.finish(120_000);
        sim.assert_no_violations();
        let trace = sim.log.trace.iter();
        let starts = trace.filter(|line| line.contains("starts on")).count();
        assert_eq!(starts, 3, "{}", sim.trace_text());
    }
}

/// A job is cancelled within seconds of a change of leader, and again before the new leader has
/// received a heartbeat: no task of the job may be left 30 s later.
#[test]
fn cancellation_while_leadership_changes() {
    for case in 0..30u64 {
        let mut sim = Sim::new();
        let leader = start_two_long_arrays(&mut sim);
        let other = (leader + 1) % 3;
        if case % 2 == 0 {
            sim.crash(leader, if case % 4 == 0 { 300 } else { 4000 });
            sim.run(150 * case);
        }
        let slot = sim.cancel(other, "run-000001");
        sim.run(1000 + 31 * case);
        if case % 2 == 1 {
            sim.crash(leader, 200);
        }
        assert!(sim.run_until(9000, |sim| sim.answer(slot).is_some()));
        sim.cancel_until_answered("run-000001");
        sim.run(30_000);
        assert_eq!(live_tasks_of(&sim, "run-000001"), 0, "{}", sim.trace_text());
        sim.finish_and_check(150_000);
    }
}

/// Duplicates of heartbeats, also of earlier incarnations and attempts, reach every controller
/// just after the next leader was elected, or once it has issued commands: stale statuses must
/// not change its state.
#[test]
fn delayed_heartbeats_reach_the_next_leader() {
    for case in 0..16u64 {
        let mut sim = Sim::new();
        sim.faults.copies_to_next_leader_after_ms = Some([1, 5, 60, 700, 2600][case as usize % 5]);
        sim.run(1000);
        sim.submit(0, &array("run-000001", 3), 4000);
        let gang = submission("run-000002", "group", 2, 6.0, "normal");
        sim.submit(1, &gang, 9000);
        if case % 2 == 0 {
            // A task times out waiting for its gang and is started again as the same attempt.
            sim.faults.image_pull_ms.insert("m-000001".into(), 50_000);
        }
        sim.run(5500 + 650 * case);
        for _ in 0..3 {
            if let Some(machine) = sim.agents.keys().nth(case as usize % 2).cloned() {
                if case % 3 == 0 {
                    sim.restart_agent(&machine);
                }
            }
            if let Some(leader) = sim.leader() {
                sim.crash(leader, 500);
            }
            sim.run(4000 + 17_000 * (case % 3));
        }
        sim.finish_and_check(200_000);
    }
}

/// The leader changes ten times in two minutes, also during an outage of the store, while jobs
/// are cancelled and duplicates of heartbeats arrive late.
#[test]
fn ten_leader_changes_in_two_minutes() {
    for case in 0..3u64 {
        let mut sim = Sim::new();
        sim.faults.heartbeat_copies_after_ms = vec![900, 11_000];
        let mut leader = start_two_long_arrays(&mut sim);
        for round in 0..10u64 {
            if round == 4 {
                sim.faults.store_outage = true;
            }
            if round == 6 {
                sim.end_outage();
            }
            let id = format!("run-00000{}", 1 + round / 7);
            if round == 1 || round == 7 {
                // The leader crashes before it can act on the cancellation.
                sim.cancel((leader + 1) % 3, &id);
                sim.run(4);
            }
            sim.crash(leader, [40, 700, 3000][((round + case) % 3) as usize]);
            sim.run(11_000 + 300 * case);
            if round == 1 || round == 7 {
                sim.cancel_until_answered(&id);
            }
            leader = sim.leader().unwrap_or((leader + 1) % 3);
        }
        sim.finish_and_check(200_000);
    }
}

/// All controllers are down for longer than an agent's lease; then all crash again, and one
/// restarts within a second.
#[test]
fn all_controllers_down_for_longer_than_a_lease() {
    for case in 0..4u64 {
        let mut sim = Sim::new();
        start_two_long_arrays(&mut sim);
        sim.crash_all(|controller| 40_000 + 500 * controller);
        sim.run(41_000 + 400 * case);
        for controller in 0..3 {
            sim.crash(
                controller,
                if controller as u64 == case % 3 {
                    200
                } else {
                    5000
                },
            );
        }
        sim.run(8000);
        sim.cancel_until_answered("run-000001");
        sim.finish_and_check(200_000);
    }
}

/// New machines boot within a second and get work at once, while writes to the store are
/// delayed and the leader crashes.
#[test]
fn new_machines_get_work_while_writes_are_delayed() {
    for case in 0..12u64 {
        let mut sim = Sim::new();
        sim.cloud.boot_ms = 400 + 150 * (case % 4);
        sim.faults.writes = WriteBehavior::Late {
            one_in: 2 + case % 2,
            delay_ms: 2500 + 800 * (case % 5),
        };
        sim.run(1000);
        sim.submit(0, &array("run-000001", 4), 6000);
        let gang = submission("run-000002", "group", 2, 6.0, "high");
        sim.submit(1, &gang, 9000);
        sim.run(700 + 350 * case);
        if let Some(leader) = sim.leader() {
            sim.crash(leader, if case % 2 == 0 { 60 } else { 3000 });
        }
        sim.run(12_000);
        // Users repeat a submission until it is answered.
        for controller in 0..3 {
            sim.submit(controller, &array("run-000001", 4), 6000);
            sim.submit(controller, &gang, 9000);
        }
        sim.faults.writes = WriteBehavior::Answered;
        sim.finish_and_check(150_000);
    }
}

/// The leader crashes while a machine with long tasks is isolated, cannot send, or does not
/// receive the new leader's answers.
#[test]
fn a_leader_crashes_while_machines_are_unreachable() {
    for case in 0..6u64 {
        let mut sim = Sim::new();
        let leader = start_two_long_arrays(&mut sim);
        let machine = sim.first_machine();
        match case % 3 {
            0 => sim.faults.unable_to_receive.insert(machine),
            1 => sim.faults.isolated_machines.insert(machine),
            _ => sim.faults.unable_to_send.insert(machine),
        };
        sim.crash(leader, if case < 3 { 100 } else { 3000 });
        sim.run(30_000 + 10_000 * case);
        sim.cancel_until_answered("run-000001");
        sim.run(5000);
        sim.heal_machines();
        sim.faults.unable_to_receive.clear();
        sim.faults.unable_to_send.clear();
        sim.finish_and_check(250_000);
    }
}
