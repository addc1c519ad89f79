//! The store's handling of the requests of duties' leases.

use duty_lease::{Duty, HolderKey, LeaseRequest, LeaseResponse, LeaseView};

use super::{keys, Condition, Store, Transaction, TransactionOutcome, Value, Write};

impl Store {
    pub(crate) fn handle_lease_request(
        &mut self,
        duty: Duty,
        request: LeaseRequest,
        now: u64,
    ) -> LeaseResponse {
        match request {
            LeaseRequest::Read => LeaseResponse::View(self.lease_view(duty)),
            LeaseRequest::CreateGrant { ttl_ms } => {
                LeaseResponse::Granted(self.create_grant(ttl_ms, now))
            }
            LeaseRequest::Renew { grant } => {
                if self.renew(grant, now) {
                    LeaseResponse::Renewed
                } else {
                    LeaseResponse::GrantEnded
                }
            }
            LeaseRequest::Release { grant } => {
                if self.end_grant(grant) {
                    LeaseResponse::Released
                } else {
                    LeaseResponse::GrantEnded
                }
            }
            LeaseRequest::Acquire {
                grant,
                holder,
                holder_version,
                token_version,
            } => {
                let conditions = vec![
                    Condition::new(keys::lease(duty), holder_version),
                    Condition::new(keys::token(duty), token_version),
                ];
                self.acquire(duty, grant, holder, conditions)
            }
        }
    }

    fn acquire(
        &mut self,
        duty: Duty,
        grant: u64,
        holder: HolderKey,
        conditions: Vec<Condition>,
    ) -> LeaseResponse {
        let token = holder.token;
        let last_token = self.last_token(duty);
        let transaction = Transaction {
            conditions,
            writes: vec![
                Write::set_attached(keys::lease(duty), Value::Holder(holder), grant),
                Write::set(keys::token(duty), Value::Token(token)),
            ],
        };
        match self.commit(&transaction) {
            TransactionOutcome::Written(version) => {
                assert!(
                    token > last_token,
                    "token {token} was issued after {last_token}"
                );
                LeaseResponse::Acquired { version }
            }
            TransactionOutcome::Conflict => LeaseResponse::Conflict,
            TransactionOutcome::NoSuchGrant => LeaseResponse::Refused,
        }
    }

    pub(crate) fn lease_view(&self, duty: Duty) -> LeaseView {
        let holder = match self.value(&keys::lease(duty)) {
            Some(Value::Holder(holder)) => Some(holder.clone()),
            _ => None,
        };
        LeaseView {
            holder,
            holder_version: self.version(&keys::lease(duty)),
            token: self.last_token(duty),
            token_version: self.version(&keys::token(duty)),
        }
    }

    fn last_token(&self, duty: Duty) -> u64 {
        match self.value(&keys::token(duty)) {
            Some(Value::Token(token)) => *token,
            _ => 0,
        }
    }
}
