//! How often work of a class comes.

use std::sync::Arc;

use crate::job::JobSpec;

/// How far back arrivals count, in boot times.
const DECAY_BOOTS: f64 = 3.0;
/// How long after the first job of a class others count as having been there
/// with it, in boot times.
const START_BOOTS: f64 = 0.25;

/// How often tasks of a class come, the older the less they count.
#[derive(Debug)]
pub(super) struct ArrivalRate {
    /// What was asked for last.
    pub spec: Arc<JobSpec>,
    /// Tasks, faded as of `updated_at`.
    weight: f64,
    updated_at: i64,
    /// When the first came. What comes with it was there before us, and says
    /// nothing about how often work comes.
    first_at: i64,
}

impl ArrivalRate {
    /// No arrivals yet; the first job is known to come at `at`.
    pub fn new(spec: Arc<JobSpec>, at: i64) -> ArrivalRate {
        ArrivalRate {
            spec,
            weight: 0.0,
            updated_at: at,
            first_at: at,
        }
    }

    /// A job came at `at`, which may be earlier than the last one.
    pub fn record(&mut self, spec: &Arc<JobSpec>, at: i64, boot_s: f64) {
        self.first_at = self.first_at.min(at);
        if (at - self.first_at) as f64 <= START_BOOTS * boot_s * 1000.0 {
            return;
        }
        let decay_ms = DECAY_BOOTS * boot_s * 1000.0;
        let tasks = f64::from(spec.tasks);
        if at >= self.updated_at {
            let decayed = (-(at - self.updated_at) as f64 / decay_ms).exp();
            self.weight = self.weight * decayed + tasks;
            self.updated_at = at;
        } else {
            self.weight += tasks * (-(self.updated_at - at) as f64 / decay_ms).exp();
        }
        self.spec = spec.clone();
    }

    /// Tasks a second.
    pub fn per_second(&self, now: u64, boot_s: f64) -> f64 {
        let now = now as i64;
        let decay_s = DECAY_BOOTS * boot_s;
        let age_s = (now - self.updated_at).max(0) as f64 / 1000.0;
        let start_s = START_BOOTS * boot_s;
        let observed_s = (now - self.first_at) as f64 / 1000.0 - start_s;
        let observed_s = observed_s.max(2.0 * start_s);
        // Not yet observed for as long as it would take to fade.
        let observed_share = 1.0 - (-observed_s / decay_s).exp();
        self.weight * (-age_s / decay_s).exp() / (decay_s * observed_share)
    }
}
