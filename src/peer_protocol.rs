//! The peer protocol: messages between controllers, encoded as protocol buffers and sent over HTTP.
//!
//! Other versions of this service read these messages, so their tags and types must not change.

use prost::Message;

/// Path that status messages are sent to.
pub const STATUS_PATH: &str = "/mesh/status";
/// Path that users' requests are forwarded to.
pub const FORWARD_PATH: &str = "/mesh/hand";

/// The status of a controller and of its view of the cluster. It is sent to each other controller
/// about once a second; the response is the receiver's own status.
#[derive(Clone, PartialEq, Message)]
pub struct PeerStatus {
    /// The sender's id in the cluster.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Whether the sender has recently received a response of the store.
    #[prost(bool, tag = "2")]
    pub store_reachable: bool,
    /// The epoch of the sender's leadership; 0 if it does not lead.
    #[prost(uint64, tag = "3")]
    pub leading_epoch: u64,
    /// The number of agents that the sender has redirected in the last few heartbeat intervals.
    #[prost(uint32, tag = "4")]
    pub redirected_agents: u32,
    /// The age of the sender's process in milliseconds.
    #[prost(uint64, tag = "5")]
    pub process_age_ms: u64,
    /// The ids of jobs whose cancellation the sender has recently acknowledged to users. A leader
    /// that can't reach the store learns of them from here.
    #[prost(string, repeated, tag = "6")]
    pub acknowledged_cancellations: Vec<String>,
    /// The latest format that the sender supports; 0 for versions before format 1.
    #[prost(uint64, tag = "7")]
    pub supported_format: u64,
}

/// A user's request that the sender forwards, as it can't process the request itself.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedRequest {
    /// The HTTP method for the user API, `GET` or `POST`.
    #[prost(string, tag = "1")]
    pub method: String,
    /// The path in the user API: that of all jobs, of one job or of its cancellation.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The body as received from the user.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// The response to a forwarded request.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedReply {
    /// The HTTP status for the user; the message itself is sent with status 200.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The value of the `Retry-After` header for the user, in seconds; `None` for no header.
    #[prost(uint32, optional, tag = "2")]
    pub retry_after: Option<u32>,
    /// The body to send to the user.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}
