//! The store refuses one controller and then all of them, after a cancellation was confirmed.

use crate::common::{assert_kept_trace, job_reply, Sim};
use crate::support::{live_tasks_of, start_two_long_arrays};

/// The controllers that take part in a cancellation.
struct Controllers {
    leader: usize,
    /// The controller that confirmed the cancellation.
    other: usize,
}

/// The store refuses the leader; after `cancel_after_ms` another controller confirms to a user
/// that the first of two long jobs is cancelled.
fn refuse_leader_and_cancel(sim: &mut Sim, cancel_after_ms: u64) -> Controllers {
    let leader = start_two_long_arrays(sim);
    let other = (leader + 1) % 3;
    sim.faults.refused_by_store.insert(leader);
    sim.trace_event(format!("c{leader} is refused"));
    sim.run(cancel_after_ms);
    let slot = sim.cancel(other, "run-000001");
    assert!(sim.run_until(400, |sim| sim.answer(slot).is_some()));
    assert_eq!(sim.answer(slot), Some(job_reply(200, "withdrawn")));
    Controllers { leader, other }
}

/// The store refuses all controllers for 70 s, longer than `cancel_s`. Fails if a task of the
/// cancelled job is left afterwards.
fn run_outage_of_70_s(sim: &mut Sim) {
    sim.faults.store_outage = true;
    sim.trace_event("the state service is out".into());
    sim.run(12_000);
    sim.faults.refused_by_store.clear();
    sim.run(58_000);
    assert_eq!(live_tasks_of(sim, "run-000001"), 0, "{}", sim.trace_text());
}

/// Ends all faults. Fails unless every job that was not cancelled finishes and every controller
/// knows every job.
fn recover_and_check(sim: &mut Sim) {
    sim.faults.cut_from_peers.clear();
    sim.end_outage();
    sim.finish_and_check(150_000);
}

/// The store refuses the leader alone, another controller confirms a cancellation, then the
/// store refuses all controllers for longer than `cancel_s`, so the leader cannot read the
/// cancellation. The job's tasks must be gone in time even so, whether peers can notify the
/// leader or not; if they can, jobs that were not cancelled keep running throughout.
#[test]
fn the_store_refuses_the_leader_and_then_all_controllers() {
    for case in 0..6usize {
        let mut sim = Sim::new();
        // Clocks drift at their bounds: the leader's is slow and another's fast, or the reverse.
        sim.clocks.drift_per_10_000.insert(case % 3, 5);
        // In the later cases the leader cannot be notified.
        if case >= 3 {
            sim.faults.cut_from_peers.insert(0);
        }
        let Controllers { leader, .. } =
            refuse_leader_and_cancel(&mut sim, 1400 - 200 * case as u64);
        assert_eq!(leader, 0);
        sim.run(200);
        run_outage_of_70_s(&mut sim);
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
                "all tasks must be killed if the leader cannot know which job is cancelled"
            );
        }
        recover_and_check(&mut sim);
        if case == 0 {
            assert_kept_trace("gap", &sim.log.trace);
        }
    }
}

/// As above, but the controller that confirmed the cancellation crashes before it can notify the
/// leader, and restarts within a second. Its status must then not count as proof that it
/// confirmed no cancellation, since the process before the restart did and this one does not
/// know of it.
#[test]
fn an_outage_after_the_confirming_controller_restarts() {
    for case in 0..4u64 {
        let mut sim = Sim::new();
        let Controllers { other, .. } = refuse_leader_and_cancel(&mut sim, 200);
        sim.faults.store_outage = true;
        sim.crash(other, 100 + 250 * case);
        run_outage_of_70_s(&mut sim);
        recover_and_check(&mut sim);
    }
}

/// As above, but the store refuses the leader for so long before the outage that its grant
/// expires: its successor knows of the cancellation but cannot write. In some cases the old
/// leader also crashes and restarts within a second during the outage.
#[test]
fn an_outage_with_a_successor_that_cannot_write() {
    for case in 0..6u64 {
        let mut sim = Sim::new();
        let Controllers { leader, .. } = refuse_leader_and_cancel(&mut sim, 2500 + 600 * case);
        if case >= 4 {
            // Peers cannot notify the old leader either.
            sim.faults.cut_from_peers.insert(leader);
        }
        sim.faults.store_outage = true;
        sim.run(3000);
        if case % 2 == 1 {
            sim.crash(leader, 400);
        }
        run_outage_of_70_s(&mut sim);
        recover_and_check(&mut sim);
    }
}

/// A cancellation that the leader confirmed itself, or one that it forwarded, just before an
/// outage: the leader must know of both without a read of the store.
#[test]
fn a_leader_knows_the_cancellations_it_confirmed_or_forwarded() {
    for refused in [false, true] {
        let mut sim = Sim::new();
        let leader = start_two_long_arrays(&mut sim);
        if refused {
            sim.faults.refused_by_store.insert(leader);
            sim.run(2600);
        }
        let slot = sim.cancel(leader, "run-000001");
        assert!(sim.run_until(800, |sim| sim.answer(slot).is_some()));
        assert_eq!(sim.answer(slot), Some(job_reply(200, "withdrawn")));
        sim.faults.store_outage = true;
        sim.faults.cut_from_peers.insert(leader);
        sim.run(4000);
        assert_eq!(live_tasks_of(&sim, "run-000001"), 0, "{}", sim.trace_text());
        sim.faults.store_outage = false;
        sim.faults.refused_by_store.clear();
        sim.faults.cut_from_peers.clear();
        sim.finish(150_000);
        sim.assert_no_violations();
    }
}
