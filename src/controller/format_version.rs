//! Compatibility with the version in production, and with limits of the store that fall
//! without notice.
//!
//! What that version can't read is written only once it runs nowhere any more. Each
//! controller makes itself known by a key; once all controllers of the settings have, and each
//! has just said that it runs this version, the leader raises the format, which never goes
//! down. A controller that is down or cut off counts as old, and so does one that was rolled
//! back to the version before. Before that, a submission that names dependencies or a refusal
//! for a lower limit is proof as well: neither comes before all run this version.

use thiserror::Error;
use tracing::{debug, error, info};

use super::commits::WriteOwner;
use super::store_client::StoreRole;
use super::{Controller, StepDownReason};
use crate::duties::DUTIES_FORMAT;
use crate::job::PACKED_FORMAT;
use crate::leadership_keys::FORMAT_KEY;
use crate::net::{status, Outcome};
use crate::settings::StoreLimits;
use crate::time_units::to_ms;
use crate::watch_cache::member_key;
use crate::wire::{self, Condition, Write};
use crate::write_queue::{WriteClass, WriteRequest};

/// The latest format that this version can read.
const LATEST_FORMAT: u64 = DUTIES_FORMAT;
/// How often a write that makes a version known is tried, in heartbeat intervals.
const RETRY_INTERVALS: f64 = 0.5;
/// For how many heartbeat intervals a refusal for the number of changes counts, while
/// nothing proves that the lower limit holds.
const THROTTLED_INTERVALS: f64 = 4.0;

/// What proves that no earlier version runs any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum FormatProof {
    #[error("a submission names dependencies")]
    Dependencies,
    #[error("the store holds to its lower limits")]
    LoweredLimits,
}

/// What is known of the format beyond the watch cache.
#[derive(Debug, Default)]
pub(super) struct FormatState {
    /// There was proof that no earlier version runs any more.
    is_confirmed: bool,
    next_write_at: u64,
    /// A transaction was refused for the number of changes: until then the lower limit may
    /// hold. 0 if none was.
    throttled_until: u64,
}

impl FormatState {
    /// The format that may be written, with what the store holds.
    fn writable_format(&self, stored: u64) -> u64 {
        let proven = u64::from(self.is_confirmed) * PACKED_FORMAT;
        stored.max(proven)
    }

    fn confirm(&mut self) {
        self.is_confirmed = true;
        self.next_write_at = 0;
    }

    fn is_throttled(&self, now: u64) -> bool {
        now < self.throttled_until
    }

    /// Ends the time in which the lower limit may hold. Returns whether it has just ended.
    fn end_throttling_if_over(&mut self, now: u64) -> bool {
        let is_over = self.throttled_until > 0 && now >= self.throttled_until;
        if is_over {
            self.throttled_until = 0;
        }
        is_over
    }

    /// A transaction was refused for the number of changes.
    fn throttle(&mut self, until: u64) {
        self.throttled_until = until;
    }

    fn postpone_write(&mut self, until: u64) {
        self.next_write_at = until;
    }

    fn is_write_due(&self, now: u64) -> bool {
        now >= self.next_write_at
    }
}

impl Controller {
    /// The format that may be written.
    pub(super) fn format(&self) -> u64 {
        self.format_state.writable_format(self.watch_cache.format)
    }

    /// The store holds what only a later version than this one can read: this one
    /// neither leads nor answers users, who would be told that jobs are unknown.
    pub(super) fn is_outdated(&self) -> bool {
        self.watch_cache.format > LATEST_FORMAT
    }

    /// What may be asked of the store.
    pub(super) fn store_limits(&self) -> StoreLimits {
        let state = &self.settings.cluster.state;
        if self.format() >= PACKED_FORMAT {
            return state.lowered();
        }
        let mut limits = state.clone();
        if self.format_state.is_throttled(self.clock.steady_ms()) {
            limits.write_rps = limits.lowered().write_rps;
        }
        limits
    }

    /// No earlier version runs any more.
    pub(super) fn confirm_packed_format(&mut self, proof: FormatProof) {
        if self.format() < PACKED_FORMAT {
            info!(format = PACKED_FORMAT, reason = %proof, "no earlier version runs any more");
            self.format_state.confirm();
            self.on_format_changed();
        }
    }

    pub(super) fn on_format_changed(&mut self) {
        if self.is_outdated() {
            error!(
                format = self.watch_cache.format,
                latest = LATEST_FORMAT,
                "the store holds a later format: this version must be replaced"
            );
            return self.resign(StepDownReason::Outdated, 0);
        }
        let format = self.format();
        let limits = self.store_limits();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_format(format, &limits);
        }
        let role = match self.scheduler {
            Some(_) => StoreRole::Leader,
            None => StoreRole::Follower,
        };
        self.set_store_share(role);
    }

    /// Makes this version known, or raises the format.
    pub(super) fn format_tick(&mut self) {
        let now = self.clock.steady_ms();
        if self.format_state.end_throttling_if_over(now) {
            self.on_format_changed();
        }
        if !self.watch_cache.loaded || !self.format_state.is_write_due(now) {
            return;
        }
        if self.watch_cache.format >= PACKED_FORMAT {
            self.activate_duties();
        } else {
            self.activate_packed_format();
        }
    }

    fn postpone_format_write(&mut self) {
        let pause_s = self.settings.cluster.workers.report_s * RETRY_INTERVALS;
        let retry_at = self.clock.steady_ms() + to_ms(pause_s);
        self.format_state.postpone_write(retry_at);
    }

    /// Raises the first format if no earlier version runs any more; else makes this version
    /// known.
    fn activate_packed_format(&mut self) {
        self.postpone_format_write();
        let is_known = self.watch_cache.members.contains(&self.settings.member);
        let all_known = is_known && self.all_peers_know(PACKED_FORMAT);
        let is_proven = self.format_state.is_confirmed || (all_known && self.scheduler.is_some());
        if is_proven {
            let unchanged = Condition::new(FORMAT_KEY, self.watch_cache.format_version);
            self.write_format(vec![unchanged], FORMAT_KEY.to_string(), PACKED_FORMAT);
        } else if !is_known {
            self.write_format(vec![], member_key(&self.settings.member), PACKED_FORMAT);
        }
    }

    fn write_format(&mut self, conditions: Vec<Condition>, key: String, format: u64) {
        self.store.push_write(WriteRequest {
            owner: WriteOwner::FormatVersion,
            conditions,
            writes: vec![Write::set(key, format.into())],
            class: WriteClass::User,
        });
    }

    /// Raises the format from which on duties are not with the leader any more, if all
    /// controllers are ready for it. Versions that know no duties must not lead then: the
    /// lease is held out of their reach first.
    fn activate_duties(&mut self) {
        let is_ready = self.watch_cache.format < DUTIES_FORMAT
            && self.known_format() >= DUTIES_FORMAT
            && self.scheduler.is_some()
            && self.all_peers_know(DUTIES_FORMAT);
        if !is_ready {
            return;
        }
        self.postpone_format_write();
        if !self.watch_cache.is_superseded() {
            return self.resign(StepDownReason::FenceRaised, 0);
        }
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        info!(format = DUTIES_FORMAT, "all controllers can hold duties");
        let conditions = vec![
            scheduler.term_condition(),
            Condition::new(FORMAT_KEY, self.watch_cache.format_version),
        ];
        self.write_format(conditions, FORMAT_KEY.to_string(), DUTIES_FORMAT);
    }

    /// Whether each other controller has made itself known, and has just said that it knows
    /// a format. Its key alone may be older than a return to the version before.
    fn all_peers_know(&self, format: u64) -> bool {
        let now = self.clock.steady_ms();
        self.peers.iter().all(|peer| {
            let status = peer.recent_status(now);
            let knows_it = status.is_some_and(|status| status.known_format >= format);
            knows_it && self.watch_cache.members.contains(&peer.member)
        })
    }

    /// The store may have refused a transaction for a lower limit.
    pub(super) fn on_store_refusal(&mut self, outcome: &Outcome) {
        let Outcome::Answer { status: code, body } = outcome else {
            return;
        };
        if self.settings.cluster.state.next.is_none() {
            return;
        }
        match *code {
            // No transaction with a grant goes through the queue, and ours are well
            // formed: it is too large by now.
            status::BAD_REQUEST => {
                debug!(body = wire::readable(body), "transaction refused");
                self.confirm_packed_format(FormatProof::LoweredLimits);
            }
            status::TOO_MANY_REQUESTS if self.format() < PACKED_FORMAT => {
                let throttled_s = self.settings.cluster.workers.report_s * THROTTLED_INTERVALS;
                let until = self.clock.steady_ms() + to_ms(throttled_s);
                self.format_state.throttle(until);
                self.on_format_changed();
            }
            _ => {}
        }
    }
}
