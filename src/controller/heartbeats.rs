//! Agents' heartbeats.

use tracing::{debug, trace};

use super::deferred_heartbeats::DeferredHeartbeat;
use super::http::HttpResponse;
use super::{Controller, StepDownReason};
use crate::net::status;
use crate::scheduler::StatusOrigin;
use crate::time_units::to_ms;
use crate::wire::{self, AgentStatus};

/// For how long an answer waits for starts, as a share of a heartbeat interval.
const DEFER_HEARTBEAT_SHARE: f64 = 0.1;
/// For this share of the time between a lease and `cancel_s`, reports are answered although
/// there may be cancellations that this controller does not know of.
const UNKNOWN_CANCELLATIONS_SHARE: f64 = 0.75;

impl Controller {
    pub(super) fn on_heartbeat(&mut self, connection: usize, body: &[u8]) {
        let report = match wire::decode::<AgentStatus>(body) {
            Ok(report) => report,
            Err(error) => {
                debug!(%error, "malformed heartbeat");
                return self
                    .outbox
                    .respond(connection, HttpResponse::empty(status::BAD_REQUEST));
            }
        };
        let Some(scheduler) = &self.scheduler else {
            return self.redirect(connection, report);
        };
        if report.epoch > scheduler.epoch() {
            self.resign(StepDownReason::HigherEpochSeen, 0);
            return self.redirect(connection, report);
        }
        if !self.has_recent_cancellations() {
            return self.outbox.respond(connection, HttpResponse::unavailable());
        }
        self.accept_heartbeat(connection, report);
    }

    /// Whether no cancellation can run out that this controller does not know of: an agent
    /// that hears nothing afterwards ends its tasks before that.
    fn has_recent_cancellations(&self) -> bool {
        let agents = &self.settings.cluster.workers;
        let bound_s = (agents.cancel_s - agents.lease_s) * UNKNOWN_CANCELLATIONS_SHARE;
        let bound_ms = to_ms(bound_s);
        let known_at = self.cancellations_known_as_of();
        known_at.is_some_and(|at| self.clock.steady_ms() <= at + bound_ms)
    }

    fn accept_heartbeat(&mut self, connection: usize, report: AgentStatus) {
        let now = self.clock.steady_ms();
        let certain = self.leadership.is_certain(now);
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let has_free_capacity = scheduler.on_agent_status(&report, StatusOrigin::Heartbeat, now);
        self.agent_answered_at = Some(now);
        if certain && has_free_capacity && !scheduler.is_startable(&report.machine) {
            let hold_s = self.settings.cluster.workers.report_s * DEFER_HEARTBEAT_SHARE;
            let earlier = self.deferred_heartbeats.insert(DeferredHeartbeat {
                connection,
                report,
                until: now + to_ms(hold_s),
            });
            if let Some(earlier) = earlier {
                self.answer_heartbeat(earlier.connection, &earlier.report);
            }
        } else {
            self.answer_heartbeat(connection, &report);
        }
    }

    /// Sends an agent to the leader, if that is known.
    fn redirect(&mut self, connection: usize, report: AgentStatus) {
        let now = self.clock.steady_ms();
        self.redirected_agents.insert(report.machine, now);
        let leader = self.watch_cache.leader().map(|(key, _)| key.member.clone());
        let body = wire::encode(&wire::Redirect {
            reports_to: leader.filter(|member| *member != self.settings.member),
        });
        self.outbox.respond(
            connection,
            HttpResponse::new(status::MISDIRECTED_REQUEST, body),
        );
    }

    /// Answers a heartbeat that was taken in, with what there is to do.
    fn answer_heartbeat(&mut self, connection: usize, report: &AgentStatus) {
        let now = self.clock.steady_ms();
        let may_start = self.may_start();
        let Some(scheduler) = &mut self.scheduler else {
            // It led a moment ago: the next report finds out who does.
            return self.outbox.respond(connection, HttpResponse::unavailable());
        };
        let reply = wire::CommandBatch {
            epoch: scheduler.epoch(),
            incarnation: None,
            commands: scheduler.answer_commands(report, may_start, now),
        };
        trace!(
            "{} {}/{} reports {:?}, gets {:?}",
            report.machine,
            report.incarnation,
            report.serial,
            report.tasks,
            reply.commands
        );
        self.outbox
            .respond(connection, HttpResponse::ok(wire::encode(&reply)));
    }

    /// Answers heartbeats that wait for starts, as soon as those are on record, or without
    /// them when the time is over.
    pub(super) fn answer_deferred_heartbeats(&mut self) {
        let now = self.clock.steady_ms();
        let held = match &mut self.scheduler {
            Some(scheduler) => {
                let startable = scheduler.take_newly_startable();
                let startable = startable.iter().map(|machine| &**machine);
                let mut held = self.deferred_heartbeats.take_of(startable);
                held.extend(self.deferred_heartbeats.take_due(now));
                held
            }
            None => self.deferred_heartbeats.take_all(),
        };
        for held in held {
            self.answer_heartbeat(held.connection, &held.report);
        }
    }
}
