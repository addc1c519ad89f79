//! The rate limits of writes, by class. Tokens are writes; times are in milliseconds.

use super::request::WriteClass;
use crate::rate_limit::TokenBucket;

/// No part of the rate is reserved.
pub(super) const NO_RESERVE: f64 = 0.0;
/// Share of the common rate that is reserved for requests to come before writes that nobody
/// waits for are sent.
const SPARE_RESERVE: f64 = 0.5;

/// The limits from which records of duties may take tokens.
#[derive(Debug, Clone, Copy)]
pub(super) enum DutyShare {
    /// Only their own limit, as more urgent requests wait.
    OwnOnly,
    /// Their own limit first, then what the common limit has above its reserve.
    OwnAndSpare,
}

/// The rate limits of writes.
#[derive(Debug)]
pub(super) struct WriteLimits {
    /// The limit that users and the leader share.
    common: TokenBucket,
    /// The part of the common limit that users' writes may take.
    user: TokenBucket,
    /// The duties' own limit, beside the common one.
    duty: TokenBucket,
}

impl WriteLimits {
    /// Creates full limits of these rates in writes per second. The duties' rate is zero until
    /// it is set.
    pub(super) fn new(rate: f64, user_rate: f64) -> WriteLimits {
        WriteLimits {
            common: TokenBucket::new(rate),
            user: TokenBucket::new(user_rate),
            duty: TokenBucket::new(0.0),
        }
    }

    pub(super) fn set_rate(&mut self, now: u64, rate: f64) {
        self.common.set_rate(now, rate);
    }

    pub(super) fn set_duty_rate(&mut self, now: u64, rate: f64) {
        self.duty.set_rate(now, rate);
    }

    /// Returns whether any write may be sent at all.
    pub(super) fn may_write(&mut self, now: u64, duties_wait: bool) -> bool {
        self.common.available(now, NO_RESERVE) > 0
            || (duties_wait && self.duty.available(now, NO_RESERVE) > 0)
    }

    /// Returns how many writes the common limit has above its reserve.
    pub(super) fn spare(&mut self, now: u64) -> usize {
        self.common.available(now, SPARE_RESERVE)
    }

    /// Takes the tokens of a request of this class. Takes none and returns false if the limits
    /// don't admit it.
    pub(super) fn try_take(
        &mut self,
        now: u64,
        class: WriteClass,
        tokens: f64,
        duty_share: DutyShare,
    ) -> bool {
        match class {
            WriteClass::User => self.try_take_for_user(now, tokens),
            WriteClass::Leader => self.common.try_take(now, tokens, NO_RESERVE),
            WriteClass::Duty => self.try_take_for_duty(now, tokens, duty_share),
        }
    }

    fn try_take_for_user(&mut self, now: u64, tokens: f64) -> bool {
        if !self.user.try_take(now, tokens, NO_RESERVE) {
            return false;
        }
        let is_taken = self.common.try_take(now, tokens, NO_RESERVE);
        if !is_taken {
            self.user.refund(tokens);
        }
        is_taken
    }

    fn try_take_for_duty(&mut self, now: u64, tokens: f64, share: DutyShare) -> bool {
        if self.duty.try_take(now, tokens, NO_RESERVE) {
            return true;
        }
        match share {
            DutyShare::OwnOnly => false,
            DutyShare::OwnAndSpare => self.common.try_take(now, tokens, SPARE_RESERVE),
        }
    }

    /// Gives back the tokens of a request whose transaction is put back.
    ///
    /// This is an approximation: which limits a request took its tokens from is not recorded.
    ///
    /// - A duty's writes are refunded to the duties' own limit even if they took their tokens
    ///   from the common one.
    /// - Users' writes are refunded to the common limit, but not to the users' part of it.
    /// - The token of a request without writes is not refunded.
    ///
    /// The error is bounded by the size of a transaction, and no limit ever holds more than one
    /// second's worth of tokens.
    pub(super) fn refund(&mut self, class: WriteClass, writes: usize) {
        let limit = match class {
            WriteClass::User | WriteClass::Leader => &mut self.common,
            WriteClass::Duty => &mut self.duty,
        };
        limit.refund(writes as f64);
    }

    /// Empties the limits that requests of all classes depend on, after the store has refused a
    /// transaction because of its own limits.
    pub(super) fn drain(&mut self) {
        self.common.drain();
        self.duty.drain();
    }
}
