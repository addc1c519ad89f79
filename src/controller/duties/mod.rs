//! Duties under fenced leases: which ones this controller holds, and the orders that it sends
//! as their holder. The planning leader writes scaling requests (`scaling_requests`), the
//! holder of a duty carries them out (`request_review`, `orders`, `cleaning`), and the leader
//! processes the results (`order_results`).
//!
//! All of this is inactive until every controller supports duties and the stored format has
//! been raised to [`DUTIES_FORMAT`].

mod assignment;
mod cleaning;
mod leader_requests;
mod leases;
mod machine_orders;
mod order_results;
mod orders;
mod request_review;
mod runtime;
mod scaling_requests;
mod unheld_duties;
mod writes;

use std::collections::BTreeMap;

use duty_lease::Duty;

use super::provider_client::ProviderRole;
use super::Controller;
use crate::duties::DUTIES_FORMAT;
use crate::job::PACKED_FORMAT;
use crate::settings::{ClusterSettings, DutySettings};

use assignment::{DutyAssignment, UNHELD_TTL_MULTIPLIER};
use cleaning::Cleaning;
use leader_requests::LeaderRequests;
pub(super) use orders::SentOrder;
pub(super) use runtime::DutyLeaseCall;
use runtime::DutyRuntime;
use unheld_duties::UnheldDuties;
pub(super) use writes::DutyWrite;

/// This controller's runtime state of all duties.
#[derive(Debug)]
struct DutyControl {
    runtimes: BTreeMap<Duty, DutyRuntime>,
    assignment: DutyAssignment,
    cleaning: Cleaning,
}

impl DutyControl {
    fn new(member: &str, lease_s: f64, settings: &DutySettings) -> DutyControl {
        let timing = settings.timing(lease_s);
        let runtime = |duty| (duty, DutyRuntime::new(duty, member, timing));
        DutyControl {
            runtimes: Duty::ALL.map(runtime).into(),
            assignment: DutyAssignment::new(settings, &timing),
            cleaning: Cleaning::new(settings, lease_s),
        }
    }
}

/// One controller's state of duties, as a holder and as the leader.
#[derive(Debug)]
pub(super) struct DutyState {
    /// State as a candidate and holder; `None` if operators have not enabled duties.
    control: Option<DutyControl>,
    /// State as the leader: its requests in flight.
    requests: LeaderRequests,
    unheld: UnheldDuties,
}

impl DutyState {
    /// `settings` are the operators' settings of duties; `None` if duties are not enabled.
    pub(super) fn new(
        member: &str,
        cluster: &ClusterSettings,
        settings: Option<&DutySettings>,
    ) -> Self {
        let lease_s = cluster.workers.lease_s;
        let control = settings.map(|settings| DutyControl::new(member, lease_s, settings));
        // Without operators' settings, a leader uses the default timing for its warnings.
        let default_settings = DutySettings::default();
        let timing = settings.unwrap_or(&default_settings).timing(lease_s);
        DutyState {
            control,
            requests: LeaderRequests::default(),
            unheld: UnheldDuties::new(UNHELD_TTL_MULTIPLIER * timing.ttl_ms),
        }
    }

    fn runtime(&mut self, duty: Duty) -> Option<&mut DutyRuntime> {
        self.control.as_mut()?.runtimes.get_mut(&duty)
    }

    /// Whether this controller holds a duty, even if it may not send orders now.
    fn holds(&self, duty: Duty) -> bool {
        let control = self.control.as_ref();
        let runtime = control.and_then(|control| control.runtimes.get(&duty));
        runtime.is_some_and(DutyRuntime::holds)
    }
}

impl Controller {
    /// The latest stored format that this controller supports and may raise the store to.
    pub(super) fn supported_format(&self) -> u64 {
        if self.duties.control.is_some() {
            DUTIES_FORMAT
        } else {
            PACKED_FORMAT
        }
    }

    /// Whether duties are carried out by lease holders instead of the leader.
    pub(super) fn are_duties_active(&self) -> bool {
        self.watch_cache.format >= DUTIES_FORMAT && !self.is_outdated()
    }

    /// Runs periodic work. Call this often: it reads the clock, and long gaps between readings
    /// suspend the holders' orders.
    pub(super) fn tick_duties(&mut self) {
        if !self.are_duties_active() || !self.watch_cache.loaded {
            return;
        }
        self.assign_duties();
        self.warn_about_missing_holders();
        self.remove_processed_results();
        self.clean_records();
        self.apply_provider_role();
    }

    /// Sends requests that became due between ticks.
    pub(super) fn send_due_duty_requests(&mut self) {
        if !self.are_duties_active() || !self.watch_cache.loaded {
            return;
        }
        self.forward_order_changes();
        for duty in Duty::ALL {
            self.run_lease(duty);
            self.review_scaling_requests(duty);
            self.run_orders(duty);
        }
    }

    /// Whether this controller may send orders of a duty at this moment.
    fn may_send_orders(&mut self, duty: Duty) -> bool {
        let now = self.clock.steady_ms();
        let runtime = self.duties.runtime(duty);
        runtime.is_some_and(|runtime| runtime.may_send_orders(now))
    }

    fn apply_provider_role(&mut self) {
        let now = self.clock.steady_ms();
        let is_holder = self.duties.holds(Duty::Rent) || self.duties.holds(Duty::Return);
        let role = match (is_holder, self.scheduler.is_some()) {
            (true, true) => ProviderRole::LeaderAndHolder,
            (true, false) => ProviderRole::Holder,
            (false, _) => ProviderRole::Reader,
        };
        self.provider.apply_role_limits(role, now);
    }
}
