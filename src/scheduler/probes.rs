//! Probes: requests to agents whose heartbeats are missing.

use super::reconcile::RECONCILE_INTERVAL_RATIO;
use super::{to_ms, Effect, Scheduler};
use crate::epoch::Epoch;
use crate::machine::{CloudStatus, Machine};
use crate::wire::Incarnation;

/// When a new leader starts to probe machines that have not sent a heartbeat, as a share of
/// `gang_peer_s`, the time within which the tasks of a gang detect that one of them is gone.
const FIRST_PROBE_RATIO: f64 = 0.5;
/// All machines are probed in at least this many batches, one per tick.
const PROBE_BATCH_DIVISOR: usize = 12;
/// Probes per second that one CPU core can send; scaled by this controller's share of a core.
/// Each probe needs its own connection.
const PROBES_PER_CORE_PER_S: f64 = 250.0;

/// Decides which machines are due for a probe.
struct ProbeSchedule {
    epoch: Epoch,
    began_at: u64,
    /// From this time on, machines with an older epoch than this leader's are probed.
    first_probe_at: u64,
    silence_tolerance_ms: u64,
    now: u64,
}

impl ProbeSchedule {
    fn is_due(&self, machine: &Machine) -> bool {
        let last_status_at = machine.last_status_at.unwrap_or(machine.first_seen_at);
        let is_silent = self.now > last_status_at.max(self.began_at) + self.silence_tolerance_ms;
        let needs_epoch = machine.epoch < self.epoch && self.now > self.first_probe_at;
        let needs_probe = is_silent || machine.is_reachability_unverified() || needs_epoch;
        let is_expected =
            machine.last_status_at.is_some() || machine.cloud_status == CloudStatus::Running;
        let is_probe_interval_over =
            self.now >= machine.last_probe_at + self.silence_tolerance_ms / 2;
        needs_probe && is_expected && is_probe_interval_over
    }

    /// The request that makes a machine's agent send its status; `None` if the address is unknown.
    fn probe(&self, machine: &Machine) -> Option<Effect> {
        let address = machine.address?;
        let name = machine.name.clone();
        let raises_epoch = machine.incarnation > Incarnation::NONE && machine.epoch < self.epoch;
        Some(if raises_epoch {
            Effect::Commands {
                machine: name,
                address,
                epoch: machine.command_epoch(self.epoch),
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
    /// Probes machines that should send heartbeats and do not. This also raises the epoch of
    /// agents to which another controller still responds. A new leader probes all machines that
    /// have not sent a heartbeat, in batches, since it cannot place their tasks again before it
    /// knows their status.
    pub(super) fn probe_machines(&mut self, now: u64) {
        if self.is_overloaded(now) {
            return;
        }
        let peer_s = self.cluster.workers.gang_peer_s;
        let schedule = ProbeSchedule {
            epoch: self.term.epoch,
            began_at: self.began_at,
            first_probe_at: self.began_at + to_ms(peer_s * FIRST_PROBE_RATIO),
            silence_tolerance_ms: self.silence_tolerance_ms(),
            now,
        };
        let mut probes_left = self.probes_per_tick();
        for machine in self.machines.values_mut() {
            if probes_left == 0 {
                break;
            }
            if !schedule.is_due(machine) {
                continue;
            }
            let Some(probe) = schedule.probe(machine) else {
                continue;
            };
            probes_left -= 1;
            machine.last_probe_at = now;
            self.effects.push(probe);
        }
    }

    /// Limits the probes of one tick. A request that opens a connection costs far more processor
    /// time than receiving a heartbeat, and most machines send one anyway: on a small share of a
    /// core, unlimited probes would take all of a new leader's processor time.
    fn probes_per_tick(&self) -> usize {
        let tick_s = self.cluster.workers.gang_peer_s * RECONCILE_INTERVAL_RATIO;
        let affordable_probes = self.cluster.limits.cpu_share * PROBES_PER_CORE_PER_S * tick_s;
        1 + (self.machines.len() / PROBE_BATCH_DIVISOR).min(affordable_probes as usize)
    }
}
