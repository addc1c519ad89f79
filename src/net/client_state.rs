//! The state of a connection that this process has opened: the call in progress and its reply.

use std::net::SocketAddr;

use super::http::ResponseHead;
use super::Outcome;

/// The kind of process that is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Callee {
    /// The store, the cloud or another controller: calls must not be delayed or refused because
    /// of many calls to agents.
    Critical,
    /// Any other address: an agent.
    Agent,
}

/// The client's side of a connection.
pub(super) struct ClientState {
    address: SocketAddr,
    callee: Callee,
    /// Tag of the call in progress; `None` while the connection is idle.
    call_tag: Option<u64>,
}

/// Result of parsing the received part of a reply.
pub(super) enum ParsedReply {
    /// More input is needed.
    Incomplete,
    /// The input is malformed, or no call is in progress.
    Invalid,
    /// The reply is larger than allowed.
    TooLarge {
        /// Tag of the call.
        tag: u64,
    },
    /// The reply is complete.
    Complete(Reply),
}

/// A complete reply to a call.
pub(super) struct Reply {
    /// Tag of the call.
    pub tag: u64,
    pub outcome: Outcome,
    /// The address to which the connection can carry further calls; `None` if it has to be closed.
    pub reusable_for: Option<SocketAddr>,
}

/// End of a reply in the input.
enum Extent {
    Incomplete,
    TooLarge,
    /// The offset at which the body ends.
    End(usize),
}

impl ClientState {
    /// A connection that is opened for the call `tag`.
    pub(super) fn new(address: SocketAddr, callee: Callee, tag: u64) -> ClientState {
        ClientState {
            address,
            callee,
            call_tag: Some(tag),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn callee(&self) -> Callee {
        self.callee
    }

    /// Tag of the call in progress.
    pub(super) fn call_tag(&self) -> Option<u64> {
        self.call_tag
    }

    /// Begins the call `tag` on an idle connection.
    pub(super) fn begin_call(&mut self, tag: u64) {
        self.call_tag = Some(tag);
    }

    /// Removes a complete reply of at most `reply_max_bytes` bytes from `input`.
    pub(super) fn next_reply(
        &mut self,
        input: &mut Vec<u8>,
        is_read_closed: bool,
        reply_max_bytes: usize,
    ) -> ParsedReply {
        let Some(tag) = self.call_tag else {
            let is_idle = !is_read_closed && input.is_empty();
            return if is_idle {
                ParsedReply::Incomplete
            } else {
                ParsedReply::Invalid
            };
        };
        let head = match ResponseHead::parse(input) {
            Ok(Some(head)) => head,
            Ok(None) => return ParsedReply::Incomplete,
            Err(_) => return ParsedReply::Invalid,
        };
        match reply_extent(&head, input.len(), is_read_closed, reply_max_bytes) {
            Extent::Incomplete => ParsedReply::Incomplete,
            Extent::TooLarge => {
                self.call_tag = None;
                ParsedReply::TooLarge { tag }
            }
            Extent::End(end) => {
                self.call_tag = None;
                ParsedReply::Complete(self.complete(tag, &head, input, end, is_read_closed))
            }
        }
    }

    fn complete(
        &self,
        tag: u64,
        head: &ResponseHead,
        input: &mut Vec<u8>,
        end: usize,
        is_read_closed: bool,
    ) -> Reply {
        let body = input[head.length..end].to_vec();
        input.drain(..end);
        let is_reusable =
            !head.closes && !is_read_closed && input.is_empty() && head.body_length.is_some();
        Reply {
            tag,
            outcome: Outcome::Response {
                status: head.status,
                body,
            },
            reusable_for: is_reusable.then_some(self.address),
        }
    }
}

fn reply_extent(
    head: &ResponseHead,
    received: usize,
    is_read_closed: bool,
    reply_max_bytes: usize,
) -> Extent {
    let end = match head.body_length {
        Some(length) if length > reply_max_bytes => return Extent::TooLarge,
        Some(length) => head.length + length,
        None if head.excludes_body() => head.length,
        // Without a declared length the body extends to the end of the connection.
        None if received > reply_max_bytes => return Extent::TooLarge,
        None if is_read_closed => received,
        None => return Extent::Incomplete,
    };
    if received < end {
        Extent::Incomplete
    } else {
        Extent::End(end)
    }
}
