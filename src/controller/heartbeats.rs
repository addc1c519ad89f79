//! Handling of agents' heartbeats: the controller responds, defers its response, or redirects
//! the agent to the leader.

use tracing::{debug, trace};

use super::deferred_heartbeats::DeferredHeartbeat;
use super::http::HttpResponse;
use super::{Controller, StepDownReason};
use crate::net::status;
use crate::scheduler::{FreedCapacity, StatusOrigin};
use crate::time_units::to_ms;
use crate::wire::{self, AgentStatus};

/// For how long the response to a heartbeat waits for start commands, as a ratio of the heartbeat
/// interval.
const DEFERRAL_INTERVAL_RATIO: f64 = 0.1;
/// For how long the controller responds to heartbeats although there may be newer cancellations
/// that it does not know of, as a ratio of the time between the lease and `cancel_s`.
const CANCELLATIONS_AGE_RATIO: f64 = 0.75;

impl Controller {
    pub(super) fn on_heartbeat(&mut self, connection: usize, body: &[u8]) {
        let agent_status = match wire::decode::<AgentStatus>(body) {
            Ok(agent_status) => agent_status,
            Err(error) => {
                debug!(%error, "rejecting a malformed heartbeat");
                let response = HttpResponse::empty(status::BAD_REQUEST);
                return self.outbox.respond(connection, response);
            }
        };
        let Some(scheduler) = &self.scheduler else {
            return self.redirect(connection, agent_status);
        };
        if scheduler.is_fenced_by(agent_status.epoch) {
            self.resign(StepDownReason::HigherEpochSeen, 0);
            return self.redirect(connection, agent_status);
        }
        if !self.has_recent_cancellations() {
            return self.outbox.respond(connection, HttpResponse::unavailable());
        }
        self.accept_heartbeat(connection, agent_status);
    }

    /// Whether the known cancellations are recent enough to respond to a heartbeat. If they are, an
    /// agent that gets no further response loses its lease and ends its tasks before `cancel_s`
    /// has passed for any cancellation that this controller does not know of.
    fn has_recent_cancellations(&self) -> bool {
        let agents = &self.settings.cluster.workers;
        let age_max_s = (agents.cancel_s - agents.lease_s) * CANCELLATIONS_AGE_RATIO;
        let age_max_ms = to_ms(age_max_s);
        let known_at = self.cancellations_known_as_of();
        known_at.is_some_and(|at| self.clock.steady_ms() <= at + age_max_ms)
    }

    fn accept_heartbeat(&mut self, connection: usize, agent_status: AgentStatus) {
        let now = self.clock.steady_ms();
        let has_valid_lease = self.leadership.holds_valid_lease(now);
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let origin = StatusOrigin::Heartbeat;
        let freed = scheduler.on_agent_status(&agent_status, origin, now);
        let has_freed_capacity = freed == FreedCapacity::UsableByPendingTasks;
        let may_get_starts = has_valid_lease
            && has_freed_capacity
            && !scheduler.may_have_unsent_starts(&agent_status.machine);
        self.agents.record_accepted_heartbeat(now);
        if !may_get_starts {
            return self.respond_to_heartbeat(connection, &agent_status);
        }
        let defer_s = self.settings.cluster.workers.report_s * DEFERRAL_INTERVAL_RATIO;
        let earlier = self.agents.defer(DeferredHeartbeat {
            connection,
            status: agent_status,
            until: now + to_ms(defer_s),
        });
        if let Some(earlier) = earlier {
            self.respond_to_heartbeat(earlier.connection, &earlier.status);
        }
    }

    /// Redirects an agent to the leader, if that is known.
    fn redirect(&mut self, connection: usize, agent_status: AgentStatus) {
        let now = self.clock.steady_ms();
        self.agents.record_redirect(agent_status.machine, now);
        let leader = self.watch_cache.leader();
        let leader = leader.map(|leader| leader.key.member.clone());
        let body = wire::encode(&wire::Redirect {
            reports_to: leader.filter(|member| *member != self.settings.member),
        });
        let response = HttpResponse::new(status::MISDIRECTED_REQUEST, body);
        self.outbox.respond(connection, response);
    }

    /// Responds to an accepted heartbeat with the pending commands for the agent.
    fn respond_to_heartbeat(&mut self, connection: usize, agent_status: &AgentStatus) {
        let now = self.clock.steady_ms();
        let permission = self.start_permission();
        let Some(scheduler) = &mut self.scheduler else {
            // This controller lost the leadership since it accepted the heartbeat. The agent's next
            // heartbeat is redirected to the new leader.
            return self.outbox.respond(connection, HttpResponse::unavailable());
        };
        let commands = scheduler.heartbeat_response_commands(agent_status, permission, now);
        let batch = wire::CommandBatch {
            epoch: scheduler.command_epoch(&agent_status.machine),
            incarnation: None,
            commands,
        };
        trace!(
            machine = agent_status.machine,
            incarnation = agent_status.incarnation.get(),
            serial = agent_status.serial,
            tasks = ?agent_status.tasks,
            commands = ?batch.commands,
            "answering heartbeat"
        );
        let response = HttpResponse::ok(wire::encode(&batch));
        self.outbox.respond(connection, response);
    }

    /// Responds to deferred heartbeats as soon as starts for their machines are persisted, or
    /// without starts when their deferral is over.
    pub(super) fn respond_to_deferred_heartbeats(&mut self) {
        let now = self.clock.steady_ms();
        let heartbeats = match &mut self.scheduler {
            Some(scheduler) => {
                let startable = scheduler.take_machines_with_new_starts();
                self.agents.take_due(&startable, now)
            }
            None => self.agents.take_deferred(),
        };
        for heartbeat in heartbeats {
            self.respond_to_heartbeat(heartbeat.connection, &heartbeat.status);
        }
    }
}
