//! Asking machines directly that should send heartbeats and do not.

use super::reconcile::RECONCILE_INTERVAL_RATIO;
use super::{to_ms, Effect, Scheduler};
use crate::epoch::Epoch;
use crate::machine::{CloudStatus, Machine};
use crate::wire::Incarnation;

/// When a new leader begins to ask machines that have not sent a heartbeat, as a share of the
/// time within which the tasks of a gang notice that one of them is gone.
const FIRST_PROBE_SHARE: f64 = 0.5;
/// At least in how many parts all machines are asked.
const PROBE_PARTS: usize = 12;
/// Machines that a whole core asks per second; a part of a core accordingly fewer. Each needs
/// a connection of its own.
const PROBES_PER_CORE: f64 = 250.0;

/// When machines are to be probed.
struct ProbeSchedule {
    epoch: Epoch,
    began_at: u64,
    /// From then on machines without our epoch are probed.
    first_probe_at: u64,
    silence_tolerance_ms: u64,
    now: u64,
}

impl ProbeSchedule {
    fn is_due(&self, machine: &Machine) -> bool {
        let last_status_at = machine.last_status_at.unwrap_or(machine.known_since);
        let is_silent = self.now > last_status_at.max(self.began_at) + self.silence_tolerance_ms;
        let needs_epoch = machine.epoch < self.epoch && self.now > self.first_probe_at;
        let is_suspect = is_silent || machine.is_reachability_unverified() || needs_epoch;
        let is_expected =
            machine.last_status_at.is_some() || machine.cloud_status == CloudStatus::Running;
        let is_rested = self.now >= machine.last_probe_at + self.silence_tolerance_ms / 2;
        is_suspect && is_expected && is_rested
    }

    /// The request that shows a machine's status. `None` if its address is unknown.
    fn probe(&self, machine: &Machine) -> Option<Effect> {
        let address = machine.address?;
        let name = machine.name.clone();
        let raises_epoch = machine.incarnation > Incarnation::NONE && machine.epoch < self.epoch;
        Some(if raises_epoch {
            Effect::Commands {
                machine: name,
                address,
                incarnation: machine.incarnation,
                commands: vec![],
                starts: vec![],
            }
        } else {
            Effect::Inspect {
                machine: name,
                address,
            }
        })
    }
}

impl Scheduler {
    /// Asks machines directly that should send heartbeats and do not, which also raises the
    /// epoch of those that another controller still answers. A new leader soon asks all that
    /// have not sent a heartbeat by themselves, some at a time, since it cannot place their
    /// tasks anew before it knows.
    pub(super) fn probe_machines(&mut self, now: u64) {
        if self.is_overloaded(now) {
            return;
        }
        let peer_s = self.cluster.workers.gang_peer_s;
        let schedule = ProbeSchedule {
            epoch: self.term.epoch,
            began_at: self.began_at,
            first_probe_at: self.began_at + to_ms(peer_s * FIRST_PROBE_SHARE),
            silence_tolerance_ms: self.silence_tolerance_ms(),
            now,
        };
        let mut left = self.probes_per_tick();
        for machine in self.machines.values_mut() {
            if left == 0 {
                break;
            }
            if !schedule.is_due(machine) {
                continue;
            }
            let Some(probe) = schedule.probe(machine) else {
                continue;
            };
            left -= 1;
            machine.last_probe_at = now;
            self.effects.push(probe);
        }
    }

    /// A request that opens a connection costs far more than a heartbeat, and most machines
    /// send one by themselves: on a small share of a processor a new leader must not spend it
    /// all on probes.
    fn probes_per_tick(&self) -> usize {
        let tick_s = self.cluster.workers.gang_peer_s * RECONCILE_INTERVAL_RATIO;
        let affordable = self.cluster.limits.cpu_share * PROBES_PER_CORE * tick_s;
        1 + (self.machines.len() / PROBE_PARTS).min(affordable as usize)
    }
}
