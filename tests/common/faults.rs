//! Faults that a test injects, the messages that they hold back, and the recovery from them.

use std::collections::{BTreeMap, HashMap, HashSet};

use gaugesill::controller::Controller;
use gaugesill::epoch::Epoch;

use super::cloud_orders::CloudOrderBehavior;
use super::messages::{Call, Heartbeat, SimMessage};
use super::repeats::Repeats;
use super::sim::Sim;

/// How the store handles transactions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum WriteBehavior {
    #[default]
    Answered,
    /// One in `one_in` is applied, but its answer is lost.
    Unanswered { one_in: u64 },
    /// One in `one_in` gets no answer and is applied later.
    Late { one_in: u64, delay_ms: u64 },
}

/// How the store handles one transaction.
pub(super) enum WriteFate {
    Answered,
    Unanswered,
    Late { delay_ms: u64 },
}

impl WriteBehavior {
    /// `number`: the transaction's number, counted from 1.
    pub(super) fn fate_of(self, number: u64) -> WriteFate {
        match self {
            WriteBehavior::Unanswered { one_in } if number % one_in == 0 => WriteFate::Unanswered,
            WriteBehavior::Late { one_in, delay_ms } if number % one_in == 0 => {
                WriteFate::Late { delay_ms }
            }
            _ => WriteFate::Answered,
        }
    }
}

/// The faults that are currently injected. Tests switch them on and off.
#[derive(Default)]
pub(crate) struct Faults {
    /// The store refuses all requests.
    pub store_outage: bool,
    /// Controllers whose requests the store refuses, and whose watches it does not answer.
    pub refused_by_store: HashSet<usize>,
    /// Controllers partitioned from the store; their requests arrive when the partition heals.
    pub cut_from_store: HashSet<usize>,
    /// Controllers whose reads and deletions of grants the store drops.
    pub unanswered_reads: HashSet<usize>,
    /// How the store handles transactions.
    pub writes: WriteBehavior,
    /// Maximum body length of answers to controllers' calls; larger ones are not delivered.
    pub reply_bytes_max: Option<usize>,
    /// How the cloud handles orders.
    pub cloud_orders: CloudOrderBehavior,
    /// Controllers partitioned from all agents.
    pub cut_from_agents: HashSet<usize>,
    /// Controllers partitioned from the other controllers.
    pub cut_from_peers: HashSet<usize>,
    /// Machines in a partition; their agents' heartbeats to controllers outside are held back.
    pub isolated_machines: HashSet<String>,
    /// The controller in the same partition: it reaches those machines, and no others.
    isolated_controller: Option<usize>,
    /// Machines whose heartbeats arrive, but which receive neither answers nor commands.
    pub unable_to_receive: HashSet<String>,
    /// Machines that receive direct commands, but whose heartbeats are lost.
    pub unable_to_send: HashSet<String>,
    /// Machines on which every task fails.
    pub failing_machines: HashSet<String>,
    /// Hung machines and when they resume; calls that arrive before are executed then.
    pub(super) hung_until: BTreeMap<String, u64>,
    /// How long machines take to pull an image, where that differs from the default.
    pub image_pull_ms: HashMap<String, u64>,
    /// Delays after which a copy of every heartbeat arrives at every controller.
    pub heartbeat_copies_after_ms: Vec<u64>,
    /// When calls that were carried out arrive once more.
    pub repeats: Repeats,
    /// Delay after the election of the next leader at which copies of earlier heartbeats arrive at
    /// every controller.
    pub copies_to_next_leader_after_ms: Option<u64>,
}

impl Faults {
    /// Whether a partition separates a controller from a machine.
    pub(super) fn are_partitioned(&self, controller: usize, machine: &str) -> bool {
        let is_inside = self.isolated_controller == Some(controller);
        self.cut_from_agents.contains(&controller)
            || self.isolated_machines.contains(machine) != is_inside
    }

    /// Whether a machine receives a controller's messages.
    pub(super) fn can_receive(&self, machine: &str, controller: usize) -> bool {
        !self.are_partitioned(controller, machine) && !self.unable_to_receive.contains(machine)
    }

    /// Whether a partition holds back a machine's heartbeats to a controller.
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
            || self.unanswered_reads.contains(&controller)
    }

    pub(super) fn is_hung(&self, machine: &str) -> bool {
        self.hung_until.contains_key(machine)
    }
}

/// A call that is executed late and not answered.
pub(super) struct LateCall {
    pub(super) due_at: u64,
    pub(super) call: Call,
}

/// A call that a hung machine executes when it resumes.
pub(super) struct HungCall {
    pub(super) machine: String,
    pub(super) call: Call,
}

/// Messages that faults hold back.
#[derive(Default)]
pub(super) struct HeldMessages {
    pub(super) to_store: Vec<Call>,
    pub(super) to_hung_machines: Vec<HungCall>,
    pub(super) heartbeats: Vec<Heartbeat>,
    pub(super) late_writes: Vec<LateCall>,
    pub(super) late_cloud_orders: Vec<LateCall>,
    /// Copies of calls that are sent when the process of the controller that made them ends.
    pub(super) until_crash: HashMap<usize, Vec<SimMessage>>,
    heartbeat_copies: Vec<Heartbeat>,
    /// The highest epoch for which the stored copies were sent.
    copies_sent_at_epoch: Epoch,
}

impl HeldMessages {
    pub(super) fn store_copy(&mut self, heartbeat: Heartbeat) {
        self.heartbeat_copies.push(heartbeat);
    }

    /// If `epoch` is new, takes the stored copies: the last 29 and, of the earlier ones, three of
    /// every seven.
    fn copies_for_epoch(&mut self, epoch: Epoch) -> Vec<Heartbeat> {
        if epoch <= self.copies_sent_at_epoch {
            return vec![];
        }
        self.copies_sent_at_epoch = epoch;
        let copies = std::mem::take(&mut self.heartbeat_copies);
        let count = copies.len();
        let chosen = copies.into_iter().enumerate();
        let chosen = chosen.filter(|(index, _)| index % 7 < 3 || index + 30 > count);
        chosen.map(|(_, heartbeat)| heartbeat).collect()
    }
}

impl Sim {
    /// Ends a controller's process, and restarts it `restart_after_ms` later.
    pub(crate) fn crash(&mut self, controller: usize, restart_after_ms: u64) {
        self.controllers[controller] = None;
        self.lifecycles
            .on_crash(controller, self.now + restart_after_ms);
        self.watches
            .retain(|watch| watch.ticket.controller != controller);
        self.pauses.end(controller);
        self.trace_event(format!("c{controller} crashes"));
        self.repeat_calls_of_ended(controller);
    }

    /// Crashes all controllers; `restart_after_ms` gives the time for each.
    pub(crate) fn crash_all(&mut self, restart_after_ms: impl Fn(u64) -> u64) {
        for controller in 0..self.controllers.len() {
            self.crash(controller, restart_after_ms(controller as u64));
        }
    }

    /// Restarts an agent at once, with a new incarnation and without its tasks.
    pub(crate) fn restart_agent(&mut self, machine: &str) {
        let now = self.now;
        if let Some(agent) = self.agents.get_mut(machine) {
            agent.begin_incarnation(now);
        }
        self.trace_event(format!("{machine} restarts"));
    }

    /// A machine fails silently: it stays listed, but its agent never sends a heartbeat again.
    pub(crate) fn fail_machine_silently(&mut self, machine: &str) {
        self.agents.remove(machine);
        let rented = self.cloud.machines.get_mut(machine);
        rented.expect("a listed machine").up_at = u64::MAX;
    }

    /// Heals the partition of machines; their held-back heartbeats arrive.
    pub(crate) fn heal_machines(&mut self) {
        self.faults.isolated_machines.clear();
        for heartbeat in std::mem::take(&mut self.held.heartbeats) {
            self.send(2, SimMessage::Heartbeat(heartbeat));
        }
    }

    /// Partitions a zone, with at most one controller in it, from everything else. Communication
    /// inside the partition continues.
    pub(crate) fn cut_zone(&mut self, zone: &str, controller: Option<usize>) {
        let machines = self.cloud.machines.iter();
        let inside = machines.filter(|(_, machine)| machine.zone == zone);
        let names = inside.map(|(name, _)| name.clone());
        self.faults.isolated_machines.extend(names);
        self.faults.cut_from_store.extend(controller);
        self.faults.cut_from_peers.extend(controller);
        self.faults.isolated_controller = controller;
        self.trace_event(format!("zone {zone} is cut off"));
    }

    pub(crate) fn heal_zone(&mut self) {
        self.faults.isolated_controller = None;
        self.faults.cut_from_peers.clear();
        self.heal_store();
        self.heal_machines();
        self.trace_event("the cut ends".into());
    }

    /// Heals the partition from the store; the held-back requests are delivered.
    pub(crate) fn heal_store(&mut self) {
        self.faults.cut_from_store.clear();
        for call in std::mem::take(&mut self.held.to_store) {
            self.send(2, SimMessage::ToStore(call));
        }
    }

    /// Ends the outage of the store, and renews every grant for its full time to live.
    pub(crate) fn end_outage(&mut self) {
        self.faults.store_outage = false;
        self.store.refresh(self.now);
    }

    /// Makes a machine hang for `ms`.
    pub(crate) fn hang_machine(&mut self, machine: &str, ms: u64) {
        let until = self.now + ms;
        self.faults.hung_until.insert(machine.to_string(), until);
        self.trace_event(format!("{machine} hangs"));
    }

    pub(super) fn resume_hung_machines(&mut self) {
        let now = self.now;
        let due = self.faults.hung_until.iter().filter(|(_, at)| now >= **at);
        let due: Vec<String> = due.map(|(machine, _)| machine.clone()).collect();
        for machine in due {
            self.faults.hung_until.remove(&machine);
            self.trace_event(format!("{machine} goes on"));
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

    /// Applies the delayed transactions that are due. Their answers are dropped.
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
                self.trace_event(format!("late: {commit}"));
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
