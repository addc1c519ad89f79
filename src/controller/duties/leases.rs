//! The leases of duties: requests to the store, and changes of hands.

use duty_lease::{
    Duty, HolderKey, LeaseEvent, LeaseRequest, LeaseResponse, LeaseView, SuspensionReason,
    WriteGuard,
};
use tracing::{debug, info, warn};

use super::Controller;
use crate::controller::calls::PendingCall;
use crate::controller::http::HttpCall;
use crate::controller::responses::{self, CallError};
use crate::duties::{
    holder_key, token_key, DutyRecords, StoredHolder, DUTIES_PREFIX, LEASES_PREFIX,
};
use crate::net::{status, Outcome};
use crate::wire::{self, Condition, DecodeError, Transaction, Write};

/// Keys of one lease.
const LEASE_KEYS: usize = 10;
/// Share of the requests to the store that leases of duties leave to others.
const LEASE_RESERVE: f64 = 0.1;

impl Controller {
    /// Takes the part of this controller in a duty's lease further.
    pub(super) fn run_lease(&mut self, duty: Duty) {
        let now = self.clock.steady_ms();
        let generation = self.watch_cache.duties.generation();
        let Some(runtime) = self.duties.runtime(duty) else {
            return;
        };
        if runtime.lease_generation != Some(generation) {
            runtime.lease_generation = Some(generation);
            runtime
                .lease
                .on_view(&self.watch_cache.duties.lease(duty), now);
        }
        if let Some((id, request)) = runtime.lease.tick(now) {
            // Who only follows learns all from the watch.
            if request == LeaseRequest::Read && runtime.lease.is_following() {
                let view = self.watch_cache.duties.lease(duty);
                runtime
                    .lease
                    .on_response(id, LeaseResponse::View(view), now);
            } else {
                self.send_duty_lease_request(duty, id, request);
            }
        }
        self.forward_lease_events(duty);
    }

    fn send_duty_lease_request(&mut self, duty: Duty, id: u64, request: LeaseRequest) {
        let now = self.clock.steady_ms();
        if !self.store.try_request(now, LEASE_RESERVE) {
            if let Some(runtime) = self.duties.runtime(duty) {
                runtime.lease.on_response(id, LeaseResponse::Refused, now);
            }
            return;
        }
        let Some(control) = &self.duties.control else {
            return;
        };
        let timeout_ms = control.timing.answer_timeout_ms();
        let call = match &request {
            LeaseRequest::Read => {
                let prefix = format!("{LEASES_PREFIX}{}/", duty.name());
                HttpCall::get_page(&prefix, None, LEASE_KEYS, timeout_ms)
            }
            LeaseRequest::CreateGrant { ttl_ms } => HttpCall::create_grant(*ttl_ms, timeout_ms),
            LeaseRequest::Acquire {
                holder,
                grant,
                holder_version,
                token_version,
            } => {
                let transaction = Transaction {
                    conditions: vec![
                        Condition::new(holder_key(duty), *holder_version),
                        Condition::new(token_key(duty), *token_version),
                    ],
                    writes: acquisition_writes(duty, holder, *grant, self.clock.wall_ms()),
                };
                HttpCall::transaction(&transaction, timeout_ms)
            }
            LeaseRequest::Renew { grant } => HttpCall::renew_grant(*grant, timeout_ms),
            LeaseRequest::Release { grant } => HttpCall::end_grant(*grant, timeout_ms),
        };
        let pending = PendingCall::DutyLease { duty, id, request };
        self.outbox.call_store(pending, call);
    }

    pub(in crate::controller) fn on_duty_lease_outcome(
        &mut self,
        duty: Duty,
        id: u64,
        request: &LeaseRequest,
        outcome: &Outcome,
    ) {
        let now = self.clock.steady_ms();
        let response = response_to(duty, request, outcome);
        if let (LeaseRequest::Acquire { holder, .. }, LeaseResponse::Acquired { version }) =
            (request, &response)
        {
            let duties = &mut self.watch_cache.duties;
            duties.apply_own_acquisition(duty, holder.clone(), *version);
        }
        if let Some(runtime) = self.duties.runtime(duty) {
            runtime.lease.on_response(id, response, now);
        }
        self.forward_lease_events(duty);
    }

    /// Tells the order book and the log of changes of hands.
    pub(super) fn forward_lease_events(&mut self, duty: Duty) {
        let member = self.settings.member.clone();
        let Some(runtime) = self.duties.runtime(duty) else {
            return;
        };
        for event in runtime.lease.take_events() {
            match event {
                LeaseEvent::Gained(token) => {
                    info!(duty = duty.name(), token, member, "the duty is held here");
                    runtime.orders_generation = None;
                    runtime.reviewed_at = None;
                    runtime.decisions_in_flight.clear();
                    if let Some(holder_version) = runtime.lease.holder_version() {
                        runtime
                            .orders
                            .on_gained(token, WriteGuard { holder_version });
                    }
                }
                LeaseEvent::Lost(token, reason) => {
                    warn!(
                        duty = duty.name(),
                        token, member, "the duty is lost: {reason:?}"
                    );
                    runtime.orders.on_lost();
                }
                LeaseEvent::Released(token) => {
                    info!(duty = duty.name(), token, member, "the duty is given up");
                    runtime.orders.on_lost();
                }
                LeaseEvent::Suspended(token, SuspensionReason::NotRenewedYet) => {
                    debug!(
                        duty = duty.name(),
                        token, member, "no orders before a renewal"
                    );
                }
                LeaseEvent::Suspended(token, reason) => {
                    warn!(
                        duty = duty.name(),
                        token, member, "no orders for now: {reason:?}"
                    );
                }
                LeaseEvent::Resumed(token) => {
                    debug!(duty = duty.name(), token, member, "the lease is confirmed");
                }
            }
        }
    }
}

fn acquisition_writes(duty: Duty, holder: &HolderKey, grant: u64, wall_ms: u64) -> Vec<Write> {
    let stored = StoredHolder {
        holder: holder.clone(),
        since_ms: wall_ms,
    };
    vec![
        Write::serialized(holder_key(duty), &stored).attached_to(grant),
        Write::set(token_key(duty), holder.token.into()),
    ]
}

fn response_to(duty: Duty, request: &LeaseRequest, outcome: &Outcome) -> LeaseResponse {
    match (request, responses::success(outcome)) {
        (LeaseRequest::Read, Ok(body)) => match read_view(duty, body) {
            Ok(view) => LeaseResponse::View(view),
            Err(_) => LeaseResponse::Refused,
        },
        (LeaseRequest::CreateGrant { .. }, Ok(body)) => match wire::decode::<wire::Grant>(body) {
            Ok(reply) => LeaseResponse::Granted(reply.grant),
            Err(_) => LeaseResponse::Refused,
        },
        (LeaseRequest::Acquire { .. }, Ok(body)) => {
            match wire::decode::<wire::TransactionReply>(body) {
                Ok(reply) => LeaseResponse::Acquired {
                    version: reply.revision,
                },
                Err(_) => LeaseResponse::NoAnswer,
            }
        }
        (LeaseRequest::Renew { .. }, Ok(_)) => LeaseResponse::Renewed,
        (LeaseRequest::Release { .. }, Ok(_)) => LeaseResponse::Released,
        (LeaseRequest::Acquire { .. }, Err(CallError::Status(status::CONFLICT))) => {
            LeaseResponse::Conflict
        }
        (
            LeaseRequest::Renew { .. } | LeaseRequest::Release { .. },
            Err(CallError::Status(status::NOT_FOUND)),
        ) => LeaseResponse::GrantEnded,
        (_, Err(CallError::NoResponse | CallError::TooLarge)) => LeaseResponse::NoAnswer,
        (_, Err(_)) => LeaseResponse::Refused,
    }
}

fn read_view(duty: Duty, body: &[u8]) -> Result<LeaseView, DecodeError> {
    let page = wire::decode::<wire::Page>(body)?;
    let mut records = DutyRecords::default();
    let pairs = page.pairs.iter();
    for pair in pairs.filter(|pair| pair.key.starts_with(DUTIES_PREFIX)) {
        records.apply_set(&pair.key, &pair.value, pair.version);
    }
    Ok(records.lease(duty))
}
