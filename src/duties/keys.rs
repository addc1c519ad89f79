//! Keys of the duty records in the store.
//!
//! All start with [`DUTIES_PREFIX`], which versions without duties ignore:
//!
//! | key | value |
//! | --- | --- |
//! | `g/d/l/<duty>/holder` | [`super::StoredHolder`], attached to the holder's grant |
//! | `g/d/l/<duty>/token` | the last token that was issued |
//! | `g/d/l/<duty>/refused` | [`super::RefusalRecord`] |
//! | `g/d/o/<duty>/<request>` | [`super::OrderRecord`] |

use duty_lease::Duty;

/// The first stored format in which the holders of leases, not the leader, carry out duties.
/// Versions without duties neither lead nor serve users at this format.
pub const DUTIES_FORMAT: u64 = 2;
/// Prefix of all duty records.
pub const DUTIES_PREFIX: &str = "g/d/";
/// Prefix of the lease records of all duties.
pub const LEASES_PREFIX: &str = "g/d/l/";
/// Prefix of scaling requests, recorded orders and results.
const ORDERS_PREFIX: &str = "g/d/o/";

const HOLDER: &str = "holder";
const TOKEN: &str = "token";
const REFUSAL: &str = "refused";

/// The lease key of a duty, which exists while the holder's grant is valid.
pub fn holder_key(duty: Duty) -> String {
    lease_key(duty, HOLDER)
}

/// The key of the last token that was issued for a duty.
pub fn token_key(duty: Duty) -> String {
    lease_key(duty, TOKEN)
}

/// The key of the record of a duty's last order that the provider refused for its token.
pub fn refusal_key(duty: Duty) -> String {
    lease_key(duty, REFUSAL)
}

fn lease_key(duty: Duty, part: &str) -> String {
    format!("{LEASES_PREFIX}{}/{part}", duty.name())
}

/// The key of an order's record.
pub fn order_key(key: &OrderKey) -> String {
    format!("{ORDERS_PREFIX}{}/{}", key.duty.name(), key.request)
}

/// Identifies an order's record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// The duty that carries it out.
    pub duty: Duty,
    /// The name of the scaling request, which is never reused.
    pub request: String,
}

/// The kind of record under a key that starts with [`DUTIES_PREFIX`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DutyKey {
    Holder(Duty),
    Token(Duty),
    Refusal,
    Order(OrderKey),
}

impl DutyKey {
    /// Parses a key; `None` if this version does not know it.
    pub(super) fn parse(key: &str) -> Option<DutyKey> {
        match key.strip_prefix(LEASES_PREFIX) {
            Some(lease) => DutyKey::parse_lease(lease),
            None => DutyKey::parse_order(key.strip_prefix(ORDERS_PREFIX)?),
        }
    }

    fn parse_lease(lease: &str) -> Option<DutyKey> {
        let (name, part) = lease.split_once('/')?;
        let duty = parse_duty(name)?;
        match part {
            HOLDER => Some(DutyKey::Holder(duty)),
            TOKEN => Some(DutyKey::Token(duty)),
            REFUSAL => Some(DutyKey::Refusal),
            _ => None,
        }
    }

    fn parse_order(order: &str) -> Option<DutyKey> {
        let (name, request) = order.split_once('/')?;
        Some(DutyKey::Order(OrderKey {
            duty: parse_duty(name)?,
            request: request.to_string(),
        }))
    }
}

fn parse_duty(name: &str) -> Option<Duty> {
    Duty::ALL.into_iter().find(|duty| duty.name() == name)
}
