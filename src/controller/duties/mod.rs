//! Duties under fenced leases: which this controller holds, and the orders that it gives as
//! their holder. The planning leader decides what is to be done (`scaling_requests`), the
//! holder of a duty does it (`request_review`, `orders`, `cleaning`), and the leader processes
//! what came of it (`order_results`).
//!
//! Nothing of this happens before all controllers have said that they can do it, and the
//! format says so ([`DUTIES_FORMAT`]).

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

use assignment::{DutyAssignment, UNHELD_TTLS};
use cleaning::Cleaning;
use leader_requests::LeaderRequests;
pub(super) use orders::SentOrder;
pub(super) use runtime::DutyLeaseCall;
use runtime::DutyRuntime;
use unheld_duties::UnheldDuties;
pub(super) use writes::DutyWrite;

/// This controller's part in all duties.
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

/// Duties as seen by one controller.
#[derive(Debug)]
pub(super) struct DutyState {
    /// Its own part; `None` if operators have not switched it on.
    control: Option<DutyControl>,
    /// The leader's part.
    requests: LeaderRequests,
    unheld: UnheldDuties,
}

impl DutyState {
    /// `settings`: the operators', which this keeps no copy of.
    pub(super) fn new(
        member: &str,
        cluster: &ClusterSettings,
        settings: Option<&DutySettings>,
    ) -> Self {
        let lease_s = cluster.workers.lease_s;
        let control = settings.map(|settings| DutyControl::new(member, lease_s, settings));
        // A leader warns by the usual times if operators have not switched duties on for it.
        let usual = DutySettings::default();
        let timing = settings.unwrap_or(&usual).timing(lease_s);
        DutyState {
            control,
            requests: LeaderRequests::default(),
            unheld: UnheldDuties::new(UNHELD_TTLS * timing.ttl_ms),
        }
    }

    fn runtime(&mut self, duty: Duty) -> Option<&mut DutyRuntime> {
        self.control.as_mut()?.runtimes.get_mut(&duty)
    }

    /// Whether this controller holds a duty, whether it may send orders or not.
    fn holds(&self, duty: Duty) -> bool {
        let control = self.control.as_ref();
        let runtime = control.and_then(|control| control.runtimes.get(&duty));
        runtime.is_some_and(DutyRuntime::holds)
    }
}

impl Controller {
    /// The latest format that this controller asks for and can keep to.
    pub(super) fn known_format(&self) -> u64 {
        if self.duties.control.is_some() {
            DUTIES_FORMAT
        } else {
            PACKED_FORMAT
        }
    }

    /// Whether duties have left the leader.
    pub(super) fn are_duties_active(&self) -> bool {
        self.watch_cache.format >= DUTIES_FORMAT && !self.is_outdated()
    }

    /// Does what has come due; to be called often, as holders look at the clock here.
    pub(super) fn duties_tick(&mut self) {
        if !self.are_duties_active() || !self.watch_cache.loaded {
            return;
        }
        self.assign_duties();
        self.warn_of_missing_holders();
        self.remove_processed_results();
        self.clean_records();
        self.set_provider_share();
    }

    /// Sends what has come due between ticks.
    pub(super) fn duties_flush(&mut self) {
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

    /// Whether this controller may send orders of a duty at this very moment.
    fn may_send_orders(&mut self, duty: Duty) -> bool {
        let now = self.clock.steady_ms();
        let runtime = self.duties.runtime(duty);
        runtime.is_some_and(|runtime| runtime.may_send_orders(now))
    }

    fn set_provider_share(&mut self) {
        let now = self.clock.steady_ms();
        let is_holder = self.duties.holds(Duty::Rent) || self.duties.holds(Duty::Return);
        let role = match (is_holder, self.scheduler.is_some()) {
            (true, true) => ProviderRole::LeaderAndHolder,
            (true, false) => ProviderRole::Holder,
            (false, _) => ProviderRole::Reader,
        };
        self.provider.set_share(role, now);
    }
}
