//! Estimates the arrival rate of each job class from past arrivals.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::job::JobSpec;

/// The time constant with which past arrivals decay, in boot times.
const DECAY_BOOT_MULTIPLIER: f64 = 3.0;
/// Jobs that arrive within this many boot times of the first one of their class count as already
/// present and are not included in the rate.
const INITIAL_PERIOD_BOOT_RATIO: f64 = 0.25;

/// The arrival rates of all job classes.
#[derive(Debug, Default)]
pub(super) struct ArrivalRates {
    by_class: BTreeMap<String, ArrivalRate>,
}

impl ArrivalRates {
    /// Records that a job arrived at `at`, which may be before the previously recorded arrival.
    pub(super) fn record(&mut self, spec: &Arc<JobSpec>, at: i64, boot_s: f64) {
        self.by_class
            .entry(spec.class.clone())
            .or_insert_with(|| ArrivalRate::new(spec.clone(), at))
            .record(spec, at, boot_s);
    }

    /// The rates, ordered by class name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ArrivalRate> {
        self.by_class.values()
    }
}

/// The arrival rate of one class's tasks, as an exponentially decaying average. Times are in
/// milliseconds.
#[derive(Debug)]
pub(super) struct ArrivalRate {
    /// The latest job of the class.
    pub spec: Arc<JobSpec>,
    /// The number of arrived tasks, decayed as of `updated_at`.
    decayed_tasks: f64,
    updated_at: i64,
    /// When the first job arrived. Jobs that arrive together with it may have been submitted
    /// before this leader's term, so they are no evidence of the rate.
    first_at: i64,
}

impl ArrivalRate {
    /// A rate without any arrivals counted; the first job arrives at `at`.
    fn new(spec: Arc<JobSpec>, at: i64) -> ArrivalRate {
        ArrivalRate {
            spec,
            decayed_tasks: 0.0,
            updated_at: at,
            first_at: at,
        }
    }

    fn record(&mut self, spec: &Arc<JobSpec>, at: i64, boot_s: f64) {
        self.first_at = self.first_at.min(at);
        if (at - self.first_at) as f64 <= INITIAL_PERIOD_BOOT_RATIO * boot_s * 1000.0 {
            return;
        }
        let decay_ms = DECAY_BOOT_MULTIPLIER * boot_s * 1000.0;
        let tasks = f64::from(spec.tasks);
        if at >= self.updated_at {
            let decayed = (-(at - self.updated_at) as f64 / decay_ms).exp();
            self.decayed_tasks = self.decayed_tasks * decayed + tasks;
            self.updated_at = at;
        } else {
            self.decayed_tasks += tasks * (-(self.updated_at - at) as f64 / decay_ms).exp();
        }
        self.spec = spec.clone();
    }

    /// The arrival rate at `now`, in tasks per second.
    pub(super) fn tasks_per_second(&self, now: u64, boot_s: f64) -> f64 {
        let now = now as i64;
        let decay_s = DECAY_BOOT_MULTIPLIER * boot_s;
        let age_s = (now - self.updated_at).max(0) as f64 / 1000.0;
        let initial_s = INITIAL_PERIOD_BOOT_RATIO * boot_s;
        let observed_s = (now - self.first_at) as f64 / 1000.0 - initial_s;
        let observed_s = observed_s.max(2.0 * initial_s);
        // Corrects for classes that have been observed for less than the decay time.
        let observed_share = 1.0 - (-observed_s / decay_s).exp();
        self.decayed_tasks * (-age_s / decay_s).exp() / (decay_s * observed_share)
    }
}
