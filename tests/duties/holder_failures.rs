//! Holders that pause, crash or are cut off while an order is under way.

use ciborium::Value;
use gaugesill::settings::FencingMode;

use crate::common::{CloudOrders, ControllerClocks, DutyEvent, Sim, Writes};
use crate::support::{finish, submit, submit_two, until_moment, FENCES, TTL_MS};

/// The steps of orders: duty and phase of the records.
const STEPS: [(&str, &str); 5] = [
    ("rent", "needed"),
    ("rent", "recorded"),
    ("rent", "completed"),
    ("reclaim-idle", "needed"),
    ("return", "recorded"),
];

/// Waits until the holder of a duty has decided on an order and is paused before sending it.
fn wait_until_paused(sim: &mut Sim, duty: &str) -> usize {
    let holder = sim.holder_of(duty).expect("a holder");
    sim.pauses.on_cloud_order.insert(holder, 4 * TTL_MS);
    let is_paused = |sim: &Sim| !sim.pauses.on_cloud_order.contains_key(&holder);
    assert!(
        sim.until(60_000, is_paused),
        "{duty}: no order was decided on"
    );
    holder
}

/// A holder is paused for longer than its lease and then sends an order that it had decided
/// on before. A provider that checks tokens refuses it, as the successor has repeated it with
/// a higher one; a provider that does not has executed the same idempotency key before.
#[test]
fn an_order_of_a_paused_holder_does_no_harm() {
    for fence in FENCES {
        for duty in ["rent", "return"] {
            let mut sim = Sim::with_duties(fence);
            submit_two(&mut sim);
            let paused = wait_until_paused(&mut sim, duty);
            let token = sim.store.keys[&format!("g/d/l/{duty}/token")].value.clone();
            let passed_on = |sim: &Sim| sim.holder_of(duty).is_some_and(|h| h != paused);
            assert!(
                sim.until(3 * TTL_MS, passed_on),
                "{duty} is still held by c{paused}"
            );
            finish(&mut sim, ControllerClocks::Reliable);
            if fence == FencingMode::ProviderToken {
                let refused = refusals(&sim, paused, duty, &token);
                let history = &sim.duty_history;
                assert_eq!(refused.last(), Some(&true), "{duty}: {history:#?}");
                let refusal_key = format!("g/d/l/{duty}/refused");
                assert!(sim.store.keys.contains_key(&refusal_key));
            }
        }
    }
}

/// Whether each order that a controller sent for a duty with a token was refused.
fn refusals(sim: &Sim, by: usize, of_duty: &str, with_token: &Value) -> Vec<bool> {
    let refusal = |event: &DutyEvent| match event {
        DutyEvent::Received {
            controller,
            duty,
            token: Some(token),
            refused,
            ..
        } if *controller == by && *duty == of_duty && *with_token == (*token).into() => {
            Some(*refused)
        }
        _ => None,
    };
    sim.duty_history.iter().filter_map(refusal).collect()
}

/// The clock of one controller after the other leaps forward or stops for a while.
#[test]
fn clocks_that_leap_or_stop_do_no_harm() {
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

/// Which controllers crash.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crash {
    Holder,
    Leader,
    HolderAndLeader,
    All,
}

impl Crash {
    const EACH: [Crash; 4] = [
        Crash::Holder,
        Crash::Leader,
        Crash::HolderAndLeader,
        Crash::All,
    ];

    fn controllers(self, sim: &Sim, duty: &str) -> Vec<usize> {
        let (holder, leader) = (sim.holder_of(duty), sim.leader());
        match self {
            Crash::Holder => holder.into_iter().collect(),
            Crash::Leader => leader.into_iter().collect(),
            Crash::HolderAndLeader => {
                let other = leader.filter(|leader| holder != Some(*leader));
                holder.into_iter().chain(other).collect()
            }
            Crash::All => vec![0, 1, 2],
        }
    }
}

/// The holder, the leader, both or all crash between any two steps of an order, and are back
/// within a fraction of a second or later.
#[test]
fn a_crash_at_each_step_costs_no_order() {
    for (step, (duty, phase)) in STEPS.into_iter().enumerate() {
        for (case, crash) in Crash::EACH.into_iter().enumerate() {
            let mut sim = Sim::with_duties(FENCES[(step + case) % 2]);
            submit_two(&mut sim);
            let is_reached = |sim: &Sim| sim.orders_in(duty, phase) > 0;
            let is_reached = until_moment(&mut sim, is_reached);
            assert!(is_reached, "no order of {duty} is {phase}");
            for controller in crash.controllers(&sim, duty) {
                sim.crash(controller, if step % 2 == 0 { 200 } else { 9000 });
            }
            finish(&mut sim, ControllerClocks::Reliable);
        }
    }
}

/// The store refuses the holder alone, and then everybody for longer than `cancel_s`.
#[test]
fn a_holder_refused_alone_and_then_an_outage() {
    for duty in ["rent", "return"] {
        let mut sim = Sim::with_duties(FencingMode::ProviderToken);
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

/// Answers of the store are lost, and transactions are applied late, while holders crash.
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

/// Controllers cannot reach one another, while all reach the store: leases decide.
#[test]
fn controllers_cut_from_one_another() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
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

/// The cloud loses answers, executes orders late, has little or no capacity or refuses orders
/// while the holder changes.
#[test]
fn cloud_faults_while_the_holder_changes() {
    let faults = [
        CloudOrders::Unanswered,
        CloudOrders::Late { delay_ms: 6000 },
        CloudOrders::Trouble,
        CloudOrders::Answered,
    ];
    for (number, orders) in faults.into_iter().enumerate() {
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
