//! Faults that a test injects, what they hold back, and what happens as they end.

use std::collections::{BTreeMap, HashMap, HashSet};

use gaugesill::controller::Controller;
use gaugesill::epoch::Epoch;

use super::cloud_orders::CloudOrders;
use super::messages::{Call, Heartbeat, SimMessage};
use super::sim::Sim;

/// How the store treats transactions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Writes {
    #[default]
    Answered,
    /// One in `one_in` is applied, and its answer is lost.
    Unanswered { one_in: u64 },
    /// One in `one_in` gets no answer and is applied later.
    Late { one_in: u64, delay_ms: u64 },
}

/// How the store treats one transaction.
pub(super) enum WriteFate {
    Answered,
    Unanswered,
    Late { delay_ms: u64 },
}

impl Writes {
    /// `number`: the transaction's number, counted from 1.
    pub(super) fn fate_of(self, number: u64) -> WriteFate {
        match self {
            Writes::Unanswered { one_in } if number % one_in == 0 => WriteFate::Unanswered,
            Writes::Late { one_in, delay_ms } if number % one_in == 0 => {
                WriteFate::Late { delay_ms }
            }
            _ => WriteFate::Answered,
        }
    }
}

/// The faults that are injected now. Tests switch them on and off.
#[derive(Default)]
pub(crate) struct Faults {
    /// The store refuses everybody.
    pub store_outage: bool,
    /// Controllers that the store refuses; their watches wait.
    pub refused_by_store: HashSet<usize>,
    /// Controllers that cannot reach the store; what they send it arrives when the cut ends.
    pub cut_from_store: HashSet<usize>,
    /// Controllers that get no answers to reads of the store, and whose grants cannot be
    /// revoked.
    pub without_reads: HashSet<usize>,
    /// How the store treats transactions.
    pub writes: Writes,
    /// Larger answers to controllers are not delivered.
    pub reply_bytes_max: Option<usize>,
    /// How the cloud treats orders.
    pub cloud_orders: CloudOrders,
    /// Controllers that agents cannot reach, nor they the agents.
    pub cut_from_agents: HashSet<usize>,
    /// Controllers that the others cannot reach, nor they them.
    pub cut_from_peers: HashSet<usize>,
    /// Machines behind a cut: the heartbeats of their agents are held back.
    pub isolated_machines: HashSet<String>,
    /// The controller behind the same cut: it reaches those machines, and no others.
    isolated_controller: Option<usize>,
    /// Machines whose heartbeats arrive, but which neither answers nor commands reach.
    pub unable_to_receive: HashSet<String>,
    /// Machines that reach no controller, while direct commands reach them.
    pub unable_to_send: HashSet<String>,
    /// Machines on which every task fails.
    pub failing_machines: HashSet<String>,
    /// Machines that hang, and until when: what reaches them meanwhile is executed then.
    pub(super) hung_until: BTreeMap<String, u64>,
    /// How long machines take to pull an image, where that is unusual.
    pub image_pull_ms: HashMap<String, u64>,
    /// Every heartbeat arrives again after each of these times.
    pub heartbeat_copies_after_ms: Vec<u64>,
    /// A copy of every heartbeat is kept, and reaches every controller this long after the
    /// next leader was elected.
    pub copies_to_next_leader_after_ms: Option<u64>,
}

impl Faults {
    /// Whether a cut separates a controller from a machine.
    pub(super) fn are_partitioned(&self, controller: usize, machine: &str) -> bool {
        let is_inside = self.isolated_controller == Some(controller);
        self.cut_from_agents.contains(&controller)
            || self.isolated_machines.contains(machine) != is_inside
    }

    /// Whether a machine receives what a controller sends it.
    pub(super) fn can_receive(&self, machine: &str, controller: usize) -> bool {
        !self.are_partitioned(controller, machine) && !self.unable_to_receive.contains(machine)
    }

    /// Whether a machine's heartbeats to a controller are held back by a cut.
    pub(super) fn holds_back_heartbeats(&self, machine: &str, controller: usize) -> bool {
        self.isolated_machines.contains(machine) && self.isolated_controller != Some(controller)
    }

    pub(super) fn are_peers_cut(&self, one: usize, other: usize) -> bool {
        self.cut_from_peers.contains(&one) || self.cut_from_peers.contains(&other)
    }

    /// Whether the store answers a controller with 503.
    pub(super) fn is_refused_by_store(&self, controller: usize) -> bool {
        self.store_outage || self.refused_by_store.contains(&controller)
    }

    /// Whether the store's answers to a controller's watches are held back.
    pub(super) fn holds_back_watches(&self, controller: usize) -> bool {
        self.cut_from_store.contains(&controller)
            || self.refused_by_store.contains(&controller)
            || self.without_reads.contains(&controller)
    }

    pub(super) fn is_hung(&self, machine: &str) -> bool {
        self.hung_until.contains_key(machine)
    }
}

/// A call that is executed late, without an answer.
pub(super) struct LateCall {
    pub(super) due_at: u64,
    pub(super) call: Call,
}

/// A direct command that a machine executes when it hangs no longer.
pub(super) struct HungCall {
    pub(super) machine: String,
    pub(super) call: Call,
}

/// What faults hold back until they end.
#[derive(Default)]
pub(super) struct HeldMessages {
    pub(super) to_store: Vec<Call>,
    pub(super) to_hung_machines: Vec<HungCall>,
    pub(super) heartbeats: Vec<Heartbeat>,
    pub(super) late_writes: Vec<LateCall>,
    pub(super) late_cloud_orders: Vec<LateCall>,
    heartbeat_copies: Vec<Heartbeat>,
    /// The highest epoch at which kept copies were sent.
    copies_sent_at_epoch: Epoch,
}

impl HeldMessages {
    pub(super) fn keep_copy(&mut self, heartbeat: Heartbeat) {
        self.heartbeat_copies.push(heartbeat);
    }

    /// The kept copies if `epoch` is new: the latest of each machine, and some from well
    /// before.
    fn copies_for_epoch(&mut self, epoch: Epoch) -> Vec<Heartbeat> {
        if epoch <= self.copies_sent_at_epoch {
            return vec![];
        }
        self.copies_sent_at_epoch = epoch;
        let kept = std::mem::take(&mut self.heartbeat_copies);
        let count = kept.len();
        let chosen = kept.into_iter().enumerate();
        let chosen = chosen.filter(|(index, _)| index % 7 < 3 || index + 30 > count);
        chosen.map(|(_, heartbeat)| heartbeat).collect()
    }
}

impl Sim {
    /// Ends a controller's process; it starts again `back_after` ms later.
    pub(crate) fn crash(&mut self, controller: usize, back_after: u64) {
        self.controllers[controller] = None;
        self.lifecycles.on_crash(controller, self.now + back_after);
        self.watches
            .retain(|watch| watch.ticket.controller != controller);
        self.pauses.end(controller);
        self.note(format!("c{controller} crashes"));
    }

    /// Crashes all controllers; each is back after its own time.
    pub(crate) fn crash_all(&mut self, back_after: impl Fn(u64) -> u64) {
        for controller in 0..self.controllers.len() {
            self.crash(controller, back_after(controller as u64));
        }
    }

    /// An agent is back at once, with another incarnation and without its tasks.
    pub(crate) fn restart_agent(&mut self, machine: &str) {
        let now = self.now;
        if let Some(agent) = self.agents.get_mut(machine) {
            agent.begin_incarnation(now);
        }
        self.note(format!("{machine} restarts"));
    }

    /// A machine dies without a sign: it stays listed, but its agent never reports again.
    pub(crate) fn lose_agent(&mut self, machine: &str) {
        self.agents.remove(machine);
        let rented = self.cloud.machines.get_mut(machine);
        rented.expect("a listed machine").up_at = u64::MAX;
    }

    /// The cut of machines ends: their old heartbeats arrive, minutes late.
    pub(crate) fn heal_machines(&mut self) {
        self.faults.isolated_machines.clear();
        for heartbeat in std::mem::take(&mut self.held.heartbeats) {
            self.send(2, SimMessage::Heartbeat(heartbeat));
        }
    }

    /// A zone is cut off from everything, with a controller in it or none. Inside the cut
    /// everything goes on.
    pub(crate) fn cut_zone(&mut self, zone: &str, controller: Option<usize>) {
        let machines = self.cloud.machines.iter();
        let inside = machines.filter(|(_, machine)| machine.zone == zone);
        let names = inside.map(|(name, _)| name.clone());
        self.faults.isolated_machines.extend(names);
        self.faults.cut_from_store.extend(controller);
        self.faults.cut_from_peers.extend(controller);
        self.faults.isolated_controller = controller;
        self.note(format!("zone {zone} is cut off"));
    }

    pub(crate) fn heal_zone(&mut self) {
        self.faults.isolated_controller = None;
        self.faults.cut_from_peers.clear();
        self.heal_store();
        self.heal_machines();
        self.note("the cut ends".into());
    }

    /// The cut from the store ends, and what it held back is delivered.
    pub(crate) fn heal_store(&mut self) {
        self.faults.cut_from_store.clear();
        for call in std::mem::take(&mut self.held.to_store) {
            self.send(2, SimMessage::ToStore(call));
        }
    }

    /// The store is back for all, and every grant has its full time again.
    pub(crate) fn end_outage(&mut self) {
        self.faults.store_outage = false;
        self.store.refresh(self.now);
    }

    /// A machine hangs for a while.
    pub(crate) fn hang(&mut self, machine: &str, ms: u64) {
        let until = self.now + ms;
        self.faults.hung_until.insert(machine.to_string(), until);
        self.note(format!("{machine} hangs"));
    }

    pub(super) fn resume_hung_machines(&mut self) {
        let now = self.now;
        let due = self.faults.hung_until.iter().filter(|(_, at)| now >= **at);
        let due: Vec<String> = due.map(|(machine, _)| machine.clone()).collect();
        for machine in due {
            self.faults.hung_until.remove(&machine);
            self.note(format!("{machine} goes on"));
            for held in std::mem::take(&mut self.held.to_hung_machines) {
                if held.machine != machine {
                    self.held.to_hung_machines.push(held);
                    continue;
                }
                let HungCall { machine, call } = held;
                self.send(1, SimMessage::ToAgent { machine, call });
            }
        }
    }

    /// Applies late transactions that are due. No controller waits for their answers.
    pub(super) fn apply_late_writes(&mut self) {
        for late in std::mem::take(&mut self.held.late_writes) {
            if self.now < late.due_at || self.faults.store_outage {
                self.held.late_writes.push(late);
                continue;
            }
            let call = late.call;
            self.store
                .handle(call.method, &call.path, &call.body, self.now);
            for commit in std::mem::take(&mut self.store.commits) {
                self.note(format!("late: {commit}"));
            }
        }
    }

    pub(super) fn send_copies_to_next_leader(&mut self) {
        let Some(after_ms) = self.faults.copies_to_next_leader_after_ms else {
            return;
        };
        let epochs = self.controllers.iter().flatten().map(Controller::epoch);
        let epoch = epochs.max().unwrap_or(Epoch::NONE);
        for heartbeat in self.held.copies_for_epoch(epoch) {
            self.send(after_ms, SimMessage::Heartbeat(heartbeat));
        }
    }
}
