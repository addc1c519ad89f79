//! Network addresses of the simulated hosts, as the settings of the tests name them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub(super) const STORE_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 2, 0, 1));
pub(super) const CLOUD_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 2, 0, 2));
/// All agents share an IP address and differ in their ports.
pub(super) const AGENTS_IP: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 1, 0, 1));
/// Port of the agent on machine 0.
const FIRST_AGENT_PORT: u16 = 1000;

/// The address of a machine's agent.
pub(super) fn agent_address(machine: &str) -> SocketAddr {
    let number: u16 = machine[2..].parse().expect("a machine's name");
    SocketAddr::new(AGENTS_IP, FIRST_AGENT_PORT + number)
}

/// The machine whose agent has an address.
pub(super) fn machine_at(address: SocketAddr) -> String {
    format!("m-{:06}", address.port() - FIRST_AGENT_PORT)
}

/// The controller that has an address: `c0` has 10.0.0.1.
pub(super) fn controller_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        IpAddr::V6(ip) => panic!("{ip} is no controller's address"),
    }
}
