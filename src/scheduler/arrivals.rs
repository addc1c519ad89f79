//! How often jobs of a class arrive, estimated from the arrivals seen so far.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::job::JobSpec;

/// The time constant with which past arrivals decay, in boot times.
const DECAY_BOOTS: f64 = 3.0;
/// Jobs that arrive within this many boot times of the first one of their class count as
/// present from the start.
const START_BOOTS: f64 = 0.25;

/// The arrival rates of all job classes.
#[derive(Debug, Default)]
pub(super) struct ArrivalRates {
    by_class: BTreeMap<String, ArrivalRate>,
}

impl ArrivalRates {
    /// Records that a job arrived at `at`, which may be earlier than the last one.
    pub(super) fn record(&mut self, spec: &Arc<JobSpec>, at: i64, boot_s: f64) {
        self.by_class
            .entry(spec.class.clone())
            .or_insert_with(|| ArrivalRate::new(spec.clone(), at))
            .record(spec, at, boot_s);
    }

    /// The rates in the order of the class names.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ArrivalRate> {
        self.by_class.values()
    }
}

/// How often tasks of one class arrive, as an exponentially decaying average.
#[derive(Debug)]
pub(super) struct ArrivalRate {
    /// The latest job of the class.
    pub spec: Arc<JobSpec>,
    /// Number of tasks, decayed as of `updated_at`.
    weight: f64,
    updated_at: i64,
    /// When the first job arrived. Jobs that arrive together with it were there before this
    /// leader and say nothing about the rate.
    first_at: i64,
}

impl ArrivalRate {
    /// A rate without arrivals; the first job arrives at `at`.
    fn new(spec: Arc<JobSpec>, at: i64) -> ArrivalRate {
        ArrivalRate {
            spec,
            weight: 0.0,
            updated_at: at,
            first_at: at,
        }
    }

    fn record(&mut self, spec: &Arc<JobSpec>, at: i64, boot_s: f64) {
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

    /// Tasks per second.
    pub(super) fn per_second(&self, now: u64, boot_s: f64) -> f64 {
        let now = now as i64;
        let decay_s = DECAY_BOOTS * boot_s;
        let age_s = (now - self.updated_at).max(0) as f64 / 1000.0;
        let start_s = START_BOOTS * boot_s;
        let observed_s = (now - self.first_at) as f64 / 1000.0 - start_s;
        let observed_s = observed_s.max(2.0 * start_s);
        // The class may not have been observed for a whole decay time yet.
        let observed_share = 1.0 - (-observed_s / decay_s).exp();
        self.weight * (-age_s / decay_s).exp() / (decay_s * observed_share)
    }
}
