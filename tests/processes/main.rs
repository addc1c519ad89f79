//! Real processes on loopback, against the stand-ins over real sockets. Waits are for
//! conditions, with a bound far beyond what they take.

#[path = "../common/mod.rs"]
mod common;
mod duties;
mod http;
mod processes;
mod sockets;
mod world;
