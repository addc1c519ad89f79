//! Conversions between [`Order`] and the requests of the provider client, in both directions.

use duty_lease::Order;

use crate::cloud::MachineKind;
use crate::controller::provider_client::MachineRequest;

/// An order in the terms of the provider client.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum MachineOrder<'a> {
    /// Provision machines.
    Provision(MachineRequest),
    /// Terminate the named machines.
    Terminate(&'a [String]),
}

impl<'a> From<&'a Order> for MachineOrder<'a> {
    fn from(order: &'a Order) -> MachineOrder<'a> {
        match order {
            Order::Rent {
                machine_type,
                zone,
                spot,
                count,
            } => MachineOrder::Provision(MachineRequest {
                kind: MachineKind {
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                },
                count: u64::from(*count),
            }),
            Order::Delete { machines, .. } => MachineOrder::Terminate(machines),
        }
    }
}

impl From<&MachineRequest> for Order {
    fn from(request: &MachineRequest) -> Order {
        Order::Rent {
            machine_type: request.kind.machine_type.clone(),
            zone: request.kind.zone.clone(),
            spot: request.kind.spot,
            count: request.count as u32,
        }
    }
}
