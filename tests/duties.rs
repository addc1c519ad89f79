//! Duties under fenced leases: whole controllers on the stand-ins, with the settings of
//! `deploy/duties.toml`, and troubles for the holders. What has to hold over the whole
//! history is checked in `tests/common/duties.rs`.

mod common;

use ciborium::cbor;
use common::{submission, CloudOrders, ControllerClocks, DutyEvent, ReducedLimits, Sim, Writes};
use gaugesill::duties::{DutyRecords, OrderKey, OrderPhase, OrderRecord};
use gaugesill::leadership_keys::LeaderKey;
use gaugesill::peer_protocol::PeerStatus;
use gaugesill::settings::DutyFence;
use gaugesill::wire::TaskState;
use proptest::prelude::*;

const FENCES: [DutyFence; 2] = [DutyFence::Booking, DutyFence::ProviderToken];
/// Life of a duty's lease with the settings of the tests.
const TTL_MS: u64 = 7200;
/// Orders' steps, as their records show them.
const STEPS: [(&str, &str); 5] = [
    ("rent", "needed"),
    ("rent", "recorded"),
    ("rent", "completed"),
    ("reclaim-idle", "needed"),
    ("return", "recorded"),
];

fn submit(sim: &mut Sim, number: usize, shape: &str, tasks: u32, cpus: f64) {
    let id = format!("run-{number:06}");
    let job = submission(&id, shape, tasks, cpus, "normal");
    let controller = (0..3).find(|controller| sim.controllers[*controller].is_some());
    sim.submit(controller.unwrap_or(0), &job, 3000);
}

/// An array and a gang, for which machines have to be rented and later returned.
fn submit_two(sim: &mut Sim) {
    submit(sim, 1, "sweep", 3, 4.0);
    submit(sim, 2, "group", 2, 6.0);
}

/// Users ask again, all work is done, the idle machines go, and every rule was kept.
fn finish(sim: &mut Sim, clocks: ControllerClocks) {
    sim.run(2000);
    let refused: Vec<String> = sim
        .jobs
        .iter()
        .filter(|j| !j.1.accepted)
        .map(|j| j.0.clone())
        .collect();
    for id in refused {
        let number = id[4..].parse().expect("a number");
        let shape = if sim.jobs[&id].gang { "group" } else { "sweep" };
        let (tasks, cpus) = (sim.jobs[&id].tasks, sim.jobs[&id].cpus);
        submit(sim, number, shape, tasks, cpus);
        sim.run(200);
    }
    sim.finish(240_000);
    assert!(
        sim.until(120_000, |sim| sim.cloud.machines.is_empty()),
        "machines stay: {:?}\n{}",
        sim.cloud.machines.keys(),
        sim.trace_text()
    );
    assert!(sim.until(60_000, Sim::are_all_awake));
    // Twice the list's lag, and its reading.
    sim.run(10_000);
    sim.assert_sound();
    sim.assert_known();
    sim.assert_duties_sound(clocks);
}

/// Waits until a controller has decided on an order of a duty and stands still with it.
fn wait_until_paused(sim: &mut Sim, duty: &str) -> usize {
    let holder = sim.holder_of(duty).expect("a holder");
    sim.pauses.on_cloud_order.insert(holder, 4 * TTL_MS);
    let stands = |sim: &Sim| !sim.pauses.on_cloud_order.contains_key(&holder);
    assert!(sim.until(60_000, stands), "no order of {duty}");
    holder
}

/// Waits for what may last for a few milliseconds.
fn until_moment(sim: &mut Sim, is_reached: impl Fn(&Sim) -> bool) -> bool {
    let end = sim.now + 60_000;
    while sim.now < end && !is_reached(sim) {
        sim.run(1);
    }
    is_reached(sim)
}

#[test]
fn holders_rent_and_return_what_the_leader_needs() {
    for fence in FENCES {
        let mut sim = Sim::with_duties(fence);
        // Versions that know no duties can't lead any more.
        let fenced = sim.store.keys["g/l/leader"]
            .value
            .deserialized::<LeaderKey>();
        assert_eq!(fenced.ok(), Some(LeaderKey::superseded()));
        let holders = ["rent", "return", "reclaim-idle", "clean-state"].map(|d| sim.holder_of(d));
        let distinct: std::collections::BTreeSet<_> = holders.iter().collect();
        assert_eq!(distinct.len(), 3, "spread over all: {holders:?}");
        submit_two(&mut sim);
        finish(&mut sim, ControllerClocks::Reliable);
        assert!(sim.orders_received("rent") > 0 && sim.orders_received("return") > 0);
        // Some of it was done by others than the leader.
        let leader = sim.leader();
        let by_others = sim
            .duty_history
            .iter()
            .any(|event| matches!(event, DutyEvent::Decided { controller, .. } if Some(*controller) != leader));
        assert!(by_others);
        let has_token = |e: &DutyEvent| matches!(e, DutyEvent::Received { token: Some(_), .. });
        let with_token = sim.duty_history.iter().any(has_token);
        assert_eq!(with_token, fence == DutyFence::ProviderToken);
    }
}

/// A holder that stands still for longer than its lease goes on with an order that it had
/// decided on. A provider that checks tokens refuses it, as the successor has repeated it
/// with a higher one; one that does not has carried out the same name before.
#[test]
fn a_holder_paused_with_an_order_does_no_harm() {
    for fence in FENCES {
        for duty in ["rent", "return"] {
            let mut sim = Sim::with_duties(fence);
            submit_two(&mut sim);
            let paused = wait_until_paused(&mut sim, duty);
            let token = sim.store.keys[&format!("g/d/l/{duty}/token")].value.clone();
            let passed_on = |sim: &Sim| sim.holder_of(duty).is_some_and(|h| h != paused);
            assert!(
                sim.until(3 * TTL_MS, passed_on),
                "{duty} stays with c{paused}"
            );
            finish(&mut sim, ControllerClocks::Reliable);
            let refused: Vec<bool> = sim
                .duty_history
                .iter()
                .filter_map(|event| match event {
                    DutyEvent::Received {
                        controller,
                        duty: d,
                        token: Some(t),
                        refused,
                        ..
                    } if *controller == paused && *d == duty && token == (*t).into() => {
                        Some(*refused)
                    }
                    _ => None,
                })
                .collect();
            if fence == DutyFence::ProviderToken {
                assert_eq!(
                    refused.last(),
                    Some(&true),
                    "{duty}: {:#?}",
                    sim.duty_history
                );
                assert!(sim
                    .store
                    .keys
                    .contains_key(&format!("g/d/l/{duty}/refused")));
            }
        }
    }
}

/// The clock of one controller after the other leaps forward or stands still for a while.
#[test]
fn clocks_that_leap_or_stand_still_do_no_harm() {
    for fence in FENCES {
        for controller in 0..3 {
            let mut sim = Sim::with_duties(fence);
            submit_two(&mut sim);
            sim.run(1500);
            sim.clocks.leap_ms.insert(controller, 60_000);
            sim.run(3000);
            let at = sim.now + 60_000;
            sim.clocks.stopped_at.insert(controller, at);
            sim.run(2 * TTL_MS);
            sim.clocks.stopped_at.clear();
            finish(&mut sim, ControllerClocks::Faulty);
        }
    }
}

/// The holder, the leader, both or all end between any two steps of an order, and are back
/// within a fraction of a second or later.
#[test]
fn a_crash_at_each_step_costs_no_order() {
    for (step, (duty, phase)) in STEPS.into_iter().enumerate() {
        for who in 0..4 {
            let mut sim = Sim::with_duties(FENCES[(step + who) % 2]);
            submit_two(&mut sim);
            let is_reached = |sim: &Sim| sim.orders_in(duty, phase) > 0;
            assert!(until_moment(&mut sim, is_reached), "{duty} {phase}");
            let (holder, leader) = (sim.holder_of(duty), sim.leader());
            let ends: Vec<usize> = match who {
                0 => holder.into_iter().collect(),
                1 => leader.into_iter().collect(),
                2 => holder
                    .into_iter()
                    .chain(leader.filter(|l| holder != Some(*l)))
                    .collect(),
                _ => vec![0, 1, 2],
            };
            for controller in ends {
                sim.crash(controller, if step % 2 == 0 { 200 } else { 9000 });
            }
            finish(&mut sim, ControllerClocks::Reliable);
        }
    }
}

/// The store refuses the holder alone, and then everybody for longer than a
/// cancellation has.
#[test]
fn a_holder_refused_alone_and_then_an_outage() {
    for duty in ["rent", "return"] {
        let mut sim = Sim::with_duties(DutyFence::ProviderToken);
        submit_two(&mut sim);
        sim.until(60_000, |sim| sim.orders_received(duty) > 0);
        let holder = sim.holder_of(duty).expect("a holder");
        sim.faults.refused_by_store.insert(holder);
        sim.run(TTL_MS / 2);
        sim.faults.store_outage = true;
        sim.run(70_000);
        sim.faults.refused_by_store.clear();
        sim.end_outage();
        finish(&mut sim, ControllerClocks::Reliable);
    }
}

/// Answers of the store are lost, and transactions are carried out late, while
/// holders end.
#[test]
fn lost_answers_and_late_writes() {
    for (number, writes) in [
        Writes::Unanswered { one_in: 2 },
        Writes::Unanswered { one_in: 3 },
        Writes::Late {
            one_in: 3,
            delay_ms: 4000,
        },
        Writes::Late {
            one_in: 4,
            delay_ms: 9000,
        },
    ]
    .into_iter()
    .enumerate()
    {
        let mut sim = Sim::with_duties(FENCES[number % 2]);
        sim.faults.writes = writes;
        submit_two(&mut sim);
        for round in 0..4 {
            sim.run(5000);
            if let Some(holder) = sim.holder_of(["rent", "return"][round % 2]) {
                sim.crash(holder, 300);
            }
        }
        sim.faults.writes = Writes::Answered;
        finish(&mut sim, ControllerClocks::Reliable);
    }
}

/// Controllers do not hear one another, while all reach the store: leases decide.
#[test]
fn controllers_cut_from_one_another() {
    let mut sim = Sim::with_duties(DutyFence::Booking);
    sim.faults.cut_from_peers.extend([0, 1, 2]);
    submit_two(&mut sim);
    sim.run(20_000);
    let holder = sim.holder_of("return").expect("a holder");
    sim.crash(holder, 60_000);
    sim.finish(240_000);
    assert!(sim.until(120_000, |sim| sim.cloud.machines.is_empty()));
    sim.faults.cut_from_peers.clear();
    submit(&mut sim, 3, "sweep", 2, 4.0);
    finish(&mut sim, ControllerClocks::Reliable);
}

/// The cloud loses answers, carries orders out late, has little or nothing to give or is in
/// trouble while the holder changes.
#[test]
fn a_cloud_in_trouble_while_the_holder_changes() {
    let troubles = [
        CloudOrders::Unanswered,
        CloudOrders::Late { delay_ms: 6000 },
        CloudOrders::Trouble,
        CloudOrders::Answered,
    ];
    for (number, orders) in troubles.into_iter().enumerate() {
        let mut sim = Sim::with_duties(FENCES[number % 2]);
        sim.faults.cloud_orders = orders;
        if orders == CloudOrders::Answered {
            sim.cloud.capacity = 0;
        }
        submit_two(&mut sim);
        for round in 0..3 {
            sim.run(4000);
            sim.cloud.capacity = round + 1;
            if let Some(holder) = sim.holder_of("rent") {
                sim.crash(holder, 500);
            }
        }
        sim.faults.cloud_orders = CloudOrders::Answered;
        sim.cloud.capacity = 4;
        finish(&mut sim, ControllerClocks::Reliable);
    }
}

/// A gang asks for machines in the moments in which they are chosen to be returned, and the
/// leader ends: of a place and a return that meet, one fails.
#[test]
fn a_gang_is_placed_as_machines_are_chosen_for_return() {
    for moment in 0..24 {
        let mut sim = Sim::with_duties(FENCES[moment % 2]);
        submit(&mut sim, 1, "group", 2, 6.0);
        assert!(sim.until(60_000, |sim| sim.all_done()));
        let chosen = |sim: &Sim| sim.orders_in("reclaim-idle", "needed") > 0;
        let before = 4000 + 40 * moment as u64;
        if moment < 12 {
            sim.run(before);
        } else {
            assert!(sim.until(60_000, chosen), "no machine is idle");
            sim.run(10 * (moment as u64 - 12));
        }
        submit(&mut sim, 2, "group", 2, 6.0);
        sim.run(30 * moment as u64);
        if let Some(leader) = sim.leader() {
            sim.crash(leader, if moment % 2 == 0 { 200 } else { 4000 });
        }
        finish(&mut sim, ControllerClocks::Reliable);
    }
}

/// The cloud carries out no return for a while, and the leader ends: its successor finds on
/// record what is to be returned, and gives it no work although it is idle and reports.
#[test]
fn what_is_on_record_to_be_returned_gets_no_work() {
    for fence in FENCES {
        let mut sim = Sim::with_duties(fence);
        submit(&mut sim, 1, "group", 2, 6.0);
        assert!(sim.until(60_000, Sim::all_done));
        sim.faults.cloud_orders = CloudOrders::Trouble;
        assert!(sim.until(60_000, |sim| sim.orders_in("return", "recorded") > 0));
        let leader = sim.leader().expect("a leader");
        sim.crash(leader, 200);
        let long = submission("run-000002", "group", 2, 6.0, "normal");
        let controller = (0..3)
            .find(|controller| *controller != leader)
            .expect("another");
        sim.submit(controller, &long, 40_000);
        sim.run(20_000);
        let works = |name: &String| sim.agents[name].live_tasks().next().is_some();
        let wrong: Vec<String> = sim
            .terminated_machines()
            .into_iter()
            .filter(works)
            .collect();
        assert!(wrong.is_empty(), "{wrong:?}\n{}", sim.trace_text());
        sim.faults.cloud_orders = CloudOrders::Answered;
        finish(&mut sim, ControllerClocks::Reliable);
    }
}

/// Found with duties on at the bench: drained machines were chosen for return before it was
/// on record that their last tasks had ended, and their holder refused that again and again.
#[test]
fn drained_machines_are_returned_once_the_records_say_so() {
    let mut sim = Sim::with_duties(DutyFence::Booking);
    // There is no place for the tasks elsewhere, so their ends are not written at once.
    sim.cloud.capacity = 1;
    submit(&mut sim, 1, "sweep", 2, 4.0);
    assert!(sim.until(60_000, |sim| sim.live_tasks() > 0));
    let faulty = sim.agents.keys().next().expect("a machine").clone();
    sim.faults.failing_machines.insert(faulty.clone());
    assert!(sim.until(60_000, |sim| !sim.cloud.machines.contains_key(&faulty)));
    finish(&mut sim, ControllerClocks::Reliable);
    assert_eq!(sim.rejected_requests(), 0, "{}", sim.trace_text());
}

/// The removal of a result that was taken in is refused: it is tried again soon, not left to
/// the holder of cleaning.
#[test]
fn results_are_removed_once_they_are_taken_in() {
    let mut sim = Sim::with_duties(DutyFence::Booking);
    submit_two(&mut sim);
    let is_told = |sim: &Sim| sim.orders_in("rent", "completed") > 0;
    assert!(until_moment(&mut sim, is_told));
    sim.store.reduced_limits = Some(ReducedLimits {
        value_bytes: 16 * 1024,
        transaction_writes: 20,
        writes_per_s: 0.0,
    });
    sim.run(1000);
    assert!(sim.store.refused_by_rate > 0, "the removal was refused");
    sim.store.reduced_limits = None;
    sim.run(5000);
    assert_eq!(sim.orders_in("rent", "completed"), 0);
    finish(&mut sim, ControllerClocks::Reliable);
}

/// While a controller runs an older version, or without the settings, duties stay with the
/// leader. One that comes back without them later leads, if it is elected, by writing needs.
#[test]
fn versions_and_settings_side_by_side() {
    let mut sim = Sim::new();
    sim.switch_duties_on(DutyFence::Booking);
    sim.deployment.previous_version.insert(0);
    sim.deployment.without_duties.insert(1);
    for controller in 0..3 {
        sim.crash(controller, 1 + 2000 * controller as u64);
    }
    submit_two(&mut sim);
    sim.run(20_000);
    assert!(!sim.are_duties_held());
    finish_without_duties(&mut sim);
    sim.deployment.previous_version.clear();
    sim.crash(0, 500);
    sim.run(12_000);
    // Whoever leads: one that could hold duties must not begin alone.
    sim.crash(1, 4000);
    sim.run(20_000);
    assert!(
        sim.leader() != Some(1) && !sim.are_duties_held(),
        "c1 holds none"
    );
    sim.deployment.without_duties.clear();
    sim.crash(1, 500);
    assert!(sim.until(60_000, Sim::are_duties_held));
    sim.duty_history.clear();
    for controller in 0..3 {
        sim.deployment.without_duties.insert(controller);
        sim.crash(controller, 300);
        sim.run(12_000);
        let number = 10 + controller;
        submit(&mut sim, number, "sweep", 2, 4.0);
        sim.run(15_000);
        sim.deployment.without_duties.clear();
        sim.crash(controller, 300);
        finish(&mut sim, ControllerClocks::Reliable);
    }
}

fn finish_without_duties(sim: &mut Sim) {
    sim.run(2000);
    submit_two(sim);
    sim.finish(150_000);
    sim.assert_sound();
}

/// Ten changes of hands in two minutes, by crashes that are over at once and by operators
/// who move the duty.
#[test]
fn ten_changes_of_hands_cost_no_order() {
    let mut sim = Sim::with_duties(DutyFence::ProviderToken);
    for round in 0..10 {
        submit(
            &mut sim,
            round,
            if round % 3 == 0 { "group" } else { "sweep" },
            2,
            6.0,
        );
        if round % 2 == 0 {
            let holder = sim.holder_of("rent").unwrap_or(0);
            sim.crash(holder, 300);
            sim.run(12_000);
        } else {
            let target = round % 3;
            let name = format!("c{target}");
            let holders = &mut sim.duty_settings().holders;
            holders.insert(duty_lease::Duty::Rent, name);
            for controller in 0..3 {
                sim.crash(controller, 200 + 300 * controller as u64);
            }
            assert!(
                sim.until(12_000, |sim| sim.holder_of("rent") == Some(target)),
                "moved"
            );
        }
    }
    finish(&mut sim, ControllerClocks::Reliable);
}

/// A controller that comes and goes within a second moves no duty that it does not hold.
#[test]
fn no_flapping_as_a_controller_comes_and_goes() {
    let mut sim = Sim::with_duties(DutyFence::Booking);
    let rent = sim.holder_of("rent").expect("a holder");
    let other = (0..3)
        .find(|controller| *controller != rent)
        .expect("another");
    let token = |sim: &Sim| sim.store.keys["g/d/l/rent/token"].value.clone();
    let before = token(&sim);
    for _ in 0..8 {
        sim.crash(other, 700);
        sim.run(2500);
    }
    assert_eq!((sim.holder_of("rent"), token(&sim)), (Some(rent), before));
}

fn tokens(sim: &Sim) -> Vec<ciborium::Value> {
    let keys = sim.store.keys.iter();
    let keys = keys.filter(|(key, _)| key.ends_with("/token"));
    keys.map(|(_, stored)| stored.value.clone()).collect()
}

/// Found with duties on at the bench: in an outage each holder took itself for gone.
#[test]
fn an_outage_moves_no_duty() {
    let mut sim = Sim::with_duties(DutyFence::Booking);
    sim.run(2 * TTL_MS);
    let before = tokens(&sim);
    sim.faults.store_outage = true;
    sim.run(30_000);
    sim.end_outage();
    sim.run(2 * TTL_MS);
    assert!(sim.are_duties_held());
    assert_eq!(tokens(&sim), before);
}

/// One that is away for longer than its lease and back for a moment, again and again, is
/// handed nothing before it has stayed for a while.
#[test]
fn nothing_is_handed_to_one_that_does_not_stay() {
    let mut sim = Sim::with_duties(DutyFence::Booking);
    sim.run(2 * TTL_MS);
    sim.crash(1, 3 * TTL_MS);
    sim.run(3 * TTL_MS - 100);
    let before = tokens(&sim);
    for _ in 0..4 {
        sim.run(TTL_MS / 2);
        sim.crash(1, TTL_MS);
        sim.run(TTL_MS - 100);
    }
    assert!(sim.are_duties_held());
    assert_eq!(tokens(&sim), before);
}

/// A controller that says of itself that it is well, and takes nothing that it is assigned:
/// the others take it after a while.
#[test]
fn others_take_what_an_assigned_controller_does_not() {
    let mut sim = Sim::with_duties(DutyFence::Booking);
    sim.crash(1, 3_600_000);
    let status = PeerStatus {
        member: "c1".into(),
        store_reachable: true,
        process_age_ms: 60_000,
        known_format: 2,
        ..PeerStatus::default()
    };
    let mut longest_free_ms = 0;
    let mut free_ms = 0;
    for _ in 0..160 {
        for controller in [0, 2] {
            sim.deliver_status(controller, &status);
        }
        sim.run(500);
        free_ms = if sim.are_duties_held() {
            0
        } else {
            free_ms + 500
        };
        longest_free_ms = longest_free_ms.max(free_ms);
    }
    assert!(longest_free_ms > TTL_MS, "c1 was assigned some");
    assert!(
        longest_free_ms < 4 * TTL_MS,
        "free for {longest_free_ms} ms"
    );
}

/// A return that somebody else wrote for a machine that works is refused by the holder of
/// that duty, and so is one for an idle machine by the holder that reclaims; what can't be
/// read is kept and never acted upon.
#[test]
fn a_machine_that_works_is_never_returned() {
    for duty in ["return", "reclaim-idle"] {
        let mut sim = Sim::with_duties(DutyFence::Booking);
        sim.submit(
            0,
            &submission("run-000001", "group", 2, 6.0, "normal"),
            20_000,
        );
        let works = |sim: &Sim| {
            let mut tasks = sim.agents.values().flat_map(|agent| &agent.tasks);
            tasks.any(|task| task.state == TaskState::Running)
        };
        assert!(sim.until(60_000, works));
        let machine = sim.agents.keys().next().expect("a machine").clone();
        let delete = cbor!({"machines" => [machine.as_str()], "if_empty" => true}).expect("value");
        let request =
            cbor!({"order" => {"delete" => delete}, "phase" => "needed", "since_ms" => 1});
        sim.store
            .put(&format!("g/d/o/{duty}/strange"), request.expect("value"));
        let violations = format!("g/d/o/{duty}/broken");
        sim.store
            .put(&violations, cbor!({"order" => 7}).expect("value"));
        sim.run(8000);
        assert!(sim.cloud.machines.contains_key(&machine), "{duty}");
        assert_eq!(sim.orders_in(duty, "needed"), 0, "it was answered");
        assert!(sim.store.keys.contains_key(&violations));
        finish(&mut sim, ControllerClocks::Reliable);
        assert!(sim.store.keys.contains_key(&violations), "{duty}");
    }
}

/// Without a holder nothing is rented, and the leader does not act in its stead.
#[test]
fn the_leader_never_acts_around_the_holder() {
    let mut sim = Sim::with_duties(DutyFence::Booking);
    sim.deployment.without_duties.extend([0, 1, 2]);
    for controller in 0..3 {
        sim.crash(controller, 300);
    }
    sim.run(3 * TTL_MS);
    submit_two(&mut sim);
    sim.run(60_000);
    assert!(sim.duty_history.is_empty(), "{:?}", sim.duty_history);
    assert!(sim.orders_in("rent", "needed") > 0);
    sim.deployment.without_duties.clear();
    for controller in 0..3 {
        sim.crash(controller, 300 + 100 * controller as u64);
    }
    finish(&mut sim, ControllerClocks::Reliable);
}

/// Results that no leader takes in and provisioning requests that nobody wants any more are removed at a
/// bounded rate; a dry run removes nothing. What terminates a machine stays.
#[test]
fn records_without_an_owner_are_removed() {
    for dry_run in [false, true] {
        let mut sim = Sim::new();
        sim.switch_duties_on(DutyFence::Booking);
        sim.duty_settings().cleaning_dry_run = dry_run;
        sim.duty_settings().cleaning_per_s = 0.5;
        // Nobody holds the duty of renting.
        sim.deployment.without_duties.clear();
        for controller in 0..3 {
            sim.crash(controller, 1);
        }
        assert!(sim.until(60_000, Sim::are_duties_held));
        let kind = cbor!({"machine_type" => "f8", "zone" => "a", "spot" => false, "count" => 1});
        let order = cbor!({"rent" => kind.expect("value")}).expect("value");
        // Of a duty that rents nothing, so its holder leaves it alone.
        for n in 0..5 {
            let request =
                cbor!({"order" => order, "phase" => "needed", "since_ms" => 1}).expect("value");
            sim.store
                .put(&format!("g/d/o/clean-state/left-{n}"), request);
        }
        sim.run(70_000);
        assert_eq!(
            sim.orders_in("clean-state", "needed"),
            5,
            "they may still be wanted"
        );
        sim.run(5000);
        let left = sim.orders_in("clean-state", "needed");
        assert!(
            dry_run || (1..5).contains(&left),
            "{left} at a bounded rate"
        );
        sim.run(12_000);
        let left = sim.orders_in("clean-state", "needed");
        assert_eq!(left, if dry_run { 5 } else { 0 });
    }
}

/// Random troubles, one after another and together, and what must hold after them.
#[test]
fn random_troubles_break_no_rule() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..24 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Sim::with_duties(FENCES[seed as usize % 2]);
        for round in 0..8 {
            submit(
                &mut sim,
                round,
                if rng.random_bool(0.5) {
                    "group"
                } else {
                    "sweep"
                },
                2,
                6.0,
            );
            let controller = rng.random_range(0..3);
            match rng.random_range(0..8) {
                0 => sim.crash(controller, rng.random_range(100..12_000)),
                1 => {
                    sim.pauses
                        .on_next_action
                        .insert(controller, rng.random_range(500..20_000));
                }
                2 => {
                    sim.faults.cloud_orders = CloudOrders::Late {
                        delay_ms: rng.random_range(500..9000),
                    }
                }
                3 => sim.faults.cloud_orders = CloudOrders::Unanswered,
                4 => {
                    sim.faults.writes = Writes::Late {
                        one_in: rng.random_range(2..6),
                        delay_ms: rng.random_range(500..9000),
                    }
                }
                5 => {
                    sim.faults.refused_by_store.insert(controller);
                }
                6 => sim.faults.store_outage = true,
                _ => {
                    sim.faults.cut_from_peers.insert(controller);
                }
            }
            sim.run(rng.random_range(500..9000));
            if rng.random_bool(0.5) {
                sim.faults.cloud_orders = CloudOrders::Answered;
                sim.faults.writes = Writes::Answered;
                sim.faults.refused_by_store.clear();
                sim.faults.cut_from_peers.clear();
                if sim.faults.store_outage {
                    sim.end_outage();
                }
            }
        }
        sim.faults.cloud_orders = CloudOrders::Answered;
        sim.faults.writes = Writes::Answered;
        sim.faults.refused_by_store.clear();
        sim.faults.cut_from_peers.clear();
        sim.end_outage();
        finish(&mut sim, ControllerClocks::Reliable);
    }
}

fn record(phase: u8) -> OrderRecord {
    let id = duty_lease::OrderId {
        duty: duty_lease::Duty::Return,
        token: 1,
        sequence: u64::from(phase),
    };
    OrderRecord {
        order: duty_lease::Order::Delete {
            machines: vec!["m-1".into()],
            if_empty: true,
        },
        phase: match phase {
            0 => OrderPhase::Needed,
            1 => OrderPhase::Recorded(id),
            _ => OrderPhase::Completed(duty_lease::OrderResult::Rejected),
        },
        since_ms: 0,
    }
}

/// A record that becomes unreadable is not acted upon in its earlier form, and its machines
/// stay out of use until it is gone.
#[test]
fn the_earlier_form_of_an_unreadable_record_is_not_acted_upon() {
    let duty = duty_lease::Duty::Return;
    let key = OrderKey {
        duty,
        request: "n".into(),
    };
    let name = gaugesill::duties::order_key(&key);
    for phase in 0..2 {
        let mut records = DutyRecords::default();
        records.apply_set(&name, &record(phase).to_value(), 1);
        records.apply_set(&name, &7.into(), 2);
        assert!(records.requests(duty).is_empty() && records.intents(duty).is_empty());
        assert!(records.is_being_terminated("m-1"));
        assert_eq!(records.unreadable().collect::<Vec<_>>(), [name.as_str()]);
        records.take_changes();
        records.apply_delete(&name, 3);
        assert!(!records.is_being_terminated("m-1"));
        let changes = records.take_changes();
        assert!(
            changes.iter().all(|c| c.before.is_none()),
            "nothing is known of its end"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// Whatever own changes run ahead of the watch, and however pages and the watch tell of
    /// the same changes again, the watch cache ends with what the store holds, and never
    /// shows an older record after a newer one.
    #[test]
    fn records_are_the_same_in_any_order_of_news(
        changes in prop::collection::vec((0u8..3, 0u8..4), 1..30),
        own in prop::collection::vec(any::<bool>(), 30),
        repeats in prop::collection::vec(0usize..30, 0..10),
    ) {
        let key = |request: u8| OrderKey { duty: duty_lease::Duty::Return, request: request.to_string() };
        let mut truth = std::collections::BTreeMap::new();
        let mut news = Vec::new();
        for (index, (request, phase)) in changes.iter().enumerate() {
            let version = index as u64 + 1;
            let value = (*phase < 3).then(|| record(*phase));
            if value.is_none() && truth.remove(request).is_none() {
                continue;
            }
            if let Some(value) = &value {
                truth.insert(*request, value.clone());
            }
            news.push((*request, value, version));
        }
        let mut records = DutyRecords::default();
        // Own changes are known as soon as they are made, the latest first.
        for (index, (request, value, version)) in news.iter().enumerate().rev() {
            if own[index] {
                records.apply_own_write(&key(*request), value.clone(), *version);
            }
        }
        for (index, (request, value, version)) in news.iter().enumerate() {
            let name = gaugesill::duties::order_key(&key(*request));
            let seen = records.order(&key(*request)).map(|(_, version)| version);
            match value {
                Some(value) => records.apply_set(&name, &value.to_value(), *version),
                None => records.apply_delete(&name, *version),
            }
            // The same again, as a page that was read meanwhile has it.
            if repeats.contains(&index) {
                if let Some(value) = value {
                    records.apply_set(&name, &value.to_value(), *version);
                }
            }
            let now = records.order(&key(*request)).map(|(_, version)| version);
            prop_assert!(now.is_none() || now >= seen);
            // Nor what an own change is known to have replaced or removed.
            let of_request = news.iter().enumerate().filter(|(i, n)| own[*i] && n.0 == *request);
            let latest_own = of_request.map(|(_, (_, _, version))| *version).max();
            prop_assert!(now.is_none() || now >= latest_own);
        }
        for request in 0..3u8 {
            let left = records.order(&key(request)).map(|(record, _)| record.clone());
            prop_assert_eq!(left, truth.get(&request).cloned());
        }
        let open = truth.values().any(|r| !matches!(r.phase, OrderPhase::Completed(_)));
        prop_assert_eq!(records.is_being_terminated("m-1"), open);
    }
}
