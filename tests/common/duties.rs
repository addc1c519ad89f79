//! Controllers with duties enabled, and the state of duties and their orders in the store.

use ciborium::Value;
use gaugesill::net::Listener;
use gaugesill::peer_protocol::{PeerStatus, STATUS_PATH};
use gaugesill::settings::{DutySettings, FencingMode};
use gaugesill::wire::KeyChange;
use prost::Message;

use super::duty_records::{is_in_phase, is_rejected, LoggedOrder, LEASES_PREFIX, ORDERS_PREFIX};
use super::sim::Sim;
use super::values::field;

const DUTIES: [&str; 4] = ["rent", "return", "reclaim-idle", "clean-state"];

impl Sim {
    /// Three controllers with the settings of `deploy/duties.toml`. Returns when all duties are
    /// held.
    pub(crate) fn with_duties(fence: FencingMode) -> Sim {
        let mut sim = Sim::new();
        sim.switch_duties_on(fence);
        sim.crash_all(|_| 1);
        assert!(
            sim.run_until(60_000, super::sim::Sim::are_duties_held),
            "duties without a holder: {:?}",
            sim.log.trace
        );
        sim
    }

    pub(crate) fn switch_duties_on(&mut self, fence: FencingMode) {
        let text = include_str!("../../deploy/duties.toml");
        self.deployment.operator = toml::from_str(text).expect("settings");
        self.duty_settings().fence = fence;
        self.cloud.checks_tokens = fence == FencingMode::ProviderToken;
    }

    pub(crate) fn duty_settings(&mut self) -> &mut DutySettings {
        let duties = self.deployment.operator.duties.as_mut();
        duties.expect("duties are on")
    }

    /// The holder of a duty according to the store.
    pub(crate) fn holder_of(&self, duty: &str) -> Option<usize> {
        let key = format!("{LEASES_PREFIX}{duty}/holder");
        let holder = self.store.keys.get(&key)?;
        field(&holder.value, "member")?.as_text()?[1..].parse().ok()
    }

    pub(crate) fn are_duties_held(&self) -> bool {
        DUTIES.iter().all(|duty| self.holder_of(duty).is_some())
    }

    /// Delivers another controller's status to a controller.
    pub(crate) fn deliver_status(&mut self, controller: usize, status: &PeerStatus) {
        let connection = self.network.new_connection();
        let (path, body) = (STATUS_PATH.to_string(), status.encode_to_vec());
        self.post(controller, connection, Listener::Peers, path, body);
    }

    /// Whether all controllers run and none is paused.
    pub(crate) fn are_all_running(&self) -> bool {
        !self.pauses.is_any_paused() && self.controllers.iter().all(Option::is_some)
    }

    /// Values of the keys with a prefix.
    fn values_with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Value> {
        let keys = self.store.keys.iter();
        let matching = keys.filter(move |(key, _)| key.starts_with(prefix));
        matching.map(|(_, stored)| &stored.value)
    }

    /// How many orders of a duty are in a phase.
    pub(crate) fn orders_in_phase(&self, duty: &str, phase: &str) -> usize {
        let prefix = format!("{ORDERS_PREFIX}{duty}/");
        let records = self.values_with_prefix(&prefix);
        records.filter(|record| is_in_phase(record, phase)).count()
    }

    /// Machines whose termination is recorded.
    pub(crate) fn terminated_machines(&self) -> Vec<String> {
        let records = self.values_with_prefix(ORDERS_PREFIX);
        let orders = records.filter_map(LoggedOrder::from_value);
        orders.flat_map(|order| order.machines).collect()
    }

    /// How many scaling requests were rejected by holders.
    pub(crate) fn rejected_requests(&self) -> usize {
        let is_rejection = |change: &&KeyChange| change.value.as_ref().is_some_and(is_rejected);
        self.store.log.iter().filter(is_rejection).count()
    }

    /// How many writes the store has committed.
    pub(crate) fn write_count(&self) -> usize {
        self.store.log.len()
    }
}
