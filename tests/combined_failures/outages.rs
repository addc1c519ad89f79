//! The store refuses one controller, and then all of them.

use crate::common::{assert_kept_trace, job_reply, Sim};
use crate::support::{live_tasks_of, start_two_long_arrays};

/// Two controllers of a run.
struct Controllers {
    leader: usize,
    /// Another controller, which confirmed the cancellation.
    other: usize,
}

/// The store refuses the leader; after a while another controller confirms to a user that the
/// first of two long jobs is cancelled.
fn refuse_leader_and_cancel(sim: &mut Sim, cancel_after_ms: u64) -> Controllers {
    let leader = start_two_long_arrays(sim);
    let other = (leader + 1) % 3;
    sim.faults.refused_by_store.insert(leader);
    sim.note(format!("c{leader} is refused"));
    sim.run(cancel_after_ms);
    let slot = sim.cancel(other, "run-000001");
    assert!(sim.until(400, |sim| sim.answer(slot).is_some()));
    assert_eq!(sim.answer(slot), Some(job_reply(200, "withdrawn")));
    Controllers { leader, other }
}

/// The store refuses everybody for 70 s; afterwards no task of the cancelled job is left.
fn outage_of_70_s(sim: &mut Sim) {
    sim.faults.store_outage = true;
    sim.note("the state service is out".into());
    sim.run(12_000);
    sim.faults.refused_by_store.clear();
    sim.run(58_000);
    assert_eq!(live_tasks_of(sim, "run-000001"), 0, "{}", sim.trace_text());
}

/// All faults end; all that was not cancelled is done, and every controller knows it.
fn recover_and_check(sim: &mut Sim) {
    sim.faults.cut_from_peers.clear();
    sim.end_outage();
    sim.finish_and_check(150_000);
}

/// The gap: the store refuses the leader alone, another controller confirms a cancellation,
/// then the store refuses everybody for longer than `cancel_s`. The tasks are gone in time all
/// the same, whether the leader can be notified or not; and where it can, jobs that were not
/// cancelled go on throughout.
#[test]
fn a_leader_refused_alone_and_then_an_outage() {
    for case in 0..6usize {
        let mut sim = Sim::new();
        // Clocks at their bounds: the leader's slow, another's fast, and reversed.
        sim.clocks.drift_per_10_000.insert(case % 3, 5);
        // In the later cases the leader cannot be notified.
        if case >= 3 {
            sim.faults.cut_from_peers.insert(0);
        }
        let Controllers { leader, .. } =
            refuse_leader_and_cancel(&mut sim, 1400 - 200 * case as u64);
        assert_eq!(leader, 0);
        sim.run(200);
        outage_of_70_s(&mut sim);
        let killed: u64 = sim.agents.values().map(|agent| agent.killed_tasks).sum();
        if case < 3 {
            assert_eq!(killed, 0, "{}", sim.trace_text());
            assert_eq!(
                live_tasks_of(&sim, "run-000002"),
                3,
                "the job that was not cancelled has lost tasks"
            );
        } else {
            assert_eq!(
                killed, 6,
                "all tasks must end if the leader cannot know which job is cancelled"
            );
        }
        recover_and_check(&mut sim);
        if case == 0 {
            assert_kept_trace("gap", &sim.log.trace);
        }
    }
}

/// The same, and the controller that confirmed the cancellation is killed before it could
/// notify the leader, and back within a second: its status then proves nothing, since its
/// earlier generation confirmed what it does not know of.
#[test]
fn an_outage_with_a_restarted_peer_ends_the_work() {
    for case in 0..4u64 {
        let mut sim = Sim::new();
        let Controllers { other, .. } = refuse_leader_and_cancel(&mut sim, 200);
        sim.faults.store_outage = true;
        sim.crash(other, 100 + 250 * case);
        outage_of_70_s(&mut sim);
        recover_and_check(&mut sim);
    }
}

/// The same with a leader that was cut off for longer before, so that its grant has run out:
/// its successor knows of the cancellation but cannot write; and with the old leader killed
/// and back within a second during the outage.
#[test]
fn an_outage_with_a_successor_that_cannot_write() {
    for case in 0..6u64 {
        let mut sim = Sim::new();
        let Controllers { leader, .. } = refuse_leader_and_cancel(&mut sim, 2500 + 600 * case);
        if case >= 4 {
            // Nor is the old leader notified.
            sim.faults.cut_from_peers.insert(leader);
        }
        sim.faults.store_outage = true;
        sim.run(3000);
        if case % 2 == 1 {
            sim.crash(leader, 400);
        }
        outage_of_70_s(&mut sim);
        recover_and_check(&mut sim);
    }
}

/// A cancellation confirmed by the leader itself, and one that it forwarded, a moment before an
/// outage: its own state includes both without a read.
#[test]
fn a_single_controller_knows_the_cancellations_it_confirmed() {
    for refused in [false, true] {
        let mut sim = Sim::new();
        let leader = start_two_long_arrays(&mut sim);
        if refused {
            sim.faults.refused_by_store.insert(leader);
            sim.run(2600);
        }
        let slot = sim.cancel(leader, "run-000001");
        assert!(sim.until(800, |sim| sim.answer(slot).is_some()));
        assert_eq!(sim.answer(slot), Some(job_reply(200, "withdrawn")));
        sim.faults.store_outage = true;
        sim.faults.cut_from_peers.insert(leader);
        sim.run(4000);
        assert_eq!(live_tasks_of(&sim, "run-000001"), 0, "{}", sim.trace_text());
        sim.faults.store_outage = false;
        sim.faults.refused_by_store.clear();
        sim.faults.cut_from_peers.clear();
        sim.finish(150_000);
        sim.assert_sound();
    }
}
