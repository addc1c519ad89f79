//! The rate limits of writes, by class. Tokens are writes; times are in milliseconds.

use super::request::WriteClass;
use crate::rate_limit::TokenBucket;

/// No part of the rate is reserved.
pub(super) const NO_RESERVE: f64 = 0.0;
/// Part of the common rate that deferrable writes and those of duties leave to future requests.
const DEFERRABLE_RESERVE_RATIO: f64 = 0.5;

/// The rate limits from which writes of duty records may take tokens.
#[derive(Debug, Clone, Copy)]
pub(super) enum DutyShare {
    /// Only their own limit, as more urgent requests are waiting.
    OwnOnly,
    /// Their own limit first, then the tokens of the common limit above its reserve.
    OwnAndSpare,
}

/// The rate limits of all write classes.
#[derive(Debug)]
pub(super) struct WriteLimits {
    /// The limit that users' and the leader's writes share.
    common: TokenBucket,
    /// The part of the common limit that users' writes may take.
    user: TokenBucket,
    /// The duties' own limit, in addition to the common one.
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

    /// Returns whether any write may be sent now. `duties_wait`: writes of duties are waiting.
    pub(super) fn may_write(&mut self, now: u64, duties_wait: bool) -> bool {
        self.common.available(now, NO_RESERVE) > 0
            || (duties_wait && self.duty.available(now, NO_RESERVE) > 0)
    }

    /// Returns the number of deferrable writes that the common limit admits now.
    pub(super) fn tokens_above_reserve(&mut self, now: u64) -> usize {
        self.common.available(now, DEFERRABLE_RESERVE_RATIO)
    }

    /// Takes the tokens for a request of this class. Takes none and returns false if the limits
    /// don't admit the request.
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
            DutyShare::OwnAndSpare => self.common.try_take(now, tokens, DEFERRABLE_RESERVE_RATIO),
        }
    }

    /// Returns the tokens of a request that is put back into the queue.
    ///
    /// This is an approximation, as it is not recorded from which limits a request took its tokens.
    ///
    /// - Duties' writes are refunded to the duties' own limit even if they took their tokens from
    ///   the common one.
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

    /// Empties the limits that requests of all classes depend on, after the store has throttled a
    /// transaction.
    pub(super) fn drain(&mut self) {
        self.common.drain();
        self.duty.drain();
    }
}
