//! A digest of all messages that controllers send and of all changes of the key-value store.

use gaugesill::net::Action;
use gaugesill::wire;
use sha2::{Digest, Sha256};

use super::sim::Sim;

/// Digest of the messages that were sent so far in a run, in order.
#[derive(Default)]
pub(super) struct MessageDigest(Sha256);

impl MessageDigest {
    pub(super) fn add_action(&mut self, at_ms: u64, controller: usize, action: &Action) {
        self.add_number(at_ms);
        self.add_number(controller as u64);
        match action {
            Action::Response {
                connection,
                status,
                retry_after_s,
                body,
            } => {
                self.add_bytes(b"answer");
                self.add_number(*connection as u64);
                self.add_number(u64::from(*status));
                self.add_number(retry_after_s.map_or(u64::MAX, u64::from));
                self.add_bytes(body);
            }
            // The tag is internal to the process and not sent.
            Action::Call {
                tag: _,
                address,
                method,
                path,
                body,
                timeout_ms,
            } => {
                self.add_bytes(b"call");
                self.add_bytes(address.to_string().as_bytes());
                self.add_bytes(method.as_bytes());
                self.add_bytes(path.as_bytes());
                self.add_bytes(body);
                self.add_number(*timeout_ms);
            }
        }
    }

    fn add_number(&mut self, number: u64) {
        self.0.update(number.to_be_bytes());
    }

    /// Adds the length as well, so that different sequences of parts never yield the same bytes.
    fn add_bytes(&mut self, bytes: &[u8]) {
        self.add_number(bytes.len() as u64);
        self.0.update(bytes);
    }
}

impl Sim {
    /// The digest of all messages and of all changes of the key-value store, in hexadecimal.
    pub(crate) fn message_digest(&mut self) -> String {
        let mut digest = std::mem::take(&mut self.digest);
        for change in &self.store.log {
            digest.add_bytes(&wire::encode(change));
        }
        let bytes = digest.0.finalize();
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}
