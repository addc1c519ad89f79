//! Compatibility with the previous version, which is in production, and with store limits that
//! are lowered without notice.
//!
//! Data that the previous version cannot read is written only once no controller runs that
//! version. Each controller announces its version under a separate key. Once every controller of
//! the settings has done so, and each recently reported that it runs this version, the leader
//! raises the stored format, which never decreases. A controller that is down or cut off counts
//! as old, and so does one that was rolled back. A submission that names dependencies, or a
//! refusal under the lower limits, is accepted as earlier proof: neither occurs before all
//! controllers run this version.

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
/// Interval between attempts to announce the version or raise the format, in heartbeat
/// intervals.
const WRITE_RETRY_HEARTBEAT_INTERVALS: f64 = 0.5;
/// Heartbeat intervals for which the lower write rate applies after a refusal with 429 (too
/// many requests), while nothing else proves that the lower limits are in force.
const THROTTLE_HEARTBEAT_INTERVALS: f64 = 4.0;

/// Evidence that no controller runs an earlier version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum FormatProof {
    #[error("a submission names dependencies")]
    Dependencies,
    #[error("the store enforces its lower limits")]
    LoweredLimits,
}

/// Format state that the watch cache does not hold.
#[derive(Debug, Default)]
pub(super) struct FormatState {
    /// Whether a [`FormatProof`] was seen.
    is_confirmed: bool,
    next_write_at: u64,
    /// Until when the lower write limit is assumed after a transaction was refused with 429;
    /// 0 if none was.
    throttled_until: u64,
}

impl FormatState {
    /// The format that may be written, given the stored format.
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

    /// Stops assuming the lower limit once its time is over. Returns whether it just did.
    fn end_throttling_if_over(&mut self, now: u64) -> bool {
        let is_over = self.throttled_until > 0 && now >= self.throttled_until;
        if is_over {
            self.throttled_until = 0;
        }
        is_over
    }

    /// Assumes the lower write limit until a time, after a refusal.
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

    /// Whether the store holds data that only a later version can read. An outdated controller
    /// neither leads nor serves users, whom it would tell that existing jobs are unknown.
    pub(super) fn is_outdated(&self) -> bool {
        self.watch_cache.format > LATEST_FORMAT
    }

    /// The store limits to respect at present.
    pub(super) fn store_limits(&self) -> StoreLimits {
        let state = &self.settings.cluster.state;
        if self.format() >= PACKED_FORMAT {
            return state.strictest();
        }
        let mut limits = state.clone();
        if self.format_state.is_throttled(self.clock.steady_ms()) {
            limits.write_rps = limits.strictest().write_rps;
        }
        limits
    }

    /// Records that no controller runs an earlier version, which allows the packed format.
    pub(super) fn confirm_packed_format(&mut self, proof: FormatProof) {
        if self.format() < PACKED_FORMAT {
            info!(
                format = PACKED_FORMAT,
                reason = %proof,
                "no controller runs an earlier version; enabling the packed format"
            );
            self.format_state.confirm();
            self.on_format_changed();
        }
    }

    pub(super) fn on_format_changed(&mut self) {
        if self.is_outdated() {
            error!(
                format = self.watch_cache.format,
                latest = LATEST_FORMAT,
                "stored format needs a later version; refusing to lead or answer users"
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
        self.apply_store_role(role);
    }

    /// Announces this version or raises the stored format, if due.
    pub(super) fn tick_stored_format(&mut self) {
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
        let pause_s = self.settings.cluster.workers.report_s * WRITE_RETRY_HEARTBEAT_INTERVALS;
        let retry_at = self.clock.steady_ms() + to_ms(pause_s);
        self.format_state.postpone_write(retry_at);
    }

    /// Raises the stored format to the packed format if no controller runs an earlier version;
    /// otherwise announces this version.
    fn activate_packed_format(&mut self) {
        self.postpone_format_write();
        let is_announced = self.watch_cache.members.contains(&self.settings.member);
        let all_announced = is_announced && self.all_peers_support(PACKED_FORMAT);
        let is_proven =
            self.format_state.is_confirmed || (all_announced && self.scheduler.is_some());
        if is_proven {
            let unchanged = Condition::new(FORMAT_KEY, self.watch_cache.format_version);
            self.write_format(vec![unchanged], FORMAT_KEY.to_string(), PACKED_FORMAT);
        } else if !is_announced {
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

    /// Raises the stored format to the one from which duties are no longer tied to the leader,
    /// if all controllers support it. A version without duties would perform them as leader, so
    /// the lease is first moved to a key that such a version cannot acquire.
    fn activate_duties(&mut self) {
        let is_ready = self.watch_cache.format < DUTIES_FORMAT
            && self.supported_format() >= DUTIES_FORMAT
            && self.scheduler.is_some()
            && self.all_peers_support(DUTIES_FORMAT);
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
        info!(
            format = DUTIES_FORMAT,
            "all controllers support duties; raising the stored format"
        );
        let conditions = vec![
            scheduler.term_condition(),
            Condition::new(FORMAT_KEY, self.watch_cache.format_version),
        ];
        self.write_format(conditions, FORMAT_KEY.to_string(), DUTIES_FORMAT);
    }

    /// Whether every other controller has announced itself and recently reported that it
    /// supports a format. Its key alone may date from before a rollback.
    fn all_peers_support(&self, format: u64) -> bool {
        let now = self.clock.steady_ms();
        self.peers.iter().all(|peer| {
            let status = peer.recent_status(now);
            let is_supported = status.is_some_and(|status| status.supported_format >= format);
            is_supported && self.watch_cache.members.contains(&peer.member)
        })
    }

    /// Handles the outcome of a transaction that the store may have refused under its lower
    /// limits.
    pub(super) fn on_store_refusal(&mut self, outcome: &Outcome) {
        let Outcome::Response { status: code, body } = outcome else {
            return;
        };
        if self.settings.cluster.state.next.is_none() {
            return;
        }
        match *code {
            // A transaction of the queue names no grant that may have ended and is well formed,
            // so it can only be too large for the lower limits.
            status::BAD_REQUEST => {
                debug!(
                    body = wire::format_for_log(body),
                    "store refused a transaction as too large; lower limits are in force"
                );
                self.confirm_packed_format(FormatProof::LoweredLimits);
            }
            status::TOO_MANY_REQUESTS if self.format() < PACKED_FORMAT => {
                let throttled_s =
                    self.settings.cluster.workers.report_s * THROTTLE_HEARTBEAT_INTERVALS;
                let until = self.clock.steady_ms() + to_ms(throttled_s);
                self.format_state.throttle(until);
                self.on_format_changed();
            }
            _ => {}
        }
    }
}
