//! Real processes on loopback, with the simulated store and cloud behind real sockets. Tests
//! wait for conditions, with time-outs far beyond the time that they take.

#[path = "../common/mod.rs"]
mod common;
mod duties;
mod http;
mod processes;
mod service;
mod sockets;
