//! Asking machines directly that should report and don't.

use super::reconcile::RECONCILE_SHARE;
use super::{to_ms, Effect, Scheduler};
use crate::machine::CloudStatus;

/// When a new leader begins to ask machines that have not come, as a share of the time in
/// which the tasks of a gang miss one another.
const FIRST_PROBE_SHARE: f64 = 0.5;
/// The machines are asked in so many parts at least.
const PROBE_PARTS: usize = 12;
/// Machines that a whole core asks in a second; a part of a core accordingly fewer. Each
/// is a connection made for it.
const PROBES_PER_CORE: f64 = 250.0;

impl Scheduler {
    /// Asks machines directly that should report and don't, which also raises the epoch of
    /// those that another controller still answers. A new leader soon asks all that have
    /// not come by themselves, a part at a time, since it can't place anew before it knows.
    pub(super) fn probe_machines(&mut self, now: u64) {
        if self.is_overloaded(now) {
            return;
        }
        let silence_tolerance_ms = self.silence_tolerance_ms();
        let peer_s = self.cluster.workers.gang_peer_s;
        let first_probe_at = self.began_at + to_ms(peer_s * FIRST_PROBE_SHARE);
        let mut left = self.probes_per_tick();
        for machine in self.machines.values_mut() {
            let last_status_at = machine.last_status_at.unwrap_or(machine.known_since);
            let due = now > last_status_at.max(self.began_at) + silence_tolerance_ms
                || machine.reachability_unverified
                || (machine.epoch < self.term.epoch && now > first_probe_at);
            let expected =
                machine.last_status_at.is_some() || machine.cloud_status == CloudStatus::Running;
            if !due || now < machine.last_probe_at + silence_tolerance_ms / 2 || !expected {
                continue;
            }
            let Some(address) = machine.address else {
                continue;
            };
            if left == 0 {
                break;
            }
            left -= 1;
            machine.last_probe_at = now;
            let name = machine.name.clone();
            let raises_epoch = machine.incarnation > 0 && machine.epoch < self.term.epoch;
            self.effects.push(if raises_epoch {
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
            });
        }
    }

    /// A call that opens a connection costs far more than a heartbeat, and most machines
    /// come by themselves: on a small share of a processor a successor must not spend it
    /// all on asking.
    fn probes_per_tick(&self) -> usize {
        let tick_s = self.cluster.workers.gang_peer_s * RECONCILE_SHARE;
        let affordable = self.cluster.limits.cpu_share * PROBES_PER_CORE * tick_s;
        1 + (self.machines.len() / PROBE_PARTS).min(affordable as usize)
    }
}
