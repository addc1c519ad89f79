//! Failures in simulated fleets of 4,000 machines and more, with limits on the calls that they
//! cause.

mod common;

use common::{submission, ListFault, RunTimes, Sim};

/// The leader of a fully used fleet crashes, then a third of the machines is lost. Every job is
/// still completed, and no task runs twice.
#[test]
fn a_large_fleet_survives_the_loss_of_its_leader_and_a_third_of_its_machines() {
    let (mut sim, _) = Sim::with_full_queue(4000, RunTimes::SHORT);
    assert!(sim.run_until(120_000, |sim| sim.live_tasks() > 5000));
    let leader = sim.leader().expect("a leader");
    sim.crash(leader, 3000);
    sim.run(12_000);
    assert!(sim.leader().is_some_and(|other| other != leader));
    assert!(sim.lose_machines(3) > 1000);
    assert!(sim.run_until(400_000, |sim| sim.all_done() && sim.all_records_closed()));
    sim.assert_no_violations();
}

/// The machine list has more than ten pages, the fleet changes between reads, and pages are
/// refused, repeated, empty or endless. The leader considers no machine as deleted, and accepts
/// none that does not exist.
#[test]
fn the_last_valid_machine_list_is_kept_while_pages_are_faulty() {
    let (mut sim, _) = Sim::with_full_queue(5500, RunTimes::ENDLESS);
    sim.agent_tick_ms = 500;
    assert!(sim.run_until(90_000, |sim| sim.agents.len() > 5300));
    let leader = sim.leader().expect("a leader");
    let known = |sim: &Sim| {
        let controller = sim.controllers[leader].as_ref().expect("a controller");
        let machines = &controller
            .scheduler
            .as_ref()
            .expect("the leader's scheduler")
            .machines;
        machines.keys().cloned().collect::<Vec<String>>()
    };
    sim.run(25_000);
    let before = known(&sim);
    assert!(before.len() > 5300, "{}", before.len());
    for fault in [
        ListFault::RefusesHalf,
        ListFault::Repeats,
        ListFault::Empty,
        ListFault::Endless,
    ] {
        sim.cloud.list_fault = Some(fault);
        let pages = sim.cloud.pages_read;
        let is_read_again = sim.run_until(200_000, |sim| sim.cloud.pages_read > pages + 2);
        assert!(is_read_again, "{fault:?}: the list is not read again");
        sim.run(5000);
        let pages = sim.cloud.pages_read - pages;
        assert!(pages <= 60, "{fault:?}: {pages} pages");
        assert!(known(&sim) == before, "{fault:?}");
        assert_eq!(sim.leader(), Some(leader), "{fault:?}");
    }
    // Without a fault, a machine that is missing from the list is considered deleted.
    sim.cloud.list_fault = None;
    let lost = before[5].clone();
    sim.cloud.machines.remove(&lost);
    assert!(sim.run_until(400_000, |sim| !known(sim).contains(&lost)));
    sim.assert_no_violations();
}

/// After a long partition, a controller's watch receives more changes than a reply may contain.
/// Guards against repeating the watch, which returns the same oversized reply forever: the
/// controller must read all keys again, in pages.
#[test]
fn a_watch_with_an_oversized_reply_falls_back_to_paged_reads() {
    let mut sim = Sim::new();
    sim.run(2000);
    let leader = sim.leader().expect("a leader");
    let cut_off = (leader + 1) % 3;
    sim.faults.cut_from_store.insert(cut_off);
    for number in 0..60 {
        let id = format!("run-{number:06}");
        sim.submit(leader, &submission(&id, "sweep", 2, 2.0, "normal"), 4000);
        sim.run(100);
    }
    sim.run(20_000);
    sim.faults.reply_bytes_max = Some(16 * 1024);
    sim.faults.cut_from_store.clear();
    sim.run(5000);
    assert!(sim.oversized_replies > 0, "no reply was oversized");
    assert!(
        sim.oversized_replies < 10,
        "{} replies were oversized",
        sim.oversized_replies
    );
    for number in 0..60 {
        let slot = sim.poll(cut_off, &format!("run-{number:06}"));
        sim.run(200);
        assert_eq!(sim.answer(slot).map(|reply| reply.code), Some(200));
    }
    sim.finish(300_000);
    sim.assert_no_violations();
}
