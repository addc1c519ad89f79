//! Messages between controllers.

use prost::Message;

/// Where status messages go.
pub const STATUS_PATH: &str = "/mesh/status";
/// Where users' requests are forwarded to.
pub const FORWARD_PATH: &str = "/mesh/hand";

/// A controller's view, sent to each other one about once a second and answered with the
/// receiver's own.
#[derive(Clone, PartialEq, Message)]
pub struct PeerStatus {
    /// The sender.
    #[prost(string, tag = "1")]
    pub member: String,
    /// The store has answered it lately.
    #[prost(bool, tag = "2")]
    pub store_reachable: bool,
    /// The epoch of its leadership; 0 if it does not lead.
    #[prost(uint64, tag = "3")]
    pub leading_epoch: u64,
    /// Agents that it has redirected in the last few heartbeat intervals.
    #[prost(uint32, tag = "4")]
    pub redirected_agents: u32,
    /// How long its process has run.
    #[prost(uint64, tag = "5")]
    pub process_age_ms: u64,
    /// Jobs that it has lately told users to be cancelled, for a leader that the state
    /// service does not answer.
    #[prost(string, repeated, tag = "6")]
    pub acknowledged_cancellations: Vec<String>,
    /// The latest format that its version knows; 0 for the one in production.
    #[prost(uint64, tag = "7")]
    pub known_format: u64,
}

/// A user's request that the sender can't decide.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedRequest {
    /// The HTTP method.
    #[prost(string, tag = "1")]
    pub method: String,
    /// The HTTP path.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// The answer to a forwarded request.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedReply {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// When the user is to come back, in seconds.
    #[prost(uint32, optional, tag = "2")]
    pub retry_after: Option<u32>,
    /// The body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}
