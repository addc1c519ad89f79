//! Election and renewal of the leader lease, and what follows from their outcomes.

use tracing::{info, warn};

use super::calls::PendingCall;
use super::http::HttpCall;
use super::responses::{self, CallError};
use super::{Controller, WriteOwner};
use crate::leader_lease::{Election, LeaseRequest, LeaseResponse};
use crate::leadership_keys::{Fence, LeaderKey, EPOCH_KEY, LEADER_KEY, LEASE_KEY};
use crate::net::{status, Outcome};
use crate::scheduler::{Scheduler, Term};
use crate::wire::{self, Condition, Transaction, Write};
use rand::Rng;

/// The machine types are read again so soon after an election.
const MACHINE_TYPES_AFTER_MS: u64 = 1000;

impl Controller {
    pub(super) fn lease_tick(&mut self) {
        if self.is_outdated() {
            return;
        }
        let jitter = self.rng.random::<f64>();
        let request = self
            .lease
            .tick(self.clock.steady_ms(), &self.watch_cache, jitter);
        if let Some(request) = request {
            self.send_lease_request(request);
        }
    }

    fn send_lease_request(&mut self, request: LeaseRequest) {
        // It goes out in any case.
        let _ = self
            .store_requests
            .try_take(self.clock.steady_ms(), 1.0, 0.0);
        let timeout_ms = self.lease.ttl_ms / 3;
        let call = match &request {
            LeaseRequest::Grant => HttpCall::create_grant(self.lease.ttl_ms, timeout_ms),
            LeaseRequest::Renew(grant) => HttpCall::renew_grant(*grant, timeout_ms),
            LeaseRequest::Revoke(grant) => {
                let call = HttpCall::end_grant(*grant, timeout_ms);
                return self.outbox.call_store(PendingCall::Revoke, call);
            }
            LeaseRequest::Elect(election) => {
                let transaction = election_transaction(election, &self.settings.member);
                HttpCall::transaction(&transaction, timeout_ms)
            }
        };
        self.outbox.call_store(PendingCall::Lease(request), call);
    }

    pub(super) fn on_lease_outcome(&mut self, request: LeaseRequest, outcome: &Outcome) {
        let now = self.clock.steady_ms();
        let response = response_to(&request, outcome);
        let changed = self.lease.on_response(now, response);
        match (request, response) {
            (LeaseRequest::Elect(election), LeaseResponse::Elected { epoch, version })
                if changed =>
            {
                self.on_elected(epoch, version, election.fence);
            }
            _ if changed => self.step_down("the grant has run out"),
            _ => {}
        }
        self.lease_tick();
    }

    fn on_elected(&mut self, epoch: u64, version: u64, fence: Fence) {
        let member = self.settings.member.clone();
        let key = LeaderKey {
            member: member.clone(),
            epoch,
        };
        self.watch_cache.apply_own_election(key, version, fence);
        self.pending_term = Some(Term {
            member,
            epoch,
            key: fence.leader_key(),
            key_version: version,
            began_wall_ms: self.clock.wall_ms(),
        });
        self.begin_term();
    }

    /// Begins a term once the watch cache holds its election. All changes of leaders before
    /// it, its own earlier terms included, are older than that, and none can follow: a
    /// watch cache from before it may lack places whose starts went out.
    pub(super) fn begin_term(&mut self) {
        let now = self.clock.steady_ms();
        let revision = self.watch_cache.revision;
        let Some(term) = self
            .pending_term
            .take_if(|term| term.key_version <= revision)
        else {
            return;
        };
        info!("leading with epoch {}", term.epoch);
        self.scheduler = Some(Scheduler::new(
            term,
            &self.settings.cluster,
            &self.operator,
            self.machine_types.clone(),
            &self.watch_cache,
            now,
        ));
        self.on_format_changed();
        self.apply_recorded_orders();
        self.machine_list.restart(now);
        self.plan_timer.in_progress = false;
        let soon = now + MACHINE_TYPES_AFTER_MS;
        self.next_machine_types_at = self.next_machine_types_at.min(soon);
    }

    pub(super) fn step_down(&mut self, why: &str) {
        self.pending_term = None;
        if self.scheduler.take().is_some() {
            warn!("not leading any more: {why}");
        }
        self.writes.remove_waiting(|owner| match owner {
            WriteOwner::Job { .. } => true,
            WriteOwner::Duty(write) => write.is_of_leader(),
            _ => false,
        });
        self.set_store_share(false);
        self.plan_timer.in_progress = false;
    }

    /// Gives leadership up, and does not stand for election for so long.
    pub(super) fn resign(&mut self, why: &str, standby_ms: u64) {
        if let Some(request) = self.lease.resign(self.clock.steady_ms(), standby_ms) {
            self.send_lease_request(request);
        }
        self.step_down(why);
    }
}

/// The transaction that takes the key and raises the epoch.
fn election_transaction(election: &Election, member: &str) -> Transaction {
    let key = LeaderKey {
        member: member.to_string(),
        epoch: election.epoch,
    };
    let mut writes = Vec::new();
    if election.fence == Fence::Raise {
        writes.push(Write::leader(LEADER_KEY, &LeaderKey::superseded(), None));
    }
    let own_key = election.fence.leader_key();
    writes.push(Write::leader(own_key, &key, Some(election.grant)));
    writes.push(Write::set(EPOCH_KEY.into(), election.epoch.into()));
    Transaction {
        conditions: vec![
            Condition::new(LEADER_KEY, election.leader_version),
            Condition::new(LEASE_KEY, election.lease_version),
            Condition::new(EPOCH_KEY, election.epoch_version),
        ],
        writes,
    }
}

fn response_to(request: &LeaseRequest, outcome: &Outcome) -> LeaseResponse {
    match request {
        LeaseRequest::Grant => match responses::decode_success::<wire::Grant>(outcome) {
            Ok(reply) => LeaseResponse::Granted(reply.grant),
            Err(_) => LeaseResponse::Unknown,
        },
        LeaseRequest::Renew(_) => match responses::success(outcome) {
            Ok(_) => LeaseResponse::Renewed,
            Err(CallError::Status(status::NOT_FOUND)) => LeaseResponse::Lost,
            Err(_) => LeaseResponse::Unknown,
        },
        LeaseRequest::Elect(election) => {
            match responses::decode_success::<wire::TransactionReply>(outcome) {
                Ok(reply) => LeaseResponse::Elected {
                    epoch: election.epoch,
                    version: reply.revision,
                },
                Err(CallError::Status(_)) => LeaseResponse::Lost,
                Err(_) => LeaseResponse::Unknown,
            }
        }
        LeaseRequest::Revoke(_) => LeaseResponse::Unknown,
    }
}
