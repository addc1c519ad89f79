//! Runs the leases of duties: sends their requests to the store and decodes the responses.

use duty_lease::{Duty, HolderKey, LeaseRequest, LeaseResponse, LeaseView};

use super::runtime::DutyLeaseCall;
use super::Controller;
use crate::controller::calls::PendingCall;
use crate::controller::http::HttpCall;
use crate::controller::responses::{self, CallError};
use crate::duties::{
    holder_key, token_key, DutyRecords, StoredHolder, DUTIES_PREFIX, LEASES_PREFIX,
};
use crate::net::{status, Outcome};
use crate::wire::{self, Condition, DecodeError, Transaction, Write};

/// Maximum number of keys to read for one lease.
const KEYS_PER_LEASE_MAX: usize = 10;
/// Share of the request budget at the store that duty leases leave to other requests.
const RESERVED_REQUEST_RATIO: f64 = 0.1;

impl Controller {
    /// Sends the request that is due for the lease of a duty, and processes the lease's events.
    pub(super) fn run_lease(&mut self, duty: Duty) {
        let now = self.clock.steady_ms();
        let Some(runtime) = self.duties.runtime(duty) else {
            return;
        };
        if let Some(call) = runtime.next_lease_call(&self.watch_cache.duties, now) {
            self.send_duty_lease_request(call);
        }
        self.process_lease_events(duty);
    }

    fn send_duty_lease_request(&mut self, call: DutyLeaseCall) {
        let now = self.clock.steady_ms();
        let Some(runtime) = self.duties.runtime(call.duty) else {
            return;
        };
        if !self.store.try_request(now, RESERVED_REQUEST_RATIO) {
            return runtime.on_lease_response(call.id, LeaseResponse::Refused, now);
        }
        let timeout_ms = runtime.response_timeout_ms();
        let http_call = http_call(&call, timeout_ms, self.clock.wall_ms());
        self.outbox
            .call_store(PendingCall::DutyLease(call), http_call);
    }

    pub(in crate::controller) fn on_duty_lease_outcome(
        &mut self,
        call: &DutyLeaseCall,
        outcome: &Outcome,
    ) {
        let now = self.clock.steady_ms();
        let response = response_to(call.duty, &call.request, outcome);
        if let (LeaseRequest::Acquire { holder, .. }, LeaseResponse::Acquired { version }) =
            (&call.request, &response)
        {
            let duties = &mut self.watch_cache.duties;
            duties.apply_own_acquisition(call.duty, holder.clone(), *version);
        }
        if let Some(runtime) = self.duties.runtime(call.duty) {
            runtime.on_lease_response(call.id, response, now);
        }
        self.process_lease_events(call.duty);
    }

    pub(super) fn process_lease_events(&mut self, duty: Duty) {
        if let Some(runtime) = self.duties.runtime(duty) {
            runtime.process_lease_events(&self.settings.member);
        }
    }
}

fn http_call(call: &DutyLeaseCall, timeout_ms: u64, wall_ms: u64) -> HttpCall {
    match &call.request {
        LeaseRequest::Read => {
            let prefix = format!("{LEASES_PREFIX}{}/", call.duty.name());
            HttpCall::get_page(&prefix, None, KEYS_PER_LEASE_MAX, timeout_ms)
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
                    Condition::new(holder_key(call.duty), *holder_version),
                    Condition::new(token_key(call.duty), *token_version),
                ],
                writes: acquisition_writes(call.duty, holder, *grant, wall_ms),
            };
            HttpCall::transaction(&transaction, timeout_ms)
        }
        LeaseRequest::Renew { grant } => HttpCall::renew_grant(*grant, timeout_ms),
        LeaseRequest::Release { grant } => HttpCall::revoke_grant(*grant, timeout_ms),
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
                Err(_) => LeaseResponse::NoResponse,
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
        (_, Err(CallError::NoResponse | CallError::TooLarge)) => LeaseResponse::NoResponse,
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
