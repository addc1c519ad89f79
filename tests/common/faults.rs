//! Troubles that a test causes.

use gaugesill::controller::Controller;
use prost::Message;

use super::messages::*;
use super::sim::*;

impl Sim {
    pub fn crash(&mut self, controller: usize, back_after: u64) {
        self.controllers[controller] = None;
        self.generations[controller] += 1;
        self.restart_at[controller] = Some(self.now + back_after);
        self.watches.retain(|w| w.ticket.controller != controller);
        self.paused.remove(&controller);
        self.note(format!("c{controller} crashes"));
    }

    /// An agent is back at once, with another incarnation and without its tasks.
    pub fn restart_agent(&mut self, machine: &str) {
        if let Some(w) = self.agents.get_mut(machine) {
            w.tasks.clear();
            w.incarnation += 1;
            w.changed = true;
            w.waiting = None;
            w.last_acknowledged_at = self.now;
        }
        self.note(format!("{machine} restarts"));
    }

    /// The cut of machines ends: their old reports arrive, minutes late.
    pub fn heal_machines(&mut self) {
        self.isolated_machines.clear();
        for m in std::mem::take(&mut self.delayed_messages) {
            self.send(2, m);
        }
    }

    /// A zone is cut off from everything, with a controller in it or none; it
    /// goes on inside.
    pub fn cut_zone(&mut self, zone: &str, controller: Option<usize>) {
        for (name, m) in &self.cloud.machines {
            if m.zone == zone {
                self.isolated_machines.insert(name.clone());
            }
        }
        self.cut_from_store.extend(controller);
        self.cut_from_peers.extend(controller);
        self.isolated_controller = controller;
        self.note(format!("zone {zone} is cut off"));
    }

    pub fn heal_zone(&mut self) {
        self.isolated_controller = None;
        self.cut_from_peers.clear();
        self.heal_store();
        self.heal_machines();
        self.note("the cut ends".into());
    }

    /// Whether a cut is between a controller and a machine.
    pub(super) fn are_partitioned(&self, controller: usize, machine: &str) -> bool {
        self.cut_from_agents.contains(&controller)
            || (self.isolated_machines.contains(machine)
                != (self.isolated_controller == Some(controller)))
    }

    /// What a cut held back is delivered.
    pub fn heal_store(&mut self) {
        self.cut_from_store.clear();
        for m in std::mem::take(&mut self.held_messages) {
            self.send(2, m);
        }
    }

    /// The store is back for all, and every grant has its full time again.
    pub fn end_outage(&mut self) {
        self.store_outage = false;
        let now = self.now;
        self.store.refresh(now);
    }

    /// A machine stands still, and goes on after this time.
    pub fn hang(&mut self, machine: &str, ms: u64) {
        self.hung_until.insert(machine.to_string(), self.now + ms);
        self.note(format!("{machine} hangs"));
    }

    pub(super) fn wake_machines(&mut self) {
        let now = self.now;
        let awake: Vec<String> = self
            .hung_until
            .iter()
            .filter(|h| now >= *h.1)
            .map(|h| h.0.clone())
            .collect();
        for machine in awake {
            self.hung_until.remove(&machine);
            self.note(format!("{machine} goes on"));
            for m in std::mem::take(&mut self.hung_inbox) {
                match &m {
                    SimMessage::Agent { machine: h, .. } if *h == machine => self.send(1, m),
                    _ => self.hung_inbox.push(m),
                }
            }
        }
    }

    pub(super) fn late_writes(&mut self) {
        for (at, m) in std::mem::take(&mut self.held_writes) {
            match m {
                SimMessage::State {
                    method, path, body, ..
                } if self.now >= at && !self.store_outage => {
                    // Nobody waits for the answer any more.
                    self.store.handle(method, &path, &body, self.now);
                    for c in std::mem::take(&mut self.store.commits) {
                        self.note(format!("late: {c}"));
                    }
                }
                m => self.held_writes.push((at, m)),
            }
        }
    }

    pub(super) fn next_leaders_copies(&mut self) {
        let Some(after) = self.copies_for_next else {
            return;
        };
        let epochs = self.controllers.iter().flatten().map(Controller::epoch);
        let epoch = epochs.max().unwrap_or(0);
        if epoch > self.epoch_seen {
            self.epoch_seen = epoch;
            let kept = std::mem::take(&mut self.kept_copies);
            // The latest of each machine, and one from well before.
            let n = kept.len();
            for (i, m) in kept.into_iter().enumerate() {
                if i % 7 < 3 || i + 30 > n {
                    self.send(after, m);
                }
            }
        }
    }
}
