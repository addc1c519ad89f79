//! Holders that pause, crash or are cut off while an order is in flight.

use ciborium::Value;
use gaugesill::settings::FencingMode;

use crate::common::{CloudOrderBehavior, ControllerClocks, DutyEvent, Sim, WriteBehavior};
use crate::support::{
    finish_and_check_duties, step_until, submit, submit_array_and_gang, FENCES, LEASE_TTL_MS,
};

/// The steps of orders, as the duty and the phase of their records.
const STEPS: [(&str, &str); 5] = [
    ("rent", "needed"),
    ("rent", "recorded"),
    ("rent", "completed"),
    ("reclaim-idle", "needed"),
    ("return", "recorded"),
];

/// Waits until the holder of a duty has decided on an order and is paused before it sends it.
/// Returns the holder.
fn wait_until_paused(sim: &mut Sim, duty: &str) -> usize {
    let holder = sim.holder_of(duty).expect("the duty has no holder");
    sim.pauses.on_cloud_order.insert(holder, 4 * LEASE_TTL_MS);
    let is_paused = |sim: &Sim| !sim.pauses.on_cloud_order.contains_key(&holder);
    assert!(
        sim.run_until(60_000, is_paused),
        "{duty}: no order was decided on"
    );
    holder
}

/// A holder is paused for longer than its lease and then sends an order that it decided on before.
/// A provider that checks tokens refuses it, since the successor has repeated it with a higher
/// token; any other provider ignores it, since it has executed the same idempotency key.
#[test]
fn a_late_order_of_a_paused_holder_has_no_effect() {
    for fence in FENCES {
        for duty in ["rent", "return"] {
            let mut sim = Sim::with_duties(fence);
            submit_array_and_gang(&mut sim);
            let paused = wait_until_paused(&mut sim, duty);
            let token = sim.store.keys[&format!("g/d/l/{duty}/token")].value.clone();
            let has_new_holder = |sim: &Sim| sim.holder_of(duty).is_some_and(|h| h != paused);
            assert!(
                sim.run_until(3 * LEASE_TTL_MS, has_new_holder),
                "{duty} is still held by c{paused}"
            );
            finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
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

/// For each order that a controller sent for a duty with a token: whether it was refused.
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

/// The clock of each controller in turn jumps forward or stops for a while: no rule may be broken.
#[test]
fn clock_jumps_and_stops_break_no_rule() {
    for fence in FENCES {
        for controller in 0..3 {
            let mut sim = Sim::with_duties(fence);
            submit_array_and_gang(&mut sim);
            sim.run(1500);
            sim.clocks.leap_ms.insert(controller, 60_000);
            sim.run(3000);
            let at = sim.now + 60_000;
            sim.clocks.stopped_at.insert(controller, at);
            sim.run(2 * LEASE_TTL_MS);
            sim.clocks.stopped_at.clear();
            finish_and_check_duties(&mut sim, ControllerClocks::Faulty);
        }
    }
}

/// Which controllers crash at a step of an order.
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

/// The holder, the leader, both or all controllers crash between any two steps of an order, and
/// restart after 200 ms or 9 s: no order may be lost.
#[test]
fn no_order_is_lost_in_a_crash_at_any_step() {
    for (step, (duty, phase)) in STEPS.into_iter().enumerate() {
        for (case, crash) in Crash::EACH.into_iter().enumerate() {
            let mut sim = Sim::with_duties(FENCES[(step + case) % 2]);
            submit_array_and_gang(&mut sim);
            let is_reached = |sim: &Sim| sim.orders_in_phase(duty, phase) > 0;
            let is_reached = step_until(&mut sim, is_reached);
            assert!(is_reached, "no order of {duty} is {phase}");
            for controller in crash.controllers(&sim, duty) {
                sim.crash(controller, if step % 2 == 0 { 200 } else { 9000 });
            }
            finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
        }
    }
}

/// The store refuses the holder alone, and then all controllers for longer than `cancel_s`.
#[test]
fn the_store_refuses_the_holder_and_then_all_controllers() {
    for duty in ["rent", "return"] {
        let mut sim = Sim::with_duties(FencingMode::ProviderToken);
        submit_array_and_gang(&mut sim);
        sim.run_until(60_000, |sim| sim.orders_received(duty) > 0);
        let holder = sim.holder_of(duty).expect("the duty has no holder");
        sim.faults.refused_by_store.insert(holder);
        sim.run(LEASE_TTL_MS / 2);
        sim.faults.store_outage = true;
        sim.run(70_000);
        sim.faults.refused_by_store.clear();
        sim.end_outage();
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    }
}

/// Answers of the store are lost, and transactions are applied late, while holders crash.
#[test]
fn lost_answers_and_late_writes_of_the_store() {
    for (number, writes) in [
        WriteBehavior::Unanswered { one_in: 2 },
        WriteBehavior::Unanswered { one_in: 3 },
        WriteBehavior::Late {
            one_in: 3,
            delay_ms: 4000,
        },
        WriteBehavior::Late {
            one_in: 4,
            delay_ms: 9000,
        },
    ]
    .into_iter()
    .enumerate()
    {
        let mut sim = Sim::with_duties(FENCES[number % 2]);
        sim.faults.writes = writes;
        submit_array_and_gang(&mut sim);
        for round in 0..4 {
            sim.run(5000);
            if let Some(holder) = sim.holder_of(["rent", "return"][round % 2]) {
                sim.crash(holder, 300);
            }
        }
        sim.faults.writes = WriteBehavior::Answered;
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    }
}

/// Controllers reach the store but not one another: who holds a duty depends on leases alone.
#[test]
fn duties_work_while_controllers_are_cut_off_from_one_another() {
    let mut sim = Sim::with_duties(FencingMode::IdempotencyKey);
    sim.faults.cut_from_peers.extend([0, 1, 2]);
    submit_array_and_gang(&mut sim);
    sim.run(20_000);
    let holder = sim.holder_of("return").expect("the duty has no holder");
    sim.crash(holder, 60_000);
    sim.finish(240_000);
    assert!(sim.run_until(120_000, |sim| sim.cloud.machines.is_empty()));
    sim.faults.cut_from_peers.clear();
    submit(&mut sim, 3, "sweep", 2, 4.0);
    finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
}

/// While the holder changes, the cloud loses answers, executes orders late, refuses orders, or has
/// little or no capacity.
#[test]
fn cloud_faults_while_the_holder_changes() {
    let faults = [
        CloudOrderBehavior::Unanswered,
        CloudOrderBehavior::Late { delay_ms: 6000 },
        CloudOrderBehavior::Unavailable,
        CloudOrderBehavior::Answered,
    ];
    for (number, orders) in faults.into_iter().enumerate() {
        let mut sim = Sim::with_duties(FENCES[number % 2]);
        sim.faults.cloud_orders = orders;
        if orders == CloudOrderBehavior::Answered {
            sim.cloud.capacity = 0;
        }
        submit_array_and_gang(&mut sim);
        for round in 0..3 {
            sim.run(4000);
            sim.cloud.capacity = round + 1;
            if let Some(holder) = sim.holder_of("rent") {
                sim.crash(holder, 500);
            }
        }
        sim.faults.cloud_orders = CloudOrderBehavior::Answered;
        sim.cloud.capacity = 4;
        finish_and_check_duties(&mut sim, ControllerClocks::Reliable);
    }
}
